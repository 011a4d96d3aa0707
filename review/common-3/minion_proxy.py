"""Proxy before a minion.  It refuses connections while the minion is down, and
discards all that arrives, in both directions, while the minion is cut off."""
import asyncio
import threading


class MinionProxy:
    def __init__(self, listen, target):
        self.listen, self.target = listen, target
        self.cut = False
        self.connections = set()
        self.server = None
        self.loop = asyncio.new_event_loop()
        threading.Thread(target=self.run, daemon=True).start()
        self.call(self.open())

    def run(self):
        asyncio.set_event_loop(self.loop)
        self.loop.run_forever()

    def call(self, what):
        asyncio.run_coroutine_threadsafe(what, self.loop).result(5)

    async def open(self):
        host, port = self.listen.split(":")
        self.server = await asyncio.start_server(self.accept, host, int(port))

    async def close(self):
        self.server.close()
        for writer in list(self.connections):
            writer.transport.abort()

    def refuse(self):
        self.call(self.close())

    def listen_again(self):
        self.call(self.open())

    async def accept(self, reader, writer):
        self.connections.add(writer)
        out = None
        try:
            host, port = self.target.split(":")
            back, out = await asyncio.open_connection(host, int(port))
            await asyncio.gather(self.forward(reader, out),
                                 self.forward(back, writer))
        except OSError:
            pass
        finally:
            self.connections.discard(writer)
            for w in (writer, out):
                if w is not None:
                    w.close()

    async def forward(self, reader, writer):
        try:
            while True:
                data = await reader.read(65536)
                if not data:
                    break
                if not self.cut:
                    writer.write(data)
                    await writer.drain()
        except OSError:
            pass
        writer.close()
