"""Rate limiting of requests: spends tokens of the buckets that this VM owns, and requests others from their owners."""

import asyncio
import collections
import dataclasses
from collections.abc import Callable
from typing import Any

from currantlead import errors, interfaces, logs, timers, verdict, wire
from currantlead.admission import bucket_owner, token_bucket, token_cache, token_exchange

REPORT_INTERVAL_S = 0.02
CONFIRM_INTERVAL_S = 0.5
MAX_HOLD_S = 0.05
"""Maximum time that a request without a token is held while bucket owners lend to each other."""
HOLD_RETRY_S = 0.008
"""Interval between attempts to get tokens for held requests: two round trips between domains."""
MAX_REFUSAL_RATE = 2.0
"""Refusals of an organisation per second on a VM, from which its requests are no longer held."""
MAX_HELD_REQUESTS = 4
MAX_WAITING_REQUESTS = 1024
"""Maximum number of requests of one organisation that wait for tokens on a VM; others are refused at once."""
UNREACHABLE_RETRY_S = 1.0

_log = logs.part("admission")


@dataclasses.dataclass(eq=False, slots=True)
class _Waiter:
    """Request that has been waiting for a token since a given time."""

    since: float
    future: asyncio.Future[verdict.Refusal | None]

    def resolve(self, refusal: verdict.Refusal | None) -> None:
        if not self.future.done():
            self.future.set_result(refusal)


class _OrganisationState:
    """State of one organisation's tokens on this VM."""

    def __init__(self, name: str):
        self.name = name
        self.owned = bucket_owner.OwnedBucket(name)
        self.cache = token_cache.TokenCache()
        self.waiting: collections.deque[_Waiter] = collections.deque()
        self.fetch_task: asyncio.Task[None] | None = None
        self.refusals = token_cache.RateEstimator()


