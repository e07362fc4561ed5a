"""The store's rows in docs/CAPACITY.md: in words and as code."""

from typing import Final

from tools.capacity_figures import BURST
from tools.capacity_figures import calls_per_node
from tools.capacity_figures import CHANGES_S
from tools.capacity_figures import ENTRIES
from tools.capacity_figures import GROUPS
from tools.capacity_figures import Measured
from tools.capacity_figures import POOL_SIZE
from tools.capacity_figures import POOLS
from tools.capacity_figures import STORE_READS_S
from tools.capacity_figures import STORE_WRITES_S
from tools.capacity_figures import StoreRow
from tools.capacity_figures import ZONES


def controller_calls_s(measured: Measured) -> float:
    """Return store calls a second of all pool and job controllers."""
    jobs = measured.slopes['job_step_calls'].costs[0]
    return POOLS * measured.at('pool_step_calls', POOL_SIZE) + GROUPS * jobs


STORE_ROWS: Final = (
    StoreRow(
        'calm',
        'reads of controllers',
        '118 x pool_step_calls at 263 + 775 x job_step_calls at 40 jobs, a '
        'step each second',
        STORE_READS_S,
        controller_calls_s,
    ),
    StoreRow(
        'calm',
        'all reads',
        f'the above + one watcher in each of {GROUPS} groups (not built)',
        STORE_READS_S,
        lambda m: controller_calls_s(m) + calls_per_node(m) * GROUPS,
    ),
    StoreRow(
        'calm',
        'all reads',
        'the same with a wait of 5 s in watches and steps each 2 s (not '
        'built)',
        STORE_READS_S,
        lambda m: controller_calls_s(m) / 2 + calls_per_node(m) * GROUPS / 10,
    ),
    StoreRow(
        'calm',
        'reads and watches',
        f'groups of 7 in 4 zones, 2 watchers a zone as built: calls/s a '
        f'daemon x {ENTRIES:,}',
        STORE_READS_S,
        lambda m: calls_per_node(m) * ENTRIES,
    ),
    StoreRow(
        'calm',
        'reads and watches',
        f'one mesh, 2 watchers in each of {ZONES} zones as built',
        STORE_READS_S,
        lambda m: calls_per_node(m) * 2 * ZONES,
    ),
    StoreRow(
        'calm',
        'reads and watches',
        f'one watcher in each of {GROUPS} groups (not built)',
        STORE_READS_S,
        lambda m: calls_per_node(m) * GROUPS,
    ),
    StoreRow(
        'calm',
        'writes',
        'changes/s',
        STORE_WRITES_S,
        lambda m: CHANGES_S,
    ),
    StoreRow(
        '50 changes in a burst',
        'writes',
        '50 / 4 s',
        STORE_WRITES_S,
        lambda m: BURST / 4.0,
    ),
    StoreRow(
        '50 changes in a burst',
        'reads and watches',
        f'each change ends the watch of {GROUPS} watchers (not built): '
        '50 / 4 s x groups + calm',
        STORE_READS_S,
        lambda m: (BURST / 4.0 + calls_per_node(m)) * GROUPS,
    ),
    StoreRow(
        '50 changes in a burst',
        'reads and watches',
        f'the same with a pause of 0.5 s before the next watch (not built): '
        f'2/s x {GROUPS}',
        STORE_READS_S,
        lambda m: 2.0 * GROUPS,
    ),
    StoreRow(
        'after a zone loss',
        'reads and watches',
        'one watcher in a group (not built), calm x 26/27: a dead watcher '
        'is replaced, and no call is made for each instance lost',
        STORE_READS_S,
        lambda m: calls_per_node(m) * GROUPS * 26 / 27,
    ),
    StoreRow(
        'after a zone loss',
        'writes',
        'takeovers of cells and claims of failed instances',
        STORE_WRITES_S,
        None,
    ),
    StoreRow(
        'in an outage',
        'reads and watches',
        f'groups as built: calls/s a daemon in an outage x {ENTRIES:,}',
        STORE_READS_S,
        lambda m: calls_per_node(m, is_out=True) * ENTRIES,
    ),
    StoreRow(
        "after an hour's outage",
        'reads and watches',
        f'whole reads of {GROUPS} watchers (not built) within the 0.5 s of '
        "the last retry's random delay",
        STORE_READS_S,
        lambda m: GROUPS / 0.5,
    ),
    StoreRow(
        "after an hour's outage",
        'reads and watches',
        f'the same spread evenly over 4 s (not built): {GROUPS} / 4 s',
        STORE_READS_S,
        lambda m: GROUPS / 4.0,
    ),
    StoreRow(
        'regions apart for an hour',
        'reads and watches',
        'one watcher in a group (not built): a region without the store '
        'retries as in an outage; the store has 6/7 of calm',
        STORE_READS_S,
        lambda m: calls_per_node(m) * GROUPS * 6 / 7,
    ),
    StoreRow(
        'regions apart for an hour',
        'writes',
        'writes of takeovers in the region that lost the store',
        STORE_WRITES_S,
        None,
    ),
)
