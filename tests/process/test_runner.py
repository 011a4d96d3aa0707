"""Reports of the runner to an entry, received by a stand-in for the entry."""
import socket
import struct
import threading
import time
import unittest

from cluster import free_ports, wait_until
from platform_cluster import PlatformCluster

JOIN, REPORT = 12, 13
DIGEST = 7
FULL_LIST_INTERVAL_S = 5.0
# Offsets of the procedure in a call and of the known digest in a report.
PROC_OFFSET, KNOWN_OFFSET = 20, 40 + 8 + 4 + 4 + 8
REPLY = struct.pack(">IIIII", 1, 0, 0, 0, 0)


class EntryStandin(threading.Thread):
    """Answers joins and reports; lists only itself.  Records the time and the
    known list digest of each report."""

    def __init__(self):
        super().__init__(daemon=True)
        port, = free_ports(1)
        self.address = "127.0.0.1:%d" % port
        self.listener = socket.create_server(("127.0.0.1", port))
        self.reports = []
        self.start()

    def run(self):
        while True:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            with connection:
                self.serve(connection)

    def serve(self, connection):
        stream = connection.makefile("rb")
        while True:
            header = stream.read(4)
            if len(header) < 4:
                return
            call = stream.read(struct.unpack(">I", header)[0] & 0x7FFFFFFF)
            answer = self.answer(call)
            if answer is not None:
                reply = call[:4] + REPLY + answer
                connection.sendall(
                    struct.pack(">I", 0x80000000 | len(reply)) + reply)

    def answer(self, call):
        proc, = struct.unpack_from(">I", call, PROC_OFFSET)
        report = struct.pack(">IQI", 0, DIGEST, 0)
        if proc == JOIN:
            return struct.pack(">Q", 99) + report
        if proc != REPORT:
            return None
        known, = struct.unpack_from(">Q", call, KNOWN_OFFSET)
        self.reports.append((time.monotonic(), known))
        if known == 0:
            at = struct.unpack(">I", socket.inet_aton("127.0.0.1"))[0]
            port = int(self.address.rsplit(":", 1)[1])
            return struct.pack(">IQIII", 0, DIGEST, 1, at, port)
        return report


class Reports(unittest.TestCase):
    def test_the_whole_list_is_requested_every_five_seconds(self):
        entry = EntryStandin()
        self.addCleanup(entry.listener.close)
        c = PlatformCluster(entries=0, agents=1, seeds=[entry.address])
        self.addCleanup(c.close)
        self.assertTrue(wait_until(
            lambda: any(known == DIGEST for _, known in entry.reports)))
        time.sleep(2.5 * FULL_LIST_INTERVAL_S)
        requested = [at for at, known in entry.reports if known == 0]
        gaps = [b - a for a, b in zip(requested, requested[1:]) if b - a > 0.5]
        self.assertGreaterEqual(len(gaps), 2, requested)
        for gap in gaps:
            self.assertAlmostEqual(gap, FULL_LIST_INTERVAL_S, delta=0.5)
        self.assertGreater(len(entry.reports), 8 * len(requested))


if __name__ == "__main__":
    unittest.main()
