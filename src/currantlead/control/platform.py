"""HTTP client of the platform's object API."""

import asyncio
import contextlib
import json
import urllib.parse
from collections.abc import Iterator, Mapping, Sequence
from typing import Any

import aiohttp

from currantlead import errors, interfaces

# Additional time for the answer to a watch after the requested wait.
_WATCH_MARGIN_S = 2.0
_MAX_ANSWER_BYTES = 16 * 1024 * 1024


class HttpPlatform:
    """Implement ``interfaces.Platform`` over HTTP, with a time limit for each call and a limit of concurrent calls.

    Watches have a limit of their own, so that waiting watches never delay reads and writes.

    Args:
        url: Base URL of the platform.
        timeout_s: Time limit of a call, including the time in the queue.
        max_calls: Maximum number of concurrent reads and writes.
        max_watches: Maximum number of concurrent watches.
    """

    def __init__(self, url: str, *, timeout_s: float = 2.0, max_calls: int = 16, max_watches: int = 8) -> None:
        self._url = url.rstrip("/")
        self._timeout_s = timeout_s
        self._call_limiter = asyncio.Semaphore(max_calls)
        self._watch_limiter = asyncio.Semaphore(max_watches)
        self._session: aiohttp.ClientSession | None = None

    async def close(self) -> None:
        """Close the connections to the platform."""
        if self._session is not None:
            await self._session.close()
            self._session = None

    async def read(self, kind: str, name: str) -> interfaces.StoredObject | None:
        """Return an object, or None if there is none."""
        status, body = await self._call("GET", _path("objects", kind, name), accepted_statuses=(200, 404))
        if status == 404:
            return None
        with _malformed_as_unavailable():
            return interfaces.StoredObject(kind, name, _check_version(body["version"]), body["value"])

    async def write(self, kind: str, name: str, value: Any, *, if_version: int) -> int:
        """Write an object if its version is ``if_version``; 0 means that it must not exist.

        Returns:
            The new version.

        Raises:
            errors.VersionConflictError: The object has another version.
            errors.PlatformUnavailableError: No usable answer; the write may have taken effect.
        """
        body = {"value": value, "if_version": if_version}
        status, answer = await self._call("PUT", _path("objects", kind, name), accepted_statuses=(200, 409), body=body)
        with _malformed_as_unavailable():
            version = _check_version(answer["version"])
        if status == 409:
            raise errors.VersionConflictError(f"{kind}/{name} has version {version}, not {if_version}")
        return version

    async def remove(self, kind: str, name: str, *, if_version: int) -> None:
        """Remove an object if its version is ``if_version``; raise the same errors as ``write``."""
        path = f"{_path('objects', kind, name)}?if_version={if_version}"
        status, _ = await self._call("DELETE", path, accepted_statuses=(200, 409))
        if status == 409:
            raise errors.VersionConflictError(f"{kind}/{name} was not removed: its version is not {if_version}")

    async def names(self, kind: str) -> Mapping[str, int]:
        """Return the versions of all objects of a kind, by name."""
        _, body = await self._call("GET", _path("objects", kind), accepted_statuses=(200,))
        with _malformed_as_unavailable():
            return {row["name"]: _check_version(row["version"]) for row in body}

    async def watch(self, kind: str, *, since: int, timeout_s: float) -> tuple[int, Sequence[tuple[str, int]]]:
        """Wait for changes after revision ``since``.

        Returns:
            The newest revision, and name and version of each changed object; the version of a removed object is 0.
        """
        path = f"{_path('watch', kind)}?since={since}&timeout_s={timeout_s}"
        limit_s = timeout_s + _WATCH_MARGIN_S
        _, body = await self._call(
            "GET", path, accepted_statuses=(200,), limiter=self._watch_limiter, timeout_s=limit_s
        )
        with _malformed_as_unavailable():
            return _check_version(body["revision"]), [
                (row["name"], _check_version(row["version"])) for row in body["changes"]
            ]

    async def list_vms(self) -> Sequence[interfaces.ListedVm]:
        """Return the platform's list of VMs, which may be out of date."""
        _, body = await self._call("GET", "/vms", accepted_statuses=(200,))
        with _malformed_as_unavailable():
            return [interfaces.ListedVm(row["vm"], row["domain"], row["state"], row["peer_address"]) for row in body]

    async def _call(
        self,
        method: str,
        path: str,
        *,
        accepted_statuses: tuple[int, ...],
        body: Any = None,
        limiter: asyncio.Semaphore | None = None,
        timeout_s: float | None = None,
    ) -> tuple[int, Any]:
        try:
            async with (
                asyncio.timeout(timeout_s or self._timeout_s),
                limiter or self._call_limiter,
                self._get_session().request(
                    method, self._url + path, json=body, middlewares=(_prevent_resend(method),)
                ) as response,
            ):
                return response.status, await _read_json(response, accepted_statuses)
        except TimeoutError:
            raise errors.PlatformUnavailableError(f"{method} {path}: no answer within the time limit") from None
        except (aiohttp.ClientError, OSError, ValueError) as error:
            raise errors.PlatformUnavailableError(f"{method} {path}: {error!r}") from None

    def _get_session(self) -> aiohttp.ClientSession:
        if self._session is None:
            # The semaphores replace the connector's own limit, which would also count waiting watches.
            connector = aiohttp.TCPConnector(limit=0, keepalive_timeout=30)
            self._session = aiohttp.ClientSession(connector=connector, timeout=aiohttp.ClientTimeout(total=None))
        return self._session


def _prevent_resend(method: str) -> aiohttp.ClientMiddlewareType:
    """Return a middleware that prevents aiohttp from repeating a write.

    aiohttp repeats PUT and DELETE if the connection is closed without an answer. A conditional write that had taken
    effect would then fail with a version conflict.
    """
    sent = False

    async def send(request: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType) -> aiohttp.ClientResponse:
        nonlocal sent
        if sent and method != "GET":
            raise aiohttp.ClientConnectionError("connection closed without an answer")
        sent = True
        return await handler(request)

    return send


async def _read_json(response: aiohttp.ClientResponse, accepted_statuses: tuple[int, ...]) -> Any:
    data = bytearray()
    async for chunk in response.content.iter_any():
        data += chunk
        if len(data) > _MAX_ANSWER_BYTES:
            raise ValueError(f"answer larger than {_MAX_ANSWER_BYTES} bytes")
    if response.status not in accepted_statuses:
        raise ValueError(f"unexpected status {response.status}: {bytes(data[:200])!r}")
    return json.loads(data)


def _path(*parts: str) -> str:
    return "".join(f"/{urllib.parse.quote(part, safe='')}" for part in parts)


def _check_version(value: Any) -> int:
    if not isinstance(value, int) or isinstance(value, bool) or value < 0:
        raise ValueError(f"{value!r} is not a version number")
    return value


@contextlib.contextmanager
def _malformed_as_unavailable() -> Iterator[None]:
    try:
        yield
    except (KeyError, TypeError, ValueError) as error:
        raise errors.PlatformUnavailableError(f"malformed answer from the platform: {error!r}") from None
