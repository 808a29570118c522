"""Run the daemon that serves long-lived sessions; an environment variable holds the path of the settings file.

Callers reconnect as soon as a VM is up again, and a SYN packet that finds no listening socket is retransmitted only a
second later. Therefore the socket for callers is opened before the modules that take most of the start-up time are
imported.
"""

import os
import socket
import sys

from currantlead import errors
from currantlead.platform import settings_file
from currantlead.sessions import settings

LOG_LINES_PER_S = 200
"""Maximum log lines per second and component; five times the rate of a VM in current deployments on a busy day."""
LOG_LEVEL_VARIABLE = "CURRANTLEAD_LOG_LEVEL"
"""Environment variable for the minimum log level; ``currantlead serve`` reads it too."""
LOG_LEVELS = ("DEBUG", "INFO", "WARNING", "ERROR")
RATE_LIMIT_EXEMPT = ("daemon", "store", "fleet", "succession", "platform", "usage")
"""Components exempt from the rate limit: they log rarely, and their lines record state changes."""


def main() -> int:
    """Run the daemon and return the exit code; 2 if the settings are invalid."""
    level = os.environ.get(LOG_LEVEL_VARIABLE, "INFO")
    if level not in LOG_LEVELS:
        sys.stderr.write(f"error: {LOG_LEVEL_VARIABLE}: expected one of {', '.join(LOG_LEVELS)}, got {level!r}\n")
        return 2
    path = os.environ.get(settings_file.PATH_VARIABLE, "")
    try:
        config = _load_settings(path)
        listening_socket = config.callers.listen()
    except (errors.SettingsError, OSError, ValueError) as error:
        for fault in getattr(error, "faults", [str(error)]):
            sys.stderr.write(f"error: {path}: {fault}\n")
        return 2
    _serve(config, listening_socket, level, path)
    return 0


def _load_settings(path: str) -> settings.SessionSettings:
    metrics_port = int(os.environ.get(settings_file.METRICS_PORT_VARIABLE, settings_file.METRICS_PORT))
    with open(path, encoding="utf-8") as file:
        return settings_file.parse(file.read(), metrics_port)


def _serve(config: settings.SessionSettings, listening_socket: socket.socket, level: str, path: str) -> None:
    # Imported only now, so that callers can connect meanwhile: these modules take four fifths of the start-up time.
    import asyncio

    from currantlead import logs
    from currantlead.sessions import daemon

    output = logs.RateLimitedOutput(sys.stdout.fileno(), LOG_LINES_PER_S, RATE_LIMIT_EXEMPT)
    logs.configure(level=level, json_lines=True, vm=config.vm, buffered=True, output=output)
    asyncio.run(
        daemon.Daemon.from_config(
            config, listening_socket, settings_path=path, load_settings=lambda: _load_settings(path)
        ).run()
    )
    logs.flush()


if __name__ == "__main__":
    sys.exit(main())
