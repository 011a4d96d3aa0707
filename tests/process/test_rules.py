"""Publishing of rule files: an accepted version becomes current on all
entries within seconds and is never reverted.  Also membership records."""
import json
import os
import re
import subprocess
import threading
import time

from client import Caller, Cluster, ProcessTest, http, job, wait_until
from cluster import BUILD, ROOT

APPLY_TARGET_S = 18  # target for a version to become current everywhere
REFRESH = {"refresh_s": 1}


def rule(n):
    return "weight team team%d %d # Op%d: change %d\n" % (n, n % 900 + 1, n,
                                                          n)


class Rules(ProcessTest):
    def versions(self, c, name):
        """Versions that the instance logged as current, in order."""
        seen = []
        with open(os.path.join(c.dir, name + ".log")) as f:
            for line in f:
                m = re.search(r"event=rules version=(\d+)", line)
                if m:
                    seen.append(int(m.group(1)))
        return seen

    def check_monotone(self, c):
        for plan in c.entry_plan:
            versions = self.versions(c, plan["name"])
            # A restarted instance appends to the same file and starts with
            # the current version, so the order also holds across restarts.
            self.assertEqual(versions, sorted(versions), plan["name"])

    def is_current(self, c, version, entries=None):
        return all(c.status(i).get("rules") == version
                   for i in entries or range(len(c.entry_plan)))

    def await_version(self, c, version, entries=None):
        began = time.monotonic()
        self.assertTrue(wait_until(
            lambda: self.is_current(c, version, entries), APPLY_TARGET_S))
        return time.monotonic() - began

    def texts(self, c, entries):
        return {http("GET", c.url(i, "/v1/rules"))[1]["text"]
                for i in entries}

    def test_publish_show_diff_explain(self):
        with Cluster(entries=3, agents=1) as c:
            with open(os.path.join(ROOT, "examples",
                                   "rules-kaapstad.txt")) as f:
                result = c.publish(f.read())
            self.assertEqual((result.returncode, result.stdout),
                             (0, "accepted: version 1\n"))
            self.await_version(c, 1)
            urls = [x for i in range(3) for x in ("--entry", c.url(i, ""))]
            shown = subprocess.run([os.path.join(BUILD, "lagoonvale"),
                                    "rules", "show"] + urls,
                                   capture_output=True, text=True)
            self.assertEqual(shown.stdout.count("version 1"), 3)
            self.assertIn("Thandi", shown.stdout)
            diff = subprocess.run(
                [os.path.join(BUILD, "lagoonvale"), "rules", "diff",
                 "--entry", c.url(0, ""), os.path.join(
                     ROOT, "examples", "rules-etna.txt")],
                capture_output=True, text=True)
            self.assertIn("+ weight team counter 4", diff.stdout)
            status, answer = http("POST", c.url(0, "/v1/explain"),
                                  job(1, team="counter", kind="proof"))
            self.assertEqual([r["rule"] for r in answer["rules"]],
                             ["weight team counter 4", "limit kind proof 60"])

    def test_rules_apply_without_a_restart(self):
        with Cluster(entries=2, agents=2) as c:
            def refused(code, body):
                caller = Caller(c, 0, body)
                self.assertEqual(caller.result(), "not_run", caller.answers)
                self.assertEqual(caller.answers[0][1]["error"]["code"], code)
            c.publish("refuse team bad # A: b\nrefuse kind worse # A: b\n"
                      "refuse urgency bulk # A: b\nqueue team few 3 # A: b\n"
                      "limit kind slow 2 # A: b\nlimit kind none 0 # A: b\n"
                      "drain domain palermo # A: b\n")
            self.await_version(c, 1)
            Caller(c, 0, job(1, 20, kind="none"))
            time.sleep(0.5)
            self.assertEqual(c.starts(), {}, "a limit of 0 lets nothing start")
            refused("refused_by_rule", job(1, team="bad"))
            refused("refused_by_rule", job(1, kind="worse"))
            refused("refused_by_rule", job(1, urgency="bulk"))
            refused("team_queue_full", job(4, team="few"))
            before = time.monotonic()
            self.assertEqual(Caller(c, 0, job(4, 200, kind="slow")).result(),
                             "complete")
            # The limit of 2 in the fleet allows one at each of two entries.
            self.assertGreater(time.monotonic() - before, 0.75)
            self.assertEqual(http("GET", "http://%s/starts" %
                                  c.minions[1].address)[1]["total"], 0)
            c.publish("weight team a 2 # A: b\n")
            self.await_version(c, 2)
            self.assertEqual(Caller(c, 0, job(1, 20, team="bad")).result(),
                             "complete")

    def test_five_operators_publish_concurrently(self):
        with Cluster(entries=3, agents=1) as c:
            results = [None] * 5
            for round_ in range(3):
                def publish(i):
                    results[i] = c.publish(rule(10 * round_ + i))
                threads = [threading.Thread(target=publish, args=(i,))
                           for i in range(5)]
                for t in threads:
                    t.start()
                for t in threads:
                    t.join()
                codes = [r.returncode for r in results]
                accepted = [r.stdout for r in results if r.returncode == 0]
                self.assertLessEqual(set(codes), {0, 3}, results)
                self.assertGreaterEqual(len(accepted), 1)
                self.assertEqual(len(set(accepted)), len(accepted))
                version = max(int(x.split()[-1]) for x in accepted)
                self.await_version(c, version)
                self.assertEqual(len(self.texts(c, range(3))), 1)
                for r in results:
                    if r.returncode == 3:
                        self.assertIn("lost to version", r.stdout)
            self.check_monotone(c)

    def test_append_reply_lost(self):
        with Cluster(entries=2, agents=1) as c:
            c.log_control(lose_replies=1)
            result = c.publish(rule(1))
            self.assertEqual(result.stdout, "accepted: version 1\n")
            self.await_version(c, 1)
            result = c.publish(rule(2))
            self.assertEqual(result.stdout, "accepted: version 2\n")
            self.await_version(c, 2)

    def test_log_down_before_during_and_after(self):
        with Cluster(entries=2, agents=1) as c:
            def log_control_after(seconds, **control):
                threading.Timer(seconds, lambda: c.log_control(
                    **control)).start()
            c.log_control(down=True)
            log_control_after(1.5, down=False)
            self.assertEqual(c.publish(rule(1)).returncode, 0)
            self.await_version(c, 1)
            c.log_control(slow_ms=600)
            log_control_after(0.7, down=True)
            log_control_after(2.5, down=False, slow_ms=0)
            self.assertEqual(c.publish(rule(2)).returncode, 0)
            self.await_version(c, 2)
            c.log_control(down=True)
            time.sleep(0.5)
            self.assertTrue(self.is_current(c, 2))
            c.log_control(down=False)
            self.assertEqual(c.publish(rule(3)).returncode, 0)
            self.await_version(c, 3)
            self.check_monotone(c)

    def test_retention_and_cold_start(self):
        with Cluster(entries=2, agents=1, entry=REFRESH, agent=REFRESH) as c:
            # The log keeps fewer records than were published: the version of
            # the oldest kept one is only known from a state record.
            for n in range(9):
                self.assertEqual(c.publish(rule(n)).returncode, 0)
            self.await_version(c, 9)
            c.log_control(retain=6)
            time.sleep(4)  # records are trimmed, the state record is repeated
            for p in c.entries + c.agents:
                p.kill()
            c.agents[0] = c.start_agent(0)
            c.entries = [c.start_entry(i) for i in range(2)]
            c.wait_ready()
            self.await_version(c, 9)
            # A replayed publish with an old base version is not accepted.
            http("POST", c.log_url + "/streams/rules/append", {
                "type": "publish", "base": 8, "id": "old", "by": "x",
                "text": rule(99)})
            self.assertEqual(c.publish(rule(5)).stdout,
                             "accepted: version 10\n")
            self.await_version(c, 10)
            self.check_monotone(c)

    def test_cold_start_begins_at_the_current_version(self):
        """Older versions that the log still holds don't become current."""
        with Cluster(entries=2, agents=1) as c:
            for n in range(4):
                self.assertEqual(c.publish(rule(n)).returncode, 0)
            names = [plan["name"] for plan in c.entry_plan]
            for name in names:
                self.assertTrue(wait_until(
                    lambda: self.versions(c, name)[-1:] == [4]))
            before = {name: self.versions(c, name) for name in names}
            for p in c.entries:
                p.kill()
            c.entries = [c.start_entry(i) for i in range(2)]
            c.wait_ready()
            for name in names:
                self.assertTrue(wait_until(
                    lambda: len(self.versions(c, name)) > len(before[name])))
                self.assertEqual(self.versions(c, name), before[name] + [4])

    def test_not_ready_before_the_stream_was_read(self):
        """The stream takes several reads from a slow log."""
        with Cluster(entries=1, agents=1) as c:
            self.assertEqual(c.publish(rule(0)).returncode, 0)
            c.log_control(rate=100000)
            for _ in range(1200):
                http("POST", c.log_url + "/streams/rules/append",
                     b'{"type":"other"}')
            self.assertEqual(c.publish(
                "refuse team t # A: must hold from the first request\n")
                .returncode, 0)
            self.await_version(c, 2)
            c.entries[0].kill()
            c.log_control(slow_ms=300)
            c.entries[0] = c.start_entry(0)
            self.assertTrue(wait_until(c.entries[0].ready, every=0.005))
            caller = Caller(c, 0, job(1, 20))
            self.assertEqual(caller.result(), "not_run", caller.answers)
            self.assertEqual(caller.answers[0][1]["error"]["code"],
                             "refused_by_rule")
            self.check_monotone(c)

    def test_damaged_and_unknown_records(self):
        with Cluster(entries=2, agents=1) as c:
            self.assertEqual(c.publish(rule(1)).returncode, 0)
            good = json.dumps({"type": "publish", "base": 1, "id": "t",
                               "by": "x", "text": rule(2)}).encode()
            for body in (good[:40], b"", b"\x00\xff\xfe", b"[]",
                         b'{"type":"other"}',
                         json.dumps({"type": "publish", "base": 1,
                                     "text": "no such rule\n"}).encode(),
                         json.dumps({"type": "publish", "base": 1, "text":
                                     "# " + "x" * (1 << 21)}).encode(),
                         json.dumps({"type": "state", "version": 9,
                                     "as_of": 0, "text": "bad"}).encode(),
                         json.dumps({"type": "publish", "base": "1",
                                     "text": rule(3)}).encode()):
                http("POST", c.log_url + "/streams/rules/append", body or
                     b" ")
            self.assertEqual(c.publish(rule(4)).stdout,
                             "accepted: version 2\n")
            self.await_version(c, 2)
            self.check_monotone(c)

    def test_instance_resumes_after_trimming(self):
        with Cluster(entries=2, agents=1, entry=REFRESH) as c:
            self.assertEqual(c.publish(rule(0)).returncode, 0)
            self.await_version(c, 1)
            c.entries[0].pause()
            for n in range(1, 5):
                self.assertEqual(c.publish(rule(n)).returncode, 0)
            self.await_version(c, 5, [1])
            c.log_control(retain=2)
            time.sleep(2.5)
            c.entries[0].resume()
            self.await_version(c, 5)
            self.check_monotone(c)
            self.assertEqual(len(self.texts(c, range(2))), 1)

    def test_invalid_files_are_refused(self):
        with Cluster(entries=1, agents=1) as c:
            path = os.path.join(c.dir, "bad.txt")
            cases = [
                (b"weight team a 3\n", ":1:16: "),
                (b"weight team a 3 # A: b\r\nwight x\r\n", ":2:1: "),
                (b"weight team a 3 # A: \x00b\n", ":1:22: "),
                (b"weight team a 3 # A: \xff\n", ":1:22: "),
                (b"".join(rule(i).encode() for i in range(10000)),
                 ":4097:1: "),
            ]
            for data, where in cases:
                with open(path, "wb") as f:
                    f.write(data)
                for command in (["check", path],
                                ["publish", path, "--log", c.log_url]):
                    result = subprocess.run(
                        [os.path.join(BUILD, "lagoonvale"), "rules"]
                        + command, capture_output=True, text=True)
                    self.assertEqual(result.returncode, 2)
                    self.assertIn(where, result.stderr)
                    self.assertIn("expected", result.stderr)
            self.assertEqual(c.status(0)["rules"], 0)


