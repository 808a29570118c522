"""Compose the parts of a VM that serves long-lived sessions, and run them until a planned stop."""

import asyncio
import functools
import signal

from currantlead import errors, logs, timers
from currantlead.peers import identity, network
from currantlead.platform import lines, objects
from currantlead.sessions import (
    alarms,
    allowance,
    clock,
    confirmation,
    execution,
    fleet,
    forwarding,
    freshness,
    gate,
    holders,
    liveness,
    loans,
    measures,
    members,
    mirror,
    model,
    paths,
    patrol,
    pool,
    readiness,
    sampling,
    session,
    settings,
    shares,
    store,
    succession,
)

CONFIGURATION_WAIT_S = 1.5
"""Wait of a configuration watch: its answer confirms the keys well before the age limit of 3.8 s, also at VMs that hear
of it from a relay up to 0.6 s later."""
STATE_WAIT_S = 20.0
"""Wait of the other watches; keep-alive probes end one that has fallen silent after 4 s."""
HOUSEKEEPING_S = 0.25
"""Instances are forgotten 2 s after their entries lapsed, and transactions 6 s after their last use."""
LOG_FLUSH_S = 0.2
"""Lines reach the pipe in batches; a line is at most this late."""
METRICS_PATH = "/metrics"
ROTATION_S = 2.2
"""The platform asks once a second and takes a VM out after two refusals; new sessions may come until then."""
EXIT_MARGIN_S = 0.8
"""The process ends by itself this long before the platform would kill it."""
START_RETRY_S = 0.3
"""The store may be away while a VM starts; a call takes 4 ms when it is back."""
MISSING_S = 2.0
"""Copies of the members may lack an entry for about a second after it was made."""
ACCEPT_BACKLOG = 512
"""Callers of one VM that reconnect at once after a restart; beyond it opening packets are sent again a second later."""

_log = logs.part("daemon")


