"""Runs cores and delivers their messages on a virtual clock: a seed always gives the same run."""

__all__ = ["Process", "SimulatedRuntime"]

import heapq
from collections.abc import Callable
from typing import Protocol

from shallotshore.messages import Address, Message
from shallotshore.systems import Core
from standins.network import Network

TICK_INTERVAL_MS = 20  # as for applications on real sockets
MAX_BUFFERED_PACKETS = 20_000  # in the socket buffers of a paused process
_ARRIVAL, _TIMER, _CALL = 0, 1, 2


class DeliveryObserver(Protocol):
    """Observes the delivered messages of one type."""

    def __call__(self, now: int, source: Address, process: "Process", message: Message) -> None:
        """Records one delivery.

        Args:
            now: Time in ms.
            source: Address of the sender.
            process: The receiver.
            message: The message.
        """


class Process:
    """A running process: its core, its addresses and its place in the network."""

    __slots__ = ("addresses", "alive", "buffer", "core", "name", "next_timer_at", "paused", "place")

    def __init__(self, name: str, place: str, addresses: list[Address], core: Core) -> None:
        self.name = name
        self.place = place
        self.addresses = addresses
        self.core = core
        self.alive = True
        self.paused = False
        self.buffer: list[tuple[Address, Address, Message]] = []
        self.next_timer_at = -1


class SimulatedRuntime:
    """Runs processes on a virtual clock, driven by a heap of arrivals, timers and calls.

    Attributes:
        now: Current time in ms.
        network: Decides whether and when packets arrive.
        observers: Observers by message type.
        transcode: Function applied to each message in transit, such as encoding and decoding it;
            None leaves messages unchanged.
        delivered_count: Number of messages delivered so far.
    """

    __slots__ = (
        "_by_address",
        "_events",
        "_processes",
        "_sequence",
        "delivered_count",
        "network",
        "now",
        "observers",
        "transcode",
    )

    def __init__(self, network: Network) -> None:
        self.now = 0
        self.network = network
        self.observers: dict[type, list[DeliveryObserver]] = {}
        self.transcode: Callable[[Message], Message] | None = None
        self.delivered_count = 0
        self._events: list[tuple[int, int, int, tuple]] = []
        self._sequence = 0
        self._processes: dict[str, Process] = {}
        self._by_address: dict[Address, Process] = {}

    def process(self, name: str) -> Process | None:
        """Returns the running process of a name, or None."""
        return self._processes.get(name)

    def process_at(self, address: Address) -> Process | None:
        """Returns the running process at an address, or None."""
        return self._by_address.get(address)

    def start(self, name: str, place: str, addresses: list[Address], core: Core) -> Process:
        """Starts a process; a running one of the same name is killed first."""
        self.kill(name)
        process = Process(name, place, addresses, core)
        self._processes[name] = process
        for address in addresses:
            self._by_address[address] = process
        self._push_event(self.now, _TIMER, (process,))
        return process

    def add_address(self, process: Process, address: Address) -> None:
        """Adds an address to a running process."""
        process.addresses.append(address)
        self._by_address[address] = process

    def kill(self, name: str) -> None:
        """Kills a process; packets in transit to it are lost unless its address is taken over."""
        process = self._processes.pop(name, None)
        if process is None:
            return
        process.alive = False
        for address in process.addresses:
            self._by_address.pop(address, None)

    def pause(self, name: str) -> None:
        """Suspends a process; packets that arrive for it are buffered."""
        process = self._processes.get(name)
        if process is not None:
            process.paused = True

    def resume(self, name: str) -> None:
        """Resumes a paused process, which receives the buffered packets."""
        process = self._processes.get(name)
        if process is None or not process.paused:
            return
        process.paused = False
        for local, source, message in process.buffer:
            self._pass_to_core(process, local, source, message)
        process.buffer = []
        self._push_event(self.now, _TIMER, (process,))

    def call_at(self, time: int, action: Callable[[], None]) -> None:
        """Runs an action at a time in ms."""
        self._push_event(time, _CALL, (action,))

    def run_until(self, end: int) -> None:
        """Advances the clock to a time in ms and handles every event up to it."""
        while self._events and self._events[0][0] <= end:
            self.now = self._events[0][0]
            for process in self._handle_due_events():
                if process.alive and not process.paused:
                    self._tick(process)
        self.now = end

    def flush_outbox(self, process: Process) -> None:
        """Sends the messages in a process's outbox over the network."""
        origin = (process.name, process.place)
        source = process.addresses[0]
        for destination, message in process.core.outbox.drain():
            target = self._by_address.get(destination)
            if target is None:
                continue
            if target is process:
                self._push_event(self.now + 1, _ARRIVAL, (destination, source, message))
                continue
            if self.transcode is not None:
                message = self.transcode(message)
            for delay in self._draw_delays(origin, process, target):
                self._push_event(self.now + delay, _ARRIVAL, (destination, source, message))

    def _draw_delays(self, origin: tuple[str, str], process: Process, target: Process) -> list[int]:
        if process.addresses[0][0] == target.addresses[0][0]:
            return [1]  # loopback of one VM
        return self.network.draw_arrival_delays(origin, (target.name, target.place))

    def _push_event(self, time: int, kind: int, content: tuple) -> None:
        self._sequence += 1
        heapq.heappush(self._events, (time, self._sequence, kind, content))

    def _handle_due_events(self) -> list[Process]:
        processes_to_tick: dict[int, Process] = {}
        events = self._events
        while events and events[0][0] == self.now:
            _, _, kind, content = heapq.heappop(events)
            process = self._handle_event(kind, content)
            if process is not None:
                processes_to_tick[id(process)] = process
        return list(processes_to_tick.values())

    def _handle_event(self, kind: int, content: tuple) -> Process | None:
        if kind == _ARRIVAL:
            return self._deliver(*content)
        if kind == _CALL:
            content[0]()
            return None
        process: Process = content[0]
        if process.next_timer_at > self.now:
            return None
        return process

    def _deliver(self, destination: Address, source: Address, message: Message) -> Process | None:
        process = self._by_address.get(destination)
        if process is None:
            return None
        if process.paused:
            if len(process.buffer) < MAX_BUFFERED_PACKETS:
                process.buffer.append((destination, source, message))
            return None
        self._pass_to_core(process, destination, source, message)
        return process

    def _pass_to_core(
        self, process: Process, local: Address, source: Address, message: Message
    ) -> None:
        self.delivered_count += 1
        for observer in self.observers.get(type(message), ()):
            observer(self.now, source, process, message)
        receive_at = getattr(process.core, "receive_at", None)
        if receive_at is None:
            process.core.receive(source, message)
        else:
            receive_at(local, source, message)

    def _tick(self, process: Process) -> None:
        process.core.tick(self.now)
        self.flush_outbox(process)
        due = self.now + TICK_INTERVAL_MS
        next_due = getattr(process.core, "next_due", None)
        if next_due is not None:
            requested = next_due()
            if requested is None:
                return
            due = max(self.now + 1, requested)
        if getattr(process.core, "is_busy", False):
            due = self.now + 1
        if process.next_timer_at <= self.now or due < process.next_timer_at:
            process.next_timer_at = due
            self._push_event(due, _TIMER, (process,))
