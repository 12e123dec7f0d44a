"""Runs one scenario file and prints its results: `python -m standins.run FILE --user NAME`.

--trace takes the hexadecimal id of a request, or the number of a flow together with --customer, and
prints every message about it in order of delivery.
"""

__all__ = ["main"]

import sys
import time
from pathlib import Path

from absl import app, flags

from shallotshore.caller_messages import FabricPacket
from shallotshore.hashing import flow_key, request_key
from shallotshore.messages import Address, Message
from standins.runtime import Process
from standins.scenario import Scenario
from standins.world import World

_USER = flags.DEFINE_string(
    "user", "", "User whose deployment to run; by default every user of the scenario."
)
_SEED = flags.DEFINE_integer("seed", None, "Seed; by default the one in the scenario.")
_TRACE = flags.DEFINE_string("trace", "", "Request id (32 hex digits) or flow number to trace.")
_CUSTOMER = flags.DEFINE_string("customer", "", "Customer of a traced flow.")
_SERVICE = flags.DEFINE_string("service", "", "Service of a traced flow; by default the first.")
_MAX_PROBLEMS = flags.DEFINE_integer("limit", 40, "Maximum number of problems to print.")
_REQUEST_DIGITS = 32


class Trace:
    """Prints each delivered message about one request or flow."""

    __slots__ = ("_keys", "_names", "_world")

    def __init__(self, world: World, keys: set[object]) -> None:
        self._world = world
        self._keys = keys
        self._names: dict[Address, str] = {}
        for message_type in _find_subclasses(Message):
            world.runtime.observers.setdefault(message_type, []).append(self._print_delivery)

    def _print_delivery(
        self, now: int, source: Address, process: Process, message: Message
    ) -> None:
        payload_message = message.payload if isinstance(message, FabricPacket) else message
        ids = {getattr(payload_message, field, None) for field in ("key", "request", "flow")}
        if not ids & self._keys:
            return
        sender = self._world.runtime.process_at(source)
        name = sender.name if sender is not None else f"{source[0]}:{source[1]}"
        print(f"{now:6} {name:22} > {process.name:22} {_format_message(message)}")


def _find_subclasses(base: type) -> set[type]:
    """Returns all loaded classes that derive from a class."""
    found: set[type] = set(base.__subclasses__())
    for subclass in list(found):
        found |= _find_subclasses(subclass)
    return found


def _format_message(message: Message) -> str:
    if isinstance(message, FabricPacket):
        return f"Fabric {_format_message(message.payload)}"
    skipped_fields = ("key", "payload", "caller", "vip", "checksum", "flow", "request", "service")
    fields = [
        f"{name}={getattr(message, name)}"
        for name in _field_names(message)
        if name not in skipped_fields
    ]
    return f"{type(message).__name__} {' '.join(fields)}"


def _field_names(message: Message) -> tuple[str, ...]:
    return tuple(type(message).__slots__)


def _traced_keys(world: World) -> set[object]:
    if len(_TRACE.value) == _REQUEST_DIGITS:
        request_id = bytes.fromhex(_TRACE.value)
        return {request_id} | {request_key(vip, request_id) for vip in world.plan.vips.values()}
    service = _SERVICE.value or world.plan.services[0]
    vip = world.plan.vips[(_CUSTOMER.value, service)]
    process = world.runtime.process(f"{_CUSTOMER.value}.{service}")
    assert process is not None
    return {flow_key(process.addresses[0], vip, int(_TRACE.value))}


def _start_trace(world: World) -> None:
    if _TRACE.value:
        Trace(world, _traced_keys(world))


def main(arguments: list[str]) -> int:
    """Runs the scenario file that is named by the only argument.

    Returns:
        The exit status: 1 when a promise was broken or a bound missed, else 0.
    """
    scenario = Scenario.from_text(Path(arguments[1]).read_text(encoding="utf-8"))
    failed = False
    for user in (_USER.value,) if _USER.value else scenario.users:
        start = time.monotonic()
        outcome = scenario.run(user, _SEED.value, prepare=_start_trace)
        print(
            f"{user}: {time.monotonic() - start:.1f} s, "
            f"{outcome.world.runtime.delivered_count} messages"
        )
        for name, value in outcome.figures.items():
            print(f"  {name:24} {value:10.4g}")
        for problem in outcome.problems[: _MAX_PROBLEMS.value]:
            print(f"  {problem}")
        failed = failed or bool(outcome.problems)
    return int(failed)


if __name__ == "__main__":
    app.run(lambda arguments: sys.exit(main(arguments)))
