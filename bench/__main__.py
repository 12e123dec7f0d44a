"""Runs the benchmarks, prints a table of their figures and writes build/bench.json."""

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
    """Runs the named benchmark modules.

    Args:
        names: Names of modules in this package.

    Returns:
        Figures by name, prefixed by the name of their module.
    """
    figures: dict[str, float] = {}
    for name in names:
        start = time.monotonic()
        module = importlib.import_module(f"bench.{name}")
        for key, value in module.run().items():
            figures[f"{name}.{key}"] = value
        print(f"{name}: {time.monotonic() - start:.1f} s", file=sys.stderr, flush=True)
    return figures


def print_table(figures: dict[str, float]) -> None:
    """Prints a line for each figure: name, value, target, and whether the target is met."""
    width = max(len(name) for name in figures)
    for name, figure in figures.items():
        target = TARGETS.get(name)
        bound = (
            "" if target is None else f"{'>=' if target.is_lower_bound else '<='} {target.bound:g}"
        )
        print(f"{name:{width}}  {figure:14.4g}  {bound:>10}  {check_target(name, figure)}".rstrip())


def main(names: list[str]) -> int:
    """Runs the named benchmarks or all.

    Args:
        names: Names of benchmark modules; all run when there is none.

    Returns:
        Exit status, which is 0 even if a target was missed.
    """
    figures = measure(names or list(MODULES))
    RESULTS_PATH.parent.mkdir(exist_ok=True)
    RESULTS_PATH.write_text(json.dumps(figures, indent=2) + "\n", encoding="utf-8")
    print_table(figures)
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
