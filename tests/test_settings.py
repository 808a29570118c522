"""Tests of the daemon's settings."""

import pydantic
import pytest

from currantlead import settings

VALID = {
    "vm": "vm-1",
    "domain": "larisa",
    "platform_url": "http://127.0.0.1:1",
    "operator_key": "k" * 16,
}


def test_valid_settings():
    """Text values are converted to the types of the settings."""
    config = settings.Settings.from_config({**VALID, "threads": "8", "listen": None})
    assert (config.threads, config.listen) == (8, "127.0.0.1:7400")


@pytest.mark.parametrize(
    ("name", "value"),
    [
        ("vm", "VM 1"),
        ("vm", ""),
        ("domain", "a" * 64),
        ("listen", "nowhere"),
        ("listen", "127.0.0.1:70000"),
        ("peer_listen", "host.example:80"),
        ("platform_url", "ftp://127.0.0.1"),
        ("operator_key", "short"),
        ("threads", "0"),
        ("threads", "many"),
        ("request_timeout", "-1"),
        ("drain_timeout", "nan"),
        ("log_level", "LOUD"),
        ("log_format", "xml"),
    ],
)
def test_invalid_setting_is_reported_with_flag_and_variable(name, value):
    """An invalid value is reported with its flag and its environment variable."""
    with pytest.raises(pydantic.ValidationError) as caught:
        settings.Settings.from_config({**VALID, name: value})
    (line,) = settings.format_errors(caught.value)
    assert settings.flag(name) in line
    assert settings.variable(name) in line


def test_all_invalid_settings_are_reported():
    """All invalid settings are reported together."""
    with pytest.raises(pydantic.ValidationError) as caught:
        settings.Settings.from_config({"vm": "X", "threads": "0"})
    lines = settings.format_errors(caught.value)
    assert len(lines) == 5


def test_operator_key_is_not_shown():
    """An invalid operator key is not part of the error, which may be logged."""
    with pytest.raises(pydantic.ValidationError) as caught:
        settings.Settings.from_config({**VALID, "operator_key": "secret"})
    assert "secret" not in "".join(settings.format_errors(caught.value))
