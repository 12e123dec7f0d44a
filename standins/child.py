"""Runs the product's command line in a child process that is killed when its parent ends."""

__all__: list[str] = []

import ctypes
import os
import signal
import sys

from shallotshore.main import main

_SET_PARENT_DEATH_SIGNAL = 1  # option of prctl(2)


def run(parent: int, arguments: list[str]) -> int:
    """Runs a subcommand that ends with its parent.

    Args:
        parent: Process id of the parent; nothing runs if the parent has ended already.
        arguments: Command line after the program's name.

    Returns:
        The exit status of the subcommand; 1 if the parent has ended already.
    """
    ctypes.CDLL(None).prctl(_SET_PARENT_DEATH_SIGNAL, signal.SIGKILL)
    return main(arguments) if os.getppid() == parent else 1


if __name__ == "__main__":
    sys.exit(run(int(sys.argv[1]), sys.argv[2:]))
