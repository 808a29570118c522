"""Update the tables of docs/CAPACITY.md from the measured points in docs/slopes.json.

Usage: ``python -m tools.capacity``. The manually written text around the tables is kept.
"""

import json
import pathlib
from collections.abc import Mapping
from typing import Any

from tools import capacity_events, capacity_roles, fit

_DOCS = pathlib.Path(__file__).resolve().parent.parent / "docs"
SLOPES_FILE = _DOCS / "slopes.json"
PAGE_FILE = _DOCS / "CAPACITY.md"

StoredMeasurements = Mapping[str, Any]


def fitted_lines_table(stored: StoredMeasurements) -> str:
    """Return a table of the lines fitted to all measured values."""
    rows = []
    for name, measurement in sorted(stored.items()):
        values = [value for value in measurement["points"][0] if value not in ("x", "members")]
        for value in values:
            line = fit.fit_value(measurement, value)
            label = name if value == values[0] else ""
            coefficients = [f"{number:.3g}" for number in (line.slope, line.intercept)]
            rows.append([label, measurement["x"], value, *coefficients, f"{line.r_squared:.2f}", f"{line.max_x:.0f}"])
    return fit.markdown_table(["measurement", "x", "value", "slope", "at 0", "R2", "largest x"], rows)


def runs_table(stored: StoredMeasurements) -> str:
    """Return a table of when and on which machine each measurement ran."""
    rows = []
    for name, record in sorted(stored.items()):
        load_averages = " to ".join(f"{number:.1f}" for number in record["load_average"])
        machine = f"{record['machine']}, {record['cores']} cores, Python {record['python']}"
        rows.append([name, record["how"], record["at"], record["commit"], machine, load_averages])
    return fit.markdown_table(["measurement", "what runs", "at", "commit", "machine", "load average"], rows)


TABLE_BUILDERS = {
    "roles": capacity_roles.roles_table,
    "budget": capacity_roles.budget_table,
    "store": capacity_events.store_table,
    "events": capacity_events.events_table,
    "limits": capacity_events.limits_table,
    "lines": fitted_lines_table,
    "runs": runs_table,
}


def update_tables(page: str, stored: StoredMeasurements) -> str:
    """Return the page with all tables recomputed from the stored measurements."""
    for name, build_table in TABLE_BUILDERS.items():
        page = fit.replace_block(page, name, build_table(stored))
    return page


def main() -> None:
    """Update the tables of the page in place."""
    PAGE_FILE.write_text(update_tables(PAGE_FILE.read_text(), json.loads(SLOPES_FILE.read_text())))


if __name__ == "__main__":
    main()
