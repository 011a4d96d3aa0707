#!/usr/bin/env python3
"""Runs the tests, a few processes in parallel; prints "N passed, N failed".

run.py [PATTERN]   only process tests whose name contains PATTERN

A failure of a test listed in KNOWN-RED.txt is reported as a known failure; it
does not change the exit status.
"""
import concurrent.futures
import itertools
import os
import subprocess
import sys
import time
import unittest

HERE = os.path.dirname(os.path.abspath(__file__))
ROOT = os.path.dirname(HERE)
BUILD = os.environ.get("LV_BUILD", os.path.join(ROOT, "build"))
WORKERS = int(os.environ.get("LV_TEST_WORKERS", "3"))
TIMEOUT_S = 240
# Tests that run one at a time, after all others: they measure a process that
# many clients use up.
ALONE = "test_crowds."


def read_known_failures():
    path = os.path.join(ROOT, "KNOWN-RED.txt")
    if not os.path.exists(path):
        return set()
    with open(path) as f:
        return {line.split()[1] for line in f if line.startswith("test: ")}


def find_process_tests(pattern):
    sys.path[:0] = [os.path.join(HERE, "process"), os.path.join(ROOT, "tools")]
    suite = unittest.defaultTestLoader.discover(
        os.path.join(HERE, "process"), "test_*.py")
    names = []

    def collect(tests):
        for t in tests:
            if isinstance(t, unittest.TestSuite):
                collect(t)
            else:
                names.append(t.id())

    collect(suite)
    return [n for n in names
            if pattern in n and (pattern or "sanitized" not in n)]


def run(name, argv):
    began = time.monotonic()
    env = dict(os.environ, LV_BUILD=BUILD, PYTHONDONTWRITEBYTECODE="1",
               PYTHONPATH=os.pathsep.join([os.path.join(HERE, "process"),
                                           os.path.join(ROOT, "tools")]))
    try:
        done = subprocess.run(argv, env=env, capture_output=True, text=True,
                              timeout=TIMEOUT_S)
        ok, text = done.returncode == 0, done.stdout + done.stderr
    except subprocess.TimeoutExpired as error:
        ok, text = False, "timed out: %s" % error
    return name, ok, text, time.monotonic() - began


def main():
    pattern = sys.argv[1] if len(sys.argv) > 1 else ""
    jobs = [(n, [sys.executable, "-m", "unittest", n])
            for n in find_process_tests(pattern)]
    if not pattern:
        jobs = [("unit", [os.path.join(BUILD, "unit"), "--gtest_brief=1"]),
                ("model", [os.path.join(BUILD, "model")]),
                ("model-finds-a-seeded-bug",
                 [os.path.join(BUILD, "model"), "--expect-bug"]),
                ("model-with-equal-ballots",
                 [os.path.join(BUILD, "model"), "--equal-ballots"]),
                ("model-with-a-full-ledger",
                 [os.path.join(BUILD, "model"), "--full-ledger"]),
                ("model-finds-a-fence-that-was-not-recorded",
                 [os.path.join(BUILD, "model"), "--expect-full-bug"])] + jobs
    known_failures = read_known_failures()
    passed, failed, ignored = 0, 0, []
    alone = [j for j in jobs if j[0].startswith(ALONE)]
    others = [j for j in jobs if j not in alone]
    with concurrent.futures.ThreadPoolExecutor(WORKERS) as pool:
        results = itertools.chain(pool.map(lambda j: run(*j), others),
                                  (run(*j) for j in alone))
        for name, ok, text, took in results:
            print("%s %s (%.1f s)" % ("ok  " if ok else "FAIL", name, took),
                  flush=True)
            if ok:
                passed += 1
            elif name in known_failures:
                ignored.append(name)
                print("     known failure, listed in KNOWN-RED.txt")
            else:
                failed += 1
                print(text[-4000:], flush=True)
    for name in ignored:
        print("KNOWN FAILURE: " + name)
    print("%d passed, %d failed%s" % (
        passed, failed, ", %d skipped" % len(ignored) if ignored else ""))
    return 1 if failed or passed == 0 else 0


sys.exit(main())
