"""Which relays read the platform's store.

A few relays of each failure domain read it and tell all others what has changed. Every
relay decides alone whether it is one of them, by an order of the domain's instances
that all compute in the same way and by the reports of those before it. Relays that
disagree about who reads cost a few calls to the store. A relay that no reader is
connected to reads the store itself, such as one whose target has crashed: the others no
longer know of it, while its clients go on.
"""

import zlib
from collections.abc import Callable, Iterable
from typing import NamedTuple

__all__ = ["READERS_PER_DOMAIN", "StoreReaders"]

READERS_PER_DOMAIN = 3
REPORT_LIFETIME_S = 1.1
"""Age at which a report expires; a reader reports at least every 0.9 s.

A relay that counts on readers which no longer read has to notice, and to read itself,
before a change must be in force.
"""
TAKEOVER_STEP_S = 0.1
"""Delay between the attempts of successive relays to replace a missing reader."""
RETRY_INTERVAL_S = 2.0
"""Interval between the attempts of a replacement while the store does not answer."""


class ReadReport(NamedTuple):
    """Whether a relay could read the store, and when that was, in seconds."""

    succeeded: bool
    at: float


class StoreReaders:
    """Decides whether a relay reads the store.

    Parameters
    ----------
    instance : str
        Instance of the relay.
    is_connected : callable
        Returns whether the relay on another instance can tell this one of changes: it
        has a connection to this one and answers.

    Attributes
    ----------
    has_listeners : bool
        Whether the failure domain has relays that do not read, as enough others do.
    gaps : int
        How often something that others told may have been lost.
    gaps_before_read, gaps_covered : int
        `gaps` at the begin of the latest read, and of the latest successful one.
    """

    def __init__(self, *, instance: str, is_connected: Callable[[str], bool]) -> None:
        self.instance = instance
        self.is_connected = is_connected
        self.ahead: list[str] = []
        self.reports: dict[str, ReadReport] = {}
        self.own_report = ReadReport(True, 0.0)
        self.missing_since: float | None = None
        self.registered = True
        self.has_listeners = False
        self.gaps = 0
        self.gaps_before_read = 0
        self.gaps_covered = 0

    def set_instances(
        self, instances: Iterable[str], *, registered: bool = True
    ) -> None:
        """Set the other instances of the relay's failure domain.

        `registered` states whether this relay's own one has a registered target.
        """
        self.registered = registered
        others = list(instances)
        self.has_listeners = len(others) >= READERS_PER_DOMAIN
        own = _order(self.instance)
        self.ahead = [each for each in others if _order(each) < own]
        self.reports = {
            each: report for each, report in self.reports.items() if each in self.ahead
        }

    def record(self, now: float, instance: str, *, succeeded: bool) -> None:
        """Record the report of another relay."""
        if instance in self.ahead:
            self.reports[instance] = ReadReport(succeeded, now)

    def record_session(self, now: float, instance: str) -> None:
        """Record a new connection of another relay.

        What a reader told while it had none is lost, and nobody tells it again.
        """
        if self._reads(now, instance):
            self.record_gap()

    def record_gap(self) -> None:
        """Record that others may have told something that did not arrive here.

        The next read of the store that begins after that makes up for it.
        """
        self.gaps += 1

    @property
    def has_gap(self) -> bool:
        """Whether no read has made up yet for what may have been lost."""
        return self.gaps > self.gaps_covered

    def record_own(self, now: float, *, succeeded: bool) -> bool:
        """Record a read of this relay; return whether the others are to be told."""
        if succeeded:
            self.gaps_covered = self.gaps_before_read
        told = succeeded or self.own_report.succeeded
        self.own_report = ReadReport(succeeded, now)
        return told

    def should_read(self, now: float) -> bool:
        """Return whether this relay is to read the store, which it then does."""
        self.gaps_before_read = self.gaps
        if self.has_gap and self._may_try(now, self.ahead):
            return True
        if not self.registered:
            # Relays tell only those beside registered targets of changes.
            return True
        ahead = [each for each in self.ahead if self.is_connected(each)]
        reading = sum(self._reads(now, each) for each in ahead)
        missing = READERS_PER_DOMAIN - reading
        if missing <= 0:
            self.missing_since = None
            return False
        not_reading = len(ahead) - reading
        if not_reading < missing:
            return True
        if self.missing_since is None:
            self.missing_since = self._missing_since(now, ahead)
        delay = (not_reading - missing + 1) * TAKEOVER_STEP_S
        if now - self.missing_since < delay:
            return False
        return self._may_try(now, ahead)

    def is_first(self, now: float) -> bool:
        """Return whether no relay before this one reads the store."""
        return not any(
            self.is_connected(each) and self._reads(now, each) for each in self.ahead
        )

    def _missing_since(self, now: float, ahead: list[str]) -> float:
        """Return when a report of a connected reader expired, or `now`.

        This relay looks at the readers at intervals, which is no reason to wait longer.
        """
        expired = [
            self.reports[each].at + REPORT_LIFETIME_S
            for each in ahead
            if each in self.reports and self.reports[each].succeeded
        ]
        recent = [at for at in expired if now - TAKEOVER_STEP_S <= at <= now]
        return max(recent, default=now)

    def _may_try(self, now: float, ahead: list[str]) -> bool:
        """Return whether this relay may ask the store in place of others.

        A store that does not answer others either is asked at intervals.
        """
        down = not self.own_report.succeeded and any(
            each in self.reports and not self.reports[each].succeeded for each in ahead
        )
        return not down or now - self.own_report.at >= RETRY_INTERVAL_S

    def _reads(self, now: float, instance: str) -> bool:
        """Return whether a relay has lately read the store."""
        report = self.reports.get(instance)
        return (
            report is not None
            and report.succeeded
            and now - report.at < REPORT_LIFETIME_S
        )


def _order(instance: str) -> tuple[int, str]:
    """Return the position of an instance, the same at every relay."""
    return zlib.crc32(instance.encode()), instance
