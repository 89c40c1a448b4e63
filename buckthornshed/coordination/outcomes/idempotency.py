"""The table of keys at their owner: work that may not be repeated runs at most once.

A key that the table does not hold may be begun only if nothing else can have begun
it: not an earlier incarnation of this node, not this node before a pause, not an
earlier owner. When that cannot be shown, the answer is ``UNKNOWN``.
See docs/design/idempotency.md for the argument.
"""

from enum import Enum, auto
from math import inf
from typing import NamedTuple, Protocol

from ...errors import ContextError
from ...protocol.messages import Answer
from ...protocol.outcome import Outcome, Reason
from ...state.table import BoundedTable
from .keys import ParsedKey, is_marked, parse_key

__all__ = [
    "ANSWER_BYTES",
    "KEPT_BYTES",
    "Begun",
    "Gate",
    "InProgress",
    "KeyTable",
    "Refused",
    "Replay",
    "Started",
    "barrier_after",
    "check_new_key",
]

ANSWER_BYTES = 16 * 1024
KEPT_BYTES = 32 * 1024 * 1024


class Started(NamedTuple):
    """The caller may start the work, and has to report how it ended."""

    key: str


class Replay(NamedTuple):
    """The work has run; this was its answer."""

    answer: Answer


class InProgress(NamedTuple):
    """The work runs now, for an earlier exchange with the same key."""

    reason: Reason = Reason.KEY_IN_PROGRESS
    outcome: Outcome = Outcome.UNKNOWN


class Refused(NamedTuple):
    """The work is not started for this exchange.

    ``NOT_RUN`` is stated only when no exchange with this key has started before.
    """

    reason: Reason
    outcome: Outcome


Begun = Started | Replay | InProgress | Refused


class Gate(Protocol):
    """Says whether this node may begin a key that its table does not hold."""

    def check(self, key: ParsedKey) -> Refused | None:
        """Return the refusal of the key, or None if it may begin."""


class Phase(Enum):
    """Where the work of an entry stands."""

    RUNNING = auto()
    FINISHED = auto()
    LOST = auto()


_REPEATS = {
    Phase.FINISHED: Reason.KEY_COMPLETED,
    Phase.LOST: Reason.ANSWER_LOST,
}


class Entry:
    """One key that this incarnation has begun."""

    __slots__ = ("answer", "fingerprint", "outcome", "phase")

    def __init__(self, *, fingerprint: bytes) -> None:
        self.fingerprint = fingerprint
        self.phase = Phase.RUNNING
        self.outcome = Outcome.UNKNOWN
        self.answer: Answer | None = None


def barrier_after(wall: float, clock_bound: float) -> float:
    """Return the newest mint time of a key that may have begun before ``wall``.

    Whoever began or sent a key checked that its mint time was at most one clock
    bound ahead of a clock which itself was at most one bound ahead of ours.
    """
    return wall + 2 * clock_bound


def check_new_key(text: str, *, wall: float, clock_bound: float) -> Refused | None:
    """Return why a key that a client sends cannot be used, or None.

    The edge calls this before it sends a key anywhere. A key that another edge may
    have admitted by its own clock, or that a node minted for itself, is refused as
    ``UNKNOWN``.
    """
    try:
        key = parse_key(text)
    except ContextError:
        return Refused(Reason.KEY_INVALID, Outcome.NOT_RUN)
    if is_marked(key.raw):
        return Refused(Reason.KEY_INVALID, Outcome.UNKNOWN)
    ahead = key.minted - wall
    if ahead <= clock_bound:
        return None
    outcome = Outcome.UNKNOWN if ahead <= 2 * clock_bound else Outcome.NOT_RUN
    return Refused(Reason.KEY_INVALID, outcome)


