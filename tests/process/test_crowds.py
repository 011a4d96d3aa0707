"""Process tests of clients that nobody controls: crowds whose request bodies
stop short of their end, are far too long, or are all held at once.  What is
checked does not depend on the machine's speed: the process lives, its memory
and open descriptors stay under a bound, and an ordinary request is answered.
run.py runs these tests one at a time, apart from the others.
"""
import json
import os
import socket
import subprocess
import unittest

import cluster
from cluster import Cluster, wait_until
from cluster import job as entry_job
from platform_cluster import HOST, PlatformCluster, job

# Connections of a crowd, and the longest body that the pages allow.
CROWD = 200
BODY_MAX = 262144
TASKS_MAX = 990
# Limits in the settings of the process under test, and what it may use: a
# process without a crowd has at most 12 MB and 60 descriptors.
BODIES_KB = 4096
RECORD_BYTES = 4 << 20
CONNECTIONS = 128
MEMORY_MB = 32
DESCRIPTORS = CONNECTIONS + 64
# A server that no longer reads holds up a client this long.
SEND_S = 2
ANSWER_S = 60


def limits(program, group=""):
    """The lowered limits, of those that PROGRAM knows: one that knows none of
    them is held to the same bounds."""
    text = subprocess.run([os.path.join(cluster.PROGRAMS, program), "--help"],
                          capture_output=True, text=True).stdout
    wanted = {"bodies_max_kb": BODIES_KB, "connections_max": CONNECTIONS}
    return {group + key: value for key, value in wanted.items() if key in text}


def head(path, *lines):
    return "\r\n".join(["POST %s HTTP/1.1" % path, "Host: " + HOST,
                        "Content-Type: application/json", "X-Deadline-Ms: 30000",
                        *lines, "", ""]).encode()


def announced(path, length, sent):
    return head(path, "Content-Length: %d" % length) + b" " * sent


def chunked(path, size, total):
    chunk = b"%x\r\n%s\r\n" % (size, b" " * size)
    return (head(path, "Transfer-Encoding: chunked")
            + chunk * (total // size))


def whole(path, body, length=BODY_MAX):
    data = json.dumps(body).encode()
    data += b" " * max(0, length - len(data))
    return head(path, "Content-Length: %d" % len(data)) + data


class Crowd:
    """Connections that send what REQUEST gives for each of them, PIECE bytes
    each in turn, and then stay open."""

    def __init__(self, address, count, request, piece=None):
        host, port = address.split(":")
        self.sockets = []
        for _ in range(count):
            try:
                s = socket.create_connection((host, int(port)), SEND_S)
            except OSError:
                continue  # the server has no place for it
            self.sockets.append(s)
        open_ones = dict(enumerate(self.sockets))
        data = {i: request(i) for i in open_ones}
        at = 0
        while open_ones:
            step = piece or max(len(d) for d in data.values())
            for i in list(open_ones):
                if at >= len(data[i]) or not self.send(
                        open_ones[i], data[i][at:at + step]):
                    del open_ones[i]
            at += step

    @staticmethod
    def send(s, data):
        try:
            s.sendall(data)
        except OSError:
            return False  # refused, or closed by the server
        return True

    def close(self):
        for s in self.sockets:
            s.close()


def highest_memory_mb(process):
    with open("/proc/%d/status" % process.popen.pid) as f:
        for line in f:
            if line.startswith("VmHWM"):
                return int(line.split()[1]) / 1024


def descriptors(process):
    return len(os.listdir("/proc/%d/fd" % process.popen.pid))


class CrowdTest(unittest.TestCase):
    def play(self, process, address, request, ordinary, piece=None):
        """Plays a crowd at ADDRESS of PROCESS; ORDINARY sends an ordinary
        request and returns its status."""
        crowd = Crowd(address, CROWD, request, piece)
        try:
            # A client of an overloaded server may have to ask again.
            answered = wait_until(lambda: ordinary() == 200, ANSWER_S, 0.5)
            self.assertTrue(process.alive())
            fds, memory_mb = descriptors(process), highest_memory_mb(process)
        finally:
            crowd.close()
        self.assertTrue(answered)
        self.assertTrue(fds < DESCRIPTORS and memory_mb < MEMORY_MB,
                        "%d descriptors, %.1f MB" % (fds, memory_mb))


def crowds(path, large_job, small_job, wide_job):
    """Name, request of each connection, bytes sent in turn (None: all)."""
    def name(i):
        return path % i
    return [
        ("large chunks, short of the end", lambda i: chunked(
            name(i), 65536, BODY_MAX - 65536), None),
        ("very small chunks, short of the end", lambda i: chunked(
            name(i), 16, BODY_MAX - 16), None),
        ("announced, all but a byte", lambda i: announced(
            name(i), BODY_MAX, BODY_MAX - 1), None),
        ("announced, piece by piece, all but a byte", lambda i: announced(
            name(i), BODY_MAX, BODY_MAX - 1), 8192),
        ("far too long, announced", lambda i: announced(
            name(i), 64 << 20, 1 << 20), None),
        ("far too long, chunked", lambda i: chunked(
            name(i), 65536, 4 << 20), None),
        ("legal and whole", lambda i: whole(name(i), large_job(i)), None),
        ("legal and whole, piece by piece", lambda i: whole(
            name(i), large_job(i)), 8192),
        ("legal and whole, with little in it", lambda i: whole(
            name(i), small_job), None),
        ("legal and short, of very many tasks", lambda i: whole(
            name(i), wide_job, 0), None),
        ("a header without an end", lambda i: head(name(i))[:-2], None),
    ]


class Dispatcher(CrowdTest):
    # Guards against a dispatcher that runs out of memory or descriptors
    # through bodies that it holds for clients which send no end.
    def test_a_dispatcher_outlives_each_crowd(self):
        for what, request, piece in crowds(
                "/rush/%016x", self.waiting_job, job(run_ms=400, mcores=4000),
                job(count=TASKS_MAX, run_ms=400, mcores=4000)):
            with self.subTest(what=what):
                c = PlatformCluster(entries=1, agents=1, mcores=4000,
                                    entry=limits("lagoonvale-dispatcher"))
                try:
                    c.await_ready()
                    self.play(c.entries[0], c.addresses[0]["jobs"], request,
                              lambda: c.submit(0, job(run_ms=5),
                                               timeout=ANSWER_S)[0], piece)
                finally:
                    c.close()

    @staticmethod
    def waiting_job(i):
        """A job that waits with others for a minion with room for one task of
        it, so that all of the crowd are held at once."""
        return dict(job(run_ms=400, mcores=4000), spec=json.dumps(
            {"run_ms": 400, "mcores": 4000, "note": "x" * 200000}))


class Entry(CrowdTest):
    # The same for the entry of the other interface.
    def test_an_entry_outlives_each_crowd(self):
        for what, request, piece in crowds(
                "/v1/jobs?n=%d", self.large_job, entry_job(1, 400),
                entry_job(TASKS_MAX, 400)):
            with self.subTest(what=what):
                c = Cluster(entries=1, agents=1,
                            entry=dict(limits("lagoonvale-entry", "http."),
                                       record_bytes=RECORD_BYTES))
                try:
                    self.play(c.entries[0], c.entry_plan[0]["http"], request,
                              lambda: c.submit(0, entry_job(1, 5),
                                               timeout=ANSWER_S)[0], piece)
                finally:
                    c.close()

    @staticmethod
    def large_job(i):
        return dict(entry_job(1, 400),
                    tasks=[{"payload": {"run_ms": 400, "note": "x" * 200000}}])


if __name__ == "__main__":
    unittest.main()
