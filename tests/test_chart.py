"""State charts are interpreted, and their page is up to date."""

from unittest import TestCase

from primroseledge.agreement.membership import PeerState
from primroseledge.agreement.owner_state import OwnerState
from primroseledge.chart import load_chart
from primroseledge.errors import ChartError
from tools.charts import main


class ChartTest(TestCase):
    def test_states_are_those_of_the_code(self) -> None:
        for name, states in (
            ('ownership', OwnerState),
            ('membership', PeerState),
        ):
            file = load_chart(name).file
            self.assertEqual(
                {state.name for state in file.states},
                {state.value for state in states},
            )

    def test_advance_follows_the_file(self) -> None:
        chart = load_chart('ownership')
        self.assertEqual(chart.advance('candidate', 'written'), 'waiting')
        self.assertEqual(chart.advance('follower', 'owner_lost'), 'candidate')

    def test_a_missing_transition_is_an_error(self) -> None:
        chart = load_chart('ownership')
        for state, trigger in (
            ('resigned', 'ready'),
            ('follower', 'unheard-of'),
            ('unheard-of', 'ready'),
        ):
            with self.assertRaises(ChartError):
                chart.advance(state, trigger)

    def test_page_is_generated_from_the_files(self) -> None:
        self.assertEqual(main(['--check']), 0)
