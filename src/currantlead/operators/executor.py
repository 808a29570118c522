"""Execution of commands on a VM: first all changes atomically, then the queries."""

import dataclasses
import hashlib
import secrets
from collections.abc import Awaitable, Callable
from typing import Any

from currantlead import errors, logs, timers
from currantlead.control import model
from currantlead.operators import commands, language, queries

_log = logs.part("operators")

ConfigurationUpdate = Callable[[model.Configuration], model.Configuration]
ChangeConfiguration = Callable[[ConfigurationUpdate, str], Awaitable[int]]
"""Applies a pure function to the stored configuration under a change id; returns the new configuration number.

Raises ``errors.VersionConflictError`` if another operator's change was stored first, and
``errors.PlatformUnavailableError`` if it is unknown whether the change was stored. Exceptions of the function itself
propagate.
"""
Sleep = Callable[[float], Awaitable[Any]]

IN_FORCE_TIMEOUT_S = 2.0
POLL_INTERVAL_S = 0.05


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """Result of the commands of one request.

    Attributes:
        tables: One table for each query, and one for the generated keys.
        accepted: Whether a change was stored; None if there were no changes to apply.
        number: Number of the new configuration, or None.
        in_force: VMs that have reported this number, as ``{"vm", "domain"}``.
        pending: VMs in the views, and other known VMs, that have not reported it yet, in the same form.
    """

    tables: tuple[queries.Table, ...] = ()
    accepted: bool | None = None
    number: int | None = None
    in_force: tuple[dict[str, str], ...] = ()
    pending: tuple[dict[str, str], ...] = ()

    def to_map(self) -> dict[str, Any]:
        """Return the body of the HTTP response; ``columns`` and ``rows`` are those of the last table."""
        tables = [
            {"command": t.command, "columns": list(t.columns), "rows": [list(r) for r in t.rows]} for t in self.tables
        ]
        last = tables[-1] if tables else {"columns": [], "rows": []}
        return {
            "columns": last["columns"],
            "rows": last["rows"],
            "tables": tables,
            "accepted": self.accepted,
            "number": self.number,
            "in_force": list(self.in_force),
            "pending": list(self.pending),
        }


class Executor:
    """Runs the commands of operators on one VM."""

    def __init__(self, *, node: queries.Node, change: ChangeConfiguration, clock: timers.Timers, sleep: Sleep):
        """Create the executor.

        Args:
            node: State of this VM that the queries read.
            change: Applies a change to the stored configuration.
            clock: Source of the current time.
            sleep: Waits for a number of seconds; ``asyncio.sleep`` in the daemon.
        """
        self._node = node
        self._change = change
        self._clock = clock
        self._sleep = sleep

    async def run(self, text: str) -> Report:
        """Run all commands of a text; either all of its changes are applied or none.

        Args:
            text: Commands in the command language.

        Returns:
            The tables of the queries, and where a change is in force.

        Raises:
            errors.CommandError: The text is not valid or a command cannot be executed; nothing was changed.
            errors.VersionConflictError: Another operator's change was stored first; nothing was changed.
            errors.PlatformUnavailableError: It is unknown whether the change was stored.
        """
        parsed = language.parse(text)
        changes, keys = _generate_keys([command for command in parsed if command.kind in commands.COMMANDS])
        report = await self._apply(changes) if changes else Report()
        query_commands = [command for command in parsed if command.kind not in commands.COMMANDS]
        tables = tuple(queries.run_query(command, self._node) for command in query_commands)
        if keys:
            tables = (*tables, queries.Table("add key", ("key", "organisation", "secret (shown once)"), keys))
        return dataclasses.replace(report, tables=tables)

    async def _apply(self, changes: list[language.Command]) -> Report:
        context = self._context()
        change_id = secrets.token_hex(16)
        number = await self._change(lambda configuration: commands.apply(configuration, changes, context), change_id)
        kinds = ", ".join(sorted({command.kind for command in changes}))
        _log.info("configuration {} stored with {} change(s): {}", number, len(changes), kinds)
        deadline = self._clock.now() + IN_FORCE_TIMEOUT_S
        in_force, pending = self._check_propagation(number)
        while pending and self._clock.now() < deadline:
            await self._sleep(POLL_INTERVAL_S)
            in_force, pending = self._check_propagation(number)
        if pending:
            _log.warning("configuration {} is still pending on VMs {}", number, [entry["vm"] for entry in pending])
        return Report((), True, number, tuple(in_force), tuple(pending))

    def _context(self) -> commands.ExternalNames:
        vms = {numbers.vm: numbers.domain for numbers in self._node.numbers().values()}
        for view in self._node.directory.views.values():
            vms |= {member.vm: member.domain for member in view.members}
        groups = self._node.directory.groups.values()
        return commands.ExternalNames(vms, {i.name: group.name for group in groups for i in group.instances})

    def _check_propagation(self, number: int) -> tuple[list[dict[str, str]], list[dict[str, str]]]:
        """Return the VMs on which a configuration is in force, and those on which it is pending."""
        numbers = self._node.numbers()
        in_force: list[dict[str, str]] = []
        pending: list[dict[str, str]] = []
        for vm, domain in sorted(self._context().vms.items()):
            is_in_force = vm in numbers and numbers[vm].configuration >= number
            (in_force if is_in_force else pending).append({"vm": vm, "domain": domain})
        return in_force, pending


def _generate_keys(changes: list[language.Command]) -> tuple[list[language.Command], queries.Rows]:
    """Generate a key for each ``add key`` command without a digest; return the changes and the keys to show."""
    completed_changes: list[language.Command] = []
    rows: queries.Rows = []
    for command in changes:
        if command.kind == "add key" and "digest" not in command.options:
            # Generated outside the change, because a change may be applied again after a conflict.
            secret = secrets.token_urlsafe(32)
            digest = hashlib.sha256(secret.encode()).hexdigest()
            rows.append((*command.names, secret))
            command = dataclasses.replace(command, options={**command.options, "digest": digest})
        completed_changes.append(command)
    return completed_changes, rows


def error_to_map(error: errors.CurrantleadError) -> dict[str, Any]:
    """Return the body of the HTTP response to rejected commands."""
    body: dict[str, Any] = {"accepted": False, "error": str(error)}
    if isinstance(error, errors.CommandError):
        body |= {"line": error.line, "column": error.column}
    if isinstance(error, errors.PlatformUnavailableError):
        body["accepted"] = None
    return body
