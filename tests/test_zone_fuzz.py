"""Randomized tests of evacuations while processes and the store fail.

They guard against a start in a zone that has been evacuated for longer than
an owner may need to know, and against jobs that are lost by an evacuation.
"""

import unittest

from primroseledge.cluster.commands import StoreUnavailable
from primroseledge.cluster.commands import WatchedKeysRead
from primroseledge.cluster.fleet_ownership import FleetOwnership
from primroseledge.cluster.fleet_view import FleetView
from primroseledge.ids import ZoneId
from tests.test_fleet_fuzz import FaultScenario

ZONES = (ZoneId('east'), ZoneId('west'))
SEEDS = range(300, 312)
BROKEN_WATCH_S = 2.5
"""Seconds after which a watch whose connection was dropped has timed out."""


class WatchlessView(FleetView):
    """A view that gets no watched keys."""

    __slots__ = ()

    def apply_keys(
        self, event: WatchedKeysRead, ownership: FleetOwnership, now: float
    ) -> None:
        pass


class ZoneScenario(FaultScenario):
    """A scenario whose operators also evacuate and return zones."""

    def __init__(self, seed: int) -> None:
        super().__init__(seed)
        for number, worker in enumerate(self.world.workers.values()):
            worker.zone = ZONES[number % len(ZONES)]
        for at in (3.0, 15.0, 28.0):
            delay_s = at + self.random.uniform(0, 6)
            self.world.schedule_after(delay_s, self.fault_evacuate)

    def evacuate(self, zone: ZoneId) -> None:
        """Store the key of an evacuation, unless the store is down."""
        storage = self.world.storage
        evacuated = self.rule_checker.evacuated
        if storage.is_down or zone in evacuated:
            return
        self.world.record_trace(f'evacuate {zone}')
        storage.revision += 1
        storage.put(f'out/{zone}', b'{}', 0)  # type: ignore[arg-type]
        evacuated[zone] = self.world.now

    def give_back(self, zone: ZoneId) -> None:
        """Remove the key of an evacuation, unless the store is down."""
        if self.world.storage.is_down:
            return
        self.world.record_trace(f'return {zone}')
        self.world.storage.remove(f'out/{zone}')
        self.rule_checker.evacuated.pop(zone, None)

    def fault_evacuate(self) -> None:
        zone = self.random.choice(ZONES)
        self.evacuate(zone)
        self.world.schedule_after(
            self.random.uniform(4, 14), lambda: self.give_back(zone)
        )

    def fault_evacuate_and_lose_owner(self) -> None:
        self.fault_evacuate()
        for entry, sim in list(self.world.nodes.items()):
            if sim.node.engine is not None:
                self.world.kill(entry, self.random.uniform(0.3, 3))

    def fault_break_watch(self) -> None:
        """Let one instance get no watched keys; its other calls work."""
        sim = self.world.nodes[self.random.choice(sorted(self.world.nodes))]
        node, view = sim.node, sim.node.view
        view.__class__ = WatchlessView

        def time_out() -> None:
            view.handle_store_unavailable(
                StoreUnavailable('timed out'), self.world.now
            )

        def reconnect() -> None:
            view.__class__ = FleetView
            self.world.read_keys(sim)

        self.world.record_trace(f'break the watch of {node.entry}')
        self.world.schedule_after(BROKEN_WATCH_S, time_out)
        self.world.schedule_after(self.random.uniform(3, 9), reconnect)

    def clear_faults(self) -> None:
        super().clear_faults()
        for zone in ZONES[1:]:
            self.give_back(zone)


class ZoneFuzzTest(unittest.TestCase):
    def test_no_start_in_an_evacuated_zone(self) -> None:
        for seed in SEEDS:
            with self.subTest(seed=seed):
                scenario = ZoneScenario(seed)
                violations = scenario.run()
                detail = '\n'.join([*violations[:8], *scenario.world.trace])
                self.assertEqual([], violations[:8], detail)
                self.assertGreater(scenario.rule_checker.start_count, 100)


if __name__ == '__main__':
    unittest.main()
