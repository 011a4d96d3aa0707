"""Stand-ins for a small deployment, as the users' pages describe its parts: the
store, minions, clients, the platform's balancer, and a proxy between machines.
All of them live in this process; the project's own programs are started as
separate processes with the commands of deploy/system.toml.

Everything listens on loopback.  Times are seconds of the steady clock since
the start of the deployment.  What is sent, answered and run goes to
record.txt in the folder of the case.
"""
import asyncio
import base64
import json
import os
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(
    os.path.abspath(__file__))))
DISPATCHER = "target/lagoonvale-dispatcher"
RUNNER = "target/lagoonvale-runner"

# Bounds of the pages (SYSTEM.md, "Bounds"), seconds.
CONTACT_S = 3.0
CANCEL_S = 3.0
STOP_S = 0.05
GRACE_S = 6.0
MAX_HOLD_S = 1.0
RETRANSMIT_S = 1.3
HEARTBEAT_S = 1.5

HELD, BROKEN, NOT_RUN = 0, 1, 2

SERVICE = "booking"
HOST = "jobs.example"
PREFIX = "/quotes/"


class CannotRun(Exception):
    """The case could not be run as planned."""


class Record:
    """The record of a case, written as it grows."""

    def __init__(self, folder):
        self.began = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w",
                         buffering=1, encoding="utf-8")

    def now(self):
        return time.monotonic() - self.began

    def line(self, text):
        self.file.write("%8.3f  %s\n" % (self.now(), text))


def reset(writer):
    """Resets a connection: both its ends see an error."""
    sock = writer.get_extra_info("socket")
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                        struct.pack("ii", 1, 0))
    except OSError:
        pass
    writer.transport.abort()


class Drop(Exception):
    """Ends a connection without an answer."""


class HttpServer:
    """A server of HTTP/1.1 whose HANDLE returns status and body."""

    def __init__(self, handle):
        self.handle = handle
        self.writers = set()

    async def start(self, address):
        host, port = address.rsplit(":", 1)
        self.server = await asyncio.start_server(
            self.serve, host, int(port), backlog=512)

    def stop(self):
        """Closes the port and resets all connections, as a crash does."""
        self.server.close()
        for writer in list(self.writers):
            reset(writer)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while await self.serve_one(reader, writer):
                pass
        except (OSError, asyncio.IncompleteReadError, ValueError, Drop):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def serve_one(self, reader, writer):
        line = await reader.readline()
        if not line:
            return False
        method, target, _ = line.decode("latin-1").split(" ", 2)
        headers = {}
        while True:
            header = await reader.readline()
            if header in (b"\r\n", b"\n", b""):
                break
            name, _, value = header.decode("latin-1").partition(":")
            headers[name.strip().lower()] = value.strip()
        length = int(headers.get("content-length", 0))
        body = await reader.readexactly(length) if length else b""
        path, _, query = target.partition("?")
        args = dict(p.split("=", 1) for p in query.split("&") if "=" in p)
        status, answer = await self.handle(method, path, args, headers, body)
        if not isinstance(answer, bytes):
            answer = json.dumps(answer).encode()
        writer.write(b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
                     b"Content-Length: %d\r\n\r\n" % (status, len(answer))
                     + answer)
        await writer.drain()
        return True


