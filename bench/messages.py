"""Measures the sizes of control messages on the wire, for the totals in docs/CAPACITY.md."""

__all__ = ["run"]

from shallotshore.claim_messages import Claim, ClaimReply
from shallotshore.codes import Code
from shallotshore.control_messages import Delta, HealthEvent, Heartbeat, RevisionOffer
from shallotshore.datagrams import encode_datagram
from shallotshore.messages import ClaimKind, Entry, HealthState, Load, Message, Source
from shallotshore.records import Upstream, encode_record, key_of_record
from shallotshore.security import MacKeys

_ID = 2**63 + 1  # ids and keys take all 64 bits
_REVISION = 9_500 * 365  # after a year with 9,500 changes a day
_UDP_IP_HEADER_BYTES = 28


def _build_samples() -> dict[str, Message]:
    record = Upstream("spotdesk-123456", "spotdesk", "suva-a", ("10.1.2.3", 7100))
    entry = Entry(key_of_record(record), _REVISION, encode_record(record))
    parts = {"part": 0, "parts": 1}
    return {
        "claim": Claim(_ID, ClaimKind.REQUEST, _ID, _ID, 2, _ID, 50, 14_000, _REVISION),
        "claim_reply": ClaimReply(_ID, _ID, _ID, Code.OK, _ID),
        "heartbeat": Heartbeat(
            _ID, _ID, 2, 2, 100_000, HealthState.UP, Load(1, 0, 3, 2_000), _REVISION, 900, _ID
        ),
        "health_event": HealthEvent(_ID, 2, 100_000, HealthState.DOWN),
        "revision_offer": RevisionOffer(Source.CONFIGURATION, _REVISION, _ID, _ID),
        "delta_one_upstream": Delta(
            Source.CONFIGURATION, _REVISION, _REVISION + 1, 0, entries=(entry,), **parts
        ),
    }


def run() -> dict[str, float]:
    """Returns bytes on the wire by message, including the MAC and the UDP and IP headers."""
    keys = MacKeys((b"k" * 32,))
    return {
        f"{name}_bytes": len(encode_datagram(message, keys).unwrap()) + _UDP_IP_HEADER_BYTES
        for name, message in _build_samples().items()
    }
