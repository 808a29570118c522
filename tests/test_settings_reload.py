"""Reload of the settings file: applied or refused as a whole, on SIGHUP and without a signal."""

import dataclasses
import os
import signal

import pytest

from currantlead import errors
from currantlead.platform import settings_file
from currantlead.sessions import settings, settings_reload
from tests import session_bed, test_session_program

BOUNDS = "[bounds]\nrevokeMs = 5000\ndrainMs = 7000\n"


@pytest.fixture
def reload(tmp_path):
    """Provide a settings file, its reload, and the settings that were applied."""
    path = tmp_path / "boot.toml"
    path.write_text(test_session_program.VALID_SETTINGS + BOUNDS)
    applied = []
    started = settings_reload.SettingsReload(
        settings_file.parse(path.read_text()),
        str(path),
        lambda: settings_file.parse(path.read_text()),
        applied.append,
    )
    return path, started, applied


def test_changed_bounds_are_applied_without_a_signal(reload):
    """The platform may change the file without SIGHUP; a changed bound is in force with the next check."""
    path, started, applied = reload
    started.check()
    assert applied == []
    path.write_text(path.read_text().replace("drainMs = 7000", "drainMs = 10000"))
    started.check()
    started.check()
    assert [loaded.bounds.drain_s for loaded in applied] == [10.0]


@pytest.mark.parametrize(
    ("old", "new"),
    [
        ("drainMs = 7000", "drainMs = 'soon'"),
        ("drainMs = 7000", "drainMs = "),
        ("127.0.0.1:7002", "127.0.0.1:7009"),
        ('node = "front-1"', 'node = "front-2"'),
        ("[platform]", "[store]"),
    ],
)
def test_file_that_cannot_be_applied_changes_nothing(reload, old, new):
    """A file with any error, or with a changed address, is refused as a whole, valid changes included."""
    path, started, applied = reload
    valid = path.read_text()
    path.write_text(valid.replace("revokeMs = 5000", "revokeMs = 4000").replace(old, new))
    started.check()
    started.reload("SIGHUP")
    assert applied == []
    path.write_text(valid.replace("revokeMs = 5000", "revokeMs = 4000"))
    started.check()
    assert [loaded.bounds.revocation_s for loaded in applied] == [4.0]


def test_missing_file_changes_nothing(reload):
    """A file that is replaced may be missing for a moment."""
    path, started, applied = reload
    valid = path.read_text()
    path.unlink()
    started.check()
    started.reload("SIGHUP")
    path.write_text(valid.replace("drainMs = 7000", "drainMs = 9000"))
    started.check()
    assert [loaded.bounds.drain_s for loaded in applied] == [9.0]


async def test_hangup_applies_bounds_and_disturbs_no_caller(tmp_path):
    """SIGHUP under way: an open transaction ends as usual, and a lower bound for withdrawn keys is in force at once."""
    async with session_bed.Bed() as bed:
        caller = await bed.caller()
        await caller.query("BEGIN")
        await caller.query("WRITE a1 x")
        loaded = [
            dataclasses.replace(bed.daemon.settings, bounds=settings.Bounds(drain_s=9.0)),
            dataclasses.replace(bed.daemon.settings, bounds=settings.Bounds(revocation_s=1.0)),
        ]
        bed.daemon.settings_reload = settings_reload.SettingsReload(
            bed.daemon.settings, str(tmp_path), lambda: loaded.pop(0), bed.daemon._apply_settings
        )
        os.kill(os.getpid(), signal.SIGHUP)
        assert (await caller.query("COMMIT"))[0].startswith("DONE i-1")
        assert bed.daemon.settings.bounds.drain_s == 9.0
        os.kill(os.getpid(), signal.SIGHUP)
        assert (await caller.query("WRITE a2 y"))[0].startswith("ERR BUSY")
        assert bed.daemon.settings.bounds.revocation_s == 1.0


def test_settings_that_need_a_restart_are_named(reload):
    """Every setting is either reloadable or named in the refusal."""
    path, _, _ = reload
    current = settings_file.parse(path.read_text())
    text = path.read_text().replace("127.0.0.1:7004", "127.0.0.1:7005").replace("drainMs = 7000", "drainMs = 1")
    loaded = settings_file.parse(text)
    assert settings_reload.changed_settings(current, loaded) == ["store", "bounds"]
    with pytest.raises(errors.SettingsError):
        settings_file.parse("node = 7")
