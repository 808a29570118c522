"""Deployment file and dependency locks of the session daemon."""

import pathlib
import subprocess
import sys
import tomllib

ROOT = pathlib.Path(__file__).parents[1]
IMPORT_NAMES = {"hdrhistogram": ("hdrh", "pyhdrh")}
"""Import names of packages whose import names differ from their package names."""


def read_lock(name):
    """Return the requirements in a lock file."""
    return set((ROOT / name).read_text().split())


def test_daemon_imports_only_what_its_lock_installs():
    """The daemon would fail at its start if it imported a library that only the development environment has."""
    code = (
        "import sys, currantlead.sessions.daemon\n"
        "print(*{name.split('.')[0] for name, found in sys.modules.items()"
        " if 'site-packages' in (getattr(found, '__file__', None) or '')})"
    )
    finished = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True)
    names = {line.split("==")[0] for line in read_lock("requirements-sessions.lock")}
    provided = {provided for name in names for provided in IMPORT_NAMES.get(name, (name,))}
    imported = {name for name in finished.stdout.split() if not name.startswith(("_", "__editable"))}
    assert imported <= provided


def test_locks_agree():
    """The daemon is deployed with the same versions as those in the tests."""
    assert read_lock("requirements-sessions.lock") <= read_lock("requirements.lock")


def test_deploy_file_names_a_program_that_exists():
    """The role's command starts the module of the session daemon."""
    role = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())["roles"]["entry"]
    assert role["run"].split() == ["python3", "-m", "currantlead.sessions"]
    assert (ROOT / "src/currantlead/sessions/__main__.py").exists()
