"""The daemon of one entry VM: creates its components and runs them until a planned stop."""

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
from currantlead.connections import holder
from currantlead.control import (
    coordinator,
    directory,
    division,
    duties,
    failover,
    instances,
    members,
    membership,
    model,
    platform,
    records,
    relay,
    service_state,
    store,
)
from currantlead.http_api import server
from currantlead.identity import keys
from currantlead.operators import node
from currantlead.peers import network
from currantlead.routing import dispatch, freshness, placement, proxy

_log = logs.part("daemon")

LEAVE_NOTICE_S = 1.5
"""Requests are accepted for this long after the health check reports leaving: balancers poll it every 0.5 s or so."""
RELEASE_POLL_INTERVAL_S = 0.02
STATE_CHECK_INTERVAL_S = 0.25
LOG_FLUSH_INTERVAL_S = 0.2
COMMAND_TIMEOUT_S = 14.0
MAX_STATUS_REQUESTS = 64
"""Maximum number of concurrent status requests to instances."""


class Daemon:
    """All components of one VM; they run on one asyncio loop, except for the HTTP servers, which have threads."""

    def __init__(self, config: settings.Settings):
        """Create the components that need no sockets; ``start`` opens the sockets.

        Args:
            config: Validated settings.
        """
        self.settings = config
        self.timers = timers.TimerService()
        self.platform = platform.HttpPlatform(config.platform_url)
        self.directory = directory.Directory(self.timers.now)
        host, port = settings.split_address(config.peer_listen)
        self.network = network.Network(config.vm, config.domain, host=host, port=port)

    @classmethod
    def from_config(cls, config: settings.Settings) -> "Daemon":
        """Create a daemon from validated settings."""
        return cls(config)

    async def start(self) -> None:
        """Open the sockets and start the components.

        The VM joins its domain's view, and the health check reports ready once the shared state is loaded.
        """
        self.timers.start()
        self.http = aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=MAX_STATUS_REQUESTS))
        await self.network.start()
        self._create_components()
        await self.relay.start()
        await self.members.start()
        self.holder.start()
        self.admission.start()
        self.coordinator.start()
        self.division_writer.start()
        self.collector.start()
        self.http_servers.start()
        self.timers.subscribe("log lines", LOG_FLUSH_INTERVAL_S, logs.flush)
        self.timers.subscribe("drain", STATE_CHECK_INTERVAL_S, self._update_service_state)
        self._write_addresses()

    def _create_components(self) -> None:
        """Create the components that need this VM's identity, which includes the address of the peer listener."""
        config = self.settings
        self.members = members.MembershipService(self.network, self.platform, self.directory, self.timers)
        self.holder = holder.Holder(
            self.directory, self.members, self.network, self.timers, on_unresponsive_primary=self._report_silent
        )
        self.members.add_release_callback(self._wait_until_released)
        self.admission = service.AdmissionService(
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
        self._register_heartbeat_values()
        self.coordinator = coordinator.FailoverCoordinator(
            platform=self.platform,
            peers=self.network,
            directory=self.directory,
            client=instances.HttpInstanceClient(self.http),
            clock=self.timers,
            rank=placement.rank,
            on_group=self._publish_group,
        )
        self.positions = freshness.PositionEstimates()
        dispatcher = dispatch.Dispatcher(
            membership=self.members, peers=self.network, holder=self.holder, directory=self.directory
        )
        self.proxy = proxy.Proxy(
            directory=self.directory,
            admission=self.admission,
            dispatcher=dispatcher,
            positions=self.positions,
            domain=config.domain,
            clock=self.timers.now,
            request_timeout_s=config.request_timeout,
            max_configuration_age_s=config.max_configuration_age,
            configuration_age=self._configuration_age,
        )
        run = server.coroutine_runner(asyncio.get_running_loop())
        self.store = store.ConfigurationStore(
            self.platform, self.timers.now, cache=self.directory, on_stored=self.relay.publish_everywhere
        )
        self.collector = duties.PartCollector(self.store, self.timers, cache=self.directory, vm=config.vm)
        self.node = node.Node(
            node.Components(
                directory=self.directory,
                members=self.members,
                admission=self.admission,
                positions=self.positions,
                peers=self.network,
                store=self.store,
                clock=self.timers,
            )
        )
        self.http_servers = server.HttpServers(
            self.proxy,
            run,
            address=settings.split_address(config.listen),
            operator_address=settings.split_address(config.operator_listen),
            operator_key_digest=keys.digest(config.operator_key),
            command=node.command_runner(self.node, run, COMMAND_TIMEOUT_S),
            threads=config.threads,
            connections=config.connections,
            request_timeout_s=config.request_timeout + 1.0,
            metrics=server.Metrics(prometheus_client.REGISTRY),
        )

    async def stop(self) -> None:
        """Stop without interrupting requests: refuse new work, finish open work, return tokens and leave the view."""
        _log.info("planned stop started")
        self.http_servers.mark_leaving()
        await asyncio.sleep(LEAVE_NOTICE_S)
        await asyncio.to_thread(self.http_servers.stop)
        await self.holder.stop()
        await self.admission.stop()
        await self.coordinator.stop()
        self.division_writer.stop()
        self.collector.stop()
        await self.members.stop()
        self.admission.hand_over(
            lambda organisation: membership.next_owner(
                self.directory.views.get(self.settings.domain), self.settings.vm, organisation
            )
        )
        await self.relay.stop()
        await self.network.stop()
        await self.platform.close()
        await self.http.close()
        await self.timers.stop()
        _log.info("planned stop completed")

    def _register_heartbeat_values(self) -> None:
        """Add the versions of this VM's state to its heartbeats, and handle the values in the heartbeats of peers."""
        self.members.add_heartbeat_value("state", self.relay.state_summary)
        self.members.add_heartbeat_value("shares", lambda: self.directory.shares.number)
        self.members.add_heartbeat_callback(self._on_heartbeat)

    def _on_heartbeat(self, vm: str, values: dict[str, Any]) -> None:
        state = values.get("state")
        if isinstance(state, dict):
            self.relay.on_peer_summary(vm, state)

    def _publish_group(self, group: model.Group) -> None:
        stored = interfaces.StoredObject(records.GROUPS, group.name, group.version, records.encode(group))
        self.relay.publish([stored])

    async def _wait_until_released(self) -> None:
        # The holder closes its connections in several tasks and has no single event for the end of all of them.
        while not self.holder.release_complete():  # noqa: ASYNC110
            await asyncio.sleep(RELEASE_POLL_INTERVAL_S)

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
        own_vm = self.network.member.vm
        others = [
            self.members.heartbeat_values(member.vm).get("shares", 0) for member in view.members if member.vm != own_vm
        ]
        return min([self.directory.shares.number, *others])

    def _configuration_age(self) -> float:
        age = self.directory.configuration_age_s
        return float("inf") if age is None else age

    def _update_service_state(self) -> None:
        """Report ready once the shared state is loaded, and leaving while operators keep this VM out of service."""
        if self.relay.loaded:
            self.http_servers.mark_ready()
        state = service_state.vm_state(self.directory.configuration, self.settings.vm, self.settings.domain)
        self.http_servers.set_in_service(service_state.accepts_new_work(state))

    def _write_addresses(self) -> None:
        addresses = {
            "http": "{}:{}".format(*self.http_servers.address),
            "operator": "{}:{}".format(*self.http_servers.operator_address),
            "peer": self.network.member.address,
        }
        _log.info("listening at {}", addresses)
        if self.settings.address_file:
            path = pathlib.Path(self.settings.address_file)
            partial = path.with_suffix(".partial")
            partial.write_text(json.dumps(addresses))
            os.replace(partial, path)


def run(config: settings.Settings) -> int:
    """Run the daemon until SIGTERM or SIGINT.

    Args:
        config: Validated settings.

    Returns:
        Exit code: 0 after a planned stop, 1 if the stop took longer than the drain timeout.
    """
    logs.configure(level=config.log_level, json_lines=config.log_format == "json", vm=config.vm, buffered=True)
    try:
        return asyncio.run(_run(config))
    finally:
        logs.flush()


async def _run(config: settings.Settings) -> int:
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop_requested.set)
    daemon = Daemon.from_config(config)
    await daemon.start()
    await stop_requested.wait()
    try:
        await asyncio.wait_for(daemon.stop(), config.drain_timeout)
    except TimeoutError:
        _log.error("planned stop did not complete within the drain timeout of {} s", config.drain_timeout)
        return 1
    return 0
