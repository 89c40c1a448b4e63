"""Load balancing of calls over targets, by reported load and call time.

Many relays share a few targets of different speed, some of which become slow. The load
balancer samples a few candidates and takes the one with the shortest expected time. The
random sample keeps relays that have the same reports from all choosing the same target
of many; of a few targets all are candidates, as the quickest is otherwise often missed.
"""

import math
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING, NamedTuple

from ....protocol.relay_messages import StatedLimit
from ....state.catalog import Route, Target
from ..limiter.call_times import DEFAULT_CALL_TIME_S
from ..limiter.rate_limiter import UNLIMITED

if TYPE_CHECKING:
    from random import Random

__all__ = ["Availability", "LoadBalancer", "TargetRecord"]

CROSS_DOMAIN_FACTOR = 1.6
"""Factor on the expected time of a call to another failure domain."""
MAX_CANDIDATES = 2
"""Candidates in the own failure domain, and in all others together."""
MAX_DRAWS = 6
"""Random targets that are looked at for the candidates of one part of the fleet."""
FAILURE_RATE_FACTOR = 6.0
"""Weight of the failure rate in the expected time: 1 + factor * failure rate."""
FAILURE_RATE_SMOOTHING = 0.05
FAILURE_RATE_HALF_LIFE_S = 2.0
"""The failure rate decays, as a target that gets no calls shows no successes."""
EJECTION_S = 0.5
"""Time for which a target is ejected after a refusal that indicates a failure."""
LIMIT_HORIZON_S = 0.5
"""Time whose calls count as a full load of a target with a rate limit."""
REPORT_STALE_AFTER_S = 1.0
"""Age above which a reported load is halved."""


class Availability(Enum):
    """Whether the relay beside a target accepts calls."""

    UP = "up"
    SILENT = "silent"
    """The relay has not answered for a moment; used only if no other target is up."""
    DRAINING = "draining"
    """The relay is about to stop; used only if no other target is left."""
    DOWN = "down"


@dataclass(slots=True, kw_only=True)
class TargetRecord:
    """State that a relay keeps for one incarnation of a target.

    `load` is the reported number of running and queued calls over the concurrency
    limit, `sent_since_report` the calls that this relay has sent since that report,
    `outstanding` the calls of this relay that have not ended, `call_times` the mean
    seconds of a call by route, and `failure_rate` the smoothed fraction of calls that
    the target rejected or failed. `rate_limit` is the calls per second that the target
    takes from all relays together, infinite if it states no limit, None if unknown.
    """

    target: Target
    load: float = 0.0
    reported_at: float = 0.0
    sent_since_report: int = 0
    outstanding: int = 0
    ejected_until: float = 0.0
    failure_rate: float = 0.0
    outcome_at: float = 0.0
    call_times: dict[str, float] = field(default_factory=dict)
    rate_limit: float | None = None

    @property
    def limited(self) -> bool:
        """Whether the target is known to state a rate limit."""
        return self.rate_limit is not None and self.rate_limit < UNLIMITED

    @property
    def concurrent_calls(self) -> float:
        """Calls that raise the load by 1."""
        if self.rate_limit is None:
            return self.target.slots
        return min(self.target.slots, max(1.0, self.rate_limit * LIMIT_HORIZON_S))

    def load_at(self, now: float) -> float:
        """Return the load, including the calls sent since the last report."""
        load = self.load + self.sent_since_report / self.concurrent_calls
        if now - self.reported_at > REPORT_STALE_AFTER_S:
            return max(load / 2, self.outstanding / self.concurrent_calls)
        return load

    def failure_rate_at(self, now: float) -> float:
        """Return the failure rate, decayed since the last outcome."""
        half_lives = (now - self.outcome_at) / FAILURE_RATE_HALF_LIFE_S
        return self.failure_rate * math.pow(0.5, half_lives)

    def expected_time(
        self, now: float, route: str, own_domain: str, default_call_time: float
    ) -> float:
        """Return the expected time of a call in seconds, with penalties.

        `default_call_time` is the call time of a target that has not reported one.
        """
        call_time = self.call_times.get(route, default_call_time)
        load = self.load_at(now)
        queue_delay = max(0.0, load - 1.0) * call_time
        seconds = call_time * (1.0 + load * load) + queue_delay
        seconds *= 1.0 + FAILURE_RATE_FACTOR * self.failure_rate_at(now)
        if self.target.failure_domain != own_domain:
            seconds *= CROSS_DOMAIN_FACTOR
        return seconds


class ServiceParts(NamedTuple):
    """The targets of a service by whether they are in the own failure domain."""

    targets: tuple[Target, ...]
    local: list[Target]
    remote: list[Target]