class Daemon:
    """Own all parts of one VM; everything runs on one asyncio loop."""

    def __init__(self, checked: settings.SessionSettings):
        """Create the parts; nothing is opened before ``run``."""
        self.settings = checked
        self.timers = timers.TimerService()
        self.configuration = model.Configuration()
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
        self.holder = holders.Holder(self.fleet, self._direct_path)
        self.network.handler(holders.RUN)(self.holder.run)
        self.network.handler(holders.CONTINUE)(self.holder.continue_)
        self.network.handler(holders.END)(self.holder.end)
        self.measures = measures.Measures()
        self.store = store.Store(checked.store, self._count_store)
        self.mirror = mirror.Mirror(self.store, self.network, self.liveness, self.peers)
        self.patrol = patrol.Patrol(self.store, self.peers, self.liveness, self.mirror)
        self.lender = loans.Lender(self.allowances, checked.domain)
        self.shares = shares.Shares(lambda: self.configuration, self.peers)
        self.gate = gate.Gate(
            lambda: self.configuration, self.confirmation, self.allowances, self.lender, self.measures
        )
        self.executor = execution.Executor(
            self.fleet,
            self.samples,
            self._path_of,
            domain=checked.domain,
            region=checked.region_of.get(checked.domain, ""),
            measured=self.measures,
        )
        self.sampler = sampling.Sampler(
            self.fleet, self.samples, self._path_of, self._direct_path, self.network, lambda: not self.mirror.relayed
        )
        self.mirror.share(self.sampler)
        self.succession = (
            succession.Succession(self.fleet, self.store, checked.promotions, vm=checked.vm, members=self._answering)
            if checked.promotions is not None
            else None
        )
        self.alarms = alarms.Alarms(self.fleet, self.network, self._answering)
        self._keep_copies()
        self._direct: dict[str, paths.DirectPath] = {}
        self._forwarding: dict[str, forwarding.ForwardingPath] = {}
        self.sessions: set[session.Session] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._instances_listed = False
        self._leaving = False
        self._registered = False
        self._servers: list[asyncio.Server] = []

    @classmethod
    def from_config(cls, checked: settings.SessionSettings) -> "Daemon":
        """Create a daemon from checked settings."""
        return cls(checked)

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
            self._accept, callers.host, callers.port, limit=lines.MAX_MESSAGE_BYTES, backlog=ACCEPT_BACKLOG
        )
        self._servers.append(server)
        _log.bind(callers=str(callers), readiness=str(self.settings.readiness)).info("listening")
        self._spawn(self.mirror.run())
        self._spawn(self._register())
        self.timers.subscribe("housekeeping", HOUSEKEEPING_S, self._housekeep)
        self.timers.subscribe("silent VMs", liveness.CHECK_S, self.liveness.check_silent)
        self.timers.subscribe("silent instances", liveness.CHECK_S, self._check_activity)
        self.timers.subscribe("patrol", patrol.PATROL_S, self.patrol.check)
        self.timers.subscribe("samples", sampling.SAMPLE_S, self.sampler.refresh)
        if self.succession is not None:
            self.timers.subscribe("succession", succession.CHECK_S, self.succession.check)
        self.timers.subscribe("log lines", LOG_FLUSH_S, logs.flush)
        self.timers.start()
        await stop.wait()
        await self._leave(server)

    def _count_store(self, result: str) -> None:
        self.measures.count("store_calls", result=result)

    def _watch_gauges(self) -> None:
        """Let metrics show what this VM believes, and how old that is."""
        plain = ()
        self.measures.watch("ready", lambda: {plain: float(self.is_ready())})
        self.measures.watch("sessions", lambda: {plain: float(len(self.sessions))})
        self.measures.watch("members", lambda: {plain: float(self.peers.count)})
        self.measures.watch("configuration_version", lambda: {plain: float(self.configuration.version)})
        self.measures.watch("configuration_age_seconds", lambda: {plain: self.confirmation.age_s(clock.now())})
        for name in ("busy", "idle", "waiting", "limit"):
            self.measures.watch(f"pool_{name}", functools.partial(self._read_pools, name))

    def _read_pools(self, name: str) -> dict[measures.Labels, float]:
        return {
            (("instance", instance_id),): float(getattr(path.pool, name)) for instance_id, path in self._direct.items()
        }

    async def close(self) -> None:
        """End all tasks and close all connections at once."""
        await self.timers.stop()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for server in self._servers:
            server.close()
        for path in self._direct.values():
            path.pool.close()
        self.lender.close()
        self.liveness.close()
        await self.network.stop()

    def is_ready(self) -> bool:
        """Tell whether this VM takes new sessions."""
        return (
            not self._leaving
            and self._instances_listed
            and self.configuration.revision > 0
            and self.confirmation.allows_new_sessions(clock.now())
        )

    # Shared state

    def _keep_copies(self) -> None:
        """Say what happens with the objects of each kind that are copied from the store."""
        self.mirror.keep(
            store.Follower(
                objects.CONFIGURATION,
                CONFIGURATION_WAIT_S,
                self._configurations_listed,
                lambda present, removed: self._configurations_listed(present),
                self.confirmation.confirm,
                probes=True,
            )
        )
        self.mirror.keep(store.Follower(objects.INSTANCES, STATE_WAIT_S, self._list_instances, self._change_instances))
        self.mirror.keep(
            store.Follower(objects.EVACUATIONS, STATE_WAIT_S, self._list_evacuations, self._change_evacuations)
        )
        self.mirror.keep(store.Follower(objects.MEMBERS, STATE_WAIT_S, self._list_members, self._change_members))
        if self.succession is not None:
            self.mirror.keep(
                store.Follower(
                    objects.DUTIES,
                    STATE_WAIT_S,
                    self._see_duties,
                    lambda present, removed: self._see_duties(present),
                )
            )

    def _see_duties(self, present: tuple[objects.Stored, ...]) -> None:
        for stored in present:
            self.succession.duty_seen(stored.name, objects.decode_duty(stored), stored.revision)

    def _configurations_listed(self, present: tuple[objects.Stored, ...]) -> None:
        for stored in present:
            if stored.name == objects.CONFIGURATION_NAME and stored.revision > self.configuration.revision:
                self.configuration = objects.decode_configuration(stored)
                _log.bind(version=self.configuration.version, revision=stored.revision).info("configuration in force")
                self._apply_limits()
        self._note_prepared()

    def _list_instances(self, present: tuple[objects.Stored, ...]) -> None:
        decoded = [objects.decode_instance(stored) for stored in present]
        self.fleet.replace(instance for instance in decoded if instance is not None)
        self._instances_listed = True
        self._close_unused_pools()
        self._note_prepared()

    def _note_prepared(self) -> None:
        if self._instances_listed and self.configuration.revision:
            self.gate.prepared()

    def _change_instances(self, present: tuple[objects.Stored, ...], removed: tuple[str, ...]) -> None:
        for stored in present:
            instance = objects.decode_instance(stored)
            if instance is not None:
                self.fleet.update(instance)
        for name in removed:
            self.fleet.remove(name)
        self._close_unused_pools()

    def _list_evacuations(self, present: tuple[objects.Stored, ...]) -> None:
        self._evacuated: set[str] = {objects.decode_name(stored) for stored in present}
        self.fleet.set_evacuated(self._evacuated)

    def _change_evacuations(self, present: tuple[objects.Stored, ...], removed: tuple[str, ...]) -> None:
        self._evacuated |= {objects.decode_name(stored) for stored in present}
        self._evacuated -= set(removed)
        self.fleet.set_evacuated(self._evacuated)

    def _list_members(self, present: tuple[objects.Stored, ...]) -> None:
        decoded = [objects.decode_member(stored) for stored in present]
        self.peers.replace(member for member in decoded if member is not None)
        self._apply_limits()

    def _change_members(self, present: tuple[objects.Stored, ...], removed: tuple[str, ...]) -> None:
        decoded = [objects.decode_member(stored) for stored in present]
        self.peers.update((member for member in decoded if member is not None), removed)
        self._apply_limits()

    def _apply_limits(self) -> None:
        """Divide rates and connections by the number of VMs."""
        self.liveness.forget(set(self.peers.names()))
        self.allowances.configure(self.configuration.organisations, self.peers.all(), clock.now())
        self.network.learn(
            [
                identity.Member(member.name, member.domain, 0, f"{member.host}:{member.port}")
                for member in self.peers.others()
            ]
        )
        for path in self._direct.values():
            path.pool.limit = self.shares.limit(path.instance.service)

    def _refused(self, instance_id: str, error: errors.LinkRefusedError) -> None:
        self.measures.count("connections", result="full" if error.overloaded else "refused")
        if not error.overloaded:
            self.fleet.suspect(instance_id, str(error))

    def _answering(self) -> list[str]:
        """Return the VMs that did not fail to answer a moment ago, this one included."""
        return [name for name in self.peers.names() if not self.liveness.is_down(name)]

    def _check_activity(self) -> None:
        """Suspect the instances that answer none of the orders under way."""
        for path in self._direct.values():
            silent_s = path.activity.silent_s()
            if silent_s > paths.SILENT_S:
                self.fleet.suspect(path.instance.id, f"no answer for {silent_s:.1f} s")
            if path.activity.stuck_s() > paths.COMMIT_S:
                self.fleet.note_write(path.instance.id, answered=False)
            elif clock.now() - path.activity.committed_at < 2 * liveness.CHECK_S:
                self.fleet.note_write(path.instance.id, answered=True)

    def _path_of(self, instance: model.Instance) -> paths.Path:
        """Return how statements of this VM's sessions reach an instance."""
        if not self.shares.shared(instance.service):
            return self._direct_path(instance)
        found = self._forwarding.get(instance.id)
        if found is None:
            found = self._forwarding[instance.id] = forwarding.ForwardingPath(
                instance,
                self.settings.vm,
                self.network,
                self.liveness,
                lambda known: self.shares.holders(known, self.liveness.is_down),
                self.shares.is_large,
                self._direct_path,
            )
        return found

    def _direct_path(self, instance: model.Instance) -> paths.DirectPath:
        """Return this VM's own connections to an instance."""
        found = self._direct.get(instance.id)
        if found is None or found.instance.born_ms != instance.born_ms:
            if found is not None:
                found.pool.close()
            limit = self.shares.limit(instance.service)
            connections = pool.Pool(instance, limit, on_refused=self._refused)
            found = self._direct[instance.id] = paths.DirectPath(connections)
        return found

    def _close_unused_pools(self) -> None:
        for instance_id in [name for name in self._direct if self.fleet.get(name) is None]:
            self._direct.pop(instance_id).pool.close()
        for instance_id in [name for name in self._forwarding if self.fleet.get(name) is None]:
            del self._forwarding[instance_id]

    async def _register(self) -> None:
        """Enter this VM in the list of members, and keep trying until that is done."""
        value = objects.encode_member(self.peers.own)
        while True:
            try:
                if await self.store.create(objects.MEMBERS, self.settings.vm, value) is None:
                    found = await self.store.read(objects.MEMBERS, self.settings.vm)
                    if found is not None and objects.decode_member(found) != self.peers.own:
                        await self.store.replace(objects.MEMBERS, self.settings.vm, value, found.revision)
                self._registered = True
                return
            except (errors.PlatformUnavailableError, errors.MalformedObjectError) as error:
                _log.warning("not registered yet: {}", error)
                await asyncio.sleep(START_RETRY_S)

    # Callers

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        served = session.Session(
            reader, writer, self.gate, self.executor, lambda: self.configuration.transaction_idle_s, self.measures
        )
        self.sessions.add(served)
        try:
            await served.serve()
        finally:
            self.sessions.discard(served)

    # Time

    async def _housekeep(self) -> None:
        """Forget instances that are gone, and transactions whose callers' VMs are."""
        await self.holder.reclaim()
        self._enter_again()
        if self.fleet.drop_lapsed():
            self._close_unused_pools()

    def _enter_again(self) -> None:
        """Enter this VM again if others took it for gone and removed its entry."""
        missing_since = self.peers.missing_since
        if self._registered and missing_since is not None and clock.now() - missing_since > MISSING_S:
            _log.warning("this VM is missing among the members, entering it again")
            self._registered = False
            self._spawn(self._register())

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
        for path in self._direct.values():
            path.pool.close()
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
