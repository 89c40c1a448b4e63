"""Calls to services: where each one goes, and the one answer that comes back."""

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ..protocol.http import first
from ..protocol.messages import Answer, Call, Fault, refusal
from ..protocol.outcome import REASONS, Outcome, Reason
from .actions import CancelPeer, Reply, SendPeer
from .allowance import AllowanceAccount
from .integrity import (
    HopEvent,
    KeySource,
    Progress,
    Resend,
    Sends,
    hop_outcome,
)
from .keys import is_marked, parse_key
from .ownership import owner_id
from .return_times import ReturnTimes
from .routing import Router
from .shift import provider_of
from .thresholds import DownstreamThresholds, level
from .view import RoutePolicies, View

if TYPE_CHECKING:
    from random import Random

__all__ = ["ACCOUNT_HEADER", "Egress", "EgressAction", "PendingCall"]

EXCHANGE_BITS = 63
THRESHOLD_ENTRIES = 4_096
ACCOUNT_HEADER = b"buckthornshed-account"

RESENDABLE = frozenset(
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
"""Reasons after which another send can end differently.

A refusal for overload is not among them: one request meets one decision.
"""

TARGET_FAULTS = frozenset({Reason.NO_TARGET, Reason.ANSWER_LOST, Reason.ANSWER_INVALID})
"""Reasons by which a node says that the target beside it is at fault.

The node answers at once, so that such a target would look idle and draw all calls.
"""

EgressAction = SendPeer | CancelPeer | Reply


@dataclass(slots=True, kw_only=True)
class PendingCall:
    """A call that has not been answered yet.

    ``exchange`` is None between two sends; the next one is then due at
    ``resend_at``.
    """

    token: int
    call: Call
    policies: RoutePolicies
    account: AllowanceAccount
    sends: Sends
    provider: str | None
    bound: dict[tuple[str, str], str]
    tried: list[str] = field(default_factory=list)
    target: str = ""
    exchange: int | None = None
    sent_at: float = 0.0
    resend_at: float = 0.0


class Egress:
    """Sends calls to targets and answers each one once.

    Parameters
    ----------
    name : str
        Name of the target beside the node.
    domain : str
        Failure domain of the node.
    rng : random.Random
        Source of exchange numbers, keys and choices.
    """

    def __init__(self, *, name: str, domain: str, rng: "Random") -> None:
        self.name = name
        self.domain = domain
        self.rng = rng
        self.view: View | None = None
        self.leaving = False
        self.routers: dict[str, Router] = {}
        self.thresholds = DownstreamThresholds(entries=THRESHOLD_ENTRIES)
        self.pending: dict[int, PendingCall] = {}
        self.exchanges: dict[int, PendingCall] = {}
        self.returns: dict[str, ReturnTimes] = {}
        self.resends = 0

    def configure(self, now: float, view: View) -> None:
        """Bring a view into force; calls in flight go on."""
        self.view = view
        self.returns = {}
        for service, router in self.routers.items():
            router.update(now, view.targets_of(service))

    def mark_leaving(self, now: float, target: str) -> None:
        """Send no new work to a target that drains."""
        for router in self.routers.values():
            router.mark_leaving(now, target)

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
        bound: dict[tuple[str, str], str] | None = None,
    ) -> list[EgressAction]:
        """Send a call under the driver's token.

        `bound` keeps the target of each service and key that this node alone sends,
        over all calls that may send them.
        """
        pending = PendingCall(
            token=token,
            call=call,
            policies=policies,
            account=account,
            sends=Sends(repeatable=policies.repeatable, key=key_source),
            provider=self._provider(call),
            bound={} if bound is None else bound,
        )
        self._returns(call.service).offered(now)
        if call.context.deadline <= now:
            return [self._reply(now, pending, Reason.DEADLINE)]
        if key_source is not KeySource.BROUGHT and self._is_doomed(now, call, policies):
            return [self._reply(now, pending, Reason.OVERLOAD)]
        self.pending[token] = pending
        return self._dispatch(now, wall, pending)

    def answered(self, now: float, wall: float, answer: Answer) -> list[EgressAction]:
        """Take the answer of an exchange."""
        pending = self.exchanges.pop(answer.exchange, None)
        if pending is None:
            return []
        pending.exchange = None
        pending.account.settle(answer.exchange, answer.unspent)
        self._learn(now, pending, answer)
        by_owner = not pending.policies.repeatable
        told = pending.sends.ended(answer.outcome, answer.reason, by_owner=by_owner)
        self._release_denied(pending)
        if answer.outcome is Outcome.COMPLETE or not self._may_resend(
            now, pending, answer.reason
        ):
            del self.pending[pending.token]
            if answer.reason is Reason.KEY_UNPROVEN and told is Outcome.NOT_RUN:
                # The key was ours alone; its owner is not settled yet.
                return [self._reply(now, pending, Reason.NO_TARGET)]
            final = answer._replace(outcome=told, unspent=pending.account.available)
            return [Reply(pending.token, final, pending.call.context.priority)]
        return self._resend(now, wall, pending)

    def failed(self, now: float, wall: float, fault: Fault) -> list[EgressAction]:
        """Take the fault of an exchange."""
        pending = self.exchanges.pop(fault.exchange, None)
        if pending is None:
            return []
        pending.exchange = None
        pending.account.settle(fault.exchange, None)
        self._router(now, pending.call.service).failed(now, pending.target, fault)
        progress = Progress.STARTED if fault.started else Progress.HELD
        event = HopEvent.FAULT_SENT if fault.started else HopEvent.FAULT_UNSENT
        reason = Reason.ANSWER_LOST if fault.started else Reason.NO_TARGET
        pending.sends.ended(hop_outcome(progress, event), reason)
        self._release_denied(pending)
        if not self._may_resend(now, pending, reason):
            del self.pending[pending.token]
            return [self._reply(now, pending, reason)]
        return self._resend(now, wall, pending)

    def abandoned(self, now: float, token: int) -> list[EgressAction]:
        """Take the news that the caller behind a token went away."""
        pending = self.pending.pop(token, None)
        return [] if pending is None else self._cancel(now, pending)

    def tick(self, now: float, wall: float) -> list[EgressAction]:
        """Give up what has passed its deadline; send again what is due."""
        actions: list[EgressAction] = []
        for token, pending in list(self.pending.items()):
            if pending.call.context.deadline <= now:
                del self.pending[token]
                actions += self._expire(now, pending)
            elif pending.exchange is None and pending.resend_at <= now:
                actions += self._dispatch(now, wall, pending)
        return actions

    def _provider(self, call: Call) -> str | None:
        assert self.view is not None
        shift = self.view.shift_of(call.service)
        if shift is None:
            return None
        account = (first(call.headers, ACCOUNT_HEADER) or b"").decode("latin-1")
        request_id = call.context.request_id
        return provider_of(shift, request_id=request_id, account=account).provider

    def _is_doomed(self, now: float, call: Call, policies: RoutePolicies) -> bool:
        """Whether all known targets, or nodes below them, would refuse the call."""
        context = call.context
        importance = level(context.priority, context.request_id)
        return importance < self.thresholds.of_service(now, policies.name)

    def _dispatch(
        self, now: float, wall: float, pending: PendingCall
    ) -> list[EgressAction]:
        target = self._choose(now, pending)
        if target is None:
            del self.pending[pending.token]
            return [self._reply(now, pending, Reason.NO_TARGET)]
        exchange = self.rng.getrandbits(EXCHANGE_BITS)
        allowance = pending.account.lend(exchange, pending.account.share())
        context = pending.call.context._replace(exchange=exchange, allowance=allowance)
        pending.exchange = exchange
        pending.target = target
        pending.sent_at = now
        self._bind(pending)
        if target not in pending.tried:
            pending.tried.append(target)
        self.exchanges[exchange] = pending
        self._router(now, pending.call.service).sent(now, target)
        return [SendPeer(exchange, target, pending.call._replace(context=context))]

    def _choose(self, now: float, pending: PendingCall) -> str | None:
        if pending.policies.repeatable:
            return self._routed(now, pending, fallback=True)
        assert self.view is not None
        key = pending.call.context.key
        if key is None:
            return None
        raw = parse_key(key).raw
        if is_marked(raw):
            bound = pending.bound.get((pending.call.service, key))
            if bound is None:
                return self._routed(now, pending, fallback=True)
            return self._still_there(pending.call.service, bound)
        owner = self.view.owners_of(pending.call.service).owner_of(raw)
        return None if owner is None else _target_of(owner)

    def _bind(self, pending: PendingCall) -> None:
        """Keep to one target for a key that nobody else sends."""
        key = pending.call.context.key
        if key is not None:
            service = pending.call.service
            pending.bound[service, key] = self._owner_id(service, pending.target)

    def _owner_id(self, service: str, target: str) -> str:
        assert self.view is not None
        return owner_id(target, self.view.targets_of(service)[target]["address"])

    def _still_there(self, service: str, owner: str) -> str | None:
        """Return the target of an owner, unless another instance took its name."""
        assert self.view is not None
        name = _target_of(owner)
        if name not in self.view.targets_of(service):
            return None
        return name if self._owner_id(service, name) == owner else None

    def _release_denied(self, pending: PendingCall) -> None:
        """Let a key go elsewhere that its target did not run."""
        key = pending.call.context.key
        if key is not None and pending.sends.told is Outcome.NOT_RUN:
            pending.bound.pop((pending.call.service, key), None)

    def _routed(
        self, now: float, pending: PendingCall, *, fallback: bool
    ) -> str | None:
        context = pending.call.context
        importance = level(context.priority, context.request_id)
        excluded = [*pending.tried, self.name] if self.leaving else pending.tried
        router = self._router(now, pending.call.service)
        target = router.choose(
            now, exclude=excluded, provider=pending.provider, level=importance
        )
        if target is None and fallback and pending.tried:
            return pending.tried[-1]
        return target

    def _router(self, now: float, service: str) -> Router:
        router = self.routers.get(service)
        if router is None:
            assert self.view is not None
            router = Router(
                service=service,
                local_domain=self.domain,
                region_of=self._region_of,
                rng=self.rng,
            )
            router.update(now, self.view.targets_of(service))
            self.routers[service] = router
        return router

    def _region_of(self, domain: str) -> str | None:
        return None if self.view is None else self.view.region_of(domain)

    def _learn(self, now: float, pending: PendingCall, answer: Answer) -> None:
        service, target = pending.call.service, pending.target
        router = self._router(now, service)
        complete = answer.outcome is Outcome.COMPLETE
        latency = now - pending.sent_at if complete else None
        if answer.reason in TARGET_FAULTS:
            started = answer.outcome is not Outcome.NOT_RUN
            fault = Fault(answer.exchange, started, "a fault of its target")
            router.failed(now, target, fault)
            return
        if complete:
            self._returns(service).finished(now)
        router.answered(now, target, answer.signal, latency)
        if answer.signal.draining:
            router.mark_leaving(now, target)
        self.thresholds.learn(
            now, pending.policies.name, target, answer.signal.threshold
        )

    def _may_resend(
        self, now: float, pending: PendingCall, reason: Reason | None
    ) -> bool:
        """Whether the call is sent again; takes one from the allowance if so."""
        sends, policies = pending.sends, pending.policies
        if reason not in RESENDABLE or sends.resend is Resend.NOWHERE:
            return False
        if sends.key is KeySource.BROUGHT and sends.denied:
            # Its owner starts an attempt that the client issues from now on alone.
            return False
        if reason is Reason.KEY_UNPROVEN and sends.key is not KeySource.MINTED:
            return False
        after_failure = policies.retry.get("after", "failure") == "failure"
        harmless = sends.outcome is Outcome.NOT_RUN or not policies.repeatable
        if not (harmless or after_failure):
            return False
        if pending.call.context.deadline <= now:
            return False
        return pending.account.spend()

    def _resend(
        self, now: float, wall: float, pending: PendingCall
    ) -> list[EgressAction]:
        self.resends += 1
        if self._has_other(now, pending):
            return self._dispatch(now, wall, pending)
        backoff = pending.policies.retry["backoff_ms"] / 1e3
        pending.resend_at = now + backoff * (0.5 + self.rng.random())
        return []

    def _has_other(self, now: float, pending: PendingCall) -> bool:
        """Whether a target is left that this call has not tried."""
        minted = pending.sends.key is KeySource.MINTED
        if not pending.policies.repeatable and not (
            minted and pending.sends.outcome is Outcome.NOT_RUN
        ):
            return False
        return self._routed(now, pending, fallback=False) is not None

    def _cancel(self, now: float, pending: PendingCall) -> list[EgressAction]:
        exchange = pending.exchange
        if exchange is None:
            return []
        self.exchanges.pop(exchange, None)
        pending.account.settle(exchange, None)
        self._router(now, pending.call.service).cancelled(now, pending.target)
        return [CancelPeer(exchange)]

    def _expire(self, now: float, pending: PendingCall) -> list[EgressAction]:
        held = pending.exchange is None
        progress = Progress.HELD if held else Progress.STARTED
        outcome = hop_outcome(progress, HopEvent.EXPIRED)
        pending.sends.ended(outcome, Reason.DEADLINE)
        cancelled = self._cancel(now, pending)
        return [*cancelled, self._reply(now, pending, Reason.DEADLINE)]

    def _reply(self, now: float, pending: PendingCall, reason: Reason) -> Reply:
        retry_after = None
        if REASONS[reason].retry_later:
            priority = pending.call.context.priority
            retry_after = self._returns(pending.call.service).book(
                now, priority, self.rng
            )
        answer = refusal(
            exchange=0,
            outcome=pending.sends.told,
            reason=reason,
            unspent=pending.account.available,
            retry_after=retry_after,
        )
        return Reply(pending.token, answer, pending.call.context.priority)

    def _returns(self, service: str) -> ReturnTimes:
        """Return the lines of callers that this node refused for a service."""
        found = self.returns.get(service)
        if found is None:
            assert self.view is not None
            policy = self.view.admission_of(service)
            found = ReturnTimes(
                least=policy["retry_after_min_s"], greatest=policy["retry_after_max_s"]
            )
            self.returns[service] = found
        return found


def _target_of(owner: str) -> str:
    return owner.partition("@")[0]
