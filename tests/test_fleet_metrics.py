"""The metrics of an entry instance on the platform."""

import unittest

from primroseledge.ids import ServiceId
from primroseledge.ids import WorkspaceId
from primroseledge.observability.events import Event
from primroseledge.observability.fleet_figures import EstimateError
from primroseledge.observability.fleet_figures import FleetFigures
from primroseledge.observability.fleet_figures import TaskCount
from primroseledge.observability.fleet_figures import WorkerCount
from primroseledge.observability.fleet_metrics import create_fleet_metrics
from primroseledge.observability.fleet_metrics import EventCounter
from primroseledge.observability.logs import event_record
from primroseledge.observability.logs import FieldValue

COPPER = ServiceId('copper')
SALES = WorkspaceId('sales')


class FleetMetricsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.metrics = create_fleet_metrics()
        self.counter = EventCounter(self.metrics)

    def log(self, event: Event, **fields: FieldValue) -> None:
        self.counter.emit(event_record(event, fields))

    def check(self, *lines: str) -> None:
        page = self.metrics.page().decode()
        for line in lines:
            self.assertIn(f'primroseledge_{line}\n', page)

    def test_events_are_counted_with_what_they_tell(self) -> None:
        self.log(Event.JOB_REFUSED, job='a', reason='store')
        self.log(Event.JOB_REFUSED, job='b', reason='store')
        self.log(Event.JOB_ENDED, job='c', state='completed', seconds=3.5)
        self.log(Event.JOB_STARTED, job='c', seconds=0.7)
        self.log(Event.JOBS_RESTORED, epoch=2, jobs=3, active=1, seconds=0.2)
        self.log(Event.RUN_ENDED, task='c-0', run=1, worker='w', how='done')
        self.log(Event.COPY_CONTINUES, task='c-0', run=2, worker='w')
        self.check(
            'copies_total{outcome="continues"} 1',
            'events_total{event="job_refused"} 2',
            'jobs_refused_total{reason="store"} 2',
            'job_seconds_bucket{le="3.0",state="completed"} 0.0',
            'job_seconds_bucket{le="4.0",state="completed"} 1.0',
            'first_start_seconds_sum 0.7',
            'takeover_seconds_count 1.0',
            'runs_ended_total{how="done"} 1',
        )

    def test_calls_and_steps_are_timed(self) -> None:
        self.metrics.call_ended('SubmitRequest', 'done', 0.02)
        self.metrics.store_step_ended('StoreBatch', 'BatchStored', 0.004)
        self.check(
            'call_seconds_count{kind="SubmitRequest",verdict="done"} 1.0',
            'store_step_seconds_bucket'
            '{le="0.005",result="BatchStored",step="StoreBatch"} 1.0',
        )

    def test_what_an_owner_no_longer_holds_becomes_zero(self) -> None:
        self.metrics.publish(
            FleetFigures(
                epoch=4,
                is_owner=True,
                active_jobs=2,
                evacuated_zones=1,
                tasks=(TaskCount(SALES, COPPER, 'waiting', 12),),
                workers=(WorkerCount(COPPER, 'ready', 3),),
                estimate_errors=(EstimateError(COPPER, 'caller', 1.4),),
            )
        )
        waiting = 'tasks{service="copper",state="waiting",workspace="sales"}'
        ready = 'workers{service="copper",state="ready"}'
        error = 'estimate_error_factor{service="copper",source="caller"}'
        self.check('epoch 4', 'is_owner 1', f'{waiting} 12', f'{ready} 3')
        self.check('evacuated_zones 1', f'{error} 1.4')
        self.metrics.publish(FleetFigures(epoch=5))
        self.check('is_owner 0', f'{waiting} 0', f'{ready} 0', f'{error} 0')
        self.check('evacuated_zones 0')


if __name__ == '__main__':
    unittest.main()
