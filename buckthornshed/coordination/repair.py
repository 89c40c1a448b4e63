"""Pulls of what a node lacks, and bounded answers to them."""

from collections.abc import Iterable

from ..protocol.peer_messages import (
    MAX_CHANGES_BYTES,
    MAX_DELTAS,
    NO_VERSION,
    Busy,
    Changes,
    Delta,
    PeerMessage,
    Pull,
    Version,
    WholeSet,
    size_of,
)
from .config_log import ConfigLog
from .fleet_actions import Action, Formats, Priority, Rng, Send

__all__ = ["PUSH_BYTES", "Repair", "chain_size"]

PUSH_BYTES = 8_000
"""A longer chain is announced by a digest, and pulled by those that lack it."""

REPLY_SPACING_S = 0.2
"""Least time between two replies that are longer than ``PUSH_BYTES``."""

BUSY_RETRY_S = (0.2, 0.6)
"""When a refused pull may come back."""

PULL_TIMEOUT_S = 2.0
"""How long the answer to a pull is awaited; there is one pull at a time."""


def chain_size(chain: Iterable[Delta]) -> int:
    """Return the approximate size of a chain in bytes."""
    return sum(size_of(delta) for delta in chain)


class Repair:
    """Pull from one node at a time, and answer pulls at a bounded rate.

    Parameters
    ----------
    formats : Formats
        How a set is encoded.
    log : ConfigLog
        What is in force.
    rng : Rng
        Source of jitter.
    """

    def __init__(self, *, formats: Formats, log: ConfigLog, rng: Rng) -> None:
        self.formats = formats
        self.log = log
        self.rng = rng
        self.source = ""
        self.pull_until = 0.0
        self.reply_at = 0.0
        self.encoded: tuple[Version, bytes] = (NO_VERSION, b"")

    def pull(self, now: float, address: str, version: Version) -> list[Action]:
        """Ask for what follows a version, unless a pull is under way."""
        if now < self.pull_until:
            return []
        self.source = address
        self.pull_until = now + PULL_TIMEOUT_S
        return [Send(address, Pull(version), Priority.CONFIGURATION)]

    def answered(self, now: float, address: str) -> None:
        """Take note of an answer, which allows the next pull."""
        if address == self.source:
            self.pull_until = min(self.pull_until, now)

    def unreachable(self, now: float, address: str) -> None:
        """Take note of a node that cannot answer."""
        self.answered(now, address)

    def busy(self, now: float, retry_after: float) -> None:
        """Put off the next pull."""
        self.pull_until = now + min(retry_after, PULL_TIMEOUT_S)

    def reply(self, now: float, address: str, version: Version) -> list[Action]:
        """Send what follows a version; long replies at a bounded rate."""
        chain = self.log.since(version)
        if chain is not None and chain_size(chain) <= PUSH_BYTES:
            return [Send(address, Changes(chain), Priority.CONFIGURATION)]
        if now < self.reply_at:
            busy = Busy(self.rng.uniform(*BUSY_RETRY_S))
            return [Send(address, busy, Priority.DIGEST)]
        self.reply_at = now + REPLY_SPACING_S
        return [Send(address, self.long_reply(chain), Priority.CONFIGURATION)]

    def long_reply(self, chain: tuple[Delta, ...] | None) -> PeerMessage:
        """Return a chain, or the whole set when that is smaller or there is none."""
        whole = self.encode()
        if chain is None or len(chain) > MAX_DELTAS:
            return WholeSet(self.log.version, whole)
        if chain_size(chain) > min(MAX_CHANGES_BYTES, len(whole)):
            return WholeSet(self.log.version, whole)
        return Changes(chain)

    def encode(self) -> bytes:
        """Return the set in force as bytes, encoded once for each version."""
        if self.encoded[0] != self.log.version:
            body = self.formats.encode_set(self.log.version, self.log.objects)
            self.encoded = (self.log.version, body)
        return self.encoded[1]
