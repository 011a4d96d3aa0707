#!/usr/bin/env python3
"""Randomized fault soak of the dispatcher and runner on loopback.

The dispatcher logs as role entry, the runner as role agent.

soak.py SEED [--seconds N] [--entries N] [--agents N]   one run
soak.py SEED... [--jobs N]                              several seeds
soak.py --from A --to B [--jobs N]                      seeds A to B

The seed determines the schedule of faults: kind, process, time and duration;
faults may overlap.  Callers send jobs meanwhile.  From the responses and the
minions' records it checks that no task runs twice at a time, that no minion
exceeds its capacity, that no refused job has run, that an entry's version of
the configuration never decreases, that no task starts in a failure domain that
has been drained for long enough, and that service recovers within the
platform's bound.  Each run prints the directory of its logs.
tests/soak-seeds.txt lists seeds that have failed before.
"""
import argparse
import random
import subprocess
import sys
import threading
import time

import os
sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import cluster  # noqa: E402
from cluster import wait_until  # noqa: E402
from platform_cluster import (Callers, PlatformCluster, RESEND_S,  # noqa: E402
                              job, queue)

RECOVERY_S = 12.0
# Within RECOVERY_S after the faults the request rate must reach this share of
# the rate before them.
SERVED_SHARE = 0.25
SETTLE_S = 1.5
# An instance in touch with the store starts nothing in a domain that has been
# drained for DRAIN_S; it may have been out of touch for CONTACT_S before.
DRAIN_S = 5.0
CONTACT_S = 4.0
WARM_S = 3.0


