"""What a balancer knows of the VM of an upstream whose agent is silent."""

__all__ = ["VmState"]

from enum import IntEnum


class VmState(IntEnum):
    """Result of the last check of a VM since its agent's last report."""

    UNKNOWN = 0
    ANSWERS = 1  # accepts connections, so that the agent's process runs
    SILENT = 2  # without power, cut off or suspended
    REFUSES = 3  # refuses connections, so that the VM is alive and the agent's process is not
