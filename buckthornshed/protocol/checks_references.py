"""Checks of references between objects: dangling names and cycles."""

from collections.abc import Iterable, Iterator
from typing import Any, NamedTuple

from .draft import Draft, check
from .findings import Finding, shown

__all__ = ["REFERENCES", "Reference"]


class Reference(NamedTuple):
    """A field that names objects of another kind."""

    kind: str
    field: str
    to: str


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
"""Lists name objects by their entries, ``shares`` by its keys, ``pins`` by value."""


def _named(field: str, value: Any) -> Iterable[tuple[str, str]]:
    """Return the path and the name of each reference in `value`."""
    if isinstance(value, list):
        return [(f"{field}.{place}", name) for place, name in enumerate(value)]
    if field == "shares":
        return [(f"{field}.{name}", name) for name in value]
    return [(f"{field}.{key}", name) for key, name in value.items()]


@check(*{each.kind for each in REFERENCES}, *{each.to for each in REFERENCES})
def dangling(draft: Draft) -> Iterator[Finding]:
    """Find names of objects that are not in the set."""
    for reference in REFERENCES:
        for name, path, referred in _dangling(draft, reference):
            yield draft.finding(
                reference.kind,
                name,
                path,
                found=shown(referred),
                expected=f"the name of a [{reference.to}] object",
            )


def _dangling(draft: Draft, reference: Reference) -> Iterator[tuple[str, str, str]]:
    """Yield object, path and name of each dangling reference."""
    kind, field, to = reference
    known = draft.objects[to]
    items = draft.items(kind) if draft.lost(to) else draft.changed_items(kind)
    for name, fields in items:
        value = fields.get(field)
        if isinstance(value, str):
            if value not in known:
                yield name, field, value
        elif value:
            for path, referred in _named(field, value):
                if referred not in known:
                    yield name, path, referred


@check("service")
def cycles(draft: Draft) -> Iterator[Finding]:
    """Find services that call themselves, directly or through others."""
    finished: set[str] = set()
    for start in sorted(draft.objects["service"]):
        if start not in finished:
            yield from _cycles_from(draft, start, finished)


def _cycles_from(draft: Draft, start: str, finished: set[str]) -> Iterator[Finding]:
    """Walk depth first; a call of a service on the current path closes a cycle."""
    path = [start]
    # A stack in place of recursion: chains may be as long as the set.
    pending = [iter(_calls(draft, start))]
    on_path = {start}
    while path:
        callee = next(pending[-1], None)
        if callee is None:
            pending.pop()
            on_path.remove(path[-1])
            finished.add(path.pop())
        elif callee in on_path:
            loop = [*path[path.index(callee) :], callee]
            yield draft.finding(
                "service",
                path[-1],
                "calls",
                found=shown(" -> ".join(loop)),
                expected="calls without a cycle",
            )
        elif callee not in finished:
            path.append(callee)
            on_path.add(callee)
            pending.append(iter(_calls(draft, callee)))


def _calls(draft: Draft, service: str) -> list[str]:
    return sorted(set(draft.field("service", service, "calls") or []))
