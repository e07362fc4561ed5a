"""The rows of the roles in docs/CAPACITY.md: in words and as code."""

from typing import Final

from primroseledge.agreement.fanout import heartbeat_peers
from primroseledge.ids import EntryId
from tools.capacity_figures import ask_bytes
from tools.capacity_figures import BURST
from tools.capacity_figures import CHANGES_S
from tools.capacity_figures import Column
from tools.capacity_figures import config_bytes_s
from tools.capacity_figures import DAY_S
from tools.capacity_figures import ENTRIES
from tools.capacity_figures import GROUP
from tools.capacity_figures import heartbeat_bytes_s
from tools.capacity_figures import HEARTBEATS_S
from tools.capacity_figures import INSTANCES
from tools.capacity_figures import JOBS
from tools.capacity_figures import MAINTENANCE_DAYS
from tools.capacity_figures import MB
from tools.capacity_figures import PERCENT_OF_US
from tools.capacity_figures import PLAN_WRITES
from tools.capacity_figures import POOL_SIZE
from tools.capacity_figures import POOLS
from tools.capacity_figures import REQUESTS_S
from tools.capacity_figures import Role
from tools.capacity_figures import Row
from tools.capacity_figures import SHARD
from tools.capacity_figures import state
from tools.capacity_figures import TEAMS
from tools.capacity_figures import THREADS
from tools.capacity_figures import WORKERS_PER_GROUP


def tree_peers() -> int:
    """Return the most heartbeat peers of a node in the tree."""
    entries = tuple(EntryId(f'entry-{number}') for number in range(ENTRIES))
    return len(heartbeat_peers(entries[0], entries))


ENTRY_ROWS: Final = (
    state(Role.ENTRY, '64 server threads, one open call each', THREADS),
    Row(
        Role.ENTRY,
        Column.MESSAGES,
        'requests/s of a group / 7 x bytes of Ask, Grant, Done, DoneAck',
        lambda m: REQUESTS_S / GROUP * ask_bytes(m),
    ),
    Row(
        Role.ENTRY,
        Column.PROCESSOR,
        'requests/s of a group / 7 x (entry_request_us + key_check_us '
        '+ freshness_check_us at 7 members); HTTP itself left out',
        lambda m: (
            REQUESTS_S
            / GROUP
            * PERCENT_OF_US
            * (
                m.at('entry_request_us', THREADS)
                + m.at('key_check_us', TEAMS)
                + m.at('freshness_check_us', GROUP)
            )
        ),
    ),
    Row(
        Role.ENTRY,
        Column.MEMORY,
        'empty daemon + 64 x open_call_bytes',
        lambda m: (
            m.daemons['empty'].memory_mb[1]
            + THREADS * m.each('open_call_bytes') / MB
        ),
    ),
)

QUEUE_ROWS: Final = (
    state(
        Role.QUEUE,
        'queue_limit 1,000 waiting + 40 x 8 running, one cell',
        1000 + WORKERS_PER_GROUP * 8,
    ),
    Row(
        Role.QUEUE,
        Column.MESSAGES,
        'requests/s of a group x bytes of Ask, Grant, Done, DoneAck x 6/7',
        lambda m: REQUESTS_S * ask_bytes(m) * (GROUP - 1) / GROUP,
    ),
    Row(
        Role.QUEUE,
        Column.PROCESSOR,
        'requests/s of a group x (dispatch_by_pool_us at 40 '
        '+ dispatch_by_teams_us per team x 290)',
        lambda m: (
            REQUESTS_S
            * PERCENT_OF_US
            * (
                m.at('dispatch_by_pool_us', WORKERS_PER_GROUP)
                + m.each('dispatch_by_teams_us') * TEAMS
            )
        ),
    ),
    Row(
        Role.QUEUE,
        Column.MEMORY,
        '1,000 x waiting_bytes + requests/s x 600 s x remembered_bytes',
        lambda m: (
            (
                1000 * m.each('waiting_bytes')
                + REQUESTS_S * 600 * m.each('remembered_bytes')
            )
            / MB
        ),
    ),
)

