"""Pushes of new configuration to the neighbours that may lack it."""

from collections.abc import Iterable

from ...protocol.peer_messages import Changes, Delta, PeerMessage, Version
from .config_log import ConfigLog
from .fleet_actions import Action, Priority, Rng, Send
from .repair import MAX_PUSH_BYTES, chain_size

__all__ = ["Push"]

PUSH_JITTER_S = 0.04
"""Maximum random delay of a push.

The delay avoids most cases in which two neighbours push the same set to each other.
"""


class Push:
    """Push chains of deltas and track the generations that neighbours have in force.

    Parameters
    ----------
    log : ConfigLog
        The set in force and its deltas.
    rng : Rng
        Source of jitter.
    """

    def __init__(self, *, log: ConfigLog, rng: Rng) -> None:
        self.log = log
        self.rng = rng
        self.known_generations: dict[str, int] = {}
        self.scheduled: dict[str, tuple[float, Version]] = {}

    def record_generation(self, address: str, generation: int) -> None:
        """Record the generation that a node has in force."""
        self.known_generations[address] = generation

    def forget(self, address: str) -> None:
        """Discard the state of an unreachable node."""
        self.known_generations.pop(address, None)
        self.scheduled.pop(address, None)

    def retain(self, addresses: Iterable[str]) -> None:
        """Discard the known generations of all other nodes."""
        kept = self.known_generations.keys() & set(addresses)
        self.known_generations = {
            address: self.known_generations[address] for address in kept
        }

    def schedule(
        self, now: float, base: Version, addresses: Iterable[str], source: str
    ) -> None:
        """Schedule pushes of the changes since ``base`` to all nodes but the source."""
        for address in addresses:
            if address != source and address not in self.scheduled:
                at = now + self.rng.uniform(0.0, PUSH_JITTER_S)
                self.scheduled[address] = (at, base)

    def due(self) -> float:
        """Return the time of the next push; infinity if none is scheduled."""
        return min((at for at, _ in self.scheduled.values()), default=float("inf"))

    def take_due(self, now: float, announcement: PeerMessage) -> list[Action]:
        """Return the pushes that are due, except to nodes that are known to be current.

        A long chain is announced instead of sent.
        """
        due = [address for address, (at, _) in self.scheduled.items() if at <= now]
        actions: list[Action] = []
        for address in due:
            _, base = self.scheduled.pop(address)
            if self.known_generations.get(address, 0) >= self.log.version.generation:
                continue
            self.known_generations[address] = self.log.version.generation
            message = self.build_message(self.log.deltas_since(base), announcement)
            actions.append(Send(address, message, Priority.CONFIGURATION))
        return actions

    def build_message(
        self, chain: tuple[Delta, ...] | None, announcement: PeerMessage
    ) -> PeerMessage:
        """Return a message with the chain if it is short, else the announcement."""
        if chain is None or chain_size(chain) > MAX_PUSH_BYTES:
            return announcement
        return Changes(chain)
