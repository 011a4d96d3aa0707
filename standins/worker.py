#!/usr/bin/env python3
"""Stand-in for a worker: processors, memory and accelerators under a lease.

POST /lease {"holder","epoch","ttl_ms"}   epoch 0 requests a new lease
     -> 200 {"epoch","ttl_ms","cores","memory_mb","accelerators"}
     -> 409 {"holder","left_ms"}   held by another, or the epoch has expired
     When a lease expires, all tasks started under it are stopped.
POST /tasks {"epoch","submission","index","kind","cores","memory_mb",
             "accelerators","payload"}
     payload: run_ms, out_bytes, fail, uses_memory_mb, uses_cores
     -> 200 output after it succeeded, 500 failed, 410 stopped
     -> 409 not started: the epoch is not that of the current lease
POST /stop {"submission","index"}
GET  /usage -> {"age_ms","cores","memory_mb","accelerators"}   usage age_ms ago
GET  /starts -> {"total","most","tasks","stopped","lapsed","peak":{...},
                 "epoch","running"}
     most: maximum starts of a single task; lapsed: number of expired leases;
     peak: maximum of the declared sizes in total
POST /control {"usage_lag_ms": N, "fail_all": bool, "total": {sizes},
              "bad_leases": N, "bad_usage": bool}
     total: its sizes from now on; bad_leases: so many answers to renewals, and
     bad_usage: all answers to usage requests, are not JSON
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
        self.control = {"usage_lag_ms": 1000, "fail_all": False,
                        "total": total, "bad_leases": 0, "bad_usage": False}
        self.epoch = 0
        self.holder = ""
        self.expires_at = 0.0
        self.running = {}  # name -> (asyncio task, declared sizes, used sizes)
        self.starts = {}
        self.stopped_tasks = self.expired_leases = 0
        self.peak = {s: 0 for s in SIZES}
        self.history = [(time.monotonic(), {s: 0 for s in SIZES})]

    # -- leases -----------------------------------------------------------

    def expire_lease(self):
        if self.holder and time.monotonic() >= self.expires_at:
            self.holder = ""
            self.expired_leases += 1
            for name in list(self.running):
                self.stop(name)

    async def expire_leases(self):
        while True:
            self.expire_lease()
            await asyncio.sleep(0.02)

    def grant_lease(self, request):
        self.expire_lease()
        now = time.monotonic()
        if (self.holder == request["holder"]
                and request["epoch"] in (0, self.epoch)):
            pass
        elif self.holder or request["epoch"]:
            return 409, {"holder": self.holder,
                         "left_ms": int(max(0, self.expires_at - now) * 1000)
                         if self.holder != request["holder"] else 0}
        else:
            self.epoch += 1
            self.holder = request["holder"]
        self.expires_at = now + request["ttl_ms"] / 1000
        if self.control["bad_leases"] > 0:
            self.control["bad_leases"] -= 1
            return 200, b"{\"epoch\": "
        return 200, dict(self.control["total"], epoch=self.epoch,
                         ttl_ms=request["ttl_ms"])

    # -- tasks ------------------------------------------------------------

    def total_sizes(self, column):
        return {s: sum(r[column][s] for r in self.running.values())
                for s in SIZES}

    def record_usage(self):
        self.history.append((time.monotonic(), self.total_sizes(2)))
        del self.history[:-500]
        declared = self.total_sizes(1)
        for s in SIZES:
            self.peak[s] = max(self.peak[s], declared[s])

    def stop(self, name):
        if name in self.running:
            self.stopped_tasks += 1
            self.running[name][0].cancel()

    async def run(self, request):
        self.expire_lease()
        if not self.holder or request["epoch"] != self.epoch:
            return 409, {"error": "lease"}
        name = "%s/%d" % (request["submission"], request["index"])
        payload = request.get("payload") or {}
        self.starts[name] = self.starts.get(name, 0) + 1
        declared = {s: request[s] for s in SIZES}
        used = {s: payload.get("uses_" + s, declared[s]) for s in SIZES}
        task = asyncio.create_task(
            asyncio.sleep(payload.get("run_ms", 50) / 1000))
        self.running[name] = (task, declared, used)
        self.record_usage()
        try:
            await task
        except asyncio.CancelledError:
            return 410, {"error": "stopped"}
        finally:
            del self.running[name]
            self.record_usage()
        if self.control["fail_all"] or payload.get("fail"):
            return 500, b"failed"
        return 200, ("%s:" % name).encode().ljust(
            int(payload.get("out_bytes", 0)), b"x")

    def usage(self):
        at = time.monotonic() - self.control["usage_lag_ms"] / 1000
        if self.control["bad_usage"]:
            return 200, b"{"
        used = self.history[0][1]
        for when, sizes in self.history:
            if when <= at:
                used = sizes
        return 200, dict(used, age_ms=self.control["usage_lag_ms"])

    def report_starts(self):
        return 200, {"total": sum(self.starts.values()),
                     "most": max(self.starts.values(), default=0),
                     "tasks": self.starts, "stopped": self.stopped_tasks,
                     "lapsed": self.expired_leases, "peak": self.peak,
                     "epoch": self.epoch, "running": len(self.running)}

    async def handle(self, method, path, args, body):
        request = json.loads(body or b"{}")
        if path == "/lease":
            return self.grant_lease(request)
        if path == "/tasks":
            return await self.run(request)
        if path == "/stop":
            self.stop("%s/%d" % (request["submission"], request["index"]))
            return 200, {}
        if path == "/usage":
            return self.usage()
        if path == "/starts":
            return self.report_starts()
        if path == "/control":
            self.control.update(request)
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
    expiry = asyncio.create_task(worker.expire_leases())
    await httpd.Server(worker.handle).serve(args.listen)
    await expiry


asyncio.run(main())
