"""The story of one request from logs: several VMs, mixed order, torn lines, unknown ids; and the other commands."""

import json

import typer.testing

from currantlead import cli
from currantlead.sessions import explain
from tests import test_platform_objects

runner = typer.testing.CliRunner()


def line(second, vm, part, message, **fields):
    """Return one line as the daemon writes it."""
    record = {"time": f"2026-03-15T20:05:{second:06.3f}+00:00", "level": "INFO", "vm": vm, "part": part}
    return json.dumps(record | fields | {"message": message})


LOG = [
    line(12.5, "vm-1", "session", "failed: busy no instance", request="r1", organisation="a", ms=200.0),
    line(12.3, "vm-1", "route", "read_only", request="r1", organisation="a", instance="i-1", proof="lead"),
    line(11.0, "vm-1", "fleet", "entry lapsed", instance="i-1"),
    line(11.0, "vm-1", "fleet", "entry lapsed", instance="i-9"),
    line(11.1, "vm-2", "succession", "promotion began: entry lapsed", service="svc"),
    line(11.2, "vm-2", "store", "store is unavailable"),
    line(1.0, "vm-1", "store", "listed"),
    line(12.4, "vm-1", "route", "ran", request="r2", instance="i-1"),
]


def test_story_has_beliefs_before_the_request_in_order():
    """Only lines that concern the request's VM, instance or a promotion are told."""
    told, found = explain.explain(LOG, "r1")
    assert found
    text = "\n".join(told)
    assert text.index("entry lapsed") < text.index("promotion began") < text.index("read_only")
    assert text.index("read_only") < text.index("busy no instance")
    assert "i-9" not in text and "store is unavailable" not in text and "ran" not in text and "listed" not in text


def test_lines_with_a_prefix_and_torn_lines():
    """A collector's prefix is passed over; a torn line is counted, not fatal."""
    told, found = explain.explain([f"  12.5 vm-1 {LOG[0]}", LOG[1][:40], "no json here", "{}"], "r1")
    assert found and told[-1] == "2 lines could not be read"


def test_unknown_id_is_said_so():
    """An id that no line names gives a clear message."""
    told, found = explain.explain(LOG, "r9")
    assert not found and told[0].startswith("no line names request 'r9'; 8 lines")


def test_left_out_lines_are_mentioned():
    """A gap because of the rate is no proof that nothing happened."""
    told, _ = explain.explain([*LOG, line(13.0, "vm-1", "route", "ran", request="r3", left_out=7)], "r1")
    assert told[-1].startswith("7 lines")


def test_explain_command_reads_files(tmp_path):
    """The command joins the logs of several VMs, and its exit code tells whether the id was found."""
    one, two = tmp_path / "1.log", tmp_path / "2.log"
    one.write_text("\n".join(LOG[:4]))
    two.write_text("\n".join(LOG[4:]))
    result = runner.invoke(cli.app, ["explain", "r1", str(one), str(two)])
    assert result.exit_code == 0 and "promotion began" in result.stdout
    assert runner.invoke(cli.app, ["explain", "r9", str(one)]).exit_code == 1
    assert runner.invoke(cli.app, ["explain", "r1", str(tmp_path / "none")]).exit_code == 2


def test_check_command_names_every_fault(tmp_path):
    """A faulty settings file is refused with each fault and its place."""
    good, bad = tmp_path / "good.toml", tmp_path / "bad.toml"
    good.write_text(test_platform_objects.BOOT)
    bad.write_text(test_platform_objects.BOOT.replace("1200", '"soon"').replace('zone = "larisa"', ""))
    assert runner.invoke(cli.app, ["check", str(good)]).exit_code == 0
    result = runner.invoke(cli.app, ["check", str(bad)])
    assert result.exit_code == 2
    assert "zone: is missing" in result.output and "heartbeatMs" in result.output


def test_help_says_which_program_serves_what():
    """A newcomer finds both daemons in the help."""
    text = runner.invoke(cli.app, ["--help"]).output
    assert "serve-sessions" in text and "explain" in text and "check" in text
