"""Faults of the soak test around promotions: planned changes, crashes, cuts, late orders, and faults of the daemons."""

import asyncio
import random
import signal
from collections.abc import Collection
from typing import TYPE_CHECKING

from tests.standins import loopback_proxy, object_store
from tools import soak_faults

if TYPE_CHECKING:
    from tools import soak_promotions

MIN_REPLICAS = 2
"""Replicas that run, can be reached and do not drain beside one that is released."""
MAX_ORDER_DELAY_S = 4.0
"""Longest time after which a promotion call without an answer is carried out."""
STEP_TIMEOUT_S = 6.0
"""Time for which a fault waits for a step of a promotion."""
READY_TIMEOUT_S = 20.0
"""Longest time for a daemon to become ready after a restart."""

register = soak_faults.register
PROMOTION_FAULTS, PROMOTION_CAUSES = soak_faults.PROMOTION_FAULTS, soak_faults.PROMOTION_CAUSES


def _some(rng: random.Random, items: Collection[str], least: int = 1, most: int | None = None) -> list[str]:
    """Return random items in random order, at least ``least`` and at most ``most`` of them if there are so many."""
    most = len(items) if most is None else min(most, len(items))
    return rng.sample(sorted(items), rng.randint(min(least, most), most))


# Planned changes of the instances.


@register("release_replicas", PROMOTION_FAULTS)
async def release_replicas(soak: "soak_promotions.PromotionSoak") -> None:
    """Let one or two replicas drain and leave; new ones join before, meanwhile or after."""
    await asyncio.gather(*(_release(soak, name) for name in _some(soak.random, soak.replicas(), most=2)))


@register("release_primary", PROMOTION_FAULTS, PROMOTION_CAUSES)
async def release_primary(soak: "soak_promotions.PromotionSoak") -> None:
    """Let the primary drain and leave, whether or not another instance has been promoted."""
    await _release(soak, soak.service.primary)


async def _release(soak: "soak_promotions.PromotionSoak", name: str) -> None:
    join_s, drain_s = soak.random.uniform(0.0, 6.0) if soak.random.random() < 0.4 else 0.0, soak.random.uniform(0, 1.5)
    joining = asyncio.create_task(_join_after(soak, join_s))
    await asyncio.sleep(drain_s)
    others = [item for item in soak.replicas() if item != name]
    if name in soak.service.instances and name not in soak.changing and len(others) >= MIN_REPLICAS:
        await soak.drain_and_leave(name)
    await joining


async def _join_after(soak: "soak_promotions.PromotionSoak", delay_s: float) -> None:
    await asyncio.sleep(delay_s)
    await soak.join()


@register("restart_replica", PROMOTION_FAULTS)
async def restart_replica(soak: "soak_promotions.PromotionSoak") -> None:
    """Restart a replica with its log, or under its identity with a new copy; a pause ends with that."""
    replicas = soak.replicas()
    if not replicas:
        return
    name = soak.random.choice(replicas)
    if soak.random.random() < 0.3 and len(replicas) > MIN_REPLICAS:
        await soak.restart_empty(name)
    else:
        await soak.crash(name, soak.random.uniform(0.05, 2.0))


@register("restart_paused_replica", PROMOTION_FAULTS)
async def restart_paused_replica(soak: "soak_promotions.PromotionSoak") -> None:
    """Restart a replica, so that it receives again, shortly after a promotion has paused the replicas."""
    if await soak.wait_for_step(["PAUSE"], STEP_TIMEOUT_S) is None:
        return
    await asyncio.sleep(soak.random.uniform(0.0, 0.6))
    paused = [name for name, instance in soak.service.instances.items() if instance.paused_term and instance.is_running]
    if paused:
        await soak.crash(soak.random.choice(paused), soak.random.uniform(0.02, 0.3))


# Crashes and cuts of the instances.


@register("crash_primary", PROMOTION_FAULTS, PROMOTION_CAUSES)
async def crash_primary(soak: "soak_promotions.PromotionSoak") -> None:
    """Stop the primary; it comes back with its log."""
    if soak.can_copy():
        await soak.crash(soak.service.primary, soak.random.uniform(0.5, 8.0))


@register("darken_primary", PROMOTION_FAULTS, PROMOTION_CAUSES)
async def darken_primary(soak: "soak_promotions.PromotionSoak") -> None:
    """Cut the primary off from everything."""
    if soak.can_copy():
        await soak.darken(soak.service.primary, soak.random.uniform(0.5, 8.0))


@register("darken_replica", PROMOTION_FAULTS)
async def darken_replica(soak: "soak_promotions.PromotionSoak") -> None:
    """Cut a replica off from everything."""
    if replicas := soak.replicas():
        await soak.darken(soak.random.choice(replicas), soak.random.uniform(0.5, 5.0))


@register("isolate_primary", PROMOTION_FAULTS, PROMOTION_CAUSES)
async def isolate_primary(soak: "soak_promotions.PromotionSoak") -> None:
    """Cut the primary off from some or all replicas; it acknowledges what one of the others has received."""
    replicas = [name for name in soak.service.instances if name != soak.service.primary]
    await _cut_replication(soak, _some(soak.random, replicas), soak.random.uniform(0.5, 6.0))


