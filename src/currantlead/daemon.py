"""Compose the parts of one VM's daemon and run it until a planned stop."""

import asyncio
import json
import os
import pathlib
import signal
from typing import Any

import aiohttp
import prometheus_client

from currantlead import interfaces, logs, settings, timers
from currantlead.admission import service
from currantlead.border import server
from currantlead.connections import holder
from currantlead.control import (
    coordinator,
    directory,
    division,
    duties,
    failover,
    instances,
    members,
    model,
    platform,
    records,
    relay,
    service_state,
    store,
)
from currantlead.identity import keys
from currantlead.operators import node
from currantlead.peers import network
from currantlead.routing import dispatch, freshness, placement, proxy

_log = logs.part("daemon")

LEAVE_NOTICE_S = 1.5
"""Requests are still accepted for this long after health answers leaving: balancers poll it about every 0.5 s."""
RELEASE_POLL_S = 0.02
STATE_CHECK_S = 0.25
LOG_FLUSH_S = 0.2
COMMAND_TIMEOUT_S = 14.0
STATUS_CALLS = 64
"""Status questions to instances under way at once."""


class Daemon:
    """Own all parts of one VM; all of them run on one asyncio loop but the HTTP servers, which have own threads."""

    def __init__(self, checked: settings.Settings):
        """Create the parts; nothing is opened before ``start``.

        Args:
            checked: The settings.
        """
        self.settings = checked
        self.timers = timers.TimerService()
        self.platform = platform.HttpPlatform(checked.platform_url)
        self.directory = directory.Directory(self.timers.now)
        host, port = settings.split_address(checked.peer_listen)
        self.network = network.Network(checked.vm, checked.domain, host=host, port=port)

    @classmethod
    def from_config(cls, checked: settings.Settings) -> "Daemon":
        """Create a daemon from checked settings."""
        return cls(checked)

    async def start(self) -> None:
        """Open the sockets, join the domain's view and answer ready once a configuration is known."""
        self.timers.start()
        self.http = aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=STATUS_CALLS))
        await self.network.start()
        self._build()
        await self.relay.start()
        await self.members.start()
        self.holder.start()
        self.gate.start()
        self.coordinator.start()
        self.division_writer.start()
        self.collector.start()
        self.border.start()
        self.timers.subscribe("log lines", LOG_FLUSH_S, logs.flush)
        self.timers.subscribe("drain", STATE_CHECK_S, self._follow_state)
        self._write_addresses()

    def _build(self) -> None:
        """Create the parts that need this VM's own identity, which the peer listener decides."""
        checked = self.settings
        self.members = members.MembershipService(self.network, self.platform, self.directory, self.timers)
        self.holder = holder.Holder(
            self.directory, self.members, self.network, self.timers, on_unresponsive_primary=self._report_silent
        )
        self.members.add_release_callback(self._release)
        self.gate = service.Service(
            self.directory, self.members, self.network, self.timers, self.platform, self._shares_adopted
        )
        self.relay = relay.Relay(
            self.platform, self.directory, self.network, self.timers, placement.rank, alive=self.members.alive
        )
        self.division_writer = division.DivisionWriter(
            platform=self.platform,
            directory=self.directory,
            clock=self.timers,
            member=self.network.member,
            publish=self.relay.publish,
        )
        self._report_numbers()
        self.coordinator = coordinator.FailoverCoordinator(
            platform=self.platform,
            peers=self.network,
            directory=self.directory,
            client=instances.HttpInstanceClient(self.http),
            clock=self.timers,
            rank=placement.rank,
            on_group=self._learn_group,
        )
        self.positions = freshness.PositionEstimates()
        dispatcher = dispatch.Dispatcher(
            membership=self.members, peers=self.network, holder=self.holder, directory=self.directory
        )
        self.proxy = proxy.Proxy(
            directory=self.directory,
            gate=self.gate,
            dispatcher=dispatcher,
            positions=self.positions,
            domain=checked.domain,
            clock=self.timers.now,
            request_timeout_s=checked.request_timeout,
            max_configuration_age_s=checked.max_configuration_age,
            configuration_age=self._configuration_age,
        )
        run = server.coroutine_runner(asyncio.get_running_loop())
        self.store = store.ConfigurationStore(
            self.platform, self.timers.now, cache=self.directory, on_stored=self.relay.publish_everywhere
        )
        self.collector = duties.PartCollector(self.store, self.timers, cache=self.directory, vm=checked.vm)
        self.node = node.Node(
            node.Components(
                directory=self.directory,
                members=self.members,
                admission=self.gate,
                positions=self.positions,
                peers=self.network,
                store=self.store,
                clock=self.timers,
            )
        )
        self.border = server.HttpServers(
            self.proxy,
            run,
            address=settings.split_address(checked.listen),
            operator_address=settings.split_address(checked.operator_listen),
            operator_key_digest=keys.digest(checked.operator_key),
            command=node.command_runner(self.node, run, COMMAND_TIMEOUT_S),
            threads=checked.threads,
            connections=checked.connections,
            request_timeout_s=checked.request_timeout + 1.0,
            metrics=server.Metrics(prometheus_client.REGISTRY),
        )

    async def stop(self) -> None:
        """Leave without cutting a request: stop taking work, finish what is open, hand back, leave the view."""
        _log.info("leaving")
        self.border.mark_leaving()
        await asyncio.sleep(LEAVE_NOTICE_S)
        await asyncio.to_thread(self.border.stop)
        await self.holder.stop()
        await self.gate.stop()
        await self.coordinator.stop()
        self.division_writer.stop()
        self.collector.stop()
        await self.members.stop()
        await self.relay.stop()
        await self.network.stop()
        await self.platform.close()
        await self.http.close()
        await self.timers.stop()
        _log.info("stopped")

    def _report_numbers(self) -> None:
        """Let heartbeats carry what this VM has adopted, and act on what those of peers carry."""
        self.members.add_heartbeat_value("state", self.relay.state_summary)
        self.members.add_heartbeat_value("shares", lambda: self.directory.shares.number)
        self.members.add_heartbeat_callback(self._on_report)

    def _on_report(self, vm: str, numbers: dict[str, Any]) -> None:
        state = numbers.get("state")
        if isinstance(state, dict):
            self.relay.on_peer_summary(vm, state)

    def _learn_group(self, group: model.Group) -> None:
        stored = interfaces.StoredObject(records.GROUPS, group.name, group.version, records.encode(group))
        self.relay.publish([stored])

    async def _release(self) -> None:
        # Connections are closed by several tasks of the holder, which has no single event for their end.
        while not self.holder.release_complete():  # noqa: ASYNC110
            await asyncio.sleep(RELEASE_POLL_S)

    def _report_silent(self, group: str, instance: str, term: int) -> None:
        record = self.directory.groups.get(group)
        if record is None or (record.primary, record.term) != (instance, term):
            return
        for vm in failover.monitor_vms(record, self.directory.views, placement.rank):
            self.network.notify(vm, "suspect", {"group": group})

    def _shares_adopted(self) -> int:
        view = self.members.view
        if view is None or not view.members:
            return 0
        own = self.network.member.vm
        others = [
            self.members.heartbeat_values(member.vm).get("shares", 0) for member in view.members if member.vm != own
        ]
        return min([self.directory.shares.number, *others])

    def _configuration_age(self) -> float:
        age = self.directory.configuration_age_s
        return float("inf") if age is None else age

    def _follow_state(self) -> None:
        """Answer ready once the shared state is known, and leaving while operators keep this VM out of service."""
        if self.relay.loaded:
            self.border.mark_ready()
        state = service_state.vm_state(self.directory.configuration, self.settings.vm, self.settings.domain)
        self.border.set_in_service(service_state.accepts_new_work(state))

    def _write_addresses(self) -> None:
        addresses = {
            "http": "{}:{}".format(*self.border.address),
            "operator": "{}:{}".format(*self.border.operator_address),
            "peer": self.network.member.address,
        }
        _log.info("listening: {}", addresses)
        if self.settings.address_file:
            path = pathlib.Path(self.settings.address_file)
            partial = path.with_suffix(".partial")
            partial.write_text(json.dumps(addresses))
            os.replace(partial, path)


def run(checked: settings.Settings) -> int:
    """Run the daemon until SIGTERM or SIGINT.

    Args:
        checked: The settings.

    Returns:
        The exit code: 0 after a planned stop, 1 if it took longer than the drain timeout.
    """
    logs.configure(level=checked.log_level, json_lines=checked.log_format == "json", vm=checked.vm, buffered=True)
    try:
        return asyncio.run(_run(checked))
    finally:
        logs.flush()


async def _run(checked: settings.Settings) -> int:
    asked = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, asked.set)
    daemon = Daemon.from_config(checked)
    await daemon.start()
    await asked.wait()
    try:
        await asyncio.wait_for(daemon.stop(), checked.drain_timeout)
    except TimeoutError:
        _log.error("planned stop took longer than {} s", checked.drain_timeout)
        return 1
    return 0
