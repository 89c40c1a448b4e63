"""Lookups that a node makes in the configuration in force."""

from typing import NamedTuple

from ...protocol.route_table import RouteTable
from ...state.objects import (
    Admission,
    ConfigurationSet,
    Idempotency,
    Retry,
    Route,
    Shift,
    Target,
)
from .ownership import OwnerSet, owner_id

__all__ = ["RoutePolicies", "View"]


class RoutePolicies(NamedTuple):
    """A route with the policies that it refers to.

    Parameters
    ----------
    name : str
        Name of the route object.
    route : Route
        The route.
    rank : int
        Rank of its priority; rank 0 is shed last.
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

    @property
    def repeatable(self) -> bool:
        """Whether the work may run more than once."""
        return self.idempotency["repeatable"]


class View:
    """Lookup tables over one configuration set, built when it comes into force.

    Parameters
    ----------
    name : str
        Name of the target that the node serves.
    generation : int
        Generation of the set.
    objects : ConfigurationSet
        The validated set.
    """

    def __init__(
        self, *, name: str, generation: int, objects: ConfigurationSet
    ) -> None:
        self.name = name
        self.generation = generation
        self.objects = objects
        self.own_target = objects["target"].get(name)
        self.targets = _by_service(objects)
        self.shifts = {shift["service"]: shift for shift in objects["shift"].values()}
        self.routes = RouteTable(objects=objects)
        self.policies = {
            name: _policies(objects, name, route)
            for name, route in objects["route"].items()
        }
        self.owners: dict[str, OwnerSet] = {}

    def targets_of(self, service: str) -> dict[str, Target]:
        """Return the targets of a service by name; empty for an unknown service."""
        return self.targets.get(service, {})

    def shift_of(self, service: str) -> Shift | None:
        """Return the traffic shift of a service, if any."""
        return self.shifts.get(service)

    def admission_of(self, service: str) -> Admission:
        """Return the admission policy of a service."""
        return self.objects["admission"][self.objects["service"][service]["admission"]]

    def region_of(self, domain: str) -> str | None:
        """Return the region of a failure domain, or None if it is not configured."""
        failure_domain = self.objects["failure_domain"].get(domain)
        return None if failure_domain is None else failure_domain["region"]

    def owners_of(self, service: str) -> OwnerSet:
        """Return the targets of a service that may own keys."""
        owners = self.owners.get(service)
        if owners is None:
            owners = OwnerSet(
                owners=(
                    owner_id(name, target["address"])
                    for name, target in self.targets_of(service).items()
                    if not target.get("retired", False)
                )
            )
            self.owners[service] = owners
        return owners

    def match(self, service: str, method: bytes, path: bytes) -> RoutePolicies | None:
        """Return the matching route with the longest path prefix, if any."""
        matched = self.routes.match(service, method, path)
        return None if matched is None else self.policies[matched.name]

    def non_repeatable_policies(self, service: str) -> list[Idempotency]:
        """Return the idempotency policies of a service's non-repeatable routes."""
        return [
            policies.idempotency
            for policies in self.policies.values()
            if policies.route["service"] == service and not policies.repeatable
        ]


def _by_service(objects: ConfigurationSet) -> dict[str, dict[str, Target]]:
    services: dict[str, dict[str, Target]] = {}
    for name, target in objects["target"].items():
        services.setdefault(target["service"], {})[name] = target
    return services


def _policies(objects: ConfigurationSet, name: str, route: Route) -> RoutePolicies:
    return RoutePolicies(
        name=name,
        route=route,
        rank=objects["priority"][route["priority"]]["rank"],
        retry=objects["retry"][route["retry"]],
        idempotency=objects["idempotency"][route["idempotency"]],
    )
