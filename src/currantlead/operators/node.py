"""Access of operator commands to the components of a VM, and to the numbers that other VMs report."""

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
REFRESH_INTERVAL_S = 0.2
STATUS_TIMEOUT_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Components:
    """Components of the daemon that commands use.

    Attributes:
        directory: Objects of the platform as this VM knows them.
        members: Lease, roles and heartbeat values of the VMs of this domain.
        admission: Admission service, with the token buckets that this VM owns.
        positions: Estimated replication positions of endpoint instances.
        peers: Connections to other VMs.
        store: Store of the configuration.
        clock: Timer service.
    """

    directory: directory.Directory
    members: members.MembershipService
    admission: service.AdmissionService
    positions: freshness.PositionEstimates
    peers: interfaces.Peers
    store: store.ConfigurationStore
    clock: timers.Timers


class Node:
    """Implementation of ``queries.Node`` that also runs the commands of the operator port."""

    def __init__(self, components: Components):
        """Create the node and register its handler for peer requests of the kind ``status``.

        Args:
            components: Components that commands use.
        """
        self._components = components
        self._remote_numbers: dict[str, queries.VmNumbers] = {}
        self._executor = executor.Executor(
            node=self, change=self._change_configuration, clock=components.clock, sleep=asyncio.sleep
        )
        components.peers.handler(STATUS_KIND)(self._handle_status)

    @property
    def directory(self) -> interfaces.Directory:
        """Objects of the platform as this VM knows them."""
        return self._components.directory

    @property
    def membership(self) -> interfaces.Membership:
        """Membership service, with the lease and the roles of this VM."""
        return self._components.members

    async def command(self, text: str) -> dict[str, Any]:
        """Run a text of commands and return the body of the response.

        Args:
            text: Commands in the command language.

        Returns:
            The report as a dictionary.

        Raises:
            errors.CommandError: The text is not valid; nothing was changed.
            errors.VersionConflictError: Another operator's change was stored first.
            errors.PlatformUnavailableError: It is unknown whether the change was stored.
        """
        await self._refresh_all()
        # One task per domain, so that an unresponsive domain does not delay the refresh of the others.
        refresh_tasks = [asyncio.ensure_future(self._refresh_periodically(domain)) for domain in self._other_domains()]
        try:
            return (await self._executor.run(text)).to_map()
        finally:
            for task in refresh_tasks:
                task.cancel()

    def numbers(self) -> Mapping[str, queries.VmNumbers]:
        """Return the reported numbers of all known VMs, including this one, by VM name."""
        return {**self._remote_numbers, **self._local_numbers()}

    def leases(self) -> Sequence[queries.Lease]:
        """Return the lease of this VM; for the peers of its domain only a hint, whether they are alive."""
        own = self._components.peers.member
        view = self._components.members.view
        rows = []
        for member in view.members if view is not None else ():
            if member.vm == own.vm:
                rows.append(
                    queries.Lease(own.vm, own.domain, self._components.members.lease_valid(), self._remaining_lease_s())
                )
            else:
                rows.append(queries.Lease(member.vm, member.domain, self._components.members.alive(member.vm), 0.0))
        return rows

    def rates(self) -> Sequence[queries.Rate]:
        """Return the token buckets of the rate limits that this VM owns, in requests."""
        own = self._components.peers.member
        return [
            queries.Rate(
                name,
                own.domain,
                own.vm,
                round(level / token_bucket.TOKEN, 2),
                round(outstanding / token_bucket.TOKEN, 2),
            )
            for name, level, outstanding in self._components.admission.owned_buckets()
        ]

    def positions(self) -> Mapping[str, queries.EndpointPosition]:
        """Return the last known positions by instance name."""
        now = self._components.clock.now()
        return {
            name: queries.EndpointPosition(name, position.term, position.index, now - received_at)
            for name, position, received_at in self._components.positions.observations()
        }

    def decisions(self) -> Sequence[queries.Decision]:
        """Return the most recent decisions, newest first."""
        return [queries.Decision(*line) for line in reversed(logs.recent_decisions())]

    def _remaining_lease_s(self) -> float:
        return round(self._components.members.lease_remaining_s(), 2)

    def _local_numbers(self) -> dict[str, queries.VmNumbers]:
        own = self._components.peers.member
        view = self._components.members.view
        number = view.number if view is not None else 0
        numbers_by_vm = {
            own.vm: queries.VmNumbers(
                own.vm, own.domain, self.directory.configuration.number, number, self.directory.shares.number
            )
        }
        for member in view.members if view is not None else ():
            if member.vm != own.vm:
                heartbeat = self._components.members.heartbeat_values(member.vm)
                numbers_by_vm[member.vm] = queries.VmNumbers(
                    member.vm, member.domain, _configuration_number(heartbeat), number, int(heartbeat.get("shares", 0))
                )
        return numbers_by_vm

    async def _handle_status(self, vm: str, body: dict[str, Any]) -> dict[str, Any]:
        return {"vms": [dataclasses.astuple(numbers) for numbers in self._local_numbers().values()]}

    async def _refresh_periodically(self, domain: str) -> None:
        while True:
            await asyncio.sleep(REFRESH_INTERVAL_S)
            await self._fetch_numbers(domain)

    async def _refresh_all(self) -> None:
        """Fetch the numbers of each other domain from one of its VMs."""
        await asyncio.gather(*(self._fetch_numbers(domain) for domain in self._other_domains()))

    def _other_domains(self) -> list[str]:
        return [domain for domain in self.directory.views if domain != self._components.peers.member.domain]

    async def _fetch_numbers(self, domain: str) -> None:
        view = self.directory.views.get(domain)
        for member in view.members if view is not None else ():
            try:
                reply = await self._components.peers.request(member.vm, STATUS_KIND, {}, timeout_s=STATUS_TIMEOUT_S)
                rows = [queries.VmNumbers(*row) for row in reply["vms"]]
            except (errors.PeerUnreachableError, errors.PeerAnswerLostError, KeyError, TypeError):
                continue
            # Replaces all rows of the domain: a VM that left its view would otherwise be reported as pending forever.
            other_rows = {vm: row for vm, row in self._remote_numbers.items() if row.domain != domain}
            self._remote_numbers = other_rows | {row.vm: row for row in rows if row.domain == domain}
            return

    async def _change_configuration(self, update: executor.ConfigurationUpdate, change_id: str) -> int:
        outcome = await self._components.store.change(update, change_id)
        if outcome.is_ok():
            return outcome.ok_value
        raise _ERROR_CONVERTERS[type(outcome.err_value)](outcome.err_value)


