"""What the scripts of review/6 to review/10 share: a small deployment of the
programs that deploy/system.toml builds, on loopback, with the project's
stand-ins for the platform, and the record of what was seen.

The settings are those that deploy/templates gives for kaapcut-sched."""
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

import cluster  # noqa: E402
from cluster import wait_until  # noqa: E402,F401
from platform_cluster import PlatformCluster, job  # noqa: E402,F401

TROUBLE = os.environ.get("TROUBLE", "1") != "0"

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


# Every process that the case has started.
started = []
start_process = cluster.Process.start


def start_and_note(process):
    start_process(process)
    started.append(process.popen)


cluster.Process.start = start_and_note


def end_processes():
    for popen in started:
        if popen.poll() is None:
            popen.kill()
            popen.wait()


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


def note_events(record, deployment, job_id):
    """Adds what the minions did about the job to the record."""
    for e in deployment.events():
        if not e["task"].startswith(job_id):
            continue
        record.note("minion-%d %s task=%s attempt=%d%s" % (
            e["minion"], e["what"], e["task"], e["attempt"],
            " how=" + e["how"] if "how" in e else ""), e["at"])


def run(folder, case):
    """Runs CASE (record), which returns the breaches it saw, and exits with 1
    if there are any, 0 if not, 2 if it could not run."""
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
    finally:
        end_processes()
    for b in breaches:
        record.note("BROKEN: " + b)
        print("broken: " + b)
    record.note("result: %d breaches" % len(breaches))
    record.write()
    sys.exit(1 if breaches else 0)
