"""Comparison of the own view of the fleet with what readers of the store report.

A reader reports what it knows after each read: the store's revision, the generation of
the configuration and a digest of the registrations. A relay that knows less has lost
something, however that happened, and reads the store itself.
"""

import hashlib
from collections.abc import Mapping

from ....protocol.relay_messages import ViewSummary
from ....state.catalog import Target

__all__ = ["RegistrationsDigest", "ViewComparison"]

DIGEST_BYTES = 7
"""Size of the digest of one registration; their sum has to fit a message's integer."""
DIGEST_MODULUS = 2 ** (8 * DIGEST_BYTES)
MAX_SENDERS = 1_024


class RegistrationsDigest:
    """Digest of a set of registrations that does not depend on their order.

    Sequence numbers do not count, as relays do not tell each other of heartbeats.

    Attributes
    ----------
    value : int
        The digest; 0 if there are no registrations.
    """

    def __init__(self) -> None:
        self.value = 0
        self.by_name: dict[str, int] = {}

    def put(self, target: Target) -> None:
        """Add a registration, or replace that of the same name."""
        self.discard(target.name)
        digest = _digest(target)
        self.by_name[target.name] = digest
        self.value = (self.value + digest) % DIGEST_MODULUS

    def discard(self, name: str) -> None:
        """Remove a registration if there is one of that name."""
        self.value = (self.value - self.by_name.pop(name, 0)) % DIGEST_MODULUS


class ViewComparison:
    """Finds out whether the own view lacks something that a reader knows.

    Attributes
    ----------
    covered : int
        Revision of the store up to which the own view lacks nothing.
    latest : dict
        The latest summary of each reader, by instance.
    settled : dict
        Digests of readers that differ from the own one, although this relay has read
        the store since: they keep registrations for a while after an outage.
    """

    def __init__(self) -> None:
        self.covered = 0
        self.latest: dict[str, ViewSummary] = {}
        self.settled: dict[str, int] = {}

    def record_read(self, own: ViewSummary) -> None:
        """Record what this relay knows after a read of its own."""
        self.covered = own.revision
        self.settled = _differing(self.latest, own)

    def record_lapse(self) -> None:
        """Record that the own view has changed without news.

        Reports that agreed with it may not agree any more.
        """
        self.covered = 0
        self.settled = {}

    def is_behind(self, sender: str, reported: ViewSummary, own: ViewSummary) -> bool:
        """Return whether a summary shows that the own view lacks something."""
        previous = self.latest.pop(sender, reported)
        if len(self.latest) >= MAX_SENDERS:
            self.latest.pop(next(iter(self.latest)))
        self.latest[sender] = reported
        if self.settled.get(sender) != reported.targets:
            self.settled.pop(sender, None)
        if reported.revision < previous.revision:
            # The store has returned from an old copy and gives out revisions again.
            self.covered = 0
        if reported.revision <= self.covered:
            return False
        if reported.generation > own.generation:
            return True
        if reported.targets == own.targets:
            self.covered = reported.revision
            return False
        return sender not in self.settled


def _differing(latest: Mapping[str, ViewSummary], own: ViewSummary) -> dict[str, int]:
    return {
        sender: summary.targets
        for sender, summary in latest.items()
        if summary.targets != own.targets
    }


def _digest(target: Target) -> int:
    counted = target._replace(sequence=0)
    data = "\0".join(map(str, counted)).encode()
    return int.from_bytes(
        hashlib.blake2b(data, digest_size=DIGEST_BYTES).digest(), "big"
    )
