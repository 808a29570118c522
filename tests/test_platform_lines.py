"""Line protocol of callers and instances: every message in both directions, and malformed input."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from currantlead import errors
from currantlead.platform import lines
from currantlead.sessions import model, statements

Kind = statements.Kind
callers, instances = lines.CallerCodec(), lines.InstanceCodec()


@pytest.mark.parametrize(
    ("text", "kind", "name", "argument", "writes"),
    [
        ("BEGIN", Kind.BEGIN, "", "", False),
        ("BEGIN READ", Kind.BEGIN_READ, "", "", False),
        ("COMMIT", Kind.COMMIT, "", "", False),
        ("ROLLBACK", Kind.ROLLBACK, "", "", False),
        ("READ 1a4", Kind.READ, "", "1a4", False),
        ("WRITE 1a4 x y", Kind.WRITE, "", "1a4 x y", True),
        ("SET lang a b", Kind.SET, "lang", "a b", False),
        ("PREPARE s1 WRITE q2c", Kind.PREPARE, "s1", "q2c", True),
        ("PREPARE s1 READ q2c", Kind.PREPARE, "s1", "q2c", False),
        ("EXEC s1 1a4 d", Kind.EXECUTE, "s1", "1a4 d", False),
        ("DEALLOC s1", Kind.DEALLOCATE, "s1", "", False),
    ],
)
def test_statement_is_decoded_and_its_text_kept(text, kind, name, argument, writes):
    """Every kind of statement is decoded and keeps its original text."""
    message = callers.decode_request(f"QUERY id7 {text}".encode())
    assert message == statements.Query("id7", statements.Statement(kind, text, name, argument, writes))


@given(st.binary(max_size=200))
def test_property_any_bytes_give_a_message(data):
    """Decoding a caller's bytes never raises; it always gives a message."""
    message = callers.decode_request(data)
    assert isinstance(message, statements.Query | statements.Start | statements.End | statements.Malformed)


@given(st.binary(min_size=1, max_size=50).filter(lambda data: b"\r" not in data and b"\n" not in data))
def test_property_text_is_passed_on_unchanged(data):
    """Bytes that are not valid UTF-8 reach the instance unchanged."""
    message = callers.decode_request(b"QUERY id7 WRITE a " + data)
    assert isinstance(message, statements.Query)
    assert instances.encode_statement("id7", message.statement.text) == b"QUERY id7 WRITE a " + data + b"\r\n"


def test_messages_to_an_instance():
    """Messages to instances are encoded as the protocol specifies."""
    position = model.Position(3, 1207)
    assert instances.encode_start("svc", "tenant", "i-1") == b"START svc tenant i-1\r\n"
    assert instances.encode_statement("5c", "READ 1a4", position) == b"QUERY 5c AFTER 3.1207 READ 1a4\r\n"
    assert instances.encode_begin(read_only=True, after=position) == b"QUERY - AFTER 3.1207 BEGIN READ\r\n"
    assert instances.encode_begin(read_only=False) == b"QUERY - BEGIN\r\n"
    assert instances.encode_pause(4) == b"QUERY - PAUSE 4\r\n"


def test_messages_from_an_instance():
    """Rows, results, failures, states and status rows are decoded."""
    assert instances.decode_reply(b"ROW a b") == statements.Row("a b")
    assert instances.decode_reply(b"DONE 7.1f3") == statements.Done("7.1f3")
    assert instances.decode_reply(b"ERR READONLY i-1") == statements.Failure(statements.Code.READ_ONLY, "i-1")
    ready = statements.Ready(statements.TransactionState.OPEN, model.Position(3, 9))
    assert instances.decode_reply(b"READY T 3.9") == ready
    status = instances.decode_status("replica 3 3.1209 0 12 2 17")
    assert status == model.InstanceStatus(model.Role.REPLICA, 3, model.Position(3, 1209), 0)


@pytest.mark.parametrize("line", [b"", b"READY", b"READY Q 1.1", b"READY I x.y", b"ERR WHAT x", b"HELLO", b"\xff"])
def test_malformed_reply_raises(line):
    """A malformed reply of an instance raises, so that its connection is closed."""
    with pytest.raises(errors.MalformedFrameError):
        instances.decode_reply(line)


@pytest.mark.parametrize("row", ["", "replica 3", "king 3 3.1 0", "replica x 3.1 0"])
def test_malformed_status_raises(row):
    """A malformed status row raises, so that it counts as no response."""
    with pytest.raises(errors.MalformedFrameError):
        instances.decode_status(row)
