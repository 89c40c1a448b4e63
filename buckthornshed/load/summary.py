"""Statistics of a load run: goodput, refusals, retries, recovery and latency."""

from collections import Counter
from collections.abc import Iterable, Sequence
from typing import TypedDict

from hdrh.histogram import HdrHistogram
from tabulate import tabulate

from .plan import Plan
from .records import RequestRecord, Result

__all__ = [
    "LatencySummary",
    "LoadSummary",
    "PurposeSummary",
    "added_latency",
    "answer_latency",
    "format_tables",
    "measure_recovery",
    "summarize",
]

MAX_LATENCY_US = 120_000_000
SIGNIFICANT_DIGITS = 3
RECOVERY_BIN_S = 0.5
MIN_SUCCESS_FRACTION = 0.95
PERCENTILES = {"p50": 50.0, "p99": 99.0, "p99_9": 99.9}


class LatencySummary(TypedDict):
    """Percentiles and maximum of latencies, milliseconds."""

    p50: float
    p99: float
    p99_9: float
    max: float


class PurposeSummary(TypedDict):
    """Statistics of the requests of one purpose that arrived in one phase.

    ``whole`` is the number of them that succeeded and ``share`` their fraction.
    ``whole_per_s`` is the rate of requests that succeeded during the phase, whenever
    they arrived. Latency counts from the scheduled arrival to the answer.
    """

    purpose: str
    rank: int
    phase: str
    offered: int
    whole: int
    whole_per_s: float
    share: float
    latency_ms: LatencySummary


class LoadSummary(TypedDict):
    """Statistics of a run.

    ``refusals`` counts the answers with a status other than 200, by status, outcome and
    reason. ``recovery_s`` is None if the run did not recover before its end.
    ``late_ms_p99`` is the delay from the scheduled arrival to the first attempt, which
    shows whether the load generator kept up. ``retries`` maps the number of retries of
    a client request to the number of such requests.
    """

    requests: int
    attempts: int
    unsent: int
    purposes: list[PurposeSummary]
    results: dict[str, int]
    refusals: dict[str, int]
    wrong: list[str]
    retries: dict[int, int]
    retries_max: int
    recovery_s: float | None
    late_ms_p99: float
    latency_ms: LatencySummary


def build_histogram(latencies_s: Iterable[float]) -> HdrHistogram:
    """Return a histogram of the latencies in microseconds."""
    histogram = HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
    for latency_s in latencies_s:
        histogram.record_value(max(1, min(MAX_LATENCY_US, round(latency_s * 1e6))))
    return histogram


def summarize_latencies(latencies_s: Iterable[float]) -> LatencySummary:
    """Return percentiles and maximum of the latencies, milliseconds."""
    histogram = build_histogram(latencies_s)
    p50, p99, p99_9 = (
        histogram.get_value_at_percentile(percentile) / 1e3
        for percentile in PERCENTILES.values()
    )
    return LatencySummary(
        p50=p50, p99=p99, p99_9=p99_9, max=histogram.get_max_value() / 1e3
    )


