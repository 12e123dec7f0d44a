"""Writes log lines to the standard output as JSON, without blocking the process."""

from __future__ import annotations

__all__ = ["LogWriter"]

import os
import time
from collections.abc import Callable
from datetime import UTC, datetime
from typing import Any

from shallotshore.packets.event_log import EventLog

_STDOUT = 1
# When a slow reader of the output lets the buffer grow beyond this, further lines are dropped and
# counted.
MAX_BUFFERED_BYTES = 128 << 10


class LogWriter:
    """Renders queued log lines with structlog and writes as much as the reader accepts.

    structlog is imported for the first line that is rendered, after the first packets. Imported at
    the start, it would take a tenth of the time until the first packet.
    """

    __slots__ = ("_buffer", "_clock", "_dropped", "_log", "_logger", "_name")

    def __init__(self, log: EventLog, name: str, clock: Callable[[], int]) -> None:
        """Creates a writer.

        Args:
            log: Log of the core.
            name: Name of the process, put into each line.
            clock: Returns the monotonic time that the core uses, in ms.
        """
        self._log = log
        self._name = name
        self._clock = clock
        self._buffer = bytearray()
        self._dropped = 0
        self._logger: Any = None

    def flush(self) -> None:
        """Renders the queued lines, and writes as much as the reader accepts."""
        lines = self._log.drain()
        # The timestamp of a line is the time of its event, not of its rendering.
        offset = time.time() - self._clock() / 1000
        for logged_at, event, fields in lines:
            event_time = datetime.fromtimestamp(logged_at / 1000 + offset, UTC)
            self._load_logger().info(
                event, timestamp=event_time.isoformat(timespec="milliseconds"), **fields
            )
        self._write()

    def msg(self, text: str) -> None:
        """Buffers a line; structlog calls this with the rendered text."""
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
                # The reader is gone; the process continues without a log.
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
