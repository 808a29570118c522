"""Places and sizes of the two example deployments."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Deployment:
    """Describe a deployment that can run on one machine.

    Attributes:
        name: Name; ``examples/NAME.commands`` holds its configuration.
        vms: Number of VMs in each failure domain.
        databases: Names of the databases; each has one instance in each domain.
        slots: Statements that an instance runs at once.
        connections: Connections that an instance accepts.
        connect_time_s: Time to open a connection.
        statement_time_s: Time that an instance spends on a statement besides sqlite's own.
        lag_s: Replication lag.
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
