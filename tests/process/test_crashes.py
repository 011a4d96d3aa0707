"""Process tests of tasks that crash the minion that runs them, and of minions
whose capacity changes while they run."""
import os
import re
import socket
import threading
import time

from cluster import wait_until
from platform_cluster import (Callers, LEASE_MAX_S, SHRUNK_S, job,
                              queue)
from test_platform import PlatformTest

# A task under which so many minions have crashed may be given up.
GIVE_UP_CRASHES = 2


class CrashTest(PlatformTest):
    def ready(self, **more):
        """Waits for every agent too: a task that is lost needs another."""
        c = super().ready(**more)
        self.assertTrue(wait_until(lambda: all(
            c.metric(e, "lagoonvale_agents_joined") == len(c.agents)
            for e in c.entries)))
        return c

    def crashing_cluster(self, refuse, **more):
        c = self.ready(**more)
        for m in c.minions:
            c.set_mode(m, refuse=refuse)
        # Each agent has had the first report of its minion.
        self.assertTrue(wait_until(lambda: all(
            c.metric(a, "lagoonvale_free_mcores") == 8000 for a in c.agents)))
        return c

    def crashes(self, c):
        """Lists of the tasks that minions ran when they crashed."""
        return [e["crashed"] for e in c.events() if e.get("crashed")]

    def submit_in_background(self, c, entry, body, name=None, **more):
        """Returns a list that the answer is appended to, with its time."""
        answers = []

        def run():
            answer = c.submit(entry, body, name, timeout=20, **more)
            answers.append(answer + (time.monotonic(),))
        threading.Thread(target=run, daemon=True).start()
        return answers


class Records(PlatformTest):
    # Guards against a check that takes a task for run twice: it was started
    # elsewhere before the minion that had run it was recorded as gone.
    def test_a_killed_minion_is_recorded_before_its_port_closes(self):
        c = self.cluster(entries=0, agents=1, seeds=["127.0.0.1:1"])
        host, port = c.minions[0].address.split(":")
        refused = []

        def connect_until_refused():
            while not refused:
                try:
                    socket.create_connection((host, int(port))).close()
                except ConnectionError:  # refused, or reset as it closed
                    refused.append(time.monotonic())
        thread = threading.Thread(target=connect_until_refused, daemon=True)
        thread.start()
        c.kill_minion(0)
        thread.join(5)
        gone = [e["at"] for e in c.events() if e["what"] == "gone"]
        self.assertEqual(len(gone), 1)
        self.assertLess(gone[0], refused[0])


class Noticing(CrashTest):
    # Guards against a crash that is found out only by timeouts: the closed
    # port of the minion refuses every call at once.
    def test_runs_of_a_minion_with_a_closed_port_are_ordered_again_at_once(self):
        c = self.ready(entries=1, agents=2)
        answers = self.submit_in_background(c, 0, job(run_ms=300))
        self.assertTrue(wait_until(lambda: [
            e for e in c.events() if e["used"] == 1000][-1]["what"] == "start"))
        c.kill_minion(c.events()[-1]["minion"])
        killed = time.monotonic()
        self.assertTrue(wait_until(lambda: answers))
        self.assertEqual(answers[0][0], 200)
        self.assertLess(answers[0][2] - killed, 0.6)
        self.check_rules(c)

    # Guards against an agent that keeps asking a silent minion for a longer
    # lease, and so can never tell that its runs there have ended.
    def test_runs_of_a_silent_minion_are_ordered_again_after_their_lease(self):
        c = self.ready(entries=1, agents=2)
        answers = self.submit_in_background(c, 0, job(run_ms=300),
                                            wait_ms=1500)
        self.assertTrue(wait_until(lambda: [
            e for e in c.events() if e["used"] == 1000][-1]["what"] == "start"))
        minion = c.events()[-1]["minion"]
        c.stop_minion(minion)
        self.assertTrue(wait_until(lambda: answers))
        self.assertEqual(answers[0][0], 200)
        c.minions[minion].resume()
        self.check_rules(c)

    # Guards against a minion that is never used again because its clock went
    # back while it was down, so that it seems older than its former life.
    def test_a_minion_that_restarts_with_an_earlier_clock_is_used_again(self):
        c = self.crashing_cluster(1, entries=1, agents=1)
        c.set_mode(c.minions[0], back_s=60)
        c.submit(0, job(run_ms=60, crash_ms=20), wait_ms=1000)
        self.assertTrue(self.crashes(c))
        self.assertTrue(wait_until(lambda: c.submit(
            0, job(run_ms=20), wait_ms=500)[0] == 200, 8))


