"""Command-line interface of currantlead."""

import inspect
from typing import Annotated, Any

import pydantic
import typer

from currantlead import daemon, settings
from currantlead.operators import console
from currantlead.sessions import commands

app = typer.Typer(no_args_is_help=True, help="A database proxy with session consistency.")


def _serve(**values: Any) -> None:
    """Run the daemon of an entry VM until SIGTERM."""
    try:
        parsed_settings = settings.Settings.from_config(values)
    except pydantic.ValidationError as error:
        for line in settings.format_errors(error):
            typer.echo(f"error: {line}", err=True)
        raise typer.Exit(2) from None
    raise typer.Exit(daemon.run(parsed_settings))


def _serve_signature() -> inspect.Signature:
    """Return a signature with one string option per setting; validation then reports all errors together."""
    parameters = []
    for name, field in settings.Settings.model_fields.items():
        default = "" if field.is_required() else f" Default: {field.default}."
        option = typer.Option(settings.flag(name), envvar=settings.variable(name), help=f"{field.description}{default}")
        annotation = Annotated[str | None, option]
        kind = inspect.Parameter.KEYWORD_ONLY
        parameters.append(inspect.Parameter(name, kind, default=None, annotation=annotation))
    return inspect.Signature(parameters)


_serve.__signature__ = _serve_signature()  # type: ignore[attr-defined]
_serve.__annotations__ = {name: item.annotation for name, item in _serve.__signature__.parameters.items()}
app.command("serve")(_serve)
app.command("run")(console.run)
app.command("serve-sessions")(commands.serve)
app.command("check")(commands.check)
app.command("explain")(commands.explain)
app.command("status")(commands.status)
app.command("where")(commands.where)


def main() -> None:
    """Run the command-line interface."""
    app()
