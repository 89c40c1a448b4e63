"""Outcomes of calls, and the exchanges in flight.

Only the tables in this module derive an outcome from events. ``NOT_RUN`` follows only
from events before the first byte could reach the application of a target.
"""

from enum import Enum, auto
from typing import NamedTuple

from ...protocol.messages import Answer, Fault
from ...protocol.outcome import Outcome, Reason
from ...state.table import BoundedTable

__all__ = [
    "COMBINED_OUTCOMES",
    "HOP_OUTCOMES",
    "RESEND_RULES",
    "AbandonedExchange",
    "Exchange",
    "ExchangeTable",
    "Flaw",
    "HopEvent",
    "KeySource",
    "MatchedAnswer",
    "Progress",
    "Resend",
    "SendHistory",
    "UnmatchedAnswer",
    "find_flaw",
    "hop_outcome",
]

EXCHANGE_MASK = (1 << 64) - 1


class Progress(Enum):
    """Whether a call has been passed on at one hop.

    ``STARTED`` means that the first byte may have been written.
    """

    PENDING = auto()
    STARTED = auto()


class HopEvent(Enum):
    """Event that ends a call at one hop.

    ``FAULT_UNSENT`` is a fault before any byte was written, ``FAULT_SENT`` one
    afterwards. The ``DOWNSTREAM`` events are answers of the next node;
    ``TARGET_ANSWERED`` and ``TARGET_FAILED`` are answers of the application. An
    application that returns an error because a downstream call was refused has itself
    started.
    """

    REFUSED = auto()
    CANCELLED = auto()
    EXPIRED = auto()
    FAULT_UNSENT = auto()
    FAULT_SENT = auto()
    ANSWER_INVALID = auto()
    DOWNSTREAM_COMPLETE = auto()
    DOWNSTREAM_NOT_RUN = auto()
    DOWNSTREAM_FAILED = auto()
    DOWNSTREAM_UNKNOWN = auto()
    TARGET_ANSWERED = auto()
    TARGET_FAILED = auto()


HOP_OUTCOMES: dict[tuple[Progress, HopEvent], Outcome] = {
    (Progress.PENDING, HopEvent.REFUSED): Outcome.NOT_RUN,
    (Progress.PENDING, HopEvent.CANCELLED): Outcome.NOT_RUN,
    (Progress.PENDING, HopEvent.EXPIRED): Outcome.NOT_RUN,
    (Progress.PENDING, HopEvent.FAULT_UNSENT): Outcome.NOT_RUN,
    (Progress.STARTED, HopEvent.CANCELLED): Outcome.UNKNOWN,
    (Progress.STARTED, HopEvent.EXPIRED): Outcome.UNKNOWN,
    (Progress.STARTED, HopEvent.FAULT_UNSENT): Outcome.UNKNOWN,
    (Progress.STARTED, HopEvent.FAULT_SENT): Outcome.UNKNOWN,
    (Progress.STARTED, HopEvent.ANSWER_INVALID): Outcome.UNKNOWN,
    (Progress.STARTED, HopEvent.DOWNSTREAM_COMPLETE): Outcome.COMPLETE,
    (Progress.STARTED, HopEvent.DOWNSTREAM_NOT_RUN): Outcome.NOT_RUN,
    (Progress.STARTED, HopEvent.DOWNSTREAM_FAILED): Outcome.FAILED,
    (Progress.STARTED, HopEvent.DOWNSTREAM_UNKNOWN): Outcome.UNKNOWN,
    (Progress.STARTED, HopEvent.TARGET_ANSWERED): Outcome.COMPLETE,
    (Progress.STARTED, HopEvent.TARGET_FAILED): Outcome.FAILED,
}
"""Outcome of one send; a pair without an entry gives the worst one, ``UNKNOWN``."""


def hop_outcome(progress: Progress, event: HopEvent) -> Outcome:
    """Return the outcome of a send that ``event`` ended."""
    return HOP_OUTCOMES.get((progress, event), Outcome.UNKNOWN)


COMBINED_OUTCOMES: dict[tuple[Outcome, Outcome], Outcome] = {
    (Outcome.NOT_RUN, Outcome.NOT_RUN): Outcome.NOT_RUN,
    (Outcome.NOT_RUN, Outcome.FAILED): Outcome.FAILED,
    (Outcome.NOT_RUN, Outcome.UNKNOWN): Outcome.UNKNOWN,
    (Outcome.NOT_RUN, Outcome.COMPLETE): Outcome.COMPLETE,
    (Outcome.FAILED, Outcome.NOT_RUN): Outcome.FAILED,
    (Outcome.FAILED, Outcome.FAILED): Outcome.FAILED,
    (Outcome.FAILED, Outcome.UNKNOWN): Outcome.UNKNOWN,
    (Outcome.FAILED, Outcome.COMPLETE): Outcome.COMPLETE,
    (Outcome.UNKNOWN, Outcome.NOT_RUN): Outcome.UNKNOWN,
    (Outcome.UNKNOWN, Outcome.FAILED): Outcome.FAILED,
    (Outcome.UNKNOWN, Outcome.UNKNOWN): Outcome.UNKNOWN,
    (Outcome.UNKNOWN, Outcome.COMPLETE): Outcome.COMPLETE,
}
"""Outcome of a call by the outcomes of its sends so far and of the next send."""


