"""Health of the instances as their answers show it, and its exchange between the VMs of a failure domain.

VMs send what they have seen to their relay, which decides on all of it, and the relay's decisions come back. Without a
relay, or while its decisions are old, a VM decides on what it has seen itself.
"""

import dataclasses
from collections.abc import Callable, Mapping
from typing import Any

from currantlead import errors, logs, timers
from currantlead.sessions import clock, metric_registry, settings, statements
from currantlead.sessions.decisions import ejection
from currantlead.sessions.instances import fleet, orders

JUDGE_INTERVAL_S = 0.25
"""Interval of the decisions; evidence comes with the polls of relays, every 0.5 s."""
DECISIONS_LIFETIME_S = 1.5
"""Time for which the decisions of a relay replace this VM's own: three polls."""
TRIAL_INTERVAL_S = 1.0
"""Interval of the trial statements of one VM to one instance. The 20 VMs of a failure domain together send enough for a
decision within a second, and a statement that fails is run once more elsewhere."""
MAX_LAG_S = 0.01
"""Delay of this VM's event loop above which it measures no answer times, which would contain its own delay."""
MAX_ANSWER_S = 2.0
"""Longest answer time that counts, so that a single one does not decide the mean."""
_IGNORED = statements.NOT_RUN | {statements.Code.ABORTED, statements.Code.IN_DOUBT}
"""Answers that say nothing about the health of an instance."""
_ERRORS = frozenset({statements.Code.FAILED, statements.Code.TIMEOUT})

_log = logs.part("fleet")


@dataclasses.dataclass(slots=True)
class _Totals:
    """Answers of an instance since the start of the VM that counted them; the times are in milliseconds."""

    answers: int = 0
    errors: int = 0
    timed: int = 0
    time_ms: int = 0

    def encode(self) -> list[int]:
        return [self.answers, self.errors, self.timed, self.time_ms]


