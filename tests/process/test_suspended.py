"""Tests with daemons that have the clocks of vm_clock.c.

Tests of paused processes, again with a monotonic clock that stands still
meanwhile, as it does on an instance that is suspended: what was permitted to
them, and what they knew, is as old afterwards as after a pause.  And a time of
day that is set back: timers go on."""
import os
import signal
import time

import cluster
import test_crashes
import test_platform
import test_start_once
import test_workers
from client import Load, ProcessTest, SingleTests
from cluster import Cluster, wait_until
from platform_cluster import Callers, PlatformCluster


def setUpModule():
    cluster.PROGRAMS = os.path.join(cluster.BUILD, "suspendable")


def tearDownModule():
    cluster.PROGRAMS = cluster.BUILD


class Suspended(SingleTests):
    # Guards against an agent that starts tasks at a worker under a lease that
    # has lapsed: another agent holds it by then.
    def test_lease_holder_suspended(self):
        self.run_test(test_workers.Workers,
                      "test_a_lease_that_lapses_while_its_holder_is_paused")

    # Guards against an entry that acts on what waited in its sockets: its
    # submissions were taken over.
    def test_owner_suspended_and_resumed_with_requests_in_its_socket(self):
        self.run_test(
            test_start_once.OwnerLost,
            "test_owner_paused_and_resumed_with_requests_in_its_socket")

    # Guards against an agent that binds or starts by what waited in its
    # sockets.
    def test_home_suspended(self):
        self.run_test(test_start_once.HomeLost, "test_home_paused")

    # The same for starts, whose entry has given up on the agent.
    def test_a_start_that_waited_at_a_suspended_agent_is_discarded(self):
        self.run_test(
            test_start_once.HomeLost,
            "test_a_start_that_waited_at_a_paused_agent_is_discarded")

    # Guards against a dispatcher that orders for jobs whose callers have left.
    def test_dispatcher_suspended(self):
        self.run_test(test_platform.Failures, "test_entry_paused")

    # Guards against an agent that carries out orders, or keeps runs, of a
    # dispatcher that counts them as ended.
    def test_runner_suspended(self):
        self.run_test(test_platform.Failures, "test_agent_paused")

    # Guards against a capacity that was reported before the suspension.
    def test_runner_suspended_with_a_report_in_its_socket(self):
        self.run_test(
            test_crashes.Capacity,
            "test_a_report_that_was_read_late_is_as_old_as_its_clock_says")


class TimeOfDaySetBack(ProcessTest):
    # Guards against daemons whose timers follow the time of day: they would
    # stand still, heartbeats and retries with them, until it has caught up.
    def test_entries_and_agents_go_on(self):
        c = Cluster(entries=2, agents=3)
        self.addCleanup(c.close)
        c.wait_ready()
        load = Load(c)
        time.sleep(1)
        for p in c.entries + c.agents:
            p.send(signal.SIGUSR2)
        # Heartbeats, and retries by an entry that starts anew.
        c.entries[1].kill()
        c.entries[1] = c.start_entry(1)
        time.sleep(3)
        before = time.monotonic()
        self.assertTrue(wait_until(lambda: all(
            a["connected"] for a in c.status(0)["agents"])))
        c.agents[0].kill()
        self.assertTrue(wait_until(lambda: sum(
            a["connected"] for a in c.status(0)["agents"]) == 2, 5))
        self.assertLess(time.monotonic() - before, 5)
        callers = load.stop()
        self.assertGreater(load.count("complete"), len(callers) / 2)
        self.check_invariants(c, callers)

    # The same for dispatchers and runners.
    def test_dispatchers_and_runners_go_on(self):
        c = PlatformCluster(entries=2, agents=2)
        self.addCleanup(c.close)
        c.await_ready()
        callers = Callers(c, run_ms=40)
        time.sleep(1)
        usual = callers.served_since(time.monotonic() - 0.8)
        for p in c.entries + c.agents:
            p.send(signal.SIGUSR2)
        time.sleep(3)
        served = callers.served_since(time.monotonic() - 0.8)
        callers.stop()
        self.assertGreater(served, usual / 2)
        self.assertEqual(c.rule_violations(), [])
