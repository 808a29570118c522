"""Serve long-lived sessions on the users' platform; the settings file is named by an environment variable."""

import asyncio
import os
import pathlib
import sys

from currantlead import errors, logs
from currantlead.platform import boot
from currantlead.sessions import daemon

LOG_LINES_PER_S = 200
"""Lines of one part in a second; five times what a VM of today's deployments writes on a busy day."""
LOG_LEVEL_VARIABLE = "CURRANTLEAD_LOG_LEVEL"
"""Environment variable with the lowest level of log lines; the product's own daemon reads the same one."""
LOG_LEVELS = ("DEBUG", "INFO", "WARNING", "ERROR")
ALWAYS_LOGGED = ("daemon", "store", "fleet", "succession", "platform")
"""Parts that decide rarely and change what the process believes."""


def main() -> int:
    """Run the daemon and return the exit code: 2 for faulty settings."""
    path = os.environ.get(boot.PATH_VARIABLE, "")
    try:
        metrics_port = int(os.environ.get(boot.METRICS_PORT_VARIABLE, boot.METRICS_PORT))
        checked = boot.parse(pathlib.Path(path).read_text(encoding="utf-8"), metrics_port)
    except (errors.SettingsError, OSError, ValueError) as error:
        for fault in getattr(error, "faults", [str(error)]):
            sys.stderr.write(f"error: {path}: {fault}\n")
        return 2
    level = os.environ.get(LOG_LEVEL_VARIABLE, "INFO")
    if level not in LOG_LEVELS:
        sys.stderr.write(f"error: {LOG_LEVEL_VARIABLE}: expected one of {', '.join(LOG_LEVELS)}, got {level!r}\n")
        return 2
    bound = logs.Bound(sys.stdout.fileno(), LOG_LINES_PER_S, ALWAYS_LOGGED)
    logs.configure(level=level, json_lines=True, vm=checked.vm, buffered=True, bound=bound)
    asyncio.run(daemon.Daemon.from_config(checked).run())
    logs.flush()
    return 0


if __name__ == "__main__":
    sys.exit(main())
