"""Which revisions and answers of a store that may come back are newer."""

import math
import unittest

from oleanderhoist.policy import storeeras


class RevisionTest(unittest.TestCase):
    """The order of revisions across eras."""

    def test_a_higher_number_of_an_earlier_era_counts_as_newer(self):
        earlier = storeeras.Revision(era=1, number=900)
        later = storeeras.Revision(era=2, number=3)
        self.assertLess(earlier, later)
        self.assertLess(storeeras.Revision(), earlier)


class StoreErasTest(unittest.TestCase):
    """The eras that a process has seen."""

    def test_the_first_era_counts_as_a_return_of_the_store(self):
        eras = storeeras.StoreEras()
        self.assertTrue(eras.observe(41, 5.0))
        self.assertEqual(-math.inf, eras.changed_at)
        self.assertTrue(eras.observe(42, 7.0))
        self.assertEqual(7.0, eras.changed_at)

    def test_an_answer_of_an_earlier_era_is_believed(self):
        eras = storeeras.StoreEras()
        eras.observe(2, 0.0)
        self.assertFalse(eras.observe(1, 1.0))
        self.assertEqual(2, eras.newest)


if __name__ == "__main__":
    unittest.main()
