"""The objects of a configuration set and their fields.

A set maps a kind to named objects. Objects refer to one another by name. The
annotations carry the ranges that ``protocol.configuration`` checks.
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
"""An IPv4 number and a port, as in ``127.0.0.1:8080``."""


@with_config(STRICT)
class FailureDomain(TypedDict):
    """A part of the fleet that fails as one."""

    region: Name


@with_config(STRICT)
class Provider(TypedDict):
    """A supplier of targets for one service, such as the old or the new one."""

    description: NotRequired[Annotated[str, Field(max_length=200)]]


@with_config(STRICT)
class Service(TypedDict):
    """A service of the call graph.

    ``calls`` names the services that its targets call.
    ``admission`` names the policy of its nodes.
    """

    calls: NotRequired[list[Name]]
    admission: Name


@with_config(STRICT)
class Target(TypedDict):
    """One target instance, with the node beside it.

    ``address`` is where its node takes calls, ``control`` where its node takes
    messages of other nodes. ``slots`` is the number of calls it runs at once.
    ``retired`` states that an instance is gone for good and runs nothing.
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
    """A rank of importance; rank 0 is refused last."""

    rank: Annotated[int, Field(ge=0, le=15)]


@with_config(STRICT)
class Retry(TypedDict):
    """How many additional sends one client request may cause in its whole chain.

    ``after`` says what calls of a route may be sent again after: ``"failure"``, the
    default, any failure; ``"not_run"`` only a send that is known not to have run.
    With ``"not_run"``, a key may still be repeated at its owner to fetch an answer
    that was lost, as the owner runs it no second time.
    """

    allowance: Annotated[int, Field(ge=0, le=16)]
    backoff_ms: Annotated[int, Field(ge=1, le=10_000)]
    after: NotRequired[Literal["not_run", "failure"]]


@with_config(STRICT)
class Idempotency(TypedDict):
    """Whether work may be repeated and, where not, how its keys are kept.

    ``lifetime_s`` bounds the age of a key, ``clock_bound_ms`` the offset of any
    two clocks, ``entries`` the size of the table of keys of one node.
    """

    repeatable: bool
    lifetime_s: NotRequired[Annotated[int, Field(ge=1, le=86_400)]]
    clock_bound_ms: NotRequired[Annotated[int, Field(ge=1, le=60_000)]]
    entries: NotRequired[Annotated[int, Field(ge=1, le=1_000_000)]]


@with_config(STRICT)
class Admission(TypedDict):
    """When a node refuses work.

    ``queue_delay_ms`` is the queueing delay above which the threshold rises,
    ``queue`` the greatest number of waiting calls. A refusal asks the client to
    come back after ``retry_after_min_s`` to ``retry_after_max_s``.
    """

    queue_delay_ms: Annotated[int, Field(ge=1, le=10_000)]
    queue: Annotated[int, Field(ge=0, le=100_000)]
    retry_after_min_s: Annotated[int, Field(ge=1, le=3_600)]
    retry_after_max_s: Annotated[int, Field(ge=1, le=3_600)]


@with_config(STRICT)
class Route(TypedDict):
    """Calls of a service, by method and path, and the policies they come under.

    The longest matching ``path`` prefix wins. ``purpose`` says what the work is
    for, so that a set which ranks browsing above bookings is refused.
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
    """The move of a service between providers.

    ``shares`` gives each provider its percentage of requests and adds up to
    100. ``pins`` binds a caller's account to one provider.
    """

    service: Name
    shares: dict[Name, Annotated[int, Field(ge=0, le=100)]]
    pins: NotRequired[dict[Annotated[str, Field(max_length=100)], Name]]


@with_config(STRICT)
class ConfigurationSet(TypedDict):
    """A whole set: for each kind, the objects by name."""

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
    """Return a set with no objects."""
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
