"""A TCP proxy in front of a dispatcher's RPC address.  It can reset the
connections of one peer, which it knows by a text in the first bytes that the
peer sends: a runner's name stands in its join."""
import socket
import struct
import threading

FIRST_BYTES = 4096


class Proxy:
    def __init__(self, listen, target):
        self.target = self.parse(target)
        self.open = []
        self.lock = threading.Lock()
        self.socket = socket.socket()
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.socket.bind(self.parse(listen))
        self.socket.listen(64)
        threading.Thread(target=self.accept, daemon=True).start()

    @staticmethod
    def parse(address):
        host, port = address.split(":")
        return host, int(port)

    def accept(self):
        while True:
            try:
                near, _ = self.socket.accept()
            except OSError:
                return
            try:
                far = socket.create_connection(self.target, timeout=1)
            except OSError:
                near.close()
                continue
            far.settimeout(None)
            pair = {"near": near, "far": far, "first": b""}
            for s in (near, far):
                s.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            with self.lock:
                self.open.append(pair)
            for source, sink in ((near, far), (far, near)):
                threading.Thread(target=self.copy, args=(pair, source, sink),
                                 daemon=True).start()

    def copy(self, pair, source, sink):
        try:
            while True:
                data = source.recv(65536)
                if not data:
                    break
                if source is pair["near"] and len(pair["first"]) < FIRST_BYTES:
                    pair["first"] += data
                sink.sendall(data)
        except OSError:
            pass
        for s in (pair["near"], pair["far"]):
            try:
                s.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
        with self.lock:
            if pair in self.open:
                self.open.remove(pair)

    def reset(self, name):
        """Resets the connections of the peer that said NAME.  Returns how
        many there were."""
        with self.lock:
            pairs = [p for p in self.open if name.encode() in p["first"]]
        for pair in pairs:
            for s in (pair["near"], pair["far"]):
                s.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                             struct.pack("ii", 1, 0))
                s.close()
        return len(pairs)

    def close(self):
        self.socket.close()
