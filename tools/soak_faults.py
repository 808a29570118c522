"""Faults of the soak test of the session daemons, in a registry; each runs until its effects are undone."""

import asyncio
import signal
import time
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING

from tests.standins import loopback_proxy

if TYPE_CHECKING:
    from tools import soak_run

LOST_REVISIONS = 100
"""Revisions that a restored store gives out again beside those of the changes that are written again."""

FaultFunction = Callable[["soak_run.Soak"], Awaitable[None]]

SINGLE_FAULTS: dict[str, FaultFunction] = {}
"""Faults of one daemon, connection, instance, or of the store, by name."""
FLEET_FAULTS: dict[str, FaultFunction] = {}
"""``SINGLE_FAULTS`` and those of the whole fleet."""
STORE_FAULTS: dict[str, FaultFunction] = {}
"""Faults of the store's state beside planned changes. None of them keeps a daemon from the store for long, so that each
change must be in force within its bound."""
REST_FAULTS: dict[str, FaultFunction] = {}
"""Faults beside sessions that rest inside transactions; most end daemons, which are back before the rest is over."""
PROMOTION_FAULTS: dict[str, FaultFunction] = {}
"""Faults around promotions, beside planned changes of the instances; ``soak_promotion_faults`` has most of them."""
PROMOTION_CAUSES: dict[str, FaultFunction] = {}
"""Those of ``PROMOTION_FAULTS`` that let a VM promote."""
FAULTS: dict[str, FaultFunction] = {}
"""All faults by name."""


def register(name: str, *registries: dict[str, FaultFunction]) -> Callable[[FaultFunction], FaultFunction]:
    """Return a decorator that registers a fault.

    Args:
        name: Name in the output.
        registries: The sets that a run may draw it from; those of one daemon, connection or instance by default.
    """

    def add(function: FaultFunction) -> FaultFunction:
        for registry in registries or (SINGLE_FAULTS, FLEET_FAULTS):
            registry[name] = function
        FAULTS[name] = function
        return function

    return add


async def _apply_fault(
    soak: "soak_run.Soak", to_target: loopback_proxy.Fault, from_target: loopback_proxy.Fault
) -> None:
    proxy = soak.random.choice(list(soak.proxies.values()))
    proxy.to_target, proxy.from_target = to_target, from_target
    await asyncio.sleep(soak.random.uniform(0.5, 4.0))
    proxy.clear_faults()


@register("delay")
async def delay(soak: "soak_run.Soak") -> None:
    """Delay the data in both directions through one proxy."""
    fault = loopback_proxy.Fault(delay_s=soak.random.uniform(0.05, 0.6))
    await _apply_fault(soak, fault, fault)


@register("cut_one_way")
async def cut_one_way(soak: "soak_run.Soak") -> None:
    """Drop the data in one direction through one proxy."""
    dropped, none = loopback_proxy.Fault(dropped=True), loopback_proxy.Fault()
    await _apply_fault(soak, *((dropped, none) if soak.random.random() < 0.5 else (none, dropped)))


@register("silence_connections")
async def silence_connections(soak: "soak_run.Soak") -> None:
    """Drop the data in both directions through one proxy."""
    dropped = loopback_proxy.Fault(dropped=True)
    await _apply_fault(soak, dropped, dropped)


@register("reset", SINGLE_FAULTS, FLEET_FAULTS, REST_FAULTS, PROMOTION_FAULTS)
async def reset(soak: "soak_run.Soak") -> None:
    """Reset the connections through one proxy."""
    soak.random.choice(list(soak.proxies.values())).reset()


@register("kill", SINGLE_FAULTS, FLEET_FAULTS, STORE_FAULTS, REST_FAULTS)
async def kill(soak: "soak_run.Soak") -> None:
    """Kill a daemon."""
    soak.random.choice(soak.vms).signal(signal.SIGKILL)


