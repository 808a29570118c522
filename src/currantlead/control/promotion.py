"""Run the steps of one promotion: events and clock readings in, actions out."""

import dataclasses
from collections.abc import Callable, Sequence

from currantlead import charts
from currantlead.control import failover, model

# A third answer may name a better candidate; waiting longer than this would lengthen the gap.
GRACE_S = 0.2
# Stops before the other monitors count the record as abandoned (2 s).
STEP_LIMIT_S = 1.5
SETTLE_LIMIT_S = 0.5
# Holders learn of the change by pushes and may send a last write to the old primary until then, so an index that
# stands still for one poll proves nothing yet.
SETTLE_AT_LEAST_S = 0.2
RETRY_S = 0.25


@dataclasses.dataclass(frozen=True, slots=True)
class Write:
    """Write the group's record if it still has the version that the record holds."""

    group: model.Group


@dataclasses.dataclass(frozen=True, slots=True)
class Ask:
    """Ask an instance for its status."""

    instance: str


@dataclasses.dataclass(frozen=True, slots=True)
class Done:
    """Report the end of a promotion; ``group`` is None if it stopped."""

    group: model.Group | None
    reason: str


Action = failover.SetTerm | Write | Ask | Done


def choose(candidates: Sequence[failover.Status], preferred: str | None) -> failover.Status:
    """Return the instance with the highest position of the highest last term.

    Args:
        candidates: Answers of a majority in the new term; each reports the term of its log.
        preferred: Instance that wins among equals, or None.

    Returns:
        The winner.
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
    """Hold one promotion; ``state`` follows ``charts/promotion.json``.

    Each method takes an event and returns the actions that follow from it. Events that no longer matter give none.
    """

    state: str

    def __init__(self, group: model.Group, *, now: float, target: str | None = None, excluded: str | None = None):
        """Prepare a promotion.

        Args:
            group: The record as just read from the store.
            now: Clock reading.
            target: The replica to promote in a planned change, or None after a failure.
            excluded: An isolated instance that must not win, or None. A majority must then answer without it, so that
                its absence loses no acknowledged write.
        """
        self._chart = charts.attach(self, "promotion")
        self.group = dataclasses.replace(group, term=group.term + 1, phase=model.Phase.ELECTING, primary="")
        self._old_primary = group.primary
        self._target = target
        self._excluded = excluded
        self._since = now
        self._asked: dict[str, float] = {}
        self._answers: dict[str, failover.Status] = {}
        self._observed: dict[str, failover.Status] = {}
        self._failed: set[str] = set()
        self._trimming: set[str] = set()

    @property
    def ended(self) -> bool:
        """Tell whether no further action can follow."""
        return self.state in ("finished", "stopped")

    def start(self) -> list[Action]:
        """Claim the next term by conditional update."""
        return [Write(self.group)]

    def written(self, group: model.Group, now: float) -> list[Action]:
        """Go on after a conditional update that took effect; ``group`` holds the new version."""
        if self.state not in ("claiming", "recording"):
            return []
        self.group = group
        if self.state == "recording":
            return self._begin_install(now)
        if self._target is None:
            return self._begin_election(now)
        self._enter(self.settle, now)
        return self._ask_positions(now)

    def write_failed(self, reason: str) -> list[Action]:
        """Stop after an update that did not take effect, or of which nothing is known."""
        return self._stop(reason)

    def observed(self, instance: str, status: failover.Status | None, now: float) -> list[Action]:
        """Take an answer to ``Ask``; only a planned change that lets the old primary finish uses it."""
        if self.state != "settling":
            return []
        if status is None and instance in (self._old_primary, self._target):
            return self._begin_election(now)
        if status is not None:
            previous = self._observed.get(instance)
            self._observed[instance] = status
            learned = now - self._since >= SETTLE_AT_LEAST_S
            if instance == self._old_primary and previous is not None and learned and self._settled(previous, status):
                return self._begin_election(now)
        return []

    def term_set(self, instance: str, status: failover.Status | None, now: float) -> list[Action]:
        """Take the answer to ``SetTerm``; None stands for no answer."""
        if self.ended or self.state in ("claiming", "settling"):
            return []
        if status is not None and status.term > self.group.term:
            return self._stop(f"{instance} knows the higher term {status.term}")
        if self.state == "electing":
            return self._count(instance, status, now)
        return self._installed(instance, status, now)

    def tick(self, now: float) -> list[Action]:
        """Let time pass: repeat unanswered messages, and stop at the step's limit."""
        if self.state == "settling":
            if now - self._since >= SETTLE_LIMIT_S:
                return self._begin_election(now)
            return self._ask_positions(now)
        if self.state not in ("electing", "trimming", "installing"):
            return []
        if self.state == "electing" and self._majority() and now - self._since >= GRACE_S:
            return self._decide(now)
        if now - self._since >= STEP_LIMIT_S:
            return self._stop(f"no end of step {self.state} in {STEP_LIMIT_S} s")
        return self._retry(now)

    def _enter(self, trigger: Callable[[], bool], now: float) -> None:
        trigger()
        self._since = now
        self._failed.clear()
        self._asked.clear()

    def _ask_positions(self, now: float) -> list[Action]:
        names = [name for name in (self._target, self._old_primary) if name]
        return [Ask(name) for name in names]

    def _settled(self, previous: failover.Status, primary: failover.Status) -> bool:
        """Tell whether the old primary wrote nothing between two answers and the target has everything."""
        target = self._observed.get(self._target or "")
        return (
            target is not None
            and previous.received_index == primary.received_index
            and target.received_index >= primary.received_index
        )

    def _begin_election(self, now: float) -> list[Action]:
        self._enter(self.elect, now)
        return [self._send(instance.name, now) for instance in self.group.instances]

    def _send(self, instance: str, now: float) -> failover.SetTerm:
        self._asked[instance] = now
        if self.state == "electing":
            return failover.SetTerm(instance, self.group.term)
        return failover.install(self.group, self._answers[instance])

    def _count(self, instance: str, status: failover.Status | None, now: float) -> list[Action]:
        if status is None or status.term < self.group.term:
            self._failed.add(instance)
        elif status.log_term is None:
            return self._stop(f"{instance} does not report the term of its log, so positions cannot be compared")
        else:
            self._failed.discard(instance)
            self._answers[instance] = status
        everyone = len(self._answers) + len(self._failed) >= len(self.group.instances)
        return self._decide(now) if self._majority() and everyone else []

    def _majority(self) -> bool:
        return len(self._candidates()) >= failover.majority(len(self.group.instances))

    def _candidates(self) -> list[failover.Status]:
        return [status for name, status in self._answers.items() if name != self._excluded]

    def _decide(self, now: float) -> list[Action]:
        winner = choose(self._candidates(), self._target)
        # Records of the winner beyond the start of a later, abandoned term were never acknowledged. Counting them
        # would let the log of that term's primary pass for a copy of the winner's.
        start = failover.shared_index(self.group, winner)
        starts = {**self.group.starts, self.group.term: start}
        self._enter(self.record, now)
        stable = dataclasses.replace(self.group, phase=model.Phase.STABLE, primary=winner.instance, starts=starts)
        return [Write(stable)]

    def _begin_install(self, now: float) -> list[Action]:
        """Let instances drop records that the winner lacks before it may write.

        Otherwise such a record would look like a copy of the new primary's record with the same index.
        """
        self._trimming = {
            name
            for name, status in self._answers.items()
            if name != self.group.primary and failover.shared_index(self.group, status) < status.received_index
        }
        if not self._trimming:
            return self._install(now)
        self._enter(self.trim, now)
        return [self._send(name, now) for name in sorted(self._trimming)]

    def _install(self, now: float) -> list[Action]:
        self._enter(self.install, now)
        return [self._send(self.group.primary, now)]

    def _installed(self, instance: str, status: failover.Status | None, now: float) -> list[Action]:
        accepted = status is not None and status.term == self.group.term
        if self.state == "trimming":
            if accepted and self._is_trimmed(instance, status):
                self._trimming.discard(instance)
            return self._install(now) if not self._trimming else []
        if self.state != "installing" or instance != self.group.primary:
            return []
        if not accepted or status is None or status.role != "primary":
            return []
        self._enter(self.finish, now)
        others = [self._send(name, now) for name in self._answers if name != instance]
        return [*others, Done(self.group, f"{instance} is primary in term {self.group.term}")]

    def _is_trimmed(self, instance: str, status: failover.Status | None) -> bool:
        """Tell the answer to the message with a start from a late answer to the one without."""
        limit = failover.shared_index(self.group, self._answers[instance])
        return status is not None and status.received_index <= limit

    def _retry(self, now: float) -> list[Action]:
        due = [name for name in self._waiting() if now - self._asked.get(name, now) >= RETRY_S]
        return [self._send(name, now) for name in due]

    def _waiting(self) -> list[str]:
        if self.state == "electing":
            return [i.name for i in self.group.instances if i.name not in self._answers]
        return sorted(self._trimming) if self.state == "trimming" else [self.group.primary]

    def _stop(self, reason: str) -> list[Action]:
        if self.ended:
            return []
        self.stop()
        return [Done(None, reason)]
