#!/usr/bin/env python3
"""Measures a change of the configuration on narrow links: one line for each
number of queues and each bandwidth.

config_links.py [QUEUES[,QUEUES]] [MBIT[,MBIT]]

Three entries behind the fault proxy, each on a link of its own for its agents,
its peers and the store.  The first change adds the queues, the second one adds
one more; both are measured.
"""
import sys
import time

from cluster import http, wait_until
from platform_cluster import Callers, PlatformCluster, job, queue

ENTRIES, AGENTS = 3, 3
TIMEOUT_S = 30
BYTES_PER_MBIT = 125000


def link_bytes(c):
    """Bytes so far on the link of each entry, both directions."""
    _, stats = http("GET", "http://%s/stats" % c.control)
    return [stats["entry-%d" % i]["bytes"] + stats["store-%d" % i]["bytes"]
            for i in range(ENTRIES)]


def slow_reports(c):
    """Reports so far by upper bound of their duration, over all agents."""
    counts = {}
    for a in c.agents:
        _, text = http("GET", a.probe)
        for line in text.splitlines():
            if not line.startswith("lagoonvale_report_seconds_bucket"):
                continue
            bound = line.split('le="')[1].split('"')[0]
            counts[bound] = counts.get(bound, 0) + float(line.split()[-1])
    return counts


def longest_report(before, after):
    """Smallest bound that holds for all reports between two readings."""
    total = after["+Inf"] - before.get("+Inf", 0)
    for bound in sorted(after, key=float):
        if after[bound] - before.get(bound, 0) >= total:
            return bound
    return "+Inf"


def measure(c, queues, number):
    reports, sent, began = slow_reports(c), link_bytes(c), time.monotonic()
    prefix = "/new%d/" % number
    c.publish(queue("rush", "/rush/"), queue("new%d" % number, prefix), *queues)
    done = wait_until(lambda: all(
        c.submit(i, job(run_ms=5), prefix=prefix, timeout=2)[0] == 200
        for i in range(ENTRIES)), TIMEOUT_S)
    took = time.monotonic() - began
    time.sleep(0.5)
    bytes_each = [b - a for a, b in zip(sent, link_bytes(c))]
    return ("%6.2f s" % took if done else "never",
            "%8.0f kB" % (sum(bytes_each) / ENTRIES / 1000),
            "<= %s s" % longest_report(reports, slow_reports(c)))


def run(count, mbit):
    c = PlatformCluster(entries=ENTRIES, agents=AGENTS, proxy=True)
    try:
        c.await_ready()
        c.limit_links(mbit * BYTES_PER_MBIT)
        callers = Callers(c, workers=3, run_ms=30)
        queues = [queue("q%d" % i, "/q%d/" % i) for i in range(count)]
        time.sleep(1)
        for number, what in ((1, "all new"), (2, "one new")):
            print("%6d queues %4d Mbit/s %s: in force %s, %s an entry, "
                  "reports %s" % (count, mbit, what,
                                  *measure(c, queues, number)), flush=True)
        callers.stop()
        print("       sessions lost: %d, largest entry %d MB" % (
            sum(c.metric(a, "lagoonvale_sessions_lost_total")
                for a in c.agents),
            max(resident_mb(e) for e in c.entries)), flush=True)
    finally:
        c.close()


def resident_mb(process):
    with open("/proc/%d/status" % process.popen.pid) as f:
        for line in f:
            if line.startswith("VmHWM"):
                return int(line.split()[1]) / 1024


def main():
    lists = [[int(x) for x in text.split(",")] for text in sys.argv[1:3]]
    counts, rates = (lists + [[25, 1650, 10000], [2, 25, 200]][len(lists):])
    for count in counts:
        for mbit in rates:
            run(count, mbit)


if __name__ == "__main__":
    main()
