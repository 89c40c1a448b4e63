"""Log of completed requests and calls.

Failures, refusals and retried requests are always logged. Other successes are sampled
by a hash of the identifier of the request that started the call chain, so that all
relays log the same chains.
"""

import logging
import zlib
from typing import Any
from urllib.parse import quote

from ....coordination.relay.dispatch_messages import (
    Attempt,
    DeliverAnswer,
    FailRequest,
    RoutedRequest,
)
from ....protocol.relay_messages import AnswerMessage, CallMessage, RefusalMessage
from ...logs import log_event
from ..counts import RelayCounts

__all__ = ["AccessLog"]

SUCCESS_SAMPLING_INTERVAL = 32
"""One of this many call chains has its successes logged."""


class AccessLog:
    """Logs and counts completed requests and calls.

    Parameters
    ----------
    counts : RelayCounts
        Counters of the relay.
    """

    def __init__(self, *, counts: RelayCounts) -> None:
        self.counts = counts

    def log_answer(self, now: float, action: DeliverAnswer) -> None:
        """Log and count a request that got a target's answer."""
        request, status = action.request, action.answer.status
        seconds = now - request.arrived
        failed = action.answer.failed
        outcome = "target_failed" if failed else "answered"
        num_attempts = len(action.attempts)
        self.counts.record_request(request.route.name, outcome, seconds, num_attempts)
        if failed or num_attempts > 1 or is_sampled(request.request_id):
            log_event(
                "request_answered",
                level=logging.INFO if failed else logging.DEBUG,
                **_request_fields(now, request),
                status=status,
                attempts=_format_attempts(request, action.attempts),
            )

    def log_failure(
        self, now: float, action: FailRequest, *, status: int, share: float
    ) -> None:
        """Log and count a request that the relay answered itself."""
        request = action.request
        reason = action.reason.name.lower()
        seconds = now - request.arrived
        num_attempts = len(action.attempts)
        self.counts.record_request(request.route.name, reason, seconds, num_attempts)
        log_event(
            "request_given_up",
            **_request_fields(now, request),
            status=status,
            reason=reason,
            may_have_run=action.may_have_run,
            retry_after=round(action.retry_after, 3),
            share=round(share, 2),
            attempts=_format_attempts(request, action.attempts),
        )

    def log_over_quota(
        self, now: float, request: RoutedRequest, *, retry_after: float
    ) -> None:
        """Log and count a request beyond the quota of its workspace."""
        self.counts.record_request(
            request.route.name, "over_quota", now - request.arrived, 0
        )
        log_event(
            "request_over_quota",
            **_request_fields(now, request),
            status=429,
            reason="over_quota",
            retry_after=round(retry_after, 3),
        )

    def log_call(
        self,
        now: float,
        message: CallMessage,
        outcome: AnswerMessage | RefusalMessage,
        *,
        arrived: float,
        started: float | None,
    ) -> None:
        """Log and count the end of a call for the local target."""
        if isinstance(outcome, AnswerMessage):
            result, failed = str(outcome.status), outcome.failed
        else:
            result, failed = outcome.reason.name.lower(), True
        self.counts.calls[(result,)] += 1
        if not failed and not is_sampled(message.request_id):
            return
        queue_time = (now if started is None else started) - arrived
        log_event(
            "call_ended",
            level=logging.INFO if failed else logging.DEBUG,
            request=message.request_id.decode("latin-1"),
            route=message.route,
            rank=message.rank,
            target=message.target,
            result=result,
            waited_ms=round(queue_time * 1e3, 1),
            ran_ms=0 if started is None else round((now - started) * 1e3, 1),
            allowed_ms=round(message.time_left * 1e3, 1),
            load=round(outcome.load, 2),
        )


def is_sampled(request_id: bytes) -> bool:
    """Whether successes of a call chain are logged; the same on all relays."""
    chain_id = request_id.partition(b".")[0]
    return zlib.crc32(chain_id) % SUCCESS_SAMPLING_INTERVAL == 0


def _request_fields(now: float, request: RoutedRequest) -> dict[str, Any]:
    request_id = request.request_id.decode("latin-1")
    return {
        "request": request_id,
        "parent": _parent(request),
        "route": request.route.name,
        "rank": request.rank,
        "workspace": request.workspace or "-",
        "ms": round((now - request.arrived) * 1e3, 1),
        "left_ms": round((request.deadline - now) * 1e3, 1),
    }


def _parent(request: RoutedRequest) -> str:
    """Return the run that made a request, `?` if it is not known which one."""
    if not request.nested:
        return "-"
    return request.parent.decode("latin-1") or "?"


def _format_attempts(request: RoutedRequest, attempts: tuple[Attempt, ...]) -> str:
    """Return the attempts of a request as text.

    Each attempt has its target and the target's start time, the time since the request
    arrived, the load that the target was chosen by, the age of that load and the
    result. Names are percent-encoded, as they may contain spaces and commas.
    """
    return " ".join(
        f"{quote(attempt.target.name)}/{attempt.target.started}"
        f"@{(attempt.sent_at - request.arrived) * 1e3:.0f}ms"
        f",load={attempt.load:.2f},age={attempt.load_age * 1e3:.0f}ms"
        f",end={'answer' if attempt.reason is None else attempt.reason.name.lower()}"
        for attempt in attempts
    )
