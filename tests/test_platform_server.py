"""The platform's client against its stand-in, faults included."""

from contextlib import ExitStack
from threading import Thread
from time import monotonic
from typing import Any
from unittest import TestCase

from primroseledge.ids import InstanceId
from primroseledge.ids import JobId
from primroseledge.storage.task_service import Life
from primroseledge.storage.task_service import PlatformError
from primroseledge.storage.task_service import PlatformOutcomeUnknownError
from primroseledge.storage.task_service import PlatformUnavailableError
from primroseledge.storage.task_service import TaskSpec
from primroseledge.storage.task_service import TaskState
from primroseledge.storage.task_service_client import HttpPlatform
from primroseledge.storage.task_service_client import open_platform
from standins.http_app import create_server
from standins.platform import PlatformCore
from standins.platform_server import PlatformService
from standins.processes import free_port

ONE = InstanceId('yard-1')


class PlatformServerTest(TestCase):
    def setUp(self) -> None:
        resources = ExitStack()
        self.addCleanup(resources.close)
        self.server = PlatformService(
            PlatformCore(boot_s=60.0, lag_s=0.0, now=monotonic())
        )
        http = create_server(self.server.routes(), threads=2)
        thread = Thread(target=http.serve, daemon=True)
        thread.start()
        resources.callback(thread.join)
        resources.callback(http.stop)
        self.url = f'http://127.0.0.1:{http.bind_addr[1]}'
        self.client = self.open(self.url)
        self.server.register({'id': ONE, 'image': 'old', 'boot_age_s': 9.0})

    def open(self, *urls: str) -> HttpPlatform:
        client = open_platform(urls, 5.0)
        self.addCleanup(client.close)
        return client

    def set_faults(self, **faults: Any) -> None:
        self.server.set_faults(faults)

    def test_instance_drains_and_reboots_once(self) -> None:
        (before,) = self.client.instances()
        self.assertGreaterEqual(before.boot_age_s, 9.0)
        self.client.drain(ONE, 'w1')
        self.assertIs(self.client.instances()[0].life, Life.LEAVING)
        for _ in range(2):
            self.client.reboot(ONE, before.boot_id, 'new')
        (after,) = self.client.instances()
        self.assertFalse(after.is_healthy)
        self.assertEqual(after.image, 'new')
        self.assertEqual(len(self.server.reboots), 1)
        self.client.undrain(ONE, 'w1')
        self.assertIs(self.client.instances()[0].life, Life.LIVE)

    def test_task_runs_and_stops(self) -> None:
        spec = TaskSpec('j-1-0', JobId('j'), ONE, 1.0, 100.0, 0, 30.0)
        self.client.submit(spec)
        self.client.keep_alive(['j-1-0'])
        self.client.throttle('j-1-0', 0.2)
        self.assertIsInstance(self.client.checkpoint('j-1-0'), str)
        self.client.stop('j-1-0')
        (task,) = self.client.tasks()
        self.assertIs(task.state, TaskState.STOPPED)

    def test_lost_answer_of_a_change_is_unknown(self) -> None:
        self.set_faults(lose_answers=1)
        with self.assertRaises(PlatformOutcomeUnknownError):
            self.client.drain(ONE, 'w1')
        self.assertIs(self.client.instances()[0].life, Life.LEAVING)

    def test_down_or_unreachable_is_unavailable(self) -> None:
        self.set_faults(is_down=True)
        with self.assertRaises(PlatformUnavailableError):
            self.client.instances()
        nowhere = f'http://127.0.0.1:{free_port()}'
        with self.assertRaises(PlatformUnavailableError):
            self.open(nowhere).drain(ONE, 'w1')
        self.set_faults(is_down=False)
        self.assertEqual(len(self.open(nowhere, self.url).instances()), 1)

    def test_unknown_instance_is_an_error(self) -> None:
        with self.assertRaises(PlatformError):
            self.client.drain(InstanceId('other'), 'w1')
