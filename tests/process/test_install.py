"""The product as it is installed: man pages, library, headers, pkg-config."""
import os
import subprocess
import sys
import tempfile
import unittest

from cluster import BUILD, ROOT


def run(*argv, **more):
    return subprocess.run(argv, capture_output=True, text=True, timeout=120,
                          **more)


class Installation(unittest.TestCase):
    # Guards against man pages that tell other options and settings than the
    # programs take.
    def test_man_pages_follow_the_help(self):
        with tempfile.TemporaryDirectory() as new:
            done = run(sys.executable, os.path.join(ROOT, "tools/manpages.py"),
                       new, env=dict(os.environ, LV_BUILD=BUILD))
            self.assertEqual(done.returncode, 0, done.stderr)
            done = run("diff", "-r", os.path.join(ROOT, "man"), new)
            self.assertEqual(done.stdout, "", "make man")

    # Guards against a completion that bash cannot read, or that offers other
    # commands and options than the program takes.
    def test_bash_completes_commands_options_and_files(self):
        cases = [(["rep"], ["report"]), (["rules", "sh"], ["show"]),
                 (["submit", "--ent"], ["--entry"]),
                 (["explain", "READ"], ["README.md"]), (["nothing", "--"], [])]
        for words, expected in cases:
            with self.subTest(words=words):
                script = ("source man/lagoonvale.bash; COMP_WORDS=(lagoonvale %s); "
                          "COMP_CWORD=%d; _lagoonvale; echo ${COMPREPLY[@]}" % (
                              " ".join(words), len(words)))
                done = run("bash", "-euc", script, cwd=ROOT)
                self.assertEqual(done.stdout.split(), expected, done.stderr)

    # Guards against an installed library that cannot be built against: missing
    # headers, or a .pc file that names too little.
    def test_an_example_builds_against_the_installed_library(self):
        with tempfile.TemporaryDirectory() as prefix:
            done = run("make", "-s", "install", "PREFIX=" + prefix,
                       "B=" + os.path.relpath(BUILD, ROOT), cwd=ROOT)
            self.assertEqual(done.returncode, 0, done.stdout + done.stderr)
            env = dict(os.environ, PKG_CONFIG_PATH=os.path.join(
                prefix, "lib/pkgconfig"))
            flags = run("pkg-config", "--cflags", "--libs", "lagoonvale",
                        env=env).stdout.split()
            program = os.path.join(prefix, "queue")
            done = run("gcc", "-o", program,
                       os.path.join(ROOT, "examples/queue.c"), *flags,
                       cwd=prefix)
            self.assertEqual(done.returncode, 0, done.stderr)
            done = run(program)
            self.assertEqual(done.returncode, 0, done.stderr)
            self.assertTrue(done.stdout)
            page = os.path.join(prefix, "share/man/man1/lagoonvale.1")
            self.assertTrue(os.path.exists(page))


if __name__ == "__main__":
    unittest.main()
