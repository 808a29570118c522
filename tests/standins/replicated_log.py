"""Logs of the stand-in instances: commits, what replicas receive of them, and what a promotion loses."""

import bisect
import dataclasses
from collections.abc import Iterator


@dataclasses.dataclass(frozen=True)
class Commit:
    """Commit record of the log; a write is a tuple of request, item and value."""

    term: int
    number: int
    committed_at: float
    writes: tuple[tuple[str, str, str], ...]


@dataclasses.dataclass(frozen=True)
class LostCommit:
    """Acknowledged commit that was missing from the log of an instance when its promotion took effect."""

    promoted: str
    commit: Commit


@dataclasses.dataclass(frozen=True)
class ExecutedStatement:
    """Statement that an instance ran for a caller, with its session values, applied commits and monotonic time."""

    instance: str
    request: str
    text: str
    organisation: str
    values: tuple[tuple[str, str], ...]
    applied: int
    ran_at: float


class Log:
    """Log of one instance; copies of one commit in two logs are the same object.

    Attributes:
        commits: Commits in the order of their numbers, which start at 1.
    """

    def __init__(self) -> None:
        self.commits: list[Commit] = []

    def __len__(self) -> int:
        return len(self.commits)

    def __iter__(self) -> Iterator[Commit]:
        return iter(self.commits)

    def __contains__(self, commit: Commit) -> bool:
        return len(self.commits) >= commit.number and self.commits[commit.number - 1] is commit

    def append(self, commit: Commit) -> None:
        """Append a commit, which has the next number."""
        self.commits.append(commit)

    def follow(self, source: "Log", limit: int | None = None) -> bool:
        """Receive the commits of another log, up to a limit; return whether commits were rolled back for that."""
        rolled_back = self.roll_back(source)
        self.commits += source.commits[len(self.commits) : limit]
        return rolled_back

    def roll_back(self, source: "Log") -> bool:
        """Remove the commits that another log lacks; return whether there were any."""
        before = len(self.commits)
        while self.commits and self.commits[-1] not in source:
            self.commits.pop()
        return len(self.commits) < before

    def count_until(self, committed_at: float) -> int:
        """Return the number of commits up to a monotonic time."""
        return bisect.bisect_right(self.commits, committed_at, key=lambda commit: commit.committed_at)
