"""Tests of the capacity page: line fits, tables and the target size."""

import json
import math
import pathlib

import pytest
from hypothesis import given
from hypothesis import strategies as st

from tools import capacity, fit, sizes

FINITE = st.floats(-1e6, 1e6)


@given(FINITE, FINITE, st.lists(st.integers(0, 1000), min_size=2, max_size=8, unique=True))
def test_fit_recovers_line_through_exact_points(intercept, slope, x_values):
    """Guards against a wrong slope or intercept for points on a line."""
    line = fit.fit_line([(x, intercept + slope * x) for x in x_values])
    scale = 1 + abs(intercept) + abs(slope) * max(x_values)
    assert line.predict(500) == pytest.approx(intercept + slope * 500, abs=scale * 1e-6 * 1000)
    assert line.r_squared > 0.99 or scale * 1e-9 > abs(slope)


def test_fit_matches_a_known_example():
    """Guards against swapped axes, which points that are not exactly on a line reveal."""
    line = fit.fit_line([(0, 1), (1, 3), (2, 2), (3, 5)])
    assert (line.slope, line.intercept) == (pytest.approx(1.1), pytest.approx(1.1))
    assert line.r_squared == pytest.approx(1 - 2.7 / 8.75)


def test_fit_rejects_points_with_a_single_x():
    """Guards against a division by zero or a meaningless slope."""
    with pytest.raises(ValueError, match="two different x"):
        fit.fit_line([(4, 1), (4, 2)])


def test_flat_line_never_reaches_a_higher_value():
    """Guards against reporting a negative size as a limit."""
    assert fit.fit_line([(0, 5), (1, 5)]).solve(10) == math.inf
    assert fit.fit_line([(0, 5), (1, 6)]).solve(10) == pytest.approx(5)


def test_replace_block_keeps_surrounding_text():
    """Guards against overwriting manually written text."""
    page = "before\n<!-- begin a -->\nold\n<!-- end a -->\nafter\n"
    changed = fit.replace_block(page, "a", "new\n")
    assert changed == "before\n<!-- begin a -->\nnew\n<!-- end a -->\nafter\n"
    assert fit.replace_block(changed, "a", "new") == changed


@pytest.mark.parametrize(
    "page", ["", "<!-- end a --><!-- begin a -->", "<!-- begin a --><!-- begin a --><!-- end a -->"]
)
def test_replace_block_rejects_missing_or_misplaced_markers(page):
    """Guards against silently keeping outdated tables."""
    with pytest.raises(ValueError, match="markers of a"):
        fit.replace_block(page, "a", "new")


def test_number_rounds_to_three_digits_without_exponent():
    """Guards against more digits than the precision of the measurements."""
    assert [fit.format_number(value) for value in (0, 0.0001234, 12345.6, 2.0, math.inf)] == [
        "0",
        "0.000123",
        "12,300",
        "2.00",
        "none",
    ]


def test_target_size_matches_design():
    """Guards against computing the capacity page for a size other than that of docs/design.md, section 2."""
    target = sizes.TARGET
    assert (target.instances, target.members) == (1950, 86)
    assert round(target.client_connections / target.vms) == 2667
    assert round(target.statements_per_s / target.vms) == 317


def test_synthetic_state_has_the_requested_size():
    """Guards against measuring less state than the tables claim."""
    size = sizes.Size(vms=20, domains=3, databases=10, organisations=30)
    assert sorted(len(view.members) for view in sizes.make_views(size)) == [6, 7, 7]
    assert sum(len(group.instances) for group in sizes.make_groups(size)) == 30
    configuration = sizes.make_configuration(size)
    assert (len(configuration.organisations), len(configuration.databases)) == (30, 10)


def test_page_tables_match_stored_measurements():
    """Guards against storing new points without updating the tables, and against manual edits of the tables."""
    stored = json.loads(pathlib.Path(capacity.SLOPES_FILE).read_text())
    page = pathlib.Path(capacity.PAGE_FILE).read_text()
    assert capacity.update_tables(page, stored) == page


def test_each_measurement_has_at_least_four_points():
    """Guards against fitting a line to too few points."""
    stored = json.loads(pathlib.Path(capacity.SLOPES_FILE).read_text())
    for name, measurement in stored.items():
        assert len({point["x"] for point in measurement["points"]}) >= 4, name
