"""Client of the platform's object store: lists, long-polling watches, conditional updates and retries."""

import asyncio
import dataclasses
from collections.abc import Callable

from currantlead import errors, logs
from currantlead.platform import calls, objects
from currantlead.sessions import clock, settings
from currantlead.sessions.shared import http

CALL_TIMEOUT_S = 0.8
"""A slow store responds in about 0.3 s; after a longer silence the connection counts as lost."""
RETRY_INITIAL_S = 0.2
"""First delay before a retry. The store drops its watches when it restarts and responds again after about this time."""
RETRY_MAX_S = 0.4
"""Maximum delay between retries, so that a VM becomes ready soon after the store recovers."""
MIN_WATCH_S = 0.05
"""Minimum duration of a watch. Shorter ones only cause more calls, without confirming the state noticeably sooner."""

_EXPECTED_ERRORS = (errors.HttpUnavailableError, errors.PlatformUnavailableError, errors.MalformedObjectError)
_log = logs.part("store")


@dataclasses.dataclass(slots=True)
class Follower:
    """Hold the callbacks for one kind of objects, and the last revision received.

    Attributes:
        kind: Kind of the objects, such as ``objects.INSTANCES``.
        wait_s: Maximum duration of one watch, in seconds.
        on_listed: Called with the complete list.
        on_changed: Called with the changed objects and the names of the removed ones.
        on_confirmed: Called with the clock reading at which the known state was last confirmed to be current.
        retries_during_outage: Whether this follower keeps retrying during an outage; followers without it wait until
            one with it has reached the store.
        revision: Revision to watch from, or None before the first list.
    """

    kind: str
    wait_s: float
    on_listed: Callable[[tuple[objects.StoredObject, ...]], None]
    on_changed: Callable[[tuple[objects.StoredObject, ...], tuple[str, ...]], None]
    on_confirmed: Callable[[float], None] = lambda at: None
    retries_during_outage: bool = False
    revision: int | None = None


