"""Admit requests: own the buckets of this VM's organisations and ask the owners of the others."""

import asyncio
import collections
import dataclasses
import secrets
from collections.abc import Callable, Sequence
from typing import Any

from currantlead import errors, interfaces, logs, timers, verdict, wire
from currantlead.admission import bucket, gate, shares

KIND = "tokens"
ASK_TIMEOUT_S = 0.3
"""Patience with an owner; far above a round trip between regions (20 ms), far below the lifetime of a grant."""
AVOID_S = 1.0
"""Time for which an unreachable owner is not asked for loans, so that each request does not wait for it."""
REPORT_INTERVAL_S = 0.02
BALANCE_INTERVAL_S = 0.1
CONFIRM_INTERVAL_S = 0.5
MAX_WAITING = 1024
"""Requests of one organisation that may wait for tokens at a VM; more are refused at once."""
UNREACHABLE_RETRY_S = 1.0

_log = logs.part("admission")


@dataclasses.dataclass(frozen=True, slots=True)
class Ask:
    """Ask an owner for tokens; the body of a ``tokens`` frame.

    Attributes:
        organisation: Whose tokens.
        want: Amount; 0 in a frame that only reports.
        loan: Whether the sender is an owner that borrows; a lender does not borrow itself.
        level: Borrower's level.
        room: What the borrower can add to its level.
        spent: (grant, whole amount spent) pairs.
        returned: (grant, whole amount spent) of grants that the sender gives back.
    """

    organisation: str
    want: int = 0
    loan: bool = False
    level: int = 0
    room: int = 0
    spent: tuple[tuple[int, int], ...] = ()
    returned: tuple[tuple[int, int], ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Given:
    """Answer an ask.

    Attributes:
        owner: Whether the answering VM owns the bucket.
        grants: (number, amount, lifetime in seconds) of each grant.
        retry_after_s: When one more token is expected.
    """

    owner: bool
    grants: tuple[tuple[int, int, float], ...] = ()
    retry_after_s: float = 0.0


class _State:
    """Hold what this VM knows of one organisation's tokens."""

    def __init__(self, name: str):
        self.name = name
        self.cache = gate.Cache()
        self.ledger: bucket.Ledger | None = None
        self.owned_since: float | None = None
        self.waiting: collections.deque[asyncio.Future[verdict.Refusal | None]] = collections.deque()
        self.pump: asyncio.Task[None] | None = None
        self.borrowing = asyncio.Lock()
        self.balanced_at = float("-inf")


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
        self._membership = membership
        self._peers = peers
        self._clock = clock
        self._platform = platform
        self._shares_adopted = shares_adopted
        self._domain = peers.member.domain
        self._vm = peers.member.vm
        self._division = shares.Division(self._domain)
        self._states: dict[str, _State] = {}
        self._avoid: dict[str, float] = {}
        self._subscriptions: list[timers.Subscription] = []
        self._tasks: set[asyncio.Task[Any]] = set()
        peers.handler(KIND)(self._handle)
        directory.subscribe(self._changed)

    def start(self) -> None:
        """Subscribe to the timers."""
        self._subscriptions = [
            self._clock.subscribe("token reports", REPORT_INTERVAL_S, self._report),
            self._clock.subscribe("share confirmation", CONFIRM_INTERVAL_S, self._confirm),
        ]

    async def stop(self) -> None:
        """Hand back unspent tokens and end the tasks; waiting requests are refused as not run."""
        for subscription in self._subscriptions:
            subscription.cancel()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        leaving = verdict.Refusal(verdict.Reason.LEAVING, detail="the VM is leaving", retry_after_s=1.0)
        for state in self._states.values():
            while state.waiting:
                self._settle(state, leaving)
            self._tell(state, idle_s=0.0)

    async def admit(self, organisation: str) -> verdict.Refusal | None:
        """Take one token; return a refusal if the organisation is over its rate."""
        if organisation not in self._directory.configuration.organisations:
            return verdict.Refusal(verdict.Reason.UNKNOWN_KEY, detail="the organisation is not configured")
        state = self._states.get(organisation) or self._states.setdefault(organisation, _State(organisation))
        state.cache.arrive(self._clock.now())
        # A request that overtakes waiting ones would starve them under load.
        if not state.waiting and self._take(state):
            self._ask_ahead(state)
            return None
        if len(state.waiting) >= MAX_WAITING:
            return self._over_rate(state, len(state.waiting) / max(self._limits(organisation)[0], 0.001))
        future: asyncio.Future[verdict.Refusal | None] = asyncio.get_running_loop().create_future()
        state.waiting.append(future)
        self._start_pump(state)
        return await future

    # Tokens of this VM.

    def _take(self, state: _State) -> bool:
        now = self._clock.now()
        if state.cache.take(now):
            return True
        ledger = self._ledger(state)
        taken = ledger is not None and ledger.take(now)
        if taken:
            self._balance(state)
        return taken

    def _start_pump(self, state: _State) -> None:
        if state.pump is None or state.pump.done():
            state.pump = self._spawn(self._pump(state))

    def _ask_ahead(self, state: _State) -> None:
        if self._ledger(state) is None and state.cache.is_low(self._clock.now()):
            self._start_pump(state)

    async def _pump(self, state: _State) -> None:
        """Fetch tokens until no request waits; all that wait share one message."""
        while True:
            count = len(state.waiting)
            refusal = await self._refill(state, count)
            served = 0
            while state.waiting and self._take(state):
                self._settle(state, None)
                served += 1
            for _ in range(count - served):
                self._settle(state, refusal)
            if not state.waiting:
                return

    def _settle(self, state: _State, refusal: verdict.Refusal | None) -> None:
        if state.waiting:
            future = state.waiting.popleft()
            if not future.done():
                future.set_result(refusal)

    async def _refill(self, state: _State, count: int) -> verdict.Refusal:
        """Fetch tokens for ``count`` requests; return the refusal for those that get none."""
        want = state.cache.wanted(count, self._clock.now())
        if self._ledger(state) is not None:
            await self._borrow(state, want)
            return self._refuse_as_owner(state)
        for owner in self._owners(state.name):
            given = await self._ask(owner, state, Ask(state.name, want, spent=tuple(state.cache.reports(owner))))
            if given is not None and given.owner:
                return self._over_rate(state, given.retry_after_s)
        return verdict.Refusal(
            verdict.Reason.UNREACHABLE, detail="no owner of the rate answers", retry_after_s=UNREACHABLE_RETRY_S
        )

    async def _ask(self, owner: str, state: _State, ask: Ask) -> Given | None:
        asked = self._clock.now()
        given = await self._send(owner, ask)
        if given is not None and not ask.loan:
            for number, amount, lifetime_s in given.grants:
                state.cache.add(owner, number, amount, asked, lifetime_s)
        return given

    async def _send(self, owner: str, ask: Ask) -> Given | None:
        try:
            body = await self._peers.request(owner, KIND, wire.to_map(ask), timeout_s=ASK_TIMEOUT_S)
            return wire.from_map(Given, body)
        except (errors.PeerUnreachableError, errors.PeerAnswerLostError, TimeoutError):
            self._avoid[owner] = self._clock.now() + AVOID_S
        except errors.MalformedFrameError as error:
            _log.warning("owner {} gave a malformed answer: {}", owner, error)
        return None

    def _owners(self, organisation: str) -> Sequence[str]:
        """Return the owner in this domain, then those of other domains; recently unreachable ones last."""
        names = [self._domain, *sorted(name for name in self._directory.views if name != self._domain)]
        found = [self._membership.owner(organisation, name) for name in names]
        now = self._clock.now()
        owners = [owner for owner in found if owner is not None and owner != self._vm]
        return sorted(owners, key=lambda owner: self._avoid.get(owner, now) > now)

    def _over_rate(self, state: _State, retry_after_s: float) -> verdict.Refusal:
        return verdict.Refusal(
            verdict.Reason.OVER_RATE,
            detail=f"organisation {state.name!r} is over its rate",
            retry_after_s=max(0.001, retry_after_s),
        )

    # Owner role.

    def _ledger(self, state: _State) -> bucket.Ledger | None:
        """Return the ledger if this VM is the owner now; use it before the next await."""
        if not self._membership.owns(state.name):
            state.ledger = None
            return None
        since = self._membership.owned_since(state.name)
        if since is None:
            return None
        if state.ledger is None or state.owned_since != since:
            rate, burst = self._limits(state.name)
            # Grants of the previous owner may be valid until then.
            start = since + bucket.OWNER_LIFETIME_S
            state.ledger = bucket.Ledger(rate, burst, accrue_from=start, first_number=secrets.randbits(60))
            state.owned_since = since
            _log.info("owns the rate of {} in {} since {:.3f}", state.name, self._domain, since)
        return state.ledger

    def _limits(self, organisation: str) -> tuple[float, float]:
        settings = self._directory.configuration.organisations.get(organisation)
        if settings is None:
            return 0.0, 0.0
        share = self._division.share(self._directory.shares, self._directory.views, self._clock.now())
        return settings.rate * share, settings.burst * share

    def _changed(self, kind: str, name: str) -> None:
        now = self._clock.now()
        for state in self._states.values():
            if state.ledger is not None:
                state.ledger.configure(*self._limits(state.name), now)

    async def _handle(self, sender: str, body: dict[str, Any]) -> dict[str, Any]:
        ask = wire.from_map(Ask, body)
        if ask.organisation not in self._directory.configuration.organisations:
            return wire.to_map(Given(owner=False))
        state = self._states.get(ask.organisation) or self._states.setdefault(
            ask.organisation, _State(ask.organisation)
        )
        return wire.to_map(await self._give(sender, state, ask))

    async def _give(self, sender: str, state: _State, ask: Ask) -> Given:
        ledger = self._ledger(state)
        if ledger is None:
            return Given(owner=False)
        now = self._clock.now()
        for number, spent in ask.spent:
            ledger.report(sender, number, spent)
        for number, spent in ask.returned:
            ledger.give_back(sender, number, spent, now)
        if ask.loan:
            return self._given(state, ledger.lend(sender, ask.want, ask.level, ask.room, now))
        if ledger.available(now) < ask.want:
            await self._borrow(state, ask.want)
            ledger = self._ledger(state)
            if ledger is None:
                return Given(owner=False)
        grants = ledger.grant(sender, ask.want, self._clock.now()) if ask.want else []
        self._balance(state)
        return self._given(state, grants)

    def _given(self, state: _State, grants: list[bucket.Grant]) -> Given:
        retry = self._refuse_as_owner(state).retry_after_s or 0.0
        return Given(True, tuple((grant.number, grant.amount, grant.lifetime_s) for grant in grants), retry)

    def _refuse_as_owner(self, state: _State) -> verdict.Refusal:
        ledger, now = self._ledger(state), self._clock.now()
        settings = self._directory.configuration.organisations.get(state.name)
        if ledger is None or settings is None:
            return self._over_rate(state, UNREACHABLE_RETRY_S)
        isolated = any(until > now for until in self._avoid.values())
        rate = ledger.rate if isolated else settings.rate
        return self._over_rate(state, ledger.wait_s(bucket.TOKEN, now, rate))

    async def _borrow(self, state: _State, want: int) -> None:
        """Ask the owners of other domains for what is missing, one after the other."""
        async with state.borrowing:
            for lender in self._owners(state.name):
                ledger, asked = self._ledger(state), self._clock.now()
                if ledger is None:
                    return
                missing = want - ledger.available(asked)
                if (want and missing <= 0) or self._avoid.get(lender, asked) > asked:
                    continue
                ask = Ask(state.name, max(0, missing), True, ledger.level, ledger.room)
                given = await self._ask(lender, state, ask)
                self._add_loans(state, ledger, lender, given, asked)
        self._report_loans(state)

    def _add_loans(
        self, state: _State, asked_for: bucket.Ledger, lender: str, given: Given | None, asked: float
    ) -> None:
        ledger = self._ledger(state)
        if ledger is not asked_for or given is None:
            return
        for number, amount, lifetime_s in given.grants:
            expires = asked + min(lifetime_s, bucket.GRANT_LIFETIME_S)
            ledger.borrow(bucket.Loan(number, lender, amount, expires), self._clock.now())

    def _balance(self, state: _State) -> None:
        """Fetch tokens from fuller domains in the background when less than half of the burst share is left."""
        ledger, now = state.ledger, self._clock.now()
        if ledger is None or ledger.level * 2 > ledger.burst or now - state.balanced_at < BALANCE_INTERVAL_S:
            return
        state.balanced_at = now
        self._spawn(self._borrow_and_absorb(state))

    async def _borrow_and_absorb(self, state: _State) -> None:
        await self._borrow(state, 0)

    # Reports and confirmation.

    def _report(self) -> None:
        for state in self._states.values():
            self._tell(state, gate.IDLE_S)
            self._report_loans(state)

    def _tell(self, state: _State, idle_s: float) -> None:
        idle = state.cache.remove_idle(self._clock.now(), idle_s)
        for owner in state.cache.owners() | {part.owner for part in idle}:
            returned = tuple((part.number, part.spent) for part in idle if part.owner == owner)
            ask = Ask(state.name, spent=tuple(state.cache.reports(owner)), returned=returned)
            self._peers.notify(owner, KIND, wire.to_map(ask))

    def _report_loans(self, state: _State) -> None:
        ledger = self._ledger(state)
        if ledger is None:
            return
        ledger.absorb(self._clock.now())
        for loan in ledger.loan_reports():
            self._peers.notify(loan.lender, KIND, wire.to_map(Ask(state.name, spent=((loan.number, loan.spent),))))

    async def _confirm(self) -> None:
        """Confirm a falling share once every member of this domain's view has adopted it."""
        division = self._directory.shares
        if self._platform is None or not self._division.must_confirm(division):
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
