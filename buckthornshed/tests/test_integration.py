"""Tests of the ASGI middleware and httpx transport that propagate the call context."""

import anyio
import httpx
import pytest

from buckthornshed.coordination.outcomes.keys import parse_key
from buckthornshed.integration import (
    CallError,
    CallFailedError,
    CallNotRunError,
    CallUnknownError,
    ContextMiddleware,
    EgressTransport,
    create_key,
    current_context,
    read_outcome,
)
from buckthornshed.protocol.outcome import Outcome

EGRESS = "127.0.0.1:9003"
CONTEXT = "1f2e3d"
TRACE = "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01"
KEY = "01890a5d-ac96-774b-bcce-b302099a8057"
INCOMING = {
    "buckthornshed-context": CONTEXT,
    "traceparent": TRACE,
    "idempotency-key": KEY,
    "buckthornshed-deadline-ms": "800",
}


class Egress:
    """Fake egress that answers calls with the right context and refuses others."""

    def __init__(self):
        self.seen = []

    def __call__(self, request):
        self.seen.append(request)
        if request.headers.get("buckthornshed-context") != CONTEXT:
            return create_refusal("not_run", "bad-request", 400)
        outcome = {"buckthornshed-outcome": "complete"}
        return httpx.Response(200, text="free: 4", headers=outcome)


def create_refusal(outcome, reason, status, retry_after=None):
    headers = {"buckthornshed-outcome": outcome}
    if retry_after is not None:
        headers["retry-after"] = retry_after
    details = {"type": f"urn:buckthornshed:problem:{reason}", "status": status}
    return httpx.Response(status, json=details, headers=headers)


class Target:
    """ASGI application that calls another service before it answers."""

    def __init__(self, egress, headers=None, url="http://stables/stalls", **options):
        inner = httpx.MockTransport(egress)
        self.transport = EgressTransport(egress=EGRESS, inner=inner, **options)
        self.headers = headers
        self.url = url

    async def __call__(self, scope, receive, send):
        async with httpx.AsyncClient(transport=self.transport) as client:
            response = await client.get(self.url, headers=self.headers)
        start = {"type": "http.response.start", "status": response.status_code}
        await send(start | {"headers": []})
        await send({"type": "http.response.body", "body": response.content})


def current_context_value():
    current = current_context()
    assert current is not None
    return current.context


def serve(application, headers=INCOMING):
    async def send():
        transport = httpx.ASGITransport(app=application)
        async with httpx.AsyncClient(
            transport=transport, base_url="http://t"
        ) as client:
            return await client.get("/", headers=headers)

    return anyio.run(send)


@pytest.fixture
def egress():
    return Egress()


def test_call_carries_the_context_to_the_egress(egress):
    response = serve(ContextMiddleware(Target(egress)))
    assert (response.status_code, response.text) == (200, "free: 4")
    (call,) = egress.seen
    assert str(call.url) == "http://127.0.0.1:9003/stalls"
    assert call.headers["host"] == "stables"
    assert call.headers["buckthornshed-context"] == CONTEXT
    assert call.headers["traceparent"] == TRACE
    assert 0 < int(call.headers["buckthornshed-deadline-ms"]) <= 800
    assert "idempotency-key" not in call.headers


def test_call_without_the_middleware_has_no_context_and_is_refused(egress):
    response = serve(Target(egress))
    assert response.status_code == 400
    assert "buckthornshed-context" not in egress.seen[0].headers
    with pytest.raises(CallNotRunError) as caught:
        serve(Target(egress, raise_errors=True))
    assert caught.value.reason == "bad-request"


def test_context_is_reset_after_the_request(egress):
    serve(ContextMiddleware(Target(egress)))
    assert current_context() is None


def test_the_response_repeats_the_context_of_its_request(egress):
    response = serve(ContextMiddleware(Target(egress)))
    assert response.headers["buckthornshed-context"] == CONTEXT


def test_concurrent_requests_keep_their_own_contexts():
    seen = []

    async def application(scope, receive, send):
        before = current_context_value()
        await anyio.lowlevel.checkpoint()
        seen.append((before, current_context_value()))

    async def run():
        wrapped = ContextMiddleware(application)
        async with anyio.create_task_group() as group:
            for value in (b"a", b"b", b"c"):
                headers = [(b"Buckthornshed-Context", value)]
                scope = {"type": "http", "headers": headers}
                group.start_soon(wrapped, scope, None, None)

    anyio.run(run)
    assert sorted(seen) == [(b"a", b"a"), (b"b", b"b"), (b"c", b"c")]


def test_application_headers_cannot_override_the_context(egress):
    forged = {"buckthornshed-context": "ffff", "buckthornshed-deadline-ms": "99999"}
    serve(ContextMiddleware(Target(egress, headers=forged)))
    assert egress.seen[0].headers["buckthornshed-context"] == CONTEXT
    assert int(egress.seen[0].headers["buckthornshed-deadline-ms"]) <= 800


def test_key_is_forwarded_only_if_enabled_and_never_replaced(egress):
    serve(ContextMiddleware(Target(egress, forward_key=True)))
    own = create_key()
    headers = {"Idempotency-Key": own}
    serve(ContextMiddleware(Target(egress, headers=headers, forward_key=True)))
    keys = [call.headers["idempotency-key"] for call in egress.seen]
    assert keys == [KEY, own]


@pytest.mark.parametrize(
    ("outcome", "reason", "status", "retry_after", "error"),
    [
        ("not_run", "overload", 503, "2", CallNotRunError),
        ("failed", "key-completed", 409, None, CallFailedError),
        ("unknown", "answer-lost", 502, None, CallUnknownError),
    ],
)
def test_outcomes_raise_typed_errors_if_enabled(
    outcome, reason, status, retry_after, error
):
    def egress(request):
        return create_refusal(outcome, reason, status, retry_after)

    assert serve(ContextMiddleware(Target(egress))).status_code == status
    with pytest.raises(error) as caught:
        serve(ContextMiddleware(Target(egress, raise_errors=True)))
    assert isinstance(caught.value, CallError)
    assert caught.value.outcome == outcome
    assert caught.value.reason == reason
    assert caught.value.retry_after == (retry_after and float(retry_after))
    assert str(caught.value).startswith("GET stables/stalls: found outcome")


def test_call_after_the_deadline_is_not_sent(egress):
    expired = INCOMING | {"buckthornshed-deadline-ms": "0"}
    with pytest.raises(CallNotRunError):
        serve(ContextMiddleware(Target(egress, raise_errors=True)), expired)
    assert egress.seen == []


def test_response_without_outcome_is_returned_unchanged():
    def proxy(request):
        return httpx.Response(502, text="bad gateway")

    response = serve(ContextMiddleware(Target(proxy, raise_errors=True)))
    assert response.status_code == 502
    assert read_outcome(response) is None


def test_unrecognized_outcome_value_is_none():
    response = httpx.Response(200, headers={"buckthornshed-outcome": "perhaps"})
    assert read_outcome(response) is None
    complete = httpx.Response(200, headers={"buckthornshed-outcome": "complete"})
    assert read_outcome(complete) is Outcome.COMPLETE


def test_https_calls_are_rejected(egress):
    target = Target(egress, url="https://stables/stalls")
    with pytest.raises(httpx.UnsupportedProtocol):
        serve(ContextMiddleware(target))


def test_created_key_is_a_uuid_of_version_7():
    assert parse_key(create_key()).text[14] == "7"
