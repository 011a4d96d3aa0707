"""A proxy before a process under test, for tests that hold up, lose or record
messages."""
import socket
import threading


def parse(address):
    host, port = address.split(":")
    return host, int(port)


def shut_down(sockets):
    for s in sockets:
        try:
            s.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass


class Proxy:
    """Accepts connections; a derived class forwards each in serve()."""

    def __init__(self, listen, target):
        self.target = parse(target)
        self.socket = socket.create_server(parse(listen))
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            try:
                near, _ = self.socket.accept()
            except OSError:
                return
            threading.Thread(target=self.serve, args=(near,),
                             daemon=True).start()

    def close(self):
        self.socket.close()
