"""Heads of forwarded requests and responses, and responses of the relay itself."""

from ....protocol.http import STATUS_LINES, Request, forwardable_headers
from ....protocol.messages import Headers
from ....protocol.relay_messages import HeaderNames, RefusalReason

__all__ = ["local_response", "refusal_status", "request_head", "response_head"]

BODY_METHODS = frozenset({b"POST", b"PUT", b"PATCH"})

MAY_HAVE_RUN_STATUSES = {RefusalReason.TIMED_OUT: 504}
"""HTTP status by reason for requests that may have run; 502 for other reasons."""

NOT_RUN_STATUS = 503


def refusal_status(reason: RefusalReason, *, may_have_run: bool) -> int:
    """Return the HTTP status of a failed request.

    503 states that the request has not run, 502 and 504 that it may have.
    """
    return MAY_HAVE_RUN_STATUSES.get(reason, 502) if may_have_run else NOT_RUN_STATUS


def request_head(
    request: Request,
    names: HeaderNames,
    calling_service: bytes,
    workspace: str | None = None,
) -> bytes:
    """Return the head of a request for a target, without its final empty line.

    The relay beside the target adds the deadline and the expected target when it sends
    the request. `workspace` is the name of the workspace that the request belongs to,
    empty if it has none; None if there are no workspaces, and thus no keys to remove.
    """
    set_by_relay = [names.deadline, names.expected_target, names.calling_service]
    if workspace is not None:
        set_by_relay += (names.credential, names.workspace)
    lines = [request.method, b" ", request.path, b" HTTP/1.1\r\n"]
    for name, value in forwardable_headers(request.headers):
        if name not in set_by_relay:
            lines += (name, b": ", value, b"\r\n")
    lines += (names.calling_service, b": ", calling_service, b"\r\n")
    if workspace:
        lines += (names.workspace, b": ", workspace.encode(), b"\r\n")
    if request.body or request.method in BODY_METHODS:
        lines.append(b"content-length: %d\r\n" % len(request.body))
    return b"".join(lines)


def response_head(
    status: int, headers: Headers, body: bytes, *, head_only: bool = False
) -> bytes:
    """Return the head of a target's response, without its final empty line."""
    lines = [STATUS_LINES.get(status) or b"HTTP/1.1 %d \r\n" % status]
    for name, value in forwardable_headers(headers):
        lines += (name, b": ", value, b"\r\n")
    if head_only:
        lines += (b"%s: %s\r\n" % pair for pair in headers if pair[0] in LENGTH_HEADERS)
    elif status not in BODYLESS_STATUSES:
        lines.append(b"content-length: %d\r\n" % len(body))
    return b"".join(lines)


LENGTH_HEADERS = (b"content-length",)
BODYLESS_STATUSES = (204, 304)


def local_response(
    status: int,
    names: HeaderNames,
    request_id: bytes = b"",
    retry_after: float | None = None,
    *,
    close: bool = False,
) -> bytes:
    """Return a response that the relay generates; `retry_after` is in seconds."""
    lines = [STATUS_LINES[status]]
    if request_id:
        lines.append(b"%s: %s\r\n" % (names.request_id, request_id))
    if retry_after is not None:
        lines.append(b"retry-after: %.3f\r\n" % retry_after)
    if close:
        lines.append(b"connection: close\r\n")
    lines.append(b"content-length: 0\r\n\r\n")
    return b"".join(lines)
