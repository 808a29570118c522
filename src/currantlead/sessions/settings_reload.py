"""Reload of the settings file while the VM runs: checked and applied as a whole, or refused as a whole."""

import dataclasses
import os
from collections.abc import Callable

from currantlead import errors, logs
from currantlead.sessions import settings

CHECK_INTERVAL_S = 1.0
"""Interval of the check whether the file has changed; the platform may change it without a signal."""
RELOADABLE = frozenset({"bounds", "region_of", "heartbeat_s", "resources"})
"""Settings that can change at run time; all others name sockets or this VM itself and need a restart. Changed resources
are accepted, so that they hold nothing else up, but the member's record states them from the next start."""

_log = logs.part("daemon")


def changed_settings(current: settings.SessionSettings, loaded: settings.SessionSettings) -> list[str]:
    """Return the names of the settings that differ."""
    return [
        field.name
        for field in dataclasses.fields(settings.SessionSettings)
        if getattr(current, field.name) != getattr(loaded, field.name)
    ]


class SettingsReload:
    """Reload the settings on request, and when the file has changed.

    Args:
        current: The settings in force.
        path: Path of the settings file.
        load: Reads and parses the file; raises ``errors.SettingsError``, ``OSError`` or ``ValueError``.
        on_changed: Called with the new settings; only ``RELOADABLE`` ones differ.
    """

    def __init__(
        self,
        current: settings.SessionSettings,
        path: str,
        load: Callable[[], settings.SessionSettings],
        on_changed: Callable[[settings.SessionSettings], None],
    ):
        self._current = current
        self._path = path
        self._load = load
        self._on_changed = on_changed
        self._signature = self._read_signature()

    def check(self) -> None:
        """Reload the settings if the file has changed; call it periodically."""
        signature = self._read_signature()
        if signature is not None and signature != self._signature:
            self.reload("file changed")

    def reload(self, reason: str) -> None:
        """Read the file, and apply it if it is valid and changes only what can change at run time.

        Args:
            reason: What caused the reload, for the log.
        """
        self._signature = self._read_signature()
        log = _log.bind(reason=reason, path=self._path)
        try:
            loaded = self._load()
        except (errors.SettingsError, OSError, ValueError) as error:
            log.error("settings not reloaded, keeping those in force: {}", error)
            return
        changed = changed_settings(self._current, loaded)
        fixed = [name for name in changed if name not in RELOADABLE]
        if fixed:
            log.bind(changed=changed).error(
                "settings not reloaded, keeping those in force: a restart is needed to change {}", ", ".join(fixed)
            )
            return
        log.bind(changed=changed).info("settings reloaded" if changed else "settings reloaded without a change")
        if changed:
            self._current = loaded
            self._on_changed(loaded)

    def _read_signature(self) -> tuple[int, int, int] | None:
        """Return what identifies this version of the file, or None if it can't be read at the moment."""
        try:
            status = os.stat(self._path)
        except OSError as error:
            _log.debug("settings file {} cannot be read: {!r}", self._path, error)
            return None
        return status.st_mtime_ns, status.st_size, status.st_ino
