"""Exchange of counts and times between the VMs and the holder of the duty, over the streams between VMs.

Each VM sends its counts to the holder up to four times a second. The holder's reply says which windows are finalised
and reported, and what time the VMs agree on. The VMs that would take over first get copies of all counts, also of the
holder's own, because what a killed VM has sent would be lost with the holder otherwise.
"""

import asyncio
import dataclasses
from collections.abc import Callable, Mapping
from typing import Any

from currantlead import errors, logs
from currantlead.peers import network
from currantlead.sessions import clock
from currantlead.sessions.decisions import true_time, usage_duty
from currantlead.sessions.shared import duty_claims
from currantlead.sessions.usage import agreed_time, collection, counts, duty_state, finalised_windows

COUNTS, HEARD, HOLDER = "usage_counts", "usage_heard", "usage_holder"
SUBMIT_INTERVAL_S = 0.25
"""Interval at which counts are sent. A VM that is killed loses the counts of half of this time on average, which is
2.5% of its counts in a window of 5 s; 5% are tolerated, and an organisation's requests may all run on one VM."""
IDLE_INTERVAL_S = 0.5
"""Interval at which a message is sent although no counts have changed. The reply shows that the holder is alive, and
the message says which windows are closed."""
IDLE_MARGIN_S = 0.02
"""Jitter of timers by which a message may be early."""
SUBMIT_TIMEOUT_S = 0.4
"""Time limit of sending counts; a round trip between regions takes 24 ms. One message at a time is on its way."""
PROBE_TIMEOUT_S = 0.3
"""Time limit of asking another VM whether it hears the holder."""
MAX_ENTRIES = 4000
"""Maximum number of counts in a message, which keeps it below 100 KB; the others follow in the next message."""
MAX_ROUND_TRIP_S = 0.1
"""Round trip from which the time in a reply is not used, unless there is none yet: half of it may be the error."""
OFFSET_AGE_S = 5.0
"""Age from which a VM's estimate of the time is no longer used."""
QUORUM_WAIT_S = 2.0
"""Time after the claim after which the holder states the time although fewer than half of the VMs have sent theirs."""

_log = logs.part("usage")


@dataclasses.dataclass(slots=True)
class _Cursor:
    """What a receiver has acknowledged.

    Attributes:
        receiver: Name of the VM.
        incarnation: Incarnation of its streams, or None before its first reply.
        totals: The counts that it has, by window and organisation.
        complete: Last window of which it has all counts.
        has_copies: Whether it has the copies of other VMs' counts that this VM kept.
        sent_at: Clock reading at which the last message was sent.
        is_busy: Whether a message is on its way.
        finalised: Last window of its record if it acts as the holder, or None.
    """

    receiver: str
    incarnation: int | None = None
    totals: dict[int, dict[str, int]] = dataclasses.field(default_factory=dict)
    complete: int = -1
    has_copies: bool = False
    sent_at: float = float("-inf")
    is_busy: bool = False
    finalised: int | None = None


