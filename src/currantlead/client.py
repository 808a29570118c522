"""Call a currantlead VM: keeps the session token, reads verdicts, and retries only what is safe."""

import contextlib
import dataclasses
import http.client
import json
import random
import threading
import time
import urllib.parse
from collections.abc import Callable, Iterator, Sequence
from typing import Any

from currantlead import errors, messages, tokens, verdict

_TRANSIENT = frozenset({429, 503})


class RefusedError(errors.CurrantleadError):
    """Raised when a request was not completed.

    Attributes:
        refusal: Reason and verdict; ``MAY_HAVE_RUN`` means that a write may have taken effect.
        status: HTTP status code; 0 if there was no answer.
        request: Request id for the operators' logs; empty if there was no answer.
    """

    def __init__(self, refusal: verdict.Refusal, status: int = 0, request: str = ""):
        super().__init__(f"{refusal.verdict.value}: {refusal.reason.value}: {refusal.detail}")
        self.refusal = refusal
        self.status = status
        self.request = request


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """Hold the rows of a completed statement."""

    columns: tuple[str, ...]
    rows: tuple[tuple[Any, ...], ...]
    changed: int
    request: str


class Client:
    """Hold one session; its methods may be called from several threads and then wait for each other."""

    def __init__(
        self,
        url: str,
        key: str,
        *,
        attempts: int = 4,
        timeout_s: float = 35.0,
        first_backoff_s: float = 0.05,
        longest_backoff_s: float = 5.0,
        sleep: Callable[[float], None] = time.sleep,
    ):
        """Create a client; it connects with the first request.

        Args:
            url: Address of a VM or of the load balancer, such as ``http://127.0.0.1:8080``.
            key: The organisation's key.
            attempts: Most attempts for one call.
            timeout_s: Longest wait for one answer; above the proxy's own limit of 30 s.
            first_backoff_s: Mean wait before the first retry; doubles with each retry.
            longest_backoff_s: Longest wait before a retry; if the server asks for more, the refusal is raised.
            sleep: Waits; tests replace it.
        """
        address = urllib.parse.urlsplit(url)
        if address.scheme != "http" or not address.hostname:
            raise ValueError("url: is not http://HOST[:PORT]")
        self._connection = http.client.HTTPConnection(address.hostname, address.port or 80, timeout=timeout_s)
        self._key = key
        self._attempts = attempts
        self._first_backoff_s = first_backoff_s
        self._longest_backoff_s = longest_backoff_s
        self._sleep = sleep
        self._lock = threading.Lock()
        self._positions: dict[str, messages.Position] = {}

    @property
    def session(self) -> str:
        """Return the session token, to continue the session in another process."""
        return tokens.render(self._positions)

    def resume(self, token: str) -> None:
        """Add the positions of another session's token; a session only advances."""
        self._advance(token)

    def read(self, database: str, sql: str, params: Sequence[Any] = (), *, max_age_s: float | None = None) -> Answer:
        """Run a statement that changes nothing; it is retried whenever that may help."""
        body = {"sql": sql, "params": list(params), "access": "read"}
        if max_age_s is not None:
            body["max_age_ms"] = max_age_s * 1000
        return _answer(self._call(_statements(database), body, repeatable=True))

    def write(
        self, database: str, sql: str, params: Sequence[Any] = (), *, idempotency_key: str | None = None
    ) -> Answer:
        """Run a statement that may change data.

        Args:
            database: Name of the database.
            sql: Statement text.
            params: Positional parameters.
            idempotency_key: Makes a retry safe after an answer was lost; without it only refusals that certainly did
                not run are retried.
        """
        body = {"sql": sql, "params": list(params), "access": "write"}
        headers = {} if idempotency_key is None else {"Idempotency-Key": idempotency_key}
        return _answer(self._call(_statements(database), body, headers, repeatable=idempotency_key is not None))

    @contextlib.contextmanager
    def transaction(self, database: str) -> Iterator["Transaction"]:
        """Open a transaction; commit at the end of the block, roll back if the block raises."""
        path = f"/v1/databases/{urllib.parse.quote(database, safe='')}/transactions"
        number = self._call(path, {})["transaction"]
        opened = Transaction(self, number)
        try:
            yield opened
        except BaseException:
            with contextlib.suppress(RefusedError):
                opened.finish("rollback")
            raise
        opened.finish("commit")

    def close(self) -> None:
        """Close the connection."""
        self._connection.close()

    def _call(
        self, path: str, body: dict[str, Any], headers: dict[str, str] | None = None, *, repeatable: bool = False
    ) -> dict[str, Any]:
        for attempt in range(1, self._attempts + 1):
            try:
                with self._lock:
                    return self._send(path, body, headers or {})
            except RefusedError as error:
                if attempt == self._attempts or self._is_far(error) or not _may_retry(error, repeatable):
                    raise
                self._sleep(self._backoff(attempt, error.refusal.retry_after_s))
        raise AssertionError("unreachable")

    def _is_far(self, error: RefusedError) -> bool:
        # An earlier retry than the server asks for would be refused again.
        return (error.refusal.retry_after_s or 0.0) > self._longest_backoff_s

    def _backoff(self, attempt: int, retry_after_s: float | None) -> float:
        # Jitter keeps clients that were refused together from returning together.
        wait = self._first_backoff_s * 2 ** (attempt - 1) * random.uniform(0.5, 1.5)
        if retry_after_s is not None:
            wait = max(wait, retry_after_s * random.uniform(1.0, 1.25))
        return wait if retry_after_s is not None else min(wait, self._longest_backoff_s)

    def _send(self, path: str, body: dict[str, Any], extra: dict[str, str]) -> dict[str, Any]:
        headers = {"Authorization": f"Bearer {self._key}", "Content-Type": "application/json", **extra}
        if self._positions:
            headers["Currantlead-Session"] = self.session
        raw = json.dumps(body).encode()
        try:
            if self._connection.sock is None:
                self._connection.connect()
        except OSError as error:
            raise RefusedError(_lost(verdict.Verdict.NOT_RUN, f"no connection: {type(error).__name__}")) from None
        try:
            self._connection.request("POST", path, raw, headers)
            response = self._connection.getresponse()
            status, fields, text = response.status, response.headers, response.read()
            answer = json.loads(text)
            self._advance(fields.get("Currantlead-Session"))
        except (OSError, http.client.HTTPException, ValueError, errors.MalformedTokenError) as error:
            # The connection may still carry the late answer to this request, so it is not used again.
            self._connection.close()
            raise RefusedError(_lost(verdict.Verdict.MAY_HAVE_RUN, f"no answer: {type(error).__name__}")) from None
        if status != 200:
            raise RefusedError(_refusal(answer, fields.get("Retry-After")), status, str(answer.get("request", "")))
        return answer

    def _advance(self, token: str | None) -> None:
        for database, position in tokens.parse(token).items():
            self._positions = tokens.advance(self._positions, database, position)


