"""Runs the measurements, prints a table and writes build/bench.json."""

import importlib
import json
import sys
import time
from pathlib import Path

from bench.targets import TARGETS, check_target

MODULES = (
    "decision",
    "forwarding",
    "catalog",
    "propagation",
    "memory",
    "agent",
    "messages",
    "policies",
    "packets",
)
RESULTS_PATH = Path("build/bench.json")


def measure(names: list[str]) -> dict[str, float]:
    """Runs the named modules and returns all their figures, prefixed by module name."""
    figures: dict[str, float] = {}
    for name in names:
        start = time.monotonic()
        module = importlib.import_module(f"bench.{name}")
        for key, value in module.run().items():
            figures[f"{name}.{key}"] = value
        print(f"{name}: {time.monotonic() - start:.1f} s", file=sys.stderr, flush=True)
    return figures


def print_table(figures: dict[str, float]) -> None:
    """Prints one line a figure: name, value, target, verdict."""
    width = max(len(name) for name in figures)
    for name, figure in figures.items():
        target = TARGETS.get(name)
        bound = (
            "" if target is None else f"{'>=' if target.is_lower_bound else '<='} {target.bound:g}"
        )
        print(f"{name:{width}}  {figure:14.4g}  {bound:>10}  {check_target(name, figure)}".rstrip())


def main(names: list[str]) -> int:
    """Measures all modules or the named ones; a missed target does not change the exit status."""
    figures = measure(names or list(MODULES))
    RESULTS_PATH.parent.mkdir(exist_ok=True)
    RESULTS_PATH.write_text(json.dumps(figures, indent=2) + "\n", encoding="utf-8")
    print_table(figures)
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
