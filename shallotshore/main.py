"""The command line with the commands balancer, agent, check, diff, status, demo and version."""

__all__ = ["main", "run"]

import asyncio
import logging
import os
import random
import sys
import time
from collections.abc import Callable, Sequence
from importlib import import_module

import structlog
from result import Err

from shallotshore import __version__
from shallotshore.application import Application, ApplicationConfig, RunnableCore
from shallotshore.codes import Code
from shallotshore.command_help import is_help_request, render_command_help
from shallotshore.metrics import make_label_function
from shallotshore.security import MacKeys, MaterialError, TlsMaterial
from shallotshore.settings import Problem, Settings, read_settings, report_problems

EXIT_USAGE = 2

USAGE = """usage: shallotshore COMMAND [ARGUMENTS]

  balancer --SETTING=VALUE ...   run a balancer
  agent --SETTING=VALUE ...      run the agent beside an upstream
  check DIRECTORY                list every problem in a directory of records
  check --configuration FILE     list every problem in a configuration of the packet front end
  check --explain CODE           explain a result code
  diff OLD NEW                   show what publishing NEW over OLD changes
  status --address=IP:PORT       show the status report of a process
  demo                           run both users' deployments on loopback
  version                        show the version

COMMAND --help shows the settings, an example and the exit statuses of a command. Each setting can
also be given as the environment variable SHALLOTSHORE_<SETTING>.
"""


def run() -> None:
    """Runs the command line and ends the process."""
    sys.exit(main(sys.argv[1:]))


def main(arguments: Sequence[str]) -> int:
    """Runs one subcommand.

    Args:
        arguments: Command line after the program's name.

    Returns:
        The exit status: 0 on success, 1 on failure, 2 on wrong usage or settings.
    """
    if arguments and is_help_request(arguments[:1]):
        print(USAGE, end="")
        return 0
    command = _COMMANDS.get(arguments[0]) if arguments else None
    if command is None:
        print(USAGE, end="", file=sys.stderr)
        return EXIT_USAGE
    if is_help_request(arguments[1:]):
        print(render_command_help(arguments[0]), end="")
        return 0
    return command(arguments[1:])


def _run_balancer(arguments: Sequence[str]) -> int:
    return _run_process("balancer", arguments, _make_balancer_core)


def _run_agent(arguments: Sequence[str]) -> int:
    return _run_process("agent", arguments, _make_agent_core)


def _make_lazy_command(module: str, name: str) -> Callable[[Sequence[str]], int]:
    """Returns a command that loads its module only when it runs, to save memory in servers."""

    def run_command(arguments: Sequence[str]) -> int:
        return getattr(import_module(module), name)(list(arguments))

    return run_command


def _print_version(arguments: Sequence[str]) -> int:
    print(f"shallotshore {__version__}")
    return 0


def _make_balancer_core(settings: Settings) -> RunnableCore:
    from shallotshore.balancer import BalancerConfig, BalancerCore

    config = BalancerConfig(
        address=settings.address,
        data_centre=settings.data_centre,
        peers=settings.peers,
        configuration=settings.configuration,
        vm_list=settings.vm_list,
    )
    return BalancerCore.from_config(config, random.Random(settings.seed))


def _make_agent_core(settings: Settings) -> RunnableCore:
    from shallotshore.agent import AgentConfig, AgentCore

    assert settings.upstream_address is not None, "required by read_settings"
    config = AgentConfig(
        address=settings.address,
        data_centre=settings.data_centre,
        upstream=settings.name,
        service=settings.service,
        local_upstream=settings.upstream_address,
        incarnation=time.time_ns() // 1_000_000,  # higher than at any earlier start, on any VM
        peers=settings.peers,
    )
    return AgentCore.from_config(config, random.Random(settings.seed))


def _run_process(
    command: str, arguments: Sequence[str], make_core: Callable[[Settings], RunnableCore]
) -> int:
    """Runs a core until a signal ends it."""
    result = read_settings(command, arguments, os.environ)
    if isinstance(result, Err):
        return report_problems(result.err_value)
    settings = result.ok_value
    _configure_logging(settings)
    try:
        config = _make_application_config(command, settings)
    except MaterialError as error:
        return report_problems([Problem(Code.SETTING_VALUE, "mac_keys or tls", str(error))])
    core = make_core(settings)
    config.find_label = make_label_function(core)
    application = Application(core, config)
    try:
        return asyncio.run(application.run())
    except (OSError, RuntimeError) as error:
        return report_problems([Problem(Code.SETTING_VALUE, "address", str(error))])


def _make_application_config(command: str, settings: Settings) -> ApplicationConfig:
    return ApplicationConfig(
        settings.address,
        keys=MacKeys.from_file(settings.mac_keys) if settings.mac_keys else MacKeys.without_key(),
        allowed_plain_source=settings.upstream_address,
        tls=TlsMaterial.from_settings(settings),
        statsd=settings.statsd,
        prefix=f"shallotshore.{command}",
    )


def _configure_logging(settings: Settings) -> None:
    level = getattr(logging, settings.log_level.upper())
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            structlog.processors.JSONRenderer(),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(level),
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
    )


_COMMANDS: dict[str, Callable[[Sequence[str]], int]] = {
    "balancer": _run_balancer,
    "agent": _run_agent,
    "check": _make_lazy_command("shallotshore.operator_commands", "run_check"),
    "diff": _make_lazy_command("shallotshore.operator_commands", "run_diff"),
    "status": _make_lazy_command("shallotshore.operator_commands", "run_status"),
    "demo": _make_lazy_command("standins.demo", "main"),
    "version": _print_version,
}
