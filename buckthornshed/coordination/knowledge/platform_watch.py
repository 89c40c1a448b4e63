"""Schedule of the platform reads of a node."""

from ...protocol.peer_messages import NO_VERSION, Version
from ...protocol.published_values import HEAD, SET, delta_key
from .fleet_actions import ReadValue, Rng

__all__ = ["HEAD", "SET", "PlatformWatch", "delta_key"]

WATCH_TIMEOUT_S = 20.0
"""Time that a watch of the head waits at the platform for a change."""

WATCH_INTERVAL_S = (0.4, 0.6)
"""Range of the interval between watches, which bounds the reads in a burst."""

FAILURE_RETRY_DELAY_S = (1.0, 4.0)
"""Range of the delay before a failed read is retried."""

MISSING_DELTA_DELAY_S = (0.05, 0.2)
"""Range of the delay before the whole set is read in place of a missing delta."""

FETCH_DELAY_S = (0.5, 1.5)
"""Range of the delay before a reader other than the primary fetches.

In this time it may receive the new generation from its peers.
"""

MAX_DELTAS_FETCHED = 8
"""Maximum number of deltas in a fetch; beyond it the whole set is read."""

MAX_DELTAS_BY_PRIMARY = 64
"""Maximum number of deltas in a fetch by the primary.

The limit is higher because deltas from the primary spare other nodes whole sets.
"""

CONTACT_TIMEOUT_S = 30.0
"""Age of the last contact with the platform after which non-readers try to read."""

FALLBACK_INTERVAL_S = 1.0
"""Mean interval between the read attempts of all non-readers in one domain."""

FALLBACK_READ_S = 60.0
"""Time that a node acts as a reader after a successful fallback read."""


class PlatformWatch:
    """Schedule platform reads, with at most one watch and one fetch at a time.

    Parameters
    ----------
    rng : Rng
        Source of jitter.
    """

    def __init__(self, *, rng: Rng) -> None:
        self.rng = rng
        self.head = NO_VERSION
        self.head_revision = 0
        self.last_contact_at = 0.0
        self.watching = False
        self.fetching: set[str] = set()
        self.fetch_whole = False
        self.primary = False
        self.next_watch_at = 0.0
        self.next_fetch_at = 0.0
        self.fallback_at: float | None = None
        self.fallback_until = 0.0

    def start(self, now: float) -> None:
        """Start the schedule; the start counts as contact with the platform."""
        self.last_contact_at = now
        self.next_watch_at = now

    def record_contact(self, now: float, age: float) -> None:
        """Record a contact of the domain with the platform ``age`` seconds ago."""
        self.last_contact_at = max(self.last_contact_at, now - age)

    def start_watch(
        self, now: float, *, reader: bool, domain_size: int
    ) -> list[ReadValue]:
        """Return the watch to start now, if any."""
        if self.watching or now < self.next_watch_at:
            return []
        wanted = reader or now < self.fallback_until
        if not wanted and not self.is_fallback_due(now, domain_size):
            return []
        self.watching = True
        wait = WATCH_TIMEOUT_S if wanted else 0.0
        return [ReadValue(HEAD, after=self.head_revision, wait=wait)]

    def is_fallback_due(self, now: float, domain_size: int) -> bool:
        """Return whether this node attempts a fallback read for its domain.

        Fallback reads happen when the domain had no contact with the platform for
        ``CONTACT_TIMEOUT_S``. Each node draws a time within as many seconds as the
        domain has nodes, so that the domain makes about one attempt a second.
        """
        if now - self.last_contact_at < CONTACT_TIMEOUT_S:
            self.fallback_at = None
            return False
        if self.fallback_at is None:
            span = max(1, domain_size) * FALLBACK_INTERVAL_S
            self.fallback_at = now + self.rng.uniform(0.0, span)
        if now < self.fallback_at:
            return False
        self.fallback_at = None
        return True

    def handle_watch_answer(self, now: float, version: int) -> None:
        """Handle an answer of the platform to a watch."""
        if now - self.last_contact_at >= CONTACT_TIMEOUT_S:
            self.fallback_until = now + FALLBACK_READ_S
        self.last_contact_at = now
        self.head_revision = version
        self.watching = False
        self.next_watch_at = now + self.rng.uniform(*WATCH_INTERVAL_S)

    def handle_failure(self, now: float, key: str) -> None:
        """Schedule the retry of a failed read."""
        if key == HEAD:
            self.watching = False
            self.next_watch_at = now + self.rng.uniform(*FAILURE_RETRY_DELAY_S)
            return
        self.record_fetched(key)
        # A generation may have no delta; the next fetch then reads the whole set.
        delay_range = FAILURE_RETRY_DELAY_S if key == SET else MISSING_DELTA_DELAY_S
        self.next_fetch_at = now + self.rng.uniform(*delay_range)

    def handle_new_head(
        self, now: float, head: Version, in_force: Version, *, primary: bool
    ) -> None:
        """Schedule the fetch of a head that is newer than the version in force."""
        if head == self.head:
            return
        delay = 0.0 if primary else self.rng.uniform(*FETCH_DELAY_S)
        # A scheduled fetch is not postponed, or a burst would delay it repeatedly.
        behind = self.head.generation > in_force.generation
        self.next_fetch_at = (
            min(self.next_fetch_at, now + delay) if behind else now + delay
        )
        self.head = head
        self.primary = primary
        self.fetch_whole = False

    def start_fetch(self, now: float, in_force: Version) -> list[ReadValue]:
        """Return the reads that lead from the version in force to the head, if due."""
        missing = self.head.generation - in_force.generation
        if missing <= 0 or self.fetching or now < self.next_fetch_at:
            return []
        limit = MAX_DELTAS_BY_PRIMARY if self.primary else MAX_DELTAS_FETCHED
        whole = self.fetch_whole or missing > limit
        generations = range(in_force.generation + 1, self.head.generation + 1)
        keys = [SET] if whole else [delta_key(number) for number in generations]
        # If these values do not lead to the head, the next fetch reads the whole set.
        self.fetch_whole = True
        self.next_fetch_at = now + self.rng.uniform(*FAILURE_RETRY_DELAY_S)
        self.fetching = set(keys)
        return [ReadValue(key) for key in keys]

    def schedule_whole_fetch(self, now: float) -> None:
        """Schedule a fetch of the whole set after deltas with a digest mismatch."""
        self.fetch_whole = True
        self.next_fetch_at = now + self.rng.uniform(*FETCH_DELAY_S)

    def record_fetched(self, key: str) -> bool:
        """Record the end of the read of a value; return whether no read is pending."""
        self.fetching.discard(key)
        return not self.fetching

    def due(self, in_force: Version, *, reader: bool) -> float:
        """Return the next time at which a read may be due."""
        times = []
        if not self.watching:
            times.append(self.next_watch_at if reader else self.fallback_due())
        if self.head.generation > in_force.generation and not self.fetching:
            times.append(self.next_fetch_at)
        return min(times, default=float("inf"))

    def fallback_due(self) -> float:
        """Return when a node that is not a reader may have to attempt a read."""
        due = (
            self.last_contact_at + CONTACT_TIMEOUT_S
            if self.fallback_at is None
            else self.fallback_at
        )
        return max(due, self.next_watch_at)
