"""Checks of VMs over loopback connections."""

import socket
import unittest

from shallotshore.packets.vm_probe import probe_vm
from shallotshore.packets.vm_state import VmState

HOST = "127.0.4.1"


class VmProbeTest(unittest.IsolatedAsyncioTestCase):
    """Results of checks for VMs in different states."""

    async def test_refused_connection_shows_a_live_vm(self) -> None:
        """Guards against resets of flows whose agent is only restarting."""
        with socket.socket() as bound:
            bound.bind((HOST, 0))  # reserves a port on which nobody listens
            self.assertIs(VmState.REFUSES, await probe_vm(bound.getsockname()))

    async def test_accepted_connection_shows_a_live_vm(self) -> None:
        """Guards against resets of flows whose agent is suspended while its VM is not."""
        with socket.create_server((HOST, 0)) as server:
            self.assertIs(VmState.ANSWERS, await probe_vm(server.getsockname()))

    async def test_silence_is_noticed_in_time(self) -> None:
        """Guards against checks that wait for ever for a VM without power."""
        with socket.create_server((HOST, 0), backlog=0) as server:
            # With a full queue of new connections nothing is answered, as by a dead VM.
            filling = []
            for _ in range(4):
                client = socket.socket()
                client.setblocking(False)
                client.connect_ex(server.getsockname())
                filling.append(client)
            try:
                self.assertIs(VmState.SILENT, await probe_vm(server.getsockname()))
            finally:
                for client in filling:
                    client.close()


if __name__ == "__main__":
    unittest.main()
