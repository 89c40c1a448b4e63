"""Typed HTTP/1.1 messages and their serialization.

The transport parses messages with a library; this module only serializes them.
"""

from http import HTTPStatus
from typing import NamedTuple

import msgspec

from .messages import Answer, Headers
from .outcome import REASONS, Reason

__all__ = [
    "ANSWER_HEADER",
    "CONTEXT_HEADER",
    "DEADLINE_HEADER",
    "IDEMPOTENCY_KEY_HEADER",
    "OUTCOME_HEADER",
    "Request",
    "add_problem_details",
    "forwardable_headers",
    "get_header",
    "is_final_status",
    "is_interim_status",
    "render_request",
    "render_response",
]

CONTEXT_HEADER = b"buckthornshed-context"
ANSWER_HEADER = b"buckthornshed-answer"
OUTCOME_HEADER = b"buckthornshed-outcome"
DEADLINE_HEADER = b"buckthornshed-deadline-ms"
IDEMPOTENCY_KEY_HEADER = b"idempotency-key"
RETRY_AFTER_HEADER = b"retry-after"

HOP_BY_HOP_HEADERS = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    }
)
"""Headers that apply to a single connection, see RFC 9110 section 7.6.1."""

INTERNAL_HEADERS = frozenset(
    {CONTEXT_HEADER, ANSWER_HEADER, OUTCOME_HEADER, DEADLINE_HEADER}
)
"""Headers that nodes set themselves; a received value is never forwarded."""

BODYLESS_STATUSES = frozenset({204, 304})

INTERIM_STATUSES = frozenset({100, 102, 103, 104})
"""Registered statuses of answers that are followed by another one.

101 ends the protocol on its connection, which no request here asks for.
"""
FINAL_STATUSES = range(200, 600)

STATUS_LINES = {
    status: b"HTTP/1.1 %d %s\r\n" % (status, phrase.encode("latin-1"))
    for status, phrase in [
        *((int(code), code.phrase) for code in HTTPStatus),
        (499, "Client Closed Request"),
    ]
}


class Request(NamedTuple):
    """A complete request with header names in lower case."""

    method: bytes
    path: bytes
    headers: Headers
    body: bytes


def is_interim_status(status: int) -> bool:
    """Return whether the answer to the request is still to come."""
    return status in INTERIM_STATUSES


def is_final_status(status: int) -> bool:
    """Return whether a status is one of the answer to a request.

    One that is neither final nor interim is no answer in the protocol (RFC 9110,
    section 15). Nothing may be concluded from it, not even that another one follows.
    """
    return status in FINAL_STATUSES


def get_header(headers: Headers, name: bytes) -> bytes | None:
    """Return the value of the first header called `name`, None if it is missing."""
    for key, value in headers:
        if key == name:
            return value
    return None


def forwardable_headers(headers: Headers) -> Headers:
    """Return the headers that may be forwarded to the next hop.

    Hop-by-hop headers, internal headers and all headers named in a Connection header
    are removed.
    """
    connection_options: set[bytes] = set()
    for key, value in headers:
        if key == b"connection":
            connection_options.update(
                part.strip().lower() for part in value.split(b",")
            )
    dropped = (
        HOP_BY_HOP_HEADERS | INTERNAL_HEADERS | connection_options
        if connection_options
        else HOP_BY_HOP_HEADERS | INTERNAL_HEADERS
    )
    return tuple(pair for pair in headers if pair[0] not in dropped)


def render_request(request: Request, extra: Headers) -> bytes:
    """Return the bytes of a request with the headers in `extra` appended."""
    lines = [request.method, b" ", request.path, b" HTTP/1.1\r\n"]
    for name, value in request.headers:
        lines += (name, b": ", value, b"\r\n")
    for name, value in extra:
        lines += (name, b": ", value, b"\r\n")
    if request.body or request.method in (b"POST", b"PUT", b"PATCH"):
        lines.append(b"content-length: %d\r\n" % len(request.body))
    lines += (b"\r\n", request.body)
    return b"".join(lines)


def render_response(
    answer: Answer, extra: Headers = (), *, head_only: bool = False, close: bool = False
) -> bytes:
    """Return the bytes of the HTTP response for `answer`."""
    status_line = STATUS_LINES.get(answer.status) or b"HTTP/1.1 %d \r\n" % answer.status
    lines = [status_line]
    for name, value in answer.headers:
        lines += (name, b": ", value, b"\r\n")
    for name, value in extra:
        lines += (name, b": ", value, b"\r\n")
    if close:
        lines.append(b"connection: close\r\n")
    bodyless = answer.status in BODYLESS_STATUSES
    if not bodyless:
        lines.append(b"content-length: %d\r\n" % len(answer.body))
    lines.append(b"\r\n")
    if not (bodyless or head_only):
        lines.append(answer.body)
    return b"".join(lines)


def add_problem_details(answer: Answer, detail: str = "") -> Answer:
    """Return `answer` with Retry-After and problem details for the caller.

    An answer of the node itself gets problem details (RFC 9457) as its body. An answer
    of a target keeps its body.
    """
    headers = answer.headers
    if (
        answer.retry_after is not None
        and get_header(headers, RETRY_AFTER_HEADER) is None
    ):
        seconds = b"%d" % max(1, round(answer.retry_after))
        headers = (*headers, (RETRY_AFTER_HEADER, seconds))
    if answer.reason is None or answer.body:
        return answer._replace(headers=headers)
    body = msgspec.json.encode(_problem_details(answer, answer.reason, detail))
    headers = (*headers, (b"content-type", b"application/problem+json"))
    return answer._replace(headers=headers, body=body)


def _problem_details(
    answer: Answer, reason: Reason, detail: str
) -> dict[str, str | int]:
    details: dict[str, str | int] = {
        "type": f"urn:buckthornshed:problem:{reason.value}",
        "title": REASONS[reason].title,
        "status": answer.status,
        "outcome": answer.outcome.value,
    }
    if detail:
        details["detail"] = detail
    return details
