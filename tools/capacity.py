"""Compute the tables of docs/CAPACITY.md from the measured points in docs/slopes.json.

Usage: ``python -m tools.capacity``. The text around the tables is written by hand and stays as it is.
"""

import json
import pathlib
from collections.abc import Mapping
from typing import Any

from tools import capacity_events, capacity_roles, fit

_DOCS = pathlib.Path(__file__).resolve().parent.parent / "docs"
SLOPES = _DOCS / "slopes.json"
PAGE = _DOCS / "CAPACITY.md"

Stored = Mapping[str, Any]


def lines_table(stored: Stored) -> str:
    """Return the fitted lines of all measured values."""
    rows = []
    for name, measurement in sorted(stored.items()):
        values = [value for value in measurement["points"][0] if value not in ("x", "members")]
        for value in values:
            line = fit.fit_value(measurement, value)
            first = name if value == values[0] else ""
            figures = [f"{each:.3g}" for each in (line.slope, line.intercept)]
            rows.append([first, measurement["x"], value, *figures, f"{line.r_squared:.2f}", f"{line.max_x:.0f}"])
    return fit.markdown_table(["measurement", "x", "value", "slope", "at 0", "R2", "largest x"], rows)


def runs_table(stored: Stored) -> str:
    """Return where and when each measurement ran."""
    rows = []
    for name, run in sorted(stored.items()):
        load = " to ".join(f"{each:.1f}" for each in run["load_average"])
        machine = f"{run['machine']}, {run['cores']} cores, Python {run['python']}"
        rows.append([name, run["how"], run["at"], run["commit"], machine, load])
    return fit.markdown_table(["measurement", "what runs", "at", "commit", "machine", "load average"], rows)


BLOCKS = {
    "roles": capacity_roles.roles_table,
    "budget": capacity_roles.budget_table,
    "store": capacity_events.store_table,
    "events": capacity_events.events_table,
    "limits": capacity_events.limits_table,
    "lines": lines_table,
    "runs": runs_table,
}


def rewrite(page: str, stored: Stored) -> str:
    """Return the page with all tables computed from stored points."""
    for name, build in BLOCKS.items():
        page = fit.replace_block(page, name, build(stored))
    return page


def main() -> None:
    """Rewrite the tables of the page."""
    PAGE.write_text(rewrite(PAGE.read_text(), json.loads(SLOPES.read_text())))


if __name__ == "__main__":
    main()
