"""What the decisions about configuration and membership ask the transport to do."""

from collections.abc import Callable, Mapping
from enum import IntEnum
from typing import Literal, NamedTuple, Protocol

from ...protocol.peer_messages import Delta, Peer, PeerMessage, Version

__all__ = [
    "Action",
    "Activate",
    "Formats",
    "Notice",
    "Priority",
    "ReadValue",
    "Report",
    "Rng",
    "Send",
]


class Rng(Protocol):
    """The part of ``random.Random`` that decisions draw from."""

    def uniform(self, a: float, b: float) -> float:
        """Return a number between two others."""

    def sample(self, population: list[str], k: int) -> list[str]:
        """Return some members of a list, each at most once."""


class Priority(IntEnum):
    """Order in which control messages are sent, most urgent first."""

    DRAIN = 0
    CONFIGURATION = 1
    DIGEST = 2
    MEMBERSHIP = 3


Notice = Literal[
    "in_force",
    "refused",
    "digest_mismatch",
    "conflict",
    "platform_behind",
    "platform_failed",
    "unreadable_value",
    "no_source",
    "woken",
    "cut_off",
]
"""What is reported to operators."""


class Send(NamedTuple):
    """Send a message to a node.

    Parameters
    ----------
    address : str
        Where the node takes messages.
    message : PeerMessage
        The content.
    priority : Priority
        Its class under back-pressure.
    """

    address: str
    message: PeerMessage
    priority: Priority


class ReadValue(NamedTuple):
    """Read a value of the platform.

    Parameters
    ----------
    key : str
        Name of the value.
    after : int
        With ``wait``, the version of the value that is known.
    wait : float
        Seconds to wait for another version; 0 reads at once.
    """

    key: str
    after: int = 0
    wait: float = 0.0


class Activate(NamedTuple):
    """A set is in force from now on.

    Parameters
    ----------
    version : Version
        Its version.
    objects : mapping of str to bytes
        All objects by ``kind/name``.
    changed : frozenset of str
        Objects that were added, changed or removed.
    """

    version: Version
    objects: Mapping[str, bytes]
    changed: frozenset[str]


class Report(NamedTuple):
    """Tell operators of an event."""

    notice: Notice
    version: Version
    detail: str = ""


Action = Send | ReadValue | Activate | Report


class Formats(NamedTuple):
    """How published values are read and judged.

    Each function raises an error of ``buckthornshed.errors`` on unusable input.

    Parameters
    ----------
    digest : callable
        Digest over a whole set.
    check : callable
        Raises ``ConfigurationError`` for a set that must not be in force.
    peer : callable
        The node that an object describes, or ``None`` for another kind of object.
    encode_set, decode_set : callable
        A whole set with its version, to and from bytes.
    decode_head, decode_delta : callable
        The other values that are published.
    """

    digest: Callable[[Mapping[str, bytes]], bytes]
    check: Callable[[Mapping[str, bytes]], None]
    peer: Callable[[str, bytes], Peer | None]
    encode_set: Callable[[Version, Mapping[str, bytes]], bytes]
    decode_set: Callable[[bytes], tuple[Version, Mapping[str, bytes]]]
    decode_head: Callable[[bytes], Version]
    decode_delta: Callable[[bytes], Delta]
