"""Decision logic of one node, combining edge, egress and ingress."""

from collections import deque
from collections.abc import Iterable
from typing import TYPE_CHECKING

from ..errors import ContextError
from ..protocol.http import Request, forwardable_headers
from ..protocol.messages import Answer, Call, Fault, Headers, refusal_answer
from ..protocol.outcome import REASONS, Outcome, Reason
from .actions import Action, CancelPeerCall, Reply, SendPeerCall
from .drain import DrainState
from .entry.downstream_calls import (
    choose_key,
    make_downstream_call,
    register_downstream_call,
)
from .entry.edge import Edge, key_of
from .entry.ingress import InboundCall, Ingress
from .entry.route_thresholds import RouteThresholds
from .knowledge.view import View
from .outcomes.idempotency import Refused
from .outcomes.invocation_outcomes import KeySource
from .outcomes.key_owner import KeyOwner
from .pause import PauseDetector
from .routing.egress import Egress

if TYPE_CHECKING:
    from random import Random

__all__ = ["NodeCore"]

MAX_CALL_DEPTH = 32
MAX_ROUTES = 1_024
DEFAULT_RETRY_AFTER_S = 1.0

SHED_REASONS = frozenset({Reason.OVERLOAD, Reason.QUEUE_FULL})


class NodeCore:
    """Maps requests, answers and faults to actions.

    In all methods ``now`` is the monotonic clock and ``wall`` the wall clock, both in
    seconds.

    Parameters
    ----------
    name : str
        Name of the local target.
    domain : str
        Failure domain of the node.
    rng : random.Random
        Source of random identifiers, balancing choices and jitter.
    now : float
        Start time of the node.
    incarnation : int
        Start time of the node, nanoseconds of the wall clock.
    drain_s : float
        Maximum duration of a drain, seconds.
    """

    def __init__(
        self,
        *,
        name: str,
        domain: str,
        rng: "Random",
        now: float,
        incarnation: int,
        drain_s: float,
    ) -> None:
        self.name = name
        self.rng = rng
        self.view: View | None = None
        self.drain = DrainState(deadline_s=drain_s)
        self.pause = PauseDetector(now=now)
        self.edge = Edge(rng=rng)
        self.egress = Egress(name=name, domain=domain, rng=rng)
        route_thresholds = RouteThresholds(
            downstream=self.egress.selector.thresholds, entries=MAX_ROUTES
        )
        self.ingress = Ingress(
            incarnation=incarnation,
            drain=self.drain,
            route_thresholds=route_thresholds,
            rng=rng,
        )
        self.owner = KeyOwner(name=name, incarnation=incarnation)
        self.peer_tokens: dict[int, int] = {}
        self.peer_exchanges: dict[int, int] = {}
        self.parent_calls: dict[int, InboundCall] = {}

    @property
    def busy(self) -> bool:
        """Whether calls are pending, so that frequent ticks are required."""
        return bool(self.egress.pending or self.ingress.calls)

    # Configuration, key ownership and life cycle.

    def configure(self, now: float, wall: float, view: View) -> None:
        """Apply a configuration view."""
        self.view = view
        self.owner.configure(wall, view)
        self.egress.selector.configure(now, view)
        self.ingress.configure(view, self.owner.keys)

    def stop(self, now: float) -> list[str]:
        """Start draining; return the callers to notify."""
        callers = self.drain.stop(now)
        self.egress.selector.draining = True
        return callers

    def mark_draining(self, now: float, target: str) -> None:
        """Send no new calls to a target that announced that it is draining."""
        self.egress.selector.mark_draining(now, target)

    def refreshed(self, requested_at: float) -> None:
        """Record that answers to queries of ``requested_at`` confirmed the view."""
        self.pause.refreshed(requested_at)
        self.ingress.fresh = self.pause.fresh

    # Incoming requests.

    def client_request(
        self, now: float, wall: float, token: int, request: Request
    ) -> list[Action]:
        """Handle a request of an external client for the service of this node."""
        self._observe_time(now, wall)
        if self.view is None or self.view.own_target is None:
            return [_refuse_client(token, request, Reason.NO_CONFIGURATION)]
        if not self.drain.accepts:
            return [_refuse_client(token, request, Reason.DRAINING)]
        if not self.pause.fresh:
            return [_refuse_client(token, request, Reason.STALE_VIEW)]
        service = self.view.own_target["service"]
        policies = self.view.match(service, request.method, request.path)
        if policies is None:
            return [_refuse_client(token, request, Reason.NO_ROUTE)]
        edge_context = self.edge.create_context(now, wall, token, request, policies)
        if isinstance(edge_context, Refused):
            answer = refusal_answer(
                exchange=0, outcome=edge_context.outcome, reason=edge_context.reason
            )
            return [Reply(token, answer)]
        call = Call(
            context=edge_context.context,
            service=service,
            method=request.method,
            path=request.path,
            headers=forwardable_headers(request.headers),
            body=request.body,
        )
        key_source = KeySource.NONE if policies.repeatable else edge_context.key_source
        sent = self.egress.send(
            now,
            wall,
            token,
            call,
            policies=policies,
            account=edge_context.account,
            key_source=key_source,
        )
        return self._process(now, wall, sent)

    def local_call(
        self,
        now: float,
        wall: float,
        token: int,
        parent: int,
        service: str,
        request: Request,
    ) -> list[Action]:
        """Handle a call that the local target makes on behalf of exchange ``parent``.

        A call without a parent is refused, because no allowance would bound its
        retries. A call that is equal to an earlier one without a complete answer is a
        retry and spends one unit of the allowance.
        """
        self._observe_time(now, wall)
        parent_call = self.ingress.calls.get(parent)
        if self.view is None or parent_call is None or parent_call.started_at is None:
            return [_refusal_reply(token, Reason.BAD_REQUEST)]
        if parent_call.call.context.depth >= MAX_CALL_DEPTH:
            return [_refusal_reply(token, Reason.BAD_REQUEST)]
        policies = self.view.match(service, request.method, request.path)
        if policies is None:
            return [_refusal_reply(token, Reason.NO_ROUTE)]
        call = make_downstream_call(
            now,
            parent_call,
            caller=self.name,
            service=service,
            request=request,
            policies=policies,
        )
        supplied_key = key_of(request)
        try:
            choice = choose_key(
                parent_call, call, supplied_key, repeatable=policies.repeatable
            )
        except ContextError:
            return [_refusal_reply(token, Reason.KEY_INVALID)]
        if isinstance(choice, Refused):
            return [_refusal_reply(token, choice.reason, outcome=choice.outcome)]
        if not register_downstream_call(
            parent_call, token, service, request, supplied_key
        ):
            return [_refusal_reply(token, Reason.RETRY_LIMIT, outcome=Outcome.UNKNOWN)]
        call = call._replace(context=call.context._replace(key=choice.key))
        parent_call.downstream_tokens.add(token)
        parent_call.downstream_routes.add(policies.name)
        self.parent_calls[token] = parent_call
        sent = self.egress.send(
            now,
            wall,
            token,
            call,
            policies=policies,
            account=parent_call.account,
            key_source=choice.source,
            key_owners=parent_call.key_owners,
        )
        return self._process(now, wall, sent)

    def peer_call(
        self, now: float, wall: float, token: int, call: Call
    ) -> list[Action]:
        """Handle a call of another node for the local target."""
        self._observe_time(now, wall)
        exchange = call.context.exchange
        if exchange in self.peer_tokens:
            return []
        self.peer_tokens[exchange] = token
        self.peer_exchanges[token] = exchange
        if call.context.caller:
            self.drain.record_caller(now, call.context.caller)
        return self._process(now, wall, self.ingress.receive_call(now, wall, call))

    def caller_disconnected(self, now: float, wall: float, token: int) -> list[Action]:
        """Handle a caller that closed its connection."""
        self._observe_time(now, wall)
        exchange = self.peer_exchanges.pop(token, None)
        if exchange is not None:
            self.peer_tokens.pop(exchange, None)
            return self._disconnect_call(now, wall, exchange)
        self._release_token(now, token)
        return self._process(now, wall, self.egress.caller_disconnected(now, token))

    # Incoming answers and faults.

    def target_answered(
        self,
        now: float,
        wall: float,
        exchange: int,
        status: int,
        headers: Headers,
        body: bytes,
    ) -> list[Action]:
        """Handle an answer of the local target."""
        self._observe_time(now, wall)
        cancelled = self._cancel_downstream(now, exchange)
        answered = self.ingress.target_answered(now, exchange, status, headers, body)
        return self._process(now, wall, [*cancelled, *answered])

    def target_failed(self, now: float, wall: float, fault: Fault) -> list[Action]:
        """Handle a call to the local target that ended without an answer."""
        self._observe_time(now, wall)
        cancelled = self._cancel_downstream(now, fault.exchange)
        return self._process(
            now, wall, [*cancelled, *self.ingress.target_failed(now, fault)]
        )

    def peer_answered(self, now: float, wall: float, answer: Answer) -> list[Action]:
        """Handle an answer of another node."""
        self._observe_time(now, wall)
        return self._process(now, wall, self.egress.handle_answer(now, wall, answer))

    def peer_failed(self, now: float, wall: float, fault: Fault) -> list[Action]:
        """Handle a call to another node that ended without an answer."""
        self._observe_time(now, wall)
        return self._process(now, wall, self.egress.handle_fault(now, wall, fault))

    def tick(self, now: float, wall: float) -> list[Action]:
        """Perform what is due at ``now``, such as expiries and retries."""
        self._observe_time(now, wall)
        self.drain.poll(now)
        due = [*self.ingress.tick(now), *self.egress.tick(now, wall)]
        return self._process(now, wall, due)

    # Internal methods.

    def _observe_time(self, now: float, wall: float) -> None:
        """Advance the clocks and detect a pause before any other decision."""
        self.owner.advance_clock(wall)
        if self.pause.observe(now) is not None:
            self.ingress.fresh = False
            self.owner.resume_after_pause(wall)

    def _disconnect_call(self, now: float, wall: float, exchange: int) -> list[Action]:
        inbound = self.ingress.calls.get(exchange)
        cancelled: list[Action] = []
        if inbound is not None and not inbound.keyed:
            cancelled = self._cancel_downstream(now, exchange)
        ended = self.ingress.caller_disconnected(now, exchange)
        return self._process(now, wall, [*cancelled, *ended])

    def _cancel_downstream(self, now: float, exchange: int) -> list[Action]:
        """Cancel the downstream calls that the target made for a call that ended."""
        inbound = self.ingress.calls.get(exchange)
        if inbound is None or not inbound.downstream_tokens:
            return []
        actions: list[Action] = []
        for token in tuple(inbound.downstream_tokens):
            self._release_token(now, token)
            actions += self.egress.caller_disconnected(now, token)
            actions.append(
                _refusal_reply(token, Reason.CANCELLED, outcome=Outcome.UNKNOWN)
            )
        return actions

    def _release_token(self, now: float, token: int) -> None:
        parent = self.parent_calls.pop(token, None)
        if parent is not None:
            parent.downstream_tokens.discard(token)
        self.edge.end_attempt(now, token)

    def _process(
        self, now: float, wall: float, initial_steps: Iterable[Action | Answer]
    ) -> list[Action]:
        """Process answers and calls between ingress and egress of this node.

        Return the actions that the driver has to carry out.
        """
        steps: deque[Action | Answer] = deque(initial_steps)
        actions: list[Action] = []
        while steps:
            step = steps.popleft()
            if isinstance(step, Answer):
                steps.extend(self._ingress_answer(now, wall, step))
            elif isinstance(step, SendPeerCall) and step.target == self.name:
                steps.extend(self.ingress.receive_call(now, wall, step.call))
            elif (
                isinstance(step, CancelPeerCall) and step.exchange in self.ingress.calls
            ):
                steps.extend(self._disconnect_call(now, wall, step.exchange))
            else:
                if isinstance(step, Reply):
                    self._record_reply(now, step)
                actions.append(step)
        return actions

    def _ingress_answer(self, now: float, wall: float, answer: Answer) -> list[Action]:
        token = self.peer_tokens.pop(answer.exchange, None)
        if token is None:
            return list(self.egress.handle_answer(now, wall, answer))
        self.peer_exchanges.pop(token, None)
        return [Reply(token, answer)]

    def _record_reply(self, now: float, reply: Reply) -> None:
        parent = self.parent_calls.get(reply.token)
        answer = reply.answer
        if parent is not None and answer.outcome is Outcome.COMPLETE:
            parent.unanswered.pop(reply.token, None)
        if parent is not None and answer.reason in SHED_REASONS:
            parent.downstream_retry_after = answer.retry_after or DEFAULT_RETRY_AFTER_S
        self._release_token(now, reply.token)


def _refuse_client(token: int, request: Request, reason: Reason) -> Reply:
    """Refuse a client request before anything was sent.

    The outcome is unknown if the client supplied a key, because an earlier attempt
    may have run at another node.
    """
    outcome = Outcome.NOT_RUN if key_of(request) is None else Outcome.UNKNOWN
    retry_after = DEFAULT_RETRY_AFTER_S if REASONS[reason].retry_later else None
    return _refusal_reply(token, reason, retry_after, outcome=outcome)


def _refusal_reply(
    token: int,
    reason: Reason,
    retry_after: float | None = None,
    *,
    outcome: Outcome = Outcome.NOT_RUN,
) -> Reply:
    answer = refusal_answer(
        exchange=0, outcome=outcome, reason=reason, retry_after=retry_after
    )
    return Reply(token, answer)
