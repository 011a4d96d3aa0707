#!/usr/bin/env python3
"""Stand-in for the platform's append-only log service.

POST /streams/NAME/append            body: record      -> {"offset": N}
GET  /streams/NAME/records?from=N&wait_ms=W&max=M
     -> {"first": F, "next": N, "records": [{"offset","ms","data"}]}
POST /control  {"down": bool, "slow_ms": N, "lose_replies": N,
                "retain": N, "rate": N}   -> all current settings
     down: all requests get 503
     slow_ms: delay before each request
     lose_replies: number of appends that are stored but not answered
     retain: records kept per stream, the newest (0: all)
     rate: limit of appends per second, 429 above it
GET  /stats -> {"appends","reads","refused","bytes"}
"""
import argparse
import asyncio
import json
import time

import httpd


class Log:
    def __init__(self):
        self.streams = {}
        self.control = {"down": False, "slow_ms": 0, "lose_replies": 0,
                        "retain": 0, "rate": 500}
        self.stats = {"appends": 0, "reads": 0, "refused": 0, "bytes": 0}
        self.rate_window = [0, 0]
        self.appended = asyncio.Condition()

    def stream(self, name):
        return self.streams.setdefault(name, {"first": 1, "records": []})

    def trim(self):
        keep = self.control["retain"]
        for stream in self.streams.values():
            extra = len(stream["records"]) - keep
            if keep and extra > 0:
                del stream["records"][:extra]
                stream["first"] += extra

    def over_rate(self):
        second = int(time.monotonic())
        if self.rate_window[0] != second:
            self.rate_window = [second, 0]
        self.rate_window[1] += 1
        return self.rate_window[1] > self.control["rate"]

    async def append(self, name, body):
        if self.over_rate():
            self.stats["refused"] += 1
            return 429, {"error": "rate"}
        stream = self.stream(name)
        offset = stream["first"] + len(stream["records"])
        stream["records"].append({
            "offset": offset, "ms": int(time.time() * 1000),
            "data": body.decode("utf-8", "replace")})
        self.stats["appends"] += 1
        self.trim()
        async with self.appended:
            self.appended.notify_all()
        if self.control["lose_replies"] > 0:
            self.control["lose_replies"] -= 1
            raise httpd.Drop
        return 200, {"offset": offset}

    async def read(self, name, args):
        start = int(args.get("from", 1))
        deadline = time.monotonic() + int(args.get("wait_ms", 0)) / 1000
        self.stats["reads"] += 1
        while True:
            stream = self.stream(name)
            first, records = stream["first"], stream["records"]
            after = first + len(records)
            remaining_s = deadline - time.monotonic()
            if start < after or remaining_s <= 0 or self.control["down"]:
                break
            async with self.appended:
                try:
                    await asyncio.wait_for(self.appended.wait(), remaining_s)
                except asyncio.TimeoutError:
                    pass
        if self.control["down"]:
            return 503, {"error": "down"}
        offset = max(start, first)
        part = records[offset - first:][:int(args.get("max", 1000))]
        answer = json.dumps({"first": first, "next": offset + len(part),
                             "records": part}).encode()
        self.stats["bytes"] += len(answer)
        return 200, answer

    async def handle(self, method, path, args, body):
        if path == "/control":
            if body:
                self.control.update(json.loads(body))
                self.trim()
                async with self.appended:
                    self.appended.notify_all()
            return 200, self.control
        if path == "/stats":
            return 200, self.stats
        if self.control["slow_ms"]:
            await asyncio.sleep(self.control["slow_ms"] / 1000)
        if self.control["down"]:
            return 503, {"error": "down"}
        parts = path.strip("/").split("/")
        if len(parts) == 3 and parts[0] == "streams":
            if method == "POST" and parts[2] == "append":
                return await self.append(parts[1], body)
            if method == "GET" and parts[2] == "records":
                return await self.read(parts[1], args)
        return 404, {"error": "not found"}


async def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--listen", required=True)
    args = parser.parse_args()
    await httpd.Server(Log().handle).serve(args.listen)


asyncio.run(main())
