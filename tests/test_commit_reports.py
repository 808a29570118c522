"""Reports of VMs on acknowledged commits, collected before a promotion."""

import asyncio

import pytest

from currantlead import errors
from currantlead.peers import identity
from currantlead.sessions import clock, model, settings
from currantlead.sessions.decisions import acknowledgements
from currantlead.sessions.failover import commit_reports
from currantlead.sessions.instances import fleet

SERVICE = "svc1"
REPLICA = model.Instance("i-4", SERVICE, "127.0.0.1", 1, "z1", False, model.Role.REPLICA, 1, 7)
NAMES = ["vm-1", "vm-2", "vm-3"]


class Network:
    """Streams between the VMs of a test; requests to a silent VM fail."""

    def __init__(self, vm, by_vm, silent):
        self.member, self.handlers = identity.Member(vm, "z1", 1, ""), {}
        self._by_vm, self._silent = by_vm, silent
        by_vm[vm] = self

    def handler(self, kind):
        """Register a handler."""
        return lambda handler: self.handlers.setdefault(kind, handler)

    async def request(self, vm, kind, body, *, timeout_s):
        """Return the answer of a VM."""
        if vm in self._silent:
            raise errors.PeerUnreachableError(vm)
        return self._by_vm[vm].handlers[kind](self.member.vm, body)


class Records:
    """Records in the store."""

    def __init__(self):
        self.bounds = acknowledgements.Acknowledged()

    async def read(self, service):
        """Return the record; None stands for one that cannot be read."""
        if self.bounds is None:
            raise errors.MalformedObjectError("odd")
        return self.bounds


class Vms:
    """Reports of three VMs, each in a region of its own."""

    def __init__(self):
        self.networks, self.silent, self.records = {}, set(), Records()
        self.reports, self.fleets, self.acknowledged = {}, {}, {}
        partners = {vm: [other for other in NAMES if other != vm] for vm in NAMES}
        for vm in NAMES:
            self.fleets[vm] = fleet.Fleet(settings.Bounds(), {})
            self.acknowledged[vm] = acknowledgements.AcknowledgedCommits()
            self.reports[vm] = commit_reports.CommitReports(
                Network(vm, self.networks, self.silent),
                self.fleets[vm],
                self.acknowledged[vm],
                self.records,
                lambda primary: NAMES,
                lambda: NAMES,
                lambda: partners,
            )

    async def collect(self, held_for=5):
        """Return the report that the first VM collects."""
        return await self.reports["vm-1"].collect(SERVICE, None, held_for=held_for)


@pytest.mark.parametrize(("silent", "is_complete"), [([], True), (["vm-3"], True), (["vm-2", "vm-3"], False)])
async def test_reports_lack_one_region(silent, is_complete):
    """A region that is cut off is not needed, because another one has recorded its commits."""
    vms = Vms()
    vms.silent.update(silent)
    report = await vms.collect()
    assert (report.since <= clock.now()) is is_complete
    assert report.unanswered == set(silent)


async def test_record_in_the_store_counts():
    """Guards against LOST: the only VM that recorded a commit elsewhere than in its region wrote it to the store."""
    vms = Vms()
    vms.acknowledged["vm-2"].merge(SERVICE, acknowledgements.Acknowledged(at_most=model.Position(1, 4)))
    vms.records.bounds = acknowledgements.Acknowledged(at_most=model.Position(1, 9))
    assert (await vms.collect(held_for=0)).acknowledged.at_most == model.Position(1, 4)
    assert (await vms.collect()).acknowledged.at_most == model.Position(1, 9)


async def test_reports_are_incomplete_if_the_record_cannot_be_read():
    """Guards against a promotion that ends in an error, with the old primary demoted, for an odd entry in the store."""
    vms = Vms()
    vms.records.bounds = None
    assert (await vms.collect()).since == float("inf")


async def test_instance_that_another_vm_knows_as_gone_is_reported():
    """Guards against LOST: a VM that has started since would not know of the replica with the only copy."""
    vms = Vms()
    for vm in ("vm-2", "vm-3"):
        vms.fleets[vm].update(REPLICA, clock.now())
        vms.fleets[vm].remove("i-4")
        vms.fleets[vm].get("i-4").lapsed_at -= fleet.LAPSE_GRACE_S
        await asyncio.sleep(0.01)
        vms.fleets[vm].remove_lapsed()
    report = await vms.collect()
    gone_at = min(vms.fleets[vm].departures(SERVICE)[0].gone_at for vm in ("vm-2", "vm-3"))
    assert report.departed.keys() == {("i-4", 7)}
    assert report.departed["i-4", 7] == pytest.approx(gone_at, abs=0.005)
    vms.fleets["vm-2"].record_end("i-4", 7, clock.now())
    assert not (await vms.collect()).departed


async def test_end_is_told_for_longer_than_the_instance_counts(monkeypatch):
    """Guards against counting, for an hour, an instance whose end only VMs know that no longer count it themselves."""
    vms = Vms()
    for vm in ("vm-2", "vm-3"):
        vms.fleets[vm].update(REPLICA, clock.now())
        vms.fleets[vm].remove("i-4")
        vms.fleets[vm].get("i-4").lapsed_at -= fleet.LAPSE_GRACE_S + 1.0
        vms.fleets[vm].remove_lapsed()
    assert (await vms.collect()).departed
    vms.fleets["vm-2"].record_end("i-4", 7, clock.now())
    now = clock.now()
    monkeypatch.setattr(clock, "now", lambda: now + 60.0)
    assert not vms.fleets["vm-2"].departures(SERVICE) and vms.fleets["vm-3"].departures(SERVICE)
    assert not (await vms.collect()).departed
