"""Run the experiments on both deployments and write the page of measures.

Usage: ``python -m tools.bench`` for all experiments, ``currantlead-bench --experiment NAME`` for one. Each figure is
one JSON line on standard output. The page is written only if ``--page`` is given or all experiments ran.
"""

import pathlib
import sys
import time
from typing import Annotated

import typer

from tools import deployments, plots, report
from tools.experiments import figures

PAGE = pathlib.Path(__file__).resolve().parent.parent / "docs" / "measures.md"


def run_one(name: str, options: figures.Options, taken: list[figures.Figure]) -> figures.Sheet:
    """Run an experiment and print its figures.

    Args:
        name: Name of the experiment.
        options: What it is asked to do.
        taken: Gets the figures, also those taken before a fault.

    Returns:
        The sheet with the series for plots.
    """

    def keep(figure: figures.Figure) -> None:
        taken.append(figure)
        print(figure.line(), flush=True)

    sheet = figures.Sheet(name, options.deployment.name, keep)
    started = time.monotonic()
    print(f"{name} on {options.deployment.name}", file=sys.stderr, flush=True)
    figures.EXPERIMENTS.get(name).run(options, sheet)
    print(f"{name} on {options.deployment.name}: {time.monotonic() - started:.0f} s", file=sys.stderr, flush=True)
    return sheet


def main(
    experiment: Annotated[list[str], typer.Option(help="Name of an experiment; all by default.")] = [],  # noqa: B006
    deployment: Annotated[list[str], typer.Option(help="Name of a deployment; all by default.")] = [],  # noqa: B006
    seconds: Annotated[float | None, typer.Option(help="Length of each phase of load.", min=1, max=600)] = None,
    runs: Annotated[int | None, typer.Option(help="Repetitions of each failure.", min=1, max=50)] = None,
    seed: Annotated[int, typer.Option(help="Seed of arrivals, statements and faults.")] = 1,
    page: Annotated[pathlib.Path | None, typer.Option(help="Page that gets the results.")] = None,
) -> None:
    """Run experiments; exit 1 if a bound is missed or an experiment fails."""
    names = experiment or sorted(figures.EXPERIMENTS)
    places = deployment or sorted(deployments.DEPLOYMENTS, reverse=True)
    machine = report.describe_machine()
    target = page or (None if experiment else PAGE)
    taken: list[figures.Figure] = []
    faults: list[str] = []
    for place in places:
        for name in names:
            options = figures.Options(deployments.DEPLOYMENTS[place], seconds=seconds, runs=runs, seed=seed)
            try:
                sheet = run_one(name, options, taken)
            except Exception as error:  # A failed experiment must not lose the figures of the others.
                faults.append(f"{name} on {place}: {type(error).__name__}: {error}")
                print(faults[-1], file=sys.stderr, flush=True)
                continue
            if sheet.series and target:
                plots.draw(f"{name}-{place}", sheet.series, PAGE.parent / "plots")
            if target:
                # Written after each experiment, so that an interrupted run keeps its figures.
                report.write(target, machine, taken, faults, sys.argv[1:])
    if target:
        report.write(target, machine, taken, faults, sys.argv[1:])
    if faults or any(figure.holds is False for figure in taken):
        raise typer.Exit(1)


def entry() -> None:
    """Run the command line."""
    typer.run(main)


if __name__ == "__main__":
    entry()