class Resend(Enum):
    """Where a call may be sent again."""

    NOWHERE = auto()
    SAME_OWNER = auto()
    ANYWHERE = auto()


RESEND_RULES: dict[tuple[bool, Outcome], Resend] = {
    (True, Outcome.NOT_RUN): Resend.ANYWHERE,
    (True, Outcome.FAILED): Resend.ANYWHERE,
    (True, Outcome.UNKNOWN): Resend.ANYWHERE,
    (True, Outcome.COMPLETE): Resend.NOWHERE,
    (False, Outcome.NOT_RUN): Resend.ANYWHERE,
    (False, Outcome.FAILED): Resend.NOWHERE,
    (False, Outcome.UNKNOWN): Resend.SAME_OWNER,
    (False, Outcome.COMPLETE): Resend.NOWHERE,
}
"""Permitted resend by whether the work is repeatable and the outcome of all sends.

``SAME_OWNER`` sends the same key to the same owner again. The owner never runs the key
twice, but can return an answer that was lost. For a call with a supplied key,
``ANYWHERE`` means the owner of that key; a key that this node generated may be replaced
by a new one.
"""

UNPROVEN_REASONS = frozenset(
    {
        Reason.KEY_UNPROVEN,
        Reason.STALE_VIEW,
        Reason.NO_CONFIGURATION,
        Reason.NO_ROUTE,
    }
)
"""Reasons for which a node did not begin a key and cannot rule out earlier runs."""

REASONS_BEFORE_KEY_LOOKUP = frozenset({Reason.NO_CONFIGURATION, Reason.NO_ROUTE})
"""Reasons for which a node refuses a call before it looks up the key."""


class KeySource(Enum):
    """Origin of the key of a call, which determines who may have sent it before.

    Only this node can have sent a ``GENERATED`` key. A ``SUPPLIED`` key came with the
    call, so an earlier attempt at another node may have run. ``NONE`` stands for a call
    without a key.
    """

    NONE = auto()
    GENERATED = auto()
    SUPPLIED = auto()


class SendHistory:
    """Combined outcome of all sends that one node makes for one call.

    Parameters
    ----------
    repeatable : bool
        Whether the work may run more than once.
    key_source : KeySource
        Origin of the key of the call.
    """

    def __init__(self, *, repeatable: bool, key_source: KeySource) -> None:
        self.repeatable = repeatable
        self.key_source = key_source
        self.outcome = Outcome.NOT_RUN
        self.owner_reported_not_run = False

    def record_end(
        self, outcome: Outcome, reason: Reason | None = None, *, by_owner: bool = False
    ) -> Outcome:
        """Record the end of one send and return ``reported_outcome``.

        An owner that cannot prove that a key is new reports ``UNKNOWN``. If only this
        node knows the key and the owner did not begin it, the key has not run.

        Parameters
        ----------
        outcome : Outcome
            Outcome of the send.
        reason : Reason or None
            Why a node refused the send, if it did.
        by_owner : bool
            Whether the answer came from the owner of the key.
        """
        if self.key_source is KeySource.GENERATED and reason in UNPROVEN_REASONS:
            outcome = Outcome.NOT_RUN
        if outcome is Outcome.NOT_RUN:
            self.owner_reported_not_run = self.owner_reported_not_run or (
                by_owner and reason not in REASONS_BEFORE_KEY_LOOKUP
            )
        self.outcome = COMBINED_OUTCOMES.get((self.outcome, outcome), self.outcome)
        return self.reported_outcome

    @property
    def reported_outcome(self) -> Outcome:
        """Outcome to report to the caller if no further send is made.

        Only the owner can state that a supplied key did not run, because an attempt
        that another node sent may have run.
        """
        proven = (
            self.key_source is not KeySource.SUPPLIED or self.owner_reported_not_run
        )
        if self.outcome is Outcome.NOT_RUN and not proven:
            return Outcome.UNKNOWN
        return self.outcome

    @property
    def resend(self) -> Resend:
        """Permitted resend, subject to the retry allowance and the deadline."""
        return RESEND_RULES[(self.repeatable, self.outcome)]


class Flaw(Enum):
    """Why an answer cannot be passed on."""

    TRUNCATED = "truncated"
    EXCESS = "excess"
    MALFORMED = "malformed"


