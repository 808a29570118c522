"""Tests of the command line."""

import socket

import typer.testing

from currantlead import cli, daemon

RUNNER = typer.testing.CliRunner()


def test_all_wrong_settings_are_named_before_a_socket_opens(monkeypatch):
    """Guards against one fault at a time, and against a daemon that starts with a wrong setting."""
    opened = []
    monkeypatch.setattr(socket.socket, "bind", lambda *args: opened.append(args))
    monkeypatch.setattr(daemon, "run", lambda checked: opened.append(checked))
    wrong = ["--vm", "VM 1", "--listen", "nowhere", "--threads", "0", "--operator-key", "too-short"]
    done = RUNNER.invoke(cli.app, ["serve", *wrong], env={"CURRANTLEAD_LOG_LEVEL": "LOUD"})
    assert done.exit_code == 2 and opened == []
    named = [line.split()[1] for line in done.output.splitlines() if line.startswith("error: ")]
    assert sorted(named) == [
        *("--domain", "--listen", "--log-level", "--operator-key", "--platform-url", "--threads", "--vm")
    ]
    assert "CURRANTLEAD_LOG_LEVEL" in done.output and "too-short" not in done.output


def test_good_settings_start_the_daemon(monkeypatch):
    """Guards against flags and variables that do not reach the daemon."""
    monkeypatch.setattr(daemon, "run", lambda checked: 0 if checked.vm == "vm-1" else 3)
    given = ["--domain", "larisa", "--platform-url", "http://127.0.0.1:1"]
    done = RUNNER.invoke(
        cli.app, ["serve", *given], env={"CURRANTLEAD_VM": "vm-1", "CURRANTLEAD_OPERATOR_KEY": "k" * 16}
    )
    assert done.exit_code == 0, done.output


def test_shell_completion_is_offered():
    """Guards against a command line without shell completion."""
    assert "--install-completion" in RUNNER.invoke(cli.app, ["--help"]).output
