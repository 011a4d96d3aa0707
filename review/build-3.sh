#!/bin/sh
# The stand-ins of the third review, and those of the project that its scripts
# start, are Python programs without a build: checked for syntax only.
set -e
cd "$(dirname "$0")/.."
for f in standins/*.py tools/cluster.py tools/platform_cluster.py \
  review/common-3/*.py review/1[1-5]/*.py; do
  python3 -c 'import sys; compile (open (sys.argv[1]).read (), sys.argv[1], "exec")' "$f"
done
