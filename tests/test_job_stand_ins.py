"""Tests of the stand-ins that a soak on the job path runs as processes."""

from contextlib import ExitStack
from functools import partial
from pathlib import Path
from tempfile import TemporaryDirectory
from threading import Thread
from time import sleep
import unittest

from msgspec import json

from primroseledge.clock import boot_time
from primroseledge.cluster.fleet_store import HistoryLostError
from primroseledge.cluster.fleet_store import LeaseId
from primroseledge.cluster.fleet_store import Put
from primroseledge.cluster.fleet_store import Transaction
from primroseledge.errors import StoreOutcomeUnknownError
from primroseledge.errors import StoreUnavailableError
from primroseledge.ids import Boot
from primroseledge.ids import EntryId
from primroseledge.ids import Epoch
from primroseledge.ids import InstanceId
from primroseledge.ids import JobId
from primroseledge.ids import Revision
from primroseledge.ids import ServiceId
from primroseledge.ids import WorkerId
from primroseledge.jobs.task import TaskKey
from primroseledge.maintenance.actions import InstanceResult
from primroseledge.maintenance.actions import InstancesListed
from primroseledge.maintenance.actions import MoveInstance
from primroseledge.platform.instance_client import PlatformInstanceClient
from primroseledge.platform.store import PlatformStore
from primroseledge.platform.worker_client import PlatformWorkerClient
from primroseledge.scheduling.actions import EndKind
from primroseledge.scheduling.actions import OrderResult
from primroseledge.scheduling.actions import PollAnswered
from primroseledge.scheduling.actions import PollFailed
from primroseledge.scheduling.actions import SendPoll
from primroseledge.scheduling.actions import SendStart
from primroseledge.scheduling.actions import SendStop
from primroseledge.scheduling.actions import Target
from standins.call_server import CallServer
from standins.job_evidence import EvidenceKind
from standins.job_evidence import read_evidence
from standins.job_evidence import WorkerEvidence
from standins.job_instances import JobInstances
from standins.job_instances import Machine
from standins.job_life import Options
from standins.job_store import JobStore
from standins.job_worker import JobWorker
from standins.job_worker import LifeChange
from standins.processes import free_port

EPOCH = Epoch(1)
TASK = TaskKey(JobId('ab'), 0, 0, 0)
WAIT_S = 10.0
WRITE = Transaction(puts=(Put('a/1', b'x', LeaseId(0)),))


class WorkerTestCase(unittest.TestCase):
    """Runs a worker in this process, without heartbeats."""

    def setUp(self) -> None:
        self.resources = ExitStack()
        self.addCleanup(self.resources.close)
        folder = Path(self.resources.enter_context(TemporaryDirectory()))
        self.path = folder / 'workers.jsonl'
        port = free_port()
        self.address = f'127.0.0.1:{port}'
        options = Options(
            'm', 'rack-0', port, self.address, 2000, 500, 1.0, '127.0.0.1:1'
        )
        self.worker = JobWorker(options, 'w', 'copper', self.path)
        self.resources.callback(self.worker.end, 'left')
        self.worker.begin()
        self.client = PlatformWorkerClient(self.address)
        self.resources.callback(self.client.close)

    def target(self) -> Target:
        return Target(WorkerId('w'), Boot(self.worker.boot), self.address)

    def start(
        self, target: Target, seconds: float | None, deadline_ms: int = 5000
    ) -> OrderResult:
        payload = json.encode({'steps': [{'seconds': seconds}]}).decode()
        order = SendStart(target, TASK, 1, payload, '', deadline_ms)
        return self.client.send_order(order, EPOCH).result

    def poll(self, wait_s: float) -> PollAnswered | PollFailed:
        poll = SendPoll(self.target(), None, 0, wait_s)
        return self.client.poll(poll, EPOCH)

    def find(self, kind: EvidenceKind) -> list[WorkerEvidence]:
        lines = read_evidence(self.path, WorkerEvidence)
        return [line for line in lines if line.kind is kind]

    def wait_for(self, kind: EvidenceKind) -> WorkerEvidence:
        until = boot_time() + WAIT_S
        while not self.find(kind) and boot_time() < until:
            sleep(0.01)
        return self.find(kind)[0]


class WorkerTest(WorkerTestCase):
    def test_next_life_carries_out_start_for_last_one(self) -> None:
        target = self.target()
        self.worker.change(LifeChange(end='crash', begin_after_s=0.0))
        self.assertNotEqual(target.boot, self.worker.boot)
        self.assertIs(OrderResult.DONE, self.start(target, None))
        started = self.wait_for(EvidenceKind.STARTED)
        self.assertEqual(self.worker.boot, started.boot)

    def test_worker_with_other_id_refuses_start(self) -> None:
        target = self.target()
        change = LifeChange(end='crash', begin_after_s=0.0, id='other')
        self.worker.change(change)
        self.assertIs(OrderResult.OTHER_BOOT, self.start(target, None))

    def test_stopping_run_is_listed_until_it_has_ended(self) -> None:
        self.start(self.target(), None)
        self.client.send_order(SendStop(self.target(), TASK, 1), EPOCH)
        seen = self.poll(0.0)
        assert isinstance(seen, PollAnswered)
        self.assertEqual(1, len(seen.running))
        seen = self.poll(2.0)
        assert isinstance(seen, PollAnswered)
        self.assertEqual(0, len(seen.running))
        self.assertEqual([EndKind.STOPPED], [end.kind for end in seen.ends])

    def test_lease_expires_without_calls(self) -> None:
        self.start(self.target(), None, deadline_ms=300)
        self.assertEqual('lapsed', self.wait_for(EvidenceKind.ENDED).how)

    def test_end_of_life_breaks_waiting_poll_off(self) -> None:
        self.start(self.target(), None)
        Thread(target=self.end_soon).start()
        failed = self.poll(2.0)
        assert isinstance(failed, PollFailed)
        self.assertIs(OrderResult.UNANSWERED, failed.result)
        self.assertEqual(1, len(self.find(EvidenceKind.LIFE_ENDED)))

    def end_soon(self) -> None:
        sleep(0.1)
        self.worker.end('crash')


