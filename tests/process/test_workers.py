"""Tasks that declare resources run on workers that an agent holds a lease on:
at most once each, and never beyond the capacity of a worker."""
import itertools
import random
import time
import unittest

from client import OUTCOME_S, Caller, Cluster, ProcessTest, http, job, wait_until

LEASE_MS = 900
SIZE = {"cores": 32, "memory_mb": 131072, "accelerators": 2}


def worker_job(n=1, run_ms=50, cores=4, memory_mb=1024, accelerators=0,
               **more):
    """A job of n tasks that declare the same resources."""
    body = job(n, run_ms, **more)
    for task in body["tasks"]:
        task.update(cores=cores, memory_mb=memory_mb,
                    accelerators=accelerators)
    return body


class Workers(ProcessTest):
    def cluster(self, entries=2, agents=2, workers=2, **more):
        more.setdefault("agent", {"worker.lease_ms": LEASE_MS})
        c = Cluster(entries=entries, agents=agents, workers=workers, **more)
        self.addCleanup(c.close)
        # A home binds keys from one second (clock skew) after it joined.
        time.sleep(1.2)
        return c

    def await_leases(self, c):
        """Wait until each entry knows a worker under a lease."""
        for i in range(len(c.entry_plan)):
            self.assertTrue(wait_until(lambda: any(
                "worker" in a and a["worker"]["leased"]
                for a in c.status(i)["agents"])))

    def check_capacity(self, c):
        for i in range(len(c.workers)):
            for name, peak in c.worker_report(i)["peak"].items():
                self.assertLessEqual(peak, SIZE[name], "worker %d" % i)

    def test_sizes_are_never_exceeded(self):
        c = self.cluster()
        sizes = [(1, 512, 0), (8, 65536, 0), (32, 1024, 0), (4, 4096, 1),
                 (2, 131072, 2), (16, 2048, 0)]
        callers = [Caller(c, i % 2, worker_job(12, 40, *sizes[i % 6],
                                               team="t%d" % (i % 3)))
                   for i in range(24)]
        self.assertEqual({x.result() for x in callers}, {"complete"})
        self.check_invariants(c, callers)
        self.check_capacity(c)
        self.assertEqual(sum(c.starts().values()), 24 * 12)
        self.assertEqual(sum(http("GET", "http://%s/starts" % m.address)[1]
                             ["total"] for m in c.minions), 0)

    def test_task_larger_than_any_worker_is_refused(self):
        c = self.cluster()
        for size in ((33, 1, 0), (1, 131073, 0), (1, 1, 3)):
            caller = Caller(c, 0, worker_job(2, 50, *size))
            self.assertEqual(caller.result(), "not_run")
            status, answer = caller.answers[0]
            self.assertEqual(status, 422)
            self.assertEqual(answer["error"]["code"], "no_target")
        self.assertEqual(c.starts(), {})

    def test_a_large_task_is_not_starved_by_small_ones(self):
        c = self.cluster(agents=1, workers=1)
        small = [Caller(c, i % 2, worker_job(60, 150, 2, team="small"))
                 for i in range(6)]
        time.sleep(0.3)
        large = Caller(c, 0, worker_job(1, 50, 32, team="large"))
        self.assertEqual(large.result(), "complete")
        self.assertTrue(any(x.is_alive() for x in small),
                        "the large task ran after all small ones")
        for x in small:
            x.result()
        self.check_invariants(c, small + [large])
        self.check_capacity(c)

    def test_waiting_for_a_worker_does_not_block_other_requests(self):
        c = self.cluster(agents=1, workers=1)
        held = [Caller(c, 0, worker_job(1, 3000, 32)) for _ in range(3)]
        time.sleep(0.2)
        quick = Caller(c, 0, job(4, 50))
        self.assertEqual(quick.result(), "complete")
        self.assertLess(quick.took_s, 2)
        for x in held:
            self.assertEqual(x.result(), "complete")
        self.check_invariants(c, held + [quick])

    def test_a_lease_that_lapses_while_its_holder_is_paused(self):
        c = self.cluster(agents=2, workers=2, entry={"gone_ms": 60000})
        callers = [Caller(c, 0, worker_job(8, 4000, 8), tries=3, timeout=30)]
        self.assertTrue(wait_until(
            lambda: sum(c.starts().values()) == 8))
        c.agents[0].pause()
        self.assertTrue(wait_until(
            lambda: c.worker_report(0)["lapsed"] == 1))
        self.assertEqual(c.worker_report(0)["running"], 0)
        time.sleep(1)
        c.agents[0].resume()
        self.assertEqual(callers[0].result(), "may_have_run")
        self.assertTrue(wait_until(
            lambda: c.worker_report(0)["epoch"] == 2, OUTCOME_S))
        # Takes both workers at the same time.
        again = Caller(c, 1, worker_job(2, 800, 32))
        self.assertEqual(again.result(), "complete")
        self.check_invariants(c, callers + [again])
        self.check_capacity(c)

    def test_lease_holder_killed_and_restarted(self):
        c = self.cluster(agents=1, workers=1, proxy=True)
        first = Caller(c, 0, worker_job(4, 3000, 8))
        self.assertTrue(wait_until(lambda: sum(c.starts().values()) == 4))
        c.agents[0].kill()
        c.agents[0] = c.start_agent(0)
        self.assertEqual(first.result(OUTCOME_S), "may_have_run")
        self.assertTrue(wait_until(
            lambda: c.worker_report(0)["epoch"] == 2, OUTCOME_S))
        self.await_leases(c)
        second = Caller(c, 1, worker_job(4, 50, 8), tries=20)
        self.assertEqual(second.result(), "complete")
        self.check_invariants(c, [first, second])
        self.check_capacity(c)

    def test_worker_partitioned_from_its_lease_holder(self):
        c = self.cluster(agents=1, workers=1, proxy=True)
        first = Caller(c, 0, worker_job(4, 5000, 8))
        self.assertTrue(wait_until(lambda: sum(c.starts().values()) == 4))
        c.set_fault("w0", cut=True)
        self.assertEqual(first.result(OUTCOME_S), "may_have_run")
        self.assertTrue(wait_until(
            lambda: c.worker_report(0)["running"] == 0, OUTCOME_S))
        refused = Caller(c, 0, worker_job(1, 50, 8, deadline_ms=500))
        self.assertEqual(refused.result(OUTCOME_S), "not_run")
        c.set_fault("w0", cut=False)
        self.assertTrue(wait_until(
            lambda: c.worker_report(0)["epoch"] == 2, OUTCOME_S))
        after = Caller(c, 1, worker_job(4, 50, 8))
        self.assertEqual(after.result(), "complete")
        self.check_invariants(c, [first, refused, after])

    def test_connections_to_the_worker_freeze(self):
        c = self.cluster(agents=1, workers=1, proxy=True,
                         agent={"worker.lease_ms": LEASE_MS,
                                "task_limit_ms": 4000})
        first = Caller(c, 0, worker_job(4, 300, 8))
        self.assertTrue(wait_until(lambda: sum(c.starts().values()) == 4))
        c.set_fault("w0", freeze="all")
        self.assertEqual(first.result(OUTCOME_S), "may_have_run")
        after = Caller(c, 1, worker_job(8, 50, 4))
        self.assertEqual(after.result(), "complete")
        self.check_invariants(c, [first, after])
        self.check_capacity(c)

    def test_usage_beyond_the_declared_size_blocks_new_tasks(self):
        c = self.cluster(agents=1, workers=1)
        c.worker_control(0, usage_lag_ms=700)
        under_declared = worker_job(1, 3500, 1, 1024)
        under_declared["tasks"][0]["payload"]["uses_memory_mb"] = 131072
        first = Caller(c, 0, under_declared)
        self.assertTrue(wait_until(lambda: sum(c.starts().values()) == 1))
        time.sleep(2)  # the reporting delay and the next report
        began = time.monotonic()
        second = Caller(c, 0, worker_job(1, 50, 1, 65536))
        self.assertEqual(second.result(), "complete")
        self.assertGreater(time.monotonic() - began, 0.5)
        # Had the two run at the same time, the first would run for another
        # second.
        first.join(1)
        self.assertFalse(first.is_alive(), "the second ran beside the first")
        self.check_invariants(c, [first, second])

    # Guards against reservations that are forgotten, and tasks started over
    # them, after an answer to a lease request that cannot be read.
    def test_unreadable_lease_answers_do_not_free_capacity(self):
        c = self.cluster(agents=1, workers=1)
        first = Caller(c, 0, worker_job(1, 2500, 32))
        self.assertTrue(wait_until(lambda: sum(c.starts().values()) == 1))
        c.worker_control(0, bad_leases=1)
        self.assertTrue(wait_until(
            lambda: http("POST", "http://%s/control" % c.workers[0].address,
                         {})[1]["bad_leases"] == 0))
        second = Caller(c, 0, worker_job(4, 50, 8))
        self.assertEqual(first.result(), "complete")
        self.assertEqual(second.result(), "complete")
        self.check_invariants(c, [first, second])
        self.check_capacity(c)

    # Guards against starts over a worker that has shrunk, when more is
    # reserved there than it has left.
    def test_no_task_starts_at_a_worker_that_shrank_below_its_reservations(self):
        c = self.cluster(agents=1, workers=1)
        first = Caller(c, 0, worker_job(4, 2500, 4))
        self.assertTrue(wait_until(lambda: sum(c.starts().values()) == 4))
        c.worker_control(0, total=dict(SIZE, cores=8))
        time.sleep(LEASE_MS / 1000)
        second = Caller(c, 0, worker_job(2, 50, 4))
        self.assertEqual(first.result(), "complete")
        self.assertEqual(second.result(), "complete")
        self.assertEqual(c.worker_report(0)["peak"]["cores"], 16)
        self.check_invariants(c, [first, second])

    # Guards against a task that uses more than it declared being forgotten
    # after a usage report that cannot be read.
    def test_unreadable_usage_reports_do_not_free_capacity(self):
        c = self.cluster(agents=1, workers=1)
        c.worker_control(0, usage_lag_ms=200)
        under_declared = worker_job(1, 3500, 1, 1024)
        under_declared["tasks"][0]["payload"]["uses_memory_mb"] = 131072
        first = Caller(c, 0, under_declared)
        self.assertTrue(wait_until(lambda: sum(c.starts().values()) == 1))
        time.sleep(1)
        c.worker_control(0, bad_usage=True)
        time.sleep(0.6)
        second = Caller(c, 0, worker_job(1, 50, 1, 65536))
        self.assertEqual(first.result(), "complete")
        self.assertEqual(second.result(), "complete")
        self.assertGreaterEqual(second.took_s, 1)
        self.check_invariants(c, [first, second])

    def test_cancelled_tasks_are_stopped_at_the_worker(self):
        c = self.cluster(agents=1, workers=1)
        sid = c.mint(0)[0]
        first = Caller(c, 0, worker_job(8, 20000, 4, id=sid))
        self.assertTrue(wait_until(lambda: sum(c.starts().values()) == 8))
        http("DELETE", c.url(1, "/v1/jobs/" + sid))
        self.assertEqual(first.result(OUTCOME_S), "may_have_run")
        self.assertTrue(wait_until(
            lambda: c.worker_report(0)["running"] == 0, OUTCOME_S))
        after = Caller(c, 0, worker_job(1, 50, 32))
        self.assertEqual(after.result(OUTCOME_S), "complete")
        self.check_invariants(c, [first, after])

    def test_same_id_and_key_through_two_entries(self):
        c = self.cluster()
        sid = c.mint(0)[0]
        callers = [Caller(c, i % 2, worker_job(6, 200, 4, id=sid))
                   for i in range(4)]
        body = worker_job(6, 200, 4, key="w1",
                          first_sent_ms=int(time.time() * 1000))
        callers += [Caller(c, i % 2, body) for i in range(4)]
        self.assertEqual({x.result() for x in callers}, {"complete"})
        self.check_invariants(c, callers)
        self.assertEqual(sum(c.starts().values()), 12)

    def test_owner_killed_while_the_log_is_down(self):
        c = self.cluster()
        sid = c.mint(0)[0]
        caller = Caller(c, 0, worker_job(8, 900, 4, id=sid), tries=6)
        self.assertTrue(wait_until(lambda: sum(c.starts().values()) == 8))
        c.log_control(down=True)
        c.entries[0].kill()
        self.assertEqual(caller.result(), "complete")
        self.check_invariants(c, [caller])
        self.assertEqual(sum(c.starts().values()), 8)

    def test_leaving_agent_finishes_the_tasks_of_its_worker(self):
        c = self.cluster(agents=2, workers=1)
        caller = Caller(c, 0, worker_job(4, 1500, 8))
        self.assertTrue(wait_until(lambda: sum(c.starts().values()) == 4))
        self.assertEqual(c.agents[0].stop(), 0)
        self.assertEqual(caller.result(), "complete")
        self.check_invariants(c, [caller])

    def test_two_agents_configured_with_the_same_worker(self):
        c = self.cluster(agents=2, workers=1)
        c.agents[1].stop()
        c.agents[1] = c.start_agent(1, **{
            "worker.url": "http://" + c.agent_plan[0]["worker_via"]})
        callers = [Caller(c, i % 2, worker_job(8, 100, 8)) for i in range(4)]
        self.assertEqual({x.result() for x in callers}, {"complete"})
        self.assertEqual(c.worker_report(0)["epoch"], 1)
        c.agents[0].kill()
        self.assertTrue(wait_until(
            lambda: c.worker_report(0)["epoch"] == 2, OUTCOME_S))
        self.await_leases(c)
        callers += [Caller(c, i % 2, worker_job(8, 50, 8), tries=3)
                    for i in range(2)]
        self.assertEqual({x.result() for x in callers}, {"complete"})
        self.check_invariants(c, callers)
        self.check_capacity(c)

    def test_pairs_of_failures(self):
        """Pairs drawn with a fixed seed, each on a new cluster under load.

        The draw depends on the sorted order of the names.
        """
        rng = random.Random(20261204)
        failures = {
            "lease holder killed": lambda c: (
                c.agents[0].kill(),
                c.agents.__setitem__(0, c.start_agent(0))),
            "lease holder paused": lambda c: (
                c.agents[0].pause(), time.sleep(1.6), c.agents[0].resume()),
            "worker cut off": lambda c: (
                c.set_fault("w0", cut=True), time.sleep(1.5),
                c.set_fault("w0", cut=False)),
            "connections to the worker frozen":
                lambda c: c.set_fault("w0", freeze="all"),
            "owner killed": lambda c: (
                c.entries[0].kill(),
                c.entries.__setitem__(0, c.start_entry(0))),
            "log down": lambda c: c.log_control(down=True),
            "worker killed": lambda c: c.kill_worker(1),
        }
        pairs = list(itertools.combinations(sorted(failures), 2))
        for one, two in rng.sample(pairs, 5):
            with self.subTest(failures=(one, two)):
                self.check_pair(failures[one], failures[two])

    def check_pair(self, one, two):
        c = self.cluster(agents=3, workers=3, proxy=True,
                         agent={"worker.lease_ms": LEASE_MS,
                                "task_limit_ms": 4000})
        callers = [Caller(c, i % 2, worker_job(6, 400, 4, id=c.mint(i % 2)[0]),
                          tries=5, timeout=20) for i in range(8)]
        time.sleep(0.2)
        one(c)
        two(c)
        results = [x.result() for x in callers]
        self.assertNotIn("none", results)
        c.log_control(down=False)
        self.check_invariants(c, callers)
        self.check_capacity(c)
        self.assertTrue(wait_until(lambda: Caller(
            c, 1, worker_job(4, 50, 4)).result() == "complete", OUTCOME_S))
        c.close()

    def test_worker_that_fails_all_tasks(self):
        c = self.cluster(agents=4, workers=4, entries=1)
        c.worker_control(0, fail_all=True)
        results = [Caller(c, 0, worker_job(1, 30, 8)) for _ in range(60)]
        lost = sum(x.result() != "complete" for x in results)
        late = [Caller(c, 0, worker_job(1, 30, 8)) for _ in range(40)]
        self.assertLessEqual(sum(x.result() != "complete" for x in late), 1)
        self.assertLess(lost, 60)
        # Failures of the worker do not count against the agent's minion.
        state = [a for a in c.status(0)["agents"] if a["name"] == "a0"][0]
        self.assertEqual(state["health"], "fit")
        self.check_invariants(c, results + late)


if __name__ == "__main__":
    unittest.main()
