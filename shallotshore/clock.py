"""The monotonic clock that all decisions use."""

__all__ = ["clock"]

import time


def clock() -> int:
    """Returns the monotonic time in milliseconds; it advances while the VM is suspended too."""
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000_000
