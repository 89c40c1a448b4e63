"""Exchanges in flight, and what may be said of work that ended.

The tables in this module are the only place where an outcome is derived from what
happened. ``NOT_RUN`` follows only from events before the first byte could reach the
application of a target.
"""

from enum import Enum, auto
from typing import NamedTuple

from ...protocol.messages import Answer, Fault
from ...protocol.outcome import Outcome, Reason
from ...state.table import BoundedTable

__all__ = [
    "COMBINED",
    "HOP_OUTCOMES",
    "RESENDS",
    "Accepted",
    "Dropped",
    "Exchange",
    "Exchanges",
    "Flaw",
    "HopEvent",
    "KeySource",
    "Progress",
    "Resend",
    "Sends",
    "Stray",
    "find_flaw",
    "hop_outcome",
]

EXCHANGE_MASK = (1 << 64) - 1


class Progress(Enum):
    """How far a call has come at one hop."""

    HELD = auto()
    STARTED = auto()


class HopEvent(Enum):
    """What ends a call at one hop.

    ``FAULT_UNSENT`` is a fault before any byte was written, ``FAULT_SENT`` one after
    it. The ``LOWER`` events are answers of the next node, ``TARGET_ANSWERED`` and
    ``TARGET_FAILED`` those of the application. An application that answers with an
    error because of a refusal below it has itself started.
    """

    REFUSED = auto()
    CANCELLED = auto()
    EXPIRED = auto()
    FAULT_UNSENT = auto()
    FAULT_SENT = auto()
    ANSWER_INVALID = auto()
    LOWER_COMPLETE = auto()
    LOWER_NOT_RUN = auto()
    LOWER_FAILED = auto()
    LOWER_UNKNOWN = auto()
    TARGET_ANSWERED = auto()
    TARGET_FAILED = auto()


HOP_OUTCOMES: dict[tuple[Progress, HopEvent], Outcome] = {
    (Progress.HELD, HopEvent.REFUSED): Outcome.NOT_RUN,
    (Progress.HELD, HopEvent.CANCELLED): Outcome.NOT_RUN,
    (Progress.HELD, HopEvent.EXPIRED): Outcome.NOT_RUN,
    (Progress.HELD, HopEvent.FAULT_UNSENT): Outcome.NOT_RUN,
    (Progress.STARTED, HopEvent.CANCELLED): Outcome.UNKNOWN,
    (Progress.STARTED, HopEvent.EXPIRED): Outcome.UNKNOWN,
    (Progress.STARTED, HopEvent.FAULT_UNSENT): Outcome.UNKNOWN,
    (Progress.STARTED, HopEvent.FAULT_SENT): Outcome.UNKNOWN,
    (Progress.STARTED, HopEvent.ANSWER_INVALID): Outcome.UNKNOWN,
    (Progress.STARTED, HopEvent.LOWER_COMPLETE): Outcome.COMPLETE,
    (Progress.STARTED, HopEvent.LOWER_NOT_RUN): Outcome.NOT_RUN,
    (Progress.STARTED, HopEvent.LOWER_FAILED): Outcome.FAILED,
    (Progress.STARTED, HopEvent.LOWER_UNKNOWN): Outcome.UNKNOWN,
    (Progress.STARTED, HopEvent.TARGET_ANSWERED): Outcome.COMPLETE,
    (Progress.STARTED, HopEvent.TARGET_FAILED): Outcome.FAILED,
}
"""The outcome of one send; a pair that is missing tells the worst, ``UNKNOWN``."""


def hop_outcome(progress: Progress, event: HopEvent) -> Outcome:
    """Return what may be said of a send that ``event`` ended."""
    return HOP_OUTCOMES.get((progress, event), Outcome.UNKNOWN)


