"""Signals to a real process of the platform that has not read its settings yet."""

import os
import signal
import subprocess
import sys
import tempfile
import time
import unittest
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
EXIT_USAGE = 2
SIGNALS = 5
SIGNAL_INTERVAL_S = 0.02


class SignalWhileLoadingTest(unittest.TestCase):
    """A process that waits for its settings file, which is a pipe."""

    def test_hangup_while_loading_does_not_end_the_process(self) -> None:
        """Guards against a process that ends, status -1, when its settings change as it starts."""
        with tempfile.TemporaryDirectory() as folder:
            pipe = Path(folder) / "settings"
            os.mkfifo(pipe)
            process = subprocess.Popen(
                [sys.executable, "platform/run.py", "balancer"],
                cwd=ROOT,
                env=os.environ | {"SHALLOTSHORE_NODE_FILE": str(pipe)},
                stderr=subprocess.PIPE,
            )
            # Blocks until the process opens the pipe.
            with open(pipe, "wb") as settings:
                for _ in range(SIGNALS):
                    process.send_signal(signal.SIGHUP)
                    time.sleep(SIGNAL_INTERVAL_S)
                settings.write(b"{}")
            _, problems = process.communicate(timeout=30)
        # The empty settings are read and refused.
        self.assertEqual(EXIT_USAGE, process.returncode)
        self.assertTrue(problems)


if __name__ == "__main__":
    unittest.main()
