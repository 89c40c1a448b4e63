"""Services that no relay can reach from here.

A failure domain that is partitioned, or a service whose targets are all gone, leaves
requests that will fail at a call far downstream. They are refused at the first hop
instead, before any target has run them, so that their clients may repeat them safely.

An outage that has lasted for a while will probably last for as long again. A client
that may repeat its request only once is told to return when that time has passed.
"""

from collections.abc import Iterable

__all__ = ["Outages"]

MIN_RETRY_OBJECTIVES = 0.35
"""Least Retry-After, as a multiple of the request's latency objective."""
MAX_RETRY_OBJECTIVES = 1.7
"""Longest Retry-After; a late answer must still come before the client gives up."""


class Outages:
    """The start of each outage in progress, in seconds, by service."""

    def __init__(self) -> None:
        self.started: dict[str, float] = {}

    def update(self, now: float, unreachable: Iterable[str]) -> None:
        """Replace the services that are out of reach."""
        self.started = {
            service: self.started.get(service, now) for service in unreachable
        }

    def retry_after(self, now: float, service: str, objective: float) -> float:
        """Return the time after which a client of a service may return, in seconds.

        `objective` is the latency objective of its request, in seconds.
        """
        age = now - self.started[service]
        least, longest = MIN_RETRY_OBJECTIVES, MAX_RETRY_OBJECTIVES
        return min(longest * objective, max(least * objective, age))
