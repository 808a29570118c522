"""Verdicts on whether a request may have run, and reasons for refusals."""

import dataclasses
import enum


class Verdict(enum.Enum):
    """Whether a request may have taken effect."""

    NOT_RUN = "not_run"
    MAY_HAVE_RUN = "may_have_run"
    COMPLETED = "completed"


class Reason(enum.Enum):
    """Reason for a refusal; the values are part of the callers' interface."""

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
    """Refusal of a request that was not completed.

    Attributes:
        reason: Reason for the refusal.
        verdict: ``NOT_RUN`` only if it is certain that nothing was executed.
        detail: Sentence for the caller; never contains a key.
        retry_after_s: Seconds after which a retry may succeed, or None if a retry does not help.
        index: Log index of the instance that refused the request, or None if unknown.
    """

    reason: Reason
    verdict: Verdict = Verdict.NOT_RUN
    detail: str = ""
    retry_after_s: float | None = None
    index: int | None = None
