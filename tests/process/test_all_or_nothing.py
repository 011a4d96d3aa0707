"""A job is answered completely or has failed, never in part; each caller gets
the answer to its own job; a graceful shutdown loses no task; silent
connections are replaced."""
import json
import socket
import threading
import time

from client import Caller, Cluster, Load, OUTCOME_S, ProcessTest, http, job, \
    verdict, wait_until

ENTRY = {"window_s": 60, "wait_ms": 5000}
AGENT = {"window_s": 60}
LEAVE_S = 3  # required: a leaving instance gets no new work after this


def cluster(**more):
    return Cluster(entry=dict(ENTRY, **more.pop("entry", {})),
                   agent=dict(AGENT, **more.pop("agent", {})), **more)


class AllOrNothing(ProcessTest):
    def test_a_third_of_the_agents_killed_at_once(self):
        with cluster(entries=2, agents=6) as c:
            load = Load(c, workers=8, tasks=20, run_ms=150)
            time.sleep(1)
            for i in (1, 4):
                c.agents[i].kill()
            time.sleep(4)
            load.stop()
            self.check_invariants(c, load.callers)
            self.assertGreater(load.count("complete"), 0)
            self.assertGreater(load.count("may_have_run"), 0)
            slow = max(x.took_s for x in load.callers)
            self.assertLess(slow, OUTCOME_S)

    def test_answers_larger_than_the_socket_buffers(self):
        with cluster() as c:
            body = job(60, 20, payload={"out_bytes": 200000})
            status, answer = c.submit(0, body, timeout=60)
            self.assertEqual(status, 200)
            self.assertEqual({len(t["output"]) for t in answer["tasks"]},
                             {200000})
            callers = [Caller(c, i % 2, body, timeout=60) for i in range(4)]
            self.assertEqual({x.result() for x in callers}, {"complete"})
            self.check_invariants(c, callers)

    def test_a_caller_that_disconnects_early(self):
        with cluster() as c:
            sid = c.mint(0)[0]
            caller = Caller(c, 0, job(10, 300, id=sid), timeout=0.1)
            self.assertEqual(caller.result(), "none")
            self.assertTrue(wait_until(lambda: http(
                "GET", c.url(1, "/v1/jobs/%s" % sid))[0] == 200))
            status, answer = http("GET", c.url(1, "/v1/jobs/%s" % sid))
            self.assertEqual(len(answer["tasks"]), 10)
            self.check_invariants(c, [caller])

    def test_poll_without_and_with_waiting(self):
        with cluster() as c:
            sid = c.mint(0)[0]
            status, answer = c.submit(0, job(7, 400, id=sid),
                                      wait="?wait_ms=0")
            self.assertEqual((status, answer["state"], answer["tasks"],
                              answer["done"]), (202, "open", 7, 0))
            url = c.url(1, "/v1/jobs/%s" % sid)
            status, answer = http("GET", url + "?wait_ms=100")
            self.assertEqual((status, answer["tasks"]), (202, 7))
            status, answer = http("GET", url)
            self.assertEqual((status, len(answer["tasks"])), (200, 7))

    def test_equal_indices_and_crossed_replies(self):
        """Replies are matched by call, not by order or index: on few
        connections, many jobs whose tasks end in varying orders."""
        with cluster(entries=2, agents=3) as c:
            callers = []
            for n in range(40):
                body = job(6, 50)
                for i, t in enumerate(body["tasks"]):
                    t["payload"]["run_ms"] = 10 + 30 * ((n + 6 - i) % 6)
                callers.append(Caller(c, n % 2, body))
            self.assertEqual({x.result() for x in callers}, {"complete"})
            self.check_invariants(c, callers)

    def test_pipelined_requests(self):
        """Two requests on one HTTP connection, the second sent before the
        first is answered: both are answered, in the order of the requests."""
        with cluster(entries=1) as c:
            host, port = c.entry_plan[0]["http"].split(":")
            s = socket.create_connection((host, int(port)))
            bodies = [b'{"team":"t","kind":"k","tasks":[{"payload":'
                      b'{"run_ms":%d,"tag":"%s"}}]}' % (ms, tag)
                      for ms, tag in ((600, b"first"), (20, b"second"))]
            for body in bodies:
                s.sendall(b"POST /v1/jobs HTTP/1.1\r\nHost: x\r\n"
                          b"Content-Length: %d\r\n\r\n" % len(body) + body)
            s.settimeout(10)
            data = b""
            while data.count(b'"state":"complete"') < 2:
                data += s.recv(65536)
            self.assertLess(data.index(b"first:"), data.index(b"second:"))

    def test_failed_tasks_fail_the_whole_job(self):
        with cluster() as c:
            body = job(10, 100)
            body["tasks"][7]["payload"]["fail"] = True
            caller = Caller(c, 0, body)
            self.assertEqual(caller.result(), "may_have_run")
            error = caller.answers[0][1]["error"]
            self.assertEqual(error["code"], "task_failed")
            self.assertTrue(error["step"] and error["peer"])
            self.assertNotIn("tasks", caller.answers[0][1])

    def test_cancel(self):
        with cluster() as c:
            sid = c.mint(0)[0]
            caller = Caller(c, 0, job(200, 400, id=sid))
            self.assertTrue(wait_until(lambda: len(c.starts()) >= 24))
            status, answer = http("DELETE", c.url(1, "/v1/jobs/" + sid))
            self.assertEqual(caller.result(), "may_have_run")
            self.assertEqual(answer["error"]["code"], "cancelled")
            time.sleep(0.5)
            count = len(c.starts())
            time.sleep(1)
            self.assertEqual(len(c.starts()), count, "nothing starts later")
            self.check_invariants(c, [caller])
            self.assertEqual(Caller(c, 1, job(2, 20)).result(), "complete")


    # Guards against a cancelled task that starts later, since it was waiting
    # at its agent.
    def test_a_task_queued_ahead_is_cancelled(self):
        with Cluster(entries=1, agents=1,
                     slots=1, agent={"target.ahead": 1}) as c:
            time.sleep(1.2)
            first = Caller(c, 0, job(1, 1500))
            self.assertTrue(wait_until(lambda: len(c.starts()) == 1))
            sid = c.mint(0)[0]
            second = Caller(c, 0, job(1, 50, id=sid))
            time.sleep(0.3)
            http("DELETE", c.url(0, "/v1/jobs/" + sid))
            self.assertEqual(first.result(), "complete")
            second.result()
            time.sleep(0.5)
            self.assertEqual(len(c.starts()), 1)
            self.check_invariants(c, [first, second])
            self.assertEqual(Caller(c, 0, job(2, 20)).result(), "complete")


