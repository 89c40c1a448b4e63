"""Behaviour of emulated targets, read from TOML files."""

from pathlib import Path
from typing import Annotated, NamedTuple

from pydantic import Field

from ..errors import SettingsError
from ..toml_file import read_toml

__all__ = [
    "Deployment",
    "DownstreamCall",
    "RouteBehaviour",
    "ServiceBehaviour",
    "find_route",
    "parse_calls",
    "read_deployment",
]

Count = Annotated[int, Field(ge=0)]
NonNegative = Annotated[float, Field(ge=0.0)]


class DownstreamCall(NamedTuple):
    """A call that a target makes while it serves a request.

    Parameters
    ----------
    service, method, path : str
        Service, HTTP method and path that are called.
    required : bool
        Whether a failure of the call fails the request.
    """

    service: str
    method: str
    path: str
    required: bool = True


class RouteBehaviour(NamedTuple):
    """Behaviour of a target for a method and a path prefix.

    Parameters
    ----------
    method, path : str
        HTTP method and path prefix; the longest matching prefix is used.
    service_ms : float
        Median service time, milliseconds.
    sigma : float
        Shape parameter of the lognormal distribution of service times; 0 makes them
        constant.
    calls : tuple of DownstreamCall
        Downstream calls, made after the first half of the service time.
    parallel : bool
        Whether the downstream calls are made concurrently.
    filler : int
        Number of padding bytes in the answer.
    """

    method: str
    path: str
    service_ms: NonNegative = 5.0
    sigma: NonNegative = 0.0
    calls: tuple[DownstreamCall, ...] = ()
    parallel: bool = False
    filler: Count = 0


class ServiceBehaviour(NamedTuple):
    """Behaviour of each instance of a service.

    Parameters
    ----------
    slots, connections, queue : int
        Maximum number of concurrent calls, of open connections, and of calls that
        wait for a slot.
    connection_ms, probe_ms : float
        Time to set up a connection and to serve a health probe, milliseconds.
    cold_s, cold_factor : float
        Slow start: for ``cold_s`` seconds after the start, service times are
        multiplied by a factor that falls linearly from ``cold_factor`` to 1.
    retries : int
        Maximum number of retries of a downstream call. The first follows after
        ``backoff_ms``, which doubles with each retry; 0 retries immediately.
    call_timeout_ms : float
        Timeout of a downstream call, milliseconds.
    cancellation, deadlines, pass_context : bool
        Whether the target cancels requests whose client disconnects, observes
        deadlines, and passes the context headers to downstream calls.
    """

    slots: Annotated[int, Field(ge=1)] = 50
    connections: Annotated[int, Field(ge=1)] = 400
    queue: Count = 10_000
    connection_ms: NonNegative = 1.0
    probe_ms: NonNegative = 0.0
    cold_s: NonNegative = 0.0
    cold_factor: Annotated[float, Field(ge=1.0)] = 1.0
    retries: Count = 0
    backoff_ms: NonNegative = 0.0
    call_timeout_ms: NonNegative = 1000.0
    cancellation: bool = True
    deadlines: bool = True
    pass_context: bool = True
    route: tuple[RouteBehaviour, ...] = ()


class Deployment(NamedTuple):
    """The behaviour of all services by name."""

    service: dict[str, ServiceBehaviour]


def read_deployment(path: Path) -> Deployment:
    """Read the behaviour of all services.

    Raises
    ------
    SettingsError
        If the file cannot be read or a field is unknown or out of range.
    """
    return read_toml(path, Deployment, expected="behaviour of services")


def find_route(
    behaviour: ServiceBehaviour, method: str, path: str
) -> RouteBehaviour | None:
    """Return the route with the longest matching prefix, None without a match."""
    matching = [
        route
        for route in behaviour.route
        if route.method == method and path.startswith(route.path)
    ]
    return max(matching, key=lambda route: len(route.path), default=None)


def parse_calls(text: str) -> tuple[DownstreamCall, ...]:
    """Parse a list of calls of the form ``service:METHOD:/path,...``.

    Raises
    ------
    SettingsError
        If an item is not of that form.
    """
    calls = []
    for item in filter(None, text.split(",")):
        parts = item.strip().split(":", 2)
        if len(parts) != 3:
            raise SettingsError(
                subject="calls", found=repr(item), expected="service:METHOD:/path"
            )
        service, method, path = parts
        calls.append(DownstreamCall(service, method, path))
    return tuple(calls)
