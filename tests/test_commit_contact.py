"""Contact with VMs that may replace a primary: whether commits are sent, broken off, and reported as successful."""

import asyncio
import time

import pytest

from currantlead import errors
from currantlead.platform import objects
from currantlead.sessions import clock, model, settings, statements
from currantlead.sessions.decisions import acknowledgements, vm_contact
from currantlead.sessions.failover import commit_contact, commit_records, contact_partners
from currantlead.sessions.instances import fleet
from currantlead.sessions.membership import members
from currantlead.sessions.shared import duty_claims

SERVICE = "svc1"
PRIMARY = model.Instance("i-1", SERVICE, "127.0.0.1", 1, "z1", False, model.Role.PRIMARY, 1)
LOG_END = model.Position(1, 9)
REGIONS = {"z1": "r1", "z2": "r1", "z3": "r2", "z4": "r3"}


def member(name, domain):
    """Return a VM."""
    return model.Member(name, "127.0.0.1", 1, domain)


class Peers:
    """Streams whose VMs answer as the test says; a VM without an answer is silent."""

    def __init__(self):
        self.answers = {}
        self.asked, self.bodies = [], []

    def handler(self, kind):
        """Accept a handler."""
        return lambda handler: setattr(self, kind, handler)

    async def request(self, vm, kind, body, *, timeout_s):
        """Return the answer of a VM."""
        self.asked.append(vm)
        self.bodies.append(body)
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


class Records:
    """Store with records of commits; it may be unreachable, and other VMs may change a record before this one does."""

    def __init__(self):
        self.reachable, self.stored, self.writes, self.changes = True, None, 0, []

    def _write(self, value, expected):
        if not self.reachable:
            raise errors.PlatformUnavailableError("silent")
        if self.changes:
            self.stored = objects.StoredObject(SERVICE, 100 + len(self.changes), self.changes.pop())
        if (self.stored and self.stored.revision) != expected:
            return None
        self.writes += 1
        self.stored = objects.StoredObject(SERVICE, self.writes, value)
        return self.stored

    async def read(self, kind, name):
        """Return the record."""
        return self.stored

    async def create(self, kind, name, value):
        """Create the record unless it exists."""
        return self._write(value, None)

    async def replace(self, kind, name, value, revision):
        """Replace the record if its revision is the given one."""
        await asyncio.sleep(0.01)
        return self._write(value, revision)

    @property
    def at_most(self):
        """Upper bound in the record."""
        return objects.decode_commits(self.stored)[1]


class Case:
    """Contact of a VM with two partners."""

    def __init__(self):
        self.peers, self.claims, self.forbidden = Peers(), Claims(), []
        self.fleet = fleet.Fleet(settings.Bounds(), REGIONS)
        self.fleet.update(PRIMARY, 0.0)
        self.partners = ["vm-2", "vm-3"]
        self.acknowledged, self.store = acknowledgements.AcknowledgedCommits(), Records()
        self.records = commit_records.CommitRecords(self.store)
        self.contact = commit_contact.CommitContact(
            self.peers, self.fleet, self.claims, self.acknowledged, self.records, lambda: self.partners
        )
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
    assert set(vm_contact.map_partners(vms, REGIONS)["vm-1"]) == {"vm-3", "vm-4"}
    assert vm_contact.map_partners(vms[:2], REGIONS)["vm-1"] == ["vm-2"]
    assert vm_contact.map_partners(vms[:1], REGIONS) == {"vm-1": []}


def test_partners_of_all_vms_are_among_the_chosen_ones():
    """The VM that promotes tells all VMs that others ask, also where it does not tell all VMs."""
    vms = [member(f"vm-{number}", f"z{number % 4 + 1}") for number in range(40)]
    chosen = {item.name for item in vm_contact.select_reporting(vms, REGIONS)}
    assert len(chosen) == 3 * vm_contact.PARTNERS_PER_GROUP
    for partners in vm_contact.map_partners(vms, REGIONS).values():
        assert set(partners) <= chosen


@pytest.mark.parametrize(
    ("domains", "groups", "count"),
    [
        (["z1", "z2", "z3", "z4"] * 5, REGIONS, 4),
        (["z1", "z2", "z2", "z1"], {"z1": "z1", "z2": "z2"}, 2),
        (["z1", "z2"], {"z1": "z1", "z2": "z2"}, 1),
    ],
)
def test_partners_are_in_other_groups(domains, groups, count):
    """Without other regions, VMs of other failure domains are asked; up to two of each."""
    vms = [member(f"vm-{number}", domain) for number, domain in enumerate(domains)]
    domain_of = {item.name: item.domain for item in vms}
    for vm, partners in vm_contact.map_partners(vms, REGIONS).items():
        assert groups[domain_of[vm]] not in [groups[domain_of[name]] for name in partners]
        assert len(set(partners)) == (count if groups is not REGIONS or groups[domain_of[vm]] != "r1" else 4)


