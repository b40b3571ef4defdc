"""State machines defined by the charts under ``charts/``.

A chart is a JSON object with ``states``, ``initial`` and ``transitions``
(``[trigger, source, target]``); the `transitions` package runs it.
"""

import json
from functools import cache
from importlib.resources import files

from transitions import Machine, MachineError

from wisteriapulley.errors import ResultCode, WisteriapulleyError


@cache
def load_chart(name: str) -> dict:
    """Read the chart `name`.

    Parameters
    ----------
    name : str
        File name under ``charts/`` without the extension.

    Returns
    -------
    dict
        Keys ``states``, ``initial``, ``transitions``.
    """
    text = files("wisteriapulley").joinpath("charts", f"{name}.json").read_text()
    return json.loads(text)


class StateChart:
    """State of one object, which changes only along the edges of its chart.

    Parameters
    ----------
    name : str
        Name of the chart.
    on_enter : callable, optional
        Called with the new state after each transition.
    """

    def __init__(self, name: str, on_enter=None):
        chart = load_chart(name)
        self.name = name
        self.on_enter = on_enter
        self.machine = Machine(
            model=self,
            states=chart["states"],
            initial=chart["initial"],
            transitions=chart["transitions"],
            auto_transitions=False,
            after_state_change="notify",
        )

    def fire(self, trigger: str) -> None:
        """Follow the edge `trigger` of the chart.

        Raises
        ------
        WisteriapulleyError
            UNEXPECTED_MESSAGE: the chart has no such edge from the current state.
        """
        try:
            self.trigger(trigger)
        except (MachineError, AttributeError) as error:
            raise WisteriapulleyError(
                ResultCode.UNEXPECTED_MESSAGE,
                f"chart {self.name} has no edge {trigger!r} from {self.state!r}",
            ) from error

    def can(self, trigger: str) -> bool:
        """Return whether the chart has the edge `trigger` from the current state."""
        return trigger in self.machine.get_triggers(self.state)

    def notify(self) -> None:
        """Call `on_enter` with the new state."""
        if self.on_enter is not None:
            self.on_enter(self.state)
