"""A set under check, and the registry of checks across its objects."""

from collections.abc import Callable, Iterable, Iterator
from typing import Any, NamedTuple

from .documents import UNREADABLE, Declaration
from .fields import KINDS, is_name, read_fields
from .findings import Finding, shown

__all__ = [
    "CHECKS",
    "Draft",
    "Fields",
    "RegisteredCheck",
    "Scope",
    "check",
    "draft_from",
    "object_check",
    "run_checks",
]

Fields = dict[str, Any]


class Scope(NamedTuple):
    """What differs from a set without faults.

    Parameters
    ----------
    changed : dict
        Kind to names of the objects that are new or changed.
    removed : frozenset of str
        Kinds that lost an object.
    """

    changed: dict[str, set[str]]
    removed: frozenset[str]


class Draft(NamedTuple):
    """The valid fields of every object of a set that may have faults.

    Parameters
    ----------
    objects : dict
        Kind to name to the valid fields. Any field may be missing.
    files : dict
        (kind, name) to the file that declares the object.
    partial : set
        (kind, name, field) of lists and tables that lost a faulty entry.
    faulty_fields : set
        (kind, name, field) of all fields with a fault of their own.
    scope : Scope or None
        What has to be checked; None for everything.
    """

    objects: dict[str, dict[str, Fields]]
    files: dict[tuple[str, str], str]
    partial: set[tuple[str, str, str]]
    faulty_fields: set[tuple[str, str, str]]
    scope: Scope | None

    def items(self, kind: str) -> Iterable[tuple[str, Fields]]:
        """Return the objects of `kind` by name."""
        return self.objects[kind].items()

    def changed_items(self, kind: str) -> Iterable[tuple[str, Fields]]:
        """Return the objects of `kind` that have to be checked by themselves."""
        if self.scope is None:
            return self.items(kind)
        named = self.objects[kind]
        return [(name, named[name]) for name in self.scope.changed.get(kind, ())]

    def lost(self, kind: str) -> bool:
        """Tell whether references to objects of `kind` may have become dangling."""
        return self.scope is None or kind in self.scope.removed

    def field(self, kind: str, name: object, field: str) -> Any:
        """Return a field, or None if the object or the valid field is missing."""
        if not isinstance(name, str):
            return None
        return self.objects[kind].get(name, {}).get(field)

    def finding(
        self, kind: str, name: str, field: str, *, found: str, expected: str
    ) -> Finding:
        """Return a finding about a field of an object."""
        file = self.files.get((kind, name), "")
        return Finding(file, f"{kind}.{name}", field, found, expected)


SetCheck = Callable[[Draft], Iterator[Finding]]
ObjectCheck = Callable[[Draft, str, Fields], Iterator[Finding]]


class RegisteredCheck(NamedTuple):
    """A check and the kinds of objects that its findings depend on."""

    function: SetCheck
    kinds: frozenset[str]


CHECKS: dict[str, RegisteredCheck] = {}
"""The checks across objects, by name."""


def check(*kinds: str) -> Callable[[SetCheck], SetCheck]:
    """Register a check whose findings depend on all objects of `kinds`."""

    def register(function: SetCheck) -> SetCheck:
        CHECKS[function.__name__] = RegisteredCheck(function, frozenset(kinds))
        return function

    return register


def object_check(kind: str) -> Callable[[ObjectCheck], ObjectCheck]:
    """Register a check whose findings depend on one object of `kind` alone."""

    def register(function: ObjectCheck) -> ObjectCheck:
        def check_changed(draft: Draft) -> Iterator[Finding]:
            for name, fields in draft.changed_items(kind):
                yield from function(draft, name, fields)

        kinds = frozenset({kind})
        CHECKS[function.__name__] = RegisteredCheck(check_changed, kinds)
        return function

    return register


def run_checks(draft: Draft) -> Iterator[Finding]:
    """Yield what the registered checks find within the scope of `draft`."""
    scope = draft.scope
    touched = KINDS.keys() if scope is None else scope.changed.keys() | scope.removed
    for function, kinds in CHECKS.values():
        if not kinds.isdisjoint(touched):
            yield from function(draft)


def draft_from(
    declarations: Iterable[Declaration],
    *,
    objects: dict[str, dict[str, Fields]] | None = None,
    scope: Scope | None = None,
) -> tuple[Draft, list[Finding]]:
    """Check each declared object by itself and gather the valid fields.

    Parameters
    ----------
    declarations : iterable of Declaration
        Objects to check.
    objects : dict, optional
        Objects that are known to be valid; the declared ones are added to it.
    scope : Scope, optional
        What the declared objects change in `objects`.
    """
    if objects is None:
        objects = {kind: {} for kind in KINDS}
    draft = Draft(
        objects=objects, files={}, partial=set(), faulty_fields=set(), scope=scope
    )
    findings: list[Finding] = []
    for declaration in declarations:
        findings.extend(_add(draft, declaration))
    return draft, findings


def _add(draft: Draft, declaration: Declaration) -> Iterator[Finding]:
    file, kind, name, value = declaration
    subject = f"{kind}.{name}"
    first = draft.files.get((kind, name))
    if first is not None:
        found = f"declared in {first} too"
        yield Finding(file, subject, "", found, "one declaration of each object")
        return
    if not is_name(name):
        expected = "a name of lower-case letters, digits and inner hyphens, at most 64"
        yield Finding(file, subject, "", shown(name), expected)
    draft.files[kind, name] = file
    draft.objects[kind][name] = {}
    if value is UNREADABLE:
        return
    reading = read_fields(kind, value)
    draft.objects[kind][name] = reading.fields
    draft.partial.update((kind, name, field) for field in reading.partial)
    for field, found, expected in reading.faults:
        draft.faulty_fields.add((kind, name, field))
        yield Finding(file, subject, field, found, expected)
