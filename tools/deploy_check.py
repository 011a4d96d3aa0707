#!/usr/bin/env python3
"""Renders the templates under deploy/ with example fields, as the platform does,
and checks the results with the built programs."""
import json
import os
import re
import subprocess
import sys
import tempfile

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
FIELDS = {
    "node_name": "edge-1", "zone": "z1", "ip": "10.0.0.1",
    "service": "cutting", "app": "10.0.0.1:8165",
    "listen_addrs": {"front": "10.0.0.1:8161", "ready_addr": "10.0.0.1:8167",
                     "control": "10.0.0.1:8166"},
    "seeds": ["10.0.0.1:8166", "10.0.0.2:8166"],
    "platform": {"address": "10.0.0.9:8169"},
    "heartbeat_ms": 1500,
    "bounds": {"max_hold_ms": 1000, "contact_ms": 3000, "stop_ms": 50},
}
PROGRAMS = {"entry.json": "lagoonvale-dispatcher",
            "agent.json": "lagoonvale-runner"}


def find(name, fields):
    """The value of NAME, None if there is none."""
    for part in name.split("."):
        fields = (fields or {}).get(part)
    return fields


def look_up(name, fields):
    value = find(name, fields)
    return "" if value is None else str(value)


def render_section(match, fields):
    value = find(match.group(1), fields)
    rows = value if isinstance(value, list) else [str(value)] * bool(value)
    return "".join(match.group(2).replace("{{.}}", row).replace(
        "{{,}}", "," if i + 1 < len(rows) else "")
        for i, row in enumerate(rows))


def render(text, fields):
    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}",
                  lambda m: render_section(m, fields), text, flags=re.S)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda m: look_up(m.group(1), fields),
                  text)


def main():
    failed = 0
    with tempfile.TemporaryDirectory() as directory:
        for template, program in PROGRAMS.items():
            for seeds, more in ((FIELDS["seeds"], {}),
                                ([], {"evacuate_ms": 5000})):
                fields = dict(FIELDS, seeds=seeds,
                              bounds=dict(FIELDS["bounds"], **more))
                with open(os.path.join(ROOT, "deploy/templates",
                                       template)) as f:
                    text = render(f.read(), fields)
                json.loads(text)
                path = os.path.join(directory, template)
                with open(path, "w") as f:
                    f.write(text)
                failed += subprocess.run(
                    [os.path.join(ROOT, "target", program), "--check",
                     path]).returncode != 0
    return failed


if __name__ == "__main__":
    sys.exit(main())
