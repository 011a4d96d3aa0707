#!/bin/sh
# Prepares what the scripts of review/6 to review/10 start beside the programs
# of the deploy file: the project's stand-ins and review/common-2, all Python.
# There is nothing to compile; this checks that each of them can be read.
set -e
cd "$(dirname "$0")/.."
out=$(mktemp -d)
trap 'rm -rf "$out"' EXIT
for f in standins/httpd.py standins/platform_minion.py \
  standins/platform_store.py tools/cluster.py \
  tools/platform_cluster.py review/common-2/*.py; do
  python3 - "$f" "$out" <<'P'
import py_compile, sys
py_compile.compile(sys.argv[1], sys.argv[2] + "/x.pyc", doraise=True)
P
done
for p in target/lagoonvale-dispatcher target/lagoonvale-runner; do
  test -x "$p" || echo "note: $p is missing; run the build of deploy/system.toml"
done
