#!/usr/bin/env python3
"""Stand-in for a minion: a backend server with slots.

POST /run  {"submission","index","kind","payload":{...}}
     payload: run_ms, out_bytes, fail, fail_kind   -> output bytes
GET  /health -> {"leaving": bool}
GET  /starts -> {"total": N, "most": N, "peak": N, "last_start": TIME,
                 "tasks": {"SUBMISSION/INDEX": N}}
     most: maximum starts of a single task; peak: maximum concurrent tasks
GET  /starts?summary=1   the same without "tasks"
POST /control {"fail_all": bool, "straggle": S, "factor": N,
               "leaving": bool, "fail_kind": NAME}
     straggle: probability that a task runs "factor" times as long
"""
import argparse
import asyncio
import json
import random
import time

import httpd


class Minion:
    def __init__(self, slots, seed):
        self.slots = slots
        self.control = {"fail_all": False, "straggle": 0.0, "factor": 10,
                        "leaving": False, "fail_kind": ""}
        self.starts = {}
        self.times = []
        self.running = 0
        self.peak = 0
        self.random = random.Random(seed)

    async def run(self, body):
        task = json.loads(body)
        key = "%s/%d" % (task["submission"], task["index"])
        self.starts[key] = self.starts.get(key, 0) + 1
        self.last_start = time.time()
        self.running += 1
        self.peak = max(self.peak, self.running)
        payload = task.get("payload") or {}
        try:
            if (self.control["fail_all"] or payload.get("fail")
                    or self.control["fail_kind"] == task["kind"] != ""):
                return 500, b"failed"
            run_ms = float(payload.get("run_ms", 50))
            if self.random.random() < self.control["straggle"]:
                run_ms *= self.control["factor"]
            await asyncio.sleep(run_ms / 1000)
            out = ("%s:" % payload.get("tag", key)).encode()
            return 200, out.ljust(int(payload.get("out_bytes", 0)), b"x")
        finally:
            self.running -= 1

    async def handle(self, method, path, args, body):
        if path == "/run" and method == "POST":
            return await self.run(body)
        if path == "/health":
            return 200, {"leaving": self.control["leaving"]}
        if path == "/starts":
            answer = {"total": sum(self.starts.values()),
                      "most": max(self.starts.values(), default=0),
                      "peak": self.peak,
                      "last_start": getattr(self, "last_start", 0)}
            if "summary" not in args:
                answer["tasks"] = self.starts
            return 200, answer
        if path == "/control":
            self.control.update(json.loads(body or b"{}"))
            return 200, self.control
        return 404, {"error": "not found"}


async def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--listen", required=True)
    parser.add_argument("--slots", type=int, default=8)
    parser.add_argument("--seed", type=int, default=1)
    args = parser.parse_args()
    minion = Minion(args.slots, args.seed)
    await httpd.Server(minion.handle).serve(args.listen)


asyncio.run(main())
