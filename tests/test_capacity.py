"""The capacity page has every role and matches the committed figures."""

from unittest import TestCase

from bench.capacity import fit
from bench.capacity_cores import core_probes
from bench.capacity_daemon import SITUATIONS
from bench.capacity_policy import policy_probes
from tools.capacity import load
from tools.capacity import PAGE_PATH
from tools.capacity import render
from tools.capacity import TABLES
from tools.capacity_figures import Column
from tools.capacity_figures import judge
from tools.capacity_figures import Role
from tools.capacity_rows import ROWS
from tools.capacity_store import STORE_ROWS


class CapacityPageTest(TestCase):
    def test_each_role_has_each_column(self) -> None:
        present = {(row.role, row.column) for row in ROWS}
        wanted = {(role, column) for role in Role for column in Column}
        self.assertEqual(present, wanted)

    def test_store_has_each_situation(self) -> None:
        present = {row.situation for row in STORE_ROWS}
        self.assertLessEqual(
            {
                'calm',
                '50 changes in a burst',
                'after a zone loss',
                "after an hour's outage",
                'regions apart for an hour',
            },
            present,
        )

    def test_each_probe_and_situation_has_figures(self) -> None:
        measured = load()
        self.assertEqual(
            set(measured.slopes), set(core_probes() | policy_probes())
        )
        self.assertEqual(
            list(measured.daemons), [item.name for item in SITUATIONS]
        )

    def test_page_matches_the_figures(self) -> None:
        page = PAGE_PATH.read_text()
        self.assertEqual(render(page, load()), page)
        for name in TABLES:
            self.assertIn(f'<!-- generated: {name} -->', page)

    def test_page_names_every_role_in_prose(self) -> None:
        prose = PAGE_PATH.read_text().split('<!-- generated: roles')[0]
        for role in Role:
            self.assertIn(role.value, prose.lower())


class VerdictTest(TestCase):
    def test_no_verdict_without_a_figure(self) -> None:
        self.assertEqual(judge(None, 64.0, 'MB'), 'not measured')

    def test_figure_at_the_bound_holds(self) -> None:
        self.assertEqual(judge(64.0, 64.0, 'MB'), 'holds')

    def test_figure_over_the_bound_falls_short(self) -> None:
        self.assertEqual(judge(74.0, 64.0, 'MB'), 'falls short by 10 MB')

    def test_figure_without_bound(self) -> None:
        self.assertEqual(judge(1.0, None, 'MB'), 'no bound stated')


class FitTest(TestCase):
    def test_line_is_found(self) -> None:
        slope, base = fit((1, 2, 4), (5.0, 7.0, 11.0))
        self.assertAlmostEqual(slope, 2.0)
        self.assertAlmostEqual(base, 3.0)
