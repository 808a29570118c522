"""Admit requests: own the buckets of this VM's organisations and ask the owners of the others."""

import asyncio
import collections
import dataclasses
from collections.abc import Callable
from typing import Any

from currantlead import errors, interfaces, logs, timers, verdict, wire
from currantlead.admission import bucket_owner, token_bucket, token_cache, token_exchange

REPORT_INTERVAL_S = 0.02
CONFIRM_INTERVAL_S = 0.5
HOLD_S = 0.05
"""Longest wait of a request that finds no token while the owners still exchange tokens."""
HOLD_RETRY_S = 0.008
"""Two round trips between domains."""
HOLD_REFUSALS = 2.0
"""Refusals per second at a VM from which requests are no longer held."""
MAX_HELD = 4
MAX_WAITING = 1024
"""Requests of one organisation that may wait for tokens at a VM; more are refused at once."""
UNREACHABLE_RETRY_S = 1.0

_log = logs.part("admission")


@dataclasses.dataclass(eq=False, slots=True)
class _Waiter:
    """Hold one request that waits for a token, since a clock reading."""

    since: float
    future: asyncio.Future[verdict.Refusal | None]

    def settle(self, refusal: verdict.Refusal | None) -> None:
        if not self.future.done():
            self.future.set_result(refusal)


class _State:
    """Hold what this VM knows of one organisation's tokens."""

    def __init__(self, name: str):
        self.name = name
        self.account = bucket_owner.Account(name)
        self.cache = token_cache.Cache()
        self.waiting: collections.deque[_Waiter] = collections.deque()
        self.pump: asyncio.Task[None] | None = None
        self.refusals = token_cache.Meter()


