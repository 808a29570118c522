"""Serve long-lived sessions on the users' platform; the settings file is named by an environment variable.

Callers reconnect as soon as a VM is back, and an opening packet that finds no listener is sent again a second later. So
the socket for callers is opened first, and the modules that take most of the start are imported after that.
"""

import os
import socket
import sys

from currantlead import errors
from currantlead.platform import boot
from currantlead.sessions import settings

LOG_LINES_PER_S = 200
"""Lines of one part in a second; five times what a VM of today's deployments writes on a busy day."""
LOG_LEVEL_VARIABLE = "CURRANTLEAD_LOG_LEVEL"
"""Environment variable with the lowest level of log lines; the product's own daemon reads the same one."""
LOG_LEVELS = ("DEBUG", "INFO", "WARNING", "ERROR")
ALWAYS_LOGGED = ("daemon", "store", "fleet", "succession", "platform")
"""Parts that decide rarely and change what the process believes."""


def main() -> int:
    """Run the daemon and return the exit code: 2 for faulty settings."""
    level = os.environ.get(LOG_LEVEL_VARIABLE, "INFO")
    if level not in LOG_LEVELS:
        sys.stderr.write(f"error: {LOG_LEVEL_VARIABLE}: expected one of {', '.join(LOG_LEVELS)}, got {level!r}\n")
        return 2
    path = os.environ.get(boot.PATH_VARIABLE, "")
    try:
        metrics_port = int(os.environ.get(boot.METRICS_PORT_VARIABLE, boot.METRICS_PORT))
        with open(path, encoding="utf-8") as file:
            checked = boot.parse(file.read(), metrics_port)
        listening = checked.callers.listen()
    except (errors.SettingsError, OSError, ValueError) as error:
        for fault in getattr(error, "faults", [str(error)]):
            sys.stderr.write(f"error: {path}: {fault}\n")
        return 2
    _serve(checked, listening, level)
    return 0


def _serve(checked: settings.SessionSettings, listening: socket.socket, level: str) -> None:
    # Imported only now, so that callers can connect before: these modules take four fifths of the start.
    import asyncio

    from currantlead import logs
    from currantlead.sessions import daemon

    bound = logs.Bound(sys.stdout.fileno(), LOG_LINES_PER_S, ALWAYS_LOGGED)
    logs.configure(level=level, json_lines=True, vm=checked.vm, buffered=True, bound=bound)
    asyncio.run(daemon.Daemon.from_config(checked, listening).run())
    logs.flush()


if __name__ == "__main__":
    sys.exit(main())
