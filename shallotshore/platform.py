"""Client of the platform's read-only services: the configuration service and the VM list."""

__all__ = ["PlatformClient"]

import asyncio
from collections.abc import Callable

from shallotshore.codes import Code
from shallotshore.control import CallFailedError, ControlClient
from shallotshore.control_messages import PlatformRead, PlatformReply
from shallotshore.messages import Address, Message
from shallotshore.systems import Counters

# A core has at most one watch and one poll in progress per platform service and address.
_MAX_CONCURRENT_READS = 16


class PlatformClient:
    """Makes a call for each `PlatformRead` of a core, and delivers the `PlatformReply`.

    A failed call is delivered as a reply with a code of the family SERVICE_*, so that the core
    decides when to read again.
    """

    __slots__ = ("_client", "_counters", "_deliver", "_tasks")

    def __init__(
        self,
        client: ControlClient,
        counters: Counters,
        deliver: Callable[[Address, Message], None],
    ) -> None:
        """Creates a client without reads in progress.

        Args:
            client: Client that makes the calls.
            counters: Counters to which failed reads are added.
            deliver: Called with the service's address and its reply.
        """
        self._client = client
        self._counters = counters
        self._deliver = deliver
        self._tasks: set[asyncio.Task] = set()

    def read(self, service: Address, message: PlatformRead) -> None:
        """Starts a read, whose reply is delivered later.

        Args:
            service: Address of the platform service.
            message: The read; `wait` is in ms.
        """
        if len(self._tasks) >= _MAX_CONCURRENT_READS:
            self._fail(service, message, Code.SERVICE_RATE_LIMITED)
            return
        task = asyncio.get_running_loop().create_task(self._run(service, message))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def close(self) -> None:
        """Cancels the reads in progress."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _run(self, service: Address, message: PlatformRead) -> None:
        try:
            reply = await self._client.read(service, message)
        except CallFailedError:
            self._fail(service, message, Code.SERVICE_UNREACHABLE)
            return
        self._deliver(service, reply)

    def _fail(self, service: Address, message: PlatformRead, code: Code) -> None:
        self._counters.add(f"platform.failed.{code.name.lower()}")
        reply = PlatformReply(message.source, code, message.after, message.after, ())
        self._deliver(service, reply)
