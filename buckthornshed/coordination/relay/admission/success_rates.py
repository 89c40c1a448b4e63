"""Recent success rate of each route, relative to that of all routes.

Under sustained overload, requests of low priority keep a small admission share, and
some of the admitted ones fail on their way. The measured success rate shows when a
route is about to starve, which its share alone does not.
"""

import math
from collections import defaultdict

__all__ = ["SuccessRates"]

DECAY_TIME_S = 30.0
MIN_ATTEMPTS = 20.0
"""Attempts of a route below which its success rate is not used."""
NEGLIGIBLE_ATTEMPTS = 0.01


class SuccessRates:
    """Exponentially decaying counts of client attempts and successes by route."""

    def __init__(self) -> None:
        self.attempts: defaultdict[str, float] = defaultdict(float)
        self.successes: defaultdict[str, float] = defaultdict(float)
        self.decayed_at: float | None = None

    def record_attempt(self, route: str, *, succeeded: bool) -> None:
        """Count a client's attempt that has its final answer."""
        self.attempts[route] += 1.0
        self.successes[route] += float(succeeded)

    def decay(self, now: float) -> None:
        """Decay the counts by the time since the last call."""
        elapsed = 0.0 if self.decayed_at is None else now - self.decayed_at
        self.decayed_at = now
        factor = math.exp(-elapsed / DECAY_TIME_S)
        for route in list(self.attempts):
            self.attempts[route] *= factor
            self.successes[route] *= factor
            if self.attempts[route] < NEGLIGIBLE_ATTEMPTS:
                del self.attempts[route], self.successes[route]

    def relative_rate(self, route: str) -> float:
        """Return the success rate of a route over that of all requests.

        Returns 1 while the route has fewer than `MIN_ATTEMPTS` attempts.
        """
        if self.attempts.get(route, 0.0) < MIN_ATTEMPTS:
            return 1.0
        requests = {each: self._estimated_requests(each) for each in self.attempts}
        rate = self.successes[route] / requests[route]
        overall_rate = sum(self.successes.values()) / sum(requests.values())
        return rate / overall_rate if overall_rate > 0.0 else 1.0

    def _estimated_requests(self, route: str) -> float:
        """Return the estimated requests, if each failed one is attempted twice."""
        attempts = self.attempts[route]
        if attempts <= 0.0:
            return 0.0
        return attempts / (2.0 - self.successes[route] / attempts)
