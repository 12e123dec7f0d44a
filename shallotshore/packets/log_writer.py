"""Writes log lines to the standard output, as JSON by structlog, without ever blocking."""

from __future__ import annotations

__all__ = ["LogWriter"]

import os
from typing import Any

from shallotshore.packets.event_log import EventLog

_STDOUT = 1
BUFFER_LIMIT = 128 << 10  # bytes that wait for a slow reader; further lines are counted


class LogWriter:
    """Renders lines and writes what the reader takes.

    structlog is loaded with the first lines, after the first packets: its import takes a tenth
    of the time to the first packet.
    """

    __slots__ = ("_buffer", "_dropped", "_log", "_logger", "_name")

    def __init__(self, log: EventLog, name: str) -> None:
        """Creates a writer.

        Args:
            log: Lines of the core.
            name: Name of the process in each line.
        """
        self._log = log
        self._name = name
        self._buffer = bytearray()
        self._dropped = 0
        self._logger: Any = None

    def flush(self) -> None:
        """Renders what waits, and writes as much as the reader takes."""
        for now, event, fields in self._log.drain():
            self._bound().info(event, at_ms=now, **fields)
        self._write()

    def msg(self, text: str) -> None:
        """Takes a rendered line from structlog."""
        if len(self._buffer) > BUFFER_LIMIT:
            self._dropped += 1
            return
        if self._dropped:
            text = f'{{"event": "lines_dropped", "count": {self._dropped}}}\n{text}'
            self._dropped = 0
        self._buffer += text.encode() + b"\n"

    info = msg

    def _write(self) -> None:
        while self._buffer:
            try:
                written = os.write(_STDOUT, self._buffer)
            except BlockingIOError:
                return
            except OSError:
                # Nobody reads any more; service goes on without a log.
                self._buffer.clear()
                return
            del self._buffer[:written]

    def _bound(self) -> Any:
        if self._logger is None:
            import structlog

            os.set_blocking(_STDOUT, False)
            self._logger = structlog.wrap_logger(
                self,
                processors=[
                    structlog.processors.TimeStamper(fmt="iso", utc=True),
                    structlog.processors.JSONRenderer(),
                ],
                wrapper_class=structlog.BoundLogger,
                process=self._name,
            )
        return self._logger