class KeyTable:
    """The keys that this incarnation of a node has begun for its target.

    Parameters
    ----------
    entries : int
        Greatest number of keys; when full, new keys are refused as ``NOT_RUN``.
    lifetime : float
        Age in seconds after which a key is refused, and its entry is dropped.
    clock_bound : float
        Greatest offset in seconds of any two clocks of nodes at one time.
    started_wall : float
        Wall clock at the start of this incarnation, seconds.
    gate : Gate or None
        Whether this node is the settled owner of keys that clients bring; None for
        a sole, fixed owner. A marked key needs none: one node alone sends it.
    answer_bytes : int
        Longest body that is kept for repeats.
    kept_bytes : int
        Total of all bodies that are kept; the oldest are dropped first.
    """

    def __init__(
        self,
        *,
        entries: int,
        lifetime: float,
        clock_bound: float,
        started_wall: float,
        gate: Gate | None = None,
        answer_bytes: int = ANSWER_BYTES,
        kept_bytes: int = KEPT_BYTES,
    ) -> None:
        self.lifetime = lifetime
        self.clock_bound = clock_bound
        self.gate = gate
        self.answer_bytes = answer_bytes
        self.kept_bytes = kept_bytes
        self.barrier = barrier_after(started_wall, clock_bound)
        self.wall = started_wall
        self.held: BoundedTable[str, Entry] = BoundedTable(entries=entries)
        self.denials: BoundedTable[str, float] = BoundedTable(entries=entries)
        self.answered: dict[str, int] = {}
        self.answered_bytes = 0

    def configure(
        self, wall: float, *, entries: int, lifetime: float, clock_bound: float
    ) -> None:
        """Take new bounds and keep what the table holds.

        A node keeps one table for all policies of its service, with the greatest of
        each bound: a key must not escape its entry by a change of policy.
        """
        self._advance(wall)
        longer = lifetime - self.lifetime
        if longer > 0:
            self.barrier = max(self.barrier, self.wall - self.lifetime)
            for entry in self.held.entries():
                self.held.put(entry.key, entry.value, expires=entry.expires + longer)
            for denial in list(self.denials.entries()):
                expires = denial.expires + longer
                self.denials.put(denial.key, denial.value, expires=expires)
        self.barrier += 2 * max(0.0, clock_bound - self.clock_bound)
        self.held.size = entries
        self.denials.size = entries
        self.lifetime = lifetime
        self.clock_bound = clock_bound

    def woke(self, wall: float) -> None:
        """Treat a pause that ended at ``wall`` as a new start for unknown keys."""
        self._advance(wall)
        self.barrier = max(self.barrier, barrier_after(self.wall, self.clock_bound))

    def repeat(self, text: str, fingerprint: bytes) -> Begun | None:
        """Say what a repeat of a key in the table gets; None for any other key.

        A node that begins no new work, as one that drains, still answers repeats.
        """
        entry = self.held.get(text.lower())
        return None if entry is None else _repeat(entry, fingerprint)

    def begin(
        self,
        now: float,
        wall: float,
        text: str,
        fingerprint: bytes,
        issued: float = inf,
    ) -> Begun:
        """Say what an exchange with the key ``text`` may do.

        Parameters
        ----------
        now : float
            Monotonic seconds, for symmetry with the other decisions.
        wall : float
            Wall clock, seconds.
        text : str
            The key.
        fingerprint : bytes
            Digest of what the call asks for, see ``keys.fingerprint``.
        issued : float
            When the client's attempt reached its edge, wall clock there. An attempt
            from before a denial of the key was told must not start any more.
        """
        found = self._find(wall, text, fingerprint)
        if not isinstance(found, ParsedKey):
            return found
        if self._is_denied(found.text, issued):
            return Refused(Reason.KEY_UNPROVEN, Outcome.UNKNOWN)
        if self.held.full:
            told = Outcome.NOT_RUN if self._note_denial(found) else Outcome.UNKNOWN
            return Refused(Reason.KEY_TABLE_FULL, told)
        entry = Entry(fingerprint=fingerprint)
        self.held.put(found.text, entry, expires=found.minted + self.lifetime)
        return Started(found.text)

    def deny(
        self, now: float, wall: float, text: str, fingerprint: bytes, reason: Reason
    ) -> Begun:
        """Say what an exchange gets that this node will not start, for ``reason``.

        The same as ``begin``, but that work which could start is refused: the word of
        the owner that the key has not run.
        """
        found = self._find(wall, text, fingerprint)
        if not isinstance(found, ParsedKey):
            return found
        return Refused(reason, Outcome.NOT_RUN)

    def _find(self, wall: float, text: str, fingerprint: bytes) -> Begun | ParsedKey:
        """Return what a key gets that cannot start, or its parts if it can."""
        self._advance(wall)
        repeat = self.repeat(text, fingerprint)
        if repeat is not None:
            return repeat
        try:
            key = parse_key(text)
        except ContextError:
            return Refused(Reason.KEY_INVALID, Outcome.NOT_RUN)
        return self._check(key) or key

    def finish(self, now: float, text: str, answer: Answer) -> None:
        """Record the answer of the work that ``begin`` let start.

        An answer that is ``NOT_RUN`` or ``UNKNOWN`` is recorded as ``fail`` does.
        """
        if answer.outcome in (Outcome.NOT_RUN, Outcome.UNKNOWN):
            self.fail(now, text, started=answer.outcome is Outcome.UNKNOWN)
            return
        entry = self.held.get(text.lower())
        if entry is None or entry.phase is not Phase.RUNNING:
            return
        entry.phase = Phase.FINISHED
        entry.outcome = answer.outcome
        self._keep(text.lower(), entry, answer)

    def fail(self, now: float, text: str, started: bool) -> bool:
        """Record that the work ended without an answer.

        Only work whose first byte cannot have reached the target (``started`` is
        False) may be begun again, by an attempt that is issued from now on. Returns
        whether the caller may be told so; not when too many denials are remembered.
        """
        entry = self.held.get(text.lower())
        if entry is None or entry.phase is not Phase.RUNNING:
            return False
        if started:
            entry.phase = Phase.LOST
            return False
        self.held.pop(text.lower())
        return self._note_denial(parse_key(text))

    def _note_denial(self, key: ParsedKey) -> bool:
        """Remember that a key is told not to have run; False if there is no room.

        A marked key has one sender, which sends it again only after the denial.
        """
        if is_marked(key.raw):
            return True
        if self.denials.full and key.text not in self.denials:
            return False
        self.denials.put(key.text, self.wall, expires=key.minted + self.lifetime)
        return True

    def _is_denied(self, text: str, issued: float) -> bool:
        denied = self.denials.get(text)
        return denied is not None and issued <= denied + 2 * self.clock_bound

    def _advance(self, wall: float) -> None:
        self.wall = max(self.wall, wall)
        self.denials.expire(self.wall)
        for expired in self.held.expire(self.wall):
            self._forget_answer(expired.key, expired.value)

    def _check(self, key: ParsedKey) -> Refused | None:
        if key.minted > self.wall + self.clock_bound:
            return Refused(Reason.KEY_INVALID, Outcome.UNKNOWN)
        if key.minted + self.lifetime <= self.wall:
            return Refused(Reason.KEY_UNPROVEN, Outcome.UNKNOWN)
        if key.minted <= self.barrier:
            return Refused(Reason.KEY_UNPROVEN, Outcome.UNKNOWN)
        if self.gate is None or is_marked(key.raw):
            return None
        return self.gate.check(key)

    def _keep(self, text: str, entry: Entry, answer: Answer) -> None:
        size = len(answer.body) + sum(
            len(name) + len(value) for name, value in answer.headers
        )
        if size > min(self.answer_bytes, self.kept_bytes):
            return
        entry.answer = answer
        self.answered[text] = size
        self.answered_bytes += size
        while self.answered_bytes > self.kept_bytes:
            oldest = next(iter(self.answered))
            self._forget_answer(oldest, self.held.get(oldest))

    def _forget_answer(self, text: str, entry: Entry | None) -> None:
        self.answered_bytes -= self.answered.pop(text, 0)
        if entry is not None:
            entry.answer = None


def _repeat(entry: Entry, fingerprint: bytes) -> Begun:
    if entry.fingerprint != fingerprint:
        return Refused(Reason.KEY_INVALID, Outcome.UNKNOWN)
    if entry.answer is not None:
        return Replay(entry.answer)
    if entry.phase is Phase.RUNNING:
        return InProgress()
    return Refused(_REPEATS[entry.phase], entry.outcome)
