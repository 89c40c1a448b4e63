"""The operations page documents each log event, refusal reason and metric."""

import re
from pathlib import Path

import pytest

from buckthornshed.protocol.relay_messages import RefusalReason
from buckthornshed.transport.relay.counts import RelayCounts, RelayGauges
from buckthornshed.transport.relay.metrics import RelayMetrics

ROOT = Path(__file__).parents[3]
PAGE = (ROOT / "docs" / "OPERATIONS.md").read_text()
EVENT = re.compile(r'log_event\(\s*"(\w+)"')
SOURCES = [
    *(ROOT / "buckthornshed" / "transport" / "relay").rglob("*.py"),
    *(ROOT / "buckthornshed" / "platform").glob("*.py"),
]


def test_each_event_is_described():
    events = {name for path in SOURCES for name in EVENT.findall(path.read_text())}
    assert "request_given_up" in events
    assert [name for name in sorted(events) if f"`{name}`" not in PAGE] == []


@pytest.mark.parametrize("reason", list(RefusalReason))
def test_each_reason_is_described(reason):
    assert f"`{reason.name.lower()}`" in PAGE


def test_each_metric_is_described():
    counts = RelayCounts()
    counts.record_request("avail", "answered", 0.1, 2)
    counts.calls[("200",)] += 1
    gauges = RelayGauges(1, 2, 3, 4, 5, 6, 7.0, 1.0, 2.5, 9, 0, 0)
    metrics = RelayMetrics(name="a", counts=counts, gauges=lambda: gauges)
    text = metrics.render().decode()
    names = set(re.findall(r"^# TYPE (buckthornshed_\w+)", text, re.MULTILINE))
    assert "buckthornshed_request_seconds" in names
    suffixes = {name: name.removeprefix("buckthornshed") for name in names}
    missing = [
        n for n, s in suffixes.items() if f"`{n}`" not in PAGE and f"`{s}`" not in PAGE
    ]
    assert missing == []
