"""Which routes a run of a route calls, learned beside the targets.

A target's call carries the identifier of its parent in front of its own, so the relay
beside the target, which knows the requests that run there, knows each call's parent.
"""

from collections import Counter, defaultdict

__all__ = ["CallGraph"]

USUAL_CALLS = 0.3
"""Least calls of a route per run that count as usual."""
RUNS_LEAST = 4.0
"""Runs of a route before what was counted is used."""
RUNS_KEPT = 400.0
"""Runs at which the counts are halved."""


class CallGraph:
    """Calls below routes: learned here, and told by other relays."""

    def __init__(self) -> None:
        self.runs: defaultdict[str, float] = defaultdict(float)
        self.calls: defaultdict[str, dict[str, float]] = defaultdict(dict)
        self.open: dict[bytes, Counter[str]] = {}
        self.most: defaultdict[str, Counter[str]] = defaultdict(Counter)
        self.told: dict[str, dict[str, float]] = {}

    def called(self, run: bytes, route: str) -> None:
        """Note a call of a run, named by its request's identifier, to a route."""
        self.open.setdefault(run, Counter())[route] += 1

    def run_ended(self, run: bytes, route: str, *, whole: bool) -> None:
        """Count a run of a route with its calls, if it came to a good end.

        Calls are counted with their run, as those of runs that have just begun would
        be too many for the runs that have ended. A run that failed made fewer calls
        than usual; the most of them stand until runs come to a good end. Without them a
        relay that starts under overload would see no calls at all.
        """
        made = self.open.pop(run, None)
        if not whole:
            if made is not None:
                self.most[route] |= made
            return
        self.runs[route] += 1.0
        if made is not None:
            calls = self.calls[route]
            for called, count in made.items():
                calls[called] = calls.get(called, 0.0) + count
        if self.runs[route] >= RUNS_KEPT:
            self.runs[route] /= 2
            calls = self.calls[route]
            for called in calls:
                calls[called] /= 2

    def calls_of(self, route: str) -> dict[str, float]:
        """Return the calls of a usual run of a route, by the route called."""
        if self.runs.get(route, 0.0) >= RUNS_LEAST:
            return self._learned(route)
        return self.told.get(route) or self._least(route)

    def take(self, calls: dict[str, dict[str, float]]) -> None:
        """Take what another relay has learned."""
        self.told |= calls

    def learned(self) -> dict[str, dict[str, float]]:
        """Return what was learned here, for other relays."""
        found = {
            route: self._learned(route)
            if self.runs[route] >= RUNS_LEAST
            else self._least(route)
            for route in self.runs.keys() | self.most.keys()
        }
        return {route: calls for route, calls in found.items() if calls}

    def _least(self, route: str) -> dict[str, float]:
        return {called: float(count) for called, count in self.most[route].items()}

    def _learned(self, route: str) -> dict[str, float]:
        runs = self.runs[route]
        return {
            called: round(count / runs, 2)
            for called, count in self.calls.get(route, {}).items()
            if count >= USUAL_CALLS * runs
        }
