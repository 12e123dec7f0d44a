"""Messages between an agent and its upstream."""

__all__ = [
    "UpstreamAnswer",
    "UpstreamCancel",
    "UpstreamClose",
    "UpstreamData",
    "UpstreamHealth",
    "UpstreamOpen",
    "UpstreamProbe",
    "UpstreamRequest",
]

from dataclasses import dataclass

from shallotshore.messages import Message


@dataclass(slots=True)
class UpstreamProbe(Message):
    """Agent asks its upstream for `UpstreamHealth`."""

    sequence: int


@dataclass(slots=True)
class UpstreamHealth(Message):
    """State that the upstream reports of itself; the report may be out of date or wrong."""

    incarnation: int
    sequence: int
    ready: bool
    running: int
    connections: int


@dataclass(slots=True)
class UpstreamOpen(Message):
    """Agent opens a flow at its upstream."""

    key: int
    customer: int
    payload: bytes


@dataclass(slots=True)
class UpstreamData(Message):
    """A packet of an open flow, in either direction."""

    key: int
    customer: int
    payload: bytes


@dataclass(slots=True)
class UpstreamClose(Message):
    """Agent or upstream ends a flow; `code` is the reason."""

    key: int
    code: int


@dataclass(slots=True)
class UpstreamRequest(Message):
    """Agent starts a request at its upstream."""

    key: int
    attempt: int
    customer: int
    budget: int
    payload: bytes


@dataclass(slots=True)
class UpstreamCancel(Message):
    """Agent asks its upstream to stop a request."""

    key: int
    attempt: int


@dataclass(slots=True)
class UpstreamAnswer(Message):
    """One part of an upstream's answer to a request.

    Codes OVERLOADED and CANCELLED mean that the request was not started; all others except OK mean
    that it has failed.
    """

    key: int
    attempt: int
    customer: int
    incarnation: int
    code: int
    part: int
    parts: int
    checksum: int
    payload: bytes
