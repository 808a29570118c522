"""Write and read in one session; the arguments are the URL of a VM and an API key."""

import sys
import uuid

from currantlead import client, verdict


def main(url: str, key: str) -> None:
    """Record a payment and read it back; session consistency holds whichever VM responds."""
    session = client.Client(url, key)
    payment_id = str(uuid.uuid4())
    try:
        # The idempotency key makes it safe to retry after a lost response.
        session.write("ledger", "insert into payments values (?, ?)", [payment_id, 120], idempotency_key=payment_id)
        with session.transaction("ledger") as transaction:
            transaction.execute("update payments set amount = amount + 1 where id = ?", [payment_id])
        print(session.read("ledger", "select amount from payments where id = ?", [payment_id]).rows)
    except client.RefusedError as error:
        outcome = "may have run" if error.refusal.verdict is verdict.Verdict.MAY_HAVE_RUN else "did not run"
        print(f"request {error.request} {outcome}: {error.refusal.detail}")
    finally:
        session.close()


if __name__ == "__main__":
    main(*sys.argv[1:3])