class Membership(ProcessTest):
    def joins_seen(self, c, entry, member):
        with open(os.path.join(c.dir, entry + ".log")) as f:
            return len(re.findall("event=member member=%s .*state=joined"
                                  % member, f.read()))

    def test_join_records_outlive_retention(self):
        with Cluster(entries=1, agents=2, entry=REFRESH, agent=REFRESH) as c:
            c.log_control(retain=8)
            time.sleep(4)
            c.entries[0].kill()
            c.entries[0] = c.start_entry(0)
            c.wait_ready()
            self.assertEqual(Caller(c, 0, job(4, 20)).result(), "complete")

    def test_join_records_survive_lost_replies(self):
        with Cluster(entries=2, agents=2, start=False, agent=REFRESH) as c:
            assert wait_until(c.log.ready)
            c.log_control(lose_replies=4)
            c.start_all()
            self.assertEqual(Caller(c, 0, job(4, 20)).result(), "complete")

    def test_agent_declared_gone_rejoins(self):
        with Cluster(entries=2, agents=2, entry={"gone_ms": 1000}) as c:
            c.agents[1].pause()
            self.assertTrue(wait_until(lambda: len(
                [a for a in c.status(0)["agents"] if a["connected"]]) == 1))
            time.sleep(1.5)
            self.assertEqual(Caller(c, 0, job(4, 20)).result(), "complete")
            c.agents[1].resume()
            self.assertTrue(wait_until(lambda: sum(
                a["connected"] and not a["leaving"]
                for a in c.status(0)["agents"]) == 2))
            # Submissions with ids from before its new join record do not run
            # there.  Both entries may have ended it, so its records can't be
            # counted: wait until this entry has logged two joins.
            self.assertTrue(wait_until(
                lambda: self.joins_seen(c, "e0", "a1") == 2))
            before = len(c.starts())
            self.assertEqual(Caller(c, 0, job(40, 100)).result(), "complete")
            at = http("GET", "http://%s/starts" % c.minions[1].address)[1]
            self.assertGreater(at["total"], 0)
            self.assertEqual(len(c.starts()), before + 40)
