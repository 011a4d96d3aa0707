#!/usr/bin/env python3
"""Stand-in for the platform's store: keyed topics, newest records, long polls.

platform_store.py ADDRESS

Each append call adds one record, to a keyed topic with its key.  For tests, POST
/test/put?key=K with a value appends a record to keyed.op, and POST
/test/mode?mode=M sets the result of calls: "ok", "busy" (503), "silent" (no
answer), "cut" (reads are truncated), "gone" (reads get 410), "late" (appends
take effect after LATE_S).  POST /test/rewind?records=N loses the last N records
of keyed.op.
"""
import asyncio
import base64
import struct
import sys

from httpd import Drop, Server

SILENT_S = 30
LATE_S = 0.6


class Store:
    def __init__(self):
        self.records = {}
        self.mode = "ok"
        self.appended = asyncio.Condition()
        self.calls = 0

    async def put(self, topic, key, value):
        async with self.appended:
            self.records.setdefault(topic, []).append((key, value))
            self.appended.notify_all()

    def newest(self, topic):
        last = {}
        for offset, (key, value) in enumerate(self.records.get(topic, [])):
            last[key] = (value, offset)
        items = [{"key": k, "offset": o,
                  "value": base64.b64encode(v).decode()}
                 for k, (v, o) in last.items() if v]
        return {"items": items, "has_more": False,
                "end_offset": len(self.records.get(topic, []))}

    async def read(self, topic, start, wait_ms):
        records = self.records.setdefault(topic, [])
        async with self.appended:
            try:
                await asyncio.wait_for(
                    self.appended.wait_for(lambda: len(records) > start),
                    wait_ms / 1000)
            except asyncio.TimeoutError:
                pass
        out = struct.pack(">QQ", len(records), 0)
        for key, value in records[start:]:
            prefix = b"" if key is None else bytes([len(key)]) + key.encode()
            content = prefix + value
            out += struct.pack(">I", len(content)) + content
        return out

    async def apply_fault(self, path):
        if self.mode == "busy":
            return 503, {}
        if self.mode == "silent":
            await asyncio.sleep(SILENT_S)
            raise Drop()
        if self.mode == "gone" and path == "/log-read":
            return 410, {"start_offset": 0}
        return None

    async def handle(self, method, path, args, body):
        if path == "/test/put":
            await self.put("keyed.op", args["key"], body)
            return 200, {}
        if path == "/test/rewind":
            del self.records["keyed.op"][-int(args["records"]):]
            return 200, {}
        if path == "/test/mode":
            self.mode = args["mode"]
            return 200, {}
        if path == "/test/calls":
            return 200, {"calls": self.calls}
        self.calls += 1
        fault = await self.apply_fault(path)
        if fault is not None:
            return fault
        keyed = args.get("topic", "").startswith("keyed.")
        if path == "/log-append":
            (length,) = struct.unpack(">I", body[:4])
            if length != len(body) - 4 or (keyed and body[4] >= length):
                return 400, {}
            if self.mode == "late":
                await asyncio.sleep(LATE_S)
            if keyed:
                await self.put(args["topic"], body[5:5 + body[4]].decode(),
                               body[5 + body[4]:])
            else:
                await self.put(args["topic"], None, body[4:])
            return 200, {"offset": len(self.records[args["topic"]]) - 1}
        if path == "/log-newest":
            return 200, self.newest(args["topic"])
        if path == "/log-read":
            if not keyed and args["topic"] not in self.records:
                return 404, {}
            out = await self.read(args["topic"], int(args["from"]),
                                  int(args.get("wait_ms", 0)))
            return 200, out[:len(out) // 2] if self.mode == "cut" else out
        return 404, {}


async def main():
    store = Store()
    await Server(store.handle).serve(sys.argv[1])


if __name__ == "__main__":
    asyncio.run(main())
