"""Commands for long-lived sessions: serve them, check a settings file, and explain a request from logs."""

import pathlib
import sys
from typing import Annotated

import typer

from currantlead import errors
from currantlead.platform import settings_file
from currantlead.sessions import __main__ as program
from currantlead.sessions import explain as log_explanation


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
