"""Tests of promotions by real daemon processes whose orders act late or that are killed between their steps."""

import asyncio
import signal

import pytest

from tests import promotion_bed, session_bed
from tools import daemon_processes

pytestmark = [pytest.mark.processes, pytest.mark.xdist_group("processes-2"), pytest.mark.timeout(90)]


class ProcessBed(session_bed.Bed):
    """Test bed whose daemons are processes."""

    def __init__(self, directory, **options):
        super().__init__(**options)
        self._directory = directory
        self.processes = {}

    async def __aexit__(self, *failure):
        for process in list(self.processes.values()):
            await self.stop_daemon(process)
        await super().__aexit__(*failure)

    async def add_daemon(self, vm, domain, *, store_port=0):
        """Start a daemon and wait until it is ready."""
        process = self.processes[vm] = daemon_processes.DaemonProcess(
            vm, domain, store_port or self.store.port, self._directory
        )
        process.start()
        async with asyncio.timeout(20.0):
            await process.wait_until_ready()
        return process

    async def stop_daemon(self, stopped):
        """Kill a daemon for good."""
        self.processes.pop(stopped.name)
        await stopped.stop()

    async def connect(self, at=None):
        """Connect without opening a session, to the first daemon unless another is given."""
        caller = session_bed.Caller(*await asyncio.open_connection("127.0.0.1", (at or self.daemon).port))
        self._callers.append(caller)
        return caller


@pytest.fixture
async def bed(tmp_path):
    """Provide two daemons and a service with four instances, whose promotions take effect after 0.3 s."""
    async with ProcessBed(tmp_path, instances=["i-1", "i-2", "i-3", "i-4"], promote_s=0.3) as started:
        await started.add_daemon("vm-2", "z2")
        await session_bed.wait_until(lambda: len(started.store.objects.get("members", {})) == 2)
        yield started


async def test_replicas_stay_paused_after_two_orders_for_one_successor(bed):
    """Guards against replicas that stay paused for a higher term than the new primary's, and are promoted later."""
    await promotion_bed.replace_twice_with_late_orders(bed)


async def test_promoting_vm_killed_after_the_demotion_leaves_no_primary(bed):
    """Guards against a service without a primary when its VM is killed before the call and the drain is taken back."""
    killed = []

    def kill_holder(instance, command, term):
        if command == "DEMOTE" and not killed:
            holder = bed.processes[bed.store.objects["duties"]["svc1"]["spec"]["holder"]]
            holder.signal(signal.SIGKILL)
            killed.append(asyncio.create_task(bed.stop_daemon(holder)))

    bed.service.on_command = kill_holder
    async with promotion_bed.write(bed):
        bed.register_instance("i-1", state="draining")
        await session_bed.wait_until(lambda: killed, 5.0)
        await killed[0]
        bed.register_instance("i-1")
    (survivor,) = bed.processes.values()
    async with promotion_bed.write(bed, survivor, timeout_s=promotion_bed.WRITABLE_WITHIN_S) as writer:
        await promotion_bed.check_nothing_is_lost(bed, writer)
