"""Checks of routes against the policies that they name."""

from collections.abc import Iterator
from typing import NamedTuple

from .draft import Draft, Fields, check, object_check
from .findings import Finding, shown

__all__: list[str] = []

FIRST_REFUSED = frozenset({"browsing", "price_check"})
LAST_REFUSED = frozenset({"booking", "deposit"})

KEY_FIELDS = ("lifetime_s", "clock_bound_ms", "entries")
SAFE_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})

AFTER_FAILURE = "failure"
"""What a retry policy comes after where it does not say."""

MS_PER_S = 1000


class _Ranked(NamedTuple):
    """A route by the rank of its priority."""

    rank: int
    route: str


def _ranked(draft: Draft, purposes: frozenset[str]) -> list[_Ranked]:
    found = []
    for name, fields in draft.items("route"):
        rank = draft.field("priority", fields.get("priority"), "rank")
        if rank is not None and fields.get("purpose") in purposes:
            found.append(_Ranked(rank, name))
    return found


@check("route", "priority")
def priorities(draft: Draft) -> Iterator[Finding]:
    """Find routes that order browsing or price checks at or above bookings.

    The smaller side of the contradiction is named: one booking route that ranks
    below everything is one finding, not one for each browsing route.
    """
    first = _ranked(draft, FIRST_REFUSED)
    last = _ranked(draft, LAST_REFUSED)
    if not first or not last:
        return
    lowest, highest = max(last), min(first)
    high = [each for each in first if each.rank <= lowest.rank]
    low = [each for each in last if each.rank >= highest.rank]
    if len(low) < len(high):
        expected = f"a rank below {highest.rank}, that of route.{highest.route}"
        wrong = low
    else:
        expected = f"a rank above {lowest.rank}, that of route.{lowest.route}"
        wrong = high
    for rank, name in wrong:
        priority = draft.field("route", name, "priority")
        yield draft.finding(
            "route",
            name,
            "priority",
            found=f"{priority!r} of rank {rank}",
            expected=expected,
        )


@check("route", "retry", "idempotency")
def retries_of_unrepeatable_work(draft: Draft) -> Iterator[Finding]:
    """Find retries after any failure of work that may not be repeated."""
    for name, fields in draft.items("route"):
        retry = fields.get("retry")
        allowance = draft.field("retry", retry, "allowance")
        after = draft.field("retry", retry, "after") or AFTER_FAILURE
        if not allowance or after != AFTER_FAILURE:
            continue
        # A field of a wrong value was found by itself.
        if ("retry", retry, "after") in draft.faulty_fields:
            continue
        if _repeatable(draft, fields.get("idempotency")) is False:
            yield draft.finding(
                "route",
                name,
                "retry",
                found=f"{retry!r} of allowance {allowance} after {after!r}",
                expected="allowance 0, or after 'not_run', "
                "for work that may not be repeated",
            )


@check("route", "idempotency")
def unrepeatable_reads(draft: Draft) -> Iterator[Finding]:
    """Find routes of safe methods that are said not to be repeatable."""
    for name, fields in draft.items("route"):
        safe = sorted(SAFE_METHODS.intersection(fields.get("methods", [])))
        if safe and _repeatable(draft, fields.get("idempotency")) is False:
            yield draft.finding(
                "route",
                name,
                "idempotency",
                found=f"{fields['idempotency']!r}, not repeatable, for {safe[0]}",
                expected="a repeatable policy for GET, HEAD and OPTIONS",
            )


def _repeatable(draft: Draft, policy: object) -> bool | None:
    repeatable = draft.field("idempotency", policy, "repeatable")
    return repeatable if isinstance(repeatable, bool) else None