def _command_error(fault: store.Refused) -> errors.CurrantleadError:
    return fault.error if isinstance(fault.error, errors.CommandError) else errors.CommandError(str(fault.error))


def _conflict_error(fault: store.Conflict) -> errors.CurrantleadError:
    return errors.VersionConflictError(f"{fault.detail}; the current number is {fault.number}")


def _unavailable_error(fault: store.Unavailable) -> errors.CurrantleadError:
    stored = "the change may be stored" if fault.may_be_stored else "nothing was changed"
    return errors.PlatformUnavailableError(f"{fault.detail}; {stored}")


_ERROR_CONVERTERS: dict[type[Any], Callable[[Any], errors.CurrantleadError]] = {
    store.Refused: _command_error,
    store.Conflict: _conflict_error,
    store.Unavailable: _unavailable_error,
}


def _configuration_number(heartbeat: Mapping[str, Any]) -> int:
    state = heartbeat.get("state")
    if not isinstance(state, dict):
        return 0
    try:
        return exchange.decode_summary(state).configuration
    except errors.MalformedFrameError:
        return 0


def command_runner(
    node: Node, run: Callable[[Awaitable[Any], float], Any], timeout_s: float
) -> Callable[[str], dict[str, Any]]:
    """Return a function that runs commands on the event loop from a thread of the operator port.

    Args:
        node: Node that runs the commands.
        run: Runs a coroutine on the event loop and waits for its result.
        timeout_s: Maximum time to wait for the result.

    Returns:
        A function that takes the text of commands and returns the body of the response.
    """
    return lambda text: run(node.command(text), timeout_s)
