"""Identity of a VM towards its peers."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """Identify one start of the daemon on a VM.

    Attributes:
        vm: Name of the VM.
        domain: Its failure domain.
        incarnation: Random number of this start of the process.
        address: ``HOST:PORT`` of its peer listener.
    """

    vm: str
    domain: str
    incarnation: int
    address: str
