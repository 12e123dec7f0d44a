"""Forwards flow packets to the flow's owner, by hint or rendezvous order, and replies to callers.

The owner of a flow is the upstream that serves it. A hint is a cache entry that names the owner.
"""

__all__ = ["Forwarding"]

from array import array
from functools import singledispatchmethod

from shallotshore.agent_messages import FlowHint, FlowReply, FlowReset, Forward
from shallotshore.balancer_state import BalancerState
from shallotshore.caller_messages import CallerClose, CallerData, CallerOpen, CallerReset
from shallotshore.candidates import MAX_CANDIDATES, Candidates
from shallotshore.codes import Code
from shallotshore.hashing import flow_key
from shallotshore.hints import HINT_LEASE_MS
from shallotshore.ingress import CallerPacket, Ingress
from shallotshore.messages import Address, Message, PacketKind
from shallotshore.token_bucket import TokenBucket
from shallotshore.unknown_flows import Verdict, judge_open_flow
from shallotshore.withheld_resets import WithheldResets

_RECENT_SLOT_BITS = 11  # 2,048 packets: the traffic of a few round trips between data centres
_RECENT_SLOT_MASK = (1 << _RECENT_SLOT_BITS) - 1
_MAX_SEARCHED_UPSTREAMS = 64  # a flow that none of these upstreams owns counts as lost
_MAX_SEARCH_STEPS = _MAX_SEARCHED_UPSTREAMS  # for one packet, at most one step per upstream
_SEARCH_PAUSE_MS = 1_000  # from a search that asked all upstreams to the next one for the flow
_SEARCHES_PER_MS = 0.5  # bounds the extra packets caused by searches for unknown flows
_SEARCH_BURST = 500.0
_HINTS_PER_MS = 0.05  # a few kilobytes a second to three other balancers
_HINT_BURST = 1_000.0
_FINAL_CODES = (Code.FLOW_LOST, Code.DATA_CENTRE_OUT, Code.FLOW_CLOSED, Code.FLOW_REFUSED)


