"""Measure how the cost of one VM grows with the size of the deployment.

Each measurement returns at least four points, to which ``tools/capacity.py`` fits lines. The measurements run the
production classes over loopback, with fakes for the platform and the endpoints. Usage: ``python -m tools.slopes``.
"""

import json
import os
import pathlib
import platform
import subprocess
import time
from typing import Annotated

import typer

from currantlead import logs
from tools import measurements, slopes_daemon, slopes_local, slopes_members, slopes_processes

ROOT = pathlib.Path(__file__).resolve().parent.parent
RESULTS_FILE = ROOT / "docs" / "slopes.json"
MEASUREMENT_MODULES = (slopes_daemon, slopes_local, slopes_members, slopes_processes)


def _commit_id() -> str:
    def git(*arguments: str) -> str:
        return subprocess.run(["git", *arguments], cwd=ROOT, capture_output=True, text=True, check=True).stdout.strip()

    has_changes = git("status", "--porcelain", "--untracked-files=no", "src", "tools")
    return git("rev-parse", "--short=10", "HEAD") + (" with changes" if has_changes else "")


def _describe_run() -> dict[str, object]:
    return {
        "at": time.strftime("%Y-%m-%d %H:%M UTC", time.gmtime()),
        "commit": _commit_id(),
        "machine": platform.machine(),
        "cores": os.cpu_count(),
        "python": platform.python_version(),
    }


def measure(names: list[str]) -> dict[str, object]:
    """Run measurements, print their points and return their records by name."""
    records = {}
    for name in names:
        measurement = measurements.registry.get(name)
        load_before, start = os.getloadavg()[0], time.perf_counter()
        points = measurement.run()
        records[name] = {
            "x": measurement.x,
            "how": measurement.how,
            **_describe_run(),
            "load_average": [round(load_before, 2), round(os.getloadavg()[0], 2)],
            "seconds": round(time.perf_counter() - start, 1),
            "points": points,
        }
        print(f"{name}: {records[name]['seconds']} s, load average {records[name]['load_average']}")
        for point in points:
            print("   ", {key: round(value, 6) for key, value in point.items()})
    return records


def main(
    only: Annotated[list[str] | None, typer.Argument(help="Names of measurements; all by default.")] = None,
    store: Annotated[bool, typer.Option(help="Write docs/slopes.json.")] = True,
) -> None:
    """Run measurements and store their points; the stored points of other measurements are kept."""
    logs.configure(level="CRITICAL")
    names = list(only or measurements.registry)
    records = measure(names)
    if store:
        stored = json.loads(RESULTS_FILE.read_text()) if RESULTS_FILE.exists() else {}
        RESULTS_FILE.write_text(json.dumps({**stored, **records}, indent=1, sort_keys=True) + "\n")


if __name__ == "__main__":
    typer.run(main)
