"""Checks of routes and the policies that they refer to."""

from collections.abc import Iterator
from typing import NamedTuple

from .check_registry import CandidateSet, Fields, check, object_check
from .findings import Finding, short_repr

__all__: list[str] = []

LOW_PRIORITY_PURPOSES = frozenset({"browsing", "price_check"})
HIGH_PRIORITY_PURPOSES = frozenset({"booking", "deposit"})

KEY_FIELDS = ("lifetime_s", "clock_bound_ms", "entries")
SAFE_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})

DEFAULT_RETRY_CONDITION = "failure"
"""Value of ``after`` for a retry policy that does not set it."""

MS_PER_S = 1000


class _RankedRoute(NamedTuple):
    """A route with the rank of its priority, ordered by rank."""

    rank: int
    route: str


def _ranked_routes(
    candidate: CandidateSet, purposes: frozenset[str]
) -> list[_RankedRoute]:
    ranked_routes = []
    for name, fields in candidate.items("route"):
        rank = candidate.field("priority", fields.get("priority"), "rank")
        if rank is not None and fields.get("purpose") in purposes:
            ranked_routes.append(_RankedRoute(rank, name))
    return ranked_routes


@check("route", "priority")
def inverted_priorities(candidate: CandidateSet) -> Iterator[Finding]:
    """Find browsing or price check routes that are not below bookings and deposits.

    The findings name the routes of the smaller conflicting group: one booking route
    below all browsing routes gives one finding, not one for each browsing route.
    """
    low_priority = _ranked_routes(candidate, LOW_PRIORITY_PURPOSES)
    high_priority = _ranked_routes(candidate, HIGH_PRIORITY_PURPOSES)
    if not low_priority or not high_priority:
        return
    max_booking, min_browsing = max(high_priority), min(low_priority)
    misplaced_browsing = [
        each for each in low_priority if each.rank <= max_booking.rank
    ]
    misplaced_bookings = [
        each for each in high_priority if each.rank >= min_browsing.rank
    ]
    if len(misplaced_bookings) < len(misplaced_browsing):
        expected = (
            f"a rank below {min_browsing.rank}, the rank of route.{min_browsing.route}"
        )
        misplaced = misplaced_bookings
    else:
        expected = (
            f"a rank above {max_booking.rank}, the rank of route.{max_booking.route}"
        )
        misplaced = misplaced_browsing
    for rank, name in misplaced:
        priority = candidate.field("route", name, "priority")
        yield candidate.finding(
            "route",
            name,
            "priority",
            found=f"{priority!r} with rank {rank}",
            expected=expected,
        )


@check("route", "retry", "idempotency")
def retries_of_non_repeatable_routes(candidate: CandidateSet) -> Iterator[Finding]:
    """Find routes that retry non-repeatable work after any failure."""
    for name, fields in candidate.items("route"):
        retry = fields.get("retry")
        allowance = candidate.field("retry", retry, "allowance")
        after = candidate.field("retry", retry, "after") or DEFAULT_RETRY_CONDITION
        if not allowance or after != DEFAULT_RETRY_CONDITION:
            continue
        # An invalid value of `after` has a finding of its own.
        if ("retry", retry, "after") in candidate.faulty_fields:
            continue
        if _repeatable(candidate, fields.get("idempotency")) is False:
            yield candidate.finding(
                "route",
                name,
                "retry",
                found=f"{retry!r} with allowance {allowance} and after {after!r}",
                expected="allowance 0 or after 'not_run', "
                "because the work is not repeatable",
            )


@check("route", "idempotency")
def non_repeatable_safe_methods(candidate: CandidateSet) -> Iterator[Finding]:
    """Find routes with a safe HTTP method and a non-repeatable policy."""
    for name, fields in candidate.items("route"):
        safe = sorted(SAFE_METHODS.intersection(fields.get("methods", [])))
        if safe and _repeatable(candidate, fields.get("idempotency")) is False:
            yield candidate.finding(
                "route",
                name,
                "idempotency",
                found=f"{fields['idempotency']!r}, not repeatable, for {safe[0]}",
                expected="a policy with repeatable = true for GET, HEAD and OPTIONS",
            )


def _repeatable(candidate: CandidateSet, policy: object) -> bool | None:
    repeatable = candidate.field("idempotency", policy, "repeatable")
    return repeatable if isinstance(repeatable, bool) else None


