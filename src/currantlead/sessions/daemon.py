"""Daemon of a VM that serves long-lived sessions: creates its components and runs them until it is stopped."""

import asyncio
import random
import signal
import socket
from collections.abc import Callable

from currantlead import logs, timers
from currantlead.peers import identity, network
from currantlead.platform import lines
from currantlead.sessions import (
    clock,
    gauges,
    metric_registry,
    model,
    parts,
    readiness,
    refusals,
    settings,
    settings_reload,
)
from currantlead.sessions.callers import access_control, session, token_buckets, token_exchange
from currantlead.sessions.decisions import acknowledgements, election, start_pacing
from currantlead.sessions.failover import (
    commit_contact,
    commit_records,
    commit_reports,
    contact_partners,
    remote_commands,
    succession,
)
from currantlead.sessions.instances import alarms, connection_limits, connections, fleet, holders, replacements
from currantlead.sessions.membership import eviction, liveness, members, overload, registration, start
from currantlead.sessions.routing import execution, freshness, sampling, targets
from currantlead.sessions.shared import configuration_age, duty_claims, mirror, shared_state, store

CLEAN_UP_INTERVAL_S = 0.2
"""Interval of the check for instances whose entries lapsed more than 2 s ago and for transactions unused for 6 s."""
LOG_FLUSH_INTERVAL_S = 0.2
"""Interval at which buffered log lines are written to the pipe, and thus their maximum delay."""
METRICS_PATH = "/metrics"
DEREGISTRATION_DELAY_S = 2.2
"""Time for which a VM that shuts down still accepts sessions. The platform checks readiness once a second and stops
sending new sessions to a VM after two failed checks."""
EXIT_MARGIN_S = 0.8
"""Time before the platform's kill signal by which the process exits by itself."""

_log = logs.part("daemon")


