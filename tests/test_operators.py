"""Tests of the command executor, the console and the example files."""

import asyncio
import hashlib
import json
import pathlib
import sqlite3
import types

import prompt_toolkit.application
import prompt_toolkit.input
import prompt_toolkit.output
import pytest
import rich.console
import typer
import typer.testing
from aiohttp import test_utils, web

from currantlead import errors, timers
from currantlead.control import model
from currantlead.operators import console, executor, language, queries

EXAMPLES = pathlib.Path(__file__).parent.parent / "examples"
DEPLOYMENT_NAMES = ["thessaly", "barometros"]


class FakeNode:
    """State of two VMs; while ``partitioned`` is set, ``vm-2`` does not receive new configurations."""

    def __init__(self):
        members = {"vm-1": "larisa", "vm-2": "naousa"}
        self.views = {d: model.View(d, 1, (model.Member(vm, d, 1, ""),)) for vm, d in members.items()}
        instances = (model.Instance("db-a", "http://a", "larisa"),)
        groups = {"db": model.Group("db", 1, model.Phase.STABLE, "db-a", instances)}
        self.directory = types.SimpleNamespace(
            configuration=model.Configuration(), groups=groups, views=self.views, shares=model.Shares(0)
        )
        self.membership = types.SimpleNamespace(alive=lambda vm: True)
        self.configuration_numbers = dict.fromkeys(members, 0)
        self.partitioned = False

    def numbers(self):
        """Return the reported numbers of both VMs."""
        domains = {"vm-1": "larisa", "vm-2": "naousa"}
        return {vm: queries.VmNumbers(vm, domains[vm], n, 1, 1) for vm, n in self.configuration_numbers.items()}

    def leases(self):
        """Return one lease."""
        return [queries.Lease("vm-1", "larisa", True, 3.2)]

    def rates(self):
        """Return one token bucket."""
        return [queries.Rate("pelion", "larisa", "vm-1", 3.0, 1.0)]

    def positions(self):
        """Return one position."""
        return {"db-a": queries.EndpointPosition("db-a", 1, 7, 0.1)}

    def decisions(self):
        """Return one decision."""
        return [queries.Decision("12:00:00", "router", "read to db-a")]


class ExecutorHarness:
    """Executor on a fake node and a fake store."""

    def __init__(self):
        self.node = FakeNode()
        self.clock = timers.ManualTimers()
        self.error_to_raise = None
        self.executor = executor.Executor(
            node=self.node, change=self.change, clock=self.clock, sleep=self.clock.advance
        )

    async def change(self, update, change_id):
        """Apply a change twice, as a store does after a conflict, and store the second result."""
        if self.error_to_raise:
            raise self.error_to_raise
        update(self.node.directory.configuration)
        applied = update(self.node.directory.configuration)
        number = applied.number + 1
        self.node.directory.configuration = model.Configuration(
            number,
            applied.domains,
            applied.services,
            applied.databases,
            applied.organisations,
            applied.routes,
            applied.instances,
        )
        self.node.configuration_numbers["vm-1"] = number
        if not self.node.partitioned:
            self.node.configuration_numbers["vm-2"] = number
        return number


SETUP = "add service s slots 1 connections 1; add organisation o rate 1 burst 1 services s"


async def test_change_reports_vms_where_it_is_in_force():
    """Guards against a report that omits a partitioned domain, and against an endless wait for it."""
    harness = ExecutorHarness()
    report = await harness.executor.run("add domain larisa region greece")
    assert (report.accepted, report.number, len(report.in_force), report.pending) == (True, 1, 2, ())
    harness.node.partitioned = True
    start = harness.clock.now()
    report = await harness.executor.run("add domain naousa region greece")
    assert report.pending == ({"vm": "vm-2", "domain": "naousa"},)
    assert harness.clock.now() - start == pytest.approx(2.0, abs=0.1)


async def test_file_is_applied_atomically():
    """Guards against a file that is applied in part when one of its commands is refused."""
    harness = ExecutorHarness()
    with pytest.raises(errors.CommandError, match="line 2, column 1"):
        await harness.executor.run("add domain a region b\nadd database d service nothing")
    assert harness.node.directory.configuration == model.Configuration()


async def test_generated_key_is_shown_once_and_stored_as_digest():
    """Guards against a secret in the configuration, and against a different key when the change is applied again."""
    harness = ExecutorHarness()
    report = await harness.executor.run(f"{SETUP}; add key k organisation o")
    ((name, organisation, secret),) = report.tables[0].rows
    stored = harness.node.directory.configuration.organisations["o"].keys
    assert (name, organisation) == ("k", "o")
    assert stored == {"k": hashlib.sha256(secret.encode()).hexdigest()}
    assert secret not in json.dumps((await harness.executor.run("show keys; show organisations")).to_map())


async def test_rows_of_every_topic_match_its_columns():
    """Guards against a topic that fails, is empty or returns rows that do not match its columns."""
    harness = ExecutorHarness()
    await harness.executor.run(f"{SETUP}; add domain larisa region greece; add database db service s")
    for topic in queries.TOPICS:
        (table,) = (await harness.executor.run(f"show {topic}")).tables
        assert all(len(row) == len(table.columns) for row in table.rows), topic
        assert table.rows or topic in ("keys", "routes"), topic


