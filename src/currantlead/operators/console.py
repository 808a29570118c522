"""Send commands to a VM and show the answers: ``currantlead run``."""

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

DONE = 0
REFUSED = 1
USAGE = 2
# A change waits up to 2 s to be in force, after the time that the store takes.
TIMEOUT_S = 15.0

Send = Callable[[str], dict[str, Any]]


def send(url: str, key: str, text: str) -> dict[str, Any]:
    """Send commands to the operator port of a VM.

    Args:
        url: Base address of the operator port.
        key: The operator key.
        text: The commands.

    Returns:
        The decoded answer; ``error`` is set if there was none or it is a refusal.
    """
    return asyncio.run(_post(url, key, text))


async def _post(url: str, key: str, text: str) -> dict[str, Any]:
    timeout = aiohttp.ClientTimeout(total=TIMEOUT_S)
    headers = {"Authorization": f"Bearer {key}"}
    address = url.rstrip("/") + "/operators/commands"
    try:
        async with (
            aiohttp.ClientSession(timeout=timeout, headers=headers) as session,
            session.post(address, json={"text": text}) as response,
        ):
            answer = await response.json()
            status = response.status
    except (TimeoutError, aiohttp.ClientError, ValueError) as error:
        return {"error": f"no usable answer from {address}: {error or type(error).__name__}"}
    if not isinstance(answer, dict):
        return {"error": f"{address} did not answer with an object"}
    if status != 200:
        answer.setdefault("error", f"{address} answered with status {status}")
    return answer


def show(answer: dict[str, Any], console: rich.console.Console, *, as_json: bool = False) -> int:
    """Print an answer.

    Args:
        answer: The decoded answer.
        console: Where to print.
        as_json: Whether to print the answer itself on one line.

    Returns:
        The exit code.
    """
    code = REFUSED if "error" in answer else DONE
    if as_json:
        console.print(json.dumps(answer), soft_wrap=True, markup=False, highlight=False)
        return code
    if code == REFUSED:
        # Without an answer a change may have been stored, so only a stated refusal is called one.
        word = "refused" if answer.get("accepted") is False else "failed"
        console.print(f"{word}: {answer['error']}", markup=False, highlight=False)
        return code
    for table in answer.get("tables") or [answer]:
        if table.get("columns"):
            console.print(_table(table))
    if answer.get("accepted"):
        console.print(_progress(answer), markup=False, highlight=False)
    return code


def _table(answer: dict[str, Any]) -> rich.table.Table:
    table = rich.table.Table(*(str(column) for column in answer["columns"]), title=answer.get("command"))
    for row in answer["rows"]:
        table.add_row(*(rich.markup.escape(str(value)) for value in row))
    return table


def _progress(answer: dict[str, Any]) -> str:
    text = f"accepted as configuration {answer['number']}, in force on {len(answer['in_force'])} VM(s)"
    waiting: dict[str, list[str]] = {}
    for entry in answer["pending"]:
        waiting.setdefault(entry["domain"], []).append(entry["vm"])
    places = [f"{domain} ({', '.join(vms)})" for domain, vms in sorted(waiting.items())]
    return f"{text}, pending in {', '.join(places)}" if places else text


def interact(send_text: Send, console: rich.console.Console, *, as_json: bool, history_file: str | None) -> int:
    """Read commands from a prompt until the end of input.

    Args:
        send_text: Sends a text and returns the answer.
        console: Where to print.
        as_json: Whether to print answers as JSON.
        history_file: File of earlier input, or None to keep it in memory.

    Returns:
        The exit code of the last commands.
    """
    kept = history.FileHistory(history_file) if history_file else history.InMemoryHistory()
    session: prompt_toolkit.PromptSession[str] = prompt_toolkit.PromptSession("currantlead> ", history=kept)
    code = DONE
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


def execute(text: str, send_text: Send, console: rich.console.Console, *, as_json: bool) -> int:
    """Check the text here, so that a typing error needs no VM, then send it and print the answer."""
    try:
        language.parse(text)
    except errors.CommandError as error:
        answer = {"accepted": False, "error": str(error), "line": error.line, "column": error.column}
        return show(answer, console, as_json=as_json) and USAGE
    return show(send_text(text), console, as_json=as_json)


def run(
    text: Annotated[str | None, typer.Argument(help="Commands; without any, a prompt is shown.")] = None,
    file: Annotated[
        pathlib.Path | None, typer.Option("-f", "--file", help="File that is applied as one change.")
    ] = None,
    url: Annotated[str, typer.Option(envvar="CURRANTLEAD_OPERATOR_URL", help="Operator port of a VM.")] = "",
    key: Annotated[str, typer.Option(envvar="CURRANTLEAD_OPERATOR_KEY", help="Operator key.")] = "",
    as_json: Annotated[bool, typer.Option("--json", help="Print answers as JSON.")] = False,
    history_file: Annotated[str | None, typer.Option(help="File for the history of the prompt.")] = None,
) -> None:
    """Run operators' commands on a VM; the exit code is 0 if done, 1 if refused, 2 for wrong usage."""
    console = rich.console.Console()
    fault = _usage_fault(text, file, url, key)
    if fault:
        console.print(f"usage: {fault}", markup=False, highlight=False)
        raise typer.Exit(USAGE)

    def send_text(commands: str) -> dict[str, Any]:
        return send(url, key, commands)

    content = file.read_text(encoding="utf-8") if file is not None else text
    if content is None:
        raise typer.Exit(interact(send_text, console, as_json=as_json, history_file=history_file))
    raise typer.Exit(execute(content, send_text, console, as_json=as_json))


def _usage_fault(text: str | None, file: pathlib.Path | None, url: str, key: str) -> str:
    if text is not None and file is not None:
        return "give either commands or a file"
    if file is not None and not file.is_file():
        return f"there is no file {file}"
    if not url or not key:
        return "give --url and --key, or CURRANTLEAD_OPERATOR_URL and CURRANTLEAD_OPERATOR_KEY"
    return ""
