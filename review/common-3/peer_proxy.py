"""Proxy before a dispatcher's RPC address.  While it cuts, it discards what
arrives on connections of other dispatchers, in both directions; connections of
runners are forwarded all the time."""
import asyncio
import threading

# The number of the procedure, in the header of the first call.
PROCEDURE_AT = 24
HEADER_BYTES = 28
PEER_EXCHANGE = 18


class PeerProxy:
    def __init__(self, listen, target):
        self.listen, self.target = listen, target
        self.cut = False
        self.discarded = 0
        self.loop = asyncio.new_event_loop()
        self.started = threading.Event()
        threading.Thread(target=self.run, daemon=True).start()
        self.started.wait(5)

    def run(self):
        asyncio.set_event_loop(self.loop)
        host, port = self.listen.split(":")
        self.loop.run_until_complete(
            asyncio.start_server(self.accept, host, int(port)))
        self.started.set()
        self.loop.run_forever()

    async def accept(self, reader, writer):
        out = None
        try:
            head = await reader.readexactly(HEADER_BYTES)
            procedure = int.from_bytes(
                head[PROCEDURE_AT:PROCEDURE_AT + 4], "big")
            host, port = self.target.split(":")
            back, out = await asyncio.open_connection(host, int(port))
            is_peer = procedure == PEER_EXCHANGE
            await asyncio.gather(
                self.forward(reader, out, is_peer, head),
                self.forward(back, writer, is_peer, b""))
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            for w in (writer, out):
                if w is not None:
                    w.close()

    async def forward(self, reader, writer, is_peer, data):
        try:
            while True:
                if is_peer and self.cut:
                    self.discarded += len(data)
                    # What was lost cannot be followed by later data.
                    await reader.read(-1)
                    break
                writer.write(data)
                await writer.drain()
                data = await reader.read(65536)
                if not data:
                    break
        except OSError:
            pass
        writer.close()