class DeadlyTasks(CrashTest):
    def check_given_up(self, refuse):
        c = self.crashing_cluster(refuse, entries=1, agents=6)
        name = os.urandom(8).hex()
        status, answer = c.submit(0, job(run_ms=60, crash_ms=20), name,
                                  wait_ms=10000, timeout=15)
        self.assertEqual((status, answer), (200, {"state": "failed"}))
        time.sleep(1)
        self.assertEqual(len(self.crashes(c)), GIVE_UP_CRASHES)
        self.check_rules(c)

    # Guards against a task that crashes one minion after another: its minions
    # refuse connections at once, so each crash is noticed and it is run again.
    def test_task_crashing_minions_that_refuse_is_given_up(self):
        self.check_given_up(refuse=1)

    # Guards against a crash that is not noticed: its minions fall silent, and
    # the task would wait until they are back.
    def test_task_crashing_minions_that_fall_silent_is_given_up(self):
        self.check_given_up(refuse=0)

    # Guards against a count of crashes that ends with the entry that holds it:
    # each entry is killed at the first crash, and the caller tries the next.
    def test_crashes_are_counted_beyond_the_life_of_an_entry(self):
        c = self.crashing_cluster(1, entries=5, agents=8)
        name = os.urandom(8).hex()
        for entry in range(5):
            before = len(self.crashes(c))
            answers = self.submit_in_background(
                c, entry, job(run_ms=60, crash_ms=20), name, wait_ms=10000)
            self.assertTrue(wait_until(
                lambda: answers or len(self.crashes(c)) > before, 5))
            if answers and answers[0][0] == 200:
                break
            time.sleep(0.05)
            c.entries[entry].kill()
        time.sleep(1.5)
        self.assertLessEqual(len(self.crashes(c)), 3)
        self.check_rules(c)

    # Guards against an entry that starts without knowing which tasks crash
    # minions, and finds out by having them crash again.
    def test_an_entry_that_starts_anew_is_told_of_crashes(self):
        c = self.crashing_cluster(1, entries=1, agents=6)
        name, body = os.urandom(8).hex(), job(run_ms=60, crash_ms=20)
        answer = (200, {"state": "failed"})
        self.assertEqual(c.submit(0, body, name, wait_ms=9000), answer)
        crashes = len(self.crashes(c))
        c.entries[0].kill()
        c.entries[0].start()
        # Each agent tells what it saw as it joins.
        self.assertTrue(wait_until(
            lambda: c.entries[0].ready()
            and c.metric(c.entries[0], "lagoonvale_agents") == 6))
        time.sleep(0.1)
        self.assertEqual(c.submit(0, body, name, wait_ms=9000), answer)
        self.assertEqual(len(self.crashes(c)), crashes)


class NotCrashed(CrashTest):
    def await_start(self, c, number):
        """Returns the minion of the NUMBERth start of the test's job."""
        def starts():
            return [e for e in c.events()
                    if e["what"] == "start" and e["task"].startswith(self.name)]
        self.assertTrue(wait_until(lambda: len(starts()) >= number))
        return starts()[-1]["minion"]

    def submit_named(self, c, run_ms):
        self.name = os.urandom(8).hex()
        return self.submit_in_background(c, 0, job(run_ms=run_ms), self.name,
                                         wait_ms=9000)

    # Guards against a task that is given up because minions that ran it were
    # silent for a while and had not crashed.
    def test_a_job_whose_minions_were_silent_is_not_given_up(self):
        c = self.ready(entries=1, agents=4)
        answers = self.submit_named(c, run_ms=900)
        for number in range(1, 4):
            c.pause_minion(self.await_start(c, number), LEASE_MAX_S + 0.3)
        self.assertTrue(wait_until(lambda: answers))
        self.assertEqual(answers[0][:2], (200, {"state": "completed"}))
        self.check_rules(c)

    # Guards against a task that is given up because minions that ran it left
    # the service before it had ended.
    def test_a_job_whose_minions_left_is_not_given_up(self):
        c = self.ready(entries=1, agents=4)
        answers = self.submit_named(c, run_ms=800)
        for number in range(1, 3):
            minion = self.await_start(c, number)
            c.set_mode(c.minions[minion], state="draining")
            time.sleep(0.6)
            c.kill_minion(minion)
        self.assertTrue(wait_until(lambda: answers))
        self.assertEqual(answers[0][:2], (200, {"state": "completed"}))
        self.check_rules(c)


