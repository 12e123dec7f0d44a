"""Copies this project and the libraries that it needs into a folder, for `make binary`.

The libraries are copied from the virtual environment, into which `make setup` has installed them
with checked hashes, so that the build needs no network.
"""

import shutil
import sys
from importlib.metadata import Distribution, distribution
from pathlib import Path

from packaging.requirements import Requirement

ROOT = Path(__file__).resolve().parent.parent
OWN_PACKAGES = ("shallotshore", "standins")


def find_requirements(names: list[str]) -> dict[str, Distribution]:
    """Returns the named distributions and all distributions that they require, by name."""
    found: dict[str, Distribution] = {}
    while names:
        name = names.pop().lower().replace("_", "-")
        if name in found:
            continue
        found[name] = distribution(name)
        requirements = map(Requirement, found[name].requires or ())
        names += [r.name for r in requirements if not r.marker or r.marker.evaluate({"extra": ""})]
    return found


def copy_distribution_files(source: Distribution, target: Path) -> None:
    """Copies the files of one installed distribution, without scripts and compiled modules."""
    for file in source.files or ():
        if ".." in file.parts or "__pycache__" in file.parts:
            continue
        destination = target / file
        destination.parent.mkdir(parents=True, exist_ok=True)
        shutil.copyfile(str(file.locate()), destination)


def main(target: Path) -> None:
    """Empties the folder and copies the project and its libraries into it."""
    shutil.rmtree(target, ignore_errors=True)
    names = (ROOT / "requirements" / "run.in").read_text().split()
    for library in find_requirements(names).values():
        copy_distribution_files(library, target)
    ignore = shutil.ignore_patterns("__pycache__")
    for package in OWN_PACKAGES:
        shutil.copytree(ROOT / package, target / package, ignore=ignore)


if __name__ == "__main__":
    main(Path(sys.argv[1]))
