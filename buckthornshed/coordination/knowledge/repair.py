"""Anti-entropy repair: pulls of missing configuration and answers to pulls."""

from collections.abc import Iterable

from ...protocol.peer_messages import (
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
    estimate_size,
)
from .config_log import ConfigLog
from .fleet_actions import Action, Formats, Priority, Rng, Send

__all__ = ["MAX_PUSH_BYTES", "Repair", "chain_size"]

MAX_PUSH_BYTES = 8_000
"""Maximum size of a pushed chain.

A longer one is announced by a digest and pulled by the nodes that lack it.
"""

REPLY_BYTES_PER_S = 1_000_000.0
"""Rate limit of replies that are longer than ``MAX_PUSH_BYTES``."""

MAX_REPLY_BACKLOG_S = 0.2
"""Maximum backlog of long replies, in seconds at the rate limit.

Beyond it a pull is refused with a busy message.
"""

BUSY_RETRY_S = (0.2, 0.6)
"""Range of the delay after which a refused pull may be retried."""

PULL_TIMEOUT_S = 2.0
"""Timeout of a pull; a node has at most one pull pending."""


def chain_size(chain: Iterable[Delta]) -> int:
    """Return the approximate size of a chain in bytes."""
    return sum(estimate_size(delta) for delta in chain)


class Repair:
    """Pull from one node at a time and answer pulls within a rate limit.

    Parameters
    ----------
    formats : Formats
        Functions that encode a set.
    log : ConfigLog
        The set in force and its deltas.
    rng : Rng
        Source of jitter.
    """

    def __init__(self, *, formats: Formats, log: ConfigLog, rng: Rng) -> None:
        self.formats = formats
        self.log = log
        self.rng = rng
        self.source = ""
        self.pull_deadline = 0.0
        self.retry_at = float("inf")
        self.pull_base = NO_VERSION
        self.replies_done_at = 0.0
        self.encoded: tuple[Version, bytes] = (NO_VERSION, b"")

    def pull(self, now: float, address: str, version: Version) -> list[Action]:
        """Pull the changes since a version, unless another pull is pending."""
        if now < self.pull_deadline:
            return []
        self.source = address
        self.pull_base = version
        self.retry_at = float("inf")
        self.pull_deadline = now + PULL_TIMEOUT_S
        return [Send(address, Pull(version), Priority.CONFIGURATION)]

    def retry(self, now: float) -> list[Action]:
        """Retry a refused pull after its delay."""
        if now < self.retry_at:
            return []
        base = NO_VERSION if self.pull_base == NO_VERSION else self.log.version
        return self.pull(now, self.source, base)

    def record_answer(self, now: float, address: str) -> None:
        """Record the answer to a pull, which allows the next one."""
        if address == self.source:
            self.pull_deadline = min(self.pull_deadline, now)
            self.retry_at = float("inf")

    def handle_unreachable(self, now: float, address: str) -> None:
        """End the pull from an unreachable node."""
        self.record_answer(now, address)

    def handle_busy(self, now: float, address: str, retry_after: float) -> None:
        """Schedule the retry of a refused pull."""
        if address == self.source:
            self.pull_deadline = now + min(retry_after, PULL_TIMEOUT_S)
            self.retry_at = self.pull_deadline

    def reply(self, now: float, address: str, version: Version) -> list[Action]:
        """Send the changes since a version, within the rate limit for long replies."""
        chain = self.log.deltas_since(version)
        if chain is not None and chain_size(chain) <= MAX_PUSH_BYTES:
            return [Send(address, Changes(chain), Priority.CONFIGURATION)]
        if self.replies_done_at - now > MAX_REPLY_BACKLOG_S:
            busy = Busy(self.rng.uniform(*BUSY_RETRY_S))
            return [Send(address, busy, Priority.DIGEST)]
        message, size = self.long_reply(chain)
        self.replies_done_at = max(now, self.replies_done_at) + size / REPLY_BYTES_PER_S
        return [Send(address, message, Priority.CONFIGURATION)]

    def long_reply(self, chain: tuple[Delta, ...] | None) -> tuple[PeerMessage, int]:
        """Return a message and its size.

        It holds the chain, or the whole set if there is no chain or it is too long.
        """
        if chain is not None and len(chain) <= MAX_DELTAS:
            size = chain_size(chain)
            if size <= MAX_CHANGES_BYTES:
                return Changes(chain), size
        body = self.encode_current_set()
        return WholeSet(self.log.version, body), len(body)

    def encode_current_set(self) -> bytes:
        """Return the encoded set in force; it is encoded once for each version."""
        if self.encoded[0] != self.log.version:
            body = self.formats.encode_set(self.log.version, self.log.objects)
            self.encoded = (self.log.version, body)
        return self.encoded[1]
