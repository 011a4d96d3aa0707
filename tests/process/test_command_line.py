"""lagoonvale submit --retries assigns an id to the job, so that a retry through
another entry starts no task twice."""
import json
import os
import subprocess

from client import ProcessTest, job, wait_until
from cluster import BUILD
from test_start_once import cluster, now_ms


class Submit(ProcessTest):
    def submit(self, c, body, retries):
        path = os.path.join(c.dir, "job.json")
        with open(path, "w") as f:
            json.dump(body, f)
        argv = [os.path.join(BUILD, "lagoonvale"), "submit", "--retries",
                str(retries), path]
        for i in range(2):
            argv += ["--entry", c.url(i, "")]
        return subprocess.Popen(argv, stdout=subprocess.PIPE,
                                stderr=subprocess.PIPE, text=True)

    def submit_while_entry_is_killed(self, body):
        with cluster() as c:
            if "key" in body:
                body["first_sent_ms"] = now_ms()
            done = self.submit(c, body, 20)
            self.assertTrue(wait_until(lambda: len(c.starts()) == 12))
            c.entries[0].kill()
            text, errors = done.communicate(timeout=30)
            self.assertEqual(done.returncode, 0, errors)
            self.assertIn("retry 1 of 20", errors)
            self.assertEqual(len(json.loads(text)["tasks"]), 12)
            self.check_invariants(c, [])
            self.assertEqual(len(c.starts()), 12)

    def test_entry_killed_while_it_waits(self):
        for body in (job(12, 600), job(12, 600, key="cli")):
            with self.subTest(key=body.get("key")):
                self.submit_while_entry_is_killed(body)

    def test_retry_conditions(self):
        failing = job(1, 20)
        failing["tasks"][0]["payload"]["fail"] = True
        cases = [  # job, retries out of 2, exit code, tasks started
            (job(2, 20, team="full"), 2, 3, 0),  # answered with a backoff
            (job(1, 20, team="refused"), 0, 3, 0),
            (failing, 0, 4, 1),
            (job(1, 20), 0, 0, 1),
        ]
        with cluster() as c:
            c.publish("refuse team refused # Test: not for a while\n"
                      "queue team full 1 # Test: two never fit\n")
            self.assertTrue(wait_until(
                lambda: all(c.status(i).get("rules") == 1 for i in (0, 1))))
            for body, retries, code, started in cases:
                before = sum(c.starts().values())
                done = self.submit(c, body, 2)
                _, errors = done.communicate(timeout=30)
                self.assertEqual(
                    (errors.count("retry"), done.returncode,
                     sum(c.starts().values()) - before),
                    (retries, code, started), (body, errors))
