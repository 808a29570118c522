"""Claims of duties as a VM records them."""

from currantlead.platform import objects
from currantlead.sessions import model
from currantlead.sessions.shared import duty_claims


def test_open_order_outlives_a_restoration_of_the_store():
    """A restored store lacks an order whose calls may still be carried out; only a later stage ends it."""
    claims = duty_claims.DutyClaims(None, "vm-1")
    claims.record("svc1", "vm-2", objects.combine_revision(1, 9), model.DutyStage.ORDERED, "i-2")
    claims.record("svc1", "vm-2", objects.combine_revision(2, 5))
    assert claims.latest("svc1").ordered == "i-2"
    claims.record("svc1", "vm-2", objects.combine_revision(2, 6), model.DutyStage.ENDED)
    assert claims.latest("svc1").ordered == ""