COMBINED: dict[tuple[Outcome, Outcome], Outcome] = {
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
"""The outcome of all sends so far and of the next one gives that of both."""


class Resend(Enum):
    """Where the next send of a call may go."""

    NOWHERE = auto()
    SAME_OWNER = auto()
    ANYWHERE = auto()


RESENDS: dict[tuple[bool, Outcome], Resend] = {
    (True, Outcome.NOT_RUN): Resend.ANYWHERE,
    (True, Outcome.FAILED): Resend.ANYWHERE,
    (True, Outcome.UNKNOWN): Resend.ANYWHERE,
    (True, Outcome.COMPLETE): Resend.NOWHERE,
    (False, Outcome.NOT_RUN): Resend.ANYWHERE,
    (False, Outcome.FAILED): Resend.NOWHERE,
    (False, Outcome.UNKNOWN): Resend.SAME_OWNER,
    (False, Outcome.COMPLETE): Resend.NOWHERE,
}
"""By whether the work may be repeated, and the outcome of all sends so far.

``SAME_OWNER`` repeats the same key at the same owner, which never runs it twice but
can bring back an answer that was lost. ``ANYWHERE`` means, for a call with a key that
others may know, the owner of that key; a key minted here may be minted anew.
"""

UNPROVEN_REASONS = frozenset(
    {
        Reason.KEY_UNPROVEN,
        Reason.STALE_VIEW,
        Reason.NO_CONFIGURATION,
        Reason.NO_ROUTE,
    }
)
"""Reasons by which a node did not begin a key and cannot tell of earlier ones."""

BEFORE_KEYS = frozenset({Reason.NO_CONFIGURATION, Reason.NO_ROUTE})
"""Reasons for which a node refuses a call before it looks at its table of keys."""


class KeySource(Enum):
    """Where the key of a call comes from, and so who may have sent it before.

    ``MINTED`` was chosen by this node and told to nobody; ``BROUGHT`` came with the
    call, so an earlier attempt elsewhere may have run; ``NONE`` is a call without.
    """

    NONE = auto()
    MINTED = auto()
    BROUGHT = auto()


class Sends:
    """All sends that one node makes for one call.

    Parameters
    ----------
    repeatable : bool
        Whether the work may run more than once.
    key : KeySource
        Where its key comes from.
    """

    def __init__(self, *, repeatable: bool, key: KeySource) -> None:
        self.repeatable = repeatable
        self.key = key
        self.outcome = Outcome.NOT_RUN
        self.denied = False

    def ended(
        self, outcome: Outcome, reason: Reason | None = None, *, by_owner: bool = False
    ) -> Outcome:
        """Add the end of one send and return ``told``.

        An owner that cannot prove that a key is new says ``UNKNOWN``. Where this
        node alone knows the key, and the owner did not begin it, nobody did.

        Parameters
        ----------
        outcome : Outcome
            What became of the send.
        reason : Reason or None
            Why a node refused it.
        by_owner : bool
            Whether the owner of the key says so, from its table of keys.
        """
        if self.key is KeySource.MINTED and reason in UNPROVEN_REASONS:
            outcome = Outcome.NOT_RUN
        if outcome is Outcome.NOT_RUN:
            self.denied = self.denied or (by_owner and reason not in BEFORE_KEYS)
        self.outcome = COMBINED.get((self.outcome, outcome), self.outcome)
        return self.told

    @property
    def told(self) -> Outcome:
        """What may be told to the caller when no further send is made.

        That a brought key did not run is for its owner to say: an attempt that
        another node sent may have run.
        """
        proven = self.key is not KeySource.BROUGHT or self.denied
        if self.outcome is Outcome.NOT_RUN and not proven:
            return Outcome.UNKNOWN
        return self.outcome

    @property
    def resend(self) -> Resend:
        """Where the next send may go, allowance and deadline permitting."""
        return RESENDS[(self.repeatable, self.outcome)]


class Flaw(Enum):
    """Why an answer cannot be passed on."""

    TRUNCATED = "truncated"
    EXCESS = "excess"
    MALFORMED = "malformed"


def find_flaw(
    *, parsed: bool, declared: int | None, received: int, ended: bool
) -> Flaw | None:
    """Return what is wrong with an answer, or None.

    Parameters
    ----------
    parsed : bool
        Whether the bytes so far obey the protocol.
    declared : int or None
        Bytes of the body that the head announced; None if it named no length.
    received : int
        Bytes of the body that came.
    ended : bool
        Whether the protocol marked the end of the body, not the closing alone.
    """
    if not parsed:
        return Flaw.MALFORMED
    if declared is not None and received > declared:
        return Flaw.EXCESS
    if not ended or (declared is not None and received < declared):
        return Flaw.TRUNCATED
    return None


class Exchange(NamedTuple):
    """One send that waits for its answer.

    Parameters
    ----------
    number : int
        The number that the answer has to bear.
    request_id : bytes
        The client request on whose behalf it was sent.
    target : str
        Where it was sent.
    connection : int
        Number of the connection, unique within the process.
    progress : Progress
        Whether a byte may have left.
    """

    number: int
    request_id: bytes
    target: str
    connection: int
    progress: Progress


class Accepted(NamedTuple):
    """An answer that belongs to an exchange in flight."""

    exchange: Exchange
    answer: Answer


class Stray(NamedTuple):
    """An answer that belongs to no exchange on its connection.

    It is dropped, and the connection is closed: what follows on it cannot be told
    apart from other callers' answers.
    """

    number: int
    connection: int


class Dropped(NamedTuple):
    """An exchange that this node gave up; its connection is closed."""

    exchange: Exchange
    fault: Fault


class Exchanges:
    """The exchanges in flight of one node.

    Parameters
    ----------
    entries : int
        Greatest number in flight.
    first : int
        Number of the first exchange; a random one, so that an answer meant for an
        earlier incarnation matches none.
    """

    def __init__(self, *, entries: int, first: int) -> None:
        self.next_number = first & EXCHANGE_MASK
        self.open: BoundedTable[int, Exchange] = BoundedTable(entries=entries)

    def reserve(self) -> int:
        """Return the number for the next exchange."""
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
            If too many are in flight; the call was not sent.
        """
        exchange = Exchange(number, request_id, target, connection, Progress.HELD)
        self.open.put(number, exchange, expires=deadline)

    def sent(self, number: int) -> None:
        """Record that the transport is about to write the first byte."""
        entry = self.open.live.get(number)
        if entry is not None:
            exchange = entry.value._replace(progress=Progress.STARTED)
            self.open.live[number] = entry._replace(value=exchange)

    def answered(self, connection: int, answer: Answer) -> Accepted | Stray:
        """Match an answer with its exchange, or drop it."""
        exchange = self.open.get(answer.exchange)
        if exchange is None or exchange.connection != connection:
            return Stray(answer.exchange, connection)
        self.open.pop(answer.exchange)
        return Accepted(exchange, answer)

    def give_up(self, number: int, detail: str) -> Dropped | None:
        """End an exchange without an answer; None if it has ended already."""
        exchange = self.open.pop(number)
        return None if exchange is None else _drop(exchange, detail)

    def connection_lost(self, connection: int, detail: str) -> list[Dropped]:
        """End all exchanges of a connection that closed or that broke the protocol."""
        return [
            _drop(exchange, detail)
            for exchange in self._take(
                [
                    entry.key
                    for entry in self.open.entries()
                    if entry.value.connection == connection
                ]
            )
        ]

    def expire(self, now: float) -> list[Dropped]:
        """End the exchanges whose deadline has passed."""
        return [_drop(entry.value, "deadline") for entry in self.open.expire(now)]

    def _take(self, numbers: list[int]) -> list[Exchange]:
        taken = [self.open.pop(number) for number in numbers]
        return [exchange for exchange in taken if exchange is not None]


def _drop(exchange: Exchange, detail: str) -> Dropped:
    started = exchange.progress is Progress.STARTED
    return Dropped(exchange, Fault(exchange.number, started, detail))
