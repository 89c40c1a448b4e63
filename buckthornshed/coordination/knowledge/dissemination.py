"""Dissemination of configuration from the platform, through readers, to every node.

The generation in force on a node increases monotonically. A set comes into force after
the digest over the whole set was verified and the configuration check accepted it.
Until then, and if either fails, the previous set stays in force.
"""

from collections.abc import Callable, Iterable, Mapping
from enum import Enum, auto

from ...errors import BuckthornshedError
from ...protocol.peer_messages import (
    NO_VERSION,
    Delta,
    Digest,
    PeerMessage,
    Version,
)
from .acceptance import Acceptance, Accepted, Rejected
from .fleet_actions import (
    Action,
    Activate,
    Formats,
    Priority,
    Report,
    Rng,
    Send,
)
from .joining import Candidate, Joining, JoinStep
from .peer_handlers import MESSAGE_HANDLERS
from .platform_watch import HEAD, PlatformWatch
from .push import Push
from .repair import Repair
from .survey import Survey
from .topology import LivenessCheck, Topology
from .value_handlers import value_handler

__all__ = ["Dissemination", "Phase"]

DIGEST_INTERVAL_S = (0.8, 1.2)
"""Range of the interval between digests, which go to the neighbours in rotation."""

PAUSE_THRESHOLD_S = 2.0
"""A longer interval between two ticks means that the process was paused."""

MIN_TICK_INTERVAL_S = 0.005
"""Minimum time between two ticks."""

REFRESH_TIMEOUT_S = 3.0
"""Time after which a resumed node that could not refresh uses the set that it has."""

MAX_REMOTE_READERS_QUERIED = 8
"""Maximum number of readers in other domains that a joining node queries."""


class Phase(Enum):
    """State of a node's configuration: none yet, up to date, or being refreshed."""

    JOINING = auto()
    CURRENT = auto()
    REFRESHING = auto()


