"""Rate limit that a target states for the calls of all relays together.

A target can be reached only through the relay beside it, so that relay alone can keep
the limit for all callers, whatever they know. It learns the limit from the target's
answers. A relay that has just started knows no answer yet; until the first one it takes
the limit that other relays remember.
"""

import math

__all__ = ["UNLIMITED", "RateLimiter"]

UNLIMITED = math.inf
"""Rate of a target that states no limit, in calls per second."""
BURST_S = 0.25
"""Time whose calls may start at once after a time without calls."""
MIN_BURST_CALLS = 1.0
MIN_RATE = 0.2
"""Calls per second that a target with a lower limit gets, to notice when it ends."""


class RateLimiter:
    """Token bucket for the calls to one target.

    Attributes
    ----------
    rate : float or None
        Limit in calls per second, `UNLIMITED` if the target states none, None if it is
        not known.
    confirmed : bool
        Whether the target itself has stated the rate to this relay.
    """

    def __init__(self) -> None:
        self.reset()

    def reset(self) -> None:
        """Forget the limit, as the target has been replaced by another one."""
        self.rate: float | None = None
        self.confirmed = False
        self.stated_at = -math.inf
        self.tokens = 0.0
        self.refilled_at = 0.0

    @property
    def limited(self) -> bool:
        """Whether the target is known to state a limit."""
        return self.rate is not None and self.rate < UNLIMITED

    @property
    def effective_rate(self) -> float:
        """Calls per second that may start."""
        return max(MIN_RATE, self.rate) if self.rate is not None else UNLIMITED

    @property
    def utilization(self) -> float:
        """Fraction of the burst that recent calls have used, 0 without a limit."""
        if not self.limited:
            return 0.0
        return 1.0 - min(1.0, max(0.0, self.tokens) / self._burst())

    def record_statement(self, now: float, rate: float, *, sent_at: float) -> None:
        """Take over the rate that the target stated in its answer to a call.

        The end of a limit is only taken from the answer to a call that was sent after
        the limit was last stated, as answers on several connections can arrive out of
        order.
        """
        if rate == UNLIMITED and self.limited and sent_at <= self.stated_at:
            return
        self.confirmed = True
        self.stated_at = now
        self._set_rate(now, rate)

    def adopt(self, now: float, rate: float) -> None:
        """Take over the rate that another relay remembers, until the target answers.

        Of several the lowest counts, as it is not known which one is the latest.
        """
        if self.confirmed:
            return
        self.stated_at = now
        self._set_rate(now, rate if self.rate is None else min(self.rate, rate))

    def refill(self, now: float) -> None:
        """Add the tokens of the time that has passed."""
        if self.limited:
            earned = (now - self.refilled_at) * self.effective_rate
            self.tokens = min(self._burst(), self.tokens + max(0.0, earned))
        self.refilled_at = now

    def take(self, now: float) -> bool:
        """Take the token of a call that starts; return whether there was one."""
        if not self.limited:
            return True
        self.refill(now)
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True

    def delay(self, now: float, ahead: int) -> float:
        """Return the seconds until a call with `ahead` calls before it may start."""
        if not self.limited:
            return 0.0
        self.refill(now)
        return max(0.0, ahead + 1.0 - self.tokens) / self.effective_rate

    def _set_rate(self, now: float, rate: float) -> None:
        if not self.limited:
            # Calls of the time without a limit have left no tokens.
            self.tokens = 0.0
            self.refilled_at = now
        else:
            self.refill(now)
        self.rate = rate
        if self.limited:
            self.tokens = min(self.tokens, self._burst())

    def _burst(self) -> float:
        return max(MIN_BURST_CALLS, BURST_S * self.effective_rate)
