"""Tests of the pure parts of the capacity page: the fit, the tables and the target's numbers."""

import json
import math
import pathlib

import pytest
from hypothesis import given
from hypothesis import strategies as st

from tools import capacity, fit, sizes

FINITE = st.floats(-1e6, 1e6)


@given(FINITE, FINITE, st.lists(st.integers(0, 1000), min_size=2, max_size=8, unique=True))
def test_fit_finds_the_line_that_made_the_points(intercept, slope, places):
    """Guards against a wrong slope or intercept."""
    line = fit.fit([(x, intercept + slope * x) for x in places])
    scale = 1 + abs(intercept) + abs(slope) * max(places)
    assert line.predict(500) == pytest.approx(intercept + slope * 500, abs=scale * 1e-6 * 1000)
    assert line.r_squared > 0.99 or scale * 1e-9 > abs(slope)


def test_fit_matches_a_known_example():
    """Guards against swapped axes: points off the line on both sides."""
    line = fit.fit([(0, 1), (1, 3), (2, 2), (3, 5)])
    assert (line.slope, line.intercept) == (pytest.approx(1.1), pytest.approx(1.1))
    assert line.r_squared == pytest.approx(1 - 2.7 / 8.75)


def test_points_with_one_x_are_refused():
    """Guards against a division by zero that gives a slope without meaning."""
    with pytest.raises(ValueError, match="two different x"):
        fit.fit([(4, 1), (4, 2)])


def test_limit_of_a_flat_or_falling_line_is_never_reached():
    """Guards against a negative size at which something breaks."""
    assert fit.fit([(0, 5), (1, 5)]).solve(10) == math.inf
    assert fit.fit([(0, 5), (1, 6)]).solve(10) == pytest.approx(5)


def test_block_is_replaced_and_the_text_around_it_stays():
    """Guards against a tool that overwrites what was written by hand."""
    page = "before\n<!-- begin a -->\nold\n<!-- end a -->\nafter\n"
    changed = fit.replace_block(page, "a", "new\n")
    assert changed == "before\n<!-- begin a -->\nnew\n<!-- end a -->\nafter\n"
    assert fit.replace_block(changed, "a", "new") == changed


@pytest.mark.parametrize(
    "page", ["", "<!-- end a --><!-- begin a -->", "<!-- begin a --><!-- begin a --><!-- end a -->"]
)
def test_missing_markers_are_an_error(page):
    """Guards against a page that silently keeps old figures."""
    with pytest.raises(ValueError, match="markers of a"):
        fit.replace_block(page, "a", "new")


def test_numbers_have_few_digits_and_no_exponent():
    """Guards against a table that claims more digits than were measured."""
    assert [fit.format_number(each) for each in (0, 0.0001234, 12345.6, 2.0, math.inf)] == [
        "0",
        "0.000123",
        "12,300",
        "2.00",
        "none",
    ]


def test_target_matches_the_design():
    """Guards against a capacity page for another size than docs/design.md, section 2, states."""
    target = sizes.TARGET
    assert (target.instances, target.members) == (1950, 86)
    assert round(target.client_connections / target.vms) == 2667
    assert round(target.statements_s / target.vms) == 317


def test_synthetic_state_has_the_size_that_it_names():
    """Guards against measurements of a smaller state than the tables say."""
    size = sizes.Size(vms=20, domains=3, databases=10, organisations=30)
    assert sorted(len(view.members) for view in sizes.views(size)) == [6, 7, 7]
    assert sum(len(group.instances) for group in sizes.groups(size)) == 30
    configuration = sizes.make_configuration(size)
    assert (len(configuration.organisations), len(configuration.databases)) == (30, 10)


def test_stored_page_holds_the_tables_of_the_stored_points():
    """Guards against new points without new tables, and tables edited by hand."""
    stored = json.loads(pathlib.Path(capacity.SLOPES).read_text())
    page = pathlib.Path(capacity.PAGE).read_text()
    assert capacity.rewrite(page, stored) == page


def test_each_measurement_has_at_least_four_points():
    """Guards against a line through too few points."""
    stored = json.loads(pathlib.Path(capacity.SLOPES).read_text())
    for name, measurement in stored.items():
        assert len({point["x"] for point in measurement["points"]}) >= 4, name
