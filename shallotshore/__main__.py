"""Runs the command line: `python -m shallotshore`."""

from shallotshore.main import run

__all__: list[str] = []

if __name__ == "__main__":
    run()
