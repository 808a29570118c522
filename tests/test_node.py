"""Tests of the node that runs operator commands: numbers of all domains, pending VMs, lost answers and conflicts."""

import asyncio
import io
import types

import pytest
import rich.console

from currantlead import errors
from currantlead.admission import token_bucket
from currantlead.control import directory, model, records, store
from currantlead.operators import console, node
from tests import rates
from tests.standins import memory

DOMAINS = {"north": ("n1", "n2"), "south": ("s1", "s2"), "west": ("w1",)}


class Cluster:
    """One node per VM on a shared platform; VMs that are not cut off fetch the configuration every 0.4 s."""

    def __init__(self):
        self.platform, self.network = memory.MemoryPlatform(), memory.Network()
        self.views = [model.View(d, 1, tuple(model.Member(vm, d, 1, "") for vm in vms)) for d, vms in DOMAINS.items()]
        now = asyncio.get_running_loop().time
        self.directories, self.nodes, self.silent = {}, {}, set()
        for domain, vms in DOMAINS.items():
            for vm in vms:
                vm_directory = self.directories[vm] = directory.Directory(now)
                vm_directory.apply(records.to_object(view) for view in self.views)
                peers = self.network.join(vm, domain)
                peers.request = self._slow(peers)
                admission = types.SimpleNamespace(
                    owned_buckets=lambda: [("farm", 2.5 * token_bucket.TOKEN, token_bucket.TOKEN)]
                )
                components = (
                    vm_directory,
                    self._members(vm, domain),
                    admission,
                    None,
                    peers,
                    store.ConfigurationStore(self.platform, now),
                )
                self.nodes[vm] = node.Node(node.Components(*components, clock=rates.LoopTimers()))

    def _slow(self, peers):
        request = peers.request

        async def send(vm, kind, body, *, timeout_s):
            if vm in self.silent:
                await asyncio.sleep(timeout_s)
                raise errors.PeerAnswerLostError(vm)
            return await request(vm, kind, body, timeout_s=timeout_s)

        return send

    def _members(self, vm, domain):
        def heartbeat_values(other):
            number = self.directories[other].configuration.number
            return {"state": {"configuration": number, "age_s": None, "sums": {}}, "shares": 1}

        view = next(view for view in self.views if view.domain == domain)
        return types.SimpleNamespace(
            view=view,
            heartbeat_values=heartbeat_values,
            alive=lambda vm: True,
            lease_valid=lambda: True,
            lease_remaining_s=lambda: 3.0,
        )

    async def distribute_periodically(self):
        """Apply the stored configuration every 0.4 s on all VMs that are not cut off."""
        while True:
            await asyncio.sleep(0.4)
            objects = [item for kind in ("parts", "configuration") for item in self._stored(kind)]
            for vm, vm_directory in self.directories.items():
                if vm not in self.network.unreachable_vms | self.silent:
                    vm_directory.apply(objects)

    def _stored(self, kind):
        return list(self.platform.objects.get(kind, {}).values())


def run(scenario):
    """Run a scenario while the VMs periodically fetch the configuration."""

    async def run_scenario():
        cluster = Cluster()
        distribution = asyncio.ensure_future(cluster.distribute_periodically())
        try:
            await scenario(cluster)
        finally:
            distribution.cancel()

    rates.run(run_scenario())


def vms(entries):
    """Return the sorted VM names of report entries."""
    return sorted(entry["vm"] for entry in entries)


@pytest.mark.parametrize("fault", ["unreachable_vms", "silent"])
def test_unreachable_domain_is_pending_and_others_are_in_force(fault):
    """Guards against an unreachable domain that is not reported, or that makes other domains appear pending."""

    async def scenario(cluster):
        report = await cluster.nodes["n1"].command("add domain north region r")
        assert (len(report["in_force"]), report["pending"]) == (5, [])
        getattr(cluster.network if fault == "unreachable_vms" else cluster, fault).update(DOMAINS["south"])
        report = await cluster.nodes["n1"].command("add domain south region r")
        assert vms(report["in_force"]) == ["n1", "n2", "w1"]
        assert report["pending"] == [{"vm": vm, "domain": "south"} for vm in DOMAINS["south"]]

    run(scenario)


