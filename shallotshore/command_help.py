"""Help texts of the subcommands."""

__all__ = ["is_help_request", "render_command_help"]

from collections.abc import Sequence
from typing import NamedTuple

from shallotshore.settings import ENVIRONMENT_PREFIX, describe_settings

_HELP_WORDS = ("--help", "-h", "help")


class _CommandHelp(NamedTuple):
    """What a subcommand does, how it is called, and its exit statuses."""

    usage: str
    purpose: str
    example: str
    exit_statuses: str


_PROCESS_STATUSES = "0 after a stop, 1 on failure, 2 for wrong settings"
_COMMANDS = {
    "balancer": _CommandHelp(
        "balancer --SETTING=VALUE ...",
        "Runs a balancer until SIGTERM; open requests are finished first.",
        "balancer --address=127.0.0.1:7000 --data_centre=bud-a --configuration=127.0.0.1:6000",
        _PROCESS_STATUSES,
    ),
    "agent": _CommandHelp(
        "agent --SETTING=VALUE ...",
        "Runs the agent beside one upstream until SIGTERM; its claims are handed on first.",
        "agent --address=127.0.0.1:7100 --data_centre=bud-a --name=spend-stream-1"
        " --service=spend-stream --upstream_address=127.0.0.1:8000",
        _PROCESS_STATUSES,
    ),
    "check": _CommandHelp(
        "check DIRECTORY, check --configuration FILE [--in-force FILE], or check --explain CODE",
        "Lists every problem in a directory of records or in the platform's configuration\n"
        "document, or explains a result code. --in-force also shows what a document changes.\n"
        "The platform's format is read by its adapter in platform/, which a checkout contains;\n"
        "elsewhere that folder has to be on PYTHONPATH.",
        "check --configuration next.json --in-force current.json",
        "0 without problems, 1 with problems, 2 for wrong usage",
    ),
    "diff": _CommandHelp(
        "diff OLD NEW",
        "Shows what publishing the records of NEW over those of OLD changes.",
        "diff published edited",
        "0 on success, 2 for wrong usage or unreadable records",
    ),
    "status": _CommandHelp(
        "status --address=IP:PORT",
        "Shows the status report of a balancer or an agent.",
        "status --address=127.0.0.1:7000 --json",
        "0 on success, 1 when the process does not answer, 2 for wrong settings",
    ),
    "demo": _CommandHelp(
        "demo [--users=NAME,NAME] [--seed=NUMBER]",
        "Runs both users' deployments on loopback and prints what their customers get.",
        "demo --users=vatulele",
        "0 when all promises were kept, 1 when one was broken, 2 for wrong usage, 3 when the"
        " machine is too slow to tell",
    ),
    "version": _CommandHelp("version", "Shows the version.", "version", "0"),
}


def is_help_request(arguments: Sequence[str]) -> bool:
    """Whether the command line after a subcommand asks for help."""
    return any(argument in _HELP_WORDS for argument in arguments)


def render_command_help(command: str) -> str:
    """Returns the help text of a subcommand.

    Args:
        command: A subcommand that exists.
    """
    text = _COMMANDS[command]
    lines = [
        f"usage: shallotshore {text.usage}",
        "",
        text.purpose,
        "",
        f"Example: shallotshore {text.example}",
        f"Exit status: {text.exit_statuses}.",
    ]
    settings = describe_settings(command)
    if settings:
        lines += [
            "",
            f"Settings, each also an environment variable {ENVIRONMENT_PREFIX}<SETTING>:",
            *(f"  {line}" for line in settings),
        ]
    return "\n".join(lines) + "\n"