@object_check("idempotency")
def idempotency_key_fields(
    candidate: CandidateSet, name: str, fields: Fields
) -> Iterator[Finding]:
    """Find idempotency policies whose key fields contradict ``repeatable``.

    Keys are stored only for work that is not repeatable.
    """
    repeatable = fields.get("repeatable")
    for field in KEY_FIELDS:
        # A field with an invalid value has a finding of its own.
        if repeatable is False and field not in fields:
            if ("idempotency", name, field) not in candidate.faulty_fields:
                yield candidate.finding(
                    "idempotency",
                    name,
                    field,
                    found="nothing",
                    expected="a value, because the work is not repeatable",
                )
        elif repeatable is True and field in fields:
            yield candidate.finding(
                "idempotency",
                name,
                field,
                found=str(fields[field]),
                expected="no such field, because the work is repeatable",
            )


@object_check("idempotency")
def clock_bounds(
    candidate: CandidateSet, name: str, fields: Fields
) -> Iterator[Finding]:
    """Find clock bounds that reach the lifetime of keys.

    The clock offset alone could make such a key expired when it is generated.
    """
    lifetime, bound = fields.get("lifetime_s"), fields.get("clock_bound_ms")
    if lifetime and bound and bound >= lifetime * MS_PER_S:
        yield candidate.finding(
            "idempotency",
            name,
            "clock_bound_ms",
            found=str(bound),
            expected=f"less than lifetime_s ({lifetime * MS_PER_S} ms)",
        )


@object_check("admission")
def retry_after_range(
    candidate: CandidateSet, name: str, fields: Fields
) -> Iterator[Finding]:
    """Find admission policies whose minimum retry delay exceeds the maximum."""
    minimum = fields.get("retry_after_min_s")
    maximum = fields.get("retry_after_max_s")
    if minimum and maximum and minimum > maximum:
        yield candidate.finding(
            "admission",
            name,
            "retry_after_min_s",
            found=str(minimum),
            expected=f"at most retry_after_max_s, which is {maximum}",
        )


@check("route", "service", "admission", "retry")
def deadlines(candidate: CandidateSet) -> Iterator[Finding]:
    """Find routes whose deadline is not above a delay of their own policies."""
    for name, fields in candidate.items("route"):
        deadline = fields.get("deadline_ms")
        if deadline is None:
            continue
        for lower_bound, reason in _deadline_lower_bounds(candidate, fields):
            if deadline <= lower_bound:
                yield candidate.finding(
                    "route",
                    name,
                    "deadline_ms",
                    found=str(deadline),
                    expected=f"more than {lower_bound}, the {reason}",
                )


def _deadline_lower_bounds(
    candidate: CandidateSet, fields: dict[str, str]
) -> Iterator[tuple[int, str]]:
    admission = candidate.field("service", fields.get("service"), "admission")
    delay = candidate.field("admission", admission, "queue_delay_ms")
    if delay:
        yield delay, f"queue_delay_ms of admission.{admission}"
    retry = fields.get("retry")
    backoff = candidate.field("retry", retry, "backoff_ms")
    if backoff and candidate.field("retry", retry, "allowance"):
        yield backoff, f"backoff_ms of retry.{retry}"


@check("route", "idempotency")
def key_lifetimes(candidate: CandidateSet) -> Iterator[Finding]:
    """Find routes whose calls may run for longer than their key is kept."""
    for name, fields in candidate.items("route"):
        deadline = fields.get("deadline_ms")
        policy = fields.get("idempotency")
        lifetime = candidate.field("idempotency", policy, "lifetime_s")
        if deadline and lifetime and deadline > lifetime * MS_PER_S:
            yield candidate.finding(
                "route",
                name,
                "deadline_ms",
                found=str(deadline),
                expected=f"at most lifetime_s of idempotency.{policy} ({lifetime} s)",
            )


@check("route")
def duplicate_routes(candidate: CandidateSet) -> Iterator[Finding]:
    """Find routes that match the same calls, and routes that repeat a method."""
    first_routes: dict[tuple[str, str, str], str] = {}
    for name, fields in sorted(candidate.items("route")):
        methods = fields.get("methods", [])
        for method in sorted(set(methods)):
            if methods.count(method) > 1:
                yield candidate.finding(
                    "route",
                    name,
                    "methods",
                    found=f"{method} more than once",
                    expected="each method once",
                )
            key = (fields.get("service", ""), method, fields.get("path", ""))
            first_route = first_routes.setdefault(key, name) if all(key) else name
            if first_route != name:
                yield candidate.finding(
                    "route",
                    name,
                    "path",
                    found=f"{method} {short_repr(key[2])}, as in route.{first_route}",
                    expected="only one route for each service, method and path",
                )