class Store:
    """The platform's store: keyed topics of one partition."""

    def __init__(self):
        self.topics = {}
        self.changed = asyncio.Condition()

    async def put(self, topic, key, value):
        async with self.changed:
            self.topics.setdefault(topic, []).append((key, value))
            self.changed.notify_all()

    def newest(self, topic):
        last = {}
        records = self.topics.get(topic, [])
        for offset, (key, value) in enumerate(records):
            last[key] = (value, offset)
        items = [{"key": k, "value": base64.b64encode(v).decode(),
                  "offset": o} for k, (v, o) in last.items() if v]
        return {"items": items, "has_more": False,
                "end_offset": len(records)}

    async def read(self, topic, start, wait_ms):
        records = self.topics.setdefault(topic, [])
        async with self.changed:
            try:
                await asyncio.wait_for(
                    self.changed.wait_for(lambda: len(records) > start),
                    wait_ms / 1000)
            except asyncio.TimeoutError:
                pass
        out = struct.pack(">QQ", len(records), 0)
        for key, value in records[start:]:
            content = bytes([len(key)]) + key.encode() + value
            out += struct.pack(">I", len(content)) + content
        return out

    async def handle(self, method, path, args, headers, body):
        del headers
        if (method, path) == ("GET", "/log-newest"):
            return 200, self.newest(args["topic"])
        if (method, path) == ("GET", "/log-read"):
            return 200, await self.read(args["topic"], int(args["from"]),
                                        int(args.get("wait_ms", 0)))
        if (method, path) == ("POST", "/log-append"):
            if args["topic"] in ("keyed.op", "keyed.servers"):
                return 403, {}
            first = len(self.topics.get(args["topic"], []))
            while body:
                (length,) = struct.unpack(">I", body[:4])
                content, body = body[4:4 + length], body[4 + length:]
                key = content[1:1 + content[0]].decode()
                await self.put(args["topic"], key, content[1 + content[0]:])
            return 200, {"offset": first,
                         "end_offset": len(self.topics[args["topic"]])}
        return 404, {}


class Run:
    """One run of a task at a minion; END is None while it runs."""

    def __init__(self, minion, task, attempt, run_s, began):
        self.minion, self.task, self.attempt = minion, task, attempt
        self.run_s, self.began = run_s, began
        self.end, self.how = None, None


