"""Which part of each kind of request was served lately, beside all kinds.

Answers an overload that lasts: the least important requests keep little, and part of
what they keep fails on its way. Counting what was really served shows when a kind is
about to starve.
"""

import math
from collections import defaultdict

__all__ = ["ServedShares"]

MEMORY_S = 30.0
TRIES_LEAST = 20.0
"""Tries of a route before its share says something."""
TRIES_FORGOTTEN = 0.01


class ServedShares:
    """Tries of clients by route, and those that were served, fading with time."""

    def __init__(self) -> None:
        self.tries: defaultdict[str, float] = defaultdict(float)
        self.served: defaultdict[str, float] = defaultdict(float)
        self.faded_at: float | None = None

    def ended(self, route: str, *, served: bool) -> None:
        """Count a client's try that has its final answer."""
        self.tries[route] += 1.0
        self.served[route] += float(served)

    def fade(self, now: float) -> None:
        """Let old tries count less."""
        elapsed = 0.0 if self.faded_at is None else now - self.faded_at
        self.faded_at = now
        factor = math.exp(-elapsed / MEMORY_S)
        for route in list(self.tries):
            self.tries[route] *= factor
            self.served[route] *= factor
            if self.tries[route] < TRIES_FORGOTTEN:
                del self.tries[route], self.served[route]

    def relative(self, route: str) -> float:
        """Return the served part of a route's requests over that of all requests.

        1 while too little is known.
        """
        if self.tries.get(route, 0.0) < TRIES_LEAST:
            return 1.0
        requests = {each: self._requests(each) for each in self.tries}
        part = self.served[route] / requests[route]
        common = sum(self.served.values()) / sum(requests.values())
        return part / common if common > 0.0 else 1.0

    def _requests(self, route: str) -> float:
        """Return the requests behind the tries; those not served are tried twice."""
        tries = self.tries[route]
        if tries <= 0.0:
            return 0.0
        return tries / (2.0 - self.served[route] / tries)