ROUTING_ROWS: Final = (
    state(Role.ROUTING, 'a slot count for each instance', INSTANCES),
    Row(
        Role.ROUTING,
        Column.MESSAGES,
        'none of its own: it reads the placement in force',
        lambda m: 0.0,
    ),
    Row(
        Role.ROUTING,
        Column.PROCESSOR,
        'requests/s of a group x dispatch_by_fleet_us at 31,000 '
        '(each node has the whole placement)',
        lambda m: (
            REQUESTS_S
            * PERCENT_OF_US
            * m.at('dispatch_by_fleet_us', INSTANCES)
        ),
    ),
    Row(
        Role.ROUTING,
        Column.MEMORY,
        '31,000 x instance_bytes',
        lambda m: INSTANCES * m.each('instance_bytes') / MB,
    ),
)

RIGHTS_ROWS: Final = (
    state(Role.RIGHTS, '290 teams with 2 keys each', 2 * TEAMS),
    Row(
        Role.RIGHTS,
        Column.MESSAGES,
        'changes/s x team_delta_bytes for one team',
        lambda m: CHANGES_S * m.at('team_delta_bytes', 1),
    ),
    Row(
        Role.RIGHTS,
        Column.PROCESSOR,
        'changes/s x keyring_rebuild_us at 290 teams',
        lambda m: (
            CHANGES_S * PERCENT_OF_US * m.at('keyring_rebuild_us', TEAMS)
        ),
    ),
    Row(
        Role.RIGHTS,
        Column.MEMORY,
        '290 x team_bytes',
        lambda m: TEAMS * m.each('team_bytes') / MB,
    ),
)

MEMBERSHIP_ROWS: Final = (
    state(Role.MEMBERSHIP, '6 peers of the group', GROUP - 1),
    Row(
        Role.MEMBERSHIP,
        Column.MESSAGES,
        'in groups of 7: 2/s x 6 x heartbeat_bytes with one echo',
        heartbeat_bytes_s(GROUP - 1),
    ),
    Row(
        Role.MEMBERSHIP,
        Column.PROCESSOR,
        '2/s x 6 x heartbeat_us at 6 peers',
        lambda m: (
            HEARTBEATS_S
            * (GROUP - 1)
            * PERCENT_OF_US
            * m.at('heartbeat_us', GROUP - 1)
        ),
    ),
    Row(
        Role.MEMBERSHIP,
        Column.MEMORY,
        '6 x peer_bytes',
        lambda m: (GROUP - 1) * m.each('peer_bytes') / MB,
    ),
    Row(
        Role.MEMBERSHIP,
        Column.MESSAGES,
        f'as built, all {ENTRIES:,} in one mesh: 2/s x peers x '
        'heartbeat_bytes with one echo',
        heartbeat_bytes_s(ENTRIES - 1),
    ),
    Row(
        Role.MEMBERSHIP,
        Column.MESSAGES,
        f'in a tree over all {ENTRIES:,} (`fanout`, not wired in): 2/s x '
        'peers of the first x heartbeat_bytes with one echo',
        heartbeat_bytes_s(tree_peers()),
    ),
)

CONFIGURATION_ROWS: Final = (
    state(
        Role.CONFIGURATION,
        '257 shards of 121 instances, 118 pools, 118 services, 290 teams',
        INSTANCES // SHARD + 2 * POOLS + TEAMS,
    ),
    Row(
        Role.CONFIGURATION,
        Column.MESSAGES,
        'received: changes/s x shard_delta_bytes at 121, all of them '
        'changes of placement',
        config_bytes_s,
    ),
    Row(
        Role.CONFIGURATION,
        Column.MESSAGES,
        'sent by the one that watches: 6 x the above',
        lambda m: (GROUP - 1) * config_bytes_s(m),
    ),
    Row(
        Role.CONFIGURATION,
        Column.MESSAGES,
        'in a burst: 50 x shard_delta_bytes at 121 / 4 s',
        lambda m: BURST * m.at('shard_delta_bytes', SHARD) / 4.0,
    ),
    Row(
        Role.CONFIGURATION,
        Column.MESSAGES,
        'in a burst, with shards of 1 (not built): 50 x shard_delta_bytes per '
        'instance / 4 s',
        lambda m: BURST * m.each('shard_delta_bytes') / 4.0,
    ),
    Row(
        Role.CONFIGURATION,
        Column.PROCESSOR,
        'changes/s x placement_change_us at 31,000',
        lambda m: (
            CHANGES_S * PERCENT_OF_US * m.at('placement_change_us', INSTANCES)
        ),
    ),
    Row(
        Role.CONFIGURATION,
        Column.MEMORY,
        'whole daemon with 31,000 instances, 118 pools, 290 teams',
        lambda m: m.daemons['letter'].memory_mb[1],
    ),
)

