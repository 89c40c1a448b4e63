"""Deduplication of calls by idempotency key, at the owner of the key.

The key table ensures that work which must not be repeated runs at most once. A key
without an entry may begin only if it cannot have begun before: neither at an earlier
incarnation of this node, nor at this node before a pause, nor at an earlier owner. If
the node cannot prove this, it reports ``UNKNOWN``.
See docs/design/idempotency.md for the argument.
"""

from enum import Enum, auto
from math import inf
from typing import NamedTuple, Protocol

from ...errors import ContextError
from ...protocol.messages import Answer
from ...protocol.outcome import Outcome, Reason
from ...state.table import BoundedTable
from .keys import ParsedKey, has_single_sender, parse_key

__all__ = [
    "MAX_ANSWER_BYTES",
    "MAX_STORED_BYTES",
    "BeginResult",
    "InProgress",
    "KeyTable",
    "OwnershipCheck",
    "Refused",
    "Replay",
    "Started",
    "barrier_after",
    "check_client_key",
]

MAX_ANSWER_BYTES = 16 * 1024
MAX_STORED_BYTES = 32 * 1024 * 1024


class Started(NamedTuple):
    """The caller may start the work and must report how it ends."""

    key: str


class Replay(NamedTuple):
    """The work has already run; this is the stored answer."""

    answer: Answer


class InProgress(NamedTuple):
    """The work is running for an earlier exchange with the same key."""

    reason: Reason = Reason.KEY_IN_PROGRESS
    outcome: Outcome = Outcome.UNKNOWN


class Refused(NamedTuple):
    """The work is not started for this exchange.

    The outcome is ``NOT_RUN`` only if no earlier exchange with this key has started.
    """

    reason: Reason
    outcome: Outcome


BeginResult = Started | Replay | InProgress | Refused


class OwnershipCheck(Protocol):
    """Decides whether this node may begin a key that has no entry in its table."""

    def check(self, key: ParsedKey) -> Refused | None:
        """Return the refusal of the key, or None if the key may begin."""


class WorkPhase(Enum):
    """State of the work of an entry."""

    RUNNING = auto()
    FINISHED = auto()
    LOST = auto()


_REPEAT_REASONS = {
    WorkPhase.FINISHED: Reason.KEY_COMPLETED,
    WorkPhase.LOST: Reason.ANSWER_LOST,
}


class KeyEntry:
    """A key that this incarnation has begun."""

    __slots__ = ("answer", "fingerprint", "outcome", "phase")

    def __init__(self, *, fingerprint: bytes) -> None:
        self.fingerprint = fingerprint
        self.phase = WorkPhase.RUNNING
        self.outcome = Outcome.UNKNOWN
        self.answer: Answer | None = None


def barrier_after(wall: float, clock_bound: float) -> float:
    """Return the newest timestamp of a key that may have begun before ``wall``.

    The node that began or sent the key checked that its timestamp was at most one
    clock bound ahead of that node's clock, which in turn was at most one clock bound
    ahead of the clock of this node.
    """
    return wall + 2 * clock_bound


def check_client_key(text: str, *, wall: float, clock_bound: float) -> Refused | None:
    """Return the refusal of a key that a client sends, or None if it is usable.

    The edge calls this before it forwards the key. The outcome of the refusal is
    ``UNKNOWN`` if another edge may have accepted the key by its own clock, or if the
    key carries the tag of keys that a node generates for itself.
    """
    try:
        key = parse_key(text)
    except ContextError:
        return Refused(Reason.KEY_INVALID, Outcome.NOT_RUN)
    if has_single_sender(key.raw):
        return Refused(Reason.KEY_INVALID, Outcome.UNKNOWN)
    ahead = key.timestamp - wall
    if ahead <= clock_bound:
        return None
    outcome = Outcome.UNKNOWN if ahead <= 2 * clock_bound else Outcome.NOT_RUN
    return Refused(Reason.KEY_INVALID, outcome)


