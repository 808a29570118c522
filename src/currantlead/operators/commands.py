"""Commands that change the configuration, each implemented as a pure function of the configuration."""

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
class ExternalNames:
    """Names of VMs and instances that are not part of the configuration, for validation and suggestions.

    Attributes:
        vms: Domain name by VM name.
        instances: Database name by name of the endpoint instance.
    """

    vms: Mapping[str, str] = dataclasses.field(default_factory=dict)
    instances: Mapping[str, str] = dataclasses.field(default_factory=dict)


ApplyFunction = Callable[[Configuration, language.Command, ExternalNames], Configuration]


@dataclasses.dataclass(frozen=True, slots=True)
class CommandSpec:
    """Implementation and help of one kind of command.

    Attributes:
        apply: Function that applies the command to a configuration.
        summary: Description for the help.
        examples: Example commands for the help.
    """

    apply: ApplyFunction
    summary: str
    examples: tuple[str, ...]


COMMANDS: registry.Registry[CommandSpec] = registry.Registry("command")


def configuration_command(kind: str, summary: str, *examples: str) -> Callable[[ApplyFunction], ApplyFunction]:
    """Return a decorator that registers a function as the implementation of a command, with its help."""

    def add(function: ApplyFunction) -> ApplyFunction:
        COMMANDS.register(kind)(CommandSpec(function, summary, examples))
        return function

    return add


def command_error(command: language.Command, message: str) -> errors.CommandError:
    """Return the error for a command that is well-formed but cannot be executed; the message names its position."""
    prefix = f"line {command.line}, column {command.column}: " if command.line else ""
    return errors.CommandError(prefix + message, line=command.line, column=command.column)


def apply(configuration: Configuration, commands: Iterable[language.Command], external: ExternalNames) -> Configuration:
    """Apply commands in order and return the resulting configuration.

    Raises:
        errors.CommandError: A command cannot be executed; the given configuration is not modified.
    """
    for command in commands:
        configuration = COMMANDS.get(command.kind).apply(configuration, command, external)
    return configuration


def _require_known(command: language.Command, kind: str, name: str, known: Collection[str]) -> None:
    if name in known:
        return
    matches = difflib.get_close_matches(name, sorted(known), n=1)
    suggestion = f"; did you mean {matches[0]!r}?" if matches else ""
    raise command_error(command, f"no {kind} is named {name!r}{suggestion}")


def _add_entry(configuration: Configuration, command: language.Command, section: str, entry: Any) -> Configuration:
    entries = getattr(configuration, section)
    if entry.name in entries:
        raise command_error(command, f"{section.removesuffix('s')} {entry.name!r} already exists")
    return _put_entry(configuration, section, entry)


def _put_entry(configuration: Configuration, section: str, entry: Any) -> Configuration:
    return dataclasses.replace(configuration, **{section: {**getattr(configuration, section), entry.name: entry}})


def _without_entry(entries: Mapping[str, Any], name: str) -> dict[str, Any]:
    return {key: value for key, value in entries.items() if key != name}


def _check_positive(command: language.Command) -> None:
    for name, value in command.options.items():
        if isinstance(value, int | float) and value <= 0:
            raise command_error(command, f"{name} must be greater than 0")


def _require_options(command: language.Command, *names: str) -> None:
    missing = [name for name in names if name not in command.options]
    if missing:
        raise command_error(command, f"{command.kind} requires {' and '.join(missing)}")


@configuration_command("add domain", "Add a failure domain.", "add domain larisa region greece")
def _add_domain(configuration: Configuration, command: language.Command, _external: ExternalNames) -> Configuration:
    return _add_entry(configuration, command, "domains", model.Domain(*command.names))


@configuration_command(
    "add service",
    "Add a service: a set of databases with the same limits.",
    "add service consignments slots 2 connections 15",
)
def _add_service(configuration: Configuration, command: language.Command, _external: ExternalNames) -> Configuration:
    _require_options(command, "slots", "connections")
    _check_positive(command)
    service = model.Service(command.names[0], **command.options)
    _check_service(command, service)
    return _add_entry(configuration, command, "services", service)


