"""What a balancer knows of the VM of an upstream whose agent is silent."""

__all__ = ["VmState"]

from enum import IntEnum


class VmState(IntEnum):
    """Result of the last check of a VM since its agent's last report."""

    UNKNOWN = 0
    ANSWERS = 1  # accepts or refuses connections, so that only the agent is silent
    SILENT = 2  # without power, cut off or suspended
