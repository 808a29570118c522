"""Run parsed commands on a VM: changes as one, then queries."""

import dataclasses
import hashlib
import secrets
from collections.abc import Awaitable, Callable
from typing import Any

from currantlead import errors, logs, timers
from currantlead.control import model
from currantlead.operators import commands, language, queries

_log = logs.part("operators")

Mutate = Callable[[model.Configuration], model.Configuration]
ChangeConfiguration = Callable[[Mutate, str], Awaitable[int]]
"""Applies a pure change to the stored configuration under a change id; returns the new number.

Raises ``errors.VersionConflictError`` if another operator's change came first, and
``errors.PlatformUnavailableError`` if it is not known whether the change was stored. Errors of the change itself pass.
"""
Sleep = Callable[[float], Awaitable[Any]]

IN_FORCE_WAIT_S = 2.0
POLL_S = 0.05


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """Hold the answer to the commands of one request.

    Attributes:
        tables: One table for each query, and one for the keys that were made.
        accepted: Whether a change was stored; None if no change was asked for.
        number: Number of the new configuration, or None.
        in_force: VMs that reported this number, as ``{"vm", "domain"}``.
        pending: VMs of the views, and others that are known, that have not reported it, in the same form.
    """

    tables: tuple[queries.Table, ...] = ()
    accepted: bool | None = None
    number: int | None = None
    in_force: tuple[dict[str, str], ...] = ()
    pending: tuple[dict[str, str], ...] = ()

    def to_map(self) -> dict[str, Any]:
        """Return the body of the HTTP answer; ``columns`` and ``rows`` are those of the last table."""
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
    """Run the commands of operators on one VM."""

    def __init__(self, *, node: queries.Node, change: ChangeConfiguration, clock: timers.Timers, sleep: Sleep):
        """Take the parts to work with.

        Args:
            node: What commands may ask of this VM.
            change: Applies a change to the stored configuration.
            clock: Gives clock readings.
            sleep: Waits for some seconds; ``asyncio.sleep`` in the daemon.
        """
        self._node = node
        self._change = change
        self._clock = clock
        self._sleep = sleep

    async def run(self, text: str) -> Report:
        """Run all commands of a text; its changes are applied together or not at all.

        Args:
            text: Commands in the operators' language.

        Returns:
            The report.

        Raises:
            errors.CommandError: The text is not valid or a command cannot be executed; nothing was changed.
            errors.VersionConflictError: Another operator's change came first; nothing was changed.
            errors.PlatformUnavailableError: It is not known whether the change was stored.
        """
        parsed = language.parse(text)
        changes, keys = _make_keys([command for command in parsed if command.kind in commands.CHANGES])
        report = await self._apply(changes) if changes else Report()
        asked = [command for command in parsed if command.kind not in commands.CHANGES]
        tables = tuple(queries.answer(command, self._node) for command in asked)
        if keys:
            tables = (*tables, queries.Table("add key", ("key", "organisation", "secret (shown once)"), keys))
        return dataclasses.replace(report, tables=tables)

    async def _apply(self, changes: list[language.Command]) -> Report:
        context = self._context()
        change_id = secrets.token_hex(16)
        number = await self._change(lambda configuration: commands.apply(configuration, changes, context), change_id)
        kinds = ", ".join(sorted({command.kind for command in changes}))
        _log.info("configuration {} accepted: {} change(s): {}", number, len(changes), kinds)
        end = self._clock.now() + IN_FORCE_WAIT_S
        in_force, pending = self._reach(number)
        while pending and self._clock.now() < end:
            await self._sleep(POLL_S)
            in_force, pending = self._reach(number)
        if pending:
            _log.warning("configuration {} is pending at {}", number, [entry["vm"] for entry in pending])
        return Report((), True, number, tuple(in_force), tuple(pending))

    def _context(self) -> commands.Context:
        vms = {numbers.vm: numbers.domain for numbers in self._node.numbers().values()}
        for view in self._node.directory.views.values():
            vms |= {member.vm: member.domain for member in view.members}
        groups = self._node.directory.groups.values()
        return commands.Context(vms, {i.name: group.name for group in groups for i in group.instances})

    def _reach(self, number: int) -> tuple[list[dict[str, str]], list[dict[str, str]]]:
        """Return where a configuration is in force and where it is pending."""
        numbers = self._node.numbers()
        in_force: list[dict[str, str]] = []
        pending: list[dict[str, str]] = []
        for vm, domain in sorted(self._context().vms.items()):
            reached = vm in numbers and numbers[vm].configuration >= number
            (in_force if reached else pending).append({"vm": vm, "domain": domain})
        return in_force, pending


def _make_keys(changes: list[language.Command]) -> tuple[list[language.Command], queries.Rows]:
    """Give each ``add key`` without a digest a new key; return the changes and the keys to show."""
    complete: list[language.Command] = []
    rows: queries.Rows = []
    for command in changes:
        if command.kind == "add key" and "digest" not in command.options:
            # Made once, outside the change, because a change may be applied again after a conflict.
            secret = secrets.token_urlsafe(32)
            digest = hashlib.sha256(secret.encode()).hexdigest()
            rows.append((*command.names, secret))
            command = dataclasses.replace(command, options={**command.options, "digest": digest})
        complete.append(command)
    return complete, rows


def error_to_map(error: errors.CurrantleadError) -> dict[str, Any]:
    """Return the body of the HTTP answer to commands that were refused."""
    body: dict[str, Any] = {"accepted": False, "error": str(error)}
    if isinstance(error, errors.CommandError):
        body |= {"line": error.line, "column": error.column}
    if isinstance(error, errors.PlatformUnavailableError):
        body["accepted"] = None
    return body
