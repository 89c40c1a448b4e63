"""Inbound calls for the local target: admission, queueing and start."""

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, NamedTuple

from ...protocol.messages import (
    Answer,
    Call,
    Fault,
    Headers,
    NodeSignal,
    refusal_answer,
)
from ...protocol.outcome import REASONS, Outcome, Reason
from ..actions import CancelLocalCall, StartLocalCall
from ..drain import DrainState
from ..knowledge.view import View
from ..outcomes.idempotency import (
    BeginResult,
    InProgress,
    KeyTable,
    Refused,
    Replay,
    Started,
)
from ..outcomes.invocation_outcomes import HopEvent, Progress, hop_outcome
from ..outcomes.keys import fingerprint
from .admission import AdmissionController
from .allowance import AllowanceAccount
from .call_queue import CallQueue, QueuedCall
from .route_thresholds import RouteThresholds
from .thresholds import admission_level

if TYPE_CHECKING:
    from random import Random

__all__ = ["DownstreamRequest", "InboundCall", "Ingress", "IngressAction"]

IngressAction = StartLocalCall | CancelLocalCall | Answer
"""Actions of the ingress; an answer goes to the sender of its exchange."""

FAILED_STATUS = 500
"""Lowest HTTP status that means that the target failed."""


class DownstreamRequest(NamedTuple):
    """Identity of a downstream call; a second call that is equal is a retry."""

    service: str
    method: bytes
    path: bytes
    key: str | None
    body_hash: int


@dataclass(slots=True, kw_only=True)
class InboundCall:
    """A call that this node accepted, queued or running.

    ``account`` holds the allowance for the downstream calls that the target makes for
    this call, ``downstream_tokens`` the tokens of those in flight, ``unanswered`` by
    token those without a complete answer, and ``downstream_routes`` the routes that
    they used. ``downstream_retry_after`` is the retry delay, in seconds, of a
    downstream call that was refused for lack of capacity. ``key_owners`` maps service
    and key to the owner to which that key is bound. An orphan no longer has a caller
    but keeps running, so that a retry with its key gets its answer.
    """

    call: Call
    account: AllowanceAccount
    route: str
    keyed: bool
    arrived: float
    started_at: float | None = None
    orphan: bool = False
    downstream_retry_after: float | None = None
    downstream_tokens: set[int] = field(default_factory=set)
    downstream_routes: set[str] = field(default_factory=set)
    key_owners: dict[tuple[str, str], str] = field(default_factory=dict)
    unanswered: dict[int, DownstreamRequest] = field(default_factory=dict)


