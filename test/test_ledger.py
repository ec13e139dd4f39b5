"""Tests of the reservation table and of the local views of loads and parts.

Reservations may be lost, duplicated or reordered.
"""

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
    sender: int,
    sequence: int,
    running: int,
    max_running: int = 0,
    parts: tuple = (),
) -> messages.Reservation:
    """Returns a reservation at the replica `REPLICA`."""
    return messages.Reservation(
        sender, sequence, REPLICA, running, max_running, list(parts)
    )


class ReservationTableTest(unittest.TestCase):
    """The table of one owner."""

    def setUp(self):
        self.table = reservation_table.ReservationTable()

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
    def test_total_is_the_sum_of_the_latest_reservations(self, reservations):
        """This holds for duplicated and reordered reservations."""
        table = reservation_table.ReservationTable()
        latest: dict[int, tuple[int, int]] = {}
        for sender, sequence, running in reservations:
            table.handle_reservation(
                make_reservation(sender, sequence, running), NOW
            )
            if sequence > latest.get(sender, (0, 0))[0]:
                latest[sender] = sequence, running
        expected = sum(running for _, running in latest.values())
        self.assertEqual(table.get_total(REPLICA), expected)

    @hypothesis.given(
        strategies.lists(strategies.integers(1, 5), min_size=1, max_size=60),
        strategies.integers(1, 12),
    )
    def test_grants_never_exceed_max_running(self, senders, max_running):
        table = reservation_table.ReservationTable()
        counts = dict.fromkeys(range(1, 6), 0)
        for sequence, sender in enumerate(senders, 1):
            reservation = make_reservation(
                sender, sequence, counts[sender] + 1, max_running
            )
            reply = table.handle_reservation(reservation, NOW)
            counts[sender] += reply.granted
            self.assertEqual(reply.total_running, sum(counts.values()))
        self.assertEqual(
            table.get_total(REPLICA), min(max_running, len(senders))
        )

    def test_duplicate_reservation_counts_once_and_gets_no_second_reply(self):
        reservation = make_reservation(1, 1, 1, max_running=4)
        self.assertTrue(self.table.handle_reservation(reservation, NOW).granted)
        self.assertIsNone(self.table.handle_reservation(reservation, NOW))
        self.assertEqual(self.table.get_total(REPLICA), 1)

    def test_counts_of_a_failed_router_expire(self):
        self.table.handle_reservation(make_reservation(1, 1, 3), NOW)
        self.table.handle_reservation(make_reservation(2, 1, 2), NOW)
        later = NOW + reservation_table.COUNT_TTL_S - 0.1
        self.table.handle_reservation(make_reservation(2, 2, 2), later)
        self.table.expire_counts(later)
        self.assertEqual(self.table.get_total(REPLICA), 5)
        self.table.expire_counts(NOW + reservation_table.COUNT_TTL_S + 0.1)
        self.assertEqual(self.table.get_total(REPLICA), 2)

    def test_count_of_a_live_router_survives_two_lost_messages(self):
        report_interval_s = (
            reservation_table.REFRESH_S + reservations.REFRESH_CHECK_S
        )
        self.assertGreaterEqual(
            reservation_table.COUNT_TTL_S, 3 * report_interval_s
        )

    def test_parts_of_a_granted_request_are_cached(self):
        first = self.table.handle_reservation(
            make_reservation(1, 1, 1, 9, (5, 6)), NOW
        )
        second = self.table.handle_reservation(
            make_reservation(2, 1, 1, 9, (5, 8)), NOW
        )
        self.assertEqual((first.cached_parts, second.cached_parts), ([], [5]))
        self.table.forget(REPLICA)
        third = self.table.handle_reservation(
            make_reservation(3, 1, 1, 9, (5,)), NOW
        )
        self.assertEqual(third.cached_parts, [])

    def test_part_of_a_denied_request_is_not_cached(self):
        self.table.handle_reservation(make_reservation(1, 1, 1, 1), NOW)
        denied = self.table.handle_reservation(
            make_reservation(2, 1, 1, 1, (5,)), NOW
        )
        reply = self.table.handle_reservation(
            make_reservation(3, 1, 1, 9, (5,)), NOW
        )
        self.assertFalse(denied.granted)
        self.assertEqual(reply.cached_parts, [])

    def test_lookup_returns_the_other_holders(self):
        for sequence, replica in enumerate((1, 2, 1), 1):
            reply = self.table.handle_lookup(
                messages.PartLookup(sequence, 5, replica), NOW
            )
        self.assertEqual(reply.replica_hashes, [2])


class LoadsTest(unittest.TestCase):
    """Loads of replicas in one router's view."""

    def test_own_requests_and_those_of_others(self):
        view = loads.Loads()
        replica_hash = hashing.hash_name("a")
        view.begin("a")
        view.record_others(replica_hash, 4, NOW)
        view.begin("a")
        self.assertEqual(view.count_total("a"), 6)
        view.end("a")
        view.drop_expired(NOW + loads.REPORT_TTL_S + 0.1)
        self.assertEqual(view.count_total("a"), 1)


class PrefixIndexTest(unittest.TestCase):
    """Holders of prompt parts."""

    def test_latest_holder_first(self):
        view = prefixes.PrefixIndex()
        for replica in (1, 2, 1, 3):
            view.add_holder(5, replica, NOW)
        self.assertEqual(view.list_holders(5, NOW), [3, 1, 2])
        view.forget(1)
        self.assertEqual(view.list_holders(5, NOW), [3, 2])
        self.assertEqual(view.list_holders(5, NOW + 1), [])
