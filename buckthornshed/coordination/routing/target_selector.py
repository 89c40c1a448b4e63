"""Selection of the target of each outgoing call, by key owner or by load."""

from typing import TYPE_CHECKING

from ...protocol.http import get_header
from ...protocol.messages import Answer, Call, Fault
from ...protocol.outcome import Outcome, Reason
from ..entry.retry_after import RetryAfterSchedule
from ..entry.thresholds import DownstreamThresholds, admission_level
from ..knowledge.ownership import owner_id
from ..knowledge.view import RoutePolicies, View
from ..outcomes.invocation_outcomes import KeySource
from ..outcomes.keys import has_single_sender, parse_key
from .pending_calls import PendingCall
from .service_balancer import ServiceBalancer
from .shift import provider_of

if TYPE_CHECKING:
    from random import Random

__all__ = ["ACCOUNT_HEADER", "TargetSelector"]

MAX_THRESHOLDS = 4_096
ACCOUNT_HEADER = b"buckthornshed-account"

TARGET_FAULT_REASONS = frozenset(
    {Reason.NO_TARGET, Reason.ANSWER_LOST, Reason.ANSWER_INVALID}
)
"""Reasons with which a node reports that its local target failed.

They count as failures of the target. Such a node answers immediately, so without this
rule its target would look idle and attract all calls.
"""