class Forwarding:
    """System that forwards flow packets to agents and their replies to callers.

    It keeps no table of flows. Recent packets are kept only so that a packet that did not reach
    the flow's owner can be sent to further upstreams.
    """

    __slots__ = (
        "_candidates",
        "_data_centre_out_keys",
        "_dispatch_caller_packet",
        "_exhausted_at",
        "_exhausted_keys",
        "_hint_budget",
        "_ingress",
        "_recent_forwards",
        "_search_budget",
        "_search_steps",
        "_searched_since",
        "_state",
        "_withheld_resets",
    )

    def __init__(self, state: BalancerState, ingress: Ingress, candidates: Candidates) -> None:
        self._state = state
        self._ingress = ingress
        self._candidates = candidates
        # The low bits of the flow key are the index in all these columns; a new entry replaces the
        # one before. A key is exhausted when all upstreams have been asked whether they own it.
        self._recent_forwards: list[Forward | None] = [None] * (1 << _RECENT_SLOT_BITS)
        self._exhausted_keys = array("Q", bytes(8 << _RECENT_SLOT_BITS))
        self._exhausted_at = array("q", bytes(8 << _RECENT_SLOT_BITS))
        self._data_centre_out_keys = array("Q", bytes(8 << _RECENT_SLOT_BITS))
        self._search_steps = array("B", bytes(1 << _RECENT_SLOT_BITS))
        self._searched_since = array("q", bytes(8 << _RECENT_SLOT_BITS))
        self._withheld_resets = WithheldResets()
        self._search_budget = TokenBucket(_SEARCHES_PER_MS, _SEARCH_BURST)
        self._hint_budget = TokenBucket(_HINTS_PER_MS, _HINT_BURST)
        # The method is bound once: a singledispatchmethod builds a new function at each access.
        self._dispatch_caller_packet = self._handle_caller_packet

    def run(self, now: int) -> None:
        """Handles hints, callers' packets, replies and resets in that order."""
        inbox = self._state.inbox
        for source, hint in inbox.take(FlowHint):
            self._handle_flow_hint(source, hint, now)
        for packet in self._ingress.flows:
            self._dispatch_caller_packet(packet.message, packet, now)
        for _, reply in inbox.take(FlowReply):
            self._handle_flow_reply(reply, now)
        for source, reset in inbox.take(FlowReset):
            self._state.record_peer_revision(source, reset.revision, now)
            self._handle_flow_reset(reset, now)
        if self._withheld_resets:
            knowledge = self._state.knowledge()
            for reset in self._withheld_resets.take_decided(knowledge, now):
                self._answer_reset(reset)

    @singledispatchmethod
    def _handle_caller_packet(self, message: Message, packet: CallerPacket, now: int) -> None:
        self._state.counters.add("flows.unexpected")

    @_handle_caller_packet.register
    def _handle_caller_open(self, message: CallerOpen, packet: CallerPacket, now: int) -> None:
        state = self._state
        key = flow_key(packet.caller, packet.vip, message.flow)
        owner = self._find_hinted_owner(key, packet, now)
        if owner is None:
            return
        candidates = self._candidates.for_opening(packet.service, packet.customer, key, now)
        if not candidates:
            state.counters.add("flows.no_upstream")
            self._reset_caller(packet, message.flow, Code.FLOW_REFUSED)
            return
        if owner:
            candidates = _put_owner_first(owner, candidates)
        elif candidates[0] not in state.placement.order(packet.service, key, 1):
            # The owner will not be first in rendezvous order: the hint saves later packets a hop.
            state.hints.put(key, candidates[0], now + HINT_LEASE_MS)
        self._send_forward(key, PacketKind.OPEN, packet, candidates, message.payload, now)

    @_handle_caller_packet.register
    def _handle_caller_data(self, message: CallerData, packet: CallerPacket, now: int) -> None:
        key = flow_key(packet.caller, packet.vip, message.flow)
        candidates = self._find_candidates(key, message.flow, packet, now)
        if candidates:
            self._send_forward(key, PacketKind.DATA, packet, candidates, message.payload, now)

    @_handle_caller_packet.register
    def _handle_caller_close(self, message: CallerClose, packet: CallerPacket, now: int) -> None:
        key = flow_key(packet.caller, packet.vip, message.flow)
        candidates = self._find_candidates(key, message.flow, packet, now)
        if candidates:
            self._send_forward(key, PacketKind.CLOSE, packet, candidates, b"", now)
            self._state.hints.remove(key)

    def _find_candidates(
        self, key: int, flow: int, packet: CallerPacket, now: int
    ) -> tuple[int, ...] | None:
        """Returns the upstreams for a packet of an established flow.

        Returns:
            Upstreams in the order in which to try them; None or an empty tuple when the caller has
            been reset instead.
        """
        owner = self._find_hinted_owner(key, packet, now)
        if owner is None:
            return None
        candidates = self._candidates.for_packet(packet.service, key)
        if owner:
            return _put_owner_first(owner, candidates)
        if not candidates:
            self._state.counters.add("flows.no_upstream")
            reset = FlowReset(key, flow, packet.caller, packet.vip, 0, Code.NO_SUCH_FLOW, 0)
            self._reset_unknown_flow(reset, now, now)
        return candidates

    def _find_hinted_owner(self, key: int, packet: CallerPacket, now: int) -> int | None:
        """Returns the owner of a flow by its hint.

        Returns:
            The id of the upstream, 0 without a usable hint, or None when the caller has been reset
            because the owner's data centre is out.
        """
        state = self._state
        owner = state.hints.find_owner(key, now)
        if not owner:
            return 0
        view = state.catalog.upstream(owner)
        if view is None or view.service != packet.service:
            state.hints.remove(key)
            return 0
        if not state.catalog.is_data_centre_in_service(view.data_centre):
            if judge_open_flow(state.knowledge(), now) is Verdict.WAIT:
                # Newer records may have the data centre back in service. The agents know.
                return 0
            state.hints.remove(key)
            if isinstance(packet.message, CallerOpen):
                return 0
            state.counters.add("flows.data_centre_out")
            self._reset_caller(packet, packet.message.flow, Code.DATA_CENTRE_OUT)  # type: ignore[attr-defined]
            return None
        if owner in state.exclusions.for_packets(packet.service):
            # The hint stays, since the owner may be alive; a witness knows whether it is lost.
            return 0
        return owner

    def _send_forward(
        self,
        key: int,
        kind: PacketKind,
        packet: CallerPacket,
        candidates: tuple[int, ...],
        payload: bytes,
        now: int,
    ) -> None:
        state = self._state
        view = state.catalog.upstream(candidates[0])
        if view is None:
            state.counters.add("flows.upstream_gone")
            return
        if view.customers and packet.customer not in view.customers:
            serving_customer = self._candidates.for_customer_packet(
                packet.service, packet.customer, key
            )
            candidates = serving_customer or candidates
            view = state.catalog.upstream(candidates[0]) or view
        state.record_packet_sent(candidates[0], packet.service, kind is PacketKind.OPEN, now)
        forward = Forward(
            key,
            kind,
            packet.service,
            packet.customer,
            packet.message.flow,  # type: ignore[attr-defined]
            packet.caller,
            packet.vip,
            state.address,
            candidates,
            0,
            state.catalog.revision,
            payload,
        )
        if kind is not PacketKind.OPEN:
            self._recent_forwards[key & _RECENT_SLOT_MASK] = forward
            self._search_steps[key & _RECENT_SLOT_MASK] = 0
            self._searched_since[key & _RECENT_SLOT_MASK] = now
        state.outbox.send(view.address, forward)

    def _reset_caller(self, packet: CallerPacket, flow: int, code: Code) -> None:
        self._state.answer(packet.caller, packet.vip, CallerReset(flow, code))

    def _handle_flow_hint(self, source: Address, hint: FlowHint, now: int) -> None:
        state = self._state
        if state.catalog.upstream(hint.upstream) is None:
            state.counters.add("hints.unknown_upstream")
            return
        state.counters.add("hints.taken")
        self._withheld_resets.remove(hint.key)
        state.hints.put(hint.key, hint.upstream, now + min(hint.lease, HINT_LEASE_MS))
        targets = state.peers.hint_targets(source)
        if not targets:
            return
        state.record_agent_message(hint.upstream, now)
        if self._hint_budget.take(now):
            state.counters.add("hints.passed_on")
            for target in targets:
                state.outbox.send(target, hint)

    def _handle_flow_reply(self, reply: FlowReply, now: int) -> None:
        state = self._state
        view = state.catalog.upstream(reply.upstream)
        route = state.catalog.route(reply.vip)
        if (
            view is None
            or route is None
            or view.service != reply.service
            or route.service != reply.service
            or route.customer != reply.customer
            or reply.key != flow_key(reply.caller, reply.vip, reply.flow)
        ):
            state.counters.add("flows.reply_mismatched")
            return
        state.record_agent_message(reply.upstream, now)
        self._withheld_resets.remove(reply.key)
        state.loads.record_load_report(reply.upstream, reply.load, now)
        state.hints.renew(reply.key, reply.upstream, now + HINT_LEASE_MS)
        state.answer(reply.caller, reply.vip, CallerData(reply.flow, reply.payload))

    def _handle_flow_reset(self, reset: FlowReset, now: int) -> None:
        state = self._state
        route = state.catalog.route(reset.vip)
        if route is None or reset.key != flow_key(reset.caller, reset.vip, reset.flow):
            state.counters.add("flows.reset_mismatched")
            return
        state.record_agent_message(reset.upstream, now)
        if self._is_inconclusive(reset, now) and self._continue_search(reset, route.service, now):
            return
        if reset.code not in _FINAL_CODES and self._remove_contradicting_hint(reset, now):
            return
        if reset.code == Code.NO_SUCH_FLOW:
            self._reset_unknown_flow(reset, self._find_search_start(reset.key, now), now)
        else:
            self._answer_reset(reset)

    def _find_search_start(self, key: int, now: int) -> int:
        slot = key & _RECENT_SLOT_MASK
        forward = self._recent_forwards[slot]
        is_kept = forward is not None and forward.key == key
        return self._searched_since[slot] if is_kept else now

    def _reset_unknown_flow(self, reset: FlowReset, searched_since: int, now: int) -> None:
        """Resets a flow that no known upstream owns, once the records are known to be complete."""
        state = self._state
        if judge_open_flow(state.knowledge(), searched_since) is Verdict.REFUSE:
            self._answer_reset(reset)
            return
        if not self._withheld_resets:
            state.query_peers(now)
        state.counters.add("flows.resets_withheld")
        self._withheld_resets.add(reset, searched_since, now)

    def _answer_reset(self, reset: FlowReset) -> None:
        """Removes the hint of a flow, and tells the caller that the flow has ended."""
        state = self._state
        state.hints.remove(reset.key)
        state.counters.add("flows.reset")
        code = reset.code
        if (
            code == Code.NO_SUCH_FLOW
            and self._data_centre_out_keys[reset.key & _RECENT_SLOT_MASK] == reset.key
        ):
            code = Code.DATA_CENTRE_OUT
        state.answer(reset.caller, reset.vip, CallerReset(reset.flow, code))

    def _is_inconclusive(self, reset: FlowReset, now: int) -> bool:
        """Whether an upstream other than the one that sent the reset may own the flow.

        An agent in a removed data centre refuses every packet with DATA_CENTRE_OUT, including
        packets of flows that other upstreams own. But an agent whose data centre is in service,
        and which has the same revision as this balancer, sends that code as a witness to say that
        the owner's data centre is out.
        """
        if reset.code == Code.NO_SUCH_FLOW:
            return True
        if reset.code != Code.DATA_CENTRE_OUT:
            return False
        state = self._state
        if state.hints.find_owner(reset.key, now) == reset.upstream:
            return False
        view = state.catalog.upstream(reset.upstream)
        is_data_centre_in = view is not None and state.catalog.is_data_centre_in_service(
            view.data_centre
        )
        return not is_data_centre_in or reset.revision != state.catalog.revision

    def _remove_contradicting_hint(self, reset: FlowReset, now: int) -> bool:
        """Removes a hint that names another upstream than the sender of a reset as the owner.

        The reset is then dropped; a second reset would find no hint and end the flow.

        Returns:
            Whether there was such a hint.
        """
        owner = self._state.hints.find_owner(reset.key, now)
        if not owner or owner == reset.upstream:
            return False
        self._state.hints.remove(reset.key)
        self._state.counters.add("flows.reset_contradicted")
        return True

    def _continue_search(self, reset: FlowReset, service: int, now: int) -> bool:
        """Sends a packet that did not reach the owner to the next upstreams in rendezvous order.

        Returns:
            Whether the reset must be kept from the caller for now.
        """
        state = self._state
        slot = reset.key & _RECENT_SLOT_MASK
        forward = self._recent_forwards[slot]
        if forward is None or forward.key != reset.key:
            # The packet's slot is empty or was overwritten. NO_SUCH_FLOW is withheld: the caller's
            # next packet starts a new search. DATA_CENTRE_OUT is passed on and ends the flow, since
            # an owner whose data centre is out resets its flows with it unasked.
            state.counters.add("flows.search_without_packet")
            return reset.code == Code.NO_SUCH_FLOW
        if (
            self._exhausted_keys[slot] == reset.key
            and now - self._exhausted_at[slot] < _SEARCH_PAUSE_MS
        ):
            return False
        if reset.code == Code.DATA_CENTRE_OUT:
            self._data_centre_out_keys[slot] = reset.key
        untried = self._candidates.find_following(
            service, reset.key, reset.upstream, _MAX_SEARCHED_UPSTREAMS
        )
        if not untried:
            self._exhausted_keys[slot] = reset.key
            self._exhausted_at[slot] = now
            return False
        if self._search_steps[slot] >= _MAX_SEARCH_STEPS:
            # Agents have forwarded the packet to upstreams that were asked before. The search
            # continues with the caller's next packet.
            state.counters.add("flows.search_ended")
            return True
        if not self._search_budget.take(now):
            # The caller resends; a reset before the search is complete could end a live flow.
            state.counters.add("flows.search_refused")
            return True
        self._search_steps[slot] += 1
        state.counters.add("flows.searched")
        state.send_to_upstream(untried[0], _copy_with_candidates(forward, untried[:MAX_CANDIDATES]))
        return True


def _put_owner_first(owner: int, candidates: tuple[int, ...]) -> tuple[int, ...]:
    if candidates and candidates[0] == owner:
        return candidates
    others = tuple(upstream for upstream in candidates if upstream != owner)
    return (owner, *others[: MAX_CANDIDATES - 1])


def _copy_with_candidates(forward: Forward, candidates: tuple[int, ...]) -> Forward:
    return Forward(
        forward.key,
        forward.kind,
        forward.service,
        forward.customer,
        forward.flow,
        forward.caller,
        forward.vip,
        forward.balancer,
        candidates,
        0,
        forward.revision,
        forward.payload,
    )
