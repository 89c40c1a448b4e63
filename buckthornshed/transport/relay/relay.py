"""A relay: routes requests of clients and of its target to the targets of a service.

The relay connects the sockets to the decision logic of `coordination.relay`. It serves
clients, exchanges calls with other relays and runs calls at the target beside it.
"""

from bisect import bisect_left
from collections.abc import Callable
from typing import TYPE_CHECKING

from ...coordination.relay.admission.answer_memory import AnswerMemory
from ...coordination.relay.admission.request_memory import RequestMemory
from ...coordination.relay.dispatch_messages import (
    CancelCall,
    DeliverAnswer,
    DispatchAction,
    FailRequest,
    SendCall,
)
from ...coordination.relay.dispatcher import Dispatcher
from ...coordination.relay.placement.load_balancer import Availability, LoadBalancer
from ...coordination.relay.retries.retried_runs import RetriedRuns
from ...coordination.relay.retries.retry_budget import RetryBudget
from ...protocol.relay_messages import (
    CancelMessage,
    DrainNotice,
    HeaderNames,
    Hello,
)
from ...state.catalog import Catalog, Target
from ...state.relay_settings import RelaySettings
from ..buffer_budget import BufferBudget
from .clients.client_listener import ClientListener
from .clients.client_requests import ClientRequests
from .clients.client_responses import ClientResponses
from .clients.request_router import RequestRouter
from .counts import RelayCounts
from .crashes.crash_reports import CrashReports
from .fleet.fleet_exchange import FleetExchange
from .fleet.status_exchange import StatusExchange
from .logs.access_log import AccessLog
from .peers.peer_links import PeerLinks
from .peers.peer_messages import PeerMessages
from .target.call_outcomes import CallKey
from .target.local_target import LocalTarget
from .target.target_reports import TargetReports
from .workspaces.quota_exchange import QuotaExchange

if TYPE_CHECKING:
    from random import Random

__all__ = ["Relay"]

RESERVED_DESCRIPTORS = 400
"""File descriptors that client connections may not use."""
BUFFER_FRACTION = 0.125
"""Part of the memory that incomplete messages may hold.

A message is copied a few times on its way, and all others need memory as well.
"""
ANSWER_MARGIN_S = 0.1
"""Time that the answer of a target that stopped at a deadline takes, at most."""
MAX_EARLIER_RUN_S = 30.0
"""Time after the start in which calls of earlier runs are expected, at most."""
TICKS_PER_STATUS = 8
"""Ticks between two status reports on the local target."""
TICKS_PER_LINK_CHECK = 2
"""Ticks between two checks of the links for one that has become silent."""
TICKS_PER_SWEEP = 20
"""Ticks between two checks for expired connections and registrations."""


