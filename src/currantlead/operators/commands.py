"""Change the configuration by commands; each change is a pure function of the configuration."""

import dataclasses
import difflib
import re
from collections.abc import Callable, Collection, Iterable, Mapping
from typing import Any

from currantlead import errors, registry
from currantlead.control import model
from currantlead.operators import language

Configuration = model.Configuration
_DATABASE_NAME = re.compile(r"[a-z0-9][a-z0-9-]{0,62}")


@dataclasses.dataclass(frozen=True, slots=True)
class Context:
    """Hold names that are known outside the configuration, for checks and suggestions.

    Attributes:
        vms: Domain of each known VM.
        instances: Database of each endpoint instance.
    """

    vms: Mapping[str, str] = dataclasses.field(default_factory=dict)
    instances: Mapping[str, str] = dataclasses.field(default_factory=dict)


Change = Callable[[Configuration, language.Command, Context], Configuration]


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """Hold the implementation and the help of one kind of change."""

    change: Change
    summary: str
    examples: tuple[str, ...]


CHANGES: registry.Registry[Entry] = registry.Registry("command")


def change(kind: str, summary: str, *examples: str) -> Callable[[Change], Change]:
    """Return a decorator that registers a change with its help."""

    def add(function: Change) -> Change:
        CHANGES.register(kind)(Entry(function, summary, examples))
        return function

    return add


def refuse(command: language.Command, message: str) -> errors.CommandError:
    """Return the error of a command that is well-formed but cannot be executed."""
    place = f"line {command.line}, column {command.column}: " if command.line else ""
    return errors.CommandError(place + message, line=command.line, column=command.column)


def apply(configuration: Configuration, commands: Iterable[language.Command], context: Context) -> Configuration:
    """Return the configuration after all changes.

    Raises:
        errors.CommandError: A command cannot be executed; the given configuration stays as it is.
    """
    for command in commands:
        configuration = CHANGES.get(command.kind).change(configuration, command, context)
    return configuration


def _require(command: language.Command, kind: str, name: str, known: Collection[str]) -> None:
    if name in known:
        return
    near = difflib.get_close_matches(name, sorted(known), n=1)
    hint = f"; did you mean {near[0]!r}?" if near else ""
    raise refuse(command, f"no {kind} is named {name!r}{hint}")


def _add(configuration: Configuration, command: language.Command, part: str, entry: Any) -> Configuration:
    entries = getattr(configuration, part)
    if entry.name in entries:
        raise refuse(command, f"{part.removesuffix('s')} {entry.name!r} exists already")
    return _put(configuration, part, entry)


def _put(configuration: Configuration, part: str, entry: Any) -> Configuration:
    return dataclasses.replace(configuration, **{part: {**getattr(configuration, part), entry.name: entry}})


def _without(entries: Mapping[str, Any], name: str) -> dict[str, Any]:
    return {key: value for key, value in entries.items() if key != name}


def _check_positive(command: language.Command) -> None:
    for name, value in command.options.items():
        if isinstance(value, int | float) and value <= 0:
            raise refuse(command, f"{name} must be greater than 0")


def _check_given(command: language.Command, *names: str) -> None:
    missing = [name for name in names if name not in command.options]
    if missing:
        raise refuse(command, f"{command.kind} needs {' and '.join(missing)}")


@change("add domain", "Add a failure domain.", "add domain larisa region greece")
def _add_domain(configuration: Configuration, command: language.Command, _context: Context) -> Configuration:
    return _add(configuration, command, "domains", model.Domain(*command.names))


@change("add service", "Add a kind of database.", "add service consignments slots 2 connections 15")
def _add_service(configuration: Configuration, command: language.Command, _context: Context) -> Configuration:
    _check_given(command, "slots", "connections")
    _check_positive(command)
    service = model.Service(command.names[0], **command.options)
    _check_service(command, service)
    return _add(configuration, command, "services", service)


@change("set service", "Change some values of a service.", "set service consignments slots 3 queue_timeout 1500ms")
def _set_service(configuration: Configuration, command: language.Command, _context: Context) -> Configuration:
    name = command.names[0]
    _require(command, "service", name, configuration.services)
    _check_positive(command)
    service = dataclasses.replace(configuration.services[name], **command.options)
    _check_service(command, service)
    return _put(configuration, "services", service)


def _check_service(command: language.Command, service: model.Service) -> None:
    if service.connections < service.slots:
        raise refuse(command, f"{service.slots} slots need at least as many connections, not {service.connections}")


@change("add database", "Add a database of a service.", "add database consignments-1 service consignments")
def _add_database(configuration: Configuration, command: language.Command, _context: Context) -> Configuration:
    name, service = command.names
    _require(command, "service", service, configuration.services)
    # Session tokens hold database names between dots and commas.
    if not _DATABASE_NAME.fullmatch(name):
        raise refuse(command, "a database's name has up to 63 lower-case letters, digits and hyphens")
    return _add(configuration, command, "databases", model.Database(name, service))


@change(
    "add organisation",
    "Add an organisation with its rate in requests per second and its burst.",
    "add organisation pelion-growers rate 20 burst 40 services consignments, bids",
    "add organisation olympus-packers rate 300 burst 600 services consignments weight 2",
)
def _add_organisation(configuration: Configuration, command: language.Command, _context: Context) -> Configuration:
    _check_given(command, "rate", "burst", "services")
    _check_organisation(configuration, command)
    return _add(configuration, command, "organisations", model.Organisation(command.names[0], **command.options))


