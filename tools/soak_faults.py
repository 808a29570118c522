"""Faults of the soak test of the session daemons, in a registry; each runs until its effects are undone."""

import asyncio
import signal
import time
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING

from tests.standins import loopback_proxy

if TYPE_CHECKING:
    from tools import users_demo

FaultFunction = Callable[["users_demo.Soak"], Awaitable[None]]

SINGLE_FAULTS: dict[str, FaultFunction] = {}
"""Faults of one daemon, connection, instance, or of the store, by name."""
FAULTS: dict[str, FaultFunction] = {}
"""All faults by name, those of the whole fleet included."""


def register(name: str, *, fleet: bool = False) -> Callable[[FaultFunction], FaultFunction]:
    """Return a decorator that registers a fault.

    Args:
        name: Name in the output.
        fleet: Whether it strikes the whole fleet; such faults are drawn on request only.
    """

    def add(function: FaultFunction) -> FaultFunction:
        FAULTS[name] = function
        if not fleet:
            SINGLE_FAULTS[name] = function
        return function

    return add


async def _apply_fault(
    soak: "users_demo.Soak", to_target: loopback_proxy.Fault, from_target: loopback_proxy.Fault
) -> None:
    proxy = soak.random.choice(list(soak.proxies.values()))
    proxy.to_target, proxy.from_target = to_target, from_target
    await asyncio.sleep(soak.random.uniform(0.5, 4.0))
    proxy.clear_faults()


@register("delay")
async def delay(soak: "users_demo.Soak") -> None:
    """Delay the data in both directions through one proxy."""
    fault = loopback_proxy.Fault(delay_s=soak.random.uniform(0.05, 0.6))
    await _apply_fault(soak, fault, fault)


@register("cut_one_way")
async def cut_one_way(soak: "users_demo.Soak") -> None:
    """Drop the data in one direction through one proxy."""
    dropped, none = loopback_proxy.Fault(dropped=True), loopback_proxy.Fault()
    await _apply_fault(soak, *((dropped, none) if soak.random.random() < 0.5 else (none, dropped)))


@register("silence_connections")
async def silence_connections(soak: "users_demo.Soak") -> None:
    """Drop the data in both directions through one proxy."""
    dropped = loopback_proxy.Fault(dropped=True)
    await _apply_fault(soak, dropped, dropped)


@register("reset")
async def reset(soak: "users_demo.Soak") -> None:
    """Reset the connections through one proxy."""
    soak.random.choice(list(soak.proxies.values())).reset()


@register("kill")
async def kill(soak: "users_demo.Soak") -> None:
    """Kill a daemon."""
    soak.random.choice(soak.vms).signal(signal.SIGKILL)


@register("stop")
async def stop(soak: "users_demo.Soak") -> None:
    """Shut a daemon down gracefully."""
    soak.random.choice(soak.vms).signal(signal.SIGTERM)


@register("pause")
async def pause(soak: "users_demo.Soak") -> None:
    """Suspend a daemon temporarily."""
    vm = soak.random.choice(soak.vms)
    vm.signal(signal.SIGSTOP)
    await asyncio.sleep(soak.random.uniform(0.2, 2.0))
    vm.signal(signal.SIGCONT)


@register("silence")
async def silence(soak: "users_demo.Soak") -> None:
    """Make the primary temporarily unresponsive."""
    instance = soak.service.instances[soak.service.primary]
    instance.unresponsive = True
    await asyncio.sleep(soak.random.uniform(1.0, 3.0))
    instance.unresponsive = False


@register("lag")
async def lag(soak: "users_demo.Soak") -> None:
    """Set random replication lags."""
    soak.service.lag_s = {name: soak.random.uniform(0.1, 3.0) for name in soak.service.instances}


@register("lose_answers")
async def lose_answers(soak: "users_demo.Soak") -> None:
    """Drop the next responses of an instance."""
    soak.random.choice(list(soak.service.instances.values())).lose_answers = soak.random.randrange(1, 4)


@register("refuse_store")
async def refuse_store(soak: "users_demo.Soak") -> None:
    """Make the store temporarily refuse requests or drop responses."""
    fault = soak.random.choice([429, 503, "reset", "lost"])
    soak.store.fault = lambda method, path: fault
    await asyncio.sleep(soak.random.uniform(0.5, 8.0))
    soak.store.fault = lambda method, path: None


@register("withdraw_key")
async def withdraw_key(soak: "users_demo.Soak") -> None:
    """Revoke the API key of the second organisation and restore it later."""
    if soak.revocations and soak.revocations[-1][1] == float("inf"):
        return
    soak.configure(with_limited_key=False)
    soak.revocations.append((time.monotonic(), float("inf")))
    await asyncio.sleep(soak.random.uniform(6.0, 9.0))
    soak.revocations[-1] = soak.revocations[-1][0], time.monotonic()
    soak.configure(with_limited_key=True)


@register("forget_history")
async def forget_history(soak: "users_demo.Soak") -> None:
    """Drop the event history of the store."""
    soak.store.drop_history()


@register("drain_primary")
async def drain_primary(soak: "users_demo.Soak") -> None:
    """Mark the primary as draining for 2 s."""
    name = soak.service.primary
    entry = soak.store.objects["servers"][name]["spec"]
    soak.store.put("servers", name, entry | {"state": "draining"})
    await asyncio.sleep(2.0)
    soak.register(name)


@register("power_cut", fleet=True)
async def power_cut(soak: "users_demo.Soak") -> None:
    """Kill all daemons at once."""
    for vm in soak.vms:
        vm.signal(signal.SIGKILL)


@register("rolling_stop", fleet=True)
async def rolling_stop(soak: "users_demo.Soak") -> None:
    """Shut all daemons down in turn."""
    for vm in soak.vms:
        vm.signal(signal.SIGTERM)
        await asyncio.sleep(soak.random.uniform(0.3, 1.0))


@register("reload", fleet=True)
async def reload(soak: "users_demo.Soak") -> None:
    """Change a daemon's settings file, at times to an invalid one, with or without SIGHUP."""
    vm = soak.random.choice(soak.vms)
    valid, changed = "graceS = 6\n", soak.random.choice(["graceS = 5\n", "graceS = 'soon'\n", "graceS = \n"])
    vm.change_settings(valid, changed)
    if soak.random.random() < 0.5:
        vm.signal(signal.SIGHUP)
    await asyncio.sleep(soak.random.uniform(0.5, 2.0))
    vm.change_settings(changed, valid)


@register("swallow_answers", fleet=True)
async def swallow_answers(soak: "users_demo.Soak") -> None:
    """Make an instance run the next statements without answering them."""
    instance = soak.random.choice(list(soak.service.instances.values()))
    instance.swallow_answers = soak.random.randrange(1, 4)


@register("withdraw_key_from_isolated", fleet=True)
async def withdraw_key_from_isolated(soak: "users_demo.Soak") -> None:
    """Revoke the key of the second organisation while a daemon cannot reach the store."""
    proxy = soak.proxies[f"store of {soak.random.choice(soak.vms).name}"]
    proxy.to_target = proxy.from_target = loopback_proxy.Fault(dropped=True)
    await withdraw_key(soak)
    proxy.clear_faults()
