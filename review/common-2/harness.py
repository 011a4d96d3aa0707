"""What the scripts of review/6 to review/10 share: a small deployment of the
programs that deploy/system.toml builds, on loopback, with the project's
stand-ins for the platform, and the record of what was seen.

The settings are those that deploy/templates gives for kaapcut-sched."""
import json
import os
import sys
import threading
import time
import tomllib

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(
    os.path.abspath(__file__))))
os.environ["LV_BUILD"] = os.path.join(ROOT, "target")
sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(ROOT, "tools"))

import platform_cluster  # noqa: E402
from cluster import http, wait_until  # noqa: E402,F401
from platform_cluster import HOST, PlatformCluster, job, queue  # noqa: E402,F401

TROUBLE = os.environ.get("TROUBLE", "1") != "0"

# Bounds of kaapcut-sched, in seconds.
CANCEL_S = 3.0
STOP_S = 0.05
RETRANSMIT_S = 1.3
CONFIG_APPLY_S = 2.0
CONTACT_S = 3.0

# What deploy/templates/agent.json gives for kaapcut-sched.
AGENT = {"lease_max_ms": 1000, "stop_max_ms": 50, "report_interval_ms": 1500,
         "report_grace_ms": 3000}
WORKER_MCORES = 64000


class NotRun(Exception):
    """The case could not be carried out."""


class Record:
    def __init__(self, folder):
        self.path = os.path.join(folder, "record.txt")
        self.began = time.monotonic()
        self.lines = []
        self.lock = threading.Lock()

    def note(self, text, at=None):
        at = time.monotonic() if at is None else at
        with self.lock:
            self.lines.append((at, text))

    def write(self):
        with self.lock, open(self.path, "w") as f:
            for at, text in sorted(self.lines):
                f.write("%9.3f  %s\n" % (at - self.began, text))


def check_commands():
    """The scripts start the programs that the deploy file names."""
    with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as f:
        roles = tomllib.load(f)["roles"]
    for role in roles.values():
        program = role["run"].split()[0]
        if program not in ("target/lagoonvale-dispatcher",
                           "target/lagoonvale-runner"):
            raise NotRun("unknown program %s" % program)
        if not os.access(os.path.join(ROOT, program), os.X_OK):
            raise NotRun("%s is not built" % program)


def note_events(record, cluster, tasks):
    """Adds what the minions did about the jobs whose ids begin with one of
    TASKS to the record."""
    for e in cluster.events():
        if not any(e["task"].startswith(t) for t in tasks):
            continue
        record.note("minion-%d %s task=%s attempt=%d%s" % (
            e["minion"], e["what"], e["task"], e["attempt"],
            " how=" + e["how"] if "how" in e else ""), e["at"])


def run(folder, case):
    """Runs CASE (record) -> list of breaches, and exits as issue 35 says."""
    record = Record(folder)
    record.note("TROUBLE=%d" % TROUBLE)
    try:
        check_commands()
        breaches = case(record)
    except (NotRun, OSError, AssertionError) as error:
        record.note("not run: %r" % error)
        record.write()
        print("could not run: %r" % error)
        sys.exit(2)
    for b in breaches:
        record.note("BROKEN: " + b)
        print("broken: " + b)
    record.note("result: %d breaches" % len(breaches))
    record.write()
    sys.exit(1 if breaches else 0)


def dump(value):
    return json.dumps(value, sort_keys=True)
