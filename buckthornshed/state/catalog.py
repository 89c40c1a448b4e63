"""The operator's configuration and the registered targets, as plain data."""

from collections.abc import Mapping
from functools import lru_cache
from typing import NamedTuple

from .generation import Generation
from .workspaces import Workspace

__all__ = ["Catalog", "Limits", "Release", "Route", "RouteDestination", "Target"]


MAX_CACHED_ADDRESSES = 8_192


class RouteDestination(NamedTuple):
    """A service that receives a route's requests in proportion to its weight."""

    service: str
    weight: float


class Route(NamedTuple):
    """One route of a catalog.

    Parameters
    ----------
    name : str
        Name of the route.
    host : str
        Host that the route matches, in lower case.
    prefix : str
        Path prefix that the route matches.
    destinations : tuple of RouteDestination
        The services that receive its requests; more than one if traffic is split.
    idempotent : bool
        Whether a request may run more than once.
    timeout : float
        Maximum time until a request is answered, in seconds.
    objective : float
        Latency objective, in seconds.
    attempts : int
        Maximum number of targets that one request may be sent to.
    rank : int
        Priority; 0 is the highest.
    public : bool
        Whether its requests need no key even where workspaces are configured.
    """

    name: str
    host: str
    prefix: str
    destinations: tuple[RouteDestination, ...]
    idempotent: bool
    timeout: float
    objective: float
    attempts: int
    rank: int
    public: bool = False


class Limits(NamedTuple):
    """Limits on the size and duration of client requests, in bytes and seconds."""

    head_bytes: int = 16_384
    body_bytes: int = 1_048_576
    head_timeout: float = 3.0
    idle_timeout: float = 15.0


class Catalog(NamedTuple):
    """A complete configuration.

    Parameters
    ----------
    generation : Generation
        Number of the configuration; a higher one replaces a lower one.
    routes : mapping
        The routes of each host, longest prefix first.
    services : tuple of str
        Names of the services.
    limits : Limits
        Limits on client requests.
    workspaces : mapping
        Workspaces by name; requests need no key if there are none.
    keys : mapping
        Name of the workspace by the digest of each of its keys.
    """

    generation: Generation
    routes: Mapping[str, tuple[Route, ...]]
    services: tuple[str, ...]
    limits: Limits
    workspaces: Mapping[str, Workspace] = {}
    keys: Mapping[bytes, str] = {}

    def named_services(self) -> frozenset[str]:
        """Return the names of all services, also of those that only routes name."""
        destinations = {
            destination.service
            for routes in self.routes.values()
            for route in routes
            for destination in route.destinations
        }
        return frozenset(self.services) | destinations

    def match(self, host: str, path: str) -> Route | None:
        """Return the route with the longest matching prefix of `path`, or None."""
        for route in self.routes.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None


class Release(NamedTuple):
    """A version of a service's software."""

    service: str
    version: str


class Target(NamedTuple):
    """A registered target.

    Parameters
    ----------
    name : str
        Identifier of the target.
    started : int
        Start of this incarnation, in Unix milliseconds.
    sequence : int
        Sequence number of the registration, which restarts in each incarnation.
    service : str
        Service that the target belongs to.
    address : str
        Address as ``ip:port``; only the relay on the same instance connects to it.
    failure_domain : str
        Failure domain of the target.
    slots : int
        Number of requests that the target can run concurrently.
    draining : bool
        Whether the target accepts no new calls.
    warmup_left : float
        Time for which the target is still slow after its start, in seconds.
    version : str
        Version of the target's software.
    """

    name: str
    started: int
    sequence: int
    service: str
    address: str
    failure_domain: str
    slots: int
    draining: bool
    warmup_left: float
    version: str = ""

    @property
    def release(self) -> Release:
        """What the target runs."""
        return Release(self.service, self.version)

    def has_warmed_up_since(self, earlier: "Target") -> bool:
        """Return whether this registration is the first one after the warm-up."""
        return self.warmup_left <= 0.0 < earlier.warmup_left

    @property
    def instance(self) -> str:
        """IP address of the instance that the target runs on."""
        return _host(self.address)


@lru_cache(maxsize=MAX_CACHED_ADDRESSES)
def _host(address: str) -> str:
    return address.rpartition(":")[0]
