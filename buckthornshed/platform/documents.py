"""Decoders of the JSON documents in the platform's store."""

import ipaddress
import math
import re
import sys
from collections import defaultdict
from collections.abc import Callable
from typing import Annotated, Any, NoReturn

import msgspec

from ..errors import PlatformError
from ..protocol.decoding import DECODE_ERRORS, parse_decimal
from ..protocol.foreign_objects import (
    ObjectReader,
    UnusableEntry,
    describe,
    read_json,
    usable_numbers,
)
from ..protocol.header_values import host_name, is_header_value
from ..state.catalog import Catalog, Limits, Route, RouteDestination, Target
from ..state.generation import Generation
from ..state.integers import MAX_INT63, abbreviated
from ..state.workspace_claims import Claim, ResolvedClaims, resolve_claims
from ..state.workspaces import UNUSABLE_WORKSPACE, Quota, Workspace

__all__ = ["decode_catalog", "decode_target"]

MAX_PORT = 65_535
MAX_SLOTS = 1_000_000
"""Slots that all greater numbers count as."""
MAX_PRIORITY = 2**31 - 1
"""Priority that all greater ones count as; ranks that combine two fit into 64 bits."""
MAX_SECONDS = 1e9
"""Time that all greater ones count as."""
MIN_RATE, MAX_RATE = 1e-6, 1e12
"""Requests per second that smaller and greater rates count as."""
MAX_NAME_CHARACTERS = 200
"""Length of a key of the store, of which the name of a target is a part."""
VERSION = re.compile(r"r([0-9]+)")
"""A number without a bound."""

Count = Annotated[int, msgspec.Meta(ge=1)]
Count64 = Annotated[int, msgspec.Meta(ge=1, le=MAX_INT63)]
Ordinal = Annotated[int, msgspec.Meta(ge=0)]
Weight = Annotated[float, msgspec.Meta(ge=0.0, lt=sys.float_info.max)]
Seconds = Annotated[float, msgspec.Meta(gt=0.0)]
Rate = Annotated[float, msgspec.Meta(ge=0.0)]

# Fields keep the platform's names. A field with `name=` has another name in JSON.
# A field that cannot be read takes its default, so a default must allow no more than
# the field may: a route's requests then run once, with a key, on one target. Parts of
# the type `Any` are objects that are read one by one.


class WeightedService(msgspec.Struct):
    """A service that receives part of a route's traffic."""

    service: str
    weight: Weight


class Action(msgspec.Struct):
    """Destination of a rule's requests; `service` is absent if traffic is split."""

    timeout: Seconds = msgspec.field(name="timeoutS")
    attempts: Count = 1  # Targets that one request is sent to, at most.
    service: str | None = None
    split: list[WeightedService] | None = msgspec.field(
        name="trafficSplit", default=None
    )


class Match(msgspec.Struct):
    """Condition of a rule within its host."""

    prefix: str  # Path prefix.


class Rule(msgspec.Struct):
    """One route."""

    match: Any = None
    action: Any = None
    name: str = ""
    kind: str = ""  # Requests may run more than once only if this is "idempotent".
    objective: Seconds = msgspec.field(name="sloS", default=1.0)  # Latency.
    priority: Ordinal = 0  # 0 is the highest.
    public: bool = False  # Whether requests need no key.


class HostRules(msgspec.Struct):
    """Rules of one host; the platform calls it a listener, though it has no socket."""

    host: str
    rules: Any = None


class Cluster(msgspec.Struct):
    """A service; the platform calls it a cluster."""

    name: str


class Tenant(msgspec.Struct):
    """A workspace; the platform calls it a tenant."""

    name: str
    keys: Any = msgspec.field(name="apiKeys", default=None)
    priority: Ordinal | None = None  # Precedes that of the route.
    rate: Any = msgspec.field(name="ratePerS", default=0.0)  # 0 for no limit.
    burst: Rate = 0.0


class ClientLimits(msgspec.Struct):
    """Limits on client requests and connections, in bytes and seconds."""

    head_bytes: Count = msgspec.field(name="maxHeaderBytes", default=16_384)
    body_bytes: Ordinal = msgspec.field(name="maxBodyBytes", default=1_048_576)
    head_timeout: Seconds = msgspec.field(name="headerTimeoutS", default=3.0)
    idle_timeout: Seconds = msgspec.field(name="idleTimeoutS", default=15.0)


class Document(msgspec.Struct):
    """The operator's configuration."""

    version: str  # "r" and the generation.
    listeners: list[Any]
    clusters: Any = None
    limits: Any = None
    tenants: Any = None


