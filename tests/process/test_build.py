"""The build: folders that were carried over, and what programs say of theirs."""
import os
import shutil
import subprocess
import tempfile
import unittest

from cluster import BUILD, ROOT, wait_until
from platform_cluster import PlatformCluster

FOLDERS = ["src", "platform", "include", "daemons", "cli", "tools", "examples",
           "tests"]
# File times of sources that were unpacked from an archive, s since 1970.
UNPACKED_AT = 1700000000
PROGRAM = "lagoonvale-runner"


class CarriedOver(unittest.TestCase):
    def setUp(self):
        self.dir = tempfile.mkdtemp(prefix="lagoonvale-build-")
        self.addCleanup(shutil.rmtree, self.dir)
        for name in FOLDERS:
            shutil.copytree(os.path.join(ROOT, name),
                            os.path.join(self.dir, name))
        shutil.copy(os.path.join(ROOT, "Makefile"), self.dir)
        for folder, _, files in os.walk(self.dir):
            for name in files:
                os.utime(os.path.join(folder, name), (UNPACKED_AT,) * 2)

    def path(self, *parts):
        return os.path.join(self.dir, *parts)

    def build(self, flags="-O0"):
        """Returns the version that the program tells, and its time."""
        subprocess.run(["make", "-s", "-j4", "B=out", "CFLAGS=" + flags,
                        "out/" + PROGRAM], cwd=self.dir, check=True,
                       capture_output=True)
        program = self.path("out", PROGRAM)
        told = subprocess.run([program, "--version"], capture_output=True,
                              text=True, check=True).stdout
        return told, os.stat(program).st_mtime_ns

    # Guards against programs of other sources that are taken as built: the
    # cases of review/ play whatever stands in target/.
    def test_other_sources_are_built_whatever_their_times(self):
        before, built_at = self.build()
        self.assertEqual(self.build(), (before, built_at))

        header = self.path("src", "daemon.h")
        with open(header) as f:
            text = f.read()
        self.assertIn('#define LV_VERSION "', text)
        with open(header, "w") as f:
            f.write(text.replace('LV_VERSION "', 'LV_VERSION "other-'))
        os.utime(header, (UNPACKED_AT,) * 2)
        told, built_at = self.build()
        self.assertIn("other-", told)
        self.assertGreater(self.build("-O0 -DOTHER")[1], built_at)


class Told(unittest.TestCase):
    # Guards against a log that does not say which sources its program is of.
    def test_programs_log_what_they_were_built_from(self):
        with open(os.path.join(BUILD, "build-id")) as f:
            expected = "build=" + f.read().strip()
        c = PlatformCluster(entries=1, agents=1)
        self.addCleanup(c.close)
        for process in (c.entries[0], c.agents[0]):
            self.assertTrue(wait_until(lambda: [
                line for line in c.log_of(process).splitlines()
                if "event=started" in line and expected in line.split()]))
