"""Model of a group of three instances and of the store of its record, for tests of promotions."""

import dataclasses

from currantlead import errors
from currantlead.control import failover, model

NAMES = ("a", "b", "c")


def make_group(**changes):
    """Return a stable group in term 1 with primary ``a``."""
    instances = tuple(model.Instance(name, f"http://{name}", f"domain-{name}") for name in NAMES)
    group = model.Group("db", 1, model.Phase.STABLE, "a", instances, {1: 0}, 1)
    return dataclasses.replace(group, **changes)


@dataclasses.dataclass
class FakeInstance:
    """Fake instance that implements ``GET /status`` and ``POST /term``; its log is a list of (term, value)."""

    name: str
    term: int = 1
    role: str = "replica"
    follows: str | None = "a"
    log: list = dataclasses.field(default_factory=list)
    up: bool = True
    primary_contact_age: float = 0.0

    @property
    def log_term(self):
        """Return the term of the last record."""
        return self.log[-1][0] if self.log else 0

    def status(self):
        """Answer ``GET /status``."""
        size = len(self.log)
        return failover.InstanceStatus(
            self.name, self.role, self.term, self.log_term, size, size, self.primary_contact_age
        )

    def set_term(self, command):
        """Answer ``POST /term``."""
        if command.term >= self.term:
            self.term, self.role, self.follows = command.term, command.role, command.primary or None
            # A repeated command must not discard records received in the same term.
            if command.start_index is not None and self.log_term < command.term:
                del self.log[command.start_index :]
        return self.status()


class FakeStore:
    """Fake store of one group record; ``conditional`` makes writes depend on its version."""

    def __init__(self, group, conditional=True):
        self.group = group
        self.conditional = conditional

    def write(self, group):
        """Apply a conditional update and return the stored record."""
        if self.conditional and group.version != self.group.version:
            raise errors.VersionConflictError(f"version is {self.group.version}")
        self.group = dataclasses.replace(group, version=self.group.version + 1)
        return self.group


class Cluster:
    """Model of a group that checks the safety invariants of promotions.

    Attributes:
        instances: Instances by name.
        store: Store of the group's record.
        primaries: Names of the instances that acted as primary, by term.
        acknowledged: Acknowledged records by index.
        record_count: Number of records written.
    """

    def __init__(self, *, conditional=True):
        self.instances = {name: FakeInstance(name) for name in NAMES}
        self.instances["a"].role = "primary"
        self.store = FakeStore(make_group(), conditional)
        self.primaries = {1: {"a"}}
        self.acknowledged = {}
        self.record_count = 0

    def write(self, name):
        """Append a record at an instance that acts as primary."""
        instance = self.instances[name]
        if instance.up and instance.role == "primary":
            self.record_count += 1
            instance.log.append((instance.term, self.record_count))

    def replicate(self, source, target):
        """Copy the next record from a primary to an instance that follows it in its term."""
        primary, replica = self.instances[source], self.instances[target]
        linked = primary.role == "primary" and replica.role == "replica" and replica.follows == source
        if linked and primary.up and replica.up and primary.term == replica.term and source != target:
            size = len(replica.log)
            if size < len(primary.log):
                assert replica.log == primary.log[:size], f"{target} has diverged from {source}"
                replica.log.append(primary.log[size])

    def check(self):
        """Acknowledge all records that have a majority, and check the invariants."""
        for instance in self.instances.values():
            if instance.role == "primary":
                names = self.primaries.setdefault(instance.term, set())
                names.add(instance.name)
                assert len(names) == 1, f"term {instance.term} has several primaries: {sorted(names)}"
                self._check_kept(instance)
        for instance in self.instances.values():
            if instance.role == "primary" and instance.up:
                self._acknowledge(instance)

    def _acknowledge(self, primary):
        newest = max(instance.term for instance in self.instances.values() if instance.role == "primary")
        for index, record in enumerate(primary.log, start=1):
            copies = [
                i
                for i in self.instances.values()
                if i.term == i.log_term == primary.term and len(i.log) >= index and i.up
            ]
            if record[0] == primary.term and len(copies) >= 2 and index not in self.acknowledged:
                assert primary.term == newest, f"{primary.name} acknowledges a write after it was replaced"
                self.acknowledged[index] = record

    def _check_kept(self, primary):
        for index, record in self.acknowledged.items():
            if record[0] <= primary.term and primary.term == max(self.primaries):
                kept = primary.log[index - 1] if len(primary.log) >= index else None
                assert kept == record, (
                    f"{primary.name}, primary in term {primary.term}, lacks the acknowledged record {record}"
                )