@change(
    "set organisation", "Change some values of an organisation.", "set organisation pelion-growers rate 30 burst 60"
)
def _set_organisation(configuration: Configuration, command: language.Command, _context: Context) -> Configuration:
    _check_organisation(configuration, command)
    organisation = _organisation(configuration, command, command.names[0])
    return _put(configuration, "organisations", dataclasses.replace(organisation, **command.options))


def _check_organisation(configuration: Configuration, command: language.Command) -> None:
    _check_positive(command)
    # An owner grants whole tokens, so a smaller burst would refuse every request.
    if command.options.get("burst", 1) < 1:
        raise refuse(command, "burst must be at least 1")
    for service in command.options.get("services", ()):
        _require(command, "service", service, configuration.services)


def _organisation(configuration: Configuration, command: language.Command, name: str) -> model.Organisation:
    _require(command, "organisation", name, configuration.organisations)
    return configuration.organisations[name]


@change(
    "add key",
    "Add a key of an organisation; without a digest the system makes the key and shows it once.",
    "add key scales-2 organisation pelion-growers",
)
def _add_key(configuration: Configuration, command: language.Command, _context: Context) -> Configuration:
    key, name = command.names
    organisation = _organisation(configuration, command, name)
    digest = command.options["digest"]
    if key in organisation.keys:
        raise refuse(command, f"organisation {name!r} has a key {key!r} already")
    if any(digest in other.keys.values() for other in configuration.organisations.values()):
        raise refuse(command, "another key has the same digest")
    return _put(
        configuration, "organisations", dataclasses.replace(organisation, keys={**organisation.keys, key: digest})
    )


@change("withdraw key", "Withdraw a key.", "withdraw key scales-2 organisation pelion-growers")
def _withdraw_key(configuration: Configuration, command: language.Command, _context: Context) -> Configuration:
    key, name = command.names
    organisation = _organisation(configuration, command, name)
    _require(command, "key", key, organisation.keys)
    return _put(
        configuration, "organisations", dataclasses.replace(organisation, keys=_without(organisation.keys, key))
    )


@change(
    "add route",
    "Add an open route: a stored read statement that needs no key.",
    'add route prices database bids-1 age 5s sql "SELECT product, price FROM price_board"',
)
def _add_route(configuration: Configuration, command: language.Command, _context: Context) -> Configuration:
    name, database = command.names
    _require(command, "database", database, configuration.databases)
    words = command.options["sql"].split()
    if not words or words[0].lower() not in ("select", "with"):
        raise refuse(command, "an open route takes a read statement that begins with SELECT or WITH")
    route = model.Route(name, database, command.options["sql"], command.options["age_s"])
    return _add(configuration, command, "routes", route)


@change("remove", "Remove an entry that nothing uses any more.", "remove route prices", "remove organisation pelion")
def _remove(configuration: Configuration, command: language.Command, context: Context) -> Configuration:
    kind, name = command.options["part"], command.names[0]
    entries = getattr(configuration, f"{kind}s")
    _require(command, kind, name, entries)
    users = sorted(_users(configuration, kind, name, context))
    if users:
        raise refuse(command, f"{kind} {name!r} is in use by {', '.join(users)}")
    return dataclasses.replace(configuration, **{f"{kind}s": _without(entries, name)})


def _users(configuration: Configuration, kind: str, name: str, context: Context) -> Iterable[str]:
    if kind == "domain":
        yield from (f"VM {vm}" for vm, domain in context.vms.items() if domain == name)
    if kind == "service":
        yield from (f"database {d.name}" for d in configuration.databases.values() if d.service == name)
        yield from (f"organisation {o.name}" for o in configuration.organisations.values() if name in o.services)
    if kind == "database":
        yield from (f"route {r.name}" for r in configuration.routes.values() if r.database == name)


@change(
    "drain",
    "Take a place out of service: it gets no new work, and requests under way finish.",
    "drain domain larisa",
    "drain vm vm-3",
    "drain endpoint bids-1-b",
)
def _drain(configuration: Configuration, command: language.Command, context: Context) -> Configuration:
    return _set_state(configuration, command, context, model.ServiceState.LEAVING)


@change("return", "Put a drained place back into service.", "return domain larisa", "return vm vm-3")
def _return(configuration: Configuration, command: language.Command, context: Context) -> Configuration:
    return _set_state(configuration, command, context, model.ServiceState.IN_SERVICE)


def _set_state(
    configuration: Configuration, command: language.Command, context: Context, state: model.ServiceState
) -> Configuration:
    place, name = command.options["place"], command.names[0]
    if place == "domain":
        _require(command, "domain", name, configuration.domains)
        return _put(configuration, "domains", dataclasses.replace(configuration.domains[name], state=state))
    if place == "vm":
        _require(command, "VM", name, {*context.vms, *configuration.vms})
        return dataclasses.replace(configuration, vms=_states(configuration.vms, [name], state))
    # A database's name stands for all of its instances.
    members = [instance for instance, database in context.instances.items() if database == name] or [name]
    _require(command, "endpoint", name, {*context.instances, *context.instances.values(), *configuration.instances})
    return dataclasses.replace(configuration, instances=_states(configuration.instances, members, state))


def _states(
    states: Mapping[str, model.ServiceState], names: Iterable[str], state: model.ServiceState
) -> dict[str, model.ServiceState]:
    changed = {**states, **dict.fromkeys(names, state)}
    return {name: value for name, value in changed.items() if value is not model.ServiceState.IN_SERVICE}