class Store:
    """Call the store at one address.

    Args:
        address: Address of the store.
        on_call_finished: Called with the outcome of each call: its status code, or ``no answer`` if there was no
            response.
    """

    def __init__(self, address: settings.Address, on_call_finished: Callable[[str], None] = lambda outcome: None):
        self._address = address
        self._on_call_finished = on_call_finished
        self._client = http.HttpClient(address)
        self._client_lock = asyncio.Lock()
        self._available = asyncio.Event()
        self._available.set()
        self._era = 0

    def close(self) -> None:
        """Close the shared connection; each ``follow`` closes its own when it is cancelled."""
        self._client.close()

    async def call(self, call: calls.Call, client: http.HttpClient | None = None, timeout_s: float = CALL_TIMEOUT_S):
        """Send a call and return its response.

        Args:
            call: The call.
            client: Connection to use; None for the shared one, which sends one call at a time.
            timeout_s: Limit of the whole call in seconds.

        Raises:
            errors.HttpUnavailableError: There was no response; the call may have taken effect.
        """
        if client is None:
            async with self._client_lock:
                return await self._send(call, self._client, timeout_s)
        return await self._send(call, client, timeout_s)

    async def _send(self, call: calls.Call, client: http.HttpClient, timeout_s: float) -> http.Response:
        try:
            response = await client.request(
                call.method,
                call.path,
                body=call.body,
                headers=call.headers,
                repeatable=call.repeatable,
                timeout_s=timeout_s,
            )
        except errors.HttpUnavailableError:
            self._on_call_finished("no answer")
            raise
        self._on_call_finished(str(response.status))
        return response

    async def read(self, kind: str, name: str) -> objects.StoredObject | None:
        """Return an object, or None if it doesn't exist.

        Raises:
            errors.PlatformUnavailableError: The store gave no usable response.
        """
        response, era = await self._request(calls.read_call(kind, name))
        if response.status == objects.NOT_FOUND:
            return None
        return objects.decode_object(response.body, era)

    async def create(self, kind: str, name: str, value: object) -> objects.StoredObject | None:
        """Create an object and return it, or None if an object of this name already exists.

        Raises:
            errors.PlatformUnavailableError: The store gave no usable response; the call may have taken effect.
        """
        response, era = await self._request(calls.create_call(kind, name, value))
        return None if response.status == objects.CONFLICT else objects.decode_object(response.body, era)

    async def replace(self, kind: str, name: str, value: object, revision: int | None) -> objects.StoredObject | None:
        """Replace an object and return it, or None if it doesn't exist or its revision isn't ``revision``.

        A revision of an earlier era is never the object's: the store may have given its number to another change.

        Raises:
            errors.PlatformUnavailableError: The store gave no usable response; the call may have taken effect.
        """
        if revision is not None and objects.era_of(revision) < self._era:
            return None
        response, era = await self._request(calls.replace_call(kind, name, value, revision))
        if response.status in (objects.CONFLICT, objects.NOT_FOUND):
            return None
        if revision is not None and objects.era_of(revision) < era:
            # The store was restored while the call was on its way.
            return None
        return objects.decode_object(response.body, era)

    async def delete(self, kind: str, name: str, revision: int) -> bool:
        """Delete an object if its revision is ``revision``; return whether it was deleted.

        As for ``replace``, a revision of an earlier era is never the object's.

        Raises:
            errors.PlatformUnavailableError: The store gave no usable response; the call may have taken effect.
        """
        if objects.era_of(revision) < self._era:
            return False
        response, _ = await self._request(calls.delete_call(kind, name, revision))
        return response.status not in (objects.CONFLICT, objects.NOT_FOUND)

    async def _request(self, call: calls.Call) -> tuple[http.Response, int]:
        """Send a call on the shared connection and return the response and its era."""
        try:
            response = await self.call(call)
        except errors.HttpUnavailableError as error:
            raise errors.PlatformUnavailableError(str(error)) from error
        era = self._read_era(response)
        if response.status not in (objects.OK, objects.CREATED, objects.NOT_FOUND, objects.CONFLICT):
            raise errors.PlatformUnavailableError(
                f"store answered status {response.status} to {call.method} {call.path}"
            )
        return response, era

    def _read_era(self, response: http.Response) -> int:
        """Return the era in which the store sent a response; without a header, the last known era.

        Raises:
            errors.PlatformUnavailableError: The era has ended, so the response may lack what was stored since.
            errors.MalformedObjectError: The era is malformed.
        """
        era = objects.decode_era(response.headers)
        if era is None:
            return self._era
        if era < self._era:
            raise errors.PlatformUnavailableError(f"store answered from era {era}, after one from era {self._era}")
        if self._era and era > self._era:
            _log.bind(era=era, previous_era=self._era).warning("store was restored from a copy")
        self._era = era
        return era

    def set_available(self, available: bool) -> None:
        """Set whether followers that do not retry during an outage may call the store before another one reached it."""
        if available:
            self._available.set()
        else:
            self._available.clear()

    async def load(self, follower: Follower) -> None:
        """List a follower's objects once, so that a later ``follow`` starts with a watch.

        Raises:
            errors.HttpUnavailableError: There was no response.
            errors.PlatformUnavailableError: The store refused the call.
            errors.MalformedObjectError: The response is malformed.
        """
        confirmed_at = await self._list(None, follower)
        follower.on_confirmed(confirmed_at)

    async def follow(self, follower: Follower) -> None:
        """Keep a follower up to date, starting from its revision, until cancelled.

        The list is read again when the store no longer has the history since the follower's revision, and after each
        outage, during which entries may have lapsed and been created again.
        """
        client = http.HttpClient(self._address)
        try:
            await self._follow(client, follower)
        finally:
            client.close()

    async def _follow(self, client: http.HttpClient, follower: Follower) -> None:
        retry_delay_s, connected = RETRY_INITIAL_S, True
        confirmed_at = clock.now()
        if not follower.retries_during_outage:
            await self._available.wait()
        while True:
            try:
                if follower.revision is None:
                    confirmed_at = await self._list(client, follower)
                    _log.bind(kind=follower.kind, revision=objects.format_revision(follower.revision)).info(
                        "loaded all objects of this kind from the store"
                    )
                else:
                    # A watch that ends early with a change confirms the state only as of the watch's start. Shorten the
                    # next watch by the time since then, so that the state is confirmed every ``wait_s``.
                    wait_s = max(MIN_WATCH_S, confirmed_at + follower.wait_s - clock.now())
                    confirmed_at = await self._watch(client, follower, min(wait_s, follower.wait_s))
                follower.on_confirmed(confirmed_at)
                retry_delay_s, connected = RETRY_INITIAL_S, True
                if follower.retries_during_outage:
                    self._available.set()
            except Exception as error:
                expected = isinstance(error, _EXPECTED_ERRORS)
                if not expected:
                    # A fault in one subscriber must not end the watch, on which the whole VM depends.
                    _log.bind(kind=follower.kind).opt(exception=error).error("applying a change failed, retrying")
                elif connected:
                    _log.bind(kind=follower.kind).warning("listing or watching failed, retrying: {}", error)
                connected, follower.revision = False, None
                if follower.retries_during_outage and expected:
                    self._available.clear()
                await asyncio.sleep(retry_delay_s)
                retry_delay_s = min(RETRY_MAX_S, retry_delay_s * 2)
                if not follower.retries_during_outage:
                    await self._available.wait()

    async def _list(self, client: http.HttpClient | None, follower: Follower) -> float:
        """Read the complete list, set the follower's revision, and return the clock reading at the start of the call.

        Args:
            client: Connection to use; None for the shared one.
            follower: Receives the list.
        """
        requested_at = clock.now()
        listed: list[objects.StoredObject] = []
        after, revision = "", None
        while True:
            response = await self.call(calls.list_call(follower.kind, after), client)
            era = self._read_era(response)
            if response.status != objects.OK:
                raise errors.PlatformUnavailableError(
                    f"store answered status {response.status} to list {follower.kind}"
                )
            page = objects.decode_page(response.body, era)
            # Watching from the first page's revision also returns the changes made while the pages were read.
            revision = page.revision if revision is None else revision
            if era != objects.era_of(revision):
                raise errors.PlatformUnavailableError(f"store was restored while {follower.kind} was listed")
            listed += page.present
            after = page.continue_after
            if not after:
                break
        follower.revision = revision
        try:
            follower.on_listed(tuple(listed))
        except Exception:
            # A watch from this revision would miss what the list has.
            follower.revision = None
            raise
        return requested_at

    async def _watch(self, client: http.HttpClient, follower: Follower, wait_s: float) -> float:
        """Wait for changes and apply them.

        Returns:
            The clock reading as of which the state is known to be current, or -inf if the store no longer has the
            history; the follower's revision is then reset to None.
        """
        requested_at = clock.now()
        call = calls.watch_call(follower.kind, follower.revision, wait_s)
        response = await self.call(call, client, wait_s + CALL_TIMEOUT_S)
        era = self._read_era(response)
        # In another era, the same number may stand for another change.
        is_other_era = objects.era_of(follower.revision) != era
        if response.status == objects.HISTORY_GONE or is_other_era:
            reason = "store began another era" if is_other_era else "store dropped its history"
            _log.bind(kind=follower.kind, revision=objects.format_revision(follower.revision)).info(
                "{}, listing again", reason
            )
            follower.revision = None
            return float("-inf")
        if response.status != objects.OK:
            raise errors.PlatformUnavailableError(f"store answered status {response.status} to watch {follower.kind}")
        page = objects.decode_page(response.body, era)
        follower.revision = page.revision
        if page.present or page.removed:
            follower.on_changed(page.present, page.removed)
            return requested_at
        # The store sends a response without events only at the end of the requested wait, so it confirms the state up
        # to then. If the wait has not elapsed on this VM's clock, it confirms only the state at the request.
        wait_elapsed = clock.now() - requested_at >= wait_s
        return requested_at + wait_s if wait_elapsed else requested_at
