#!/usr/bin/env python3
"""Runs the demo job file on a small cluster and prints a summary.

demo.py          start the cluster, run the jobs, stop
demo.py up       start the cluster and leave it running; see run/demo.json
demo.py down     stop the cluster that "up" started
"""
import json
import math
import os
import re
import signal
import sys
import threading
import time

from cluster import Cluster, ROOT

STATE = os.path.join(ROOT, "run", "demo.json")
JOBS = os.path.join(ROOT, "examples", "demo-jobs.json")
RULES = os.path.join(ROOT, "examples", "rules-kaapstad.txt")


def read_jobs():
    with open(JOBS) as f:
        return json.loads(re.sub(r"(?m)^\s*//.*$", "", f.read()))


def ideal_ms(job, slots):
    runs = [t["payload"]["run_ms"] for t in job["tasks"]]
    return max(max(runs), sum(runs) / slots)


def run_jobs(cluster, jobs):
    results = [None] * len(jobs)

    def submit(i):
        began = time.monotonic()
        status, answer = cluster.submit(i % 2, jobs[i])
        results[i] = (status, answer, 1000 * (time.monotonic() - began))

    threads = [threading.Thread(target=submit, args=(i,))
               for i in range(len(jobs))]
    for t in threads:
        t.start()
    for t in threads:
        t.join()
    return results


def count_rpc_messages(cluster):
    return sum(cluster.metrics(e)["lagoonvale_entry_rpc_calls"]
               for e in cluster.entries) + sum(
        cluster.metrics(a)["lagoonvale_agent_rpc_calls"]
        for a in cluster.agents)


def print_summary(cluster, jobs, results, messages):
    slots = 8 * len(cluster.agents)
    tasks = sum(len(j["tasks"]) for j in jobs)
    starts = cluster.starts()
    complete = sum(status == 200 and len(answer["tasks"]) == len(job["tasks"])
                   and all(t["output"] for t in answer["tasks"])
                   for job, (status, answer, _) in zip(jobs, results))
    ratios = sorted(ms / ideal_ms(job, slots)
                    for job, (_, _, ms) in zip(jobs, results))
    print("jobs %d, complete responses %d" % (len(jobs), complete))
    print("tasks %d, starts at minions and workers %d, at most %d per task"
          % (tasks, sum(starts.values()), max(starts.values(), default=0)))
    print("response/ideal p50 %.2f, p99 %.2f (all jobs submitted at once, "
          "%d slots)" % (ratios[len(ratios) // 2],
                         ratios[math.ceil(0.99 * len(ratios)) - 1], slots))
    print("RPC messages per task %.2f" % (messages / tasks))
    return (complete == len(jobs) and len(starts) == tasks
            and set(starts.values()) == {1})


def run_demo():
    with open(RULES) as f:
        rules = f.read()
    with Cluster(entries=2, agents=3, workers=3, rules=rules) as cluster:
        before = count_rpc_messages(cluster)
        jobs = read_jobs()
        results = run_jobs(cluster, jobs)
        time.sleep(0.2)  # metrics are updated once per tick
        passed = print_summary(cluster, jobs, results,
                               count_rpc_messages(cluster) - before)
        exit_codes = [p.stop() for p in cluster.entries + cluster.agents]
        print("graceful exits %d of %d"
              % (exit_codes.count(0), len(exit_codes)))
        passed = passed and exit_codes == [0] * len(exit_codes)
    print("demo: " + ("every task ran exactly once" if passed else "FAILED"))
    return 0 if passed else 1


def up():
    if os.path.exists(STATE):
        print("demo: already running; run make demo-down first")
        return 1
    with open(RULES) as f:
        cluster = Cluster(entries=2, agents=3, workers=3, rules=f.read())
    os.makedirs(os.path.dirname(STATE), exist_ok=True)
    with open(STATE, "w") as f:
        json.dump({"pids": [p.popen.pid for p in cluster.processes],
                   "logs": cluster.dir}, f)
    for plan in cluster.entry_plan:
        print("entry http://%s" % plan["http"])
    print("log http://%s, logs in %s" % (cluster.log.address, cluster.dir))
    return 0


def down():
    if not os.path.exists(STATE):
        print("demo: not running")
        return 0
    with open(STATE) as f:
        pids = json.load(f)["pids"]
    for pid in reversed(pids):
        try:
            os.kill(pid, signal.SIGTERM)
        except ProcessLookupError:
            pass
    os.remove(STATE)
    return 0


sys.exit({"up": up, "down": down}.get(sys.argv[1] if len(sys.argv) > 1
                                      else "", run_demo)())
