"""Outgoing calls: sending, retries, deadlines and the single answer to each."""

from typing import TYPE_CHECKING

from ...protocol.messages import Answer, Call, Fault, refusal_answer
from ...protocol.outcome import REASONS, Outcome, Reason
from ..actions import CancelPeerCall, Reply, SendPeerCall
from ..entry.allowance import AllowanceAccount
from ..knowledge.view import RoutePolicies
from ..outcomes.invocation_outcomes import (
    HopEvent,
    KeySource,
    Progress,
    Resend,
    SendHistory,
    hop_outcome,
)
from .pending_calls import PendingCall
from .target_selector import TargetSelector

if TYPE_CHECKING:
    from random import Random

__all__ = ["Egress", "EgressAction"]

EXCHANGE_BITS = 63

RETRYABLE_REASONS = frozenset(
    {
        None,
        Reason.DRAINING,
        Reason.STALE_VIEW,
        Reason.NO_CONFIGURATION,
        Reason.NO_TARGET,
        Reason.QUEUE_FULL,
        Reason.KEY_TABLE_FULL,
        Reason.KEY_UNPROVEN,
        Reason.ANSWER_LOST,
        Reason.ANSWER_INVALID,
    }
)
"""Reasons after which a retry may succeed; None is a failure answered by the target.

``OVERLOAD`` is excluded: the admission decision on a request is final.
"""

EgressAction = SendPeerCall | CancelPeerCall | Reply


