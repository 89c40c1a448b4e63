r"""Check of a whole configuration set.

``read_set`` reads TOML documents, ``check_set`` checks a set in memory. Both report
all faults at once.

Examples
--------
>>> reading = read_set([Source("hut.toml", b"[priority.high]\nrank = 99")])
>>> print(reading.findings[0])
hut.toml: priority.high: rank: found 99, expected less than or equal to 15
"""

from collections.abc import Iterable, Iterator, Mapping
from typing import Any, NamedTuple, cast

from ..state.objects import ConfigurationSet
from . import checks_policies, checks_references, checks_targets
from .check_registry import CandidateSet, Scope, build_candidate, run_checks
from .documents import Declaration, Source, read_document
from .fields import KINDS
from .findings import Finding, FindingsError, short_repr

__all__ = [
    "CHECK_MODULES",
    "Finding",
    "FindingsError",
    "ReadResult",
    "Source",
    "check_change",
    "check_set",
    "read_set",
    "require_valid",
]

CHECK_MODULES = (checks_policies, checks_references, checks_targets)
"""Modules that register their checks when they are imported."""


class ReadResult(NamedTuple):
    """The valid fields of all objects that were read, and every fault.

    ``objects`` is a complete set only if ``findings`` is empty; see `require_valid`.
    """

    objects: ConfigurationSet
    findings: tuple[Finding, ...]

    def require_valid(self) -> ConfigurationSet:
        """Return the set if it has no faults.

        Raises
        ------
        FindingsError
            If there is any finding.
        """
        if self.findings:
            raise FindingsError(findings=self.findings)
        return self.objects


def read_set(sources: Iterable[Source]) -> ReadResult:
    """Read and check the set that all `sources` together declare."""
    documents = [read_document(source) for source in sorted(sources)]
    findings = [each for document in documents for each in document.findings]
    declarations = [each for document in documents for each in document.declarations]
    if not declarations and not findings:
        expected = "at least one object"
        findings.append(Finding("", "", "", "no object in any file", expected))
    return _check_declarations(declarations, findings)


def check_set(objects: Mapping[str, Any]) -> tuple[Finding, ...]:
    """Check a set in memory, which may have any structure, and return every fault."""
    findings: list[Finding] = []
    declarations = list(_iterate_declarations(objects, findings))
    return _check_declarations(declarations, findings).findings


def check_change(
    objects: ConfigurationSet,
    *,
    changed: Mapping[str, Any],
    removed: Iterable[str],
) -> tuple[Finding, ...]:
    """Check a change to a set without faults, and return every fault.

    The findings are those of `check_set` on the whole set, at a lower cost.

    Parameters
    ----------
    objects : ConfigurationSet
        The set after the change. Its unchanged objects must come from a set that
        passed the check.
    changed : mapping
        Fields of the new and changed objects by kind and name.
    removed : iterable of str
        Kinds from which an object was removed.
    """
    findings: list[Finding] = []
    declarations = list(_iterate_declarations(changed, findings))
    names: dict[str, set[str]] = {}
    for declaration in declarations:
        names.setdefault(declaration.kind, set()).add(declaration.name)
    tables = cast(Mapping[str, Mapping[str, Any]], objects)
    candidate, faults = build_candidate(
        declarations,
        objects={kind: dict(named) for kind, named in tables.items()},
        scope=Scope(names, frozenset(removed)),
    )
    findings += [*faults, *run_checks(candidate)]
    return tuple(sorted(set(findings)))


def require_valid(objects: Mapping[str, Any]) -> ConfigurationSet:
    """Return `objects` if it is a set without faults.

    Raises
    ------
    FindingsError
        If there is any finding.
    """
    findings = check_set(objects)
    if findings:
        raise FindingsError(findings=findings)
    return cast(ConfigurationSet, objects)


def _check_declarations(
    declarations: list[Declaration], findings: list[Finding]
) -> ReadResult:
    candidate, faults = build_candidate(declarations)
    findings = [*findings, *faults, *run_checks(candidate)]
    return ReadResult(_candidate_objects(candidate), tuple(sorted(set(findings))))


def _candidate_objects(candidate: CandidateSet) -> ConfigurationSet:
    return cast(ConfigurationSet, candidate.objects)


def _iterate_declarations(
    objects: Mapping[str, Any], findings: list[Finding]
) -> Iterator[Declaration]:
    for kind, objects_by_name in objects.items():
        if kind not in KINDS:
            expected = "one of the kinds " + ", ".join(sorted(KINDS))
            findings.append(
                Finding("", short_repr(kind), "", "an unknown kind", expected)
            )
        elif not isinstance(objects_by_name, Mapping):
            findings.append(
                Finding("", kind, "", short_repr(objects_by_name), "a table of objects")
            )
        else:
            for name, value in objects_by_name.items():
                yield Declaration("", kind, str(name), value)
