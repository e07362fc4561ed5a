"""Check that the platform's names stay in the adapter.

The folder of the adapter translates, so it may use the platform's words;
nothing else under ``src/`` may use the names of its calls and fields.
"""

from collections.abc import Iterator
from pathlib import Path
import re
import tokenize
from typing import Final

ADAPTER: Final = 'platform'

PLATFORM_NAMES: Final = re.compile(
    r'\b(kv-\w+|run-(start|stop)|machine-(move|upkeep)|fencing_token'
    r'|last_seen|memory_request_mb|api_keys|slack_factor|allow_anonymous'
    r'|task_spec|may_miss|anti_affinity|estimated_duration_ms'
    r'|Expected-Instance|Duty-Holder|op/(config|wave|evacuate)|servers/)'
)


def is_in_adapter(path: Path, source: Path) -> bool:
    """Tell whether a file belongs to the adapter."""
    return path.relative_to(source).parts[0] == ADAPTER


def find_leaked_names(source: Path) -> Iterator[str]:
    """Yield a line for each of the platform's names outside the adapter."""
    for path in sorted(source.rglob('*.py')):
        if is_in_adapter(path, source):
            continue
        with path.open('rb') as file:
            for token in tokenize.tokenize(file.readline):
                found = PLATFORM_NAMES.search(token.string)
                if found and token.type != tokenize.COMMENT:
                    yield (
                        f'{path.name}:{token.start[0]}: {found[0]!r} is a '
                        f'name of the platform; it stays in {ADAPTER}/'
                    )
