"""Admission of suspected requests at the target beside a relay."""

from collections.abc import Hashable

from ....protocol.relay_messages import RefusalReason
from ....state.catalog import Release
from .crash_suspects import CrashSuspects, Handling

__all__ = ["SuspectIsolation"]


class SuspectIsolation:
    """Keeps quarantined requests from the target, and isolated ones from suspects.

    An isolated request is suspected of several crashes. If its target crashes, no other
    suspect is to be there, so that the crash shows which of them it was.

    Attributes
    ----------
    admitted : dict
        Fingerprints of the calls that are queued or run, by key; those that began
        before any request was suspected are missing.
    isolated : hashable or None
        Key of the isolated call among them.
    """

    def __init__(self, *, suspects: CrashSuspects) -> None:
        self.suspects = suspects
        self.admitted: dict[Hashable, bytes] = {}
        self.isolated: Hashable | None = None

    def refusal(
        self, now: float, key: Hashable, fingerprint: bytes, release: Release
    ) -> RefusalReason | None:
        """Return why a call may not run now; None if it may."""
        handling = self.suspects.handling(now, fingerprint, release)
        if handling is Handling.REFUSED:
            return RefusalReason.QUARANTINED
        if not self._is_compatible(key, fingerprint, handling):
            return RefusalReason.ISOLATED
        if handling is Handling.ISOLATED:
            self.isolated = key
        self.admitted[key] = fingerprint
        return None

    def end(self, key: Hashable) -> None:
        """Record the end of a call, whether it ran or not."""
        self.admitted.pop(key, None)
        if self.isolated == key:
            self.isolated = None

    def _is_compatible(
        self, key: Hashable, fingerprint: bytes, handling: Handling
    ) -> bool:
        """Return whether a call may run beside those that were admitted before."""
        if handling is Handling.ISOLATED:
            return not any(
                self.suspects.is_suspected(other)
                for other_key, other in self.admitted.items()
                if other_key != key
            )
        alone = self.isolated is None or self.isolated == key
        return alone or not self.suspects.is_suspected(fingerprint)
