"""Dump of what a relay knows and from whom, for operators."""

from typing import TYPE_CHECKING

from typing_extensions import TypedDict

from ...coordination.relay.fleet.configuration_news import NO_AGE
from ...state.generation import NO_GENERATION
from ...state.workspaces import UNUSABLE_WORKSPACE

if TYPE_CHECKING:
    from .relay import Relay

__all__ = ["RelayDump", "dump_relay"]


class ConfigurationDump(TypedDict):
    """The configuration in force; ages are in seconds, -1 for never.

    The generation is text, as it may exceed the integers of readers of JSON.
    """

    generation: str
    hosts: int
    routes: int
    workspaces: list[str]
    refused_routes: list[str]
    unusable_keys: int
    source: str
    age: float
    confirmed_by: str
    confirmed_age: float


class StoreDump(TypedDict):
    """How the relay learns of changes; times are in seconds.

    `unusable` counts by kind the entries that it has read and could not use.
    """

    reading: bool
    unavailable: bool
    calls: int
    read_age: float
    grace_left: float
    gap: bool
    unusable: dict[str, int]


class ReaderDump(TypedDict):
    """The latest report of a relay that may read the store for this one."""

    connected: bool
    reads: bool
    report_age: float


class TargetDump(TypedDict):
    """A registered target."""

    service: str
    address: str
    draining: bool
    usable: bool


class RelayDump(TypedDict):
    """State of one relay."""

    name: str
    ready: bool
    leaving: bool
    requests: int
    configuration: ConfigurationDump
    store: StoreDump
    readers: dict[str, ReaderDump]
    targets: dict[str, TargetDump]
    peers: list[str]


def dump_relay(relay: "Relay") -> RelayDump:
    """Return the state of a relay."""
    return RelayDump(
        name=relay.settings.name,
        ready=relay.ready,
        leaving=relay.leaving,
        requests=len(relay.responses.exchanges),
        configuration=_dump_configuration(relay),
        store=_dump_store(relay),
        readers=_dump_readers(relay),
        targets=_dump_targets(relay),
        peers=sorted(relay.links.links),
    )


def _dump_configuration(relay: "Relay") -> ConfigurationDump:
    now = relay.clock()
    catalog = relay.fleet_view.catalog
    news = relay.fleet_view.news
    routes = {} if catalog is None else catalog.routes
    keys = {} if catalog is None else catalog.keys
    return ConfigurationDump(
        generation=str(NO_GENERATION if catalog is None else catalog.generation),
        hosts=len(routes),
        routes=sum(map(len, routes.values())),
        workspaces=[] if catalog is None else sorted(catalog.workspaces),
        refused_routes=[
            route.name
            for each in routes.values()
            for route in each
            if not route.destinations
        ],
        unusable_keys=sum(name == UNUSABLE_WORKSPACE for name in keys.values()),
        source=news.origin.source,
        age=news.origin.age(now),
        confirmed_by=news.confirmation.source,
        confirmed_age=news.confirmation.age(now),
    )


def _dump_store(relay: "Relay") -> StoreDump:
    now = relay.clock()
    readers = relay.fleet_exchange.store_readers
    view = relay.fleet_view
    return StoreDump(
        reading=relay.fleet_updater.reading,
        unavailable=view.store_unavailable,
        calls=relay.counts.store_calls(),
        read_age=round(now - readers.own_report.at, 3)
        if readers.own_report.at
        else NO_AGE,
        grace_left=round(max(0.0, view.grace_until - now), 3),
        gap=readers.has_gap,
        unusable={kind: n for (kind,), n in relay.fleet_updater.unusable.items()},
    )


def _dump_readers(relay: "Relay") -> dict[str, ReaderDump]:
    now = relay.clock()
    return {
        instance: ReaderDump(
            connected=relay.links.is_connected(instance),
            reads=report.succeeded,
            report_age=round(now - report.at, 3),
        )
        for instance, report in sorted(
            relay.fleet_exchange.store_readers.reports.items()
        )
    }


def _dump_targets(relay: "Relay") -> dict[str, TargetDump]:
    view = relay.fleet_view
    usable = {each.name for targets in view.usable.values() for each in targets}
    return {
        name: TargetDump(
            service=target.service,
            address=target.address,
            draining=target.draining,
            usable=name in usable,
        )
        for name, target in sorted(view.targets.items())
    }
