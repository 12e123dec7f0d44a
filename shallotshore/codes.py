"""Numbered result codes, used in messages, logs, counters and exit reports."""

__all__ = ["Code", "Outcome", "describe", "markdown_table", "outcome_of"]

from enum import IntEnum


class Outcome(IntEnum):
    """What a caller may conclude about its request."""

    DONE = 1
    NOT_RUN = 2
    UNKNOWN = 3


class Code(IntEnum):
    """Result codes; the hundreds digit is the family. docs/result-codes.md has the table."""

    OK = 100

    OVERLOADED = 200
    DEADLINE_EXPIRED = 201
    DEADLINE_TOO_LONG = 202
    NO_UPSTREAM = 203
    UPSTREAM_LEAVING = 204
    UPSTREAM_COLD = 205
    DATA_CENTRE_OUT = 206
    CANCELLED = 207
    NO_QUORUM = 208
    VOIDED = 209
    RETRY_BUDGET_SPENT = 210
    TABLE_FULL = 211
    FAIR_SHARE = 212
    STOPPING = 213
    NOT_READY = 214

    HELD = 300
    TOO_YOUNG = 301
    STALE_TABLE = 302
    ANSWER_MISSING = 303
    UPSTREAM_LOST = 304
    UPSTREAM_FAILED = 305
    ANSWER_INCOMPLETE = 306

    NO_SUCH_FLOW = 400
    FLOW_LOST = 401
    FLOW_REFUSED = 402
    FLOW_CLOSED = 403
    WRONG_SERVICE = 404
    WRONG_CUSTOMER = 405
    WRONG_UPSTREAM = 406
    UNKNOWN_ADDRESS = 407

    RECORD_NOT_JSON = 500
    RECORD_NOT_OBJECT = 501
    RECORD_KIND_UNKNOWN = 502
    RECORD_VERSION_UNKNOWN = 503
    RECORD_FIELD_MISSING = 504
    RECORD_FIELD_TYPE = 505
    RECORD_FIELD_VALUE = 506
    RECORD_FIELD_UNKNOWN = 507
    RECORD_REFERENCE_UNKNOWN = 508
    RECORD_DUPLICATE = 509
    RECORD_ID_COLLISION = 510
    RECORD_TOO_LARGE = 511
    RECORD_UNREADABLE = 512
    RECORD_FIELD_REPEATED = 513

    REVISION_NOT_RISING = 520
    REVISION_UNDECODABLE = 521
    REVISION_MOSTLY_REFUSED = 522
    REVISION_GAP = 523

    ROUTE_ADDRESS_TAKEN = 530
    SPLIT_WITHOUT_WEIGHT = 531
    SPLIT_SERVICE_REPEATED = 532
    TARGET_ABOVE_LIMIT = 533
    LIMIT_UNATTAINABLE = 534
    COLD_LIMIT_UNUSED = 535

    MESSAGE_TRUNCATED = 600
    MESSAGE_KIND_UNKNOWN = 601
    MESSAGE_MALFORMED = 602
    MESSAGE_TOO_LARGE = 603
    MESSAGE_NOT_AUTHENTIC = 604

    SETTING_MISSING = 700
    SETTING_TYPE = 701
    SETTING_VALUE = 702
    SETTING_CONFLICT = 703

    PEER_UNREACHABLE = 800
    PEER_NOT_AUTHENTIC = 801
    SERVICE_UNREACHABLE = 802
    SERVICE_STALE = 803
    SERVICE_RATE_LIMITED = 804


_FAMILIES = {
    1: "Done",
    2: "Not run",
    3: "Unknown outcome, and refused claims",
    4: "Flows and packets",
    5: "Records, revisions and configurations",
    6: "Messages",
    7: "Settings",
    8: "Peers and platform",
}

