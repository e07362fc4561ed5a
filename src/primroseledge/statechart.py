"""State charts: data files under charts/, interpreted by transitions.

A file holds ``{"initial": ..., "states": [...], "transitions":
[{"trigger", "source", "dest"}]}``; ``source`` may be a list or ``*``.
"""

from functools import lru_cache
from importlib.resources import files
from logging import getLogger
from logging import WARNING
from typing import Any

from msgspec import json
from transitions import Machine

from primroseledge.errors import PrimroseledgeError

getLogger('transitions').setLevel(WARNING)


class TransitionError(PrimroseledgeError):
    """A trigger is not allowed in the present state."""


class _Model:
    """Holds the state that transitions changes."""

    state: str = ''


class StateChart:
    """A chart as a function from state and trigger to the next state."""

    def __init__(self, name: str, definition: dict[str, Any]) -> None:
        self.name = name
        self.initial: str = definition['initial']
        self._machine = Machine(
            model=None,
            states=definition['states'],
            initial=self.initial,
            transitions=definition['transitions'],
            auto_transitions=False,
        )

    @property
    def states(self) -> tuple[str, ...]:
        """Return the names of the states."""
        return tuple(self._machine.states)

    def can(self, state: str, trigger: str) -> bool:
        """Tell whether the trigger is allowed in the state."""
        return trigger in self._machine.get_triggers(state)

    def next(self, state: str, trigger: str) -> str:
        """Return the state that follows; raise TransitionError."""
        if not self.can(state, trigger):
            raise TransitionError(
                f'{self.name}: {trigger} is not possible when {state}'
            )
        model = _Model()
        self._machine.add_model(model, initial=state)
        model.trigger(trigger)  # type: ignore[attr-defined]
        self._machine.remove_model(model)
        return model.state


@lru_cache
def load_chart(name: str) -> StateChart:
    """Return the chart in ``charts/<name>.json``."""
    path = files('primroseledge').joinpath(f'charts/{name}.json')
    return StateChart(name, json.decode(path.read_bytes()))
