"""``buckthornshed trace``: explain from relay logs how a request ended and why."""

import re
from collections import Counter, defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Annotated, NamedTuple

import cappa
import msgspec

from ..errors import BuckthornshedError
from ..protocol.decoding import DECODE_ERRORS
from .exits import ExitCode, exit_on_error

__all__ = ["LogLine", "Trace", "TraceError", "explain_end", "read_lines"]

PAIR = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S+)')
SEPARATOR = "."
LOST_REASONS = frozenset({"lost", "crashed"})
"""Reasons logged for a request that was sent and got no usable answer."""
NO_ROUTE_REASON = "no_route"
REFUSED_EVENTS = frozenset(
    {
        "request_given_up",
        "request_over_quota",
        "request_unauthorized",
        "request_unusable",
        "route_missing",
    }
)
"""Events of requests that a relay answered itself."""
END_EVENTS = REFUSED_EVENTS | {"request_answered"}
FAILED_STATUS = 500

CAUSES = {
    "over_quota": "the quota of its workspace was used up",
    "unauthorized": "it had no key that a workspace holds",
    "unusable_key": "its key is in an entry that cannot be used, see the log of the "
    "relay that read the configuration",
    "unusable_route": "its route leads nowhere, see the log of the relay that read the "
    "configuration",
    "no_route": "no route of its configuration matched",
    "not_admitted": "a service that it depends on was saturated",
    "overload": "the target was overloaded and could not start it in time",
    "rate_limited": "the limit that its target states was used up",
    "retry_limited": "the calls of another run would have exceeded the retry limit",
    "expired": "its deadline passed or could no longer be met before it was sent",
    "leaving": "its target was draining and no other target could serve it",
    "unreachable": "no target could be reached",
    "wrong_target": "another target had the address of the chosen one",
    "target_full": "the target rejected it",
    "lost": "it was sent, but no usable answer came back",
    "crashed": "its target ended while it ran",
    "quarantined": "it had crashed targets before and was not sent",
    "isolated": "it was suspected of crashes, and other suspects were running",
    "timed_out": "its deadline passed before an answer came",
}


class TraceError(BuckthornshedError):
    """A log cannot be read, or no log has a line of the request."""


class LogLine(NamedTuple):
    """Parsed log line of a request."""

    time: str
    source: str
    event: str
    fields: dict[str, str]

    @property
    def request(self) -> str:
        """Identifier of the request."""
        return self.fields["request"]

    @property
    def failed(self) -> bool:
        """Whether the line reports a failure or a refusal."""
        if self.event in REFUSED_EVENTS or self.event == "target_fault":
            return True
        result = self.fields.get("status", self.fields.get("result", "200"))
        return not result.isdigit() or int(result) >= FAILED_STATUS


class LogExtract(NamedTuple):
    """Log lines of a call chain, and the number of lines that could not be parsed."""

    lines: list[LogLine]
    unreadable: int


@cappa.command(name="trace", help="Explain how a request ended and why.")
@dataclass(kw_only=True)
class Trace:
    """Explain how a request ended and why.

    Exits with 0 if the logs have a line of the request, 2 if they have none or a log
    cannot be read.
    """

    request: Annotated[str, cappa.Arg(help="request identifier")]
    logs: Annotated[list[Path], cappa.Arg(help="log files of relays")] = field(
        default_factory=list
    )
    json: Annotated[bool, cappa.Arg(long=True, help="print JSON")] = False

    def __call__(self) -> None:
        """Read the logs and print the lines of the call chain in order of time."""
        with exit_on_error(ExitCode.INPUT_ERROR):
            extract = read_lines(self.request, self.logs)
        conclusion = explain_end(self.request, extract.lines)
        if self.json:
            output = {
                "lines": extract.lines,
                "broken": extract.unreadable,
                "conclusion": conclusion,
            }
            print(msgspec.json.format(msgspec.json.encode(output)).decode())
            return
        for line in extract.lines:
            print(_render_line(line))
        if extract.unreadable:
            print(f"lines that could not be parsed: {extract.unreadable}")
        print(conclusion)