class Egress:
    """Sends the calls of a node to targets and answers each one exactly once.

    Parameters
    ----------
    name : str
        Name of the local target of the node.
    domain : str
        Failure domain of the node.
    rng : random.Random
        Source of exchange numbers, balancing choices and jitter.
    """

    def __init__(self, *, name: str, domain: str, rng: "Random") -> None:
        self.rng = rng
        self.selector = TargetSelector(name=name, domain=domain, rng=rng)
        self.pending: dict[int, PendingCall] = {}
        self.exchanges: dict[int, PendingCall] = {}
        self.retries = 0

    def send(
        self,
        now: float,
        wall: float,
        token: int,
        call: Call,
        *,
        policies: RoutePolicies,
        account: AllowanceAccount,
        key_source: KeySource,
        key_owners: dict[tuple[str, str], str] | None = None,
    ) -> list[EgressAction]:
        """Send a call that the driver identifies by ``token``.

        ``key_owners`` records, for each service and key that only this node sends, the
        owner to which it is bound. All calls that may send the same key share it.
        """
        pending = PendingCall(
            token=token,
            call=call,
            policies=policies,
            account=account,
            sends=SendHistory(repeatable=policies.repeatable, key_source=key_source),
            provider=self.selector.provider_of_call(call),
            key_owners={} if key_owners is None else key_owners,
        )
        self.selector.retry_after_schedule(call.service).record_offered(now)
        if call.context.deadline <= now:
            return [self._reply(now, pending, Reason.DEADLINE)]
        if key_source is not KeySource.SUPPLIED and self.selector.would_be_refused(
            now, call, policies
        ):
            return [self._reply(now, pending, Reason.OVERLOAD)]
        self.pending[token] = pending
        return self._dispatch(now, wall, pending)

    def handle_answer(
        self, now: float, wall: float, answer: Answer
    ) -> list[EgressAction]:
        """Handle the answer of an exchange: retry or answer the caller."""
        pending = self.exchanges.pop(answer.exchange, None)
        if pending is None:
            return []
        pending.exchange = None
        pending.account.settle(answer.exchange, answer.unspent)
        self.selector.record_answer(now, pending, answer)
        by_owner = not pending.policies.repeatable
        reported = pending.sends.record_end(
            answer.outcome, answer.reason, by_owner=by_owner
        )
        self.selector.unbind_key_if_not_run(pending)
        if answer.outcome is Outcome.COMPLETE or not self._may_retry(
            now, pending, answer.reason
        ):
            del self.pending[pending.token]
            if answer.reason is Reason.KEY_UNPROVEN and reported is Outcome.NOT_RUN:
                # Only this node knows the key; its owner has not settled ownership.
                return [self._reply(now, pending, Reason.NO_TARGET)]
            final = answer._replace(outcome=reported, unspent=pending.account.available)
            return [Reply(pending.token, final, pending.call.context.priority)]
        return self._retry(now, wall, pending)

    def handle_fault(self, now: float, wall: float, fault: Fault) -> list[EgressAction]:
        """Handle an exchange that ended without an answer: retry or answer."""
        pending = self.exchanges.pop(fault.exchange, None)
        if pending is None:
            return []
        pending.exchange = None
        pending.account.settle(fault.exchange, None)
        self.selector.balancer(now, pending.call.service).record_failure(
            now, pending.target, fault
        )
        progress = Progress.STARTED if fault.maybe_sent else Progress.PENDING
        event = HopEvent.FAULT_SENT if fault.maybe_sent else HopEvent.FAULT_UNSENT
        reason = Reason.ANSWER_LOST if fault.maybe_sent else Reason.NO_TARGET
        pending.sends.record_end(hop_outcome(progress, event), reason)
        self.selector.unbind_key_if_not_run(pending)
        if not self._may_retry(now, pending, reason):
            del self.pending[pending.token]
            return [self._reply(now, pending, reason)]
        return self._retry(now, wall, pending)

    def caller_disconnected(self, now: float, token: int) -> list[EgressAction]:
        """Cancel the call of a caller that closed its connection."""
        pending = self.pending.pop(token, None)
        return [] if pending is None else self._cancel(now, pending)

    def tick(self, now: float, wall: float) -> list[EgressAction]:
        """Expire calls whose deadline has passed and send the retries that are due."""
        actions: list[EgressAction] = []
        for token, pending in list(self.pending.items()):
            if pending.call.context.deadline <= now:
                del self.pending[token]
                actions += self._expire(now, pending)
            elif pending.exchange is None and pending.retry_at <= now:
                actions += self._dispatch(now, wall, pending)
        return actions

    def _dispatch(
        self, now: float, wall: float, pending: PendingCall
    ) -> list[EgressAction]:
        target = self.selector.choose(now, pending)
        if target is None:
            del self.pending[pending.token]
            return [self._reply(now, pending, Reason.NO_TARGET)]
        exchange = self.rng.getrandbits(EXCHANGE_BITS)
        allowance = pending.account.reserve(
            exchange, pending.account.downstream_share()
        )
        context = pending.call.context._replace(exchange=exchange, allowance=allowance)
        pending.exchange = exchange
        pending.target = target
        pending.sent_at = now
        self.selector.bind_key(pending)
        if target not in pending.tried:
            pending.tried.append(target)
        self.exchanges[exchange] = pending
        self.selector.balancer(now, pending.call.service).record_send(now, target)
        return [SendPeerCall(exchange, target, pending.call._replace(context=context))]

    def _may_retry(
        self, now: float, pending: PendingCall, reason: Reason | None
    ) -> bool:
        """Return whether to retry a call; a retry is charged to the allowance."""
        sends, policies = pending.sends, pending.policies
        if reason not in RETRYABLE_REASONS or sends.resend is Resend.NOWHERE:
            return False
        if sends.key_source is KeySource.SUPPLIED and sends.owner_reported_not_run:
            # The owner reported the key as not run; it begins only later attempts.
            return False
        if (
            reason is Reason.KEY_UNPROVEN
            and sends.key_source is not KeySource.GENERATED
        ):
            return False
        failures_are_retryable = policies.retry.get("after", "failure") == "failure"
        safe_to_retry = sends.outcome is Outcome.NOT_RUN or not policies.repeatable
        if not (safe_to_retry or failures_are_retryable):
            return False
        if pending.call.context.deadline <= now:
            return False
        return pending.account.spend()

    def _retry(
        self, now: float, wall: float, pending: PendingCall
    ) -> list[EgressAction]:
        self.retries += 1
        if self.selector.has_untried_target(now, pending):
            return self._dispatch(now, wall, pending)
        backoff = pending.policies.retry["backoff_ms"] / 1e3
        pending.retry_at = now + backoff * (0.5 + self.rng.random())
        return []

    def _cancel(self, now: float, pending: PendingCall) -> list[EgressAction]:
        exchange = pending.exchange
        if exchange is None:
            return []
        self.exchanges.pop(exchange, None)
        pending.account.settle(exchange, None)
        self.selector.balancer(now, pending.call.service).record_cancellation(
            now, pending.target
        )
        return [CancelPeerCall(exchange)]

    def _expire(self, now: float, pending: PendingCall) -> list[EgressAction]:
        unsent = pending.exchange is None
        progress = Progress.PENDING if unsent else Progress.STARTED
        outcome = hop_outcome(progress, HopEvent.EXPIRED)
        pending.sends.record_end(outcome, Reason.DEADLINE)
        cancelled = self._cancel(now, pending)
        return [*cancelled, self._reply(now, pending, Reason.DEADLINE)]

    def _reply(self, now: float, pending: PendingCall, reason: Reason) -> Reply:
        retry_after = None
        if REASONS[reason].retry_later:
            priority = pending.call.context.priority
            retry_after = self.selector.retry_after_schedule(
                pending.call.service
            ).schedule(now, priority, self.rng)
        answer = refusal_answer(
            exchange=0,
            outcome=pending.sends.reported_outcome,
            reason=reason,
            unspent=pending.account.available,
            retry_after=retry_after,
        )
        return Reply(pending.token, answer, pending.call.context.priority)
