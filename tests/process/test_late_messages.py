"""Messages that arrive after newer ones: what a connection held up arrives when
its sender has given it up and works on another one."""
import os
import socket
import threading
import time
import unittest

from cluster import wait_until
from platform_cluster import PlatformCluster, job
from tcp_proxy import Proxy, shut_down

MARK_BYTES = 4
LAST_FRAGMENT = 0x80000000
# Name of the agent whose connections are refused, lost and muted.
TROUBLED = b"agent-0"
TASKS = 8
RUN_MS = 1500
# A minion may take 50 ms for a stop.
SLOW_STOP_MS = 45
# An agent gives up a join without an answer after 0.5 s.
ANSWER_S = 1.0
# So long that the lease has to end a run.
NO_STOP_MS = 4000
# With the age of the last confirmation, 0.125 s, less than the time after which
# an agent stops unconfirmed runs, 0.5 s.
REJOIN_S = 0.2
# Longer than any reckoning of a lost agent.
MUTED_S = 2.0


class JoinRecorder(Proxy):
    """Forwards connections of runners to a dispatcher, and keeps the first
    message on each, which is a join.  It can refuse the connections of agent-0,
    lose those that are open, and mute them: they carry a join and its answer
    then, and no more."""

    def __init__(self, listen, target):
        self.joins, self.open = [], []
        self.refuse, self.muted = False, False
        super().__init__(listen, target)

    def serve(self, near):
        try:
            join = self.read_join(near)
            troubled = TROUBLED in join
            if troubled and self.refuse:
                raise OSError
            far = socket.create_connection(self.target, timeout=1)
        except OSError:
            near.close()
            return
        far.settimeout(None)
        answered = threading.Event()
        if troubled:
            self.open += [near, far]
        self.joins.append(join)
        far.sendall(join)
        threading.Thread(target=self.copy, args=(far, near, troubled, answered),
                         daemon=True).start()
        if troubled and self.muted:
            answered.wait()
        self.copy(near, far, troubled, answered)

    def lose_connections(self):
        shut_down(self.open)
        self.open = []

    def read_join(self, near):
        """An agent sends nothing else before it has the answer."""
        join = b""
        while len(join) < MARK_BYTES or len(join) < self.size_of(join):
            data = near.recv(65536)
            if not data:
                raise OSError
            join += data
        return join

    @staticmethod
    def size_of(record):
        mark = int.from_bytes(record[:MARK_BYTES], "big")
        return MARK_BYTES + (mark & ~LAST_FRAGMENT)

    def copy(self, source, sink, troubled, answered):
        try:
            while True:
                data = source.recv(65536)
                if not data:
                    break
                if not (troubled and self.muted and answered.is_set()):
                    sink.sendall(data)
                answered.set()
        except OSError:
            pass
        shut_down((source, sink))

    def joins_of(self, name):
        return [j for j in self.joins if name.encode() in j]

    def replay(self, join):
        """Sends JOIN on a connection of its own, whose sender is gone: it reads
        no answer, and the end of the connection follows.  Returns whether the
        dispatcher has answered."""
        with socket.create_connection(self.target) as s:
            s.sendall(join)
            s.settimeout(ANSWER_S)
            answered = bool(s.recv(1))
        return answered


class RecordedCluster(PlatformCluster):
    """Runners reach the dispatcher through a JoinRecorder."""

    def reserve_proxy_addresses(self, entries, agents, ports):
        self.routes["entry-0"] = "127.0.0.1:%d" % next(ports)

    def start_entry(self, i, **more):
        self.recorder = JoinRecorder(self.routes["entry-0"],
                                     self.addresses[i]["rpc"])
        # What a runner joins with before it knows its minion proves nothing.
        for agent in self.agents:
            assert wait_until(
                lambda: "event=minion-report" in self.log_of(agent))
        return super().start_entry(i, **more)

    def start_proxy(self):
        pass

    def close(self):
        super().close()
        self.recorder.close()


