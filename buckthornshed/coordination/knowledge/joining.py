"""Bootstrap of a node: how it obtains its first configuration set.

The node queries the seed nodes from its settings and reads the platform if none of
them has a set. It then queries the neighbours that the obtained set names, and puts the
set with the highest generation in force. A stale platform therefore cannot bring back
an older set while a node with a newer one is reachable.
"""

import math
from collections.abc import Callable, Iterable, Mapping
from enum import Enum, auto
from typing import NamedTuple

from ...protocol.peer_messages import NO_VERSION, Digest, Pull, Version
from .fleet_actions import Action, Priority, ReadValue, Report, Rng, Send
from .platform_watch import SET
from .survey import Survey

__all__ = ["Candidate", "JoinStep", "Joining"]

MAX_SEEDS_QUERIED = 8
"""Maximum number of seed nodes that are queried at a time."""

COLD_START_SPREAD_S = 6.0
"""Time over which platform reads are spread while the queried nodes have no set."""

COLD_START_DOUBLINGS = 10
"""Number of times that the rate of these reads doubles during the spread."""

NO_PEERS_SPREAD_S = 1.0
"""Time over which platform reads are spread when no other node answers."""

READ_TIMEOUT_S = 5.0
"""Timeout of a read of the platform's set."""

READ_RETRY_S = (1.0, 4.0)
"""Range of the delay before the platform is read again after a failed read."""

PULL_TIMEOUT_S = 3.0
"""Timeout of a pull of a whole set from another node."""

SURVEY_INTERVAL_S = 0.4
"""Interval between two surveys while the queried nodes have no set."""


class JoinStep(Enum):
    """Current step of a node that has no set in force."""

    SURVEYING = auto()
    PULLING = auto()
    BACKOFF = auto()
    DELAYING_READ = auto()
    READING_PLATFORM = auto()
    DONE = auto()


class Candidate(NamedTuple):
    """A valid set that is not in force yet."""

    version: Version
    objects: Mapping[str, bytes]


class Joining:
    """Obtain the first configuration set of a node.

    Parameters
    ----------
    seeds : tuple of str
        Addresses of seed nodes, from the settings.
    rng : Rng
        Source of random samples and jitter.
    """

    def __init__(self, *, seeds: tuple[str, ...], rng: Rng) -> None:
        self.seeds = list(seeds)
        self.rng = rng
        self.step = JoinStep.SURVEYING
        self.survey = Survey()
        self.candidate = Candidate(NO_VERSION, {})
        self.due = 0.0
        self.pull_source = ""
        self.read_at: float | None = None

    def start(self, now: float) -> list[Action]:
        """Query a random sample of the seed nodes."""
        count = min(MAX_SEEDS_QUERIED, len(self.seeds))
        return self.survey_nodes(now, self.rng.sample(self.seeds, count))

    def survey_nodes(self, now: float, addresses: Iterable[str]) -> list[Action]:
        """Query nodes for the versions that they have in force."""
        self.step = JoinStep.SURVEYING
        queried = self.survey.begin(now, addresses)
        self.due = self.survey.deadline
        message = Digest(NO_VERSION, float("inf"), reply=True)
        return [Send(address, message, Priority.DIGEST) for address in queried]

    def tick(self, now: float) -> list[Action]:
        """Perform the next step if it is due."""
        if self.step is JoinStep.SURVEYING and self.survey.complete(now):
            self.due = now
        if self.step is JoinStep.DONE or now < self.due:
            return []
        return STEP_HANDLERS[self.step](self, now)

    def handle_survey(self, now: float) -> list[Action]:
        """Choose the next step from the result of the survey.

        A version higher than the candidate is pulled. Otherwise the candidate is final,
        or, without a candidate, a read of the platform is scheduled.
        """
        best = self.survey.best()
        if best.generation > self.candidate.version.generation:
            return self.pull(now, best)
        if self.candidate.version != NO_VERSION:
            self.step = JoinStep.DONE
            return []
        if self.read_at is None:
            self.read_at = now + self.platform_read_delay()
        self.step = JoinStep.DELAYING_READ
        self.due = min(self.read_at, now + SURVEY_INTERVAL_S)
        return []

    def platform_read_delay(self) -> float:
        """Return the delay before this node reads the platform.

        The density of the delays grows exponentially. When a whole fleet starts, only
        a few nodes read early, whatever its size, and the others obtain the set from
        them; in a small fleet the first read still comes soon.
        """
        if not self.survey.versions:
            return self.rng.uniform(0.0, NO_PEERS_SPREAD_S)
        drawn = self.rng.uniform(1.0, 2.0**COLD_START_DOUBLINGS)
        return COLD_START_SPREAD_S * math.log2(drawn) / COLD_START_DOUBLINGS

    def pull(self, now: float, version: Version) -> list[Action]:
        """Pull the whole set from a random node that has a version in force."""
        self.step = JoinStep.PULLING
        self.pull_source = self.rng.sample(self.survey.holders(version), 1)[0]
        self.due = now + PULL_TIMEOUT_S
        return [Send(self.pull_source, Pull(NO_VERSION), Priority.CONFIGURATION)]

    def handle_pull_failure(self, now: float) -> list[Action]:
        """Exclude a node that did not answer a pull and choose the next step."""
        self.survey.discard(self.pull_source)
        return self.handle_survey(now)

    def handle_busy(self, now: float, address: str, retry_after: float) -> None:
        """Back off before the next pull."""
        if self.step is JoinStep.PULLING and address == self.pull_source:
            self.step = JoinStep.BACKOFF
            self.due = now + min(retry_after, PULL_TIMEOUT_S)

    def handle_unreachable(self, now: float, address: str) -> None:
        """Exclude an unreachable node from the survey."""
        self.survey.discard(address)
        if self.step is JoinStep.PULLING and address == self.pull_source:
            self.due = now

    def handle_wait_end(self, now: float) -> list[Action]:
        """Read the platform if it is time to; query the seed nodes again otherwise."""
        if self.read_at is None or now < self.read_at:
            return self.start(now)
        self.step = JoinStep.READING_PLATFORM
        self.due = now + READ_TIMEOUT_S
        return [ReadValue(SET)]

    def handle_read_failure(self, now: float) -> list[Action]:
        """Report that no set was found and schedule another attempt."""
        self.read_at = now + self.rng.uniform(*READ_RETRY_S)
        self.step = JoinStep.DELAYING_READ
        self.due = now
        detail = "neither another node nor the platform provided a set"
        return [Report("no_source", NO_VERSION, detail)]

    def handle_candidate(
        self, now: float, candidate: Candidate, peers: Iterable[str]
    ) -> list[Action]:
        """Query nodes that an obtained set names for a higher version."""
        if candidate.version.generation > self.candidate.version.generation:
            self.candidate = candidate
        return self.survey_nodes(now, peers)


STEP_HANDLERS: dict[JoinStep, Callable[[Joining, float], list[Action]]] = {
    JoinStep.SURVEYING: Joining.handle_survey,
    JoinStep.PULLING: Joining.handle_pull_failure,
    JoinStep.BACKOFF: Joining.handle_survey,
    JoinStep.DELAYING_READ: Joining.handle_wait_end,
    JoinStep.READING_PLATFORM: Joining.handle_read_failure,
}
