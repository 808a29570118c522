"""Compose the parts of a VM that serves long-lived sessions, and run them until a planned stop."""

import asyncio
import functools
import signal
import socket

from currantlead import logs, timers
from currantlead.peers import identity, network
from currantlead.platform import lines
from currantlead.sessions import (
    alarms,
    allowance,
    clock,
    confirmation,
    connections,
    execution,
    fleet,
    freshness,
    gate,
    holders,
    liveness,
    loans,
    measures,
    members,
    mirror,
    model,
    patrol,
    readiness,
    registration,
    sampling,
    session,
    settings,
    shared_state,
    shares,
    store,
    succession,
)

HOUSEKEEPING_S = 0.25
"""Instances are forgotten 2 s after their entries lapsed, and transactions 6 s after their last use."""
LOG_FLUSH_S = 0.2
"""Lines reach the pipe in batches; a line is at most this late."""
METRICS_PATH = "/metrics"
ROTATION_S = 2.2
"""The platform asks once a second and takes a VM out after two refusals; new sessions may come until then."""
EXIT_MARGIN_S = 0.8
"""The process ends by itself this long before the platform would kill it."""

_log = logs.part("daemon")


class Daemon:
    """Own all parts of one VM; everything runs on one asyncio loop."""

    def __init__(self, checked: settings.SessionSettings, listening: socket.socket | None = None):
        """Create the parts; nothing is opened before ``run``.

        Args:
            checked: The settings.
            listening: Socket that callers connect to already, or None to open one.
        """
        self.settings = checked
        self._listening = listening
        self.timers = timers.TimerService()
        self.measures = measures.Measures()
        self.confirmation = confirmation.Confirmation(checked.bounds)
        self.fleet = fleet.Fleet(checked.bounds, checked.region_of)
        self.samples = freshness.Freshness()
        self.allowances = allowance.Allowances(checked.vm, checked.bounds)
        own = model.Member(checked.vm, checked.peers.host, checked.peers.port, checked.domain)
        self.peers = members.Members(own)
        self.network = network.Network(
            checked.vm, checked.domain, host=checked.peers.host, port=checked.peers.port, advertise=str(checked.peers)
        )
        self.liveness = liveness.Liveness(self.network)
        self.store = store.Store(checked.store, lambda result: self.measures.count("store_calls", result=result))
        self.mirror = mirror.Mirror(self.store, self.network, self.liveness, self.peers)
        self.patrol = patrol.Patrol(self.store, self.peers, self.liveness, self.mirror)
        self.registration = registration.Registration(self.store, self.peers)
        self.lender = loans.Lender(self.allowances, checked.domain)
        self.shares = shares.Shares(lambda: self.configuration, self.peers)
        self.connections = connections.Connections(
            checked.vm, self.fleet, self.shares, self.network, self.liveness, self.measures
        )
        self.holder = holders.Holder(self.fleet, self.samples, self.connections.direct_path)
        self.holder.register(self.network)
        self.gate = gate.Gate(
            lambda: self.configuration, self.confirmation, self.allowances, self.lender, self.measures
        )
        self.sampler = sampling.Sampler(
            self.fleet, self.samples, self.connections, self.network, lambda: not self.mirror.uses_relay
        )
        self.executor = execution.Executor(
            self.fleet,
            self.samples,
            self.connections.path_of,
            domain=checked.domain,
            region=checked.region_of.get(checked.domain, ""),
            measured=self.measures,
            fetch_sample=self.sampler.fetch,
        )
        self.mirror.attach_sampler(self.sampler)
        self.succession = (
            succession.Succession(self.fleet, self.store, checked.promotions, vm=checked.vm, members=self._answering)
            if checked.promotions is not None
            else None
        )
        self.alarms = alarms.Alarms(self.fleet, self.network, self._answering)
        self.state = shared_state.SharedState(
            self.fleet,
            self.peers,
            self.confirmation,
            self.succession,
            on_limits=self._apply_limits,
            on_instances=self._note_instances,
        )
        self.state.follow(self.mirror)
        self.sessions: set[session.Session] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._leaving = False
        self._servers: list[asyncio.Server] = []

    @classmethod
    def from_config(cls, checked: settings.SessionSettings, listening: socket.socket | None = None) -> "Daemon":
        """Create a daemon from checked settings, on a socket for callers that is open already."""
        return cls(checked, listening)

    @property
    def configuration(self) -> model.Configuration:
        """Return the configuration in force."""
        return self.state.configuration

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then leave without cutting an answer."""
        stop = asyncio.Event()
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, stop.set)
        loop.add_signal_handler(signal.SIGHUP, lambda: _log.info("settings are read at the next start"))
        await self.lender.start(self.settings.peers)
        await self.network.start()
        answering = readiness.Readiness(self.is_ready, self.measures.render, METRICS_PATH)
        self._servers.append(await answering.start(self.settings.readiness))
        self._servers.append(await answering.start(self.settings.metrics))
        self._watch_gauges()
        callers = self.settings.callers
        server = await asyncio.start_server(
            self._accept, sock=self._listening or callers.listen(), limit=lines.MAX_MESSAGE_BYTES
        )
        self._servers.append(server)
        _log.bind(callers=str(callers), readiness=str(self.settings.readiness)).info("listening")
        self._spawn(self.mirror.run())
        self._spawn(self.registration.enter())
        self._subscribe()
        self.timers.start()
        await stop.wait()
        await self._leave(server)

    def _subscribe(self) -> None:
        """Let the parts be called regularly."""
        self.timers.subscribe("housekeeping", HOUSEKEEPING_S, self._housekeep)
        self.timers.subscribe("stalls", liveness.CHECK_S, self.holder.note_time)
        self.timers.subscribe("silent VMs", liveness.CHECK_S, self.liveness.check_silent)
        self.timers.subscribe("silent instances", liveness.CHECK_S, self.connections.check_activity)
        self.timers.subscribe("registration", registration.CHECK_S, self.registration.check)
        self.timers.subscribe("patrol", patrol.PATROL_S, self.patrol.check)
        self.timers.subscribe("samples", sampling.SAMPLE_S, self.sampler.refresh)
        if self.succession is not None:
            self.timers.subscribe("succession", succession.CHECK_S, self.succession.check)
        self.timers.subscribe("log lines", LOG_FLUSH_S, logs.flush)

    def _watch_gauges(self) -> None:
        """Let metrics show what this VM believes, and how old that is."""
        plain = ()
        self.measures.watch("ready", lambda: {plain: float(self.is_ready())})
        self.measures.watch("sessions", lambda: {plain: float(len(self.sessions))})
        self.measures.watch("members", lambda: {plain: float(self.peers.count)})
        self.measures.watch("relayed", lambda: {plain: float(self.mirror.uses_relay)})
        self.measures.watch("configuration_version", lambda: {plain: float(self.configuration.version)})
        self.measures.watch("configuration_age_seconds", lambda: {plain: self.confirmation.age_s(clock.now())})
        for reading in connections.READINGS:
            self.measures.watch(f"pool_{reading}", functools.partial(self.connections.read, reading))

    async def close(self) -> None:
        """End all tasks and close all connections at once."""
        await self.timers.stop()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for server in self._servers:
            server.close()
        self.connections.close()
        self.lender.close()
        self.liveness.close()
        await self.network.stop()

    def is_ready(self) -> bool:
        """Tell whether this VM takes new sessions."""
        return not self._leaving and self.state.complete and self.confirmation.allows_new_sessions(clock.now())

    def _apply_limits(self) -> None:
        """Divide rates and connections by the VMs and the configuration that are known now."""
        self.liveness.forget(set(self.peers.names()))
        self.allowances.configure(self.configuration.organisations, self.peers.all(), clock.now())
        self.network.learn(
            [
                identity.Member(member.name, member.domain, 0, f"{member.host}:{member.port}")
                for member in self.peers.others()
            ]
        )
        self.connections.apply_limits()
        self._note_prepared()

    def _note_instances(self) -> None:
        self.connections.close_unused()
        self._note_prepared()

    def _note_prepared(self) -> None:
        if self.state.complete:
            self.gate.prepared()

    def _answering(self) -> list[str]:
        """Return the VMs that did not fail to answer a moment ago, this one included."""
        return [name for name in self.peers.names() if not self.liveness.is_down(name)]

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        served = session.Session(
            reader, writer, self.gate, self.executor, lambda: self.configuration.transaction_idle_s, self.measures
        )
        self.sessions.add(served)
        try:
            await served.serve()
        finally:
            self.sessions.discard(served)

    async def _housekeep(self) -> None:
        """Forget instances that are gone, and transactions whose callers' VMs are."""
        await self.holder.reclaim()
        if self.fleet.drop_lapsed():
            self.connections.close_unused()

    async def _leave(self, server: asyncio.Server) -> None:
        """Stop taking sessions, let open work end, and close sessions as they become idle."""
        self._leaving = self.holder.leaving = self.liveness.leaving = True
        began_at = clock.now()
        grace_s = self.settings.bounds.grace_s
        _log.bind(sessions=len(self.sessions)).info("leaving")
        await asyncio.sleep(min(ROTATION_S, grace_s / 2))
        server.close()
        for served in list(self.sessions):
            served.close_when_idle()
        aborted = False
        while (self.sessions or self.holder.active) and clock.now() - began_at < grace_s - EXIT_MARGIN_S:
            await asyncio.sleep(0.02)
            if not aborted and clock.now() - began_at >= grace_s / 2:
                aborted = True
                for served in list(self.sessions):
                    served.abort_transaction()
        self.connections.close()
        _log.bind(sessions=len(self.sessions)).info("stopped")

    def _spawn(self, coroutine) -> None:
        # The loop keeps only weak references to tasks.
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._ended)

    def _ended(self, task: "asyncio.Task[None]") -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            _log.opt(exception=task.exception()).error("task {} failed", task.get_coro().__qualname__)
