"""Writes log lines to the standard output, as JSON by structlog, without ever blocking."""

from __future__ import annotations

__all__ = ["LogWriter"]

import os
import time
from collections.abc import Callable
from datetime import UTC, datetime
from typing import Any

from shallotshore.packets.event_log import EventLog

_STDOUT = 1
MAX_BUFFERED_BYTES = 128 << 10  # bytes that wait for a slow reader; further lines are counted


class LogWriter:
    """Renders lines and writes what the reader takes.

    structlog is loaded with the first lines, after the first packets: its import takes a tenth
    of the time to the first packet.
    """

    __slots__ = ("_buffer", "_clock", "_dropped", "_log", "_logger", "_name")

    def __init__(self, log: EventLog, name: str, clock: Callable[[], int]) -> None:
        """Creates a writer.

        Args:
            log: Lines of the core.
            name: Name of the process in each line.
            clock: The clock of the core's times, in ms.
        """
        self._log = log
        self._name = name
        self._clock = clock
        self._buffer = bytearray()
        self._dropped = 0
        self._logger: Any = None

    def flush(self) -> None:
        """Renders what waits, and writes as much as the reader takes."""
        lines = self._log.drain()
        # Lines carry the time of day of their event, not that of their rendering.
        offset = time.time() - self._clock() / 1000
        for at, event, fields in lines:
            moment = datetime.fromtimestamp(at / 1000 + offset, UTC)
            self._load_logger().info(
                event, timestamp=moment.isoformat(timespec="milliseconds"), **fields
            )
        self._write()

    def msg(self, text: str) -> None:
        """Takes a rendered line from structlog."""
        if len(self._buffer) > MAX_BUFFERED_BYTES:
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

    def _load_logger(self) -> Any:
        if self._logger is None:
            import structlog

            os.set_blocking(_STDOUT, False)
            self._logger = structlog.wrap_logger(
                self,
                processors=[
                    structlog.processors.JSONRenderer(),
                ],
                wrapper_class=structlog.BoundLogger,
                process=self._name,
            )
        return self._logger
