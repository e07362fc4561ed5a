"""Write the page of the state charts from their files.

Usage: ``python -m tools.charts`` writes docs/CHARTS.md, and with
``--check`` fails when that differs.
"""

from pathlib import Path
import sys

from primroseledge.chart import ChartFile
from primroseledge.chart import load_chart

CHARTS: Path = Path('src/primroseledge/charts')
PAGE: Path = Path('docs/CHARTS.md')
HEAD = """# State charts

Made from `src/primroseledge/charts/*.json` by `python -m tools.charts`.
"""


def render_page() -> str:
    """Return the page's text."""
    names = sorted(path.stem for path in CHARTS.glob('*.json'))
    return HEAD + ''.join(render_chart(load_chart(n).file) for n in names)


def render_chart(chart: ChartFile) -> str:
    """Return one chart's section, with its picture in Mermaid."""
    lines = ['', f'## {chart.title}', '', '```mermaid', 'stateDiagram-v2']
    lines.append(f'    [*] --> {chart.initial}')
    for transition in chart.transitions:
        for source in transition.sources:
            lines.append(
                f'    {source} --> {transition.dest}: {transition.trigger}'
            )
    lines += ['```', '', '| state | meaning |', '| --- | --- |']
    lines += [f'| {state.name} | {state.note} |' for state in chart.states]
    return '\n'.join(lines) + '\n'


def main(arguments: list[str]) -> int:
    """Write or check the page; return the exit code."""
    page = render_page()
    if '--check' in arguments:
        return 0 if PAGE.read_text() == page else 1
    PAGE.write_text(page)
    return 0


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
