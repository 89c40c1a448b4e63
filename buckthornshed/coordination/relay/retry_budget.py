"""Retry budget that bounds the retries of a service over the fleet.

The relays share no state. Each may retry a fixed ratio of the requests that it sent
itself, so that the fleet retries the same ratio of all requests, plus an equal part of
a fixed slack. A retried run repeats its downstream calls; they count as retries of the
downstream services and leave less budget for retries of the relay's own.

A bucket holds the tokens of a part of the limit's window, as failures come in bursts.
While more calls fail than may be retried, the last tokens of a bucket can be reserved
for the retries that complete a request soonest.
"""

from collections import deque
from dataclasses import dataclass

from ...state.relay_settings import RetryLimits

__all__ = ["RetryBudget"]

RATIO_SHARE = 0.8
"""Fraction of the limit's ratio that is available to the relay's own retries."""
SLACK_SHARE = 0.3
"""Fraction of the limit's slack that is available to the relay's own retries."""
STEPS_PER_WINDOW = 20
BURST_FRACTION = 0.1
"""Fraction of the tokens earned in a window that a bucket holds.

The fraction counts twice, as a burst of retried runs repeats downstream calls, and with
`RATIO_SHARE` stays within the limit: 0.8 * (1 + 2 * 0.1) < 1.
"""


@dataclass(slots=True, kw_only=True)
class StepCount:
    """Requests of one step of the window, by the number of the step."""

    step: int
    requests: int = 0


class ServiceBudget:
    """Tokens of one relay for the retries of one service."""

    def __init__(self, *, tokens: float) -> None:
        self.tokens = tokens
        self.steps: deque[StepCount] = deque()
        self.requests = 0

    def count_request(self, step: int) -> None:
        """Count a request in a step of the window."""
        if not self.steps or self.steps[-1].step != step:
            self.steps.append(StepCount(step=step))
        self.steps[-1].requests += 1
        self.requests += 1

    def expire(self, step: int) -> None:
        """Forget the requests that are older than the window."""
        while self.steps and self.steps[0].step <= step - STEPS_PER_WINDOW:
            self.requests -= self.steps.popleft().requests


class RetryBudget:
    """Token buckets of one relay, by service.

    Parameters
    ----------
    limits : RetryLimits
        Limits of the whole fleet.
    """

    def __init__(self, *, limits: RetryLimits) -> None:
        self.set_limits(limits)
        self.relays = 1
        self.services: dict[str, ServiceBudget] = {}
        self.spent = 0
        self.denied = 0

    def set_limits(self, limits: RetryLimits) -> None:
        """Derive this relay's tokens from the limits of the fleet."""
        self.tokens_per_request = limits.ratio * RATIO_SHARE
        self.slack = limits.slack * SLACK_SHARE
        self.window = limits.window

    @property
    def capacity(self) -> float:
        """Tokens of an idle service: this relay's part of the slack, at least 1."""
        return max(1.0, self.slack / max(1, self.relays))

    def record_request(self, now: float, service: str) -> None:
        """Add the tokens for a request of a service that is not a retry."""
        budget = self._budget(now, service)
        budget.count_request(self._step(now))
        tokens = budget.tokens + self.tokens_per_request
        budget.tokens = min(tokens, self._limit(budget))

    def record_nested_retry(self, now: float, service: str) -> None:
        """Take a token for a call of a retried run.

        The call is not refused, so the balance may become negative.
        """
        self._budget(now, service).tokens -= 1.0

    def spend(self, now: float, service: str, *, reserve: float = 0.0) -> bool:
        """Take a token for one retry; return whether there was one.

        `reserve` is the fraction of a full bucket that is left to other retries.
        """
        budget = self._budget(now, service)
        if budget.tokens < max(1.0, reserve * self._limit(budget)):
            self.denied += 1
            return False
        budget.tokens -= 1.0
        self.spent += 1
        return True

    def _budget(self, now: float, service: str) -> ServiceBudget:
        budget = self.services.get(service)
        if budget is None:
            budget = self.services[service] = ServiceBudget(tokens=self.capacity)
        budget.expire(self._step(now))
        return budget

    def _step(self, now: float) -> int:
        return int(now * STEPS_PER_WINDOW / self.window)

    def _limit(self, budget: ServiceBudget) -> float:
        earned = budget.requests * self.tokens_per_request
        return max(self.capacity, BURST_FRACTION * earned)