def test_vms_of_one_domain_ask_each_other():
    """A VM is never its own partner."""
    partners = vm_contact.map_partners([member(f"vm-{number}", "z1") for number in range(5)], REGIONS)
    assert all(len(set(names)) == 2 and vm not in names for vm, names in partners.items())


def test_vm_that_was_not_asked_and_does_not_respond_counts_as_not_told():
    """Above 16 VMs not all are asked for reports; one on the other side of a cut may have contact with a partner."""
    known, down = members.Members(member("vm-0", "z1")), set()
    known.update([member(f"vm-{number}", f"z{number % 4 + 1}") for number in range(1, 40)], ())
    chosen = contact_partners.ContactPartners(known, lambda: REGIONS, down.__contains__)
    partner = next(name for name in chosen.reporting() if REGIONS[known.get(name).domain] == "r2")
    assert chosen.find_contact_among([partner]) == []
    down.add(next(item.name for item in known.all() if item.domain == "z4" and item.name not in chosen.reporting()))
    assert chosen.find_contact_among([partner]) == [partner]


@pytest.mark.parametrize(
    ("up_since", "expected"),
    [
        ({"a": 1.0, "b": 2.0, "c": 3.0}, 2.0),
        ({"a": 1.0, "b": 2.0, "c": float("inf")}, 2.0),
        ({"a": 1.0, "b": float("inf"), "c": float("inf")}, float("inf")),
        ({"a": 1.0, "a2": 7.0, "b": 2.0, "c": 3.0}, 3.0),
        ({"a": 1.0, "a2": float("inf"), "a3": float("inf"), "b": 2.0, "c": 3.0}, 3.0),
        ({"a": 1.0, "b": 2.0, "c": 3.0, "gone": float("inf")}, 3.0),
        ({"a": 4.0}, 4.0),
    ],
)
def test_reports_are_complete_if_a_vm_or_its_partner_has_each_commit(up_since, expected):
    """A region that is cut off, or whose VMs have started again, is not needed."""
    partners = {
        vm: [other for other in "abc" if other != vm[0] and other in up_since] for vm in ("a", "a2", "a3", *"bc")
    }
    assert acknowledgements.find_complete_since(up_since, partners) == expected


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
    assert vm_contact.find_contact_among(silent, vm_contact.map_partners(vms, REGIONS)) == expected


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
    assert await case.contact.confirm(commit, LOG_END)
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
    assert await case.contact.confirm(commit, LOG_END) is expected


async def send(case):
    """Send a commit and return what the confirmation of its success needs."""
    assert await case.contact.find_refusal(PRIMARY) is None
    with case.contact.watch(PRIMARY) as commit:
        return commit


async def test_success_is_recorded_by_a_vm_of_another_region_before_it_is_passed_on(case):
    """Guards against a commit that only a region knows which is cut off a moment after its caller was told."""
    case.answer()
    commit = await send(case)
    case.peers.bodies.clear()
    assert await case.contact.confirm(commit, LOG_END)
    other = Case()
    (question,) = case.peers.bodies
    assert other.peers.contact("vm-1", question) == {"ordered": {}, "generation": 0}
    assert other.acknowledged.of(SERVICE).at_most == case.acknowledged.of(SERVICE).at_most == LOG_END


async def test_vm_that_holds_back_commits_does_not_record_them(case):
    """A promotion that a VM has reported to must not be told of a commit that it has not counted."""
    case.answer()
    commit = await send(case)
    case.peers.bodies.clear()
    assert await case.contact.confirm(commit, LOG_END)
    other = Case()
    other.fleet.hold_commits(SERVICE, 7)
    assert other.peers.contact("vm-1", case.peers.bodies[0])["ordered"] == {SERVICE: ""}
    assert other.acknowledged.of(SERVICE).at_most == acknowledgements.NO_POSITION


