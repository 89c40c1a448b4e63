"""Exchange of what relays know of requests that crash targets."""

from collections.abc import Callable

from ....coordination.relay.crashes.crash_suspects import CrashSuspects
from ....coordination.relay.crashes.fingerprints import request_fingerprint
from ....coordination.relay.crashes.recent_answers import RecentAnswers
from ....protocol.crash_messages import Clearance, Crash, CrashNotice
from ....protocol.relay_messages import CallMessage, HeaderNames
from ....state.catalog import Release, Target
from ...logs import log_event
from ..counts import RelayCounts

__all__ = ["CrashReports"]


class CrashReports:
    """Reports the crashes of the local target, and applies those of others.

    Parameters
    ----------
    instance : str
        IP address of this instance.
    service : str
        Service of the local target.
    names : HeaderNames
        Header names of the deployment.
    counts : RelayCounts
        Counters of the relay.
    broadcast : callable
        Sends a notice to all relays.
    clock : callable
        Returns seconds of the monotonic clock.
    wall : callable
        Returns seconds of the wall clock.

    Attributes
    ----------
    suspects : CrashSuspects
        The evidence, and what follows from it.
    recent_answers : RecentAnswers
        What the local target has answered.
    clearances : list of Clearance
        Clearances that the other relays have not been told yet.
    """

    def __init__(
        self,
        *,
        instance: str,
        service: str,
        names: HeaderNames,
        counts: RelayCounts,
        broadcast: Callable[[CrashNotice], None],
        clock: Callable[[], float],
        wall: Callable[[], float],
    ) -> None:
        self.instance = instance
        self.service = service
        self.names = names
        self.counts = counts
        self.broadcast = broadcast
        self.clock = clock
        self.wall = wall
        self.suspects = CrashSuspects()
        self.recent_answers = RecentAnswers()
        self.clearances: list[Clearance] = []

    def fingerprint(self, head: bytes, body: bytes, workspace: str) -> bytes:
        """Return the fingerprint of a request."""
        return request_fingerprint(head, body, self.names.credential, workspace)

    def release(self, target: Target | None) -> Release:
        """Return what the local target runs; the version is empty if not known."""
        return Release(self.service, "") if target is None else target.release

    def report(self, target: Target | None, calls: list[CallMessage]) -> None:
        """Tell all relays that the local target ended while it ran calls.

        If these are too many to be told, the first ones of `calls` are.
        """
        now = self.clock()
        self.counts.target_crashes += 1
        running = [
            self.fingerprint(call.head, call.body, call.workspace) for call in calls
        ]
        suspects = self.recent_answers.suspects(now, running)
        crash = Crash(
            instance=self.instance,
            at_ms=self._wall_ms(),
            release=self.release(target),
            suspects=self.suspects.name_suspects(suspects),
        )
        log_event(
            "target_crashed",
            target="-" if target is None else target.name,
            version=crash.release.version or "-",
            calls=len(calls),
            suspects=" ".join(each.hex() for each in crash.suspects),
        )
        culprits = self._record_crash(now, crash)
        quarantines = self.suspects.quarantines
        told = [quarantines[culprit].told(now, culprit) for culprit in culprits]
        self.broadcast(CrashNotice(crashes=[crash], quarantines=told))

    def record_answer(self, target: Target | None, call: CallMessage) -> None:
        """Record that the local target has run a call and answered it."""
        fingerprint = self.fingerprint(call.head, call.body, call.workspace)
        self.recent_answers.record(self.clock(), fingerprint)
        if not self.suspects.active:
            return
        clearance = Clearance(fingerprint, self.release(target), self._wall_ms())
        if self._clear(clearance):
            self.clearances.append(clearance)

    def begin_trial(self, fingerprint: bytes) -> None:
        """Tell all relays if the local target now tries a quarantined request."""
        told = self.suspects.begin_trial(self.clock(), fingerprint)
        if told is not None:
            log_event("quarantine_trial", fingerprint=fingerprint.hex())
            self.broadcast(CrashNotice(quarantines=[told]))

    def apply(self, notice: CrashNotice) -> None:
        """Apply what another relay tells."""
        now = self.clock()
        for crash in notice.crashes:
            self._record_crash(now, crash)
        for told in notice.quarantines:
            if self.suspects.adopt(now, told):
                self._log_quarantine(told.fingerprint, "peer")
        for clearance in notice.clearances:
            self._clear(clearance)

    def notice(self) -> CrashNotice | None:
        """Return what a newly connected relay is told, None if there is nothing."""
        return self.suspects.notice(self.clock())

    def flush(self) -> None:
        """Tell all relays which requests the local target has answered since."""
        if self.clearances:
            self.broadcast(CrashNotice(clearances=self.clearances))
            self.clearances = []

    def _record_crash(self, now: float, crash: Crash) -> list[bytes]:
        culprits = self.suspects.record_crash(now, crash)
        for culprit in culprits:
            self._log_quarantine(culprit, "crash")
        return culprits

    def _clear(self, clearance: Clearance) -> bool:
        before = set(self.suspects.quarantines)
        was_quarantined = clearance.fingerprint in before
        found = self.suspects.clear(clearance)
        for culprit in self.suspects.quarantines.keys() - before:
            self._log_quarantine(culprit, "answer")
        if found and was_quarantined:
            log_event(
                "quarantine_cleared",
                fingerprint=clearance.fingerprint.hex(),
                service=clearance.release.service,
                version=clearance.release.version,
            )
        return found

    def _log_quarantine(self, fingerprint: bytes, source: str) -> None:
        quarantine = self.suspects.quarantines[fingerprint]
        log_event(
            "request_quarantined",
            fingerprint=fingerprint.hex(),
            releases=" ".join(f"{r.service}/{r.version}" for r in quarantine.crashed),
            seconds=round(quarantine.until - self.clock(), 1),
            source=source,
        )

    def _wall_ms(self) -> int:
        return int(self.wall() * 1e3)
