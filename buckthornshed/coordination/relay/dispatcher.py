"""Dispatch of requests from clients and from the local target.

A request is sent to one target at a time. It is retried only if that is safe, which is
the case if it has not run or if its route is idempotent, and within the route's number
of attempts, the request's deadline and the retry budget. It ends with the target's
complete answer or with a refusal that states correctly whether it may have run.
"""

from collections.abc import Callable
from typing import TYPE_CHECKING

from ...protocol.relay_messages import (
    AnswerMessage,
    CallMessage,
    RefusalMessage,
    RefusalReason,
)
from ...state.catalog import Target
from .admission.controller import AdmissionController
from .crashes.crash_suspects import CrashSuspects
from .dispatch_messages import (
    Attempt,
    CancelCall,
    DeliverAnswer,
    DispatchAction,
    FailRequest,
    RetriedCalls,
    RoutedRequest,
    SendCall,
)
from .fleet.fleet_view import FleetView
from .pending_request import PendingRequest
from .placement.load_balancer import Availability, LoadBalancer, TargetRecord
from .placement.target_choice import TargetChoice
from .placement.weighted_round_robin import WeightedRoundRobin
from .refusal_reasons import EJECTION_REASONS, TARGET_FAILURE_REASONS
from .retries.retry_budget import RetryBudget
from .retries.retry_rules import RetryRules
from .route_answers import RouteAnswers

if TYPE_CHECKING:
    from random import Random

__all__ = ["Dispatcher"]

TIMEOUT_MARGIN_S = 0.02
"""Time after its deadline for which a request still waits for an answer."""
RETRY_JITTER = 0.5
NO_TARGET_RETRY_AFTER_S = 0.5


