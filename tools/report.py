"""Render and write the benchmark results page."""

import os
import pathlib
import platform
import subprocess
import time
from collections.abc import Sequence

from tools.experiments import figures

ROOT = pathlib.Path(__file__).resolve().parent.parent


def describe_machine() -> dict[str, str]:
    """Return the properties of the machine and of the source tree that affect the figures."""
    memory = os.sysconf("SC_PAGE_SIZE") * os.sysconf("SC_PHYS_PAGES") / 2**30
    return {
        "Date": time.strftime("%Y-%m-%d %H:%M UTC", time.gmtime()),
        "Commit": _git("rev-parse", "--short", "HEAD") + (" with changes" if _git("status", "--porcelain") else ""),
        "Cores": str(len(os.sched_getaffinity(0))),
        "Memory": f"{memory:.0f} GiB",
        "Python": platform.python_version(),
        "Load average at the start": " ".join(f"{value:.2f}" for value in os.getloadavg()),
    }


def _git(*arguments: str) -> str:
    completed = subprocess.run(["git", *arguments], cwd=ROOT, capture_output=True, text=True)
    return completed.stdout.strip() if completed.returncode == 0 else "unknown"


def write(
    path: pathlib.Path,
    machine: dict[str, str],
    measured: Sequence[figures.Figure],
    failures: Sequence[str],
    flags: Sequence[str] = (),
) -> None:
    """Write the results page.

    Args:
        path: File to write.
        machine: Properties of the machine and of the source tree, by name.
        measured: Measured figures.
        failures: Descriptions of the failed experiments.
        flags: Command-line flags of the run.
    """
    path.write_text(render(machine, measured, failures, flags))


def render(
    machine: dict[str, str], measured: Sequence[figures.Figure], failures: Sequence[str], flags: Sequence[str] = ()
) -> str:
    """Return the results page as Markdown; see ``write`` for the arguments."""
    lines = ["# Benchmark results", "", "Written by `python -m tools.bench`; do not edit.", ""]
    lines += [f"- {name}: {value}" for name, value in machine.items()]
    lines += [f"- Flags: {' '.join(flags) or 'none'}", ""]
    if failures:
        lines += ["Failed experiments:", "", *(f"- {failure}" for failure in failures), ""]
    for name in figures.EXPERIMENTS:
        rows = [figure for figure in measured if figure.measure.partition(".")[0] == name]
        if rows:
            experiment = figures.EXPERIMENTS.get(name)
            lines += [f"## {experiment.title}", "", experiment.method, ""]
            lines += [*_table(rows), ""]
            lines += _plot_links(name, ROOT / "docs" / "plots")
    return "\n".join(lines).rstrip() + "\n"


def _table(rows: Sequence[figures.Figure]) -> list[str]:
    lines = [
        "| measure | deployment | value | unit | bound | holds | baseline | ratio | load average |",
        "| --- | --- | --- | --- | --- | --- | --- | --- | --- |",
    ]
    for row in rows:
        holds = {True: "yes", False: "**no**", None: ""}[row.holds]
        cells = [row.measure, row.deployment, _format_number(row.value), row.unit, row.bound, holds]
        cells += [_format_number(row.baseline), _format_number(row.ratio), f"{row.load_average:.2f}"]
        lines.append("| " + " | ".join(cells) + " |")
    return lines


def _plot_links(name: str, directory: pathlib.Path) -> list[str]:
    paths = sorted(directory.glob(f"{name}-*.png"))
    return [f"![{path.stem}](plots/{path.name})" for path in paths] + ([""] if paths else [])


def _format_number(value: float | None) -> str:
    return "" if value is None else f"{value:.4g}"
