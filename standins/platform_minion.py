#!/usr/bin/env python3
"""Stand-in for a minion of the platform: runs, capacity, leases, tokens.

platform_minion.py ADDRESS AGENT SERVICE MCORES LOG

Reports to AGENT.  Like the platform's minions it executes every start, whether
or not there is capacity.  It appends each start and end to LOG, as one JSON
object a line with the capacity then in use, each change of its capacity and of
its lease, and when its report that it is leaving was acknowledged; the tests
check that record.
A run ends with its lease also if this process was stalled then: the record has
the time of the expiry, and nothing that arrived meanwhile extends the lease.  A task's spec is JSON:
run_ms, mcores, fail if the task is to fail, crash_ms if the minion is to crash
after so much of its work.  A crashed minion is down for CRASH_S and then runs
nothing and remembers nothing; it has a new id, and refuses orders meant for
another one.

POST /test/mode sets by query: share (of orders that are executed but not
answered), late_s (delay after which these are executed), crash=1 (it crashes
at once), hang=1 (runs make no progress), busy=1 (starts get 503),
state=draining, mcores (its capacity from now on), refuse=1 (while crashed it refuses connections; otherwise it is
silent), mute=1 (no reports), interval_s (time between reports), back_s (its
clock goes back so far as it crashes), malformed=N (polls get the Nth of
MALFORMED instead of the lists of runs), stop_ms (time that a stop takes),
keep_id=1 (it has the same id after a crash), warm_s (it says that it is cold for
so long after each start), cool=1 (it says so from now on), cut=1 (the next start is executed, its
connection is closed without an answer, and if it is sent again it gets 503).
"""
import asyncio
import json
import random
import sys
import time
import urllib.request

from httpd import Drop, Server

LEASE_MAX_MS = 1000
TICK_S = 0.005
CRASH_S = 3.3


MALFORMED = [
    {"running": [5], "finished": []}, {"running": [["x"]], "finished": []},
    {"running": [[None, 1, "", 5]], "finished": []}, {"finished": []},
    {"running": [], "finished": [7]}, {"running": [], "finished": [[1]]},
    {"running": {}, "finished": []}, {"running": []}, {},
    {"running": [], "finished": [[2 ** 70, "x", 1, "done", ""]]},
    {"running": [["x", 2 ** 64, "", 1]], "finished": []},
    {"running": [["x", 1, [[[[[[[[[[[[[[[[[[]]]]]]]]]]]]]]]]]], 1]],
     "finished": []}]


class Run:
    def __init__(self, task, attempt, spec, now):
        self.task, self.attempt = task, attempt
        self.run_s = spec.get("run_ms", 50) / 1000
        self.mcores = spec.get("mcores", 1000)
        self.fail = spec.get("fail", False)
        self.crash_s = spec.get("crash_ms", float("inf")) / 1000
        self.worked_s, self.updated = 0.0, now


