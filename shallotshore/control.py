"""gRPC between the system's processes and with platform services, without generated code."""

__all__ = ["ControlClient", "ControlServer", "CallFailedError"]

import asyncio
from collections import OrderedDict, deque
from collections.abc import Callable

import grpc
import msgspec
from grpc import aio
from result import Err

from shallotshore import codec
from shallotshore.codec import Transport
from shallotshore.codes import Code
from shallotshore.control_messages import PlatformRead, PlatformReply, StatusReply, StatusRequest
from shallotshore.messages import Address, Message
from shallotshore.security import TlsMaterial
from shallotshore.systems import Counters

EXCHANGE_METHOD = "/shallotshore.Control/Exchange"
STATUS_METHOD = "/shallotshore.Control/Status"
READ_METHOD = "/shallotshore.Platform/Read"

_MAX_BATCH_BYTES = 1024 * 1024
_MAX_QUEUED_BYTES = 8 * 1024 * 1024  # per peer; others are dropped, as cores resend vital ones
_MAX_CHANNELS = 64  # with more, the least recently used idle channel is closed
_CALL_TIMEOUT_S = 2.0
_READ_TIMEOUT_MARGIN_S = 2.0  # added to the time for which a watch waits
_CLOSE_GRACE_S = 0.2
_MAX_PENDING_READS = 4096
_MAX_GRPC_MESSAGE_BYTES = 2 * codec.MAX_MESSAGE_BYTES
_OPTIONS = [
    ("grpc.max_receive_message_length", _MAX_GRPC_MESSAGE_BYTES),
    ("grpc.max_send_message_length", _MAX_GRPC_MESSAGE_BYTES),
    # The default reconnect backoff grows to 120 s, but a revision has to reach all processes
    # within 3 s.
    ("grpc.initial_reconnect_backoff_ms", 100),
    ("grpc.min_reconnect_backoff_ms", 500),
    ("grpc.max_reconnect_backoff_ms", 1000),
]
# When the authority changes, a second server starts on the same port before the first one ends.
_SERVER_OPTIONS = [*_OPTIONS, ("grpc.so_reuseport", 1)]

_BATCH_DECODER = msgspec.msgpack.Decoder(tuple[codec.WIRE_ADDRESS_TYPE, list[bytes]])
_ENCODER = msgspec.msgpack.Encoder()

DeliverMessage = Callable[[Address, Message], None]
BuildStatusReport = Callable[[StatusRequest], StatusReply]


class CallFailedError(Exception):
    """A call failed: the peer was unreachable, was not authentic, or its answer was invalid."""

    def __init__(self, code: Code, details: str) -> None:
        super().__init__(f"{code.value} {code.name}: {details}")
        self.code = code


def format_target(address: Address) -> str:
    """Returns an address in the form that gRPC expects, with an IPv6 address in brackets."""
    host, port = address
    return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"


