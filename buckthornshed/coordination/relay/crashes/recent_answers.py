"""Requests that the target beside a relay has answered shortly before."""

from collections.abc import Iterable

__all__ = ["RecentAnswers"]

RECENT_S = 10.0
MAX_ANSWERED = 512


class RecentAnswers:
    """Excuses the requests that a target has answered from its next crash.

    Attributes
    ----------
    answered_at : dict
        Time of the latest answer by fingerprint, in seconds, oldest first.
    """

    def __init__(self) -> None:
        self.answered_at: dict[bytes, float] = {}

    def record(self, now: float, fingerprint: bytes) -> None:
        """Record an answer."""
        self.answered_at.pop(fingerprint, None)
        if len(self.answered_at) >= MAX_ANSWERED:
            del self.answered_at[next(iter(self.answered_at))]
        self.answered_at[fingerprint] = now

    def suspects(self, now: float, running: Iterable[bytes]) -> list[bytes]:
        """Return which of the requests that ran at a crash are suspected of it.

        Answers count once, so that a request that has become harmful is suspected of
        the next crash.
        """
        return [
            each
            for each in dict.fromkeys(running)
            if now - self.answered_at.pop(each, float("-inf")) >= RECENT_S
        ]
