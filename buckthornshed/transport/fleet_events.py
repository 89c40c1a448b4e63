"""Events that `Fleet` processes, its settings and its dump."""

from typing import NamedTuple, TypedDict

from ..coordination.knowledge.membership import Evidence
from ..errors import PlatformError
from ..protocol.peer_messages import NodeState, OwnerMessage
from .peers import DeliveryFailed, MessageReceived
from .platform_reader import Unchanged, Value

__all__ = [
    "AnnounceDrain",
    "Event",
    "EvidenceObserved",
    "FleetDump",
    "FleetSettings",
    "InstancesListed",
    "ReadCompleted",
    "Refresh",
    "SendOwnerMessage",
]


class FleetSettings(NamedTuple):
    """Settings that `Fleet` needs.

    Parameters
    ----------
    name, domain : str
        Name of the local target and its failure domain.
    address : str
        Address at which this node receives messages of other nodes, ``host:port``.
    seeds : tuple of str
        Addresses of other nodes to query at startup.
    platform : str
        Base URL of the platform.
    keys : tuple of bytes
        Shared keys of the fleet: one, or two during a rotation. The first one signs.
    incarnation : int
        Start time of this node, nanoseconds of the wall clock.
    """

    name: str
    domain: str
    address: str
    seeds: tuple[str, ...]
    platform: str
    keys: tuple[bytes, ...]
    incarnation: int


class ReadCompleted(NamedTuple):
    """A platform read has ended."""

    key: str
    result: Value | Unchanged | PlatformError


class InstancesListed(NamedTuple):
    """The platform's instance list was read."""

    nodes: tuple[NodeState, ...]


class EvidenceObserved(NamedTuple):
    """Calls to a node gave evidence about its state."""

    name: str
    evidence: Evidence
    incarnation: int


class AnnounceDrain(NamedTuple):
    """Request to announce the drain to the neighbours and the named nodes."""

    names: tuple[str, ...]


class SendOwnerMessage(NamedTuple):
    """Request to send a message about key ownership to the node of a target."""

    name: str
    message: OwnerMessage


class Refresh(NamedTuple):
    """Request to query the neighbours for their versions after a pause."""


Event = (
    MessageReceived
    | DeliveryFailed
    | ReadCompleted
    | InstancesListed
    | EvidenceObserved
    | AnnounceDrain
    | Refresh
    | SendOwnerMessage
)


class FleetDump(TypedDict):
    """State of a node's configuration and membership, for operators.

    ``messages`` counts the sent messages by the name of their class, so these names are
    part of the output.
    """

    name: str
    generation: int
    digest: str
    phase: str
    reader: bool
    neighbours: list[str]
    source_age_s: float
    rival: str | None
    refused: dict[str, str]
    members: dict[str, str]
    reports: dict[str, int]
    platform_reads: int
    sent_bytes: int
    messages: dict[str, int]