POOL_ROWS: Final = (
    state(Role.POOL, 'one pool of 263 instances on a node', POOL_SIZE),
    Row(
        Role.POOL,
        Column.MESSAGES,
        'read from the store: plan_bytes at 263, a step each second',
        lambda m: m.at('plan_bytes', POOL_SIZE),
    ),
    Row(
        Role.POOL,
        Column.PROCESSOR,
        'pool_step_us at 263, a step each second',
        lambda m: PERCENT_OF_US * m.at('pool_step_us', POOL_SIZE),
    ),
    Row(
        Role.POOL,
        Column.MEMORY,
        'pool_bytes at 263',
        lambda m: m.at('pool_bytes', POOL_SIZE) / MB,
    ),
)

WAVE_ROWS: Final = (
    state(Role.WAVE, 'a step for each of 263 instances', POOL_SIZE),
    Row(
        Role.WAVE,
        Column.MESSAGES,
        'written to the store: 263 instances in 28 days x 6 states x '
        'plan_bytes at 263',
        lambda m: (
            POOL_SIZE
            / (MAINTENANCE_DAYS * DAY_S)
            * PLAN_WRITES
            * m.at('plan_bytes', POOL_SIZE)
        ),
    ),
    Row(
        Role.WAVE,
        Column.PROCESSOR,
        'wave_step_us at 263, a step each second',
        lambda m: PERCENT_OF_US * m.at('wave_step_us', POOL_SIZE),
    ),
    Row(
        Role.WAVE,
        Column.MEMORY,
        "the pool's: pool_bytes at 263",
        lambda m: m.at('pool_bytes', POOL_SIZE) / MB,
    ),
)

JOB_ROWS: Final = (
    state(Role.JOBS, '4 jobs on each of 40 workers of a group', JOBS),
    Row(
        Role.JOBS,
        Column.MESSAGES,
        'read from the store: job_record_bytes at 160, a step each second',
        lambda m: m.at('job_record_bytes', JOBS),
    ),
    Row(
        Role.JOBS,
        Column.PROCESSOR,
        'job_step_us at 160, a step each second',
        lambda m: PERCENT_OF_US * m.at('job_step_us', JOBS),
    ),
    Row(
        Role.JOBS,
        Column.MEMORY,
        'job_bytes at 160, the stand-ins among them',
        lambda m: m.at('job_bytes', JOBS) / MB,
    ),
)

TELEMETRY_ROWS: Final = (
    state(Role.TELEMETRY, 'series of 118 services', POOLS),
    Row(
        Role.TELEMETRY,
        Column.MESSAGES,
        'metrics_page_bytes at 118 services, read every 60 s',
        lambda m: m.at('metrics_page_bytes', POOLS) / 60,
    ),
    Row(
        Role.TELEMETRY,
        Column.PROCESSOR,
        'metrics_page_us at 118 services, read every 60 s',
        lambda m: PERCENT_OF_US * m.at('metrics_page_us', POOLS) / 60,
    ),
    Row(
        Role.TELEMETRY,
        Column.MEMORY,
        'metrics_bytes at 118 services',
        lambda m: m.at('metrics_bytes', POOLS) / MB,
    ),
)

ROWS: Final = (
    *ENTRY_ROWS,
    *QUEUE_ROWS,
    *ROUTING_ROWS,
    *RIGHTS_ROWS,
    *MEMBERSHIP_ROWS,
    *CONFIGURATION_ROWS,
    *POOL_ROWS,
    *WAVE_ROWS,
    *JOB_ROWS,
    *TELEMETRY_ROWS,
)