@pytest.mark.parametrize("knows_itself", [False, True])
async def test_success_is_in_doubt_if_an_order_is_known(case, knows_itself):
    """The order may be known to the VM that records the commit, or only to this one."""
    case.answer()
    commit = await send(case)
    if knows_itself:
        case.fleet.hold_commits(SERVICE, 7)
    else:
        case.answer(svc1="i-2")
    assert not await case.contact.confirm(commit, LOG_END)


@pytest.mark.parametrize("reachable", [True, False])
async def test_store_records_a_success_if_no_vm_answers(case, reachable):
    """Commits go on while the other regions are down, and are in doubt if nobody can record them."""
    case.answer()
    commit = await send(case)
    case.peers.answers.clear()
    case.claims.reachable = case.store.reachable = reachable
    assert await case.contact.confirm(commit, LOG_END) is reachable
    if reachable:
        assert (await case.records.read(SERVICE)).at_most == LOG_END


async def test_claim_after_the_record_in_the_store_puts_a_success_in_doubt(case):
    """The VM that claimed the duty may have read the record before this commit was in it."""
    case.answer()
    commit = await send(case)
    case.peers.answers.clear()
    case.claims.reachable, case.claims.claimed_s = True, 0.5
    assert not await case.contact.confirm(commit, LOG_END)


async def test_success_is_in_doubt_if_this_vm_stalls_while_it_is_recorded(case, monkeypatch):
    """Guards against LOST: meanwhile another instance may have been promoted, and the order be closed again."""
    case.answer(generation=5)
    commit = await send(case)

    async def answer_after_a_stall(vm, kind, body, *, timeout_s):
        time.sleep(vm_contact.AGE_LIMIT_S + 0.05)  # noqa: ASYNC251
        return {"ordered": {}, "generation": 6}

    monkeypatch.setattr(case.peers, "request", answer_after_a_stall)
    assert not await case.contact.confirm(commit, LOG_END)


async def test_records_that_wait_for_a_write_go_together_in_the_next():
    """Guards against one write to the store for each commit of a busy service."""
    store = Records()
    records = commit_records.CommitRecords(store)
    await records.record(SERVICE, acknowledgements.Acknowledged(at_most=model.Position(1, 1)))
    bounds = [acknowledgements.Acknowledged(at_most=model.Position(1, number)) for number in range(2, 30)]
    await asyncio.gather(*(records.record(SERVICE, item) for item in bounds))
    assert store.at_most == model.Position(1, 29) and store.writes <= 3


async def test_record_keeps_what_another_vm_has_recorded():
    """The record of another VM is merged, and one that keeps changing is not taken for written."""
    store = Records()
    records = commit_records.CommitRecords(store)
    store.changes = [objects.encode_commits(model.Position(1, 3), model.Position(1, 40))]
    await records.record(SERVICE, acknowledgements.Acknowledged(at_most=model.Position(1, 9)))
    assert await records.read(SERVICE) == acknowledgements.Acknowledged(model.Position(1, 3), model.Position(1, 40))
    store.changes = [objects.encode_commits(model.Position(1, 3), model.Position(1, 41))] * 2
    await records.record(SERVICE, acknowledgements.Acknowledged(at_most=model.Position(1, 45)))
    assert store.at_most == model.Position(1, 45)
    store.changes = [objects.encode_commits(model.Position(1, 3), model.Position(1, 41))] * 9
    with pytest.raises(errors.PlatformUnavailableError):
        await records.record(SERVICE, acknowledgements.Acknowledged(at_most=model.Position(1, 50)))


async def test_record_is_written_again_after_the_store_was_restored():
    """Guards against trusting a record that this VM wrote before, which a restored store no longer has."""
    store = Records()
    records = commit_records.CommitRecords(store)
    await records.record(SERVICE, acknowledgements.Acknowledged(at_most=LOG_END))
    store.stored = None
    await records.record(SERVICE, acknowledgements.Acknowledged(at_most=LOG_END))
    assert store.at_most == LOG_END


@pytest.mark.parametrize(
    "value",
    [{"at_least": 3}, [], {"at_least": [1, 10**30], "at_most": [1, 10**30]}, {"at_least": [1, 2], "at_most": [1]}],
)
async def test_odd_record_of_another_writer_is_replaced(value):
    """Guards against commits that stay in doubt because a record cannot be read."""
    store = Records()
    store.stored = objects.StoredObject(SERVICE, 50, value)
    records = commit_records.CommitRecords(store)
    with pytest.raises(errors.MalformedObjectError):
        await records.read(SERVICE)
    await records.record(SERVICE, acknowledgements.Acknowledged(at_most=LOG_END))
    assert store.at_most == LOG_END


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
