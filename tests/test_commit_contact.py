"""Contact with VMs that may replace a primary: whether commits are sent, broken off, and reported as successful."""

import asyncio

import pytest

from currantlead import errors
from currantlead.sessions import clock, model, settings, statements
from currantlead.sessions.decisions import vm_contact
from currantlead.sessions.failover import commit_contact, contact_partners
from currantlead.sessions.instances import fleet
from currantlead.sessions.membership import members
from currantlead.sessions.shared import duty_claims

SERVICE = "svc1"
PRIMARY = model.Instance("i-1", SERVICE, "127.0.0.1", 1, "z1", False, model.Role.PRIMARY, 1)
REGIONS = {"z1": "r1", "z2": "r1", "z3": "r2", "z4": "r3"}


def member(name, domain):
    """Return a VM."""
    return model.Member(name, "127.0.0.1", 1, domain)


class Peers:
    """Streams whose VMs answer as the test says; a VM without an answer is silent."""

    def __init__(self):
        self.answers = {}
        self.asked = []

    def handler(self, kind):
        """Accept a handler."""
        return lambda handler: handler

    async def request(self, vm, kind, body, *, timeout_s):
        """Return the answer of a VM."""
        self.asked.append(vm)
        if vm not in self.answers:
            await asyncio.sleep(timeout_s)
            raise errors.PeerAnswerLostError(vm)
        return self.answers[vm]


class Claims:
    """Claims of the duty in a store that may be unreachable."""

    def __init__(self):
        self.reachable, self.claimed_s, self.stage = False, None, model.DutyStage.CLAIMED

    async def refresh(self, duty):
        """Read the duty."""
        if not self.reachable:
            raise errors.PlatformUnavailableError("silent")

    def latest(self, duty):
        """Return the claim of another VM, if there is one."""
        return None if self.claimed_s is None else duty_claims.Claim("vm-9", 5, self.stage)

    def may_claim(self, duty, exclusivity_s):
        """Return whether no other VM has claimed the duty within a time."""
        return self.claimed_s is None or self.claimed_s >= exclusivity_s


class Case:
    """Contact of a VM with two partners."""

    def __init__(self):
        self.peers, self.claims, self.forbidden = Peers(), Claims(), []
        self.fleet = fleet.Fleet(settings.Bounds(), REGIONS)
        self.fleet.update(PRIMARY, 0.0)
        self.partners = ["vm-2", "vm-3"]
        self.contact = commit_contact.CommitContact(self.peers, self.fleet, self.claims, lambda: self.partners)
        self.contact.on_forbidden = lambda service, ordered: self.forbidden.append((service, ordered))

    def answer(self, vm="vm-2", generation=0, **ordered):
        """Let a VM answer."""
        self.peers.answers[vm] = {"ordered": ordered, "generation": generation}


@pytest.fixture
async def case():
    """Provide the contact of a VM whose partners are silent."""
    built = Case()
    yield built
    built.contact.close()


def test_partners_are_in_other_regions():
    """A region may be cut off as a whole, so that VMs of the same region prove nothing."""
    vms = [member("vm-1", "z1"), member("vm-2", "z2"), member("vm-3", "z3"), member("vm-4", "z4")]
    assert {item.name for item in vm_contact.select_partners(vms[0], vms, REGIONS)} == {"vm-3", "vm-4"}
    assert [item.name for item in vm_contact.select_partners(vms[0], vms[:2], REGIONS)] == ["vm-2"]
    assert vm_contact.select_partners(vms[0], vms[:1], REGIONS) == []


def test_partners_of_all_vms_are_among_the_chosen_ones():
    """The VM that promotes tells all VMs that others ask, also where it does not tell all VMs."""
    vms = [member(f"vm-{number}", f"z{number % 4 + 1}") for number in range(40)]
    chosen = {item.name for item in vm_contact.select_reporting(vms, REGIONS)}
    assert len(chosen) == 3 * vm_contact.PARTNERS_PER_GROUP
    for own in vms:
        assert {item.name for item in vm_contact.select_partners(own, vms, REGIONS)} <= chosen


