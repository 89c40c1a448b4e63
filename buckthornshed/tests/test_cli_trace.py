"""Tests of the command trace with logs of several relays."""

import pytest

from buckthornshed.cli.main import main
from buckthornshed.cli.trace import TraceError, explain_end, read_lines

ROOT = "9c41d07be2a35f68"
CALL = f"{ROOT}.19fcbfffb4f6f22c"
DEEP = f"{CALL}.473502e7d50ceea0"

FIRST_HOP = f"""\
time="2026-12-04 00:00:01,000" level=INFO event=request_answered request={ROOT} \
parent=- route=notices rank=2 ms=300.1 left_ms=499.9 status=500 \
attempts="i-1/17@0ms,load=0.50,age=40ms,end=answer"
time="2026-12-04 00:00:01,000" level=INFO event=request_given_up request=other \
route=notices status=503 reason=overload
a line that {ROOT} cut
"""
SECOND_HOP = f"""\
time="2026-12-04 00:00:00,900" level=INFO event=request_answered request={CALL} \
parent={ROOT} route=roster status=500 attempts="i-3/17@0ms,end=answer"
time="2026-12-04 00:00:00,800" level=INFO event=request_given_up request={DEEP} \
parent={CALL} route=capacity status=503 reason=target_full attempts="i-4/17@0ms"
time="2026-12-04 00:00:00,700" level=INFO event=target_fault request={DEEP} kind=broken
"""


@pytest.fixture
def logs(tmp_path):
    paths = [tmp_path / "a.log", tmp_path / "b.log"]
    paths[0].write_text(FIRST_HOP)
    paths[1].write_text(SECOND_HOP)
    return paths


def test_deepest_downstream_failure_is_named_as_the_cause(logs):
    extract = read_lines(ROOT, logs)
    assert [line.request for line in extract.lines] == [DEEP, DEEP, CALL, ROOT]
    assert extract.unreadable == 1
    sentence = explain_end(ROOT, extract.lines)
    assert DEEP in sentence and "the target rejected it" in sentence


def test_refusal_by_a_relay_is_explained_with_its_reason(logs):
    extract = read_lines("other", logs)
    assert explain_end("other", extract.lines) == (
        "other: answered with status 503 by relay a.log: "
        "the target was overloaded and could not start it in time"
    )


LOST_AT_TARGET = """\
time="2026-12-04 00:00:01,000" level=INFO event=target_fault request=one \
kind=broken detail="connection reset"
time="2026-12-04 00:00:01,001" level=INFO event=request_given_up request=one \
route=book status=502 reason=lost
time="2026-12-04 00:00:01,002" level=INFO event=request_given_up request=two \
route=book status=502 reason=lost
"""


def test_lost_answer_is_explained_with_the_place_of_the_fault(tmp_path):
    log = tmp_path / "a.log"
    log.write_text(LOST_AT_TARGET)
    at_target = explain_end("one", read_lines("one", [log]).lines)
    assert "the call to the target of relay a.log failed: connection reset" in at_target
    on_link = explain_end("two", read_lines("two", [log]).lines)
    assert "a connection between relays was lost" in on_link


def test_request_without_a_log_line_is_an_error(logs):
    with pytest.raises(TraceError):
        read_lines("unknown", logs)


def test_command_prints_the_timeline_and_the_explanation(logs, capsys):
    main(["trace", ROOT, *map(str, logs)])
    lines = capsys.readouterr().out.splitlines()
    assert len(lines) == 6
    assert lines[1].startswith("2026-12-04 00:00:00,800 b.log request_given_up")
    assert lines[4] == "lines that could not be parsed: 1"


def test_command_prints_json(logs, capsys):
    main(["trace", ROOT, *map(str, logs), "--json"])
    assert '"conclusion"' in capsys.readouterr().out


def test_unreadable_log_is_an_error(tmp_path, capsys):
    with pytest.raises(SystemExit) as raised:
        main(["trace", ROOT, str(tmp_path / "missing.log")])
    assert raised.value.code == 2
    assert "expected a readable log" in capsys.readouterr().err


def test_word_before_the_fields_is_the_source(tmp_path):
    path = tmp_path / "all.log"
    path.write_text(
        "".join(f"  1.0 relay-a {line}\n" for line in FIRST_HOP.split("\n"))
    )
    extract = read_lines("other", [path])
    assert extract.lines[0].source == "relay-a"


@pytest.mark.parametrize(
    ("event", "status", "reason", "cause"),
    [
        ("request_over_quota", 429, "over_quota", "the quota of its workspace was"),
        ("request_unauthorized", 401, "unauthorized", "it had no key that a workspace"),
    ],
)
def test_refusals_of_workspaces_are_explained(tmp_path, event, status, reason, cause):
    log = tmp_path / "a.log"
    log.write_text(
        f'time="2026-12-04 00:00:01,000" level=INFO event={event} request=one '
        f"route=book status={status} reason={reason}\n"
    )
    sentence = explain_end("one", read_lines("one", [log]).lines)
    assert sentence.startswith(f"one: answered with status {status} by relay a.log: ")
    assert cause in sentence
