"""Checks that an answer is complete and belongs to its request."""

from collections.abc import Collection
from typing import Any, NamedTuple

import msgspec

from ..standins.behaviour import Deployment, find_route

__all__ = ["ExpectedAnswer", "expected_answer", "find_answer_error"]


class ExpectedAnswer(NamedTuple):
    """The expected content of an answer.

    Parameters
    ----------
    service, route : str
        Service that answers, and method and path prefix of its route.
    required : bool
        Whether an answer without this part is an error.
    parts : tuple of ExpectedAnswer
        Expected answers of the downstream calls, in order.
    """

    service: str
    route: str
    required: bool
    parts: tuple["ExpectedAnswer", ...]


def expected_answer(
    deployment: Deployment,
    service: str,
    method: str,
    path: str,
    *,
    required: bool = True,
) -> ExpectedAnswer | None:
    """Return the expected answer of a route, None if the route is unknown."""
    if service not in deployment.service:
        return None
    route = find_route(deployment.service[service], method, path)
    if route is None:
        return None
    parts = []
    for call in route.calls:
        part = expected_answer(
            deployment, call.service, call.method, call.path, required=call.required
        )
        if part is not None:
            parts.append(part)
    name = f"{route.method} {route.path}"
    return ExpectedAnswer(service, name, required, tuple(parts))


def find_answer_error(
    body: bytes, accepted_ids: Collection[str], expected: ExpectedAnswer | None
) -> str | None:
    """Return the error in an answer, None if it is complete and of its request.

    ``accepted_ids`` are the request ids that its parts may carry: that of the attempt
    and, for a request with an idempotency key, those of its earlier attempts, since a
    retry may get the stored answer of the first run.
    """
    try:
        content = msgspec.json.decode(body)
    except msgspec.DecodeError as error:
        return f"invalid JSON: {error}"
    return find_part_error(content, accepted_ids, expected)


def find_part_error(
    content: Any, accepted_ids: Collection[str], expected: ExpectedAnswer | None
) -> str | None:
    """Return the error in one part of an answer or in its nested parts."""
    if not isinstance(content, dict):
        return f"part is {content!r:.40}"
    if content.get("request") not in accepted_ids:
        return f"part of request {content.get('request')!r}"
    if expected is None:
        return None
    actual = (content.get("service"), content.get("route"))
    if actual != (expected.service, expected.route):
        return f"part of {actual}, expected {expected[:2]}"
    parts = content.get("parts")
    if not isinstance(parts, list) or len(parts) != len(expected.parts):
        return f"{expected.service}: wrong number of parts"
    for part, expected_part in zip(parts, expected.parts, strict=True):
        if part is None and not expected_part.required:
            continue
        error = find_part_error(part, accepted_ids, expected_part)
        if error is not None:
            return error
    return None
