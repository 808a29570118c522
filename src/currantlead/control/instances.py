"""HTTP client for the status and the term of instances."""

from typing import Any, Protocol

import aiohttp
import pydantic

from currantlead.control import failover, model

# Two polls, 0.5 s apart, must end within the 1 s after which a primary is suspected.
REQUEST_TIMEOUT_S = 0.45


class _StatusBody(pydantic.BaseModel):
    instance: str
    role: str
    term: int
    log_term: int | None = pydantic.Field(default=None, validation_alias="received_term")
    index: int
    received_index: int
    primary_contact_age: float | None = None
    leaving: bool = False


class InstanceClient(Protocol):
    """Interface of the client of instances; each method returns None if there is no usable answer."""

    async def status(self, instance: model.Instance) -> failover.InstanceStatus | None:
        """Return the status of an instance."""

    async def set_term(self, group: model.Group, command: failover.SetTerm) -> failover.InstanceStatus | None:
        """Send an instance a command that sets its term, and return its status afterwards."""


class HttpInstanceClient:
    """Client of instances that uses a shared HTTP session."""

    def __init__(self, session: aiohttp.ClientSession, *, timeout_s: float = REQUEST_TIMEOUT_S):
        """Initialize the client.

        Args:
            session: HTTP session, which the caller closes.
            timeout_s: Time-out for a complete answer in seconds.
        """
        self._session = session
        self._timeout = aiohttp.ClientTimeout(total=timeout_s)

    async def status(self, instance: model.Instance) -> failover.InstanceStatus | None:
        """Return the status of an instance, or None if there is no usable answer."""
        return await self._call("GET", instance, "/status", None)

    async def set_term(self, group: model.Group, command: failover.SetTerm) -> failover.InstanceStatus | None:
        """Send an instance a command that sets its term, and return its status afterwards.

        Args:
            group: The group's record, which lists the addresses of the instances.
            command: The command.

        Returns:
            The status, or None if there is no usable answer or the group does not contain the instance.
        """
        instance = group.instance(command.instance)
        if instance is None:
            return None
        primary = group.instance(command.primary)
        body = {
            "term": command.term,
            "role": command.role,
            "primary": command.primary or None,
            "primary_url": primary.url if primary is not None else None,
            "start_index": command.start_index,
            "peers": [{"name": i.name, "url": i.url} for i in group.instances if i.name != command.instance],
        }
        return await self._call("POST", instance, "/term", body)

    async def _call(
        self, method: str, instance: model.Instance, path: str, body: dict[str, Any] | None
    ) -> failover.InstanceStatus | None:
        url = instance.url.rstrip("/") + path
        try:
            async with self._session.request(method, url, json=body, timeout=self._timeout) as response:
                if response.status != 200:
                    return None
                answer = _StatusBody.model_validate(await response.json())
        except (TimeoutError, aiohttp.ClientError, OSError, ValueError):
            return None
        # The address may meanwhile belong to another instance.
        return failover.InstanceStatus(**answer.model_dump()) if answer.instance == instance.name else None
