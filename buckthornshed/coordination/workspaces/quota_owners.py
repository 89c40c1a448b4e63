"""Which relay accounts for the quota of a workspace.

All relays order the instances of the fleet for each workspace in the same way
(rendezvous hashing). The first one that a relay can reach is the owner for it. Relays
that cannot reach each other have different owners, each of which grants the part of
the quota that is due to the relays on its side.
"""

import zlib
from collections.abc import Callable, Iterable
from heapq import nsmallest

__all__ = ["QuotaOwners"]

PHASE_STEP = (5.0**0.5 - 1.0) / 2.0
"""Difference of the phases of consecutive relays, the golden ratio's fraction."""
CANDIDATES = 8
"""Owners that are ordered at once; the others only if none of these can be reached."""


class QuotaOwners:
    """Order of the possible owners of each workspace's quota.

    Parameters
    ----------
    instance : str
        Instance of this relay.
    is_reachable : callable
        Returns whether the relay on another instance can be asked.

    Attributes
    ----------
    instances : frozenset of str
        All instances of the fleet, with this one.
    phase : float
        Part of a token that this relay holds at first. The phases of all relays spread
        evenly over an interval, so that as many relays hold a whole token as the parts
        of all relays allow.
    reachable_part : float
        Part of them that this relay can reach, with itself, at the latest `refresh`.
    """

    def __init__(self, *, instance: str, is_reachable: Callable[[str], bool]) -> None:
        self.instance = instance
        self.is_reachable = is_reachable
        self.instances = frozenset({instance})
        self.candidates: dict[str, list[str]] = {}
        self.phase = 0.0
        self.reachable_part = 1.0

    def set_instances(self, instances: Iterable[str]) -> None:
        """Set the instances of the fleet."""
        known = frozenset({*instances, self.instance})
        if known != self.instances:
            self.instances = known
            self.candidates.clear()
            rank = sorted(known).index(self.instance)
            self.phase = rank * PHASE_STEP % 1.0
            self.refresh()

    def owner(self, workspace: str) -> str:
        """Return the first instance that can be reached; this one if there is none."""
        candidates = self.candidates.get(workspace)
        if candidates is None:
            candidates = self._order(workspace, CANDIDATES)
            self.candidates[workspace] = candidates
        for each in candidates:
            if self._is_available(each):
                return each
        everyone = self._order(workspace, len(self.instances))
        return next(filter(self._is_available, everyone), self.instance)

    def refresh(self) -> None:
        """Count the relays that can be reached."""
        reachable = sum(map(self._is_available, self.instances))
        self.reachable_part = reachable / len(self.instances)

    def _order(self, workspace: str, count: int) -> list[str]:
        return nsmallest(
            count,
            self.instances,
            key=lambda each: (zlib.crc32(f"{each}|{workspace}".encode()), each),
        )

    def _is_available(self, instance: str) -> bool:
        return instance == self.instance or self.is_reachable(instance)
