"""Counts of the requests that this VM's connections ran, by window and organisation."""

import itertools
from collections.abc import Awaitable, Mapping

from currantlead import errors, logs
from currantlead.sessions import clock, statements
from currantlead.sessions.decisions import true_time, usage_windows
from currantlead.sessions.instances import orders
from currantlead.sessions.usage import agreed_time

MAX_ORGANISATIONS = 20_000
"""Maximum number of organisations that are counted in a window: 2 MB. Deployments have some hundreds."""

_NOT_COUNTED = statements.NOT_RUN | {statements.Code.ABORTED}
"""Error codes of an instance that mean that the request did not run."""
_log = logs.part("usage")


class UsageCounts:
    """Counts requests by the window in which the instance began them.

    A request is counted when its answer is there, in the window of the middle between sending and answer. Windows are
    closed in order, once no request that was sent in them is running; a closed window gets no more requests.

    Args:
        time: The true time.
        window_s: Length of a window, in seconds.
    """

    def __init__(self, time: agreed_time.AgreedTime, window_s: float):
        self._time = time
        self._window_s = window_s
        self._tokens = itertools.count()
        self._running: dict[int, float] = {}
        self._counts: dict[int, dict[str, int]] = {}
        self._closed = self._window_at(clock.now()) - 1

    def _window_at(self, reading: float) -> int:
        return true_time.window_at(reading + self._time.offset_s, self._window_s)

    async def count(self, organisation: str, running: Awaitable[orders.Report]) -> orders.Report:
        """Wait for the report of a request that is being sent, count the request if it ran, and return the report."""
        token, sent_at = next(self._tokens), clock.now()
        self._running[token] = sent_at
        began_at: float | None = sent_at
        try:
            report = await running
            began_at = (sent_at + clock.now()) / 2 if has_run(report) else None
            return report
        except errors.LinkLostError as error:
            began_at = sent_at if error.sent else None
            raise
        finally:
            # A request that was cancelled while it waited for its answer counts as begun.
            del self._running[token]
            if began_at is not None and organisation:
                self._add(began_at, organisation)

    def _add(self, began_at: float, organisation: str) -> None:
        window = max(self._closed + 1, self._window_at(began_at))
        counts = self._counts.get(window)
        if counts is None:
            counts = self._counts[window] = {}
            self._discard_oldest()
        if organisation in counts or len(counts) < MAX_ORGANISATIONS:
            counts[organisation] = counts.get(organisation, 0) + 1

    def _discard_oldest(self) -> None:
        while len(self._counts) > usage_windows.KEPT_WINDOWS:
            oldest = min(self._counts)
            del self._counts[oldest]
            _log.bind(window=oldest).warning("counts of a window that was not reported are no longer kept")

    def close_windows(self) -> int:
        """Close the windows in which no running request was sent, and return the last closed one."""
        oldest_at = min(self._running.values(), default=clock.now())
        self._closed = max(self._closed, self._window_at(oldest_at) - 1)
        return self._closed

    def totals(self) -> Mapping[int, Mapping[str, int]]:
        """Return the counts by window and organisation."""
        return self._counts

    def discard_through(self, window: int) -> None:
        """Discard the counts of all windows up to one that is reported."""
        for known in [known for known in self._counts if known <= window]:
            del self._counts[known]

    def shift(self, change_s: float) -> None:
        """Move the counts to other windows after the offset of true time changed by more than a slew.

        It happens once, before any count is sent.
        """
        windows = round(change_s / self._window_s)
        self._counts = {window + windows: counts for window, counts in self._counts.items()}
        self._closed = min([self._window_at(clock.now()), *self._counts]) - 1


def has_run(report: orders.Report) -> bool:
    """Return whether an instance began to run the request of a report."""
    if report.begin_reply is not None and report.begin_reply.failure is not None:
        return False
    failure = report.reply.failure
    return failure is None or failure.code not in _NOT_COUNTED
