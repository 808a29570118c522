"""Write and read in one session; run with the address of a VM and a key."""

import sys
import uuid

from currantlead import client, verdict


def main(url: str, key: str) -> None:
    """Record a payment and read it back, whichever VM answers."""
    session = client.Client(url, key)
    payment = str(uuid.uuid4())
    try:
        # The idempotency key makes the retries after a lost answer safe.
        session.write("ledger", "insert into payments values (?, ?)", [payment, 120], idempotency_key=payment)
        with session.transaction("ledger") as transaction:
            transaction.execute("update payments set amount = amount + 1 where id = ?", [payment])
        print(session.read("ledger", "select amount from payments where id = ?", [payment]).rows)
    except client.RefusedError as error:
        state = "may have run" if error.refusal.verdict is verdict.Verdict.MAY_HAVE_RUN else "did not run"
        print(f"request {error.request} {state}: {error.refusal.detail}")
    finally:
        session.close()


if __name__ == "__main__":
    main(*sys.argv[1:3])
