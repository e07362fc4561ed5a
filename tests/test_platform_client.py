from contextlib import ExitStack
from threading import Thread
from time import monotonic
import unittest

from primroseledge.ids import InstanceId
from primroseledge.ids import JobId
from primroseledge.storage.task_service import InstanceService
from primroseledge.storage.task_service import PlatformOutcomeUnknownError
from primroseledge.storage.task_service import PlatformUnavailableError
from primroseledge.storage.task_service import TaskService
from primroseledge.storage.task_service import TaskSpec
from primroseledge.storage.task_service import TaskState
from primroseledge.storage.task_service_client import HttpPlatform
from standins.http_app import create_server
from standins.platform import Machine
from standins.platform import PlatformCore
from standins.platform import Program
from standins.platform_server import PlatformService

W = InstanceId('w')


class PlatformClientTest(unittest.TestCase):
    def setUp(self) -> None:
        resources = self.enterContext(ExitStack())
        self.core = PlatformCore(lag_s=0.0, now=monotonic(), boot_s=1000.0)
        self.core.machines[W] = Machine('old')
        server = create_server(PlatformService(self.core).routes(), 4)
        thread = Thread(target=server.serve, daemon=True)
        thread.start()
        resources.callback(thread.join)
        resources.callback(server.stop)
        url = f'http://127.0.0.1:{server.bind_addr[1]}'
        self.client = HttpPlatform([url], 10.0)
        resources.callback(self.client.close)

    def spec(self) -> TaskSpec:
        return TaskSpec('j/1/0', JobId('j'), W, 1.0, 10.0, 0, 1000.0)

    def test_client_is_both_services(self) -> None:
        instances: InstanceService = self.client
        tasks: TaskService = self.client
        self.assertIs(instances, tasks)

    def test_reboot_applies_to_one_boot(self) -> None:
        boot_id = self.client.instances()[0].boot_id
        for _ in range(2):
            self.client.reboot(W, boot_id, 'new')
        self.client.drain(W, 'o')
        self.client.undrain(W, 'o')
        status = self.client.instances()[0]
        self.assertEqual((False, 'new'), (status.is_healthy, status.image))
        self.assertEqual(1, len(self.core.reboots))

    def test_task_lives_through_its_calls(self) -> None:
        self.core.programs[JobId('j')] = Program(run_s=1e6)
        for _ in range(2):
            self.client.submit(self.spec())
        self.client.keep_alive(['j/1/0'])
        self.client.throttle('j/1/0', 0.5)
        self.assertGreaterEqual(float(self.client.checkpoint('j/1/0')), 0.0)
        self.client.stop('j/1/0')
        task = self.client.tasks()[0]
        self.assertIs(TaskState.STOPPED, task.state)
        self.assertEqual(1, len(self.core.starts))

    def test_lost_answer_is_unknown_and_took_effect(self) -> None:
        self.core.answers_to_lose = 1
        with self.assertRaises(PlatformOutcomeUnknownError):
            self.client.submit(self.spec())
        self.assertEqual(1, len(self.client.tasks()))

    def test_platform_that_is_down_did_nothing(self) -> None:
        self.core.is_down = True
        with self.assertRaises(PlatformUnavailableError):
            self.client.submit(self.spec())
        self.core.is_down = False
        self.assertEqual([], self.client.tasks())

    def test_platform_that_is_not_there(self) -> None:
        client = HttpPlatform(['http://127.0.0.1:1'], 1.0)
        self.addCleanup(client.close)
        with self.assertRaises(PlatformUnavailableError):
            client.instances()


if __name__ == '__main__':
    unittest.main()
