"""The application object: runs one core on asyncio and owns its sockets, timers and metrics."""

__all__ = ["Application", "ApplicationConfig"]

import asyncio
import signal
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, Protocol

import statsd
import structlog

from shallotshore import codec, status
from shallotshore.clock import clock
from shallotshore.codec import Transport
from shallotshore.control import ControlClient, ControlServer
from shallotshore.control_messages import PlatformRead, StatusReply, StatusRequest
from shallotshore.datagrams import DatagramEndpoint
from shallotshore.messages import Address, Message
from shallotshore.metrics import Latencies, Metrics, RequestTimer, make_label_function
from shallotshore.platform import PlatformClient
from shallotshore.security import MacKeys, TlsMaterial
from shallotshore.systems import Counters, Outbox

TICK_INTERVAL_MS = 20  # interval between ticks when no message arrives
PAUSE_THRESHOLD_MS = 1000  # a process that has not ticked for longer counts as paused
# After this time a graceful stop is abandoned; the cores limit their part of the stop to 30 s.
STOP_TIMEOUT_MS = 60_000
_MAX_DATAGRAMS_AFTER_PAUSE = 65_536  # more than a socket buffer of 4 MiB holds in practice
_MAINTENANCE_INTERVAL_S = 1.0  # between metrics flushes, and between checks for renewed keys
_MAX_CONSECUTIVE_FAILED_TICKS = 100  # after these the process exits, so that it can be replaced


class RunnableCore(Protocol):
    """Interface that the application requires of a core.

    `stop`, `stopped`, `status` and `is_busy` are optional: each is used when the core has it.
    """

    counters: Counters
    outbox: Outbox

    def receive(self, source: Address, message: Message) -> None:
        """Queues a message for the next tick."""

    def tick(self, now: int) -> None:
        """Runs every system."""


@dataclass(slots=True)
class ApplicationConfig:
    """Configuration of an application.

    Attributes:
        address: IP address and port of the UDP socket and, with `control`, of the gRPC server.
        keys: Keys of the datagram MAC.
        allowed_plain_source: The only address from which messages without a MAC are accepted, or
            None to accept them from every address.
        tls: Certificates of gRPC, or None for plain text.
        control: Whether to serve gRPC.
        statsd: Address of the statsd server, or None to send no metrics.
        prefix: First part of the names of all metrics.
        find_label: Returns the label (customer and service) of a service's address, for the latency
            histograms.
    """

    address: Address
    keys: MacKeys = field(default_factory=MacKeys.without_key)
    allowed_plain_source: Address | None = None
    tls: TlsMaterial | None = None
    control: bool = True
    statsd: Address | None = None
    prefix: str = "shallotshore"
    find_label: Callable[[Address], str] = make_label_function(None)


