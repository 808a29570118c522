"""Simulation of several VMs that run the membership protocol, without I/O.

Clocks drift, messages are lost, delayed or repeated, processes pause and restart, and writes to the store are lost or
executed late.
"""

import dataclasses

from currantlead.control import lease, member_state, model, views

NAMES = ("a", "b", "c", "d", "e")
OUTSIDE = "w"
ROLES = tuple(f"r{n}" for n in range(6))


@dataclasses.dataclass
class Process:
    """One run of the daemon on a VM, between a start and the next."""

    member: model.Member
    rate: float
    state: member_state.MemberState
    removal: lease.RemovalTracker = dataclasses.field(default_factory=lease.RemovalTracker)
    view: model.View | None = None
    paused: bool = False
    unreleased: int = 0
    left: bool = False


class Simulation:
    """VMs of one domain and one witness from another domain, with simulated time, network and store."""

    def __init__(self, rates):
        self.time = 100.0
        self.rates = dict(zip((*NAMES, OUTSIDE), rates, strict=True))
        self.processes = {}
        self.stored = None
        self.writes = []
        self.delayed = []
        self.cuts = set()
        self.without_view = set()
        self.incarnations = 0
        for name in (*NAMES, OUTSIDE):
            self.restart(name)
        outside = model.View("east", 1, (self.processes[OUTSIDE].member,))
        for process in self.processes.values():
            process.state.adopt(outside, self.now(process))

    def now(self, process):
        """Return the clock reading of a process."""
        return process.rate * self.time

    def restart(self, name):
        """Replace the process of a VM by a new one without any state."""
        self.incarnations += 1
        domain = "east" if name == OUTSIDE else "west"
        member = model.Member(name, domain, self.incarnations, f"{name}:1")
        state = member_state.MemberState(lease.identity_of(member), domain, self.rates[name] * self.time)
        self.processes[name] = Process(member, self.rates[name], state)

    def running(self):
        """Return the processes that are not paused."""
        return [process for process in self.processes.values() if not process.paused]

    def connected(self, one, other):
        """Return whether messages from one VM reach another."""
        return (one, other) not in self.cuts

    def isolate(self, group, *, reachable=(), one_way=False):
        """Cut a group of VMs off from all others except ``reachable``; ``one_way`` cuts only what the group sends."""
        for one in group:
            for other in {*NAMES, OUTSIDE} - {*group, *reachable}:
                self.cuts.add((one, other))
                if not one_way:
                    self.cuts.add((other, one))

    def adopt(self, process, view, *, release=True):
        """Pass a view to a process; without ``release``, the release callbacks are left pending."""
        if view is None or (process.view is not None and view.number <= process.view.number):
            return
        process.view = view
        process.state.adopt(view, self.now(process))
        if process.member.domain == view.domain:
            process.unreleased = view.number
            if release:
                self.release(process)

    def release(self, process):
        """Complete the pending release callbacks of a process."""
        if process.unreleased:
            process.state.report_adopted(process.unreleased, self.now(process))
            process.unreleased = 0

    def check_expiry(self, process):
        """Release the roles of a process if its lease has expired, as the service does."""
        if process.state.take_expiry(self.now(process)):
            process.state.report_adopted(process.state.view_number, self.now(process))

    def regular_heartbeats(self, process):
        """Return the regular heartbeats of a process."""
        view = process.view
        if view is None or process.member.vm == OUTSIDE:
            return []
        stamp = process.state.next_stamp(self.now(process))
        targets = [voter.vm for voter in lease.voters(view) if voter.vm != process.member.vm]
        return [self.message(process, vm, stamp) for vm in targets]

    def message(self, process, vm, stamp):
        """Return a heartbeat from a process to a VM."""
        receiver = self.processes[vm].member
        echo = process.state.echo(lease.identity_of(receiver))
        roles = process.state.roles
        reported = process.state.witness.view_number("west") if process.member.vm == OUTSIDE else roles.reported
        return (
            vm,
            process.member,
            process.state.view_number,
            reported,
            stamp,
            echo,
            None if vm in self.without_view else process.view,
        )

    def deliver(self, message):
        """Deliver a heartbeat, unless the connection is cut or the receiver is paused."""
        vm, sender, number, reported, stamp, echo, view = message
        process = self.processes[vm]
        if process.paused or not self.connected(sender.vm, vm):
            return
        now = self.now(process)
        self.adopt(process, view)
        identity = lease.identity_of(sender)
        process.state.receive_heartbeat(identity, sender.domain, number, stamp, echo, now)
        if sender.vm == OUTSIDE:
            process.state.receive_report(identity, reported, now)
        else:
            process.state.receive_report(identity, reported, now)
        if vm == OUTSIDE:
            self.deliver(self.message(process, sender.vm, process.state.next_stamp(now)))

    def run_round(self, seconds):
        """Advance the time, then let all running processes exchange heartbeats."""
        self.time += seconds
        for process in self.running():
            self.check_expiry(process)
            for message in self.regular_heartbeats(process):
                self.deliver(message)

    def committed(self, process):
        """Return whether a process knows that a quorum has adopted its view."""
        view = process.view
        adopted = process.state.roles.adopted_by(view.number) | process.removal.promised_by(view.number)
        return lease.is_committed(view, adopted)

    def write(self, process, view, outcome):
        """Make a conditional update with a given outcome: stored, lost answer, late or refused."""
        if outcome == "refused":
            return
        if outcome == "late":
            self.writes.append(view)
            return
        stored = self.execute(view)
        if stored is not None and outcome == "stored":
            self.adopt(process, stored)

    def execute(self, view):
        """Execute a conditional update in the store; return the stored view, or None on a conflict."""
        version = 0 if self.stored is None else self.stored.version
        if view.version != version:
            return None
        self.stored = dataclasses.replace(view, version=version + 1)
        return self.stored

    def join(self, process, outcome):
        """Let a VM join through a reachable member, or as the first member."""
        view = self.stored
        if process.left or (process.view is not None and process.state.roles.is_member):
            return
        if view is None or not view.members:
            self.write(process, views.initial("west", process.member, view), outcome)
            return
        for member in view.members:
            helper = self.processes[member.vm]
            if helper.member == member and not helper.paused and self.connected(process.member.vm, member.vm):
                self.add(helper, process.member, outcome)
                return

    def add(self, helper, member, outcome):
        """Let a member add a VM to the view; the VM's request may be late or repeated."""
        view = helper.view
        if view is None or not helper.state.roles.is_member or not self.committed(helper):
            return
        if view.member(member.vm) is None:
            self.write(helper, views.with_member(view, member), outcome)

    def suspend(self, process, targets):
        """Let a process collect promises to suspend members of its view."""
        view = process.view
        if view is None:
            return
        holders = [lease.identity_of(member) for member in view.members if member.vm in targets]
        process.removal.begin(view, holders)
        for voter in lease.voters(view):
            witness = self.processes[voter.vm]
            if witness.paused or not self.connected(voter.vm, process.member.vm):
                continue
            self.adopt(witness, view)
            promises = witness.state.promise("west", view.number, holders, self.now(witness))
            for holder, promise in zip(holders, promises, strict=True):
                if promise is not None:
                    process.removal.add_promise(holder, voter.vm, promise, self.now(process))

    def remove(self, process, outcome):
        """Let a process remove a member for which it has the necessary promises."""
        view = process.view
        if view is None or process.removal.view_number != view.number:
            return
        removable = process.removal.removable(self.now(process))
        if removable:
            self.write(process, views.without_member(view, removable[0]), outcome)

    def leave(self, process, outcome):
        """Let a member release its roles and remove itself from the view."""
        process.state.leave()
        process.left = True
        if process.state.roles.is_member and self.committed(process):
            self.write(process, views.without_member(process.view, lease.identity_of(process.member)), outcome)

    def change_witness(self, process, outcome):
        """Let a member add or drop the extra witness if the view requires it."""
        if process.view is None or not process.state.roles.is_member or not self.committed(process):
            return
        adjusted = views.adjust_witness(process.view, [self.processes[OUTSIDE].member], set())
        if adjusted is not None:
            self.write(process, adjusted, outcome)

    def check(self):
        """Fail if two processes own the same role, or if the shares of an instance's connections exceed 1."""
        processes = [process for process in self.processes.values() if process.member.vm != OUTSIDE]
        for role in ROLES:
            owners = [process.member.vm for process in processes if process.state.owns(role, self.now(process))]
            assert len(owners) <= 1, f"{owners} all own {role}"
            share = sum(process.state.share(role, self.now(process)) for process in processes)
            assert share <= 1.0, f"the shares of {role} add up to {share}"


def start(rates=(1.0,) * 6, names=NAMES):
    """Return a simulation in which the named VMs are members with all roles active."""
    simulation = Simulation(rates)
    for name in names:
        simulation.join(simulation.processes[name], "stored")
        simulation.run_round(0.1)
        simulation.run_round(0.1)
    return simulation
