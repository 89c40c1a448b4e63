"""Which requests may have crashed the targets that ran them.

A crash does not show which of the running requests caused it. A request is suspected of
each crash that it was present at, until a target answers it: an answer shows that the
request does not crash this release. A suspect of two crashes runs without any other
suspect at its target, so that the next crash tells them apart, and from the third crash
on at one target at a time. One that ran apart at the latest of enough crashes is
quarantined, and explains these crashes: nothing else is suspected of them. Requests
that were there for the first time count against that until a target answers them.

A quarantine ends when a target answers the request. It holds for the releases that the
request has crashed; another release, or the same one after some time, gets the request
once, as a trial. All relays keep the same evidence, as each may receive the request.
"""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple

from ....protocol.crash_messages import (
    Clearance,
    Crash,
    CrashNotice,
    ToldQuarantine,
)
from ....state.catalog import Release
from .quarantine import (
    MAX_RELEASES,
    TRIAL_S,
    Quarantine,
    insert_bounded,
    told_crash_at,
)

__all__ = ["CrashSuspects", "Handling"]

CRASHES_TO_ISOLATE = 2
CRASHES_TO_QUARANTINE = 3
MANY_OTHER_CRASHES = 1
"""Recent crashes without a request from which one more is needed to blame it."""
RECENT_S = 60.0
MAX_CRASHES = 256
MAX_SUSPECTS = 128
"""Suspects of one crash; targets rarely run more requests."""
MAX_QUARANTINES = 1_024
MAX_CLEARED = 4_096
MAX_TRIALS = 256
MAX_TOLD_CRASHES = 16
"""Crashes that a new peer is told; their suspects are most of the message."""
MAX_TOLD_QUARANTINES = 256


class Handling(Enum):
    """How a target of a release handles a request."""

    NORMAL = "runs"
    ISOLATED = "runs if no other suspect does"
    REFUSED = "does not run"


class CrashId(NamedTuple):
    """Identifies a crash: instance, and Unix milliseconds."""

    instance: str
    at_ms: int


@dataclass(slots=True, kw_only=True)
class CrashRecord:
    """A crash and the requests that are still suspected of it.

    `at` is the time at which this relay learned of it, in seconds; `ran_apart` is the
    suspect that ran without any request that was suspected before, if there is one;
    `explained` is true if the cause is known.
    """

    release: Release
    suspects: set[bytes]
    at: float
    ran_apart: bytes | None = None
    explained: bool = False


