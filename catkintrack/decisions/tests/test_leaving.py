"""Remember replicas that leave, for as long as their life lasts."""

import unittest

from catkintrack.decisions.leaving import (
    MAX_REMEMBERED,
    LeavingTable,
    forget_unknown_life,
    has_announced_leaving,
    record_leaving,
)
from testkit.upstreams import make_upstream


class LeavingTest(unittest.TestCase):
    def setUp(self):
        self.table = LeavingTable()

    def test_only_the_first_answer_is_new(self):
        self.assertTrue(record_leaving(self.table, make_upstream()))
        self.assertFalse(record_leaving(self.table, make_upstream()))

    def test_lives_up_to_the_announced_one_leave(self):
        record_leaving(self.table, make_upstream(incarnation=1000))
        for incarnation in (0, 900, 1000):
            upstream = make_upstream(incarnation=incarnation)
            self.assertTrue(has_announced_leaving(self.table, upstream))
        self.assertFalse(has_announced_leaving(self.table, make_upstream("i1", 1001)))
        self.assertFalse(has_announced_leaving(self.table, make_upstream("i2", 1000)))

    def test_late_answer_of_an_earlier_life_changes_nothing(self):
        record_leaving(self.table, make_upstream(incarnation=2000))
        self.assertFalse(record_leaving(self.table, make_upstream(incarnation=1000)))
        late = make_upstream(incarnation=2000)
        self.assertTrue(has_announced_leaving(self.table, late))

    def test_unknown_life_is_forgotten_with_its_entry(self):
        for incarnation, is_leaving in ((0, False), (1000, True)):
            upstream = make_upstream(incarnation=incarnation)
            record_leaving(self.table, upstream)
            forget_unknown_life(self.table, upstream.id)
            self.assertEqual(has_announced_leaving(self.table, upstream), is_leaving)

    def test_memory_is_bounded(self):
        for number in range(MAX_REMEMBERED + 5):
            record_leaving(self.table, make_upstream(f"i{number}"))
        self.assertEqual(len(self.table.incarnation_by_upstream), MAX_REMEMBERED)
        newest = make_upstream(f"i{MAX_REMEMBERED + 4}")
        self.assertTrue(has_announced_leaving(self.table, newest))


if __name__ == "__main__":
    unittest.main()
