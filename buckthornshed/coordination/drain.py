"""Connection draining of an instance before it exits."""

from enum import Enum
from typing import NamedTuple

from ..state.table import BoundedTable

__all__ = [
    "CALLER_RETENTION_S",
    "LINGER_S",
    "MAX_CALLERS",
    "NOTICE_S",
    "DrainEvent",
    "DrainPhase",
    "DrainState",
]

NOTICE_S = 1.0
LINGER_S = 5.0
CALLER_RETENTION_S = 60.0
MAX_CALLERS = 10_000


class DrainPhase(Enum):
    """Phase of draining.

    In ``NOTICE`` the instance notifies its callers and still accepts calls, so that
    notified callers send nothing that would have to be refused. In ``REFUSING`` it
    refuses new calls as not run and finishes those in flight. In ``LINGERING`` it has
    no calls in flight and keeps listening, so that a caller that missed the notice
    gets a refusal instead of a connection reset.
    """

    SERVING = "serving"
    NOTICE = "notice"
    REFUSING = "refusing"
    LINGERING = "lingering"
    DRAINED = "drained"


class DrainEvent(Enum):
    """Event that may change the phase."""

    STOP = "stop"
    NOTICE_OVER = "notice-over"
    IDLE = "idle"
    BUSY = "busy"
    LINGER_OVER = "linger-over"
    DEADLINE = "deadline"


class PhaseRules(NamedTuple):
    """Behavior of an instance in a phase."""

    accepts: bool
    draining: bool
    may_exit: bool


PHASE_RULES = {
    DrainPhase.SERVING: PhaseRules(accepts=True, draining=False, may_exit=False),
    DrainPhase.NOTICE: PhaseRules(accepts=True, draining=True, may_exit=False),
    DrainPhase.REFUSING: PhaseRules(accepts=False, draining=True, may_exit=False),
    DrainPhase.LINGERING: PhaseRules(accepts=False, draining=True, may_exit=False),
    DrainPhase.DRAINED: PhaseRules(accepts=False, draining=True, may_exit=True),
}

TRANSITIONS = {
    (DrainPhase.SERVING, DrainEvent.STOP): DrainPhase.NOTICE,
    (DrainPhase.NOTICE, DrainEvent.NOTICE_OVER): DrainPhase.REFUSING,
    (DrainPhase.NOTICE, DrainEvent.DEADLINE): DrainPhase.DRAINED,
    (DrainPhase.REFUSING, DrainEvent.IDLE): DrainPhase.LINGERING,
    (DrainPhase.REFUSING, DrainEvent.DEADLINE): DrainPhase.DRAINED,
    (DrainPhase.LINGERING, DrainEvent.BUSY): DrainPhase.REFUSING,
    (DrainPhase.LINGERING, DrainEvent.LINGER_OVER): DrainPhase.DRAINED,
    (DrainPhase.LINGERING, DrainEvent.DEADLINE): DrainPhase.DRAINED,
}
"""Next phase by phase and event; any other pair leaves the phase unchanged."""


class DrainState:
    """State machine for draining one instance.

    Parameters
    ----------
    deadline_s : float
        Seconds after the stop request at which the instance exits in any case. Has to
        exceed the longest deadline of its routes, so that no request in flight is
        interrupted.
    notice_s : float
        Seconds after the stop request during which it still accepts calls.
    linger_s : float
        Minimum number of seconds after the stop request for which it listens.
    """

    def __init__(
        self,
        *,
        deadline_s: float,
        notice_s: float = NOTICE_S,
        linger_s: float = LINGER_S,
    ) -> None:
        self.deadline_s = deadline_s
        self.notice_s = notice_s
        self.linger_s = linger_s
        self.phase = DrainPhase.SERVING
        self.in_flight = 0
        self.stop_requested_at: float | None = None
        self.callers: BoundedTable[str, float] = BoundedTable(entries=MAX_CALLERS)

    @property
    def accepts(self) -> bool:
        """Whether new calls are accepted; otherwise they are refused as not run."""
        return PHASE_RULES[self.phase].accepts

    @property
    def draining(self) -> bool:
        """Value of ``NodeSignal.draining`` on each answer."""
        return PHASE_RULES[self.phase].draining

    @property
    def may_exit(self) -> bool:
        """Whether the process may exit."""
        return PHASE_RULES[self.phase].may_exit

    def record_caller(self, now: float, caller: str) -> None:
        """Record a node that sends calls, so that it can be notified of a drain."""
        if caller not in self.callers and self.callers.full:
            self.callers.expire(now)
        if caller in self.callers or not self.callers.full:
            self.callers.put(caller, now, expires=now + CALLER_RETENTION_S)

    def stop(self, now: float) -> list[str]:
        """Start draining and return the recent callers to notify."""
        if self.phase is DrainPhase.SERVING:
            self.stop_requested_at = now
        self._apply(DrainEvent.STOP)
        self.callers.expire(now)
        return [entry.key for entry in self.callers.entries()]

    def call_started(self) -> None:
        """Count a call that this instance accepted, queued or running."""
        self.in_flight += 1
        self._apply(DrainEvent.BUSY)

    def call_ended(self, now: float) -> None:
        """Count a call whose answer has been sent completely."""
        self.in_flight -= 1
        self.poll(now)

    def poll(self, now: float) -> DrainPhase:
        """Apply the events due at ``now`` and return the phase."""
        if self.stop_requested_at is None:
            return self.phase
        elapsed = now - self.stop_requested_at
        if elapsed >= self.notice_s:
            self._apply(DrainEvent.NOTICE_OVER)
        if self.in_flight == 0:
            self._apply(DrainEvent.IDLE)
        if elapsed >= max(self.linger_s, self.notice_s):
            self._apply(DrainEvent.LINGER_OVER)
        if elapsed >= self.deadline_s:
            self._apply(DrainEvent.DEADLINE)
        return self.phase

    def next_poll(self) -> float | None:
        """Return the monotonic time at which ``poll`` is due next, or None."""
        if self.stop_requested_at is None or self.may_exit:
            return None
        waits = {
            DrainPhase.NOTICE: self.notice_s,
            DrainPhase.LINGERING: max(self.linger_s, self.notice_s),
        }
        wait = min(waits.get(self.phase, self.deadline_s), self.deadline_s)
        return self.stop_requested_at + wait

    def _apply(self, event: DrainEvent) -> None:
        self.phase = TRANSITIONS.get((self.phase, event), self.phase)