@configuration_command(
    "set service", "Change settings of a service.", "set service consignments slots 3 queue_timeout 1500ms"
)
def _set_service(configuration: Configuration, command: language.Command, _external: ExternalNames) -> Configuration:
    name = command.names[0]
    _require_known(command, "service", name, configuration.services)
    _check_positive(command)
    service = dataclasses.replace(configuration.services[name], **command.options)
    _check_service(command, service)
    return _put_entry(configuration, "services", service)


def _check_service(command: language.Command, service: model.Service) -> None:
    if service.connections < service.slots:
        raise command_error(
            command,
            f"connections ({service.connections}) must be at least slots ({service.slots})",
        )


@configuration_command(
    "add database", "Add a database of a service.", "add database consignments-1 service consignments"
)
def _add_database(configuration: Configuration, command: language.Command, _external: ExternalNames) -> Configuration:
    name, service = command.names
    _require_known(command, "service", service, configuration.services)
    # Dots and commas are separators in session tokens, which contain database names.
    if not _DATABASE_NAME.fullmatch(name):
        raise command_error(
            command,
            "a database name must be 1 to 63 lower-case letters, digits and hyphens and not start with a hyphen",
        )
    return _add_entry(configuration, command, "databases", model.Database(name, service))


@configuration_command(
    "add organisation",
    "Add an organisation with its rate limit in requests per second and its burst.",
    "add organisation pelion-growers rate 20 burst 40 services consignments, bids",
    "add organisation olympus-packers rate 300 burst 600 services consignments weight 2",
)
def _add_organisation(
    configuration: Configuration, command: language.Command, _external: ExternalNames
) -> Configuration:
    _require_options(command, "rate", "burst", "services")
    _check_organisation(configuration, command)
    return _add_entry(configuration, command, "organisations", model.Organisation(command.names[0], **command.options))


@configuration_command(
    "set organisation", "Change settings of an organisation.", "set organisation pelion-growers rate 30 burst 60"
)
def _set_organisation(
    configuration: Configuration, command: language.Command, _external: ExternalNames
) -> Configuration:
    _check_organisation(configuration, command)
    organisation = _require_organisation(configuration, command, command.names[0])
    return _put_entry(configuration, "organisations", dataclasses.replace(organisation, **command.options))


def _check_organisation(configuration: Configuration, command: language.Command) -> None:
    _check_positive(command)
    # The VM that owns an organisation's token bucket grants whole tokens only, so a burst below 1 would reject every
    # request.
    if command.options.get("burst", 1) < 1:
        raise command_error(command, "burst must be at least 1")
    for service in command.options.get("services", ()):
        _require_known(command, "service", service, configuration.services)


def _require_organisation(configuration: Configuration, command: language.Command, name: str) -> model.Organisation:
    _require_known(command, "organisation", name, configuration.organisations)
    return configuration.organisations[name]


@configuration_command(
    "add key",
    "Add a key of an organisation; without a digest, a key is generated and shown once.",
    "add key scales-2 organisation pelion-growers",
)
def _add_key(configuration: Configuration, command: language.Command, _external: ExternalNames) -> Configuration:
    key, name = command.names
    organisation = _require_organisation(configuration, command, name)
    # The caller has generated a key and set its digest if the command had none.
    digest = command.options["digest"]
    if key in organisation.keys:
        raise command_error(command, f"organisation {name!r} has a key named {key!r} already")
    if any(digest in other.keys.values() for other in configuration.organisations.values()):
        raise command_error(command, "another key already has the same digest")
    return _put_entry(
        configuration, "organisations", dataclasses.replace(organisation, keys={**organisation.keys, key: digest})
    )


@configuration_command("withdraw key", "Withdraw a key.", "withdraw key scales-2 organisation pelion-growers")
def _withdraw_key(configuration: Configuration, command: language.Command, _external: ExternalNames) -> Configuration:
    key, name = command.names
    organisation = _require_organisation(configuration, command, name)
    _require_known(command, "key", key, organisation.keys)
    return _put_entry(
        configuration, "organisations", dataclasses.replace(organisation, keys=_without_entry(organisation.keys, key))
    )


