"""Create the engine of a new owner from what its store thread has read."""

from primroseledge.cluster.commands import JobsRestored
from primroseledge.cluster.fleet_view import FleetView
from primroseledge.jobs.configuration import Configuration
from primroseledge.owner.engine import create_engine
from primroseledge.owner.engine import Engine
from primroseledge.owner.recovery import restore_engine
from primroseledge.scheduling.timing import Timing


def create_restored_engine(
    configuration: Configuration,
    view: FleetView,
    event: JobsRestored,
    timing: Timing,
    wall_offset_s: float,
    owned_since: float,
    now: float,
) -> Engine:
    """Return an engine with the jobs, runs and waves of stored records.

    ``event`` has the records and the list of workers; its read began after
    ``owned_since``. ``wall_offset_s`` added to ``now`` is the wall-clock time.
    Times are in seconds.
    """
    engine = create_engine(configuration, now, wall_offset_s, timing)
    restore_engine(
        engine,
        event.accepted,
        event.progress,
        event.waves,
        view.decode_workers(event.workers),
        now,
        owned_since,
    )
    engine.outbox.packs = event.packs
    engine.instance_list.waves = dict(view.waves)
    return engine
