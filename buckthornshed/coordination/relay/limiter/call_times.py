"""Time that calls hold a slot of one target, by route.

A target that becomes slow finishes few calls, and those that outlast their deadline are
cancelled. Finished calls alone would keep showing the time from before, so that callers
go on choosing the target. Calls that have not ended therefore count as soon as they
have taken longer than the mean.
"""

from collections import defaultdict
from collections.abc import Iterable
from typing import NamedTuple

__all__ = ["DEFAULT_CALL_TIME_S", "MIN_CALL_TIME_S", "CallTimes", "RunningCall"]

DEFAULT_CALL_TIME_S = 0.05
"""Call time that is assumed while no target has reported one."""
MIN_CALL_TIME_S = 1e-4
"""Least call time by which a capacity is divided."""
SMOOTHING = 0.1
MEAN_SMOOTHING = 0.03
MIN_RUNNING_CALLS = 4
"""Running calls of a route below which their ages are not used."""


class RunningCall(NamedTuple):
    """A call without an answer; `age` is the time since its start, in seconds."""

    route: str
    age: float


class CallTimes:
    """Smoothed call times of one target.

    Attributes
    ----------
    mean : float
        Mean over all routes, in seconds.
    by_route : dict
        Mean by route, in seconds.
    """

    def __init__(self) -> None:
        self.mean = DEFAULT_CALL_TIME_S
        self.by_route: dict[str, float] = {}

    def of(self, route: str) -> float:
        """Return the call time of a route, in seconds."""
        return self.by_route.get(route, self.mean)

    def record(self, route: str, seconds: float) -> None:
        """Record a call that succeeded."""
        self.mean += MEAN_SMOOTHING * (seconds - self.mean)
        previous = self.by_route.get(route, seconds)
        self.by_route[route] = previous + SMOOTHING * (seconds - previous)

    def record_unfinished(self, route: str, seconds: float) -> None:
        """Record a call that was given up `seconds` after its start.

        It would have taken longer, so a shorter time than the mean shows nothing.
        """
        if seconds > self.of(route):
            self.record(route, seconds)

    def estimates(self, running: Iterable[RunningCall]) -> dict[str, float]:
        """Return the call times by route, raised to the mean age of running calls."""
        ages: defaultdict[str, list[float]] = defaultdict(list)
        for call in running:
            ages[call.route].append(call.age)
        estimates = dict(self.by_route)
        for route, values in ages.items():
            if len(values) >= MIN_RUNNING_CALLS:
                mean_age = sum(values) / len(values)
                estimates[route] = max(estimates.get(route, 0.0), mean_age)
        return estimates
