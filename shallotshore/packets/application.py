"""The application object of the packet front end: one core, its sockets and its timers."""

from __future__ import annotations

__all__ = ["Adapter", "PacketApplication", "RunnableCore"]

import asyncio
import os
import signal
import socket
from collections.abc import Callable, Coroutine
from functools import singledispatchmethod
from typing import TYPE_CHECKING, Protocol

from result import Err, Ok, Result

from shallotshore.clock import clock
from shallotshore.codes import Code
from shallotshore.packets import node_messages
from shallotshore.packets.datagram_port import DatagramPort
from shallotshore.packets.event_log import EventLog
from shallotshore.packets.feed_copies import Feeds
from shallotshore.packets.feeds import STORE_ADDRESS
from shallotshore.packets.http_server import Page, serve_pages
from shallotshore.packets.latencies import Latencies
from shallotshore.packets.log_writer import LogWriter
from shallotshore.packets.node_settings import NodeSettings
from shallotshore.packets.node_sockets import NodeSockets
from shallotshore.packets.packet import Packet, PacketToClient, PacketToUpstream, ResetPacket
from shallotshore.packets.peer_copies import fetch_feed_copy, serve_feed_copies
from shallotshore.packets.store_messages import FetchFeed, ReadFeed, WatchFeed
from shallotshore.packets.traffic import count_received, count_sent
from shallotshore.packets.view import Feed, FeedState
from shallotshore.packets.vm_checks import CheckVm, VmChecked
from shallotshore.packets.vm_probe import probe_vm
from shallotshore.systems import Counters, Outbox
from shallotshore.unknown_flows import NEVER

if TYPE_CHECKING:
    from shallotshore.messages import Address

TICK_INTERVAL_MS = 20  # time between ticks when no message arrives
LOG_FLUSH_INTERVAL_MS = 250
FIRST_LOG_FLUSH_DELAY_MS = 1_500  # the first packets are handled before log lines are written
MAX_CONSECUTIVE_FAILED_TICKS = 100  # the process then exits so that it can be replaced


class RunnableCore(Protocol):
    """Interface that the application requires of a core."""

    counters: Counters
    outbox: Outbox
    reads_store: bool

    @property
    def log(self) -> EventLog:
        """Log lines to be written."""

    @property
    def feeds(self) -> Feeds:
        """Copies of the platform's feeds, which other processes may fetch."""

    @property
    def latencies(self) -> Latencies:
        """Latencies and their histograms."""

    @property
    def is_ready(self) -> bool:
        """Whether the process accepts packets."""

    @property
    def stopped(self) -> bool:
        """Whether a stop is complete."""

    def receive(self, source: Address, message: object) -> None:
        """Queues a message for the next tick."""

    def tick(self, now: int) -> None:
        """Runs every system."""

    def stop(self, now: int) -> None:
        """Begins a graceful stop."""


class StoreReader(Protocol):
    """Runs reads and watches of the platform's store."""

    def start_call(self, request: ReadFeed | WatchFeed) -> None:
        """Starts a read or a watch; its answer is delivered later."""

    def close(self) -> None:
        """Cancels all calls."""


class Adapter(Protocol):
    """Interface that the application requires of the platform's adapter."""

    ready_path: str
    metrics_path: str
    metrics_port: int

    def decode(self, frame: bytes, is_from_upstream: bool = False) -> Result[Packet, Code]:
        """Decodes a datagram of a client or of an upstream."""

    def encode_reset(self, reset: ResetPacket) -> bytes:
        """Encodes a reset as a datagram."""

    def create_store_client(
        self, address: Address, deliver: Callable[[object], None]
    ) -> StoreReader:
        """Returns a client of the platform's store."""


