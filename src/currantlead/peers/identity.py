"""Identity of a VM among its peers."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """One run of the daemon on a VM.

    Attributes:
        vm: Name of the VM.
        domain: Failure domain of the VM.
        incarnation: Random number of this run of the process.
        address: ``HOST:PORT`` at which the VM accepts streams of its peers.
    """

    vm: str
    domain: str
    incarnation: int
    address: str