@register("interrupt_replication", PROMOTION_FAULTS)
async def interrupt_replication(soak: "soak_promotions.PromotionSoak") -> None:
    """Interrupt the replication to random replicas many times for short times, so that their positions differ."""
    for _ in range(soak.random.randint(4, 12)):
        replicas = [name for name in soak.service.instances if name != soak.service.primary]
        await _cut_replication(
            soak, _some(soak.random, replicas, most=len(replicas) - 1), soak.random.uniform(0.1, 0.8)
        )


async def _cut_replication(soak: "soak_promotions.PromotionSoak", replicas: Collection[str], cut_s: float) -> None:
    primary = soak.service.primary
    if not primary:
        return
    links = {frozenset((primary, name)) for name in replicas} - soak.service.cut_links
    with soak.logged(f"{primary} is cut off from {sorted(replicas)} for {cut_s:.1f} s"):
        soak.service.cut_links |= links
        await asyncio.sleep(cut_s)
        soak.service.cut_links -= links


@register("cut_primary_from_vms", PROMOTION_FAULTS, PROMOTION_CAUSES)
async def cut_primary_from_vms(soak: "soak_promotions.PromotionSoak") -> None:
    """Cut the primary off from some or all VMs, in one or both directions, or delay what passes."""
    await _cut_from_vms(soak, soak.service.primary, _some(soak.random, [vm.name for vm in soak.vms]))


@register("cut_replica_from_vms", PROMOTION_FAULTS)
async def cut_replica_from_vms(soak: "soak_promotions.PromotionSoak") -> None:
    """Cut a replica off from some or all VMs, in one or both directions, or delay what passes."""
    if replicas := soak.replicas():
        await _cut_from_vms(soak, soak.random.choice(replicas), _some(soak.random, [vm.name for vm in soak.vms]))


async def _cut_from_vms(
    soak: "soak_promotions.PromotionSoak", instance_id: str, vms: Collection[str], cut_s: float | None = None
) -> None:
    if instance_id not in soak.service.instances:
        return
    cut_s = cut_s or soak.random.uniform(0.5, 6.0)
    dropped, none = loopback_proxy.Fault(dropped=True), loopback_proxy.Fault()
    delayed = loopback_proxy.Fault(delay_s=soak.random.uniform(0.05, 0.8))
    kinds = {"both": (dropped, dropped), "to": (dropped, none), "from": (none, dropped), "delay": (delayed, delayed)}
    kind = soak.random.choice(["both", "both", "to", "from", "delay"])
    proxies = soak.proxies_of(instance_id, vms)
    with soak.logged(f"{instance_id} is cut off from {sorted(vms)} ({kind}) for {cut_s:.1f} s; {soak.describe()}"):
        for proxy in proxies:
            proxy.to_target, proxy.from_target = kinds[kind]
        await asyncio.sleep(cut_s)
        for proxy in proxies:
            proxy.clear_faults()


# Orders that are carried out late.


@register("delay_orders", PROMOTION_FAULTS)
async def delay_orders(soak: "soak_promotions.PromotionSoak") -> None:
    """Let promotion calls of some or all VMs get no answer and be carried out late."""
    vms = _some(soak.random, [vm.name for vm in soak.vms])
    await _delay_orders(soak, vms, soak.random.choice([0.3, 0.6, 1.0]), soak.random.uniform(2.0, 8.0))


async def _delay_orders(
    soak: "soak_promotions.PromotionSoak", vms: Collection[str], share: float, duration_s: float
) -> None:
    last_s = [0.0]  # Monotonic times at which the late calls are carried out.
    loop = asyncio.get_running_loop()

    def delay(vm: str) -> object_store.Late | None:
        if vm not in vms or soak.random.random() >= share:
            return None
        delay_s = soak.random.uniform(0.5, MAX_ORDER_DELAY_S)
        last_s.append(loop.time() + delay_s)
        return object_store.Late(delay_s)

    with soak.logged(f"{share:.0%} of the promotion calls of {sorted(vms)} are late for {duration_s:.1f} s"):
        soak.order_faults.append(delay)
        await asyncio.sleep(duration_s)
        soak.order_faults.remove(delay)
        await asyncio.sleep(max(0.0, max(last_s) - loop.time()))


# Faults of the store and between the VMs.


@register("refuse_store_to_vms", PROMOTION_FAULTS)
async def refuse_store_to_vms(soak: "soak_promotions.PromotionSoak") -> None:
    """Make the store refuse the calls of some or all VMs, answer them not at all, or lose the answers."""
    vms = _some(soak.random, [vm.name for vm in soak.vms])
    kind = soak.random.choice([429, 503, "reset", "lost", "silent"])

    def refuse(vm: str, method: str, path: str) -> int | str | None:
        return kind if vm in vms else None

    with soak.logged(f"the store's fault for {sorted(vms)}: {kind}"):
        soak.store_faults.append(refuse)
        await asyncio.sleep(soak.random.uniform(0.5, 6.0))
        soak.store_faults.remove(refuse)
        if kind == "silent":
            for vm in vms:
                soak.proxies[f"store of {vm}"].reset()


