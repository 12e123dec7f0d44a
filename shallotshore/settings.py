"""Settings of a process: absl flags, each also an environment variable SHALLOTSHORE_<FLAG>."""

__all__ = [
    "ENVIRONMENT_PREFIX",
    "Problem",
    "Settings",
    "describe_settings",
    "parse_address",
    "read_settings",
    "report_problems",
]

import ipaddress
import sys
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any, NamedTuple

from absl import flags
from result import Err, Ok, Result

from shallotshore.codes import Code
from shallotshore.messages import Address
from shallotshore.security import is_loopback

ENVIRONMENT_PREFIX = "SHALLOTSHORE_"
BALANCER = "balancer"
AGENT = "agent"
STATUS = "status"
_ALL = (BALANCER, AGENT, STATUS)
_LOG_LEVELS = ("debug", "info", "warning", "error")
_FORMATS = ("text", "json")
_FLAGS_WITHOUT_VALUE = ("--json", "--plain_text")

Parser = Callable[[str], Result[Any, str]]


class Problem(NamedTuple):
    """One wrong setting."""

    code: Code
    setting: str
    text: str

    def __str__(self) -> str:
        return f"{self.code.value} {self.code.name}: --{self.setting}: {self.text}"


@dataclass(slots=True)
class Settings:
    """All settings of a process, checked; None where a setting is not given."""

    address: Address
    name: str = ""
    data_centre: str = ""
    peers: tuple[Address, ...] = ()
    configuration: tuple[Address, ...] = ()
    vm_list: tuple[Address, ...] = ()
    service: str = ""
    upstream_address: Address | None = None
    mac_keys: Path | None = None
    tls_authority: Path | None = None
    tls_certificate: Path | None = None
    tls_key: Path | None = None
    tls_name: str = "shallotshore"
    plain_text: bool = False
    statsd: Address | None = None
    log_level: str = "info"
    seed: int | None = None
    format: str = "text"
    json: bool = False
    detail: int = 1


def parse_address(text: str) -> Result[Address, str]:
    """Parses `IP:PORT`; an IPv6 address has to be in brackets."""
    host, _, port = text.rpartition(":")
    host = host.removeprefix("[").removesuffix("]")
    try:
        ipaddress.ip_address(host)
        number = int(port)
    except ValueError:
        return Err(f'"{text}" is not an IP number and a port, such as 127.0.0.1:7000')
    if not 1 <= number <= 65535:
        return Err(f"port {number} is not between 1 and 65535")
    return Ok((host, number))


def _parse_addresses(text: str) -> Result[tuple[Address, ...], str]:
    addresses = []
    for part in filter(None, text.split(",")):
        address = parse_address(part.strip())
        if isinstance(address, Err):
            return address
        addresses.append(address.ok_value)
    return Ok(tuple(addresses))


def _parse_name(text: str) -> Result[str, str]:
    return Ok(text) if text and text.isprintable() else Err("a name must be printable, not empty")


def _parse_file(text: str) -> Result[Path, str]:
    path = Path(text)
    return Ok(path) if path.is_file() else Err(f'"{text}" is not a file')


def _parse_switch(text: str) -> Result[bool, str]:
    known = {"true": True, "1": True, "yes": True, "false": False, "0": False, "no": False}
    value = known.get(text.lower())
    return Err(f'"{text}" is neither true nor false') if value is None else Ok(value)


def _parse_number(text: str) -> Result[int, str]:
    return Ok(int(text)) if text.isascii() and text.isdigit() else Err(f'"{text}" is not a number')


def _make_choice_parser(*choices: str) -> Parser:
    def parse(text: str) -> Result[str, str]:
        return Ok(text) if text in choices else Err(f'"{text}" is none of {", ".join(choices)}')

    return parse


class _Spec(NamedTuple):
    """One setting: its parser, its help text, the subcommands that require it and that use it."""

    name: str
    parse: Parser
    help: str
    required_by: tuple[str, ...] = ()
    used_by: tuple[str, ...] = (BALANCER, AGENT)