class Registration(msgspec.Struct):
    """Registration of a target."""

    service: str
    addr: str  # Address of the target, reachable only from its own instance.
    zone: str  # Failure domain.
    slots: Count64  # Concurrent calls.
    state: str  # A key of DRAINING_BY_STATE.
    born: Count64  # Start of the target in Unix milliseconds.
    seq: Ordinal  # Sequence number of the registration, within one start.
    version: str = ""  # Version of the target's software.
    warmup_left: float = msgspec.field(name="coldLeftS", default=0.0)  # In seconds.


IDEMPOTENT = "idempotent"
DRAINING_BY_STATE = {"ready": False, "draining": True}

REGISTRATION_DECODER = msgspec.json.Decoder(Registration)


def decode_catalog(
    value: bytes, report: Callable[[UnusableEntry], None] = lambda entry: None
) -> Catalog:
    """Decode the operator's configuration.

    An entry that cannot be used costs nothing beside itself and is passed to `report`.
    The requests of its route or of its keys are refused.

    Raises
    ------
    PlatformError
        If the configuration has no readable version, or no list of routes.
    """
    try:
        document = msgspec.convert(read_json(value), Document)
    except (*DECODE_ERRORS, ValueError) as error:
        _reject("configuration", str(error), "a configuration document")
    reader = ObjectReader(report=report)
    claims = _read_claims(reader, document.tenants)
    return Catalog(
        generation=_generation(document.version),
        routes=_read_routes(reader, document.listeners),
        services=_read_services(reader, document.clusters),
        limits=_read_limits(reader, document.limits),
        workspaces=claims.workspaces,
        keys=claims.keys,
    )


def decode_target(name: str, value: bytes) -> Target:
    """Decode the registration of the target called `name`.

    Raises
    ------
    PlatformError
        If the registration is invalid.
    """
    if len(name) > MAX_NAME_CHARACTERS or not is_header_value(name):
        _reject("registration", f"name {describe(name)}", "the value of a header")
    try:
        registration = _read_registration(value)
    except (*DECODE_ERRORS, ValueError) as error:
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
        sequence=abbreviated(registration.seq),
        service=registration.service,
        address=registration.addr,
        failure_domain=registration.zone,
        slots=min(registration.slots, MAX_SLOTS),
        draining=draining,
        warmup_left=min(registration.warmup_left, MAX_SECONDS),
        version=registration.version,
    )


def _read_registration(value: bytes) -> Registration:
    """Return a registration, also if its numbers are written in an unusual form."""
    try:
        return REGISTRATION_DECODER.decode(value)
    except DECODE_ERRORS:
        return msgspec.convert(usable_numbers(read_json(value)), Registration)


def _is_address(text: str) -> bool:
    host, _, port = text.rpartition(":")
    try:
        ipaddress.ip_address(host)
    except ValueError:
        return False
    return 0 < (parse_decimal(port) or 0) <= MAX_PORT


def _read_routes(
    reader: ObjectReader, listeners: list[Any]
) -> dict[str, tuple[Route, ...]]:
    """Return the routes of each host, longest prefix first."""
    routes: dict[str, list[Route]] = defaultdict(list)
    for value in listeners:
        entry = reader.read(value, HostRules, kind="host")
        if entry is None:
            continue
        host = host_name(entry.host)
        for rule_value in reader.read_list(entry.rules, kind="host", name=host):
            rule = reader.read(rule_value, Rule, kind="route", name=host)
            route = None if rule is None else _read_route(reader, host, rule)
            if route is not None:
                routes[host].append(route)
    return {
        host: tuple(sorted(host_routes, key=lambda route: -len(route.prefix)))
        for host, host_routes in routes.items()
    }


def _read_route(reader: ObjectReader, host: str, rule: Rule) -> Route | None:
    """Return a route, without destinations if they cannot be read.

    Its requests are not to go where a shorter prefix leads.
    """
    match = reader.read(rule.match, Match, kind="route", name=rule.name)
    if match is None:
        return None
    action = reader.read(rule.action, Action, kind="route", name=rule.name)
    destinations = () if action is None else _destinations(action)
    if action is None:
        action = Action(timeout=rule.objective)
    elif not destinations:
        reader.reject("route", rule.name, "no destination", "a service or a split")
    return Route(
        name=rule.name or f"{host}{match.prefix}",
        host=host,
        prefix=match.prefix,
        destinations=destinations,
        idempotent=rule.kind == IDEMPOTENT,
        timeout=min(action.timeout, MAX_SECONDS),
        objective=min(rule.objective, MAX_SECONDS),
        attempts=min(action.attempts, MAX_PRIORITY),
        rank=min(rule.priority, MAX_PRIORITY),
        public=rule.public,
    )


