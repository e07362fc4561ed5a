"""Replace the builds of the entry instances one after another in a soak.

All begin with the first build. Then each instance in turn is asked to leave,
and comes back with the next build, until all have it; and so on. Instances of
two builds run side by side meanwhile, with jobs under way, and each takes over
from the other.
"""

from collections.abc import Sequence
from pathlib import Path
from threading import Thread
from time import sleep
from typing import Final

from standins.builds import export_build
from standins.job_soak_fleet import JobFleet

GAP_S: Final = 0.3
"""Time in s until a replaced instance is started again."""


class BuildReplacer:
    """Replaces the builds of a fleet's entry instances during a soak.

    ``replaced`` are the instances that got another build, by the revisions of
    these. Used as a context manager while the fleet is up; it ends when all
    are replaced.
    """

    def __init__(
        self, fleet: JobFleet, revisions: Sequence[str], seconds: float
    ) -> None:
        self.fleet = fleet
        self.revisions = revisions
        self.seconds = seconds
        self.folder = fleet.folder / 'builds'
        self.sources: dict[str, Path | None] = {}
        self.replaced: dict[str, list[str]] = {}
        self.thread = Thread(target=self.run)

    def prepare(self) -> None:
        """Take the builds from the history, and set the first one."""
        for revision in self.revisions:
            if revision not in self.sources:
                source = export_build(revision, self.folder)
                self.sources[revision] = source
        self.fleet.entries.first_source = self.sources[self.revisions[0]]

    def run(self) -> None:
        """Replace the instances, spread over the time of the soak."""
        names = sorted(self.fleet.entries.settings)
        steps = len(names) * (len(self.revisions) - 1) + 1
        for revision in self.revisions[1:]:
            for name in names:
                sleep(self.seconds / steps)
                self.fleet.entries.replace(name, self.sources[revision], GAP_S)
                self.replaced.setdefault(revision, []).append(name)

    def __enter__(self) -> None:
        self.thread.start()

    def __exit__(self, *_: object) -> None:
        self.thread.join()