_DESCRIPTIONS: dict[Code, str] = {
    Code.OK: "The request was run and its whole answer was returned.",
    Code.OVERLOADED: "No candidate had room: all were at their limits, with full or slow queues.",
    Code.DEADLINE_EXPIRED: "The deadline passed before the request was started.",
    Code.DEADLINE_TOO_LONG: "The request's age plus its budget exceeds the maximum lifetime.",
    Code.NO_UPSTREAM: "The service has no upstream that takes new work.",
    Code.UPSTREAM_LEAVING: "The upstream is leaving and takes no new work.",
    Code.UPSTREAM_COLD: "The upstream is in cold start and has reached its present limit.",
    Code.DATA_CENTRE_OUT: "The data centre of the upstream is out of service.",
    Code.CANCELLED: "The caller cancelled the request before it was started.",
    Code.NO_QUORUM: "Too few witnesses replied for the key to be claimed.",
    Code.VOIDED: "The request was voided: its witnesses refuse every further attempt.",
    Code.RETRY_BUDGET_SPENT: "No further attempt is allowed by the retry budget.",
    Code.TABLE_FULL: "A table has reached its size limit; its existing entries are not affected.",
    Code.FAIR_SHARE: "The customer has used up its share while other customers wait.",
    Code.STOPPING: "The process is stopping and takes no new work.",
    Code.NOT_READY: "The agent lacks current configuration, or its upstream is not ready.",
    Code.HELD: "The key of the flow or request is already claimed.",
    Code.TOO_YOUNG: "The witness has not run long enough to know all earlier claims of the key.",
    Code.STALE_TABLE: "The sender's table of upstreams is older than that of the witness.",
    Code.ANSWER_MISSING: "No answer arrived before the deadline.",
    Code.UPSTREAM_LOST: "The upstream's process ended while it ran the request.",
    Code.UPSTREAM_FAILED: "The upstream reported an error after it had started the request.",
    Code.ANSWER_INCOMPLETE: "Parts of the answer are missing or its checksum is wrong.",
    Code.NO_SUCH_FLOW: "No upstream of the service owns the flow.",
    Code.FLOW_LOST: "The upstream that served the flow has ended or its agent is lost.",
    Code.FLOW_REFUSED: "No upstream could accept the new flow.",
    Code.FLOW_CLOSED: "The flow was closed by its upstream.",
    Code.WRONG_SERVICE: "The message is for a service that the upstream does not serve.",
    Code.WRONG_CUSTOMER: "The customer does not match the address, the flow or the upstream.",
    Code.WRONG_UPSTREAM: "The message names an upstream other than the one that received it.",
    Code.UNKNOWN_ADDRESS: "No service is published at the address.",
    Code.RECORD_NOT_JSON: "The record is not valid JSON.",
    Code.RECORD_NOT_OBJECT: "The record is not a JSON object.",
    Code.RECORD_KIND_UNKNOWN: "The kind of the record is unknown.",
    Code.RECORD_VERSION_UNKNOWN: "The schema version of the record is unknown to this program.",
    Code.RECORD_FIELD_MISSING: "A required field is missing.",
    Code.RECORD_FIELD_TYPE: "A field has the wrong type.",
    Code.RECORD_FIELD_VALUE: "The value of a field is outside its allowed range.",
    Code.RECORD_FIELD_UNKNOWN: "The record has a field that its schema does not define.",
    Code.RECORD_REFERENCE_UNKNOWN: "A field names a record that does not exist.",
    Code.RECORD_DUPLICATE: "Two records claim the same name or address.",
    Code.RECORD_ID_COLLISION: "Two names have the same 64-bit id; one must be renamed.",
    Code.RECORD_TOO_LARGE: "The text of the record exceeds the size limit.",
    Code.RECORD_UNREADABLE: "The record's file cannot be read.",
    Code.RECORD_FIELD_REPEATED: "An object has the same field more than once.",
    Code.REVISION_NOT_RISING: "The revision is not higher than the one in force.",
    Code.REVISION_UNDECODABLE: "The revision cannot be decoded.",
    Code.REVISION_MOSTLY_REFUSED: "More than half of the changed records were refused.",
    Code.REVISION_GAP: "The delta starts at a revision above the one in force.",
    Code.ROUTE_ADDRESS_TAKEN: "A route before it has the same address; only one takes effect.",
    Code.SPLIT_WITHOUT_WEIGHT: "All weights of a split are 0, so that no service gets flows.",
    Code.SPLIT_SERVICE_REPEATED: "A split names the same service twice.",
    Code.TARGET_ABOVE_LIMIT: "The target latency of a route is above its time limit.",
    Code.LIMIT_UNATTAINABLE: "No server can keep the limit.",
    Code.COLD_LIMIT_UNUSED: "A limit for cold servers is declared for a service without a route.",
    Code.MESSAGE_TRUNCATED: "The message ends before its last field.",
    Code.MESSAGE_KIND_UNKNOWN: "The message kind is unknown.",
    Code.MESSAGE_MALFORMED: "A field of the message has the wrong type or range.",
    Code.MESSAGE_TOO_LARGE: "The message exceeds the size limit.",
    Code.MESSAGE_NOT_AUTHENTIC: "The message authentication code is wrong.",
    Code.SETTING_MISSING: "A required setting is missing.",
    Code.SETTING_TYPE: "A setting cannot be parsed.",
    Code.SETTING_VALUE: "The value of a setting is outside its allowed range.",
    Code.SETTING_CONFLICT: "Two settings exclude each other.",
    Code.PEER_UNREACHABLE: "The peer process could not be reached.",
    Code.PEER_NOT_AUTHENTIC: "The peer's certificate was refused.",
    Code.SERVICE_UNREACHABLE: "The configuration service or VM list could not be reached.",
    Code.SERVICE_STALE: "The platform's revision is too old, or it lacks the requested changes.",
    Code.SERVICE_RATE_LIMITED: "The platform refused a read because of its rate limit.",
}


def describe(code: Code) -> str:
    """Returns the one-sentence meaning of a code.

    Args:
        code: The code to describe.

    Returns:
        An English sentence.
    """
    return _DESCRIPTIONS[code]


def outcome_of(code: Code) -> Outcome:
    """Returns the outcome of a request that ended with a code.

    Args:
        code: A code of the families 100 to 399.

    Returns:
        DONE for 100 to 199, NOT_RUN for 200 to 299, UNKNOWN for all others.
    """
    family = code // 100
    if family == 1:
        return Outcome.DONE
    if family == 2:
        return Outcome.NOT_RUN
    return Outcome.UNKNOWN


def markdown_table() -> str:
    """Returns the table of all codes as it stands in docs/result-codes.md."""
    lines = ["| Code | Name | Meaning |", "| --- | --- | --- |"]
    for family, title in _FAMILIES.items():
        lines.append(f"| **{family}xx** | | **{title}** |")
        lines.extend(
            f"| {code.value} | {code.name} | {describe(code)} |"
            for code in Code
            if code // 100 == family
        )
    return "\n".join(lines) + "\n"
