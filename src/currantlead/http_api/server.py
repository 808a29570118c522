"""HTTP servers of callers and operators, based on CherryPy."""

import asyncio
import concurrent.futures
import enum
import hashlib
import hmac
import os
import threading
from collections.abc import Callable, Coroutine
from typing import Any

import cherrypy
import prometheus_client
import pydantic
import pydantic_core
from cherrypy import _cptree

from currantlead import errors, logs, verdict
from currantlead.http_api import application, listener, models

_log = logs.part("border")


def _error_page(status: str, message: str, traceback: str, version: str) -> bytes:
    """Return an error in the API's format; CherryPy's own page repeats the path, which may contain a misplaced key."""
    cherrypy.serving.response.headers["Content-Type"] = "application/json"
    outcome = verdict.Verdict.MAY_HAVE_RUN if status.startswith("5") else verdict.Verdict.NOT_RUN
    refusal = verdict.Refusal(verdict.Reason.MALFORMED, outcome, f"path or method: {status}")
    return pydantic_core.to_json(application.refusal_body(refusal, os.urandom(12).hex()))


# CherryPy's own logs contain request lines and, after an error, all headers, including the caller's key.
_CHERRYPY_CONFIG: dict[str, Any] = {
    "log.screen": False,
    "log.access_file": "",
    "log.error_file": "",
    "error_page.default": _error_page,
    "tools.log_headers.on": False,
    "tools.log_tracebacks.on": False,
    "request.show_tracebacks": False,
}


class State(enum.Enum):
    """State of the VM that ``/health`` reports."""

    STARTING = "starting"
    READY = "ready"
    LEAVING = "leaving"


class _CoroutineCall:
    """Run a coroutine on the event loop of another thread and wait for its result.

    Cheaper than ``asyncio.run_coroutine_threadsafe``, which links two futures through a condition variable and three
    callbacks for each request; this class needs a single lock.
    """

    __slots__ = ("_coroutine", "_done", "_loop", "_task")

    def __init__(self, loop: asyncio.AbstractEventLoop, coroutine: Coroutine[Any, Any, Any]):
        self._loop = loop
        self._coroutine = coroutine
        self._task: asyncio.Task[Any] | None = None
        self._done = threading.Lock()
        self._done.acquire()

    def start(self) -> None:
        """Start the coroutine; must be called on the event loop."""
        self._task = self._loop.create_task(self._coroutine)
        self._task.add_done_callback(lambda task: self._done.release())

    def cancel(self) -> None:
        """Cancel the coroutine; must be called on the event loop, after ``start``."""
        if self._task is not None:
            self._task.cancel()

    def wait(self, timeout_s: float) -> Any:
        """Wait for the coroutine and return its result.

        Raises:
            TimeoutError: The coroutine did not finish in time; it is cancelled.
            concurrent.futures.CancelledError: The coroutine was cancelled.
            Exception: Any exception that the coroutine raised.
        """
        if not self._done.acquire(timeout=timeout_s):
            self._loop.call_soon_threadsafe(self.cancel)
            raise TimeoutError
        assert self._task is not None
        if self._task.cancelled():
            # ``asyncio.CancelledError`` is not a subclass of ``Exception`` and would terminate the worker thread.
            raise concurrent.futures.CancelledError
        return self._task.result()


def coroutine_runner(loop: asyncio.AbstractEventLoop) -> application.CoroutineRunner:
    """Return a function that runs coroutines on the event loop of another thread and waits for them.

    Args:
        loop: The event loop that runs the coroutines.

    Returns:
        A function that takes a coroutine and a timeout in seconds. It cancels the coroutine when the timeout expires.
    """

    def run(coroutine: Coroutine[Any, Any, Any], timeout_s: float) -> Any:
        if not loop.is_running():
            coroutine.close()
            raise application.NotStartedError("the event loop is not running")
        coroutine_call = _CoroutineCall(loop, coroutine)
        loop.call_soon_threadsafe(coroutine_call.start)
        return coroutine_call.wait(timeout_s)

    return run


