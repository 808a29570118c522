"""Measure how the costs of one VM grow with the size of the deployment.

Each measurement gives at least four points; ``tools/capacity.py`` fits lines through them. All run the real classes
over loopback, with small fakes for the platform and the endpoints. Usage: ``python -m tools.slopes``.
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
RESULT = ROOT / "docs" / "slopes.json"
MODULES = (slopes_daemon, slopes_local, slopes_members, slopes_processes)


def _commit() -> str:
    def git(*arguments: str) -> str:
        return subprocess.run(["git", *arguments], cwd=ROOT, capture_output=True, text=True, check=True).stdout.strip()

    changed = git("status", "--porcelain", "--untracked-files=no", "src", "tools")
    return git("rev-parse", "--short=10", "HEAD") + (" with changes" if changed else "")


def _circumstances() -> dict[str, object]:
    return {
        "at": time.strftime("%Y-%m-%d %H:%M UTC", time.gmtime()),
        "commit": _commit(),
        "machine": platform.machine(),
        "cores": os.cpu_count(),
        "python": platform.python_version(),
    }


def measure(names: list[str]) -> dict[str, object]:
    """Run measurements and return their records by name."""
    found = {}
    for name in names:
        measurement = measurements.registry.get(name)
        before, start = os.getloadavg()[0], time.perf_counter()
        points = measurement.run()
        found[name] = {
            "x": measurement.x,
            "how": measurement.how,
            **_circumstances(),
            "load_average": [round(before, 2), round(os.getloadavg()[0], 2)],
            "seconds": round(time.perf_counter() - start, 1),
            "points": points,
        }
        print(f"{name}: {found[name]['seconds']} s, load average {found[name]['load_average']}")
        for point in points:
            print("   ", {key: round(value, 6) for key, value in point.items()})
    return found


def main(
    only: Annotated[list[str] | None, typer.Argument(help="Names of measurements; all if none is given.")] = None,
    store: Annotated[bool, typer.Option(help="Write docs/slopes.json.")] = True,
) -> None:
    """Measure and store the points; measurements that are not run keep their stored points."""
    logs.configure(level="CRITICAL")
    names = list(only or measurements.registry)
    found = measure(names)
    if store:
        known = json.loads(RESULT.read_text()) if RESULT.exists() else {}
        RESULT.write_text(json.dumps({**known, **found}, indent=1, sort_keys=True) + "\n")


if __name__ == "__main__":
    typer.run(main)
