"""Actions that the configuration and membership logic requests of the transport."""

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
    """Subset of ``random.Random`` that the decision logic uses."""

    def uniform(self, a: float, b: float) -> float:
        """Return a random number between ``a`` and ``b``."""

    def sample(self, population: list[str], k: int) -> list[str]:
        """Return ``k`` members of a list, drawn without replacement."""


class Priority(IntEnum):
    """Priority of control messages; the lowest value is sent first."""

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
"""Kinds of events that are reported to operators."""


class Send(NamedTuple):
    """Send a message to a node.

    Parameters
    ----------
    address : str
        Address at which the node receives messages.
    message : PeerMessage
        Message to send.
    priority : Priority
        Priority of the message in the control budget.
    """

    address: str
    message: PeerMessage
    priority: Priority


class ReadValue(NamedTuple):
    """Read a value from the platform.

    Parameters
    ----------
    key : str
        Key of the value.
    after : int
        With ``wait``, the last known version of the value.
    wait : float
        Seconds to wait for a different version; 0 reads immediately.
    """

    key: str
    after: int = 0
    wait: float = 0.0


class Activate(NamedTuple):
    """Announce that a configuration set has come into force.

    Parameters
    ----------
    version : Version
        Version of the set.
    objects : mapping of str to bytes
        All objects of the set by ``kind/name``.
    changed : frozenset of str
        Keys of the objects that were added, changed or removed.
    """

    version: Version
    objects: Mapping[str, bytes]
    changed: frozenset[str]


class Report(NamedTuple):
    """Report an event to operators."""

    notice: Notice
    version: Version
    detail: str = ""


Action = Send | ReadValue | Activate | Report


class Formats(NamedTuple):
    """Functions that decode and validate published values.

    Each function raises an error from ``buckthornshed.errors`` on invalid input.

    Parameters
    ----------
    digest : callable
        Computes the digest of a whole set.
    check : callable
        Raises ``ConfigurationError`` for a set that must not come into force.
    peer : callable
        Returns the node that an object describes, ``None`` for other kinds of objects.
    encode_set, decode_set : callable
        Convert a whole set with its version to and from bytes.
    decode_head, decode_delta : callable
        Decode the other published values.
    """

    digest: Callable[[Mapping[str, bytes]], bytes]
    check: Callable[[Mapping[str, bytes]], None]
    peer: Callable[[str, bytes], Peer | None]
    encode_set: Callable[[Version, Mapping[str, bytes]], bytes]
    decode_set: Callable[[bytes], tuple[Version, Mapping[str, bytes]]]
    decode_head: Callable[[bytes], Version]
    decode_delta: Callable[[bytes], Delta]
