"""Reports of the runner to an entry, received by a stand-in for the entry."""
import json
import os
import socket
import struct
import subprocess
import tempfile
import threading
import time
import unittest

from cluster import BUILD, free_ports, http, wait_until
from platform_cluster import SERVICE, PlatformCluster, job

JOIN, REPORT = 12, 13
DIGEST = 7
# Defaults of the runner: a report each 1.5 s, and 2.5 s of grace.
REPORT_MAX_AGE_S = 4.0
FULL_LIST_INTERVAL_S = 5.0
# Offsets of the procedure in a call and of the known digest in a report.
PROC_OFFSET, KNOWN_OFFSET = 20, 40 + 8 + 4 + 4 + 8
# End of the answer to a report: nothing is known of drained domains.
NO_DRAIN = struct.pack(">QI", 0, 0)
REPLY = struct.pack(">IIIII", 1, 0, 0, 0, 0)


class Startup(unittest.TestCase):
    # Guards against a start that fails without saying which address is taken.
    def test_an_address_in_use_is_named(self):
        taken = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(taken.close)
        address = "127.0.0.1:%d" % taken.getsockname()[1]
        programs = {"dispatcher": ("rpc", "jobs", "ready", "metrics"),
                    "runner": ("reports", "metrics")}
        for program, keys in programs.items():
            for key in keys:
                with self.subTest(program=program, key=key):
                    text = self.start(program, keys, {key: address})
                    self.assertIn("step=%s peer=%s" % (key, address), text)
                    self.assertIn("in use", text)

    def start(self, program, keys, values):
        settings = {"name": "x", "domain": "d", "store": "127.0.0.1:1"}
        for key, port in zip(keys, free_ports(len(keys))):
            settings[key] = "127.0.0.1:%d" % port
        if program == "runner":
            settings.update(service="s", minion="127.0.0.1:1")
        path = os.path.join(tempfile.mkdtemp(prefix="lagoonvale-"), "s.json")
        with open(path, "w") as f:
            json.dump(dict(settings, **values), f)
        done = subprocess.run(
            [os.path.join(BUILD, "lagoonvale-" + program), path],
            capture_output=True, text=True, timeout=10)
        self.assertNotEqual(done.returncode, 0)
        return done.stderr


def frame(message):
    return struct.pack(">I", 0x80000000 | len(message)) + message


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
                connection.sendall(frame(reply) + self.calls_after(call))

    def answer(self, call):
        proc, = struct.unpack_from(">I", call, PROC_OFFSET)
        report = struct.pack(">IQI", 0, DIGEST, 0) + NO_DRAIN
        if proc == JOIN:
            return struct.pack(">Q", 99) + report
        if proc != REPORT:
            return None
        known, = struct.unpack_from(">Q", call, KNOWN_OFFSET)
        self.reports.append((time.monotonic(), known))
        if known == 0:
            at = struct.unpack(">I", socket.inet_aton("127.0.0.1"))[0]
            port = int(self.address.rsplit(":", 1)[1])
            return struct.pack(">IQIII", 0, DIGEST, 1, at, port) + NO_DRAIN
        return report

    def calls_after(self, _call):
        """Calls to the agent that follow the answer to CALL, framed."""
        return b""


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


