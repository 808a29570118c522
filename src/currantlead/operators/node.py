"""Give operators' commands access to the parts of one VM, and through it to the numbers of all VMs."""

import asyncio
import dataclasses
from collections.abc import Awaitable, Callable, Mapping, Sequence
from typing import Any

from currantlead import errors, interfaces, logs, timers
from currantlead.admission import service, token_bucket
from currantlead.control import directory, exchange, members, store
from currantlead.operators import executor, queries
from currantlead.routing import freshness

STATUS_KIND = "status"
REFRESH_S = 0.2
STATUS_TIMEOUT_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Parts:
    """Name the parts of the daemon that commands read.

    Attributes:
        directory: Shared state.
        members: Lease, roles and the numbers that peers report.
        gate: Rates.
        positions: Estimates of the positions of instances.
        peers: Streams to other VMs.
        store: Changes of the configuration.
        clock: Timer service.
    """

    directory: directory.Directory
    members: members.MembershipService
    gate: service.Service
    positions: freshness.PositionEstimates
    peers: interfaces.Peers
    store: store.ConfigurationStore
    clock: timers.Timers


class Node:
    """Implement ``queries.Node``, and run commands for the operator port."""

    def __init__(self, parts: Parts):
        """Create the node and answer the peer kind ``status``.

        Args:
            parts: The parts that commands read.
        """
        self._parts = parts
        self._remote: dict[str, queries.VmNumbers] = {}
        self._executor = executor.Executor(node=self, change=self._change, clock=parts.clock, sleep=asyncio.sleep)
        parts.peers.handler(STATUS_KIND)(self._answer_status)

    @property
    def directory(self) -> interfaces.Directory:
        """Return the shared state."""
        return self._parts.directory

    @property
    def membership(self) -> interfaces.Membership:
        """Return lease and roles."""
        return self._parts.members

    async def command(self, text: str) -> dict[str, Any]:
        """Run the text of commands and return the body of the answer.

        Args:
            text: Commands in the operators' language.

        Returns:
            The report as a map.

        Raises:
            errors.CommandError: The text is not valid; nothing was changed.
            errors.VersionConflictError: Another operator's change came first.
            errors.PlatformUnavailableError: It is not known whether the change was stored.
        """
        await self._refresh()
        # Each domain by itself: one that gives no answer must not let the numbers of the others grow old.
        refreshing = [asyncio.ensure_future(self._keep_fresh(domain)) for domain in self._other_domains()]
        try:
            return (await self._executor.run(text)).to_map()
        finally:
            for task in refreshing:
                task.cancel()

    def numbers(self) -> Mapping[str, queries.VmNumbers]:
        """Return the numbers of all known VMs, this one included, by VM."""
        return {**self._remote, **self._local_numbers()}

    def leases(self) -> Sequence[queries.Lease]:
        """Return this VM's lease and, as a hint, whether each peer of its domain is heard."""
        own = self._parts.peers.member
        view = self._parts.members.view
        rows = []
        for member in view.members if view is not None else ():
            if member.vm == own.vm:
                rows.append(queries.Lease(own.vm, own.domain, self._parts.members.lease_valid(), self._lease_left()))
            else:
                rows.append(queries.Lease(member.vm, member.domain, self._parts.members.alive(member.vm), 0.0))
        return rows

    def rates(self) -> Sequence[queries.Rate]:
        """Return the ledgers that this VM owns, in requests."""
        own = self._parts.peers.member
        return [
            queries.Rate(
                name,
                own.domain,
                own.vm,
                round(level / token_bucket.TOKEN, 2),
                round(outstanding / token_bucket.TOKEN, 2),
            )
            for name, level, outstanding in self._parts.gate.ledgers()
        ]

    def positions(self) -> Mapping[str, queries.EndpointPosition]:
        """Return the last known positions by instance."""
        now = self._parts.clock.now()
        return {
            name: queries.EndpointPosition(name, position.term, position.index, now - seen_at)
            for name, position, seen_at in self._parts.positions.observations()
        }

    def decisions(self) -> Sequence[queries.Decision]:
        """Return the last decisions, newest first."""
        return [queries.Decision(*line) for line in reversed(logs.recent_decisions())]

    def _lease_left(self) -> float:
        return round(self._parts.members.lease_remaining_s(), 2)

    def _local_numbers(self) -> dict[str, queries.VmNumbers]:
        own = self._parts.peers.member
        view = self._parts.members.view
        number = view.number if view is not None else 0
        found = {
            own.vm: queries.VmNumbers(
                own.vm, own.domain, self.directory.configuration.number, number, self.directory.shares.number
            )
        }
        for member in view.members if view is not None else ():
            if member.vm != own.vm:
                reported = self._parts.members.heartbeat_values(member.vm)
                found[member.vm] = queries.VmNumbers(
                    member.vm, member.domain, _configuration(reported), number, int(reported.get("shares", 0))
                )
        return found

    async def _answer_status(self, vm: str, body: dict[str, Any]) -> dict[str, Any]:
        return {"vms": [dataclasses.astuple(numbers) for numbers in self._local_numbers().values()]}

    async def _keep_fresh(self, domain: str) -> None:
        while True:
            await asyncio.sleep(REFRESH_S)
            await self._ask(domain)

    async def _refresh(self) -> None:
        """Ask one VM of each other domain for the numbers of its domain."""
        await asyncio.gather(*(self._ask(domain) for domain in self._other_domains()))

    def _other_domains(self) -> list[str]:
        return [domain for domain in self.directory.views if domain != self._parts.peers.member.domain]

    async def _ask(self, domain: str) -> None:
        view = self.directory.views.get(domain)
        for member in view.members if view is not None else ():
            try:
                reply = await self._parts.peers.request(member.vm, STATUS_KIND, {}, timeout_s=STATUS_TIMEOUT_S)
                rows = [queries.VmNumbers(*row) for row in reply["vms"]]
            except (errors.PeerUnreachableError, errors.PeerAnswerLostError, KeyError, TypeError):
                continue
            # A VM that left its domain's view would be named as pending for ever.
            kept = {vm: row for vm, row in self._remote.items() if row.domain != domain}
            self._remote = kept | {row.vm: row for row in rows if row.domain == domain}
            return

    async def _change(self, mutate: executor.Mutate, change_id: str) -> int:
        outcome = await self._parts.store.change(mutate, change_id)
        if outcome.is_ok():
            return outcome.ok_value
        raise _ERRORS[type(outcome.err_value)](outcome.err_value)