class Leaving(ProcessTest):
    def starts_at(self, c, i):
        return http("GET", "http://%s/starts?summary=1"
                    % c.minions[i].address)[1]

    def check_left(self, c, i, since):
        time.sleep(LEAVE_S + 1)
        last = self.starts_at(c, i)["last_start"]
        self.assertLess(last, since + LEAVE_S)

    def test_agent_told_to_leave_under_load(self):
        with cluster(entries=2, agents=3) as c:
            load = Load(c, tries=1)
            time.sleep(0.7)
            since = time.time()
            self.assertEqual(c.agents[1].stop(), 0)
            self.check_left(c, 1, since)
            load.stop()
            self.assertEqual({x.result() for x in load.callers}, {"complete"})
            self.check_invariants(c, load.callers)

    def test_agent_told_to_leave_ends_a_long_task(self):
        """The agent sends the last outcome before its process ends."""
        with Cluster(entries=2, agents=2) as c:
            callers = [Caller(c, i % 2, job(1, 900 + 50 * i))
                       for i in range(12)]
            self.assertTrue(wait_until(lambda: len(c.starts()) == 12))
            self.assertEqual(c.agents[0].stop(), 0)
            self.assertEqual({x.result() for x in callers}, {"complete"})
            self.check_invariants(c, callers)

    def test_minion_reports_that_it_is_leaving(self):
        with cluster(entries=2, agents=3) as c:
            load = Load(c, tries=1)
            time.sleep(0.7)
            since = time.time()
            c.minion_control(1, leaving=True)
            self.check_left(c, 1, since)
            load.stop()
            self.assertEqual({x.result() for x in load.callers}, {"complete"})
            self.check_invariants(c, load.callers)

    def test_entry_told_to_leave_under_load(self):
        with cluster(entries=2, agents=3) as c:
            load = Load(c, tries=1, entries=[1])
            mine = [Caller(c, 0, job(6, 500)) for _ in range(6)]
            time.sleep(0.3)
            self.assertEqual(c.entries[0].stop(), 0)
            self.assertEqual({x.result() for x in mine}, {"complete"})
            load.stop()
            self.assertEqual({x.result() for x in load.callers}, {"complete"})
            self.check_invariants(c, load.callers + mine)

    # Guards against an entry that exits while an answer is still being sent:
    # the caller reads slowly, and would get a part of it.
    def test_entry_told_to_leave_sends_large_answers_whole(self):
        with cluster(entries=1, agents=2) as c:
            address = c.entry_plan[0]["http"].rsplit(":", 1)
            caller = socket.socket()
            caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            caller.settimeout(20)
            caller.connect((address[0], int(address[1])))
            body = json.dumps(job(20, 100, payload={"out_bytes": 200000}))
            caller.sendall(("POST /v1/jobs HTTP/1.1\r\nHost: x\r\n"
                            "Connection: close\r\nContent-Length: %d\r\n\r\n"
                            "%s" % (len(body), body)).encode())
            self.assertTrue(wait_until(lambda: len(c.starts()) == 20))
            c.entries[0].send(15)
            time.sleep(1.5)
            answer = b""
            while data := caller.recv(65536):
                answer += data
            head, text = answer.split(b"\r\n\r\n", 1)
            self.assertIn(b"200 OK", head)
            self.assertEqual(len(json.loads(text)["tasks"]), 20, text[:200])
            self.assertTrue(wait_until(lambda: not c.entries[0].alive(), 8))
            self.assertEqual(c.entries[0].popen.returncode, 0)

    def test_leaving_entry_attaches_known_ids(self):
        """A leaving entry attaches callers to a job that runs there, and
        refuses unknown ids as "not run"."""
        with cluster(entries=2, agents=2) as c:
            running, unseen = c.mint(0, 2)
            body = job(4, 900, id=running)
            first = Caller(c, 0, body)
            self.assertTrue(wait_until(lambda: len(c.starts()) == 4))
            c.entries[0].send(15)
            self.assertTrue(wait_until(lambda: not c.entries[0].ready()))
            again = Caller(c, 0, body)
            other = Caller(c, 0, job(1, 50, id=unseen))
            fresh = Caller(c, 0, job(1, 50))
            self.assertEqual([x.result() for x in (first, again, other,
                                                   fresh)],
                             ["complete", "complete", "not_run", "not_run"])
            self.check_invariants(c, [first, again, other, fresh])

    def test_rolling_replacement_of_every_process(self):
        """Each process is shut down gracefully and replaced; callers that
        reach a leaving entry are refused as "not run" and use another."""
        with cluster(entries=3, agents=3) as c:
            load = Load(c, workers=4, tasks=3, run_ms=60, tries=6)
            time.sleep(0.5)
            for i in range(3):
                self.assertEqual(c.agents[i].stop(), 0)
                c.agents[i] = c.start_agent(i)
                assert wait_until(c.agents[i].ready)
                self.assertEqual(c.entries[i].stop(), 0)
                c.entries[i] = c.start_entry(i)
                assert wait_until(c.entries[i].ready)
                assert wait_until(lambda: sum(
                    a["connected"] for a in c.status(i)["agents"]) >= 2)
            load.stop()
            self.check_invariants(c, load.callers)
            cut = [x.answers for x in load.callers
                   if x.result() == "may_have_run"]
            self.assertEqual(cut, [], "a graceful shutdown cut these off")


