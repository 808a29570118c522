"""VMs that are asked about commits and record them, chosen again only when the members or the regions change."""

from collections.abc import Callable, Collection, Mapping

from currantlead.sessions.decisions import vm_contact
from currantlead.sessions.membership import members


class ContactPartners:
    """Keeps the choice of the VMs that this one asks for contact, and of those that report before a promotion.

    Args:
        known_members: The registered VMs.
        region_of: Returns the region of each failure domain.
        is_down: Returns whether a VM does not respond.
    """

    def __init__(
        self,
        known_members: members.Members,
        region_of: Callable[[], Mapping[str, str]],
        is_down: Callable[[str], bool],
    ):
        self._members = known_members
        self._region_of = region_of
        self._is_down = is_down
        self._chosen_for: tuple[int, Mapping[str, str]] | None = None
        self._partners: list[str] = []
        self._reporting: list[str] = []
        self._partners_by_vm: dict[str, list[str]] = {}

    def partners(self) -> list[str]:
        """Return the VMs that this one asks for contact, those that respond first."""
        self._choose()
        return sorted(self._partners, key=self._is_down)

    def reporting(self) -> list[str]:
        """Return the VMs that report on commits before a promotion."""
        self._choose()
        return self._reporting

    def partners_by_vm(self) -> dict[str, list[str]]:
        """Return for each VM those that it asks for contact, which record its commits."""
        self._choose()
        return self._partners_by_vm

    def find_contact_among(self, unanswered: Collection[str]) -> list[str]:
        """Return which of the VMs that were not told of a promotion may give others of them contact.

        Args:
            unanswered: VMs that were asked for their reports and did not answer. Those that were not asked and do not
                respond were not told either.
        """
        asked = set(self.reporting())
        silent = {name for name in self._partners_by_vm if name not in asked and self._is_down(name)}
        return vm_contact.find_contact_among(silent.union(unanswered), self._partners_by_vm)

    def _choose(self) -> None:
        regions = self._region_of()
        basis = self._members.version, regions
        if basis == self._chosen_for:
            return
        self._chosen_for = basis
        known = sorted(self._members.all(), key=lambda member: member.name)
        self._partners_by_vm = vm_contact.map_partners(known, regions)
        self._partners = self._partners_by_vm[self._members.own.name]
        self._reporting = [member.name for member in vm_contact.select_reporting(known, regions)]
