"""Tests that the documentation pages match the code."""

import functools
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

TESTS = PACKAGE / "tests"
PAGES = [ROOT / "README.md", *sorted((ROOT / "docs").rglob("*.md"))]
SOURCE_FOLDERS = ["buckthornshed", "benchmarks", "binary", "deploy", "examples"]
SOURCE_FOLDERS += ["scripts"]
FENCE = re.compile(r"^```[^\n]*\n(.*?)^```", re.DOTALL | re.MULTILINE)
CODE_SPAN = re.compile(r"`([^`]+)`")
PATH = re.compile(r"[\w.-]+(?:/[\w.-]+)*/?")
NAME = re.compile(r"\w+(?:\.\w+)*")
CLASS = re.compile(r"[A-Z]\w*[a-z]\w*")
# Names on pages that are not names of this project's code.
NOT_IN_SOURCES = {
    "buckthornshed.calls",  # a metric as OTLP exports it, built at run time
    "noexec",  # a mount option
    "p_s",  # a symbol of the bound in docs/design/retry-allowance.md
    "rope",  # a development tool
    "ruff",  # a development tool
    "xN",  # the factor of a surge in docs/design/scenarios.md
}


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


def list_sources():
    """Return the files below the source folders of the checkout."""
    files = (path for folder in SOURCE_FOLDERS for path in (ROOT / folder).rglob("*"))
    return [f for f in files if f.is_file() and "__pycache__" not in f.parts]


@functools.cache
def read_source_names():
    """Return the words and the file names of the sources."""
    sources = list_sources()
    words = {word for path in sources for word in read_words(path)}
    return words | {path.stem for path in sources}, {path.name for path in sources}


def read_words(path):
    return set(re.findall(r"\w+", path.read_text()))


def is_project_path(token):
    if not PATH.fullmatch(token) or token.startswith("."):
        return False
    first, separator, _ = token.partition("/")
    if not separator:
        return token.endswith(".py")
    in_source_folder = any(
        (folder / first).is_dir() for folder in (ROOT, PACKAGE, TESTS)
    )
    return in_source_folder or token.endswith((".py", "/"))


def path_exists(token):
    if "/" not in token:
        return token in read_source_names()[1]
    return any((folder / token).exists() for folder in (ROOT, PACKAGE, TESTS))


def is_package(name):
    return name in ("buckthornshed", "benchmarks") or (PACKAGE / name).is_dir()


def dotted_name_exists(parts):
    """Return whether the name leads to a folder, or to a module with the next part."""
    path = PACKAGE if (PACKAGE / parts[0]).is_dir() else ROOT
    for position, part in enumerate(parts):
        path /= part
        if path.is_dir():
            continue
        module, names = path.with_suffix(".py"), parts[position + 1 :]
        if not module.is_file():
            module, names = path.parent / "__init__.py", parts[position:]
        return all(name in read_words(module) for name in names[:1]) and all(
            name in read_source_names()[0] for name in names
        )
    return True


def name_exists(token):
    parts = token.split(".")
    if is_package(parts[0]) and len(parts) > 1:
        return dotted_name_exists(parts)
    return all(part in read_source_names()[0] for part in parts)


def is_code_name(token):
    """Return whether a word is a class, constant, function, module or dotted name."""
    # A leading "_" marks the end of a name, as in "_total".
    if not NAME.fullmatch(token) or token[0].isdigit() or token.startswith("_"):
        return False
    first, dot, _ = token.partition(".")
    if dot:
        return is_package(first) or CLASS.fullmatch(first) is not None
    # Metric names are built at run time; the tests above compare them with the pages.
    is_metric = token.startswith("buckthornshed_")
    # Capitals without "_" are values such as HTTP methods, and placeholders.
    return not is_metric and ("_" in token or not token.isupper())


def missing_names(text):
    """Return the names in code spans, and the paths in blocks, that do not exist."""
    spans = CODE_SPAN.findall(FENCE.sub("", text))
    spanned = [token for span in spans for token in span.split()]
    fenced = [token for block in FENCE.findall(text) for token in block.split()]
    missing = []
    for token in spanned + fenced:
        path, _, test = token.strip("(),;:'\"").partition("::")
        path = path.removeprefix("./")
        if is_project_path(path) and not path_exists(path):
            missing.append(path)
        missing += [test] if test and not name_exists(test) else []
    for token in spanned:
        name = token.strip("(),;:'\"")
        if is_code_name(name) and not name_exists(name):
            missing.append(name)
    return sorted(set(missing) - NOT_IN_SOURCES)


@pytest.mark.parametrize("page", PAGES, ids=lambda page: str(page.relative_to(ROOT)))
def test_names_on_the_page_exist(page):
    assert missing_names(page.read_text()) == []


def test_modules_on_the_architecture_page_exist():
    page = read("docs", "design", "architecture.md")
    table = page.partition("| module of `coordination` |")[2].partition("\n\n")[0]
    cells = [row.split("|")[1] for row in table.splitlines()[2:]]
    named = {name for cell in cells for name in CODE_SPAN.findall(cell)}
    modules = {path.stem for path in (PACKAGE / "coordination").rglob("*.py")}
    assert len(named) > 20
    assert sorted(named - modules) == []


def test_missing_names_are_found():
    # Concatenated, since a name written out in this file would count as existing.
    new, method, test = "No" + "Such", "no" + "_such", "test" + "_no_such"
    missing = [f"coordination/{method}.py", f"{method}.py", f"{method}/", test]
    missing += [f"coordination.{method}", f"coordination.node.{new}", new, method]
    missing += [f"KeyTable.{method}", f"buckthornshed.{method}", method.upper()]
    missing += ["such" + "not"]
    existing = [
        "coordination/relay/dispatcher.py",
        "relay/",
        "test_docs.py",
        "KeyTable",
    ]
    existing += ["coordination.node.NodeCore", "./scripts/test", "KeyTable.finish"]
    existing += ["test_docs.py::test_links_resolve", "a word", "benchmarks/"]
    page = "\n".join(f"- `{name}`" for name in missing + existing)
    assert missing_names(page) == sorted(missing)
    assert missing_names(f"```\npytest tests/{test}.py\n```") == [f"tests/{test}.py"]
