"""Run a stand-in as a separate process."""

import asyncio
import contextlib
import pathlib
import signal
import sys
import tempfile
from collections.abc import AsyncIterator


@contextlib.asynccontextmanager
async def start(module: str, *arguments: str) -> AsyncIterator[int]:
    """Run the module of a stand-in and yield its port.

    Raises:
        RuntimeError: If the process does not exit with code 0 after SIGTERM.
        TimeoutError: If it does not start within 10 s, or does not exit within 5 s.
    """
    with tempfile.TemporaryDirectory() as directory:
        port_file = pathlib.Path(directory) / "port"
        command = ["-m", f"tests.standins.{module}", "--port", "0", "--port-file", str(port_file), *arguments]
        process = await asyncio.create_subprocess_exec(sys.executable, *command)
        try:
            yield await _read_port(port_file)
        finally:
            process.send_signal(signal.SIGTERM)
            code = await asyncio.wait_for(process.wait(), 5)
    if code != 0:
        raise RuntimeError(f"stand-in {module} exited with code {code}")


async def _read_port(port_file: pathlib.Path) -> int:
    for _ in range(500):
        text = _read_if_present(port_file)
        if text:
            return int(text)
        await asyncio.sleep(0.02)
    raise TimeoutError("stand-in did not write its port file within 10 s")


def _read_if_present(path: pathlib.Path) -> str:
    return path.read_text() if path.exists() else ""
