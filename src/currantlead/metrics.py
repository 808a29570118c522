"""Prometheus counters and latency quantiles of one VM."""

import functools

import prometheus_client
from hdrh import histogram
from prometheus_client import core, registry

REQUESTS = prometheus_client.Counter(
    "currantlead_outcomes", "Callers' requests by verdict and reason.", ["verdict", "reason"]
)
READS = prometheus_client.Counter("currantlead_reads", "Completed reads by role of the instance.", ["role"])

# Cached, because looking up a label combination costs more than incrementing its counter; there are only a few
# combinations.
count_request = functools.cache(REQUESTS.labels)
count_read = functools.cache(READS.labels)

_MIN_LATENCY_US, _MAX_LATENCY_US, _SIGNIFICANT_DIGITS = 1, 60_000_000, 2
_QUANTILES = (50.0, 90.0, 99.0, 99.9)


class LatencyHistogram:
    """Record latencies in an HdrHistogram with microsecond resolution."""

    def __init__(self) -> None:
        self._histogram = histogram.HdrHistogram(_MIN_LATENCY_US, _MAX_LATENCY_US, _SIGNIFICANT_DIGITS)

    def record(self, seconds: float) -> None:
        """Record a latency in seconds."""
        self._histogram.record_value(min(max(int(seconds * 1e6), _MIN_LATENCY_US), _MAX_LATENCY_US))

    def quantile(self, percent: float) -> float:
        """Return a latency quantile in seconds.

        Args:
            percent: Percentile to return, from 0 to 100.

        Returns:
            The latency in seconds; 0 if nothing was recorded.
        """
        return self._histogram.get_value_at_percentile(percent) / 1e6 if self.count else 0.0

    @property
    def count(self) -> int:
        """Return the number of recorded latencies."""
        return self._histogram.get_total_count()


LATENCY = LatencyHistogram()


class _LatencyCollector(registry.Collector):
    """Expose the latency quantiles as gauges."""

    def collect(self):
        """Yield a gauge with one sample per quantile."""
        gauge = core.GaugeMetricFamily(
            "currantlead_latency_seconds", "Latency quantiles of callers' requests.", labels=["quantile"]
        )
        for percent in _QUANTILES:
            gauge.add_metric([f"{percent / 100:g}"], LATENCY.quantile(percent))
        yield gauge


prometheus_client.REGISTRY.register(_LatencyCollector())
