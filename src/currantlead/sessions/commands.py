"""Commands for long-lived sessions: serve them, check a settings file, explain a request from logs."""

import pathlib
import sys
from typing import Annotated

import typer

from currantlead import errors
from currantlead.platform import boot
from currantlead.sessions import __main__ as program
from currantlead.sessions import explain as story


def serve() -> None:
    """Serve long-lived sessions on the users' platform; its variable names the settings file."""
    raise typer.Exit(program.main())


def check(file: Annotated[pathlib.Path, typer.Argument(help="Settings file of the platform, in TOML.")]) -> None:
    """Check a settings file and name every fault at once."""
    try:
        found = boot.parse(file.read_text(encoding="utf-8"))
    except (errors.SettingsError, OSError, UnicodeDecodeError) as error:
        for fault in getattr(error, "faults", [str(error)]):
            typer.echo(f"error: {file}: {fault}", err=True)
        raise typer.Exit(2) from None
    typer.echo(f"{file}: good; VM {found.vm} in {found.domain}, callers on {found.callers}, store at {found.store}")


def explain(
    request: Annotated[str, typer.Argument(help="The caller's id of the attempt.")],
    files: Annotated[list[pathlib.Path] | None, typer.Argument(help="Logs of all VMs; standard input without.")] = None,
) -> None:
    """Tell what happened to one request, and what the VMs believed when they decided."""
    lines: list[str] = []
    try:
        for path in files or ():
            lines += path.read_text(encoding="utf-8", errors="replace").splitlines()
    except OSError as error:
        typer.echo(f"error: {error}", err=True)
        raise typer.Exit(2) from None
    told, found = story.explain(lines if files else sys.stdin, request)
    typer.echo("\n".join(told))
    raise typer.Exit(0 if found else 1)
