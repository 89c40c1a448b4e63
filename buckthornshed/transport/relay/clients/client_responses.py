"""Final responses to the requests of clients and of the local target."""

import logging
from collections.abc import Callable

from ....coordination.relay.admission.answer_memory import AnswerMemory
from ....coordination.relay.admission.controller import AdmissionController
from ....coordination.relay.admission.demand_class import class_name
from ....coordination.relay.admission.request_memory import RequestMemory
from ....coordination.relay.dispatch_messages import (
    DeliverAnswer,
    FailRequest,
    RoutedRequest,
)
from ....protocol.relay_messages import HeaderNames, RefusalReason
from ...logs import log_event
from ..logs.access_log import AccessLog
from .client_listener import Exchange
from .responses import local_response, refusal_status

__all__ = ["ClientResponses"]

BAD_GATEWAY_STATUS = 502
OVER_QUOTA_STATUS = 429


class ClientResponses:
    """Writes and logs one response for each exchange.

    Parameters
    ----------
    names : HeaderNames
        Header names of the deployment.
    access_log : AccessLog
        Logs the ends of requests.
    admission : AdmissionController
        Records whether requests of clients succeeded.
    refund : callable
        Called with the workspace of a request that was not run.
    memory : AnswerMemory
        Bounds the bytes of answers that clients have not read.
    request_memory : RequestMemory
        Bounds the bytes of requests that are in progress.
    clock : callable
        Returns seconds of the monotonic clock.

    Attributes
    ----------
    exchanges : dict
        Exchanges without a response, by token.
    draining : bool
        Whether connections close after their latest response.
    """

    def __init__(
        self,
        *,
        names: HeaderNames,
        access_log: AccessLog,
        admission: AdmissionController,
        refund: Callable[[str], None],
        memory: AnswerMemory,
        request_memory: RequestMemory,
        clock: Callable[[], float],
    ) -> None:
        self.names = names
        self.access_log = access_log
        self.admission = admission
        self.refund = refund
        self.memory = memory
        self.request_memory = request_memory
        self.clock = clock
        self.exchanges: dict[int, Exchange] = {}
        self.draining = False

    def deliver(self, action: DeliverAnswer) -> None:
        """Respond with the answer of a target."""
        self.memory.end(action.token)
        self.request_memory.end(action.token)
        exchange = self.exchanges.pop(action.token, None)
        if exchange is None:
            return
        answer = action.answer
        if not self.memory.accept(action.request.route.name, len(answer.body)):
            self._drop_answer(exchange, action)
            return
        close = self._should_close(exchange)
        head_end = b"connection: close\r\n\r\n" if close else b"\r\n"
        body = b"" if exchange.head_only else answer.body
        data = b"".join((answer.head, head_end, body))
        exchange.connection.respond(exchange, data, close=close)
        self._record_attempt(action.request, succeeded=not answer.failed)
        self.access_log.log_answer(self.clock(), action)

    def _drop_answer(self, exchange: Exchange, action: DeliverAnswer) -> None:
        """Respond with a failure in place of an answer that there is no room for.

        The memory limit would end the process, and all other requests with it.
        """
        request = action.request
        self.respond_locally(exchange, BAD_GATEWAY_STATUS, request.request_id, None)
        self._record_attempt(request, succeeded=False)
        log_event(
            "answer_dropped",
            level=logging.WARNING,
            request=request.request_id.decode("latin-1"),
            bytes=len(action.answer.body),
            held=self.memory.held_bytes(),
        )

    def fail(self, action: FailRequest) -> None:
        """Respond in place of a target."""
        request = action.request
        self.memory.end(action.token)
        self.request_memory.end(action.token)
        if request.workspace and not request.nested and not action.may_have_run:
            self.refund(request.workspace)
        exchange = self.exchanges.pop(action.token, None)
        if exchange is None:
            return
        status = refusal_status(action.reason, may_have_run=action.may_have_run)
        retry_after = None if action.may_have_run else action.retry_after
        self.respond_locally(exchange, status, action.request.request_id, retry_after)
        if action.reason is not RefusalReason.QUARANTINED:
            # Other requests of the route are not to lose their share because of it.
            self._record_attempt(action.request, succeeded=False)
        demand_class = class_name(request.route.name, request.priority)
        share = self.admission.shares.get(demand_class, 1.0)
        self.access_log.log_failure(self.clock(), action, status=status, share=share)

    def refuse_over_quota(
        self, exchange: Exchange, request: RoutedRequest, retry_after: float
    ) -> None:
        """Refuse a request beyond the quota; `retry_after` is in seconds."""
        del self.exchanges[exchange.token]
        status = OVER_QUOTA_STATUS
        self.respond_locally(exchange, status, request.request_id, retry_after)
        self.access_log.log_over_quota(self.clock(), request, retry_after=retry_after)

    def respond_locally(
        self,
        exchange: Exchange,
        status: int,
        request_id: bytes,
        retry_after: float | None,
    ) -> None:
        """Respond with a status of the relay; `retry_after` is in seconds."""
        close = self._should_close(exchange)
        data = local_response(status, self.names, request_id, retry_after, close=close)
        exchange.connection.respond(exchange, data, close=close)

    def _record_attempt(self, request: RoutedRequest, *, succeeded: bool) -> None:
        if not request.nested:
            self.admission.success_rates.record_attempt(
                request.route.name, succeeded=succeeded
            )

    def _should_close(self, exchange: Exchange) -> bool:
        """Whether the connection closes after a response.

        While draining, it closes after the response to the latest request. Pipelined
        requests may already have been sent to targets, so all of them are answered
        first.
        """
        return self.draining and exchange.connection.is_last(exchange)
