"""Tests that the pages name what the code has."""

import re
from pathlib import Path
from typing import get_args

import cappa
import httpx
import pytest

from buckthornshed.cli.main import Command
from buckthornshed.coordination.knowledge.fleet_actions import Notice
from buckthornshed.protocol.outcome import REASONS, Outcome, Reason
from buckthornshed.transport.metrics import Gauges, NodeMetrics
from buckthornshed.transport.settings import NodeSettings

from .test_integration import INCOMING, Egress, serve

ROOT = Path(__file__).parents[2]
OPERATORS = ROOT / "docs" / "operators"
PACKAGE = ROOT / "buckthornshed"
LINKED = [ROOT / "README.md", ROOT / "docs" / "getting-started.md"]
LINKED += [ROOT / "docs" / "callers.md", *sorted(OPERATORS.glob("*.md"))]
LINK = re.compile(r"\]\(([^)#:]+)\)")
EVENT = re.compile(r'log_event\(\s*"(\w+)"')
CONTEXT = INCOMING["buckthornshed-context"]
PYTHON = re.compile(r"```python\n(.*?)```", re.DOTALL)


def read(*parts):
    return ROOT.joinpath(*parts).read_text()


@pytest.mark.parametrize("page", LINKED, ids=lambda page: page.name)
def test_links_resolve(page):
    targets = LINK.findall(page.read_text())
    assert [target for target in targets if not (page.parent / target).exists()] == []


def test_index_links_all_pages_of_operators():
    links = LINK.findall((OPERATORS / "index.md").read_text())
    pages = {page.name for page in OPERATORS.glob("*.md")} - {"index.md"}
    assert pages - set(links) == set()


def test_each_log_event_is_described():
    page = read("docs", "operators", "logs-and-metrics.md")
    sources = (path.read_text() for path in (PACKAGE / "transport").glob("*.py"))
    events = {event for source in sources for event in EVENT.findall(source)}
    assert "node_started" in events
    events |= set(get_args(Notice))
    assert [event for event in sorted(events) if f"`{event}`" not in page] == []


def test_each_metric_is_described():
    page = read("docs", "operators", "logs-and-metrics.md")
    metrics = NodeMetrics(name="a", gauges=lambda: Gauges(0, 0, 0, 0, "serving", 0))
    metrics.count_call(Outcome.COMPLETE, None)
    metrics.count_admitted(0)
    metrics.count_refused(Reason.OVERLOAD, 0)
    metrics.count_key("completed")
    metrics.record_added_latency(0.001)
    names = set(
        re.findall(r"^# TYPE (buckthornshed\w+)", metrics.render().decode(), re.M)
    )
    metrics.close()
    assert len(names) == 12
    assert [name for name in sorted(names) if f"`{name}`" not in page] == []


def test_each_setting_is_described():
    page = read("docs", "operators", "settings.md")
    described = re.findall(r"^\| `(\w+)` \|", page, re.M)
    assert sorted(described) == sorted(NodeSettings.__annotations__)


def test_each_command_is_described():
    names = [cappa.Command.get(command).real_name() for command in get_args(Command)]
    page = read("README.md")
    assert [name for name in names if f"`{name}`" not in page.replace(" ", "` `")] == []


def test_each_reason_is_described_with_its_status():
    page = read("docs", "callers.md")
    rows = re.findall(r"^\| (`[^|]+) \| (\d+) \| (yes|no) \|$", page, re.M)
    described = {
        reason: (int(status), later == "yes")
        for reasons, status, later in rows
        for reason in re.findall(r"`([\w-]+)`", reasons)
    }
    expected = {
        reason.value: (traits.status, traits.retry_later)
        for reason, traits in REASONS.items()
    }
    assert described == expected


def test_target_of_the_callers_guide_carries_the_context(monkeypatch):
    egress = Egress()
    create = httpx.MockTransport
    monkeypatch.setattr(httpx, "AsyncHTTPTransport", lambda: create(egress))
    names: dict[str, object] = {}
    exec(PYTHON.findall(read("docs", "callers.md"))[1], names)
    assert serve(names["application"]).text == "free: 4"
    assert egress.seen[0].headers["buckthornshed-context"] == CONTEXT
    refused = serve(names["booking"])
    assert (refused.status_code, refused.headers["retry-after"]) == (503, "1")
