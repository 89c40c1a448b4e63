"""Typed messages between nodes: configuration, membership and key ownership.

The size of every message is limited. Messages may arrive more than once and in any
order without harm. Each one is sent in an ``Envelope`` that names its sender.
"""

from collections.abc import Mapping
from enum import IntEnum
from typing import NamedTuple

__all__ = [
    "MAX_CHANGES_BYTES",
    "MAX_DELTAS",
    "MAX_MESSAGE_BYTES",
    "MAX_NAME_CHARS",
    "MAX_NODE_STATES",
    "MAX_OWNERS",
    "MAX_SET_BYTES",
    "NO_VERSION",
    "Busy",
    "Changes",
    "Delta",
    "Digest",
    "Envelope",
    "Leaving",
    "NodeState",
    "OwnerMessage",
    "OwnerQuery",
    "OwnerReply",
    "Peer",
    "PeerMessage",
    "PeerState",
    "Pull",
    "Version",
    "WholeSet",
    "estimate_size",
]

MAX_SET_BYTES = 1_000_000
"""Maximum size of an encoded set: the platform's limit for a value."""

MAX_MESSAGE_BYTES = MAX_SET_BYTES + 10_000
"""Maximum size of an encoded message between nodes."""

MAX_CHANGES_BYTES = 400_000
"""Maximum size of the chain of deltas in one message."""

MAX_DELTAS = 2_048
"""Maximum number of deltas in one message."""

MAX_NODE_STATES = 16
"""Maximum number of node states in one message."""

MAX_OWNERS = 8_192
"""Maximum number of key owners in one message.

All targets of the fleet may belong to one service.
"""

MAX_NAME_CHARS = 200
"""Maximum length of a name or address in a message."""


class Version(NamedTuple):
    """Generation and digest of a configuration set.

    Parameters
    ----------
    generation : int
        Number that increases with each publication; 0 stands for no set.
    digest : bytes
        Digest of the whole set; empty for no set.
    """

    generation: int
    digest: bytes


NO_VERSION = Version(generation=0, digest=b"")
"""Version of a node that has no configuration in force."""


class Delta(NamedTuple):
    """Objects that differ between two generations.

    Parameters
    ----------
    base_generation : int
        Generation that the delta applies to.
    generation, digest : int, bytes
        Version after the delta is applied.
    changed : mapping of str to bytes
        Added and changed objects by ``kind/name``, in canonical form.
    removed : tuple of str
        Removed objects as ``kind/name``.
    """

    base_generation: int
    generation: int
    digest: bytes
    changed: Mapping[str, bytes]
    removed: tuple[str, ...]

    @property
    def version(self) -> Version:
        """Version after the delta is applied."""
        return Version(self.generation, self.digest)


class Peer(NamedTuple):
    """Another node as described by the configuration.

    Parameters
    ----------
    name : str
        Name of the node's target.
    domain : str
        Failure domain of the node.
    address : str
        Address on which the node receives messages of other nodes.
    """

    name: str
    domain: str
    address: str


class PeerState(IntEnum):
    """State of a node as seen by its peers; a draining node is ``LEAVING``.

    ``coordination.knowledge.membership`` defines the transitions between states.
    """

    LIVE = 0
    SUSPECT = 1
    LEAVING = 2
    GONE = 3


class NodeState(NamedTuple):
    """State of one incarnation of a node."""

    name: str
    incarnation: int
    state: PeerState


class Digest(NamedTuple):
    """Summary of a node's configuration and of recent changes among its peers.

    Parameters
    ----------
    version : Version
        Version in force; ``NO_VERSION`` if there is none.
    source_age : float
        Seconds since a node of the same failure domain last had contact with the
        platform.
    rival : Version or None
        Conflicting version: the generation in force with another digest.
    reply : bool
        Whether the receiver should answer with its own digest.
    nodes : tuple of NodeState
        Recent state changes of nodes.
    """

    version: Version
    source_age: float
    rival: Version | None = None
    reply: bool = False
    nodes: tuple[NodeState, ...] = ()


class Changes(NamedTuple):
    """A chain of deltas, each based on the previous one."""

    deltas: tuple[Delta, ...]


class Pull(NamedTuple):
    """Request for the changes after a version, or the whole set for ``NO_VERSION``."""

    version: Version


class WholeSet(NamedTuple):
    """A complete encoded configuration set."""

    version: Version
    body: bytes


class Busy(NamedTuple):
    """Refusal of a pull; ``retry_after`` is in seconds."""

    retry_after: float


class Leaving(NamedTuple):
    """Notice that the sender is draining and accepts no new calls.

    Relays send a `relay_messages.DrainNotice` for the same purpose.
    """

    incarnation: int


class OwnerQuery(NamedTuple):
    """Query of a node that wants to act as key owner to another owner.

    Parameters
    ----------
    asker : str
        Identity of the querying owner.
    round : int
        Number of the query round.
    """

    asker: str
    round: int


class OwnerReply(NamedTuple):
    """Ownership state of one owner at the time of the reply.

    Parameters
    ----------
    round : int
        Query round that the reply belongs to; 0 for an announcement.
    owner : str
        Identity of the replying owner.
    incarnation : int
        Start time of the owner.
    generation : int
        Generation of the owner's configuration.
    digest : int
        Digest of the owner's owner set, an unsigned 64-bit integer.
    settled : bool
        Whether the node acts as owner.
    members : tuple of str
        Owners that the node knows to have been settled at some time, at most
        ``MAX_OWNERS``.
    """

    round: int
    owner: str
    incarnation: int
    generation: int
    digest: int
    settled: bool
    members: tuple[str, ...]


OwnerMessage = OwnerQuery | OwnerReply
"""A message that determines which nodes may act as key owners."""

PeerMessage = Digest | Changes | Pull | WholeSet | Busy | Leaving | OwnerMessage


class Envelope(NamedTuple):
    """A message with its sender and recipient.

    Parameters
    ----------
    sender, address : str
        Name of the sending node, and the address on which it receives messages.
    incarnation : int
        Start time of the sender in nanoseconds of the wall clock.
    recipient : str
        Address of the receiving node.
    sequence : int
        Sequence number of the message within this incarnation.
    message : PeerMessage
        Content of the message.
    """

    sender: str
    address: str
    incarnation: int
    recipient: str
    sequence: int
    message: PeerMessage


def estimate_size(delta: Delta) -> int:
    """Return the approximate size of a delta in bytes."""
    changed = sum(len(key) + len(value) for key, value in delta.changed.items())
    removed = sum(len(key) for key in delta.removed)
    return changed + removed + len(delta.digest) + 16
