"""Tests of log output: form of the lines, and that buffered lines are not lost."""

import contextlib
import json
import os
import subprocess
import sys

import pytest

from currantlead import logs


@pytest.fixture(autouse=True)
def restore():
    """Put the set-up of the other tests back."""
    yield
    logs.configure(level="WARNING")


def test_buffered_lines_are_written_by_flush_in_order(capsys):
    """A line is neither lost nor doubled by the buffer."""
    logs.configure(buffered=True)
    log = logs.part("holder")
    for number in range(3):
        log.info("line {}", number)
    assert capsys.readouterr().err == ""
    logs.flush()
    logs.flush()
    lines = capsys.readouterr().err.splitlines()
    assert [line.partition("holder      ")[2] for line in lines] == ["line 0", "line 1", "line 2"]


def test_error_writes_everything_at_once(capsys):
    """The lines before an error are there even if the process is killed after it."""
    logs.configure(buffered=True)
    logs.part("holder").info("before")
    logs.part("holder").error("broken")
    assert [line.split()[-1] for line in capsys.readouterr().err.splitlines()] == ["before", "broken"]


@pytest.mark.processes
def test_end_of_the_process_writes_what_is_kept():
    """A planned stop or an uncaught error loses no line."""
    script = (
        "from currantlead import logs; logs.configure(buffered=True); logs.part('x').info('last'); raise SystemExit(3)"
    )
    done = subprocess.run([sys.executable, "-c", script], capture_output=True, text=True, timeout=30)
    assert done.returncode == 3
    assert "last" in done.stderr


def test_buffer_is_bounded(capsys):
    """A loop that stalls does not keep lines without bound."""
    logs.configure(buffered=True)
    for number in range(2 * logs._MOST_LINES):
        logs.part("holder").info("{}", number)
    assert len(capsys.readouterr().err.splitlines()) == 2 * logs._MOST_LINES


def test_text_line_has_fields_braces_and_traceback(capsys):
    """Braces in a message are not read as a format, and a traceback follows its line."""
    logs.configure()
    try:
        raise ValueError("a fault")
    except ValueError as error:
        logs.part("proxy").opt(exception=error).warning("failed: {}", "{x}", request="r1")
    text = capsys.readouterr().err
    assert text.splitlines()[0].endswith("WARNING proxy       failed: {x} request=r1")
    assert text.endswith("ValueError: a fault\n")


def test_json_line_names_vm_and_fields(capsys):
    """A JSON line can be parsed and names its VM."""
    logs.configure(json_lines=True, vm="larisa-1")
    logs.part("proxy").info("sent", request="r1")
    line = json.loads(capsys.readouterr().err)
    assert (line["vm"], line["part"], line["message"], line["request"]) == ("larisa-1", "proxy", "sent", "r1")


def test_recent_keeps_only_decisions(capsys):
    """Operators see routing and placement, not other parts."""
    logs.configure()
    logs.part("holder").info("kept")
    logs.part("border").info("left out")
    assert logs.recent()[-1][1:] == ("holder", "kept")
    assert len(logs.recent()[-1][0]) == len("12:00:00.000")


def test_lines_beyond_the_rate_are_counted_instead_of_written():
    """A flood of one part neither fills the pipe nor hides the lines that matter."""
    reader, writer = os.pipe()
    bound = logs.Bound(writer, 3, always=["succession"])
    logs.configure(json_lines=True, bound=bound)
    for number in range(10):
        logs.part("session").info("line {}", number)
    logs.part("succession").info("promoted")
    logs.part("session").warning("store lost")
    logs.flush()
    messages = [json.loads(line)["message"] for line in os.read(reader, 65536).splitlines()]
    assert messages == ["line 0", "line 1", "line 2", "promoted", "store lost"]
    assert bound.dropped["session"] == 7


def test_count_of_left_out_lines_comes_with_a_later_line():
    """What was left out is told, so that a gap is no proof that nothing happened."""
    reader, writer = os.pipe()
    bound = logs.Bound(writer, 1)
    bound.dropped["session"] = 4
    logs.configure(json_lines=True, bound=bound)
    logs.part("session").info("served")
    logs.flush()
    assert json.loads(os.read(reader, 65536))["left_out"] == 4


def test_full_pipe_drops_whole_lines_and_does_not_block():
    """A reader that has stopped costs lines, not the service."""
    reader, writer = os.pipe()
    bound = logs.Bound(writer, 10**9)
    logs.configure(json_lines=True, buffered=True, bound=bound)
    for _ in range(8000):
        logs.part("session").info("x" * 100)
    logs.flush()
    assert bound.lost_bytes > 0
    os.set_blocking(reader, False)
    read = b""
    for _ in range(40):
        with contextlib.suppress(BlockingIOError):
            read += os.read(reader, 1 << 20)
        logs.flush()
    lines = read.splitlines()
    assert all(json.loads(line)["part"] == "session" for line in lines)
