#!/bin/sh
# Builds what the scripts of the cases start beside the project's programs: the
# stand-ins of common/standins.py, which need Python 3 and nothing else.
cd "$(dirname "$0")" || exit 1
command -v python3 >/dev/null || { echo "python3 is missing" >&2; exit 1; }
for file in common/*.py */case.py; do
  python3 -c 'import ast, sys
ast.parse(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1])' "$file" \
    || exit 1
done
python3 -c 'import asyncio, base64, json, struct' || exit 1
