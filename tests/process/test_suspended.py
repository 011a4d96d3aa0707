"""Tests of paused processes, again with daemons whose monotonic clock stands
still meanwhile, as it does on an instance that is suspended: what was permitted
to them, and what they knew, is as old afterwards as after a pause."""
import os

import cluster
import test_crashes
import test_platform
import test_start_once
import test_workers
from client import SingleTests


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
