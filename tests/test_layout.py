"""Rules about which module may import which."""

import ast
import unittest
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
PACKAGES = {"shallotshore": ROOT, "standins": ROOT, "adapter": ROOT / "platform"}
MAX_LINES = 500  # of a module


def find_modules() -> dict[str, Path]:
    """Returns the files of all modules by name."""
    modules = {}
    for package, folder in PACKAGES.items():
        for path in (folder / package).rglob("*.py"):
            parts = path.relative_to(folder).with_suffix("").parts
            modules[".".join(parts).removesuffix(".__init__")] = path
    return modules


def find_imports(path: Path, modules: dict[str, Path]) -> set[str]:
    """Returns the project's modules that a file imports, also those only for type checks."""
    found: set[str] = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            found.update(alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom) and node.module:
            found.add(node.module)
            found.update(f"{node.module}.{alias.name}" for alias in node.names)
    return found & modules.keys()


class ImportTest(unittest.TestCase):
    """Imports between the project's modules."""

    def setUp(self) -> None:
        self.modules = find_modules()
        self.imports = {
            name: find_imports(path, self.modules) - {name} for name, path in self.modules.items()
        }

    def test_there_are_no_import_circles(self) -> None:
        """Guards against modules that can only be understood together."""
        remaining = dict(self.imports)
        while True:
            leaves = {name for name, needed in remaining.items() if not needed & remaining.keys()}
            if not leaves:
                break
            for name in leaves:
                del remaining[name]
        self.assertEqual([], sorted(remaining))

    def test_the_product_imports_neither_stand_ins_nor_the_adapter(self) -> None:
        """Guards against decisions that depend on the platform's encoding or on tests."""
        # The demo is a subcommand that runs the stand-ins.
        allowed = {"standins.demo"}
        for name, needed in self.imports.items():
            if name.startswith("shallotshore"):
                outer = {n for n in needed if not n.startswith("shallotshore")} - allowed
                self.assertEqual(set(), outer - {"standins"}, name)

    def test_modules_are_small(self) -> None:
        """Guards against modules that take on a second job."""
        for name, path in self.modules.items():
            self.assertLessEqual(len(path.read_text().splitlines()), MAX_LINES, name)


if __name__ == "__main__":
    unittest.main()