class LateJoins(unittest.TestCase):
    def ready(self):
        c = RecordedCluster(entries=1, agents=2, proxy=True)
        self.addCleanup(c.close)
        c.await_ready()
        self.await_joined(c)
        for minion in c.minions:
            c.set_mode(minion, stop_ms=SLOW_STOP_MS)
        return c

    def await_joined(self, c):
        self.assertTrue(wait_until(lambda: c.metric(
            c.entries[0], "lagoonvale_agents_joined") == 2))

    def submit_in_background(self, c):
        answers, name = [], os.urandom(8).hex()
        thread = threading.Thread(daemon=True, target=lambda: answers.append(
            c.submit(0, job(count=TASKS, run_ms=RUN_MS), name,
                     wait_ms=5000)[0]))
        thread.start()
        self.assertTrue(wait_until(lambda: {
            e["minion"] for e in c.events()
            if e["what"] == "start" and e["task"].startswith(name)} == {0, 1}))
        return thread, answers

    def check_undisturbed(self, c, join):
        """A late JOIN of agent-0 changes nothing for what runs there."""
        thread, answers = self.submit_in_background(c)
        lost = c.metric(c.agents[0], "lagoonvale_sessions_lost_total")
        self.assertTrue(c.recorder.replay(join))
        thread.join(10)
        self.assertEqual(answers, [200])
        self.assertEqual(c.rule_violations(), [])
        self.assertEqual(
            c.metric(c.agents[0], "lagoonvale_sessions_lost_total"), lost)
        self.assertEqual(
            c.metric(c.entries[0], "lagoonvale_joins_dropped_total"), 1)
        self.assertEqual(c.metric(c.entries[0], "lagoonvale_agents_joined"), 2)

    # Guards against a late join that is taken for the newest: the connection
    # that works was closed, and the tasks that run there were started elsewhere
    # beside their runs (review/11).
    def test_a_late_join_of_the_same_process_changes_nothing(self):
        c = self.ready()
        self.check_undisturbed(c, c.recorder.joins_of("agent-0")[0])

    # The same for the join of a process of the runner that has ended since.
    def test_a_late_join_of_a_former_process_changes_nothing(self):
        c = self.ready()
        c.agents[0].kill()
        self.assertTrue(wait_until(lambda: c.metric(
            c.entries[0], "lagoonvale_agents_joined") == 1))
        c.agents[0].start()
        self.await_joined(c)
        self.assertEqual(c.submit(0, job(count=TASKS, run_ms=5))[0], 200)
        self.check_undisturbed(c, c.recorder.joins_of("agent-0")[0])

    # Guards against runs that go on for longer than their dispatcher reckons:
    # the agent counted the answer to a join as a confirmation, and then nothing
    # got through.
    def test_the_answer_to_a_join_confirms_no_runs(self):
        c = self.ready()
        for minion in c.minions:
            c.set_mode(minion, stop_ms=NO_STOP_MS)
        thread, answers = self.submit_in_background(c)
        c.recorder.refuse = c.recorder.muted = True
        c.recorder.lose_connections()
        time.sleep(REJOIN_S)
        c.recorder.refuse = False
        time.sleep(MUTED_S)
        c.recorder.muted = False
        c.recorder.lose_connections()
        thread.join(10)
        self.assertTrue([line for line in c.log_of(c.agents[0]).splitlines()
                         if "event=entry-joined" in line][1:])
        self.assertEqual(c.rule_violations(), [])

    # Guards against memory that is held for joins whose senders are gone, but
    # whose connections stay open.
    def test_joins_that_are_never_confirmed_are_dropped(self):
        c = self.ready()
        join = c.recorder.joins_of("agent-0")[0]
        channels = [socket.create_connection(c.recorder.target)
                    for _ in range(20)]
        for s in channels:
            self.addCleanup(s.close)
            s.sendall(join)
        self.assertTrue(wait_until(lambda: c.metric(
            c.entries[0], "lagoonvale_joins_dropped_total") == len(channels)))
        self.assertEqual(c.metric(c.entries[0], "lagoonvale_agents_joined"), 2)
        self.assertEqual(c.submit(0, job(count=TASKS, run_ms=5))[0], 200)
        self.assertEqual(c.rule_violations(), [])