def read_lines(request: str, logs: Iterable[Path]) -> LogExtract:
    """Return the lines of a request, its callers and its downstream calls, by time.

    Raises
    ------
    TraceError
        If a log cannot be read, or no log has a line of the request.
    """
    lines: list[LogLine] = []
    counts: Counter[str] = Counter()
    for path in logs:
        # Values may contain other characters that `splitlines` takes for line ends.
        for text in _read_log(path).split("\n"):
            if request.partition(SEPARATOR)[0] not in text:
                continue
            line = _parse_line(text, path.name)
            if line is None:
                counts["unreadable"] += 1
            elif _is_related(request, line.request):
                lines.append(line)
    if not lines:
        raise TraceError(
            subject=f"request {request}",
            found="no line in the logs",
            expected="a line of a relay that handled it; successes are sampled",
        )
    return LogExtract(sorted(lines, key=lambda line: line.time), counts["unreadable"])


def explain_end(request: str, lines: list[LogLine]) -> str:
    """Return a sentence that says which process ended the request, and why."""
    ends = [ln for ln in lines if ln.request == request and ln.event in END_EVENTS]
    if not ends:
        return f"{request}: no relay has logged how it ended"
    end = ends[-1]
    status = end.fields.get("status", "?")
    if not end.failed:
        return (
            f"{request}: answered with status {status} by a target, "
            f"logged by {end.source}"
        )
    if end.event in REFUSED_EVENTS:
        reason = end.fields.get("reason", "")
        cause = CAUSES.get(reason, reason) + _locate_fault(reason, request, lines)
        if reason == NO_ROUTE_REASON:
            cause += _describe_configuration(end)
        return (
            f"{request}: answered with status {status} by relay {end.source}: {cause}"
        )
    failure = _deepest_failure(request, lines)
    if failure is None:
        return f"{request}: answered with status {status} by the target itself"
    reason = failure.fields.get("reason", failure.fields.get("result", ""))
    cause = CAUSES.get(
        reason, f"it ended with {reason or failure.fields.get('status')}"
    )
    cause += _locate_fault(reason, failure.request, lines)
    return (
        f"{request}: answered with status {status} by the target because its call "
        f"{failure.request} failed at {failure.source}: {cause}"
    )


def _deepest_failure(request: str, lines: list[LogLine]) -> LogLine | None:
    failures = [
        line
        for line in lines
        if line.failed and line.request.startswith(request + SEPARATOR)
    ]
    return max(failures, key=_cause_rank, default=None)


def _locate_fault(reason: str, request: str, lines: list[LogLine]) -> str:
    """Return where a lost answer failed according to the logs, or an empty string."""
    if reason not in LOST_REASONS:
        return ""
    for line in reversed(lines):
        if line.request == request and line.event == "target_fault":
            detail = line.fields.get("detail", "no detail")
            return f" (the call to the target of relay {line.source} failed: {detail})"
    return " (no relay logged a target fault: a connection between relays was lost)"


def _describe_configuration(line: LogLine) -> str:
    """Return which configuration a relay had, from whom, and what confirmed it."""
    fields = defaultdict(lambda: "?", line.fields)
    return (
        f" (generation {fields['generation']}, {fields['age']} s old, from "
        f"{fields['source']}; {fields['host_routes']} routes of host {fields['host']}; "
        f"last confirmed {fields['confirmed_age']} s before, by "
        f"{fields['confirmed_by']})"
    )


def _cause_rank(line: LogLine) -> tuple[int, bool]:
    """Return the key by which a failure is picked: depth, then having a reason."""
    return line.request.count(SEPARATOR), "reason" in line.fields


def _is_related(request: str, other: str) -> bool:
    is_caller = request.startswith(other + SEPARATOR)
    return other == request or is_caller or other.startswith(request + SEPARATOR)


def _read_log(path: Path) -> str:
    try:
        return path.read_text(encoding="utf-8", errors="replace")
    except OSError as error:
        raise TraceError(
            subject=str(path), found=str(error), expected="a readable log"
        ) from error


def _parse_line(text: str, source: str) -> LogLine | None:
    """Return the parsed line, or None if it is malformed.

    The word before the first field, if any, is the source of the line: a file may
    combine the logs of several relays, with the relay name before each line.
    """
    fields: dict[str, str] = {}
    for name, value in PAIR.findall(text):
        try:
            fields[name] = msgspec.json.decode(value) if value[0] == '"' else value
        except DECODE_ERRORS:
            return None
    if not {"time", "event", "request"} <= fields.keys():
        return None
    prefix_words = text[: text.index("time=")].split()
    name = prefix_words[-1] if prefix_words else source
    return LogLine(fields.pop("time"), name, fields.pop("event"), fields)


def _render_line(line: LogLine) -> str:
    fields = " ".join(
        f"{name}={value}" for name, value in line.fields.items() if name != "level"
    )
    return f"{line.time} {line.source} {line.event} {fields}"