class Ingress:
    """Admit inbound calls, queue them and start them at the target.

    Parameters
    ----------
    incarnation : int
        Start time of this node, in nanoseconds of the wall clock.
    drain : DrainState
        Drain state of the instance.
    route_thresholds : RouteThresholds
        Admission thresholds to advertise for each route.
    rng : random.Random
        Source of the jitter of retry delays.
    """

    def __init__(
        self,
        *,
        incarnation: int,
        drain: DrainState,
        route_thresholds: RouteThresholds,
        rng: "Random",
    ) -> None:
        self.incarnation = incarnation
        self.drain = drain
        self.route_thresholds = route_thresholds
        self.rng = rng
        self.view: View | None = None
        self.service = ""
        self.slots = 0
        self.fresh = True
        self.queue_delay = 0.0
        self.admission: AdmissionController | None = None
        self.keys: KeyTable | None = None
        self.queue: CallQueue[InboundCall] = CallQueue(limit=0)
        self.calls: dict[int, InboundCall] = {}
        self.running = 0

    def configure(self, view: View, keys: KeyTable | None) -> None:
        """Apply a view; queued and running calls continue."""
        self.view = view
        self.keys = keys
        if view.own_target is None:
            return
        self.service = view.own_target["service"]
        self.slots = view.own_target["slots"]
        policy = view.admission_of(self.service)
        self.queue.limit = policy["queue"]
        current = self.admission
        if current is None or (current.policy, current.slots) != (policy, self.slots):
            self.admission = AdmissionController(policy=policy, slots=self.slots)

    @property
    def threshold(self) -> int:
        """Admission threshold of the local target, without downstream thresholds."""
        return 0 if self.admission is None else self.admission.threshold

    def signal(self, now: float, route: str) -> NodeSignal:
        """Return the state that the node reports to the callers of a route."""
        return NodeSignal(
            threshold=self.route_thresholds.advertised_threshold(
                now, route, self.threshold
            ),
            queue_delay=self.queue_delay,
            in_flight=self.running,
            draining=self.drain.draining,
            incarnation=self.incarnation,
        )

    def receive_call(self, now: float, wall: float, call: Call) -> list[IngressAction]:
        """Start, queue or refuse a call, or replay the stored answer of its key."""
        if call.context.exchange in self.calls:
            return []
        policies = None
        if self.view is not None and self.admission is not None:
            policies = self.view.match(self.service, call.method, call.path)
        if policies is None:
            return [self._refuse_unrouted(now, call)]
        keyed = not policies.repeatable
        if keyed:
            begin_result = self._begin_key(now, wall, call)
            if not isinstance(begin_result, Started):
                return [
                    self._answer_for_known_key(now, call, begin_result, policies.name)
                ]
        inbound = InboundCall(
            call=call,
            account=AllowanceAccount(granted=call.context.allowance),
            route=policies.name,
            keyed=keyed,
            arrived=now,
        )
        refusal_reason = self._refusal_reason(now, call)
        if refusal_reason is not None:
            return [self._release_key_and_refuse(now, inbound, refusal_reason)]
        return self._accept(now, inbound)

    def target_answered(
        self, now: float, exchange: int, status: int, headers: Headers, body: bytes
    ) -> list[IngressAction]:
        """Handle the answer of the target."""
        inbound = self._end_running(now, exchange)
        if inbound is None:
            return []
        self.route_thresholds.record_call(now, inbound.route, inbound.downstream_routes)
        failed = status >= FAILED_STATUS
        event = HopEvent.TARGET_FAILED if failed else HopEvent.TARGET_ANSWERED
        answer = Answer(
            exchange=exchange,
            outcome=hop_outcome(Progress.STARTED, event),
            status=status,
            headers=headers,
            body=body,
            unspent=inbound.account.close(),
            signal=self.signal(now, inbound.route),
        )
        if failed and inbound.downstream_retry_after is not None:
            answer = answer._replace(
                reason=Reason.OVERLOAD, retry_after=inbound.downstream_retry_after
            )
        if inbound.keyed and self.keys is not None:
            self.keys.finish(now, _key(inbound.call), answer)
        replies: list[IngressAction] = [] if inbound.orphan else [answer]
        return [*replies, *self._start_queued(now)]

    def target_failed(self, now: float, fault: Fault) -> list[IngressAction]:
        """Handle the failure of a call to the target."""
        inbound = self._end_running(now, fault.exchange)
        if inbound is None:
            return []
        event = HopEvent.FAULT_SENT if fault.maybe_sent else HopEvent.FAULT_UNSENT
        progress = Progress.STARTED if fault.maybe_sent else Progress.PENDING
        reason = Reason.ANSWER_LOST if fault.maybe_sent else Reason.NO_TARGET
        answer = self._release_key_and_refuse(
            now, inbound, reason, hop_outcome(progress, event)
        )
        replies: list[IngressAction] = [] if inbound.orphan else [answer]
        return [*replies, *self._start_queued(now)]

    def caller_disconnected(self, now: float, exchange: int) -> list[IngressAction]:
        """Handle the disconnection of the caller of an exchange.

        A running call with a key continues; any other call is cancelled.
        """
        inbound = self.calls.get(exchange)
        if inbound is None:
            return []
        if inbound.started_at is None:
            self._drop_queued(now, inbound, Reason.CANCELLED)
            return []
        if inbound.keyed:
            inbound.orphan = True
            return []
        self._end_running(now, exchange)
        return [CancelLocalCall(exchange), *self._start_queued(now)]

    def tick(self, now: float) -> list[IngressAction]:
        """Handle calls whose deadline has passed; start queued calls on free slots."""
        if self.admission is not None:
            self.admission.tick(now, len(self.queue))
        actions: list[IngressAction] = []
        for queued in self.queue.expire(now):
            actions.append(self._drop_queued(now, queued.item, Reason.DEADLINE))
        for exchange, inbound in list(self.calls.items()):
            if inbound.started_at is not None and inbound.call.context.deadline <= now:
                actions += self._expire_running(now, exchange, inbound)
        return [*actions, *self._start_queued(now)]

    def _refuse_unrouted(self, now: float, call: Call) -> Answer:
        """Refuse a call that matches no route, or that arrives before a configuration.

        The outcome of a call with a key is unknown, since an earlier process of this
        node may have run it.
        """
        reason = Reason.NO_ROUTE if self.admission else Reason.NO_CONFIGURATION
        keyed = call.context.key is not None
        outcome = Outcome.UNKNOWN if keyed else Outcome.NOT_RUN
        return self._refuse(now, call, "", reason, outcome)

    def _refusal_reason(self, now: float, call: Call) -> Reason | None:
        assert self.admission is not None
        if not self.drain.accepts:
            return Reason.DRAINING
        if not self.fresh:
            return Reason.STALE_VIEW
        return self.admission.decide(now, call.context, len(self.queue), self.running)

    def _begin_key(self, now: float, wall: float, call: Call) -> BeginResult:
        if self.keys is None or call.context.key is None:
            return Refused(Reason.KEY_INVALID, Outcome.NOT_RUN)
        context = call.context
        return self.keys.begin(
            now, wall, call.context.key, fingerprint(call), context.issued
        )

    def _answer_for_known_key(
        self, now: float, call: Call, begin_result: BeginResult, route: str
    ) -> Answer:
        """Return the answer to a call whose key was not begun: replayed or refused."""
        context = call.context
        if isinstance(begin_result, Replay):
            return begin_result.answer._replace(
                exchange=context.exchange,
                unspent=context.allowance,
                signal=self.signal(now, route),
            )
        assert isinstance(begin_result, InProgress | Refused)
        return refusal_answer(
            exchange=context.exchange,
            outcome=begin_result.outcome,
            reason=begin_result.reason,
            unspent=context.allowance,
            signal=self.signal(now, route),
        )

    def _accept(self, now: float, inbound: InboundCall) -> list[IngressAction]:
        context = inbound.call.context
        self.calls[context.exchange] = inbound
        self.drain.call_started()
        if self.running < self.slots and not len(self.queue):
            return [self._start(now, inbound)]
        evicted = self.queue.offer(
            QueuedCall(
                exchange=context.exchange,
                level=admission_level(context.priority, context.request_id),
                deadline=context.deadline,
                arrived=now,
                item=inbound,
            )
        )
        if evicted is None:
            return self._start_queued(now)
        return [self._drop_queued(now, evicted.item, Reason.QUEUE_FULL)]

    def _start(self, now: float, inbound: InboundCall) -> StartLocalCall:
        inbound.started_at = now
        self.running += 1
        self.queue_delay = now - inbound.arrived
        assert self.admission is not None
        self.admission.record_start(now, self.queue_delay)
        return StartLocalCall(inbound.call.context.exchange, inbound.call)

    def _start_queued(self, now: float) -> list[IngressAction]:
        actions: list[IngressAction] = []
        while self.running < self.slots and len(self.queue):
            taken = self.queue.take(now)
            for expired in taken.expired:
                actions.append(self._drop_queued(now, expired.item, Reason.DEADLINE))
            if taken.call is not None:
                actions.append(self._start(now, taken.call.item))
        return actions

    def _expire_running(
        self, now: float, exchange: int, inbound: InboundCall
    ) -> list[IngressAction]:
        if inbound.keyed:
            if inbound.orphan:
                return []
            inbound.orphan = True
            outcome = hop_outcome(Progress.STARTED, HopEvent.EXPIRED)
            return [
                self._refuse(
                    now,
                    inbound.call,
                    inbound.route,
                    Reason.DEADLINE,
                    outcome,
                    unspent=0,
                )
            ]
        self._end_running(now, exchange)
        outcome = hop_outcome(Progress.STARTED, HopEvent.EXPIRED)
        answer = self._release_key_and_refuse(now, inbound, Reason.DEADLINE, outcome)
        return [answer, CancelLocalCall(exchange)]

    def _end_running(self, now: float, exchange: int) -> InboundCall | None:
        """Release the slot of a running call and return the call, or None."""
        inbound = self.calls.get(exchange)
        if inbound is None or inbound.started_at is None:
            return None
        del self.calls[exchange]
        self.running -= 1
        self.drain.call_ended(now)
        if self.admission is not None:
            self.admission.record_finish(now, now - inbound.started_at)
        return inbound

    def _drop_queued(self, now: float, inbound: InboundCall, reason: Reason) -> Answer:
        exchange = inbound.call.context.exchange
        self.queue.remove(exchange)
        self.calls.pop(exchange, None)
        self.drain.call_ended(now)
        return self._release_key_and_refuse(now, inbound, reason)

    def _release_key_and_refuse(
        self,
        now: float,
        inbound: InboundCall,
        reason: Reason,
        outcome: Outcome = Outcome.NOT_RUN,
    ) -> Answer:
        """Refuse a call that ends without an answer of the target; release its key.

        The refusal of a call with a key states "not run" only if the key table has
        recorded that report. Otherwise it states that the outcome is unknown.
        """
        if inbound.keyed and self.keys is not None:
            started = outcome is not Outcome.NOT_RUN
            may_report_not_run = self.keys.fail(now, _key(inbound.call), started)
            outcome = outcome if may_report_not_run or started else Outcome.UNKNOWN
        unspent = inbound.account.close()
        return self._refuse(
            now, inbound.call, inbound.route, reason, outcome, unspent=unspent
        )

    def _refuse(
        self,
        now: float,
        call: Call,
        route: str,
        reason: Reason,
        outcome: Outcome = Outcome.NOT_RUN,
        *,
        unspent: int | None = None,
    ) -> Answer:
        context = call.context
        retry_after = None
        if REASONS[reason].retry_later and self.admission is not None:
            retry_after = self.admission.retry_after(now, context.priority, self.rng)
        return refusal_answer(
            exchange=context.exchange,
            outcome=outcome,
            reason=reason,
            unspent=context.allowance if unspent is None else unspent,
            retry_after=retry_after,
            signal=self.signal(now, route),
        )


def _key(call: Call) -> str:
    assert call.context.key is not None
    return call.context.key
