"""Benchmark figures, the sheets that collect them, and the registry of experiments."""

import dataclasses
import json
import operator
import os
from collections.abc import Callable, Mapping
from typing import Any

from currantlead import registry
from tools import deployments

_COMPARISONS = {"<=": operator.le, ">=": operator.ge}


@dataclasses.dataclass(frozen=True, slots=True)
class Figure:
    """Measured value with its bound and a baseline from the same run.

    Attributes:
        measure: Name in the form ``EXPERIMENT.WHAT``.
        deployment: Name of the deployment.
        value: Measured value, or None if the run gave none.
        unit: Unit of value and baseline.
        bound: ``<= NUMBER`` or ``>= NUMBER``; empty for a figure without a bound.
        holds: Whether the value satisfies the bound, or None if there is no bound.
        baseline: Value of the baseline in the same run, or None.
        ratio: Value divided by the baseline, or None.
        load_average: One-minute load average of the machine when the figure was recorded.
    """

    measure: str
    deployment: str
    value: float | None
    unit: str
    bound: str
    holds: bool | None
    baseline: float | None
    ratio: float | None
    load_average: float

    def to_json(self) -> str:
        """Return the figure as one line of JSON."""
        return json.dumps(dataclasses.asdict(self))


def satisfies_bound(value: float | None, bound: str) -> bool | None:
    """Return whether a value satisfies a bound.

    Args:
        value: Value; None satisfies no bound.
        bound: ``<= NUMBER``, ``>= NUMBER`` or empty.

    Returns:
        Whether the value satisfies the bound, or None if the bound is empty.
    """
    if not bound:
        return None
    comparison, limit = bound.split()
    return value is not None and bool(_COMPARISONS[comparison](value, float(limit)))


@dataclasses.dataclass(frozen=True, slots=True)
class Options:
    """Options of an experiment.

    Attributes:
        deployment: Domains and sizes of the deployment.
        seconds: Duration of each load phase in seconds, or None for the experiment's default.
        runs: Repetitions of each failure, or None for the experiment's default.
        seed: Seed for arrivals, statements and faults.
    """

    deployment: deployments.Deployment
    seconds: float | None = None
    runs: int | None = None
    seed: int = 1


class ResultSheet:
    """Collects the figures and plot series of one experiment.

    Attributes:
        series: Points of each plot by name.
    """

    def __init__(self, experiment: str, deployment: str, on_figure: Callable[[Figure], None]):
        """Create an empty sheet.

        Args:
            experiment: Name of the experiment, used as prefix of the measures.
            deployment: Name of the deployment.
            on_figure: Called with each figure when it is added.
        """
        self._experiment = experiment
        self._deployment = deployment
        self._on_figure = on_figure
        self.series: dict[str, list[tuple[float, float]]] = {}

    def add(
        self, what: str, value: float | None, unit: str, *, bound: str = "", baseline: float | None = None
    ) -> Figure:
        """Add a figure.

        Args:
            what: Name of the measure without the experiment.
            value: Measured value, or None if the run gave none.
            unit: Unit of value and baseline.
            bound: ``<= NUMBER``, ``>= NUMBER`` or empty.
            baseline: Value of the baseline in the same run, or None.

        Returns:
            The figure, rounded to 5 significant digits.
        """
        ratio = value / baseline if baseline and value is not None else None
        figure = Figure(
            measure=f"{self._experiment}.{what}",
            deployment=self._deployment,
            value=_round_to_5_digits(value),
            unit=unit,
            bound=bound,
            holds=satisfies_bound(value, bound),
            baseline=_round_to_5_digits(baseline),
            ratio=_round_to_5_digits(ratio),
            load_average=round(os.getloadavg()[0], 2),
        )
        self._on_figure(figure)
        return figure

    def plot(self, what: str, points: Mapping[float, float] | list[tuple[float, float]]) -> None:
        """Store the points of a plot under its name, sorted by x."""
        self.series[what] = sorted(points.items() if isinstance(points, Mapping) else points)


def _round_to_5_digits(value: float | None) -> float | None:
    return None if value is None else float(f"{value:.5g}")


@dataclasses.dataclass(frozen=True, slots=True)
class Experiment:
    """Registered experiment.

    Attributes:
        title: Heading on the results page.
        method: Description of how the figures are measured.
        run: Function that runs the experiment and adds figures to the sheet.
    """

    title: str
    method: str
    run: Callable[[Options, ResultSheet], Any]


EXPERIMENTS: registry.Registry[Experiment] = registry.Registry("experiment")


def experiment(name: str, title: str, method: str) -> Callable[[Callable[[Options, ResultSheet], Any]], Any]:
    """Return a decorator that registers a function as an experiment.

    Args:
        name: Name on the command line.
        title: Heading on the results page.
        method: Description of how the figures are measured.

    Returns:
        A decorator that returns the function unchanged.
    """

    def add(run: Callable[[Options, ResultSheet], Any]) -> Callable[[Options, ResultSheet], Any]:
        EXPERIMENTS.register(name)(Experiment(title, method, run))
        return run

    return add
