"""Measure the slopes again and write the tables of docs/CAPACITY.md.

Usage: ``python -m tools.capacity [--render]``. With ``--render`` only
the tables are written, from the committed ``docs/capacity.json``.
"""

from collections.abc import Iterable
from pathlib import Path
from signal import signal
from signal import SIGTERM
import sys
from typing import Any
from typing import Final

from msgspec import json

from bench.capacity import measure_slope
from bench.capacity import Slope
from bench.capacity_cores import core_probes
from bench.capacity_daemon import Figures
from bench.capacity_daemon import measure_daemons
from bench.capacity_daemon import SITUATIONS
from bench.capacity_peers import peer_probes
from bench.capacity_policy import policy_probes
from tools.capacity_figures import BOUNDS
from tools.capacity_figures import from_dict
from tools.capacity_figures import IN_FORCE_S
from tools.capacity_figures import judge
from tools.capacity_figures import Measured
from tools.capacity_figures import number
from tools.capacity_figures import UNITS
from tools.capacity_rows import ROWS
from tools.capacity_store import STORE_ROWS

DATA_PATH: Final = Path('docs/capacity.json')
PAGE_PATH: Final = Path('docs/CAPACITY.md')
BEGIN: Final = '<!-- generated: {} -->'
END: Final = '<!-- end -->'


def measure() -> dict[str, Any]:
    """Run every probe and every measurement of daemons."""
    slopes = {}
    probes = core_probes() | peer_probes() | policy_probes()
    for name, item in probes.items():
        slopes[name] = measure_slope(item)
        print(f'{name}: {slopes[name].slope} {item.unit}', flush=True)
    daemons = []
    for situation in SITUATIONS:
        daemons.append(measure_daemons(situation))
        print(daemons[-1], flush=True)
    return {'slopes': slopes, 'daemons': daemons}


def role_table(measured: Measured) -> str:
    """Return the table of roles."""
    lines = ['role | what | formula | figure | bound | verdict']
    for row in ROWS:
        unit, bound = UNITS[row.column], BOUNDS[row.column]
        value = row.value(measured)
        lines.append(
            ' | '.join(
                (
                    row.role.value,
                    row.column.value,
                    row.text,
                    '-' if value is None else f'{number(value)} {unit}',
                    '-' if bound is None else f'{number(bound)} {unit}',
                    row.verdict(measured),
                )
            )
        )
    return table(lines)


def store_table(measured: Measured) -> str:
    """Return the table of the store's calls."""
    lines = ['situation | calls | formula | calls/s | takes | verdict']
    for row in STORE_ROWS:
        value = None if row.formula is None else row.formula(measured)
        lines.append(
            f'{row.situation} | {row.kind} | {row.text} | '
            f'{"-" if value is None else number(value)} | '
            f'{number(row.bound)} | {row.verdict(measured)}'
        )
    return table(lines)


def slope_table(measured: Measured) -> str:
    """Return the table of slopes."""
    lines = ['probe | slope | least to greatest | base | sizes | costs']
    lines += [slope_line(*item) for item in measured.slopes.items()]
    return table(lines)


def slope_line(name: str, slope: Slope) -> str:
    """Return one line of the table of slopes."""
    sizes = ', '.join(f'{size:,}' for size in slope.sizes)
    costs = ', '.join(number(cost) for cost in slope.costs)
    return (
        f'`{name}` | {number(slope.slope)} {slope.unit} per {slope.per} | '
        f'{number(slope.low)} to {number(slope.high)} | '
        f'{number(slope.base)} | {sizes} | {costs}'
    )


def daemon_table(measured: Measured) -> str:
    """Return the table of the daemons that ran."""
    lines = [
        'situation | memory, MB | verdict | core, % | verdict | '
        'one change in force, s | burst of 50, s | verdict | '
        'store calls/s, all 7 | in an outage'
    ]
    lines += [daemon_line(figures) for figures in measured.daemons.values()]
    return table(lines)


def daemon_line(figures: Figures) -> str:
    """Return one line of the table of daemons."""
    memory, core = figures.memory_mb, figures.core_percent
    memory_verdict = judge(memory[2], 64.0, 'MB')
    core_verdict = judge(core[2], 1.4, '% of a core')
    burst_verdict = judge(figures.burst_s, IN_FORCE_S, 's')
    return (
        f'{figures.situation} | {memory[0]:.1f} to {memory[2]:.1f} | '
        f'{memory_verdict} | {core[0]:.1f} to {core[2]:.1f} | '
        f'{core_verdict} | {figures.change_s[0]} to {figures.change_s[2]} | '
        f'{figures.burst_s} | {burst_verdict} | {figures.store_calls_s} | '
        f'{figures.outage_calls_s}'
    )


def table(lines: Iterable[str]) -> str:
    """Return a Markdown table; the first line is its head."""
    head, *rest = lines
    rule = ' | '.join('---' for _ in head.split(' | '))
    return '\n'.join(f'| {line} |' for line in (head, rule, *rest))


TABLES: Final = {
    'roles': role_table,
    'store': store_table,
    'daemons': daemon_table,
    'slopes': slope_table,
}


def render(page: str, measured: Measured) -> str:
    """Return the page with its tables written anew."""
    for name, build in TABLES.items():
        begin = BEGIN.format(name)
        before, _, rest = page.partition(begin)
        if not rest:
            raise SystemExit(f'no {begin} in {PAGE_PATH}')
        _, _, after = rest.partition(END)
        page = f'{before}{begin}\n\n{build(measured)}\n\n{END}{after}'
    return page


def load() -> Measured:
    """Return the committed figures."""
    return from_dict(json.decode(DATA_PATH.read_bytes()))


def main(arguments: list[str]) -> int:
    """Measure unless told only to render; write the page."""
    signal(SIGTERM, lambda *_: sys.exit(1))
    if '--render' not in arguments:
        data = json.encode(measure())
        DATA_PATH.write_bytes(json.format(data, indent=1) + b'\n')
    PAGE_PATH.write_text(render(PAGE_PATH.read_text(), load()))
    return 0


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
