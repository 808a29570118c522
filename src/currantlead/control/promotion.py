"""State machine of one promotion: takes events and clock readings, and returns the actions that follow.

It does no I/O; ``promotion_runner`` carries out the actions.
"""

import dataclasses
from collections.abc import Callable, Sequence

from currantlead import charts
from currantlead.control import failover, model

# After a majority has answered, wait this long for the others, since one of them may be the better candidate. A longer
# wait would lengthen the time without a primary.
ELECTION_GRACE_S = 0.2
# Must be shorter than the 2 s after which other monitors regard the promotion as abandoned.
STEP_TIMEOUT_S = 1.5
SETTLE_TIMEOUT_S = 0.5
# VMs that hold connections learn of the switchover by a notification and may send a last write to the old primary until
# then, so an index that does not change between two polls proves nothing earlier than this.
SETTLE_MIN_S = 0.2
RETRY_INTERVAL_S = 0.25


@dataclasses.dataclass(frozen=True, slots=True)
class WriteRecord:
    """Action: write the group's record by conditional update on its version."""

    group: model.Group


@dataclasses.dataclass(frozen=True, slots=True)
class RequestStatus:
    """Action: request the status of an instance."""

    instance: str


@dataclasses.dataclass(frozen=True, slots=True)
class Ended:
    """End of a promotion, with the reason for the log; ``group`` is None if no primary was installed."""

    group: model.Group | None
    reason: str


Action = failover.SetTerm | WriteRecord | RequestStatus | Ended


def choose_winner(candidates: Sequence[failover.InstanceStatus], preferred: str | None) -> failover.InstanceStatus:
    """Return the candidate with the most up-to-date log: the highest last term, then the highest index.

    Args:
        candidates: Statuses of a majority in the new term; each reports the term of its log.
        preferred: Instance that wins a tie, or None.

    Returns:
        Status of the winner.
    """
    return max(
        candidates,
        key=lambda status: (
            status.log_term or 0,
            status.received_index,
            status.instance == preferred,
            not status.leaving,
            status.instance,
        ),
    )


