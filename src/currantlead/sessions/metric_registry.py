"""Counters, gauges and latency summaries of one VM in the Prometheus text exposition format.

This module writes the text format itself, because the Prometheus client library would add 4 MB to each process of
17 MB on deployments that bill for memory.
"""

import collections
from collections.abc import Callable, Mapping

from hdrh import histogram

MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS = 100, 60_000_000, 2
QUANTILES = (50.0, 90.0, 99.0, 99.9)

Labels = tuple[tuple[str, str], ...]


class MetricRegistry:
    """Collect counters, latencies and gauges."""

    def __init__(self) -> None:
        self._counters: collections.Counter[tuple[str, Labels]] = collections.Counter()
        self._latencies: dict[tuple[str, Labels], histogram.HdrHistogram] = {}
        self._gauges: list[tuple[str, Callable[[], Mapping[Labels, float]]]] = []

    def count(self, name: str, **labels: str) -> None:
        """Increment a counter."""
        self._counters[name, tuple(labels.items())] += 1

    def record(self, name: str, seconds: float, **labels: str) -> None:
        """Record a duration in seconds."""
        key = name, tuple(labels.items())
        latencies = self._latencies.get(key)
        if latencies is None:
            latencies = self._latencies[key] = histogram.HdrHistogram(
                MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS
            )
        latencies.record_value(min(max(int(seconds * 1e6), MIN_LATENCY_US), MAX_LATENCY_US))

    def register_gauge(self, name: str, read: Callable[[], Mapping[Labels, float]]) -> None:
        """Register a gauge whose values are read at each call of ``render``."""
        self._gauges.append((name, read))

    def render(self) -> str:
        """Return all metrics as text."""
        lines = []
        for name in sorted({name for name, _ in self._counters}):
            lines.append(f"# TYPE currantlead_{name}_total counter")
            values = [(labels, value) for (other, labels), value in self._counters.items() if other == name]
            lines += [f"currantlead_{name}_total{_format_labels(labels)} {value}" for labels, value in sorted(values)]
        for name, read in self._gauges:
            lines.append(f"# TYPE currantlead_{name} gauge")
            lines += [
                f"currantlead_{name}{_format_labels(labels)} {_format_value(value)}"
                for labels, value in sorted(read().items())
            ]
        for name in sorted({name for name, _ in self._latencies}):
            lines.append(f"# TYPE currantlead_{name}_seconds summary")
            for (other, labels), latencies in sorted(self._latencies.items()):
                if other == name:
                    lines += _format_summary(name, labels, latencies)
        return "\n".join(lines) + "\n"


def _format_summary(name: str, labels: Labels, latencies: histogram.HdrHistogram) -> list[str]:
    lines = []
    for percent in QUANTILES:
        value = latencies.get_value_at_percentile(percent) / 1e6
        lines.append(
            f"currantlead_{name}_seconds{_format_labels((*labels, ('quantile', f'{percent / 100:g}')))} {value:g}"
        )
    lines.append(f"currantlead_{name}_seconds_count{_format_labels(labels)} {latencies.get_total_count()}")
    return lines


def _format_value(value: float) -> str:
    """Return whole numbers with all digits, such as those of windows of usage, and other values with six."""
    return str(int(value)) if float(value).is_integer() else f"{value:g}"


def _format_labels(labels: Labels) -> str:
    if not labels:
        return ""
    escaped = ((name, value.replace("\\", "\\\\").replace('"', '\\"').replace("\n", " ")) for name, value in labels)
    return "{" + ",".join(f'{name}="{value}"' for name, value in escaped) + "}"