@pytest.mark.parametrize(
    ("silent", "expected"),
    [
        ([], []),
        (["vm-3"], []),
        (["vm-1", "vm-2"], []),
        (["vm-3", "vm-4"], ["vm-3", "vm-4"]),
        (["vm-1", "vm-2", "vm-4"], ["vm-1", "vm-2", "vm-4"]),
    ],
)
def test_silent_vms_of_several_regions_give_each_other_contact(silent, expected):
    """VMs of one region have no contact among themselves; a cut may leave those of two regions together."""
    vms = [member("vm-1", "z1"), member("vm-2", "z2"), member("vm-3", "z3"), member("vm-4", "z4")]
    assert vm_contact.find_contact_among(silent, vms, REGIONS) == expected


async def test_commit_is_refused_without_contact(case):
    """A commit is not sent while nobody answers, and the next one is refused at once."""
    assert (await case.contact.find_refusal(PRIMARY)).cause == statements.NO_CONTACT
    began_at = clock.now()
    assert (await case.contact.find_refusal(PRIMARY)).cause == statements.NO_CONTACT
    assert clock.now() - began_at < 0.05
    case.answer()
    await asyncio.sleep(vm_contact.LOST_S)
    assert await case.contact.find_refusal(PRIMARY) is None


async def test_no_contact_is_needed_without_other_vms(case):
    """A VM that is alone serves commits."""
    case.partners = []
    assert await case.contact.find_refusal(PRIMARY) is None
    with case.contact.watch(PRIMARY) as commit:
        pass
    assert await case.contact.confirm(commit)
    assert case.peers.asked == []


async def test_other_vms_are_asked_if_the_first_is_silent(case):
    """One VM that is down holds commits up for a moment only, and is not asked first the next time."""
    case.answer("vm-3")
    assert await case.contact.find_refusal(PRIMARY) is None
    await asyncio.sleep(vm_contact.AGE_LIMIT_S)
    case.peers.asked.clear()
    assert await case.contact.find_refusal(PRIMARY) is None
    assert case.peers.asked == ["vm-3"]


async def test_order_for_another_instance_forbids_commits(case):
    """A VM that was told to hold back commits says so to those that were not."""
    case.answer(svc1="")
    assert "replaced" in (await case.contact.find_refusal(PRIMARY)).detail
    case.answer(svc1="i-1")
    await asyncio.sleep(vm_contact.AGE_LIMIT_S)
    assert await case.contact.find_refusal(PRIMARY) is None


@pytest.mark.parametrize(
    ("claimed_s", "stage", "allowed"),
    [
        (None, model.DutyStage.CLAIMED, True),
        (0.5, model.DutyStage.CLAIMED, False),
        (4.0, model.DutyStage.CLAIMED, False),
        (11.0, model.DutyStage.CLAIMED, True),
        (0.5, model.DutyStage.ORDERED, True),
        (0.5, model.DutyStage.ENDED, True),
    ],
)
async def test_store_answers_in_place_of_vms(case, claimed_s, stage, allowed):
    """Where all VMs of other regions are gone, commits go on, unless another VM's attempt may still choose.

    An attempt may take longer than the time for which only its VM may claim. An order shows in the entries of the duty.
    """
    case.claims.reachable, case.claims.claimed_s, case.claims.stage = True, claimed_s, stage
    refusal = await case.contact.find_refusal(PRIMARY)
    assert (refusal is None) is allowed


async def test_unexpected_error_ends_neither_the_round_nor_the_watch(case, monkeypatch):
    """Guards against commits that wait without a watch, because a task ended by an error that nobody expected."""
    case.answer()
    assert await case.contact.find_refusal(PRIMARY) is None

    async def fail(*_, **__):
        raise RuntimeError("unexpected")

    monkeypatch.setattr(case.peers, "request", fail)
    monkeypatch.setattr(case.claims, "refresh", fail)
    with case.contact.watch(PRIMARY):
        await asyncio.sleep(vm_contact.SILENCE_S)
        assert case.forbidden.count((SERVICE, "")) > 1


