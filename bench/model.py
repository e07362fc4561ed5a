"""Check the agreement's specifications in full; prints JSON.

The larger search visits some two million states and takes minutes.
"""

import sys
from time import monotonic
from typing import Any

from minicheck import check_safety
from minicheck import Protocol
from msgspec import json

from tests.specification import protocol as ownership
from tests.specification import Spec
from tests.specification_views import protocol as views
from tests.specification_views import Spec as ViewsSpec

MAX_STATES = 5_000_000


def measure(model: Protocol) -> dict[str, Any]:
    """Return what a full search found, its size and time."""
    began = monotonic()
    result = check_safety(model, max_states=MAX_STATES)
    return {
        'states': result['reachable_states'],
        'is_exhaustive': result['exhaustive'],
        'holds': {
            name: found['holds']
            for name, found in result['properties'].items()
        },
        'seconds': round(monotonic() - began, 1),
    }


def main() -> int:
    """Check all; return 1 when an invariant is not proved."""
    results = {
        'ownership, 3 epochs, 1 crash': measure(ownership(Spec())),
        'views, 1 crash': measure(views(ViewsSpec())),
    }
    sys.stdout.write(json.format(json.encode(results)).decode() + '\n')
    proved = [
        holds is True
        for result in results.values()
        for holds in result['holds'].values()
    ]
    return 0 if all(proved) else 1


if __name__ == '__main__':
    sys.exit(main())
