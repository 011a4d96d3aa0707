"""Connections of one entry are reset, those of a client and of the runners;
the client sends its job again 1.3 s later, through the other entry.  Checks
TWICE: no task may run twice at the same time."""
import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "common"))
import standins as s  # noqa: E402

JOB_ID = "5c0e7a21d94b36f8"
TASKS, RUN_MS = 4, 4000
BUDGET_MS = 15000
RESET_AT_S = 0.5
IDLE_CLIENTS = 4
# Connections that the entry itself has opened, to the store and to the other
# entry; they are not reset.
OWN = 2


async def hand_in(d, entry, timeout):
    d.record.line("client sends POST %s to entry-%d" % (JOB_ID, entry))
    answer = await s.call(d.entries[entry]["jobs_proxy"], "POST",
                          s.PREFIX + JOB_ID, s.job(TASKS, RUN_MS),
                          {"X-Deadline-Ms": str(BUDGET_MS)}, timeout)
    d.record.line("client: %s" % answer)
    return answer


async def open_idle(d):
    """Channels of other clients, which have had an answer each."""
    channels = [s.Channel(d.entries[0]["jobs_proxy"])
                for _ in range(IDLE_CLIENTS)]
    for channel in channels:
        await channel.call("GET", s.PREFIX)
    return channels


def reset_half(d):
    """Resets the connections of entry-0 with the client that waits, which is
    the newest one, and those that runners and the other entry have opened to
    it: at most half of those that it has."""
    jobs, rpc = d.jobs_proxies[0].pairs, list(d.rpc_proxies[0].pairs)
    count, total = 1 + len(rpc), len(jobs) + len(rpc) + OWN
    if 2 * count > total:
        raise s.CannotRun("%d of %d connections" % (count, total))
    d.record.line("%d of the %d connections of entry-0 are reset" % (
        count, total))
    d.jobs_proxies[0].reset_pairs(jobs[-1:])
    d.rpc_proxies[0].reset_pairs(rpc)


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
    d = s.Deployment(folder)
    try:
        await d.begin()
        others = await open_idle(d)
        first = asyncio.ensure_future(hand_in(d, 0, BUDGET_MS / 1000))
        await asyncio.sleep(RESET_AT_S)
        if trouble:
            reset_half(d)
        answer = await first
        for channel in others:
            channel.close()
        if answer.status is None:
            await asyncio.sleep(s.RETRANSMIT_S)
            await hand_in(d, 1, BUDGET_MS / 1000)
        now = d.record.now()
        found = overlaps(d.runs(JOB_ID), now)
        for a, b, both in found:
            d.record.line("TWICE: %s ran on %s and %s at the same time for "
                          "%.3f s" % (a.task, a.minion.name, b.minion.name,
                                      both))
        d.record.line("result: %d tasks ran twice at the same time" % len(
            {a.task for a, _, _ in found}))
        return s.BROKEN if found else s.HELD
    finally:
        await d.end()


s.run_case(HERE, case)
