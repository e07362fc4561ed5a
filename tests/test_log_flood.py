"""A flood of refusals while nobody reads the logs delays no answer."""

from contextlib import ExitStack
from pathlib import Path
from subprocess import PIPE
from tempfile import TemporaryDirectory
from time import monotonic
from time import sleep
import unittest

from primroseledge.http_client import HttpClient
from primroseledge.http_client import NotSentError
from standins.processes import free_port
from standins.processes import start_on_platform
from standins.processes import start_standin

REFUSALS = 3_000
"""Some 600 kB of lines, ten times what a pipe holds."""

ANSWER_WITHIN_S = 1.0
CALL_TIMEOUT_S = 5.0
START_S = 15.0


class LogFloodTest(unittest.TestCase):
    def setUp(self) -> None:
        resources = ExitStack()
        self.addCleanup(resources.close)
        folder = Path(resources.enter_context(TemporaryDirectory()))
        _, port = start_standin(resources, 'standins.fleet_platform', '1')
        store = f'127.0.0.1:{port}'
        caller, metrics = (f'127.0.0.1:{free_port()}' for _ in range(2))
        settings = {
            'entry_id': 'entry-0',
            'zone': 'north',
            'caller_address': caller,
            'ready_address': f'127.0.0.1:{free_port()}',
            'peer_address': f'127.0.0.1:{free_port()}',
            'store_address': store,
            'fleet_address': store,
            'metrics_address': metrics,
        }
        self.process = start_on_platform(resources, settings, folder, PIPE)
        self.caller = HttpClient(caller)
        self.metrics = HttpClient(metrics)
        resources.callback(self.caller.close)
        resources.callback(self.metrics.close)

    def ask(self, path: str) -> int:
        return self.caller.call('GET', path, None, CALL_TIMEOUT_S).status

    def wait_for_start(self) -> None:
        until = monotonic() + START_S
        while monotonic() < until:
            try:
                if self.ask('/nowhere/') == 404:
                    return
            except NotSentError:
                pass
            sleep(0.1)
        self.fail('the instance did not start')

    def test_answers_come_at_once_and_are_counted(self) -> None:
        self.wait_for_start()
        longest_s = 0.0
        for number in range(REFUSALS):
            began_at = monotonic()
            self.assertEqual(404, self.ask(f'/nowhere/{number:016x}'))
            longest_s = max(longest_s, monotonic() - began_at)
        self.assertLess(longest_s, ANSWER_WITHIN_S)
        page = self.metrics.call('GET', '/metrics', None, CALL_TIMEOUT_S)
        self.assertEqual(200, page.status)
        (count,) = [
            float(line.split()[-1])
            for line in page.body.decode().splitlines()
            if line.startswith('primroseledge_events_total{event="call_ref')
        ]
        self.assertGreaterEqual(count, REFUSALS)
        self.process.terminate()
        self.assertEqual(0, self.process.wait(START_S))


if __name__ == '__main__':
    unittest.main()