class Daemon:
    """Own all components of one VM; everything runs on a single asyncio event loop."""

    def __init__(
        self,
        config: settings.SessionSettings,
        listening_socket: socket.socket | None = None,
        *,
        settings_path: str = "",
        load_settings: Callable[[], settings.SessionSettings] | None = None,
    ):
        """Create the components; ``run`` opens sockets and connections.

        Args:
            config: The settings of this VM.
            listening_socket: Listening socket for callers, or None to open one.
            settings_path: Path of the settings file.
            load_settings: Reads the settings file again; None if the settings come from elsewhere.
        """
        self.settings = config
        self.settings_reload = (
            settings_reload.SettingsReload(config, settings_path, load_settings, self._apply_settings)
            if load_settings is not None
            else None
        )
        self._listening_socket = listening_socket
        self.timers = timers.TimerService()
        self.metrics = metric_registry.MetricRegistry()
        self.configuration_age = configuration_age.ConfigurationAge(config.bounds)
        self.fleet = fleet.Fleet(config.bounds, config.region_of)
        self.position_samples = freshness.PositionSamples()
        self.acknowledged_commits = acknowledgements.AcknowledgedCommits()
        self.token_buckets = token_buckets.TokenBuckets(config.vm, config.bounds)
        self.members = members.Members(registration.own_member(config))
        self.network = network.Network(
            config.vm,
            config.domain,
            host=config.peers.host,
            port=config.peers.port,
            advertise=str(config.peers),
        )
        self.liveness = liveness.Liveness(self.network)
        self.store = store.Store(config.store, lambda result: self.metrics.count("store_calls", result=result))
        self.duty_claims = duty_claims.DutyClaims(self.store, config.vm) if config.promotions is not None else None
        self.usage = parts.create_usage(
            config,
            self.store,
            self.duty_claims,
            self.network,
            self.metrics,
            members=self.members.names,
            responsive=self._responsive_vms,
            is_store_reachable=lambda: self.configuration_age.allows_new_sessions(clock.now()),
        )
        self.mirror = mirror.Mirror(self.store, self.network, self.liveness, self.members)
        self.evictor = eviction.Evictor(self.store, self.members, self.liveness, self.mirror)
        self.registration = registration.Registration(self.store, self.members)
        self.token_exchange = token_exchange.TokenExchange(self.token_buckets, config.domain)
        self.connection_limits = connection_limits.ConnectionLimits(lambda: self.configuration, self.members)
        load_management, rng = config.load_management, random.Random()
        self.load_reports = parts.create_load_reports(
            config, self.network, self.members, lambda: self.settings.region_of
        )
        self.start_phase = start_pacing.StartPhase(clock.now()) if load_management.start_pacing else None
        self.overloads = overload.OverloadMonitor.from_config(config)
        self.contact_partners = contact_partners.ContactPartners(
            self.members, lambda: self.settings.region_of, self.liveness.is_down
        )
        self.fleet.find_domains_of_vms = self._find_domains_of_heard_vms
        records = commit_records.CommitRecords(self.store)
        self.commit_contact = (
            commit_contact.CommitContact(
                self.network,
                self.fleet,
                self.duty_claims,
                self.acknowledged_commits,
                records,
                self.contact_partners.partners,
                lambda result: self.metrics.count("contact_rounds", result=result),
            )
            if self.duty_claims is not None
            else None
        )
        self.connections = connections.Connections(
            config.vm,
            self.fleet,
            self.connection_limits,
            self.network,
            self.liveness,
            self.metrics,
            overloads=self.overloads,
            counter=self.usage.counts if self.usage is not None else None,
            load_management=load_management,
            loads=self.load_reports and self.load_reports.table,
            rng=rng,
            guard=self.commit_contact,
        )
        self.refusals = refusals.Refusals.from_config(config, self.metrics, self.token_buckets)
        self.holder = holders.Holder(
            self.fleet,
            self.position_samples,
            self.connections.direct_path,
            self.load_reports,
            self.acknowledged_commits,
        )
        self.holder.register(self.network, None if self.overloads is None else self.overloads.own_level)
        self.answer_health = parts.create_answer_health(
            config, self.fleet, self.metrics, None if self.overloads is None else lambda: self.overloads.lag_s
        )
        if self.answer_health is not None:
            self.holder.reports_times = self.answer_health.is_punctual
        self.access_control = access_control.AccessControl(
            lambda: self.configuration,
            self.configuration_age,
            self.token_buckets,
            self.token_exchange,
            self.metrics,
            self.start_phase,
        )
        self.sampler = sampling.Sampler(
            self.fleet,
            self.position_samples,
            self.connections,
            self.network,
            lambda: not self.mirror.uses_relay,
            self.acknowledged_commits,
            self.answer_health,
        )
        self.targets = targets.TargetSelector(
            self.fleet,
            self.position_samples,
            self.connections.path_of,
            domain=config.domain,
            region=config.region_of.get(config.domain, ""),
            health=self.answer_health,
            by_completion=parts.create_completion_placement(load_management, rng),
            stale_reads_on=config.load_management.stale_reads,
        )
        self.executor = execution.Executor(
            self.fleet,
            self.position_samples,
            self.targets,
            metrics=self.metrics,
            fetch_sample=self.sampler.fetch,
            health=self.answer_health,
            retries=self.refusals,
            start_phase=self.start_phase,
            acknowledged=self.acknowledged_commits,
        )
        self.fleet.on_ordered = self.connections.abort_commits
        if self.commit_contact is not None:
            self.commit_contact.on_forbidden = self.connections.abort_commits
        self.mirror.attach_sampler(self.sampler)
        self.mirror.paces_start = config.load_management.start_pacing
        self.failover = (
            succession.Failover(
                self.fleet,
                self.store,
                self.duty_claims,
                config.promotions,
                commit_reports.CommitReports(
                    self.network,
                    self.fleet,
                    self.acknowledged_commits,
                    records,
                    self._commit_sources,
                    self.contact_partners.reporting,
                    self.contact_partners.partners_by_vm,
                ),
                remote_commands.RemoteCommands(self.network, self.fleet, self._vms_near, self.connections.close_idle),
                vm=config.vm,
                members=self._responsive_vms,
                configured=lambda: self.configuration.services,
                find_contact_among=self.contact_partners.find_contact_among,
                count_outcome=lambda outcome: self.metrics.count("promotions", result=outcome),
                count_call=lambda result: self.metrics.count("promotion_calls", result=result),
                on_stage=self.refusals.record_stage,
            )
            if config.promotions is not None
            else None
        )
        self.alarms = alarms.Alarms(self.fleet, self.network, self._responsive_vms)
        self.shared_state = shared_state.SharedState(
            self.fleet,
            self.members,
            self.configuration_age,
            self.duty_claims,
            bounds=config.bounds,
            on_limits_changed=self._handle_limits_changed,
            on_instances_changed=self._handle_instances_changed,
        )
        self.shared_state.subscribe(self.mirror)
        self.sessions: set[session.Session] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._leaving = False
        self._servers: list[asyncio.Server] = []

    @classmethod
    def from_config(
        cls,
        config: settings.SessionSettings,
        listening_socket: socket.socket | None = None,
        *,
        settings_path: str = "",
        load_settings: Callable[[], settings.SessionSettings] | None = None,
    ) -> "Daemon":
        """Create a daemon from settings; see the class for the arguments."""
        return cls(config, listening_socket, settings_path=settings_path, load_settings=load_settings)

    @property
    def configuration(self) -> model.Configuration:
        """Return the current configuration."""
        return self.shared_state.configuration

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then shut down gracefully."""
        stop = asyncio.Event()
        loop = asyncio.get_running_loop()
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, stop.set)
        loop.add_signal_handler(signal.SIGHUP, self._handle_hangup)
        await self.token_exchange.start(self.settings.peers)
        await self.network.start()
        explain = parts.create_placement_query(self.settings.vm, self.targets, self.access_control)
        http_endpoints = readiness.ReadinessServer(
            self.is_ready, self.metrics.render, METRICS_PATH, {parts.WHERE_PATH: explain}
        )
        self._servers.append(await http_endpoints.start(self.settings.readiness))
        self._servers.append(await http_endpoints.start(self.settings.metrics))
        gauges.register(self)
        callers = self.settings.callers
        server = await asyncio.start_server(
            self._serve_session, sock=self._listening_socket or callers.listen(), limit=lines.MAX_MESSAGE_BYTES
        )
        self._servers.append(server)
        _log.bind(callers=str(callers), readiness=str(self.settings.readiness)).info("listening")
        self._start_task(self.mirror.run())
        self._start_task(self.registration.register())
        self._subscribe_timers()
        if self.start_phase is not None:
            start.PeerPacing(self.start_phase, self.network, self.liveness, self.timers).apply()
        self.timers.start()
        await stop.wait()
        await self._shut_down(server)

    def _subscribe_timers(self) -> None:
        """Subscribe the components' periodic tasks."""
        self.timers.subscribe("clean-up", CLEAN_UP_INTERVAL_S, self._clean_up)
        self.timers.subscribe("stall detection", liveness.CHECK_INTERVAL_S, self.holder.detect_stall)
        if self.overloads is not None:
            self.timers.subscribe("overload", overload.CHECK_INTERVAL_S, self.overloads.measure)
        if self.answer_health is not None:
            self.answer_health.subscribe(self.timers)
        self.timers.subscribe("VM liveness", liveness.CHECK_INTERVAL_S, self.liveness.check_silent)
        self.timers.subscribe("instance liveness", liveness.CHECK_INTERVAL_S, self.connections.check_activity)
        if self.settings.load_management.concurrency_limit:
            self.timers.subscribe("running limits", liveness.CHECK_INTERVAL_S, self.connections.divide_running)
        self.timers.subscribe("registration", registration.CHECK_INTERVAL_S, self.registration.check)
        self.timers.subscribe("member eviction", eviction.CHECK_INTERVAL_S, self.evictor.check)
        self.timers.subscribe("samples", sampling.SAMPLE_INTERVAL_S, self.sampler.refresh)
        if self.load_reports is not None:
            self.load_reports.start(
                self.timers, self.metrics, self.connections.load_of, self.connections.holders_of_service
            )
        if self.settings_reload is not None:
            self.timers.subscribe("settings", settings_reload.CHECK_INTERVAL_S, self.settings_reload.check)
        if self.failover is not None:
            self.timers.subscribe("succession", succession.CHECK_INTERVAL_S, self.failover.check)
        if self.usage is not None:
            self.usage.subscribe(self.timers)
        self.timers.subscribe("log flush", LOG_FLUSH_INTERVAL_S, logs.flush)

    async def close(self) -> None:
        """Cancel all tasks and close all connections immediately."""
        await self.timers.stop()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for server in self._servers:
            server.close()
        self.connections.close()
        self.token_exchange.close()
        if self.usage is not None:
            self.usage.close()
        if self.commit_contact is not None:
            self.commit_contact.close()
        self.liveness.close()
        self.store.close()
        if self.failover is not None:
            await self.failover.close()
        await self.network.stop()

    def is_ready(self) -> bool:
        """Return whether this VM accepts new sessions."""
        return (
            not self._leaving
            and self.shared_state.is_complete
            and self.configuration_age.allows_new_sessions(clock.now())
        )

    def _commit_sources(self, primary: model.Instance | None) -> list[str]:
        """Return the VMs through which the commits at a primary pass; None stands for an unknown primary."""
        if primary is None or not self.connection_limits.uses_holders(primary.service):
            return self.members.names()
        return self.connections.past_holders(primary)

    def _vms_near(self, instance: model.Instance) -> list[str]:
        """Return the VMs that respond, those of an instance's failure domain first."""
        in_domain = {member.name for member in self.members.all() if member.domain == instance.domain}
        order = election.promotion_order(instance.service, self._responsive_vms())
        return sorted(order, key=lambda vm: vm not in in_domain)

    def _handle_hangup(self) -> None:
        if self.settings_reload is not None:
            self.settings_reload.reload("SIGHUP")

    def _apply_settings(self, loaded: settings.SessionSettings) -> None:
        """Put reloaded settings in force."""
        self.settings = loaded
        self.configuration_age.apply_bounds(loaded.bounds)
        self.fleet.apply_settings(loaded.bounds, loaded.region_of)
        self.shared_state.apply_bounds(loaded.bounds)
        self.targets.region = loaded.region_of.get(loaded.domain, "")
        self.token_buckets.apply_bounds(loaded.bounds)
        self._handle_limits_changed()

    def _handle_limits_changed(self) -> None:
        """Apply changed members or configuration: update peers and divide rates and connections among the members."""
        self.liveness.retain(set(self.members.names()))
        self.token_buckets.configure(self.configuration.organisations, self.members.all(), clock.now())
        self.network.update_addresses(
            [
                identity.Member(member.name, member.domain, 0, f"{member.host}:{member.port}")
                for member in self.members.others()
            ]
        )
        self.connections.apply_limits()
        self._mark_started_if_complete()

    def _handle_instances_changed(self) -> None:
        self.connections.close_unused()
        self._mark_started_if_complete()

    def _mark_started_if_complete(self) -> None:
        if self.shared_state.is_complete:
            self.access_control.mark_started()

    def _responsive_vms(self) -> list[str]:
        """Return the members that are not down, including this VM."""
        return [name for name in self.members.names() if not self.liveness.is_down(name)]

    def _find_domains_of_heard_vms(self) -> set[str]:
        """Return the failure domains of this VM and of those from which something was received just now."""
        heard = {self.settings.vm, *self.network.heard_vms(replacements.NEWS_AGE_S)}
        return {member.domain for member in self.members.all() if member.name in heard}

    async def _serve_session(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        new_session = session.Session(
            reader,
            writer,
            self.access_control,
            self.executor,
            lambda: self.configuration.transaction_idle_s,
            self.metrics,
            self.refusals,
        )
        self.sessions.add(new_session)
        try:
            await new_session.serve()
        finally:
            self.sessions.discard(new_session)

    async def _clean_up(self) -> None:
        """Remove instances whose entries lapsed, and roll back abandoned transactions.

        A transaction is abandoned if it has been idle so long that its caller's VM must have failed.
        """
        await self.holder.end_abandoned()
        if self.fleet.remove_lapsed():
            self.connections.close_unused()

    async def _shut_down(self, server: asyncio.Server) -> None:
        """Stop accepting sessions, let pending work finish, and close sessions as they become idle."""
        self._leaving = self.holder.leaving = self.liveness.leaving = True
        if self.usage is not None:
            self.usage.leave()
        started_at = clock.now()
        grace_s = self.settings.bounds.grace_s
        _log.bind(sessions=len(self.sessions)).info("shutting down")
        await asyncio.sleep(min(DEREGISTRATION_DELAY_S, grace_s / 2))
        server.close()
        for open_session in list(self.sessions):
            open_session.close_when_idle()
        aborted = False
        while (self.sessions or self.holder.active) and clock.now() - started_at < grace_s - EXIT_MARGIN_S:
            await asyncio.sleep(0.02)
            if not aborted and clock.now() - started_at >= grace_s / 2:
                aborted = True
                for open_session in list(self.sessions):
                    open_session.abort_transaction()
        if self.usage is not None:
            await self.usage.submit()
        self.connections.close()
        _log.bind(sessions=len(self.sessions)).info("stopped")

    def _start_task(self, coroutine) -> None:
        # Keep a reference to the task, because the event loop holds only weak ones.
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._handle_task_done)

    def _handle_task_done(self, task: "asyncio.Task[None]") -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            _log.opt(exception=task.exception()).error("background task {} failed", task.get_coro().__qualname__)
