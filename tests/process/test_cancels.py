"""Cancels that have to count at every entry, though not every entry can be told:
some cannot reach each other, the one that took the cancel is killed."""
import os
import socket
import struct
import threading
import time
import unittest

from cluster import http, wait_until
from platform_cluster import HOST, PlatformCluster, job
from tcp_proxy import Proxy, shut_down

# The header of an RPC call, up to its procedure; that of the exchange between
# entries.
HEADER_BYTES = 28
PEER_EXCHANGE = 18
TASKS = 48
RUN_MS = 900
# No task starts later than this after its job's cancel was acknowledged.
CANCEL_S = 3.0
# Time for an entry to notice a cut, less than that after which it forgets.
NOTICED_S = 1.5
# Records of the log that no entry has written.
ODD_RECORDS = (b"", b"x", b"\n\n", b"y" * 5000 + b"\n", bytes(range(256)))
FLOOD = 1000
FLOOD_THREADS = 25


class PeerCut(Proxy):
    """Forwards connections to an entry.  While it cuts, it discards all that
    arrives on connections of other entries, silently, on new ones as well."""

    def __init__(self, listen, target):
        self.cut = False
        super().__init__(listen, target)

    def serve(self, near):
        try:
            head = near.recv(HEADER_BYTES, socket.MSG_WAITALL)
            far = socket.create_connection(self.target)
        except OSError:
            near.close()
            return
        is_peer = head[-4:] == PEER_EXCHANGE.to_bytes(4, "big")
        threading.Thread(target=self.forward, daemon=True,
                         args=(far, near, is_peer)).start()
        self.forward(near, far, is_peer, head)

    def forward(self, source, sink, is_peer, data=b""):
        try:
            while not (is_peer and self.cut):
                sink.sendall(data)
                data = source.recv(65536)
                if not data:
                    break
            # What was lost cannot be followed by later data.
            while is_peer and self.cut and source.recv(65536):
                pass
        except OSError:
            pass
        shut_down((source, sink))


class CutCluster(PlatformCluster):
    def reserve_proxy_addresses(self, entries, agents, ports):
        for i in range(entries):
            self.routes["entry-%d" % i] = "127.0.0.1:%d" % next(ports)

    def start_proxy(self):
        self.cuts = [PeerCut(self.routes["entry-%d" % i], a["rpc"])
                     for i, a in enumerate(self.addresses)]

    def cut(self, entries, cut=True):
        """Cuts connections of other entries to ENTRIES, or ends that."""
        for i in entries:
            self.cuts[i].cut = cut


class Cancels(unittest.TestCase):
    def cluster(self):
        c = CutCluster(entries=2, agents=2, mcores=2000, proxy=True)
        self.addCleanup(c.close)
        c.await_ready()
        return c

    @staticmethod
    def delete(c, entry, name):
        return http("DELETE", "http://%s/rush/%s" % (
            c.addresses[entry]["jobs"], name), headers={"Host": HOST})[0]

    def start_job(self, c):
        """Returns the name of a job of entry 0 that runs, and its answers."""
        name, answers = os.urandom(8).hex(), []
        threading.Thread(daemon=True, target=lambda: answers.append(c.submit(
            0, job(count=TASKS, run_ms=RUN_MS), name, wait_ms=20000,
            timeout=25))).start()
        self.assertTrue(wait_until(lambda: self.starts(c, name)))
        return name, answers

    @staticmethod
    def starts(c, name):
        return [e["at"] for e in c.events()
                if e["what"] == "start" and e["task"].startswith(name)]

    def check_cancelled(self, c, name, answers, acknowledged):
        time.sleep(CANCEL_S + RUN_MS / 1000 + 0.2)
        self.assertEqual(answers, [(200, {"state": "cancelled"})])
        self.assertLess(max(self.starts(c, name)), acknowledged + CANCEL_S)
        self.assertEqual(c.rule_violations(), [])

    # Guards against a cancel that is acknowledged by an entry which cannot
    # reach the one with the job: its tasks started on (review/14).
    def test_a_cancel_counts_at_an_entry_that_cannot_be_told(self):
        cases = ((0, 1), 0), ((0, 1), NOTICED_S), ((0,), NOTICED_S)
        for cut, after in cases:
            with self.subTest(cut=cut, after=after):
                c = self.cluster()
                name, answers = self.start_job(c)
                c.cut(cut)
                time.sleep(after)
                self.assertEqual(self.delete(c, 1, name), 410)
                self.check_cancelled(c, name, answers, time.monotonic())
                c.cut(cut, False)
                self.assertTrue(wait_until(lambda: all(
                    c.metric(e, "lagoonvale_entries_missed") == 0
                    for e in c.entries)))

    # Guards against an acknowledgement that nobody can keep, as the store is away
    # as well, and against odd records in the log that stop its readers.
    def test_a_cancel_that_is_not_confirmed_is_not_acknowledged(self):
        c = self.cluster()
        name, answers = self.start_job(c)
        c.cut((0, 1))
        c.set_mode(c.store, mode="busy")
        time.sleep(NOTICED_S)
        self.assertEqual(self.delete(c, 1, name), 503)
        self.assertEqual(c.metric(c.entries[1],
                                  "lagoonvale_cancels_unconfirmed_total"), 1)
        c.set_mode(c.store, mode="ok")
        for record in ODD_RECORDS:
            status, _ = http("POST", "http://%s/log-append?topic=%s&part=0" % (
                c.store.address, "lagoonvale-cancels"),
                struct.pack(">I", len(record)) + record)
            self.assertEqual(status, 200)
        self.assertEqual(self.delete(c, 1, name), 410)
        self.check_cancelled(c, name, answers, time.monotonic())

    # Guards against a cancel that is lost with the entry that took it.
    def test_a_cancel_outlives_the_entry_that_acknowledged_it(self):
        c = self.cluster()
        name, answers = self.start_job(c)
        self.assertEqual(self.delete(c, 1, name), 410)
        acknowledged = time.monotonic()
        c.entries[1].kill()
        self.check_cancelled(c, name, answers, acknowledged)

    # Guards against cancels without an answer, and an entry that drowns in
    # them, while another one cannot be told.
    def test_a_flood_of_cancels_while_an_entry_cannot_be_told(self):
        c = self.cluster()
        name, answers = self.start_job(c)
        c.cut((0, 1))
        time.sleep(NOTICED_S)
        statuses = []

        def flood():
            for _ in range(FLOOD // FLOOD_THREADS):
                statuses.append(self.delete(c, 1, os.urandom(8).hex()))
        threads = [threading.Thread(target=flood)
                   for _ in range(FLOOD_THREADS)]
        for t in threads:
            t.start()
        for t in threads:
            t.join()
        self.assertEqual(statuses, [410] * FLOOD)
        self.assertTrue(wait_until(lambda: c.metric(
            c.entries[0], "lagoonvale_cancels_read_total") == FLOOD))
        self.assertEqual(answers, [])
        self.assertEqual(self.delete(c, 1, name), 410)
        self.check_cancelled(c, name, answers, time.monotonic())
        self.assertEqual(c.submit(1, job(run_ms=5))[0], 200)


if __name__ == "__main__":
    unittest.main()
