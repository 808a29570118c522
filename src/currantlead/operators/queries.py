"""Answer the operators' questions from what one VM knows."""

import dataclasses
from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import Any, Protocol

from currantlead import interfaces, registry
from currantlead.operators import commands, language

Rows = list[tuple[Any, ...]]


@dataclasses.dataclass(frozen=True, slots=True)
class VmNumbers:
    """Hold the numbers that a VM reported last."""

    vm: str
    domain: str
    configuration: int
    view: int
    shares: int


@dataclasses.dataclass(frozen=True, slots=True)
class Lease:
    """Hold the state of a VM's lease."""

    vm: str
    domain: str
    valid: bool
    seconds_left: float


@dataclasses.dataclass(frozen=True, slots=True)
class Rate:
    """Hold the ledger of an organisation in one domain."""

    organisation: str
    domain: str
    owner: str
    level: float
    outstanding: float


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointPosition:
    """Hold the last known position of an instance."""

    instance: str
    term: int
    index: int
    age_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Decision:
    """Hold one recent decision of a part."""

    time: str
    part: str
    text: str


class Node(Protocol):
    """Describe what commands may ask of the VM that runs them."""

    @property
    def directory(self) -> interfaces.Directory:
        """Return the shared state."""

    @property
    def membership(self) -> interfaces.Membership:
        """Return lease and roles."""

    def numbers(self) -> Mapping[str, VmNumbers]:
        """Return the numbers of all known VMs, this one included, by VM."""

    def leases(self) -> Sequence[Lease]:
        """Return the leases that this VM knows of."""

    def rates(self) -> Sequence[Rate]:
        """Return the ledgers that this VM owns."""

    def positions(self) -> Mapping[str, EndpointPosition]:
        """Return the last known positions by instance."""

    def decisions(self) -> Sequence[Decision]:
        """Return the last decisions, newest first."""


@dataclasses.dataclass(frozen=True, slots=True)
class Table:
    """Hold the answer to one command."""

    command: str
    columns: tuple[str, ...]
    rows: Rows


Query = Callable[[Node], Rows]
TOPICS: registry.Registry[tuple[tuple[str, ...], Query]] = registry.Registry("topic")


def answer(command: language.Command, node: Node) -> Table:
    """Answer a ``show`` or ``help`` command.

    Raises:
        errors.CommandError: Help was asked for an unknown command.
    """
    topic = command.options.get("topic", "")
    if command.kind == "help":
        return Table("help", ("command", "purpose", "example"), _help(command, topic))
    columns, query = TOPICS.get(topic)
    return Table(f"show {topic}", columns, query(node))


def _topic(name: str, *columns: str) -> Callable[[Query], Query]:
    def add(function: Query) -> Query:
        TOPICS.register(name)((columns, function))
        return function

    return add


def _help(command: language.Command, topic: str) -> Rows:
    rows: Rows = []
    for kind in commands.CHANGES:
        entry = commands.CHANGES.get(kind)
        if kind.startswith(topic):
            rows += [(kind, entry.summary, example) for example in entry.examples]
    if "show".startswith(topic):
        rows += [("show", "Show what this VM knows.", f"show {name}") for name in TOPICS]
    if "help".startswith(topic):
        rows.append(("help", "Explain commands by example.", "help add organisation"))
    if not rows:
        raise commands.refuse(command, f"no command begins with {topic!r}; 'help' lists all")
    return rows


def _fields(entries: Iterable[Any], *names: str) -> Rows:
    return [tuple(getattr(entry, name) for name in names) for entry in entries]


@_topic("domains", "domain", "region", "state", "vms")
def _domains(node: Node) -> Rows:
    views = node.directory.views
    return [
        (d.name, d.region, d.state.value, len(views[d.name].members) if d.name in views else 0)
        for d in node.directory.configuration.domains.values()
    ]


@_topic("vms", "vm", "domain", "state", "alive", "configuration", "view", "shares")
def _vms(node: Node) -> Rows:
    states = node.directory.configuration.vms
    return [
        (
            *(n.vm, n.domain, states[n.vm].value if n.vm in states else "in_service"),
            *(node.membership.alive(n.vm), n.configuration, n.view, n.shares),
        )
        for n in node.numbers().values()
    ]


@_topic("services", "service", "slots", "connections", "queue_length", "queue_timeout_s")
def _services(node: Node) -> Rows:
    entries = node.directory.configuration.services.values()
    return _fields(entries, "name", "slots", "connections", "queue_length", "queue_timeout_s")


@_topic("databases", "database", "service")
def _databases(node: Node) -> Rows:
    return _fields(node.directory.configuration.databases.values(), "name", "service")


@_topic("endpoints", "instance", "database", "domain", "state", "role", "term", "index", "age_s")
def _endpoints(node: Node) -> Rows:
    states, positions = node.directory.configuration.instances, node.positions()
    rows: Rows = []
    for group in node.directory.groups.values():
        for instance in group.instances:
            state = states[instance.name].value if instance.name in states else "in_service"
            role = "primary" if instance.name == group.primary else "replica"
            known = positions.get(instance.name)
            seen = (known.term, known.index, round(known.age_s, 3)) if known is not None else ("", "", "")
            rows.append((instance.name, group.name, instance.domain, state, role, *seen))
    return rows


@_topic("organisations", "organisation", "rate", "burst", "weight", "services", "keys")
def _organisations(node: Node) -> Rows:
    return [
        (o.name, o.rate, o.burst, o.weight, ", ".join(o.services), len(o.keys))
        for o in node.directory.configuration.organisations.values()
    ]


@_topic("keys", "key", "organisation", "digest")
def _keys(node: Node) -> Rows:
    organisations = node.directory.configuration.organisations.values()
    return [(key, o.name, digest[:12]) for o in organisations for key, digest in o.keys.items()]


@_topic("routes", "route", "database", "max_age_s", "sql")
def _routes(node: Node) -> Rows:
    return _fields(node.directory.configuration.routes.values(), "name", "database", "max_age_s", "sql")


@_topic("rates", "organisation", "domain", "owner", "level", "outstanding")
def _rates(node: Node) -> Rows:
    return _fields(node.rates(), "organisation", "domain", "owner", "level", "outstanding")


@_topic("leases", "vm", "domain", "valid", "seconds_left")
def _leases(node: Node) -> Rows:
    return _fields(node.leases(), "vm", "domain", "valid", "seconds_left")


@_topic("groups", "group", "term", "phase", "primary", "instances")
def _groups(node: Node) -> Rows:
    return [
        (g.name, g.term, g.phase.value, g.primary, ", ".join(i.name for i in g.instances))
        for g in node.directory.groups.values()
    ]


@_topic("decisions", "time", "part", "decision")
def _decisions(node: Node) -> Rows:
    return _fields(node.decisions(), "time", "part", "text")


@_topic("configuration", "part", "entries")
def _configuration(node: Node) -> Rows:
    configuration = node.directory.configuration
    parts = ("domains", "services", "databases", "organisations", "routes", "instances", "vms")
    return [("number", configuration.number), *((part, len(getattr(configuration, part))) for part in parts)]
