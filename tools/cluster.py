"""Runs a small cluster of real processes on loopback, for the demo, the
process tests and the benches.  Only this module starts processes, and it stops
them by process id."""
import fcntl
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.error
import urllib.request

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
BUILD = os.environ.get("LV_BUILD", os.path.join(ROOT, "build"))
# Folder of the daemons that clusters start.
PROGRAMS = BUILD
DOMAINS = ["catania", "palermo", "siracusa"]


def free_ports(n):
    """Ports reserved for one cluster by a counter that concurrent runs share.
    They are below the ephemeral range, so that no outgoing connection gets one
    of them."""
    low, high = 10000, 32000
    ports = []
    with open(os.path.join(tempfile.gettempdir(), "lagoonvale-ports"),
              "a+") as f:
        fcntl.flock(f, fcntl.LOCK_EX)
        f.seek(0)
        port = int(f.read() or low)
        while len(ports) < n:
            port = port + 1 if port + 1 < high else low
            with socket.socket() as s:
                try:
                    s.bind(("127.0.0.1", port))
                    ports.append(port)
                except OSError:
                    pass
        f.truncate(0)
        f.write(str(port))
    return ports


def http(method, url, body=None, headers=None, timeout=60):
    """Returns the status and the decoded JSON or text; status 0 if there was
    no complete response."""
    data = None
    if body is not None:
        data = body if isinstance(body, bytes) else json.dumps(body).encode()
    request = urllib.request.Request(url, data=data, method=method,
                                     headers=headers or {})
    try:
        with urllib.request.urlopen(request, timeout=timeout) as answer:
            status, text = answer.status, answer.read()
    except urllib.error.HTTPError as error:
        status, text = error.code, error.read()
    except (OSError, ValueError) as error:
        return 0, {"error": {"code": "no_answer", "detail": str(error)}}
    except Exception as error:  # a truncated response
        return 0, {"error": {"code": "cut_answer", "detail": str(error)}}
    try:
        return status, json.loads(text)
    except ValueError:
        return status, text.decode("utf-8", "replace")


def wait_until(condition, seconds=15, every=0.02):
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        if condition():
            return True
        time.sleep(every)
    return False


class Process:
    def __init__(self, name, argv, log, address, probe):
        self.name, self.argv, self.log = name, argv, log
        self.address, self.probe = address, probe
        self.popen = None
        self.start()

    def start(self):
        with open(self.log, "ab") as out:
            self.popen = subprocess.Popen(self.argv, stdout=out, stderr=out,
                                          stdin=subprocess.DEVNULL)

    def ready(self):
        return http("GET", self.probe, timeout=2)[0] == 200

    def alive(self):
        return self.popen.poll() is None

    def send(self, number):
        if self.alive():
            self.popen.send_signal(number)

    def kill(self):
        self.send(signal.SIGKILL)
        self.popen.wait()

    def stop(self, seconds=15):
        self.send(signal.SIGTERM)
        try:
            return self.popen.wait(seconds)
        except subprocess.TimeoutExpired:
            self.kill()
            return None

    def pause(self):
        self.send(signal.SIGSTOP)

    def resume(self):
        self.send(signal.SIGCONT)

    def describe_threads(self):
        """State, wait channel and system call of each thread, for a report on
        a process that should have ended."""
        lines = []
        base = "/proc/%d/task" % self.popen.pid
        for thread in os.listdir(base):
            for name in ("stat", "wchan", "syscall"):
                try:
                    with open(os.path.join(base, thread, name)) as f:
                        text = f.read()
                except OSError as error:
                    text = str(error)
                lines.append("%s %s: %s" % (thread, name, text.strip()))
        return "\n".join(lines)

    def cpu_s(self):
        with open("/proc/%d/stat" % self.popen.pid) as f:
            fields = f.read().rsplit(")", 1)[1].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    def rss_mb(self):
        with open("/proc/%d/status" % self.popen.pid) as f:
            for line in f:
                if line.startswith("VmRSS"):
                    return int(line.split()[1]) / 1024


