"""Queries of the command language, answered from the state that one VM knows."""

import dataclasses
from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import Any, Protocol

from currantlead import interfaces, registry
from currantlead.operators import commands, language

Rows = list[tuple[Any, ...]]


@dataclasses.dataclass(frozen=True, slots=True)
class VmNumbers:
    """Numbers of the configuration, the view and the shares that a VM reported last."""

    vm: str
    domain: str
    configuration: int
    view: int
    shares: int


@dataclasses.dataclass(frozen=True, slots=True)
class Lease:
    """State of the lease of a VM."""

    vm: str
    domain: str
    valid: bool
    seconds_left: float


@dataclasses.dataclass(frozen=True, slots=True)
class Rate:
    """Token bucket of the rate limit of an organisation in one domain, in requests."""

    organisation: str
    domain: str
    owner: str
    level: float
    outstanding: float


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointPosition:
    """Last known replication position of an endpoint instance."""

    instance: str
    term: int
    index: int
    age_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Decision:
    """Recent decision that a part of the system logged."""

    time: str
    part: str
    text: str


class Node(Protocol):
    """State of the VM that queries read."""

    @property
    def directory(self) -> interfaces.Directory:
        """Objects of the platform as this VM knows them."""

    @property
    def membership(self) -> interfaces.Membership:
        """Membership service, with the lease and the roles of this VM."""

    def numbers(self) -> Mapping[str, VmNumbers]:
        """Return the reported numbers of all known VMs, including this one, by VM name."""

    def leases(self) -> Sequence[Lease]:
        """Return the leases that this VM knows."""

    def rates(self) -> Sequence[Rate]:
        """Return the token buckets of the rate limits that this VM owns."""

    def positions(self) -> Mapping[str, EndpointPosition]:
        """Return the last known positions by instance name."""

    def decisions(self) -> Sequence[Decision]:
        """Return the most recent decisions, newest first."""


@dataclasses.dataclass(frozen=True, slots=True)
class Table:
    """Result table of one query."""

    command: str
    columns: tuple[str, ...]
    rows: Rows


Query = Callable[[Node], Rows]
TOPICS: registry.Registry[tuple[tuple[str, ...], Query]] = registry.Registry("topic")


def run_query(command: language.Command, node: Node) -> Table:
    """Run a ``show`` or ``help`` command.

    Raises:
        errors.CommandError: Help was requested for an unknown command.
    """
    topic = command.options.get("topic", "")
    if command.kind == "help":
        return Table("help", ("command", "purpose", "example"), _help_rows(command, topic))
    columns, query = TOPICS.get(topic)
    return Table(f"show {topic}", columns, query(node))


def _show_topic(name: str, *columns: str) -> Callable[[Query], Query]:
    def add(function: Query) -> Query:
        TOPICS.register(name)((columns, function))
        return function

    return add


def _help_rows(command: language.Command, topic: str) -> Rows:
    rows: Rows = []
    for kind in commands.COMMANDS:
        spec = commands.COMMANDS.get(kind)
        if kind.startswith(topic):
            rows += [(kind, spec.summary, example) for example in spec.examples]
    if "show".startswith(topic):
        rows += [("show", "Show the state that this VM knows.", f"show {name}") for name in TOPICS]
    if "help".startswith(topic):
        rows.append(("help", "Show commands with examples.", "help add organisation"))
    if not rows:
        raise commands.command_error(command, f"no command begins with {topic!r}; 'help' lists all commands")
    return rows


def _attribute_rows(entries: Iterable[Any], *names: str) -> Rows:
    return [tuple(getattr(entry, name) for name in names) for entry in entries]


@_show_topic("domains", "domain", "region", "state", "vms")
def _domain_rows(node: Node) -> Rows:
    views = node.directory.views
    return [
        (d.name, d.region, d.state.value, len(views[d.name].members) if d.name in views else 0)
        for d in node.directory.configuration.domains.values()
    ]


@_show_topic("vms", "vm", "domain", "state", "alive", "configuration", "view", "shares")
def _vm_rows(node: Node) -> Rows:
    states = node.directory.configuration.vms
    return [
        (
            *(n.vm, n.domain, states[n.vm].value if n.vm in states else "in_service"),
            *(node.membership.alive(n.vm), n.configuration, n.view, n.shares),
        )
        for n in node.numbers().values()
    ]


@_show_topic("services", "service", "slots", "connections", "queue_length", "queue_timeout_s")
def _service_rows(node: Node) -> Rows:
    entries = node.directory.configuration.services.values()
    return _attribute_rows(entries, "name", "slots", "connections", "queue_length", "queue_timeout_s")


@_show_topic("databases", "database", "service")
def _database_rows(node: Node) -> Rows:
    return _attribute_rows(node.directory.configuration.databases.values(), "name", "service")


@_show_topic("endpoints", "instance", "database", "domain", "state", "role", "term", "index", "age_s")
def _endpoint_rows(node: Node) -> Rows:
    states, positions = node.directory.configuration.instances, node.positions()
    rows: Rows = []
    for group in node.directory.groups.values():
        for instance in group.instances:
            state = states[instance.name].value if instance.name in states else "in_service"
            role = "primary" if instance.name == group.primary else "replica"
            position = positions.get(instance.name)
            position_columns = (
                (position.term, position.index, round(position.age_s, 3)) if position is not None else ("", "", "")
            )
            rows.append((instance.name, group.name, instance.domain, state, role, *position_columns))
    return rows


@_show_topic("organisations", "organisation", "rate", "burst", "weight", "services", "keys")
def _organisation_rows(node: Node) -> Rows:
    return [
        (o.name, o.rate, o.burst, o.weight, ", ".join(o.services), len(o.keys))
        for o in node.directory.configuration.organisations.values()
    ]


@_show_topic("keys", "key", "organisation", "digest")
def _key_rows(node: Node) -> Rows:
    organisations = node.directory.configuration.organisations.values()
    return [(key, o.name, digest[:12]) for o in organisations for key, digest in o.keys.items()]


@_show_topic("routes", "route", "database", "max_age_s", "sql")
def _route_rows(node: Node) -> Rows:
    return _attribute_rows(node.directory.configuration.routes.values(), "name", "database", "max_age_s", "sql")


@_show_topic("rates", "organisation", "domain", "owner", "level", "outstanding")
def _rate_rows(node: Node) -> Rows:
    return _attribute_rows(node.rates(), "organisation", "domain", "owner", "level", "outstanding")


@_show_topic("leases", "vm", "domain", "valid", "seconds_left")
def _lease_rows(node: Node) -> Rows:
    return _attribute_rows(node.leases(), "vm", "domain", "valid", "seconds_left")


@_show_topic("groups", "group", "term", "phase", "primary", "instances")
def _group_rows(node: Node) -> Rows:
    return [
        (g.name, g.term, g.phase.value, g.primary, ", ".join(i.name for i in g.instances))
        for g in node.directory.groups.values()
    ]


@_show_topic("decisions", "time", "part", "decision")
def _decision_rows(node: Node) -> Rows:
    return _attribute_rows(node.decisions(), "time", "part", "text")


@_show_topic("configuration", "part", "entries")
def _configuration_rows(node: Node) -> Rows:
    configuration = node.directory.configuration
    parts = ("domains", "services", "databases", "organisations", "routes", "instances", "vms")
    return [("number", configuration.number), *((part, len(getattr(configuration, part))) for part in parts)]
