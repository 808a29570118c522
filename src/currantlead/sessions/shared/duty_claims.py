"""Claims of duties in the store: which VM may act, under which generation number.

A duty is claimed by a conditional update of its entry. The entry's new revision is the generation number of the claim:
it increases with each claim, and no two claims have the same one. The holder records each further stage in the same
way, so that it learns of another claim before it acts.
"""

import dataclasses
from collections.abc import Callable

from currantlead.platform import objects
from currantlead.sessions import clock, model
from currantlead.sessions.shared import store


@dataclasses.dataclass(frozen=True, slots=True)
class Claim:
    """Describe the claim of a duty.

    Attributes:
        holder: VM that claimed the duty.
        generation: Generation number of the claim.
        stage: Stage that the holder has recorded.
        ordered: Instance that a call names which may still be carried out; empty if there is none.
    """

    holder: str
    generation: int
    stage: model.DutyStage = model.DutyStage.CLAIMED
    ordered: str = ""


class DutyClaims:
    """Claims duties for this VM and records the claims of all VMs.

    Args:
        object_store: The store that has the duties.
        vm: Name of this VM.

    Attributes:
        on_claimed: Called with the name of a duty that was claimed, or reached another stage, by any VM.
    """

    def __init__(self, object_store: store.Store, vm: str):
        self.on_claimed: Callable[[str], None] = lambda duty: None
        self._store = object_store
        self._vm = vm
        self._latest: dict[str, Claim] = {}
        self._claimed_by_others_at: dict[str, float] = {}

    def latest(self, duty: str) -> Claim | None:
        """Return the latest known claim of a duty, or None if none is known."""
        return self._latest.get(duty)

    def record(
        self,
        duty: str,
        holder: str,
        generation: int,
        stage: model.DutyStage = model.DutyStage.CLAIMED,
        ordered: str = "",
    ) -> None:
        """Record a duty's entry; a claim of another VM starts the period in which only that VM may act.

        The period goes on if the store is restored and no longer has the claim, and so does an open order.
        """
        known = self._latest.get(duty)
        if known is not None and objects.era_of(generation) > objects.era_of(known.generation):
            ordered = ordered or known.ordered
        if known is None or generation > known.generation:
            self._latest[duty] = Claim(holder, generation, stage, ordered)
            if holder != self._vm and stage is not model.DutyStage.ENDED:
                self._claimed_by_others_at[duty] = clock.now()
            self.on_claimed(duty)

    def may_claim(self, duty: str, exclusivity_s: float) -> bool:
        """Return whether no other VM is known to have claimed a duty within the last ``exclusivity_s`` seconds."""
        return clock.now() - self._claimed_by_others_at.get(duty, float("-inf")) >= exclusivity_s

    async def refresh(self, duty: str) -> objects.StoredObject | None:
        """Read a duty's entry from the store, record it, and return it; None if it does not exist.

        Raises:
            errors.PlatformUnavailableError: The store gave no usable response.
            errors.MalformedObjectError: The store sent a malformed entry.
        """
        entry = await self._store.read(objects.DUTIES, duty)
        if entry is not None:
            self._record_entry(duty, entry)
        return entry

    async def claim(self, duty: str, exclusivity_s: float) -> int | None:
        """Store this VM as the holder of a duty; the instance of a call that may still be carried out is kept.

        Args:
            duty: Name of the duty.
            exclusivity_s: Seconds after the claim of another VM in which only that VM may act.

        Returns:
            The generation number of the claim, or None if another VM holds the duty.

        Raises:
            errors.PlatformUnavailableError: The store gave no usable response; the claim may have taken effect.
            errors.MalformedObjectError: The store sent a malformed entry.
        """
        entry = await self.refresh(duty)
        if not self.may_claim(duty, exclusivity_s):
            return None
        if entry is None:
            value = objects.encode_duty(model.Duty(self._vm), 0)
            stored = await self._store.create(objects.DUTIES, duty, value)
        else:
            known = self._latest.get(duty)
            ordered = known.ordered if known is not None else ""
            value = objects.encode_duty(model.Duty(self._vm, ordered=ordered), entry.revision)
            stored = await self._store.replace(objects.DUTIES, duty, value, entry.revision)
        if stored is None:
            return None
        self._record_entry(duty, stored)
        return stored.revision

    async def advance(self, duty: str, generation: int, stage: model.DutyStage, ordered: str = "") -> int | None:
        """Record a stage of a duty that this VM holds.

        Args:
            duty: Name of the duty.
            generation: Generation number of this VM's latest claim or stage.
            stage: The stage.
            ordered: Instance that a call names which may still be carried out; empty if there is none.

        Returns:
            The generation number of the stage, or None if another VM has claimed the duty since.

        Raises:
            errors.PlatformUnavailableError: The store gave no usable response; the update may have taken effect.
            errors.MalformedObjectError: The store sent a malformed entry.
        """
        value = objects.encode_duty(model.Duty(self._vm, stage, ordered), generation)
        stored = await self._store.replace(objects.DUTIES, duty, value, generation)
        if stored is None:
            return None
        self._record_entry(duty, stored)
        return stored.revision

    async def is_current(self, duty: str, generation: int) -> bool:
        """Read a duty's entry from the store, and return whether no VM has claimed the duty since a generation.

        Raises:
            errors.PlatformUnavailableError: The store gave no usable response.
        """
        entry = await self._store.read(objects.DUTIES, duty)
        return entry is not None and entry.revision == generation

    def _record_entry(self, duty: str, entry: objects.StoredObject) -> None:
        decoded = objects.decode_duty(entry)
        self.record(duty, decoded.holder, entry.revision, decoded.stage, decoded.ordered)
