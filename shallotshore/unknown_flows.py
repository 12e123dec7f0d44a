"""Decides what a process may do with a flow that its own records do not lead to an upstream.

A process learns of a change some time after others do, and a flow of another process may rest on
that change. Both front ends decide here, for flows without a route and for flows that no known
upstream holds. docs/design/old-copies.md has the rules and their proof.
"""

from __future__ import annotations

__all__ = ["ALWAYS", "NEVER", "Knowledge", "Verdict", "judge_open_flow", "judge_opening"]

from enum import IntEnum

NEVER = -(1 << 40)  # in ms; earlier than any real time
ALWAYS = 1 << 40  # in ms; later than any real time


class Verdict(IntEnum):
    """What to do with the packet of an unknown flow."""

    REFUSE = 1  # nothing serves the flow, and the client is told so
    WAIT = 2  # newer records may serve the flow; the client is not told anything


class Knowledge:
    """What a process knows of the records on which a flow depends.

    Attributes:
        is_kept_current: Whether the process gets changes as they come, as far as it can tell. A
            process that has just started or woken, or has heard of a newer revision, does not.
        as_of: Time up to which the records contain every change, in ms; NEVER when not known.
    """

    __slots__ = ("as_of", "is_kept_current")

    def __init__(self, is_kept_current: bool, as_of: int = NEVER) -> None:
        self.is_kept_current = is_kept_current
        self.as_of = as_of


def judge_opening(knowledge: Knowledge, read_at: int, is_only_copy: bool) -> Verdict:
    """Decides on a packet that opens a flow.

    While no other process can have a copy of the packet, a refusal ends no flow, so that records
    that are kept current suffice. Otherwise the flow may open elsewhere at any moment, by records
    that are newer than any check.

    Args:
        knowledge: What the process knows.
        read_at: When the packet was read, in ms.
        is_only_copy: Whether this process has received every copy that the client has sent, and
            has offered none of them.
    """
    if is_only_copy and (knowledge.is_kept_current or knowledge.as_of >= read_at):
        return Verdict.REFUSE
    return Verdict.WAIT


def judge_open_flow(knowledge: Knowledge, read_at: int) -> Verdict:
    """Decides on a packet of a flow that may be open.

    Whatever let the flow open was acknowledged before the flow's packet was read. Only records that
    are complete up to that time show that nothing serves the flow. Records that once had the route
    or the upstream show nothing more, since it may be back.

    Args:
        knowledge: What the process knows.
        read_at: When a packet of the open flow was read, in ms.
    """
    return Verdict.REFUSE if knowledge.as_of >= read_at else Verdict.WAIT