class Minion:
    """A minion that doesn't guard its room.  The spec of a task is JSON with
    run_ms, the time that it works."""

    STOP_S = 0.01
    TICK_S = 0.005

    def __init__(self, deployment, name, address, reports, cores):
        self.deployment, self.record = deployment, deployment.record
        self.name, self.address, self.reports = name, address, reports
        self.cores = cores
        self.runs = []  # all runs of all lives, for the check
        self.life = 0
        self.lost = {}  # path: how many of the next calls are not carried out
        self.down = True

    async def begin(self):
        self.life += 1
        self.started = time.monotonic()
        self.born = int(time.time() * 1000)
        self.id = "i-%s-%d" % (self.name, self.life)
        self.running, self.finished, self.barred = {}, [], {}
        self.fence, self.expires, self.seq, self.number = 0, 0, 0, 0
        self.ended = asyncio.Condition()
        self.server = HttpServer(self.handle)
        await self.server.start(self.address)
        self.down = False
        self.record.line("%s begins as %s" % (self.name, self.id))
        self.tasks = [asyncio.ensure_future(self.work()),
                      asyncio.ensure_future(self.report_always())]

    def crash(self):
        """Ends this life: its port is closed, everything on it is gone."""
        self.down = True
        self.server.stop()
        for task in self.tasks:
            task.cancel()
        for run in list(self.running.values()):
            self.finish(run, "gone")
        self.record.line("%s crashes" % self.name)

    def clock_ms(self):
        return 1 + int((time.monotonic() - self.started) * 1000)

    def finish(self, run, how):
        del self.running[run.task]
        run.end, run.how = self.record.now(), how
        self.bar(run.task, run.attempt)
        self.record.line("%s run %s attempt %d ends: %s" % (
            self.name, run.task, run.attempt, how))
        if how != "gone":
            self.number += 1
            self.finished.append([self.number, run.task, run.attempt, how,
                                  ""])

    def bar(self, task, attempt):
        self.barred[task] = max(attempt, self.barred.get(task, 0))

    async def work(self):
        while True:
            await asyncio.sleep(self.TICK_S)
            before = self.number
            for run in list(self.running.values()):
                if self.clock_ms() > self.expires:
                    self.finish(run, "lapsed")
                elif self.record.now() - run.began >= run.run_s:
                    self.finish(run, "done")
            if self.number != before:
                async with self.ended:
                    self.ended.notify_all()

    def extend(self, body):
        wanted = int(body.get("expires_at_ms", 0))
        limit = self.clock_ms() + int(MAX_HOLD_S * 1000)
        self.expires = max(self.expires, min(wanted, limit))

    def reply(self, status, **more):
        return status, dict(more, clock_ms=self.clock_ms(), born=self.born)

    async def handle(self, method, path, args, headers, body):
        del method, args
        if path not in ("/run-start", "/run-stop", "/hold"):
            return 404, {}
        if self.lost.get(path, 0) > 0:
            self.lost[path] -= 1
            self.record.line("%s %s gets no answer" % (self.name, path))
            await asyncio.sleep(1)
            raise Drop()
        target = headers.get("x-target-instance")
        if target is not None and target != self.id:
            return self.reply(421)
        body = json.loads(body)
        fence = int(body.get("fencing_token", 0))
        if fence < self.fence:
            return self.reply(409, reason="fence")
        self.fence = fence
        if path == "/run-start":
            return self.start(body)
        if path == "/run-stop":
            return await self.stop(body)
        return await self.hold(body)

    def start(self, body):
        task, attempt = body["task"], int(body["attempt"])
        there = self.running.get(task)
        if there is not None and there.attempt == attempt:
            return self.reply(200)
        if attempt <= self.barred.get(task, 0) or there is not None:
            return self.reply(409, reason="old")
        if int(body.get("expires_at_ms", 0)) <= self.clock_ms():
            return self.reply(409, reason="late")
        self.extend(body)
        spec = json.loads(body["spec"])
        run = Run(self, task, attempt, spec["run_ms"] / 1000,
                  self.record.now())
        run.spec = body["spec"]
        self.running[task] = run
        self.runs.append(run)
        self.record.line("%s run %s attempt %d starts" % (
            self.name, task, attempt))
        return self.reply(200)

    async def stop(self, body):
        task, attempt = body["task"], int(body["attempt"])
        self.bar(task, attempt)
        run = self.running.get(task)
        if run is not None and run.attempt <= attempt:
            # It is answered once the run has stopped, in stop_ms at most.
            await asyncio.sleep(self.STOP_S)
            if self.running.get(task) is run:
                self.finish(run, "stopped")
        return self.reply(200)

    async def hold(self, body):
        acked = int(body.get("acked_through", 0))
        self.finished = [e for e in self.finished if e[0] > acked]
        self.extend(body)
        if not self.finished:
            async with self.ended:
                try:
                    await asyncio.wait_for(
                        self.ended.wait_for(lambda: self.finished),
                        min(2000, int(body.get("wait_ms", 0))) / 1000)
                except asyncio.TimeoutError:
                    pass
        now = self.record.now()
        rows = [[r.task, r.attempt, "",
                 int(100 * (now - r.began) / max(r.run_s, 0.001)), 1000]
                for r in self.running.values()]
        return self.reply(200, running=rows, finished=self.finished[:500])

    async def report_always(self):
        while True:
            self.seq += 1
            body = {"service": SERVICE, "address": self.address,
                    "zone": "zone-1", "version": "v1", "capacity": 8,
                    "state": "ready", "warmup_left_ms": 0, "seq": self.seq,
                    "room": {"cpu": self.cores * 1000, "mem_mb": 65536,
                             "gpu": 0},
                    "labels": ["a", "r1"], "clock_ms": self.clock_ms(),
                    "born": self.born}
            answer = await call(self.reports, "PUT", "/instances/" + self.id,
                                body, timeout=1.0)
            await asyncio.sleep(HEARTBEAT_S if answer.status == 200 else 0.1)


