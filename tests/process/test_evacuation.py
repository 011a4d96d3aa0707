"""Process tests of failure domains that operators drain: no start there once the
bound has passed, by any path, and work goes on elsewhere."""
import http.client as http_client
import json
import os
import struct
import time
import unittest

from cluster import http, wait_until
from platform_cluster import HOST, Callers, PlatformCluster, job
from test_runner import PROC_OFFSET, REPORT, EntryStandin, frame

# Longest time from the operator's record to the last start there, and the part
# of it that an instance without the store has.
BOUND_S = 5.0
RETRY_S = "5"
PROGRAM = 0x20004c56  # of the messages between the processes


class EvacuationTest(unittest.TestCase):
    def cluster(self, **more):
        """Domains d0, d1, ... with an entry and an agent each."""
        c = PlatformCluster(**more)
        self.addCleanup(c.close)
        c.await_ready()
        return c

    def await_drained(self, c, domains, entries=None):
        """Waits until each of the entries knows that DOMAINS are drained."""
        for entry in entries or c.entries:
            self.assertTrue(wait_until(lambda: c.metric(
                entry, "lagoonvale_drained_domains") == domains, BOUND_S))

    def starts(self, c, minion, since):
        return [e for e in c.events() if e["what"] == "start"
                and e["minion"] == minion and e["at"] > since]

    def check_no_start(self, c, minion, seconds=1.0):
        since = time.monotonic()
        time.sleep(seconds)
        self.assertEqual(self.starts(c, minion, since), [])


class OneDomain(EvacuationTest):
    # Guards against placement in a drained domain, first or again, and against
    # callers that notice the drain; then against a domain that stays empty.
    def test_a_drained_domain_gets_no_work_until_it_is_given_back(self):
        c = self.cluster()
        callers = Callers(c, workers=6, count=2, run_ms=30)
        c.drain("d0")
        self.await_drained(c, 1)
        drained = time.monotonic()
        c.set_mode(c.minions[1], busy=1)  # what is refused is placed again
        time.sleep(0.2)
        c.set_mode(c.minions[1], busy=0)
        refused = c.metric(c.agents[0], "lagoonvale_runs_drained_total")
        self.check_no_start(c, 0)
        self.assertEqual(refused, c.metric(
            c.agents[0], "lagoonvale_runs_drained_total"))
        self.assertGreater(len(self.starts(c, 1, drained)), 10)
        c.drain("d0", False)
        self.await_drained(c, 0)
        since = time.monotonic()
        self.assertTrue(wait_until(lambda: self.starts(c, 0, since), BOUND_S))
        self.assertGreater(len(callers.stop()), 10)
        self.assertEqual(c.rule_violations(), [])

    # Guards against an instance that starts late, or again, and has not read
    # the operators' records: the store is silent then.
    def test_instances_that_start_without_the_store_learn_it_from_others(self):
        c = self.cluster()
        c.drain("d0")
        self.await_drained(c, 1)
        c.set_mode(c.store, mode="silent")
        callers = Callers(c, workers=4, run_ms=20)
        c.entries[0].kill()
        c.entries[0].start()
        self.assertTrue(wait_until(c.entries[0].ready))
        self.await_drained(c, 1, c.entries[:1])
        c.agents[0].kill()
        c.agents[0].start()
        time.sleep(0.5)
        self.check_no_start(c, 0)
        callers.stop()

    # Guards against an agent that forgets, with all of its entries gone, that
    # its domain is drained: entries that come back know it first.
    def test_all_entries_restarted_keep_to_the_records(self):
        c = self.cluster()
        c.drain("d0")
        self.await_drained(c, 1)
        for entry in c.entries:
            entry.kill()
        for entry in c.entries:
            entry.start()
        callers = Callers(c, workers=4, run_ms=20)
        self.assertTrue(wait_until(lambda: all(e.ready() for e in c.entries)))
        self.check_no_start(c, 0)
        self.assertTrue(wait_until(lambda: callers.served_since(0) > 5))
        callers.stop()
        self.assertEqual([e for e in self.starts(c, 0, 0)
                          if e["at"] > callers.answers[0][0]], [])

    # Guards against an entry that is cut off from the store, and places work
    # by what it read last.
    def test_an_entry_without_the_store_follows_its_peers(self):
        c = self.cluster(proxy=True)
        c.set_fault("store-0", cut=True)
        c.drain("d1")
        self.await_drained(c, 1)
        callers = Callers(c, workers=4, run_ms=20)
        self.check_no_start(c, 1)
        callers.stop()

    # Guards against a store that has lost the record of the drain, and against
    # instances that no longer take records from it.
    def test_a_store_that_was_set_back_gives_no_domain_back(self):
        c = self.cluster()
        for n in range(5):
            c.drain("d%d" % (7 + n))
            c.drain("d%d" % (7 + n), False)
        c.drain("d0")
        self.await_drained(c, 1)
        http("POST", "http://%s/test/rewind?records=3" % c.store.address, b"")
        callers = Callers(c, workers=4, run_ms=20)
        time.sleep(1.5)
        self.check_no_start(c, 0)
        self.await_drained(c, 1)
        c.drain("d1")
        c.drain("d0", False)
        self.assertTrue(wait_until(lambda: c.metric(
            c.agents[1], "lagoonvale_drained") == 1, BOUND_S))
        self.check_no_start(c, 1)
        since = time.monotonic()
        self.assertTrue(wait_until(lambda: self.starts(c, 0, since), BOUND_S))
        callers.stop()

    # Guards against one odd record among the operators' that stops the reading,
    # or drains what it does not name.
    def test_odd_records_drain_nothing(self):
        c = self.cluster()
        for key in ("evacuate/", "evacuate/" + "x" * 200, "evacuate/%00",
                    "evacuate/%ff%fe", "evacuated/d0", "xevacuate/d0"):
            http("POST", "http://%s/test/put?key=%s"
                 % (c.store.address, key), b"{}")
        c.drain("d1")
        self.await_drained(c, 1)
        self.assertEqual(c.submit(0, job())[0], 200)


