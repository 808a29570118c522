"""Codec of the line protocol that callers and instances use.

A message is a keyword followed by fields, separated by spaces and terminated by CR LF; the last field extends to the
end of the line.
"""

from collections.abc import Sequence

from currantlead import errors
from currantlead.sessions import model, statements

LINE_END = b"\r\n"
MAX_MESSAGE_BYTES = 1024 * 1024
"""Maximum length of a message, as specified by the protocol."""
OWN_ID = "-"
"""Request id of statements that the proxy issues itself; also the placeholder for an absent position or signature."""

_ENCODING = "utf-8"
# Bytes that are not valid UTF-8 must be passed on unchanged.
_ERRORS = "surrogateescape"

_WORD_OF_CODE = {
    statements.Code.BUSY: "BUSY",
    statements.Code.LAGGING: "LAGGING",
    statements.Code.READ_ONLY: "READONLY",
    statements.Code.MISROUTED: "MISROUTED",
    statements.Code.OVERLOADED: "OVERLOAD",
    statements.Code.ABORTED: "ABORTED",
    statements.Code.FAILED: "FAILED",
    statements.Code.UNKNOWN_STATEMENT: "NOSTMT",
    statements.Code.TIMEOUT: "TIMEOUT",
    statements.Code.UNKNOWN_KEY: "NOAUTH",
    statements.Code.UNKNOWN_DATABASE: "NODB",
    statements.Code.TOO_LARGE: "TOOLARGE",
    statements.Code.MALFORMED: "MALFORMED",
    statements.Code.IN_DOUBT: "INDOUBT",
}
_CODE_OF_WORD = {word: code for code, word in _WORD_OF_CODE.items()}
_LETTER_OF_STATE = {
    statements.TransactionState.IDLE: "I",
    statements.TransactionState.OPEN: "T",
    statements.TransactionState.FAILED: "E",
}
_STATE_OF_LETTER = {letter: state for state, letter in _LETTER_OF_STATE.items()}


def _encode_line(text: str) -> bytes:
    return text.encode(_ENCODING, _ERRORS) + LINE_END


def _parse_position(text: str) -> model.Position | None:
    if text == OWN_ID:
        return None
    term, _, number = text.partition(".")
    return model.Position(int(term), int(number))


def _parse_statement(text: str) -> statements.Statement | None:
    word, _, rest = text.partition(" ")
    kind = statements.Kind
    if text == "BEGIN":
        return statements.Statement(kind.BEGIN, text)
    if text == "BEGIN READ":
        return statements.Statement(kind.BEGIN_READ, text)
    if text == "COMMIT":
        return statements.Statement(kind.COMMIT, text)
    if text == "ROLLBACK":
        return statements.Statement(kind.ROLLBACK, text)
    if word == "READ" and rest and " " not in rest:
        return statements.Statement(kind.READ, text, argument=rest)
    if word == "WRITE" and rest:
        return statements.Statement(kind.WRITE, text, argument=rest, writes=True)
    name, _, argument = rest.partition(" ")
    if word == "SET" and name:
        return statements.Statement(kind.SET, text, name, argument)
    if word == "EXEC" and name and argument:
        return statements.Statement(kind.EXECUTE, text, name, argument)
    if word == "DEALLOC" and name and not argument:
        return statements.Statement(kind.DEALLOCATE, text, name)
    if word == "PREPARE" and name:
        mode, _, shape = argument.partition(" ")
        if mode in ("READ", "WRITE") and shape:
            return statements.Statement(kind.PREPARE, text, name, shape, writes=mode == "WRITE")
    return None


class CallerCodec:
    """Decode messages from callers and encode the replies."""

    def decode_request(self, line: bytes) -> statements.CallerMessage:
        """Decode a line without its line end; an invalid line gives ``statements.Malformed``."""
        word, _, rest = line.decode(_ENCODING, _ERRORS).partition(" ")
        if word == "QUERY":
            request_id, _, text = rest.partition(" ")
            statement = _parse_statement(text) if request_id else None
            if statement is None:
                return statements.Malformed(request_id, "unknown statement")
            return statements.Query(request_id, statement)
        if word == "START":
            database, _, key = rest.partition(" ")
            return statements.Start(database, key) if database else statements.Malformed("", "START without database")
        if word == "BYE":
            return statements.End()
        return statements.Malformed("", "unknown message")

    def encode_ready(self, state: statements.TransactionState, position: model.Position | None) -> bytes:
        """Encode the message that ends each reply."""
        return _encode_line(f"READY {_LETTER_OF_STATE[state]} {OWN_ID if position is None else position}")

    def encode_success(self, rows: Sequence[str], signature: str) -> bytes:
        """Encode rows and the message that reports success; the signature is empty if the proxy itself replies."""
        return b"".join(_encode_line(f"ROW {row}") for row in rows) + _encode_line(f"DONE {signature or OWN_ID}")

    def encode_failure(self, failure: statements.Failure) -> bytes:
        """Encode the message that reports a failure."""
        return _encode_line(f"ERR {_WORD_OF_CODE[failure.code]} {failure.detail or OWN_ID}")