@object_check("idempotency")
def key_tables(draft: Draft, name: str, fields: Fields) -> Iterator[Finding]:
    """Find idempotency policies whose key fields contradict ``repeatable``."""
    repeatable = fields.get("repeatable")
    for field in KEY_FIELDS:
        # A field of a wrong value was found by itself.
        if repeatable is False and field not in fields:
            if ("idempotency", name, field) not in draft.faulty_fields:
                yield draft.finding(
                    "idempotency",
                    name,
                    field,
                    found="nothing",
                    expected="a value, as the work is not repeatable",
                )
        elif repeatable is True and field in fields:
            yield draft.finding(
                "idempotency",
                name,
                field,
                found=str(fields[field]),
                expected="no such field, as the work is repeatable",
            )


@object_check("idempotency")
def clock_bounds(draft: Draft, name: str, fields: Fields) -> Iterator[Finding]:
    """Find keys that are too old as soon as they are minted."""
    lifetime, bound = fields.get("lifetime_s"), fields.get("clock_bound_ms")
    if lifetime and bound and bound >= lifetime * MS_PER_S:
        yield draft.finding(
            "idempotency",
            name,
            "clock_bound_ms",
            found=str(bound),
            expected=f"less than lifetime_s, {lifetime * MS_PER_S} ms",
        )


@object_check("admission")
def retry_after(draft: Draft, name: str, fields: Fields) -> Iterator[Finding]:
    """Find admission policies whose least delay is above the greatest."""
    least = fields.get("retry_after_min_s")
    most = fields.get("retry_after_max_s")
    if least and most and least > most:
        yield draft.finding(
            "admission",
            name,
            "retry_after_min_s",
            found=str(least),
            expected=f"at most retry_after_max_s, {most}",
        )


@check("route", "service", "admission", "retry")
def deadlines(draft: Draft) -> Iterator[Finding]:
    """Find routes whose deadline their own policies cannot meet."""
    for name, fields in draft.items("route"):
        deadline = fields.get("deadline_ms")
        if deadline is None:
            continue
        for least, reason in _least_deadlines(draft, fields):
            if deadline <= least:
                yield draft.finding(
                    "route",
                    name,
                    "deadline_ms",
                    found=str(deadline),
                    expected=f"more than {least}, {reason}",
                )


def _least_deadlines(draft: Draft, fields: dict[str, str]) -> Iterator[tuple[int, str]]:
    admission = draft.field("service", fields.get("service"), "admission")
    delay = draft.field("admission", admission, "queue_delay_ms")
    if delay:
        yield delay, f"queue_delay_ms of admission.{admission}"
    retry = fields.get("retry")
    backoff = draft.field("retry", retry, "backoff_ms")
    if backoff and draft.field("retry", retry, "allowance"):
        yield backoff, f"backoff_ms of retry.{retry}"


@check("route", "idempotency")
def key_lifetimes(draft: Draft) -> Iterator[Finding]:
    """Find routes whose work may outlive its key."""
    for name, fields in draft.items("route"):
        deadline = fields.get("deadline_ms")
        policy = fields.get("idempotency")
        lifetime = draft.field("idempotency", policy, "lifetime_s")
        if deadline and lifetime and deadline > lifetime * MS_PER_S:
            yield draft.finding(
                "route",
                name,
                "deadline_ms",
                found=str(deadline),
                expected=f"at most lifetime_s of idempotency.{policy}, {lifetime} s",
            )


@check("route")
def doubled_routes(draft: Draft) -> Iterator[Finding]:
    """Find routes that take the same calls, and methods named twice."""
    first: dict[tuple[str, str, str], str] = {}
    for name, fields in sorted(draft.items("route")):
        methods = fields.get("methods", [])
        for method in sorted(set(methods)):
            if methods.count(method) > 1:
                yield draft.finding(
                    "route",
                    name,
                    "methods",
                    found=f"{method} more than once",
                    expected="each method once",
                )
            place = (fields.get("service", ""), method, fields.get("path", ""))
            holder = first.setdefault(place, name) if all(place) else name
            if holder != name:
                yield draft.finding(
                    "route",
                    name,
                    "path",
                    found=f"{method} {shown(place[2])}, as in route.{holder}",
                    expected="one route for a service, method and path",
                )
