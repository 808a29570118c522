"""Tests of transaction ids and of the table of open transactions."""

import pytest

from currantlead.connections import transactions
from currantlead.control import model

MEMBER = model.Member("vm.with.dots", "north", 77, "127.0.0.1:1")


@pytest.mark.parametrize(
    ("text", "vm"),
    [
        ("vm.with.dots.77.1.secret", "vm.with.dots"),
        ("vm-1.77.1.", None),
        (".77.1.secret", None),
        ("vm-1.x.1.secret", None),
        ("vm-1.77.secret", None),
        ("", None),
    ],
)
def test_vm_of_a_transaction_id(text, vm):
    """Guards against taking a malformed id for one of another VM."""
    assert transactions.parse_vm(text) == vm


def test_find_requires_the_complete_id():
    """Guards against finding a transaction by an id with a wrong secret or number, or for another organisation."""
    table = transactions.TransactionTable(MEMBER)
    ids = [table.create_identifier() for _ in range(2)]
    assert [transactions.parse_vm(each) for each in ids] == [MEMBER.vm] * 2
    opened = transactions.Transaction(ids[0], "farm", "ledger", "ledger-a", 1, None, None, 0.0)
    table.add(opened)
    assert table.find(ids[0], "farm") is opened
    assert table.find(ids[0], "mill") is table.find(ids[1], "farm") is table.find(ids[0] + "x", "farm") is None
    assert table.remove(opened)
    assert not table.remove(opened)
    assert table.find(ids[0], "farm") is None