_SPECS = (
    _Spec("address", parse_address, "IP:PORT of the process.", _ALL, _ALL),
    _Spec("name", _parse_name, "Name of this VM, and of an agent's upstream.", (AGENT,)),
    _Spec("data_centre", _parse_name, "Data centre of this process.", (BALANCER, AGENT)),
    _Spec("peers", _parse_addresses, "Balancers to contact first, as IP:PORT,IP:PORT."),
    _Spec("configuration", _parse_addresses, "Configuration service, as IP:PORT,IP:PORT."),
    _Spec("vm_list", _parse_addresses, "Service that lists the VMs, as IP:PORT,IP:PORT."),
    _Spec("service", _parse_name, "Service of the agent's upstream.", (AGENT,), (AGENT,)),
    _Spec(
        "upstream_address", parse_address, "IP:PORT of the agent's upstream.", (AGENT,), (AGENT,)
    ),
    _Spec("mac_keys", _parse_file, "File of one or two keys in hexadecimal, one a line."),
    _Spec(
        "tls_authority",
        _parse_file,
        "PEM file of the authority that signs all processes.",
        (),
        _ALL,
    ),
    _Spec("tls_certificate", _parse_file, "PEM file of this process's certificate.", (), _ALL),
    _Spec("tls_key", _parse_file, "PEM file of this process's private key.", (), _ALL),
    _Spec("tls_name", _parse_name, "Name that the certificates of all processes carry.", (), _ALL),
    _Spec("plain_text", _parse_switch, "Allow traffic without keys outside loopback."),
    _Spec("statsd", parse_address, "IP:PORT of the statsd server."),
    _Spec("log_level", _make_choice_parser(*_LOG_LEVELS), f"One of {', '.join(_LOG_LEVELS)}."),
    _Spec("seed", _parse_number, "Seed of random choices, for tests."),
    _Spec(
        "format",
        _make_choice_parser(*_FORMATS),
        "Format of the status report: text or json.",
        (),
        (STATUS,),
    ),
    _Spec(
        "json",
        _parse_switch,
        "Print the status report as JSON, as --format=json does.",
        (),
        (STATUS,),
    ),
    _Spec(
        "detail",
        _parse_number,
        "Detail of the status report; 0 leaves counters out.",
        (),
        (STATUS,),
    ),
)


def read_settings(
    command: str, arguments: Sequence[str], environment: Mapping[str, str]
) -> Result[Settings, list[Problem]]:
    """Reads and checks the settings of a subcommand.

    Args:
        command: The subcommand, which determines the required settings.
        arguments: Command line after the subcommand.
        environment: Environment variables; the command line takes precedence.

    Returns:
        The settings, or every problem found.
    """
    # A switch may be given without a value: `--json` means `--json=true`.
    words = [f"{word}=true" if word in _FLAGS_WITHOUT_VALUE else word for word in arguments]
    given, problems = _collect_given(words, environment)
    values: dict[str, Any] = {}
    for spec in _SPECS:
        if spec.name in given:
            parsed = spec.parse(given[spec.name])
            if isinstance(parsed, Err):
                problems.append(Problem(Code.SETTING_TYPE, spec.name, parsed.err_value))
            else:
                values[spec.name] = parsed.ok_value
        elif command in spec.required_by:
            problems.append(Problem(Code.SETTING_MISSING, spec.name, "must be given"))
    problems += _find_conflicts(command, given, values)
    return Err(problems) if problems else Ok(Settings(**values))


def describe_settings(command: str) -> list[str]:
    """Returns a line for each setting that a subcommand uses; those it requires come first."""
    specs = [spec for spec in _SPECS if command in spec.used_by]
    specs.sort(key=lambda spec: command not in spec.required_by)
    width = max((len(spec.name) for spec in specs), default=0)
    return [
        f"--{spec.name:{width}}  {spec.help}"
        f"{' Required.' if command in spec.required_by else ''}"
        for spec in specs
    ]


def report_problems(problems: Sequence[Problem]) -> int:
    """Prints problems to the standard error and returns the exit status for wrong settings."""
    for problem in problems:
        print(problem, file=sys.stderr)
    return 2


def _collect_given(
    arguments: Sequence[str], environment: Mapping[str, str]
) -> tuple[dict[str, str], list[Problem]]:
    flag_values = flags.FlagValues()
    for spec in _SPECS:
        flags.DEFINE_string(spec.name, None, spec.help, flag_values=flag_values)
    try:
        unknown = flag_values(["shallotshore", *arguments], known_only=True)[1:]
    except flags.Error as error:
        return {}, [Problem(Code.SETTING_VALUE, "settings", str(error))]
    problems = [
        Problem(Code.SETTING_VALUE, argument.lstrip("-").partition("=")[0], "is unknown")
        for argument in unknown
    ]
    given: dict[str, str] = {}
    for spec in _SPECS:
        value = flag_values[spec.name].value
        if value is None:
            value = environment.get(ENVIRONMENT_PREFIX + spec.name.upper())
        if value is not None:
            given[spec.name] = value
    return given, problems


def _find_conflicts(
    command: str, given: Mapping[str, str], values: Mapping[str, Any]
) -> list[Problem]:
    """Finds settings that are wrong or missing in view of the other settings."""
    problems = []
    tls = [name for name in ("tls_authority", "tls_certificate", "tls_key") if name in given]
    if tls and len(tls) < 3:
        text = "tls_authority, tls_certificate and tls_key must be given together"
        problems.append(Problem(Code.SETTING_CONFLICT, tls[0], text))
    if command == STATUS or "address" not in values:
        return problems
    if is_loopback(values["address"][0]) or values.get("plain_text"):
        return problems
    for name in ("mac_keys", "tls_certificate"):
        if name not in given:
            text = "must be given outside loopback unless plain_text is true"
            problems.append(Problem(Code.SETTING_MISSING, name, text))
    if "upstream_address" in values and not is_loopback(values["upstream_address"][0]):
        text = "must be on loopback, since messages to the upstream carry no MAC"
        problems.append(Problem(Code.SETTING_VALUE, "upstream_address", text))
    return problems
