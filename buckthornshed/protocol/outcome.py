"""Outcomes of calls, and the reasons why a node answers in place of a target.

A node may report ``NOT_RUN`` only if it knows that no byte of the request reached the
application of any target.
"""

from enum import StrEnum
from typing import NamedTuple

__all__ = ["REASONS", "Outcome", "Reason", "ReasonTraits"]


class Outcome(StrEnum):
    """Outcome of a call."""

    COMPLETE = "complete"
    NOT_RUN = "not_run"
    FAILED = "failed"
    UNKNOWN = "unknown"


class Reason(StrEnum):
    """Reason why a node answered a call in place of a target."""

    OVERLOAD = "overload"
    QUEUE_FULL = "queue-full"
    RETRY_LIMIT = "retry-limit"
    DEADLINE = "deadline"
    CANCELLED = "cancelled"
    DRAINING = "draining"
    STALE_VIEW = "stale-view"
    NO_CONFIGURATION = "no-configuration"
    NO_ROUTE = "no-route"
    NO_TARGET = "no-target"
    BAD_REQUEST = "bad-request"
    TOO_LARGE = "too-large"
    KEY_INVALID = "key-invalid"
    KEY_TABLE_FULL = "key-table-full"
    KEY_UNPROVEN = "key-unproven"
    KEY_IN_PROGRESS = "key-in-progress"
    KEY_COMPLETED = "key-completed"
    ANSWER_LOST = "answer-lost"
    ANSWER_INVALID = "answer-invalid"


class ReasonTraits(NamedTuple):
    """How a reason is reported to the caller.

    Parameters
    ----------
    status : int
        HTTP status code.
    title : str
        Title of the problem details (RFC 9457).
    retry_later : bool
        Whether the answer may tell the caller how long to wait before a retry.
    """

    status: int
    title: str
    retry_later: bool


REASONS: dict[Reason, ReasonTraits] = {
    Reason.OVERLOAD: ReasonTraits(503, "Capacity is short", True),
    Reason.QUEUE_FULL: ReasonTraits(503, "The queue is full", True),
    Reason.RETRY_LIMIT: ReasonTraits(503, "The retry allowance is spent", False),
    Reason.DEADLINE: ReasonTraits(504, "The deadline has passed", True),
    Reason.CANCELLED: ReasonTraits(499, "The caller cancelled the call", False),
    Reason.DRAINING: ReasonTraits(503, "The instance is leaving", True),
    Reason.STALE_VIEW: ReasonTraits(503, "The node is refreshing its view", True),
    Reason.NO_CONFIGURATION: ReasonTraits(503, "No configuration is in force", True),
    Reason.NO_ROUTE: ReasonTraits(404, "No route matches the call", False),
    Reason.NO_TARGET: ReasonTraits(503, "No target is available", True),
    Reason.BAD_REQUEST: ReasonTraits(400, "The request is malformed", False),
    Reason.TOO_LARGE: ReasonTraits(413, "The request is too large", False),
    Reason.KEY_INVALID: ReasonTraits(400, "The idempotency key is unusable", False),
    Reason.KEY_TABLE_FULL: ReasonTraits(503, "The key table is full", True),
    Reason.KEY_UNPROVEN: ReasonTraits(502, "Whether the key has run is unknown", False),
    Reason.KEY_IN_PROGRESS: ReasonTraits(409, "The key is still running", True),
    Reason.KEY_COMPLETED: ReasonTraits(409, "The key has run already", False),
    Reason.ANSWER_LOST: ReasonTraits(502, "No answer came back", False),
    Reason.ANSWER_INVALID: ReasonTraits(502, "The answer was unusable", False),
}
