"""Counts that one router keeps for all, whatever becomes of the messages."""

from __future__ import annotations

import unittest

import hypothesis
from hypothesis import strategies

from agatedock import hashing
from agatedock.peers import messages
from agatedock.peers import reservations
from agatedock.views import loads
from agatedock.views import prefixes
from agatedock.views import reservation_table
from test import helper

helper.load_profile()

NOW = 1000.0
REPLICA = 7


def make_reservation(
    sender: int, number: int, count: int, most: int = 0, parts: tuple = ()
) -> messages.Reservation:
    """Returns a reservation about the one replica."""
    return messages.Reservation(
        sender, number, REPLICA, count, most, list(parts)
    )


class LedgerTest(unittest.TestCase):
    """One owner."""

    def setUp(self):
        self.ledger = reservation_table.ReservationTable()

    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.integers(1, 3),
                strategies.integers(1, 40),
                strategies.integers(0, 9),
            ),
            max_size=40,
        )
    )
    def test_sum_of_the_latest_reservations(self, told):
        """However reservations are doubled, and in whatever order they come."""
        book = reservation_table.ReservationTable()
        latest: dict[int, tuple[int, int]] = {}
        for sender, number, count in told:
            book.handle_reservation(
                make_reservation(sender, number, count), NOW
            )
            if number > latest.get(sender, (0, 0))[0]:
                latest[sender] = number, count
        expected = sum(count for _, count in latest.values())
        self.assertEqual(book.get_total(REPLICA), expected)

    @hypothesis.given(
        strategies.lists(strategies.integers(1, 5), min_size=1, max_size=60),
        strategies.integers(1, 12),
    )
    def test_never_more_than_what_is_asked_for(self, senders, most):
        book = reservation_table.ReservationTable()
        counts = dict.fromkeys(range(1, 6), 0)
        for number, sender in enumerate(senders, 1):
            reservation = make_reservation(
                sender, number, counts[sender] + 1, most
            )
            verdict = book.handle_reservation(reservation, NOW)
            counts[sender] += verdict.granted
            self.assertEqual(verdict.total_running, sum(counts.values()))
        self.assertEqual(book.get_total(REPLICA), min(most, len(senders)))

    def test_doubled_reservation_counts_once_and_has_no_second_verdict(self):
        reservation = make_reservation(1, 1, 1, most=4)
        self.assertTrue(
            self.ledger.handle_reservation(reservation, NOW).granted
        )
        self.assertIsNone(self.ledger.handle_reservation(reservation, NOW))
        self.assertEqual(self.ledger.get_total(REPLICA), 1)

    def test_counts_of_a_dead_router_lapse(self):
        self.ledger.handle_reservation(make_reservation(1, 1, 3), NOW)
        self.ledger.handle_reservation(make_reservation(2, 1, 2), NOW)
        later = NOW + reservation_table.COUNT_TTL_S - 0.1
        self.ledger.handle_reservation(make_reservation(2, 2, 2), later)
        self.ledger.expire_counts(later)
        self.assertEqual(self.ledger.get_total(REPLICA), 5)
        self.ledger.expire_counts(NOW + reservation_table.COUNT_TTL_S + 0.1)
        self.assertEqual(self.ledger.get_total(REPLICA), 2)

    def test_count_of_a_live_router_survives_two_lost_messages(self):
        told_each_s = reservation_table.REFRESH_S + reservations.REFRESH_CHECK_S
        self.assertGreaterEqual(reservation_table.COUNT_TTL_S, 3 * told_each_s)

    def test_parts_are_held_once_read(self):
        first = self.ledger.handle_reservation(
            make_reservation(1, 1, 1, 9, (5, 6)), NOW
        )
        second = self.ledger.handle_reservation(
            make_reservation(2, 1, 1, 9, (5, 8)), NOW
        )
        self.assertEqual((first.cached_parts, second.cached_parts), ([], [5]))
        self.ledger.forget(REPLICA)
        third = self.ledger.handle_reservation(
            make_reservation(3, 1, 1, 9, (5,)), NOW
        )
        self.assertEqual(third.cached_parts, [])

    def test_part_of_a_refused_request_is_not_held(self):
        self.ledger.handle_reservation(make_reservation(1, 1, 1, 1), NOW)
        refused = self.ledger.handle_reservation(
            make_reservation(2, 1, 1, 1, (5,)), NOW
        )
        asked = self.ledger.handle_reservation(
            make_reservation(3, 1, 1, 9, (5,)), NOW
        )
        self.assertFalse(refused.granted)
        self.assertEqual(asked.cached_parts, [])

    def test_readers_of_a_part(self):
        for number, replica in enumerate((1, 2, 1), 1):
            told = self.ledger.handle_lookup(
                messages.PartLookup(number, 5, replica), NOW
            )
        self.assertEqual(told.replica_hashes, [2])


class LoadsTest(unittest.TestCase):
    """What a router believes of loads."""

    def test_own_requests_and_those_of_others(self):
        view = loads.Loads()
        number = hashing.hash_name("a")
        view.begin("a")
        view.record_others(number, 4, NOW)
        view.begin("a")
        self.assertEqual(view.count_total("a"), 6)
        view.end("a")
        view.drop_expired(NOW + loads.REPORT_TTL_S + 0.1)
        self.assertEqual(view.count_total("a"), 1)


class PrefixesTest(unittest.TestCase):
    """Readers of parts."""

    def test_latest_reader_first(self):
        view = prefixes.PrefixIndex()
        for replica in (1, 2, 1, 3):
            view.add_holder(5, replica, NOW)
        self.assertEqual(view.list_holders(5, NOW), [3, 1, 2])
        view.forget(1)
        self.assertEqual(view.list_holders(5, NOW), [3, 2])
        self.assertEqual(view.list_holders(5, NOW + 1), [])
