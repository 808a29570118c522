"""Tests of the command-line interface."""

import socket

import typer.testing

from currantlead import cli, daemon

RUNNER = typer.testing.CliRunner()


def test_all_invalid_settings_are_reported_before_sockets_open(monkeypatch):
    """Guards against reporting only the first invalid setting, and against a daemon that starts with one."""
    opened = []
    monkeypatch.setattr(socket.socket, "bind", lambda *args: opened.append(args))
    monkeypatch.setattr(daemon, "run", lambda checked: opened.append(checked))
    invalid = ["--vm", "VM 1", "--listen", "nowhere", "--threads", "0", "--operator-key", "too-short"]
    outcome = RUNNER.invoke(cli.app, ["serve", *invalid], env={"CURRANTLEAD_LOG_LEVEL": "LOUD"})
    assert outcome.exit_code == 2 and opened == []
    reported = [line.split()[1] for line in outcome.output.splitlines() if line.startswith("error: ")]
    assert sorted(reported) == [
        *("--domain", "--listen", "--log-level", "--operator-key", "--platform-url", "--threads", "--vm")
    ]
    assert "CURRANTLEAD_LOG_LEVEL" in outcome.output and "too-short" not in outcome.output


def test_valid_settings_start_daemon(monkeypatch):
    """Guards against flags and environment variables that do not reach the daemon."""
    monkeypatch.setattr(daemon, "run", lambda checked: 0 if checked.vm == "vm-1" else 3)
    arguments = ["--domain", "larisa", "--platform-url", "http://127.0.0.1:1"]
    outcome = RUNNER.invoke(
        cli.app, ["serve", *arguments], env={"CURRANTLEAD_VM": "vm-1", "CURRANTLEAD_OPERATOR_KEY": "k" * 16}
    )
    assert outcome.exit_code == 0, outcome.output


def test_shell_completion_is_available():
    """Guards against a command line without shell completion."""
    assert "--install-completion" in RUNNER.invoke(cli.app, ["--help"]).output
