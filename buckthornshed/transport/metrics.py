"""OpenTelemetry metrics of a node, scraped by Prometheus or exported by OTLP.

The data path increments plain integers; OpenTelemetry reads them through observable
instruments when metrics are collected. Only the histogram of added latency is recorded
by the data path directly.
"""

from collections import Counter
from collections.abc import Callable, Iterable, Iterator, Mapping
from typing import NamedTuple, TypeVar

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import CallbackOptions, Observation
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.metrics.export import MetricReader
from opentelemetry.sdk.resources import Resource
from prometheus_client import CollectorRegistry, generate_latest

from ..protocol.outcome import Outcome, Reason

__all__ = ["Gauges", "NodeMetrics"]

ADDED_LATENCY_BUCKETS_S = (
    0.00005,
    0.0001,
    0.0002,
    0.0003,
    0.00044,
    0.0006,
    0.001,
    0.002,
    0.005,
    0.01,
    0.05,
    0.25,
    1.0,
)
OTLP_INTERVAL_MS = 10_000
OTLP_TIMEOUT_S = 2.0
"""Timeout of an export, which bounds the delay of a node's stop without a collector."""

OTLP_PATH = "/v1/metrics"
NO_REASON = "none"
NO_PRIORITY = -1

Labels = dict[str, str | int]
K = TypeVar("K")


class Gauges(NamedTuple):
    """Current state of a node.

    Parameters
    ----------
    in_flight : int
        Number of calls that run at the local target.
    queue_length : int
        Number of calls in the queue.
    threshold : int
        Admission threshold, see ``coordination.entry.admission``.
    generation : int
        Generation of the configuration in force; 0 before the first one.
    drain_phase : str
        Value of the drain phase, see ``coordination.drain``.
    control_bytes : int
        Number of bytes of control messages sent to other nodes so far.
    """

    in_flight: int
    queue_length: int
    threshold: int
    generation: int
    drain_phase: str
    control_bytes: int


