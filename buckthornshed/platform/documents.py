"""Decoders of the JSON documents in the platform's store."""

import ipaddress
import re
from collections import defaultdict
from typing import Annotated, NoReturn

import msgspec

from ..errors import PlatformError
from ..protocol.decoding import DECODE_ERRORS, parse_decimal
from ..state.catalog import Catalog, Limits, Route, RouteDestination, Target
from ..state.workspaces import Quota, Workspace, key_digest

__all__ = ["decode_catalog", "decode_target"]

MAX_INTEGER = 2**63 - 1
"""Greatest integer that can be sent to other relays."""
MAX_PORT = 65_535
MAX_SLOTS = 1_000_000
HEADER_VALUE = re.compile(r"[!-~]{1,200}")
"""Names of workspaces and of targets, which are sent in a header."""
VERSION = re.compile(r"r([0-9]{1,18})")

PositiveInteger = Annotated[int, msgspec.Meta(ge=1, le=MAX_INTEGER)]
NonNegativeInteger = Annotated[int, msgspec.Meta(ge=0, le=MAX_INTEGER)]
Weight = Annotated[float, msgspec.Meta(ge=0.0)]
Seconds = Annotated[float, msgspec.Meta(gt=0.0)]
Rate = Annotated[float, msgspec.Meta(ge=0.0)]

# Fields keep the platform's names. A field with `name=` has another name in JSON.


class WeightedService(msgspec.Struct):
    """A service that receives part of a route's traffic."""

    service: str
    weight: Weight


class Action(msgspec.Struct):
    """Destination of a rule's requests; `service` is absent if traffic is split."""

    timeout: Seconds = msgspec.field(name="timeoutS")
    attempts: PositiveInteger = 1  # Targets that one request is sent to, at most.
    service: str | None = None
    split: list[WeightedService] | None = msgspec.field(
        name="trafficSplit", default=None
    )


class Match(msgspec.Struct):
    """Condition of a rule within its host."""

    prefix: str  # Path prefix.


class Rule(msgspec.Struct):
    """One route."""

    name: str
    kind: str  # Requests may run more than once only if this is "idempotent".
    match: Match
    action: Action
    objective: Seconds = msgspec.field(name="sloS", default=1.0)  # Latency.
    priority: NonNegativeInteger = 0  # 0 is the highest.
    public: bool = False  # Whether requests need no key.


class HostRules(msgspec.Struct):
    """Rules of one host; the platform calls it a listener, though it has no socket."""

    host: str
    rules: list[Rule]


class Cluster(msgspec.Struct):
    """A service; the platform calls it a cluster."""

    name: str


class Tenant(msgspec.Struct):
    """A workspace; the platform calls it a tenant."""

    name: str
    keys: list[str] = msgspec.field(name="apiKeys", default_factory=list)
    priority: NonNegativeInteger | None = None  # Precedes that of the route.
    rate: Rate = msgspec.field(name="ratePerS", default=0.0)  # 0 for no limit.
    burst: Rate = 0.0


class ClientLimits(msgspec.Struct):
    """Limits on client requests and connections, in bytes and seconds."""

    head_bytes: int = msgspec.field(name="maxHeaderBytes", default=16_384)
    body_bytes: int = msgspec.field(name="maxBodyBytes", default=1_048_576)
    head_timeout: float = msgspec.field(name="headerTimeoutS", default=3.0)
    idle_timeout: float = msgspec.field(name="idleTimeoutS", default=15.0)


class Document(msgspec.Struct):
    """The operator's configuration."""

    version: str  # "r" and the generation.
    listeners: list[HostRules]
    clusters: list[Cluster]
    limits: ClientLimits = msgspec.field(default_factory=ClientLimits)
    tenants: list[Tenant] = msgspec.field(default_factory=list)


class Registration(msgspec.Struct):
    """Registration of a target."""

    service: str
    addr: str  # Address of the target, reachable only from its own instance.
    zone: str  # Failure domain.
    slots: Annotated[int, msgspec.Meta(ge=1, le=MAX_SLOTS)]  # Concurrent calls.
    state: str  # A key of DRAINING_BY_STATE.
    born: PositiveInteger  # Start of the target in Unix milliseconds.
    seq: NonNegativeInteger  # Sequence number of the registration, within one start.
    version: str = ""  # Version of the target's software.
    warmup_left: float = msgspec.field(name="coldLeftS", default=0.0)  # In seconds.


IDEMPOTENT = "idempotent"
DRAINING_BY_STATE = {"ready": False, "draining": True}

DOCUMENT_DECODER = msgspec.json.Decoder(Document)
REGISTRATION_DECODER = msgspec.json.Decoder(Registration)


