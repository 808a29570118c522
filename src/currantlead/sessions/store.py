"""Follow the platform's store: lists, waiting watches, conditional updates, and how long to wait after a failure."""

import asyncio
import dataclasses
from collections.abc import Callable

from currantlead import errors, logs
from currantlead.platform import objects
from currantlead.sessions import clock, http, settings

CALL_TIMEOUT_S = 0.8
"""A slow store answers in about 0.3 s; longer silence is taken for a lost connection."""
RETRY_FIRST_S = 0.2
"""The store drops watches when it restarts; it answers again after about this time."""
RETRY_MOST_S = 0.4
"""A VM that the store turned away asks again after at most this time, so that it is ready soon after the outage."""
WAIT_LEAST_S = 0.05
"""A shorter wait would make more calls than it confirms sooner."""

_log = logs.part("store")


@dataclasses.dataclass(slots=True)
class Follower:
    """Say what to do with the objects of a kind, and how far it has been followed.

    Attributes:
        kind: The kind, as the adapter names it.
        wait_s: Longest wait of one watch, in seconds.
        on_listed: Takes the whole list.
        on_changed: Takes the objects that changed and the names of those that were removed.
        on_confirmed: Takes a clock reading up to which the known state was the newest.
        probes: Whether it asks again and again during an outage; the others wait until it has got through.
        revision: Revision to watch from, or None before the list was read.
    """

    kind: str
    wait_s: float
    on_listed: Callable[[tuple[objects.Stored, ...]], None]
    on_changed: Callable[[tuple[objects.Stored, ...], tuple[str, ...]], None]
    on_confirmed: Callable[[float], None] = lambda at: None
    probes: bool = False
    revision: int | None = None


