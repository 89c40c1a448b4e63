"""Counters and gauges of a relay.

Counters are plain integers, because they are incremented on the request path.
"""

from bisect import bisect_left
from collections import Counter
from collections.abc import Callable
from typing import NamedTuple

__all__ = [
    "LATENCY_BUCKETS_S",
    "NO_LIMIT",
    "LatencyHistogram",
    "RelayCounts",
    "RelayGauges",
]

LATENCY_BUCKETS_S = (0.005, 0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3.0, 6.0)
"""Upper bounds of the latency buckets; a last bucket has no bound."""
NO_LIMIT = -1.0
"""Value of the gauge `stated_limit` if the target states no limit."""


class RelayGauges(NamedTuple):
    """Current state of a relay; the field names are the names of the metrics.

    Parameters
    ----------
    generation : float
        Generation of the configuration in force; 0 before the first. From 16 digits on
        it is approximate.
    targets : int
        Registered targets that are not draining.
    peers : int
        Relays to which this one has a connection.
    requests : int
        Pending requests of clients and of the local target.
    running, waiting : int
        Calls that run at the local target, and calls that are queued for it.
    room : float
        Estimated capacity of the local target, in calls per second.
    least_share : float
        Smallest admission share of any route, 0 to 1.
    stated_limit : float
        Calls per second that the local target states as its limit, or `NO_LIMIT`.
    target_requests : int
        Requests sent to the local target since the start of the relay.
    suspects : int
        Requests that are suspected of crashes of targets.
    quarantined : int
        Requests that are not sent because they have crashed targets.
    workspaces : int
        Workspaces of the configuration in force.
    quota_questions : int
        Requests that wait for the owner of their quota.
    quotas_owned : int
        Quotas that this relay keeps an account of.
    configuration_age : float
        Seconds since the configuration came into force; -1 before the first.
    confirmed_age : float
        Seconds since a reader of the store last said that there is no newer one.
    generation_tail : int
        The last 15 digits of the generation, which are exact.
    """

    generation: float
    targets: int
    peers: int
    requests: int
    running: int
    waiting: int
    room: float
    least_share: float
    stated_limit: float
    target_requests: int
    suspects: int
    quarantined: int
    workspaces: int = 0
    quota_questions: int = 0
    quotas_owned: int = 0
    configuration_age: float = -1.0
    confirmed_age: float = -1.0
    generation_tail: int = 0


class LatencyHistogram:
    """Histogram of latencies in seconds.

    Attributes
    ----------
    buckets : list of int
        Number of requests in each bucket of `LATENCY_BUCKETS_S`; the last bucket has no
        upper bound.
    total : float
        Sum of all latencies.
    """

    def __init__(self) -> None:
        self.buckets = [0] * (len(LATENCY_BUCKETS_S) + 1)
        self.total = 0.0

    def add(self, seconds: float) -> None:
        """Add the latency of one request."""
        self.buckets[bisect_left(LATENCY_BUCKETS_S, seconds)] += 1
        self.total += seconds


class RelayCounts:
    """Counters of one relay.

    Attributes
    ----------
    requests : Counter
        Answered requests, by route and outcome.
    calls : Counter
        Ended calls to the local target, by outcome.
    peer_messages : Counter
        Messages from and to other relays, by direction and kind.
    peer_bytes : Counter
        Bytes from and to other relays as sent on the wire, by direction.
    target_crashes : int
        Ends of the local target while it ran calls.
    retries : int
        Sends after the first one of each request.
    unnamed_calls : int
        Requests without a key that one of the runs in progress may have made.
    latencies : dict
        By route, the `LatencyHistogram` of its requests.
    unusable_entries : Counter
        Entries of the store that could not be used, by kind.
    store_calls : callable
        Returns the number of calls to the platform's store so far.
    """

    def __init__(self) -> None:
        self.requests: Counter[tuple[str, ...]] = Counter()
        self.calls: Counter[tuple[str, ...]] = Counter()
        self.peer_messages: Counter[tuple[str, ...]] = Counter()
        self.peer_bytes: Counter[tuple[str, ...]] = Counter()
        self.unusable_entries: Counter[tuple[str, ...]] = Counter()
        self.target_crashes = 0
        self.retries = 0
        self.unnamed_calls = 0
        self.latencies: dict[str, LatencyHistogram] = {}
        self.store_calls: Callable[[], int] = int

    def record_request(
        self, route: str, outcome: str, seconds: float, num_attempts: int
    ) -> None:
        """Record the end of a request that took `seconds` and `num_attempts` sends."""
        self.requests[route, outcome] += 1
        self.retries += max(0, num_attempts - 1)
        histogram = self.latencies.get(route)
        if histogram is None:
            histogram = self.latencies[route] = LatencyHistogram()
        histogram.add(seconds)