class AdmissionService:
    """Implementation of ``interfaces.Admission``, which runs on the core event loop."""

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
            membership: Knows which VM owns a bucket.
            peers: Streams to other VMs.
            clock: Timers and clock.
            platform: Stores the confirmation of new shares; None to confirm nothing.
            shares_adopted: Returns the lowest number of ``Shares`` that any member of this domain's view has adopted.
        """
        self._directory = directory
        self._clock = clock
        self._platform = platform
        self._shares_adopted = shares_adopted
        self._domain = peers.member.domain
        self._exchange = token_exchange.TokenExchange(directory, membership, peers, clock)
        self._bucket_owner = bucket_owner.BucketOwner(
            directory, membership, self._exchange, clock, self._domain, self._spawn
        )
        self._states: dict[str, _OrganisationState] = {}
        self._active: dict[str, _OrganisationState] = {}
        self._started = False
        self._report_timer: timers.Subscription | None = None
        self._subscriptions: list[timers.Subscription] = []
        self._tasks: set[asyncio.Task[Any]] = set()
        peers.handler(token_exchange.KIND)(self._handle_frame)
        self._share: float | None = None
        directory.subscribe(self._on_change)

    def start(self) -> None:
        """Subscribe to the timers."""
        self._started = True
        self._subscriptions = [
            self._clock.subscribe("share confirmation", CONFIRM_INTERVAL_S, self._update_shares),
        ]
        self._start_reports()

    async def stop(self) -> None:
        """Cancel the tasks, refuse waiting requests as not run, and return unspent tokens."""
        self._started = False
        for subscription in self._subscriptions:
            subscription.cancel()
        if self._report_timer is not None:
            self._report_timer.cancel()
            self._report_timer = None
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        leaving = verdict.Refusal(verdict.Reason.LEAVING, detail="the VM is leaving", retry_after_s=1.0)
        for state in self._states.values():
            while state.waiting:
                self._resolve_first(state, leaving)
            self._send_reports(state, max_idle_s=0.0)
            self._bucket_owner.prepare_handover(state.owned)

    def hand_over(self, successor: Callable[[str], str | None]) -> None:
        """Send the tokens of the buckets that this VM owned to their next owners; call it after this VM has left.

        Args:
            successor: Returns the next owner of an organisation's bucket in this failure domain, or None.
        """
        for state in self._states.values():
            amount = self._bucket_owner.take_former(state.owned)
            vm = successor(state.name)
            if amount and vm is not None:
                self._exchange.notify(vm, token_exchange.TokenRequest(state.name, handed_over=amount))

    def owned_buckets(self) -> list[tuple[str, float, float]]:
        """Return organisation, level and outstanding amount of each bucket that this VM owns."""
        buckets = ((state.name, self._bucket_owner.existing_bucket(state.owned)) for state in self._states.values())
        return [(name, bucket.level, bucket.outstanding) for name, bucket in buckets if bucket is not None]

    async def admit(self, organisation: str) -> verdict.Refusal | None:
        """Spend one token of the organisation; return None if the request is admitted, otherwise the refusal."""
        if organisation not in self._directory.configuration.organisations:
            return verdict.Refusal(verdict.Reason.UNKNOWN_KEY, detail="the organisation is not configured")
        state = self._state(organisation)
        state.cache.demand.record(self._clock.now())
        # Under load, requests that overtake waiting ones would starve them.
        if not state.waiting and self._take(state):
            self._prefetch(state)
            return None
        if len(state.waiting) >= MAX_WAITING_REQUESTS:
            return self._over_rate(state, len(state.waiting) / max(self._bucket_owner.limits(organisation)[0], 0.001))
        future: asyncio.Future[verdict.Refusal | None] = asyncio.get_running_loop().create_future()
        state.waiting.append(_Waiter(self._clock.now(), future))
        self._start_fetch(state)
        return await future

    def _state(self, organisation: str) -> _OrganisationState:
        state = self._states.get(organisation) or self._states.setdefault(
            organisation, _OrganisationState(organisation)
        )
        if organisation not in self._active:
            self._active[organisation] = state
            self._start_reports()
        return state

    def _start_reports(self) -> None:
        if self._started and self._active and self._report_timer is None:
            self._report_timer = self._clock.subscribe("token reports", REPORT_INTERVAL_S, self._send_all_reports)

    async def _handle_frame(self, sender: str, body: dict[str, Any]) -> dict[str, Any]:
        request = wire.from_map(token_exchange.TokenRequest, body)
        if request.organisation not in self._directory.configuration.organisations:
            return wire.to_map(token_exchange.TokenReply(owner=False))
        if request.handed_over:
            self._bucket_owner.accept_handover(self._state(request.organisation).owned, request.handed_over)
            return wire.to_map(token_exchange.TokenReply(owner=False))
        return wire.to_map(
            await self._bucket_owner.handle_request(sender, self._state(request.organisation).owned, request)
        )

    def _on_change(self, kind: str, name: str) -> None:
        now = self._clock.now()
        for state in self._states.values():
            if state.owned.bucket is not None:
                state.owned.bucket.configure(*self._bucket_owner.limits(state.name), now)

    # Spending and requesting tokens.

    def _take(self, state: _OrganisationState) -> bool:
        now = self._clock.now()
        if state.cache.take(now):
            return True
        bucket = self._bucket_owner.active_bucket(state.owned)
        taken = bucket is not None and bucket.take(now)
        if taken:
            state.owned.used_at = now
        return taken

    def _start_fetch(self, state: _OrganisationState) -> None:
        if state.fetch_task is None or state.fetch_task.done():
            state.fetch_task = self._spawn(self._run_fetch(state))

    def _prefetch(self, state: _OrganisationState) -> None:
        if self._bucket_owner.active_bucket(state.owned) is None and state.cache.needs_prefetch(
            self._clock.now(), self._max_prefetch(state.name)
        ):
            self._start_fetch(state)

    async def _run_fetch(self, state: _OrganisationState) -> None:
        """Run ``_fetch_tokens``; if it fails unexpectedly, refuse the waiting requests, none of which has run."""
        try:
            await self._fetch_tokens(state)
        except Exception as error:
            _log.opt(exception=error).error(
                "fetching tokens of organisation {} failed; its waiting requests are refused", state.name
            )
            refusal = verdict.Refusal(verdict.Reason.INTERNAL, detail="fetching tokens failed", retry_after_s=1.0)
            while state.waiting:
                self._resolve_first(state, refusal)

    async def _fetch_tokens(self, state: _OrganisationState) -> None:
        """Fetch tokens until no request waits; one frame covers all that wait."""
        while True:
            self._drop_cancelled(state)
            count = len(state.waiting)
            refusal = await self._request_once(state, count)
            count -= self._drop_cancelled(state)
            served = 0
            while state.waiting and self._take(state):
                self._resolve_first(state, None)
                served += 1
            self._send_reports(state, token_cache.MAX_IDLE_S)
            held = self._refuse_or_hold(state, count - served, refusal)
            if not state.waiting:
                return
            if held == len(state.waiting):
                await asyncio.sleep(HOLD_RETRY_S)

    def _drop_cancelled(self, state: _OrganisationState) -> int:
        """Remove requests whose callers no longer wait, so that they spend no tokens; return their number."""
        before = len(state.waiting)
        state.waiting = collections.deque(waiter for waiter in state.waiting if not waiter.future.done())
        return before - len(state.waiting)

    def _refuse_or_hold(self, state: _OrganisationState, count: int, refusal: verdict.Refusal) -> int:
        """Refuse the first ``count`` waiting requests except for a few that are held; return the number of held ones.

        Tokens that owners lend to each other cannot be spent while in transit, so that a request may find none for a
        moment. Requests of an organisation that is often refused are not held: it is over its rate, and each held
        request occupies a thread of the HTTP server.
        """
        now = self._clock.now()
        may_hold = refusal.reason is verdict.Reason.OVER_RATE and state.refusals.rate(now) < MAX_REFUSAL_RATE
        held = 0
        for waiter in list(state.waiting)[: max(0, count)]:
            if may_hold and held < MAX_HELD_REQUESTS and now < waiter.since + MAX_HOLD_S:
                held += 1
                continue
            state.waiting.remove(waiter)
            if refusal.reason is verdict.Reason.OVER_RATE:
                state.refusals.record(now)
            waiter.resolve(refusal)
        return held

    def _resolve_first(self, state: _OrganisationState, refusal: verdict.Refusal | None) -> None:
        state.waiting.popleft().resolve(refusal)

    async def _request_once(self, state: _OrganisationState, count: int) -> verdict.Refusal:
        """Request tokens for ``count`` requests once; return the refusal for those that get none."""
        now = self._clock.now()
        need = max(0, count * token_bucket.TOKEN - state.cache.available(now))
        if self._bucket_owner.active_bucket(state.owned) is not None:
            await self._bucket_owner.borrow(state.owned, need)
            return self._over_rate(state, self._bucket_owner.wait_s(state.owned))
        want = state.cache.amount_to_request(count, now, self._max_prefetch(state.name))
        for vm in self._exchange.owners(state.name):
            request = token_exchange.TokenRequest(state.name, want, need, spent=tuple(state.cache.collect_reports(vm)))
            reply = await self._request_from(vm, state, request)
            if reply is not None and reply.owner:
                return self._over_rate(state, reply.retry_after_s)
        return verdict.Refusal(
            verdict.Reason.UNREACHABLE,
            detail="no owner of the organisation's token bucket answers",
            retry_after_s=UNREACHABLE_RETRY_S,
        )

    def _max_prefetch(self, organisation: str) -> int:
        """Return the maximum number of tokens that a VM prefetches.

        The VMs of a domain together prefetch at most a quarter of its share of the burst; otherwise the burst of a
        small organisation would be held by VMs that do not need it.
        """
        view = self._directory.views.get(self._domain)
        members = len(view.members) if view is not None else 1
        return self._bucket_owner.limits(organisation)[1] // (4 * max(1, members) * token_bucket.TOKEN)

    async def _request_from(
        self, vm: str, state: _OrganisationState, request: token_exchange.TokenRequest
    ) -> token_exchange.TokenReply | None:
        requested_at = self._clock.now()
        reply = await self._exchange.request(vm, request)
        if reply is not None:
            for number, amount, lifetime_s in reply.grants:
                state.cache.add(vm, number, amount, requested_at, lifetime_s)
        return reply

    def _over_rate(self, state: _OrganisationState, retry_after_s: float) -> verdict.Refusal:
        return verdict.Refusal(
            verdict.Reason.OVER_RATE,
            detail=f"organisation {state.name!r} is over its rate",
            retry_after_s=max(0.001, retry_after_s),
        )

    # Reports to owners, and confirmation of shares.

    def _send_all_reports(self) -> None:
        """Send reports for the active organisations; the others, which may be thousands, cost no time."""
        for state in list(self._active.values()):
            self._send_reports(state, token_cache.MAX_IDLE_S)
            self._bucket_owner.report_loans(state.owned)
            self._bucket_owner.balance(state.owned)
            if self._is_idle(state):
                del self._active[state.name]
        if not self._active and self._report_timer is not None:
            self._report_timer.cancel()
            self._report_timer = None

    def _is_idle(self, state: _OrganisationState) -> bool:
        fetching = state.fetch_task is not None and not state.fetch_task.done()
        return not (fetching or state.waiting or state.cache.grants) and self._bucket_owner.is_idle(state.owned)

    def _send_reports(self, state: _OrganisationState, max_idle_s: float) -> None:
        idle = state.cache.remove_idle(self._clock.now(), max_idle_s)
        for vm in state.cache.owners_to_report() | {grant.owner for grant in idle}:
            returned = tuple((grant.number, grant.spent) for grant in idle if grant.owner == vm)
            self._exchange.notify(
                vm,
                token_exchange.TokenRequest(
                    state.name, spent=tuple(state.cache.collect_reports(vm)), returned=returned
                ),
            )

    async def _update_shares(self) -> None:
        """Apply a change of this domain's share, and confirm a decrease once all members of its view have adopted it.

        An increase takes effect by the passage of time alone, without a change of the shared state.
        """
        share = self._bucket_owner.share()
        if share != self._share:
            self._share = share
            self._on_change("shares", "current")
        division = self._directory.shares
        if self._platform is None or not self._bucket_owner.domain_share.must_confirm(division):
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
            _log.info("domain {} confirmed shares {}", self._domain, division.number)
        except errors.VersionConflictError:
            return
        except errors.PlatformUnavailableError as error:
            _log.warning("shares {} not confirmed: {}", division.number, error)

    def _spawn(self, coroutine: Any) -> asyncio.Task[Any]:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task
