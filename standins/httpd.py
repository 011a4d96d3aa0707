"""A small asyncio HTTP/1.1 server shared by the stand-ins."""
import asyncio
import json
import urllib.parse


class Drop(Exception):
    """Raised by a handler to close the connection without an answer."""


class Args(dict):
    """The query of a request; headers by their names in lower case."""

    def __init__(self, query):
        super().__init__(urllib.parse.parse_qsl(query))
        self.headers = {}


class Server:
    def __init__(self, handler):
        self.handler = handler
        self.writers, self.outage, self.outage_s = set(), asyncio.Event(), 0

    async def serve(self, address):
        host, port = address.rsplit(":", 1)
        while True:
            server = await asyncio.start_server(
                self.serve_connection, host, int(port), backlog=512)
            async with server:
                await self.outage.wait()
                await self.stop_accepting(server)
            for writer in self.writers:
                writer.transport.abort()
            await asyncio.sleep(self.outage_s)
            self.outage.clear()

    @staticmethod
    async def stop_accepting(server):
        """asyncio (3.11) neither serves nor closes a connection whose accept is
        under way when its server is closed."""
        for listening in server.sockets:
            asyncio.get_running_loop().remove_reader(listening.fileno())
        await asyncio.sleep(0)

    def close_for(self, seconds):
        """Resets all connections and refuses new ones for some time."""
        self.outage_s = seconds
        self.outage.set()

    async def serve_connection(self, reader, writer):
        if self.outage.is_set():
            writer.transport.abort()
            return
        self.writers.add(writer)
        try:
            while await self.serve_request(reader, writer):
                pass
        except (ConnectionError, asyncio.IncompleteReadError, Drop):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def serve_request(self, reader, writer):
        line = await reader.readline()
        if not line:
            return False
        method, target, _ = line.decode("latin-1").split(" ", 2)
        path, _, query = target.partition("?")
        args = Args(query)
        while True:
            header = await reader.readline()
            if header in (b"\r\n", b"\n", b""):
                break
            name, _, value = header.decode("latin-1").partition(":")
            args.headers[name.strip().lower()] = value.strip()
        length = int(args.headers.get("content-length", 0))
        body = await reader.readexactly(length) if length else b""
        status, answer = await self.handler(method, path, args, body)
        if not isinstance(answer, bytes):
            answer = json.dumps(answer).encode()
        writer.write(b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
                     b"Content-Length: %d\r\n\r\n" % (status, len(answer)))
        writer.write(answer)
        await writer.drain()
        return True
