"""The candidate set under check, and the registry of checks across its objects."""

from collections.abc import Callable, Iterable, Iterator
from typing import Any, NamedTuple

from .documents import UNREADABLE, Declaration
from .fields import KINDS, is_name, validate_fields
from .findings import Finding, short_repr

__all__ = [
    "CHECKS",
    "CandidateSet",
    "Fields",
    "RegisteredCheck",
    "Scope",
    "build_candidate",
    "check",
    "object_check",
    "run_checks",
]

Fields = dict[str, Any]


class Scope(NamedTuple):
    """The part of a set that differs from a set without faults.

    Parameters
    ----------
    changed : dict
        Names of new and changed objects by kind.
    removed : frozenset of str
        Kinds from which an object was removed.
    """

    changed: dict[str, set[str]]
    removed: frozenset[str]


class CandidateSet(NamedTuple):
    """The valid fields of every object of a set that may have faults.

    Parameters
    ----------
    objects : dict
        Valid fields of each object by kind and name. Any field may be missing.
    files : dict
        File that declares each object, by (kind, name).
    partial_fields : set
        (kind, name, field) of lists and tables from which an invalid entry was
        removed.
    faulty_fields : set
        (kind, name, field) of all fields that are invalid by themselves.
    scope : Scope or None
        Part of the set to check; None for the whole set.
    """

    objects: dict[str, dict[str, Fields]]
    files: dict[tuple[str, str], str]
    partial_fields: set[tuple[str, str, str]]
    faulty_fields: set[tuple[str, str, str]]
    scope: Scope | None

    def items(self, kind: str) -> Iterable[tuple[str, Fields]]:
        """Return the name and the fields of each object of `kind`."""
        return self.objects[kind].items()

    def changed_items(self, kind: str) -> Iterable[tuple[str, Fields]]:
        """Return the name and the fields of each new or changed object of `kind`.

        Without a scope, these are all objects.
        """
        if self.scope is None:
            return self.items(kind)
        objects_by_name = self.objects[kind]
        return [
            (name, objects_by_name[name]) for name in self.scope.changed.get(kind, ())
        ]

    def needs_reference_check(self, kind: str) -> bool:
        """Return whether to check all references to `kind`, not just changed ones.

        Removing an object may leave a dangling reference in an unchanged one.
        """
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


SetCheck = Callable[[CandidateSet], Iterator[Finding]]
ObjectCheck = Callable[[CandidateSet, str, Fields], Iterator[Finding]]


class RegisteredCheck(NamedTuple):
    """A check and the kinds of objects that its findings depend on."""

    function: SetCheck
    kinds: frozenset[str]


CHECKS: dict[str, RegisteredCheck] = {}
"""The registered checks by function name."""


def check(*kinds: str) -> Callable[[SetCheck], SetCheck]:
    """Register a check whose findings depend on all objects of `kinds`."""

    def register(function: SetCheck) -> SetCheck:
        CHECKS[function.__name__] = RegisteredCheck(function, frozenset(kinds))
        return function

    return register


def object_check(kind: str) -> Callable[[ObjectCheck], ObjectCheck]:
    """Register a check whose findings depend on one object of `kind` alone."""

    def register(function: ObjectCheck) -> ObjectCheck:
        def check_changed(candidate: CandidateSet) -> Iterator[Finding]:
            for name, fields in candidate.changed_items(kind):
                yield from function(candidate, name, fields)

        kinds = frozenset({kind})
        CHECKS[function.__name__] = RegisteredCheck(check_changed, kinds)
        return function

    return register


def run_checks(candidate: CandidateSet) -> Iterator[Finding]:
    """Yield the findings of the registered checks within the candidate's scope."""
    scope = candidate.scope
    changed_kinds = (
        KINDS.keys() if scope is None else scope.changed.keys() | scope.removed
    )
    for function, kinds in CHECKS.values():
        if not kinds.isdisjoint(changed_kinds):
            yield from function(candidate)


def build_candidate(
    declarations: Iterable[Declaration],
    *,
    objects: dict[str, dict[str, Fields]] | None = None,
    scope: Scope | None = None,
) -> tuple[CandidateSet, list[Finding]]:
    """Validate each declared object by itself and collect the valid fields.

    Parameters
    ----------
    declarations : iterable of Declaration
        Objects to check.
    objects : dict, optional
        Objects that are known to be valid. The declared objects are added to this
        dict in place.
    scope : Scope, optional
        The difference between `objects` and the last set without faults.

    Returns
    -------
    candidate : CandidateSet
        The valid fields of all objects.
    findings : list of Finding
        Faults of the objects by themselves.
    """
    if objects is None:
        objects = {kind: {} for kind in KINDS}
    candidate = CandidateSet(
        objects=objects,
        files={},
        partial_fields=set(),
        faulty_fields=set(),
        scope=scope,
    )
    findings: list[Finding] = []
    for declaration in declarations:
        findings.extend(_add_declaration(candidate, declaration))
    return candidate, findings


def _add_declaration(
    candidate: CandidateSet, declaration: Declaration
) -> Iterator[Finding]:
    file, kind, name, value = declaration
    subject = f"{kind}.{name}"
    first_file = candidate.files.get((kind, name))
    if first_file is not None:
        found = f"declared in {first_file} too"
        yield Finding(file, subject, "", found, "one declaration of each object")
        return
    if not is_name(name):
        expected = "a name of at most 64 lower-case letters, digits and inner hyphens"
        yield Finding(file, subject, "", short_repr(name), expected)
    candidate.files[kind, name] = file
    candidate.objects[kind][name] = {}
    if value is UNREADABLE:
        return
    validation = validate_fields(kind, value)
    candidate.objects[kind][name] = validation.fields
    candidate.partial_fields.update(
        (kind, name, field) for field in validation.partial_fields
    )
    for field, found, expected in validation.faults:
        candidate.faulty_fields.add((kind, name, field))
        yield Finding(file, subject, field, found, expected)
