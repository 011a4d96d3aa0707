#!/usr/bin/env python3
"""TCP proxy that injects network faults, one listener per route.

fault_proxy.py --control IP:PORT --route NAME=IP:PORT>IP:PORT ...

POST /control {"route": NAME or "*", ...} with any of
     "from": IP              apply the faults below, except delay_ms, only to
                             connections from this address
     "delay_ms": N           delay of each direction
     "cut": bool             reset open connections and refuse new ones, until
                             set to false ("from" "": all addresses)
     "reset": bool           reset open connections once
     "drop": "in"|"out"|""   discard the data of one direction ("in" is towards
                             the target) on open and new connections
     "freeze": N or "all"    stop forwarding on N of the open connections; new
                             connections are not affected
     "freeze_way": "in"|"out"|"both"   direction to freeze, default "both"
     "thaw": true            resume forwarding on frozen connections
     "link": NAME, "rate": N routes with the same NAME share N bytes/s in each
                             direction, in order of arrival; 0: no limit
GET  /stats -> per route: open, frozen, bytes
"""
import argparse
import asyncio
import json
import socket

import httpd


# Bytes that a limited link forwards at a time; a round-robin of the connections.
CHUNK = 8192
# Pairs of links, one for each direction, by name.
LINKS = {}


class Link:
    """Bandwidth shared by the connections of some routes, in one direction."""

    def __init__(self, rate):
        self.rate = rate
        self.free_at = 0.0

    async def transmit(self, size):
        if self.rate == 0:
            return
        now = asyncio.get_running_loop().time()
        self.free_at = max(self.free_at, now) + size / self.rate
        await asyncio.sleep(self.free_at - now)


class Connection:
    def __init__(self, route, source):
        self.route = route
        self.source = source
        self.frozen = set()
        self.wake = asyncio.Event()
        self.lost_data = False
        self.writers = []

    def close(self):
        for w in self.writers:
            w.transport.abort()


class Route:
    def __init__(self, name, listen, target):
        self.name, self.listen, self.target = name, listen, target
        self.delay = 0.0
        self.links = {}
        self.cut = None  # source address to refuse, "" for all, or None
        self.drop = ""
        self.drop_from = ""
        self.connections = set()
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
            target_reader, target_writer = await asyncio.open_connection(
                host, int(port))
        except OSError:
            writer.transport.abort()
            return
        for w in (writer, target_writer):
            sock = w.get_extra_info("socket")
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        conn = Connection(self, source)
        conn.writers = [writer, target_writer]
        self.connections.add(conn)
        await asyncio.gather(
            self.pump(conn, "in", reader, target_writer),
            self.pump(conn, "out", target_reader, writer))
        self.connections.discard(conn)

    async def pump(self, conn, direction, reader, writer):
        queue = asyncio.Queue()
        sender = asyncio.create_task(
            self.deliver(conn, direction, queue, writer))
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

    async def deliver(self, conn, direction, queue, writer):
        loop = asyncio.get_running_loop()
        while True:
            due, data = await queue.get()
            if due > loop.time():
                await asyncio.sleep(due - loop.time())
            while direction in conn.frozen:
                conn.wake.clear()
                await conn.wake.wait()
            if data is None:
                writer.transport.abort()
                return
            if not data:
                writer.close()
                return
            if self.drop == direction and self.drop_from in ("", conn.source):
                conn.lost_data = True
                continue
            self.bytes += len(data)
            try:
                await self.write(direction, data, writer)
            except OSError:
                pass

    async def write(self, direction, data, writer):
        link = self.links.get(direction)
        size = CHUNK if link else len(data)
        for at in range(0, len(data), size):
            chunk = data[at:at + size]
            if link:
                await link.transmit(len(chunk))
            writer.write(chunk)
            await writer.drain()

    def apply_fault(self, fault):
        source = fault.get("from", "")
        chosen = [x for x in self.connections if source in ("", x.source)]
        if "delay_ms" in fault:
            self.delay = fault["delay_ms"] / 1000
        if "drop" in fault:
            self.drop = fault["drop"]
            self.drop_from = source
            # TCP cannot skip lost bytes: close connections that lost some.
            for conn in [x for x in self.connections if x.lost_data]:
                conn.close()
        if "cut" in fault:
            self.cut = source if fault["cut"] else None
        if fault.get("cut") or fault.get("reset"):
            for conn in chosen:
                conn.close()
        if "freeze" in fault:
            self.freeze(fault, chosen)
        if fault.get("thaw"):
            for conn in chosen:
                conn.frozen.clear()
                conn.wake.set()

    def freeze(self, fault, connections):
        directions = {"in", "out"}
        if fault.get("freeze_way", "both") != "both":
            directions = {fault["freeze_way"]}
        connections = sorted(connections, key=id)
        if fault["freeze"] != "all":
            connections = connections[:fault["freeze"]]
        for conn in connections:
            conn.frozen |= directions


def set_rate(name, rate, chosen):
    """Adds the chosen routes to the link NAME, and sets its rate."""
    pair = LINKS.setdefault(name, {"in": Link(rate), "out": Link(rate)})
    for link in pair.values():
        link.rate = rate
    for route in chosen:
        route.links = pair if rate else {}


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
            return 200, {n: {"open": len(r.connections), "bytes": r.bytes,
                             "frozen": sum(bool(x.frozen)
                                           for x in r.connections)}
                         for n, r in routes.items()}
        fault = json.loads(body or b"{}")
        name = fault.get("route", "*")
        chosen = [r for n, r in routes.items() if name in ("*", n)]
        if not chosen:
            return 404, {"error": "no such route"}
        for route in chosen:
            route.apply_fault(fault)
        if "rate" in fault:
            set_rate(fault["link"], fault["rate"], chosen)
        return 200, {"changed": [r.name for r in chosen]}

    await httpd.Server(handle).serve(args.control)


asyncio.run(main())
