"""State whether a request may have run, and why it was refused."""

import dataclasses
import enum


class Verdict(enum.Enum):
    """Tell a caller whether a request may have taken effect."""

    NOT_RUN = "not_run"
    MAY_HAVE_RUN = "may_have_run"
    COMPLETED = "completed"


class Reason(enum.Enum):
    """Name the cause of a refusal; the value is part of the caller interface."""

    MALFORMED = "malformed"
    UNKNOWN_KEY = "unknown_key"
    NOT_GRANTED = "not_granted"
    UNKNOWN_DATABASE = "unknown_database"
    UNKNOWN_TRANSACTION = "unknown_transaction"
    TRANSACTION_BUSY = "transaction_busy"
    LOST_POSITION = "lost_position"
    TOO_LARGE = "too_large"
    SQL_ERROR = "sql_error"
    KEY_REUSED = "idempotency_key_reused"
    OVER_RATE = "over_rate"
    QUEUE_FULL = "queue_full"
    QUEUE_TIMEOUT = "queue_timeout"
    BEHIND = "behind"
    STALE_TERM = "stale_term"
    NOT_PRIMARY = "not_primary"
    NO_PRIMARY = "no_primary"
    NO_MAJORITY = "no_majority"
    NO_CONNECTION = "no_connection"
    NOT_HOLDER = "not_holder"
    UNREACHABLE = "unreachable"
    LEAVING = "leaving"
    STARTING = "starting"
    TIMEOUT = "timeout"
    CONFIGURATION_TOO_OLD = "configuration_too_old"
    INTERNAL = "internal"


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """Describe a request that was not completed.

    Attributes:
        reason: The cause.
        verdict: ``NOT_RUN`` only on evidence that nothing was executed.
        detail: One sentence for the caller; never holds a key.
        retry_after_s: When a retry may succeed, or None where a retry does not help.
        index: The log index of the instance that refused, if it told one.
    """

    reason: Reason
    verdict: Verdict = Verdict.NOT_RUN
    detail: str = ""
    retry_after_s: float | None = None
    index: int | None = None
