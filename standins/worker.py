#!/usr/bin/env python3
"""Stand-in for a worker: processors, memory and accelerators under a lease.

POST /lease {"holder","epoch","ttl_ms"}   epoch 0 asks for a new lease
     -> 200 {"epoch","ttl_ms","cores","memory_mb","accelerators"}
     -> 409 {"holder","left_ms"}   another's, or this epoch has lapsed
     When a lease lapses, all tasks under it are stopped.
POST /tasks {"epoch","submission","index","kind","cores","memory_mb",
             "accelerators","payload"}
     payload: run_ms, out_bytes, fail, uses_memory_mb, uses_cores
     -> 200 output when it ended, 500 failed, 410 stopped
     -> 409 not started: not under a lease in force
POST /stop {"submission","index"}
GET  /usage -> {"age_ms","cores","memory_mb","accelerators"} as of then
GET  /starts -> {"total","most","tasks","stopped","lapsed","peak":{...}}
POST /control {"usage_lag_ms": N, "fail_all": bool}
"""
import argparse
import asyncio
import json
import time

import httpd

SIZES = ("cores", "memory_mb", "accelerators")


class Worker:
    def __init__(self, total):
        self.total = total
        self.control = {"usage_lag_ms": 1000, "fail_all": False}
        self.epoch = 0
        self.holder = ""
        self.until = 0.0
        self.running = {}  # name -> (task, sizes declared, sizes used)
        self.starts = {}
        self.stopped = self.lapsed = 0
        self.peak = {s: 0 for s in SIZES}
        self.history = [(time.monotonic(), {s: 0 for s in SIZES})]

    # -- leases -----------------------------------------------------------

    def expire(self):
        if self.holder and time.monotonic() >= self.until:
            self.holder = ""
            self.lapsed += 1
            for name in list(self.running):
                self.stop(name)

    async def watch(self):
        while True:
            self.expire()
            await asyncio.sleep(0.02)

    def lease(self, ask):
        self.expire()
        now = time.monotonic()
        if self.holder == ask["holder"] and ask["epoch"] in (0, self.epoch):
            pass
        elif self.holder or ask["epoch"]:
            return 409, {"holder": self.holder,
                         "left_ms": int(max(0, self.until - now) * 1000)
                         if self.holder != ask["holder"] else 0}
        else:
            self.epoch += 1
            self.holder = ask["holder"]
        self.until = now + ask["ttl_ms"] / 1000
        return 200, dict(self.total, epoch=self.epoch, ttl_ms=ask["ttl_ms"])

    # -- tasks ------------------------------------------------------------

    def sum(self, which):
        return {s: sum(r[which][s] for r in self.running.values())
                for s in SIZES}

    def note(self):
        self.history.append((time.monotonic(), self.sum(2)))
        del self.history[:-500]
        declared = self.sum(1)
        for s in SIZES:
            self.peak[s] = max(self.peak[s], declared[s])

    def stop(self, name):
        if name in self.running:
            self.stopped += 1
            self.running[name][0].cancel()

    async def run(self, ask):
        self.expire()
        if not self.holder or ask["epoch"] != self.epoch:
            return 409, {"error": "lease"}
        name = "%s/%d" % (ask["submission"], ask["index"])
        payload = ask.get("payload") or {}
        self.starts[name] = self.starts.get(name, 0) + 1
        declared = {s: ask[s] for s in SIZES}
        used = {s: payload.get("uses_" + s, declared[s]) for s in SIZES}
        task = asyncio.create_task(
            asyncio.sleep(payload.get("run_ms", 50) / 1000))
        self.running[name] = (task, declared, used)
        self.note()
        try:
            await task
        except asyncio.CancelledError:
            return 410, {"error": "stopped"}
        finally:
            del self.running[name]
            self.note()
        if self.control["fail_all"] or payload.get("fail"):
            return 500, b"failed"
        return 200, ("%s:" % name).encode().ljust(
            int(payload.get("out_bytes", 0)), b"x")

    def usage(self):
        at = time.monotonic() - self.control["usage_lag_ms"] / 1000
        used = self.history[0][1]
        for when, sizes in self.history:
            if when <= at:
                used = sizes
        return 200, dict(used, age_ms=self.control["usage_lag_ms"])

    def report(self):
        return 200, {"total": sum(self.starts.values()),
                     "most": max(self.starts.values(), default=0),
                     "tasks": self.starts, "stopped": self.stopped,
                     "lapsed": self.lapsed, "peak": self.peak,
                     "epoch": self.epoch, "running": len(self.running)}

    async def handle(self, method, path, args, body):
        ask = json.loads(body or b"{}")
        if path == "/lease":
            return self.lease(ask)
        if path == "/tasks":
            return await self.run(ask)
        if path == "/stop":
            self.stop("%s/%d" % (ask["submission"], ask["index"]))
            return 200, {}
        if path == "/usage":
            return self.usage()
        if path == "/starts":
            return self.report()
        if path == "/control":
            self.control.update(ask)
            return 200, self.control
        return 404, {"error": "not found"}


async def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--listen", required=True)
    parser.add_argument("--cores", type=int, default=32)
    parser.add_argument("--memory-mb", type=int, default=131072)
    parser.add_argument("--accelerators", type=int, default=2)
    args = parser.parse_args()
    worker = Worker({"cores": args.cores, "memory_mb": args.memory_mb,
                     "accelerators": args.accelerators})
    watch = asyncio.create_task(worker.watch())
    await httpd.Server(worker.handle).serve(args.listen)
    await watch


asyncio.run(main())