class Store:
    """Call the store of one address."""

    def __init__(self, address: settings.Address, count: Callable[[str], None] = lambda outcome: None):
        self._address = address
        self._count = count
        self._calls = http.HttpClient(address)
        self._calling = asyncio.Lock()
        self._available = asyncio.Event()
        self._available.set()

    async def call(self, call: objects.Call, client: http.HttpClient | None = None, timeout_s: float = CALL_TIMEOUT_S):
        """Send a call and return its response.

        Raises:
            errors.HttpUnavailableError: There was no answer; the call may have taken effect.
        """
        if client is None:
            async with self._calling:
                return await self._send(call, self._calls, timeout_s)
        return await self._send(call, client, timeout_s)

    async def _send(self, call: objects.Call, client: http.HttpClient, timeout_s: float) -> http.Response:
        try:
            response = await client.request(
                call.method, call.path, body=call.body, headers=call.headers, timeout_s=timeout_s
            )
        except errors.HttpUnavailableError:
            self._count("no answer")
            raise
        self._count(str(response.status))
        return response

    async def read(self, kind: str, name: str) -> objects.Stored | None:
        """Return an object, or None if there is none.

        Raises:
            errors.PlatformUnavailableError: The store gave no usable answer.
        """
        response = await self._ask(objects.read_call(kind, name))
        if response.status == objects.MISSING:
            return None
        return objects.decode_object(response.body)

    async def create(self, kind: str, name: str, value: object) -> objects.Stored | None:
        """Create an object; return it, or None if one of its name exists.

        Raises:
            errors.PlatformUnavailableError: The store gave no usable answer; the call may have taken effect.
        """
        response = await self._ask(objects.create_call(kind, name, value))
        return None if response.status == objects.CONFLICT else objects.decode_object(response.body)

    async def replace(self, kind: str, name: str, value: object, revision: int | None) -> objects.Stored | None:
        """Replace an object, only while it has ``revision`` if that is given; return it, or None if it has another.

        Raises:
            errors.PlatformUnavailableError: The store gave no usable answer; the call may have taken effect.
        """
        response = await self._ask(objects.replace_call(kind, name, value, revision))
        if response.status in (objects.CONFLICT, objects.MISSING):
            return None
        return objects.decode_object(response.body)

    async def delete(self, kind: str, name: str, revision: int) -> bool:
        """Remove an object while it has ``revision``; return whether it was removed.

        Raises:
            errors.PlatformUnavailableError: The store gave no usable answer; the call may have taken effect.
        """
        response = await self._ask(objects.delete_call(kind, name, revision))
        return response.status not in (objects.CONFLICT, objects.MISSING)

    async def _ask(self, call: objects.Call) -> http.Response:
        try:
            response = await self.call(call)
        except errors.HttpUnavailableError as error:
            raise errors.PlatformUnavailableError(str(error)) from error
        if response.status not in (objects.OK, objects.CREATED, objects.MISSING, objects.CONFLICT):
            raise errors.PlatformUnavailableError(f"{call.method} {call.path}: status {response.status}")
        return response

    def resume(self) -> None:
        """Let all followers ask again, whatever an earlier outage had shown."""
        self._available.set()

    async def follow(self, follower: Follower) -> None:
        """Keep a follower's state the newest from its revision on, until cancelled.

        The list is read again after each loss of the watch's history, and after each outage, in which entries may
        have lapsed and come back.
        """
        client = http.HttpClient(self._address)
        pause_s, connected = RETRY_FIRST_S, True
        confirmed_at = clock.now()
        while True:
            try:
                if follower.revision is None:
                    follower.revision, confirmed_at = await self._list(client, follower)
                    _log.bind(kind=follower.kind, revision=follower.revision).info("listed")
                else:
                    # A change ends a wait early and confirms only its start; the next wait makes up for that.
                    wait_s = max(WAIT_LEAST_S, confirmed_at + follower.wait_s - clock.now())
                    confirmed_at = await self._watch(client, follower, min(wait_s, follower.wait_s))
                follower.on_confirmed(confirmed_at)
                pause_s, connected = RETRY_FIRST_S, True
                if follower.probes:
                    self._available.set()
            except (errors.HttpUnavailableError, errors.PlatformUnavailableError, errors.MalformedObjectError) as error:
                if connected:
                    _log.bind(kind=follower.kind).warning("store lost: {}", error)
                connected, follower.revision = False, None
                if follower.probes:
                    self._available.clear()
                await asyncio.sleep(pause_s)
                pause_s = min(RETRY_MOST_S, pause_s * 2)
                if not follower.probes:
                    await self._available.wait()

    async def _list(self, client: http.HttpClient, follower: Follower) -> tuple[int, float]:
        """Read the whole list; return its revision, and the reading at which it was asked for."""
        asked_at = clock.now()
        found: list[objects.Stored] = []
        after, revision = "", None
        while True:
            response = await self.call(objects.list_call(follower.kind, after), client)
            if response.status != objects.OK:
                raise errors.PlatformUnavailableError(f"listing {follower.kind}: status {response.status}")
            page = objects.decode_page(response.body)
            # Changes between the pages are seen again by watching from the first page's revision.
            revision = page.revision if revision is None else revision
            found += page.present
            after = page.continue_after
            if not after:
                break
        follower.on_listed(tuple(found))
        return revision, asked_at

    async def _watch(self, client: http.HttpClient, follower: Follower, wait_s: float) -> float:
        """Wait for changes; return up to when nothing else had changed.

        The follower has no revision afterwards if the store no longer has the history.
        """
        asked_at = clock.now()
        call = objects.watch_call(follower.kind, follower.revision, wait_s)
        response = await self.call(call, client, wait_s + CALL_TIMEOUT_S)
        if response.status == objects.HISTORY_GONE:
            _log.bind(kind=follower.kind, revision=follower.revision).info("history is gone, listing again")
            follower.revision = None
            return float("-inf")
        if response.status != objects.OK:
            raise errors.PlatformUnavailableError(f"watching {follower.kind}: status {response.status}")
        page = objects.decode_page(response.body)
        follower.revision = page.revision
        if page.present or page.removed:
            follower.on_changed(page.present, page.removed)
            return asked_at
        # An answer without events was made no earlier than the end of the wait that was asked for.
        waited = clock.now() - asked_at >= wait_s
        return asked_at + wait_s if waited else asked_at
