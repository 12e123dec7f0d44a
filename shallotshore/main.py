"""The command line: balancer, agent, check, diff, status, demo and version."""

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
from shallotshore.control import ControlClient, PeerRefusedError
from shallotshore.messages import StatusRequest
from shallotshore.security import MacKeys, MaterialError, TlsFiles, TlsMaterial
from shallotshore.settings import Problem, Settings, read_settings
from shallotshore.status import render_text
from shallotshore.systems import Counters

EXIT_FAILED = 1
EXIT_USAGE = 2

USAGE = """usage: shallotshore COMMAND [ARGUMENTS]

  balancer --SETTING=VALUE ...   run a balancer
  agent --SETTING=VALUE ...      run the agent beside an upstream
  check FILE ...                 list every problem in records
  diff OLD NEW                   show what a change of records does
  status --address=IP:PORT       show the status report of a process
  demo                           run both users' deployments on loopback
  version                        show the version

Each setting can also be given as the environment variable SHALLOTSHORE_<SETTING>.
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
    command = _COMMANDS.get(arguments[0]) if arguments else None
    if command is None:
        print(USAGE, end="", file=sys.stderr)
        return EXIT_USAGE
    return command(arguments[1:])


def _balancer(arguments: Sequence[str]) -> int:
    return _serve("balancer", arguments, _balancer_core)


def _agent(arguments: Sequence[str]) -> int:
    return _serve("agent", arguments, _agent_core)


def _tool(module: str) -> Callable[[Sequence[str]], int]:
    """Returns a command that loads its module only when run, to keep servers small."""

    def start(arguments: Sequence[str]) -> int:
        return import_module(module).main(list(arguments))

    return start


def _version(arguments: Sequence[str]) -> int:
    print(f"shallotshore {__version__}")
    return 0


def _status(arguments: Sequence[str]) -> int:
    settings = read_settings("status", arguments, os.environ)
    if isinstance(settings, Err):
        return _report_problems(settings.err_value)
    try:
        return asyncio.run(_show_status(settings.ok_value))
    except (PeerRefusedError, MaterialError) as error:
        print(error, file=sys.stderr)
        return EXIT_FAILED


async def _show_status(settings: Settings) -> int:
    client = ControlClient(("0.0.0.0", 0), _tls(settings), Counters())
    try:
        reply = await client.status(settings.address, StatusRequest(settings.detail))
    finally:
        await client.close()
    print(reply.text.decode() if settings.format == "json" else render_text(reply))
    return 0


def _balancer_core(settings: Settings) -> RunnableCore:
    module = import_module("shallotshore.balancer")
    config = module.BalancerConfig(
        address=settings.address,
        data_centre=settings.data_centre,
        peers=settings.peers,
        configuration=settings.configuration,
        vm_list=settings.vm_list,
    )
    return module.BalancerCore.from_config(config, random.Random(settings.seed))


def _agent_core(settings: Settings) -> RunnableCore:
    from shallotshore.agent import AgentConfig, AgentCore

    assert settings.upstream_address is not None, "required by read_settings"
    config = AgentConfig(
        address=settings.address,
        data_centre=settings.data_centre,
        upstream=settings.name,
        service=settings.service,
        local=settings.upstream_address,
        incarnation=time.time_ns() // 1_000_000,  # rises with each start, also on a new VM
        peers=settings.peers,
    )
    return AgentCore.from_config(config, random.Random(settings.seed))


def _serve(
    command: str, arguments: Sequence[str], make_core: Callable[[Settings], RunnableCore]
) -> int:
    """Runs a core until a signal ends it."""
    read = read_settings(command, arguments, os.environ)
    if isinstance(read, Err):
        return _report_problems(read.err_value)
    settings = read.ok_value
    _set_up_logs(settings)
    try:
        config = _application_config(command, settings)
    except MaterialError as error:
        return _report_problems([Problem(Code.SETTING_VALUE, "mac_keys or tls", str(error))])
    application = Application(make_core(settings), config)
    try:
        return asyncio.run(application.run())
    except (OSError, RuntimeError) as error:
        return _report_problems([Problem(Code.SETTING_VALUE, "address", str(error))])


def _application_config(command: str, settings: Settings) -> ApplicationConfig:
    return ApplicationConfig(
        settings.address,
        keys=MacKeys.from_file(settings.mac_keys) if settings.mac_keys else MacKeys.without_key(),
        plain_from=settings.upstream_address,
        tls=_tls(settings),
        statsd=settings.statsd,
        prefix=f"shallotshore.{command}",
    )


def _tls(settings: Settings) -> TlsMaterial | None:
    authority, certificate = settings.tls_authority, settings.tls_certificate
    if authority is None or certificate is None or settings.tls_key is None:
        return None
    return TlsMaterial(TlsFiles(authority, certificate, settings.tls_key, settings.tls_name))


def _report_problems(problems: list[Problem]) -> int:
    for problem in problems:
        print(problem, file=sys.stderr)
    return EXIT_USAGE


def _set_up_logs(settings: Settings) -> None:
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
    "balancer": _balancer,
    "agent": _agent,
    "check": _tool("shallotshore.check"),
    "diff": _tool("shallotshore.diff"),
    "status": _status,
    "demo": _tool("standins.demo"),
    "version": _version,
}