class KeyTable:
    """The keys that this incarnation of a node has begun at its target.

    Parameters
    ----------
    entries : int
        Maximum number of keys. A full table refuses new keys, as ``NOT_RUN`` where
        that can still be recorded.
    lifetime : float
        Age in seconds after which a key is refused and its entry is dropped.
    clock_bound : float
        Maximum offset in seconds between the clocks of any two nodes.
    started_wall : float
        Wall clock seconds at the start of this incarnation.
    ownership : OwnershipCheck or None
        Decides whether this node is the settled owner of a key that a client
        supplied; None for a sole, fixed owner. Keys with the single-sender tag skip
        this check, because a single node sends them to a single target.
    max_answer_bytes : int
        Maximum size of an answer, headers and body, that is stored for repeats.
    max_stored_bytes : int
        Maximum total size of stored answers; the oldest are dropped first.
    """

    def __init__(
        self,
        *,
        entries: int,
        lifetime: float,
        clock_bound: float,
        started_wall: float,
        ownership: OwnershipCheck | None = None,
        max_answer_bytes: int = MAX_ANSWER_BYTES,
        max_stored_bytes: int = MAX_STORED_BYTES,
    ) -> None:
        self.lifetime = lifetime
        self.clock_bound = clock_bound
        self.ownership = ownership
        self.max_answer_bytes = max_answer_bytes
        self.max_stored_bytes = max_stored_bytes
        self.barrier = barrier_after(started_wall, clock_bound)
        self.wall = started_wall
        self.entries: BoundedTable[str, KeyEntry] = BoundedTable(entries=entries)
        self.not_run_reports: BoundedTable[str, float] = BoundedTable(entries=entries)
        self.answer_sizes: dict[str, int] = {}
        self.stored_bytes = 0

    def configure(
        self, wall: float, *, entries: int, lifetime: float, clock_bound: float
    ) -> None:
        """Apply new limits and keep the entries of the table.

        A node uses one table for all policies of its service, with the maximum of
        each limit, so that a change of policy cannot separate a key from its entry.
        """
        self._advance_clock(wall)
        extension = lifetime - self.lifetime
        if extension > 0:
            self.barrier = max(self.barrier, self.wall - self.lifetime)
            for entry in self.entries.entries():
                self.entries.put(
                    entry.key, entry.value, expires=entry.expires + extension
                )
            for report in list(self.not_run_reports.entries()):
                expires = report.expires + extension
                self.not_run_reports.put(report.key, report.value, expires=expires)
        self.barrier += 2 * max(0.0, clock_bound - self.clock_bound)
        self.entries.size = entries
        self.not_run_reports.size = entries
        self.lifetime = lifetime
        self.clock_bound = clock_bound

    def resume_after_pause(self, wall: float) -> None:
        """Raise the barrier after a pause that ended at ``wall``, as on a restart."""
        self._advance_clock(wall)
        self.barrier = max(self.barrier, barrier_after(self.wall, self.clock_bound))

    def answer_repeat(self, text: str, fingerprint: bytes) -> BeginResult | None:
        """Return the result for a key that has an entry, or None for any other key.

        A node that begins no new work, such as a draining one, still answers repeats.
        """
        entry = self.entries.get(text.lower())
        return None if entry is None else _answer_repeat(entry, fingerprint)

    def begin(
        self,
        now: float,
        wall: float,
        text: str,
        fingerprint: bytes,
        issued: float = inf,
    ) -> BeginResult:
        """Decide whether an exchange with the key ``text`` may start its work.

        Parameters
        ----------
        now : float
            Monotonic seconds; unused, kept for symmetry with the other decisions.
        wall : float
            Wall clock seconds.
        text : str
            The idempotency key.
        fingerprint : bytes
            Digest of the content of the call, see ``keys.fingerprint``.
        issued : float
            When the client's attempt reached its edge, wall clock seconds there. An
            attempt from before the key was reported as not run must not start.

        Returns
        -------
        BeginResult
            ``Started`` if the work may start, otherwise what to answer instead.
        """
        resolved = self._resolve_key(wall, text, fingerprint)
        if not isinstance(resolved, ParsedKey):
            return resolved
        if self._was_reported_not_run(resolved.text, issued):
            return Refused(Reason.KEY_UNPROVEN, Outcome.UNKNOWN)
        if self.entries.full:
            outcome = (
                Outcome.NOT_RUN if self._record_not_run(resolved) else Outcome.UNKNOWN
            )
            return Refused(Reason.KEY_TABLE_FULL, outcome)
        entry = KeyEntry(fingerprint=fingerprint)
        self.entries.put(
            resolved.text, entry, expires=resolved.timestamp + self.lifetime
        )
        return Started(resolved.text)

    def refuse(
        self, now: float, wall: float, text: str, fingerprint: bytes, reason: Reason
    ) -> BeginResult:
        """Return the result of an exchange that this node refuses for ``reason``.

        Like ``begin``, except that work which could start is refused as ``NOT_RUN``:
        the owner thereby confirms that the key has not run.
        """
        resolved = self._resolve_key(wall, text, fingerprint)
        if not isinstance(resolved, ParsedKey):
            return resolved
        return Refused(reason, Outcome.NOT_RUN)

    def _resolve_key(
        self, wall: float, text: str, fingerprint: bytes
    ) -> BeginResult | ParsedKey:
        """Return the result of a key that cannot start, or the parsed key."""
        self._advance_clock(wall)
        repeat = self.answer_repeat(text, fingerprint)
        if repeat is not None:
            return repeat
        try:
            key = parse_key(text)
        except ContextError:
            return Refused(Reason.KEY_INVALID, Outcome.NOT_RUN)
        return self._check_new_key(key) or key

    def finish(self, now: float, text: str, answer: Answer) -> None:
        """Record the answer of work that ``begin`` allowed to start.

        An answer with the outcome ``NOT_RUN`` or ``UNKNOWN`` is recorded as a failure.
        """
        if answer.outcome in (Outcome.NOT_RUN, Outcome.UNKNOWN):
            self.fail(now, text, started=answer.outcome is Outcome.UNKNOWN)
            return
        entry = self.entries.get(text.lower())
        if entry is None or entry.phase is not WorkPhase.RUNNING:
            return
        entry.phase = WorkPhase.FINISHED
        entry.outcome = answer.outcome
        self._store_answer(text.lower(), entry, answer)

    def fail(self, now: float, text: str, started: bool) -> bool:
        """Record that the work ended without an answer.

        Only work whose first byte cannot have reached the target (``started`` is
        False) may begin again, and only for an attempt that is issued from now on.

        Returns
        -------
        bool
            Whether the caller may report the key as not run. False as well if the
            table of such reports is full.
        """
        entry = self.entries.get(text.lower())
        if entry is None or entry.phase is not WorkPhase.RUNNING:
            return False
        if started:
            entry.phase = WorkPhase.LOST
            return False
        self.entries.pop(text.lower())
        return self._record_not_run(parse_key(text))

    def _record_not_run(self, key: ParsedKey) -> bool:
        """Record that a key is reported as not run; return False if the table is full.

        A key with the single-sender tag needs no record: its sender sends it again
        only after it has received the report.
        """
        if has_single_sender(key.raw):
            return True
        if self.not_run_reports.full and key.text not in self.not_run_reports:
            return False
        self.not_run_reports.put(
            key.text, self.wall, expires=key.timestamp + self.lifetime
        )
        return True

    def _was_reported_not_run(self, text: str, issued: float) -> bool:
        reported_at = self.not_run_reports.get(text)
        return reported_at is not None and issued <= reported_at + 2 * self.clock_bound

    def _advance_clock(self, wall: float) -> None:
        self.wall = max(self.wall, wall)
        self.not_run_reports.expire(self.wall)
        for expired in self.entries.expire(self.wall):
            self._drop_answer(expired.key, expired.value)

    def _check_new_key(self, key: ParsedKey) -> Refused | None:
        if key.timestamp > self.wall + self.clock_bound:
            return Refused(Reason.KEY_INVALID, Outcome.UNKNOWN)
        if key.timestamp + self.lifetime <= self.wall:
            return Refused(Reason.KEY_UNPROVEN, Outcome.UNKNOWN)
        if key.timestamp <= self.barrier:
            return Refused(Reason.KEY_UNPROVEN, Outcome.UNKNOWN)
        if self.ownership is None or has_single_sender(key.raw):
            return None
        return self.ownership.check(key)

    def _store_answer(self, text: str, entry: KeyEntry, answer: Answer) -> None:
        size = len(answer.body) + sum(
            len(name) + len(value) for name, value in answer.headers
        )
        if size > min(self.max_answer_bytes, self.max_stored_bytes):
            return
        entry.answer = answer
        self.answer_sizes[text] = size
        self.stored_bytes += size
        while self.stored_bytes > self.max_stored_bytes:
            oldest = next(iter(self.answer_sizes))
            self._drop_answer(oldest, self.entries.get(oldest))

    def _drop_answer(self, text: str, entry: KeyEntry | None) -> None:
        self.stored_bytes -= self.answer_sizes.pop(text, 0)
        if entry is not None:
            entry.answer = None


def _answer_repeat(entry: KeyEntry, fingerprint: bytes) -> BeginResult:
    if entry.fingerprint != fingerprint:
        return Refused(Reason.KEY_INVALID, Outcome.UNKNOWN)
    if entry.answer is not None:
        return Replay(entry.answer)
    if entry.phase is WorkPhase.RUNNING:
        return InProgress()
    return Refused(_REPEAT_REASONS[entry.phase], entry.outcome)