def find_flaw(
    *, parsed: bool, declared: int | None, received: int, ended: bool
) -> Flaw | None:
    """Return the flaw of an answer, or None if it is complete and valid.

    Parameters
    ----------
    parsed : bool
        Whether the bytes received so far conform to the protocol.
    declared : int or None
        Body length in bytes stated by the head; None if it states no length.
    received : int
        Number of body bytes received.
    ended : bool
        Whether the protocol marked the end of the body; closing the connection does
        not count.
    """
    if not parsed:
        return Flaw.MALFORMED
    if declared is not None and received > declared:
        return Flaw.EXCESS
    if not ended or (declared is not None and received < declared):
        return Flaw.TRUNCATED
    return None


class Exchange(NamedTuple):
    """A send that waits for its answer.

    Parameters
    ----------
    number : int
        Number that the answer must carry.
    request_id : bytes
        Identity of the client request that the send belongs to.
    target : str
        Target of the send.
    connection : int
        Number of the connection, unique within the process.
    progress : Progress
        Whether the first byte may have been written.
    """

    number: int
    request_id: bytes
    target: str
    connection: int
    progress: Progress


class MatchedAnswer(NamedTuple):
    """An answer that matches an exchange in flight."""

    exchange: Exchange
    answer: Answer


class UnmatchedAnswer(NamedTuple):
    """An answer that matches no exchange on its connection.

    The answer is dropped and the connection closed, because later answers on it can
    no longer be assigned reliably to their callers.
    """

    number: int
    connection: int


class AbandonedExchange(NamedTuple):
    """An exchange that ended without an answer; its connection is closed."""

    exchange: Exchange
    fault: Fault


class ExchangeTable:
    """The exchanges in flight of one node.

    Parameters
    ----------
    entries : int
        Maximum number of exchanges in flight.
    first_number : int
        Number of the first exchange. It is random, so that an answer for an earlier
        incarnation matches no exchange.
    """

    def __init__(self, *, entries: int, first_number: int) -> None:
        self.next_number = first_number & EXCHANGE_MASK
        self.in_flight: BoundedTable[int, Exchange] = BoundedTable(entries=entries)

    def reserve(self) -> int:
        """Return the number of the next exchange."""
        number = self.next_number
        self.next_number = (number + 1) & EXCHANGE_MASK
        return number

    def start(
        self,
        number: int,
        *,
        request_id: bytes,
        target: str,
        connection: int,
        deadline: float,
    ) -> None:
        """Record an exchange before its first byte is written.

        Raises
        ------
        TableFullError
            If too many exchanges are in flight; the call was not sent.
        """
        exchange = Exchange(number, request_id, target, connection, Progress.PENDING)
        self.in_flight.put(number, exchange, expires=deadline)

    def record_send(self, number: int) -> None:
        """Record that the transport is about to write the first byte of a call."""
        entry = self.in_flight.live.get(number)
        if entry is not None:
            exchange = entry.value._replace(progress=Progress.STARTED)
            self.in_flight.live[number] = entry._replace(value=exchange)

    def match_answer(
        self, connection: int, answer: Answer
    ) -> MatchedAnswer | UnmatchedAnswer:
        """Match an answer with its exchange and end the exchange."""
        exchange = self.in_flight.get(answer.exchange)
        if exchange is None or exchange.connection != connection:
            return UnmatchedAnswer(answer.exchange, connection)
        self.in_flight.pop(answer.exchange)
        return MatchedAnswer(exchange, answer)

    def abandon(self, number: int, detail: str) -> AbandonedExchange | None:
        """End an exchange without an answer; return None if it has already ended."""
        exchange = self.in_flight.pop(number)
        return None if exchange is None else _abandon(exchange, detail)

    def abandon_connection(
        self, connection: int, detail: str
    ) -> list[AbandonedExchange]:
        """End all exchanges of a connection that closed or violated the protocol."""
        return [
            _abandon(exchange, detail)
            for exchange in self._remove(
                [
                    entry.key
                    for entry in self.in_flight.entries()
                    if entry.value.connection == connection
                ]
            )
        ]

    def expire(self, now: float) -> list[AbandonedExchange]:
        """End the exchanges whose deadline has passed."""
        return [
            _abandon(entry.value, "deadline") for entry in self.in_flight.expire(now)
        ]

    def _remove(self, numbers: list[int]) -> list[Exchange]:
        removed = [self.in_flight.pop(number) for number in numbers]
        return [exchange for exchange in removed if exchange is not None]


def _abandon(exchange: Exchange, detail: str) -> AbandonedExchange:
    maybe_sent = exchange.progress is Progress.STARTED
    return AbandonedExchange(exchange, Fault(exchange.number, maybe_sent, detail))
