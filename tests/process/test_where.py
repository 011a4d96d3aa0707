"""Process test of `lagoonvale where`: what it says of a job agrees with what the
dispatcher does with it, and asking changes nothing."""
import json
import os
import subprocess
import time
import unittest

from cluster import BUILD, http, wait_until
from platform_cluster import PlatformCluster, job


class Where(unittest.TestCase):
    def setUp(self):
        self.c = PlatformCluster(entries=1, agents=2, mcores=4000)
        self.addCleanup(self.c.close)
        self.c.await_ready()
        time.sleep(1.6)  # agents may join until then
        self.url = self.c.metrics_url(self.c.entries[0])[:-len("/metrics")]

    def run_command(self, *more):
        return subprocess.run(
            [os.path.join(BUILD, "lagoonvale"), "where", "--metrics",
             self.url] + list(more), capture_output=True, text=True)

    def ask(self, **job):
        argv = ["--json", "--queue", "rush"]
        for key, value in job.items():
            argv += ["--" + key.replace("_", "-"), str(value)]
        done = self.run_command(*argv)
        self.assertEqual(done.returncode, 0, done.stderr)
        return json.loads(done.stdout)

    def obstacles(self, answer):
        return {c["agent"]: c["obstacle"] for c in answer["candidates"]}

    # Guards against an explanation that differs from what is done.
    def test_the_explanation_agrees_with_the_dispatcher(self):
        before = self.c.metric(self.c.entries[0], "lagoonvale_orders_total")
        answer = self.ask(tasks=2, mcores=3000)
        self.assertEqual(answer["decision"], "placed")
        self.assertEqual(sorted(answer["agents"]), ["agent-0", "agent-1"])
        answer = self.ask(tasks=3, mcores=3000)
        self.assertEqual((answer["decision"], answer["tasks_that_fit"]),
                         ("queued", 2))
        answer = self.ask(mcores=5000)
        self.assertEqual(answer["decision"], "refused")
        self.assertEqual(set(self.obstacles(answer).values()), {"too small"})
        self.c.drain("d0")
        self.assertTrue(wait_until(lambda: self.obstacles(self.ask()) == {
            "agent-0": "domain-drained", "agent-1": ""}))
        self.assertEqual(self.ask()["agents"], ["agent-1"])
        self.c.drain("d1")
        self.assertTrue(wait_until(
            lambda: self.ask()["decision"] == "refused"))
        self.assertEqual(self.c.submit(0, job())[0], 503)
        self.assertEqual(self.c.metric(self.c.entries[0],
                                       "lagoonvale_orders_total"), before)

    # Guards against bad input that is taken for a job, or ends the process.
    def test_bad_questions_get_a_clear_answer(self):
        for body, status in ((b"{", 400), (b"[]", 400), ({"tasks": 0}, 400),
                             ({"queue": "rush", "tasks": 991}, 400),
                             ({"queue": "rush", "mcores": -1}, 400),
                             ({"queue": "rush", "mcores": "x"}, 400),
                             ({"queue": "none"}, 404), ({}, 404)):
            with self.subTest(body=str(body)):
                self.assertEqual(http("POST", self.url + "/where", body)[0],
                                 status)
        self.assertEqual(self.run_command("--queue", "none").returncode, 3)
        self.assertEqual(self.run_command().returncode, 2)
        done = self.run_command("--queue", "rush")
        self.assertIn("placed: all tasks fit now", done.stdout)
        self.assertIn("agent-1", done.stdout)


if __name__ == "__main__":
    unittest.main()
