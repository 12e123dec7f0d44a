"""Stand-in of the platform's list of live and leaving VMs, which lags behind the changes."""

__all__ = ["VmList", "encode_vm"]

import json

from shallotshore.messages import Address, Source
from standins.configuration_service import PlatformService

DEFAULT_LAG_MS = 1000  # between a VM's change and its entry in the list


class VmList(PlatformService):
    """The VM list, which is read with the same protocol as the configuration service."""

    __slots__ = ()

    def __init__(self, lag_ms: int = DEFAULT_LAG_MS) -> None:
        super().__init__(Source.VM_LIST, lag_ms)


def encode_vm(
    name: str, role: str, address: Address, data_centre: str, state: str = "live"
) -> bytes:
    """Returns the text of one VM's entry in the list.

    Args:
        name: Name of the VM.
        role: "balancer" or "agent".
        address: Address of its process.
        data_centre: Name of its data centre.
        state: "live" or "leaving".
    """
    entry = {
        "kind": "vm",
        "schema": 1,
        "name": name,
        "role": role,
        "address": f"{address[0]}:{address[1]}",
        "data_centre": data_centre,
        "state": state,
    }
    return json.dumps(entry).encode()
