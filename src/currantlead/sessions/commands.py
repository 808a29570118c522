"""Commands for long-lived sessions: serve them, check settings, explain a request, and show the fleet's state."""

import concurrent.futures
import json
import pathlib
import sys
import urllib.error
import urllib.parse
import urllib.request
from typing import Annotated

import typer

from currantlead import errors
from currantlead.operators import session_status
from currantlead.platform import settings_file
from currantlead.sessions import __main__ as program
from currantlead.sessions.routing import explain as log_explanation
from currantlead.sessions.routing import where as placement_query

STATUS_TIMEOUT_S = 2.0
"""Time limit for the metrics page of one VM."""
STATUS_REQUESTS = 32
"""Maximum number of metrics pages that are read at the same time."""


def serve() -> None:
    """Serve long-lived sessions on the users' platform; CURRANTLEAD_CONFIG holds the path of the settings file."""
    raise typer.Exit(program.main())


def check(file: Annotated[pathlib.Path, typer.Argument(help="Settings file of the platform, in TOML.")]) -> None:
    """Check a settings file and report all errors."""
    try:
        parsed = settings_file.parse(file.read_text(encoding="utf-8"))
    except (errors.SettingsError, OSError, UnicodeDecodeError) as error:
        for fault in getattr(error, "faults", [str(error)]):
            typer.echo(f"error: {file}: {fault}", err=True)
        raise typer.Exit(2) from None
    typer.echo(
        f"{file}: valid; VM {parsed.vm} in domain {parsed.domain}, callers on {parsed.callers}, store at {parsed.store}"
    )


def explain(
    request: Annotated[str, typer.Argument(help="Request id that the caller assigned to the attempt.")],
    files: Annotated[
        list[pathlib.Path] | None, typer.Argument(help="Log files of all VMs; standard input if none is given.")
    ] = None,
) -> None:
    """Show the log lines about one request, and the state changes of the VMs involved."""
    lines: list[str] = []
    try:
        for path in files or ():
            lines += path.read_text(encoding="utf-8", errors="replace").splitlines()
    except OSError as error:
        typer.echo(f"error: {error}", err=True)
        raise typer.Exit(2) from None
    explanation, found = log_explanation.explain(lines if files else sys.stdin, request)
    typer.echo("\n".join(explanation))
    raise typer.Exit(0 if found else 1)


def status(
    addresses: Annotated[list[str], typer.Argument(help="Metrics addresses of VMs, such as 10.1.0.3:9464.")],
    as_json: Annotated[bool, typer.Option("--json", help="Print JSON instead of a table.")] = False,
) -> None:
    """Show the state of a fleet of session VMs; the exit code is 1 if any VM needs attention."""
    vms, unreachable = [], {}
    with concurrent.futures.ThreadPoolExecutor(STATUS_REQUESTS) as executor:
        for address, page in zip(addresses, executor.map(_read_metrics, addresses), strict=True):
            try:
                if isinstance(page, OSError):
                    raise ValueError(f"unreachable: {page}")
                vms.append(session_status.parse_page(address, page))
            except ValueError as error:
                unreachable[address] = str(error)
    summary = session_status.summarize(vms, unreachable)
    typer.echo(json.dumps(summary) if as_json else "\n".join(session_status.render(summary)))
    raise typer.Exit(1 if summary["attention"] else 0)


def where(
    address: Annotated[str, typer.Argument(help="Metrics address of the VM, such as 10.1.0.3:9464.")],
    database: Annotated[str, typer.Argument(help="Database name that callers connect with.")],
    organisation: Annotated[str, typer.Argument(help="Organisation of the callers.")] = "",
    write: Annotated[bool, typer.Option("--write", help="Ask for a write instead of a read.")] = False,
    as_json: Annotated[bool, typer.Option("--json", help="Print JSON instead of a table.")] = False,
) -> None:
    """Show where a VM would send a statement now, and why; the statement is not sent."""
    parameters = {"database": database, "organisation": organisation} | ({"write": "1"} if write else {})
    url = f"http://{address}{placement_query.PATH}?{urllib.parse.urlencode(parameters)}"
    try:
        with urllib.request.urlopen(url, timeout=STATUS_TIMEOUT_S) as response:
            answer = json.load(response)
    except urllib.error.HTTPError as error:
        typer.echo(f"error: {error.read().decode(errors='replace')}", err=True)
        raise typer.Exit(2) from None
    except (OSError, ValueError) as error:
        typer.echo(f"error: {address}: {error}", err=True)
        raise typer.Exit(2) from None
    typer.echo(json.dumps(answer) if as_json else "\n".join(placement_query.render(answer)))


def _read_metrics(address: str) -> str | OSError:
    """Return the metrics page of a VM, or why it could not be read."""
    url = address if "://" in address else f"http://{address}/metrics"
    try:
        with urllib.request.urlopen(url, timeout=STATUS_TIMEOUT_S) as response:
            return response.read().decode(errors="replace")
    except OSError as error:
        return error
