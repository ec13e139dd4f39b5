"""The soak with a few fixed seeds, and each seed that ever failed."""

from __future__ import annotations

import unittest

from test import soak

SEEDS = (1, 2, 3)
# Seed and the cause of its failure, which is mended.
REGRESSIONS: dict[int, str] = {}


class SoakTest(unittest.TestCase):
    """Real processes under faults from outside."""

    def test_fixed_seeds(self):
        for seed in (*SEEDS, *REGRESSIONS):
            with self.subTest(seed):
                self.assertEqual(soak.play(seed), [])
