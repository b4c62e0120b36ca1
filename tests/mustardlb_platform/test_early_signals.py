"""Signals that arrive while a node's process starts."""

import signal
import subprocess
import sys

# Sends a SIGHUP when the node begins to import its libraries, which takes
# most of the time of its start.
SCRIPT = """
import os, runpy, signal, sys


class Finder:
    sent = False

    def find_spec(self, name, path, target=None):
        if name == 'trio' and not self.sent:
            self.sent = True
            os.kill(os.getpid(), signal.SIGHUP)


sys.meta_path.insert(0, Finder())
runpy.run_module('mustardlb_platform', run_name='__main__')
"""


def test_sighup_does_not_end_a_process_that_starts():
    """Guards against an end by a settings change right after the start."""
    ended = subprocess.run(
        [sys.executable, '-c', SCRIPT], env={}, capture_output=True
    )
    # Without settings it ends by itself, later than by the signal.
    assert ended.returncode != -signal.SIGHUP
    assert b'MUSTARDLB_BOOT' in ended.stderr
