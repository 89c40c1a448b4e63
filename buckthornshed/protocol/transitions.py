"""Checks of the changes from one generation of a set to the next."""

from collections.abc import Iterator

from ..state.objects import ConfigurationSet, Target
from .findings import Finding, FindingsError

__all__ = ["check_transition", "require_valid_transition"]


def check_transition(
    old: ConfigurationSet, new: ConfigurationSet
) -> tuple[Finding, ...]:
    """Return the faults of publishing `new` after `old`.

    A target may still run at-most-once work after its object is removed from the set.
    Therefore one generation must mark a target as retired before a later one may
    remove it or change its service or address.
    """
    findings: list[Finding] = []
    for name, target in old["target"].items():
        if not target.get("retired", False):
            findings += _identity_changes(name, target, new["target"].get(name))
    return tuple(sorted(findings))


def require_valid_transition(old: ConfigurationSet, new: ConfigurationSet) -> None:
    """Check that `new` may be published after `old`.

    Raises
    ------
    FindingsError
        If there is any finding.
    """
    findings = check_transition(old, new)
    if findings:
        raise FindingsError(findings=findings)


def _identity_changes(
    name: str, target: Target, successor: Target | None
) -> Iterator[Finding]:
    subject = f"target.{name}"
    if successor is None:
        expected = "retired = true in an earlier generation"
        yield Finding("", subject, "", "the target removed", expected)
        return
    for field, old_value, new_value in (
        ("service", target["service"], successor["service"]),
        ("address", target["address"], successor["address"]),
    ):
        if old_value != new_value:
            expected = f"{old_value}, or retired = true in an earlier generation"
            yield Finding("", subject, field, new_value, expected)
