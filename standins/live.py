"""Runs a deployment on real sockets: stand-ins in this process, balancers and agents as children.

`LiveRuntime` has the interface of `standins.runtime.SimulatedRuntime`, so that the same world,
events and checker work on the virtual clock and on loopback.
"""

__all__ = ["LiveProcess", "LiveRuntime", "Program", "ProgramFactory"]

import asyncio
import os
import signal
import subprocess
import sys
from collections.abc import Callable, Coroutine
from functools import partial, singledispatchmethod
from pathlib import Path
from typing import Any

import msgspec

from shallotshore.application import Application, ApplicationConfig
from shallotshore.clock import clock
from shallotshore.control import CallFailedError, ControlClient
from shallotshore.control_messages import StatusRequest
from shallotshore.datagrams import DatagramEndpoint
from shallotshore.messages import Address, Message
from shallotshore.security import MacKeys
from shallotshore.systems import Core, Counters
from standins.configuration_service import PlatformService
from standins.deployments import Server
from standins.fabric import Fabric
from standins.network import Network
from standins.ports import HOST, Ports
from standins.processes import ProcessSettings

_READY_INTERVAL_S = 0.05
_EXIT_TIMEOUT_S = 5.0  # for all processes to end, and then for each killed child


class Program(Core):
    """Represents a balancer or an agent that runs as a child process.

    Attributes:
        arguments: Command line after the program's name.
        child: The process; None until it is started.
    """

    __slots__ = ("arguments", "child")

    def __init__(self, arguments: list[str]) -> None:
        super().__init__()
        self.arguments = arguments
        self.child: subprocess.Popen | None = None

    def stop(self, now: int) -> None:
        """Requests a graceful stop of the process."""
        self.signal(signal.SIGTERM)

    @property
    def stopped(self) -> bool:
        """Whether the process has ended."""
        return self.child is not None and self.child.poll() is not None

    def signal(self, number: int) -> None:
        """Sends a signal to the process unless it has ended."""
        if self.child is not None and self.child.poll() is None:
            self.child.send_signal(number)


class ProgramFactory:
    """Makes balancers and agents that run as child processes with the product's command line."""

    __slots__ = ("_ports",)

    def __init__(self, ports: Ports) -> None:
        self._ports = ports

    def balancer(self, process_settings: ProcessSettings) -> Program:
        """Returns a balancer that has not started yet."""
        return Program(["balancer", *self._common_arguments(process_settings)])

    def agent(self, process_settings: ProcessSettings, server: Server) -> Program:
        """Returns an agent that has not started yet."""
        agent_arguments = [
            f"--name={server.settings.name}",
            f"--service={server.settings.service}",
            f"--upstream_address={_format_address(server.address)}",
        ]
        return Program(["agent", *self._common_arguments(process_settings), *agent_arguments])

    def _common_arguments(self, process_settings: ProcessSettings) -> list[str]:
        ports = self._ports
        return [
            f"--address={_format_address(process_settings.address)}",
            f"--data_centre={process_settings.data_centre}",
            f"--peers={','.join(_format_address(peer) for peer in process_settings.peers)}",
            f"--configuration={_format_address(ports.loopback_address(process_settings.configuration))}",
            f"--vm_list={_format_address(ports.loopback_address(process_settings.vm_list))}",
        ]


class LiveProcess:
    """A running core or child process with its addresses and its place."""

    __slots__ = (
        "addresses",
        "alive",
        "application",
        "core",
        "endpoints",
        "name",
        "paused",
        "place",
    )

    def __init__(self, name: str, place: str, addresses: list[Address], core: Core) -> None:
        self.name = name
        self.place = place
        self.addresses = addresses
        self.core = core
        self.alive = True
        self.paused = False
        self.application: Application | None = None
        self.endpoints: list[DatagramEndpoint] = []