class InstancesTest(WorkerTestCase):
    def test_move_ends_life_and_new_worker_joins(self) -> None:
        control = CallServer(self.worker.serve_control)
        self.resources.callback(control.close)
        machine = Machine(
            'm', 'copper', 'rack-0', 2000, 500, control.port, 'w'
        )
        instances = JobInstances([machine], 'spare')
        self.resources.callback(instances.controls['m'].close)
        server = CallServer(instances.serve)
        self.resources.callback(server.close)
        client = PlatformInstanceClient(
            f'127.0.0.1:{server.port}', EntryId('e')
        )
        self.resources.callback(client.close)
        move = MoveInstance(InstanceId('m'), ServiceId('iron'))
        for _ in range(2):
            result = client.start_operation(move, EPOCH)
            self.assertIs(InstanceResult.DONE, result)
        self.assertEqual(1, len(self.find(EvidenceKind.LIFE_ENDED)))
        until = boot_time() + WAIT_S
        while machine.state != 'up' and boot_time() < until:
            sleep(0.01)
        listed = client.list_instances()
        assert isinstance(listed, InstancesListed)
        self.assertNotIn(listed.rows[0].worker, ('w', None))
        until = boot_time() + WAIT_S
        while self.worker.life is None and boot_time() < until:
            sleep(0.01)
        began = self.find(EvidenceKind.LIFE_BEGAN)[-1]
        self.assertEqual(listed.rows[0].worker, began.worker)
        self.assertEqual('iron', began.pool)


class StoreTest(unittest.TestCase):
    def setUp(self) -> None:
        self.resources = ExitStack()
        self.addCleanup(self.resources.close)
        self.now = 0.0
        self.core = JobStore()
        self.stores = [self.open(number) for number in range(2)]
        self.store = self.stores[0]

    def open(self, number: int) -> PlatformStore:
        server = CallServer(partial(self.core.serve_caller, number))
        self.resources.callback(server.close)
        store = PlatformStore(f'127.0.0.1:{server.port}')
        self.resources.callback(store.close)
        return store

    def test_lost_answer_of_write_that_was_done(self) -> None:
        self.core.do_faults({'lose': 'done'}, '')
        with self.assertRaises(StoreOutcomeUnknownError):
            self.store.commit(WRITE)
        self.assertIsNotNone(self.store.read('a/1'))
        self.core.do_faults({}, '')

    def test_write_that_is_done_late(self) -> None:
        self.core.do_faults({'lose': 'late', 'late_s': 1.5}, '')
        with self.assertRaises(StoreOutcomeUnknownError):
            self.store.commit(WRITE)
        self.assertIsNone(self.store.read('a/1'))
        self.core.do_faults({}, '')
        until = boot_time() + WAIT_S
        while self.store.read('a/1') is None and boot_time() < until:
            sleep(0.01)
        self.assertIsNotNone(self.store.read('a/1'))

    def test_faults_strike_some_callers_and_reads_alone(self) -> None:
        self.core.do_faults({'refused_prefix': 'a/', 'callers': [0]}, '')
        self.store.commit(WRITE)
        with self.assertRaises(StoreUnavailableError):
            self.store.read_all('a/')
        self.assertEqual(1, len(self.stores[1].read_all('a/').items))
        self.assertEqual(0, len(self.store.read_all('b/').items))

    def test_dropped_history(self) -> None:
        self.store.commit(WRITE)
        self.core.do_drop_history({}, '')
        with self.assertRaises(HistoryLostError):
            self.store.watch('a/', Revision(1), 0.1)

    def test_entry_of_silent_worker_vanishes(self) -> None:
        core = JobStore(lambda: self.now)
        beats = [
            {'key': key, 'value': {'born': 1}}
            for key in ('servers/v', 'servers/w')
        ]
        for beat in beats:
            core.answer('/-/entry', beat)
        revision = core.storage.revision
        self.now = 3.0
        core.answer('/-/entry', beats[1])
        self.assertEqual(revision, core.storage.revision)
        self.now = 5.0
        _, listed = core.answer('/-/kv-range', {'prefix': 'servers/'})
        self.assertEqual(['servers/w'], [i['key'] for i in listed['items']])


if __name__ == '__main__':
    unittest.main()