class Application:
    """Runs a core: one tick after each batch of arrivals, and one per `TICK_INTERVAL_MS`.

    Life cycle: `start` opens all resources, `start_graceful_stop` asks the core to stop, and
    `close` releases everything. `run` does all three and handles SIGTERM and SIGINT.
    """

    __slots__ = (
        "_client",
        "_config",
        "_core",
        "_endpoint",
        "_exit_status",
        "_failed_ticks",
        "_last_tick_at",
        "_is_tls_renewal_due",
        "_latencies",
        "_log",
        "_loop",
        "_maintenance_task",
        "_metrics",
        "_platform",
        "_renewal_problem",
        "_request_timer",
        "_senders",
        "_server",
        "_stop_deadline",
        "_tick_handle",
        "_timer",
    )

    def __init__(self, core: RunnableCore, config: ApplicationConfig) -> None:
        """Creates an application that has opened no sockets yet.

        Args:
            core: The core to run.
            config: Address, keys and outputs.
        """
        counters = core.counters
        self._core = core
        self._config = config
        self._endpoint = DatagramEndpoint(
            config.address, config.keys, counters, self.deliver, config.allowed_plain_source
        )
        self._client = ControlClient(config.address, config.tls, counters)
        self._platform = PlatformClient(self._client, counters, self.deliver)
        self._server = (
            ControlServer(
                config.address, config.tls, counters, self.deliver, self.build_status_report
            )
            if config.control
            else None
        )
        self._latencies = Latencies()
        self._request_timer = RequestTimer(self._latencies, config.find_label)
        self._metrics = Metrics(_make_statsd_client(config), counters, self._latencies)
        self._senders: dict[Transport, Callable[[Address, Any], None]] = {
            Transport.PLAIN: self._endpoint.send,
            Transport.AUTHENTICATED: self._endpoint.send,
            Transport.CONTROL: self._client.send,
            Transport.PLATFORM: self._send_platform_message,
        }
        self._log = structlog.get_logger().bind(address=f"{config.address[0]}:{config.address[1]}")
        self._loop: asyncio.AbstractEventLoop | None = None
        self._tick_handle: asyncio.Handle | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._maintenance_task: asyncio.Task | None = None
        self._is_tls_renewal_due = False
        self._renewal_problem = ""
        self._exit_status: asyncio.Future[int] | None = None
        self._stop_deadline: int | None = None
        self._last_tick_at = clock()
        self._failed_ticks = 0

    @property
    def core(self) -> RunnableCore:
        """The core that the application runs."""
        return self._core

    @property
    def latencies(self) -> Latencies:
        """Latencies of the requests that passed through this process."""
        return self._latencies

    async def run(self) -> int:
        """Runs until a signal asks for a stop and the core has stopped.

        Returns:
            The exit status: 0 after a graceful stop.

        Raises:
            OSError: The UDP address cannot be bound.
            RuntimeError: The TCP address cannot be bound.
        """
        try:
            await self.start()
            for number in (signal.SIGTERM, signal.SIGINT):
                asyncio.get_running_loop().add_signal_handler(number, self.start_graceful_stop)
            return await self.wait_until_stopped()
        finally:
            await self.close()

    async def start(self) -> None:
        """Opens the sockets and starts the timer.

        Raises:
            OSError: The UDP address cannot be bound.
            RuntimeError: The TCP address cannot be bound.
        """
        self._loop = asyncio.get_running_loop()
        self._exit_status = self._loop.create_future()
        await self._endpoint.start()
        if self._server is not None:
            await self._server.start()
        self._last_tick_at = clock()
        self._maintenance_task = self._loop.create_task(self._run_maintenance())
        self._on_timer()
        self._log.info("started")

    async def wait_until_stopped(self) -> int:
        """Waits until the core has stopped and returns the exit status."""
        assert self._exit_status is not None
        return await asyncio.shield(self._exit_status)

    def start_graceful_stop(self) -> None:
        """Asks the core to stop gracefully; a second call changes nothing."""
        if self._stop_deadline is not None:
            return
        now = clock()
        self._stop_deadline = now + STOP_TIMEOUT_MS
        self._log.info("stopping")
        stop = getattr(self._core, "stop", None)
        if stop is not None:
            stop(now)
        self.schedule_tick()

    async def close(self) -> None:
        """Releases everything that `start` opened."""
        for handle in (self._timer, self._tick_handle, self._maintenance_task):
            if handle is not None:
                handle.cancel()
        self._timer = self._tick_handle = None
        await self._platform.close()
        await self._client.close()
        if self._server is not None:
            await self._server.close()
        await self._endpoint.close()
        self._metrics.flush()
        self._log.info("ended")

    def deliver(self, source: Address, message: Message) -> None:
        """Passes a message to the core and schedules a tick."""
        self._request_timer.observe_message(message, clock())
        self._core.receive(source, message)
        self.schedule_tick()

    def schedule_tick(self) -> None:
        """Schedules a tick behind the callbacks that the event loop has already queued."""
        if self._tick_handle is None and self._loop is not None:
            self._tick_handle = self._loop.call_soon(self._tick)

    def build_status_report(self, request: StatusRequest) -> StatusReply:
        """Returns the status report; counters are left out at detail 0."""
        core_status = getattr(self._core, "status", None)
        return status.build_status_report(
            core_status(clock()) if core_status is not None else None,
            self._core.counters.snapshot() if request.detail else {},
            self._latencies.summary(),
        )

    def _on_timer(self) -> None:
        assert self._loop is not None
        self._timer = self._loop.call_later(TICK_INTERVAL_MS / 1000, self._on_timer)
        self.schedule_tick()

    def _tick(self) -> None:
        self._tick_handle = None
        now = clock()
        if now - self._last_tick_at > PAUSE_THRESHOLD_MS:
            # After a pause the core drops the messages in its inbox. Read all datagrams that
            # arrived during the pause first, so that they are among the dropped ones.
            self._endpoint.read_datagrams(_MAX_DATAGRAMS_AFTER_PAUSE)
        self._last_tick_at = now
        self._tick_core(now)
        for destination, message in self._core.outbox.drain():
            self._request_timer.observe_message(message, now)
            self._senders[codec.transport_of(message)](destination, message)
        if getattr(self._core, "is_busy", False):
            # The core splits long work into one part per tick; arrivals are handled in between.
            self.schedule_tick()
        self._end_if_stopped(now)

    def _tick_core(self, now: int) -> None:
        """Runs a tick and catches its exceptions: one bad message must not end all flows."""
        try:
            self._core.tick(now)
            self._failed_ticks = 0
        except Exception:
            self._core.counters.add("application.failed_ticks")
            self._failed_ticks += 1
            if self._failed_ticks == 1:
                self._log.exception("tick_failed")
            if self._failed_ticks >= _MAX_CONSECUTIVE_FAILED_TICKS:
                self._set_exit_status(1)

    def _end_if_stopped(self, now: int) -> None:
        if self._stop_deadline is None:
            return
        if getattr(self._core, "stopped", True):
            self._set_exit_status(0)
        elif now >= self._stop_deadline:
            self._log.error("stop_given_up")
            self._set_exit_status(1)

    def _set_exit_status(self, exit_status: int) -> None:
        if self._exit_status is not None and not self._exit_status.done():
            self._exit_status.set_result(exit_status)

    def _send_platform_message(self, destination: Address, message: Message) -> None:
        if isinstance(message, PlatformRead):
            self._platform.read(destination, message)
        elif self._server is None or not self._server.answer_read(destination, message):
            self._core.counters.add("platform.reader_gone")

    async def _run_maintenance(self) -> None:
        """Flushes metrics and reloads changed keys and certificates, once per interval."""
        while True:
            await asyncio.sleep(_MAINTENANCE_INTERVAL_S)
            try:
                self._metrics.flush()
                await self._renew_security()
                self._renewal_problem = ""
            except Exception as error:
                # Any error is tried again. Without this task, withdrawn keys would stay in use.
                self._core.counters.add("security.renewal_failed")
                if str(error) != self._renewal_problem:
                    self._log.error("renewal_failed", reason=str(error))
                self._renewal_problem = str(error)

    async def _renew_security(self) -> None:
        """Reloads changed keys and certificates, and serves renewed certificates."""
        if self._config.keys.reload():
            self._log.info("mac_keys_renewed")
        if self._config.tls is not None and self._config.tls.reload():
            self._is_tls_renewal_due = True
        if self._is_tls_renewal_due:
            await self._renew_tls()
            self._is_tls_renewal_due = False

    async def _renew_tls(self) -> None:
        if self._server is not None:
            await self._server.renew_certificates()
        await self._client.renew_certificates()
        self._log.info("certificates_renewed")


def _make_statsd_client(config: ApplicationConfig) -> statsd.StatsClient | None:
    if config.statsd is None:
        return None
    host, port = config.statsd
    return statsd.StatsClient(host, port, prefix=config.prefix, ipv6=":" in host)
