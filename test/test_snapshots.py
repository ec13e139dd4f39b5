"""Listings that pass from routers that read the store to the others."""

from __future__ import annotations

import unittest

import hypothesis
from hypothesis import strategies

from agatedock.decisions import reading
from agatedock.peers import snapshots
from test import helper

helper.load_profile()

_LISTINGS = strategies.lists(
    strategies.dictionaries(
        strategies.sampled_from("abcd"), strategies.integers(1, 5)
    ),
    min_size=1,
    max_size=12,
)


def make_items(listing: dict[str, int]) -> list[snapshots.Item]:
    """Returns items whose values tell their revisions."""
    return [
        snapshots.Item(key, str(revision).encode(), revision)
        for key, revision in listing.items()
    ]


class MirrorTest(unittest.TestCase):
    """A mirror beside its keepers."""

    @hypothesis.given(
        listings=_LISTINGS,
        asks=strategies.lists(strategies.integers(0, 1), max_size=12),
    )
    def test_mirror_is_the_keepers_listing(self, listings, asks):
        """Whichever listings are missed, and whichever keeper is asked."""
        keepers = [snapshots.Keeper("one"), snapshots.Keeper("two")]
        mirror = snapshots.Mirror()
        for step, listing in enumerate(listings):
            for keeper in keepers:
                keeper.take(make_items(listing), float(step))
            if step < len(asks):
                delta = keepers[asks[step]].make_delta(
                    mirror.position, step + 0.5
                )
                items = mirror.apply(delta)
                self.assertEqual(delta.age_s, 0.5)
                self.assertEqual(
                    {item.key: item.revision for item in items}, listing
                )

    def test_unchanged_listing_costs_nothing(self):
        keeper = snapshots.Keeper("one")
        keeper.take(make_items({"a": 1, "b": 2}), 1.0)
        mirror = snapshots.Mirror()
        mirror.apply(keeper.make_delta(mirror.position, 1.0))
        keeper.take(make_items({"a": 1, "b": 2}), 2.0)
        delta = keeper.make_delta(mirror.position, 2.0)
        self.assertEqual((delta.items, delta.removed), ([], []))

    def test_many_removals_lead_to_a_whole_listing(self):
        keeper = snapshots.Keeper("one")
        many = {str(n): 1 for n in range(snapshots.REMOVALS_MAX)}
        keeper.take(make_items({**many, "x": 1}), 1.0)
        mirror = snapshots.Mirror()
        mirror.apply(keeper.make_delta(mirror.position, 1.0))
        keeper.take(make_items({"x": 1, "y": 1}), 2.0)
        keeper.take(make_items({"y": 1}), 3.0)
        items = mirror.apply(keeper.make_delta(mirror.position, 3.0))
        self.assertEqual([item.key for item in items], ["y"])

    def test_late_answer_changes_nothing(self):
        keeper = snapshots.Keeper("one")
        keeper.take(make_items({"a": 2}), 2.0)
        keeper.take(make_items({"a": 1}), 1.0)
        self.assertEqual(keeper.list_items()[0].revision, 2)


class ReadingTest(unittest.TestCase):
    """Who reads the store."""

    @hypothesis.given(strategies.integers(1, 400))
    def test_few_read_however_many_there_are(self, count):
        links = {f"router-{number}": 10 for number in range(count)}
        readers = []
        for name in links:
            others = {peer: 10 for peer in links if peer != name}
            step = reading.decide(name, "a", 10, others)
            if step.source is reading.Source.STORE:
                readers.append(name)
        self.assertEqual(len(readers), min(count, reading.READERS))

    def test_router_with_a_slow_link_serves_no_others(self):
        """Ten slow ones and one fast one: the fast one reads."""
        for number in range(20):
            links = {f"router-{number}-{peer}": 10 for peer in range(10)}
            fast = f"fast-{number}"
            readers = reading.choose_readers("a", {**links, fast: 200})
            self.assertEqual(readers, [fast])

    def test_lag_stays_within_the_bound(self):
        """A change reaches every router within 2 s, three times over 4 ms."""
        lag_s = reading.READ_S + reading.ASK_S + 0.1
        self.assertLess(lag_s, 2.0)
        self.assertTrue(reading.is_fresh(lag_s))
        self.assertFalse(reading.is_fresh(2.0))

    def test_failed_reads_slow_down(self):
        pauses = [
            reading.pause_s(reading.Source.STORE, failures)
            for failures in range(1, 6)
        ]
        self.assertEqual(pauses, sorted(pauses))
        self.assertEqual(pauses[-1], reading.RETRY_MAX_S)
