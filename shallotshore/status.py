"""The bounded, read-only status report of a process, as JSON or as text."""

__all__ = ["build_status_report", "render_text"]

from typing import Any

import msgspec

from shallotshore import __version__
from shallotshore.control_messages import StatusReply

MAX_REPORT_BYTES = 256 * 1024  # so that a report fits one call and a terminal's history
_MAX_TEXT_LINES = 4000


def build_status_report(
    core_reply: StatusReply | None, counts: dict[str, int], latencies: dict[str, dict[str, int]]
) -> StatusReply:
    """Returns a core's own report together with the counters and latencies of the process.

    Args:
        core_reply: The core's own report, or None if it has none.
        counts: Counters of the process.
        latencies: Count and percentiles (ms) per label.

    Returns:
        JSON text of at most MAX_REPORT_BYTES; when it would be longer, first the counters, then
        the core's part and last the latencies are left out, and `truncated` is true.
    """
    parts: dict[str, Any] = {
        "version": __version__,
        "core": _decode_reply(core_reply),
        "latencies": latencies,
        "counters": dict(sorted(counts.items())),
    }
    text = msgspec.json.encode(parts)
    for name in ("counters", "core", "latencies"):
        if len(text) <= MAX_REPORT_BYTES:
            break
        del parts[name]
        parts["truncated"] = True
        text = msgspec.json.encode(parts)
    return StatusReply(text)


def render_text(reply: StatusReply) -> str:
    """Returns a report as lines of `path: value`."""
    lines: list[str] = []
    _append_lines("", _decode_reply(reply), lines)
    return "\n".join(lines[:_MAX_TEXT_LINES])


def _decode_reply(reply: StatusReply | None) -> Any:
    if reply is None:
        return None
    try:
        return msgspec.json.decode(reply.text)
    except msgspec.MsgspecError:
        return reply.text.decode("utf-8", "replace")


def _append_lines(path: str, value: Any, lines: list[str]) -> None:
    if isinstance(value, dict) and value:
        for key, item in value.items():
            _append_lines(f"{path}.{key}" if path else str(key), item, lines)
    elif isinstance(value, list) and value:
        for index, item in enumerate(value):
            _append_lines(f"{path}[{index}]", item, lines)
    else:
        lines.append(f"{path}: {value}")
