"""TOML documents as declarations of objects."""

import re
import tomllib
from collections.abc import Iterator
from typing import Any, NamedTuple

from .fields import KINDS
from .findings import Finding, shown

__all__ = ["UNREADABLE", "Declaration", "Document", "Source", "read_document"]

MAX_FILE_BYTES = 16_000_000

HEADER = re.compile(r"^\s*\[+\s*([\w.\s-]+)")
"""The start of a table, also of one whose header is not closed."""

LINE = re.compile(r"\s*\(at (?:line (\d+), column \d+|end of document)\)$")


UNREADABLE = object()
"""Value of a declaration that is there but cannot be read."""


class Source(NamedTuple):
    """A file of a set: its name for findings, and its bytes."""

    file: str
    data: bytes


class Declaration(NamedTuple):
    """An object as it stands in a file; ``value`` may be ``UNREADABLE``."""

    file: str
    kind: str
    name: str
    value: Any


class Document(NamedTuple):
    """What one file declares, and its faults."""

    declarations: tuple[Declaration, ...]
    findings: tuple[Finding, ...]


class _Syntax(NamedTuple):
    """A syntax error, with its line from 1."""

    line: int
    message: str


class _Block(NamedTuple):
    """A table of a file that has a syntax error: first line, header, text."""

    line: int
    header: str
    text: str


def read_document(source: Source) -> Document:
    """Return the objects that `source` declares.

    A file with syntax errors is read table by table, so that one error hides
    neither the other tables nor their faults.
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
    if isinstance(tables, _Syntax):
        return _read_blocks(file, text, tables)
    return _declared(file, tables)


def _parse(text: str) -> dict[str, Any] | _Syntax:
    try:
        return tomllib.loads(text)
    except RecursionError:
        return _Syntax(1, "values nested too deeply")
    except ValueError as error:
        # Integers of more than 4,300 digits raise ValueError itself.
        message = str(error)
    place = LINE.search(message)
    if place is None:
        return _Syntax(1, message)
    line = int(place[1]) if place[1] else text.rstrip("\n").count("\n") + 1
    return _Syntax(line, message[: place.start()])


def _declared(file: str, tables: dict[str, Any]) -> Document:
    declarations: list[Declaration] = []
    findings: list[Finding] = []
    for kind, named in tables.items():
        if kind not in KINDS:
            expected = "one of the kinds " + ", ".join(sorted(KINDS))
            findings.append(Finding(file, kind, "", "an unknown kind", expected))
        elif not isinstance(named, dict):
            expected = f"tables [{kind}.name]"
            findings.append(Finding(file, kind, "", shown(named), expected))
        else:
            for name, value in named.items():
                declarations.append(Declaration(file, kind, name, value))
    return Document(tuple(declarations), tuple(findings))


def _read_blocks(file: str, text: str, first_error: _Syntax) -> Document:
    """Read a file with syntax errors, each of its tables by itself."""
    tables: dict[str, Any] = {}
    headers: set[str] = set()
    broken: dict[tuple[str, str], Declaration] = {}
    findings: list[Finding] = []
    for block in _blocks(text):
        parsed = _parse(block.text)
        if isinstance(parsed, _Syntax):
            line = block.line + parsed.line - 1
            findings.append(_syntax_finding(file, block.header, line, parsed.message))
            broken.update(_broken(file, block.header))
        elif block.header in headers or not _merge(tables, parsed):
            message = "a second declaration"
            findings.append(_syntax_finding(file, block.header, block.line, message))
        headers.add(block.header)
    if not findings:
        line, message = first_error
        findings.append(_syntax_finding(file, "", line, message))
    document = _declared(file, tables)
    whole = [each for each in document.declarations if each[1:3] not in broken]
    return Document((*whole, *broken.values()), (*findings, *document.findings))


def _blocks(text: str) -> Iterator[_Block]:
    lines = [line + "\n" for line in text.split("\n")]
    starts = [number for number, line in enumerate(lines) if HEADER.match(line)]
    for start, end in zip([0, *starts], [*starts, len(lines)], strict=True):
        if start == end:
            continue
        header = HEADER.match(lines[start])
        name = re.sub(r"\s", "", header[1]) if header else ""
        yield _Block(start + 1, name, "".join(lines[start:end]))


def _syntax_finding(file: str, header: str, line: int, message: str) -> Finding:
    return Finding(file, header, f"line {line}", message, "valid TOML")


def _broken(file: str, header: str) -> Iterator[tuple[tuple[str, str], Declaration]]:
    """Return the object under `header` as declared but unreadable."""
    tables = _parse(f"[{header}]")
    if not header or isinstance(tables, _Syntax):
        return
    for each in _declared(file, tables).declarations:
        yield (each.kind, each.name), each._replace(value=UNREADABLE)


def _merge(into: dict[str, Any], new: dict[str, Any]) -> bool:
    """Add the tables of `new`; return False if some value was there already."""
    free = True
    for key, value in new.items():
        present = into.get(key)
        if key not in into:
            into[key] = value
        elif isinstance(present, dict) and isinstance(value, dict):
            free = _merge(present, value) and free
        else:
            free = False
    return free
