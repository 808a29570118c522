"""Guarantees that the soak test checks: what callers were told, against what the instances did."""

import collections
import dataclasses
import datetime
import time
from collections.abc import Mapping, Sequence

from tests.standins import line_instance

LIMITED_RATE = 20.0
"""Rate limit in operations per second, and burst, of the second organisation; its sessions send about four times as
many."""
RATE_WINDOW_S, RATE_EXCESS, RATE_SLACK = 5.0, 0.1, 20.0
"""Window in which operations are counted, and the excess over rate and burst that it may contain: a share of them plus
a fixed number of operations."""
MAX_REVOCATION_DELAY_S = 5.0
"""Longest time for a revocation to take effect; a request sent later must not run."""
MAX_LOSSES = 20
"""Lost writes whose details are printed."""
EVACUATION_BOUND_S = 5.0
"""Time after which no statement may run in an evacuated failure domain."""


@dataclasses.dataclass(slots=True)
class Result:
    """Summary of a run, printed as the last line.

    Attributes:
        seed: Seed of the run.
        sent: Operations sent.
        completed: Operations reported as completed.
        not_run: Operations refused without effect.
        refused_by_cause: The same by the code and the text of the refusal.
        may_have_run: Operations with an unknown outcome.
        lost: Acknowledged writes that are missing from the log.
        doubled: Writes that were committed more than once.
        stale_reads: Reads that returned an older value than the last acknowledged write of their session.
        false_not_run: Writes reported as not run that were committed.
        torn: Transactions of which only one of two writes was committed.
        mixed: Commits with writes of more than one operation.
        over_rate: Time windows with more operations of the second organisation than its limit allows.
        after_revocation: Operations that ran although their API key had been revoked.
        after_evacuation: Statements that ran in an evacuated failure domain after the bound; counted only in runs whose
            faults keep no daemon from the store.
        usage_conflicts: Windows of which two accepted reports of usage differ.
        lost_in_promotions: Writes whose callers had success, and which the log of a promoted instance lacked.
        lost_unseen: Commits that an instance acknowledged and a promoted log lacked, and whose callers did not learn of
            it. They are no violation: an answer that is lost on its way leaves the outcome unknown.
        losses: Details of the first writes that were lost in promotions.
        promotions: Promotions that took effect.
        recovery_s: Seconds from the end of the last fault to a write through each VM, or None.
        unrecovered: VMs through which no write succeeded within the bound after the last fault.
        faults: Injected faults and details of stale reads.
    """

    seed: int
    sent: int = 0
    completed: int = 0
    not_run: int = 0
    may_have_run: int = 0
    lost: int = 0
    doubled: int = 0
    stale_reads: int = 0
    false_not_run: int = 0
    torn: int = 0
    mixed: int = 0
    over_rate: int = 0
    after_revocation: int = 0
    after_evacuation: int = 0
    usage_conflicts: int = 0
    lost_in_promotions: int = 0
    lost_unseen: int = 0
    unrecovered: int = 0
    promotions: int = 0
    recovery_s: list[float | None] = dataclasses.field(default_factory=list)
    losses: list[str] = dataclasses.field(default_factory=list)
    refused_by_cause: dict[str, int] = dataclasses.field(default_factory=dict)
    faults: list[str] = dataclasses.field(default_factory=list)

    def is_consistent(self) -> bool:
        """Return whether no guarantee was violated."""
        violations = (self.lost, self.doubled, self.stale_reads, self.false_not_run, self.torn, self.mixed)
        violations += (self.over_rate, self.after_revocation, self.after_evacuation, self.usage_conflicts)
        return not any((*violations, self.lost_in_promotions, self.unrecovered))


