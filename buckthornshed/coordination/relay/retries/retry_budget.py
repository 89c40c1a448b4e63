"""Retry budget that bounds the retries of a service over the fleet.

The relays share no state. Each may retry a fixed ratio of the requests that it sent
itself, so that the fleet retries the same ratio of all requests, plus an equal part of
a fixed slack. A retried run repeats its downstream calls; they count as retries of the
downstream services and leave less budget for retries of the relay's own. The slack of a
service is therefore divided between the services whose runs call it.

A bucket holds the tokens of a part of the limit's window, as failures come in bursts.
While more calls fail than may be retried, the last tokens of a bucket can be reserved
for the retries that complete a request soonest.

A retry takes a whole token, but in a large fleet, or with little traffic, a relay may
hold less than one. A bucket for which that is so holds a whole token for the same
fraction of the time: it passes on to the next one unless the token is used. The buckets
of different relays start at different points, so that as many relays hold a token at
any time as the parts of all relays allow.
"""

from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass

from ....state.relay_settings import RetryLimits

__all__ = ["RetryBudget"]

RATIO_SHARE = 0.8
"""Fraction of the limit's ratio that is available to the relay's own retries."""
UNKNOWN_SLACK_PART = 0.3
"""Part of the slack that a service may use before downstream calls are known."""
STEPS_PER_WINDOW = 20
BURST_FRACTION = 0.1
"""Fraction of the tokens earned in a window that a bucket holds.

The fraction counts twice, as a burst of retried runs repeats downstream calls, and with
`RATIO_SHARE` stays within the limit: 0.8 * (1 + 2 * 0.1) < 1.
"""
DEBT_FRACTION = 0.5
"""Fraction of the tokens earned in a window that one retried run may use in advance."""
PHASE_STEP = (5.0**0.5 - 1.0) / 2.0
"""Difference of the starting points of consecutive relays.

The multiples of the golden ratio's fraction spread evenly over an interval, however
many there are.
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

    Attributes
    ----------
    rank : int
        Position of this relay among those of the fleet.
    relays : int
        Number of relays in the fleet.
    """

    def __init__(self, *, limits: RetryLimits) -> None:
        self.set_limits(limits)
        self.rank = 0
        self.relays = 1
        self.slack_parts: Mapping[str, float] = {}
        self.services: dict[str, ServiceBudget] = {}
        self.spent = 0
        self.denied = 0

    def set_limits(self, limits: RetryLimits) -> None:
        """Derive this relay's tokens from the limits of the fleet."""
        self.tokens_per_request = limits.ratio * RATIO_SHARE
        self.slack = limits.slack
        self.window = limits.window

    def set_slack_parts(self, parts: Mapping[str, float]) -> None:
        """Set the fraction of the slack that the retries of each service may use.

        Once any is known, a service without one may use the whole slack.
        """
        self.slack_parts = parts

    def slack_tokens(self, service: str) -> float:
        """Return this relay's part of the slack that retries of a service may use."""
        default = 1.0 if self.slack_parts else UNKNOWN_SLACK_PART
        part = self.slack_parts.get(service, default)
        return part * self.slack / max(1, self.relays)

    def record_request(self, now: float, service: str) -> None:
        """Add the tokens for a request of a service that is not a retry."""
        budget = self._budget(now, service)
        budget.count_request(self._step(now))
        tokens = budget.tokens + self.tokens_per_request
        capacity = self._capacity(budget, service)
        if capacity >= 1.0:
            tokens = min(tokens, capacity)
        elif tokens >= 1.0 + capacity:
            tokens -= 1.0
        budget.tokens = tokens

    def covers(self, now: float, calls: Mapping[str, float]) -> bool:
        """Return whether the calls of a retried run, by service, may be made.

        A run makes its calls without asking. It is begun only if earlier ones have left
        no debt, and if the requests of the latest window pay for its own.
        """
        for service, count in calls.items():
            budget = self._budget(now, service)
            earned = budget.requests * self.tokens_per_request
            allowed = self.slack_tokens(service) + DEBT_FRACTION * earned
            if budget.tokens < 1.0 or count > allowed:
                return False
        return True

    def record_nested_retry(self, now: float, service: str) -> None:
        """Take a token for a call of a retried run.

        The call is not refused, so the balance may become negative.
        """
        self._budget(now, service).tokens -= 1.0

    def has_token(self, now: float, service: str) -> bool:
        """Return whether there is a token for a retry."""
        return self._budget(now, service).tokens >= 1.0

    def spend(self, now: float, service: str, *, reserve: float = 0.0) -> bool:
        """Take a token for one retry; return whether there was one.

        `reserve` is the fraction of a full bucket that is left to other retries.
        """
        budget = self._budget(now, service)
        if budget.tokens < max(1.0, reserve * self._capacity(budget, service)):
            self.denied += 1
            return False
        budget.tokens -= 1.0
        self.spent += 1
        return True

    def _budget(self, now: float, service: str) -> ServiceBudget:
        budget = self.services.get(service)
        if budget is None:
            tokens = self._initial_tokens(self.slack_tokens(service))
            budget = self.services[service] = ServiceBudget(tokens=tokens)
        budget.expire(self._step(now))
        return budget

    def _initial_tokens(self, capacity: float) -> float:
        if capacity >= 1.0:
            return capacity
        return capacity + self.rank * PHASE_STEP % 1.0

    def _step(self, now: float) -> int:
        return int(now * STEPS_PER_WINDOW / self.window)

    def _capacity(self, budget: ServiceBudget, service: str) -> float:
        """Return the tokens that this relay may hold; the mean of them if below 1."""
        earned = budget.requests * self.tokens_per_request
        return self.slack_tokens(service) + BURST_FRACTION * earned