class SeveralDomains(EvacuationTest):
    # Guards against jobs that wait for a domain which nobody gives back.
    def test_jobs_that_fit_only_drained_domains_are_refused_at_once(self):
        c = self.cluster(agents=3, entries=3)
        time.sleep(1.6)  # agents may join until then
        callers = Callers(c, workers=3, run_ms=20)
        c.drain("d0")
        c.drain("d1")
        self.await_drained(c, 2)
        self.assertEqual(c.submit(0, job())[0], 200)
        self.check_no_start(c, 0, 0.4)
        self.check_no_start(c, 1, 0.4)
        c.drain("d2")
        self.await_drained(c, 3)
        for i in range(3):
            self.check_refused(c, i)
            self.assertEqual(http("GET", c.entries[i].probe)[0], 200)
        self.check_no_start(c, 2, 0.4)
        c.drain("d1", False)
        self.await_drained(c, 2)
        self.assertTrue(wait_until(lambda: c.submit(0, job())[0] == 200))
        callers.stop()

    def check_refused(self, c, entry):
        host = c.addresses[entry]["jobs"]
        connection = http_client.HTTPConnection(host, timeout=5)
        began = time.monotonic()
        connection.request("POST", "/rush/" + os.urandom(8).hex(),
                           body=json.dumps(job()), headers={"Host": HOST})
        answer = connection.getresponse()
        self.assertEqual((answer.status, answer.getheader("Retry-After")),
                         (503, RETRY_S))
        self.assertLess(time.monotonic() - began, 1.0)
        connection.close()


class OrderingEntry(EntryStandin):
    """Orders one run with each answer to a report once ORDERING is set.  Its
    answers say whether the agent's domain is DRAINED."""

    ORDER, STAMP_OFFSET, DRAIN_BYTES = 15, 40, 12

    def __init__(self):
        self.ordering = self.drained = False
        self.ordered = 0
        super().__init__()

    def answer(self, call):
        answer = super().answer(call)
        if answer is None:
            return None
        position = 2 if self.drained else 1
        return (answer[:-self.DRAIN_BYTES]
                + struct.pack(">QI", position, self.drained))

    def calls_after(self, call):
        proc, = struct.unpack_from(">I", call, PROC_OFFSET)
        if not self.ordering or proc != REPORT:
            return b""
        stamp, = struct.unpack_from(">Q", call, self.STAMP_OFFSET)
        self.ordered += 1
        header = struct.pack(">IIIIIIIIII", self.ordered, 0, 2, PROGRAM, 1,
                             self.ORDER, 0, 0, 0, 0)
        need = struct.pack(">IIII", 1000, 64, 0, 5)  # and the estimate, ms
        run = struct.pack(">IQII", 1, self.ordered, 0, 1)
        return frame(header + struct.pack(">Q", stamp)
                     + xdr_opaque(b"j%d" % self.ordered)
                     + xdr_opaque(job(run_ms=5)["spec"].encode()) + need + run
                     + xdr_opaque(b"q") + struct.pack(">III", 0, 0, 0))


def xdr_opaque(data):
    return struct.pack(">I", len(data)) + data + bytes(-len(data) % 4)


class Agent(EvacuationTest):
    # Guards against starts by orders that were sent before the entry knew of
    # the drain.
    def test_a_drained_agent_refuses_orders(self):
        entry = OrderingEntry()
        self.addCleanup(entry.listener.close)
        c = self.cluster(entries=0, agents=1, seeds=[entry.address])
        agent, drained = c.agents[0], "lagoonvale_drained"
        entry.ordering = True
        self.assertTrue(wait_until(lambda: self.starts(c, 0, 0)))
        entry.drained = True
        self.assertTrue(wait_until(lambda: c.metric(agent, drained) == 1))
        ordered = entry.ordered
        self.check_no_start(c, 0)
        self.assertGreater(entry.ordered, ordered)
        self.assertGreater(
            c.metric(agent, "lagoonvale_runs_drained_total"), 0)


if __name__ == "__main__":
    unittest.main()
