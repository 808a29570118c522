"""Console of the command language: ``currantlead run`` sends commands to a VM and prints the responses."""

import asyncio
import json
import pathlib
from collections.abc import Callable
from typing import Annotated, Any

import aiohttp
import prompt_toolkit
import rich.console
import rich.markup
import rich.table
import typer
from prompt_toolkit import history

from currantlead import errors
from currantlead.operators import language

EXIT_OK = 0
EXIT_REFUSED = 1
EXIT_USAGE = 2
# Covers the time that the store takes, and the up to 2 s for which a VM then waits until a change is in force.
REQUEST_TIMEOUT_S = 15.0

SendText = Callable[[str], dict[str, Any]]


def send_commands(url: str, key: str, text: str) -> dict[str, Any]:
    """Send commands to the operator port of a VM and return the response.

    Args:
        url: Base URL of the operator port.
        key: The operator key.
        text: The commands.

    Returns:
        The decoded response body; ``error`` is set if the commands were rejected or no valid response was received.
    """
    return asyncio.run(_post_commands(url, key, text))


async def _post_commands(url: str, key: str, text: str) -> dict[str, Any]:
    timeout = aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_S)
    headers = {"Authorization": f"Bearer {key}"}
    address = url.rstrip("/") + "/operators/commands"
    try:
        async with (
            aiohttp.ClientSession(timeout=timeout, headers=headers) as session,
            session.post(address, json={"text": text}) as response,
        ):
            body = await response.json()
            status = response.status
    except (TimeoutError, aiohttp.ClientError, ValueError) as error:
        return {"error": f"no valid response from {address}: {error or type(error).__name__}"}
    if not isinstance(body, dict):
        return {"error": f"{address} did not return a JSON object"}
    if status != 200:
        body.setdefault("error", f"{address} responded with HTTP status {status}")
    return body


def print_response(body: dict[str, Any], console: rich.console.Console, *, as_json: bool = False) -> int:
    """Print a response.

    Args:
        body: The decoded response body.
        console: Console to print on.
        as_json: Whether to print the response body as one line of JSON.

    Returns:
        The exit code.
    """
    code = EXIT_REFUSED if "error" in body else EXIT_OK
    if as_json:
        console.print(json.dumps(body), soft_wrap=True, markup=False, highlight=False)
        return code
    if code == EXIT_REFUSED:
        # Without a response the change may have been stored, so "refused" is only printed if the VM reported a refusal.
        outcome = "refused" if body.get("accepted") is False else "failed"
        console.print(f"{outcome}: {body['error']}", markup=False, highlight=False)
        return code
    for table in body.get("tables") or [body]:
        if table.get("columns"):
            console.print(_build_table(table))
    if body.get("accepted"):
        console.print(_propagation_summary(body), markup=False, highlight=False)
    return code


def _build_table(body: dict[str, Any]) -> rich.table.Table:
    table = rich.table.Table(*(str(column) for column in body["columns"]), title=body.get("command"))
    for row in body["rows"]:
        table.add_row(*(rich.markup.escape(str(value)) for value in row))
    return table


def _propagation_summary(body: dict[str, Any]) -> str:
    text = f"accepted as configuration {body['number']}, in force on {len(body['in_force'])} VM(s)"
    pending_by_domain: dict[str, list[str]] = {}
    for entry in body["pending"]:
        pending_by_domain.setdefault(entry["domain"], []).append(entry["vm"])
    pending_texts = [f"{domain} ({', '.join(vms)})" for domain, vms in sorted(pending_by_domain.items())]
    return f"{text}, pending in {', '.join(pending_texts)}" if pending_texts else text


def run_prompt(send_text: SendText, console: rich.console.Console, *, as_json: bool, history_file: str | None) -> int:
    """Read commands from a prompt and execute them until the end of input.

    Args:
        send_text: Sends a text of commands and returns the response body.
        console: Console to print on.
        as_json: Whether to print responses as JSON.
        history_file: File for the prompt history, or None to keep the history in memory.

    Returns:
        The exit code of the last commands.
    """
    prompt_history = history.FileHistory(history_file) if history_file else history.InMemoryHistory()
    session: prompt_toolkit.PromptSession[str] = prompt_toolkit.PromptSession("currantlead> ", history=prompt_history)
    code = EXIT_OK
    while True:
        try:
            text = session.prompt()
        except KeyboardInterrupt:
            continue
        except EOFError:
            return code
        if text.strip() in ("exit", "quit"):
            return code
        if text.strip():
            code = execute(text, send_text, console, as_json=as_json)


def execute(text: str, send_text: SendText, console: rich.console.Console, *, as_json: bool) -> int:
    """Send commands and print the response; syntax errors are reported locally, without a request to the VM."""
    try:
        language.parse(text)
    except errors.CommandError as error:
        body = {"accepted": False, "error": str(error), "line": error.line, "column": error.column}
        return print_response(body, console, as_json=as_json) and EXIT_USAGE
    return print_response(send_text(text), console, as_json=as_json)


def run(
    text: Annotated[str | None, typer.Argument(help="Commands; if omitted, an interactive prompt is started.")] = None,
    file: Annotated[
        pathlib.Path | None,
        typer.Option("-f", "--file", help="File of commands; its changes are applied together or not at all."),
    ] = None,
    url: Annotated[str, typer.Option(envvar="CURRANTLEAD_OPERATOR_URL", help="URL of the operator port of a VM.")] = "",
    key: Annotated[str, typer.Option(envvar="CURRANTLEAD_OPERATOR_KEY", help="Operator key.")] = "",
    as_json: Annotated[bool, typer.Option("--json", help="Print responses as JSON.")] = False,
    history_file: Annotated[str | None, typer.Option(help="File for the prompt history.")] = None,
) -> None:
    """Run operator commands on a VM. The exit code is 0 on success, 1 on refusal or failure, and 2 on wrong usage."""
    console = rich.console.Console()
    usage_error = _usage_error(text, file, url, key)
    if usage_error:
        console.print(f"usage: {usage_error}", markup=False, highlight=False)
        raise typer.Exit(EXIT_USAGE)

    def send_text(commands: str) -> dict[str, Any]:
        return send_commands(url, key, commands)

    content = file.read_text(encoding="utf-8") if file is not None else text
    if content is None:
        raise typer.Exit(run_prompt(send_text, console, as_json=as_json, history_file=history_file))
    raise typer.Exit(execute(content, send_text, console, as_json=as_json))


def _usage_error(text: str | None, file: pathlib.Path | None, url: str, key: str) -> str:
    if text is not None and file is not None:
        return "commands and --file are mutually exclusive"
    if file is not None and not file.is_file():
        return f"no such file: {file}"
    if not url or not key:
        return "--url and --key are required; alternatively set CURRANTLEAD_OPERATOR_URL and CURRANTLEAD_OPERATOR_KEY"
    return ""
