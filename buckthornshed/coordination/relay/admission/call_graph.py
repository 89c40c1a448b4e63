"""Downstream calls of each route, learned by the relays beside the targets.

The identifier of a target's call starts with the identifier of the parent request. The
relay beside the target knows the requests that run there, and so each call's parent.
A run is one execution of a request by a target.
"""

from collections import Counter, defaultdict

__all__ = ["CallGraph"]

MIN_CALLS_PER_RUN = 0.3
"""Mean calls per run below which a called route is left out."""
MIN_RUNS = 4.0
"""Runs of a route that are counted before the mean is used."""
RUNS_BEFORE_DECAY = 400.0
"""Runs at which the counts are halved, so that old runs lose weight."""


class CallGraph:
    """Downstream calls of routes, learned locally or reported by other relays."""

    def __init__(self) -> None:
        self.runs: defaultdict[str, float] = defaultdict(float)
        self.calls: defaultdict[str, dict[str, float]] = defaultdict(dict)
        self.active_runs: dict[bytes, Counter[str]] = {}
        self.failed_run_maxima: defaultdict[str, Counter[str]] = defaultdict(Counter)
        self.reported: dict[str, dict[str, float]] = {}

    def record_call(self, run: bytes, route: str) -> None:
        """Record a call to a route by a run, which its request identifier names."""
        self.active_runs.setdefault(run, Counter())[route] += 1

    def calls_left(self, run: bytes, run_route: str, route: str) -> float:
        """Return the calls to a route that a run still makes, with the latest one."""
        made = self.active_runs.get(run, Counter())[route]
        expected = self.calls_per_run(run_route).get(route, 1.0)
        return max(1.0, expected - made + 1.0)

    def record_run_end(self, run: bytes, route: str, *, succeeded: bool) -> None:
        """Count a run of a route and its calls, if it succeeded.

        Calls are counted when their run ends. Counting them earlier would include
        calls of active runs and overestimate the calls per finished run. A failed run
        has made fewer calls than a complete one, so failed runs only provide the
        maximum number of calls, which is used until enough runs succeed. Without it, a
        relay that starts under overload would not see any calls.
        """
        calls_made = self.active_runs.pop(run, None)
        if not succeeded:
            if calls_made is not None:
                self.failed_run_maxima[route] |= calls_made
            return
        self.runs[route] += 1.0
        if calls_made is not None:
            calls = self.calls[route]
            for called, count in calls_made.items():
                calls[called] = calls.get(called, 0.0) + count
        if self.runs[route] >= RUNS_BEFORE_DECAY:
            self.runs[route] /= 2
            calls = self.calls[route]
            for called in calls:
                calls[called] /= 2

    def calling_routes(self) -> set[str]:
        """Return the names of the routes whose runs are known to make calls."""
        known = self.reported.keys() | self.runs.keys() | self.failed_run_maxima.keys()
        return {route for route in known if self.calls_per_run(route)}

    def calls_per_run(self, route: str) -> dict[str, float]:
        """Return the mean calls of a run of a route, by called route."""
        if self.runs.get(route, 0.0) >= MIN_RUNS:
            return self._mean_calls(route)
        return self.reported.get(route) or self._failed_run_calls(route)

    def merge(self, calls: dict[str, dict[str, float]]) -> None:
        """Add the calls that another relay has learned."""
        self.reported |= calls

    def learned_calls(self) -> dict[str, dict[str, float]]:
        """Return the calls that were learned locally, for other relays."""
        calls_by_route = {
            route: self._mean_calls(route)
            if self.runs[route] >= MIN_RUNS
            else self._failed_run_calls(route)
            for route in self.runs.keys() | self.failed_run_maxima.keys()
        }
        return {route: calls for route, calls in calls_by_route.items() if calls}

    def _failed_run_calls(self, route: str) -> dict[str, float]:
        return {
            called: float(count)
            for called, count in self.failed_run_maxima.get(route, {}).items()
        }

    def _mean_calls(self, route: str) -> dict[str, float]:
        runs = self.runs[route]
        return {
            called: round(count / runs, 2)
            for called, count in self.calls.get(route, {}).items()
            if count >= MIN_CALLS_PER_RUN * runs
        }
