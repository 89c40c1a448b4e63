"""What a set must not change from one generation to the next."""

from collections.abc import Iterator

from ..state.objects import ConfigurationSet, Target
from .findings import Finding, FindingsError

__all__ = ["check_succession", "require_successor"]


def check_succession(
    old: ConfigurationSet, new: ConfigurationSet
) -> tuple[Finding, ...]:
    """Return the faults of publishing `new` after `old`.

    A target that runs work at most once may still run it after its object is gone.
    So a target is stated as retired in one generation, and its object goes, or takes
    another service or address, in a later one.
    """
    findings: list[Finding] = []
    for name, target in old["target"].items():
        if not target.get("retired", False):
            findings += _changes_of_identity(name, target, new["target"].get(name))
    return tuple(sorted(findings))


def require_successor(old: ConfigurationSet, new: ConfigurationSet) -> None:
    """Check that `new` may be published after `old`.

    Raises
    ------
    FindingsError
        If there is any finding.
    """
    findings = check_succession(old, new)
    if findings:
        raise FindingsError(findings=findings)


def _changes_of_identity(
    name: str, target: Target, successor: Target | None
) -> Iterator[Finding]:
    subject = f"target.{name}"
    if successor is None:
        expected = "retired = true in a set before the one without it"
        yield Finding("", subject, "", "no such target any more", expected)
        return
    for field, was, now in (
        ("service", target["service"], successor["service"]),
        ("address", target["address"], successor["address"]),
    ):
        if was != now:
            expected = f"{was}, or retired = true in a set before"
            yield Finding("", subject, field, now, expected)