class Metrics:
    """Request counts by action and status, and request durations by action."""

    def __init__(self, registry: prometheus_client.CollectorRegistry):
        self.registry = registry
        self._requests = prometheus_client.Counter(
            "currantlead_requests", "Answers to callers", ["action", "status"], registry=registry
        )
        self._durations = prometheus_client.Histogram(
            "currantlead_request_seconds", "Seconds from headers to answer", ["action"], registry=registry
        )
        self._children: dict[tuple[str, int], tuple[Any, Any]] = {}

    def observe(self, action: str, status: int, seconds: float) -> None:
        """Record one response."""
        # Caches the labelled metrics: looking up labels costs more than counting, and there are few combinations.
        children = self._children.get((action, status))
        if children is None:
            children = self._requests.labels(action, str(status)), self._durations.labels(action)
            self._children[(action, status)] = children
        children[0].inc()
        children[1].observe(seconds)


class HttpServers:
    """HTTP servers on the caller port and on the operator port."""

    def __init__(
        self,
        proxy: Any,
        run: application.CoroutineRunner,
        *,
        address: tuple[str, int] = ("127.0.0.1", 0),
        operator_address: tuple[str, int] = ("127.0.0.1", 0),
        operator_key_digest: str = "",
        command: Callable[[str], dict[str, Any]] | None = None,
        threads: int = 32,
        connections: int = listener.MAX_KEEP_ALIVE_CONNECTIONS,
        client_timeout_s: float = 10.0,
        request_timeout_s: float = 30.0,
        metrics: Metrics | None = None,
        tree: Any = None,
    ):
        """Create the servers; ``start`` binds the ports.

        Args:
            proxy: Implementation of ``interfaces.Proxy`` that handles the requests.
            run: Runs a coroutine on the event loop and waits for its result, see ``coroutine_runner``.
            address: Host and port for callers; port 0 selects a free port.
            operator_address: Host and port for operators.
            operator_key_digest: SHA-256 of the operator key in hexadecimal; if empty, all commands are rejected.
            command: Executes the text of commands and returns the response body; raises ``errors.CommandError``.
            threads: Number of worker threads of the caller port.
            connections: Maximum number of keep-alive connections of callers.
            client_timeout_s: Maximum time to read a request or to write a response, and maximum idle time.
            request_timeout_s: Maximum time that the proxy may take for one request.
            metrics: Request metrics; created with a new registry by default.
            tree: CherryPy tree; the process-wide one by default. Each of several servers in a process needs its own.
        """
        self.state = State.STARTING
        self._out_of_service = False
        self.metrics = metrics or Metrics(prometheus_client.CollectorRegistry())
        self.application = application.Application(
            proxy, run, timeout_s=request_timeout_s, leaving=self._leaving, observe=self.metrics.observe
        )
        self._tree = cherrypy.tree if tree is None else tree
        self._tree.graft(self.application, "/v1")
        cherrypy.log.screen = False
        self._tree.mount(_StatusPages(self), "", {"/": _CHERRYPY_CONFIG})
        operators = _cptree.Tree()
        operators.graft(_OperatorApplication(operator_key_digest, command), "")
        self._caller_listener = self._create_listener(address, self._tree, threads, client_timeout_s, request_timeout_s)
        self._caller_listener.keep_alive_conn_limit = connections
        self._operator_listener = self._create_listener(
            operator_address, operators, 2, client_timeout_s, request_timeout_s
        )
        self._threads: list[threading.Thread] = []

    @property
    def reported_state(self) -> State:
        """State that ``/health`` reports."""
        ready_but_out_of_service = self._out_of_service and self.state is State.READY
        return State.LEAVING if ready_but_out_of_service else self.state

    @property
    def address(self) -> tuple[str, int]:
        """Bound host and port for callers."""
        return self._caller_listener.bind_addr

    @property
    def operator_address(self) -> tuple[str, int]:
        """Bound host and port for operators."""
        return self._operator_listener.bind_addr

    def start(self) -> None:
        """Bind both ports and start serving; ``/health`` reports ``starting`` until ``mark_ready`` is called."""
        for server in (self._caller_listener, self._operator_listener):
            server.prepare()
            thread = threading.Thread(target=server.serve, name="border", daemon=True)
            thread.start()
            self._threads.append(thread)
        _log.info("listening for callers on {}, for operators on {}", self.address, self.operator_address)

    def mark_ready(self) -> None:
        """Make ``/health`` report ``ready`` if the VM is still starting."""
        if self.state is State.STARTING:
            self.state = State.READY

    def set_in_service(self, in_service: bool) -> None:
        """Set whether operators keep this VM in service; ``/health`` reports a ready VM out of service as ``leaving``.

        This can be reverted, unlike ``mark_leaving``.
        """
        self._out_of_service = not in_service

    def mark_leaving(self) -> None:
        """Make ``/health`` report ``leaving``, and close each connection after its next response."""
        self.state = State.LEAVING

    def stop(self) -> None:
        """Wait for the requests in progress and close both ports.

        Blocks, so it must not be called on the event loop's thread.
        """
        self.mark_leaving()
        for server in (self._caller_listener, self._operator_listener):
            server.stop()
        for thread in self._threads:
            thread.join()
        _log.info("HTTP servers stopped")

    def _leaving(self) -> bool:
        return self.state is State.LEAVING

    def _create_listener(
        self, address: tuple[str, int], tree: Any, threads: int, client_timeout_s: float, request_timeout_s: float
    ) -> listener.Listener:
        server = listener.Listener(
            address,
            tree,
            numthreads=threads,
            max=threads,
            server_name="currantlead",
            request_queue_size=1024,
            timeout=client_timeout_s,
            shutdown_timeout=request_timeout_s + client_timeout_s,
        )
        server.max_request_body_size = 2 * application.MAX_BODY_BYTES
        return server


