"""Messages between balancers and agents of the packet front end, and their encoding.

A VM is named by its IP address as an integer (`host`). Lost, duplicated and reordered messages do
no harm: the owner of a flow can be found again by a search, and all other messages are repeated.
"""

__all__ = [
    "Carry",
    "CarryKind",
    "Denied",
    "FeedChanges",
    "FeedCheckRequest",
    "FeedChecked",
    "FeedRequest",
    "FeedStatus",
    "Follow",
    "Hello",
    "LoadReport",
    "Missing",
    "NodeMessage",
    "OwnedFlow",
    "Passed",
    "Refused",
    "Report",
    "Search",
    "Subscribe",
    "UpstreamHealth",
    "decode",
    "encode",
]

from enum import IntEnum

import msgspec
from result import Err, Ok, Result

from shallotshore.codes import Code
from shallotshore.packets.feed_entries import FeedEntry
from shallotshore.packets.field_types import (
    Count,
    Decimal,
    DurationMs,
    Hops,
    Host,
    Id,
    Port,
    Revision,
)
from shallotshore.packets.record_decoding import decode_entry
from shallotshore.packets.view import Feed
from shallotshore.scheduling.terms import RequestTerms


class CarryKind(IntEnum):
    """Why a balancer sends a client's packet to an agent."""

    OPEN = 1  # the upstream may accept a new flow
    OWNED = 2  # the balancer believes that the upstream owns the flow
    SEARCH = 3  # sent to many agents; only the agent of the flow's owner forwards it


class UpstreamHealth(IntEnum):
    """Health of an upstream as its agent observes it."""

    ANSWERS = 1
    SILENT = 2
    LEAVING = 3


class Carry(msgspec.Struct, array_like=True, tag=1, gc=False):
    """A client's packet on its way to an upstream.

    Attributes:
        kind: Why the packet is sent to this agent.
        service: Id of the service that the upstream must serve.
        revision: Revision of the operator's feed by which the balancer chose the upstream.
        candidates: Hosts that an opening packet can be passed to, best first.
        cold_per_s: New flows per second declared for a cold upstream of the service; 0 for no
            limit.
        priority: Rank of an opening packet among those that the agent holds; 0 goes first.
        hops: Number of agents that have passed the packet on.
        origin: Host of the balancer.
        frame: The client's packet.
        target_ms: Time from the client's first packet in which an answer is in time, in ms; 0 when
            the route declares none.
        limit_ms: Time after which the client no longer waits, in ms; 0 when the route declares
            none.
        age_ms: How long before this message was sent the client first sent its opening packet, in
            ms; 0 when the route declares no terms.
    """

    kind: CarryKind
    service: Id
    revision: Revision
    candidates: tuple[Host, ...]
    cold_per_s: float
    priority: Count
    hops: Hops
    origin: Host
    frame: bytes
    target_ms: Count = 0  # senders of an earlier version leave it out
    limit_ms: Count = 0  # senders of an earlier version leave it out
    age_ms: Count = 0  # senders of an earlier version leave it out

    @property
    def terms(self) -> RequestTerms:
        """Class of the request that an opening packet announces."""
        return RequestTerms(self.priority, self.target_ms, self.limit_ms)


class Missing(msgspec.Struct, array_like=True, tag=2, gc=False):
    """An agent's answer to a packet of a flow that its upstream does not hold.

    Attributes:
        key: Key of the flow.
        is_lost: Whether the upstream held the flow before.
        frame: The client's packet if the agent denied a packet of kind OWNED without sending it to
            the upstream, or if the upstream returned a packet of an open flow; else empty.
    """

    key: Id
    is_lost: bool
    frame: bytes


class Passed(msgspec.Struct, array_like=True, tag=7, gc=False):
    """An agent's notice to a balancer that it has passed an opening packet to another agent.

    Attributes:
        key: Key of the flow.
        host: Host of the other agent.
        is_unoffered: Whether the agent knows that its upstream has got no copy of the packet. An
            agent also passes on packets that its upstream has returned.
    """

    key: Id
    host: Host
    is_unoffered: bool = False  # senders of an earlier version leave it out


class Refused(msgspec.Struct, array_like=True, tag=15, gc=False):
    """An agent's notice that it has dropped an opening packet, of which its upstream has no copy.

    Attributes:
        key: Key of the flow.
        code: Why the upstream does not get the flow, a number of `Code`.
        wait_ms: Expected wait for the upstream, in ms; 0 when not known.
    """

    key: Id
    code: Count
    wait_ms: DurationMs


class OwnedFlow(msgspec.Struct, array_like=True, tag=3, gc=False):
    """An agent's answer to a search, when its upstream holds the flow.

    Attributes:
        key: Key of the flow.
    """

    key: Id