class LoadBalancer:
    """Chooses the best of a few random targets.

    Parameters
    ----------
    failure_domain : str
        Failure domain of the relay.
    rng : random.Random
        Source of the random samples.
    """

    def __init__(self, *, failure_domain: str, rng: "Random") -> None:
        self.failure_domain = failure_domain
        self.rng = rng
        self.records: dict[str, TargetRecord] = {}
        self.parts: dict[str, ServiceParts] = {}

    def record(self, target: Target) -> TargetRecord:
        """Return the record of a target's incarnation, creating it if needed."""
        record = self.records.get(target.name)
        if record is None or record.target.started != target.started:
            record = TargetRecord(target=target)
            self.records[target.name] = record
        elif record.target is not target:
            if target.has_warmed_up_since(record.target):
                # The times from before would keep calls away for ever.
                record.call_times.clear()
            record.target = target
        return record

    def forget(self, name: str) -> None:
        """Drop the record of a removed target."""
        self.records.pop(name, None)

    def known_limits(self) -> list[StatedLimit]:
        """Return the rate limits that targets are known to state."""
        return [
            StatedLimit(each.target.name, each.target.started, each.rate_limit)
            for each in self.records.values()
            if each.rate_limit is not None and each.limited
        ]

    def longest_call_time(
        self, route: str, targets: Iterable[Target], default: float
    ) -> float:
        """Return the call time of a route at the slowest of some targets, in seconds.

        `default` is that of a route that none of them has reported.
        """
        times = [
            self.records[target.name].call_times.get(route)
            for target in targets
            if target.name in self.records
        ]
        return max((time for time in times if time is not None), default=default)

    def choose(
        self, now: float, route: Route, candidates: list[Target]
    ) -> TargetRecord | None:
        """Return the target for a call, or None without candidates.

        It is the best of up to two random local and two random remote candidates. An
        ejected target is chosen only if all are ejected.
        """
        if not candidates:
            return None
        records = [self.record(target) for target in candidates]
        not_ejected = [record for record in records if record.ejected_until <= now]
        records = not_ejected or records
        local = [r for r in records if r.target.failure_domain == self.failure_domain]
        remote = [r for r in records if r.target.failure_domain != self.failure_domain]
        sampled = self._sample(local) + self._sample(remote)
        return self._best(now, route, sampled, records)

    def draw(
        self,
        now: float,
        route: Route,
        targets: tuple[Target, ...],
        accepts: Callable[[Target], bool],
    ) -> TargetRecord | None:
        """Return the target for a call as `choose` does, without looking at them all.

        Returns None if none of the targets that were drawn is accepted, or all of them
        are ejected; there may be others.
        """
        local, remote = self._parts(targets)
        drawn = self._draw(now, local, accepts) + self._draw(now, remote, accepts)
        return self._best(now, route, drawn, drawn) if drawn else None

    def _parts(self, targets: tuple[Target, ...]) -> tuple[list[Target], list[Target]]:
        """Return the targets of a service in the own failure domain, and all others."""
        service = targets[0].service
        parts = self.parts.get(service)
        if parts is None or parts.targets is not targets:
            own = self.failure_domain
            parts = self.parts[service] = ServiceParts(
                targets,
                [target for target in targets if target.failure_domain == own],
                [target for target in targets if target.failure_domain != own],
            )
        return parts.local, parts.remote

    def _draw(
        self, now: float, targets: list[Target], accepts: Callable[[Target], bool]
    ) -> list[TargetRecord]:
        drawn: dict[str, TargetRecord] = {}
        for _ in range(min(MAX_DRAWS, 2 * len(targets))):
            target = targets[int(self.rng.random() * len(targets))]
            if target.name in drawn or not accepts(target):
                continue
            record = self.record(target)
            if record.ejected_until <= now:
                drawn[target.name] = record
            if len(drawn) == MAX_CANDIDATES:
                break
        return list(drawn.values())

    def _best(
        self,
        now: float,
        route: Route,
        sampled: list[TargetRecord],
        records: list[TargetRecord],
    ) -> TargetRecord:
        """Return the target with the shortest expected time of those sampled."""
        default = DEFAULT_CALL_TIME_S
        if any(route.name not in record.call_times for record in sampled):
            default = _mean_call_time(records, route.name)
        return min(
            sampled,
            key=lambda each: each.expected_time(
                now, route.name, self.failure_domain, default
            ),
        )

    def _sample(self, records: list[TargetRecord]) -> list[TargetRecord]:
        if len(records) <= MAX_CANDIDATES:
            return records
        return self.rng.sample(records, MAX_CANDIDATES)

    def record_send(self, record: TargetRecord) -> None:
        """Count a call that is sent to a target."""
        record.sent_since_report += 1
        record.outstanding += 1

    def record_end(self, record: TargetRecord) -> None:
        """Count the end of a call."""
        record.outstanding -= 1

    def record_outcome(self, now: float, record: TargetRecord, *, failed: bool) -> None:
        """Update the failure rate by the outcome of a call."""
        previous = record.failure_rate_at(now)
        record.failure_rate = previous + FAILURE_RATE_SMOOTHING * (
            float(failed) - previous
        )
        record.outcome_at = now

    def record_load(self, now: float, record: TargetRecord, load: float) -> None:
        """Store the load that a target's relay reported."""
        record.load = load
        record.reported_at = now
        record.sent_since_report = 0

    def eject(
        self, now: float, record: TargetRecord, seconds: float = EJECTION_S
    ) -> None:
        """Eject a target from load balancing for a time in seconds."""
        record.ejected_until = now + seconds


def _mean_call_time(records: list[TargetRecord], route: str) -> float:
    """Return the mean of the reported call times of a route, in seconds."""
    reported = [r.call_times[route] for r in records if route in r.call_times]
    return sum(reported) / len(reported) if reported else DEFAULT_CALL_TIME_S
