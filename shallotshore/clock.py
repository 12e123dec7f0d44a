"""The one clock that decisions are made by."""

__all__ = ["clock"]

import time


def clock() -> int:
    """Returns milliseconds of a clock that goes on while the VM is suspended."""
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000_000