class PacketApplication:
    """Owns the sockets, timers and tasks around one core.

    Life cycle: `run` opens everything, serves until a stop is complete and closes everything.
    """

    def __init__(
        self,
        core: RunnableCore,
        settings: NodeSettings,
        sockets: NodeSockets,
        adapter: Adapter,
        process_started_at: int,
    ) -> None:
        """Creates an application that has opened nothing yet.

        Args:
            core: The core to run.
            settings: Settings of the process.
            sockets: Its bound sockets.
            adapter: The platform's adapter.
            process_started_at: When the process began to load its code, in ms of `clock`.
        """
        self._process_started_at = process_started_at
        self._core = core
        self._settings = settings
        self._sockets = sockets
        self._adapter = adapter
        self._writer = LogWriter(core.log, settings.name, clock)
        self._ports: list[DatagramPort] = []
        self._servers: list[asyncio.AbstractServer] = []
        self._tasks: set[asyncio.Task[None]] = set()
        self._timers: dict[str, asyncio.TimerHandle] = {}
        self._store: StoreReader | None = None
        self._tick_handle: asyncio.Handle | None = None
        self._exit_status: asyncio.Future[int] | None = None
        self._failed_ticks = 0
        self._timer_at = NEVER

    async def run(self) -> int:
        """Runs until a signal has stopped the core.

        Returns:
            The exit status.

        Raises:
            OSError: An address cannot be bound.
        """
        self._loop = asyncio.get_running_loop()
        self._exit_status = self._loop.create_future()
        try:
            await self._open()
            return await self._exit_status
        finally:
            self._close()

    async def _open(self) -> None:
        core, settings = self._core, self._settings
        self._loop.add_signal_handler(signal.SIGTERM, self._start_stop)
        self._loop.add_signal_handler(signal.SIGINT, self._start_stop)
        self._loop.add_signal_handler(signal.SIGHUP, self._handle_hangup)
        node_address = (settings.bind_host, settings.node_port)
        self._node_port = self._open_port(
            self._sockets.node_socket, "nodes", self._handle_node_frame
        )
        packet_socket = self._sockets.packet_socket
        if core.reads_store:
            self._store = self._adapter.create_store_client(
                settings.store_address, self._handle_store_answer
            )
            self._packet_port = self._open_port(packet_socket, "clients", self._handle_client_frame)
        else:
            self._packet_port = self._open_port(
                packet_socket, "upstream", self._handle_upstream_frame
            )
        now = clock()
        core.log.write(
            now,
            "started",
            host=settings.host,
            pid=os.getpid(),
            load_ms=now - self._process_started_at,
        )
        self._on_timer()
        self._servers.append(await serve_feed_copies(node_address, self._get_feed_state))
        pages = {self._adapter.ready_path: self._ready_page}
        if settings.ready_address is not None:
            self._servers.append(await serve_pages(settings.ready_address, pages))
        metrics_address = (settings.bind_host, self._adapter.metrics_port)
        metrics_pages = {self._adapter.metrics_path: self._metrics_page}
        self._servers.append(await serve_pages(metrics_address, metrics_pages))
        self._timers["flush"] = self._loop.call_later(
            FIRST_LOG_FLUSH_DELAY_MS / 1000, self._flush_log
        )

    def _open_port(
        self, bound_socket: socket.socket, name: str, deliver: Callable[[bytes, Address], None]
    ) -> DatagramPort:
        port = DatagramPort(bound_socket, name, self._core.counters, deliver)
        self._ports.append(port)
        return port

    def _close(self) -> None:
        for timer in self._timers.values():
            timer.cancel()
        for task in self._tasks:
            task.cancel()
        if self._store is not None:
            self._store.close()
        for server in self._servers:
            server.close()
        for port in self._ports:
            port.close()
        self._core.log.write(clock(), "ended", counters=self._core.counters.snapshot())
        self._writer.flush()

    def _start_stop(self) -> None:
        self._core.log.write(clock(), "stopping")
        self._core.stop(clock())
        # The next tick may be the last one, and handles what has arrived until now.
        for port in self._ports:
            port.read_pending()
        self._schedule_tick()

    def _handle_hangup(self) -> None:
        """Logs that a reload was requested and that none is needed.

        Settings name only addresses of this VM, which do not change while a process runs.
        """
        self._core.log.write(clock(), "reload_requested", is_needed=False)

    def _handle_client_frame(self, frame: bytes, source: Address) -> None:
        packet = self._adapter.decode(frame)
        if isinstance(packet, Ok):
            packet.ok_value.arrived_after = self._packet_port.emptied_at
        self._handle_packet(packet, source)

    def _handle_upstream_frame(self, frame: bytes, source: Address) -> None:
        self._handle_packet(self._adapter.decode(frame, is_from_upstream=True), source)

    def _handle_packet(self, packet: Result[Packet, Code], source: Address) -> None:
        if isinstance(packet, Err):
            self._core.counters.add(f"packets.refused.{packet.err_value.name.lower()}")
            return
        self._deliver(source, packet.ok_value)

    def _handle_node_frame(self, frame: bytes, source: Address) -> None:
        message = node_messages.decode(frame)
        if isinstance(message, Err):
            self._core.counters.add(f"messages.refused.{message.err_value.name.lower()}")
            return
        count_received(self._core.counters, message.ok_value, len(frame))
        self._deliver(source, message.ok_value)

    def _handle_store_answer(self, answer: object) -> None:
        self._deliver(STORE_ADDRESS, answer)

    def _deliver(self, source: Address, message: object) -> None:
        self._core.receive(source, message)
        self._schedule_tick()

    def _schedule_tick(self) -> None:
        if self._tick_handle is None:
            self._tick_handle = self._loop.call_soon(self._tick)

    def _on_timer(self) -> None:
        # The event loop has polled the sockets since the last timer, and has run their readers.
        for port in self._ports:
            port.record_poll(self._timer_at)
        self._timer_at = clock()
        self._timers["tick"] = self._loop.call_later(TICK_INTERVAL_MS / 1000, self._on_timer)
        self._schedule_tick()

    def _tick(self) -> None:
        self._tick_handle = None
        core = self._core
        try:
            core.tick(clock())
            self._failed_ticks = 0
        except Exception as error:
            # An exception caused by one message must not end the other flows.
            self._record_failed_tick(error)
        for destination, message in core.outbox.drain():
            self._send(message, destination)
        if core.stopped:
            self._set_exit_status(0)

    def _record_failed_tick(self, error: Exception) -> None:
        self._failed_ticks += 1
        self._core.counters.add("application.failed_ticks")
        if self._failed_ticks == 1:
            import traceback

            text = "".join(traceback.format_exception(error))
            self._core.log.write(clock(), "tick_failed", error=text)
        if self._failed_ticks >= MAX_CONSECUTIVE_FAILED_TICKS:
            self._set_exit_status(1)

    def _set_exit_status(self, status: int) -> None:
        if self._exit_status is not None and not self._exit_status.done():
            self._exit_status.set_result(status)

    @singledispatchmethod
    def _send(self, message: object, destination: Address) -> None:
        """Sends a message of the core's outbox, to another process if its type has no handler."""
        frame = node_messages.encode(message)  # type: ignore[arg-type]
        count_sent(self._core.counters, message, len(frame))
        self._node_port.send(frame, destination)

    @_send.register(PacketToUpstream)
    def _(self, message: PacketToUpstream, destination: Address) -> None:
        self._packet_port.send(message.frame, destination)

    @_send.register(PacketToClient)
    def _(self, message: PacketToClient, destination: Address) -> None:
        self._packet_port.send(message.frame, self._fabric_address(destination))

    @_send.register(ResetPacket)
    def _(self, message: ResetPacket, destination: Address) -> None:
        frame = self._adapter.encode_reset(message)
        self._packet_port.send(frame, self._fabric_address(destination))

    @_send.register(ReadFeed)
    @_send.register(WatchFeed)
    def _(self, message: ReadFeed | WatchFeed, destination: Address) -> None:
        assert self._store is not None
        self._store.start_call(message)

    @_send.register(FetchFeed)
    def _(self, message: FetchFeed, destination: Address) -> None:
        self._start_task(self._fetch_feed(message.feed, destination))

    @_send.register(CheckVm)
    def _(self, message: CheckVm, destination: Address) -> None:
        self._start_task(self._check_vm(message.host, destination))

    def _start_task(self, work: Coroutine[object, object, None]) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _fetch_feed(self, feed: Feed, source: Address) -> None:
        answer = await fetch_feed_copy(source, feed)
        self._deliver(source, answer)

    async def _check_vm(self, host: int, address: Address) -> None:
        self._deliver(address, VmChecked(host, await probe_vm(address)))

    def _fabric_address(self, client: Address) -> Address:
        """Returns the address at which the fabric accepts packets for a client."""
        return (client[0], self._settings.client_address[1])

    def _get_feed_state(self, feed: Feed) -> FeedState:
        return self._core.feeds.copy(feed).state(clock())

    def _ready_page(self) -> Page:
        if self._core.is_ready:
            return Page(200, "ready\n")
        return Page(503, "not ready\n")

    def _metrics_page(self) -> Page:
        from shallotshore.packets.exposition import render_metrics

        return Page(200, render_metrics(self._core))  # type: ignore[arg-type]

    def _flush_log(self) -> None:
        self._core.latencies.update_histograms()
        self._timers["flush"] = self._loop.call_later(LOG_FLUSH_INTERVAL_MS / 1000, self._flush_log)
        self._writer.flush()