class LateStarts(CrashTest):
    # Seconds after which the minion executes what it has not answered: it has
    # crashed meanwhile and is back.
    LATE_S = 4.0

    # Guards against a start that was sent to a minion before it crashed and is
    # executed by the process that follows: the task runs elsewhere by then.
    def test_a_start_meant_for_a_former_process_is_not_executed(self):
        self.check_late_start(keep_id=0)

    # The same where that process has the id of the former one, so that the id in
    # the start does not tell them apart.
    def test_a_start_meant_for_a_process_of_the_same_id_is_not_executed(self):
        for refuse in (1, 0):
            with self.subTest(refuse=refuse):
                self.check_late_start(keep_id=1, refuse=refuse)

    def check_late_start(self, keep_id, refuse=1):
        c = self.crashing_cluster(refuse, entries=1, agents=2)
        for m in c.minions:
            c.set_mode(m, share=1, late_s=self.LATE_S, keep_id=keep_id)
        name = os.urandom(8).hex()
        answers = self.submit_in_background(c, 0, job(run_ms=5000), name,
                                            wait_ms=10000)
        placed = "event=place job=%s.0.0 agent=agent-([01])" % name
        self.assertTrue(wait_until(lambda: re.search(
            placed, c.log_of(c.entries[0]))))
        first = int(re.search(placed, c.log_of(c.entries[0])).group(1))
        c.set_mode(c.minions[first], crash=1, share=0)
        c.set_mode(c.minions[1 - first], share=0)
        self.assertTrue(wait_until(lambda: answers, 12))
        self.assertEqual(answers[0][:2], (200, {"state": "completed"}))
        self.check_rules(c)


class Neighbours(CrashTest):
    # Guards against losing what runs beside a deadly task: it must be run
    # again while its callers wait, by two minions after one of three crashed.
    def test_tasks_beside_a_deadly_one_are_run_again_in_time(self):
        self.check_neighbours(refuse=1, agents=3)

    # The same with minions that fall silent as they crash: what ran there is
    # lost for as long as its lease, so it must not meet the deadly task twice.
    def test_tasks_beside_a_deadly_one_meet_it_once(self):
        self.check_neighbours(refuse=0, agents=6)

    def busy_minions(self, c):
        running = {}
        for e in c.events():
            change = {"start": 1, "end": -1}.get(e["what"], 0)
            running[e["minion"]] = running.get(e["minion"], 0) + change
        return sum(n > 0 for n in running.values())

    def check_neighbours(self, refuse, agents):
        c = self.crashing_cluster(refuse, entries=1, agents=agents)
        beside = []
        # Wherever the deadly task is run, there are others.
        while len(beside) < 6 or self.busy_minions(c) < agents:
            self.assertLess(len(beside), 16)
            beside.append(self.submit_in_background(
                c, 0, job(count=3, run_ms=250), wait_ms=1500))
            time.sleep(0.01)
        deadly = self.submit_in_background(
            c, 0, job(run_ms=60, crash_ms=20), wait_ms=8000)
        self.assertTrue(wait_until(lambda: all(beside) and deadly))
        self.assertTrue(any(len(tasks) > 1 for tasks in self.crashes(c)))
        self.assertEqual({b[0][0] for b in beside}, {200})
        self.assertEqual(deadly[0][:2], (200, {"state": "failed"}))
        self.check_rules(c)