class ControlServer:
    """Receives batches of messages and answers status requests and platform reads."""

    __slots__ = (
        "_address",
        "_build_status_report",
        "_counters",
        "_deliver",
        "_last_read_id",
        "_pending_reads",
        "_server",
        "_served_authority",
        "_tls",
    )

    def __init__(
        self,
        address: Address,
        tls: TlsMaterial | None,
        counters: Counters,
        deliver: DeliverMessage,
        build_status_report: BuildStatusReport,
    ) -> None:
        """Creates a server that does not listen yet.

        Args:
            address: IP address and port to listen on.
            tls: Certificates, or None for plain text.
            counters: Counts refused calls and messages.
            deliver: Called with the source and each message that arrives.
            build_status_report: Builds the answer to a status request.
        """
        self._address = address
        self._tls = tls
        self._counters = counters
        self._deliver = deliver
        self._build_status_report = build_status_report
        self._server: aio.Server | None = None
        self._served_authority = b""
        self._pending_reads: dict[Address, asyncio.Future[Message]] = {}
        self._last_read_id = 0

    async def start(self) -> None:
        """Starts to listen.

        Raises:
            RuntimeError: The address cannot be bound.
        """
        server = aio.server(options=_SERVER_OPTIONS)
        server.add_generic_rpc_handlers(_make_rpc_handlers(self))
        if self._tls is None:
            server.add_insecure_port(format_target(self._address))
        else:
            server.add_secure_port(format_target(self._address), self._tls.server_credentials())
            self._served_authority = self._tls.authority
        await server.start()
        self._server = server

    async def renew_certificates(self) -> None:
        """Ends the connections of peers whose certificates another authority has signed.

        Handshakes use the current certificates by themselves. Only a new authority calls for a new
        server: the old one ends its connections, and cuts the handshakes in progress. Its calls in
        progress may take up to `_CALL_TIMEOUT_S` to end.
        """
        if self._tls is None or self._tls.authority == self._served_authority:
            return
        old = self._server
        await self.start()
        if old is not None:
            await old.stop(_CALL_TIMEOUT_S)

    async def close(self) -> None:
        """Stops listening and cancels the pending reads."""
        for read in self._pending_reads.values():
            read.cancel()
        if self._server is not None:
            await self._server.stop(_CLOSE_GRACE_S)

    def answer_read(self, destination: Address, message: Message) -> bool:
        """Answers a pending read.

        Args:
            destination: Address to which the core sent the answer; it is the source that the read
                was given on delivery.
            message: The answer.

        Returns:
            Whether a read with this source is pending.
        """
        read = self._pending_reads.get(destination)
        if read is None:
            return False
        if not read.done():
            read.set_result(message)
        return True

    async def exchange(self, request: bytes, context: aio.ServicerContext) -> bytes:
        """Receives a batch of messages from another process."""
        await self._check_peer_name(context)
        try:
            source, frames = _BATCH_DECODER.decode(request)
        except msgspec.MsgspecError:
            self._counters.add("control.refused.message_malformed")
            await context.abort(grpc.StatusCode.INVALID_ARGUMENT, Code.MESSAGE_MALFORMED.name)
        for frame in frames:
            message = self._decode_frame(frame, Transport.CONTROL)
            if message is not None:
                self._deliver(source, message)
        return b""

    async def status(self, request: bytes, context: aio.ServicerContext) -> bytes:
        """Answers a `StatusRequest`."""
        await self._check_peer_name(context)
        message = self._decode_frame(request, Transport.CONTROL)
        if not isinstance(message, StatusRequest):
            await context.abort(grpc.StatusCode.INVALID_ARGUMENT, Code.MESSAGE_MALFORMED.name)
            raise AssertionError("abort raises")
        return codec.encode(self._build_status_report(message))

    async def read(self, request: bytes, context: aio.ServicerContext) -> bytes:
        """Delivers a `PlatformRead` to the core and returns the core's answer."""
        await self._check_peer_name(context)
        message = self._decode_frame(request, Transport.PLATFORM)
        if not isinstance(message, PlatformRead):
            await context.abort(grpc.StatusCode.INVALID_ARGUMENT, Code.MESSAGE_MALFORMED.name)
        if len(self._pending_reads) >= _MAX_PENDING_READS:
            await context.abort(grpc.StatusCode.RESOURCE_EXHAUSTED, Code.TABLE_FULL.name)
        self._last_read_id += 1
        source = (context.peer(), self._last_read_id)
        answer: asyncio.Future[Message] = asyncio.get_running_loop().create_future()
        self._pending_reads[source] = answer
        try:
            self._deliver(source, message)  # type: ignore[arg-type]
            return codec.encode(await answer)
        finally:
            del self._pending_reads[source]

    def _decode_frame(self, frame: bytes, transport: Transport) -> Message | None:
        decoded = codec.decode(frame)
        if isinstance(decoded, Err):
            self._counters.add(f"control.refused.{decoded.err_value.name.lower()}")
            return None
        if codec.transport_of(decoded.ok_value) is not transport:
            self._counters.add("control.refused.message_kind_unknown")
            return None
        return decoded.ok_value

    async def _check_peer_name(self, context: aio.ServicerContext) -> None:
        """Aborts the call unless the peer's certificate has the name that all processes share."""
        if self._tls is None:
            return
        names = context.auth_context().get("x509_subject_alternative_name", [])
        if self._tls.peer_name.encode() not in names:
            self._counters.add("control.refused.peer_not_authentic")
            await context.abort(grpc.StatusCode.PERMISSION_DENIED, Code.PEER_NOT_AUTHENTIC.name)


