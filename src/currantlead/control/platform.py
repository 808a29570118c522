"""HTTP client of the platform's object API."""

import asyncio
import contextlib
import json
import urllib.parse
from collections.abc import Iterator, Mapping, Sequence
from typing import Any

import aiohttp

from currantlead import errors, interfaces

# Time that an answer to a watch may take beyond the wait that was asked for.
_WATCH_MARGIN_S = 2.0
_MAX_ANSWER_BYTES = 16 * 1024 * 1024


class HttpPlatform:
    """Implement ``interfaces.Platform`` over HTTP with bounded time and a bounded number of calls under way.

    Watches have their own bound, so that waiting ones never keep a read or a write from being sent.

    Args:
        url: Base address of the platform.
        timeout_s: Longest time of a call, including the wait for its turn.
        max_calls: Reads and writes under way at once.
        max_watches: Watches under way at once.
    """

    def __init__(self, url: str, *, timeout_s: float = 2.0, max_calls: int = 16, max_watches: int = 8) -> None:
        self._url = url.rstrip("/")
        self._timeout_s = timeout_s
        self._calls = asyncio.Semaphore(max_calls)
        self._watches = asyncio.Semaphore(max_watches)
        self._session: aiohttp.ClientSession | None = None

    async def close(self) -> None:
        """Close the connections to the platform."""
        if self._session is not None:
            await self._session.close()
            self._session = None

    async def read(self, kind: str, name: str) -> interfaces.StoredObject | None:
        """Return an object, or None if there is none."""
        status, body = await self._call("GET", _path("objects", kind, name), accept=(200, 404))
        if status == 404:
            return None
        with _usable():
            return interfaces.StoredObject(kind, name, _version(body["version"]), body["value"])

    async def write(self, kind: str, name: str, value: Any, *, if_version: int) -> int:
        """Write an object if its version is ``if_version``; return the new version.

        Raises:
            errors.VersionConflictError: The object has another version.
            errors.PlatformUnavailableError: No usable answer; the write may have taken effect.
        """
        body = {"value": value, "if_version": if_version}
        status, answer = await self._call("PUT", _path("objects", kind, name), accept=(200, 409), body=body)
        with _usable():
            version = _version(answer["version"])
        if status == 409:
            raise errors.VersionConflictError(f"{kind}/{name} has version {version}, not {if_version}")
        return version

    async def remove(self, kind: str, name: str, *, if_version: int) -> None:
        """Remove an object if its version is ``if_version``; raise as ``write`` does."""
        path = f"{_path('objects', kind, name)}?if_version={if_version}"
        status, _ = await self._call("DELETE", path, accept=(200, 409))
        if status == 409:
            raise errors.VersionConflictError(f"{kind}/{name} does not have version {if_version}")

    async def names(self, kind: str) -> Mapping[str, int]:
        """Return the version of each object of a kind by name."""
        _, body = await self._call("GET", _path("objects", kind), accept=(200,))
        with _usable():
            return {row["name"]: _version(row["version"]) for row in body}

    async def watch(self, kind: str, *, since: int, timeout_s: float) -> tuple[int, Sequence[tuple[str, int]]]:
        """Wait for changes after a revision; a removed object is reported with version 0."""
        path = f"{_path('watch', kind)}?since={since}&timeout_s={timeout_s}"
        bound_s = timeout_s + _WATCH_MARGIN_S
        _, body = await self._call("GET", path, accept=(200,), bound=self._watches, timeout_s=bound_s)
        with _usable():
            return _version(body["revision"]), [(row["name"], _version(row["version"])) for row in body["changes"]]

    async def list_vms(self) -> Sequence[interfaces.ListedVm]:
        """Return the lagging list of VMs."""
        _, body = await self._call("GET", "/vms", accept=(200,))
        with _usable():
            return [interfaces.ListedVm(row["vm"], row["domain"], row["state"], row["peer_address"]) for row in body]

    async def _call(
        self,
        method: str,
        path: str,
        *,
        accept: tuple[int, ...],
        body: Any = None,
        bound: asyncio.Semaphore | None = None,
        timeout_s: float | None = None,
    ) -> tuple[int, Any]:
        try:
            async with (
                asyncio.timeout(timeout_s or self._timeout_s),
                bound or self._calls,
                self._open().request(method, self._url + path, json=body, middlewares=(_once(method),)) as response,
            ):
                return response.status, await _decode(response, accept)
        except TimeoutError:
            raise errors.PlatformUnavailableError(f"{method} {path}: no answer in time") from None
        except (aiohttp.ClientError, OSError, ValueError) as error:
            raise errors.PlatformUnavailableError(f"{method} {path}: {error!r}") from None

    def _open(self) -> aiohttp.ClientSession:
        if self._session is None:
            # The bounds above replace the connector's own limit, which would also count waiting watches.
            connector = aiohttp.TCPConnector(limit=0, keepalive_timeout=30)
            self._session = aiohttp.ClientSession(connector=connector, timeout=aiohttp.ClientTimeout(total=None))
        return self._session


def _once(method: str) -> aiohttp.ClientMiddlewareType:
    """Return a middleware that refuses the second sending of a write.

    aiohttp sends PUT and DELETE again when the connection closes without an answer. A conditional write that took
    effect would then be answered as a conflict with itself.
    """
    sent = False

    async def send(request: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType) -> aiohttp.ClientResponse:
        nonlocal sent
        if sent and method != "GET":
            raise aiohttp.ClientConnectionError("connection closed without an answer")
        sent = True
        return await handler(request)

    return send


async def _decode(response: aiohttp.ClientResponse, accept: tuple[int, ...]) -> Any:
    data = bytearray()
    async for chunk in response.content.iter_any():
        data += chunk
        if len(data) > _MAX_ANSWER_BYTES:
            raise ValueError(f"answer is larger than {_MAX_ANSWER_BYTES} bytes")
    if response.status not in accept:
        raise ValueError(f"status {response.status}: {bytes(data[:200])!r}")
    return json.loads(data)


def _path(*parts: str) -> str:
    return "".join(f"/{urllib.parse.quote(part, safe='')}" for part in parts)


def _version(value: Any) -> int:
    if not isinstance(value, int) or isinstance(value, bool) or value < 0:
        raise ValueError(f"{value!r} is not a version")
    return value


@contextlib.contextmanager
def _usable() -> Iterator[None]:
    try:
        yield
    except (KeyError, TypeError, ValueError) as error:
        raise errors.PlatformUnavailableError(f"malformed answer of the platform: {error!r}") from None
