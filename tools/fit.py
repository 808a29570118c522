"""Fit lines through measured points and read values from them."""

import dataclasses
import math
from collections.abc import Mapping, Sequence
from typing import Any


@dataclasses.dataclass(frozen=True, slots=True)
class Line:
    """Hold ``y = intercept + slope * x`` and how well the points lie on it.

    Attributes:
        intercept: Value at 0.
        slope: Growth for each unit of x.
        determination: Share of the variance that the line explains (R squared); 1 where all values are equal.
        largest: Largest measured x.
    """

    intercept: float
    slope: float
    determination: float
    largest: float

    def at(self, x: float) -> float:
        """Return the value of the line."""
        return self.intercept + self.slope * x

    def reaches(self, value: float) -> float:
        """Return the x at which the line reaches a value; infinite if it never does."""
        return (value - self.intercept) / self.slope if self.slope > 0 else math.inf


def fit(points: Sequence[tuple[float, float]]) -> Line:
    """Fit a line by least squares.

    Args:
        points: Pairs of x and y; at least two different x.

    Raises:
        ValueError: The points determine no line.
    """
    if len({x for x, _ in points}) < 2:
        raise ValueError("a line needs points with at least two different x")
    mean_x = math.fsum(x for x, _ in points) / len(points)
    mean_y = math.fsum(y for _, y in points) / len(points)
    spread = math.fsum((x - mean_x) ** 2 for x, _ in points)
    slope = math.fsum((x - mean_x) * (y - mean_y) for x, y in points) / spread
    intercept = mean_y - slope * mean_x
    total = math.fsum((y - mean_y) ** 2 for _, y in points)
    rest = math.fsum((y - intercept - slope * x) ** 2 for x, y in points)
    return Line(intercept, slope, 1.0 - rest / total if total > 0 else 1.0, max(x for x, _ in points))


def fit_value(measurement: Mapping[str, Any], value: str, power: int = 1) -> Line:
    """Fit one value of a stored measurement against x, or against a power of x."""
    return fit([(point["x"] ** power, point[value]) for point in measurement["points"]])


def replace_block(text: str, name: str, block: str) -> str:
    """Replace what stands between the markers of a block.

    Args:
        text: The page.
        name: Name in the markers ``<!-- begin NAME -->`` and ``<!-- end NAME -->``.
        block: New content.

    Raises:
        ValueError: A marker is missing, stands twice or is out of order.
    """
    begin, end = f"<!-- begin {name} -->", f"<!-- end {name} -->"
    if text.count(begin) != 1 or text.count(end) != 1 or text.index(begin) > text.index(end):
        raise ValueError(f"the page needs the markers of {name} once and in order")
    head, rest = text.split(begin)
    return f"{head}{begin}\n{block.rstrip()}\n{end}{rest.split(end)[1]}"


def table(columns: Sequence[str], rows: Sequence[Sequence[str]]) -> str:
    """Return a Markdown table."""
    lines = ["| " + " | ".join(columns) + " |", "|" + " --- |" * len(columns)]
    return "\n".join([*lines, *("| " + " | ".join(row) + " |" for row in rows)])


def number(value: float, digits: int = 3) -> str:
    """Return a value with a few significant digits and no exponent."""
    if value == 0 or not math.isfinite(value):
        return "0" if value == 0 else "none"
    places = max(0, digits - 1 - math.floor(math.log10(abs(value))))
    return f"{round(value, digits - 1 - math.floor(math.log10(abs(value)))):,.{places}f}"
