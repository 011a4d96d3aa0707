"""Dispatchers, runners and stand-ins for the platform on loopback, and a check
of the platform's rules on the records of the minions.  The dispatcher logs as
role entry, the runner as role agent."""
import json
import os
import sys
import tempfile
import threading
import time

import cluster
from cluster import ROOT, Process, free_ports, http, wait_until

SERVICE = "cutting"
HOST = "jobs.example"
RESEND_S = 1.3
LEASE_MAX_S = 1.0
# A capacity that has shrunk binds so long after the change.
SHRUNK_S = 4.5
# After so many crashes under a task, it is started less than so often.
CRASHES_MAX = 3


def queue(name, prefix, priority=0, service=SERVICE, attempts=3):
    return {"name": name, "host": HOST, "path_prefix": prefix,
            "service": service, "priority": priority, "timeout_ms": 1500,
            "max_attempts": attempts, "target_latency_ms": 60,
            "slack_factor": 1.6}


def config(version, *queues, **service):
    return {"version": version, "routes": list(queues),
            "services": [dict({"name": SERVICE, "admission_check": False},
                              **service)],
            "limits": {"max_body_bytes": 262144, "idle_timeout_ms": 15000}}


def job(count=1, run_ms=50, mcores=1000, fail=False, crash_ms=None, **more):
    spec = {"run_ms": run_ms, "mcores": mcores, "fail": fail}
    if crash_ms is not None:
        spec["crash_ms"] = crash_ms
    spec = json.dumps(spec)
    return dict({"spec": spec, "best_effort": True,
                 "steps": [{"count": count, "cpu": mcores, "mem_mb": 64,
                            "estimate_ms": run_ms}]}, **more)