@configuration_command(
    "add route",
    "Add an open route, a stored read-only statement that can be run without an API key.",
    'add route prices database bids-1 age 5s sql "SELECT product, price FROM price_board"',
)
def _add_route(configuration: Configuration, command: language.Command, _external: ExternalNames) -> Configuration:
    name, database = command.names
    _require_known(command, "database", database, configuration.databases)
    words = command.options["sql"].split()
    if not words or words[0].lower() not in ("select", "with"):
        raise command_error(command, "an open route requires a read statement that begins with SELECT or WITH")
    route = model.Route(name, database, command.options["sql"], command.options["age_s"])
    return _add_entry(configuration, command, "routes", route)


@configuration_command(
    "remove", "Remove an entry that is no longer in use.", "remove route prices", "remove organisation pelion"
)
def _remove(configuration: Configuration, command: language.Command, external: ExternalNames) -> Configuration:
    kind, name = command.options["part"], command.names[0]
    entries = getattr(configuration, f"{kind}s")
    _require_known(command, kind, name, entries)
    references = sorted(_references(configuration, kind, name, external))
    if references:
        raise command_error(command, f"{kind} {name!r} is in use by {', '.join(references)}")
    return dataclasses.replace(configuration, **{f"{kind}s": _without_entry(entries, name)})


def _references(configuration: Configuration, kind: str, name: str, external: ExternalNames) -> Iterable[str]:
    if kind == "domain":
        yield from (f"VM {vm}" for vm, domain in external.vms.items() if domain == name)
    if kind == "service":
        yield from (f"database {d.name}" for d in configuration.databases.values() if d.service == name)
        yield from (f"organisation {o.name}" for o in configuration.organisations.values() if name in o.services)
    if kind == "database":
        yield from (f"route {r.name}" for r in configuration.routes.values() if r.database == name)


@configuration_command(
    "drain",
    "Take a domain, VM or endpoint out of service: it gets no new work, and requests in progress finish.",
    "drain domain larisa",
    "drain vm vm-3",
    "drain endpoint bids-1-b",
)
def _drain(configuration: Configuration, command: language.Command, external: ExternalNames) -> Configuration:
    return _set_state(configuration, command, external, model.ServiceState.LEAVING)


@configuration_command(
    "return", "Put a drained domain, VM or endpoint back into service.", "return domain larisa", "return vm vm-3"
)
def _return(configuration: Configuration, command: language.Command, external: ExternalNames) -> Configuration:
    return _set_state(configuration, command, external, model.ServiceState.IN_SERVICE)


def _set_state(
    configuration: Configuration, command: language.Command, external: ExternalNames, state: model.ServiceState
) -> Configuration:
    target, name = command.options["place"], command.names[0]
    if target == "domain":
        _require_known(command, "domain", name, configuration.domains)
        return _put_entry(configuration, "domains", dataclasses.replace(configuration.domains[name], state=state))
    if target == "vm":
        _require_known(command, "VM", name, {*external.vms, *configuration.vms})
        return dataclasses.replace(configuration, vms=_with_states(configuration.vms, [name], state))
    # The name of a database selects all of its instances.
    selected_instances = [instance for instance, database in external.instances.items() if database == name] or [name]
    _require_known(
        command, "endpoint", name, {*external.instances, *external.instances.values(), *configuration.instances}
    )
    return dataclasses.replace(
        configuration, instances=_with_states(configuration.instances, selected_instances, state)
    )


def _with_states(
    states: Mapping[str, model.ServiceState], names: Iterable[str], state: model.ServiceState
) -> dict[str, model.ServiceState]:
    # IN_SERVICE is the default and is not stored.
    changed = {**states, **dict.fromkeys(names, state)}
    return {name: value for name, value in changed.items() if value is not model.ServiceState.IN_SERVICE}
