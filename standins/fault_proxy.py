#!/usr/bin/env python3
"""TCP proxy that brings about network faults, one listener per route.

fault_proxy.py --control IP:PORT --route NAME=IP:PORT>IP:PORT ...

POST /control {"route": NAME or "*", ...} with any of
     "from": IP              only connections from this address
     "delay_ms": N           one way, both directions
     "cut": bool             reset open connections, refuse new ones ("from"
                             names those refused; "" for all)
     "reset": bool           reset open connections once
     "drop": "in"|"out"|""   silently drop one direction (towards the target:
                             "in") of all connections, open and new
     "freeze": N or "all"    freeze so many of the open connections for good,
                             both directions, while new ones work
     "freeze_way": "in"|"out"|"both"
     "thaw": true            let frozen connections go on
GET  /stats -> per route: open, frozen, bytes
"""
import argparse
import asyncio
import json
import socket

import httpd


class Link:
    def __init__(self, route, source):
        self.route = route
        self.source = source
        self.frozen = set()
        self.wake = asyncio.Event()
        self.lost = False
        self.writers = []

    def close(self):
        for w in self.writers:
            w.transport.abort()


class Route:
    def __init__(self, name, listen, target):
        self.name, self.listen, self.target = name, listen, target
        self.delay = 0.0
        self.cut = None  # "" for everybody, or the address that is cut off
        self.drop = ""
        self.drop_from = ""
        self.links = set()
        self.bytes = 0

    async def start(self):
        host, port = self.listen.rsplit(":", 1)
        await asyncio.start_server(self.accept, host, int(port), backlog=512)

    async def accept(self, reader, writer):
        source = writer.get_extra_info("peername")[0]
        if self.cut is not None and self.cut in ("", source):
            writer.transport.abort()
            return
        host, port = self.target.rsplit(":", 1)
        try:
            far_reader, far_writer = await asyncio.open_connection(
                host, int(port))
        except OSError:
            writer.transport.abort()
            return
        for w in (writer, far_writer):
            sock = w.get_extra_info("socket")
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        link = Link(self, source)
        link.writers = [writer, far_writer]
        self.links.add(link)
        await asyncio.gather(self.pump(link, "in", reader, far_writer),
                             self.pump(link, "out", far_reader, writer))
        self.links.discard(link)

    async def pump(self, link, way, reader, writer):
        queue = asyncio.Queue()
        sender = asyncio.create_task(self.deliver(link, way, queue, writer))
        loop = asyncio.get_running_loop()
        try:
            while True:
                data = await reader.read(262144)
                queue.put_nowait((loop.time() + self.delay, data))
                if not data:
                    break
        except OSError:
            queue.put_nowait((loop.time(), None))
        await sender

    async def deliver(self, link, way, queue, writer):
        loop = asyncio.get_running_loop()
        while True:
            due, data = await queue.get()
            if due > loop.time():
                await asyncio.sleep(due - loop.time())
            while way in link.frozen:
                link.wake.clear()
                await link.wake.wait()
            if data is None:
                writer.transport.abort()
                return
            if not data:
                writer.close()
                return
            if self.drop == way and self.drop_from in ("", link.source):
                link.lost = True
                continue
            self.bytes += len(data)
            try:
                writer.write(data)
                await writer.drain()
            except OSError:
                pass

    def change(self, what):
        source = what.get("from", "")
        chosen = [x for x in self.links if source in ("", x.source)]
        if "delay_ms" in what:
            self.delay = what["delay_ms"] / 1000
        if "drop" in what:
            self.drop = what["drop"]
            self.drop_from = source
            # TCP delivers no bytes after lost ones: such connections are over.
            for link in [x for x in self.links if x.lost]:
                link.close()
        if "cut" in what:
            self.cut = source if what["cut"] else None
        if what.get("cut") or what.get("reset"):
            for link in chosen:
                link.close()
        if "freeze" in what:
            self.freeze(what, chosen)
        if what.get("thaw"):
            for link in chosen:
                link.frozen.clear()
                link.wake.set()

    def freeze(self, what, links):
        ways = {"in", "out"}
        if what.get("freeze_way", "both") != "both":
            ways = {what["freeze_way"]}
        links = sorted(links, key=id)
        if what["freeze"] != "all":
            links = links[:what["freeze"]]
        for link in links:
            link.frozen |= ways


async def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--control", required=True)
    parser.add_argument("--route", action="append", default=[])
    args = parser.parse_args()
    routes = {}
    for text in args.route:
        name, rest = text.split("=", 1)
        listen, target = rest.split(">", 1)
        routes[name] = Route(name, listen, target)
        await routes[name].start()

    async def handle(method, path, query, body):
        if path == "/stats":
            return 200, {n: {"open": len(r.links), "bytes": r.bytes,
                             "frozen": sum(bool(x.frozen) for x in r.links)}
                         for n, r in routes.items()}
        what = json.loads(body or b"{}")
        name = what.get("route", "*")
        chosen = [r for n, r in routes.items() if name in ("*", n)]
        if not chosen:
            return 404, {"error": "no such route"}
        for route in chosen:
            route.change(what)
        return 200, {"changed": [r.name for r in chosen]}

    await httpd.Server(handle).serve(args.control)


asyncio.run(main())
