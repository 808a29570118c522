"""Target size of a deployment, and synthetic shared state of any size for measurements."""

import dataclasses
import hashlib

from currantlead import interfaces
from currantlead.control import configuration, directory, model, records

SERVICE = "sql"


@dataclasses.dataclass(frozen=True, slots=True)
class Size:
    """Size of a deployment; the defaults are the target size in docs/design.md, section 2.

    The target does not specify the number of organisations; these tools assume 1,600 organisations with 2 keys each.
    """

    vms: int = 600
    domains: int = 7
    regions: int = 2
    databases: int = 650
    instances_per_database: int = 3
    organisations: int = 1600
    keys: int = 2
    client_connections: int = 1_600_000
    statements_per_s: float = 190_000.0
    primary_changes_per_day: int = 2
    configuration_changes_per_day: int = 1600
    vm_failures_per_day: int = 4
    restarts_per_day: int = 330

    @property
    def members(self) -> int:
        """Return the number of VMs of the largest domain."""
        return -(-self.vms // self.domains)

    @property
    def instances(self) -> int:
        """Return the number of instances."""
        return self.databases * self.instances_per_database

    @property
    def groups_monitored_per_vm(self) -> float:
        """Return the mean number of groups that a VM monitors; each has up to three monitors."""
        return self.databases * min(3, self.instances_per_database) / self.vms

    @property
    def instances_held_per_vm(self) -> float:
        """Return the mean number of instances that a VM holds connections to; each instance has two holders."""
        return 2 * self.instances / self.vms

    @property
    def primaries_held_per_vm(self) -> float:
        """Return the mean number of primaries that a VM holds connections to; each primary has two holders."""
        return 2 * self.databases / self.vms


TARGET = Size()


def domain_names(size: Size) -> list[str]:
    """Return the names of the failure domains."""
    return [f"domain-{number}" for number in range(size.domains)]


def make_views(size: Size) -> list[model.View]:
    """Return the membership views, one for each domain."""
    names = domain_names(size)
    domain_views = []
    for index, name in enumerate(names):
        count = size.vms // size.domains + (index < size.vms % size.domains)
        members = tuple(
            model.Member(f"{name}-vm-{number:03}", name, 2**60 + number, f"127.0.0.1:{20000 + number}")
            for number in range(count)
        )
        domain_views.append(model.View(name, 1, members, None, 1))
    return domain_views


def make_groups(size: Size) -> list[model.Group]:
    """Return the groups, with their instances distributed evenly over the domains."""
    names = domain_names(size)
    database_groups = []
    for number in range(size.databases):
        name = f"database-{number:04}"
        instances = tuple(
            model.Instance(f"{name}-{index}", f"http://127.0.0.1:{9000 + index}", names[(number + index) % len(names)])
            for index in range(size.instances_per_database)
        )
        database_groups.append(model.Group(name, 1, model.Phase.STABLE, instances[0].name, instances, {1: 0}, 1))
    return database_groups


def _digest(text: str) -> str:
    return hashlib.sha256(text.encode()).hexdigest()


def make_organisation(number: int, keys: int, rate: float = 500.0) -> model.Organisation:
    """Return an organisation with its keys, allowed to use the service."""
    name = f"organisation-{number:05}"
    digests = {f"key-{key}": _digest(f"{name}/{key}") for key in range(keys)}
    return model.Organisation(name, rate, 500.0, (SERVICE,), digests)


def make_configuration(size: Size, number: int = 1) -> model.Configuration:
    """Return the configuration of a deployment of the given size."""
    organisations = [make_organisation(index, size.keys) for index in range(size.organisations)]
    names = domain_names(size)
    regions = {name: f"region-{index % size.regions}" for index, name in enumerate(names)}
    return model.Configuration(
        number=number,
        domains={name: model.Domain(name, regions[name]) for name in names},
        services={SERVICE: model.Service(SERVICE, slots=5, connections=50)},
        databases={f"database-{n:04}": model.Database(f"database-{n:04}", SERVICE) for n in range(size.databases)},
        organisations={each.name: each for each in organisations},
    )


def make_configuration_objects(settings: model.Configuration) -> list[interfaces.StoredObject]:
    """Return a configuration's parts and index as stored on the platform."""
    encoded = configuration.encode(settings)
    parts = [
        interfaces.StoredObject(configuration.PART_KIND, name, 1, configuration.part_value(text))
        for name, text in encoded.texts.items()
    ]
    index = configuration.Index(number=settings.number, change_id=f"change-{settings.number}", parts=encoded.labels)
    index_value = configuration.encode_index(index)
    kind_and_name = configuration.INDEX_KIND, configuration.INDEX_NAME
    return [*parts, interfaces.StoredObject(*kind_and_name, settings.number, index_value)]


def make_objects(size: Size) -> list[interfaces.StoredObject]:
    """Return all platform objects of a deployment of the given size."""
    shares = model.Shares(1, {name: 1.0 / size.domains for name in domain_names(size)}, version=1)
    control_objects = [records.to_object(record) for record in (*make_groups(size), *make_views(size), shares)]
    return [*control_objects, *make_configuration_objects(make_configuration(size))]


def fill_directory(cache: directory.Directory, size: Size) -> directory.Directory:
    """Apply all objects of a deployment to a directory and return the directory."""
    cache.apply(make_objects(size))
    return cache