class Subscribe(msgspec.Struct, array_like=True, tag=4, gc=False):
    """A balancer's request for an agent's reports during the next few seconds.

    Attributes:
        data_centre: Id of the balancer's data centre, where its clients' packets enter.
        incarnation: The agent's incarnation that the balancer knows. An agent of another
            incarnation reports all open flows whose packets enter in that data centre.
        operator_revision: Revision of the balancer's copy of the operator's feed.
        upstreams_revision: Revision of the balancer's copy of the upstreams' feed.
        record_revision: Revision of the balancer's record of the agent's upstream; 0 when it has
            none.
        is_end: Whether the subscription ends now.
        operator_era: Era of the store to which `operator_revision` belongs.
        upstreams_era: The same for `upstreams_revision` and `record_revision`.
    """

    data_centre: Id
    incarnation: Id
    operator_revision: Revision
    upstreams_revision: Revision
    record_revision: Revision = 0  # senders of an earlier version leave it out
    is_end: bool = False  # senders of an earlier version leave it out
    operator_era: Revision = 0  # senders of an earlier version leave it out
    upstreams_era: Revision = 0  # senders of an earlier version leave it out


class Report(msgspec.Struct, array_like=True, tag=5, gc=False):
    """An agent's state, sent to its subscribers as a heartbeat and when the health changes.

    Attributes:
        incarnation: Differs with each start of the agent.
        service: Id of the upstream's service.
        data_centre: Id of the upstream's data centre.
        port: Port of the upstream.
        health: Health of the upstream as the agent observes it.
        cold_ms: How much longer the upstream is treated as cold, in ms.
        in_flight: Sum of the flows with unanswered data of the client, the recent offers and the
            opening packets held by the agent, with an addition for an upstream that fails requests.
        flows: Number of open flows.
        operator_revision: Revision of the agent's copy of the operator's feed.
        upstreams_revision: Revision of the agent's copy of the upstreams' feed.
        opened: Keys of flows that opened, 8 bytes each.
        closed: Keys of flows that ended, 8 bytes each.
        is_complete: Whether `opened` begins a list of all open flows that concern the receiver.
        operator_era: Era of the store to which `operator_revision` belongs.
        upstreams_era: Era of the store to which `upstreams_revision` belongs.
        service_ms: How long a request takes at the upstream, in ms; 0.0 when not known.
        concurrency: Requests that the upstream handles well at the same time; 0.0 when not known.
    """

    incarnation: Id
    service: Id
    data_centre: Id
    port: Port
    health: UpstreamHealth
    cold_ms: DurationMs
    in_flight: Count
    flows: Count
    operator_revision: Revision
    upstreams_revision: Revision
    opened: bytes
    closed: bytes
    is_complete: bool = False  # senders of an earlier version leave it out
    # Senders of an earlier version leave out what follows.
    operator_era: Revision = 0
    upstreams_era: Revision = 0
    service_ms: Decimal = 0.0
    concurrency: Decimal = 0.0


class LoadReport(msgspec.Struct, array_like=True, tag=8, gc=False):
    """The part of a report that changes often, sent between two heartbeats.

    Attributes:
        in_flight: Load of the upstream in requests, computed as for Report.
        flows: Number of open flows.
        opened: Keys of flows that opened, 8 bytes each.
        closed: Keys of flows that ended, 8 bytes each.
        service_ms: How long a request takes at the upstream, in ms; 0.0 when not known.
        concurrency: Requests that the upstream handles well at the same time; 0.0 when not known.
    """

    in_flight: Count
    flows: Count
    opened: bytes
    closed: bytes
    # Senders of an earlier version leave out what follows.
    service_ms: Decimal = 0.0
    concurrency: Decimal = 0.0


class Hello(msgspec.Struct, array_like=True, tag=6, gc=False):
    """A gossip message between balancers: known members, and the sender's feed revisions.

    Attributes:
        data_centre: Id of the sender's data centre.
        wants_reply: Whether the receiver should answer with a Hello of its own.
        is_leaving: Whether the sender is about to stop.
        operator_revision: Revision of the sender's copy of the operator's feed.
        upstreams_revision: Revision of the sender's copy of the upstreams' feed.
        members: Hosts of some of the balancers that the sender knows.
        neighbours: Hosts of some of the balancers in the sender's data centre.
        operator_era: Era of the store to which `operator_revision` belongs.
        upstreams_era: Era of the store to which `upstreams_revision` belongs.
    """

    data_centre: Id
    wants_reply: bool
    is_leaving: bool
    operator_revision: Revision
    upstreams_revision: Revision
    members: tuple[Host, ...]
    neighbours: tuple[Host, ...] = ()  # senders of an earlier version leave it out
    operator_era: Revision = 0  # senders of an earlier version leave it out
    upstreams_era: Revision = 0  # senders of an earlier version leave it out


class Follow(msgspec.Struct, array_like=True, tag=9, gc=False):
    """A balancer's request to a reader of the store: its FeedStatus during the next seconds."""


