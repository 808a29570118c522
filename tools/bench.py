"""Run the benchmark experiments on the example deployments and write the results page.

Usage: ``python -m tools.bench`` for all experiments, ``currantlead-bench --experiment NAME`` for one. Each figure is
printed as one JSON line on standard output. The page is written only if ``--page`` is given or no experiment was
selected.
"""

import pathlib
import sys
import time
from typing import Annotated

import typer

from tools import deployments, plots, report
from tools.experiments import figures

PAGE = pathlib.Path(__file__).resolve().parent.parent / "docs" / "measures.md"


def run_one(name: str, options: figures.Options, measured: list[figures.Figure]) -> figures.ResultSheet:
    """Run an experiment and print its figures.

    Args:
        name: Name of the experiment.
        options: Deployment and parameters of the experiment.
        measured: List to which the figures are appended, including those measured before a failure.

    Returns:
        The sheet with the data series for plots.
    """

    def on_figure(figure: figures.Figure) -> None:
        measured.append(figure)
        print(figure.to_json(), flush=True)

    sheet = figures.ResultSheet(name, options.deployment.name, on_figure)
    started = time.monotonic()
    print(f"{name} on {options.deployment.name}: started", file=sys.stderr, flush=True)
    figures.EXPERIMENTS.get(name).run(options, sheet)
    print(
        f"{name} on {options.deployment.name}: finished in {time.monotonic() - started:.0f} s",
        file=sys.stderr,
        flush=True,
    )
    return sheet


def main(
    experiment: Annotated[list[str], typer.Option(help="Name of an experiment; all by default.")] = [],  # noqa: B006
    deployment: Annotated[list[str], typer.Option(help="Name of a deployment; all by default.")] = [],  # noqa: B006
    seconds: Annotated[
        float | None, typer.Option(help="Duration of each load phase in seconds.", min=1, max=600)
    ] = None,
    runs: Annotated[int | None, typer.Option(help="Number of repetitions of each failure.", min=1, max=50)] = None,
    seed: Annotated[int, typer.Option(help="Seed of arrivals, statements and failures.")] = 1,
    page: Annotated[pathlib.Path | None, typer.Option(help="File for the results page.")] = None,
) -> None:
    """Run experiments; exit with status 1 if a value is out of bounds or an experiment fails."""
    names = experiment or sorted(figures.EXPERIMENTS)
    deployment_names = deployment or sorted(deployments.DEPLOYMENTS, reverse=True)
    machine = report.describe_machine()
    target = page or (None if experiment else PAGE)
    measured: list[figures.Figure] = []
    failures: list[str] = []
    for deployment_name in deployment_names:
        for name in names:
            options = figures.Options(deployments.DEPLOYMENTS[deployment_name], seconds=seconds, runs=runs, seed=seed)
            try:
                sheet = run_one(name, options, measured)
            except Exception as error:  # A failed experiment must not discard the figures of the others.
                failures.append(f"{name} on {deployment_name}: {type(error).__name__}: {error}")
                print(failures[-1], file=sys.stderr, flush=True)
                continue
            if sheet.series and target:
                plots.draw(f"{name}-{deployment_name}", sheet.series, PAGE.parent / "plots")
            if target:
                # The page is written after each experiment, so that an interrupted run keeps its figures.
                report.write(target, machine, measured, failures, sys.argv[1:])
    if target:
        report.write(target, machine, measured, failures, sys.argv[1:])
    if failures or any(figure.holds is False for figure in measured):
        raise typer.Exit(1)


def entry() -> None:
    """Run the command-line interface."""
    typer.run(main)


if __name__ == "__main__":
    entry()
