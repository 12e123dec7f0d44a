"""Checks a configuration document of the platform before it is sent."""

__all__ = ["ConfigurationFormat", "ConfigurationReport", "check_configuration", "load_format"]

import re
import sys
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from importlib import import_module
from pathlib import Path
from typing import Protocol

from shallotshore.directories import FileProblem
from shallotshore.field_rules import Problem
from shallotshore.packets.configuration_check import check_version, find_problems
from shallotshore.packets.configuration_diff import describe_changes
from shallotshore.packets.declared_configuration import (
    ConfigurationDeclaration,
    DecodedConfiguration,
)

_MAX_DETAIL_CHARACTERS = 500
_FIELD_NAME = re.compile(r"[A-Za-z_]+")
# The adapter is loaded by name, since installations without it use all other commands.
_ADAPTER_MODULE = "adapter.configuration_document"
_ADAPTER_CLASS = "PlatformConfigurationFormat"
_CHECKOUT_FOLDER = Path(__file__).resolve().parent.parent / "platform"


class ConfigurationFormat(Protocol):
    """A platform's format of configuration documents.

    Attributes:
        field_names: The platform's names of fields of the declarations.
    """

    field_names: Mapping[str, str]

    def decode(self, text: bytes) -> DecodedConfiguration:
        """Decodes a document; never raises, whatever the text is."""


@dataclass(slots=True)
class ConfigurationReport:
    """Result of the check of a configuration document.

    Attributes:
        problems: All problems; a configuration in force contributes its own only if it cannot be
            read at all.
        summary: What was read, in one line.
        changes: What differs from the configuration in force, one line each.
    """

    problems: list[FileProblem]
    summary: str
    changes: list[str]

    @property
    def text(self) -> str:
        """The report as text."""
        lines = [problem.line() for problem in self.problems]
        return "\n".join([*lines, self.summary, *self.changes]) + "\n"


def load_format() -> ConfigurationFormat | None:
    """Returns the format of the platform's adapter, or None where the adapter is not installed."""
    folder = str(_CHECKOUT_FOLDER)
    if _CHECKOUT_FOLDER.is_dir() and folder not in sys.path:
        sys.path.append(folder)  # at the end, so that the folder hides no other module
    try:
        module = import_module(_ADAPTER_MODULE)
    except ModuleNotFoundError:
        return None
    return getattr(module, _ADAPTER_CLASS)()


def check_configuration(
    document_format: ConfigurationFormat,
    document: tuple[str, bytes],
    in_force: tuple[str, bytes] | None = None,
) -> ConfigurationReport:
    """Finds all problems of a document and what it changes.

    Args:
        document_format: Format of both documents.
        document: File name and text of the document to be sent.
        in_force: File name and text of the document in force, if the two are to be compared.
    """
    file, text = document
    decoded = document_format.decode(text)
    new = decoded.declaration
    found = find_problems(new) if new is not None else []
    in_force_problems: list[FileProblem] = []
    changes: list[str] = []
    if in_force is not None:
        old = document_format.decode(in_force[1])
        if old.declaration is None:
            in_force_problems = _locate(in_force[0], old.problems, {})
        elif new is not None:
            found += check_version(new, old.declaration)
            changes = _describe_comparison(document_format, old, new)
    problems = [
        *_locate(file, decoded.problems, {}),
        *_locate(file, found, document_format.field_names),
        *in_force_problems,
    ]
    return ConfigurationReport(problems, _summarize(new, len(problems)), changes)


def _describe_comparison(
    document_format: ConfigurationFormat, old: DecodedConfiguration, new: ConfigurationDeclaration
) -> list[str]:
    assert old.declaration is not None, "checked by the caller"
    changes = describe_changes(old.declaration, new, document_format.field_names)
    lines = [f"Changes from version {old.declaration.version} to version {new.version}:"]
    lines += [f"  {change}" for change in changes or ["No route, service or limit changes."]]
    if old.problems:
        lines.append("  Unreadable parts of the version in force are not compared.")
    return lines


def _locate(
    file: str, problems: Sequence[Problem], field_names: Mapping[str, str]
) -> list[FileProblem]:
    """Returns problems with their file, and with their fields renamed.

    Args:
        file: File name of the document.
        problems: Problems of the document.
        field_names: The document's names of fields; others stay as they are.
    """
    located = []
    for problem in problems:
        field = _FIELD_NAME.sub(lambda match: field_names.get(match[0], match[0]), problem.field)
        path = ".".join(part for part in (problem.key, field) if part)
        detail = problem.detail[:_MAX_DETAIL_CHARACTERS]
        located.append(FileProblem(problem.code, file, path, detail))
    return located


def _summarize(configuration: ConfigurationDeclaration | None, problem_count: int) -> str:
    routes = len(configuration.routes) if configuration is not None else 0
    services = len(configuration.services) if configuration is not None else 0
    plural = "" if problem_count == 1 else "s"
    return f"{routes} routes and {services} services read, {problem_count} problem{plural}"