class Service:
    """Implement ``interfaces.Gate``; runs on the core loop."""

    def __init__(
        self,
        directory: interfaces.Directory,
        membership: interfaces.Membership,
        peers: interfaces.Peers,
        clock: timers.Timers,
        platform: interfaces.Platform | None = None,
        shares_adopted: Callable[[], int] = lambda: 0,
    ):
        """Register the handler of ``tokens`` frames.

        Args:
            directory: Configuration, views and shares.
            membership: Tells which VM owns a bucket.
            peers: Streams to other VMs.
            clock: Timers and clock.
            platform: Takes the confirmation of new shares; None confirms nothing.
            shares_adopted: Returns the lowest number of ``Shares`` that a member of this domain's view reports.
        """
        self._directory = directory
        self._clock = clock
        self._platform = platform
        self._shares_adopted = shares_adopted
        self._domain = peers.member.domain
        self._exchange = token_exchange.Exchange(directory, membership, peers, clock)
        self._owner = bucket_owner.Owner(directory, membership, self._exchange, clock, self._domain, self._spawn)
        self._states: dict[str, _State] = {}
        self._busy: dict[str, _State] = {}
        self._started = False
        self._reports: timers.Subscription | None = None
        self._subscriptions: list[timers.Subscription] = []
        self._tasks: set[asyncio.Task[Any]] = set()
        peers.handler(token_exchange.KIND)(self._handle)
        self._share: float | None = None
        directory.subscribe(self._changed)

    def start(self) -> None:
        """Subscribe to the timers."""
        self._started = True
        self._subscriptions = [
            self._clock.subscribe("share confirmation", CONFIRM_INTERVAL_S, self._confirm),
        ]
        self._start_reports()

    async def stop(self) -> None:
        """Hand back unspent tokens and end the tasks; waiting requests are refused as not run."""
        self._started = False
        for subscription in self._subscriptions:
            subscription.cancel()
        if self._reports is not None:
            self._reports.cancel()
            self._reports = None
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        leaving = verdict.Refusal(verdict.Reason.LEAVING, detail="the VM is leaving", retry_after_s=1.0)
        for state in self._states.values():
            while state.waiting:
                self._settle(state, leaving)
            self._tell(state, idle_s=0.0)

    def ledgers(self) -> list[tuple[str, float, float]]:
        """Return organisation, level and outstanding tokens of each ledger that this VM keeps."""
        accounts = ((state.name, self._owner.current(state.account)) for state in self._states.values())
        return [(name, ledger.level, ledger.outstanding) for name, ledger in accounts if ledger is not None]

    async def admit(self, organisation: str) -> verdict.Refusal | None:
        """Take one token; return a refusal if the organisation is over its rate."""
        if organisation not in self._directory.configuration.organisations:
            return verdict.Refusal(verdict.Reason.UNKNOWN_KEY, detail="the organisation is not configured")
        state = self._state(organisation)
        state.cache.demand.count(self._clock.now())
        # A request that overtakes waiting ones would starve them under load.
        if not state.waiting and self._take(state):
            self._ask_ahead(state)
            return None
        if len(state.waiting) >= MAX_WAITING:
            return self._over_rate(state, len(state.waiting) / max(self._owner.limits(organisation)[0], 0.001))
        future: asyncio.Future[verdict.Refusal | None] = asyncio.get_running_loop().create_future()
        state.waiting.append(_Waiter(self._clock.now(), future))
        self._start_pump(state)
        return await future

    def _state(self, organisation: str) -> _State:
        state = self._states.get(organisation) or self._states.setdefault(organisation, _State(organisation))
        if organisation not in self._busy:
            self._busy[organisation] = state
            self._start_reports()
        return state

    def _start_reports(self) -> None:
        if self._started and self._busy and self._reports is None:
            self._reports = self._clock.subscribe("token reports", REPORT_INTERVAL_S, self._report)

    async def _handle(self, sender: str, body: dict[str, Any]) -> dict[str, Any]:
        ask = wire.from_map(token_exchange.Ask, body)
        if ask.organisation not in self._directory.configuration.organisations:
            return wire.to_map(token_exchange.Given(owner=False))
        return wire.to_map(await self._owner.give(sender, self._state(ask.organisation).account, ask))

    def _changed(self, kind: str, name: str) -> None:
        now = self._clock.now()
        for state in self._states.values():
            if state.account.ledger is not None:
                state.account.ledger.configure(*self._owner.limits(state.name), now)

    # Tokens of this VM.

    def _take(self, state: _State) -> bool:
        now = self._clock.now()
        if state.cache.take(now):
            return True
        ledger = self._owner.ledger(state.account)
        taken = ledger is not None and ledger.take(now)
        if taken:
            state.account.used_at = now
        return taken

    def _start_pump(self, state: _State) -> None:
        if state.pump is None or state.pump.done():
            state.pump = self._spawn(self._guard(state))

    def _ask_ahead(self, state: _State) -> None:
        if self._owner.ledger(state.account) is None and state.cache.is_low(
            self._clock.now(), self._most_ahead(state.name)
        ):
            self._start_pump(state)

    async def _guard(self, state: _State) -> None:
        """Refuse the waiting requests if fetching fails unexpectedly; none of them has run."""
        try:
            await self._pump(state)
        except Exception as error:
            _log.opt(exception=error).error("fetching tokens of {} failed", state.name)
            refusal = verdict.Refusal(verdict.Reason.INTERNAL, detail="fetching tokens failed", retry_after_s=1.0)
            while state.waiting:
                self._settle(state, refusal)

    async def _pump(self, state: _State) -> None:
        """Fetch tokens until no request waits; all that wait share one message."""
        while True:
            self._drop_cancelled(state)
            count = len(state.waiting)
            refusal = await self._refill(state, count)
            count -= self._drop_cancelled(state)
            served = 0
            while state.waiting and self._take(state):
                self._settle(state, None)
                served += 1
            self._tell(state, token_cache.IDLE_S)
            held = self._refuse(state, count - served, refusal)
            if not state.waiting:
                return
            if held == len(state.waiting):
                await asyncio.sleep(HOLD_RETRY_S)

    def _drop_cancelled(self, state: _State) -> int:
        """Remove requests whose caller no longer waits, so that they take no token; return how many."""
        before = len(state.waiting)
        state.waiting = collections.deque(waiter for waiter in state.waiting if not waiter.future.done())
        return before - len(state.waiting)

    def _refuse(self, state: _State, count: int, refusal: verdict.Refusal) -> int:
        """Refuse the first ``count`` waiting requests, but let a few wait a moment; return how many are held.

        Owners that are short at the same time lend to each other, and tokens on their way cannot be spent. An
        organisation that is often refused is over its rate and is not held, since each held request keeps one of the
        border's threads.
        """
        now = self._clock.now()
        over = refusal.reason is verdict.Reason.OVER_RATE and state.refusals.rate(now) < HOLD_REFUSALS
        held = 0
        for waiter in list(state.waiting)[: max(0, count)]:
            if over and held < MAX_HELD and now < waiter.since + HOLD_S:
                held += 1
                continue
            state.waiting.remove(waiter)
            if refusal.reason is verdict.Reason.OVER_RATE:
                state.refusals.count(now)
            waiter.settle(refusal)
        return held

    def _settle(self, state: _State, refusal: verdict.Refusal | None) -> None:
        state.waiting.popleft().settle(refusal)

    async def _refill(self, state: _State, count: int) -> verdict.Refusal:
        """Fetch tokens for ``count`` requests; return the refusal for those that get none."""
        now = self._clock.now()
        need = max(0, count * token_bucket.TOKEN - state.cache.available(now))
        if self._owner.ledger(state.account) is not None:
            await self._owner.borrow(state.account, need)
            return self._over_rate(state, self._owner.wait_s(state.account))
        want = state.cache.wanted(count, now, self._most_ahead(state.name))
        for vm in self._exchange.owners(state.name):
            ask = token_exchange.Ask(state.name, want, need, spent=tuple(state.cache.reports(vm)))
            given = await self._ask(vm, state, ask)
            if given is not None and given.owner:
                return self._over_rate(state, given.retry_after_s)
        return verdict.Refusal(
            verdict.Reason.UNREACHABLE, detail="no owner of the rate answers", retry_after_s=UNREACHABLE_RETRY_S
        )

    def _most_ahead(self, organisation: str) -> int:
        """Return how many tokens a VM may hold in advance.

        The VMs of a domain together hold at most a quarter of its burst share; otherwise a small organisation's burst
        would lie at VMs that do not need it.
        """
        view = self._directory.views.get(self._domain)
        members = len(view.members) if view is not None else 1
        return self._owner.limits(organisation)[1] // (4 * max(1, members) * token_bucket.TOKEN)

    async def _ask(self, vm: str, state: _State, ask: token_exchange.Ask) -> token_exchange.Given | None:
        asked = self._clock.now()
        given = await self._exchange.send(vm, ask)
        if given is not None:
            for number, amount, lifetime_s in given.grants:
                state.cache.add(vm, number, amount, asked, lifetime_s)
        return given

    def _over_rate(self, state: _State, retry_after_s: float) -> verdict.Refusal:
        return verdict.Refusal(
            verdict.Reason.OVER_RATE,
            detail=f"organisation {state.name!r} is over its rate",
            retry_after_s=max(0.001, retry_after_s),
        )

    # Reports and confirmation.

    def _report(self) -> None:
        """Report for the organisations in use; a VM may know thousands of others, which cost no time."""
        for state in list(self._busy.values()):
            self._tell(state, token_cache.IDLE_S)
            self._owner.report_loans(state.account)
            self._owner.balance(state.account)
            if self._is_idle(state):
                del self._busy[state.name]
        if not self._busy and self._reports is not None:
            self._reports.cancel()
            self._reports = None

    def _is_idle(self, state: _State) -> bool:
        pumping = state.pump is not None and not state.pump.done()
        return not (pumping or state.waiting or state.cache.parts) and self._owner.is_idle(state.account)

    def _tell(self, state: _State, idle_s: float) -> None:
        idle = state.cache.remove_idle(self._clock.now(), idle_s)
        for vm in state.cache.owners() | {part.owner for part in idle}:
            returned = tuple((part.number, part.spent) for part in idle if part.owner == vm)
            self._exchange.tell(
                vm, token_exchange.Ask(state.name, spent=tuple(state.cache.reports(vm)), returned=returned)
            )

    async def _confirm(self) -> None:
        """Adopt a share that rises by time alone, and confirm a falling one once this domain has adopted it."""
        share = self._owner.share()
        if share != self._share:
            self._share = share
            self._changed("shares", "current")
        division = self._directory.shares
        if self._platform is None or not self._owner.division.must_confirm(division):
            return
        if self._shares_adopted() < division.number:
            return
        try:
            stored = await self._platform.read("shares", "current")
            if stored is None or stored.value.get("number") != division.number:
                return
            confirmed = {**stored.value.get("confirmed", {}), self._domain: division.number}
            value = {**stored.value, "confirmed": confirmed}
            await self._platform.write("shares", "current", value, if_version=stored.version)
            _log.info("{} confirmed shares {}", self._domain, division.number)
        except errors.VersionConflictError:
            return
        except errors.PlatformUnavailableError as error:
            _log.warning("shares {} not confirmed: {}", division.number, error)

    def _spawn(self, coroutine: Any) -> asyncio.Task[Any]:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task
