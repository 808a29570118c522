"""Parts that are on only where the settings ask for them.

They are imported when they are created: their data classes take time and memory at the start of a VM, which counts
when all VMs start after a power loss.
"""

import random
from collections.abc import Callable, Mapping
from typing import TYPE_CHECKING, Any

from currantlead.sessions import settings

if TYPE_CHECKING:
    from currantlead.sessions.callers import access_control
    from currantlead.sessions.instances import answer_health, load_reports
    from currantlead.sessions.routing import completion, targets
    from currantlead.sessions.usage import service

WHERE_PATH = "/where"
"""Path at the address of metrics that explains where a statement would go."""


def create_usage(config: settings.SessionSettings, *parts: Any, **functions: Callable) -> "service.UsageService | None":
    """Return the usage reports, or None without them; see ``service.UsageService``."""
    if not config.usage_reports.enabled:
        return None
    from currantlead.sessions.usage import service

    return service.UsageService.from_config(config, *parts, **functions)


def create_load_reports(config: settings.SessionSettings, *parts: Any) -> "load_reports.LoadReports | None":
    """Return the exchange of load reports, or None without it; see ``load_reports.LoadReports``."""
    if not config.load_management.load_reports:
        return None
    from currantlead.sessions.instances import load_reports

    return load_reports.LoadReports.from_config(config, *parts)


def create_answer_health(config: settings.SessionSettings, *parts: Any) -> "answer_health.AnswerHealth | None":
    """Return the health of the instances by their answers, or None without it; see ``answer_health.AnswerHealth``."""
    if not config.load_management.answer_health:
        return None
    from currantlead.sessions.instances import answer_health

    return answer_health.AnswerHealth.from_config(config, *parts)


def create_completion_placement(
    switches: settings.LoadManagement, rng: random.Random
) -> "completion.CompletionPlacement | None":
    """Return the placement by expected completion, or None without it."""
    if not switches.completion_placement:
        return None
    from currantlead.sessions.routing import completion

    return completion.CompletionPlacement(switches, rng)


def create_placement_query(
    vm: str, selector: "targets.TargetSelector", access: "access_control.AccessControl"
) -> Callable[[Mapping[str, str]], dict[str, object]]:
    """Return the function that answers where a statement would go; see ``where.PlacementQuery``."""

    def answer(parameters: Mapping[str, str]) -> dict[str, object]:
        from currantlead.sessions.routing import where

        return where.PlacementQuery(vm, selector, access).answer(parameters)

    return answer
