"""Explanation of where a statement would go now; nothing is sent, and no decision is changed."""

from collections.abc import Mapping

from currantlead import errors
from currantlead.sessions import clock, model
from currantlead.sessions.callers import access_control
from currantlead.sessions.routing import operations, targets

PATH = "/where"
"""Path of the queries on the address of the metrics."""


class PlacementQuery:
    """Answers operators' questions with the state on which this VM bases its decisions.

    Args:
        vm: Name of this VM.
        selector: Chooses the instances.
        access: Knows the routes, and the regions in which an organisation's statements may run.
    """

    def __init__(self, vm: str, selector: targets.TargetSelector, access: access_control.AccessControl):
        self._vm = vm
        self._selector = selector
        self._access = access

    def answer(self, parameters: Mapping[str, str]) -> dict[str, object]:
        """Return where a statement would go, as a JSON-compatible map.

        Args:
            parameters: ``database``; optionally ``organisation``, and ``write`` for a write.

        Raises:
            errors.UnknownNameError: The database is unknown.
        """
        database, organisation = parameters.get("database", ""), parameters.get("organisation", "")
        route = self._access.route(database)
        if route is None:
            raise errors.UnknownNameError(f"unknown database {database!r}")
        identity = access_control.CallerIdentity(database, organisation, "")
        regions = self._access.allowed_regions(identity, route)
        result = {"vm": self._vm, "database": database, "organisation": organisation, "service": route.service}
        if regions is None:
            return result | {"needs": "no allowed region", "instances": []}
        now = clock.now()
        context = operations.Context(route, organisation, regions, {}, {}, now, None, lambda: None)
        is_write = "write" in parameters
        if is_write or route.consistency is model.Consistency.PRIMARY:
            needs = "the primary"
        else:
            needs = "the primary: no recent sample" if self._selector.lacks_sample(context) else "any instance"
        return result | {"needs": needs, "instances": self._selector.explain(context, is_write, now)}


def render(answer: Mapping[str, object]) -> list[str]:
    """Return an answer as lines of text."""
    lines = [
        f"{answer['vm']}: {answer['database']} of {answer['organisation'] or 'nobody'} needs {answer['needs']}",
        "",
    ]
    lines.append("instance             share  distance      wait ms  service ms  trip ms  cost ms  remarks")
    for row in answer["instances"]:
        figures = [row.get(name) for name in ("wait_ms", "service_ms", "round_trip_ms", "leave_ms")]
        wait, service, trip, cost = ("-" if figure is None else f"{figure:.1f}" for figure in figures)
        lines.append(
            f"{row['instance']:<20} {row['probability']:>5.0%}  {row['distance']:<12} {wait:>8} {service:>11} {trip:>8}"
            f" {cost:>8}  {', '.join(row['remarks'])}".rstrip()
        )
    return lines
