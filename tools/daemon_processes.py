"""Daemons of the soak test as separate processes, and their settings files."""

import asyncio
import os
import pathlib
import signal
import sys
import urllib.request

from currantlead.platform import settings_file
from tests import session_bed

SETTINGS = """
node = "{vm}"
ip = "127.0.0.1"
zone = "{domain}"
internalPorts = [{peers}, {peers}]
[zones]
z1 = "r1"
z2 = "r2"
z3 = "r3"
[listen]
front = "127.0.0.1:{callers}"
ready = "127.0.0.1:{readiness}"
[bounds]
graceS = 6
{bounds}[platform]
addr = "127.0.0.1:{store}"
[cloudApi]
addr = "127.0.0.1:{store}"
"""

LOAD_SETTINGS = """duties = ["promotion", "usage_report"]
[loadManagement]
enabled = true
"""
"""Settings that switch usage reports and all decisions under load on; they follow those of ``SETTINGS``."""


class DaemonProcess:
    """A daemon in a separate process that is restarted whenever it exits."""

    def __init__(
        self,
        name: str,
        domain: str,
        store_port: int,
        directory: pathlib.Path,
        more_settings: str = "",
        bounds: str = "",
    ):
        self.name = name
        self.port = session_bed.free_port()
        self.peer_port = session_bed.free_port()
        self._readiness_port = session_bed.free_port()
        self._metrics_port = session_bed.free_port()
        self._settings = directory / f"{name}.toml"
        self._settings.write_text(
            SETTINGS.format(
                vm=name,
                domain=domain,
                peers=self.peer_port,
                callers=self.port,
                readiness=self._readiness_port,
                store=store_port,
                bounds=bounds,
            )
            + more_settings
        )
        self._log = (directory / f"{name}.log").open("ab")
        self.process: asyncio.subprocess.Process | None = None
        self._supervisor: asyncio.Task[None] | None = None

    def start(self, variables: dict[str, str] | None = None) -> None:
        """Start supervising the process, with additional environment variables."""
        self._supervisor = asyncio.create_task(self._supervise(variables or {}))

    async def _supervise(self, variables: dict[str, str]) -> None:
        while True:
            environment = (
                os.environ
                | variables
                | {
                    settings_file.PATH_VARIABLE: str(self._settings),
                    settings_file.METRICS_PORT_VARIABLE: str(self._metrics_port),
                }
            )
            self.process = await asyncio.create_subprocess_exec(
                sys.executable, "-m", "currantlead.sessions", env=environment, stdout=self._log, stderr=self._log
            )
            await self.process.wait()
            await asyncio.sleep(0.3)

    async def wait_until_ready(self) -> None:
        """Wait until the daemon accepts sessions; cancel it with a time-out."""
        while not await asyncio.to_thread(self._is_ready):  # noqa: ASYNC110
            await asyncio.sleep(0.1)

    def _is_ready(self) -> bool:
        try:
            with urllib.request.urlopen(f"http://127.0.0.1:{self._readiness_port}/", timeout=1.0) as response:
                return response.status == 200
        except OSError:
            return False

    def change_settings(self, old: str, new: str) -> None:
        """Replace a text in the settings file."""
        self._settings.write_text(self._settings.read_text().replace(old, new))

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process if it is running."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def stop(self) -> None:
        """Kill the process and stop supervising it."""
        if self._supervisor is not None:
            self._supervisor.cancel()
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()
        self._log.close()