class Dissemination:
    """Decide which configuration set is in force on a node.

    Each event method takes ``now``, in seconds of a monotonic clock, and returns the
    actions that the caller must execute. The caller must call ``tick`` at ``due``.

    Parameters
    ----------
    name, domain, address : str
        Target name, failure domain and peer address of this node.
    seeds : tuple of str
        Addresses of nodes to query at the start.
    formats : Formats
        Functions that decode and validate published values.
    is_live : callable
        Returns whether the node of a given name is believed to be live.
    rng : Rng
        Source of random samples and jitter.
    """

    def __init__(
        self,
        *,
        name: str,
        domain: str,
        address: str,
        seeds: tuple[str, ...],
        formats: Formats,
        is_live: LivenessCheck,
        rng: Rng,
    ) -> None:
        self.name = name
        self.address = address
        self.formats = formats
        self.rng = rng
        self.phase = Phase.JOINING
        self.acceptance = Acceptance(formats=formats)
        self.topology = Topology(name=name, domain=domain, is_live=is_live)
        self.watch = PlatformWatch(rng=rng)
        self.joining = Joining(seeds=seeds, rng=rng)
        self.repair = Repair(formats=formats, log=self.acceptance.log, rng=rng)
        self.survey = Survey()
        self.peer_names_by_key: dict[str, str] = {}
        self.push = Push(log=self.acceptance.log, rng=rng)
        self.neighbours: list[str] = []
        self.neighbour_index = 0
        self.last_tick = 0.0
        self.next_digest_at = 0.0
        self.refresh_deadline = 0.0
        self.platform_failing = False
        self.due = 0.0

    @property
    def version(self) -> Version:
        """The version in force; ``NO_VERSION`` if there is none."""
        return self.acceptance.version

    @property
    def objects(self) -> Mapping[str, bytes]:
        """The objects in force."""
        return self.acceptance.log.objects

    @property
    def has_set(self) -> bool:
        """Whether a set is in force."""
        return self.phase is not Phase.JOINING

    @property
    def fresh(self) -> bool:
        """Whether a set is in force and was refreshed after the last pause."""
        return self.phase is Phase.CURRENT

    def start(self, now: float) -> list[Action]:
        """Start to join and to watch the platform."""
        self.last_tick = now
        self.watch.start(now)
        return self.with_due_actions(now, self.joining.start(now))

    def tick(self, now: float) -> list[Action]:
        """Perform the work that is due, after a refresh if the process was paused."""
        was_paused = now - self.last_tick > PAUSE_THRESHOLD_S
        self.last_tick = now
        return self.with_due_actions(now, self.begin_refresh(now) if was_paused else [])

    def receive(self, now: float, address: str, message: PeerMessage) -> list[Action]:
        """Handle a message from the node at an address."""
        handler = MESSAGE_HANDLERS.get(type(message))
        if handler is None or address == self.address:
            return []
        return self.with_due_actions(now, handler(self, now, address, message))

    def handle_unreachable(self, now: float, address: str) -> list[Action]:
        """Handle a message that could not be delivered to an address."""
        self.joining.handle_unreachable(now, address)
        self.survey.discard(address)
        self.repair.handle_unreachable(now, address)
        self.push.forget(address)
        return self.with_due_actions(now, [])

    def handle_value(
        self, now: float, key: str, version: int, body: bytes
    ) -> list[Action]:
        """Handle a value read from the platform, with its platform version."""
        self.platform_failing = False
        try:
            actions = value_handler(key)(self, now, body)
        except BuckthornshedError as error:
            self.watch.handle_failure(now, key)
            actions = [Report("unreadable_value", self.version, f"{key}: {error}")]
        if key == HEAD:
            self.watch.handle_watch_answer(now, version)
        else:
            self.watch.record_fetched(key)
        return self.with_due_actions(now, actions)

    def handle_unchanged(self, now: float) -> list[Action]:
        """Handle a watch of the head that ended without a change."""
        self.platform_failing = False
        self.watch.handle_watch_answer(now, self.watch.head_revision)
        return self.with_due_actions(now, [])

    def handle_read_failure(self, now: float, key: str, detail: str) -> list[Action]:
        """Handle a read that failed: absent value or unreachable platform."""
        actions: list[Action] = []
        if not self.platform_failing:
            detail = f"{key}: {detail}"
            actions.append(Report("platform_failed", self.version, detail))
        self.platform_failing = True
        self.watch.handle_failure(now, key)
        if self.joining.step is JoinStep.READING_PLATFORM:
            actions += self.joining.handle_read_failure(now)
        return self.with_due_actions(now, actions)

    # Work after each event.

    def with_due_actions(self, now: float, actions: list[Action]) -> list[Action]:
        """Add the actions that have become due and schedule the next tick."""
        actions = actions + PHASE_HANDLERS[self.phase](self, now)
        self.due = max(self.next_due(now), now + MIN_TICK_INTERVAL_S)
        return actions

    def next_due(self, now: float) -> float:
        """Return the time at which the next work is due."""
        if self.phase is Phase.JOINING:
            return min(self.joining.due, self.last_tick + PAUSE_THRESHOLD_S / 2)
        reader = self.topology.is_reader()
        times = [
            self.next_digest_at,
            self.push.due(),
            self.repair.retry_at,
            self.watch.due(self.resolved_version(), reader=reader),
        ]
        if self.acceptance.has_applicable():
            times.append(self.acceptance.next_apply_at)
        if self.phase is Phase.REFRESHING:
            surveying = now < self.survey.deadline
            times.append(self.survey.deadline if surveying else self.refresh_deadline)
        return min(times)

    def resolved_version(self) -> Version:
        """Return the version that needs no fetch.

        This is the platform's head if it was rejected, else the version in force.
        """
        head = self.watch.head
        return head if head in self.acceptance.rejected_versions else self.version

    def run_joining(self, now: float) -> list[Action]:
        """Continue to join; put the candidate in force once joining is done."""
        actions = self.joining.tick(now)
        if self.joining.step is not JoinStep.DONE:
            return actions
        self.phase = Phase.CURRENT
        candidate = self.joining.candidate
        self.acceptance.initialize(candidate)
        self.next_digest_at = now
        changed = frozenset(candidate.objects)
        actions.append(Activate(candidate.version, candidate.objects, changed))
        actions.append(Report("in_force", candidate.version))
        return actions + self.run_due(now)

    def run_refreshing(self, now: float) -> list[Action]:
        """Continue a refresh until it is complete or its deadline has passed.

        A refresh is complete when the survey is and no answer names a newer version.
        """
        behind = self.survey.best().generation > self.version.generation
        done = self.survey.complete(now) and not behind
        if not done and now < self.refresh_deadline:
            return self.run_due(now)
        self.phase = Phase.CURRENT
        actions = self.run_due(now)
        if not self.survey.versions:
            actions.append(Report("cut_off", self.version, "no neighbour answered"))
        return actions

    def run_due(self, now: float) -> list[Action]:
        """Apply deltas, retry a pull, send digests and pushes, and read, as due."""
        actions = self.apply_pending(now) + self.repair.retry(now)
        if now >= self.next_digest_at:
            actions += self.send_digest(now)
        reader = self.topology.is_reader()
        size = self.topology.domain_size()
        actions += self.watch.start_watch(now, reader=reader, domain_size=size)
        if now >= self.push.due():
            actions += self.push.take_due(now, self.digest(now))
        return actions + self.watch.start_fetch(now, self.resolved_version())

    def begin_refresh(self, now: float) -> list[Action]:
        """Query all neighbours for their versions after a pause of the process.

        The configuration does not count as fresh until the refresh ends.
        """
        actions: list[Action] = [Report("woken", self.version)]
        if self.phase is Phase.JOINING:
            return actions
        self.phase = Phase.REFRESHING
        self.refresh_deadline = now + REFRESH_TIMEOUT_S
        self.repair.pull_deadline = now
        self.watch.next_watch_at = min(self.watch.next_watch_at, now)
        self.update_neighbours()
        self.survey = Survey()
        queried = self.survey.begin(now, self.neighbours)
        message = self.digest(now, reply=True)
        return actions + [Send(each, message, Priority.DIGEST) for each in queried]

    # Digests.

    def digest(self, now: float, *, reply: bool = False) -> Digest:
        """Return a digest message with the version in force."""
        age = now - self.watch.last_contact_at
        return Digest(self.version, age, self.acceptance.conflicting_version, reply)

    def send_digest(self, now: float) -> list[Action]:
        """Send a digest to the next neighbour in rotation."""
        self.next_digest_at = now + self.rng.uniform(*DIGEST_INTERVAL_S)
        self.update_neighbours()
        if not self.neighbours:
            return []
        self.neighbour_index = (self.neighbour_index + 1) % len(self.neighbours)
        address = self.neighbours[self.neighbour_index]
        return [Send(address, self.digest(now), Priority.DIGEST)]

    def update_neighbours(self) -> None:
        """Recompute the neighbours and drop the known generations of other nodes."""
        self.neighbours = self.topology.addresses(self.topology.neighbours())
        self.push.retain(self.neighbours)

    # Sets and deltas.

    def accept_set(self, now: float, body: bytes, source: str = "") -> list[Action]:
        """Put a whole set from the platform or another node in force if it is newer.

        While the node joins, the set becomes a candidate instead.

        Raises
        ------
        BuckthornshedError
            If the set is invalid.
        """
        candidate = self.acceptance.decode_set(body)
        if self.phase is Phase.JOINING:
            return self.handle_candidate(now, candidate)
        reports: list[Action] = [*self.acceptance.check_conflict(candidate.version)]
        base = self.version
        chain = self.acceptance.replace_set(candidate)
        return reports + (self.announce(now, chain, source, base) if chain else [])

    def handle_candidate(self, now: float, candidate: Candidate) -> list[Action]:
        """Query nodes that a candidate set names for a higher version."""
        self.update_topology(
            candidate.objects, [*self.peer_names_by_key, *candidate.objects]
        )
        remote_readers = self.topology.remote_readers()
        count = min(MAX_REMOTE_READERS_QUERIED, len(remote_readers))
        names = self.topology.neighbours() + self.rng.sample(remote_readers, count)
        addresses = self.topology.addresses(names)
        return self.joining.handle_candidate(now, candidate, addresses)

    def apply_pending(self, now: float) -> list[Action]:
        """Apply the pending chain of deltas if it is due."""
        result = self.acceptance.apply(now)
        if isinstance(result, Accepted):
            return self.announce(now, *result)
        if isinstance(result, Rejected):
            return [result.report, *self.handle_rejection(now, result)]
        return []

    def handle_rejection(self, now: float, result: Rejected) -> list[Action]:
        """Request the whole set when a chain of deltas has a digest mismatch."""
        if result.report.notice != "digest_mismatch":
            return []
        if result.source:
            return self.repair.pull(now, result.source, NO_VERSION)
        self.watch.schedule_whole_fetch(now)
        return []

    def announce(
        self, now: float, chain: tuple[Delta, ...], source: str, base: Version
    ) -> list[Action]:
        """Announce the set that came into force and schedule pushes to neighbours."""
        changed: set[str] = set()
        for delta in chain:
            changed.update(delta.changed, delta.removed)
        self.update_topology(self.objects, changed)
        actions: list[Action] = [
            Activate(self.version, self.objects, frozenset(changed)),
            Report("in_force", self.version),
        ]
        self.push.schedule(now, base, self.neighbours, source)
        return actions

    def update_topology(
        self, objects: Mapping[str, bytes], changed: Iterable[str]
    ) -> None:
        """Update the topology with the nodes among the changed objects."""
        peers = []
        removed = []
        for key in changed:
            value = objects.get(key)
            peer = None if value is None else self.formats.peer(key, value)
            if peer is not None:
                peers.append(peer)
                self.peer_names_by_key[key] = peer.name
            elif key in self.peer_names_by_key:
                removed.append(self.peer_names_by_key.pop(key))
        self.topology.update(peers, removed)


PHASE_HANDLERS: dict[Phase, Callable[[Dissemination, float], list[Action]]] = {
    Phase.JOINING: Dissemination.run_joining,
    Phase.CURRENT: Dissemination.run_due,
    Phase.REFRESHING: Dissemination.run_refreshing,
}
