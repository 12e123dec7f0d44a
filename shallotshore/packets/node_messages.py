"""Messages between balancers and agents of the packet front end, and their encoding.

A VM is named by its IP number as an integer (`host`). Lost, doubled and reordered messages do no
harm: owners of flows are found again by a search, and all else is sent again.
"""

__all__ = [
    "Carry",
    "CarryKind",
    "Hello",
    "LoadReport",
    "Missing",
    "NodeMessage",
    "OwnedFlow",
    "Passed",
    "Report",
    "Subscribe",
    "UpstreamHealth",
    "decode",
    "encode",
]

from enum import IntEnum

import msgspec
from result import Err, Ok, Result

from shallotshore.codes import Code


class CarryKind(IntEnum):
    """Why a balancer sends a client's packet to an agent."""

    OPEN = 1  # the upstream may accept a new flow
    OWNED = 2  # the balancer believes that the upstream owns the flow
    SEARCH = 3  # all agents of the service are asked; only the owner takes it


class UpstreamHealth(IntEnum):
    """What an agent sees of its upstream."""

    ANSWERS = 1
    SILENT = 2
    LEAVING = 3


class Carry(msgspec.Struct, array_like=True, tag=1, gc=False):
    """A client's packet on its way to an upstream.

    Attributes:
        kind: Why it is sent here.
        service: Id of the service that the route names.
        revision: Revision of the operator's feed that the balancer acted on.
        candidates: Hosts to pass an opening packet on to, best first.
        cold_per_s: Flows a second that a cold upstream of the service bears; 0 for no limit.
        priority: Rank of an opening packet among others that wait; 0 goes first.
        hops: Agents that have passed it on.
        origin: Host of the balancer.
        frame: The client's packet.
    """

    kind: CarryKind
    service: int
    revision: int
    candidates: tuple[int, ...]
    cold_per_s: float
    priority: int
    hops: int
    origin: int
    frame: bytes


class Missing(msgspec.Struct, array_like=True, tag=2, gc=False):
    """An agent's answer to a packet of a flow that its upstream does not hold.

    Attributes:
        key: Key of the flow.
        is_lost: Whether the upstream held it before.
        frame: The client's packet when the balancer took this agent for the owner, else empty.
    """

    key: int
    is_lost: bool
    frame: bytes


class Passed(msgspec.Struct, array_like=True, tag=7, gc=False):
    """An agent's notice to a balancer: it has passed an opening packet on to another agent."""

    key: int
    host: int


class OwnedFlow(msgspec.Struct, array_like=True, tag=3, gc=False):
    """An agent's answer to a search: its upstream holds the flow."""

    key: int


class Subscribe(msgspec.Struct, array_like=True, tag=4, gc=False):
    """A balancer asks an agent for reports for the next few seconds.

    Attributes:
        data_centre: Id of the balancer's data centre; its clients enter there.
        incarnation: The agent's incarnation that the balancer knows; another one is answered
            with all open flows of that data centre.
        operator_revision: What the balancer holds of the operator's feed.
        upstreams_revision: What the balancer holds of the upstreams' feed.
        record_revision: Revision of the record of the agent's upstream; 0 when there is none.
    """

    data_centre: int
    incarnation: int
    operator_revision: int
    upstreams_revision: int
    record_revision: int = 0  # senders of an earlier version leave it out


class Report(msgspec.Struct, array_like=True, tag=5, gc=False):
    """An agent's state, sent to its subscribers on change and as a heartbeat.

    Attributes:
        incarnation: Rises with each start of the agent.
        service: Id of the upstream's service.
        data_centre: Id of the data centre.
        port: Port of the upstream.
        health: What the agent sees of its upstream.
        cold_ms: How much longer the upstream is taken to be cold.
        in_flight: Flows with data of the client that is not answered yet, flows that wait at the
            agent, and an addition for an upstream that fails.
        flows: Open flows.
        operator_revision: What the agent holds of the operator's feed.
        upstreams_revision: What the agent holds of the upstreams' feed.
        opened: Keys of flows that opened, 8 bytes each.
        closed: Keys of flows that ended, 8 bytes each.
        is_complete: Whether `opened` begins a list of all open flows that concern the receiver.
    """

    incarnation: int
    service: int
    data_centre: int
    port: int
    health: UpstreamHealth
    cold_ms: int
    in_flight: int
    flows: int
    operator_revision: int
    upstreams_revision: int
    opened: bytes
    closed: bytes
    is_complete: bool = False  # senders of an earlier version leave it out


class LoadReport(msgspec.Struct, array_like=True, tag=8, gc=False):
    """The part of a report that changes often, sent between two heartbeats.

    Attributes:
        in_flight: As in Report.
        flows: As in Report.
        opened: As in Report.
        closed: As in Report.
    """

    in_flight: int
    flows: int
    opened: bytes
    closed: bytes


class Hello(msgspec.Struct, array_like=True, tag=6, gc=False):
    """Membership of balancers: who lives, and what each holds of the feeds.

    Attributes:
        data_centre: Id of the sender's data centre.
        wants_reply: Whether the receiver should answer.
        is_leaving: Whether the sender is about to end.
        operator_revision: What the sender holds of the operator's feed.
        upstreams_revision: What the sender holds of the upstreams' feed.
        members: Hosts of balancers that the sender has heard from.
    """

    data_centre: int
    wants_reply: bool
    is_leaving: bool
    operator_revision: int
    upstreams_revision: int
    members: tuple[int, ...]


NodeMessage = Carry | Missing | OwnedFlow | Passed | Subscribe | Report | LoadReport | Hello

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(NodeMessage)


def encode(message: NodeMessage) -> bytes:
    """Returns the bytes of a message."""
    return _encoder.encode(message)


def decode(frame: bytes) -> Result[NodeMessage, Code]:
    """Reads a datagram from another process.

    Returns:
        The message, or MESSAGE_MALFORMED.
    """
    try:
        return Ok(_decoder.decode(frame))
    except msgspec.MsgspecError:
        return Err(Code.MESSAGE_MALFORMED)
