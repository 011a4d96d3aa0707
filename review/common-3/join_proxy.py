"""Proxy before a dispatcher's RPC address.  It can hold up the first channel of
one runner: what the runner sends on it arrives later, and the end of the channel
after it.  All other channels are forwarded at once."""
import asyncio
import threading

HEADER_BYTES = 4
LAST_FRAGMENT = 0x80000000


class JoinProxy:
    def __init__(self, listen, target, runner, note):
        self.listen, self.target = listen, target
        self.runner, self.note = runner.encode(), note
        self.hold = False
        self.held = 0
        self.loop = asyncio.new_event_loop()
        self.released = None
        self.started = threading.Event()
        threading.Thread(target=self.run, daemon=True).start()
        self.started.wait(5)

    def release(self):
        self.loop.call_soon_threadsafe(self.released.set)

    def run(self):
        asyncio.set_event_loop(self.loop)
        self.released = asyncio.Event()
        host, port = self.listen.split(":")
        self.loop.run_until_complete(
            asyncio.start_server(self.accept, host, int(port)))
        self.started.set()
        self.loop.run_forever()

    async def accept(self, reader, writer):
        out = None
        try:
            mark = await reader.readexactly(HEADER_BYTES)
            length = int.from_bytes(mark, "big") & ~LAST_FRAGMENT
            first = mark + await reader.readexactly(length)
            if self.hold and self.held == 0 and self.runner in first:
                self.held += 1
                self.note("disruption: channel of %s is held up"
                          % self.runner.decode())
                await self.released.wait()
                self.note("disruption ends: what was held up arrives")
            host, port = self.target.split(":")
            back, out = await asyncio.open_connection(host, int(port))
            out.write(first)
            await asyncio.gather(self.forward(reader, out),
                                 self.forward(back, writer))
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            for w in (writer, out):
                if w is not None:
                    w.close()

    @staticmethod
    async def forward(reader, writer):
        try:
            while True:
                data = await reader.read(65536)
                if not data:
                    break
                writer.write(data)
                await writer.drain()
            writer.write_eof()
        except OSError:
            pass
