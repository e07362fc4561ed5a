"""Works figures for the letter's size out of the measured slopes.

Each figure is a formula over the sizes below and the slopes and
daemon figures of ``docs/capacity.json``.
"""

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Any
from typing import Final

from bench.capacity import Slope
from bench.capacity_daemon import Figures

INSTANCES: Final = 31_000
POOLS: Final = 118
TEAMS: Final = 290
ZONES: Final = 27
CHANGES_PER_DAY: Final = 9_200
BURST: Final = 50
DAY_S: Final = 86_400
HOUR_S: Final = 3_600
MAINTENANCE_DAYS: Final = 28
SHARD: Final = 121
POOL_SIZE: Final = 263
JOBS: Final = 160
PLAN_WRITES: Final = 6
SLOTS: Final = 8
RUN_S: Final = 10.0
GROUP: Final = 7
WORKERS_PER_GROUP: Final = 40
THREADS: Final = 64
GROUPS: Final = INSTANCES // WORKERS_PER_GROUP
ENTRIES: Final = GROUPS * GROUP
HEARTBEATS_S: Final = 2.0

CORE_PERCENT: Final = 1.4
MEMORY_MB: Final = 64.0
BYTES_S: Final = 6_000.0
IN_FORCE_S: Final = 4.0
STORE_READS_S: Final = 2_000.0
STORE_WRITES_S: Final = 300.0

CHANGES_S: Final = CHANGES_PER_DAY / DAY_S
REQUESTS_S: Final = WORKERS_PER_GROUP * SLOTS / RUN_S
MB: Final = 1_000_000.0
PERCENT_OF_US: Final = 100 / 1_000_000


class Role(Enum):
    """A role that an entry instance plays."""

    ENTRY = 'caller edge'
    QUEUE = 'queue and share'
    ROUTING = 'routing'
    RIGHTS = 'rights'
    MEMBERSHIP = 'membership'
    CONFIGURATION = 'configuration fan-out'
    POOL = 'pool controller'
    WAVE = 'wave controller'
    JOBS = 'job placement'
    TELEMETRY = 'telemetry'


class Column(Enum):
    """What the page gives for each role."""

    STATE = 'state'
    MESSAGES = 'messages'
    PROCESSOR = 'processor'
    MEMORY = 'memory'


UNITS: Final = {
    Column.STATE: 'records',
    Column.MESSAGES: 'bytes/s',
    Column.PROCESSOR: '% of a core',
    Column.MEMORY: 'MB',
}
BOUNDS: Final = {
    Column.STATE: None,
    Column.MESSAGES: BYTES_S,
    Column.PROCESSOR: CORE_PERCENT,
    Column.MEMORY: MEMORY_MB,
}


@dataclass(frozen=True, slots=True)
class Measured:
    """All that the runs gave."""

    slopes: dict[str, Slope]
    daemons: dict[str, Figures]

    def at(self, name: str, size: float) -> float:
        """Return a probe's cost at a size, by its fitted line."""
        return self.slopes[name].at(size)

    def each(self, name: str) -> float:
        """Return a probe's cost for one more."""
        return self.slopes[name].slope


Formula = Callable[[Measured], float]


@dataclass(frozen=True, slots=True)
class Row:
    """One figure of a role; ``formula`` is None where no run gave one."""

    role: Role
    column: Column
    text: str
    formula: Formula | None

    def value(self, measured: Measured) -> float | None:
        """Return the figure, None when it was not measured."""
        return None if self.formula is None else self.formula(measured)

    def verdict(self, measured: Measured) -> str:
        """Return how the figure compares with the letter's bound."""
        return judge(
            self.value(measured), BOUNDS[self.column], UNITS[self.column]
        )


@dataclass(frozen=True, slots=True)
class StoreRow:
    """Calls of the store a second in one situation."""

    situation: str
    kind: str
    text: str
    bound: float
    formula: Formula | None

    def verdict(self, measured: Measured) -> str:
        """Return how the figure compares with what the store takes."""
        value = None if self.formula is None else self.formula(measured)
        return judge(value, self.bound, 'calls/s')


def judge(value: float | None, bound: float | None, unit: str) -> str:
    """Return a verdict on a figure that must not exceed a bound."""
    if value is None:
        return 'not measured'
    if bound is None:
        return 'no bound stated'
    if value <= bound:
        return 'holds'
    return f'falls short by {number(value - bound)} {unit}'


def number(value: float) -> str:
    """Return a number with three significant digits."""
    if value == 0:
        return '0'
    if abs(value) >= 100:
        return f'{value:,.0f}'
    return f'{value:.3g}'


def state(role: Role, text: str, records: float | None) -> Row:
    """Return the state row of a role; counts need no run."""
    if records is None:
        return Row(role, Column.STATE, text, None)
    return Row(role, Column.STATE, text, lambda measured: records)


def ask_bytes(measured: Measured) -> float:
    """Return bytes of the messages of one request."""
    return measured.at('request_bytes', 1)


def config_bytes_s(measured: Measured) -> float:
    """Return bytes a second of changes of placement shards."""
    return CHANGES_S * measured.at('shard_delta_bytes', SHARD)


def heartbeat_bytes_s(peers: int) -> Formula:
    """Return bytes a second sent as heartbeats, one echo in each."""
    return lambda measured: (
        HEARTBEATS_S * peers * measured.at('heartbeat_bytes', 0)
    )


def calls_per_node(measured: Measured, is_out: bool = False) -> float:
    """Return one daemon's store calls a second, as built."""
    figures = measured.daemons['letter']
    calls_s = figures.outage_calls_s if is_out else figures.store_calls_s
    return calls_s / GROUP


def from_dict(data: dict[str, Any]) -> Measured:
    """Return what ``docs/capacity.json`` holds, typed."""
    return Measured(
        {name: Slope(**item) for name, item in data['slopes'].items()},
        {item['situation']: Figures(**item) for item in data['daemons']},
    )