class _StatusPages:
    """CherryPy handlers for ``/health`` and ``/metrics``."""

    def __init__(self, servers: HttpServers):
        self._servers = servers

    @cherrypy.expose
    def health(self) -> bytes:
        state = self._servers.reported_state
        response = cherrypy.serving.response
        response.headers["Content-Type"] = "text/plain"
        if state is State.LEAVING:
            response.headers["Connection"] = "close"
        response.status = 200 if state is State.READY else 503
        return state.value.encode()

    @cherrypy.expose
    def metrics(self) -> bytes:
        cherrypy.serving.response.headers["Content-Type"] = prometheus_client.CONTENT_TYPE_LATEST
        return prometheus_client.generate_latest(self._servers.metrics.registry)


class _OperatorApplication:
    """WSGI application for ``POST /operators/commands``."""

    def __init__(self, key_digest: str, command: Callable[[str], dict[str, Any]] | None):
        self._key_digest = key_digest.lower().encode("ascii")
        self._command = command

    def __call__(self, environ: dict[str, Any], start_response: Callable[..., Any]) -> list[bytes]:
        status, payload = self._handle(environ)
        body = pydantic_core.to_json(payload)
        start_response(status, [("Content-Type", "application/json"), ("Content-Length", str(len(body)))])
        return [body]

    def _handle(self, environ: dict[str, Any]) -> tuple[str, dict[str, Any]]:
        if environ.get("SCRIPT_NAME", "") + environ.get("PATH_INFO", "") != "/operators/commands":
            return "404 Not Found", {"error": "path: unknown route"}
        if environ["REQUEST_METHOD"] != "POST":
            return "405 Method Not Allowed", {"error": "method: this route accepts only POST"}
        if not self._is_authorized(environ.get("HTTP_AUTHORIZATION", "")) or self._command is None:
            return "401 Unauthorized", {"error": "Authorization: must be 'Bearer' and the operator key"}
        length = int(environ.get("CONTENT_LENGTH") or 0)
        try:
            raw = environ["wsgi.input"].read(length)
        except OSError:
            raw = b""
        if len(raw) != length:
            return "400 Bad Request", {"error": "body: shorter than Content-Length"}
        try:
            return "200 OK", self._command(models.parse(models.CommandBody, raw).text)
        except pydantic.ValidationError as error:
            return "400 Bad Request", {"error": models.describe_validation_error(error)}
        except errors.CommandError as error:
            return "400 Bad Request", {
                "accepted": False,
                "error": str(error),
                "line": error.line,
                "column": error.column,
            }
        except errors.VersionConflictError as error:
            return "409 Conflict", {"accepted": False, "error": str(error)}
        except errors.PlatformUnavailableError as error:
            return "503 Service Unavailable", {"accepted": None, "error": str(error)}
        except Exception as error:
            _log.opt(exception=error).error("command of an operator failed unexpectedly")
            return "500 Internal Server Error", {"error": f"internal error: {type(error).__name__}"}

    def _is_authorized(self, header: str) -> bool:
        scheme, _, key = header.partition(" ")
        digest = hashlib.sha256(key.encode("latin-1", "replace")).hexdigest().encode("ascii")
        # The running time of compare_digest does not depend on where the digests differ.
        return hmac.compare_digest(digest, self._key_digest) and scheme.lower() == "bearer"