def _make_rpc_handlers(server: ControlServer) -> tuple[grpc.GenericRpcHandler, ...]:
    services: dict[str, dict[str, grpc.RpcMethodHandler]] = {}
    for path, method in (
        (EXCHANGE_METHOD, server.exchange),
        (STATUS_METHOD, server.status),
        (READ_METHOD, server.read),
    ):
        service, name = path.strip("/").split("/")
        handler = grpc.unary_unary_rpc_method_handler(method)
        services.setdefault(service, {})[name] = handler
    return tuple(
        grpc.method_handlers_generic_handler(service, methods)
        for service, methods in services.items()
    )


class _Peer:
    """Channel to one process and the messages queued for it."""

    __slots__ = ("channel", "pending_calls", "queue", "queued_bytes", "send_task")

    def __init__(self, channel: aio.Channel) -> None:
        self.channel = channel
        self.queue: deque[bytes] = deque()
        self.queued_bytes = 0
        self.pending_calls = 0
        self.send_task: asyncio.Task | None = None

    @property
    def is_idle(self) -> bool:
        """Whether no call is in progress."""
        return self.send_task is None and not self.pending_calls

    def pop_batch(self) -> list[bytes]:
        """Removes and returns the messages of one batch."""
        frames: list[bytes] = []
        size = 0
        while self.queue and (not frames or size + len(self.queue[0]) <= _MAX_BATCH_BYTES):
            frames.append(self.queue.popleft())
            size += len(frames[-1])
        self.queued_bytes -= size
        return frames


