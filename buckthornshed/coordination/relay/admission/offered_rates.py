"""Rates of the new requests that the clients of one relay offer, by route."""

from collections import defaultdict

__all__ = ["OfferedRates"]

RATE_WINDOW_S = 0.5
"""Time constant over which the rates are smoothed."""


class OfferedRates:
    """Smoothed rates of new requests by route, per second, at this relay."""

    def __init__(self) -> None:
        self.counts: defaultdict[str, int] = defaultdict(int)
        self.rates: dict[str, float] = {}
        self.updated_at: float | None = None

    def count(self, route: str) -> None:
        """Count a new request."""
        self.counts[route] += 1

    def update(self, now: float) -> dict[str, float]:
        """Add the counts since the last call to the rates and return the rates."""
        elapsed = 0.0 if self.updated_at is None else now - self.updated_at
        self.updated_at = now
        if elapsed > 0.0:
            weight = min(1.0, elapsed / RATE_WINDOW_S)
            for route in self.rates.keys() | self.counts.keys():
                previous = self.rates.get(route, 0.0)
                rate = self.counts.get(route, 0) / elapsed
                self.rates[route] = previous + weight * (rate - previous)
            self.rates = {r: rate for r, rate in self.rates.items() if rate > 0.05}
        self.counts.clear()
        return dict(self.rates)
