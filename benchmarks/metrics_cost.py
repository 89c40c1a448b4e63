"""CPU cost of the metrics of a node, per call and per scrape.

Run with ``python benchmarks/metrics_cost.py``.
"""

import resource
import time
from collections.abc import Callable

from buckthornshed.protocol.outcome import Outcome, Reason
from buckthornshed.transport.metrics import Gauges, NodeMetrics

NUM_CALLS = 200_000
NUM_SCRAPES = 200
GAUGES = Gauges(1, 0, 0, 1, "serving", 0)


def measure_cpu_us(function: Callable[[], object], count: int) -> float:
    started_at = time.process_time()
    for _ in range(count):
        function()
    return (time.process_time() - started_at) / count * 1e6


def main() -> None:
    metrics = NodeMetrics(name="bench", gauges=lambda: GAUGES)
    for reason in Reason:
        for priority in range(4):
            metrics.count_call(Outcome.NOT_RUN, reason, priority)
            metrics.count_refused(reason, priority)
    results = {
        "count_call_us": measure_cpu_us(
            lambda: metrics.count_call(Outcome.COMPLETE, None, 0), NUM_CALLS
        ),
        "count_admitted_us": measure_cpu_us(
            lambda: metrics.count_admitted(0), NUM_CALLS
        ),
        "added_latency_us": measure_cpu_us(
            lambda: metrics.record_added_latency(0.0002), NUM_CALLS
        ),
        "scrape_us": measure_cpu_us(metrics.render, NUM_SCRAPES),
    }
    for name, value in results.items():
        print(f"{name} {value:.2f}")
    print(f"scrape_bytes {len(metrics.render())}")
    print(f"peak_rss_kb {resource.getrusage(resource.RUSAGE_SELF).ru_maxrss}")


if __name__ == "__main__":
    main()
