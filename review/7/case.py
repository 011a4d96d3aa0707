"""Clients hand in jobs one after the other, each task on 6.2 cores; then for a
few seconds twice as many clients do.  They compute `cpu` as 6.2 * 1000, which
their JSON library writes as 6200.0."""
import os
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "common-2"))
from harness import (AGENT, TROUBLE, WORKER_MCORES, NotRun, PlatformCluster,
                     job, run)

ENTRIES, AGENTS = 2, 2
# All clients are in the zone of one dispatcher.
HOME = 0
CORES = 6.2
CPU = CORES * 1000
if os.environ.get("CPU") == "whole":
    CPU = 6200
TASKS, RUN_MS = 4, 900
CLIENTS, BURST = 2, 2
USUAL_S, BURST_S = 4.0, 4.0
DEADLINE_MS = 6000


class Client:
    """Sends a job, waits for its answer, and sends the next."""

    def __init__(self, cluster, record, number, end):
        self.cluster, self.record = cluster, record
        self.number, self.end = number, end
        self.statuses = []
        self.thread = threading.Thread(target=self.loop, daemon=True)
        self.thread.start()

    def loop(self):
        n = 0
        while time.monotonic() < self.end:
            name = "%08x%08x" % (0xc0de0000 + self.number, n)
            body = job(count=TASKS, run_ms=RUN_MS, mcores=CPU)
            status, _ = self.cluster.submit(
                HOME, body, name, wait_ms=DEADLINE_MS, timeout=8)
            self.record.note("client %d: job %s answered %d"
                             % (self.number, name, status))
            self.statuses.append(status)
            n += 1
            if status != 200:
                time.sleep(1)


def over_room(cluster, record):
    """Starts that brought a minion over its room."""
    out = []
    for e in cluster.events():
        if e["what"] != "start" or not e["task"].startswith("c0de"):
            continue
        over = e["used"] > e["room"]
        record.note("minion-%d start task=%s cpu in use %d of %d%s" % (
            e["minion"], e["task"], e["used"], e["room"],
            " OVER" if over else ""), e["at"])
        if over:
            out.append(e)
    return out


def case(record):
    cluster = PlatformCluster(entries=ENTRIES, agents=AGENTS,
                              mcores=WORKER_MCORES, agent=AGENT)
    try:
        cluster.await_ready()
        time.sleep(4)
        record.note("cpu of a task: %r" % CPU)
        began = time.monotonic()
        clients = [Client(cluster, record, i, began + USUAL_S + BURST_S)
                   for i in range(CLIENTS)]
        time.sleep(USUAL_S)
        if TROUBLE:
            record.note("burst: %d clients more" % BURST)
            clients += [Client(cluster, record, CLIENTS + i,
                               began + USUAL_S + BURST_S)
                        for i in range(BURST)]
        for c in clients:
            c.thread.join(20)
        time.sleep(1)
        if not any(200 in c.statuses for c in clients):
            raise NotRun("no job was served")
        over = over_room(cluster, record)
        if not over:
            return []
        worst = max(over, key=lambda e: e["used"])
        return ["LIMIT: %d starts brought a minion over its room, at most %d "
                "of %d thousandths of a core"
                % (len(over), worst["used"], worst["room"])]
    finally:
        cluster.close()


run(HERE, case)
