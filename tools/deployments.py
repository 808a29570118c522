"""Topology and limits of the two example deployments."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Deployment:
    """A deployment that can run on one machine.

    Attributes:
        name: Name of the deployment; its configuration is in ``examples/NAME.commands``.
        vms: Number of VMs by failure domain.
        databases: Names of the databases; each has one instance in each failure domain.
        slots: Number of statements that an instance runs concurrently.
        connections: Maximum number of connections to an instance.
        connect_time_s: Simulated time to open a connection, in seconds.
        statement_time_s: Simulated time of a statement in addition to its SQLite execution time, in seconds.
        lag_s: Simulated replication lag in seconds.
    """

    name: str
    vms: dict[str, int]
    databases: tuple[str, ...]
    slots: int
    connections: int
    connect_time_s: float
    statement_time_s: float = 0.001
    lag_s: float = 0.05


DEPLOYMENTS = {
    "thessaly": Deployment(
        name="thessaly",
        vms={"larisa": 3, "naousa": 3, "metsovo": 2},
        databases=("fair-ledger-1", "fair-ledger-2", "fair-ledger-3"),
        slots=2,
        connections=15,
        connect_time_s=0.010,
    ),
    "barometros": Deployment(
        name="barometros",
        vms={"bilbao-a": 3, "oviedo-a": 3, "coruna-a": 2},
        databases=("repair-ledger-1", "repair-ledger-2", "repair-ledger-3"),
        slots=5,
        connections=50,
        connect_time_s=0.030,
    ),
}
