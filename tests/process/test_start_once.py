"""No task of a submission starts twice, a request that is not repeatable runs
at most once, and "not run" is reported only if it is true.  docs/PROOFS.md
lists the guarantee that each test covers."""
import itertools
import random
import threading
import time

from client import Caller, Cluster, Load, OUTCOME_S, ProcessTest, job, \
    verdict, wait_until

WINDOW = {"window_s": 60}
MAX_WAIT = {"wait_ms": 3000}


def now_ms():
    return int(time.time() * 1000)


def cluster(**more):
    more.setdefault("entries", 2)
    more.setdefault("agents", 3)
    c = Cluster(entry=dict(WINDOW, **MAX_WAIT, **more.pop("entry", {})),
                agent=dict(WINDOW, **more.pop("agent", {})), **more)
    # A home can rule out earlier runs only of keys first sent more than 1 s
    # (clock skew) after it joined.
    time.sleep(1.2)
    if StartOnce.log:
        c.log_control(**StartOnce.log)
    return c


class StartOnce(ProcessTest):
    """Each test runs with the log faults of its class."""
    log = {}

    def setUp(self):
        StartOnce.log = type(self).log

    def restore_log(self, c):
        """For steps that need the log: an agent joins or is declared gone."""
        c.log_control(down=False)


class SameSubmission(StartOnce):
    """The same id, and the same caller-chosen key, through two entries."""

    def submit_repeatedly(self, c, body, gap_s):
        callers = [Caller(c, 0, body)]
        time.sleep(gap_s)
        callers.append(Caller(c, 1, body))
        callers.append(Caller(c, 0, body))
        results = [x.result() for x in callers]
        self.assertEqual(results, ["complete"] * 3, callers[0].answers)
        ids = {x.answers[-1][1]["id"] for x in callers}
        self.assertEqual(len(ids), 1)
        self.check_invariants(c, callers)

    def test_same_id_and_same_key(self):
        with cluster() as c:
            before = c.starts()
            for i, gap in enumerate([0, 0.05, 0.6]):
                with self.subTest(gap=gap):
                    self.submit_repeatedly(c, job(
                        5, 200, id=c.mint(0)[0], repeatable=False), gap)
                    self.submit_repeatedly(c, job(
                        5, 200, id=c.mint(1)[0]), gap)
                    self.submit_repeatedly(c, job(
                        5, 200, key="order-%d" % i, first_sent_ms=now_ms()),
                        gap)
            self.assertEqual(len(c.starts()) - len(before), 45)

    def test_many_keys_at_the_same_moment(self):
        with cluster() as c:
            callers = []
            for i in range(30):
                body = job(2, 50, key="hold-%d" % i, repeatable=False,
                           first_sent_ms=now_ms())
                callers += [Caller(c, 0, body), Caller(c, 1, body)]
            self.assertEqual({x.result() for x in callers}, {"complete"})
            self.assertEqual(len(c.starts()), 60)
            self.check_invariants(c, callers)

    def test_answer_lost_then_sent_again(self):
        with cluster() as c:
            for body in (job(3, 400, id=c.mint(0)[0]),
                         job(3, 400, key="lost", first_sent_ms=now_ms())):
                first = Caller(c, 0, body, timeout=0.15)
                self.assertEqual(first.result(), "none")
                again = Caller(c, 1, body)
                self.assertEqual(again.result(), "complete")
                later = Caller(c, 0, body)
                self.assertEqual(later.result(), "complete")
                self.check_invariants(c, [first, again, later])

    def test_other_body_under_the_same_id(self):
        with cluster() as c:
            sid = c.mint(0)[0]
            one = Caller(c, 0, job(1, 50, id=sid))
            self.assertEqual(one.result(), "complete")
            status, answer = c.submit(1, job(1, 60, id=sid))
            self.assertEqual((status, answer["error"]["code"]),
                             (422, "other_body"))
            self.assertTrue(answer["error"]["may_have_run"])
            self.check_invariants(c, [one])