class ControlClient:
    """Calls other processes; at most one batch of messages per peer is in flight."""

    __slots__ = ("_address", "_counters", "_peers", "_tls")

    def __init__(self, address: Address, tls: TlsMaterial | None, counters: Counters) -> None:
        """Creates a client without channels.

        Args:
            address: This process's address, named to peers as the source of messages.
            tls: Certificates, or None for plain text.
            counters: Counts messages that cannot be sent.
        """
        self._address = address
        self._tls = tls
        self._counters = counters
        self._peers: OrderedDict[Address, _Peer] = OrderedDict()

    def send(self, destination: Address, message: Message) -> None:
        """Queues a message for a process, or drops it if the queue of that process is full."""
        frame = codec.encode(message)
        peer = self._get_peer(destination)
        if peer.queued_bytes + len(frame) > _MAX_QUEUED_BYTES:
            self._counters.add("control.unsent.queue_full")
            return
        peer.queue.append(frame)
        peer.queued_bytes += len(frame)
        if peer.send_task is None:
            peer.send_task = asyncio.get_running_loop().create_task(
                self._send_queued(destination, peer)
            )

    async def read(self, destination: Address, message: PlatformRead) -> PlatformReply:
        """Reads a platform service.

        Raises:
            CallFailedError: The service cannot be reached or its answer is invalid.
        """
        timeout = message.wait / 1000 + _READ_TIMEOUT_MARGIN_S
        reply = await self._call_method(destination, READ_METHOD, message, timeout)
        if not isinstance(reply, PlatformReply):
            raise CallFailedError(Code.MESSAGE_MALFORMED, "the answer is not a PlatformReply")
        return reply

    async def status(self, destination: Address, message: StatusRequest) -> StatusReply:
        """Requests the status report of a process.

        Raises:
            CallFailedError: The process cannot be reached or its answer is invalid.
        """
        reply = await self._call_method(destination, STATUS_METHOD, message, _CALL_TIMEOUT_S)
        if not isinstance(reply, StatusReply):
            raise CallFailedError(Code.MESSAGE_MALFORMED, "the answer is not a StatusReply")
        return reply

    async def renew_certificates(self) -> None:
        """Closes all channels; later calls open new ones with the current certificates."""
        peers, self._peers = self._peers, OrderedDict()
        for peer in peers.values():
            await _close_channel(peer)

    async def close(self) -> None:
        """Closes all channels; queued messages are dropped."""
        await self.renew_certificates()

    async def _send_queued(self, destination: Address, peer: _Peer) -> None:
        call = peer.channel.unary_unary(EXCHANGE_METHOD)
        try:
            while peer.queue:
                batch = _ENCODER.encode((self._address, peer.pop_batch()))
                try:
                    await call(batch, timeout=_CALL_TIMEOUT_S)
                except asyncio.CancelledError:
                    if _is_task_cancelled():
                        raise
                    self._counters.add("control.unsent.channel_closed")
                    return
                except aio.AioRpcError as error:
                    self._counters.add(f"control.unsent.{_error_code(error).name.lower()}")
        finally:
            peer.send_task = None

    async def _call_method(
        self, destination: Address, path: str, message: Message, timeout: float
    ) -> Message:
        peer = self._get_peer(destination)
        peer.pending_calls += 1
        try:
            answer = await peer.channel.unary_unary(path)(codec.encode(message), timeout=timeout)
        except aio.AioRpcError as error:
            raise CallFailedError(_error_code(error), error.details() or "") from error
        except asyncio.CancelledError as error:
            if _is_task_cancelled():
                raise
            raise CallFailedError(Code.PEER_UNREACHABLE, "the channel was closed") from error
        finally:
            peer.pending_calls -= 1
        decoded = codec.decode(answer)
        if isinstance(decoded, Err):
            raise CallFailedError(decoded.err_value, "the answer cannot be decoded")
        return decoded.ok_value

    def _get_peer(self, destination: Address) -> _Peer:
        peer = self._peers.get(destination)
        if peer is None:
            peer = self._peers[destination] = _Peer(self._open_channel(destination))
        self._peers.move_to_end(destination)
        if len(self._peers) > _MAX_CHANNELS:
            self._close_idle_channel()
        return peer

    def _open_channel(self, destination: Address) -> aio.Channel:
        target = format_target(destination)
        if self._tls is None:
            return aio.insecure_channel(target, options=_OPTIONS)
        name = ("grpc.ssl_target_name_override", self._tls.peer_name)
        return aio.secure_channel(
            target, self._tls.channel_credentials(), options=[*_OPTIONS, name]
        )

    def _close_idle_channel(self) -> None:
        for address, peer in self._peers.items():
            if peer.is_idle:
                del self._peers[address]
                asyncio.get_running_loop().create_task(_close_channel(peer))
                return


def _is_task_cancelled() -> bool:
    """Returns whether the current task itself is cancelled, not only the call that it awaits."""
    task = asyncio.current_task()
    return task is not None and task.cancelling() > 0


async def _close_channel(peer: _Peer) -> None:
    await peer.channel.close()


def _error_code(error: aio.AioRpcError) -> Code:
    details = (error.details() or "").lower()
    if error.code() is grpc.StatusCode.PERMISSION_DENIED or "certificate" in details:
        return Code.PEER_NOT_AUTHENTIC
    if "handshake" in details or "ssl" in details:
        return Code.PEER_NOT_AUTHENTIC
    return Code.PEER_UNREACHABLE
