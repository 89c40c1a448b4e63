"""Checks of references between objects: missing objects and call cycles."""

from collections.abc import Iterable, Iterator
from typing import Any, NamedTuple

from .check_registry import CandidateSet, check
from .findings import Finding, short_repr

__all__ = ["REFERENCES", "Reference"]


class Reference(NamedTuple):
    """A field whose value refers to objects by name."""

    kind: str
    field: str
    referenced_kind: str


REFERENCES = (
    Reference("service", "calls", "service"),
    Reference("service", "admission", "admission"),
    Reference("target", "service", "service"),
    Reference("target", "provider", "provider"),
    Reference("target", "failure_domain", "failure_domain"),
    Reference("route", "service", "service"),
    Reference("route", "priority", "priority"),
    Reference("route", "retry", "retry"),
    Reference("route", "idempotency", "idempotency"),
    Reference("shift", "service", "service"),
    Reference("shift", "shares", "provider"),
    Reference("shift", "pins", "provider"),
)
"""All reference fields.

Lists refer to objects by their entries, ``shares`` by its keys and ``pins`` by its
values.
"""


def _list_references(field: str, value: Any) -> Iterable[tuple[str, str]]:
    """Return the field path and the object name of each reference in `value`."""
    if isinstance(value, list):
        return [(f"{field}.{index}", name) for index, name in enumerate(value)]
    if field == "shares":
        return [(f"{field}.{name}", name) for name in value]
    return [(f"{field}.{key}", name) for key, name in value.items()]


@check(
    *{each.kind for each in REFERENCES}, *{each.referenced_kind for each in REFERENCES}
)
def dangling_references(candidate: CandidateSet) -> Iterator[Finding]:
    """Find references to objects that are not in the set."""
    for reference in REFERENCES:
        for name, path, referenced_name in _find_dangling(candidate, reference):
            yield candidate.finding(
                reference.kind,
                name,
                path,
                found=short_repr(referenced_name),
                expected=f"the name of a [{reference.referenced_kind}] object",
            )


def _find_dangling(
    candidate: CandidateSet, reference: Reference
) -> Iterator[tuple[str, str, str]]:
    """Yield the referring object, field path and missing name of each reference."""
    kind, field, referenced_kind = reference
    existing = candidate.objects[referenced_kind]
    items = (
        candidate.items(kind)
        if candidate.needs_reference_check(referenced_kind)
        else candidate.changed_items(kind)
    )
    for name, fields in items:
        value = fields.get(field)
        if isinstance(value, str):
            if value not in existing:
                yield name, field, value
        elif value:
            for path, referenced_name in _list_references(field, value):
                if referenced_name not in existing:
                    yield name, path, referenced_name


@check("service")
def call_cycles(candidate: CandidateSet) -> Iterator[Finding]:
    """Find services that call themselves, directly or through other services."""
    finished: set[str] = set()
    for start in sorted(candidate.objects["service"]):
        if start not in finished:
            yield from _cycles_from(candidate, start, finished)


def _cycles_from(
    candidate: CandidateSet, start: str, finished: set[str]
) -> Iterator[Finding]:
    """Search depth first; a call to a service on the current path closes a cycle."""
    path = [start]
    # An explicit stack, because a call chain may be as long as the set and would
    # exceed the recursion limit.
    pending = [iter(_callees(candidate, start))]
    on_path = {start}
    while path:
        callee = next(pending[-1], None)
        if callee is None:
            pending.pop()
            on_path.remove(path[-1])
            finished.add(path.pop())
        elif callee in on_path:
            cycle = [*path[path.index(callee) :], callee]
            yield candidate.finding(
                "service",
                path[-1],
                "calls",
                found=short_repr(" -> ".join(cycle)),
                expected="calls without a cycle",
            )
        elif callee not in finished:
            path.append(callee)
            on_path.add(callee)
            pending.append(iter(_callees(candidate, callee)))


def _callees(candidate: CandidateSet, service: str) -> list[str]:
    return sorted(set(candidate.field("service", service, "calls") or []))
