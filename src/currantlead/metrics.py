"""Counters and latencies of one VM, in the form that operators' tools read."""

import functools

import prometheus_client
from hdrh import histogram
from prometheus_client import core, registry

REQUESTS = prometheus_client.Counter(
    "currantlead_outcomes", "Callers' requests by verdict and reason.", ["verdict", "reason"]
)
READS = prometheus_client.Counter("currantlead_reads", "Completed reads by role of the instance.", ["role"])

# Looking up labels costs more than counting; all combinations together are few.
count_request = functools.cache(REQUESTS.labels)
count_read = functools.cache(READS.labels)

_LOWEST_US, _HIGHEST_US, _DIGITS = 1, 60_000_000, 2
_QUANTILES = (50.0, 90.0, 99.0, 99.9)


class LatencyHistogram:
    """Record latencies in microseconds in an HdrHistogram."""

    def __init__(self) -> None:
        self._histogram = histogram.HdrHistogram(_LOWEST_US, _HIGHEST_US, _DIGITS)

    def record(self, seconds: float) -> None:
        """Record one latency in seconds."""
        self._histogram.record_value(min(max(int(seconds * 1e6), _LOWEST_US), _HIGHEST_US))

    def quantile(self, percent: float) -> float:
        """Return a latency quantile in seconds.

        Args:
            percent: The quantile, from 0 to 100.

        Returns:
            Seconds; 0 if nothing was recorded.
        """
        return self._histogram.get_value_at_percentile(percent) / 1e6 if self.count else 0.0

    @property
    def count(self) -> int:
        """Return the number of recorded latencies."""
        return self._histogram.get_total_count()


LATENCY = LatencyHistogram()


class _LatencyCollector(registry.Collector):
    """Expose the quantiles of the histogram as gauges."""

    def collect(self):
        """Yield one gauge with a sample for each quantile."""
        gauge = core.GaugeMetricFamily(
            "currantlead_latency_seconds", "Latency quantiles of callers' requests.", labels=["quantile"]
        )
        for percent in _QUANTILES:
            gauge.add_metric([f"{percent / 100:g}"], LATENCY.quantile(percent))
        yield gauge


prometheus_client.REGISTRY.register(_LatencyCollector())