class Soak:
    def __init__(self, seed, seconds, entries, agents):
        self.rng = random.Random(seed)
        # Draws the faults that came later: each seed keeps its earlier ones.
        self.more = random.Random("more %d" % seed)
        self.newest = random.Random("newest %d" % seed)
        self.latest = random.Random("latest %d" % seed)
        self.drains = random.Random("drains %d" % seed)
        self.drained = []  # minion, since, until
        # In half of the runs a pause is the suspension of an instance.
        if self.newest.random() < 0.5:
            cluster.PROGRAMS = os.path.join(cluster.BUILD, "suspendable")
        self.seconds = seconds
        self.c = PlatformCluster(
            entries=entries, agents=agents, proxy=True,
            service={"warmup_s": WARM_S, "cold_per_s": 20})
        self.versions, self.violations, self.schedule = {}, [], []
        self.done = False
        self.lock = threading.Lock()

    def pick_process(self):
        """Picks an entry or an agent."""
        return self.rng.choice(self.c.entries + self.c.agents)

    def plan_faults(self):
        kinds = [self.kill, self.pause, self.stop, self.reload,
                 self.minion_killed, self.minion_mode, self.link, self.store,
                 self.publish]
        at = 0.0
        while at < self.seconds:
            kind = self.rng.choice(kinds)
            self.schedule.append((at, kind.__name__, kind(), self.rng.uniform(
                0.3, 3.0)))
            at += self.rng.uniform(0.2, 2.0)
        kinds = [self.capacity, self.deadly_task, self.narrow_link]
        at = self.more.uniform(0.2, 2.0)
        while at < self.seconds:
            kind = self.more.choice(kinds)
            self.schedule.append((at, kind.__name__, kind(),
                                  self.more.uniform(0.3, 6.0)))
            at += self.more.uniform(1.0, 4.0)
        kinds = [self.late_starts, self.cut_start]
        at = self.newest.uniform(0.2, 3.0)
        while at < self.seconds:
            kind = self.newest.choice(kinds)
            self.schedule.append((at, kind.__name__, kind(), 0.5))
            at += self.newest.uniform(2.0, 6.0)
        kinds = [self.slow_stops, self.same_id, self.leaving_callers]
        at = self.latest.uniform(0.2, 3.0)
        while at < self.seconds:
            kind = self.latest.choice(kinds)
            self.schedule.append((at, kind.__name__, kind(),
                                  self.latest.uniform(0.3, 3.0)))
            at += self.latest.uniform(1.0, 4.0)
        at = self.drains.uniform(0.2, 4.0)
        while at < self.seconds:
            kind = self.drains.choice([self.drain, self.cold, self.again])
            seconds = (self.drains.uniform(1.0, DRAIN_S + CONTACT_S + 3.0)
                       if kind == self.drain else 0.5)
            self.schedule.append((at, kind.__name__, kind(), seconds))
            at += self.drains.uniform(1.0, 4.0)
        self.schedule.sort(key=lambda fault: fault[0])

    def start_again(self, p):
        """Starts P unless another fault, which overlaps, has done so: a second
        process would take its addresses, and nobody would end the first."""
        with self.lock:
            if not p.alive():
                p.start()

    def set_minion(self, m, **mode):
        """Sets modes of minion M, unless another fault has taken it down."""
        try:
            m.alive() and self.c.set_mode(m, **mode)
        except AssertionError:
            print("       %s is not up, %s left out" % (m.name, mode))

    # Each fault returns an action that injects it and one that ends it.
    def kill(self):
        p = self.pick_process()
        return p.kill, lambda: self.start_again(p)

    def pause(self):
        p = self.pick_process()
        return p.pause, p.resume

    def stop(self):
        p = self.pick_process()

        def restart():
            stopped = p.popen
            wait_until(lambda: p.popen is not stopped or not p.alive(), 8)
            if p.popen is stopped and p.alive():
                p.kill()
            self.start_again(p)
        return lambda: p.send(15), restart

    def reload(self):
        p = self.pick_process()
        return lambda: p.send(1), lambda: None

    def minion_killed(self):
        i = self.rng.randrange(len(self.c.minions))
        m = self.c.minions[i]
        return (lambda: self.c.kill_minion(i),
                lambda: self.start_again(m))

    def minion_mode(self):
        m = self.rng.choice(self.c.minions)
        mode = self.rng.choice([
            {"share": 0.1}, {"share": 0.3, "late_s": 2.0}, {"hang": 1},
            {"busy": 1}])
        normal = {"share": 0, "late_s": 0, "hang": 0, "busy": 0}
        return (lambda: self.set_minion(m, **mode),
                lambda: self.set_minion(m, **normal))

    def link(self):
        route = self.rng.choice(sorted(self.c.routes) + ["*"])
        what, normal = self.rng.choice([
            ({"delay_ms": self.rng.randrange(1, 60)}, {"delay_ms": 0}),
            ({"reset": True}, {}), ({"freeze": "all"}, {}),
            ({"drop": "in"}, {"drop": ""}), ({"drop": "out"}, {"drop": ""}),
            ({"cut": True, "from": ""}, {"cut": False})])
        return (lambda: self.c.set_fault(route, **what),
                lambda: self.c.set_fault(route, **normal))

    def store(self):
        mode = self.rng.choice(["busy", "silent", "cut", "gone"])
        return (lambda: self.c.set_mode(self.c.store, mode=mode),
                lambda: self.c.set_mode(self.c.store, mode="ok"))

    def capacity(self):
        m = self.more.choice(self.c.minions)
        mcores = self.more.choice([1000, 3000, 5000])
        return (lambda: self.set_minion(m, mcores=mcores),
                lambda: self.set_minion(m, mcores=8000))

    def deadly_task(self):
        entry = self.more.randrange(len(self.c.entries))
        refuse = self.more.randrange(2)
        body = job(run_ms=60, crash_ms=10, count=self.more.choice([1, 3]))

        def send():
            for m in self.c.minions:
                self.set_minion(m, refuse=refuse)
            self.c.submit(entry, body, wait_ms=4000)
        return send, lambda: None

    def late_starts(self):
        """Starts without an answer, which are executed after the minion has
        crashed and is back."""
        m = self.newest.choice(self.c.minions)
        late_s = self.newest.uniform(3.4, 5.0)
        return (lambda: self.set_minion(m, share=1, late_s=late_s),
                lambda: self.set_minion(m, share=0, crash=1))

    def cut_start(self):
        m = self.newest.choice(self.c.minions)
        return lambda: self.set_minion(m, cut=1), lambda: None

    def slow_stops(self):
        m = self.latest.choice(self.c.minions)
        stop_ms = self.latest.choice([20, 45, 50])
        return (lambda: self.set_minion(m, stop_ms=stop_ms),
                lambda: self.set_minion(m, stop_ms=0))

    def same_id(self):
        """A minion that crashes is back under the id that it had."""
        m = self.latest.choice(self.c.minions)
        return (lambda: self.set_minion(m, keep_id=1, crash=1), lambda: None)

    def leaving_callers(self):
        """Callers leave as the connections of their entry are reset, and send
        their jobs again through the next one."""
        i = self.latest.randrange(len(self.c.entries))
        names = ["%016x" % self.latest.getrandbits(64) for _ in range(4)]
        body = job(count=4, run_ms=1500)

        def leave(name):
            self.c.submit(i, body, name, timeout=0.4)
            time.sleep(RESEND_S)
            self.c.submit((i + 1) % len(self.c.entries), body, name)

        def send():
            for name in names:
                threading.Thread(target=leave, args=(name,),
                                 daemon=True).start()
            time.sleep(0.4)
            self.c.set_fault("entry-%d" % i, reset=True)
        return send, lambda: None

    def drain(self):
        """One failure domain, which each minion has for its own, is drained and
        given back cold."""
        i = self.drains.randrange(len(self.c.minions))
        m, since = self.c.minions[i], []

        def begin():
            self.c.drain("d%d" % i)
            since.append(time.monotonic())

        def end():
            self.drained.append((i, since[0], time.monotonic()))
            self.set_minion(m, warm_s=WARM_S, cool=1)
            self.c.drain("d%d" % i, False)
        return begin, end

    def cold(self):
        m = self.drains.choice(self.c.minions)
        return (lambda: self.set_minion(m, warm_s=WARM_S, cool=1),
                lambda: None)

    def again(self):
        """A caller leaves and sends the same job to the same entry at once."""
        i = self.drains.randrange(len(self.c.entries))
        name = "%016x" % self.drains.getrandbits(64)
        body = job(count=4, run_ms=300)

        def send():
            for timeout in (0.1, 0.1, 6):
                self.c.submit(i, body, name, timeout=timeout)
        return (lambda: threading.Thread(target=send, daemon=True).start(),
                lambda: None)

    def narrow_link(self):
        i = self.more.randrange(len(self.c.entries))
        rate = self.more.choice([30000, 250000])
        names = ["entry-%d" % i, "store-%d" % i]

        def limit(rate):
            for name in names:
                self.c.set_fault(name, link="link-%d" % i, rate=rate)
        return lambda: limit(rate), lambda: limit(0)

    def publish(self):
        def change():
            with self.lock:
                self.c.publish(queue("rush", "/rush/"),
                               queue("q%d" % self.c.version, "/q/"))
        return change, change

    def run_fault(self, kind, actions, seconds):
        print("%6.2f %s for %.2f s" % (time.monotonic() - self.began, kind,
                                       seconds), flush=True)
        actions[0]()
        time.sleep(seconds)
        actions[1]()

    def watch_versions(self):
        """Checks that an entry's configuration version never decreases between
        restarts."""
        while not self.done:
            for e in self.c.entries:
                incarnation = (e.name, e.popen.pid)
                version = self.read_version(e)
                if version is None:
                    continue
                if version < self.versions.get(incarnation, 0):
                    self.violations.append(("version", incarnation, version))
                self.versions[incarnation] = version
            time.sleep(0.2)

    def read_version(self, entry):
        try:
            return self.c.metric(entry, "lagoonvale_config_version")
        except AttributeError:
            return None  # no response

    def clear_faults(self):
        """Clears faults of the proxy and the store and resumes or restarts all
        processes, before the check of recovery."""
        self.c.set_fault("*", delay_ms=0)
        self.c.set_fault("*", drop="")
        self.c.set_fault("*", cut=False)
        self.c.set_fault("*", link="none", rate=0)
        self.c.set_mode(self.c.store, mode="ok")
        for p in self.c.entries + self.c.agents + self.c.minions:
            if p.alive():
                p.resume()
            else:
                p.start()
        for m in self.c.minions:
            self.set_minion(m, mcores=8000)

    def check(self, callers, before):
        began = time.monotonic()
        wait_until(lambda: callers.served_since(time.monotonic() - 2)
                   >= before * 2 * SERVED_SHARE, RECOVERY_S)
        rate = callers.served_since(time.monotonic() - 2) / 2
        print("%6.2f served %.0f/s, %.0f/s before the faults; waited %.1f s"
              % (began - self.began, rate, before, time.monotonic() - began))
        if rate < before * SERVED_SHARE:
            self.violations.append(("recovery", rate, before))
        self.done = True
        callers.stop()
        time.sleep(SETTLE_S)
        self.violations += self.c.rule_violations()
        self.check_drains()
        self.check_refusals(callers)

    def check_drains(self):
        """Two drains of one domain may overlap; the first that ends gives it
        back, and the other one starts anew at its end."""
        for minion, since, until in self.drained:
            ends = [t for i, _, t in self.drained if i == minion and t < until]
            since = max([since] + [t for t in ends if t > since])
            self.violations += [
                ("drained", since, e) for e in self.c.events()
                if e["what"] == "start" and e["minion"] == minion
                and since + DRAIN_S + CONTACT_S < e["at"] < until]

    def check_refusals(self, callers):
        started = {e["task"].split(".")[0] for e in self.c.events()
                   if e["what"] == "start"}
        for name, statuses in callers.attempts.items():
            if set(statuses) <= {429, 503} and name in started:
                self.violations.append(("refused but run", name, statuses))

    def run(self):
        self.c.await_ready()
        self.plan_faults()
        callers = Callers(self.c, workers=8, count=4, run_ms=60)
        time.sleep(2)
        before = callers.served_since(time.monotonic() - 1.5) / 1.5
        self.began = time.monotonic()
        watcher = threading.Thread(target=self.watch_versions, daemon=True)
        watcher.start()
        threads = []
        for at, kind, actions, seconds in self.schedule:
            time.sleep(max(0, self.began + at - time.monotonic()))
            t = threading.Thread(target=self.run_fault,
                                 args=(kind, actions, seconds), daemon=True)
            t.start()
            threads.append(t)
        for t in threads:
            t.join(15)
        self.clear_faults()
        self.check(callers, before)
        watcher.join(5)
        return self.violations


