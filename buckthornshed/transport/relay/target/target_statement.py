"""What a target states about itself in the headers of an answer."""

import math
from typing import NamedTuple

from ....coordination.relay.limiter.rate_limiter import UNLIMITED
from ....protocol.http import get_header
from ....protocol.messages import Headers
from ....protocol.relay_messages import HeaderNames
from ...logs import log_event

__all__ = ["TargetStatement", "read_statement"]

LEAVING_VALUE = b"1"
LOGGED_LIMIT_CHANGE = 0.2
"""Relative change of a limit from which it is logged again."""


class TargetStatement(NamedTuple):
    """Statements of one answer.

    Parameters
    ----------
    rate_limit : float or None
        Requests per second that the target takes from all relays together; infinite if
        it states no limit. None if it is unreadable, which shows neither a limit nor
        the end of one.
    leaving : bool
        Whether the target is about to stop.
    """

    rate_limit: float | None = UNLIMITED
    leaving: bool = False

    def differs_clearly(self, other: "TargetStatement") -> bool:
        """Return whether another statement differs by more than a small change."""
        if self.leaving != other.leaving:
            return True
        if self.rate_limit is None or other.rate_limit is None:
            return False
        tolerance = LOGGED_LIMIT_CHANGE
        return not math.isclose(self.rate_limit, other.rate_limit, rel_tol=tolerance)


def read_statement(headers: Headers, names: HeaderNames) -> TargetStatement:
    """Return what a target states in an answer."""
    value = get_header(headers, names.rate_limit)
    leaving = get_header(headers, names.leaving) == LEAVING_VALUE
    if value is None:
        return TargetStatement(leaving=leaving)
    rate_limit = _parse_rate(value)
    if rate_limit is None:
        log_event("target_limit_unreadable", limit=value.decode("latin-1"))
    return TargetStatement(rate_limit, leaving)


def _parse_rate(value: bytes) -> float | None:
    try:
        rate = float(value)
    except ValueError:
        return None
    return rate if math.isfinite(rate) and rate >= 0.0 else None