@register("stop", SINGLE_FAULTS, FLEET_FAULTS, STORE_FAULTS, REST_FAULTS)
async def stop(soak: "soak_run.Soak") -> None:
    """Shut a daemon down gracefully."""
    soak.random.choice(soak.vms).signal(signal.SIGTERM)


@register("pause")
async def pause(soak: "soak_run.Soak") -> None:
    """Suspend a daemon temporarily."""
    vm = soak.random.choice(soak.vms)
    vm.signal(signal.SIGSTOP)
    await asyncio.sleep(soak.random.uniform(0.2, 2.0))
    vm.signal(signal.SIGCONT)


@register("silence")
async def silence(soak: "soak_run.Soak") -> None:
    """Make the primary temporarily unresponsive; during a promotion there is none."""
    if not soak.service.primary:
        return
    instance = soak.service.instances[soak.service.primary]
    instance.unresponsive = True
    await asyncio.sleep(soak.random.uniform(1.0, 3.0))
    instance.unresponsive = False


@register("lag", SINGLE_FAULTS, FLEET_FAULTS, STORE_FAULTS, REST_FAULTS, PROMOTION_FAULTS)
async def lag(soak: "soak_run.Soak") -> None:
    """Set random replication lags."""
    soak.service.lag_s = {name: soak.random.uniform(0.1, 3.0) for name in soak.service.instances}


@register("lose_answers", SINGLE_FAULTS, FLEET_FAULTS, STORE_FAULTS, REST_FAULTS, PROMOTION_FAULTS)
async def lose_answers(soak: "soak_run.Soak") -> None:
    """Drop the next responses of an instance."""
    soak.random.choice(list(soak.service.instances.values())).lose_answers = soak.random.randrange(1, 4)


@register("refuse_store")
async def refuse_store(soak: "soak_run.Soak") -> None:
    """Make the store temporarily refuse requests or drop responses."""
    fault = soak.random.choice([429, 503, "reset", "lost"])
    soak.store.fault = lambda method, path: fault
    await asyncio.sleep(soak.random.uniform(0.5, 8.0))
    soak.store.fault = lambda method, path: None


@register("withdraw_key", SINGLE_FAULTS, FLEET_FAULTS, STORE_FAULTS)
async def withdraw_key(soak: "soak_run.Soak") -> None:
    """Revoke the API key of the second organisation and restore it later."""
    if soak.revokes_key:
        return
    soak.configure(with_limited_key=False)
    soak.record.revocations.append((time.monotonic(), float("inf")))
    await asyncio.sleep(soak.random.uniform(6.0, 9.0))
    soak.record.revocations[-1] = soak.record.revocations[-1][0], time.monotonic()
    soak.configure(with_limited_key=True)


@register("forget_history")
async def forget_history(soak: "soak_run.Soak") -> None:
    """Drop the event history of the store."""
    soak.store.drop_history()


@register("lose_watches", STORE_FAULTS)
async def lose_watches(soak: "soak_run.Soak") -> None:
    """Evacuate a failure domain while the store drops its history and leaves the pending watches unanswered."""
    await _evacuate(soak, missed=True)


@register("evacuate", STORE_FAULTS)
async def evacuate(soak: "soak_run.Soak") -> None:
    """Evacuate a failure domain for a while."""
    await _evacuate(soak, missed=False)


async def _evacuate(soak: "soak_run.Soak", *, missed: bool) -> None:
    if soak.record.evacuations and soak.record.evacuations[-1][2] == float("inf"):
        return
    domain = f"z{soak.random.randrange(1, 4)}"
    soak.store.put("evacuations", domain, {})
    soak.record.evacuations.append((domain, time.monotonic(), float("inf")))
    if missed:
        soak.store.drop_history(announced=False)
    await asyncio.sleep(soak.random.uniform(7.0, 10.0))
    soak.record.evacuations[-1] = (*soak.record.evacuations[-1][:2], time.monotonic())
    if domain in soak.store.objects["evacuations"]:
        soak.store.delete("evacuations", domain)


