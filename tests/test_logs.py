"""Log output: format of the lines, buffering and rate limiting."""

import contextlib
import json
import os
import subprocess
import sys

import pytest

from currantlead import logs


@pytest.fixture(autouse=True)
def restore():
    """Restore the logging set-up of the other tests."""
    yield
    logs.configure(level="WARNING")


def test_buffered_lines_are_written_by_flush_in_order(capsys):
    """The buffer neither loses nor duplicates lines."""
    logs.configure(buffered=True)
    log = logs.part("holder")
    for number in range(3):
        log.info("line {}", number)
    assert capsys.readouterr().err == ""
    logs.flush()
    logs.flush()
    lines = capsys.readouterr().err.splitlines()
    assert [line.partition("holder      ")[2] for line in lines] == ["line 0", "line 1", "line 2"]


def test_error_flushes_the_buffer(capsys):
    """The lines up to an error are written even if the process is killed right after it."""
    logs.configure(buffered=True)
    logs.part("holder").info("before")
    logs.part("holder").error("broken")
    assert [line.split()[-1] for line in capsys.readouterr().err.splitlines()] == ["before", "broken"]


@pytest.mark.processes
def test_end_of_the_process_flushes_the_buffer():
    """Neither a planned stop nor an uncaught error loses lines."""
    script = (
        "from currantlead import logs; logs.configure(buffered=True); logs.part('x').info('last'); raise SystemExit(3)"
    )
    finished = subprocess.run([sys.executable, "-c", script], capture_output=True, text=True, timeout=30)
    assert finished.returncode == 3
    assert "last" in finished.stderr


def test_buffer_is_bounded(capsys):
    """The buffer doesn't grow without bound while the event loop is stalled."""
    logs.configure(buffered=True)
    for number in range(2 * logs._MAX_BUFFERED_LINES):
        logs.part("holder").info("{}", number)
    assert len(capsys.readouterr().err.splitlines()) == 2 * logs._MAX_BUFFERED_LINES


def test_text_line_has_fields_braces_and_traceback(capsys):
    """Braces in an argument are not interpreted as placeholders, and a traceback follows its line."""
    logs.configure()
    try:
        raise ValueError("a fault")
    except ValueError as error:
        logs.part("proxy").opt(exception=error).warning("failed: {}", "{x}", request="r1")
    text = capsys.readouterr().err
    assert text.splitlines()[0].endswith("WARNING proxy       failed: {x} request=r1")
    assert text.endswith("ValueError: a fault\n")


def test_json_line_names_vm_and_fields(capsys):
    """A JSON line is valid and contains the VM, the part and the bound fields."""
    logs.configure(json_lines=True, vm="larisa-1")
    logs.part("proxy").info("sent", request="r1")
    line = json.loads(capsys.readouterr().err)
    assert (line["vm"], line["part"], line["message"], line["request"]) == ("larisa-1", "proxy", "sent", "r1")


def test_recent_decisions_contain_only_decisions(capsys):
    """Operators see only the lines of the parts that decide about routing and placement."""
    logs.configure()
    logs.part("holder").info("kept")
    logs.part("border").info("left out")
    assert logs.recent_decisions()[-1][1:] == ("holder", "kept")
    assert len(logs.recent_decisions()[-1][0]) == len("12:00:00.000")


def test_lines_beyond_the_rate_are_dropped_and_counted():
    """Many lines of one part neither fill the pipe nor displace warnings and the lines of unlimited parts."""
    reader, writer = os.pipe()
    output = logs.RateLimitedOutput(writer, 3, unlimited_parts=["succession"])
    logs.configure(json_lines=True, output=output)
    for number in range(10):
        logs.part("session").info("line {}", number)
    logs.part("succession").info("promoted")
    logs.part("session").warning("store lost")
    logs.flush()
    messages = [json.loads(line)["message"] for line in os.read(reader, 65536).splitlines()]
    assert messages == ["line 0", "line 1", "line 2", "promoted", "store lost"]
    assert output.dropped["session"] == 7


def test_count_of_dropped_lines_is_added_to_a_later_line():
    """Dropped lines are reported, so that a gap isn't read as proof that nothing happened."""
    reader, writer = os.pipe()
    output = logs.RateLimitedOutput(writer, 1)
    output.dropped["session"] = 4
    logs.configure(json_lines=True, output=output)
    logs.part("session").info("served")
    logs.flush()
    assert json.loads(os.read(reader, 65536))["left_out"] == 4


def test_full_pipe_drops_whole_lines_and_does_not_block():
    """If the reader of the pipe stops, lines are lost, but the service doesn't block."""
    reader, writer = os.pipe()
    output = logs.RateLimitedOutput(writer, 10**9)
    logs.configure(json_lines=True, buffered=True, output=output)
    for _ in range(8000):
        logs.part("session").info("x" * 100)
    logs.flush()
    assert output.lost_bytes > 0
    os.set_blocking(reader, False)
    read = b""
    for _ in range(40):
        with contextlib.suppress(BlockingIOError):
            read += os.read(reader, 1 << 20)
        logs.flush()
    lines = read.splitlines()
    assert all(json.loads(line)["part"] == "session" for line in lines)
