"""Process tests of minions that are cold after a start, or after a drain: they get
work at a rising rate, whichever entries send it."""
import math
import time
import unittest

from cluster import http, wait_until
from platform_cluster import Callers, PlatformCluster

WARM_S = 3.0
COLD_PER_S = 10.0
BURST = 5
# Time in which a stand-in that has crashed is back.
BACK_S = 15


def allowed(seconds):
    """Most starts in the first SECONDS of a warm-up."""
    left_s = max(WARM_S - seconds, 0.001)
    return BURST + COLD_PER_S * WARM_S * math.log(WARM_S / left_s)


class Warmup(unittest.TestCase):
    def cluster(self, **service):
        c = PlatformCluster(entries=3, agents=2, service=service,
                            agent={"warmup_burst": BURST})
        self.addCleanup(c.close)
        c.await_ready()
        return c

    def starts(self, c, since):
        return [e["at"] - since for e in c.events() if e["what"] == "start"
                and e["minion"] == 0 and e["at"] >= since]

    def check_rise(self, starts):
        cold = [t for t in starts if t < WARM_S]
        for n, t in enumerate(cold):
            self.assertLessEqual(n + 1, allowed(t), "start %d at %.3f s"
                                 % (n + 1, t))
        self.assertTrue(cold)
        self.assertTrue([t for t in starts if t >= WARM_S])

    # Guards against entries that send what waits there to a minion that has
    # just started, each of them its part.
    def test_a_minion_that_has_crashed_comes_back_slowly(self):
        c = self.cluster(warmup_s=WARM_S, cold_per_s=COLD_PER_S)
        callers = Callers(c, workers=16, count=2, run_ms=10)
        born = c.born(0)
        c.set_mode(c.minions[0], warm_s=WARM_S, refuse=1, crash=1)
        self.assertTrue(wait_until(lambda: self.born(c) not in (None, born),
                                   BACK_S))
        # The stand-in has been there for as long as its clock says.
        _, answer = http("POST", "http://%s/hold" % c.minions[0].address,
                         {"fencing_token": 0, "acked_through": 0})
        since = time.monotonic() - answer["clock_ms"] / 1000
        time.sleep(WARM_S + 1)
        callers.stop()
        self.check_rise(self.starts(c, since))

    @staticmethod
    def born(c):
        """Start of the process of minion 0, as each of its answers says; None
        while it is down.  A poll is refused (409) once its agent has polled."""
        _, answer = http("POST", "http://%s/hold" % c.minions[0].address,
                         {"fencing_token": 0, "acked_through": 0}, timeout=1)
        return answer.get("born")

    # Guards against a rush into a domain that is given back, whose minion has
    # become cold meanwhile.
    def test_a_domain_that_is_given_back_fills_slowly(self):
        c = self.cluster(warmup_s=WARM_S, cold_per_s=COLD_PER_S)
        callers = Callers(c, workers=16, count=2, run_ms=10)
        c.drain("d0")
        self.assertTrue(wait_until(lambda: c.metric(
            c.agents[0], "lagoonvale_drained") == 1))
        c.set_mode(c.minions[0], warm_s=WARM_S, cool=1)
        since = time.monotonic()
        self.assertTrue(wait_until(lambda: c.metric(
            c.agents[0], "lagoonvale_cold") == 1))
        c.drain("d0", False)
        time.sleep(WARM_S + 1)
        callers.stop()
        self.check_rise(self.starts(c, since))

    # Guards against a limit where the configuration has none.
    def test_without_a_warm_up_in_the_configuration_nothing_is_limited(self):
        c = self.cluster(warmup_s=0, cold_per_s=0)
        c.set_mode(c.minions[0], warm_s=60, cool=1)
        callers = Callers(c, workers=16, count=2, run_ms=10)
        time.sleep(2)
        callers.stop()
        self.assertEqual(c.metric(c.agents[0], "lagoonvale_cold"), 0)
        self.assertGreater(len(self.starts(c, 0)), allowed(2))


if __name__ == "__main__":
    unittest.main()
