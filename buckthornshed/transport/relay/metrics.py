"""Metrics of a relay from OpenTelemetry, in the text format of Prometheus.

The request path increments plain integers, which are read when metrics are collected.
OpenTelemetry has no observable histogram, and recording a value in its synchronous one
takes 19 us, so the latency histograms are passed to Prometheus directly. This module is
loaded at the first request for metrics, because its libraries take 8 MB of memory.
"""

from collections import Counter
from collections.abc import Callable, Iterable
from itertools import accumulate
from resource import RUSAGE_SELF, getrusage

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import CallbackOptions, Observation
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.resources import Resource
from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import HistogramMetricFamily, Metric
from prometheus_client.registry import Collector

from .counts import LATENCY_BUCKETS_S, RelayCounts, RelayGauges

__all__ = ["RelayMetrics"]

KIBIBYTE = 1_024


class RelayMetrics:
    """Renders the counters and gauges of a relay.

    Parameters
    ----------
    name : str
        Name of the instance.
    counts : RelayCounts
        Counters of the relay.
    gauges : callable
        Returns the current `RelayGauges`.
    """

    def __init__(
        self, *, name: str, counts: RelayCounts, gauges: Callable[[], RelayGauges]
    ) -> None:
        self.counts = counts
        self.gauges = gauges
        self.registry = CollectorRegistry()
        provider = MeterProvider(
            metric_readers=[
                PrometheusMetricReader(scope_info_enabled=False, registry=self.registry)
            ],
            resource=Resource({"service.name": "buckthornshed", "instance": name}),
            shutdown_on_exit=False,
        )
        self.meter = provider.get_meter("buckthornshed")
        self._observe_counts()
        self._observe_gauges()
        self.registry.register(LatencyCollector(counts=counts))

    def render(self) -> bytes:
        """Return all metrics in the text format."""
        return generate_latest(self.registry)

    def _observe_counts(self) -> None:
        self._add_counter(
            "requests", self.counts.requests, ("route", "outcome"), "Requests answered"
        )
        self._add_counter(
            "calls", self.counts.calls, ("outcome",), "Calls at the target"
        )
        self._add_counter(
            "peer_messages",
            self.counts.peer_messages,
            ("direction", "kind"),
            "Messages from and to other relays",
        )
        self._add_counter(
            "peer_bytes",
            self.counts.peer_bytes,
            ("direction",),
            "Compressed bytes from and to other relays",
        )
        self._add_counter(
            "unusable_entries",
            self.counts.unusable_entries,
            ("kind",),
            "Entries of the store that could not be used",
        )
        self.meter.create_observable_counter(
            "buckthornshed.sends_again",
            callbacks=[lambda _: [Observation(self.counts.retries)]],
            description="Sends after the first one of a request",
        )
        self.meter.create_observable_counter(
            "buckthornshed.unnamed_calls",
            callbacks=[lambda _: [Observation(self.counts.unnamed_calls)]],
            description="Calls without a key that name no run as their parent",
        )
        self.meter.create_observable_counter(
            "buckthornshed.target_crashes",
            callbacks=[lambda _: [Observation(self.counts.target_crashes)]],
            description="Ends of the local target while it ran calls",
        )
        self.meter.create_observable_counter(
            "buckthornshed.store_calls",
            callbacks=[lambda _: [Observation(self.counts.store_calls())]],
            description="Calls to the platform's store",
        )

    def _add_counter(
        self,
        name: str,
        counter: Counter[tuple[str, ...]],
        labels: tuple[str, ...],
        description: str,
    ) -> None:
        def observe(_: CallbackOptions) -> Iterable[Observation]:
            for key, count in counter.items():
                yield Observation(count, dict(zip(labels, key, strict=True)))

        self.meter.create_observable_counter(
            f"buckthornshed.{name}", callbacks=[observe], description=description
        )

    def _observe_gauges(self) -> None:
        for field in RelayGauges._fields:
            self._add_gauge(field)
        self.meter.create_observable_gauge(
            "buckthornshed.memory_peak",
            unit="By",
            callbacks=[
                lambda _: [Observation(getrusage(RUSAGE_SELF).ru_maxrss * KIBIBYTE)]
            ],
            description="Greatest resident memory so far",
        )

    def _add_gauge(self, field: str) -> None:
        self.meter.create_observable_gauge(
            f"buckthornshed.{field}",
            callbacks=[lambda _: [Observation(getattr(self.gauges(), field))]],
            description=f"See {RelayGauges.__name__}.{field}",
        )


class LatencyCollector(Collector):
    """Prometheus collector of the latency histograms.

    Parameters
    ----------
    counts : RelayCounts
        Counters of the relay.
    """

    def __init__(self, *, counts: RelayCounts) -> None:
        self.counts = counts

    def collect(self) -> Iterable[Metric]:
        """Return one metric family with a histogram for each route."""
        family = HistogramMetricFamily(
            "buckthornshed_request_seconds",
            "Time of a request in the relay, from its last byte to its answer",
            labels=["route"],
        )
        bounds = [*map(str, LATENCY_BUCKETS_S), "+Inf"]
        for route, histogram in self.counts.latencies.items():
            cumulative = accumulate(histogram.buckets)
            family.add_metric(
                [route], list(zip(bounds, cumulative, strict=True)), histogram.total
            )
        yield family
