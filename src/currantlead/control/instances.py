"""Ask instances for their status and tell them terms over HTTP."""

from typing import Any, Protocol

import aiohttp
import pydantic

from currantlead.control import failover, model

# Two polls of 0.5 s must fit into the second after which a primary is suspected.
TIMEOUT_S = 0.45


class _StatusBody(pydantic.BaseModel):
    instance: str
    role: str
    term: int
    log_term: int | None = pydantic.Field(default=None, validation_alias="received_term")
    index: int
    received_index: int
    primary_contact_age: float | None = None
    leaving: bool = False


class Instances(Protocol):
    """Describe the client of instances; None stands for no usable answer."""

    async def status(self, instance: model.Instance) -> failover.Status | None:
        """Return what an instance reports about itself."""

    async def set_term(self, group: model.Group, order: failover.SetTerm) -> failover.Status | None:
        """Tell an instance a term and return its status after that."""


class HttpInstances:
    """Talk to instances over HTTP with one shared session."""

    def __init__(self, session: aiohttp.ClientSession, *, timeout_s: float = TIMEOUT_S):
        """Take the session to use.

        Args:
            session: Session of the daemon; the caller closes it.
            timeout_s: Seconds to wait for a complete answer.
        """
        self._session = session
        self._timeout = aiohttp.ClientTimeout(total=timeout_s)

    async def status(self, instance: model.Instance) -> failover.Status | None:
        """Return what an instance reports about itself, or None."""
        return await self._call("GET", instance, "/status", None)

    async def set_term(self, group: model.Group, order: failover.SetTerm) -> failover.Status | None:
        """Tell an instance a term and return its status after that, or None."""
        instance = group.instance(order.instance)
        if instance is None:
            return None
        primary = group.instance(order.primary)
        body = {
            "term": order.term,
            "role": order.role,
            "primary": order.primary or None,
            "primary_url": primary.url if primary is not None else None,
            "start_index": order.start_index,
            "peers": [{"name": i.name, "url": i.url} for i in group.instances if i.name != order.instance],
        }
        return await self._call("POST", instance, "/term", body)

    async def _call(
        self, method: str, instance: model.Instance, path: str, body: dict[str, Any] | None
    ) -> failover.Status | None:
        url = instance.url.rstrip("/") + path
        try:
            async with self._session.request(method, url, json=body, timeout=self._timeout) as response:
                if response.status != 200:
                    return None
                answer = _StatusBody.model_validate(await response.json())
        except (TimeoutError, aiohttp.ClientError, OSError, ValueError):
            return None
        # An address may have been given to another instance in the meantime.
        return failover.Status(**answer.model_dump()) if answer.instance == instance.name else None
