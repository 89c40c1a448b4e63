"""Interface between a node and its handlers of messages and platform values."""

from typing import Protocol

from ...protocol.peer_messages import Digest, Version
from .acceptance import Acceptance
from .fleet_actions import Action, Formats
from .joining import Joining
from .platform_watch import PlatformWatch
from .push import Push
from .repair import Repair
from .survey import Survey
from .topology import Topology

__all__ = ["HandlerContext"]


class HandlerContext(Protocol):
    """State and operations of a node that the handlers use."""

    name: str
    formats: Formats
    topology: Topology
    acceptance: Acceptance
    joining: Joining
    survey: Survey
    watch: PlatformWatch
    push: Push
    repair: Repair

    @property
    def version(self) -> Version:
        """The version in force."""

    @property
    def has_set(self) -> bool:
        """Whether a configuration set is in force."""

    def digest(self, now: float) -> Digest:
        """Return a digest message with the version in force on this node."""

    def accept_set(self, now: float, body: bytes, source: str = "") -> list[Action]:
        """Put a whole set in force if it is valid and its generation is higher."""