class Dispatcher:
    """Sends the requests of one relay to targets and retries them.

    Parameters
    ----------
    fleet_view : FleetView
        Configuration and targets.
    load_balancer : LoadBalancer
        Chooses targets.
    budget : RetryBudget
        Limits retries.
    admission : AdmissionController
        Decides which client requests are admitted.
    availability : callable
        Returns whether the relay beside a target can be sent to.
    suspects : CrashSuspects
        Knows the requests that are not to be sent.
    fingerprint : callable
        Returns the fingerprint of a request from its head, body and workspace.
    rng : random.Random
        Source of the jitter of Retry-After times.
    """

    def __init__(
        self,
        *,
        fleet_view: FleetView,
        load_balancer: LoadBalancer,
        budget: RetryBudget,
        admission: AdmissionController,
        availability: Callable[[Target], Availability],
        suspects: CrashSuspects,
        fingerprint: Callable[[bytes, bytes, str], bytes],
        rng: "Random",
    ) -> None:
        self.fleet_view = fleet_view
        self.load_balancer = load_balancer
        self.budget = budget
        self.admission = admission
        self.target_choice = TargetChoice(
            fleet_view=fleet_view,
            load_balancer=load_balancer,
            availability=availability,
            suspects=suspects,
            fingerprint=fingerprint,
        )
        self.retry_rules = RetryRules(
            budget=budget, admission=admission, target_choice=self.target_choice
        )
        self.rng = rng
        self.weighted_split = WeightedRoundRobin()
        self.pending: dict[int, PendingRequest] = {}
        self.exchanges: dict[int, PendingRequest] = {}
        self.answers = RouteAnswers()
        self.next_exchange = 1

    def submit(
        self, now: float, token: int, request: RoutedRequest
    ) -> list[DispatchAction]:
        """Admit and send a request; the caller identifies it by `token`."""
        pending = PendingRequest(
            token=token,
            request=request,
            service=self.weighted_split.choose(request.route),
        )
        if request.is_retry:
            self.budget.record_nested_retry(now, pending.service)
        else:
            self.budget.record_request(now, pending.service)
        if request.deadline <= now:
            return [self._fail(pending, RefusalReason.EXPIRED)]
        if not request.nested:
            rejection = self.admission.reject(
                now, request.route, request.request_id, request.priority
            )
            if rejection is not None:
                return [self._fail(pending, rejection.reason, rejection.retry_after)]
        self.pending[token] = pending
        return self._send(now, pending)

    def client_disconnected(self, now: float, token: int) -> list[DispatchAction]:
        """Cancel the call of a request whose client has disconnected."""
        pending = self.pending.pop(token, None)
        if pending is None or pending.record is None:
            return []
        target = pending.record.target
        exchange = pending.exchange
        self._detach(pending)
        return [CancelCall(target, exchange)]

    def handle_answer(self, now: float, answer: AnswerMessage) -> list[DispatchAction]:
        """Deliver a target's answer and record the target's load and outcome."""
        pending = self.exchanges.get(answer.exchange)
        if pending is None:
            return []
        record = self._detach(pending)
        self.load_balancer.record_load(now, record, answer.load)
        self.load_balancer.record_outcome(now, record, failed=answer.failed)
        route = pending.request.route.name
        record.call_times[route] = answer.call_time
        self.answers.record(now, route)
        record.rate_limit = answer.rate_limit
        if answer.leaving:
            self.fleet_view.mark_leaving(record.target.name, record.target.started)
        if answer.failed and self.retry_rules.take_retry_of_answer(
            now, pending, answer
        ):
            pending.may_have_run = True
            pending.failed_answer = answer
            return self._send(now, pending)
        del self.pending[pending.token]
        return [self._deliver(pending, answer)]

    def handle_refusal(
        self, now: float, refusal: RefusalMessage
    ) -> list[DispatchAction]:
        """Retry or end a request whose call ended without an answer of the target."""
        pending = self.exchanges.get(refusal.exchange)
        if pending is None:
            return []
        record = self._detach(pending)
        reason = refusal.reason
        pending.attempts[-1] = pending.attempts[-1]._replace(reason=reason)
        self.load_balancer.record_load(now, record, refusal.load)
        if reason is RefusalReason.TARGET_FULL:
            pending.rejected_by.add(record.target.name)
        if reason is RefusalReason.WRONG_TARGET:
            self.fleet_view.mark_outdated(record.target)
        if reason in TARGET_FAILURE_REASONS:
            self.load_balancer.record_outcome(now, record, failed=True)
        if reason in EJECTION_REASONS:
            self.load_balancer.eject(now, record)
        if reason is RefusalReason.RATE_LIMITED:
            self.load_balancer.eject(now, record, refusal.retry_after)
        if reason.may_have_run:
            pending.may_have_run = True
        return self._retry_or_fail(now, pending, reason, refusal.retry_after)

    def handle_connection_loss(
        self, now: float, exchanges: list[int]
    ) -> list[DispatchAction]:
        """Handle the loss of the connection that carried some calls as refusals."""
        return self._refuse(now, exchanges, RefusalReason.LOST)

    def retry_lost(self, now: float, exchanges: list[int]) -> RetriedCalls:
        """Send idempotent calls on a lost connection again, as the budget allows.

        The others wait until it is known whether the other relay has received them.
        """
        retried = RetriedCalls([], [])
        for exchange in exchanges:
            pending = self.exchanges.get(exchange)
            if pending is None:
                continue
            if self.retry_rules.may_retry_lost(now, pending):
                retried.actions.extend(self.handle_connection_loss(now, [exchange]))
            else:
                retried.waiting.append(exchange)
        return retried

    def handle_unreceived(
        self, now: float, exchanges: list[int]
    ) -> list[DispatchAction]:
        """Send calls again that the other relay has not received and never will."""
        return self._refuse(now, exchanges, RefusalReason.UNREACHABLE)

    def _refuse(
        self, now: float, exchanges: list[int], reason: RefusalReason
    ) -> list[DispatchAction]:
        actions: list[DispatchAction] = []
        for exchange in exchanges:
            refusal = RefusalMessage(exchange, reason, 0.0, 0.0)
            actions += self.handle_refusal(now, refusal)
        return actions

    def tick(self, now: float) -> list[DispatchAction]:
        """End the requests whose deadline has passed and cancel their calls."""
        actions: list[DispatchAction] = []
        due = now - TIMEOUT_MARGIN_S
        overdue = [p for p in self.pending.values() if p.request.deadline <= due]
        for pending in overdue:
            if pending.record is not None:
                self.load_balancer.record_outcome(now, pending.record, failed=True)
            actions += self._abandon(pending, RefusalReason.TIMED_OUT)
        return actions

    def end_all(self) -> list[DispatchAction]:
        """End all requests, as the relay is about to stop, and cancel their calls."""
        actions: list[DispatchAction] = []
        for pending in list(self.pending.values()):
            actions += self._abandon(pending, RefusalReason.LEAVING)
        return actions

    def _abandon(
        self, pending: PendingRequest, reason: RefusalReason
    ) -> list[DispatchAction]:
        """End a request without waiting for the answer to its call, if there is one."""
        del self.pending[pending.token]
        actions: list[DispatchAction] = []
        if pending.record is not None:
            exchange = pending.exchange
            record = self._detach(pending)
            pending.may_have_run = True
            actions.append(CancelCall(record.target, exchange))
        actions.append(self._give_up(pending, reason, NO_TARGET_RETRY_AFTER_S))
        return actions

    def _retry_or_fail(
        self,
        now: float,
        pending: PendingRequest,
        reason: RefusalReason,
        retry_after: float,
    ) -> list[DispatchAction]:
        if self.retry_rules.take_retry(now, pending, reason):
            return self._send(now, pending)
        del self.pending[pending.token]
        return [self._give_up(pending, reason, retry_after)]

    def _deliver(self, pending: PendingRequest, answer: AnswerMessage) -> DeliverAnswer:
        attempts = tuple(pending.attempts)
        return DeliverAnswer(pending.token, pending.request, answer, attempts)

    def _give_up(
        self, pending: PendingRequest, reason: RefusalReason, retry_after: float
    ) -> DeliverAnswer | FailRequest:
        """End a request with the answer of a target that failed it, if there is one."""
        if pending.failed_answer is not None:
            return self._deliver(pending, pending.failed_answer)
        return self._fail(pending, reason, retry_after)

    def _give_up_unsent(
        self, now: float, pending: PendingRequest
    ) -> DeliverAnswer | FailRequest:
        """End a request that no target can get now."""
        held_for = self.target_choice.held_for(now, pending)
        if held_for > 0.0:
            return self._give_up(pending, RefusalReason.QUARANTINED, held_for)
        return self._give_up(
            pending, RefusalReason.UNREACHABLE, NO_TARGET_RETRY_AFTER_S
        )

    def _send(self, now: float, pending: PendingRequest) -> list[DispatchAction]:
        request = pending.request
        record = self.target_choice.choose(now, pending)
        if record is None:
            self.pending.pop(pending.token, None)
            return [self._give_up_unsent(now, pending)]
        exchange = self.next_exchange
        self.next_exchange += 1
        pending.record = record
        pending.exchange = exchange
        pending.attempts.append(
            Attempt(record.target, now, record.load_at(now), now - record.reported_at)
        )
        pending.tried_targets.add(record.target.name)
        self.exchanges[exchange] = pending
        self.load_balancer.record_send(record)
        message = CallMessage(
            exchange=exchange,
            target=record.target.name,
            route=request.route.name,
            rank=request.rank,
            idempotent=request.route.idempotent,
            is_retry=request.is_retry or pending.may_have_run,
            time_left=request.deadline - now,
            request_id=request.request_id,
            head=request.head,
            body=request.body,
            workspace=request.workspace,
        )
        return [SendCall(record.target, message)]

    def _detach(self, pending: PendingRequest) -> TargetRecord:
        record = pending.record
        assert record is not None
        del self.exchanges[pending.exchange]
        pending.record = None
        self.load_balancer.record_end(record)
        return record

    def _fail(
        self,
        pending: PendingRequest,
        reason: RefusalReason,
        retry_after: float = NO_TARGET_RETRY_AFTER_S,
    ) -> FailRequest:
        jitter = 1.0 + RETRY_JITTER * self.rng.random()
        return FailRequest(
            token=pending.token,
            request=pending.request,
            reason=reason,
            may_have_run=pending.may_have_run,
            retry_after=max(retry_after, 0.05) * jitter,
            attempts=tuple(pending.attempts),
        )
