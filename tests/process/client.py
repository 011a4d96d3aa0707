"""Callers that submit jobs and retry, and the invariants of every run, checked
against the starts that the minions counted."""
import threading
import time
import unittest

from cluster import Cluster, http, job, wait_until  # noqa: F401

# The recovery target is 3 s; the rest is margin for a slow machine.
OUTCOME_S = 8


def verdict(status, answer):
    """Classify an answer as "complete", "not_run", "may_have_run" or "none"."""
    if status == 0:
        return "none"
    if status == 200:
        return "complete"
    error = answer.get("error", {}) if isinstance(answer, dict) else {}
    if error.get("not_run"):
        return "not_run"
    return "may_have_run" if error.get("may_have_run") else "none"


class Caller(threading.Thread):
    """Submits a job, and resubmits it through the next entry while there is no
    answer, with at most TRIES submissions."""

    def __init__(self, cluster, entry, body, tries=1, timeout=30):
        super().__init__(daemon=True)
        self.cluster, self.entry, self.body = cluster, entry, body
        self.tries, self.timeout = tries, timeout
        self.answers = []
        self.took_s = 0
        self.start()

    def run(self):
        began = time.monotonic()
        for i in range(self.tries):
            entry = (self.entry + i) % len(self.cluster.entry_plan)
            self.answers.append(self.cluster.submit(
                entry, self.body, timeout=self.timeout))
            if verdict(*self.answers[-1]) != "none":
                break
            time.sleep(0.05)
        self.took_s = time.monotonic() - began

    def result(self, seconds=60):
        self.join(seconds)
        assert not self.is_alive(), "no outcome after %d s" % seconds
        return verdict(*self.answers[-1])


class Load:
    """Runs WORKERS callers at a time, each with its own id, until stopped."""

    def __init__(self, cluster, workers=6, tasks=4, run_ms=60, tries=4,
                 entries=None):
        self.cluster, self.tasks, self.run_ms = cluster, tasks, run_ms
        self.tries = tries
        self.entries = entries or list(range(len(cluster.entry_plan)))
        self.stopping = False
        self.callers = []
        self.lock = threading.Lock()
        self.threads = [threading.Thread(target=self.submit_loop, args=(i,),
                                         daemon=True)
                        for i in range(workers)]
        for t in self.threads:
            t.start()

    def create_id(self, n):
        for i in range(40):
            entry = self.entries[(n + i) % len(self.entries)]
            status, answer = http("POST", self.cluster.url(
                entry, "/v1/submissions"), timeout=5)
            if status == 200:
                return entry, answer["ids"][0]
            time.sleep(0.05)
        return 0, None

    def submit_loop(self, n):
        while not self.stopping:
            entry, sid = self.create_id(n)
            if sid is None:
                continue
            caller = Caller(self.cluster, entry, job(
                self.tasks, self.run_ms, id=sid), tries=self.tries)
            caller.sid = sid
            with self.lock:
                self.callers.append(caller)
            caller.join()
            n += 1

    def stop(self):
        self.stopping = True
        for t in self.threads:
            t.join()
        return self.callers

    def count(self, outcome):
        return sum(c.result() == outcome for c in self.callers)


class ProcessTest(unittest.TestCase):
    def check_invariants(self, cluster, callers):
        """Checks what must hold after any fault: no task was started twice, a
        complete answer holds the output of every task, and no task of a job
        refused as not run was started."""
        starts = cluster.starts()
        self.assertLessEqual(max(starts.values(), default=0), 1,
                             [t for t, n in starts.items() if n > 1])
        for caller in callers:
            for status, answer in caller.answers:
                self.check_answer(starts, caller.body, status, answer)

    def check_answer(self, starts, body, status, answer):
        outcome = verdict(status, answer)
        if outcome == "complete":
            self.assertEqual(len(answer["tasks"]), len(body["tasks"]))
            for i, task in enumerate(answer["tasks"]):
                prefix = "%s/%d:" % (answer["id"], i)
                self.assertEqual(task["index"], i)
                self.assertTrue(task["output"].startswith(prefix), task)
        sid = answer.get("id") if isinstance(answer, dict) else None
        if outcome == "not_run" and sid:
            ran = [t for t in starts if t.startswith(sid + "/")]
            self.assertEqual(ran, [], "refused as not run: %s" % answer)


class SingleTests(ProcessTest):
    """Runs tests of other classes one by one."""

    def run_test(self, cls, name):
        result = cls(name).defaultTestResult()
        if hasattr(cls, "c") or name.startswith("test_rpc"):
            cls.setUpClass()
        try:
            cls(name).run(result)
        finally:
            cls.tearDownClass()
        self.assertEqual(result.errors + result.failures, [])
        self.assertEqual(result.testsRun, 1)