def run_seed(args, seed):
    soak = Soak(seed, args.seconds, args.entries, args.agents)
    try:
        violations = soak.run()
    finally:
        soak.c.close()
    for violation in violations[:10]:
        print("VIOLATION", violation)
    print("seed %d: %s, logs in %s" % (
        seed, "%d violations" % len(violations) if violations else "ok",
        soak.c.dir))
    return 1 if violations else 0


def run_seeds(args, seeds):
    count, failed, running = len(seeds), [], []
    while seeds or running:
        while seeds and len(running) < args.jobs:
            seed = seeds.pop(0)
            argv = [sys.executable, __file__, str(seed), "--seconds",
                    str(args.seconds), "--entries", str(args.entries),
                    "--agents", str(args.agents)]
            running.append((seed, subprocess.Popen(
                argv, stdout=subprocess.PIPE, text=True)))
        seed, p = running.pop(0)
        text = p.communicate()[0]
        if p.returncode != 0:
            failed.append(seed)
            print(text, flush=True)
        print("seed %d %s" % (seed, "FAIL" if p.returncode else "ok"),
              flush=True)
    print("%d passed, %d failed %s" % (count - len(failed), len(failed),
                                       failed or ""))
    return 1 if failed else 0


def check_built():
    """Exits if the programs of a run are missing: the seeds that draw them
    would fail like those that find a fault."""
    for directory in (cluster.BUILD, os.path.join(cluster.BUILD, "suspendable")):
        if not os.path.exists(os.path.join(directory, "lagoonvale-runner")):
            sys.exit("soak.py: no programs in %s: run make all suspendable"
                     % directory)


def main():
    p = argparse.ArgumentParser()
    p.add_argument("seeds", nargs="*", type=int)
    p.add_argument("--from", dest="first", type=int)
    p.add_argument("--to", dest="last", type=int)
    p.add_argument("--jobs", type=int, default=2)
    p.add_argument("--seconds", type=float, default=15)
    p.add_argument("--entries", type=int, default=3)
    p.add_argument("--agents", type=int, default=4)
    args = p.parse_args()
    check_built()
    if len(args.seeds) == 1:
        return run_seed(args, args.seeds[0])
    return run_seeds(args, args.seeds or list(range(args.first,
                                                    args.last + 1)))


if __name__ == "__main__":
    sys.exit(main())