class CrashSuspects:
    """Suspected and quarantined requests, by fingerprint.

    Attributes
    ----------
    crashes : dict
        Latest crashes by `CrashId`.
    counts : Counter
        Number of crashes that each request is suspected of.
    quarantines : dict
        `Quarantine` by fingerprint.
    trials : dict
        Time until which a suspect that one target tries is refused, in seconds.
    cleared : dict
        By fingerprint and release, Unix milliseconds up to which crashes are void.
    """

    def __init__(self) -> None:
        self.crashes: dict[CrashId, CrashRecord] = {}
        self.counts: Counter[bytes] = Counter()
        self.quarantines: dict[bytes, Quarantine] = {}
        self.trials: dict[bytes, float] = {}
        self.cleared: dict[tuple[bytes, Release], int] = {}

    @property
    def active(self) -> bool:
        """Whether any request is suspected or quarantined."""
        return bool(self.counts or self.quarantines)

    def name_suspects(self, running: Iterable[bytes]) -> list[bytes]:
        """Return which requests are named as suspects of a crash, bounded.

        Those that are suspected already come first, the others as given.
        """
        names = dict.fromkeys(running)
        ranked = sorted(names, key=lambda each: self.counts[each], reverse=True)
        return ranked[:MAX_SUSPECTS]

    def is_suspected(self, fingerprint: bytes) -> bool:
        """Return whether a request is suspected of any crash, or quarantined."""
        return fingerprint in self.counts or fingerprint in self.quarantines

    def handling(self, now: float, fingerprint: bytes, release: Release) -> Handling:
        """Return how targets of a release handle a request."""
        quarantine = self.quarantines.get(fingerprint)
        if quarantine is None:
            if now < self.trials.get(fingerprint, now):
                return Handling.REFUSED
            isolated = self.counts[fingerprint] >= CRASHES_TO_ISOLATE
            return Handling.ISOLATED if isolated else Handling.NORMAL
        if release in quarantine.answered:
            return Handling.NORMAL
        held = release in quarantine.crashed and now < quarantine.until
        if held or now < quarantine.trial_until:
            return Handling.REFUSED
        return Handling.ISOLATED

    def retry_after(self, now: float, fingerprint: bytes, release: Release) -> float:
        """Return the seconds until a release may try a request that it refuses."""
        if self.handling(now, fingerprint, release) is not Handling.REFUSED:
            return 0.0
        quarantine = self.quarantines.get(fingerprint)
        if quarantine is None:
            return self.trials[fingerprint] - now
        until = quarantine.until if release in quarantine.crashed else 0.0
        return max(until, quarantine.trial_until) - now

    def record_crash(self, now: float, crash: Crash) -> list[bytes]:
        """Record a crash; return the requests that are quarantined because of it."""
        crash_id = CrashId(crash.instance, crash.at_ms)
        if crash_id in self.crashes:
            return []
        suspects = {
            each
            for each in crash.suspects[:MAX_SUSPECTS]
            if self.cleared.get((each, crash.release), -1) < crash.at_ms
        }
        record = CrashRecord(release=crash.release, suspects=suspects, at=now)
        self._add_crash(crash_id, record)
        record.ran_apart = self._suspect_apart(suspects)
        for suspect in suspects:
            self.trials.pop(suspect, None)
        explained = suspects & self.quarantines.keys()
        for fingerprint in explained:
            quarantine = self.quarantines[fingerprint]
            quarantine.record_crash(now, crash.release, crash.at_ms)
        if explained:
            self._explain(record)
            return []
        culprit = self._culprit(now, record)
        if culprit is None:
            return []
        self._quarantine(now, culprit)
        return [culprit]

    def begin_trial(self, now: float, fingerprint: bytes) -> ToldQuarantine | None:
        """Record that a target tries a request, which the other ones then refuse.

        Returns None if it is neither quarantined nor suspected of enough crashes.
        """
        quarantine = self.quarantines.get(fingerprint)
        if quarantine is None:
            if self.counts[fingerprint] < CRASHES_TO_QUARANTINE:
                return None
            self._add_trial(now, fingerprint, TRIAL_S)
            return ToldQuarantine(fingerprint, [], 0, 0.0, TRIAL_S)
        quarantine.trial_until = now + TRIAL_S
        return quarantine.told(now, fingerprint)

    def clear(self, clearance: Clearance) -> bool:
        """Drop all evidence against a request at a release.

        Returns whether there was any, or a quarantine that the answer is news to.
        """
        fingerprint, release, at_ms = clearance
        found = False
        released: list[CrashRecord] = []
        self.trials.pop(fingerprint, None)
        for crash_id, record in self.crashes.items():
            if fingerprint in record.suspects and record.release == release:
                record.suspects.discard(fingerprint)
                self._uncount(fingerprint)
                at_ms = max(at_ms, crash_id.at_ms)
                released.append(record)
                found = True
        quarantine = self.quarantines.get(fingerprint)
        if quarantine is not None:
            crashed_at_ms = quarantine.record_answer(release)
            if crashed_at_ms is not None:
                at_ms = max(at_ms, crashed_at_ms)
                found = True
            if not quarantine.crashed:
                del self.quarantines[fingerprint]
        if found:
            insert_bounded(
                self.cleared, (fingerprint, release), at_ms, limit=MAX_CLEARED
            )
            self._decide_again(released)
        return found

    def _decide_again(self, released: list[CrashRecord]) -> None:
        """Quarantine the culprit of a crash that another request is cleared of."""
        for record in released:
            culprit = self._culprit(record.at, record)
            if culprit is not None:
                self._quarantine(record.at, culprit)

    def _quarantine(self, now: float, culprit: bytes) -> None:
        quarantine = Quarantine(last_crash_at=now)
        for crash_id, record in self.crashes.items():
            if culprit in record.suspects:
                quarantine.record_crash(now, record.release, crash_id.at_ms)
        self._add_quarantine(culprit, quarantine)

    def adopt(self, now: float, told: ToldQuarantine) -> bool:
        """Take over a quarantine of another relay; return whether it is new here."""
        crashed = {
            release: at_ms
            for release, at_ms in told.crashes
            if self.cleared.get((told.fingerprint, release), -1) < at_ms
        }
        if not told.crashes and told.fingerprint in self.counts:
            self._add_trial(now, told.fingerprint, told.trial_seconds)
        if not crashed:
            return False
        quarantine = self.quarantines.get(told.fingerprint)
        is_new = quarantine is None
        if quarantine is None:
            quarantine = Quarantine(last_crash_at=told_crash_at(now, told))
            self._add_quarantine(told.fingerprint, quarantine)
        for release, at_ms in crashed.items():
            latest = max(at_ms, quarantine.crashed.get(release, 0))
            insert_bounded(quarantine.crashed, release, latest, limit=MAX_RELEASES)
            quarantine.answered.pop(release, None)
        quarantine.failed_trials = max(quarantine.failed_trials, told.failed_trials)
        quarantine.until = max(quarantine.until, now + told.seconds)
        quarantine.trial_until = max(quarantine.trial_until, now + told.trial_seconds)
        return is_new

    def notice(self, now: float) -> CrashNotice | None:
        """Return what a new peer is told, None if there is nothing."""
        told = [(i, record) for i, record in self.crashes.items() if record.suspects]
        quarantines = list(self.quarantines.items())[-MAX_TOLD_QUARANTINES:]
        if not told and not quarantines:
            return None
        return CrashNotice(
            crashes=[
                Crash(*crash_id, record.release, sorted(record.suspects))
                for crash_id, record in told[-MAX_TOLD_CRASHES:]
            ],
            quarantines=[each.told(now, name) for name, each in quarantines],
        )

    def _suspect_apart(self, suspects: Iterable[bytes]) -> bytes | None:
        """Return the suspect that ran apart from all that were suspected before.

        A request that was present together with another suspect may have been there
        by chance, however often. Those that this crash is the first one of are no
        suspects yet when they run.
        """
        ranked = sorted(suspects, key=lambda each: self.counts[each], reverse=True)
        if not ranked:
            return None
        first, *others = (self.counts[each] for each in ranked)
        all_new = bool(others) and first == 1
        together = any(count > 1 for count in others)
        return None if all_new or together else ranked[0]

    def _culprit(self, now: float, record: CrashRecord) -> bytes | None:
        """Return the suspect of enough crashes that ran apart at this one."""
        suspect = record.ran_apart
        if suspect is None or suspect not in record.suspects:
            return None
        needed = CRASHES_TO_QUARANTINE + (len(record.suspects) > 1)
        if self._crashes_without(now, suspect) >= MANY_OTHER_CRASHES:
            needed += 1
        return suspect if self.counts[suspect] >= needed else None

    def _crashes_without(self, now: float, fingerprint: bytes) -> int:
        """Return the recent crashes of unknown cause that a request was not part of.

        Where targets crash for other reasons, chance brings a harmless request to
        several crashes as well.
        """
        return sum(
            not record.explained
            and fingerprint not in record.suspects
            and now - record.at < RECENT_S
            for record in self.crashes.values()
        )

    def _add_crash(self, crash_id: CrashId, record: CrashRecord) -> None:
        if len(self.crashes) >= MAX_CRASHES:
            self._drop_suspects(self.crashes.pop(next(iter(self.crashes))))
        self.crashes[crash_id] = record
        self.counts.update(record.suspects)

    def _add_trial(self, now: float, fingerprint: bytes, seconds: float) -> None:
        insert_bounded(self.trials, fingerprint, now + seconds, limit=MAX_TRIALS)

    def _add_quarantine(self, fingerprint: bytes, quarantine: Quarantine) -> None:
        insert_bounded(self.quarantines, fingerprint, quarantine, limit=MAX_QUARANTINES)
        for record in self.crashes.values():
            if fingerprint in record.suspects:
                self._explain(record)

    def _explain(self, record: CrashRecord) -> None:
        """Record that the cause of a crash is known."""
        self._drop_suspects(record)
        record.explained = True

    def _drop_suspects(self, record: CrashRecord) -> None:
        for each in record.suspects:
            self._uncount(each)
        record.suspects.clear()

    def _uncount(self, fingerprint: bytes) -> None:
        self.counts[fingerprint] -= 1
        if not self.counts[fingerprint]:
            del self.counts[fingerprint]