class NodeMetrics:
    """Counters and gauges of a node, rendered for operators.

    Parameters
    ----------
    name : str
        Name of the local target.
    gauges : callable
        Returns the current `Gauges`; called when metrics are collected.
    otlp : str, optional
        Base URL of an OTLP collector, ``http://ip:port``, to which a thread of the
        exporter sends the metrics every 10 s.
    """

    def __init__(
        self, *, name: str, gauges: Callable[[], Gauges], otlp: str | None = None
    ) -> None:
        self.gauges = gauges
        self.calls: Counter[tuple[Outcome, Reason | None, int]] = Counter()
        self.admitted: Counter[int] = Counter()
        self.refused: Counter[tuple[Reason, int]] = Counter()
        self.keys: Counter[str] = Counter()
        self.retries = 0
        self.registry = CollectorRegistry()
        readers: list[MetricReader] = [
            PrometheusMetricReader(scope_info_enabled=False, registry=self.registry)
        ]
        if otlp is not None:
            readers.append(_otlp_reader(otlp))
        self.provider = MeterProvider(
            metric_readers=readers,
            resource=Resource({"service.name": "buckthornshed", "node.name": name}),
            shutdown_on_exit=False,
        )
        self._register_counters()
        self._register_gauges()
        self._added_latency = self.provider.get_meter("buckthornshed").create_histogram(
            "buckthornshed.added_latency",
            unit="s",
            description="Time of one leg of a call in the node, one in 16 sampled",
            explicit_bucket_boundaries_advisory=ADDED_LATENCY_BUCKETS_S,
        )

    def count_call(
        self, outcome: Outcome, reason: Reason | None, priority: int = NO_PRIORITY
    ) -> None:
        """Count an answered call with the priority in its context."""
        self.calls[outcome, reason, priority] += 1

    def count_retry(self) -> None:
        """Count a retry, which is a send of a call after the first one."""
        self.retries += 1

    def count_admitted(self, priority: int) -> None:
        """Count an admitted call when it starts at the local target."""
        self.admitted[priority] += 1

    def count_refused(self, reason: Reason, priority: int) -> None:
        """Count a call that the node refused on behalf of its target."""
        self.refused[reason, priority] += 1

    def count_key(self, outcome: str) -> None:
        """Count a result of the key table for a call with an idempotency key."""
        self.keys[outcome] += 1

    def record_added_latency(self, seconds: float) -> None:
        """Record the duration of one processing step of a call in the node."""
        self._added_latency.record(seconds)

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self.registry)

    def close(self) -> None:
        """Export the remaining metrics by OTLP for at most 2 s and end its thread."""
        self.provider.shutdown()

    def _register_counters(self) -> None:
        meter = self.provider.get_meter("buckthornshed")
        counters: dict[str, tuple[str, Callable[[], Iterable[Observation]]]] = {
            "calls": ("Calls answered", self._observe_calls),
            "admitted": ("Calls admitted", self._observe_admitted),
            "refused": ("Calls refused", self._observe_refused),
            "keys": ("Answers of the key table", self._observe_keys),
            "retries": ("Sends after the first", self._observe_retries),
            "control_bytes": ("Bytes sent to nodes", self._observe_control_bytes),
        }
        for name, (description, observe) in counters.items():
            meter.create_observable_counter(
                f"buckthornshed.{name}",
                callbacks=[_make_callback(observe)],
                description=description,
            )

    def _register_gauges(self) -> None:
        meter = self.provider.get_meter("buckthornshed")
        gauges: dict[str, tuple[str, Callable[[Gauges], int]]] = {
            "in_flight": ("Calls at the target", lambda now: now.in_flight),
            "queue_length": ("Calls that wait", lambda now: now.queue_length),
            "threshold": ("Admission threshold", lambda now: now.threshold),
            "generation": ("Generation in force", lambda now: now.generation),
        }
        for name, (description, read) in gauges.items():
            meter.create_observable_gauge(
                f"buckthornshed.{name}",
                callbacks=[_make_callback(self._make_gauge_observer(read))],
                description=description,
            )
        meter.create_observable_gauge(
            "buckthornshed.drain_phase",
            callbacks=[_make_callback(self._observe_drain_phase)],
            description="1 for the phase that the instance is in",
        )

    def _make_gauge_observer(
        self, read: Callable[[Gauges], int]
    ) -> Callable[[], Iterable[Observation]]:
        return lambda: (Observation(read(self.gauges())),)

    def _observe_calls(self) -> Iterator[Observation]:
        for (outcome, reason, priority), count in _snapshot(self.calls):
            label = NO_REASON if reason is None else reason.value
            labels: Labels = {"outcome": outcome.value, "reason": label}
            yield Observation(count, labels | {"priority": priority})

    def _observe_admitted(self) -> Iterator[Observation]:
        for priority, count in _snapshot(self.admitted):
            yield Observation(count, {"priority": priority})

    def _observe_refused(self) -> Iterator[Observation]:
        for (reason, priority), count in _snapshot(self.refused):
            yield Observation(count, {"reason": reason.value, "priority": priority})

    def _observe_keys(self) -> Iterator[Observation]:
        for outcome, count in _snapshot(self.keys):
            yield Observation(count, {"outcome": outcome})

    def _observe_retries(self) -> Iterator[Observation]:
        yield Observation(self.retries)

    def _observe_control_bytes(self) -> Iterator[Observation]:
        yield Observation(self.gauges().control_bytes)

    def _observe_drain_phase(self) -> Iterator[Observation]:
        yield Observation(1, {"phase": self.gauges().drain_phase})


def _snapshot(counts: Mapping[K, int]) -> tuple[tuple[K, int], ...]:
    """Copy the items, because the exporter's thread reads during increments."""
    return tuple(counts.items())


def _make_callback(
    observe: Callable[[], Iterable[Observation]],
) -> Callable[[CallbackOptions], Iterable[Observation]]:
    return lambda _: observe()


def _otlp_reader(base_url: str) -> MetricReader:
    # Imported on use, because the exporter loads an HTTP library that few nodes need.
    from opentelemetry.exporter.otlp.proto.http.metric_exporter import (
        OTLPMetricExporter,
    )
    from opentelemetry.sdk.metrics.export import PeriodicExportingMetricReader

    exporter = OTLPMetricExporter(
        endpoint=base_url.rstrip("/") + OTLP_PATH, timeout=OTLP_TIMEOUT_S
    )
    return PeriodicExportingMetricReader(
        exporter, export_interval_millis=OTLP_INTERVAL_MS
    )
