"""Object declarations in TOML documents."""

import re
import tomllib
from collections.abc import Iterator
from typing import Any, NamedTuple

from .fields import KINDS
from .findings import Finding, short_repr

__all__ = ["UNREADABLE", "Declaration", "Document", "Source", "read_document"]

MAX_FILE_BYTES = 16_000_000

TABLE_HEADER = re.compile(r"^\s*\[+\s*([\w.\s-]+)")
"""Matches a table header, with or without its closing bracket."""

ERROR_POSITION = re.compile(r"\s*\(at (?:line (\d+), column \d+|end of document)\)$")


UNREADABLE = object()
"""Value of a declaration with a syntax error."""


class Source(NamedTuple):
    """A file of a set: the name that findings report, and the content."""

    file: str
    data: bytes


class Declaration(NamedTuple):
    """An object as declared in a file; ``value`` may be ``UNREADABLE``."""

    file: str
    kind: str
    name: str
    value: Any


class Document(NamedTuple):
    """The declarations and the faults of one file."""

    declarations: tuple[Declaration, ...]
    findings: tuple[Finding, ...]


class _ParseError(NamedTuple):
    """A syntax error, with its line number counted from 1."""

    line: int
    message: str


class _TableText(NamedTuple):
    """One table of a file with a syntax error: first line, header and text."""

    line: int
    header: str
    text: str


def read_document(source: Source) -> Document:
    """Return the objects that `source` declares.

    A file with syntax errors is parsed table by table, so that one error does not
    hide the other tables and their faults.
    """
    file = source.file
    if len(source.data) > MAX_FILE_BYTES:
        found = f"{len(source.data)} bytes"
        expected = f"at most {MAX_FILE_BYTES} bytes"
        return Document((), (Finding(file, "", "", found, expected),))
    try:
        text = source.data.decode()
    except UnicodeDecodeError as error:
        found = f"byte {error.object[error.start]:#04x} at offset {error.start}"
        return Document((), (Finding(file, "", "", found, "UTF-8 text"),))
    tables = _parse(text)
    if isinstance(tables, _ParseError):
        return _read_tables_separately(file, text, tables)
    return _build_document(file, tables)


def _parse(text: str) -> dict[str, Any] | _ParseError:
    try:
        return tomllib.loads(text)
    except RecursionError:
        return _ParseError(1, "values nested too deeply")
    except ValueError as error:
        # TOMLDecodeError, or a plain ValueError for integers of over 4,300 digits.
        message = str(error)
    position = ERROR_POSITION.search(message)
    if position is None:
        return _ParseError(1, message)
    line = int(position[1]) if position[1] else text.rstrip("\n").count("\n") + 1
    return _ParseError(line, message[: position.start()])


def _build_document(file: str, tables: dict[str, Any]) -> Document:
    declarations: list[Declaration] = []
    findings: list[Finding] = []
    for kind, objects_by_name in tables.items():
        if kind not in KINDS:
            expected = "one of the kinds " + ", ".join(sorted(KINDS))
            findings.append(Finding(file, kind, "", "an unknown kind", expected))
        elif not isinstance(objects_by_name, dict):
            expected = f"tables [{kind}.name]"
            findings.append(
                Finding(file, kind, "", short_repr(objects_by_name), expected)
            )
        else:
            for name, value in objects_by_name.items():
                declarations.append(Declaration(file, kind, name, value))
    return Document(tuple(declarations), tuple(findings))


def _read_tables_separately(file: str, text: str, first_error: _ParseError) -> Document:
    """Parse each table of a file with syntax errors by itself."""
    tables: dict[str, Any] = {}
    headers: set[str] = set()
    unreadable: dict[tuple[str, str], Declaration] = {}
    findings: list[Finding] = []
    for table in _split_tables(text):
        parsed = _parse(table.text)
        if isinstance(parsed, _ParseError):
            line = table.line + parsed.line - 1
            findings.append(_syntax_finding(file, table.header, line, parsed.message))
            unreadable.update(_unreadable_declarations(file, table.header))
        elif table.header in headers or not _merge(tables, parsed):
            message = "a second declaration"
            findings.append(_syntax_finding(file, table.header, table.line, message))
        headers.add(table.header)
    if not findings:
        line, message = first_error
        findings.append(_syntax_finding(file, "", line, message))
    document = _build_document(file, tables)
    readable = [each for each in document.declarations if each[1:3] not in unreadable]
    return Document((*readable, *unreadable.values()), (*findings, *document.findings))


def _split_tables(text: str) -> Iterator[_TableText]:
    lines = [line + "\n" for line in text.split("\n")]
    starts = [number for number, line in enumerate(lines) if TABLE_HEADER.match(line)]
    for start, end in zip([0, *starts], [*starts, len(lines)], strict=True):
        if start == end:
            continue
        header = TABLE_HEADER.match(lines[start])
        name = re.sub(r"\s", "", header[1]) if header else ""
        yield _TableText(start + 1, name, "".join(lines[start:end]))


def _syntax_finding(file: str, header: str, line: int, message: str) -> Finding:
    return Finding(file, header, f"line {line}", message, "valid TOML")


def _unreadable_declarations(
    file: str, header: str
) -> Iterator[tuple[tuple[str, str], Declaration]]:
    """Yield the object under `header` by kind and name, with an unreadable value.

    The object counts as declared, so references to it are not reported as dangling.
    """
    tables = _parse(f"[{header}]")
    if not header or isinstance(tables, _ParseError):
        return
    for each in _build_document(file, tables).declarations:
        yield (each.kind, each.name), each._replace(value=UNREADABLE)


def _merge(into: dict[str, Any], new: dict[str, Any]) -> bool:
    """Add the tables of `new` to `into`; return False if any value already exists."""
    no_duplicates = True
    for key, value in new.items():
        existing = into.get(key)
        if key not in into:
            into[key] = value
        elif isinstance(existing, dict) and isinstance(value, dict):
            no_duplicates = _merge(existing, value) and no_duplicates
        else:
            no_duplicates = False
    return no_duplicates
