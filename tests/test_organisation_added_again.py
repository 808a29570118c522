"""Rates of an organisation that a version removes and a later one adds again."""

import pytest

from currantlead.sessions import model, settings
from tests import test_token_buckets

BOUNDS = settings.Bounds()


@pytest.mark.parametrize(("rate", "burst"), [(10.0, 10.0), (10.0, 100.0), (10.0, 1000.0)])
def test_organisation_that_is_added_again_gets_no_second_burst(rate, burst):
    """Each return of an organisation filled its buckets anew, although its earlier requests were in the same window."""
    organisations = {"org": model.Organisation("org", rate, burst)}
    members = test_token_buckets.make_members(6)
    vms = [
        test_token_buckets.make_buckets(6, rate, burst, bounds=BOUNDS, vm=member.name, now=0.0) for member in members
    ]
    admitted, now = 0.0, 1000.0
    for _ in range(2):
        admitted += sum(vm.lend("org", 1e6, now) for vm in vms)
        for vm in vms:
            vm.configure({}, members, now + 1.0)
            vm.configure(organisations, members, now + 2.0)
        now += 2.0
    admitted += sum(vm.lend("org", 1e6, now) for vm in vms)
    limit = (rate * BOUNDS.rate_window_s + burst) * (1 + BOUNDS.rate_excess) + BOUNDS.rate_slack
    assert admitted <= limit
