"""Tests of signals that reach a daemon before it handles them."""

from subprocess import run
import sys
import unittest

RAISE_WHILE_LOADED = """
from os import getpid, kill
from runpy import run_module
from signal import SIG_DFL, SIGHUP, signal
import sys
from types import ModuleType

# A test run that was started with nohup has its children ignore it.
signal(SIGHUP, SIG_DFL)


class Cli(ModuleType):
    def main(self):
        kill(getpid(), SIGHUP)
        print('alive')


sys.modules['primroseledge.cli'] = Cli('primroseledge.cli')
sys.argv = ['primroseledge', sys.argv[1]]
run_module('primroseledge', run_name='__main__')
"""


class StartSignalTest(unittest.TestCase):
    def run_command(self, name: str) -> bytes:
        """Return what a command prints if it gets SIGHUP as it starts."""
        command = [sys.executable, '-c', RAISE_WHILE_LOADED, name]
        return run(command, capture_output=True, check=False).stdout

    def test_a_change_of_settings_does_not_end_a_starting_daemon(
        self,
    ) -> None:
        for name in ('platform', 'entry'):
            self.assertEqual(b'alive\n', self.run_command(name))

    def test_a_hangup_ends_other_commands(self) -> None:
        self.assertEqual(b'', self.run_command('story'))


if __name__ == '__main__':
    unittest.main()