@register("restore_store", STORE_FAULTS)
async def restore_store(soak: "soak_run.Soak") -> None:
    """Restore the store from a copy after a short outage, and revoke a key after that.

    The operator and the instances write their last state again before the store answers.
    """
    copied = soak.store.copy()
    # Changes that nobody writes again, so that the revisions of later ones are given out a second time.
    soak.store.revision += LOST_REVISIONS
    soak.configure(with_limited_key=not soak.revokes_key)
    await asyncio.sleep(soak.random.uniform(0.2, 4.0))
    soak.store.fault = lambda method, path: "reset"
    soak.store.reset_connections()
    await asyncio.sleep(soak.random.uniform(0.1, 1.5))
    soak.store.restore(copied)
    soak.write_state_again()
    soak.store.fault = lambda method, path: None
    await asyncio.sleep(soak.random.uniform(0.0, 2.0))
    await withdraw_key(soak)


@register("drain_primary", SINGLE_FAULTS, FLEET_FAULTS, STORE_FAULTS)
async def drain_primary(soak: "soak_run.Soak") -> None:
    """Mark the primary as draining for 2 s; during a promotion there is none."""
    name = soak.service.primary
    if not name:
        return
    entry = soak.store.objects["servers"][name]["spec"]
    soak.store.put("servers", name, entry | {"state": "draining"})
    await asyncio.sleep(2.0)
    soak.register(name)


@register("kill_repeatedly", REST_FAULTS)
async def kill_repeatedly(soak: "soak_run.Soak") -> None:
    """Kill a daemon four times, 0.8 to 2 s apart."""
    vm = soak.random.choice(soak.vms)
    for _ in range(4):
        vm.signal(signal.SIGKILL)
        await asyncio.sleep(soak.random.uniform(0.8, 2.0))


@register("power_cut", FLEET_FAULTS, REST_FAULTS)
async def power_cut(soak: "soak_run.Soak") -> None:
    """Kill all daemons at once."""
    for vm in soak.vms:
        vm.signal(signal.SIGKILL)


@register("rolling_stop", FLEET_FAULTS)
async def rolling_stop(soak: "soak_run.Soak") -> None:
    """Shut all daemons down in turn."""
    for vm in soak.vms:
        vm.signal(signal.SIGTERM)
        await asyncio.sleep(soak.random.uniform(0.3, 1.0))


@register("reload", FLEET_FAULTS)
async def reload(soak: "soak_run.Soak") -> None:
    """Change a daemon's settings file, at times to an invalid one, with or without SIGHUP."""
    vm = soak.random.choice(soak.vms)
    valid, changed = "graceS = 6\n", soak.random.choice(["graceS = 5\n", "graceS = 'soon'\n", "graceS = \n"])
    vm.change_settings(valid, changed)
    if soak.random.random() < 0.5:
        vm.signal(signal.SIGHUP)
    await asyncio.sleep(soak.random.uniform(0.5, 2.0))
    vm.change_settings(changed, valid)


@register("swallow_answers", FLEET_FAULTS, PROMOTION_FAULTS)
async def swallow_answers(soak: "soak_run.Soak") -> None:
    """Make an instance run the next statements without answering them."""
    instance = soak.random.choice(list(soak.service.instances.values()))
    instance.swallow_answers = soak.random.randrange(1, 4)


@register("withdraw_key_from_isolated", FLEET_FAULTS)
async def withdraw_key_from_isolated(soak: "soak_run.Soak") -> None:
    """Revoke the key of the second organisation while a daemon cannot reach the store."""
    proxy = soak.proxies[f"store of {soak.random.choice(soak.vms).name}"]
    proxy.to_target = proxy.from_target = loopback_proxy.Fault(dropped=True)
    await withdraw_key(soak)
    proxy.clear_faults()