def decode_catalog(value: bytes) -> Catalog:
    """Decode the operator's configuration.

    Raises
    ------
    PlatformError
        If the configuration is invalid.
    """
    try:
        document = DOCUMENT_DECODER.decode(value)
    except DECODE_ERRORS as error:
        _reject("configuration", str(error), "a configuration document")
    routes: dict[str, list[Route]] = defaultdict(list)
    for entry in document.listeners:
        host = entry.host.lower()
        routes[host] += [_route(host, rule) for rule in entry.rules]
    return Catalog(
        generation=_generation(document.version),
        routes={
            host: tuple(sorted(host_routes, key=lambda route: -len(route.prefix)))
            for host, host_routes in routes.items()
        },
        services=tuple(cluster.name for cluster in document.clusters),
        limits=Limits(
            head_bytes=document.limits.head_bytes,
            body_bytes=document.limits.body_bytes,
            head_timeout=document.limits.head_timeout,
            idle_timeout=document.limits.idle_timeout,
        ),
        workspaces=_workspaces(document.tenants),
        keys=_keys(document.tenants),
    )


def decode_target(name: str, value: bytes) -> Target:
    """Decode the registration of the target called `name`.

    Raises
    ------
    PlatformError
        If the registration is invalid.
    """
    if not HEADER_VALUE.fullmatch(name):
        _reject("registration", f"name {name!r}", "a printable ASCII name")
    try:
        registration = REGISTRATION_DECODER.decode(value)
    except DECODE_ERRORS as error:
        _reject(f"registration {name}", str(error), "a registration")
    draining = DRAINING_BY_STATE.get(registration.state)
    if draining is None:
        _reject(
            f"registration {name}", f"state {registration.state!r}", "ready or draining"
        )
    if not _is_address(registration.addr):
        _reject(f"registration {name}", f"address {registration.addr!r}", "ip:port")
    return Target(
        name=name,
        started=registration.born,
        sequence=registration.seq,
        service=registration.service,
        address=registration.addr,
        failure_domain=registration.zone,
        slots=registration.slots,
        draining=draining,
        warmup_left=registration.warmup_left,
        version=registration.version,
    )


def _is_address(text: str) -> bool:
    host, _, port = text.rpartition(":")
    try:
        ipaddress.ip_address(host)
    except ValueError:
        return False
    return 0 < (parse_decimal(port) or 0) <= MAX_PORT


def _route(host: str, rule: Rule) -> Route:
    action = rule.action
    if action.split and sum(part.weight for part in action.split) > 0.0:
        destinations = tuple(
            RouteDestination(part.service, part.weight) for part in action.split
        )
    elif action.service:
        destinations = (RouteDestination(action.service, 1.0),)
    else:
        _reject(f"route {rule.name}", "no destination", "a service or a split")
    return Route(
        name=rule.name,
        host=host,
        prefix=rule.match.prefix,
        destinations=destinations,
        idempotent=rule.kind == IDEMPOTENT,
        timeout=action.timeout,
        objective=rule.objective,
        attempts=action.attempts,
        rank=rule.priority,
        public=rule.public,
    )


def _workspaces(tenants: list[Tenant]) -> dict[str, Workspace]:
    workspaces: dict[str, Workspace] = {}
    for tenant in tenants:
        if not HEADER_VALUE.fullmatch(tenant.name):
            _reject("workspace", f"name {tenant.name!r}", "a printable ASCII name")
        if tenant.name in workspaces:
            _reject(f"workspace {tenant.name}", "a second entry", "one entry")
        quota = Quota(tenant.rate, tenant.burst) if tenant.rate > 0.0 else None
        workspaces[tenant.name] = Workspace(tenant.name, tenant.priority, quota)
    return workspaces


def _keys(tenants: list[Tenant]) -> dict[bytes, str]:
    """Return the workspaces by digests of keys; errors do not contain a key."""
    keys: dict[bytes, str] = {}
    for tenant in tenants:
        for key in tenant.keys:
            if not key:
                _reject(f"workspace {tenant.name}", "an empty key", "a key")
            holder = keys.setdefault(key_digest(key.encode()), tenant.name)
            if holder != tenant.name:
                _reject(
                    f"workspace {tenant.name}", f"a key of {holder}", "its own keys"
                )
    return keys


def _generation(version: str) -> int:
    match = VERSION.fullmatch(version)
    if match is None:
        _reject("configuration version", repr(version), "r and a number")
    return int(match[1])


def _reject(subject: str, found: str, expected: str) -> NoReturn:
    raise PlatformError(subject=subject, found=found, expected=expected)