class Flood(CrashTest):
    # Share of the agents that a queue of deadly tasks may use; the others'
    # callers must keep the rest of their service.
    CONFINED_SHARE = 0.3

    # Guards against a flood of deadly tasks of one queue that takes the minions
    # of all queues down, and against its own callers being kept waiting.
    def test_a_queue_of_deadly_tasks_leaves_the_others_their_minions(self):
        c = self.crashing_cluster(1, entries=2, agents=8)
        c.publish(queue("rush", "/rush/"), queue("deadly", "/deadly/"))
        callers = Callers(c, workers=8, count=2, run_ms=200)
        time.sleep(2)
        usual = callers.served_since(time.monotonic() - 1)
        answers = []
        end = time.monotonic() + 6
        while time.monotonic() < end:
            answers.append((time.monotonic(), self.submit_in_background(
                c, len(answers) % 2, job(run_ms=60, crash_ms=10),
                prefix="/deadly/", wait_ms=1500)))
            time.sleep(0.15)
        served = callers.served_since(end - 4) / 4
        callers.stop()
        self.assertGreaterEqual(served, usual * (1 - self.CONFINED_SHARE))
        refused = [a[0][2] - sent for sent, a in answers if a
                   and a[0][0] == 503]
        self.assertGreater(len(refused), len(answers) / 4)
        self.assertLess(sorted(refused)[len(refused) // 2], 0.2)
        self.check_rules(c)


class Capacity(CrashTest):
    # Guards against starts beyond a capacity that has shrunk under load, and
    # against a capacity that stays small after it has grown again.
    def test_starts_stay_within_a_capacity_that_shrinks_and_grows(self):
        c = self.ready(entries=2, agents=2, mcores=8000)
        callers = Callers(c, workers=12, count=2, run_ms=60, mcores=1000)
        for mcores in (2000, 8000, 3000):
            for m in c.minions:
                c.set_mode(m, mcores=mcores)
            time.sleep(SHRUNK_S + 1)
        began = time.monotonic()
        for m in c.minions:
            c.set_mode(m, mcores=8000)
        self.assertTrue(wait_until(lambda: [
            e for e in c.events() if e["at"] > began and e["used"] > 4000], 3))
        callers.stop()
        self.check_rules(c)

    # Guards against starts by a report of capacity that is long out of date:
    # the minion still takes starts, but nothing it says of itself arrives.
    def test_no_start_when_the_capacity_was_last_reported_long_ago(self):
        c = self.ready(entries=1, agents=1)
        c.set_mode(c.minions[0], mute=1)
        time.sleep(SHRUNK_S + 1)
        status, _ = c.submit(0, job(run_ms=20), wait_ms=1000)
        self.assertEqual(status, 503)
        c.set_mode(c.minions[0], mute=0)
        self.assertTrue(wait_until(
            lambda: c.submit(0, job(run_ms=20), wait_ms=1000)[0] == 200, 3))

    # Guards against a report that waited in the socket of a paused agent and
    # is taken for a new one: the minion has shrunk since it was written.
    def test_a_report_that_was_read_late_is_as_old_as_its_clock_says(self):
        c = self.ready(entries=1, agents=1)
        c.agents[0].pause()
        # The stand-in writes a report each half second.
        time.sleep(1)
        c.set_mode(c.minions[0], mcores=2000, mute=1)
        time.sleep(3)
        c.agents[0].resume()
        callers = Callers(c, workers=6, count=2, run_ms=60, mcores=1000)
        time.sleep(SHRUNK_S)
        callers.stop()
        self.check_rules(c)

    # Guards against a bound of that age which is shorter than the time between
    # two reports: such minions would get no starts for a part of it.
    def test_minions_that_seldom_report_get_starts_all_the_time(self):
        c = self.ready(entries=1, agents=1,
                       agent={"report_interval_ms": 6000})
        c.set_mode(c.minions[0], interval_s=6)
        end = time.monotonic() + 7
        while time.monotonic() < end:
            status, _ = c.submit(0, job(run_ms=20), wait_ms=500)
            self.assertEqual(status, 200)
            time.sleep(0.1)
