"""Calls for the target beside a relay: which run, which wait, which are turned away.

Answers a target whose callers together ask for more than its slots carry. The relay
is the only way to the target, so it knows what runs there and keeps a little room, as
targets slow down when they are full. The most important calls start first, among
equals the one whose deadline is nearest; a call that cannot start in time is turned
away at once and has not run.
"""

import heapq
from collections.abc import Hashable
from dataclasses import dataclass
from typing import NamedTuple

from ...protocol.relay_messages import CallMessage, RefusalReason
from .breaks import BreakWatch
from .room import RoomEstimate
from .silence import SilenceWatch

__all__ = ["GateAction", "GateCall", "Refused", "Start", "TargetGate"]

ROOM_SHARE = 0.94
"""Part of the slots that is used."""
SMOOTHING = 0.1
MEAN_SMOOTHING = 0.03
USUAL_S = 0.05
QUEUE_PER_SLOT = 4
UNKNOWN_SLOTS = 8
"""Slots of a target whose registration has not been heard of yet."""
RETRY_LEAST_S = 0.2
RETRY_MOST_S = 2.0


@dataclass(slots=True, kw_only=True, eq=False)
class GateCall:
    """A call at the gate; `key` is the driver's name for it, times are seconds."""

    key: Hashable
    message: CallMessage
    deadline: float
    arrived: float
    started: float | None = None
    dropped: bool = False


class Start(NamedTuple):
    """Send a call to the target."""

    call: GateCall


class Refused(NamedTuple):
    """Turn a call away; it has not run."""

    call: GateCall
    reason: RefusalReason
    retry_after: float


GateAction = Start | Refused


