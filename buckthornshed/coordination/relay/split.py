"""Shares of a split route: each service gets its weight, whatever its room."""

from ...state.catalog import Route

__all__ = ["SplitChooser"]


class SplitChooser:
    """Smooth weighted round robin for each route of one relay."""

    def __init__(self) -> None:
        self.credits: dict[str, list[float]] = {}
        self.parts: dict[str, object] = {}

    def choose(self, route: Route) -> str:
        """Return the service that the next request of a route goes to."""
        if len(route.parts) == 1:
            return route.parts[0].service
        if self.parts.get(route.name) != route.parts:
            self.parts[route.name] = route.parts
            self.credits[route.name] = [0.0] * len(route.parts)
        credits = self.credits[route.name]
        total = 0.0
        best = 0
        for place, part in enumerate(route.parts):
            credits[place] += part.weight
            total += part.weight
            if credits[place] > credits[best]:
                best = place
        credits[best] -= total
        return route.parts[best].service

    def keep(self, names: set[str]) -> None:
        """Forget the routes that are not among `names`."""
        for name in [name for name in self.parts if name not in names]:
            del self.parts[name]
            del self.credits[name]
