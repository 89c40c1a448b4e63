"""Deadlines: remaining time, propagation, and whether work can still meet them.

A deadline is a time of the local monotonic clock, in seconds. On the wire it is the
remaining time in milliseconds, so clocks of different instances are never compared.
"""

from math import floor

__all__ = [
    "can_finish",
    "downstream_deadline",
    "expired",
    "local_deadline",
    "remaining",
    "remaining_ms",
]

MARGIN_FRACTION = 0.02
"""Share of the remaining time that a call reserves for its own answer."""

MIN_MARGIN_S = 0.002
"""Minimum time that a call reserves for its own answer."""

MAX_MARGIN_S = 0.050
"""Maximum time that a call reserves for its own answer."""


def remaining(now: float, deadline: float) -> float:
    """Return the number of seconds until ``deadline``, at least 0."""
    return max(0.0, deadline - now)


def expired(now: float, deadline: float) -> bool:
    """Return whether ``deadline`` is reached."""
    return now >= deadline


def can_finish(now: float, deadline: float, service_time: float) -> bool:
    """Return whether work of ``service_time`` seconds can meet ``deadline``."""
    return now < deadline and now + service_time <= deadline


def downstream_deadline(now: float, deadline: float) -> float:
    """Return the deadline of a downstream call of a call with ``deadline``.

    It is earlier by a margin, which leaves the parent call time to answer.
    """
    margin = MARGIN_FRACTION * remaining(now, deadline)
    return deadline - min(MAX_MARGIN_S, max(MIN_MARGIN_S, margin))


def remaining_ms(now: float, deadline: float) -> int:
    """Return the remaining time in whole milliseconds, rounded down, for the wire."""
    return floor(remaining(now, deadline) * 1000)


def local_deadline(now: float, left_ms: int, max_timeout: float) -> float:
    """Return the local deadline of a call that arrived with ``left_ms`` remaining.

    Parameters
    ----------
    now : float
        Time at which the call was read, in seconds of the monotonic clock.
    left_ms : int
        Remaining milliseconds, from the wire.
    max_timeout : float
        Maximum timeout of the route, in seconds, which caps the remaining time.
    """
    return now + min(max(0, left_ms) / 1000, max_timeout)