class Transaction:
    """Run statements of an open transaction."""

    def __init__(self, client: Client, number: str):
        self._client = client
        self._path = f"/v1/transactions/{urllib.parse.quote(number, safe='')}"

    def execute(self, sql: str, params: Sequence[Any] = (), *, access: str = "write") -> Answer:
        """Run one statement; it is retried only if it certainly did not run."""
        body = {"sql": sql, "params": list(params), "access": access}
        return _answer(self._client._call(f"{self._path}/statements", body))

    def finish(self, action: str) -> None:
        """Commit or roll back; ``transaction`` does it at the end of its block."""
        self._client._call(f"{self._path}/{action}", {})


def _statements(database: str) -> str:
    return f"/v1/databases/{urllib.parse.quote(database, safe='')}/statements"


def _may_retry(error: RefusedError, repeatable: bool) -> bool:
    if error.refusal.verdict is verdict.Verdict.NOT_RUN:
        # Other codes name a fault of the request, which a retry would meet again.
        return error.status == 0 or error.status in _TRANSIENT
    return repeatable


def _lost(kind: verdict.Verdict, detail: str) -> verdict.Refusal:
    return verdict.Refusal(verdict.Reason.UNREACHABLE, kind, detail)


def _refusal(answer: dict[str, Any], retry_after: str | None) -> verdict.Refusal:
    try:
        kind = verdict.Verdict(answer["verdict"])
        reason = verdict.Reason(answer["reason"])
    except (KeyError, ValueError, TypeError):
        return _lost(verdict.Verdict.MAY_HAVE_RUN, "the refusal has no known verdict")
    wait = float(retry_after) if retry_after is not None and retry_after.isdigit() else None
    return verdict.Refusal(reason, kind, str(answer.get("detail", "")), wait)


def _answer(body: dict[str, Any]) -> Answer:
    rows = tuple(tuple(row) for row in body["rows"])
    return Answer(tuple(body["columns"]), rows, body["changed"], body["request"])