class OwnerLost(StartOnce):
    def submit_and_fail_owner(self, c, body, fail_owner):
        first = Caller(c, 0, body, timeout=20)
        self.assertTrue(wait_until(lambda: len(c.starts()) > 0))
        fail_owner()
        again = Caller(c, 1, body, timeout=20)
        result = again.result()
        return first, again, result

    def bodies(self, c):
        yield job(40, 300, id=c.mint(0)[0])
        yield job(40, 300, key="k%d" % random.getrandbits(32),
                  first_sent_ms=now_ms(), repeatable=False)

    def test_owner_killed(self):
        for which in range(2):
            with cluster() as c:
                body = list(self.bodies(c))[which]
                first, again, result = self.submit_and_fail_owner(
                    c, body, c.entries[0].kill)
                self.assertEqual(result, "complete", again.answers)
                self.assertLess(again.took_s, OUTCOME_S)
                self.assertEqual(len(c.starts()), 40)
                self.check_invariants(c, [first, again])

    def test_owner_killed_and_replaced_at_its_address(self):
        with cluster() as c:
            body = list(self.bodies(c))[0]

            def replace():
                c.entries[0].kill()
                c.entries[0] = c.start_entry(0)
                assert wait_until(c.entries[0].ready)

            first, again, result = self.submit_and_fail_owner(c, body, replace)
            third = Caller(c, 0, body, timeout=20)
            self.assertEqual((result, third.result()),
                             ("complete", "complete"))
            self.assertEqual(len(c.starts()), 40)
            self.check_invariants(c, [first, again, third])

    def test_owner_paused_and_resumed_with_requests_in_its_socket(self):
        for which in range(2):
            with cluster(entries=3) as c:
                body = list(self.bodies(c))[which]
                waiting = list(self.bodies(c))[which]
                first, again, result = self.submit_and_fail_owner(
                    c, body, c.entries[0].pause)
                stuck = Caller(c, 0, waiting, timeout=30)
                time.sleep(0.3)
                other = Caller(c, 1, waiting)
                third = Caller(c, 2, body)
                results = [result, other.result(), third.result()]
                time.sleep(2)
                c.entries[0].resume()
                results += [first.result(), stuck.result()]
                for r in results[:3]:
                    self.assertIn(r, ("complete", "may_have_run"), again.answers)
                self.check_invariants(c, [first, stuck, again, other, third])

    def test_owner_cut_off_from_agents(self):
        with cluster(proxy=True) as c:
            body = list(self.bodies(c))[0]

            def cut():
                for i in range(3):
                    c.cut_entry(0, "a%d" % i)

            first, again, result = self.submit_and_fail_owner(c, body, cut)
            # The owner still answers, but without the outcomes of its tasks;
            # no other entry may start them.
            self.assertEqual(result, "may_have_run")
            self.assertLess(again.took_s, OUTCOME_S)
            self.check_invariants(c, [first, again])

    def test_owner_cut_off_from_the_other_entry(self):
        with cluster(proxy=True) as c:
            sid = c.mint(0)[0]
            c.cut_entry(0, "e1")
            c.cut_entry(1, "e0")
            body = job(20, 300, id=sid)
            callers = [Caller(c, 1, body, timeout=20)]
            self.assertTrue(wait_until(lambda: len(c.starts()) > 0))
            callers.append(Caller(c, 0, body, timeout=20))
            results = [x.result() for x in callers]
            self.assertEqual(results[0], "complete", callers[0].answers)
            self.assertEqual(results[1], "may_have_run", callers[1].answers)
            self.check_invariants(c, callers)

    def test_refusals_of_an_owner_out_of_touch_claim_nothing(self):
        """Submissions of an entry that was cut off may have been adopted: its
        refusals of ids that it minted before must not say "not run"."""
        with cluster(proxy=True) as c:
            ids = c.mint(0, 2)
            c.cut_entry(0, "e1")
            c.cut_entry(1, "e0")
            done = Caller(c, 1, job(2, 50, id=ids[0]))
            self.assertEqual(done.result(), "complete")
            c.publish("refuse team t # Test: refusals must be true\n")
            self.assertTrue(wait_until(
                lambda: c.status(0).get("rules") == 1))
            refused = Caller(c, 0, job(2, 50, id=ids[0]))
            self.assertEqual(refused.result(), "may_have_run")
            fresh = Caller(c, 0, job(2, 50))
            self.assertEqual(fresh.result(), "not_run")
            self.check_invariants(c, [done, refused, fresh])


