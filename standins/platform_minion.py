#!/usr/bin/env python3
"""Stand-in for a minion of the platform: runs, capacity, leases, tokens.

platform_minion.py ADDRESS AGENT SERVICE MCORES LOG

Reports to AGENT.  Like the platform's minions it executes every start, whether
or not there is capacity.  It appends each start and end to LOG, as one JSON
object a line with the capacity then in use; the tests check that record.  A
task's spec is JSON: run_ms, mcores, and fail if the task is to fail.

POST /test/mode sets by query: share (of orders that are executed but not
answered), late_s (delay after which these are executed), hang=1 (runs make no
progress), busy=1 (starts get 503), state=draining.
"""
import asyncio
import json
import random
import sys
import time
import urllib.request

from httpd import Drop, Server

REPORT_INTERVAL_S = 0.5
LEASE_MAX_MS = 1000
TICK_S = 0.005


class Run:
    def __init__(self, task, attempt, spec, now):
        self.task, self.attempt = task, attempt
        self.run_s = spec.get("run_ms", 50) / 1000
        self.mcores = spec.get("mcores", 1000)
        self.fail = spec.get("fail", False)
        self.worked_s, self.updated = 0.0, now


class Minion:
    def __init__(self, address, agent, service, mcores, log):
        self.address, self.agent, self.service = address, agent, service
        self.mcores, self.log = mcores, open(log, "a", buffering=1)
        self.started = time.monotonic()
        self.born = int(time.time() * 1000)
        self.runs, self.ends, self.barred = {}, [], {}
        self.token, self.expires, self.end_number, self.seq = 0, 0, 0, 0
        self.mode = {"share": 0.0, "late_s": 0.0, "hang": 0, "busy": 0}
        self.state, self.acknowledged = "ready", False
        self.ended = asyncio.Condition()

    def clock_ms(self):
        return int((time.monotonic() - self.started) * 1000) + 1

    def record(self, what, run, **more):
        used = sum(r.mcores for r in self.runs.values())
        self.log.write(json.dumps(dict(
            more, what=what, task=run.task, attempt=run.attempt,
            at=time.monotonic(), used=used, room=self.mcores,
            acknowledged=self.acknowledged)) + "\n")

    def end(self, run, how):
        del self.runs[run.task]
        self.end_number += 1
        self.ends.append([self.end_number, run.task, run.attempt, how, ""])
        self.bar(run.task, run.attempt)
        self.record("end", run, how=how)

    def bar(self, task, attempt):
        self.barred[task] = max(attempt, self.barred.get(task, 0))

    async def advance_runs(self):
        while True:
            await asyncio.sleep(TICK_S)
            now, before = time.monotonic(), self.end_number
            if self.clock_ms() > self.expires:
                for run in list(self.runs.values()):
                    self.end(run, "lapsed")
            for run in list(self.runs.values()):
                if not self.mode["hang"]:
                    run.worked_s += now - run.updated
                run.updated = now
                if run.worked_s >= run.run_s:
                    self.end(run, "failed" if run.fail else "done")
            if self.end_number != before:
                async with self.ended:
                    self.ended.notify_all()

    def extend_lease(self, body):
        wanted = int(body.get("expires_at_ms", 0))
        wanted = min(wanted, self.clock_ms() + LEASE_MAX_MS)
        self.expires = max(self.expires, wanted)

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
            self.record("start", run)
        return self.reply(200)

    def stop(self, body):
        run = self.runs.get(body["task"])
        self.bar(body["task"], body["attempt"])
        if run is not None and run.attempt <= body["attempt"]:
            self.end(run, "stopped")
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
        rows = [[r.task, r.attempt, "", int(100 * r.worked_s / r.run_s)]
                for r in self.runs.values()]
        return self.reply(200, running=rows, finished=self.ends[:500])

    async def order(self, path, body):
        if int(body["fencing_token"]) < self.token:
            return self.reply(409, reason="fence")
        self.token = int(body["fencing_token"])
        if path == "/hold":
            return await self.poll(body)
        if path == "/run-stop":
            return self.stop(body)
        if self.mode["busy"]:
            return self.reply(503)
        return self.start(body)

    async def execute_unanswered(self, path, body):
        await asyncio.sleep(self.mode["late_s"])
        await self.order(path, body)

    async def handle(self, method, path, args, body):
        if path == "/test/mode":
            self.state = args.pop("state", self.state)
            self.mode.update({k: float(v) for k, v in args.items()})
            return 200, {}
        if path not in ("/hold", "/run-start", "/run-stop"):
            return 404, {}
        body = json.loads(body)
        if random.random() < self.mode["share"]:
            asyncio.get_running_loop().create_task(
                self.execute_unanswered(path, body))
            await asyncio.sleep(1)
            raise Drop()
        return await self.order(path, body)

    def report(self):
        self.seq += 1
        body = {"service": self.service, "address": self.address,
                "zone": "z", "version": "v1", "capacity": 8,
                "state": self.state, "warmup_left_ms": 0, "seq": self.seq,
                "room": {"cpu": self.mcores, "mem_mb": 65536, "gpu": 0},
                "labels": ["a", "r1"], "clock_ms": self.clock_ms(),
                "born": self.born}
        request = urllib.request.Request(
            "http://%s/instances/i-1" % self.agent,
            json.dumps(body).encode(), method="PUT")
        try:
            urllib.request.urlopen(request, timeout=1).read()
        except OSError:
            return  # the agent may be down; the next report follows
        if body["state"] == "draining":
            self.acknowledged = True

    async def send_reports(self):
        loop = asyncio.get_running_loop()
        while True:
            await loop.run_in_executor(None, self.report)
            await asyncio.sleep(REPORT_INTERVAL_S)


async def main():
    address, agent, service, mcores, log = sys.argv[1:]
    minion = Minion(address, agent, service, int(mcores), log)
    await asyncio.gather(Server(minion.handle).serve(address),
                         minion.advance_runs(), minion.send_reports())


if __name__ == "__main__":
    asyncio.run(main())