class FeedStatus(msgspec.Struct, array_like=True, tag=10, gc=False):
    """What a reader of the store holds, sent to its followers regularly and on each change.

    Attributes:
        operator_revision: Revision of the reader's copy of the operator's feed.
        upstreams_revision: Revision of the reader's copy of the upstreams' feed.
        operator_age_ms: How long ago the store confirmed the copy of the operator's feed, in ms;
            None when calls to the store fail.
        upstreams_age_ms: The same for the upstreams' feed.
        operator_era: Era of the store to which `operator_revision` belongs.
        upstreams_era: Era of the store to which `upstreams_revision` belongs.
    """

    operator_revision: Revision
    upstreams_revision: Revision
    operator_age_ms: DurationMs | None
    upstreams_age_ms: DurationMs | None
    operator_era: Revision = 0  # senders of an earlier version leave it out
    upstreams_era: Revision = 0  # senders of an earlier version leave it out


class FeedRequest(msgspec.Struct, array_like=True, tag=11, gc=False):
    """A request for the changes of a feed after the sender's revision of an era of the store."""

    feed: Feed
    revision: Revision
    era: Revision = 0  # senders of an earlier version leave it out


class FeedChanges(msgspec.Struct, array_like=True, tag=12, gc=False):
    """The answer to a FeedRequest.

    Attributes:
        feed: Which feed.
        revision: Revision of the sender's copy.
        entries: The changes after the requested revision; None when the sender no longer has them,
            holds another era or they do not fit into one datagram, so that the whole copy must be
            fetched.
        era: Era of the store to which the revisions belong.
    """

    feed: Feed
    revision: Revision
    entries: tuple[FeedEntry, ...] | None
    era: Revision = 0  # senders of an earlier version leave it out


class Search(msgspec.Struct, array_like=True, tag=13, gc=False):
    """Packets of flows whose owner a balancer does not know, sent to many agents.

    The agent of a flow's owner forwards the flow's packet and answers by OwnedFlow. Other agents
    answer by Denied.

    Attributes:
        service: Id of the service that the upstream must serve.
        origin: Host of the balancer.
        frames: The clients' packets, one for each flow.
        is_relayed: Whether the agent should also pass the packets on to the other agents of its
            service in its data centre.
    """

    service: Id
    origin: Host
    frames: tuple[bytes, ...]
    is_relayed: bool = False  # an agent of an earlier version leaves it out, and answers alone


class Denied(msgspec.Struct, array_like=True, tag=14, gc=False):
    """An agent's answer to a Search: flows that its upstream does not hold.

    Attributes:
        keys: Keys of the flows, 8 bytes each.
    """

    keys: bytes


class FeedCheckRequest(msgspec.Struct, array_like=True, tag=16, gc=False):
    """A request to a reader to ask the store whether its copy of a feed is up to date.

    Attributes:
        feed: Which feed.
        number: When the sender sent the request, by its own clock in ms; it is sent back.
    """

    feed: Feed
    number: Id


class FeedChecked(msgspec.Struct, array_like=True, tag=17, gc=False):
    """The answer to a FeedCheckRequest, when the store has confirmed the copy since its arrival.

    Attributes:
        feed: Which feed.
        number: The number of the request.
        revision: Revision of the sender's copy, which contains every change up to the request.
        era: Era of the store in which the revision was assigned.
    """

    feed: Feed
    number: Id
    revision: Revision
    era: Revision


NodeMessage = (
    Carry
    | Missing
    | OwnedFlow
    | Passed
    | Subscribe
    | Report
    | LoadReport
    | Hello
    | Follow
    | FeedStatus
    | FeedRequest
    | FeedChanges
    | Search
    | Denied
    | Refused
    | FeedCheckRequest
    | FeedChecked
)


class _EncodedChanges(msgspec.Struct, array_like=True, tag=12, gc=False):
    """A FeedChanges whose entries are not decoded yet."""

    feed: Feed
    revision: Revision
    entries: tuple[msgspec.Raw, ...]
    era: Revision = 0


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(NodeMessage)
_encoded_changes_decoder = msgspec.msgpack.Decoder(_EncodedChanges)


def encode(message: NodeMessage) -> bytes:
    """Returns the encoded bytes of a message."""
    return _encoder.encode(message)


def decode(frame: bytes) -> Result[NodeMessage, Code]:
    """Decodes a datagram from another process.

    An entry of a FeedChanges that cannot be used becomes a RefusedEntry.

    Returns:
        The message, or MESSAGE_MALFORMED.
    """
    try:
        return Ok(_decoder.decode(frame))
    except (msgspec.MsgspecError, RecursionError):
        return _decode_changes(frame)


def _decode_changes(frame: bytes) -> Result[NodeMessage, Code]:
    """Decodes a FeedChanges entry by entry; any other message is malformed."""
    try:
        message = _encoded_changes_decoder.decode(frame)
        entries = tuple(decode_entry(entry) for entry in message.entries)
    except (msgspec.MsgspecError, RecursionError):
        return Err(Code.MESSAGE_MALFORMED)
    return Ok(FeedChanges(message.feed, message.revision, entries, message.era))
