"""Requests of clients and nested requests of the target, up to their dispatch."""

from collections.abc import Callable

from ....coordination.relay.admission.demand_class import class_name
from ....coordination.relay.admission.offered_rates import OfferedRates
from ....coordination.relay.admission.request_memory import RequestMemory
from ....coordination.relay.dispatch_messages import (
    DispatchAction,
    FailRequest,
    RoutedRequest,
)
from ....coordination.relay.dispatcher import Dispatcher
from ....coordination.workspaces.quota_ledger import QuotaVerdict
from ....protocol.http import Request
from ....protocol.relay_messages import HeaderNames, RefusalReason
from ...logs import log_event
from ..workspaces.quota_exchange import QuotaExchange
from .client_listener import Exchange
from .client_responses import ClientResponses
from .request_router import RequestRouter, UnroutedRequest
from .responses import local_response

__all__ = ["ClientRequests"]

NO_MEMORY_STATUS = 503
MEMORY_RETRY_AFTER_S = 1.0
"""Time after which a client may ask again that others leave no memory for."""


class ClientRequests:
    """Matches requests to routes, applies quotas and dispatches them.

    Parameters
    ----------
    names : HeaderNames
        Header names of the deployment.
    router : RequestRouter
        Matches requests to routes and workspaces.
    quotas : QuotaExchange
        Admits requests within the quotas of their workspaces.
    dispatcher : Dispatcher
        Sends requests to targets.
    responses : ClientResponses
        Knows the exchanges that wait for a response.
    offered : OfferedRates
        Counts the requests of clients that are within their quotas.
    execute : callable
        Carries out what the dispatcher decides.
    clock : callable
        Returns seconds of the monotonic clock.
    request_memory : RequestMemory
        Bounds the bytes of requests that are in progress.
    """

    def __init__(
        self,
        *,
        names: HeaderNames,
        router: RequestRouter,
        quotas: QuotaExchange,
        dispatcher: Dispatcher,
        responses: ClientResponses,
        offered: OfferedRates,
        execute: Callable[[list[DispatchAction]], None],
        clock: Callable[[], float],
        request_memory: RequestMemory,
    ) -> None:
        self.names = names
        self.router = router
        self.quotas = quotas
        self.dispatcher = dispatcher
        self.responses = responses
        self.offered = offered
        self.execute = execute
        self.clock = clock
        self.request_memory = request_memory

    def handle_request(self, exchange: Exchange, request: Request) -> None:
        """Match a complete request to a route and dispatch it."""
        routed = self.router.route(self.clock(), request)
        if isinstance(routed, UnroutedRequest):
            request_id = self.router.request_id(request)
            self.responses.respond_locally(
                exchange, routed.status, request_id, routed.retry_after
            )
            return
        self.responses.exchanges[exchange.token] = exchange
        if routed.nested or not routed.workspace:
            self._dispatch(exchange, routed)
            return
        self.quotas.submit(
            routed.workspace,
            lambda verdict: self._apply_quota(exchange, routed, verdict),
        )

    def handle_disconnect(self, exchange: Exchange) -> None:
        """Cancel the call of a request whose client has disconnected."""
        self.responses.memory.end(exchange.token)
        self.request_memory.end(exchange.token)
        if self.responses.exchanges.pop(exchange.token, None) is not None:
            now = self.clock()
            self.execute(self.dispatcher.client_disconnected(now, exchange.token))

    def handle_rejection(self, status: int, detail: str) -> bytes:
        """Return the response to an invalid request."""
        log_event("request_rejected", status=status, detail=detail)
        retry_after = MEMORY_RETRY_AFTER_S if status == NO_MEMORY_STATUS else None
        return local_response(status, self.names, b"", retry_after, close=True)

    def _apply_quota(
        self, exchange: Exchange, routed: RoutedRequest, verdict: QuotaVerdict
    ) -> None:
        """Dispatch or refuse a request; its client may have left meanwhile."""
        if exchange.token not in self.responses.exchanges:
            if verdict.granted:
                self.quotas.refund(routed.workspace)
        elif verdict.granted:
            self._dispatch(exchange, routed)
        else:
            self.responses.refuse_over_quota(exchange, routed, verdict.retry_after)

    def _refuse_for_memory(self, exchange: Exchange, routed: RoutedRequest) -> None:
        """Refuse a request that there is no room for, or none for its answer."""
        log_event(
            "request_refused_memory",
            request=routed.request_id.decode("latin-1"),
            route=routed.route.name,
            held=self.responses.memory.held_bytes(),
        )
        self.responses.fail(
            FailRequest(
                token=exchange.token,
                request=routed,
                reason=RefusalReason.OVERLOAD,
                may_have_run=False,
                retry_after=MEMORY_RETRY_AFTER_S,
                attempts=(),
            )
        )

    def _dispatch(self, exchange: Exchange, routed: RoutedRequest) -> None:
        if not routed.nested:
            self.offered.count(class_name(routed.route.name, routed.priority))
        has_room = self.request_memory.begin(exchange.token, len(routed.body))
        if not (
            has_room and self.responses.memory.begin(exchange.token, routed.route.name)
        ):
            self._refuse_for_memory(exchange, routed)
            return
        actions = self.dispatcher.submit(self.clock(), exchange.token, routed)
        self.execute(actions)
