"""Objects of a configuration set and their fields.

A set maps each kind to named objects, which refer to one another by name. The
annotations define the ranges that ``protocol.configuration`` validates.
"""

from typing import Annotated, Literal, NotRequired

from pydantic import ConfigDict, Field, with_config
from typing_extensions import TypedDict

__all__ = [
    "Address",
    "Admission",
    "ConfigurationSet",
    "FailureDomain",
    "Idempotency",
    "Name",
    "Priority",
    "Provider",
    "Retry",
    "Route",
    "Service",
    "Shift",
    "Target",
    "empty_set",
]

STRICT = ConfigDict(extra="forbid", strict=True)

Name = Annotated[str, Field(pattern=r"^[a-z0-9]([a-z0-9-]{0,62}[a-z0-9])?$")]
"""Name of an object: lower-case letters, digits and hyphens, at most 64."""

Address = Annotated[str, Field(pattern=r"^\d{1,3}\.\d{1,3}\.\d{1,3}\.\d{1,3}:\d{1,5}$")]
"""An IPv4 address and a port, as in ``127.0.0.1:8080``."""


@with_config(STRICT)
class FailureDomain(TypedDict):
    """A part of the fleet that can fail as a whole, such as a zone."""

    region: Name


@with_config(STRICT)
class Provider(TypedDict):
    """A supplier of targets for a service; traffic can be shifted between suppliers."""

    description: NotRequired[Annotated[str, Field(max_length=200)]]


@with_config(STRICT)
class Service(TypedDict):
    """A service of the call graph.

    ``calls`` names the services that its targets call, ``admission`` the admission
    policy of its nodes.
    """

    calls: NotRequired[list[Name]]
    admission: Name


@with_config(STRICT)
class Target(TypedDict):
    """One target instance and the node beside it.

    The node accepts calls at ``address`` and messages of other nodes at ``control``.
    ``slots`` is the number of calls that the target can run concurrently. ``retired``
    declares that the instance is permanently gone and runs no calls.
    """

    service: Name
    provider: Name
    failure_domain: Name
    address: Address
    control: Address
    slots: Annotated[int, Field(ge=1, le=100_000)]
    connections: Annotated[int, Field(ge=1, le=1_000_000)]
    retired: NotRequired[bool]


@with_config(STRICT)
class Priority(TypedDict):
    """A priority; calls of rank 0 are shed last."""

    rank: Annotated[int, Field(ge=0, le=15)]


@with_config(STRICT)
class Retry(TypedDict):
    """Number of retries that one client request may cause in its whole call chain.

    ``after`` states which outcomes allow a retry of a route's calls: ``"failure"``, the
    default, any failure; ``"not_run"`` only an attempt that is known not to have run.
    With ``"not_run"``, a call with an idempotency key may still be repeated at the
    owner of the key to fetch a lost answer, as the owner does not run it again.
    """

    allowance: Annotated[int, Field(ge=0, le=16)]
    backoff_ms: Annotated[int, Field(ge=1, le=10_000)]
    after: NotRequired[Literal["not_run", "failure"]]


@with_config(STRICT)
class Idempotency(TypedDict):
    """Whether calls may run more than once and, if not, how their keys are stored.

    ``lifetime_s`` limits the age of an idempotency key, ``clock_bound_ms`` the offset
    between any two clocks, and ``entries`` the size of one node's table of keys.
    """

    repeatable: bool
    lifetime_s: NotRequired[Annotated[int, Field(ge=1, le=86_400)]]
    clock_bound_ms: NotRequired[Annotated[int, Field(ge=1, le=60_000)]]
    entries: NotRequired[Annotated[int, Field(ge=1, le=1_000_000)]]


@with_config(STRICT)
class Admission(TypedDict):
    """Admission policy of a node.

    ``queue_delay_ms`` is the queueing delay above which the admission threshold rises,
    ``queue`` the maximum number of queued calls. A refusal carries a Retry-After time
    between ``retry_after_min_s`` and ``retry_after_max_s``.
    """

    queue_delay_ms: Annotated[int, Field(ge=1, le=10_000)]
    queue: Annotated[int, Field(ge=0, le=100_000)]
    retry_after_min_s: Annotated[int, Field(ge=1, le=3_600)]
    retry_after_max_s: Annotated[int, Field(ge=1, le=3_600)]


@with_config(STRICT)
class Route(TypedDict):
    """Calls of a service, by method and path, and the policies that apply to them.

    The longest matching ``path`` prefix wins. ``purpose`` states what the calls are
    for, so that a set which ranks browsing above bookings is rejected.
    """

    service: Name
    methods: Annotated[
        list[Literal["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"]],
        Field(min_length=1),
    ]
    path: Annotated[str, Field(pattern=r"^/[!-~]*$", max_length=200)]
    purpose: Literal["browsing", "price_check", "roster", "booking", "deposit", "other"]
    priority: Name
    retry: Name
    idempotency: Name
    deadline_ms: Annotated[int, Field(ge=1, le=600_000)]


@with_config(STRICT)
class Shift(TypedDict):
    """A traffic shift of a service between providers.

    ``shares`` gives the percentage of requests of each provider and adds up to 100.
    ``pins`` binds a caller's account to one provider.
    """

    service: Name
    shares: dict[Name, Annotated[int, Field(ge=0, le=100)]]
    pins: NotRequired[dict[Annotated[str, Field(max_length=100)], Name]]


@with_config(STRICT)
class ConfigurationSet(TypedDict):
    """A complete set: the objects of each kind by name."""

    failure_domain: dict[Name, FailureDomain]
    provider: dict[Name, Provider]
    service: dict[Name, Service]
    target: dict[Name, Target]
    priority: dict[Name, Priority]
    retry: dict[Name, Retry]
    idempotency: dict[Name, Idempotency]
    admission: dict[Name, Admission]
    route: dict[Name, Route]
    shift: dict[Name, Shift]


def empty_set() -> ConfigurationSet:
    """Return a set without objects."""
    return ConfigurationSet(
        failure_domain={},
        provider={},
        service={},
        target={},
        priority={},
        retry={},
        idempotency={},
        admission={},
        route={},
        shift={},
    )