class PlatformCluster:
    def __init__(self, entries=2, agents=2, mcores=8000, configured=True,
                 proxy=False, seeds=None, agent=None, store_mode="ok",
                 entry=None, service=None):
        self.service = service or {}
        self.agent_settings = agent or {}
        self.entry_settings = entry or {}
        self.dir = tempfile.mkdtemp(prefix="lagoonvale-")
        ports = iter(free_ports(2 + 6 * entries + 4 * agents))
        self.proxy, self.routes = None, {}
        if proxy:
            self.reserve_proxy_addresses(entries, agents, ports)
        self.processes = []
        self.store = self.start_standin("store", "platform_store.py",
                                        next(ports))
        self.addresses = [{k: "127.0.0.1:%d" % next(ports)
                           for k in ("rpc", "jobs", "ready", "metrics")}
                          for _ in range(entries)]
        self.seeds = seeds or [self.routes.get("entry-%d" % i, a["rpc"])
                      for i, a in enumerate(self.addresses)][:3]
        self.version = 0
        if configured:
            self.publish(queue("rush", "/rush/"))
        self.set_mode(self.store, mode=store_mode)
        self.minions, self.agents, self.entries = [], [], []
        self.agent_ports = []
        for i in range(agents):
            self.add_agent(i, [next(ports) for _ in range(3)], mcores)
        for i in range(entries):
            self.entries.append(self.start_entry(i))
        if proxy:
            self.start_proxy()

    def add_process(self, name, argv, address, probe):
        p = Process(name, argv, os.path.join(self.dir, name + ".log"),
                    address, probe)
        self.processes.append(p)
        return p

    def start_standin(self, name, script, port, *more):
        address = "127.0.0.1:%d" % port
        argv = [sys.executable, os.path.join(ROOT, "standins", script),
                address] + list(more)
        p = self.add_process(name, argv, address, "")
        assert wait_until(lambda: http("GET", "http://%s/probe" % address,
                                       timeout=2)[0] == 404)
        return p

    def reserve_proxy_addresses(self, entries, agents, ports):
        """Reserves a proxy address for each entry's RPC, each minion, and the
        store as each entry reaches it."""
        for name in (["entry-%d" % i for i in range(entries)]
                     + ["store-%d" % i for i in range(entries)]
                     + ["minion-%d" % i for i in range(agents)]):
            self.routes[name] = "127.0.0.1:%d" % next(ports)
        self.control = "127.0.0.1:%d" % next(ports)

    def start_proxy(self):
        targets = dict([("entry-%d" % i, a["rpc"])
                        for i, a in enumerate(self.addresses)]
                       + [("store-%d" % i, self.store.address)
                          for i in range(len(self.addresses))]
                       + [(m.name, m.address) for m in self.minions])
        argv = [sys.executable,
                os.path.join(ROOT, "standins", "fault_proxy.py"),
                "--control", self.control]
        for name, listen in self.routes.items():
            argv += ["--route", "%s=%s>%s" % (name, listen, targets[name])]
        self.proxy = self.add_process("proxy", argv, self.control,
                                      "http://%s/stats" % self.control)
        assert wait_until(self.proxy.ready)

    def set_fault(self, route, **what):
        status, _ = http("POST", "http://%s/control" % self.control,
                         dict(what, route=route))
        assert status == 200

    def limit_links(self, rate):
        """Limits the link of each entry to RATE bytes/s in each direction."""
        for i in range(len(self.entries)):
            for route in ("entry-%d" % i, "store-%d" % i):
                self.set_fault(route, link="link-%d" % i, rate=rate)

    def write_settings(self, name, values):
        path = os.path.join(self.dir, name + ".json")
        with open(path + ".new", "w") as f:
            json.dump(dict(values, name=name, seeds=self.seeds), f)
        os.rename(path + ".new", path)
        return path

    def start_entry(self, i, **more):
        name = "entry-%d" % i
        if name in self.routes:
            more = dict(more, advertise=self.routes[name])
        path = self.write_settings(name, dict({
            "domain": "d%d" % i,
            "store": self.routes.get("store-%d" % i, self.store.address)},
            **self.addresses[i], **self.entry_settings, **more))
        argv = [os.path.join(cluster.PROGRAMS, "lagoonvale-dispatcher"), path]
        return self.add_process(name, argv, self.addresses[i]["jobs"],
                                "http://%s/ready" % self.addresses[i]["ready"])

    def add_agent(self, i, ports, mcores):
        report, orders, metrics = ["127.0.0.1:%d" % p for p in ports]
        name = "agent-%d" % i
        self.minions.append(self.start_standin(
            "minion-%d" % i, "platform_minion.py", ports[1], report, SERVICE,
            str(mcores), os.path.join(self.dir, "minion-%d.runs" % i)))
        path = self.write_settings(name, {
            "domain": "d%d" % i, "service": SERVICE, "reports": report,
            "minion": self.routes.get("minion-%d" % i, orders),
            "metrics": metrics, "store": self.store.address,
            "lease_max_ms": 1000, **self.agent_settings})
        argv = [os.path.join(cluster.PROGRAMS, "lagoonvale-runner"), path]
        self.agents.append(self.add_process(name, argv, report,
                                            "http://%s/metrics" % metrics))

    def publish(self, *queues):
        self.version += 3
        http("POST", "http://%s/test/put?key=config" % self.store.address,
             config(self.version, *queues, **self.service))

    def drain(self, domain, drained=True):
        """Writes the operators' record that drains DOMAIN, or deletes it."""
        status, _ = http("POST", "http://%s/test/put?key=evacuate/%s"
                         % (self.store.address, domain),
                         b"{}" if drained else b"")
        assert status == 200

    def set_mode(self, process, **values):
        query = "&".join("%s=%s" % v for v in values.items())
        status, _ = http("POST", "http://%s/test/mode?%s"
                         % (process.address, query), {})
        assert status == 200

    def await_ready(self):
        assert wait_until(lambda: all(e.ready() for e in self.entries))
        assert wait_until(lambda: all(
            self.submit(i, job(run_ms=5))[0] == 200
            for i in range(len(self.entries))))

    def metric(self, process, name):
        _, text = http("GET", process.probe if "metrics" in process.probe
                       else self.metrics_url(process))
        for line in text.splitlines():
            if line.startswith(name + " "):
                return float(line.split()[1])
        return None

    def metrics_url(self, entry):
        i = [e.address for e in self.entries].index(entry.address)
        return "http://%s/metrics" % self.addresses[i]["metrics"]

    def submit(self, entry, body, name=None, prefix="/rush/", wait_ms=3000,
               timeout=6):
        name = name or os.urandom(8).hex()
        return http("POST", "http://%s%s%s" % (
            self.addresses[entry]["jobs"], prefix, name), body,
            {"Host": HOST, "X-Deadline-Ms": str(wait_ms)}, timeout)

    def hold(self, i):
        """What minion i answers to a poll without a lease."""
        return http("POST", "http://%s/hold" % self.minions[i].address,
                    {"fencing_token": 0, "acked_through": 0})[1]

    def born(self, i):
        """Start of the process of minion i, as it says itself."""
        return self.hold(i)["born"]

    def events(self):
        """Starts and ends recorded by all minions, ordered by time."""
        return [e for e in self.records() if e["what"] not in ("room", "lease")]

    def records(self):
        """All that the minions have recorded, also changes of their capacity and
        of their leases, ordered by time."""
        out = []
        for i in range(len(self.minions)):
            path = os.path.join(self.dir, "minion-%d.runs" % i)
            if not os.path.exists(path):
                continue
            with open(path) as f:
                out += [dict(json.loads(line), minion=i) for line in f]
        return sorted(out, key=lambda e: e["at"])

    def rule_violations(self):
        """Events that the platform's rules forbid: a task that runs twice at a
        time, use beyond capacity, a start at a minion whose report that it is
        leaving was acknowledged, repeated starts of a task under which
        CRASHES_MAX minions have crashed."""
        violations, running, crashes, rooms = [], {}, {}, {}
        started, leases = {}, {}
        for e in self.records():
            if e["what"] == "acknowledged":
                continue
            if e["what"] == "room":
                rooms.setdefault(e["minion"], []).append((e["at"], e["room"]))
                continue
            # A lease that has expired has ended the runs under it.
            running = {k: v for k, v in running.items()
                       if leases.get(k[1], 0) >= e["at"]}
            if e["what"] == "lease":
                leases[e["minion"]] = e["until"]
                continue
            if e["what"] == "end":
                running.pop((e["task"], e["minion"]), None)
                continue
            if e["what"] == "gone":
                running = {k: v for k, v in running.items()
                           if k[1] != e["minion"]}
                for task in e.get("crashed", []):
                    crashes[task] = crashes.get(task, 0) + 1
                continue
            if any(task == e["task"] for task, _ in running):
                violations.append(("twice", e))
            running[(e["task"], e["minion"])] = e
            if e["used"] > self.binding_capacity(rooms, e):
                violations.append(("room", e))
            if e["acknowledged"]:
                violations.append(("leaving", e))
            if crashes.get(e["task"], 0) >= CRASHES_MAX:
                started[e["task"]] = started.get(e["task"], 0) + 1
                if started[e["task"]] >= CRASHES_MAX:
                    violations.append(("crashes", e))
        return violations

    @staticmethod
    def binding_capacity(rooms, start):
        """The largest capacity of the last SHRUNK_S, since ROOMS holds all
        changes by minion."""
        changes = rooms[start["minion"]]
        since = start["at"] - SHRUNK_S
        # A capacity was in force until the next change.
        ends = [at for at, _ in changes[1:]] + [float("inf")]
        return max(room for (_, room), end in zip(changes, ends)
                   if end >= since)

    def kill_minion(self, i):
        """Kills minion i, which ends its runs.  It is stopped and recorded as
        gone first: once its port is closed, an agent has its tasks started
        elsewhere within milliseconds."""
        self.stop_minion(i)
        self.minions[i].kill()

    def pause_minion(self, i, seconds):
        """Pauses minion i for longer than a lease, so that its runs lapse."""
        assert seconds > LEASE_MAX_S
        self.stop_minion(i)
        time.sleep(seconds)
        self.minions[i].resume()

    def stop_minion(self, i):
        """Stops the process of minion i and records that its runs are gone."""
        if self.minions[i].alive():
            self.minions[i].pause()
            os.waitid(os.P_PID, self.minions[i].popen.pid,
                      os.WSTOPPED | os.WEXITED | os.WNOWAIT)
        self.record_minion_exit(i)

    def record_minion_exit(self, i):
        with open(os.path.join(self.dir, "minion-%d.runs" % i), "a") as f:
            f.write(json.dumps({"what": "gone", "at": time.monotonic()})
                    + "\n")

    def log_of(self, process):
        with open(process.log, errors="replace") as f:
            return f.read()

    def close(self):
        for p in reversed(self.processes):
            if p.alive():
                p.resume()
                p.kill()


class Callers:
    """Callers like the platform's: each sends jobs; after no answer, 502 or
    504 it sends the same job again, RESEND_S later, through the next entry."""

    def __init__(self, cluster, workers=6, **body):
        self.cluster, self.body = cluster, job(**body)
        self.stopped = False
        self.answers, self.attempts = [], {}
        self.threads = [threading.Thread(target=self.run, args=(i,),
                                         daemon=True) for i in range(workers)]
        for t in self.threads:
            t.start()

    def run(self, entry):
        count = len(self.cluster.addresses)
        while not self.stopped:
            name, status = os.urandom(8).hex(), 0
            for _ in range(4):
                status, _ = self.cluster.submit(entry % count, self.body, name)
                self.attempts.setdefault(name, []).append(status)
                if status not in (0, 502, 504):
                    break
                entry += 1
                time.sleep(RESEND_S)
            self.answers.append((time.monotonic(), status))
            if status != 200:
                time.sleep(0.05)

    def stop(self):
        self.stopped = True
        for t in self.threads:
            t.join(15)
        return self.answers

    def served_since(self, at):
        return sum(1 for t, status in self.answers if t > at and status == 200)
