"""Start of the session daemon: invalid settings end the program before it opens a socket."""

import pytest

from currantlead.platform import settings_file
from currantlead.sessions import __main__ as program

VALID_SETTINGS = """
node = "front-1"
ip = "127.0.0.1"
zone = "z1"
internalPorts = [7000, 7001]
[zones]
z1 = "r1"
[listen]
front = "127.0.0.1:7002"
ready = "127.0.0.1:7003"
[platform]
addr = "127.0.0.1:7004"
"""


@pytest.mark.parametrize(
    ("text", "variables", "expected_error"),
    [
        (VALID_SETTINGS.replace('zone = "z1"', "zone = 7"), {}, "zone: expected a non-empty string"),
        (VALID_SETTINGS, {settings_file.METRICS_PORT_VARIABLE: "many"}, "many"),
        (
            VALID_SETTINGS,
            {program.LOG_LEVEL_VARIABLE: "LOUD"},
            "expected one of DEBUG, INFO, WARNING, ERROR, got 'LOUD'",
        ),
        (None, {}, "No such file"),
    ],
)
def test_invalid_settings_are_reported_and_end_the_program(
    tmp_path, monkeypatch, capsys, text, variables, expected_error
):
    """Each error is written to standard error, and the exit code is 2."""
    path = tmp_path / "boot.toml"
    if text is not None:
        path.write_text(text)
    monkeypatch.setenv(settings_file.PATH_VARIABLE, str(path))
    for name, value in variables.items():
        monkeypatch.setenv(name, value)
    assert program.main() == 2
    assert expected_error in capsys.readouterr().err
