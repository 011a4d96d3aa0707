"""The process tests that also run under the sanitizers: same id and key, killed
owner, killed agents, cancellation, rolling replacement, invalid records.  A
sanitizer's report ends the process, which fails the test."""
import test_all_or_nothing
import test_bad_input
import test_start_once
from client import SingleTests


class SanitizedPath(SingleTests):
    def test_sanitized_same_id_and_key(self):
        self.run_test(test_start_once.SameSubmission,
                      "test_same_id_and_same_key")

    def test_sanitized_owner_killed(self):
        self.run_test(test_start_once.OwnerLost, "test_owner_killed")

    def test_sanitized_agents_killed(self):
        self.run_test(test_all_or_nothing.AllOrNothing,
                      "test_a_third_of_the_agents_killed_at_once")

    def test_sanitized_cancel(self):
        self.run_test(test_all_or_nothing.AllOrNothing, "test_cancel")

    def test_sanitized_rolling(self):
        self.run_test(test_all_or_nothing.Leaving,
                      "test_rolling_replacement_of_every_process")

    def test_sanitized_records(self):
        self.run_test(test_bad_input.BadInput, "test_rpc_records")