class TargetSelector:
    """Selects the targets of the calls that one node sends.

    Parameters
    ----------
    name : str
        Name of the local target of the node.
    domain : str
        Failure domain of the node.
    rng : random.Random
        Source of random numbers for load balancing and jitter.
    """

    def __init__(self, *, name: str, domain: str, rng: "Random") -> None:
        self.name = name
        self.domain = domain
        self.rng = rng
        self.view: View | None = None
        self.draining = False
        self.balancers: dict[str, ServiceBalancer] = {}
        self.thresholds = DownstreamThresholds(entries=MAX_THRESHOLDS)
        self.retry_after_schedules: dict[str, RetryAfterSchedule] = {}

    def configure(self, now: float, view: View) -> None:
        """Apply a configuration view.

        Measurements of unchanged targets are kept; the schedules of Retry-After times
        start anew.
        """
        self.view = view
        self.retry_after_schedules = {}
        for service, balancer in self.balancers.items():
            balancer.update(now, view.targets_of(service))

    def mark_draining(self, now: float, target: str) -> None:
        """Send no new calls to a target that is draining."""
        for balancer in self.balancers.values():
            balancer.mark_draining(now, target)

    def provider_of_call(self, call: Call) -> str | None:
        """Return the provider that serves a request, or None without a shift."""
        assert self.view is not None
        shift = self.view.shift_of(call.service)
        if shift is None:
            return None
        account = (get_header(call.headers, ACCOUNT_HEADER) or b"").decode("latin-1")
        request_id = call.context.request_id
        return provider_of(shift, request_id=request_id, account=account).provider

    def would_be_refused(self, now: float, call: Call, policies: RoutePolicies) -> bool:
        """Return whether all known targets are expected to refuse the call.

        The refusal may also come from a target downstream of them.
        """
        context = call.context
        level = admission_level(context.priority, context.request_id)
        return level < self.thresholds.route_threshold(now, policies.name)

    def choose(self, now: float, pending: PendingCall) -> str | None:
        """Return the target of the next send, or None if there is none.

        Repeatable work is balanced by load. Other work goes to the owner of its key.
        If only this node sends the key, it goes to the target to which the key is
        bound, and by load as long as it is not bound.
        """
        if pending.policies.repeatable:
            return self._choose_by_load(now, pending, fallback=True)
        assert self.view is not None
        key = pending.call.context.key
        if key is None:
            return None
        raw = parse_key(key).raw
        if has_single_sender(raw):
            key_owner = pending.key_owners.get((pending.call.service, key))
            if key_owner is None:
                return self._choose_by_load(now, pending, fallback=True)
            return self._target_of_same_instance(pending.call.service, key_owner)
        owner = self.view.owners_of(pending.call.service).owner_of(raw)
        return None if owner is None else _target_of(owner)

    def bind_key(self, pending: PendingCall) -> None:
        """Bind the key of a call to the target to which it is sent.

        Retries of a key that only this node sends go to the bound target.
        """
        key = pending.call.context.key
        if key is not None:
            service = pending.call.service
            pending.key_owners[service, key] = self._owner_id(service, pending.target)

    def _owner_id(self, service: str, target: str) -> str:
        assert self.view is not None
        return owner_id(target, self.view.targets_of(service)[target]["address"])

    def _target_of_same_instance(self, service: str, owner: str) -> str | None:
        """Return the name of the target of an owner.

        None if the target was removed or its name now belongs to another instance.
        """
        assert self.view is not None
        name = _target_of(owner)
        if name not in self.view.targets_of(service):
            return None
        return name if self._owner_id(service, name) == owner else None

    def unbind_key_if_not_run(self, pending: PendingCall) -> None:
        """Allow a key to be sent to another target if it is known not to have run."""
        key = pending.call.context.key
        if key is not None and pending.sends.reported_outcome is Outcome.NOT_RUN:
            pending.key_owners.pop((pending.call.service, key), None)

    def _choose_by_load(
        self, now: float, pending: PendingCall, *, fallback: bool
    ) -> str | None:
        context = pending.call.context
        level = admission_level(context.priority, context.request_id)
        excluded = [*pending.tried, self.name] if self.draining else pending.tried
        balancer = self.balancer(now, pending.call.service)
        target = balancer.choose(
            now, exclude=excluded, provider=pending.provider, level=level
        )
        if target is None and fallback and pending.tried:
            return pending.tried[-1]
        return target

    def balancer(self, now: float, service: str) -> ServiceBalancer:
        """Return the balancer of a service, created on first use."""
        balancer = self.balancers.get(service)
        if balancer is None:
            assert self.view is not None
            balancer = ServiceBalancer(
                service=service,
                local_domain=self.domain,
                region_of=self._region_of,
                rng=self.rng,
            )
            balancer.update(now, self.view.targets_of(service))
            self.balancers[service] = balancer
        return balancer

    def _region_of(self, domain: str) -> str | None:
        return None if self.view is None else self.view.region_of(domain)

    def record_answer(self, now: float, pending: PendingCall, answer: Answer) -> None:
        """Update the state of a target from one of its answers."""
        service, target = pending.call.service, pending.target
        balancer = self.balancer(now, service)
        complete = answer.outcome is Outcome.COMPLETE
        latency = now - pending.sent_at if complete else None
        if answer.reason in TARGET_FAULT_REASONS:
            maybe_sent = answer.outcome is not Outcome.NOT_RUN
            fault = Fault(answer.exchange, maybe_sent, "a fault of its target")
            balancer.record_failure(now, target, fault)
            return
        if complete:
            self.retry_after_schedule(service).record_finish(now)
        balancer.record_answer(now, target, answer.signal, latency)
        if answer.signal.draining:
            balancer.mark_draining(now, target)
        self.thresholds.record(
            now, pending.policies.name, target, answer.signal.threshold
        )

    def has_untried_target(self, now: float, pending: PendingCall) -> bool:
        """Return whether a retry may go to a target that this call has not tried.

        This holds for repeatable work and for a key that this node generated and that
        is known not to have run. Other work has to return to the same owner.
        """
        key_generated_here = pending.sends.key_source is KeySource.GENERATED
        if not pending.policies.repeatable and not (
            key_generated_here and pending.sends.outcome is Outcome.NOT_RUN
        ):
            return False
        return self._choose_by_load(now, pending, fallback=False) is not None

    def retry_after_schedule(self, service: str) -> RetryAfterSchedule:
        """Return the Retry-After schedule for callers refused for a service."""
        schedule = self.retry_after_schedules.get(service)
        if schedule is None:
            assert self.view is not None
            policy = self.view.admission_of(service)
            schedule = RetryAfterSchedule(
                min_delay=policy["retry_after_min_s"],
                max_delay=policy["retry_after_max_s"],
            )
            self.retry_after_schedules[service] = schedule
        return schedule


def _target_of(owner: str) -> str:
    return owner.partition("@")[0]