class Minion:
    def __init__(self, address, agent, service, mcores, log):
        self.address, self.agent, self.service = address, agent, service
        self.mcores, self.log = mcores, open(log, "a", buffering=1)
        self.mode = {"share": 0.0, "late_s": 0.0, "hang": 0, "busy": 0,
                     "refuse": 0, "mute": 0, "back_s": 0.0, "interval_s": 0.5,
                     "malformed": 0, "cut": 0, "stop_ms": 0, "keep_id": 0,
                     "warm_s": 0.0}
        self.cut = None
        self.state, self.acknowledged = "ready", False
        self.ended, self.down = asyncio.Condition(), False
        self.server, self.life = Server(self.handle), 0
        self.begin_life()
        self.record_room()

    def begin_life(self):
        self.started = self.cold_since = time.monotonic()
        self.born = int((time.time() - self.mode["back_s"]) * 1000)
        self.life += 1
        self.runs, self.ends, self.barred = {}, [], {}
        self.token, self.expires, self.end_number, self.seq = 0, 0, 0, 0

    async def crash(self):
        if self.down:
            return
        self.down = True
        self.log.write(json.dumps({"what": "gone", "at": time.monotonic(),
                                   "crashed": list(self.runs)}) + "\n")
        self.runs = {}
        if self.mode["refuse"]:
            self.server.close_for(CRASH_S)
        await asyncio.sleep(CRASH_S)
        self.begin_life()
        self.down = False

    def record_room(self):
        self.log.write(json.dumps({"what": "room", "room": self.mcores,
                                   "at": time.monotonic()}) + "\n")

    def id(self):
        return "i-%d" % (1 if self.mode["keep_id"] else self.life)

    def clock_ms(self):
        return int((time.monotonic() - self.started) * 1000) + 1

    def record(self, what, run, at, **more):
        used = sum(r.mcores for r in self.runs.values())
        self.log.write(json.dumps(dict(
            more, what=what, task=run.task, attempt=run.attempt,
            at=at, used=used, room=self.mcores,
            acknowledged=self.acknowledged)) + "\n")

    def end(self, run, how, at):
        del self.runs[run.task]
        self.end_number += 1
        self.ends.append([self.end_number, run.task, run.attempt, how, ""])
        self.bar(run.task, run.attempt)
        self.record("end", run, at, how=how)

    def bar(self, task, attempt):
        self.barred[task] = max(attempt, self.barred.get(task, 0))

    async def advance_runs(self):
        told = 0
        while True:
            await asyncio.sleep(TICK_S)
            if self.advance():
                await self.crash()
            if self.end_number != told:
                told = self.end_number
                async with self.ended:
                    self.ended.notify_all()

    def advance(self):
        """Works on the runs until now, or until their lease has expired.  Returns
        True if one of them crashes the minion."""
        now = time.monotonic()
        expired = self.clock_ms() > self.expires
        until = min(now, self.started + self.expires / 1000) if expired else now
        for run in list(self.runs.values()):
            if not self.mode["hang"]:
                run.worked_s += max(0, until - run.updated)
            run.updated = max(until, run.updated)
            if run.worked_s >= run.crash_s:
                return True
            if run.worked_s >= run.run_s:
                self.end(run, "failed" if run.fail else "done", run.updated)
            elif expired:
                self.end(run, "lapsed", run.updated)
        return False

    def extend_lease(self, body):
        wanted = int(body.get("expires_at_ms", 0))
        wanted = min(wanted, self.clock_ms() + LEASE_MAX_MS)
        if wanted <= self.expires:
            return
        self.expires = wanted
        self.log.write(json.dumps({
            "what": "lease", "at": time.monotonic(),
            "until": self.started + wanted / 1000}) + "\n")

    def reply(self, status, **more):
        return status, dict(more, clock_ms=self.clock_ms(), born=self.born)

    def start(self, body):
        task, attempt = body["task"], body["attempt"]
        if attempt <= self.barred.get(task, 0):
            return self.reply(409, reason="old")
        if int(body.get("expires_at_ms", 0)) <= self.clock_ms():
            return self.reply(409, reason="late")
        self.extend_lease(body)
        if task not in self.runs:
            run = Run(task, attempt, json.loads(body["spec"]),
                      time.monotonic())
            self.runs[task] = run
            self.record("start", run, run.updated)
        return self.reply(200)

    async def stop(self, body):
        run = self.runs.get(body["task"])
        self.bar(body["task"], body["attempt"])
        if run is not None and run.attempt <= body["attempt"]:
            await asyncio.sleep(self.mode["stop_ms"] / 1000)
            if self.runs.get(body["task"]) is run:
                self.end(run, "stopped", time.monotonic())
        return self.reply(200)

    async def poll(self, body):
        acked = int(body["acked_through"])
        self.ends = [e for e in self.ends if e[0] > acked]
        self.extend_lease(body)
        if not self.ends:
            async with self.ended:
                try:
                    await asyncio.wait_for(
                        self.ended.wait_for(lambda: self.ends),
                        int(body.get("wait_ms", 0)) / 1000)
                except asyncio.TimeoutError:
                    pass
        if self.mode["malformed"]:
            return self.reply(200, **MALFORMED[int(self.mode["malformed"]) - 1])
        rows = [[r.task, r.attempt, "", int(100 * r.worked_s / r.run_s)]
                for r in self.runs.values()]
        return self.reply(200, running=rows, finished=self.ends[:500])

    async def order(self, path, body, meant):
        if meant not in (None, self.id()):
            return self.reply(421)
        if int(body["fencing_token"]) < self.token:
            return self.reply(409, reason="fence")
        self.token = int(body["fencing_token"])
        if self.advance():
            await self.crash()
            raise Drop()
        if path == "/hold":
            return await self.poll(body)
        if path == "/run-stop":
            return await self.stop(body)
        name = (body["task"], body["attempt"])
        if self.mode["busy"] or name == self.cut:
            return self.reply(503)
        answer = self.start(body)
        if self.mode["cut"]:
            self.mode["cut"], self.cut = 0, name
            raise Drop()
        return answer

    async def execute_unanswered(self, path, body, meant):
        await asyncio.sleep(self.mode["late_s"])
        if not self.down:
            await self.order(path, body, meant)

    async def handle(self, method, path, args, body):
        if path == "/test/mode":
            if args.pop("crash", None):
                asyncio.get_running_loop().create_task(self.crash())
            if args.pop("cool", None):
                self.cold_since = time.monotonic()
            self.state = args.pop("state", self.state)
            self.mcores = int(args.pop("mcores", self.mcores))
            self.record_room()
            self.mode.update({k: float(v) for k, v in args.items()})
            return 200, {}
        if path not in ("/hold", "/run-start", "/run-stop"):
            return 404, {}
        body = json.loads(body)
        meant = args.headers.get("x-target-instance")
        if random.random() < self.mode["share"]:
            asyncio.get_running_loop().create_task(
                self.execute_unanswered(path, body, meant))
            await asyncio.sleep(1)
            raise Drop()
        answer = None
        if not self.down:
            life = self.born
            answer = await self.order(path, body, meant)
        if self.down or life != self.born:
            await asyncio.sleep(CRASH_S)
            raise Drop()
        return answer

    def cold_left_ms(self):
        left_s = self.cold_since + self.mode["warm_s"] - time.monotonic()
        return max(0, int(left_s * 1000))

    def report(self):
        self.seq += 1
        body = {"service": self.service, "address": self.address,
                "zone": "z", "version": "v1", "capacity": 8,
                "state": self.state, "seq": self.seq,
                "warmup_left_ms": self.cold_left_ms(),
                "room": {"cpu": self.mcores, "mem_mb": 65536, "gpu": 0},
                "labels": ["a", "r1"], "clock_ms": self.clock_ms(),
                "born": self.born}
        request = urllib.request.Request(
            "http://%s/instances/%s" % (self.agent, self.id()),
            json.dumps(body).encode(), method="PUT")
        try:
            urllib.request.urlopen(request, timeout=1).read()
        except OSError:
            return  # the agent may be down; the next report follows
        if body["state"] == "draining" and not self.acknowledged:
            self.acknowledged = True
            self.log.write(json.dumps({"what": "acknowledged",
                                       "at": time.monotonic()}) + "\n")

    async def send_reports(self):
        loop = asyncio.get_running_loop()
        while True:
            if not self.down and not self.mode["mute"]:
                await loop.run_in_executor(None, self.report)
            await asyncio.sleep(self.mode["interval_s"])


async def main():
    address, agent, service, mcores, log = sys.argv[1:]
    minion = Minion(address, agent, service, int(mcores), log)
    await asyncio.gather(minion.server.serve(address),
                         minion.advance_runs(), minion.send_reports())


if __name__ == "__main__":
    asyncio.run(main())
