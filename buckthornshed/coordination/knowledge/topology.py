"""Platform readers and neighbours of each node, derived from the configuration.

Every node computes them by rendezvous hashing, so no election is needed. Nodes with
different configurations or views of the fleet choose sets that overlap.
"""

from collections.abc import Callable, Iterable, Iterator

import xxhash

from ...protocol.peer_messages import Peer

__all__ = [
    "NUM_RINGS",
    "READERS_PER_DOMAIN",
    "STANDBYS_PER_DOMAIN",
    "Topology",
    "rank",
]

READERS_PER_DOMAIN = 3
"""Number of nodes in each failure domain that read the platform."""

STANDBYS_PER_DOMAIN = 3
"""Number of nodes next in rank; they are neighbours of the readers.

This lets them detect the loss of a reader.
"""

NUM_RINGS = 2
"""Number of random rings over the nodes of a failure domain.

Each ring gives a node two neighbours.
"""

MAX_SKIPPED = 8
"""Maximum number of nodes that are skipped on a ring because they seem down."""

LivenessCheck = Callable[[str], bool]


def rank(label: str, names: Iterable[str]) -> list[str]:
    """Return names ordered by their rendezvous scores for a label."""
    return sorted(
        names,
        key=lambda name: (xxhash.xxh3_64_intdigest(f"{label}|{name}".encode()), name),
    )


class Topology:
    """Compute readers and neighbours from the configured nodes.

    Parameters
    ----------
    name : str
        Name of this node.
    domain : str
        Failure domain of this node.
    is_live : callable
        Returns whether the node of a given name is believed to be live.
    """

    def __init__(self, *, name: str, domain: str, is_live: LivenessCheck) -> None:
        self.name = name
        self.domain = domain
        self.is_live = is_live
        self.peers: dict[str, Peer] = {}
        self.names_by_address: dict[str, str] = {}
        self.ranked: dict[str, list[str]] = {}
        self.rings: list[list[str]] = [[name]]
        self.domain_rings: list[list[str]] = []

    def update(self, peers: Iterable[Peer], removed: Iterable[str]) -> None:
        """Update the configured nodes and rank only the domains that changed."""
        changed_domains: set[str] = set()
        for name in removed:
            old = self.peers.pop(name, None)
            if old is not None:
                changed_domains.add(old.domain)
                self.names_by_address.pop(old.address, None)
        for peer in peers:
            old = self.peers.get(peer.name)
            self.peers[peer.name] = peer
            if old is not None:
                self.names_by_address.pop(old.address, None)
            self.names_by_address[peer.address] = peer.name
            if old is None or old.domain != peer.domain:
                changed_domains.add(peer.domain)
                changed_domains.add(old.domain if old else peer.domain)
        if changed_domains:
            self.rank_domains(changed_domains)

    def rank_domains(self, changed_domains: set[str]) -> None:
        """Recompute the ranking of the nodes in some domains."""
        members: dict[str, list[str]] = {domain: [] for domain in changed_domains}
        for peer in self.peers.values():
            if peer.domain in changed_domains:
                members[peer.domain].append(peer.name)
        for domain, names in members.items():
            self.ranked[domain] = rank(f"reader|{domain}", names)
            if not names:
                del self.ranked[domain]
        if self.domain in changed_domains:
            # A node that the configuration does not contain yet still takes part.
            own = {*members[self.domain], self.name}
            self.rings = [rank(f"ring{index}", own) for index in range(NUM_RINGS)]
        self.domain_rings = [
            rank(f"domains{index}", self.ranked) for index in range(READERS_PER_DOMAIN)
        ]

    def readers(self, domain: str) -> list[str]:
        """Return the readers of a failure domain by rank."""
        return self.first_live(domain, READERS_PER_DOMAIN)

    def first_live(self, domain: str, count: int) -> list[str]:
        """Return the first live nodes of a domain by rank; this node counts as live."""
        chosen: list[str] = []
        for name in self.ranked.get(domain, ()):
            if name == self.name or self.is_live(name):
                chosen.append(name)
            if len(chosen) == count:
                break
        return chosen

    def is_reader(self) -> bool:
        """Return whether this node is among the readers of its domain."""
        return self.name in self.readers(self.domain)

    def domain_size(self) -> int:
        """Return the number of configured nodes in this node's domain."""
        return len(self.ranked.get(self.domain, ()))

    def primary(self, generation: int) -> str | None:
        """Return the reader, of all domains, that fetches a generation first."""
        readers = [name for domain in self.ranked for name in self.readers(domain)]
        if not readers:
            return None
        return rank(f"primary{generation}", readers)[0]

    def neighbours(self) -> list[str]:
        """Return the nodes that this node exchanges deltas and digests with."""
        chosen: dict[str, None] = {}
        for ring in self.rings:
            position = ring.index(self.name)
            for step in (1, -1):
                chosen.update(
                    (name, None) for name in self.next_live(ring, position, step)
                )
        own = self.first_live(self.domain, READERS_PER_DOMAIN + STANDBYS_PER_DOMAIN)
        if self.name in own:
            index = own.index(self.name)
            linked = own if index < READERS_PER_DOMAIN else own[:READERS_PER_DOMAIN]
            chosen.update((name, None) for name in linked if name != self.name)
            if index < READERS_PER_DOMAIN:
                chosen.update((name, None) for name in self.cross_links(index))
        return list(chosen)

    def next_live(self, ring: list[str], position: int, step: int) -> Iterator[str]:
        """Yield the next live node in one direction of a ring, if any."""
        for distance in range(1, min(len(ring), MAX_SKIPPED + 1)):
            name = ring[(position + step * distance) % len(ring)]
            if name != self.name and self.is_live(name):
                yield name
                return

    def cross_links(self, index: int) -> list[str]:
        """Return the readers of other domains that are neighbours of a reader.

        The reader is given by its index in the ranking of this node's domain.
        """
        ring = self.domain_rings[index]
        if self.domain not in ring:
            return []
        position = ring.index(self.domain)
        links: dict[str, None] = {}
        for step in (1, -1):
            domain = ring[(position + step) % len(ring)]
            readers = self.readers(domain)
            if domain != self.domain and readers:
                links[readers[min(index, len(readers) - 1)]] = None
        return list(links)

    def remote_readers(self) -> list[str]:
        """Return the readers of all other domains, which a joining node may query."""
        return [
            name
            for domain in self.ranked
            if domain != self.domain
            for name in self.readers(domain)
        ]

    def in_own_domain(self, address: str) -> bool:
        """Return whether the node at an address is in the domain of this node."""
        name = self.names_by_address.get(address)
        return name is not None and self.peers[name].domain == self.domain

    def addresses(self, names: Iterable[str]) -> list[str]:
        """Return the peer addresses of the configured nodes among some names."""
        return [self.peers[name].address for name in names if name in self.peers]
