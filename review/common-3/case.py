"""Common part of the scripts of the third review: a small deployment on
loopback, started with the commands of the deploy file; the record of a run;
the exit code.  A case's own script has the events and the check."""
import json
import os
import shutil
import signal
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
ROOT = os.path.dirname(os.path.dirname(HERE))
sys.path.insert(0, os.path.join(ROOT, "tools"))
sys.dont_write_bytecode = True

import cluster  # noqa: E402
import platform_cluster  # noqa: E402
from cluster import http, wait_until  # noqa: E402
from platform_cluster import HOST, SERVICE, job, queue  # noqa: E402

HELD, BROKEN, NOT_RUN = 0, 1, 2
# The longest that a case may take, with its clean-up.
LIMIT_S = 110
# Bounds of the site that the cases name, as the templates of the deploy file
# put them into the settings of a runner.
RUNNER = {"lease_max_ms": 1000, "stop_max_ms": 50, "report_interval_ms": 1500,
          "report_grace_ms": 3000}
HEARTBEAT_S = 1.5


class NotRun(Exception):
    """The case could not be brought about."""


class Deployment(platform_cluster.PlatformCluster):
    """Dispatchers and runners as in target/, beside the project's stand-ins."""

    def __init__(self, **more):
        super().__init__(agent=RUNNER, **more)
        for minion in self.minions:
            self.set_mode(minion, interval_s=HEARTBEAT_S)

    def close(self):
        super().close()
        shutil.rmtree(self.dir, ignore_errors=True)


class Case:
    """One run of a case.  Entries of the record have the time since its
    begin, in seconds."""

    def __init__(self, folder, **deployment):
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.file = open(os.path.join(folder, "record.txt"), "w")
        self.began = time.monotonic()
        self.lock = threading.Lock()
        self.deployment = deployment
        self.c = None

    def now(self):
        return time.monotonic() - self.began

    def note(self, text, *values):
        with self.lock:
            self.file.write("%8.3f %s\n" % (self.now(), text % values))
            self.file.flush()

    def start(self):
        self.note("begin trouble=%d", self.trouble)
        self.c = Deployment(**self.deployment)
        if not wait_until(lambda: all(e.ready() for e in self.c.entries), 20):
            raise NotRun("the dispatchers did not get ready")
        for i in range(len(self.c.entries)):
            if not wait_until(lambda: self.c.submit(
                    i, job(run_ms=5))[0] == 200, 20):
                raise NotRun("dispatcher %d serves no job" % i)
        self.note("deployment serves: %d dispatchers, %d runners",
                  len(self.c.entries), len(self.c.agents))

    def call(self, method, entry, path, body=None, headers=None, timeout=30):
        """A request of a client, with its answer, in the record."""
        headers = dict({"Host": HOST}, **(headers or {}))
        self.note("client: %s dispatcher-%d %s %s", method, entry, path,
                  json.dumps(headers))
        answer = http(method, "http://%s%s" % (
            self.c.addresses[entry]["jobs"], path), body, headers, timeout)
        self.note("answer: %s dispatcher-%d %s -> %s", method, entry, path,
                  answer if answer[0] else "none")
        return answer

    def post_in_background(self, entry, path, body, deadline_ms):
        answers = []
        thread = threading.Thread(daemon=True, target=lambda: answers.append(
            self.call("POST", entry, path, body,
                      {"X-Deadline-Ms": str(deadline_ms)})))
        thread.start()
        return answers

    def sleep_until(self, at):
        time.sleep(max(0, at - self.now()))

    def runs(self, name, what):
        """Events WHAT of the tasks of job NAME at the minions."""
        return [dict(e, at=e["at"] - self.began) for e in self.c.events()
                if e["what"] == what and e.get("task", "").startswith(name)]

    def record_runs(self, name):
        for what in ("start", "end"):
            for e in self.runs(name, what):
                self.note("minion-%d: %s at %.3f task=%s attempt=%d %s",
                          e["minion"], what, e["at"], e["task"], e["attempt"],
                          e.get("how", ""))

    def record_lost_connections(self):
        """Sessions of the runners that ended: whether they stayed in touch."""
        for agent in self.c.agents:
            for line in self.c.log_of(agent).splitlines():
                if "event=entry-lost" in line:
                    self.note("%s: %s", agent.name, line[:200])


def on_alarm(number, frame):
    raise NotRun("time limit")


def main(script, play, **deployment):
    """Plays the case of SCRIPT; PLAY returns the starts that break the rule."""
    case = Case(os.path.dirname(os.path.abspath(script)), **deployment)
    cluster.PROGRAMS = os.path.join(ROOT, "target")
    for number in (signal.SIGALRM, signal.SIGTERM):
        signal.signal(number, on_alarm)
    signal.alarm(LIMIT_S)
    code = NOT_RUN
    try:
        case.start()
        broken = play(case)
        for text in broken:
            case.note("BROKEN: %s", text)
        code = BROKEN if broken else HELD
    except Exception as error:  # what cannot run is no verdict
        case.note("not run: %r", error)
    finally:
        signal.alarm(0)
        if case.c is not None:
            case.c.close()
        case.note("exit %d", code)
    print("exit %d: %s" % (code, ("rule held", "rule broken", "not run")[code]))
    sys.exit(code)
