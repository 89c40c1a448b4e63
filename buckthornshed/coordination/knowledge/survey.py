"""Survey of the versions on other nodes, at the start and after a pause."""

from collections.abc import Iterable

from ...protocol.peer_messages import NO_VERSION, Version

__all__ = ["SURVEY_TIMEOUT_S", "Survey"]

SURVEY_TIMEOUT_S = 1.0
"""Timeout of the answers."""


class Survey:
    """Collect the versions that other nodes have in force.

    Nodes are identified by address. Unreachable nodes, and nodes that have not answered
    by the deadline, are not considered.

    Attributes
    ----------
    unanswered : set of str
        Queried nodes that have not answered in the current round.
    versions : dict
        Version that each node reported last.
    """

    def __init__(self) -> None:
        self.unanswered: set[str] = set()
        self.versions: dict[str, Version] = {}
        self.deadline = 0.0

    def begin(self, now: float, addresses: Iterable[str]) -> list[str]:
        """Start a round over some nodes and return their addresses, sorted.

        Answers from earlier rounds are kept.
        """
        self.unanswered = set(addresses)
        self.deadline = now + SURVEY_TIMEOUT_S
        return sorted(self.unanswered)

    def record_answer(self, address: str, version: Version) -> None:
        """Record the answer of a node, which replaces an earlier one."""
        self.unanswered.discard(address)
        self.versions[address] = version

    def discard(self, address: str) -> None:
        """Discard the answer of an unreachable node."""
        self.unanswered.discard(address)
        self.versions.pop(address, None)

    def complete(self, now: float) -> bool:
        """Return whether every queried node answered or the deadline has passed."""
        return not self.unanswered or now >= self.deadline

    def best(self) -> Version:
        """Return the highest version; the digest breaks ties between generations."""
        return max(self.versions.values(), default=NO_VERSION)

    def holders(self, version: Version) -> list[str]:
        """Return the addresses of the nodes that reported a version."""
        return sorted(
            address
            for address, reported in self.versions.items()
            if reported == version
        )
