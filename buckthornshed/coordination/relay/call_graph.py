"""Which routes a run of a route calls, learned beside the targets.

A target's call carries the identifier of its parent in front of its own, so the relay
beside the target, which knows the requests that run there, knows each call's parent.
"""

from collections import defaultdict

__all__ = ["CallGraph"]

USUAL_CALLS = 0.3
"""Least calls of a route per run that count as usual."""
RUNS_LEAST = 10.0
"""Runs of a route before anything is concluded."""
RUNS_KEPT = 400.0
"""Runs at which the counts are halved."""


class CallGraph:
    """Calls below routes: learned here, and told by other relays.

    Attributes
    ----------
    version : int
        Grows with each change of what is concluded.
    """

    def __init__(self) -> None:
        self.runs: defaultdict[str, float] = defaultdict(float)
        self.calls: defaultdict[str, dict[str, float]] = defaultdict(dict)
        self.learned: dict[str, frozenset[str]] = {}
        self.told: dict[str, frozenset[str]] = {}
        self.version = 0

    def called(self, parent_route: str, route: str) -> None:
        """Count a call of a run of `parent_route` to `route`."""
        calls = self.calls[parent_route]
        calls[route] = calls.get(route, 0.0) + 1.0

    def run_ended(self, route: str) -> None:
        """Count a run of a route that came to its end."""
        self.runs[route] += 1.0
        if self.runs[route] >= RUNS_KEPT:
            self.runs[route] /= 2
            calls = self.calls[route]
            for called in calls:
                calls[called] /= 2
        if self.runs[route] >= RUNS_LEAST:
            self._conclude(route)

    def called_by(self, route: str) -> frozenset[str]:
        """Return the routes that a usual run of a route calls."""
        return self.learned.get(route, frozenset()) | self.told.get(route, frozenset())

    def take(self, calls: dict[str, list[str]]) -> None:
        """Take what another relay has concluded."""
        for route, called in calls.items():
            found = frozenset(called)
            if self.told.get(route) != found:
                self.told[route] = found
                self.version += 1

    def conclusions(self) -> dict[str, list[str]]:
        """Return what was concluded here, for other relays."""
        return {route: sorted(called) for route, called in self.learned.items()}

    def _conclude(self, route: str) -> None:
        least = USUAL_CALLS * self.runs[route]
        calls = self.calls.get(route, {})
        found = frozenset(name for name, count in calls.items() if count >= least)
        if found != self.learned.get(route):
            self.learned[route] = found
            self.version += 1
