"""Callers of the soak test: sessions that write and read, and record what they are told."""

import asyncio
import random
import time

from tests import session_bed
from tools import daemon_processes, soak_checks

MEAN_PAUSE_S = 0.03
"""Mean pause between two statements of a session, in seconds."""
LIMITED_ORGANISATION = "dyers"
LIMITED_KEY = "key-of-dyers"
TRANSACTION_SHARE = 0.15
"""Share of transactions among the operations of a session."""
MAX_REST_S = 2.6
"""Longest rest inside a transaction; transactions are rolled back after 3 s without a statement."""
NOT_RUN_CODES = {"BUSY", "ABORTED", "LAGGING", "READONLY", "MISROUTED", "OVERLOAD"}
"""Error codes which guarantee that the operation has no effect."""


class Caller(session_bed.Caller):
    """Caller's side of a session at one VM."""

    def __init__(self, vm: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter):
        super().__init__(reader, writer)
        self.vm = vm


class Sessions:
    """Sessions of one run.

    Attributes:
        end: Monotonic time at which the sessions end.
    """

    def __init__(
        self,
        vms: list[daemon_processes.DaemonProcess],
        record: soak_checks.Record,
        result: soak_checks.Result,
        *,
        transaction_share: float = TRANSACTION_SHARE,
    ):
        self.vms = vms
        self.record = record
        self.result = result
        self.end = 0.0
        self._transaction_share = transaction_share
        self._callers: list[Caller] = []

    def close(self) -> None:
        """Close the connections of all sessions."""
        for caller in self._callers:
            caller.close()

    async def run_session(self, number: int, rng: random.Random) -> None:
        """Write and read one item per session, reconnecting to a random VM; each operation has its own request ID."""
        caller, written, sequence = None, None, 0
        while time.monotonic() < self.end:
            await asyncio.sleep(MEAN_PAUSE_S * rng.random() * 2)
            try:
                if caller is None:
                    caller = await self._connect(rng)
                    written = None
                    continue
                sequence += 1
                request = f"r{number}x{sequence}"
                self.result.sent += 1
                async with asyncio.timeout(4.0):
                    if rng.random() < self._transaction_share:
                        written = await self._write_transaction(
                            caller, request, f"item{number}", f"v{sequence}", written
                        )
                    elif rng.random() < 0.4:
                        written = await self._write(caller, request, f"item{number}", f"v{sequence}", written)
                    else:
                        await self._read(caller, request, f"item{number}", written)
            except (OSError, TimeoutError, IndexError, asyncio.IncompleteReadError):
                self.result.may_have_run += 1
                if caller is not None:
                    caller.close()
                caller = None

    async def run_limited_session(self, number: int) -> None:
        """Write in a closed loop as the organisation with the low rate limit."""
        rng = random.Random(f"{self.result.seed}/limited/{number}")
        caller, sequence = None, 0
        while time.monotonic() < self.end:
            await asyncio.sleep(0.05)
            try:
                if caller is None:
                    caller = await self._connect(rng, LIMITED_KEY)
                    continue
                sequence += 1
                request, sent_at = f"limited{number}x{sequence}", time.monotonic()
                async with asyncio.timeout(4.0):
                    answer = await caller.request(f"QUERY {request} WRITE limited{number} v{sequence}")
                if answer[0].startswith("DONE"):
                    self.record.limited_writes.append((sent_at, request))
                elif answer[0].startswith("ERR NOAUTH"):
                    caller.close()
                    caller = None
            except (OSError, TimeoutError, IndexError, asyncio.IncompleteReadError):
                if caller is not None:
                    caller.close()
                caller = None

    async def run_resting_session(self, number: int) -> None:
        """Write in transactions, with a rest between the two writes of each."""
        rng = random.Random(f"{self.result.seed}/resting/{number}")
        caller, sequence = None, 0
        while time.monotonic() < self.end:
            await asyncio.sleep(MEAN_PAUSE_S)
            try:
                if caller is None:
                    caller = await self._connect(rng)
                    continue
                sequence += 1
                self.result.sent += 1
                async with asyncio.timeout(MAX_REST_S + 4.0):
                    await self._write_transaction(
                        caller,
                        f"resting{number}x{sequence}",
                        f"resting{number}",
                        f"v{sequence}",
                        None,
                        rest_s=rng.uniform(0.0, MAX_REST_S),
                    )
            except (OSError, TimeoutError, IndexError, asyncio.IncompleteReadError):
                self.result.may_have_run += 1
                if caller is not None:
                    caller.close()
                caller = None

    async def write_once(self, vm: daemon_processes.DaemonProcess, request: str, item: str) -> bool:
        """Write through a VM on a new connection; return whether the write was reported as completed."""
        caller = await self._connect_to(vm, session_bed.KEY)
        if caller is None:
            return False
        try:
            self.result.sent += 1
            return await self._write(caller, request, item, request, None) is not None
        finally:
            caller.close()

    async def _connect(self, rng: random.Random, key: str = session_bed.KEY) -> Caller | None:
        return await self._connect_to(rng.choice(self.vms), key)

    async def _connect_to(self, vm: daemon_processes.DaemonProcess, key: str) -> Caller | None:
        async with asyncio.timeout(1.0):
            caller = Caller(vm.name, *await asyncio.open_connection("127.0.0.1", vm.port))
            self._callers.append(caller)
            answer = await caller.request(f"START own-db {key}")
        if answer == ["READY I -"]:
            return caller
        caller.close()
        return None

    def _count_refusal(self, details: str) -> None:
        """Count a refusal by its code and the words of its text, without names and numbers."""
        self.result.not_run += 1
        words = details.partition(",")[0].split()
        cause = " ".join(word for word in words if word.replace("-", "").replace("'", "").isalpha())
        self.result.refused_by_cause[cause] = self.result.refused_by_cause.get(cause, 0) + 1

    async def _write(self, caller: Caller, request: str, item: str, data: str, written: str | None) -> str | None:
        answer = await caller.request(f"QUERY {request} WRITE {item} {data}")
        status, _, details = answer[0].partition(" ")
        if status == "DONE":
            self.result.completed += 1
            self.record.acknowledge(caller.vm, (request, item, data))
            return data
        if details.split(" ")[0] in NOT_RUN_CODES:
            self._count_refusal(details)
            self.record.not_run.add(request)
            return written
        self.result.may_have_run += 1
        # The outcome is unknown, so later reads may return the old or the new value.
        return None

    async def _write_transaction(
        self,
        caller: Caller,
        request: str,
        item: str,
        data: str,
        written: str | None,
        *,
        rest_s: float = 0.0,
    ) -> str | None:
        """Write two items in one transaction, with a rest between; either both or none must be committed."""
        self.record.transactions.append((f"{request}a", f"{request}b"))
        answers = []
        for text in ("BEGIN", f"{request}a WRITE {item} {data}", f"{request}b WRITE {item}-pair {data}", "COMMIT"):
            request_id, _, statement = (
                text.partition(" ") if text.startswith(request) else (f"{request}{text}", "", text)
            )
            answers.append((await caller.request(f"QUERY {request_id} {statement}"))[0])
            if not answers[-1].startswith("DONE"):
                break
            if len(answers) == 2:
                await asyncio.sleep(rest_s)
        if len(answers) == 4 and answers[-1].startswith("DONE"):
            self.result.completed += 1
            self.record.acknowledge(caller.vm, (f"{request}a", item, data), (f"{request}b", f"{item}-pair", data))
            return data
        if len(answers) < 4:
            await caller.request(f"QUERY {request}ROLLBACK ROLLBACK")
        if answers[-1].split(" ")[1] in NOT_RUN_CODES:
            self._count_refusal(answers[-1].removeprefix("ERR "))
            self.record.not_run |= {f"{request}a", f"{request}b"}
            return written
        self.result.may_have_run += 1
        return None

    async def _read(self, caller: Caller, request: str, item: str, written: str | None) -> None:
        answer = await caller.request(f"QUERY {request} READ {item}")
        if answer[0].startswith("ROW "):
            self.result.completed += 1
            if written is not None and answer[0] != f"ROW {written}":
                self.record.unexpected_reads.append((request, item, answer[0].removeprefix("ROW "), written))
        else:
            self._count_refusal(answer[0].removeprefix("ERR "))