def measure_recovery(plan: Plan, records: Sequence[RequestRecord]) -> float | None:
    """Return the seconds from the end of the disturbance until the run recovered.

    A bin of arrivals is normal if at least 95 % of its requests succeeded at their
    first attempt. The run has recovered at the end of the last bin that is not
    normal. If that is the last bin of the run, the result is None.
    """
    end = plan.disturbance_end_s()
    offered: Counter[int] = Counter()
    succeeded: Counter[int] = Counter()
    for record in records:
        index = int((record.arrival - end) // RECOVERY_BIN_S)
        offered[index] += 1
        succeeded[index] += record.succeeded() and len(record.attempts) == 1
    after = [index for index in sorted(offered) if index >= 0]
    bad = [
        index
        for index in after
        if succeeded[index] < MIN_SUCCESS_FRACTION * offered[index]
    ]
    if not bad:
        return 0.0
    if bad[-1] == after[-1]:
        return None
    return (bad[-1] + 1) * RECOVERY_BIN_S


def summarize(
    plan: Plan, records: Sequence[RequestRecord], *, unsent: int = 0
) -> LoadSummary:
    """Return the statistics of a run."""
    attempts = [attempt for record in records for attempt in record.attempts]
    refusals = Counter(
        f"{attempt.status} {attempt.outcome or '-'} {attempt.reason or '-'}"
        for attempt in attempts
        if attempt.status not in (0, 200)
    )
    retries = Counter(len(record.attempts) - 1 for record in records)
    wrong = [one.detail for one in attempts if one.result is Result.WRONG]
    results = Counter(str(attempt.result) for attempt in attempts)
    send_delays = (record.attempts[0].start - record.arrival for record in records)
    latencies = (record.latency_s() for record in records if record.succeeded())
    return LoadSummary(
        requests=len(records),
        attempts=len(attempts),
        unsent=unsent,
        purposes=summarize_purposes(plan, records),
        results=dict(results),
        refusals=dict(refusals.most_common()),
        wrong=wrong[:10],
        retries=dict(sorted(retries.items())),
        retries_max=max(retries, default=0),
        recovery_s=measure_recovery(plan, records),
        late_ms_p99=summarize_latencies(send_delays)["p99"],
        latency_ms=summarize_latencies(latencies),
    )


def summarize_purposes(
    plan: Plan, records: Sequence[RequestRecord]
) -> list[PurposeSummary]:
    """Return the statistics by phase and purpose."""
    ranks = {kind.purpose: kind.rank for kind in plan.traffic}
    cells: dict[tuple[str, str], list[RequestRecord]] = {}
    completions: Counter[tuple[str, str]] = Counter()
    for record in records:
        purpose = plan.traffic[record.traffic_index].purpose
        phase = plan.phase_at(record.arrival).name
        cells.setdefault((phase, purpose), []).append(record)
        end_phase = plan.phase_at(record.attempts[-1].end).name
        completions[end_phase, purpose] += record.succeeded()
    summaries = []
    for phase in dict.fromkeys(phase.name for phase in plan.phase):
        seconds = sum(part.seconds for part in plan.phase if part.name == phase)
        for purpose in sorted(ranks, key=lambda name: ranks[name]):
            cell = cells.get((phase, purpose), [])
            succeeded = [record for record in cell if record.succeeded()]
            summaries.append(
                PurposeSummary(
                    purpose=purpose,
                    rank=ranks[purpose],
                    phase=phase,
                    offered=len(cell),
                    whole=len(succeeded),
                    whole_per_s=round(completions[phase, purpose] / seconds, 1),
                    share=len(succeeded) / max(1, len(cell)),
                    latency_ms=summarize_latencies(r.latency_s() for r in succeeded),
                )
            )
    return summaries


def added_latency(
    with_nodes: Sequence[RequestRecord], direct: Sequence[RequestRecord]
) -> LatencySummary:
    """Return the differences of the latency percentiles of two runs, milliseconds.

    Latency counts from the time an attempt was sent, which leaves out delays of the
    load generator.
    """
    measured = answer_latency(with_nodes)
    baseline = answer_latency(direct)
    return LatencySummary(
        p50=measured["p50"] - baseline["p50"],
        p99=measured["p99"] - baseline["p99"],
        p99_9=measured["p99_9"] - baseline["p99_9"],
        max=measured["max"] - baseline["max"],
    )


def answer_latency(records: Sequence[RequestRecord]) -> LatencySummary:
    """Return the latency of successful attempts, counted from their sending."""
    successful = [record.attempts[-1] for record in records if record.succeeded()]
    return summarize_latencies(attempt.end - attempt.start for attempt in successful)


def format_tables(summary: LoadSummary) -> str:
    """Return the statistics as text tables."""
    purposes = [
        [
            one["phase"],
            one["purpose"],
            one["offered"],
            one["whole"],
            f"{100 * one['share']:.1f}",
            one["whole_per_s"],
            *(f"{one['latency_ms'][name]:.1f}" for name in ("p50", "p99", "p99_9")),
        ]
        for one in summary["purposes"]
    ]
    headers = ["phase", "purpose", "offered", "succeeded", "%", "succeeded/s"]
    headers += ["p50 ms", "p99 ms", "p99.9 ms"]
    recovery = summary["recovery_s"]
    totals: list[list[object]] = [
        ["client requests", summary["requests"]],
        ["attempts", summary["attempts"]],
        ["not sent", summary["unsent"]],
        ["send delay, p99 ms", summary["late_ms_p99"]],
        ["retries per request, maximum", summary["retries_max"]],
        ["requests by number of retries", summary["retries"]],
        ["results of attempts", summary["results"]],
        ["recovery, s", "none" if recovery is None else recovery],
    ]
    totals += [
        [f"refusals {name}", count] for name, count in summary["refusals"].items()
    ]
    totals += [["wrong answer", detail] for detail in summary["wrong"]]
    return "\n\n".join([tabulate(purposes, headers), tabulate(totals)])