class TargetGate:
    """Concurrency limit and queue in front of one target.

    Attributes
    ----------
    leaving : bool
        Whether the target or its relay takes no new calls.
    """

    def __init__(self) -> None:
        self.set_slots(UNKNOWN_SLOTS)
        self.leaving = False
        self.calls: dict[Hashable, GateCall] = {}
        self.running = 0
        self.waiting: list[tuple[int, float, int, GateCall]] = []
        self.waiting_count = 0
        self.order = 0
        self.usual: dict[str, float] = {}
        self.mean = USUAL_S
        self.room = RoomEstimate()
        self.silence = SilenceWatch()
        self.breaks = BreakWatch()

    @property
    def load(self) -> float:
        """Calls running and waiting as a share of the room."""
        return (self.running + self.waiting_count) / self.limit

    @property
    def calls_per_second(self) -> float:
        """Calls a second that the target can carry."""
        if self.leaving or self.breaks.suspected:
            return 0.0
        return self.room.calls_per_second(self.limit, self.mean)

    @property
    def work(self) -> dict[str, float]:
        """Work of a call of each route; 1 is the mean."""
        return {r: round(usual / self.mean, 2) for r, usual in self.usual.items()}

    def set_slots(self, slots: int) -> None:
        """Take the number of calls that the target runs at the same time."""
        self.slots = slots
        self.limit = max(1, int(slots * ROOM_SHARE))

    def usual_time(self, route: str) -> float:
        """Return the usual seconds of a call of a route."""
        return self.usual.get(route, self.mean)

    def retry_after(self) -> float:
        """Return the seconds after which a place should be free."""
        backlog = self.waiting_count * self.mean / self.limit
        return min(RETRY_MOST_S, RETRY_LEAST_S + backlog)

    def arrive(self, now: float, call: GateCall) -> list[GateAction]:
        """Take a call."""
        if self.leaving:
            return [Refused(call, RefusalReason.LEAVING, RETRY_LEAST_S)]
        if call.deadline <= now:
            return [Refused(call, RefusalReason.EXPIRED, self.retry_after())]
        if self._shut(now):
            return [Refused(call, RefusalReason.UNREACHABLE, self.retry_after())]
        if self.running < self.limit and not self.waiting_count:
            return [self._start(now, call)]
        if not self._in_time(now, call):
            return [Refused(call, RefusalReason.OVERLOAD, self.retry_after())]
        self.calls[call.key] = call
        self.order += 1
        entry = (call.message.rank, call.deadline, self.order, call)
        heapq.heappush(self.waiting, entry)
        self.waiting_count += 1
        return self._fill(now)

    def finished(
        self,
        now: float,
        key: Hashable,
        *,
        sound: bool,
        answered: bool = True,
        broken: bool = False,
    ) -> list[GateAction]:
        """Take the end of a running call.

        A sound one tells how long calls take; a broken one got no answer since its
        connection ended or could not be made.
        """
        call = self.calls.pop(key, None)
        if call is None or call.started is None:
            return []
        self.running -= 1
        if answered:
            self.silence.heard(now)
        if sound:
            self.breaks.served()
            self._learn(call.message.route, now - call.started)
        if broken:
            self.breaks.broke(now, started=call.started)
            if self.breaks.suspected:
                return self.turn_all_away(RefusalReason.UNREACHABLE)
        return self._fill(now)

    def cancelled(self, now: float, key: Hashable) -> tuple[bool, list[GateAction]]:
        """Drop a call; return whether it was running, and what starts now."""
        call = self.calls.get(key)
        if call is None:
            return False, []
        if call.started is not None:
            return True, self.finished(now, key, sound=False, answered=False)
        del self.calls[key]
        call.dropped = True
        self.waiting_count -= 1
        return False, []

    def tick(self, now: float) -> list[GateAction]:
        """Turn away what waits and can no longer be in time; look at the room."""
        wait = self.waiting_count * self.mean / self.limit
        self.room.move(now, running=self.running, limit=self.limit, wait=wait)
        actions: list[GateAction] = []
        for entry in self.waiting:
            call = entry[3]
            left = call.deadline - now
            if not call.dropped and left < self.usual_time(call.message.route) / 2:
                actions.append(self._turn_away(call, RefusalReason.EXPIRED))
        return [*actions, *self._fall_silent(now), *self._fill(now)]

    def _fall_silent(self, now: float) -> list[GateAction]:
        """Send what waits elsewhere when the target answers nothing.

        Calls that run are left to their deadlines: the target may be at work on them.
        """
        running = [call for call in self.calls.values() if call.started is not None]
        times = [self.usual.get(call.message.route) for call in running]
        known = [seconds for seconds in times if seconds is not None]
        if not known or len(known) < len(times):
            return []
        if not self.silence.noticed(now, running=len(running), usual=max(known)):
            return []
        return self.turn_all_away(RefusalReason.UNREACHABLE)

    def turn_all_away(
        self, reason: RefusalReason = RefusalReason.LEAVING
    ) -> list[GateAction]:
        """Turn away all that waits."""
        return [
            self._turn_away(entry[3], reason)
            for entry in self.waiting
            if not entry[3].dropped
        ]

    def _turn_away(self, call: GateCall, reason: RefusalReason) -> Refused:
        call.dropped = True
        self.waiting_count -= 1
        del self.calls[call.key]
        return Refused(call, reason, self.retry_after())

    def _start(self, now: float, call: GateCall) -> Start:
        self.calls[call.key] = call
        call.started = now
        if not self.running:
            self.silence.heard(now)
        self.running += 1
        return Start(call)

    def _fill(self, now: float) -> list[GateAction]:
        actions: list[GateAction] = []
        while self.waiting and self.running < self.limit:
            if self._shut(now):
                break
            call = heapq.heappop(self.waiting)[3]
            if call.dropped:
                continue
            if call.deadline <= now:
                actions.append(self._turn_away(call, RefusalReason.EXPIRED))
                continue
            self.waiting_count -= 1
            actions.append(self._start(now, call))
        return actions

    def _shut(self, now: float) -> bool:
        """Whether the target gets no call now, as it seems to be down."""
        if self.breaks.closed(now):
            return True
        trial = self.silence.closed(now) or self.breaks.suspected
        return trial and self.running > 0

    def _in_time(self, now: float, call: GateCall) -> bool:
        if self.waiting_count >= self.limit * QUEUE_PER_SLOT:
            return False
        rank = call.message.rank
        ahead = sum(
            1 for entry in self.waiting if entry[0] <= rank and not entry[3].dropped
        )
        wait = (ahead + 1) * self.mean / self.limit
        usual = self.usual_time(call.message.route)
        return now + wait + usual <= call.deadline

    def _learn(self, route: str, seconds: float) -> None:
        self.mean += MEAN_SMOOTHING * (seconds - self.mean)
        known = self.usual.get(route, seconds)
        self.usual[route] = known + SMOOTHING * (seconds - known)
