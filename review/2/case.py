"""An entry is killed while it works on many small tasks.  Each client sends its
job again 1.3 s later, through the other entry.  A minion takes 45 ms for a
stop, and answers it then.  Checks TWICE: no task may run twice at the same
time."""
import asyncio
import os
import signal
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "common"))
import standins as s  # noqa: E402

JOBS = 24
TASKS, RUN_MS, CPU = 12, 6000, 200
CORES = 64
STOP_S = 0.045  # stop_ms is 50
BUDGET_MS = 15000


async def client(d, number):
    id_ = "%016x" % (0x5c0e7a21d94b3600 + number)
    for entry in (0, 1):
        answer = await s.call(d.entries[entry]["jobs"], "POST",
                              s.PREFIX + id_, s.job(TASKS, RUN_MS, cpu=CPU),
                              {"X-Deadline-Ms": str(BUDGET_MS)},
                              BUDGET_MS / 1000)
        d.record.line("client of %s at entry-%d: %s" % (id_, entry, answer))
        if answer.status is not None:
            break
        await asyncio.sleep(s.RETRANSMIT_S)
    return id_


def overlaps(runs, now):
    """Pairs of runs of one task on different minions at the same time."""
    found = []
    for i, a in enumerate(runs):
        for b in runs[i + 1:]:
            if a.task != b.task or a.minion is b.minion:
                continue
            both = min(a.end or now, b.end or now) - max(a.began, b.began)
            if both > 0:
                found.append((a, b, both))
    return found


async def case(folder, trouble):
    d = s.Deployment(folder, cores=CORES)
    s.Minion.STOP_S = STOP_S
    try:
        await d.begin()
        clients = []
        for number in range(JOBS):
            clients.append(asyncio.ensure_future(client(d, number)))
            await asyncio.sleep(0.05)
        await asyncio.sleep(0.5)
        if trouble:
            d.dispatchers[0].send(signal.SIGKILL)
        found = []
        for id_ in await asyncio.gather(*clients):
            found += overlaps(d.runs(id_), d.record.now())
        for a, b, both in found[:20]:
            d.record.line("TWICE: %s ran on %s and %s at the same time for "
                          "%.3f s" % (a.task, a.minion.name, b.minion.name,
                                      both))
        d.record.line("result: %d tasks ran twice at the same time" % len(
            {a.task for a, _, _ in found}))
        return s.BROKEN if found else s.HELD
    finally:
        await d.end()


s.run_case(HERE, case)
