"""Passing on of what came in force, to the neighbours that may lack it."""

from collections.abc import Iterable

from ...protocol.peer_messages import Changes, Delta, PeerMessage, Version
from .config_log import ConfigLog
from .fleet_actions import Action, Priority, Rng, Send
from .repair import PUSH_BYTES, chain_size

__all__ = ["Push"]

PUSH_SPREAD_S = 0.04
"""Each push waits up to this long; most that cross on a link are then left out."""


class Push:
    """Push chains of deltas, and remember what the neighbours are known to have.

    Parameters
    ----------
    log : ConfigLog
        What is in force.
    rng : Rng
        Source of jitter.
    """

    def __init__(self, *, log: ConfigLog, rng: Rng) -> None:
        self.log = log
        self.rng = rng
        self.known: dict[str, int] = {}
        self.waiting: dict[str, tuple[float, Version]] = {}

    def learn(self, address: str, generation: int) -> None:
        """Note the generation that a node has in force."""
        self.known[address] = generation

    def forget(self, address: str) -> None:
        """Forget a node that cannot be reached."""
        self.known.pop(address, None)
        self.waiting.pop(address, None)

    def keep_only(self, addresses: Iterable[str]) -> None:
        """Forget all other nodes."""
        kept = self.known.keys() & set(addresses)
        self.known = {address: self.known[address] for address in kept}

    def plan(
        self, now: float, base: Version, addresses: Iterable[str], source: str
    ) -> None:
        """Plan to push what follows ``base`` to all nodes but its source."""
        for address in addresses:
            if address != source and address not in self.waiting:
                at = now + self.rng.uniform(0.0, PUSH_SPREAD_S)
                self.waiting[address] = (at, base)

    def due(self) -> float:
        """Return when the next push is due."""
        return min((at for at, _ in self.waiting.values()), default=float("inf"))

    def take(self, now: float, announcement: PeerMessage) -> list[Action]:
        """Return the pushes that are due; a long chain is only announced."""
        due = [address for address, (at, _) in self.waiting.items() if at <= now]
        actions: list[Action] = []
        for address in due:
            _, base = self.waiting.pop(address)
            if self.known.get(address, 0) >= self.log.version.generation:
                continue
            self.known[address] = self.log.version.generation
            message = self.message(self.log.since(base), announcement)
            actions.append(Send(address, message, Priority.CONFIGURATION))
        return actions

    def message(
        self, chain: tuple[Delta, ...] | None, announcement: PeerMessage
    ) -> PeerMessage:
        """Return a short chain, or else the announcement."""
        if chain is None or chain_size(chain) > PUSH_BYTES:
            return announcement
        return Changes(chain)