class HomeLost(StartOnce):
    def job_with_home(self, c, agent):
        """A job whose key has the agent as a home, found by the agent's metric
        of bytes held for keys."""
        before = c.metrics(c.agents[agent])["lagoonvale_agent_key_bytes"]
        for i in range(200):
            key = "key-%d-%d" % (agent, i)
            caller = Caller(c, 0, job(1, 50, key=key, first_sent_ms=now_ms()))
            assert caller.result() == "complete", caller.answers
            if wait_until(lambda: c.metrics(c.agents[agent])[
                    "lagoonvale_agent_key_bytes"] > before, 0.25):
                return job(1, 50, key=key, first_sent_ms=0)
        raise AssertionError("no key found")

    def resubmit(self, c, body, expected):
        body = dict(body)
        body.pop("first_sent_ms", None)
        callers = [Caller(c, i, body) for i in (0, 1)]
        results = {x.result() for x in callers}
        self.assertLessEqual(results, set(expected),
                             [x.answers for x in callers])
        self.check_invariants(c, callers)

    def test_home_killed(self):
        with cluster(entry={"gone_ms": 1500}) as c:
            body = self.job_with_home(c, 1)
            c.agents[1].kill()
            self.resubmit(c, body, ["complete", "may_have_run"])
            self.restore_log(c)
            self.assertTrue(wait_until(
                lambda: len(c.status(0)["agents"]) == 2))
            # The other home still holds the key.
            self.resubmit(c, body, ["complete"])

    def test_home_replaced_at_the_same_address(self):
        with cluster() as c:
            body = self.job_with_home(c, 1)
            c.agents[1].kill()
            c.agents[1] = c.start_agent(1)
            self.resubmit(c, body, ["complete", "may_have_run"])
            self.restore_log(c)
            assert wait_until(c.agents[1].ready)
            self.resubmit(c, body, ["complete", "may_have_run"])

    def test_home_paused(self):
        with cluster() as c:
            body = self.job_with_home(c, 1)
            c.agents[1].pause()
            self.resubmit(c, body, ["complete", "may_have_run"])
            c.agents[1].resume()
            self.assertTrue(wait_until(lambda: sum(
                a["connected"] for a in c.status(0)["agents"]) == 3))
            self.resubmit(c, body, ["complete"])

    # Guards against an agent that starts what waited in its socket while it was
    # paused: its entry has given up on it.
    def test_a_start_that_waited_at_a_paused_agent_is_discarded(self):
        with cluster(entries=1, agents=1) as c:
            c.agents[0].pause()
            caller = Caller(c, 0, job(1, 50), timeout=30)
            self.assertEqual(caller.result(), "may_have_run")
            time.sleep(1)
            c.agents[0].resume()
            again = Caller(c, 0, job(1, 50), tries=20)
            self.assertEqual(again.result(), "complete")
            self.assertEqual(sum(c.starts().values()), 1)
            self.check_invariants(c, [caller, again])

    def test_young_homes_refuse_keys_of_unknown_age(self):
        with cluster() as c:
            caller = Caller(c, 0, job(1, 50, key="old"))
            self.assertEqual(caller.result(), "may_have_run")
            self.assertEqual(caller.answers[0][1]["error"]["code"],
                             "key_home_young")
            self.assertEqual(c.starts(), {})

    def test_cold_start_of_all_agents_forgets_no_key(self):
        with cluster() as c:
            body = job(1, 50, key="dup", first_sent_ms=now_ms())
            one = Caller(c, 0, body)
            self.assertEqual(one.result(), "complete")
            for i in range(3):
                c.agents[i].kill()
            for i in range(3):
                c.agents[i] = c.start_agent(i)
            c.entries[0].kill()
            c.entries[1].kill()
            for i in range(2):
                c.entries[i] = c.start_entry(i)
            self.restore_log(c)
            c.wait_ready()
            two = Caller(c, 1, body)
            self.assertEqual(two.result(), "may_have_run", two.answers)
            self.check_invariants(c, [one, two])


