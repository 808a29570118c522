"""Status requests and commands of replication, sent to instances on connections of the proxy itself."""

import asyncio
import dataclasses
from collections.abc import Awaitable, Callable, Iterable

from currantlead import errors, logs
from currantlead.platform import lines
from currantlead.sessions import model
from currantlead.sessions.instances import link

STATUS_TIMEOUT_S = 0.5
"""Time limit of a status request. A live instance answers within milliseconds; opening the connection takes up to 30 ms
more."""
REPLICATION_WAIT_S = 0.25
"""Time within which a connected replica receives a commit: one way takes 12 ms, and applying the log takes longer."""
ORGANISATION = "-"
"""Organisation named on connections of the proxy itself, which belong to no caller."""
CODEC = lines.InstanceCodec()

MakeRoom = Callable[[model.Instance], Awaitable[bool]]

_log = logs.part("succession")


@dataclasses.dataclass(slots=True)
class Refusals:
    """Instances that refused a connection.

    Attributes:
        full: Identities of those that accept no more connections, and so are alive.
        absent: Those that do not run at their addresses.
    """

    full: set[str] = dataclasses.field(default_factory=set)
    absent: list[model.Instance] = dataclasses.field(default_factory=list)


async def connect(instance: model.Instance, make_room: MakeRoom) -> link.Link | None:
    """Open a connection to an instance; return None if it cannot be opened, which is logged.

    Args:
        instance: The instance.
        make_room: Closes an idle connection to a full instance; returns whether there was one.
    """
    links: dict[str, link.Link] = {}
    await connect_all([instance], links, make_room)
    return links.get(instance.id)


async def connect_all(
    instances: Iterable[model.Instance], links: dict[str, link.Link], make_room: MakeRoom
) -> Refusals:
    """Open connections to instances, add them to ``links``, by identity, and return which refused.

    A connection is added as soon as it is open, so that the caller can close it if it is cancelled.
    """
    refusals = Refusals()

    async def add(instance: model.Instance) -> None:
        try:
            try:
                links[instance.id] = await link.Link.connect(instance, ORGANISATION)
            except errors.LinkRefusedError as error:
                if not error.overloaded or not await make_room(instance):
                    raise
                links[instance.id] = await link.Link.connect(instance, ORGANISATION)
        except errors.LinkRefusedError as error:
            _log.bind(instance=instance.id).info("status request failed: {}", error)
            if error.overloaded:
                refusals.full.add(instance.id)
            if error.absent:
                refusals.absent.append(instance)

    await asyncio.gather(*map(add, instances))
    return refusals


async def send(connection: link.Link, message: bytes) -> model.InstanceStatus | None:
    """Send a status request or a command; return the status in the answer, or None if there is none."""
    try:
        (reply,) = await connection.exchange(message, timeout_s=STATUS_TIMEOUT_S)
        if reply.failure is not None or not reply.rows:
            _log.bind(instance=connection.instance.id).info("status request refused: {}", reply.result)
            return None
        return CODEC.decode_status(reply.rows[0])
    except (errors.LinkLostError, errors.MalformedFrameError) as error:
        _log.bind(instance=connection.instance.id).info("status request failed: {}", error)
        return None


async def send_to_all(links: Iterable[link.Link], message: bytes) -> list[model.InstanceStatus | None]:
    """Send a message on several connections; return the statuses in the answers."""
    return list(await asyncio.gather(*(send(item, message) for item in links)))


async def probe(instance: model.Instance) -> tuple[bool, bool]:
    """Return whether an instance is alive, and whether it accepts connections.

    One that refuses because it has too many connections is alive.
    """
    try:
        connection = await link.Link.connect(instance, ORGANISATION)
    except errors.LinkRefusedError as error:
        return error.overloaded, error.overloaded
    status = await send(connection, CODEC.encode_status())
    connection.close()
    return status is not None, True
