"""Client library: keeps the session token and retries a request only if its verdict makes that safe."""

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

from currantlead import errors, messages, session_tokens, verdict

_RETRYABLE_STATUSES = frozenset({429, 503})


class RefusedError(errors.CurrantleadError):
    """Raised if a request was refused, could not be sent, or got no valid response.

    Attributes:
        refusal: Reason and verdict; the verdict ``MAY_HAVE_RUN`` means that a write may have taken effect.
        status: HTTP status code; 0 if no response was received.
        request: Request id, as in the logs of the VMs; empty if no response was received.
    """

    def __init__(self, refusal: verdict.Refusal, status: int = 0, request: str = ""):
        super().__init__(f"{refusal.verdict.value}: {refusal.reason.value}: {refusal.detail}")
        self.refusal = refusal
        self.status = status
        self.request = request


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """Result of a completed statement.

    Attributes:
        columns: Column names.
        rows: Result rows.
        changed: Number of changed rows.
        request: Request id, as in the logs of the VMs.
    """

    columns: tuple[str, ...]
    rows: tuple[tuple[Any, ...], ...]
    changed: int
    request: str


class Client:
    """Client for one session.

    Methods may be called from several threads; requests are sent one at a time.
    """

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
        """Create a client, which connects on the first request.

        Args:
            url: URL of a VM or of the load balancer, such as ``http://127.0.0.1:8080``.
            key: API key of the organisation.
            attempts: Maximum number of attempts for each call.
            timeout_s: Timeout of one request; must exceed the proxy's own limit of 30 s.
            first_backoff_s: Mean delay before the first retry; doubles with each retry.
            longest_backoff_s: Maximum delay before a retry; if Retry-After exceeds it, the refusal is raised at once.
            sleep: Function that waits for a number of seconds; replaced in tests.

        Raises:
            ValueError: The URL is not of the form ``http://HOST[:PORT]``.
        """
        address = urllib.parse.urlsplit(url)
        if address.scheme != "http" or not address.hostname:
            raise ValueError("url: must have the form http://HOST[:PORT]")
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
        """Session token, with which another process can continue the session."""
        return session_tokens.render(self._positions)

    def resume(self, token: str) -> None:
        """Merge the positions of a session token into this session; positions never move backwards."""
        self._merge_token(token)

    def read(self, database: str, sql: str, params: Sequence[Any] = (), *, max_age_s: float | None = None) -> Answer:
        """Run a read-only statement, with retries.

        Args:
            database: Name of the database.
            sql: SQL statement.
            params: Positional parameters.
            max_age_s: Maximum age of the data, or None to require only session consistency.

        Raises:
            RefusedError: The statement did not complete.
        """
        body = {"sql": sql, "params": list(params), "access": "read"}
        if max_age_s is not None:
            body["max_age_ms"] = max_age_s * 1000
        return _parse_answer(self._call(_statements_path(database), body, idempotent=True))

    def write(
        self, database: str, sql: str, params: Sequence[Any] = (), *, idempotency_key: str | None = None
    ) -> Answer:
        """Run a statement that may change data.

        Args:
            database: Name of the database.
            sql: SQL statement.
            params: Positional parameters.
            idempotency_key: Makes it safe to retry after a lost response; without a key, a request is retried only if
                it certainly did not run.

        Raises:
            RefusedError: The statement did not complete.
        """
        body = {"sql": sql, "params": list(params), "access": "write"}
        headers = {} if idempotency_key is None else {"Idempotency-Key": idempotency_key}
        return _parse_answer(
            self._call(_statements_path(database), body, headers, idempotent=idempotency_key is not None)
        )

    @contextlib.contextmanager
    def transaction(self, database: str) -> Iterator["Transaction"]:
        """Open a transaction that commits at the end of the block, or rolls back if the block raises."""
        path = f"/v1/databases/{urllib.parse.quote(database, safe='')}/transactions"
        transaction_id = self._call(path, {})["transaction"]
        transaction = Transaction(self, transaction_id)
        try:
            yield transaction
        except BaseException:
            with contextlib.suppress(RefusedError):
                transaction.finish("rollback")
            raise
        transaction.finish("commit")

    def close(self) -> None:
        """Close the connection."""
        self._connection.close()

    def _call(
        self, path: str, body: dict[str, Any], headers: dict[str, str] | None = None, *, idempotent: bool = False
    ) -> dict[str, Any]:
        for attempt in range(1, self._attempts + 1):
            try:
                with self._lock:
                    return self._send(path, body, headers or {})
            except RefusedError as error:
                if (
                    attempt == self._attempts
                    or self._exceeds_max_backoff(error)
                    or not _is_retryable(error, idempotent)
                ):
                    raise
                self._sleep(self._backoff(attempt, error.refusal.retry_after_s))
        raise AssertionError("unreachable")

    def _exceeds_max_backoff(self, error: RefusedError) -> bool:
        # A retry before Retry-After has passed would be refused, so give up at once if Retry-After exceeds the maximum
        # backoff.
        return (error.refusal.retry_after_s or 0.0) > self._longest_backoff_s

    def _backoff(self, attempt: int, retry_after_s: float | None) -> float:
        # Jitter prevents clients that were refused at the same time from retrying at the same time.
        wait = self._first_backoff_s * 2 ** (attempt - 1) * random.uniform(0.5, 1.5)
        if retry_after_s is not None:
            wait = max(wait, retry_after_s * random.uniform(1.0, 1.25))
        return wait if retry_after_s is not None else min(wait, self._longest_backoff_s)

    def _send(self, path: str, body: dict[str, Any], extra_headers: dict[str, str]) -> dict[str, Any]:
        headers = {"Authorization": f"Bearer {self._key}", "Content-Type": "application/json", **extra_headers}
        if self._positions:
            headers["Currantlead-Session"] = self.session
        request_body = json.dumps(body).encode()
        try:
            if self._connection.sock is None:
                self._connection.connect()
        except OSError as error:
            raise RefusedError(
                _transport_refusal(verdict.Verdict.NOT_RUN, f"connection failed: {type(error).__name__}")
            ) from None
        try:
            self._connection.request("POST", path, request_body, headers)
            response = self._connection.getresponse()
            status, response_headers, response_body = response.status, response.headers, response.read()
            answer = json.loads(response_body)
            self._merge_token(response_headers.get("Currantlead-Session"))
        except (OSError, http.client.HTTPException, ValueError, errors.MalformedTokenError) as error:
            # The response to this request may still arrive on the connection, so it must not be reused.
            self._connection.close()
            raise RefusedError(
                _transport_refusal(verdict.Verdict.MAY_HAVE_RUN, f"no valid response: {type(error).__name__}")
            ) from None
        if status != 200:
            raise RefusedError(
                _parse_refusal(answer, response_headers.get("Retry-After")), status, str(answer.get("request", ""))
            )
        return answer

    def _merge_token(self, token: str | None) -> None:
        for database, position in session_tokens.parse(token).items():
            self._positions = session_tokens.advance(self._positions, database, position)


