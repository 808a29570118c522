"""Tests of the daemon's settings."""

import pydantic
import pytest

from currantlead import settings

GOOD = {
    "vm": "vm-1",
    "domain": "larisa",
    "platform_url": "http://127.0.0.1:1",
    "operator_key": "k" * 16,
}


def test_good_settings():
    """Text values from flags become typed values."""
    checked = settings.Settings.from_config({**GOOD, "threads": "8", "listen": None})
    assert (checked.threads, checked.listen) == (8, "127.0.0.1:7400")


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
def test_bad_setting_names_flag_and_variable(name, value):
    """A wrong value is reported with its flag and its environment variable."""
    with pytest.raises(pydantic.ValidationError) as caught:
        settings.Settings.from_config({**GOOD, name: value})
    (line,) = settings.describe_faults(caught.value)
    assert settings.flag(name) in line
    assert settings.variable(name) in line


def test_all_faults_at_once():
    """An operator sees every fault in one run, not one at a time."""
    with pytest.raises(pydantic.ValidationError) as caught:
        settings.Settings.from_config({"vm": "X", "threads": "0"})
    lines = settings.describe_faults(caught.value)
    assert len(lines) == 5


def test_operator_key_is_not_shown():
    """A wrong operator key does not appear in the error, which may end in a log."""
    with pytest.raises(pydantic.ValidationError) as caught:
        settings.Settings.from_config({**GOOD, "operator_key": "secret"})
    assert "secret" not in "".join(settings.describe_faults(caught.value))
