"""Validation of the fields of one object against its kind in ``state.objects``."""

import copy
from collections.abc import Iterable, Mapping
from typing import Any, NamedTuple, get_args, get_type_hints

from pydantic import TypeAdapter, ValidationError

from ..state.objects import ConfigurationSet, Name
from .findings import short_repr

__all__ = ["KINDS", "FieldFault", "ObjectValidation", "is_name", "validate_fields"]

KINDS: dict[str, TypeAdapter[Any]] = {
    kind: TypeAdapter(get_args(hint)[1])
    for kind, hint in get_type_hints(ConfigurationSet).items()
}
"""Validator of each kind of object."""

NAME_VALIDATOR: TypeAdapter[str] = TypeAdapter(Name)

FIELD_NAMES = {
    kind: sorted(get_type_hints(get_args(hint)[1]))
    for kind, hint in get_type_hints(ConfigurationSet).items()
}

PATTERN_HINTS = {
    "^[a-z0-9]": "a name of at most 64 lower-case letters, digits and inner hyphens",
    r"^\d{1,3}": "an IPv4 address and a port, such as '127.0.0.1:8080'",
    "^/": "a path that starts with '/' and has only visible ASCII characters",
}
"""Expected values for a pattern mismatch, by how the pattern starts."""

ERROR_TEXTS: dict[str, tuple[str | None, str]] = {
    "missing": ("nothing", "a value"),
    "extra_forbidden": ("an unknown field", "one of {fields}"),
    "string_pattern_mismatch": (None, "{hint}"),
    "string_too_long": (None, "at most {max_length} characters"),
    "too_short": (None, "at least {min_length} entry"),
}
"""Found and expected text by pydantic's error type; None shows the value found."""

MESSAGE_PREFIX = "Input should be "

REMOVED = object()
"""Placeholder for an invalid list entry; keeps the positions of the others."""

ErrorLocation = tuple[Any, ...]
"""Location of an error as pydantic reports it: field, then key or position."""


class FieldFault(NamedTuple):
    """A fault of one field: dotted path, value found and value expected."""

    field: str
    found: str
    expected: str


class ObjectValidation(NamedTuple):
    """The valid fields of an object, and the faults of the others.

    ``partial_fields`` names the list and table fields from which an invalid entry
    was removed.
    """

    fields: dict[str, Any]
    faults: tuple[FieldFault, ...]
    partial_fields: frozenset[str]


def is_name(value: object) -> bool:
    """Return whether `value` is a valid object name."""
    try:
        NAME_VALIDATOR.validate_python(value, strict=True)
    except ValidationError:
        return False
    return True


def validate_fields(kind: str, value: object) -> ObjectValidation:
    """Validate the fields of one object.

    Parameters
    ----------
    kind : str
        One of ``KINDS``.
    value : object
        The object as declared; may be of any type.

    Returns
    -------
    ObjectValidation
        All faults, and the valid fields for the checks across objects.
    """
    try:
        fields = KINDS[kind].validate_python(value)
    except ValidationError as error:
        errors = error.errors(include_url=False)
    else:
        return ObjectValidation(fields=fields, faults=(), partial_fields=frozenset())
    faults = tuple(_field_fault(kind, each) for each in errors)
    if not isinstance(value, Mapping):
        return ObjectValidation(fields={}, faults=faults, partial_fields=frozenset())
    locations = [each["loc"] for each in errors]
    valid_fields = _remove_locations(value, locations)
    partial_fields = frozenset(
        str(location[0]) for location in locations if location[0] in valid_fields
    )
    return ObjectValidation(
        fields=valid_fields, faults=faults, partial_fields=partial_fields
    )


def _remove_locations(
    value: Mapping[str, Any], locations: Iterable[ErrorLocation]
) -> dict[str, Any]:
    """Return a copy of `value` without the values at `locations`."""
    remaining = copy.deepcopy(dict(value))
    for field, *inner in locations:
        container = remaining.get(field)
        if inner and isinstance(container, dict):
            container.pop(inner[0], None)
        elif inner and isinstance(container, list):
            container[inner[0]] = REMOVED
        else:
            remaining.pop(field, None)
    for field, container in remaining.items():
        if isinstance(container, list):
            remaining[field] = [each for each in container if each is not REMOVED]
    return remaining


def _field_fault(kind: str, error: Any) -> FieldFault:
    """Convert an error of pydantic to a fault."""
    field = ".".join(str(part) for part in error["loc"] if part != "[key]")
    context = error.get("ctx", {})
    found, expected = ERROR_TEXTS.get(error["type"], (None, "{message}"))
    expected = expected.format(
        fields=", ".join(FIELD_NAMES[kind]),
        hint=_pattern_hint(context.get("pattern", "")),
        message=error["msg"].removeprefix(MESSAGE_PREFIX),
        **context,
    )
    return FieldFault(field, found or short_repr(error["input"]), expected)


def _pattern_hint(pattern: str) -> str:
    for start, hint in PATTERN_HINTS.items():
        if pattern.startswith(start):
            return hint
    return f"a value that matches {pattern}"
