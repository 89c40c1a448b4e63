"""Which requests are sent again: those with attempts, time, a target and a token."""

import math

from ....protocol.relay_messages import AnswerMessage, RefusalReason
from ....state.catalog import Route
from ....state.workspaces import route_part
from ..admission.controller import AdmissionController
from ..pending_request import PendingRequest
from ..placement.target_choice import TargetChoice
from ..refusal_reasons import FINAL_REASONS, FREE_RETRY_REASONS
from .retry_budget import RetryBudget

__all__ = ["RetryRules"]

MIN_RETRY_TIME_S = 0.02
"""Time to the deadline below which a request is not retried."""
MAX_CRASHED_ATTEMPTS = 2
"""Targets that one request may crash; further attempts could end the whole service."""


class RetryRules:
    """Decides whether a request is sent to another target after a call of it has ended.

    Parameters
    ----------
    budget : RetryBudget
        Limits retries.
    admission : AdmissionController
        Knows which requests are shed.
    target_choice : TargetChoice
        Knows the targets that are left for a request.
    """

    def __init__(
        self,
        *,
        budget: RetryBudget,
        admission: AdmissionController,
        target_choice: TargetChoice,
    ) -> None:
        self.budget = budget
        self.admission = admission
        self.target_choice = target_choice

    def take_retry(
        self, now: float, pending: PendingRequest, reason: RefusalReason
    ) -> bool:
        """Return whether a refused request is sent again; take the token for it."""
        retry_safe = pending.request.route.idempotent or not pending.may_have_run
        return (
            retry_safe
            and self._may_send_again(now, pending, reason)
            and (
                reason in FREE_RETRY_REASONS or self._spend_token(now, pending, reason)
            )
        )

    def may_retry_lost(self, now: float, pending: PendingRequest) -> bool:
        """Return whether a call that may have run can be sent again at once."""
        return (
            pending.request.route.idempotent
            and self.budget.has_token(now, pending.service)
            and self._may_send_again(now, pending, RefusalReason.LOST)
        )

    def _may_send_again(
        self, now: float, pending: PendingRequest, reason: RefusalReason
    ) -> bool:
        """Return whether attempts, time and a target are left for another send."""
        return (
            reason not in FINAL_REASONS
            and len(pending.attempts) < _max_attempts(pending.request.route, reason)
            and _crashed_attempts(pending) < MAX_CRASHED_ATTEMPTS
            and pending.request.deadline - now > MIN_RETRY_TIME_S
            and bool(self.target_choice.candidates(now, pending))
        )

    def take_retry_of_answer(
        self, now: float, pending: PendingRequest, answer: AnswerMessage
    ) -> bool:
        """Return whether a request that a target failed is sent to another one.

        It needs the time of another call, and takes a token. While requests are shed,
        its capacity would be missing for requests that have not run yet.
        """
        route = pending.request.route
        shed = self.admission.sheds(route.name, pending.service)
        return (
            route.idempotent
            and not shed
            and len(pending.tried_targets) < route.attempts
            and pending.request.deadline - now > answer.call_time
            and bool(self.target_choice.candidates(now, pending))
            and self.budget.spend(now, pending.service)
        )

    def _spend_token(
        self, now: float, pending: PendingRequest, reason: RefusalReason
    ) -> bool:
        """Take a token for a retry.

        A target that rejects a part of all calls uses up the tokens. Requests that are
        nearly complete and of high priority then get the last ones.
        """
        request, reserve = pending.request, 0.0
        if reason is RefusalReason.TARGET_FULL:
            reserve = 1.0 - 1.0 / (request.calls_left + route_part(request.rank))
        return self.budget.spend(now, pending.service, reserve=reserve)


def _max_attempts(route: Route, reason: RefusalReason) -> float:
    """Return the allowed attempts.

    A refusal by a relay allows one more. A call that a target has rejected may be
    sent as often as the budget allows, as rejections are random and cost no work.
    """
    if reason is RefusalReason.TARGET_FULL:
        return math.inf
    return route.attempts + (1 if reason in FREE_RETRY_REASONS else 0)


def _crashed_attempts(pending: PendingRequest) -> int:
    """Return the number of targets that ended while they ran a request."""
    return sum(each.reason is RefusalReason.CRASHED for each in pending.attempts)
