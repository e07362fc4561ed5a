"""The lines that a second may have, and what is said of the others."""

from logging import INFO
from logging import WARNING
import unittest

from primroseledge.observability.events import Event
from primroseledge.observability.log_budget import LINES_BELOW_WARNING
from primroseledge.observability.log_budget import LINES_PER_EVENT
from primroseledge.observability.log_budget import LINES_PER_KEPT_EVENT
from primroseledge.observability.log_budget import LogBudget
from primroseledge.observability.log_budget import WINDOW_S

ORDERED = Event.RUN_ORDERED.value.number
REFUSED = Event.JOB_REFUSED.value.number


class LogBudgetTest(unittest.TestCase):
    def setUp(self) -> None:
        self.budget = LogBudget(100.0)

    def admit(self, number: int, level: int, count: int) -> int:
        return sum(self.budget.admits(number, level) for _ in range(count))

    def test_one_event_cannot_crowd_out_the_others(self) -> None:
        self.assertEqual(LINES_PER_EVENT, self.admit(ORDERED, INFO, 5000))
        self.assertEqual(10, self.admit(101, INFO, 10))

    def test_refusals_have_a_larger_part(self) -> None:
        self.assertEqual(LINES_PER_KEPT_EVENT, self.admit(REFUSED, INFO, 5000))

    def test_infos_leave_room_for_warnings(self) -> None:
        admitted = sum(self.admit(n, INFO, 150) for n in range(1000, 1020))
        self.assertEqual(LINES_BELOW_WARNING, admitted)
        self.assertEqual(150, self.admit(1021, WARNING, 150))

    def test_a_new_window_has_its_lines_and_tells_the_dropped(self) -> None:
        self.admit(ORDERED, INFO, LINES_PER_EVENT + 7)
        self.assertFalse(self.budget.is_over(100.0 + WINDOW_S / 2))
        self.assertTrue(self.budget.is_over(100.0 + WINDOW_S))
        dropped = self.budget.begin_window(100.0 + WINDOW_S)
        self.assertEqual({ORDERED: 7}, dropped)
        self.assertEqual(1, self.admit(ORDERED, INFO, 1))
        self.assertEqual({}, self.budget.begin_window(102.0))


if __name__ == '__main__':
    unittest.main()