class SilentConnections(ProcessTest):
    def check(self, freeze, want):
        with cluster(proxy=True, entries=2, agents=3) as c:
            load = Load(c, workers=6, tasks=6, run_ms=80, tries=1)
            time.sleep(0.8)
            freeze(c)
            time.sleep(3.5)
            load.stop()
            self.check_invariants(c, load.callers)
            self.assertLessEqual({x.result() for x in load.callers},
                                 set(want))
            self.assertLess(max(x.took_s for x in load.callers), OUTCOME_S)
            late = [x for x in load.callers[-6:]]
            self.assertEqual({x.result() for x in late}, {"complete"})

    def test_one_of_many_freezes(self):
        self.check(lambda c: c.set_fault("a1", freeze=1), ["complete"])

    def test_all_of_one_agent_freeze(self):
        self.check(lambda c: c.set_fault("a1", freeze="all"), ["complete"])

    def test_all_freeze_towards_the_agent(self):
        self.check(lambda c: c.set_fault("a1", freeze="all", freeze_way="in"),
                   ["complete"])

    def test_all_freeze_towards_the_entries(self):
        self.check(lambda c: c.set_fault("a1", freeze="all", freeze_way="out"),
                   ["complete"])

    def test_connections_between_entries_freeze(self):
        with cluster(proxy=True, entries=2, agents=3) as c:
            sid = c.mint(0)[0]
            owner = Caller(c, 0, job(4, 1000, id=sid))
            time.sleep(0.2)
            other = Caller(c, 1, job(4, 1000, id=sid))
            time.sleep(0.2)
            c.set_fault("e0", freeze="all")
            results = [owner.result(), other.result()]
            self.assertEqual(results, ["complete"] * 2)
            self.check_invariants(c, [owner, other])

    def test_frozen_connection_thaws_later(self):
        def freeze(c):
            c.set_fault("a1", freeze="all")
            threading.Timer(2.5, lambda: c.set_fault("a1", thaw=True)).start()
        self.check(freeze, ["complete"])


