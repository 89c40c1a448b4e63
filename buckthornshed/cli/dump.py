"""``buckthornshed dump``: print the state of a running node."""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from typing import Annotated, Any

import cappa
import httpx
import msgspec
from tabulate import tabulate

from ..errors import BuckthornshedError
from ..protocol.decoding import DECODE_ERRORS
from .exits import ExitCode, exit_on_error

__all__ = ["Dump", "DumpError", "fetch_dump", "render_dump"]

TIMEOUT_S = 5.0
DUMP_PATH = "/dump"
EMPTY_CELL = "-"

State = dict[str, Any]


class DumpError(BuckthornshedError):
    """A node did not return its state."""


@cappa.command(name="dump", help="Print the state of a running node.")
@dataclass(kw_only=True)
class Dump:
    """Print the state of a running node.

    Exits with 0 if the state is printed, 2 if the node does not return it.
    """

    address: Annotated[str, cappa.Arg(help="ip:port of the node's admin endpoint")]
    json: Annotated[bool, cappa.Arg(long=True, help="print JSON")] = False

    def __call__(self) -> None:
        """Fetch the state and print it."""
        with exit_on_error(ExitCode.INPUT_ERROR), create_client() as client:
            state = fetch_dump(client, self.address)
        if self.json:
            print(msgspec.json.format(msgspec.json.encode(state)).decode())
        else:
            print(render_dump(state))


def create_client() -> httpx.Client:
    """Return an HTTP client that ignores proxy settings of the environment."""
    return httpx.Client(timeout=TIMEOUT_S, trust_env=False)


def fetch_dump(client: httpx.Client, address: str) -> State:
    """Return the state of the node with the admin endpoint `address`.

    Raises
    ------
    DumpError
        If the node does not respond in time, or without a valid state.
    """
    try:
        response = client.get(f"http://{address}{DUMP_PATH}")
    except (httpx.HTTPError, httpx.InvalidURL) as error:
        raise DumpError(
            subject=address,
            found=str(error) or type(error).__name__,
            expected=f"a response within {TIMEOUT_S:g} s",
        ) from error
    if response.status_code != httpx.codes.OK:
        raise DumpError(
            subject=address,
            found=f"status {response.status_code}",
            expected="status 200",
        )
    return _decode(address, response.content)


def render_dump(state: Mapping[str, Any]) -> str:
    """Return a state as text: simple values first, then a section for each group.

    A mapping of simple values becomes a table of names and values. A list of mappings,
    or a mapping of mappings with equal fields, becomes a table with a column for each
    field.
    """
    simple = {name: value for name, value in state.items() if _fits_in_cell(value)}
    parts = [_key_value_table(simple)] if simple else []
    parts += (f"{title}\n{table}" for title, table in _sections(state))
    return "\n\n".join(parts)


def _sections(state: Mapping[str, Any], prefix: str = "") -> Iterator[tuple[str, str]]:
    for name, value in state.items():
        if _fits_in_cell(value):
            continue
        title = f"{prefix}{name}"
        rows = _rows(value)
        if rows is not None:
            yield title, _table(rows)
            continue
        simple = {key: item for key, item in value.items() if _fits_in_cell(item)}
        if simple:
            yield title, _key_value_table(simple)
        yield from _sections(value, f"{title}.")


def _fits_in_cell(value: object) -> bool:
    """Return whether a value can be shown in a single table cell."""
    if isinstance(value, Mapping):
        return not value
    if isinstance(value, list):
        return not any(isinstance(item, Mapping) for item in value)
    return True


def _rows(value: Any) -> list[State] | None:
    """Return the table rows of a value, or None if it is not tabular."""
    if isinstance(value, list):
        return [item if isinstance(item, dict) else {"": item} for item in value]
    all_mappings = all(isinstance(item, dict) and item for item in value.values())
    all_flat = all_mappings and all(
        _fits_in_cell(cell) for item in value.values() for cell in item.values()
    )
    same_fields = all_flat and len({frozenset(item) for item in value.values()}) == 1
    return (
        [{"name": key} | item for key, item in value.items()] if same_fields else None
    )


def _table(rows: list[State]) -> str:
    cells = [{name: _table_cell(value) for name, value in row.items()} for row in rows]
    return tabulate(cells, headers="keys", missingval=EMPTY_CELL)


def _table_cell(value: object) -> object:
    """Return the cell for a value; `tabulate` aligns numbers that stay numbers."""
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    return value if is_number else _format_cell(value)


def _key_value_table(values: Mapping[str, Any]) -> str:
    rows = [(name, _format_cell(value)) for name, value in values.items()]
    return tabulate(rows, tablefmt="plain", disable_numparse=True)


def _format_cell(value: object) -> str:
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, list):
        return ", ".join(map(str, value)) or EMPTY_CELL
    return EMPTY_CELL if value is None or value == {} else str(value)


def _decode(address: str, content: bytes) -> State:
    try:
        return msgspec.json.decode(content, type=State)
    except DECODE_ERRORS as error:
        raise DumpError(
            subject=address, found=str(error), expected="a JSON object"
        ) from error
