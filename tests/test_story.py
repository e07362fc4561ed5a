"""The story of one id, from logs."""

from pathlib import Path
from tempfile import TemporaryDirectory
import unittest

from click.testing import CliRunner

from primroseledge.cli import main

ONE = """
{"time":"2026-01-01T00:00:01","event":701,"message":"job aa taken"}
not a log line
{"time":"2026-01-01T00:00:09","event":304,"message":"owner much later"}
{"time":"2026-01-01T00:00:0
"""
TWO = """
 3.2 host-2 {"time":"2026-01-01T00:00:02","event":304,"message":"owner"}
{"time":"2026-01-01T00:00:02.5","event":213,"message":"the store is slow"}
{"time":"2026-01-01T00:00:03","event":702,"message":"job aa is completed"}
{"time":"2026-01-01T00:00:02","event":702,"message":"job bb is completed"}
"""


ENDS = """
{"time":"2026-01-01T00:00:01","event":702,"message":"job aa is completed",\
"fields":{"seconds":1.5}}
{"time":"2026-01-01T00:00:02","event":702,"message":"job bb is completed",\
"fields":{"seconds":9.5}}
{"time":"2026-01-01T00:00:03","event":702,"message":"job cc is completed",\
"fields":{"seconds":4.5}}
{"time":"2026-01-01T00:00:05","event":715,"message":"GET refused"}
{"time":"2026-01-01T00:00:04","event":706,"message":"job dd refused"}
"""


class StoryTest(unittest.TestCase):
    def tell(self, name: str) -> tuple[int, list[str]]:
        with TemporaryDirectory() as folder:
            paths = []
            for stem, text in (('one', ONE), ('two', TWO)):
                path = Path(folder) / f'{stem}.log'
                path.write_text(text)
                paths.append(str(path))
            result = CliRunner().invoke(main, ['story', name, *paths])
        return result.exit_code, result.output.splitlines()

    def test_lines_of_several_processes_come_in_order(self) -> None:
        code, lines = self.tell('aa')
        self.assertEqual(0, code)
        self.assertEqual(4, len(lines))
        self.assertIn('one  701  job aa taken', lines[0])
        self.assertIn('host-2  304  owner', lines[1])
        self.assertIn('two  213  the store is slow', lines[2])
        self.assertIn('two  702  job aa is completed', lines[3])

    def find(self, *options: str) -> tuple[int, list[str]]:
        with TemporaryDirectory() as folder:
            path = Path(folder) / 'one.log'
            path.write_text(ENDS)
            command = ['candidates', *options, str(path)]
            result = CliRunner().invoke(main, command)
        return result.exit_code, result.output.splitlines()

    def test_the_slowest_jobs_come_first(self) -> None:
        code, lines = self.find('--slowest', '--limit', '2')
        self.assertEqual(0, code)
        self.assertEqual(2, len(lines))
        self.assertIn('job bb is completed', lines[0])
        self.assertIn('job cc is completed', lines[1])

    def test_refusals_of_all_places_are_found(self) -> None:
        code, lines = self.find('--refused')
        self.assertEqual(0, code)
        self.assertEqual(
            ['706', '715'], [line.split('  ')[2] for line in lines]
        )

    def test_a_kind_is_needed(self) -> None:
        self.assertEqual(2, self.find()[0])

    def test_an_unknown_id_has_its_code(self) -> None:
        self.assertEqual(1, self.tell('cc')[0])


if __name__ == '__main__':
    unittest.main()
