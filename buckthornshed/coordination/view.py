"""What one node sees of the accepted configuration."""

from typing import NamedTuple

from ..state.objects import (
    Admission,
    ConfigurationSet,
    Idempotency,
    Retry,
    Route,
    Shift,
    Target,
)

__all__ = ["RouteMatch", "View"]


class RouteMatch(NamedTuple):
    """A route with the policies that it names.

    Parameters
    ----------
    name : str
        Name of the route object.
    route : Route
        The route.
    rank : int
        Rank of its priority; 0 is refused last.
    retry : Retry
        Its retry policy.
    idempotency : Idempotency
        Its idempotency policy.
    """

    name: str
    route: Route
    rank: int
    retry: Retry
    idempotency: Idempotency


class View:
    """Look-ups over one accepted set, made once when it comes into force.

    Parameters
    ----------
    name : str
        Name of the target beside the node.
    generation : int
        Generation of the set.
    objects : ConfigurationSet
        The set, checked as a whole.
    """

    def __init__(
        self, *, name: str, generation: int, objects: ConfigurationSet
    ) -> None:
        self.name = name
        self.generation = generation
        self.objects = objects
        self.own = objects["target"].get(name)
        self.targets = _by_service(objects)
        self.shifts = {shift["service"]: shift for shift in objects["shift"].values()}
        self._routes = _route_index(objects)

    def targets_of(self, service: str) -> dict[str, Target]:
        """Return the targets of a service by name; empty if there is none."""
        return self.targets.get(service, {})

    def shift_of(self, service: str) -> Shift | None:
        """Return the shift that is under way for a service, if any."""
        return self.shifts.get(service)

    def admission_of(self, service: str) -> Admission:
        """Return the admission policy of a service."""
        return self.objects["admission"][self.objects["service"][service]["admission"]]

    def match(self, service: str, method: bytes, path: bytes) -> RouteMatch | None:
        """Return the route with the longest path prefix that fits, if any."""
        for prefix, route in self._routes.get((service, method), ()):
            if path.startswith(prefix):
                return route
        return None


def _by_service(objects: ConfigurationSet) -> dict[str, dict[str, Target]]:
    services: dict[str, dict[str, Target]] = {}
    for name, target in objects["target"].items():
        services.setdefault(target["service"], {})[name] = target
    return services


def _route_index(
    objects: ConfigurationSet,
) -> dict[tuple[str, bytes], list[tuple[bytes, RouteMatch]]]:
    index: dict[tuple[str, bytes], list[tuple[bytes, RouteMatch]]] = {}
    for name, route in objects["route"].items():
        match = RouteMatch(
            name=name,
            route=route,
            rank=objects["priority"][route["priority"]]["rank"],
            retry=objects["retry"][route["retry"]],
            idempotency=objects["idempotency"][route["idempotency"]],
        )
        for method in route["methods"]:
            key = (route["service"], method.encode())
            index.setdefault(key, []).append((route["path"].encode(), match))
    for candidates in index.values():
        candidates.sort(key=lambda candidate: len(candidate[0]), reverse=True)
    return index