class AnswerHealth:
    """Judge the instances by their answers.

    Args:
        instances: The known instances.
        metrics: Counts ejections.
        lag_s: Returns the delay of this VM's event loop in seconds, or None if it is not measured.
    """

    def __init__(
        self,
        instances: fleet.Fleet,
        metrics: metric_registry.MetricRegistry,
        lag_s: Callable[[], float] | None = None,
    ):
        self._fleet = instances
        self._metrics = metrics
        self._lag_s = lag_s
        self._table = ejection.EjectionTable()
        self._totals: dict[str, _Totals] = {}
        self._sent: dict[str, list[int]] = {}
        self._received: dict[tuple[str, str], list[int]] = {}
        self._tried_at: dict[str, float] = {}
        self._decisions_until = float("-inf")

    @classmethod
    def from_config(
        cls,
        config: settings.SessionSettings,
        instances: fleet.Fleet,
        metrics: metric_registry.MetricRegistry,
        lag_s: Callable[[], float] | None = None,
    ) -> "AnswerHealth | None":
        """Return the health of the instances, or None if they are not judged by their answers."""
        return cls(instances, metrics, lag_s) if config.load_management.answer_health else None

    def subscribe(self, service: timers.TimerService) -> None:
        """Judge the instances periodically."""
        service.subscribe("answer health", JUDGE_INTERVAL_S, self.judge)

    def is_punctual(self) -> bool:
        """Return whether this VM measures answer times of instances rather than its own delay."""
        return self._lag_s is None or self._lag_s() <= MAX_LAG_S

    def record_report(self, instance_id: str, order: orders.Order, report: orders.Report) -> None:
        """Record an answer of an instance to an order."""
        failure = report.reply.failure
        if failure is not None and failure.code in _IGNORED:
            return
        is_error = failure is not None and failure.code in _ERRORS
        # Commits wait for replicas, and the statements of open transactions may wait for locks.
        counts_time = (order.after is not None or order.rolls_back) and not is_error and self.is_punctual()
        self._add(instance_id, is_error=is_error, time_s=report.ran_s if counts_time else None)

    def record_failure(self, instance_id: str, error: Exception) -> None:
        """Record that an instance did not answer or refused a connection; faults of the way to it do not count."""
        if isinstance(error, errors.HolderLostError):
            return
        silent = isinstance(error, errors.LinkLostError) and error.timed_out
        if silent or (isinstance(error, errors.LinkRefusedError) and not error.overloaded):
            self._add(instance_id, is_error=True, time_s=None)

    def _add(self, instance_id: str, *, is_error: bool, time_s: float | None) -> None:
        totals = self._totals.get(instance_id)
        if totals is None:
            totals = self._totals[instance_id] = _Totals()
        totals.answers += 1
        totals.errors += is_error
        time_s = None if time_s is None else min(MAX_ANSWER_S, time_s)
        if time_s is not None:
            totals.timed += 1
            totals.time_ms += round(time_s * 1000)
        self._table.add(instance_id, 1, is_error, time_s is not None, time_s or 0.0)

    def admits(self, instance_id: str) -> bool:
        """Return whether an instance may get a read as usual: it is not out, or a trial statement is due."""
        out = self._table.out.get(instance_id)
        if out is None:
            return True
        is_trial = out.phase is ejection.Phase.TRIAL
        return is_trial and clock.now() - self._tried_at.get(instance_id, float("-inf")) >= TRIAL_INTERVAL_S

    def mark_chosen(self, instance_id: str) -> None:
        """Record that a read goes to an instance, which may be a trial."""
        if instance_id in self._table.out:
            self._tried_at[instance_id] = clock.now()

    def judge(self) -> None:
        """Decide which instances are out; call it every ``JUDGE_INTERVAL_S``."""
        now = clock.now()
        ids = self._fleet.ids()
        self._table.retain(ids)
        for table in (self._totals, self._sent, self._tried_at):
            for name in [name for name in table if name not in ids]:
                del table[name]
        for key in [key for key in self._received if key[1] not in ids]:
            del self._received[key]
        for service in self._fleet.services():
            primary = self._fleet.primary(service)
            peers = [
                ejection.Peer(
                    tracked.instance.id,
                    tracked is primary,
                    self._fleet.accepts_reads(tracked) and tracked.lapsed_at is None,
                )
                for tracked in self._fleet.instances_of(service)
            ]
            self._log_changes(self._table.decide(peers, now, judges=now >= self._decisions_until))

    def _log_changes(self, changes: list[ejection.Change]) -> None:
        for change in changes:
            log = _log.bind(instance=change.id, reason=change.reason)
            if change.phase is None:
                log.info("instance returns")
                self._metrics.count("ejections", instance=change.id, result="returned")
                continue
            log.warning("instance is ejected" if change.phase is ejection.Phase.EJECTED else "instance is tried")
            self._metrics.count("ejections", instance=change.id, result=change.phase.value)

    def read_gauge(self) -> dict[metric_registry.Labels, float]:
        """Return 1 for each instance that is out, by metric labels."""
        return {(("instance", name),): 1.0 for name in self._table.out}

    def encode_totals(self) -> dict[str, list[int]]:
        """Return the totals that have changed since the last call, for the relay."""
        changed = {}
        for name, totals in self._totals.items():
            values = totals.encode()
            if self._sent.get(name) != values:
                changed[name] = self._sent[name] = values
        return changed

    def merge_totals(self, vm: str, message: Any) -> None:
        """Add what another VM has counted since its last message.

        The totals only grow, so that a lost or repeated message does no harm. Those of a VM that is heard for the first
        time, or has restarted, only begin the count.

        Raises:
            errors.MalformedObjectError: The message is malformed.
        """
        try:
            for name, values in message.items():
                answers, failed, timed, time_ms = (int(value) for value in values)
                if not 0 <= failed <= answers or not 0 <= timed <= answers or time_ms < 0:
                    raise ValueError(f"totals {values!r}")
                known = self._received.get((vm, name))
                self._received[vm, name] = totals = [answers, failed, timed, time_ms]
                if known is not None and all(new >= old for new, old in zip(totals, known, strict=True)):
                    increments = [new - old for new, old in zip(totals, known, strict=True)]
                    if self._fleet.get(name) is not None:
                        self._table.add(name, *increments[:3], increments[3] / 1000)
        except (AttributeError, TypeError, ValueError, OverflowError) as error:
            raise errors.MalformedObjectError(f"another VM sent malformed totals: {error!r}") from error

    def encode_decisions(self) -> dict[str, list[Any]]:
        """Return the instances that are out, for the VMs that this one is a relay of."""
        now = clock.now()
        return {
            name: [out.phase.value, max(0.0, round(out.until - now, 2)), out.strikes, out.reason]
            for name, out in self._table.out.items()
        }

    def merge_decisions(self, message: Mapping[str, Any]) -> None:
        """Adopt the decisions of this VM's relay.

        Raises:
            errors.MalformedObjectError: The message is malformed.
        """
        now = clock.now()
        out = {}
        try:
            for name, (phase, remaining_s, strikes, reason) in message.items():
                if not 0.0 <= remaining_s <= ejection.MAX_EJECTION_S or not 0 < strikes < 1000:
                    raise ValueError(f"{remaining_s!r} s, {strikes!r} strikes")
                if self._fleet.get(name) is not None:
                    out[name] = ejection.Ejection(ejection.Phase(phase), now + remaining_s, int(strikes), str(reason))
        except (AttributeError, TypeError, ValueError) as error:
            raise errors.MalformedObjectError(f"a relay sent malformed decisions: {error!r}") from error
        self._log_changes(self._table.replace_out(out, now))
        self._decisions_until = now + DECISIONS_LIFETIME_S