class Transaction:
    """Open transaction, created by ``Client.transaction``."""

    def __init__(self, client: Client, transaction_id: str):
        self._client = client
        self._path = f"/v1/transactions/{urllib.parse.quote(transaction_id, safe='')}"

    def execute(self, sql: str, params: Sequence[Any] = (), *, access: str = "write") -> Answer:
        """Run one statement; it is retried only if it certainly did not run.

        Raises:
            RefusedError: The statement did not complete.
        """
        body = {"sql": sql, "params": list(params), "access": access}
        return _parse_answer(self._client._call(f"{self._path}/statements", body))

    def finish(self, action: str) -> None:
        """Finish the transaction; ``Client.transaction`` calls this at the end of its block.

        Args:
            action: ``commit`` or ``rollback``.

        Raises:
            RefusedError: The transaction was not finished.
        """
        self._client._call(f"{self._path}/{action}", {})


def _statements_path(database: str) -> str:
    return f"/v1/databases/{urllib.parse.quote(database, safe='')}/statements"


def _is_retryable(error: RefusedError, idempotent: bool) -> bool:
    if error.refusal.verdict is verdict.Verdict.NOT_RUN:
        # Other statuses report an error in the request, which a retry would not resolve.
        return error.status == 0 or error.status in _RETRYABLE_STATUSES
    return idempotent


def _transport_refusal(request_verdict: verdict.Verdict, detail: str) -> verdict.Refusal:
    return verdict.Refusal(verdict.Reason.UNREACHABLE, request_verdict, detail)


def _parse_refusal(answer: dict[str, Any], retry_after: str | None) -> verdict.Refusal:
    try:
        request_verdict = verdict.Verdict(answer["verdict"])
        reason = verdict.Reason(answer["reason"])
    except (KeyError, ValueError, TypeError):
        return _transport_refusal(verdict.Verdict.MAY_HAVE_RUN, "the response contains no known verdict")
    wait = float(retry_after) if retry_after is not None and retry_after.isdigit() else None
    return verdict.Refusal(reason, request_verdict, str(answer.get("detail", "")), wait)


def _parse_answer(body: dict[str, Any]) -> Answer:
    rows = tuple(tuple(row) for row in body["rows"])
    return Answer(tuple(body["columns"]), rows, body["changed"], body["request"])