class InstanceCodec:
    """Encode messages to instances and decode their replies."""

    def encode_start(self, service: str, organisation: str, instance_id: str) -> bytes:
        """Encode the message that opens a connection for an organisation."""
        return _encode_line(f"START {service} {organisation or OWN_ID} {instance_id}")

    def encode_statement(self, request_id: str, text: str, after: model.Position | None = None) -> bytes:
        """Encode a caller's statement; ``after`` is the log position that the instance must have reached."""
        prefix = "" if after is None else f"AFTER {after} "
        return _encode_line(f"QUERY {request_id} {prefix}{text}")

    def encode_begin(self, *, read_only: bool, after: model.Position | None = None) -> bytes:
        """Encode the start of a transaction, issued by the proxy itself."""
        return self.encode_statement(OWN_ID, "BEGIN READ" if read_only else "BEGIN", after)

    def encode_rollback(self) -> bytes:
        """Encode the rollback of a transaction, issued by the proxy itself."""
        return self.encode_statement(OWN_ID, "ROLLBACK")

    def encode_reset(self) -> bytes:
        """Encode the message that clears a connection's session values and prepared statements."""
        return self.encode_statement(OWN_ID, "RESET")

    def encode_set(self, name: str, value: str) -> bytes:
        """Encode the assignment of a session value, issued by the proxy itself."""
        return self.encode_statement(OWN_ID, f"SET {name} {value}")

    def encode_prepare(self, name: str, writes: bool, shape: str) -> bytes:
        """Encode the preparation of a statement, issued by the proxy itself."""
        return self.encode_statement(OWN_ID, f"PREPARE {name} {'WRITE' if writes else 'READ'} {shape}")

    def execute_text(self, name: str, argument: str) -> str:
        """Return the text of a statement that executes a prepared statement."""
        return f"EXEC {name} {argument}"

    def encode_status(self) -> bytes:
        """Encode the request for an instance's role, term and position."""
        return self.encode_statement(OWN_ID, "STATUS")

    def encode_pause(self, term: int) -> bytes:
        """Encode the command to a replica to pause replication from primaries with a lower term."""
        return self.encode_statement(OWN_ID, f"PAUSE {term}")

    def encode_demote(self, term: int) -> bytes:
        """Encode the command to a primary with a lower term to become a replica."""
        return self.encode_statement(OWN_ID, f"DEMOTE {term}")

    def encode_resume(self) -> bytes:
        """Encode the command to a replica to resume replication."""
        return self.encode_statement(OWN_ID, "RESUME")

    def decode_reply(self, line: bytes) -> statements.InstanceMessage:
        """Decode a line without its line end.

        Raises:
            errors.MalformedFrameError: The line is not a valid message of an instance.
        """
        word, _, rest = line.decode(_ENCODING, _ERRORS).partition(" ")
        if word == "ROW":
            return statements.Row(rest)
        if word == "DONE":
            return statements.Done(rest)
        first, _, second = rest.partition(" ")
        try:
            if word == "ERR":
                return statements.Failure(_CODE_OF_WORD[first], second)
            if word == "READY":
                return statements.Ready(_STATE_OF_LETTER[first], _parse_position(second))
        except (KeyError, ValueError) as error:
            raise errors.MalformedFrameError(f"instance sent a malformed {word} message: {rest!r}") from error
        raise errors.MalformedFrameError(f"instance sent an unknown message {word!r}")

    def decode_status(self, row: str) -> model.InstanceStatus:
        """Decode a status row: role, term, position, paused term, lag, busy slots, connections.

        Raises:
            errors.MalformedFrameError: The row is malformed.
        """
        fields = row.split()
        try:
            position = _parse_position(fields[2]) or model.Position(0, 0)
            return model.InstanceStatus(model.Role(fields[0]), int(fields[1]), position, int(fields[3]))
        except (IndexError, ValueError) as error:
            raise errors.MalformedFrameError(f"instance sent a malformed status row: {row!r}") from error