def _destinations(action: Action) -> tuple[RouteDestination, ...]:
    parts = action.split or []
    total = sum(part.weight for part in parts)
    if total > 0.0:
        # The sum of the weights is to be a number.
        scale = 1.0 if math.isfinite(total) else 1.0 / len(parts)
        return tuple(
            RouteDestination(part.service, part.weight * scale) for part in parts
        )
    return (RouteDestination(action.service, 1.0),) if action.service else ()


def _read_services(reader: ObjectReader, clusters: Any) -> tuple[str, ...]:
    entries = [
        reader.read(value, Cluster, kind="service")
        for value in reader.read_list(clusters, kind="service")
    ]
    return tuple(entry.name for entry in entries if entry is not None)


def _read_limits(reader: ObjectReader, value: Any) -> Limits:
    """Return the limits on clients; those that cannot be read have their default."""
    limits = None if value is None else reader.read(value, ClientLimits, kind="limits")
    if limits is None:
        return Limits()
    return Limits(
        head_bytes=min(limits.head_bytes, MAX_INT63),
        body_bytes=min(limits.body_bytes, MAX_INT63),
        head_timeout=min(limits.head_timeout, MAX_SECONDS),
        idle_timeout=min(limits.idle_timeout, MAX_SECONDS),
    )


def _read_claims(reader: ObjectReader, tenants: Any) -> ResolvedClaims:
    """Return the workspaces and keys; there are some if there are any entries.

    Where no entry can be read, requests still need a key, and no key is usable.
    """
    if tenants is not None and not isinstance(tenants, list):
        reader.reject("workspace", "", type(tenants).__name__, "a list")
        tenants = [tenants]
    entries = tenants or []
    resolved = resolve_claims(_read_claim(reader, value) for value in entries)
    for conflict in resolved.conflicts:
        reader.reject(
            conflict.subject, conflict.name, "a second entry", "one of its own"
        )
    return resolved


def _read_claim(reader: ObjectReader, value: Any) -> Claim:
    """Return what an entry claims; its keys may not be used if it cannot be read."""
    tenant = reader.read(value, Tenant, kind="workspace")
    if tenant is None:
        unnamed = Tenant(name=UNUSABLE_WORKSPACE, keys=_field(value, "apiKeys"))
        keys = _read_keys(reader, unnamed)
        return Claim(Workspace(UNUSABLE_WORKSPACE), keys, usable=False)
    keys = _read_keys(reader, tenant)
    usable = is_header_value(tenant.name)
    if not usable:
        found = f"name {describe(tenant.name)}"
        reader.reject("workspace", tenant.name, found, "the value of a header")
    rate = _read_rate(tenant.rate)
    if rate is None:
        found = f"rate {describe(tenant.rate)}"
        reader.reject("workspace", tenant.name, found, "requests per second")
        rate, usable = 0.0, False
    priority = None if tenant.priority is None else min(tenant.priority, MAX_PRIORITY)
    quota = Quota(rate, min(tenant.burst, MAX_RATE)) if rate > 0.0 else None
    return Claim(Workspace(tenant.name, priority, quota), keys, usable)


def _read_rate(value: Any) -> float | None:
    """Return a rate, 0 if there is no limit; None if it cannot be read."""
    try:
        rate = msgspec.convert(usable_numbers(value), Rate)
    except msgspec.ValidationError:
        return None
    if not math.isfinite(rate):
        return None
    return min(max(rate, MIN_RATE), MAX_RATE) if rate > 0.0 else 0.0


def _read_keys(reader: ObjectReader, tenant: Tenant) -> tuple[str, ...]:
    """Return the keys that can be read; no report contains one."""
    keys: list[str] = []
    for key in reader.read_list(tenant.keys, kind="key", name=tenant.name):
        if isinstance(key, str) and key:
            keys.append(key)
        else:
            reader.reject("key", tenant.name, type(key).__name__, "text")
    return tuple(keys)


def _field(value: Any, name: str) -> Any:
    return value.get(name) if isinstance(value, dict) else None


def _generation(version: str) -> Generation:
    match = VERSION.fullmatch(version)
    if match is None:
        _reject("configuration version", describe(version), "r and a number")
    return Generation(match[1])


def _reject(subject: str, found: str, expected: str) -> NoReturn:
    raise PlatformError(subject=subject, found=found, expected=expected)