class Answer:
    """How a call ended: STATUS, or None with WHY."""

    def __init__(self, status=None, body=b"", why=""):
        self.status, self.body, self.why = status, body, why

    def __str__(self):
        if self.status is None:
            return "no answer (%s)" % self.why
        return "%d %s" % (self.status, self.body.decode("latin-1"))


class Channel:
    """A client's connection, for one call at a time."""

    def __init__(self, address):
        self.address = address
        self.reader = self.writer = None

    async def open(self):
        host, port = self.address.rsplit(":", 1)
        self.reader, self.writer = await asyncio.open_connection(
            host, int(port))

    async def call(self, method, path, body=None, headers=None, timeout=10.0):
        try:
            return await asyncio.wait_for(
                self.exchange(method, path, body, headers or {}), timeout)
        except asyncio.TimeoutError:
            return Answer(why="nothing came within %.1f s" % timeout)
        except (OSError, asyncio.IncompleteReadError, ValueError) as error:
            return Answer(why="the channel ended: %s" % type(error).__name__)

    async def exchange(self, method, path, body, headers):
        if self.writer is None:
            await self.open()
        data = b"" if body is None else json.dumps(body).encode()
        head = "%s %s HTTP/1.1\r\n" % (method, path)
        headers = dict({"Host": HOST}, **headers)
        if body is not None:
            headers.update({"Content-Type": "application/json",
                            "Content-Length": str(len(data))})
        head += "".join("%s: %s\r\n" % h for h in headers.items()) + "\r\n"
        self.writer.write(head.encode() + data)
        await self.writer.drain()
        line = await self.reader.readline()
        if not line:
            raise asyncio.IncompleteReadError(b"", None)
        status, length = int(line.split()[1]), 0
        while True:
            header = await self.reader.readline()
            if header in (b"\r\n", b""):
                break
            name, _, value = header.decode("latin-1").partition(":")
            if name.lower() == "content-length":
                length = int(value)
        return Answer(status, await self.reader.readexactly(length))

    def close(self):
        if self.writer is not None:
            self.writer.close()


async def call(address, method, path, body=None, headers=None, timeout=10.0):
    """A call on a channel of its own."""
    channel = Channel(address)
    answer = await channel.call(method, path, body, headers, timeout)
    channel.close()
    return answer


