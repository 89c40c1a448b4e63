"""Quarantine of a request that has crashed several targets."""

from dataclasses import dataclass, field
from typing import TypeVar

from ....protocol.crash_messages import ReleaseCrash, ToldQuarantine
from ....state.catalog import Release

__all__ = [
    "FIRST_QUARANTINE_S",
    "MAX_RELEASES",
    "TRIAL_S",
    "Quarantine",
    "insert_bounded",
    "told_crash_at",
]

MAX_RELEASES = 16
"""Releases that one quarantine remembers."""
FIRST_QUARANTINE_S = 30.0
QUARANTINE_GROWTH = 4.0
MAX_QUARANTINE_S = 3_600.0
TRIAL_S = 5.0
"""Time within which a trial shows whether the request still crashes targets."""

Key = TypeVar("Key")
Value = TypeVar("Value")


@dataclass(slots=True, kw_only=True)
class Quarantine:
    """State of a request that has crashed several targets.

    Attributes
    ----------
    crashed : dict
        Unix milliseconds of the latest crash of each release.
    answered : dict
        Releases that have answered the request since they crashed last; the values are
        of no use.
    failed_trials : int
        Crashes after a quarantine had ended.
    until : float
        Time until which the releases in `crashed` do not get the request, in seconds.
    trial_until : float
        Time until which no release gets it, as one target tries it, in seconds.
    last_crash_at : float
        Time at which this relay learned of the latest crash, in seconds.
    """

    crashed: dict[Release, int] = field(default_factory=dict)
    answered: dict[Release, None] = field(default_factory=dict)
    failed_trials: int = 0
    until: float = 0.0
    trial_until: float = 0.0
    last_crash_at: float = 0.0

    def record_crash(self, now: float, release: Release, at_ms: int) -> None:
        """Record another crash; those close together count as one trial."""
        latest = max(at_ms, self.crashed.get(release, 0))
        insert_bounded(self.crashed, release, latest, limit=MAX_RELEASES)
        self.answered.pop(release, None)
        if now - self.last_crash_at > TRIAL_S:
            self.failed_trials += 1
        self.last_crash_at = now
        self.until = now + quarantine_seconds(self.failed_trials)

    def record_answer(self, release: Release) -> int | None:
        """Record an answer of a release; return the time of its latest crash.

        The time is in Unix milliseconds, 0 if the release did not crash; None if it had
        answered before.
        """
        self.trial_until = 0.0
        if release in self.answered:
            return None
        insert_bounded(self.answered, release, None, limit=MAX_RELEASES)
        return self.crashed.pop(release, 0)

    def told(self, now: float, fingerprint: bytes) -> ToldQuarantine:
        """Return the quarantine as it is told to other relays."""
        return ToldQuarantine(
            fingerprint=fingerprint,
            crashes=[ReleaseCrash(*item) for item in self.crashed.items()],
            failed_trials=self.failed_trials,
            seconds=max(0.0, self.until - now),
            trial_seconds=max(0.0, self.trial_until - now),
        )


def quarantine_seconds(failed_trials: int) -> float:
    """Return the seconds for which a request is kept from the releases it crashed."""
    duration = FIRST_QUARANTINE_S * QUARANTINE_GROWTH**failed_trials
    return min(duration, MAX_QUARANTINE_S)


def told_crash_at(now: float, told: ToldQuarantine) -> float:
    """Return the latest time at which a quarantine that is told can have begun."""
    return now + told.seconds - quarantine_seconds(told.failed_trials)


def insert_bounded(
    table: dict[Key, Value], key: Key, value: Value, *, limit: int
) -> None:
    """Insert into a table; the oldest entry leaves if it is full."""
    if key not in table and len(table) >= limit:
        del table[next(iter(table))]
    table[key] = value