def test_partners_follow_the_members_and_the_regions():
    """The choice is kept for all commits until a VM comes or goes, or the settings name other regions."""
    known, regions, down = members.Members(member("vm-1", "z1")), dict(REGIONS), set()
    chosen = contact_partners.ContactPartners(known, lambda: regions, down.__contains__)
    assert chosen.partners() == []
    known.update([member("vm-2", "z2"), member("vm-3", "z3"), member("vm-4", "z4")], ())
    assert sorted(chosen.partners()) == ["vm-3", "vm-4"]
    down.add(chosen.partners()[0])
    assert chosen.partners()[1] in down
    assert sorted(chosen.reporting()) == ["vm-1", "vm-2", "vm-3", "vm-4"]
    regions = {"z1": "r1", "z2": "r2", "z3": "r1", "z4": "r1"}
    assert chosen.partners() == ["vm-2"]


async def test_waiting_commit_is_broken_off_when_contact_is_lost(case):
    """A commit that waits for a replica could be acknowledged by one that has started behind a cut."""
    case.answer()
    assert await case.contact.find_refusal(PRIMARY) is None
    with case.contact.watch(PRIMARY):
        await asyncio.sleep(0.3)
        assert case.forbidden == []
        case.peers.answers.clear()
        await asyncio.sleep(vm_contact.SILENCE_S)
        assert (SERVICE, "") in case.forbidden


@pytest.mark.parametrize("ordered", ["", "i-2"])
async def test_waiting_commit_is_broken_off_when_another_instance_is_to_lead(case, ordered):
    """Guards against LOST: a VM that was not told of an order hears of it while a commit waits at the old primary."""
    case.answer()
    assert await case.contact.find_refusal(PRIMARY) is None
    with case.contact.watch(PRIMARY):
        case.answer(svc1=ordered)
        await asyncio.sleep(vm_contact.REFRESH_AGE_S + 0.1)
        assert (SERVICE, ordered) in case.forbidden


@pytest.mark.parametrize(("generation", "expected"), [(5, True), (6, False)])
async def test_success_after_a_stall_is_passed_on_unless_the_duty_was_claimed(case, generation, expected):
    """While this VM was stalled, another instance may have been promoted, and the order be closed again."""
    case.answer(generation=5)
    assert await case.contact.find_refusal(PRIMARY) is None
    with case.contact.watch(PRIMARY) as commit:
        pass
    case.answer(generation=generation)
    await asyncio.sleep(vm_contact.AGE_LIMIT_S + 0.05)
    assert await case.contact.confirm(commit) is expected


async def test_malformed_answer_is_no_contact(case):
    """A VM that sends something else than asked for is treated as silent."""
    case.peers.answers = {"vm-2": {"ordered": 3}, "vm-3": {}}
    assert (await case.contact.find_refusal(PRIMARY)).cause == statements.NO_CONTACT


def test_fleet_tells_held_and_ordered_services():
    """Answers to questions for contact name the ordered instance, and none while commits are held."""
    known = fleet.Fleet(settings.Bounds(), {})
    known.update(PRIMARY, 0.0)
    assert known.commit_restrictions() == {} and known.latest_claim == 0
    known.hold_commits(SERVICE, 7)
    assert known.commit_restrictions() == {SERVICE: ""} and known.latest_claim == 7
    known.set_order(SERVICE, "i-2", 8)
    assert known.commit_restrictions() == {SERVICE: "i-2"} and known.latest_claim == 8


def test_held_service_without_known_instances_is_told():
    """Guards against telling another VM that any instance may get commits, because their entries have disappeared."""
    known = fleet.Fleet(settings.Bounds(), {})
    known.hold_commits(SERVICE, 7)
    assert known.commit_restrictions() == {SERVICE: ""}
    known.set_order(SERVICE, "i-2", 8)
    assert known.commit_restrictions() == {SERVICE: "i-2"}


async def test_refresh_reads_the_claim_of_another_vm():
    """A VM without contact learns of a claim from the store."""

    class Store:
        async def read(self, kind, name):
            return None

    claims = duty_claims.DutyClaims(Store(), "vm-1")
    assert await claims.refresh(SERVICE) is None and claims.may_claim(SERVICE, 3.0)