@register("cut_vms_from_each_other", PROMOTION_FAULTS)
async def cut_vms_from_each_other(soak: "soak_promotions.PromotionSoak") -> None:
    """Cut some VMs off from the calls of the others."""
    vms = _some(soak.random, [vm.name for vm in soak.vms])
    dropped = loopback_proxy.Fault(dropped=True)
    with soak.logged(f"calls of other VMs do not reach {sorted(vms)}"):
        for vm in vms:
            soak.proxies[f"peers of {vm}"].to_target = soak.proxies[f"peers of {vm}"].from_target = dropped
        await asyncio.sleep(soak.random.uniform(0.5, 5.0))
        for vm in vms:
            soak.proxies[f"peers of {vm}"].clear_faults()


# Faults of the daemons.


@register("strike_vms", PROMOTION_FAULTS)
async def strike_vms(soak: "soak_promotions.PromotionSoak") -> None:
    """Kill, shut down or suspend some VMs."""
    vms = _some(soak.random, [vm.name for vm in soak.vms], most=max(1, len(soak.vms) // 2))
    await asyncio.gather(*(_strike(soak, vm, soak.random.choice(["kill", "stop", "suspend"])) for vm in vms))


@register("strike_promoter", PROMOTION_FAULTS)
async def strike_promoter(soak: "soak_promotions.PromotionSoak") -> None:
    """Kill, shut down or suspend the VM that promotes, at a random step of the promotion."""
    step = soak.random.choice(["PAUSE", "DEMOTE", "CALL"])
    vm = await soak.wait_for_step([step], STEP_TIMEOUT_S)
    if vm is not None:
        await asyncio.sleep(soak.random.choice([0.0, soak.random.uniform(0.0, 0.4)]))
        await _strike(soak, vm, soak.random.choice(["kill", "stop", "suspend", "suspend"]))


async def _strike(soak: "soak_promotions.PromotionSoak", name: str, kind: str) -> None:
    vm = next(item for item in soak.vms if item.name == name)
    with soak.logged(f"{kind} of {name}"):
        vm.signal({"kill": signal.SIGKILL, "stop": signal.SIGTERM, "suspend": signal.SIGSTOP}[kind])
        if kind == "suspend":
            await asyncio.sleep(soak.random.uniform(0.3, 6.0))
            vm.signal(signal.SIGCONT)
        else:
            await asyncio.sleep(1.0)
        async with asyncio.timeout(READY_TIMEOUT_S):
            await vm.wait_until_ready()


# Series in which commits were lost.


@register("leave_beside_isolated_primary", PROMOTION_FAULTS, PROMOTION_CAUSES)
async def leave_beside_isolated_primary(soak: "soak_promotions.PromotionSoak") -> None:
    """Cut the primary off from all replicas but those that drain, until these have left with its commits."""
    leaving = _some(soak.random, soak.replicas(), most=max(1, len(soak.replicas()) // 2))
    releases = [asyncio.create_task(_release(soak, name)) for name in leaving]
    await asyncio.sleep(soak.random.uniform(1.5, 4.5))
    others = [name for name in soak.service.instances if name not in (*leaving, soak.service.primary)]
    if others:
        await _cut_replication(soak, others, soak.random.uniform(4.0, 8.0))
    await asyncio.gather(*releases)


@register("join_beside_unreachable_primary", PROMOTION_FAULTS, PROMOTION_CAUSES)
async def join_beside_unreachable_primary(soak: "soak_promotions.PromotionSoak") -> None:
    """Let replicas join while some VMs cannot reach the primary and may promote."""
    vms = _some(soak.random, [vm.name for vm in soak.vms], most=max(1, len(soak.vms) - 1))
    cutting = asyncio.create_task(_cut_from_vms(soak, soak.service.primary, vms, soak.random.uniform(3.0, 6.0)))
    if await soak.wait_for_step(["PAUSE"], STEP_TIMEOUT_S) is not None:
        await _join_after(soak, soak.random.uniform(0.05, 1.0))
    await cutting


@register("replace_primary_beside_late_orders", PROMOTION_FAULTS, PROMOTION_CAUSES)
async def replace_primary_beside_late_orders(soak: "soak_promotions.PromotionSoak") -> None:
    """Release the primary while promotion calls are late, and let the next primary fail."""
    vms = [vm.name for vm in soak.vms]
    delaying = asyncio.create_task(_delay_orders(soak, vms, soak.random.choice([0.5, 0.8]), 10.0))
    releasing = asyncio.create_task(release_primary(soak))
    await asyncio.sleep(soak.random.uniform(5.0, 9.0))
    await soak.random.choice([crash_primary, darken_primary, isolate_primary])(soak)
    await asyncio.gather(delaying, releasing)