class Proxy:
    """Passes connections on to TARGET; may reset the open ones."""

    def __init__(self, target):
        self.target = target
        self.pairs = []  # (time opened, writer to the caller, to the target)

    async def start(self, address):
        host, port = address.rsplit(":", 1)
        self.server = await asyncio.start_server(
            self.accept, host, int(port), backlog=512)

    async def accept(self, reader, writer):
        host, port = self.target.rsplit(":", 1)
        try:
            far_reader, far_writer = await asyncio.open_connection(
                host, int(port))
        except OSError:
            reset(writer)
            return
        for w in (writer, far_writer):
            w.get_extra_info("socket").setsockopt(
                socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        pair = (writer, far_writer)
        self.pairs.append(pair)
        await asyncio.gather(self.pump(reader, far_writer),
                             self.pump(far_reader, writer))
        if pair in self.pairs:
            self.pairs.remove(pair)

    @staticmethod
    async def pump(reader, writer):
        try:
            while True:
                data = await reader.read(65536)
                if not data:
                    break
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        writer.close()

    def reset_pairs(self, pairs):
        for pair in pairs:
            for writer in pair:
                reset(writer)


class Process:
    """A program of the project."""

    def __init__(self, deployment, name, argv, log):
        self.deployment, self.name, self.argv = deployment, name, argv
        self.log = log

    async def start(self):
        with open(self.log, "ab") as log:
            self.popen = await asyncio.create_subprocess_exec(
                *self.argv, cwd=ROOT, stdout=log, stderr=log,
                env={"PATH": os.environ.get("PATH", "/usr/bin:/bin")})
        self.deployment.record.line("%s starts" % self.name)

    def send(self, number):
        self.deployment.record.line("%s gets %s" % (
            self.name, signal.Signals(number).name))
        self.popen.send_signal(number)

    def alive(self):
        return self.popen.returncode is None


def free_addresses(count):
    """Free ports, kept bound until all of them are known."""
    sockets, out = [], []
    for _ in range(count):
        s = socket.socket()
        s.bind(("127.0.0.1", 0))
        sockets.append(s)
        out.append("127.0.0.1:%d" % s.getsockname()[1])
    for s in sockets:
        s.close()
    return out


class Deployment:
    """A small deployment: entries, and runners beside their minions."""

    def __init__(self, folder, entries=2, minions=2, cores=8,
                 timeout_ms=30000):
        self.record = Record(folder)
        self.folder = tempfile.mkdtemp(prefix="lagoonvale-review-")
        self.cores, self.timeout_ms = cores, timeout_ms
        addresses = iter(free_addresses(1 + entries * 6 + minions * 4))
        self.store_address = next(addresses)
        self.store = Store()
        self.entries = [{k: next(addresses) for k in (
            "rpc", "jobs", "ready", "metrics", "rpc_proxy", "jobs_proxy")}
            for _ in range(entries)]
        self.minion_addresses = [{k: next(addresses) for k in (
            "app", "control", "metrics")} for _ in range(minions)]
        self.rpc_proxies, self.jobs_proxies = [], []
        self.dispatchers, self.runners, self.minions = [], [], []

    async def begin(self):
        await HttpServer(self.store.handle).start(self.store_address)
        await self.publish(1)
        for i, entry in enumerate(self.entries):
            for kind, proxies in (("rpc", self.rpc_proxies),
                                  ("jobs", self.jobs_proxies)):
                proxy = Proxy(entry[kind])
                await proxy.start(entry[kind + "_proxy"])
                proxies.append(proxy)
            self.dispatchers.append(self.program(
                "entry-%d" % i, DISPATCHER, self.entry_settings(i)))
        for i, at in enumerate(self.minion_addresses):
            self.minions.append(Minion(self, "minion-%d" % i, at["app"],
                                       at["control"], self.cores))
            self.runners.append(self.program(
                "runner-%d" % i, RUNNER, self.runner_settings(i)))
        for process in self.dispatchers + self.runners:
            await process.start()
        for minion in self.minions:
            await minion.begin()
        await self.await_service()

    async def publish(self, version):
        """The desired state: one queue, whose tasks may run for long."""
        config = {"version": version, "routes": [
            {"name": "r-1", "host": HOST, "path_prefix": PREFIX,
             "route_type": "non_idempotent", "service": SERVICE,
             "timeout_ms": self.timeout_ms, "target_latency_ms": 60,
             "priority": 1, "max_attempts": 4, "slack_factor": 1.6}],
            "services": [{"name": SERVICE, "admission_check": False}],
            "limits": {"max_body_bytes": 262144, "idle_timeout_ms": 15000}}
        await self.store.put("keyed.op", "config",
                             json.dumps(config).encode())

    def seeds(self):
        return [e["rpc_proxy"] for e in self.entries][:3]

    def entry_settings(self, i):
        """As deploy/templates/entry.json; the others reach it by the proxy."""
        e = self.entries[i]
        return {"name": "entry-%d" % i, "domain": "zone-%d" % (i + 1),
                "rpc": e["rpc"], "advertise": e["rpc_proxy"],
                "jobs": e["jobs"], "ready": e["ready"],
                "metrics": e["metrics"], "store": self.store_address,
                "seeds": self.seeds(), "log": {"level": "info"}}

    def runner_settings(self, i):
        """As deploy/templates/agent.json, with the bounds of the pages."""
        at = self.minion_addresses[i]
        return {"name": "runner-%d" % i, "domain": "zone-%d" % (i + 1),
                "service": SERVICE, "reports": at["control"],
                "minion": at["app"], "metrics": at["metrics"],
                "store": self.store_address, "seeds": self.seeds(),
                "lease_max_ms": 1000, "report_interval_ms": 1500,
                "report_grace_ms": 3000, "log": {"level": "info"}}

    def program(self, name, path, settings):
        file = os.path.join(self.folder, name + ".json")
        with open(file, "w", encoding="utf-8") as f:
            json.dump(settings, f)
        if not os.access(os.path.join(ROOT, path), os.X_OK):
            raise CannotRun("%s has not been built" % path)
        return Process(self, name, [os.path.join(ROOT, path), file],
                       os.path.join(self.folder, name + ".log"))

    async def await_service(self):
        """Waits until each entry has served a job."""
        until = time.monotonic() + 15
        for entry in self.entries:
            while True:
                answer = await call(
                    entry["jobs_proxy"], "POST",
                    PREFIX + os.urandom(8).hex(), job(1, 20),
                    {"X-Deadline-Ms": "1500"}, 3)
                if answer.status == 200:
                    break
                if time.monotonic() > until:
                    raise CannotRun("no service at the start: %s" % answer)
                await asyncio.sleep(0.1)
        await asyncio.sleep(2.0)
        self.record.line("all entries serve")

    def runs(self, id_):
        """All runs of the tasks of job ID_, in order."""
        found = [r for m in self.minions for r in m.runs
                 if r.task.startswith(id_ + ".")]
        return sorted(found, key=lambda r: r.began)

    async def end(self):
        for process in self.dispatchers + self.runners:
            if hasattr(process, "popen") and process.alive():
                process.popen.kill()
                await process.popen.wait()
        for minion in self.minions:
            if not minion.down:
                minion.crash()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


def job(count, run_ms, estimate_ms=None, cpu=1000):
    """A job that needn't be kept, of COUNT tasks that work for RUN_MS."""
    return {"spec": json.dumps({"run_ms": run_ms}), "best_effort": True,
            "steps": [{"count": count, "cpu": cpu, "mem_mb": 64,
                       "estimate_ms": estimate_ms or run_ms}]}


class Balancer:
    """The platform's address for clients: a node by a hash of the client,
    among those that answer GET /ready with 200; one that has missed two in a
    row gets no new channels."""

    def __init__(self, deployment):
        self.deployment = deployment
        self.misses = [0] * len(deployment.entries)
        self.task = asyncio.ensure_future(self.check_always())

    async def check(self, i):
        answer = await call(self.deployment.entries[i]["ready"], "GET",
                            "/ready", timeout=1.0)
        before = self.misses[i]
        self.misses[i] = 0 if answer.status == 200 else before + 1
        if (before < 2) != (self.misses[i] < 2):
            self.deployment.record.line("entry-%d is %s rotation" % (
                i, "in" if self.misses[i] < 2 else "out of"))

    async def check_always(self):
        while True:
            for i in range(len(self.misses)):
                asyncio.ensure_future(self.check(i))
            await asyncio.sleep(1.0)

    def node_for(self, client):
        """The entry that a new channel of CLIENT, a number, reaches."""
        ready = [i for i, m in enumerate(self.misses) if m < 2]
        ready = ready or list(range(len(self.misses)))
        if client % len(self.misses) in ready:
            return client % len(self.misses)
        return ready[client % len(ready)]


def run_case(folder, case):
    """Runs CASE (deployment record, trouble) and exits with its result."""
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def main():
        try:
            return await asyncio.wait_for(case(folder, trouble), 110)
        except CannotRun as error:
            print("cannot run: %s" % error)
            return NOT_RUN
        except asyncio.TimeoutError:
            print("cannot run: it took too long")
            return NOT_RUN

    try:
        result = asyncio.run(main())
    except OSError as error:
        print("cannot run: %s" % error)
        result = NOT_RUN
    sys.exit(result)