def _refused(fault: store.Refused) -> errors.CurrantleadError:
    return fault.error if isinstance(fault.error, errors.CommandError) else errors.CommandError(str(fault.error))


def _conflict(fault: store.Conflict) -> errors.CurrantleadError:
    return errors.VersionConflictError(f"{fault.detail}; the current number is {fault.number}")


def _unavailable(fault: store.Unavailable) -> errors.CurrantleadError:
    stored = "the change may be stored" if fault.may_be_stored else "nothing was changed"
    return errors.PlatformUnavailableError(f"{fault.detail}; {stored}")


_ERRORS: dict[type[Any], Callable[[Any], errors.CurrantleadError]] = {
    store.Refused: _refused,
    store.Conflict: _conflict,
    store.Unavailable: _unavailable,
}


def _configuration(reported: Mapping[str, Any]) -> int:
    state = reported.get("state")
    if not isinstance(state, dict):
        return 0
    try:
        return exchange.decode_summary(state).configuration
    except errors.MalformedFrameError:
        return 0


def run_on_loop(
    node: Node, run: Callable[[Awaitable[Any], float], Any], timeout_s: float
) -> Callable[[str], dict[str, Any]]:
    """Return a function that runs commands from the operator port's own thread.

    Args:
        node: The node.
        run: Runs a coroutine on the core loop and waits.
        timeout_s: Longest wait.

    Returns:
        A function from the text of commands to the body of the answer.
    """
    return lambda text: run(node.command(text), timeout_s)
