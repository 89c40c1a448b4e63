"""Validation of configuration sets before they come into force on a node."""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from ...errors import BuckthornshedError, ConfigurationError
from ...protocol.peer_messages import Delta, Version
from .config_log import ConfigLog, apply_deltas, compute_delta
from .fleet_actions import Formats, Report
from .joining import Candidate

__all__ = ["MIN_APPLY_INTERVAL_S", "Acceptance", "Accepted", "Rejected"]

MIN_APPLY_INTERVAL_S = 0.2
"""Minimum time between two validations, so that a burst is validated in batches."""

MAX_PENDING = 4_096
"""Maximum number of deltas that are held until the deltas before them arrive."""

MAX_REJECTED = 16
"""Maximum number of rejected versions that are remembered."""


class Accepted(NamedTuple):
    """Result of a chain that was applied to ``base``.

    An empty ``source`` stands for the platform.
    """

    chain: tuple[Delta, ...]
    source: str
    base: Version


class Rejected(NamedTuple):
    """Result of a chain that was rejected."""

    report: Report
    source: str


class Acceptance:
    """Hold the configuration set in force and replace it only by a newer valid one.

    A set is valid if the digest over the whole set matches and the configuration check
    accepts it. Two sets with the same generation and different digests conflict: the
    one in force stays, and the conflict is reported.

    Parameters
    ----------
    formats : Formats
        Functions that decode and validate sets.
    """

    def __init__(self, *, formats: Formats) -> None:
        self.formats = formats
        self.log = ConfigLog()
        self.pending: dict[int, tuple[Delta, str]] = {}
        self.rejected_versions: dict[Version, str] = {}
        self.conflicting_version: Version | None = None
        self.next_apply_at = 0.0

    @property
    def version(self) -> Version:
        """The version in force."""
        return self.log.version

    def check_conflict(self, version: Version) -> list[Report]:
        """Report a version that conflicts with the one in force.

        The conflict that was reported last is not reported again.
        """
        same_generation = version.generation == self.version.generation
        if not same_generation or version in (self.version, self.conflicting_version):
            return []
        self.conflicting_version = version
        detail = (
            f"generation {version.generation} has digest"
            f" {self.version.digest.hex()} here and {version.digest.hex()} elsewhere;"
            " publish a higher generation"
        )
        return [Report("conflict", self.version, detail)]

    def add_pending(self, deltas: Iterable[Delta], source: str) -> list[Report]:
        """Add newer deltas to the pending ones and report conflicting versions."""
        reports: list[Report] = []
        for delta in deltas:
            reports += self.check_conflict(delta.version)
            is_newer = delta.generation > self.version.generation
            is_increasing = delta.generation > delta.base_generation
            if is_newer and is_increasing and len(self.pending) < MAX_PENDING:
                self.pending.setdefault(delta.base_generation, (delta, source))
        return reports

    def applicable_chain(self) -> list[Delta]:
        """Return the pending deltas that form a chain from the version in force."""
        chain: list[Delta] = []
        generation = self.version.generation
        while generation in self.pending:
            chain.append(self.pending[generation][0])
            generation = chain[-1].generation
        return chain

    def can_reach(self, generation: int) -> bool:
        """Return whether the pending deltas lead to a generation.

        This also holds for generations up to the one in force.
        """
        if generation <= self.version.generation:
            return True
        return any(delta.generation == generation for delta in self.applicable_chain())

    def has_applicable(self) -> bool:
        """Return whether a pending delta applies to the version in force."""
        return self.version.generation in self.pending

    def apply(self, now: float) -> Accepted | Rejected | None:
        """Validate and apply the pending chain once the minimum interval has passed."""
        if now < self.next_apply_at or not self.has_applicable():
            return None
        self.next_apply_at = now + MIN_APPLY_INTERVAL_S
        chain = self.applicable_chain()
        last = chain[-1]
        source = self.pending[last.base_generation][1]
        base = self.version
        objects = apply_deltas(self.log.objects, chain)
        report = self.validate(last.version, objects)
        if report is None:
            self.advance(objects, chain)
            return Accepted(tuple(chain), source, base)
        # A rejection by the check concerns only the last version; a digest mismatch
        # may come from any delta of the chain.
        dropped = [last] if report.notice == "refused" else chain
        for delta in dropped:
            del self.pending[delta.base_generation]
        return Rejected(report, source)

    def validate(self, version: Version, objects: Mapping[str, bytes]) -> Report | None:
        """Verify the digest and run the check.

        Returns
        -------
        Report or None
            Why the set is invalid, ``None`` for a valid set.
        """
        if version in self.rejected_versions:
            return Report("refused", version, self.rejected_versions[version])
        digest = self.formats.digest(objects)
        if digest != version.digest:
            detail = f"computed digest is {digest.hex()}"
            return Report("digest_mismatch", version, detail)
        try:
            self.formats.check(objects)
        except BuckthornshedError as error:
            self.rejected_versions[version] = str(error)
            if len(self.rejected_versions) > MAX_REJECTED:
                del self.rejected_versions[next(iter(self.rejected_versions))]
            return Report("refused", version, str(error))
        return None

    def decode_set(self, body: bytes) -> Candidate:
        """Decode and validate a whole set.

        Raises
        ------
        BuckthornshedError
            If the set cannot be decoded, its digest does not match, or the check
            rejects it.
        """
        version, objects = self.formats.decode_set(body)
        report = self.validate(version, objects)
        if report is not None:
            raise ConfigurationError(
                subject=f"generation {version.generation}",
                found=f"{report.notice}: {report.detail}",
                expected="a valid configuration set",
            )
        return Candidate(version, objects)

    def replace_set(self, candidate: Candidate) -> tuple[Delta, ...]:
        """Put a whole set in force if its generation is higher.

        Returns
        -------
        tuple of Delta
            The delta to the new set; empty if its generation is not higher.
        """
        old = self.log
        delta = compute_delta(
            old.objects, candidate.objects, old.version, candidate.version
        )
        return (delta,) if self.advance(candidate.objects, [delta]) else ()

    def initialize(self, candidate: Candidate) -> None:
        """Put the first set in force; has no effect if one is in force already."""
        self.log.initialize(candidate.version, candidate.objects)

    def advance(self, objects: Mapping[str, bytes], chain: list[Delta]) -> bool:
        """Put a valid set in force and discard the state that it supersedes.

        Returns
        -------
        bool
            Whether the generation increased.
        """
        if not self.log.advance(objects, chain):
            return False
        generation = self.version.generation
        if (
            self.conflicting_version is not None
            and self.conflicting_version.generation < generation
        ):
            self.conflicting_version = None
        self.pending = {
            base: entry
            for base, entry in self.pending.items()
            if entry[0].generation > generation
        }
        return True