class MinionReports(unittest.TestCase):
    # Guards against a report that cannot be read changing what is known of the
    # minion, above all its capacity, and against one that ends the agent.
    def test_reports_that_cannot_be_read_change_nothing(self):
        c = PlatformCluster(entries=0, agents=1, mcores=8000,
                            seeds=["127.0.0.1:1"])
        self.addCleanup(c.close)
        free = "lagoonvale_free_mcores"
        self.assertTrue(wait_until(c.agents[0].ready))
        self.assertTrue(wait_until(lambda: c.metric(c.agents[0], free) == 8000))
        c.set_mode(c.minions[0], mute=1)
        time.sleep(0.6)
        good = {"service": SERVICE, "state": "ready", "seq": 1000,
                "born": int(time.time() * 1000) + 1000,
                "room": {"cpu": 4000, "mem_mb": 100, "gpu": 0}}
        room = good["room"]
        bad = [b"", b"{", b"\xff", b"[]", b"7"] + [dict(good, **more) for more in (
            {"born": None}, {"born": 0}, {"born": -1}, {"born": "x"},
            {"born": 1.5}, {"state": "gone"}, {"state": 7}, {"service": "x"},
            {"service": None}, {"room": None}, {"room": 4000}, {"room": []},
            {"room": {}}, {"room": dict(room, cpu="4000")},
            {"room": dict(room, cpu=-1)}, {"room": dict(room, cpu=2 ** 32)},
            {"room": dict(room, mem_mb=2 ** 32)}, {"room": dict(room, gpu="x")},
            {"room": {"cpu": 4000}})]
        url = "http://%s/instances/i-1" % c.agents[0].address
        for body in bad:
            with self.subTest(body=body):
                self.assertEqual(http("PUT", url, body)[0], 400)
                self.assertEqual(c.metric(c.agents[0], free), 8000)
        self.assertEqual(http("PUT", url, good)[0], 200)
        self.assertTrue(wait_until(lambda: c.metric(c.agents[0], free) == 4000))

    # Guards against one odd report of another writer that is taken for the
    # minion's own: one with too large a number made all later ones look old, and
    # the agent took no orders any more.
    def test_an_odd_report_of_another_writer_changes_nothing(self):
        c = PlatformCluster(entries=1, agents=1)
        self.addCleanup(c.close)
        c.await_ready()
        born = c.born(0)
        good = {"service": SERVICE, "address": c.minions[0].address,
                "zone": "z", "state": "ready", "seq": 10 ** 6,
                "clock_ms": 10, "born": born,
                "room": {"cpu": 8000, "mem_mb": 65536, "gpu": 0}}
        nested = json.loads("[" * 400 + "]" * 400)
        odd = [dict(good, **more) for more in (
            {"seq": 2 ** 63}, {"seq": 2 ** 64}, {"seq": 10 ** 40},
            {"seq": 1e300}, {"seq": "1"}, {"seq": -1},
            {"born": 2 ** 64}, {"born": 1e18},
            {"clock_ms": 2 ** 70}, {"clock_ms": "x"},
            {"room": {"cpu": 10 ** 30, "mem_mb": 1, "gpu": 0}},
            {"address": "127.0.0.1:65536"}, {"address": "127.0.0.1:0"},
            {"address": "127.0.0.1:-1"}, {"address": 7}, {"address": "x"},
            {"more": nested}, {"room": nested})]
        url = "http://%s/instances/i-1" % c.agents[0].address
        for report in odd:
            with self.subTest(report=json.dumps(report)[:150]):
                self.assertEqual(http("PUT", url, report)[0], 400)
        deep = b'{"more":' + b'{"a":' * 100000 + b"1" + b"}" * 100001
        self.assertEqual(http("PUT", url, deep)[0], 400)
        time.sleep(REPORT_MAX_AGE_S + 0.5)
        self.assertEqual(c.submit(0, job(run_ms=5), wait_ms=500)[0], 200)
        self.assertEqual(c.log_of(c.agents[0]).count("event=started"), 1)

    # Guards against a number that can be read, but is far too high, and makes all
    # later reports look old for good.
    def test_reports_count_again_after_one_with_a_high_number(self):
        c = PlatformCluster(entries=1, agents=1)
        self.addCleanup(c.close)
        c.await_ready()
        report = {"service": SERVICE, "state": "ready", "seq": 2 ** 63 - 1,
                  "born": c.born(0),
                  "room": {"cpu": 8000, "mem_mb": 65536, "gpu": 0}}
        url = "http://%s/instances/i-1" % c.agents[0].address
        self.assertEqual(http("PUT", url, report)[0], 200)
        time.sleep(REPORT_MAX_AGE_S + 1)
        self.assertEqual(c.submit(0, job(run_ms=5), wait_ms=500)[0], 200)

    # Guards against a capacity that has shrunk to nothing being taken for a
    # report that cannot be read: starts would go by the former one for seconds.
    def test_a_capacity_may_shrink_to_nothing_and_grow_again(self):
        c = PlatformCluster(entries=1, agents=1, mcores=8000)
        self.addCleanup(c.close)
        c.await_ready()
        free = "lagoonvale_free_mcores"
        self.assertTrue(wait_until(lambda: c.metric(c.agents[0], free) == 8000))
        for mcores, status in ((0, 503), (8000, 200), (0, 503), (8000, 200)):
            c.set_mode(c.minions[0], mcores=mcores)
            self.assertTrue(wait_until(
                lambda: c.metric(c.agents[0], free) == mcores, 2))
            # The entry hears of a larger capacity by the agent's next report.
            if status == 200:
                wait_until(lambda: c.submit(0, job(run_ms=5))[0] == 200, 2)
            self.assertEqual(c.submit(0, job(run_ms=20), wait_ms=1000)[0],
                             status)
        self.assertEqual(c.rule_violations(), [])

    # Guards against a farewell that was delayed until another process has
    # followed at the same address, and takes that one out of use.
    def test_the_exit_of_a_former_process_changes_nothing(self):
        c = PlatformCluster(entries=1, agents=1)
        self.addCleanup(c.close)
        c.await_ready()
        c.set_mode(c.minions[0], mute=1)
        url = "http://%s/instances/" % c.agents[0].address
        self.assertEqual(http("DELETE", url + "i-0")[0], 200)
        self.assertEqual(c.submit(0, job(run_ms=5), wait_ms=500)[0], 200)
        self.assertEqual(http("DELETE", url + "i-1")[0], 200)
        self.assertEqual(c.submit(0, job(run_ms=5), wait_ms=500)[0], 503)

    # Guards against an id that breaks the header it is sent in, or is cut: the
    # minion would refuse every start.
    def test_a_process_whose_id_cannot_be_sent_gets_starts(self):
        c = PlatformCluster(entries=1, agents=1)
        self.addCleanup(c.close)
        c.await_ready()
        c.set_mode(c.minions[0], mute=1)
        time.sleep(0.6)
        report = {"service": SERVICE, "state": "ready", "seq": 1000,
                  "born": c.born(0),
                  "room": {"cpu": 8000, "mem_mb": 65536, "gpu": 0}}
        for name in ("", "i%0d%0aX:%201", "i%ff", "i" * 256, "i" * 4000):
            with self.subTest(name=name[:20]):
                url = "http://%s/instances/%s" % (c.agents[0].address, name)
                self.assertEqual(http("PUT", url, report)[0], 200)
                self.assertEqual(
                    c.submit(0, job(run_ms=5), wait_ms=500)[0], 200)


if __name__ == "__main__":
    unittest.main()