class Promotion:
    """One promotion; ``state`` follows the state chart ``charts/promotion.json``.

    Each public method takes an event and returns the resulting actions. Late events give no actions.
    """

    state: str

    def __init__(self, group: model.Group, *, now: float, target: str | None = None, excluded: str | None = None):
        """Prepare a promotion.

        Args:
            group: The group's record as just read from the platform.
            now: Clock reading.
            target: Replica to promote in a switchover, or None after a failure.
            excluded: Isolated instance that must not win, or None. A majority must then answer without it, so that
                excluding it loses no acknowledged write.
        """
        self._chart = charts.attach(self, "promotion")
        self.group = dataclasses.replace(group, term=group.term + 1, phase=model.Phase.ELECTING, primary="")
        self._old_primary = group.primary
        self._target = target
        self._excluded = excluded
        self._step_started_at = now
        self._sent_at: dict[str, float] = {}
        self._votes: dict[str, failover.InstanceStatus] = {}
        self._settle_statuses: dict[str, failover.InstanceStatus] = {}
        self._without_vote: set[str] = set()
        self._trimming: set[str] = set()

    @property
    def ended(self) -> bool:
        """Whether the promotion has finished or stopped."""
        return self.state in ("finished", "stopped")

    def start(self) -> list[Action]:
        """Start the promotion by claiming the next term in the group's record."""
        return [WriteRecord(self.group)]

    def record_written(self, group: model.Group, now: float) -> list[Action]:
        """Handle a conditional update that took effect; ``group`` holds the new version."""
        if self.state not in ("claiming", "recording"):
            return []
        self.group = group
        if self.state == "recording":
            return self._begin_trimming(now)
        if self._target is None:
            return self._begin_election(now)
        self._enter_step(self.settle, now)
        return self._request_statuses(now)

    def record_write_failed(self, reason: str) -> list[Action]:
        """Handle an update that did not take effect or whose outcome is unknown, by stopping."""
        return self._stop(reason)

    def status_received(self, instance: str, status: failover.InstanceStatus | None, now: float) -> list[Action]:
        """Handle the answer to ``RequestStatus``, sent by a switchover that waits for the old primary's last write.

        Args:
            instance: Name of the instance.
            status: Its status, or None if it did not answer.
            now: Clock reading.
        """
        if self.state != "settling":
            return []
        if status is None and instance in (self._old_primary, self._target):
            return self._begin_election(now)
        if status is not None:
            previous = self._settle_statuses.get(instance)
            self._settle_statuses[instance] = status
            holders_informed = now - self._step_started_at >= SETTLE_MIN_S
            if (
                instance == self._old_primary
                and previous is not None
                and holders_informed
                and self._has_target_caught_up(previous, status)
            ):
                return self._begin_election(now)
        return []

    def set_term_answered(self, instance: str, status: failover.InstanceStatus | None, now: float) -> list[Action]:
        """Handle the answer to ``SetTerm``; ``status`` is None if the instance did not answer."""
        if self.ended or self.state in ("claiming", "settling"):
            return []
        if status is not None and status.term > self.group.term:
            return self._stop(f"{instance} has the higher term {status.term}")
        if self.state == "electing":
            return self._handle_vote(instance, status, now)
        return self._handle_install_answer(instance, status, now)

    def tick(self, now: float) -> list[Action]:
        """Handle the passing of time: resend unanswered commands, and stop when a step exceeds its time-out."""
        if self.state == "settling":
            if now - self._step_started_at >= SETTLE_TIMEOUT_S:
                return self._begin_election(now)
            return self._request_statuses(now)
        if self.state not in ("electing", "trimming", "installing"):
            return []
        if self.state == "electing" and self._has_majority() and now - self._step_started_at >= ELECTION_GRACE_S:
            return self._elect_winner(now)
        if now - self._step_started_at >= STEP_TIMEOUT_S:
            return self._stop(f"step {self.state} did not end within {STEP_TIMEOUT_S} s")
        return self._resend(now)

    def _enter_step(self, trigger: Callable[[], bool], now: float) -> None:
        trigger()
        self._step_started_at = now
        self._without_vote.clear()
        self._sent_at.clear()

    def _request_statuses(self, now: float) -> list[Action]:
        names = [name for name in (self._target, self._old_primary) if name]
        return [RequestStatus(name) for name in names]

    def _has_target_caught_up(self, previous: failover.InstanceStatus, primary: failover.InstanceStatus) -> bool:
        """Return whether the old primary wrote nothing between two statuses and the target has all its records."""
        target = self._settle_statuses.get(self._target or "")
        return (
            target is not None
            and previous.received_index == primary.received_index
            and target.received_index >= primary.received_index
        )

    def _begin_election(self, now: float) -> list[Action]:
        self._enter_step(self.elect, now)
        return [self._set_term_command(instance.name, now) for instance in self.group.instances]

    def _set_term_command(self, instance: str, now: float) -> failover.SetTerm:
        self._sent_at[instance] = now
        if self.state == "electing":
            return failover.SetTerm(instance, self.group.term)
        return failover.role_command(self.group, self._votes[instance])

    def _handle_vote(self, instance: str, status: failover.InstanceStatus | None, now: float) -> list[Action]:
        if status is None or status.term < self.group.term:
            self._without_vote.add(instance)
        elif status.log_term is None:
            return self._stop(f"{instance} does not report the term of its log, so positions cannot be compared")
        else:
            self._without_vote.discard(instance)
            self._votes[instance] = status
        all_voted = len(self._votes) + len(self._without_vote) >= len(self.group.instances)
        return self._elect_winner(now) if self._has_majority() and all_voted else []

    def _has_majority(self) -> bool:
        return len(self._candidates()) >= failover.majority(len(self.group.instances))

    def _candidates(self) -> list[failover.InstanceStatus]:
        return [status for name, status in self._votes.items() if name != self._excluded]

    def _elect_winner(self, now: float) -> list[Action]:
        winner = choose_winner(self._candidates(), self._target)
        # Records of the winner beyond the start of a later, abandoned term were never acknowledged. If the new term
        # started after them, diverging records of that term's primary at the same indexes would be taken for copies.
        start = failover.match_index(self.group, winner)
        starts = {**self.group.starts, self.group.term: start}
        self._enter_step(self.record, now)
        stable = dataclasses.replace(self.group, phase=model.Phase.STABLE, primary=winner.instance, starts=starts)
        return [WriteRecord(stable)]

    def _begin_trimming(self, now: float) -> list[Action]:
        """Make the other instances discard records that the winner lacks, then install the winner.

        Such a record would otherwise be taken for a copy of the new primary's record with the same index.
        """
        self._trimming = {
            name
            for name, status in self._votes.items()
            if name != self.group.primary and failover.match_index(self.group, status) < status.received_index
        }
        if not self._trimming:
            return self._begin_installing(now)
        self._enter_step(self.trim, now)
        return [self._set_term_command(name, now) for name in sorted(self._trimming)]

    def _begin_installing(self, now: float) -> list[Action]:
        self._enter_step(self.install, now)
        return [self._set_term_command(self.group.primary, now)]

    def _handle_install_answer(self, instance: str, status: failover.InstanceStatus | None, now: float) -> list[Action]:
        accepted = status is not None and status.term == self.group.term
        if self.state == "trimming":
            if accepted and self._is_trimmed(instance, status):
                self._trimming.discard(instance)
            return self._begin_installing(now) if not self._trimming else []
        if self.state != "installing" or instance != self.group.primary:
            return []
        if not accepted or status is None or status.role != "primary":
            return []
        self._enter_step(self.finish, now)
        others = [self._set_term_command(name, now) for name in self._votes if name != instance]
        return [*others, Ended(self.group, f"{instance} is primary in term {self.group.term}")]

    def _is_trimmed(self, instance: str, status: failover.InstanceStatus | None) -> bool:
        """Return whether the answer shows a trimmed log; a late answer to the election's command does not."""
        limit = failover.match_index(self.group, self._votes[instance])
        return status is not None and status.received_index <= limit

    def _resend(self, now: float) -> list[Action]:
        due = [name for name in self._pending_instances() if now - self._sent_at.get(name, now) >= RETRY_INTERVAL_S]
        return [self._set_term_command(name, now) for name in due]

    def _pending_instances(self) -> list[str]:
        if self.state == "electing":
            return [i.name for i in self.group.instances if i.name not in self._votes]
        return sorted(self._trimming) if self.state == "trimming" else [self.group.primary]

    def _stop(self, reason: str) -> list[Action]:
        if self.ended:
            return []
        self.stop()
        return [Ended(None, reason)]