class Cluster:
    """Entries, agents with their minions and workers, the log, and with
    proxy=True a fault proxy in front of all of them but the log."""

    def __init__(self, entries=2, agents=3, slots=8, proxy=False, null=False,
                 entry=None, agent=None, rules=None, delay_ms=0, start=True,
                 workers=0):
        self.dir = tempfile.mkdtemp(prefix="lagoonvale-")
        self.processes = []
        self.entry_settings = dict({"log.level": "info"}, **(entry or {}))
        self.agent_settings = dict({"log.level": "info"}, **(agent or {}))
        self.slots, self.null, self.proxy = slots, null, proxy
        self.delay_ms = delay_ms
        ports = free_ports(2 + 4 * entries + 5 * agents + 2 * workers)
        self.ports = iter(ports)
        self.log = self.start_standin("log", "log.py", next(self.ports))
        self.log_url = "http://" + self.log.address
        self.entries, self.agents, self.minions = [], [], []
        self.workers = []
        self.killed_worker_starts = {}  # of workers that were killed
        self.routes = {}
        self.plan_addresses(entries, agents)
        self.plan_workers(workers)
        try:
            if proxy:
                self.start_proxy()
            if start:
                self.start_all(rules)
        except BaseException:
            self.close()
            raise

    # -- planning ---------------------------------------------------------

    def plan_addresses(self, entries, agents):
        self.entry_plan, self.agent_plan = [], []
        for i in range(entries):
            plan = {"name": "e%d" % i, "domain": DOMAINS[i % 3],
                    "rpc": self.new_address(), "http": self.new_address()}
            plan["advertise"] = self.add_route("e%d" % i, plan["rpc"])
            self.entry_plan.append(plan)
        for i in range(agents):
            plan = {"name": "a%d" % i, "domain": DOMAINS[i % 3],
                    "rpc": self.new_address(), "metrics": self.new_address(),
                    "minion": self.new_address()}
            plan["advertise"] = self.add_route("a%d" % i, plan["rpc"])
            if self.proxy:
                plan["minion_via"] = self.add_route("m%d" % i, plan["minion"])
            else:
                plan["minion_via"] = plan["minion"]
            self.agent_plan.append(plan)

    def plan_workers(self, workers):
        """Assigns worker i to agent i."""
        for i in range(workers):
            address = self.new_address()
            self.agent_plan[i]["worker"] = address
            self.agent_plan[i]["worker_via"] = self.add_route("w%d" % i,
                                                              address)

    def new_address(self):
        try:
            port = next(self.ports)
        except StopIteration:
            port = free_ports(1)[0]
        return "127.0.0.1:%d" % port

    def add_route(self, name, target):
        if not self.proxy:
            return target
        self.routes[name] = (self.new_address(), target)
        return self.routes[name][0]

    # -- processes --------------------------------------------------------

    def spawn(self, name, argv, address, probe):
        p = Process(name, argv, os.path.join(self.dir, name + ".log"),
                    address, probe)
        self.processes.append(p)
        return p

    def start_standin(self, name, script, port, extra=()):
        address = "127.0.0.1:%d" % port
        argv = [sys.executable, os.path.join(ROOT, "standins", script),
                "--listen", address] + list(extra)
        probes = {"log.py": "/stats", "minion.py": "/health",
                  "worker.py": "/starts"}
        return self.spawn(name, argv, address,
                          "http://%s%s" % (address, probes[script]))

    def start_proxy(self):
        control = self.new_address()
        argv = [sys.executable,
                os.path.join(ROOT, "standins", "fault_proxy.py"),
                "--control", control]
        for name, (listen, target) in self.routes.items():
            argv += ["--route", "%s=%s>%s" % (name, listen, target)]
        self.proxy_process = self.spawn(
            "proxy", argv, control, "http://%s/stats" % control)
        assert wait_until(self.proxy_process.ready)
        if self.delay_ms:
            self.set_fault("*", delay_ms=self.delay_ms)

    def set_fault(self, route, **what):
        status, answer = http("POST", "http://%s/control"
                              % self.proxy_process.address,
                              dict(what, route=route))
        assert status == 200, answer

    def write_settings(self, name, settings):
        path = os.path.join(self.dir, name + ".json")
        nested = {}
        for key, value in settings.items():
            section = nested
            parts = key.split(".")
            for part in parts[:-1]:
                section = section.setdefault(part, {})
            section[parts[-1]] = value
        with open(path, "w") as f:
            f.write("// written by tools/cluster.py\n")
            json.dump(nested, f, indent=1)
        return path

    def start_minion(self, i):
        port = int(self.agent_plan[i]["minion"].rsplit(":", 1)[1])
        return self.start_standin("m%d" % i, "minion.py", port,
                                  ["--slots", str(self.slots),
                                   "--seed", str(i)])

    def start_worker(self, i):
        port = int(self.agent_plan[i]["worker"].rsplit(":", 1)[1])
        return self.start_standin("w%d" % i, "worker.py", port)

    def start_agent(self, i, name=None, **extra):
        plan = self.agent_plan[i]
        settings = {"name": name or plan["name"], "domain": plan["domain"],
                    "listen": plan["rpc"], "advertise": plan["advertise"],
                    "metrics": plan["metrics"], "log.url": self.log_url,
                    "target.url": "http://" + plan["minion_via"],
                    "target.kind": "null" if self.null else "minion",
                    "target.slots": self.slots}
        if "worker" in plan:
            settings["worker.url"] = "http://" + plan["worker_via"]
        settings.update(self.agent_settings)
        settings.update(extra)
        path = self.write_settings(settings["name"], settings)
        return self.spawn(settings["name"],
                          [os.path.join(PROGRAMS, "lagoonvale-agent"), path],
                          plan["metrics"],
                          "http://%s/readyz" % plan["metrics"])

    def start_entry(self, i, **extra):
        plan = self.entry_plan[i]
        settings = {"name": plan["name"], "domain": plan["domain"],
                    "listen": plan["rpc"], "advertise": plan["advertise"],
                    "http.listen": plan["http"], "log.url": self.log_url,
                    "source": self.source(i) + ":0",
                    "seeds": [p["advertise"] for p in self.entry_plan
                              if p is not plan]}
        settings.update(self.entry_settings)
        settings.update(extra)
        path = self.write_settings(plan["name"], settings)
        return self.spawn(plan["name"],
                          [os.path.join(PROGRAMS, "lagoonvale-entry"), path],
                          plan["http"], "http://%s/readyz" % plan["http"])

    @staticmethod
    def source(i):
        """Source address of the RPC connections of entry i."""
        return "127.0.1.%d" % (10 + i)

    def start_all(self, rules=None):
        assert wait_until(self.log.ready), "the log stand-in is not ready"
        if rules is not None:
            self.publish(rules)
        for i in range(len(self.agent_plan)):
            if not self.null:
                self.minions.append(self.start_minion(i))
            if "worker" in self.agent_plan[i]:
                self.workers.append(self.start_worker(i))
        for m in self.minions + self.workers:
            assert wait_until(m.ready), m.name + " is not ready"
        for i in range(len(self.agent_plan)):
            self.agents.append(self.start_agent(i))
        for i in range(len(self.entry_plan)):
            self.entries.append(self.start_entry(i))
        self.wait_ready()

    def wait_ready(self):
        for p in self.agents + self.entries:
            assert wait_until(p.ready), p.name + " is not ready, see " + p.log
        want = sum(a.alive() for a in self.agents)
        for i, e in enumerate(self.entries):
            assert wait_until(
                lambda i=i: sum(a["connected"] for a in
                                self.status(i)["agents"]) >= want), \
                e.name + " is not connected to all agents"
            assert wait_until(
                lambda i=i: sum("worker" in a and a["worker"]["leased"]
                                for a in self.status(i)["agents"])
                >= len(self.workers)), \
                e.name + " does not report a lease on every worker"

    def close(self):
        for p in reversed(self.processes):
            p.resume()
            p.send(signal.SIGKILL)
        for p in self.processes:
            p.popen.wait()

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.close()

    # -- requests and control ---------------------------------------------

    def cut_entry(self, i, route="*", cut=True):
        """Cut the connections of entry i on a route, or allow them again."""
        self.set_fault(route, cut=cut, **{"from": self.source(i)})

    def url(self, i, path):
        return "http://%s%s" % (self.entry_plan[i]["http"], path)

    def submit(self, i, body, timeout=60, headers=None, wait=""):
        return http("POST", self.url(i, "/v1/jobs" + wait), body,
                    headers=headers, timeout=timeout)

    def mint(self, i, count=1):
        status, answer = http("POST", self.url(
            i, "/v1/submissions?count=%d" % count))
        assert status == 200, answer
        return answer["ids"]

    def status(self, i):
        status, answer = http("GET", self.url(i, "/v1/status"))
        return answer if status == 200 else {"agents": []}

    def metrics(self, process):
        text = http("GET", "http://%s/metrics" % process.address)[1]
        values = {}
        for line in text.splitlines():
            if line and not line.startswith("#"):
                name, value = line.split()
                values[name] = int(value)
        return values

    def starts(self, summary=False):
        """Number of starts of each task, as counted by minions and workers."""
        total = dict(self.killed_worker_starts)
        for m in self.minions + self.workers:
            status, answer = http("GET", "http://%s/starts" % m.address)
            if status != 200:
                continue
            for task, n in answer["tasks"].items():
                total[task] = total.get(task, 0) + n
        return total

    def minion_control(self, i, **what):
        return http("POST", "http://%s/control" % self.minions[i].address,
                    what)

    def worker_control(self, i, **what):
        return http("POST", "http://%s/control" % self.workers[i].address,
                    what)

    def worker_report(self, i):
        return http("GET", "http://%s/starts" % self.workers[i].address)[1]

    def kill_worker(self, i):
        """Kill and restart a worker; its counts still appear in starts()."""
        starts = self.killed_worker_starts
        for task, n in self.worker_report(i)["tasks"].items():
            starts[task] = starts.get(task, 0) + n
        self.workers[i].kill()
        self.workers[i].start()
        assert wait_until(self.workers[i].ready)

    def log_control(self, **what):
        return http("POST", self.log_url + "/control", what)

    def publish(self, text, base=None):
        """Publish a rule file with the command line tool."""
        path = os.path.join(self.dir, "rules-%f.txt" % time.time())
        with open(path, "w") as f:
            f.write(text)
        return subprocess.run(
            [os.path.join(BUILD, "lagoonvale"), "rules", "publish", path,
             "--log", self.log_url], capture_output=True, text=True,
            timeout=60)


def job(n=1, run_ms=50, team="t", urgency="normal", kind="k", **more):
    payload = {"run_ms": run_ms}
    payload.update(more.pop("payload", {}))
    body = {"team": team, "urgency": urgency, "kind": kind,
            "tasks": [{"payload": payload} for _ in range(n)]}
    body.update(more)
    return body
