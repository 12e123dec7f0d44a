"""The subcommands that operators run by hand: check, diff and status."""

__all__ = ["EXIT_FAILED", "EXIT_USAGE", "run_check", "run_diff", "run_status"]

import argparse
import asyncio
import os
import sys
from collections.abc import Sequence
from pathlib import Path

from result import Err

from shallotshore.check import check_directory, explain_code
from shallotshore.codes import Code
from shallotshore.configuration_report import check_configuration, load_format
from shallotshore.control import CallFailedError, ControlClient
from shallotshore.control_messages import StatusRequest
from shallotshore.diff import diff_directories
from shallotshore.security import MaterialError, TlsMaterial
from shallotshore.settings import Settings, read_settings, report_problems
from shallotshore.status import render_text
from shallotshore.systems import Counters

EXIT_FAILED = 1
EXIT_USAGE = 2
_EXPLAIN_OPTION = "--explain"
_CONFIGURATION_OPTION = "--configuration"
_IN_FORCE_OPTION = "--in-force"
_CHECK_USAGE = (
    "check DIRECTORY, check --configuration FILE [--in-force FILE], or check --explain CODE"
)


def run_check(arguments: Sequence[str]) -> int:
    """Checks a directory of records or a configuration document, or explains a result code.

    Args:
        arguments: `DIRECTORY`, `--configuration FILE [--in-force FILE]` or `--explain CODE`.

    Returns:
        The exit status: 0 without problems, 1 with problems, 2 on wrong usage.
    """
    words = [word for argument in arguments for word in argument.split("=", 1)]
    if len(words) == 2 and words[0] == _EXPLAIN_OPTION and words[1].isdigit():
        print(explain_code(int(words[1])), end="")
        return 0
    if {_CONFIGURATION_OPTION, _IN_FORCE_OPTION} & set(words):
        return _run_configuration_check(arguments)
    if len(arguments) != 1 or not _are_directories(arguments):
        return _print_usage(_CHECK_USAGE)
    report = check_directory(arguments[0])
    print(report.text, end="")
    return EXIT_FAILED if report.problems else 0


def run_diff(arguments: Sequence[str]) -> int:
    """Shows what changes when one directory of records is published over another.

    Args:
        arguments: `OLD NEW`: the directory in force and the one to publish over it.

    Returns:
        The exit status: 0, or 2 on wrong usage.
    """
    if len(arguments) != 2 or not _are_directories(arguments):
        return _print_usage("diff OLD NEW, both directories of records")
    print(diff_directories(*arguments), end="")
    return 0


def run_status(arguments: Sequence[str]) -> int:
    """Shows the status report of a process.

    Args:
        arguments: Settings; `--address` names the process.

    Returns:
        The exit status: 0, 1 when the process does not answer, 2 for wrong settings.
    """
    settings = read_settings("status", arguments, os.environ)
    if isinstance(settings, Err):
        return report_problems(settings.err_value)
    try:
        return asyncio.run(_print_status(settings.ok_value))
    except (CallFailedError, MaterialError) as error:
        print(error, file=sys.stderr)
        return EXIT_FAILED


def _run_configuration_check(arguments: Sequence[str]) -> int:
    """Checks a configuration document, and compares it with the one in force if it is given."""
    parser = argparse.ArgumentParser("shallotshore check", add_help=False, allow_abbrev=False)
    parser.add_argument(_CONFIGURATION_OPTION, required=True, metavar="FILE")
    parser.add_argument(_IN_FORCE_OPTION, metavar="FILE")
    try:
        options = parser.parse_args(arguments)
        files = [options.configuration]
        if options.in_force is not None:
            files.append(options.in_force)
        documents = [(file, Path(file).read_bytes()) for file in files]
    except SystemExit:  # the parser has printed the usage
        return EXIT_USAGE
    except (OSError, ValueError) as error:  # a ValueError for a null character in a path
        code = Code.RECORD_UNREADABLE
        print(f"{code.value} {code.name}: {error}", file=sys.stderr)
        return EXIT_USAGE
    document_format = load_format()
    if document_format is None:
        hint = "run the command in a checkout, or put the folder platform/ on PYTHONPATH"
        print(f"the adapter of the platform is not installed: {hint}", file=sys.stderr)
        return EXIT_USAGE
    report = check_configuration(document_format, *documents)
    _print_escaped(report.text)
    return EXIT_FAILED if report.problems else 0


def _print_escaped(text: str) -> None:
    """Prints a text, with escapes for characters that the encoding of the output lacks."""
    encoding = sys.stdout.encoding or "utf-8"
    print(text.encode(encoding, "backslashreplace").decode(encoding), end="")


async def _print_status(settings: Settings) -> int:
    tls = TlsMaterial.from_settings(settings)
    client = ControlClient(("0.0.0.0", 0), tls, Counters())
    try:
        reply = await client.status(settings.address, StatusRequest(settings.detail))
    finally:
        await client.close()
    as_json = settings.json or settings.format == "json"
    print(reply.text.decode() if as_json else render_text(reply))
    return 0


def _are_directories(paths: Sequence[str]) -> bool:
    return all(Path(path).is_dir() for path in paths)


def _print_usage(text: str) -> int:
    print(f"usage: shallotshore {text}", file=sys.stderr)
    return EXIT_USAGE
