"""State charts, read from data files and run through ``transitions``.

A chart has no guards, so the state after a trigger depends on the pair
alone. The library is asked once for each pair and its answer kept; a
call of the library takes too long for every message on the loop.
"""

from functools import cache
from importlib import resources
from logging import getLogger
from logging import WARNING

from msgspec import json
from msgspec import Struct
from transitions import Machine
from transitions import MachineError

from primroseledge.errors import ChartError

# The library logs each transition at level INFO.
getLogger('transitions').setLevel(WARNING)


class ChartState(Struct, frozen=True, forbid_unknown_fields=True):
    """A state and what it means."""

    name: str
    note: str = ''


class ChartTransition(Struct, frozen=True, forbid_unknown_fields=True):
    """What a trigger does in one or more states."""

    trigger: str
    source: str | list[str]
    dest: str

    @property
    def sources(self) -> list[str]:
        """Return the source states as a list."""
        return [self.source] if isinstance(self.source, str) else self.source


class ChartFile(Struct, frozen=True, forbid_unknown_fields=True):
    """A chart as its file gives it."""

    name: str
    title: str
    initial: str
    states: list[ChartState]
    transitions: list[ChartTransition]


class ChartModel:
    """What the library moves from state to state."""

    state: str


class Chart:
    """An interpreted chart; it holds no state of its users."""

    def __init__(self, file: ChartFile) -> None:
        self.file = file
        self.name = file.name
        self.initial = file.initial
        self.model = ChartModel()
        self.machine = Machine(
            model=self.model,
            states=[state.name for state in file.states],
            initial=file.initial,
            auto_transitions=False,
        )
        for transition in file.transitions:
            for source in transition.sources:
                self.machine.add_transition(
                    transition.trigger, source, transition.dest
                )
        self.known: dict[tuple[str, str], str] = {}

    def advance(self, state: str, trigger: str) -> str:
        """Return the state after a trigger.

        Raises ChartError when the chart has no such transition.
        """
        pair = (state, trigger)
        if pair not in self.known:
            self.known[pair] = self.interpret(state, trigger)
        return self.known[pair]

    def interpret(self, state: str, trigger: str) -> str:
        """Have the library carry out one transition."""
        try:
            self.machine.set_state(state)
            self.model.trigger(trigger)  # type: ignore[attr-defined]
        except (MachineError, AttributeError, ValueError) as error:
            raise ChartError(f'{self.name}: {error}') from error
        return self.model.state


@cache
def load_chart(name: str) -> Chart:
    """Return the chart of ``charts/<name>.json``, made once."""
    path = resources.files('primroseledge') / 'charts' / f'{name}.json'
    return Chart(json.decode(path.read_bytes(), type=ChartFile))