class Relay:
    """One relay without the connection to the platform and the signal handling.

    Parameters
    ----------
    settings : RelaySettings
        Addresses and limits.
    names : HeaderNames
        Header names of the deployment.
    clock : callable
        Returns seconds of the monotonic clock.
    wall : callable
        Returns seconds of the wall clock.
    rng : random.Random
        Source of randomness for load balancing and jitter.
    """

    def __init__(
        self,
        *,
        settings: RelaySettings,
        names: HeaderNames,
        clock: Callable[[], float],
        wall: Callable[[], float],
        rng: "Random",
    ) -> None:
        self.settings = settings
        self.names = names
        self.clock = clock
        self.instance = settings.target_address.rpartition(":")[0]
        self.counts = RelayCounts()
        self.access_log = AccessLog(counts=self.counts)
        self.peer_messages = PeerMessages(relay=self)
        self.links = PeerLinks(
            hello=Hello(settings.name, int(wall() * 1e3), self.instance, True),
            port=settings.peer_port,
            handler=self.peer_messages,
            clock=clock,
            counts=self.counts,
        )
        self.load_balancer = LoadBalancer(
            failure_domain=settings.failure_domain, rng=rng
        )
        self.fleet_exchange = FleetExchange(
            instance=self.instance,
            failure_domain=settings.failure_domain,
            links=self.links,
            load_balancer=self.load_balancer,
            on_catalog=self._catalog_changed,
            on_targets=self._targets_changed,
            clock=clock,
            rng=rng,
            heartbeat=settings.heartbeat,
        )
        self.fleet_updater = self.fleet_exchange.updater
        self.counts.unusable_entries = self.fleet_updater.unusable
        self.fleet_view = self.fleet_updater.fleet_view
        self.budget = RetryBudget(limits=settings.retry_limits)
        self.crash_reports = CrashReports(
            instance=self.instance,
            service=settings.target_service,
            names=names,
            counts=self.counts,
            broadcast=self.links.broadcast,
            clock=clock,
            wall=wall,
        )
        buffers = BufferBudget(limit=int(settings.memory * BUFFER_FRACTION))
        self.local_target = LocalTarget(
            address=settings.target_address,
            names=names,
            deliver=self.peer_messages.deliver,
            on_leaving=self.fleet_updater.handle_leaving,
            covers_retried_run=lambda route: self.retried_runs.covered(clock(), route),
            crash_reports=self.crash_reports,
            access_log=self.access_log,
            clock=clock,
            buffers=buffers,
            unsent_bytes=self.peer_messages.unsent_bytes,
            memory=RequestMemory(memory=settings.memory),
        )
        self.statuses = StatusExchange(
            instance=settings.name,
            service=settings.target_service,
            limiter=self.local_target.limiter,
            graph=self.local_target.graph,
            broadcast=self.links.broadcast,
            send_in_turn=self.links.broadcast_in_turn,
        )
        self.admission = self.statuses.admission
        self.retried_runs = RetriedRuns(budget=self.budget, admission=self.admission)
        self.quotas = QuotaExchange(
            instance=self.instance,
            links=self.links,
            is_reachable=self.links.has_link,
            clock=clock,
        )
        request_memory = RequestMemory(memory=settings.memory)
        self.responses = ClientResponses(
            names=names,
            access_log=self.access_log,
            admission=self.admission,
            refund=self.quotas.refund,
            memory=AnswerMemory(
                memory=settings.memory,
                held_bytes=lambda: self.listener.unsent_bytes,
            ),
            request_memory=request_memory,
            clock=clock,
        )
        self.target_reports = TargetReports(
            fleet_view=self.fleet_view,
            load_balancer=self.load_balancer,
            local_target=self.local_target,
        )
        self.router = RequestRouter(
            names=names,
            fleet_view=self.fleet_view,
            local_target=self.local_target,
            counts=self.counts,
            service=settings.target_service,
            load_balancer=self.load_balancer,
            unanswered_time=self._unanswered_time,
        )
        self.dispatcher = Dispatcher(
            fleet_view=self.fleet_view,
            load_balancer=self.load_balancer,
            budget=self.budget,
            admission=self.admission,
            availability=self._availability,
            suspects=self.crash_reports.suspects,
            fingerprint=self.crash_reports.fingerprint,
            rng=rng,
        )
        self.requests = ClientRequests(
            names=names,
            router=self.router,
            quotas=self.quotas,
            dispatcher=self.dispatcher,
            responses=self.responses,
            offered=self.statuses.offered,
            execute=self.execute,
            clock=clock,
            request_memory=request_memory,
        )
        self.listener = ClientListener(
            handler=self.requests,
            max_connections=settings.descriptors - RESERVED_DESCRIPTORS,
            clock=clock,
            buffers=buffers,
        )
        self.leaving = False
        self.tick_count = 0
        self.started_at = clock()

    @property
    def ready(self) -> bool:
        """Whether the relay accepts new requests of clients."""
        return not self.responses.draining and self.fleet_view.catalog is not None

    @property
    def busy(self) -> bool:
        """Whether a request or a call is in progress."""
        return bool(self.responses.exchanges) or self.local_target.busy

    @property
    def unsent_bytes(self) -> int:
        """Bytes of answers that clients and other relays have not taken yet."""
        return self.listener.unsent_bytes + self.links.unsent_bytes

    @property
    def serves_clients(self) -> bool:
        """Whether a request of a client is in progress."""
        return bool(self.quotas.questions) or any(
            not p.request.nested for p in self.dispatcher.pending.values()
        )

    async def open(self) -> None:
        """Open the listening sockets."""
        await self.listener.open(self.settings.client_address)
        await self.links.open(self.settings.peer_address.rpartition(":")[0])

    def start_draining(self, ends_at: float) -> None:
        """Ask clients to use other relays.

        Requests still arrive and are served. The target goes on taking calls that are
        due before `ends_at`, as it would be missed by the others.
        """
        self.responses.draining = True
        self.router.ends_at = ends_at - ANSWER_MARGIN_S
        self.local_target.limiter.ends_at = ends_at

    def refuse_new_requests(self) -> None:
        """Refuse new requests of clients; those in progress are completed."""
        self.router.refusing = True

    def announce_leaving(self) -> None:
        """Ask other relays to use other targets."""
        self.leaving = True
        self.links.broadcast_to_sessions(DrainNotice())

    def refuse_new_calls(self) -> None:
        """Refuse new calls for the target.

        Calls in progress are completed, and may still make nested requests.
        """
        self.local_target.refuse_new_calls()

    def end_requests(self) -> None:
        """Answer all requests that are still in progress, as the process ends."""
        self.quotas.decide_all()
        self.execute(self.dispatcher.end_all())

    def tick(self) -> None:
        """Run the periodic work that is due."""
        now = self.clock()
        self.tick_count += 1
        self.local_target.tick(now)
        self.execute(self.dispatcher.tick(now))
        self.crash_reports.flush()
        self.quotas.tick(now)
        if self.tick_count % TICKS_PER_LINK_CHECK == 0:
            self.links.tick(now)
        if self.tick_count % TICKS_PER_STATUS == 0:
            self._broadcast_status(now)
            self.fleet_updater.remove_expired()
            self.quotas.refresh(now)
        if self.tick_count % TICKS_PER_SWEEP == 0:
            self.listener.close_expired()
            self.local_target.pool.close_expired()
            self.retried_runs.divide_slack()
            self.fleet_exchange.request_view()

    def execute(self, actions: list[DispatchAction]) -> None:
        """Carry out what the dispatcher decides."""
        for action in actions:
            if isinstance(action, SendCall):
                self._send(action)
            elif isinstance(action, DeliverAnswer):
                self.responses.deliver(action)
            elif isinstance(action, FailRequest):
                self.responses.fail(action)
            else:
                self._cancel(action)

    # Internal methods.

    def _catalog_changed(self) -> None:
        catalog = self.fleet_view.catalog
        assert catalog is not None
        self.listener.limits = catalog.limits
        names = {route.name for routes in catalog.routes.values() for route in routes}
        self.dispatcher.weighted_split.retain(names)
        self.dispatcher.answers.retain(names)
        self.admission.configure(catalog)
        self.quotas.configure(catalog)
        self.target_reports.update_local_target()
        if not self.settings.first_start:
            self._expect_earlier_calls(catalog)

    def _expect_earlier_calls(self, catalog: Catalog) -> None:
        """Expect calls of runs that the target began before this process started."""
        routes = [route for each in catalog.routes.values() for route in each]
        longest = max((route.timeout for route in routes), default=0.0)
        until = self.started_at + min(longest, MAX_EARLIER_RUN_S)
        self.local_target.parent_runs.expect_calls(until)

    def _unanswered_time(self, now: float, route: str) -> float:
        pending = self.dispatcher.pending.values()
        return self.dispatcher.answers.unanswered_time(now, route, pending)

    def _targets_changed(self) -> None:
        targets = self.fleet_view.targets
        self.fleet_exchange.update_peers(targets.values())
        instances = sorted({t.instance for t in targets.values()})
        self.budget.relays = max(1, len(instances))
        self.budget.rank = bisect_left(instances, self.instance)
        self.quotas.set_instances(instances)
        self.target_reports.update_local_target()
        self.target_reports.forget_removed_targets()
        self.target_reports.index_targets()

    def _broadcast_status(self, now: float) -> None:
        target = self.local_target.registration
        unreachable = frozenset(
            each.name
            for each in self.fleet_view.targets.values()
            if self._availability(each) is Availability.DOWN
            or each.name in self.fleet_view.outdated
        )
        self.statuses.report(
            now,
            "" if target is None else target.name,
            {
                service: sum(each.name not in unreachable for each in usable)
                for service, usable in self.fleet_view.usable.items()
            },
            unreachable,
        )

    def update_settings(self, settings: RelaySettings) -> None:
        """Apply the grace time and retry limits of changed settings.

        All other settings are fixed at the start.
        """
        self.settings = self.settings._replace(
            grace=settings.grace, retry_limits=settings.retry_limits
        )
        self.budget.set_limits(settings.retry_limits)

    def close(self) -> None:
        """Close all sockets immediately."""
        self.listener.stop_accepting()
        for connection in list(self.listener.connections):
            if connection.transport is not None:
                connection.transport.abort()
        self.links.close()
        self.local_target.pool.close_idle()

    def _availability(self, target: Target) -> Availability:
        if target.instance != self.instance:
            return self.links.availability(target.instance)
        if self.local_target.limiter.draining:
            return Availability.DOWN
        return Availability.DRAINING if self.leaving else Availability.UP

    def _send(self, action: SendCall) -> None:
        instance = action.target.instance
        if instance == self.instance:
            key = CallKey(0, action.message.exchange)
            self.local_target.submit(key, action.message)
        else:
            self.links.send(instance, action.message)

    def _cancel(self, action: CancelCall) -> None:
        instance = action.target.instance
        if instance == self.instance:
            self.local_target.cancel(CallKey(0, action.exchange))
        else:
            self.links.discard_exchange(instance, action.exchange)
            self.links.send(instance, CancelMessage(action.exchange))