class LogUnavailable(ProcessTest):
    """Other failures while the log is down or slow."""

    def stop_log(self, c):
        c.log_control(down=True)

    def test_owner_killed_while_the_log_is_down(self):
        with cluster(entries=2, agents=3) as c:
            self.stop_log(c)
            body = job(20, 200, id=c.mint(0)[0])
            first = Caller(c, 0, body)
            self.assertTrue(wait_until(lambda: len(c.starts()) > 0))
            c.entries[0].kill()
            again = Caller(c, 1, body)
            self.assertEqual(again.result(), "complete")
            self.check_invariants(c, [first, again])

    def test_agents_killed_while_the_log_is_slow(self):
        with cluster(entries=2, agents=3) as c:
            c.log_control(slow_ms=4000)
            load = Load(c, workers=4)
            time.sleep(0.5)
            c.agents[0].kill()
            time.sleep(3.5)
            load.stop()
            self.check_invariants(c, load.callers)
            self.assertEqual(load.callers[-1].result(), "complete")

    def test_frozen_connections_while_the_log_is_down(self):
        with cluster(proxy=True, entries=2, agents=3) as c:
            self.stop_log(c)
            load = Load(c, workers=4)
            time.sleep(0.5)
            c.set_fault("a2", freeze="all")
            time.sleep(3)
            load.stop()
            self.check_invariants(c, load.callers)
            self.assertEqual({x.result() for x in load.callers}, {"complete"})

    def test_agent_leaves_while_the_log_is_down(self):
        with cluster(entries=2, agents=3) as c:
            self.stop_log(c)
            load = Load(c, tries=1)
            time.sleep(0.5)
            self.assertEqual(c.agents[2].stop(), 0)
            time.sleep(1)
            load.stop()
            self.check_invariants(c, load.callers)
            self.assertEqual({x.result() for x in load.callers}, {"complete"})

    def test_new_entry_while_the_log_is_down(self):
        with cluster(entries=2, agents=3) as c:
            c.publish("weight team t 2 # Test: something to be in force\n")
            self.assertTrue(wait_until(
                lambda: c.status(1).get("rules") == 1))
            self.stop_log(c)
            c.entries[0].kill()
            c.entries[0] = c.start_entry(0)
            self.assertTrue(wait_until(c.entries[0].ready))
            self.assertEqual(c.status(0)["rules"], 1)
            self.assertTrue(wait_until(lambda: sum(
                a["connected"] for a in c.status(0)["agents"]) == 3))
            caller = Caller(c, 0, job(5, 50))
            self.assertEqual(caller.result(), "complete")
            self.check_invariants(c, [caller])
