"""Invalid input is rejected with a clear error and affects no other request."""
import json
import os
import socket
import struct
import subprocess
import urllib.parse

from client import Caller, Cluster, ProcessTest, http, job, wait_until
from cluster import BUILD

PROGRAM = 0x20004C56


def record(body, mark=None):
    length = len(body) if mark is None else mark
    return struct.pack(">I", 0x80000000 | length) + body


def call(proc=1, version=1, program=PROGRAM, args=b""):
    return struct.pack(">IIIIIIIIII", 1, 0, 2, program, version, proc, 0, 0,
                       0, 0) + args


class BadInput(ProcessTest):
    @classmethod
    def setUpClass(cls):
        cls.c = Cluster(entries=1, agents=1, entry={
            "teams": ["t", "u"], "kinds": ["k"]})

    @classmethod
    def tearDownClass(cls):
        cls.c.close()

    def check_still_serving(self):
        self.assertEqual(Caller(self.c, 0, job(2, 20)).result(), "complete")

    def test_submissions(self):
        deep = b"[" * 200 + b"]" * 200
        many = job(991)
        twice = job(2)
        twice["tasks"][1]["index"] = 0
        cases = [
            (b"", 400, "bad_json"), (b"{", 400, "bad_json"),
            (b"{} x", 400, "bad_json"), (deep, 400, "bad_json"),
            (b"\xff\xfe", 400, "bad_json"), (b"[]", 400, "bad_request"),
            (b"3", 400, "bad_request"),
            (job(1, team=3), 400, "bad_request"),
            (job(1, team=""), 400, "bad_request"),
            (job(1, urgency="soon"), 400, "bad_request"),
            (job(1, urgency=1), 400, "bad_request"),
            (job(1, deadline_ms="5s"), 400, "bad_request"),
            (job(1, deadline_ms=-1), 400, "bad_request"),
            (job(1, repeatable="no"), 400, "bad_request"),
            (job(1, colour="red"), 400, "bad_request"),
            (job(1, id="lv1-zz"), 400, "bad_request"),
            (job(1, key="x" * 101), 400, "bad_request"),
            (job(1, team="a\nlevel=error event=x team=b"), 400, "bad_request"),
            (job(1, kind="k\x85"), 400, "bad_request"),
            (job(1, team="\u2028"), 400, "bad_request"),
            (job(1, key="k\x00y"), 400, "bad_request"),
            (json.dumps(job(1, team="T")).encode().replace(b"T", b"\xff"),
             400, "bad_request"),
            (job(0), 400, "task_count"), (many, 400, "task_count"),
            (twice, 400, "bad_request"),
            (dict(job(1), tasks=[3]), 400, "bad_request"),
            (dict(job(1), tasks={}), 400, "bad_request"),
            (dict(job(1), task={}), 400, "bad_request"),
            (job(1, team="nobody"), 403, "unknown_team"),
            (job(1, kind="nothing"), 403, "unknown_kind"),
            (dict(job(1), tasks=[{"cores": 64}]), 422, "no_target"),
            (b" " * (3 << 20), 413, "too_large"),
        ]
        for body, status, code in cases:
            with self.subTest(code=code, body=str(body)[:60]):
                got, answer = self.c.submit(0, body)
                self.assertEqual((got, answer["error"]["code"]),
                                 (status, code), answer)
                self.assertTrue(answer["error"]["not_run"])
                self.assertTrue(answer["error"]["detail"])
        self.check_still_serving()

    def test_broken_http(self):
        host, port = self.c.entry_plan[0]["http"].split(":")
        for data in (b"\x00\x01\x02\r\n\r\n", b"POST\r\n\r\n",
                     b"GET /v1/status HTTP/9.9\r\n\r\n",
                     b"POST /v1/jobs HTTP/1.1\r\nContent-Length: -5\r\n\r\n",
                     b"POST /v1/jobs HTTP/1.1\r\nHost: x\r\n"
                     b"Content-Length: 100\r\n\r\n{"):
            s = socket.create_connection((host, int(port)))
            s.sendall(data)
            s.close()
        for method, path, status in (
                ("GET", "/nothing", 404), ("PUT", "/v1/jobs", 404),
                ("GET", "/v1/jobs/xyz", 400),
                ("POST", "/v1/submissions?count=0", 400),
                ("POST", "/v1/submissions?count=9999999", 400),
                ("POST", "/v1/submissions?count=-1", 400),
                ("POST", "/v1/submissions?count=2x", 400),
                ("POST", "/v1/submissions?count=", 400)):
            with self.subTest(path=path):
                self.assertEqual(
                    http(method, self.c.url(0, path))[0], status)
        self.check_still_serving()

    # Guards against waits and keys that are not what they were meant to be.
    def test_waits_and_keys_that_cannot_be_read_are_refused(self):
        sid = self.c.mint(0)[0]
        for wait in ("-1", "abc", "", "1e3", "5 ", "99999999999999999999999"):
            with self.subTest(wait=wait):
                for method, path, body in (
                        ("POST", "/v1/jobs", job(1)),
                        ("GET", "/v1/jobs/" + sid, None)):
                    status, answer = http(method, self.c.url(
                        0, path + "?wait_ms=" + urllib.parse.quote(wait)), body)
                    self.assertEqual((status, answer["error"]["code"]),
                                     (400, "bad_request"))
                    self.assertIn("wait_ms", answer["error"]["detail"])
        for key in ("", " ", "k" * 101, "a\tb"):
            with self.subTest(key=key):
                status, answer = http("POST", self.c.url(0, "/v1/jobs"), job(1),
                                      {"Idempotency-Key": key})
                self.assertEqual((status, answer["error"]["code"]),
                                 (400, "bad_request"))
        self.check_still_serving()

    # Guards against an answer to another body than the one that was sent.
    def test_an_id_sent_again_with_other_resources_is_refused(self):
        sid = self.c.mint(0)[0]
        self.assertEqual(self.c.submit(0, job(1, id=sid))[0], 200)
        for more in ({"declared_ms": 7}, {"cores": 1}, {"memory_mb": 1},
                     {"accelerators": 1}):
            with self.subTest(more=more):
                body = job(1, id=sid)
                body["tasks"][0].update(more)
                status, answer = self.c.submit(0, body)
                self.assertEqual((status, answer["error"]["code"]),
                                 (422, "other_body"))

    def test_rpc_records(self):
        records = [
            b"", b"\x80", b"GET / HTTP/1.1\r\n\r\n",
            record(b"\x00" * 4), record(b"\xff" * 64),
            record(call(), mark=0x7FFFFFFF), record(call(version=9)),
            record(call(program=1)), record(call(proc=99)),
            record(call(proc=3, args=b"\x00" * 9)),
            record(call(proc=1, args=b"\xff" * 40)),
            struct.pack(">I", 16) + b"\x00" * 16,
        ]
        for target in (self.c.agent_plan[0]["rpc"],
                       self.c.entry_plan[0]["rpc"]):
            host, port = target.split(":")
            for data in records:
                with self.subTest(data=data[:24]):
                    s = socket.create_connection((host, int(port)))
                    s.settimeout(5)
                    s.sendall(data)
                    s.shutdown(socket.SHUT_WR)
                    while s.recv(4096):
                        pass
                    s.close()
        self.assertTrue(wait_until(self.c.agents[0].alive))
        self.check_still_serving()

    def test_wrong_rpc_version_is_answered_with_the_supported_one(self):
        host, port = self.c.agent_plan[0]["rpc"].split(":")
        s = socket.create_connection((host, int(port)))
        s.sendall(record(call(version=9)))
        s.settimeout(5)
        answer = s.recv(4096)
        words = struct.unpack(">%dI" % (len(answer) // 4), answer)
        # mark, xid, REPLY, ACCEPTED, verifier, PROG_MISMATCH, low, high
        self.assertEqual(words[2:], (1, 0, 0, 0, 2, 1, 1))

    def test_metrics_and_probes(self):
        for p in self.c.entries + self.c.agents:
            for path in ("healthz", "readyz", "metrics"):
                status, text = http("GET", "http://%s/%s" % (p.address, path))
                self.assertEqual(status, 200)
            names = [x.split()[2] for x in text.splitlines()
                     if x.startswith("# TYPE")]
            self.assertEqual(len(names), len(set(names)))
            self.assertEqual(text.count("# HELP"), len(names))

    def test_programs(self):
        def run(*argv):
            return subprocess.run([os.path.join(BUILD, argv[0])] +
                                  list(argv[1:]), capture_output=True,
                                  text=True, timeout=20)
        path = os.path.join(self.c.dir, "bad.json")
        with open(path, "w") as f:
            f.write('{"name": "x", "domain": "d", "listen": "127.0.0.1:1",'
                    ' "http": {"listen": "127.0.0.1:2"},'
                    ' "log": {"url": "http://127.0.0.1:3"},'
                    ' "heartbeat_ms": "500ms"}')
        good = os.path.join(self.c.dir, "e0.json")
        no_slots = os.path.join(self.c.dir, "no-slots.json")
        with open(no_slots, "w") as f:
            f.write('{"name": "x", "slots": 0, "streams": []}')
        body = os.path.join(self.c.dir, "body.json")
        with open(body, "w") as f:
            json.dump(job(2, 20), f)
        entry = "http://" + self.c.entry_plan[0]["http"]
        cases = [
            (("lagoonvale-entry", "--help"), 0, "heartbeat_ms"),
            (("lagoonvale-agent", "--version"), 0, "lagoonvale-agent 0"),
            (("lagoonvale-load", "--help"), 0, "--reference"),
            (("lagoonvale-load",), 2, ""),
            (("lagoonvale-load", "--reference", no_slots), 2,
             "slots: expected 1 to"),
            (("lagoonvale-entry",), 2, "SETTINGS"),
            (("lagoonvale-entry", path), 2, "heartbeat_ms"),
            (("lagoonvale-entry", "--check", good), 0, "valid"),
            (("lagoonvale", "settings", "check", "--role", "entry", path), 2,
             "found \"500ms\", expected a whole number"),
            (("lagoonvale", "settings", "check", "--role", "agnet", good), 2,
             "expected entry or agent"),
            (("lagoonvale", "rules", "publish", "--log", "http://127.0.0.1:1",
              "--wait", "-1", good), 2, "expected 0 or more"),
            (("lagoonvale", "nothing"), 2, "Usage"),
            (("lagoonvale", "status", "--entry", entry), 0, '"agents"'),
            (("lagoonvale", "status"), 2, "either --entry or --metrics"),
            (("lagoonvale", "status", "--entry", entry, "--metrics", entry),
             2, "either --entry or --metrics"),
            (("lagoonvale", "status", "--metrics", "http://127.0.0.1:1"), 1,
             "no answer"),
            (("lagoonvale", "submit", "--entry", entry, body), 0, "complete"),
            (("lagoonvale", "submit", "--entry", entry, path), 3, "not_run"),
            (("lagoonvale", "submit", "--entry", "http://127.0.0.1:1", body),
             4, ""),
            (("lagoonvale", "cancel", "--entry", entry, "zz"), 3, "bad_id"),
            (("lagoonvale", "rules", "explain", "--entry", entry, body), 0,
             "expected_wait_ms"),
        ]
        for argv, code, text in cases:
            with self.subTest(argv=argv):
                done = run(*argv)
                self.assertEqual(done.returncode, code,
                                 done.stdout + done.stderr)
                self.assertIn(text, done.stdout + done.stderr)
