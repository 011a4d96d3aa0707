#!/usr/bin/env python3
"""Writes the man pages and the completion for bash from what the programs
print for --help.

manpages.py DIRECTORY   one page for each program; also for each command of
                        lagoonvale

The programs are those of LV_BUILD, build/ by default.
"""
import os
import re
import subprocess
import sys

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
BUILD = os.environ.get("LV_BUILD", os.path.join(ROOT, "build"))
# Program: what it is.
PROGRAMS = {
    "lagoonvale": "client of the dispatcher for operators and callers",
    "lagoonvale-entry": "accepts submissions and dispatches their tasks",
    "lagoonvale-agent": "starts tasks at a backend server",
    "lagoonvale-dispatcher": "dispatcher on the platform",
    "lagoonvale-runner": "runs tasks at a minion of the platform",
    "lagoonvale-load": "open-loop load generator",
}
# An option, argument, setting or command and its description; a name as wide as
# its column is followed by one space.
ROW = re.compile(r"^  (\S+(?: \S+)*?|\S{24,})(?:  +|(?<=\S{24}) )(\S.*)$")


def help_of(program, *command):
    argv = [os.path.join(BUILD, program), *command, "--help"]
    return subprocess.run(argv, capture_output=True, text=True,
                          check=True).stdout


def commands():
    rows = map(ROW.match, help_of("lagoonvale").splitlines())
    return [row.group(1) for row in rows if row]


def escape(text):
    return text.replace("\\", "\\e").replace("-", "\\-")


def item(name, text):
    return ".TP\n.B %s\n%s\n" % (escape(name), escape(text))


def section(title, lines):
    """A help text: rows become items, other lines paragraphs."""
    out = ".SH %s\n" % title
    for line in lines:
        row = ROW.match(line)
        out += item(*row.groups()) if row else ".PP\n%s\n" % escape(line)
    return out


def page(program):
    usage, *lines = help_of(program).splitlines()
    rows = [n for n, line in enumerate(lines) if line.startswith("Settings ")]
    settings = rows[0] if rows else len(lines)
    text = '.TH "%s" 1 "" lagoonvale\n' % program.upper()
    text += ".SH NAME\n%s \\- %s\n" % (escape(program), PROGRAMS[program])
    text += ".SH SYNOPSIS\n%s\n" % escape(usage.replace("Usage: ", ""))
    text += section("OPTIONS", lines[:settings])
    if rows:
        text += section("SETTINGS", lines[settings:])
    for command in commands() if program == "lagoonvale" else ():
        usage, *lines = help_of(program, command).splitlines()
        text += section(command.upper(), [usage] + lines)
    return text


def completion():
    """A script for bash: the commands, then their options and files."""
    cases = ""
    for command in commands():
        text = help_of("lagoonvale", command)
        words = re.findall(r"(?<![\w-])--[a-z-]+", text)
        verbs = re.search(r"Usage: lagoonvale \w+ (\w+(?:\|\w+)+)", text)
        words += verbs.group(1).split("|") if verbs else []
        cases += "    %s) words=\"%s\" ;;\n" % (
            command, " ".join(sorted(set(words))))
    return COMPLETION % (" ".join(commands()), cases)


COMPLETION = """\
# Completion of lagoonvale for bash, written by make man.
_lagoonvale ()
{
  local words="%s --help --version"
  local last="${COMP_WORDS[COMP_CWORD]}"
  COMPREPLY=()
  if [ "$COMP_CWORD" -gt 1 ]; then
    words=""
    case "${COMP_WORDS[1]}" in
%s    esac
    mapfile -t COMPREPLY < <(compgen -f -- "$last")
  fi
  mapfile -t -O "${#COMPREPLY[@]}" COMPREPLY < <(compgen -W "$words" -- "$last")
}
complete -o filenames -F _lagoonvale lagoonvale
"""


def main():
    directory = sys.argv[1]
    os.makedirs(directory, exist_ok=True)
    for program in PROGRAMS:
        with open(os.path.join(directory, program + ".1"), "w") as f:
            f.write(page(program))
    with open(os.path.join(directory, "lagoonvale.bash"), "w") as f:
        f.write(completion())


if __name__ == "__main__":
    main()