class Exchange:
    """Sends this VM's counts, and serves those who send theirs.

    Args:
        peers: Streams to the other VMs.
        state: What this VM knows about the duty.
        claims: Claims of the duties.
        own_counts: The counts of this VM.
        collected: The counts that VMs have sent to this one.
        time: The true time.
        windows: The finalised windows.
        window_s: Length of a window, in seconds.
        members: Returns the names of all VMs.
        responsive: Returns the names of the VMs that are not down.
    """

    def __init__(
        self,
        peers: network.Network,
        state: duty_state.DutyState,
        claims: duty_claims.DutyClaims,
        own_counts: counts.UsageCounts,
        collected: collection.Collection,
        time: agreed_time.AgreedTime,
        windows: finalised_windows.FinalisedWindows,
        *,
        window_s: float,
        members: Callable[[], list[str]],
        responsive: Callable[[], list[str]],
    ):
        self._peers = peers
        self._vm = peers.member.vm
        self._state = state
        self._claims = claims
        self._counts = own_counts
        self._collection = collected
        self._time = time
        self._windows = windows
        self._window_s = window_s
        self._members = members
        self._responsive = responsive
        self._cursors: dict[str, _Cursor] = {}
        self._offsets: dict[str, tuple[float, float]] = {}
        self._round_trip_s = 0.0
        self._held_since = float("inf")
        peers.handler(COUNTS)(self._handle_counts)
        peers.handler(HEARD)(self._handle_heard)
        peers.handler(HOLDER)(self._handle_holder)

    def _current(self) -> int:
        return true_time.window_at(self._time.now(), self._window_s)

    async def submit(self) -> None:
        """Send this VM's counts; call it every ``SUBMIT_INTERVAL_S``."""
        self._time.observe()
        self._state.follow(self._claims.latest(usage_duty.DUTY), clock.now())
        if self._state.generation is not None:
            self._merge_own()
        holder = self._state.holder
        candidates = usage_duty.rank_candidates(self._responsive(), holder)[: usage_duty.COPIES]
        receivers = [vm for vm in (holder, *candidates) if vm and vm != self._vm] if holder else []
        self._cursors = {vm: self._cursors.get(vm) or _Cursor(vm) for vm in receivers}
        await asyncio.gather(*(self._submit_to(cursor) for cursor in self._cursors.values()))

    async def _submit_to(self, cursor: _Cursor) -> None:
        """Send the changes that a receiver lacks, unless a message to it is on its way or none is due."""
        changes, closed = self._find_changes(cursor)
        interval_s = 0.0 if changes or closed > cursor.complete else IDLE_INTERVAL_S - IDLE_MARGIN_S
        if cursor.is_busy or clock.now() - cursor.sent_at < interval_s:
            return
        cursor.is_busy, cursor.sent_at = True, clock.now()
        try:
            await self._send_counts(cursor, changes, closed)
        finally:
            cursor.is_busy = False

    def begin_holding(self) -> None:
        """Tell all VMs that this one holds the duty."""
        self._held_since = clock.now()
        for vm in self._members():
            if vm != self._vm:
                self._peers.notify(vm, HOLDER, {"generation": self._state.generation})

    def _merge_own(self) -> None:
        """Add the holder's own counts to the collected ones."""
        agreed_s = self._agree()
        if agreed_s is not None:
            self._adopt(agreed_s)
        if self._time.is_agreed:
            closed = self._counts.close_windows()
            run = self._vm, self._peers.incarnation
            self._collection.add(run, self._counts.totals(), closed, self._current())
        self._collection.retain(self._members())
        self._counts.discard_through(self._state.reported)

    def _agree(self) -> float | None:
        """Return the offset on which the VMs agree, or None while this VM has heard too few of them."""
        now = clock.now()
        self._offsets = {vm: item for vm, item in self._offsets.items() if now - item[1] <= OFFSET_AGE_S}
        if 2 * (len(self._offsets) + 1) <= len(self._members()) and now - self._held_since < QUORUM_WAIT_S:
            return None
        return true_time.agree_offset([*(offset_s for offset_s, _ in self._offsets.values()), self._time.own_offset_s])

    def _adopt(self, agreed_s: float) -> None:
        was_agreed = self._time.is_agreed
        change_s = self._time.adopt(agreed_s)
        if not was_agreed:
            self._counts.shift(change_s)

    async def _send_counts(self, cursor: _Cursor, changes: dict[int, dict[str, int]], closed: int) -> None:
        receiver, sent_at = cursor.receiver, cursor.sent_at
        lacking: Mapping[int, Mapping[str, int]] = {}
        if cursor.finalised is not None:
            lacking = {
                window: content for window, content in self._windows.contents.items() if window > cursor.finalised
            }
        body = {
            "incarnation": self._peers.incarnation,
            "base": cursor.incarnation,
            "time": sent_at + self._time.own_offset_s + self._round_trip_s / 2,
            "closed": closed,
            "counts": collection.encode_totals(changes),
            "known": [self._state.finalised, self._state.reported],
            "finalised": collection.encode_totals(lacking),
            "copies": [] if cursor.has_copies else self._encode_copies(cursor),
        }
        try:
            reply = await self._peers.request(receiver, COUNTS, body, timeout_s=SUBMIT_TIMEOUT_S)
        except (errors.PeerUnreachableError, errors.PeerAnswerLostError) as error:
            _log.bind(peer=receiver).debug("counts were not acknowledged: {}", error)
            return
        try:
            self._handle_reply(cursor, changes, closed, reply, sent_at)
        except (AttributeError, KeyError, TypeError, ValueError) as error:
            _log.bind(peer=receiver).warning("ignoring a malformed reply: {!r}", error)

    def _encode_copies(self, cursor: _Cursor) -> list[list[Any]]:
        """Return the counts of all VMs that this one has, for a receiver that has lost them or never had them.

        Among them are those of VMs that were killed, and of the receiver's own earlier runs.
        """
        if cursor.incarnation is None:
            return []
        known = cursor.receiver, cursor.incarnation
        runs = self._collection.open_runs(MAX_ENTRIES)
        return [[*run, collection.encode_totals(totals)] for run, totals in runs.items() if run != known]

    def _find_changes(self, cursor: _Cursor) -> tuple[dict[int, dict[str, int]], int]:
        """Return the counts that a receiver lacks, and the last window of which it then has all counts.

        Counts are assigned to windows only once the time is agreed; before, there is nothing to send.
        """
        if not self._time.is_agreed:
            return {}, -1
        closed = self._counts.close_windows()
        changes: dict[int, dict[str, int]] = {}
        left = MAX_ENTRIES
        for window, totals in sorted(self._counts.totals().items()):
            if window <= max(cursor.complete, self._state.finalised):
                continue
            known = cursor.totals.get(window, {})
            changed = [(name, total) for name, total in totals.items() if known.get(name) != total]
            if changed:
                changes[window] = dict(changed[:left])
            left -= len(changed)
            if left < 0:
                return changes, min(closed, window - 1)
        return changes, closed

    def _handle_reply(
        self, cursor: _Cursor, sent: dict[int, dict[str, int]], closed: int, reply: dict[str, Any], sent_at: float
    ) -> None:
        now = clock.now()
        self._round_trip_s = now - sent_at
        incarnation = int(reply["incarnation"])
        if cursor.incarnation not in (None, incarnation):
            # The receiver has lost what it had acknowledged, and has ignored these changes.
            self._cursors[cursor.receiver] = _Cursor(cursor.receiver)
        else:
            cursor.has_copies = cursor.incarnation is not None
            cursor.incarnation = incarnation
            for window, totals in sent.items():
                cursor.totals.setdefault(window, {}).update(totals)
            cursor.complete = max(cursor.complete, closed)
        cursor.finalised = None
        claim, is_holding = reply.get("claim"), bool(reply["holding"])
        if claim is not None:
            self._claims.record(usage_duty.DUTY, str(claim[0]), int(claim[1]))
            self._state.follow(self._claims.latest(usage_duty.DUTY), now)
        if is_holding and cursor.receiver == self._state.holder:
            self._state.hear(now, leaving=bool(reply["leaving"]), obstructed=bool(reply["obstructed"]))
            cursor.finalised = int(reply["finalised"])
            is_exact = self._round_trip_s <= MAX_ROUND_TRIP_S or not self._time.is_agreed
            if reply["time"] is not None and is_exact:
                self._adopt(float(reply["time"]) + self._round_trip_s / 2 - now)
            self._state.learn(int(reply["finalised"]), int(reply["reported"]), self._current())
            self._collection.discard_through(self._state.finalised)
        elif cursor.receiver == self._state.holder and reply["leaving"]:
            self._state.hear(now, leaving=True, obstructed=False)
        self._counts.discard_through(self._state.reported)
        cursor.totals = {window: known for window, known in cursor.totals.items() if window > self._state.reported}

    def _handle_counts(self, vm: str, body: dict[str, Any]) -> dict[str, Any]:
        now = clock.now()
        reply = {
            "incarnation": self._peers.incarnation,
            "claim": None,
            "holding": self._state.generation is not None,
            "leaving": self._state.leaving,
            "obstructed": self._state.obstructed,
            "time": None,
            "finalised": self._windows.record.last,
            "reported": self._state.reported,
        }
        claim = self._claims.latest(usage_duty.DUTY)
        if claim is not None:
            reply["claim"] = [claim.holder, claim.generation]
        try:
            self._merge(vm, body, now)
        except (KeyError, TypeError, ValueError, errors.MalformedObjectError) as error:
            _log.bind(peer=vm).warning("ignoring malformed counts of another VM: {!r}", error)
        if self._state.generation is not None:
            agreed_s = self._time.offset_s if self._time.is_agreed else self._agree()
            if agreed_s is not None:
                reply["time"] = clock.now() + agreed_s
        return reply

    def _merge(self, vm: str, body: dict[str, Any], now: float) -> None:
        """Apply a message with counts.

        Raises:
            errors.MalformedObjectError: Its counts are malformed.
            KeyError: A field is missing.
            TypeError: A field has the wrong type.
            ValueError: A field has an invalid value.
        """
        self._offsets[vm] = float(body["time"]) - now, now
        totals, current = collection.decode_totals(body["counts"]), self._current()
        if body["base"] in (None, self._peers.incarnation):
            run, folds = (vm, int(body["incarnation"])), self._state.generation is not None
            self._collection.add(run, totals, int(body["closed"]), current, folds=folds)
        for name, incarnation, copied in body["copies"]:
            self._collection.add((str(name), int(incarnation)), collection.decode_totals(copied), -1, current)
        finalised, reported = body["known"]
        self._state.learn(int(finalised), int(reported), current)
        for window, content in collection.decode_totals(body["finalised"]).items():
            if window < current:
                self._state.earlier.setdefault(window, content)

    async def is_silent_for_others(self, holder: str) -> bool:
        """Ask some VMs whether they hear the holder, and return whether it is silent for most of them."""
        asked = [vm for vm in usage_duty.rank_candidates(self._members(), holder) if vm != self._vm]
        asked = asked[: usage_duty.MAX_PROBES]
        replies = await asyncio.gather(
            *(self._peers.request(vm, HEARD, {"holder": holder}, timeout_s=PROBE_TIMEOUT_S) for vm in asked),
            return_exceptions=True,
        )
        heard_s = [
            float(reply["heard_s"])
            for reply in replies
            if isinstance(reply, dict) and isinstance(reply.get("heard_s"), (int, float))
        ]
        return usage_duty.is_silence_confirmed(len(asked), heard_s)

    def _handle_heard(self, vm: str, body: dict[str, Any]) -> dict[str, Any]:
        if body["holder"] == self._vm:
            return {"heard_s": 0.0}
        known = body["holder"] == self._state.holder
        return {"heard_s": clock.now() - self._state.heard_at if known else usage_duty.SILENCE_S}

    def _handle_holder(self, vm: str, body: dict[str, Any]) -> dict[str, Any]:
        self._claims.record(usage_duty.DUTY, vm, int(body["generation"]))
        return {}
