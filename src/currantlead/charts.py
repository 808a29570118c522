"""State machines defined by ``charts/*.json``, run by the transitions library."""

import functools
import importlib.resources
import json
from typing import Any

import transitions


@functools.cache
def load(name: str) -> dict[str, Any]:
    """Load a chart with its initial state, states and transitions.

    Args:
        name: Name of the file in ``charts``, without its suffix.

    Returns:
        The decoded chart.
    """
    text = importlib.resources.files("currantlead").joinpath("charts", f"{name}.json").read_text(encoding="utf-8")
    return json.loads(text)


def attach(model: object, name: str) -> transitions.Machine:
    """Add the attribute ``state`` and a method for each trigger of a chart to an object.

    Args:
        model: The object; its ``state`` is changed only by triggers.
        name: Name of the chart.

    Returns:
        The state machine; a trigger that the state does not allow raises ``transitions.MachineError``.
    """
    chart = load(name)
    return transitions.Machine(
        model=model,
        states=chart["states"],
        transitions=chart["transitions"],
        initial=chart["initial"],
        auto_transitions=False,
    )
