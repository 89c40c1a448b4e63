"""A set under check, and the registry of checks across its objects."""

from collections.abc import Callable, Iterable, Iterator
from typing import Any, NamedTuple

from .documents import UNREADABLE, Declaration
from .fields import KINDS, is_name, read_fields
from .findings import Finding, shown

__all__ = ["CHECKS", "Draft", "check", "draft_from", "run_checks"]

Fields = dict[str, Any]


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
    """

    objects: dict[str, dict[str, Fields]]
    files: dict[tuple[str, str], str]
    partial: set[tuple[str, str, str]]
    faulty_fields: set[tuple[str, str, str]]

    def items(self, kind: str) -> Iterable[tuple[str, Fields]]:
        """Return the objects of `kind` by name, in order of their names."""
        return sorted(self.objects[kind].items())

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


Check = Callable[[Draft], Iterator[Finding]]

CHECKS: dict[str, Check] = {}
"""The checks across objects, by name."""


def check(function: Check) -> Check:
    """Register a check across the objects of a set."""
    CHECKS[function.__name__] = function
    return function


def run_checks(draft: Draft) -> Iterator[Finding]:
    """Yield what every registered check finds."""
    for function in CHECKS.values():
        yield from function(draft)


def draft_from(declarations: Iterable[Declaration]) -> tuple[Draft, list[Finding]]:
    """Check each object by itself and gather the valid fields."""
    draft = Draft(
        objects={kind: {} for kind in KINDS},
        files={},
        partial=set(),
        faulty_fields=set(),
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
