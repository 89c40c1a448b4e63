"""Traffic split of a route by weight, independent of the services' capacity."""

from ....state.catalog import Route

__all__ = ["WeightedRoundRobin"]


class WeightedRoundRobin:
    """Smooth weighted round-robin over the destinations of each route."""

    def __init__(self) -> None:
        self.credits: dict[str, list[float]] = {}
        self.destinations: dict[str, object] = {}

    def choose(self, route: Route) -> str:
        """Return the service for the next request of a route."""
        if len(route.destinations) == 1:
            return route.destinations[0].service
        if self.destinations.get(route.name) != route.destinations:
            self.destinations[route.name] = route.destinations
            self.credits[route.name] = [0.0] * len(route.destinations)
        credits = self.credits[route.name]
        total = 0.0
        best = 0
        for index, destination in enumerate(route.destinations):
            credits[index] += destination.weight
            total += destination.weight
            if credits[index] > credits[best]:
                best = index
        credits[best] -= total
        return route.destinations[best].service

    def retain(self, names: set[str]) -> None:
        """Drop the state of all routes that are not in `names`."""
        for name in [name for name in self.destinations if name not in names]:
            del self.destinations[name]
            del self.credits[name]