class LostMessages(StartOnce):
    def run_with_fault(self, c, fault, repair, expected, entry=0):
        caller = Caller(c, entry, job(16, 400, id=c.mint(entry)[0]),
                        timeout=20)
        self.assertTrue(wait_until(lambda: len(c.starts()) >= 8))
        fault()
        if repair:
            time.sleep(1.0)
            repair()
        self.assertIn(caller.result(), expected, caller.answers)
        self.assertLess(caller.took_s, OUTCOME_S)
        self.check_invariants(c, [caller])

    def test_replies_lost_then_back(self):
        with cluster(proxy=True, agents=2) as c:
            self.run_with_fault(c, lambda: c.set_fault("a0", drop="out"),
                                lambda: c.set_fault("a0", drop=""), ["complete"])

    def test_replies_lost_for_good(self):
        with cluster(proxy=True, agents=2) as c:
            self.run_with_fault(c, lambda: c.set_fault("a0", drop="out"), None,
                                ["may_have_run"])

    def test_starts_lost(self):
        with cluster(proxy=True, agents=2) as c:
            self.run_with_fault(c, lambda: c.set_fault("a0", drop="in"),
                                lambda: c.set_fault("a0", drop=""), ["complete"])

    def test_connections_reset(self):
        """Covers the agent that the entry prefers and the other one: a task
        wrongly placed again would go to the preferred agent."""
        for entry in (0, 1):
            with cluster(proxy=True, agents=2) as c:
                self.run_with_fault(c, lambda: c.set_fault("a0", reset=True), None,
                                    ["complete"], entry)

    # Guards against a task that is started at another agent because the
    # connection to the first one broke: here that one stays out of reach until
    # the other has free slots, so a task wrongly placed again goes there.
    def test_connections_reset_and_not_back_for_a_while(self):
        with cluster(proxy=True, agents=2) as c:
            def reset():
                c.set_fault("a0", reset=True)
                c.set_fault("a0", drop="in")
            self.run_with_fault(c, reset, lambda: c.set_fault("a0", drop=""),
                                ["complete"])

    def test_start_delayed_past_the_resubmission(self):
        with cluster(proxy=True, agents=2) as c:
            sid = c.mint(0)[0]
            c.set_fault("a0", delay_ms=4000)
            c.set_fault("a1", delay_ms=4000)
            body = job(4, 50, id=sid)
            one = Caller(c, 0, body, timeout=15)
            time.sleep(3)
            two = Caller(c, 1, body, timeout=15)
            one.result()
            two.result()
            c.set_fault("*", delay_ms=0)
            time.sleep(4.5)
            three = Caller(c, 1, body, timeout=15)
            three.result()
            self.check_invariants(c, [one, two, three])

    def test_minion_connection_reset_starts_nothing_twice(self):
        """libcurl retries a request if a reused connection turns out to be
        closed, so each run uses a new connection."""
        with cluster(proxy=True, agents=1) as c:
            for _ in range(3):
                self.assertEqual(Caller(c, 0, job(4, 20)).result(),
                                 "complete")
            caller = Caller(c, 0, job(4, 600))
            self.assertTrue(wait_until(lambda: len(c.starts()) >= 16))
            c.set_fault("m0", reset=True)
            self.assertEqual(caller.result(), "may_have_run")
            time.sleep(0.3)
            self.check_invariants(c, [caller])


class PairsOfFailures(StartOnce):
    """Two failures in short succession under load, from a seeded shuffle."""

    SEED = 20261204
    FAILURES = ["kill_entry", "pause_entry", "cut_entry", "kill_agent",
                "pause_agent", "replace_agent", "drop_out", "drop_in",
                "freeze", "reset", "log_down", "lose_replies"]

    def inject(self, c, name):
        if name == "kill_entry":
            c.entries[0].kill()
        elif name == "pause_entry":
            c.entries[0].pause()
            threading.Timer(3, c.entries[0].resume).start()
        elif name == "cut_entry":
            c.cut_entry(0)
        elif name == "kill_agent":
            c.agents[2].kill()
        elif name == "pause_agent":
            c.agents[1].pause()
            threading.Timer(3, c.agents[1].resume).start()
        elif name == "replace_agent":
            c.agents[0].kill()
            c.agents[0] = c.start_agent(0)
        elif name in ("drop_out", "drop_in"):
            c.set_fault("a1", drop=name[5:])
        elif name == "freeze":
            c.set_fault("*", freeze=1)
        elif name == "reset":
            c.set_fault("*", reset=True)
        elif name == "log_down":
            c.log_control(down=True)
        elif name == "lose_replies":
            c.log_control(lose_replies=5)

    def run_pair(self, pair):
        with cluster(proxy=True, entries=3) as c:
            load = Load(c, workers=6, tasks=4, run_ms=80, tries=5)
            time.sleep(0.6)
            for name in pair:
                self.inject(c, name)
                time.sleep(0.2)
            time.sleep(3.5)
            load.stop()
            self.check_invariants(c, load.callers)
            self.assertGreater(load.count("complete"), 0)

    def pick_pairs(self, part):
        pairs = list(itertools.combinations(self.FAILURES, 2))
        random.Random(self.SEED).shuffle(pairs)
        return pairs[part * 4:part * 4 + 4]

    def run_part(self, part):
        for pair in self.pick_pairs(part):
            with self.subTest(pair=pair, seed=self.SEED):
                self.run_pair(pair)

    def test_pairs_0(self):
        self.run_part(0)

    def test_pairs_1(self):
        self.run_part(1)

    def test_pairs_2(self):
        self.run_part(2)


class SameSubmissionLogDown(SameSubmission):
    log = {"down": True}


class SameSubmissionLogSlow(SameSubmission):
    log = {"slow_ms": 900, "lose_replies": 1000}


class OwnerLostLogDown(OwnerLost):
    log = {"down": True}
    # Publishing a rule needs the log.
    test_refusals_of_an_owner_out_of_touch_claim_nothing = None


class LostMessagesLogDown(LostMessages):
    log = {"down": True}


class HomeLostLogDown(HomeLost):
    log = {"down": True}