def test_any_vm_of_domain_reports_numbers_and_departed_vms_are_removed():
    """Guards against a domain that seems unreachable with its first VM, and against departed VMs that stay pending."""

    async def scenario(cluster):
        await cluster.nodes["n1"].command("add domain north region r")
        cluster.network.unreachable_vms.add("s1")
        report = await cluster.nodes["n1"].command("add domain south region r")
        assert vms(report["in_force"]) == ["n1", "n2", "s2", "w1"] and vms(report["pending"]) == ["s1"]
        view_without_s1 = model.View("south", 2, (model.Member("s2", "south", 1, ""),), version=2)
        for vm_directory in cluster.directories.values():
            vm_directory.apply([records.to_object(view_without_s1)])
        cluster.nodes["s2"]._components.members.view = view_without_s1
        report = await cluster.nodes["n1"].command("add domain west region r")
        assert report["pending"] == []

    run(scenario)


@pytest.mark.parametrize(
    ("faults", "down", "text"),
    [([None] * 6 + ["lost"], False, None), ([], True, "nothing was changed")],
)
def test_lost_answer_is_not_reported_as_refusal(faults, down, text):
    """Guards against a stored change or a platform outage that is reported as a refusal."""

    async def scenario(cluster):
        cluster.platform.faults.extend(faults)
        await cluster.platform.set_down(down)
        if text is None:
            assert (await cluster.nodes["n1"].command("add domain north region r"))["number"] == 1
        else:
            with pytest.raises(errors.PlatformUnavailableError, match=text):
                await cluster.nodes["n1"].command("add domain north region r")

    run(scenario)


def test_change_with_unknown_outcome_may_be_stored():
    """Guards against reporting "nothing was changed" if the answer to a write is lost before the platform goes down."""

    async def scenario(cluster):
        write = cluster.platform.write

        async def last_write(kind, name, value, *, if_version):
            version = await write(kind, name, value, if_version=if_version)
            if kind == "configuration":
                cluster.platform.down = True
                raise errors.PlatformUnavailableError("answer lost")
            return version

        cluster.platform.write = last_write
        with pytest.raises(errors.PlatformUnavailableError, match="may be stored"):
            await cluster.nodes["n1"].command("add domain north region r")

    run(scenario)


def test_concurrent_changes_conflict():
    """Guards against lost updates: a change that no longer applies gets a conflict that states the current number."""

    async def scenario(cluster):
        texts = ("add domain a region r", "add domain a region other", "add domain b region r")
        vm_names = ("n1", "s1", "w1")
        outcomes = await asyncio.gather(
            *(cluster.nodes[vm].command(text) for vm, text in zip(vm_names, texts, strict=True)), return_exceptions=True
        )
        accepted = [item["number"] for item in outcomes if isinstance(item, dict)]
        conflicts = [item for item in outcomes if isinstance(item, errors.VersionConflictError)]
        assert sorted(accepted) == [1, 2] and len(conflicts) == 1
        assert "the current number is" in str(conflicts[0]) and "already exists" in str(conflicts[0])

    run(scenario)


@pytest.mark.parametrize(("accepted", "word"), [(False, "refused"), (None, "failed")])
def test_console_prints_refused_only_for_refusals(accepted, word):
    """Guards against operators who repeat a stored change because the console printed "refused"."""
    recording_console = rich.console.Console(record=True, width=200, file=io.StringIO())
    assert (
        console.print_response({"accepted": accepted, "error": "some text"}, recording_console) == console.EXIT_REFUSED
    )
    assert recording_console.export_text() == f"{word}: some text\n"


def test_show_leases_and_rates():
    """Guards against misleading values: no remaining time for the leases of other VMs, and levels in requests."""

    async def scenario(cluster):
        report = await cluster.nodes["n1"].command("show leases")
        assert report["rows"] == [["n1", "north", True, 3.0], ["n2", "north", True, 0.0]]
        report = await cluster.nodes["n1"].command("show rates")
        assert report["rows"] == [["farm", "north", "n1", 2.5, 1.0]]

    run(scenario)
