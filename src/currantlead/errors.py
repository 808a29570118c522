"""Exceptions of currantlead."""

from typing import Any


class CurrantleadError(Exception):
    """Base class of all exceptions of this package."""


class MalformedTokenError(CurrantleadError):
    """Raised when a session token is malformed."""


class MalformedFrameError(CurrantleadError):
    """Raised when bytes from a peer are not a valid frame; nothing more can be read from the stream."""


class MalformedObjectError(CurrantleadError):
    """Raised when an object of the platform is malformed; the message names the object and the field."""


class UnknownNameError(CurrantleadError):
    """Raised when a registry has no entry with the given name."""


class PeerUnreachableError(CurrantleadError):
    """Raised when a frame could not be sent to a peer; the peer has not processed it."""


class PeerAnswerLostError(CurrantleadError):
    """Raised when a frame was sent but no reply arrived; the peer may have processed it."""


class PlatformUnavailableError(CurrantleadError):
    """Raised when the platform gave no usable response; a write may have taken effect."""


class VersionConflictError(CurrantleadError):
    """Raised when a conditional update failed because the object's version is not the expected one."""


class CommandError(CurrantleadError):
    """Raised when an operator's command cannot be parsed or executed.

    Attributes:
        line: Line of the error, counted from 1; 0 if unknown.
        column: Column of the error, counted from 1; 0 if unknown.
    """

    def __init__(self, message: str, *, line: int = 0, column: int = 0):
        super().__init__(message)
        self.line = line
        self.column = column


class SettingsError(CurrantleadError):
    """Raised when settings are invalid.

    Attributes:
        faults: One message for each error, starting with the name of the setting.
    """

    def __init__(self, faults: list[str]):
        super().__init__("; ".join(faults))
        self.faults = faults


class HttpUnavailableError(CurrantleadError):
    """Raised when an HTTP call got no complete response in time; the call may have taken effect."""


class LinkLostError(CurrantleadError):
    """Raised when a connection to an instance is lost or times out.

    Attributes:
        sent: Whether the statement may have reached the instance.
        timed_out: Whether the time limit expired, and the instance answered nothing else meanwhile.
    """

    def __init__(self, message: str, *, sent: bool, timed_out: bool = False):
        super().__init__(message)
        self.sent = sent
        self.timed_out = timed_out


class HolderLostError(LinkLostError):
    """Raised when the VM that holds the connections to an instance fails; the instance itself may be healthy."""


class OrderRefusedError(CurrantleadError):
    """Raised when a statement must no longer be sent; nothing was sent.

    Attributes:
        failure: Failure to report to the caller.
    """

    def __init__(self, failure: Any):
        super().__init__(str(failure))
        self.failure = failure


class LinkRefusedError(CurrantleadError):
    """Raised when an instance refuses a new connection; nothing was executed.

    Attributes:
        overloaded: Whether the instance has reached its maximum number of connections.
        absent: Whether its address showed that the instance does not run there: nothing listens, or another instance
            answered.
    """

    def __init__(self, message: str, *, overloaded: bool, absent: bool = False):
        super().__init__(message)
        self.overloaded = overloaded
        self.absent = absent


class PoolUnavailableError(CurrantleadError):
    """Raised when no connection to an instance became available in time; nothing was sent.

    Attributes:
        suspect: Whether the VM that holds the connections suspects that the instance has failed.
        retry_after_s: Delay after which the caller should return, in seconds; None if the refusal names none.
        offers_late: Whether the connections are in use, but the order would be admitted if it may be served late.
    """

    def __init__(
        self, message: str, *, suspect: bool = False, retry_after_s: float | None = None, offers_late: bool = False
    ):
        super().__init__(message)
        self.suspect = suspect
        self.retry_after_s = retry_after_s
        self.offers_late = offers_late