class LiveRuntime:
    """Starts, pauses and ends processes on loopback.

    Attributes:
        network: Unused; packets are delayed only by loopback.
        observers: Unused; packets between other processes cannot be observed.
        faults: Errors of the stand-ins and unexpected exits of programs, as text.
    """

    __slots__ = (
        "_client",
        "_jobs",
        "_logs",
        "_ports",
        "_processes",
        "_programs",
        "_waits",
        "_worker",
        "faults",
        "network",
        "observers",
    )

    def __init__(self, network: Network, ports: Ports, logs: Path) -> None:
        """Creates a runtime without processes; needs a running event loop.

        Args:
            network: Only stored, for the common interface.
            ports: Maps addresses to loopback addresses.
            logs: Folder for the programs' log files.
        """
        self.network = network
        self.observers: dict[type, list] = {}
        self.faults: list[str] = []
        self._ports = ports
        self._logs = logs
        self._processes: dict[str, LiveProcess] = {}
        self._programs: list[Program] = []
        self._jobs: asyncio.Queue[Coroutine[Any, Any, None]] = asyncio.Queue()
        self._worker = asyncio.get_running_loop().create_task(self._run_jobs())
        self._waits: set[asyncio.Task[None]] = set()
        self._client = ControlClient((HOST, 0), None, Counters())

    @property
    def now(self) -> int:
        """Current time in ms, on the clock that applications use."""
        return clock()

    def process(self, name: str) -> LiveProcess | None:
        """Returns the running process of a name, or None."""
        return self._processes.get(name)

    def process_at(self, address: Address) -> LiveProcess | None:
        """Returns the running process at an address, or None."""
        found = (p for p in self._processes.values() if address in p.addresses)
        return next(found, None)

    def start(self, name: str, place: str, addresses: list[Address], core: Core) -> LiveProcess:
        """Starts a process; a running one of the same name is killed first."""
        self.kill(name)
        loopback_addresses = [self._ports.loopback_address(address) for address in addresses]
        process = LiveProcess(name, place, loopback_addresses, core)
        self._processes[name] = process
        self._launch(core, process)
        return process

    def kill(self, name: str) -> None:
        """Kills a program, or closes a stand-in."""
        process = self._processes.pop(name, None)
        if process is None:
            return
        process.alive = False
        if isinstance(process.core, Program):
            process.core.signal(signal.SIGKILL)
        else:
            self._jobs.put_nowait(_close(process))

    def pause(self, name: str) -> None:
        """Suspends a program; packets that arrive for it wait in its sockets."""
        self._signal(name, signal.SIGSTOP, paused=True)

    def resume(self, name: str) -> None:
        """Resumes a paused program."""
        self._signal(name, signal.SIGCONT, paused=False)

    def call_at(self, time: int, action: Callable[[], None]) -> None:
        """Runs an action at a time in ms."""
        asyncio.get_running_loop().call_later(max(0, time - self.now) / 1000, action)

    def call_when_ready(self, name: str, action: Callable[[], None]) -> None:
        """Runs an action when a program is ready, unless it ends before."""
        task = asyncio.get_running_loop().create_task(self._call_when_ready(name, action))
        self._waits.add(task)
        task.add_done_callback(self._waits.discard)

    async def is_ready(self, name: str) -> bool:
        """Whether a program answers and has received a revision of the configuration."""
        core = (await self.query_status(name)).get("core")
        return isinstance(core, dict) and core.get("revision", 0) > 0

    async def query_status(self, name: str) -> dict[str, Any]:
        """Returns a program's status report; it is empty when the program does not answer."""
        process = self.process(name)
        if process is None:
            return {}
        try:
            reply = await self._client.status(process.addresses[0], StatusRequest(1))
        except CallFailedError:
            return {}
        return msgspec.json.decode(reply.text)

    def flush_outbox(self, process: LiveProcess) -> None:
        """Schedules a tick of a stand-in, which sends its queued messages."""
        if process.application is not None:
            process.application.schedule_tick()

    async def wait_for_jobs(self) -> None:
        """Waits until all requested starts and ends of stand-ins are done."""
        await self._jobs.join()

    def record_unexpected_exits(self) -> None:
        """Records programs that ended with an error although they were not killed."""
        for process in self._processes.values():
            core = process.core
            if isinstance(core, Program) and core.stopped and not process.paused:
                code = core.child.returncode if core.child else None
                text = f"{process.name} ended by itself with status {code}"
                if code and text not in self.faults:
                    self.faults.append(text)

    async def close(self) -> None:
        """Ends every process that this runtime has started, each by its own process id."""
        for task in self._waits:
            task.cancel()
        await self._client.close()
        for name in list(self._processes):
            self.kill(name)
        for program in self._programs:
            program.signal(signal.SIGKILL)
        await asyncio.wait_for(self.wait_for_jobs(), _EXIT_TIMEOUT_S)
        self._worker.cancel()
        for program in self._programs:
            if program.child is not None:
                program.child.wait(_EXIT_TIMEOUT_S)

    async def _call_when_ready(self, name: str, action: Callable[[], None]) -> None:
        process = self.process(name)
        while process is not None and process is self.process(name):
            if await self.is_ready(name):
                action()
                return
            await asyncio.sleep(_READY_INTERVAL_S)

    @singledispatchmethod
    def _launch(self, core: Core, process: LiveProcess) -> None:
        """Starts a process: by default its core runs in this process."""
        self._run_in_process(process, control=False)

    @_launch.register
    def _(self, core: PlatformService, process: LiveProcess) -> None:
        self._run_in_process(process, control=True)

    @_launch.register
    def _(self, core: Fabric, process: LiveProcess) -> None:
        self._run_in_process(process, control=False)
        assert process.application is not None
        for address in process.addresses[1:]:
            deliver = partial(_deliver_at, process.application, core, address)
            endpoint = DatagramEndpoint(address, MacKeys.without_key(), core.counters, deliver)
            process.endpoints.append(endpoint)
            self._jobs.put_nowait(endpoint.start())

    @_launch.register
    def _(self, core: Program, process: LiveProcess) -> None:
        with open(self._logs / f"{process.name}.log", "ab") as log:
            # No preexec_fn: it would run in a fork of this process, without the gRPC threads.
            core.child = subprocess.Popen(
                [sys.executable, "-m", "standins.child", str(os.getpid()), *core.arguments],
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self._programs.append(core)

    def _run_in_process(self, process: LiveProcess, control: bool) -> None:
        config = ApplicationConfig(process.addresses[0], control=control)
        process.application = Application(process.core, config)
        self._jobs.put_nowait(process.application.start())

    def _signal(self, name: str, number: int, paused: bool) -> None:
        process = self._processes.get(name)
        if process is not None and isinstance(process.core, Program):
            process.paused = paused
            process.core.signal(number)

    async def _run_jobs(self) -> None:
        """Runs starts and ends one after the other, so that a restart finds its port free."""
        while True:
            job = await self._jobs.get()
            try:
                await job
            except (OSError, RuntimeError) as error:
                self.faults.append(f"starting or closing a stand-in failed: {error}")
            finally:
                self._jobs.task_done()


def _format_address(address: Address) -> str:
    return f"{address[0]}:{address[1]}"


def _deliver_at(
    application: Application, core: Fabric, local: Address, source: Address, message: Message
) -> None:
    core.receive_at(local, source, message)
    application.schedule_tick()


async def _close(process: LiveProcess) -> None:
    for endpoint in process.endpoints:
        await endpoint.close()
    if process.application is not None:
        await process.application.close()
