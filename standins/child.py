"""Runs the product's command line as a child that ends when its parent does."""

__all__: list[str] = []

import ctypes
import os
import signal
import sys

from shallotshore.main import main

_SET_PARENT_DEATH_SIGNAL = 1  # option of prctl(2)


def run(parent: int, arguments: list[str]) -> int:
    """Runs a subcommand under the eyes of its parent.

    Args:
        parent: Process id of the parent, which may be gone already.
        arguments: Command line after the program's name.
    """
    ctypes.CDLL(None).prctl(_SET_PARENT_DEATH_SIGNAL, signal.SIGKILL)
    return main(arguments) if os.getppid() == parent else 1


if __name__ == "__main__":
    sys.exit(run(int(sys.argv[1]), sys.argv[2:]))