@dataclasses.dataclass(slots=True)
class Record:
    """What the callers and the operator of one run have seen; times are monotonic.

    Attributes:
        acknowledged: Request, item and value of each acknowledged write.
        answers: Unix time and VM of the answer to each acknowledged write, by request.
        not_run: Requests of the writes that were reported as not run.
        transactions: Requests of the two writes of each transaction.
        unexpected_reads: Request, item, value found, and last acknowledged value of each read that found another one.
        limited_writes: Time and request of each acknowledged write of the second organisation.
        revocations: Times at which its key was revoked and restored.
        evacuations: Failure domain, and the times at which its evacuation was acknowledged and taken back.
    """

    acknowledged: list[tuple[str, str, str]] = dataclasses.field(default_factory=list)
    answers: dict[str, tuple[float, str]] = dataclasses.field(default_factory=dict)
    not_run: set[str] = dataclasses.field(default_factory=set)
    transactions: list[tuple[str, str]] = dataclasses.field(default_factory=list)
    unexpected_reads: list[tuple[str, str, str, str]] = dataclasses.field(default_factory=list)
    limited_writes: list[tuple[float, str]] = dataclasses.field(default_factory=list)
    revocations: list[tuple[float, float]] = dataclasses.field(default_factory=list)
    evacuations: list[tuple[str, float, float]] = dataclasses.field(default_factory=list)

    def acknowledge(self, vm: str, *writes: tuple[str, str, str]) -> None:
        """Record that a VM reported writes as completed."""
        self.acknowledged += writes
        self.answers |= {request: (time.time(), vm) for request, _, _ in writes}


def check(record: Record, service: line_instance.Service, result: Result) -> None:
    """Count the violations of a run in its result.

    Args:
        record: What callers and operator have seen.
        service: The instances, with the log of their commits and the statements that they ran.
        result: Receives the counts.
    """
    committed = collections.Counter(request for commit in service.log for request, _, _ in commit.writes)
    limited = [
        commit.committed_at for commit in service.log if any(name.startswith("limited") for name, _, _ in commit.writes)
    ]
    max_operations = (LIMITED_RATE * RATE_WINDOW_S + LIMITED_RATE) * (1 + RATE_EXCESS) + RATE_SLACK
    result.over_rate = sum(
        sum(start <= at < start + RATE_WINDOW_S for at in limited) > max_operations for start in limited
    )
    result.after_revocation = sum(
        revoked_at + MAX_REVOCATION_DELAY_S < sent_at < restored_at
        for sent_at, _ in record.limited_writes
        for revoked_at, restored_at in record.revocations
    )
    result.after_evacuation = sum(
        f"z{run.instance[-1]}" == domain and evacuated_at + EVACUATION_BOUND_S < run.ran_at < ended_at
        for run in service.runs
        for domain, evacuated_at, ended_at in record.evacuations
    )
    # A write with an unknown outcome may be committed after a later write of its session; the log order decides.
    order = {(item, data): index for index, commit in enumerate(service.log) for _, item, data in commit.writes}
    for request, item, found, written in record.unexpected_reads:
        if order.get((item, found), -1) < order.get((item, written), -1):
            result.stale_reads += 1
            result.faults.append(f"stale read {request}: got {found}, expected {written} or newer")
    result.torn = sum((first in committed) != (second in committed) for first, second in record.transactions)
    # The requests of a transaction differ in their last letter only.
    result.mixed = sum(len({request.rstrip("ab") for request, _, _ in commit.writes}) > 1 for commit in service.log)
    result.doubled = sum(count > 1 for count in committed.values())
    result.lost = sum(request not in committed for request, _, _ in record.acknowledged)
    result.false_not_run = sum(request in committed for request in record.not_run)


def check_promotions(record: Record, service: line_instance.Service, result: Result) -> None:
    """Count the acknowledged commits that were missing from the log of a promoted instance.

    Args:
        record: What callers have seen.
        service: The instances, with the commits that each promotion lost.
        result: Receives the counts.
    """
    for lost in service.lost:
        seen = [request for request, _, _ in lost.commit.writes if request in record.answers]
        result.lost_in_promotions += len(seen)
        result.lost_unseen += not seen
        for request in seen[: MAX_LOSSES - len(result.losses)]:
            answered_at, vm = record.answers[request]
            result.losses.append(
                f"{request} at {lost.commit.term}.{lost.commit.number}, answered by {vm} at "
                f"{datetime.datetime.fromtimestamp(answered_at, datetime.UTC).isoformat(timespec='milliseconds')}, "
                f"missing on {lost.promoted}"
            )


def count_conflicts(usage_calls: Sequence[tuple[float, int, Mapping[str, int], str, int, int]]) -> int:
    """Return the number of windows of which two accepted reports of usage differ.

    Args:
        usage_calls: Time, window, counts, holder, generation number and status of each report.
    """
    first: dict[int, Mapping[str, int]] = {}
    conflicting = {
        window
        for _, window, counts, _, _, status in usage_calls
        if status == 200 and first.setdefault(window, counts) != counts
    }
    return len(conflicting)
