"""Tests of the stand-in load balancer."""

import asyncio

import aiohttp
import pytest
from aiohttp import web

from tests.standins import processes


async def start_vm(name, health_by_vm):
    """Start a fake VM whose health check passes if ``health_by_vm[name]`` is true; return the runner and its port."""

    async def health(_):
        return web.Response(status=200 if health_by_vm[name] else 503)

    async def who(_):
        return web.Response(text=name)

    app = web.Application()
    app.add_routes([web.get("/health", health), web.get("/who", who)])
    runner = web.AppRunner(app, shutdown_timeout=0.1)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", 0).start()
    return runner, runner.addresses[0][1]


async def responding_vms(port, count):
    """Open new connections and return the VMs that responded, with None for a failed connection."""
    answers = set()
    async with aiohttp.ClientSession(connector=aiohttp.TCPConnector(force_close=True)) as session:
        for _ in range(count):
            try:
                async with session.get(f"http://127.0.0.1:{port}/who") as answer:
                    answers.add(await answer.text())
            except aiohttp.ClientError:
                answers.add(None)
    return answers


@pytest.mark.processes
async def test_new_connections_go_to_healthy_vms_only():
    """Guards against new connections to unhealthy VMs, and against healthy VMs that get none."""
    health_by_vm = {"v1": True, "v2": True}
    vms = {name: await start_vm(name, health_by_vm) for name in health_by_vm}
    targets = [f"--target={name}=127.0.0.1:{port}" for name, (_, port) in vms.items()]
    async with processes.start("balancer", *targets) as port:
        for healthy in ({"v1", "v2"}, {"v2"}, {"v1", "v2"}, {"v1"}):
            health_by_vm.update({name: name in healthy for name in health_by_vm})
            await asyncio.sleep(1.2)
            assert await responding_vms(port, 4) == healthy
        await vms["v1"][0].cleanup()
        await asyncio.sleep(1.2)
        assert await responding_vms(port, 2) == {None}
    for runner, _ in vms.values():
        await runner.cleanup()
