"""Which routes a run of a route calls, learned beside the targets.

A target's calls name no parent, so a call is ascribed to the runs under way at that
moment, by how often calls of that route have come from each route's runs before. The
parts of routes that never call fall away, as their runs are also under way when no
call comes.
"""

from collections import defaultdict

__all__ = ["CallGraph"]

USUAL_CALLS = 0.3
"""Least calls of a route per run that count as usual."""
RUNS_LEAST = 20.0
"""Runs of a route before anything is concluded."""
RUNS_KEPT = 400.0
"""Runs at which the counts are halved."""
PRIOR = 0.05
"""Calls a run that are assumed of a pair never seen."""


class CallGraph:
    """Calls below routes: learned here, and told by other relays.

    Attributes
    ----------
    version : int
        Grows with each change of what is concluded.
    """

    def __init__(self) -> None:
        self.running: defaultdict[str, int] = defaultdict(int)
        self.runs: defaultdict[str, float] = defaultdict(float)
        self.ascribed: defaultdict[str, defaultdict[str, float]] = defaultdict(
            lambda: defaultdict(float)
        )
        self.learned: dict[str, frozenset[str]] = {}
        self.told: dict[str, frozenset[str]] = {}
        self.version = 0

    def run_started(self, route: str) -> None:
        """Count a run of a route at the own target."""
        self.running[route] += 1

    def run_ended(self, route: str) -> None:
        """Take the end of a run."""
        self.running[route] -= 1
        self.runs[route] += 1.0
        if self.runs[route] >= RUNS_KEPT:
            self.runs[route] /= 2
            for called in self.ascribed[route]:
                self.ascribed[route][called] /= 2
        if self.runs[route] >= RUNS_LEAST:
            self._conclude(route)

    def called(self, route: str) -> None:
        """Take a call of the own target to a route."""
        weights = {
            runner: count * self._rate(runner, route)
            for runner, count in self.running.items()
            if count > 0
        }
        total = sum(weights.values())
        for runner, weight in weights.items():
            self.ascribed[runner][route] += weight / total

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

    def _rate(self, runner: str, route: str) -> float:
        runs = self.runs[runner]
        calls = self.ascribed[runner].get(route, 0.0) if runner in self.ascribed else 0
        return (calls + PRIOR) / (runs + 1.0)

    def _conclude(self, route: str) -> None:
        least = USUAL_CALLS * self.runs[route]
        calls = self.ascribed.get(route, {})
        found = frozenset(name for name, count in calls.items() if count >= least)
        if found != self.learned.get(route):
            self.learned[route] = found
            self.version += 1
