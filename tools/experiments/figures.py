"""Figures of the bench: one JSON line each, with a bound and a baseline of the same run."""

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
    """Hold one measured figure.

    Attributes:
        measure: Name, ``EXPERIMENT.WHAT``.
        deployment: Name of the deployment.
        value: Measured value, or None if the run did not show it.
        unit: Unit of value and baseline.
        bound: ``<= NUMBER`` or ``>= NUMBER``; empty for a figure without a bound.
        holds: Whether the value is inside the bound; None without a bound.
        baseline: Value of the baseline in the same run, or None.
        ratio: Value divided by baseline, or None.
        load_average: Load average of the machine over one minute when the figure was taken.
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

    def line(self) -> str:
        """Return the figure as a JSON line."""
        return json.dumps(dataclasses.asdict(self))


def is_inside(value: float | None, bound: str) -> bool | None:
    """Compare a value with a bound.

    Args:
        value: Value; None is never inside a bound.
        bound: ``<= NUMBER``, ``>= NUMBER`` or empty.

    Returns:
        Whether it holds, or None without a bound.
    """
    if not bound:
        return None
    sign, number = bound.split()
    return value is not None and bool(_COMPARISONS[sign](value, float(number)))


@dataclasses.dataclass(frozen=True, slots=True)
class Options:
    """Hold what an experiment is asked to do.

    Attributes:
        deployment: Places and sizes.
        seconds: Length of each phase of load, or None for the experiment's own.
        runs: Repetitions of each failure, or None for the experiment's own.
        seed: Seed of arrivals, statements and faults.
    """

    deployment: deployments.Deployment
    seconds: float | None = None
    runs: int | None = None
    seed: int = 1


class Sheet:
    """Collect the figures of one experiment."""

    def __init__(self, experiment: str, deployment: str, on_figure: Callable[[Figure], None]):
        """Create an empty sheet.

        Args:
            experiment: First part of the measures' names.
            deployment: Name of the deployment.
            on_figure: Called with each figure.
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
            what: Second part of the measure's name.
            value: Measured value.
            unit: Unit.
            bound: ``<= NUMBER``, ``>= NUMBER`` or empty.
            baseline: Value of the baseline in the same run.

        Returns:
            The figure.
        """
        ratio = value / baseline if baseline and value is not None else None
        figure = Figure(
            measure=f"{self._experiment}.{what}",
            deployment=self._deployment,
            value=_rounded(value),
            unit=unit,
            bound=bound,
            holds=is_inside(value, bound),
            baseline=_rounded(baseline),
            ratio=_rounded(ratio),
            load_average=round(os.getloadavg()[0], 2),
        )
        self._on_figure(figure)
        return figure

    def plot(self, what: str, points: Mapping[float, float] | list[tuple[float, float]]) -> None:
        """Keep points for a plot, by their name."""
        self.series[what] = sorted(points.items() if isinstance(points, Mapping) else points)


def _rounded(value: float | None) -> float | None:
    return None if value is None else float(f"{value:.5g}")


@dataclasses.dataclass(frozen=True, slots=True)
class Experiment:
    """Describe a registered experiment.

    Attributes:
        title: Heading on the page of measures.
        method: How the figures are taken.
        run: Runs it and adds figures to the sheet.
    """

    title: str
    method: str
    run: Callable[[Options, Sheet], Any]


EXPERIMENTS: registry.Registry[Experiment] = registry.Registry("experiment")


def experiment(name: str, title: str, method: str) -> Callable[[Callable[[Options, Sheet], Any]], Any]:
    """Return a decorator that registers a function as an experiment.

    Args:
        name: Name on the command line.
        title: Heading on the page of measures.
        method: How the figures are taken.

    Returns:
        A decorator that returns the function unchanged.
    """

    def add(run: Callable[[Options, Sheet], Any]) -> Callable[[Options, Sheet], Any]:
        EXPERIMENTS.register(name)(Experiment(title, method, run))
        return run

    return add
