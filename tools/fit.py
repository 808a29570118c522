"""Linear regression of measured points, and formatting of the results as Markdown."""

import dataclasses
import math
from collections.abc import Mapping, Sequence
from typing import Any


@dataclasses.dataclass(frozen=True, slots=True)
class Line:
    """The fitted line ``y = intercept + slope * x`` and its goodness of fit.

    Attributes:
        intercept: Value of y at x = 0.
        slope: Change of y per unit of x.
        r_squared: Coefficient of determination (R squared); 1 if all values of y are equal.
        max_x: Largest measured x.
    """

    intercept: float
    slope: float
    r_squared: float
    max_x: float

    def predict(self, x: float) -> float:
        """Return the value of y at x."""
        return self.intercept + self.slope * x

    def solve(self, value: float) -> float:
        """Return the x at which the line reaches a value of y, or infinity if the slope is not positive."""
        return (value - self.intercept) / self.slope if self.slope > 0 else math.inf


def fit_line(points: Sequence[tuple[float, float]]) -> Line:
    """Fit a line with the method of least squares.

    Args:
        points: Pairs of x and y, with at least two different values of x.

    Raises:
        ValueError: All points have the same x.
    """
    if len({x for x, _ in points}) < 2:
        raise ValueError(f"a line needs points with at least two different x, got {len(points)} points with the same x")
    mean_x = math.fsum(x for x, _ in points) / len(points)
    mean_y = math.fsum(y for _, y in points) / len(points)
    sum_xx = math.fsum((x - mean_x) ** 2 for x, _ in points)
    slope = math.fsum((x - mean_x) * (y - mean_y) for x, y in points) / sum_xx
    intercept = mean_y - slope * mean_x
    total_variation = math.fsum((y - mean_y) ** 2 for _, y in points)
    residual = math.fsum((y - intercept - slope * x) ** 2 for x, y in points)
    return Line(
        intercept, slope, 1.0 - residual / total_variation if total_variation > 0 else 1.0, max(x for x, _ in points)
    )


def fit_value(measurement: Mapping[str, Any], value: str, power: int = 1) -> Line:
    """Fit one value of a stored measurement against a power of x."""
    return fit_line([(point["x"] ** power, point[value]) for point in measurement["points"]])


def replace_block(text: str, name: str, block: str) -> str:
    """Replace the text between the markers of a block.

    Args:
        text: Text of the page.
        name: Name in the markers ``<!-- begin NAME -->`` and ``<!-- end NAME -->``.
        block: New content of the block.

    Returns:
        The page with the new block.

    Raises:
        ValueError: A marker is missing, occurs more than once, or the markers are in the wrong order.
    """
    begin_marker, end_marker = f"<!-- begin {name} -->", f"<!-- end {name} -->"
    if (
        text.count(begin_marker) != 1
        or text.count(end_marker) != 1
        or text.index(begin_marker) > text.index(end_marker)
    ):
        raise ValueError(f"the page must contain the begin and end markers of {name} exactly once and in order")
    before, after = text.split(begin_marker)
    return f"{before}{begin_marker}\n{block.rstrip()}\n{end_marker}{after.split(end_marker)[1]}"


def markdown_table(columns: Sequence[str], rows: Sequence[Sequence[str]]) -> str:
    """Return a Markdown table."""
    lines = ["| " + " | ".join(columns) + " |", "|" + " --- |" * len(columns)]
    return "\n".join([*lines, *("| " + " | ".join(row) + " |" for row in rows)])


def format_number(value: float, digits: int = 3) -> str:
    """Format a value with the given number of significant digits and without an exponent."""
    if value == 0 or not math.isfinite(value):
        return "0" if value == 0 else "none"
    decimals = max(0, digits - 1 - math.floor(math.log10(abs(value))))
    return f"{round(value, digits - 1 - math.floor(math.log10(abs(value)))):,.{decimals}f}"
