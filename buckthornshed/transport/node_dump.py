"""Dump of the state of a node process, for operators."""

from typing_extensions import TypedDict

from ..coordination.node import NodeCore
from .data_path import DataPath
from .fleet import Fleet
from .fleet_events import FleetDump

__all__ = ["NodeDump", "TableDump", "dump_node"]


class TableDump(TypedDict):
    """Number of entries of a bounded table, and its capacity."""

    entries: int
    bound: int


class NodeDump(TypedDict):
    """State of one node process; times are in seconds."""

    name: str
    generation: int
    fresh: bool
    pauses: int
    drain: str
    in_flight: int
    slots: int
    queue: TableDump
    threshold: int
    queue_delay_s: float
    egress_pending: int
    resends: int
    owner: bool
    keys: TableDump
    client_repeats: TableDump
    thresholds: TableDump
    targets: dict[str, list[dict[str, object]]]
    connections: dict[str, int]
    fleet: FleetDump


def dump_node(
    core: NodeCore, data_path: DataPath, fleet: Fleet, now: float
) -> NodeDump:
    """Return the state of a node from its components."""
    ingress, egress = core.ingress, core.egress
    keys = core.owner.keys
    allowances = core.edge.allowances.remaining
    live_reports = egress.selector.thresholds.live_reports
    return NodeDump(
        name=core.name,
        generation=0 if core.view is None else core.view.generation,
        fresh=core.pause.fresh,
        pauses=core.pause.pauses,
        drain=core.drain.phase.value,
        in_flight=ingress.running,
        slots=ingress.slots,
        queue=TableDump(entries=len(ingress.queue), bound=ingress.queue.limit),
        threshold=ingress.threshold,
        queue_delay_s=ingress.queue_delay,
        egress_pending=len(egress.pending),
        resends=egress.retries,
        owner=core.owner.settled,
        keys=TableDump(
            entries=0 if keys is None else len(keys.entries),
            bound=0 if keys is None else keys.entries.size,
        ),
        client_repeats=TableDump(entries=len(allowances), bound=allowances.size),
        thresholds=TableDump(entries=len(live_reports), bound=live_reports.size),
        targets={
            service: [each._asdict() for each in balancer.snapshot(now)]
            for service, balancer in egress.selector.balancers.items()
        },
        connections={
            "ingress": len(data_path.ingress.connections),
            "egress": len(data_path.egress.connections),
            "replies": len(data_path.pending_responses),
        },
        fleet=fleet.dump(),
    )