async def start_operator_server(harness):
    """Start an HTTP server that runs commands like the operator port."""

    async def handle_commands(request):
        if request.headers["Authorization"] != "Bearer secret":
            return web.json_response({"error": "wrong operator key"}, status=401)
        try:
            return web.json_response((await harness.executor.run((await request.json())["text"])).to_map())
        except errors.CurrantleadError as error:
            return web.json_response(executor.error_to_map(error), status=409)

    application = web.Application()
    application.router.add_post("/operators/commands", handle_commands)
    server = test_utils.TestServer(application)
    await server.start_server()
    return server


async def invoke_console(url, *arguments, key="secret"):
    """Run the console command in a thread, because it starts an event loop of its own."""
    application = typer.Typer()
    application.command()(console.run)
    environment = {"CURRANTLEAD_OPERATOR_URL": url, "CURRANTLEAD_OPERATOR_KEY": key}
    return await asyncio.to_thread(typer.testing.CliRunner().invoke, application, list(arguments), env=environment)


async def test_console_exit_codes_and_output():
    """Guards against exit codes by which scripts cannot distinguish a refused change from a stored one."""
    harness = ExecutorHarness()
    async with await start_operator_server(harness) as server:
        url = str(server.make_url("/"))
        done = await invoke_console(url, "add domain larisa region greece; show domains")
        refused = await invoke_console(url, "drain domain lari")
        with_typo = await invoke_console(url, "drain dmoain larisa")
        as_json = await invoke_console(url, "--json", "show domains")
        denied = await invoke_console(url, "show domains", key="other")
        text_and_file = await invoke_console(url, "show domains", "-f", str(EXAMPLES / "thessaly.commands"))
        harness.error_to_raise = errors.VersionConflictError("configuration is at number 9")
        conflicting = await invoke_console(url, "drain domain larisa")
    unreachable = await invoke_console(url, "show domains")
    codes = [
        answer.exit_code
        for answer in (done, refused, with_typo, as_json, denied, text_and_file, conflicting, unreachable)
    ]
    assert codes == [0, 1, 2, 0, 1, 2, 1, 1], [done.output, refused.output, unreachable.output]
    assert "accepted as configuration 1, in force on 2 VM(s)" in done.output and "greece" in done.output
    assert "did you mean 'larisa'?" in refused.output
    assert "number 9" in conflicting.output
    assert json.loads(as_json.output)["rows"] == [["larisa", "greece", "in_service", 1]]


def test_prompt_continues_after_invalid_command():
    """Guards against a prompt that exits at the first invalid command."""
    sent_texts = []

    def send(text):
        sent_texts.append(text)
        return {"columns": [], "rows": [], "tables": []}

    with prompt_toolkit.input.create_pipe_input() as keys:
        keys.send_text("show domains\rshow nothing\rshow vms\rexit\r")
        output = prompt_toolkit.output.DummyOutput()
        with prompt_toolkit.application.create_app_session(input=keys, output=output):
            code = console.run_prompt(send, rich.console.Console(quiet=True), as_json=False, history_file=None)
    assert (sent_texts, code) == (["show domains", "show vms"], 0)


@pytest.mark.parametrize("deployment", DEPLOYMENT_NAMES)
async def test_example_file_is_accepted(deployment):
    """Guards against example files that the current grammar or validation refuses."""
    harness = ExecutorHarness()
    await harness.executor.run((EXAMPLES / f"{deployment}.commands").read_text())
    applied = harness.node.directory.configuration
    sizes = [
        len(part)
        for part in (applied.domains, applied.services, applied.databases, applied.organisations, applied.routes)
    ]
    assert sizes == [3, 1, 3, 10, 1]
    assert min(o.rate for o in applied.organisations.values()) == 5
    assert sum(o.rate >= 150 for o in applied.organisations.values()) == 3


@pytest.mark.parametrize("deployment", DEPLOYMENT_NAMES)
def test_workload_statements_run_on_database(deployment):
    """Guards against workload statements with invalid SQL, unknown parameters or an unknown ledger."""
    workload = json.loads((EXAMPLES / f"workload-{deployment}.json").read_text())
    commands = language.parse((EXAMPLES / f"{deployment}.commands").read_text())
    databases = {c.names[0]: sqlite3.connect(":memory:") for c in commands if c.kind == "add database"}
    # The load tool adds a mark to each write, to compare the stored rows with the results reported to callers.
    available_parameters = {*workload["generators"], "mark", "session"}
    for connection in databases.values():
        for sql in workload["schema"]:
            connection.execute(sql)
        for statement in workload["statements"]:
            assert set(statement["params"]) <= available_parameters, statement["name"]
            assert statement.get("ledger") in {None, *workload["ledgers"]}, statement["name"]
            connection.execute(f"PRAGMA query_only = {int(statement['access'] == 'read')}")
            connection.execute(statement["sql"], [1] * len(statement["params"]))
        connection.execute("PRAGMA query_only = 0")
    for route in (command for command in commands if command.kind == "add route"):
        databases[route.names[1]].execute(route.options["sql"])
