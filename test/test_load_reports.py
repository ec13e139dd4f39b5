"""What replicas say of their load, and how slow their hosts are."""

from __future__ import annotations

import unittest

from agatedock.decisions import load_reports
from agatedock.decisions import placement
from agatedock.domain import configuration
from agatedock.views import directory
from agatedock.views import replica_reports
from test import helper

NOW = 100.0


class ParseTest(unittest.TestCase):
    """Values of the header."""

    def test_values(self):
        for value, report in (
            ("3,0,8", load_reports.LoadReport(3, 0, 8)),
            ("3, 1, 8, 250", load_reports.LoadReport(3, 1, 8, 250)),
            ("3,1", None),
            ("3,1,8,100,5", None),
            ("-3,1,8", None),
            ("3,1,8,1e3", None),
            ("3,1,8,99999999", None),
            ("", None),
        ):
            with self.subTest(value):
                self.assertEqual(load_reports.parse_report(value), report)


class SlownessTest(unittest.TestCase):
    """Reports that change many times a second."""

    def setUp(self):
        self.reports = replica_reports.ReplicaReports()

    def report(self, percent: int, now: float) -> None:
        self.reports.record("r", load_reports.LoadReport(1, 0, 6, percent), now)

    def test_one_report_decides_little(self):
        self.report(800, NOW)
        self.assertLess(self.reports.get_slowness("r", NOW), 1.6)

    def test_host_that_stays_slow_is_known_within_two_seconds(self):
        for number in range(20):
            self.report(400, NOW + number / 10)
        self.assertGreater(self.reports.get_slowness("r", NOW + 2), 3.0)

    def test_many_reports_of_a_moment_count_as_few(self):
        for _ in range(3):
            self.report(400, NOW)
        self.assertLess(self.reports.get_slowness("r", NOW), 1.7)

    def test_figure_that_swings_is_smoothed(self):
        values = []
        for number in range(100):
            self.report((50, 150)[number % 2], NOW + number / 10)
            values.append(self.reports.get_slowness("r", NOW + number / 10))
        self.assertLess(max(values[20:]) - min(values[20:]), 0.1)

    def test_host_without_reports_counts_as_usual(self):
        for number in range(20):
            self.report(400, NOW + number / 10)
        later = NOW + 2 + load_reports.LIFETIME_S
        self.assertEqual(self.reports.get_slowness("r", later), 1.0)

    def test_memory_is_bounded(self):
        for number in range(replica_reports.REPLICAS_MAX + 9):
            report = load_reports.LoadReport(1, 0, 6, 100)
            self.reports.record(f"r{number}", report, NOW)
        known = self.reports.list_slowness(NOW)
        self.assertEqual(len(known), replica_reports.REPLICAS_MAX)


class PlacementTest(unittest.TestCase):
    """A pool of few replicas of which one has a slow host."""

    def count_first(self, slowness: float) -> int:
        """Returns how many of 400 requests the slow one is preferred for."""
        replica_directory = directory.Directory()
        known = [helper.make_replica(number, slots=6) for number in range(4)]
        helper.apply_listing(replica_directory, known, NOW, NOW)
        local = helper.LocalView(
            replica_directory,
            get_slowness={"replica-0": slowness}.get,
        )
        for replica in known:
            local.loads.begin(replica.replica_id)
        service = configuration.Service("llm", configuration.LoadBound(2, 3))
        count = 0
        for number in range(400):
            request = helper.make_prompted(f"r{number}", (), NOW)
            task = placement.Task(request, service, known)
            found = placement.build_preference_list(task, local.view, NOW)
            assert found is not None
            count += found.replicas[0].replica_id == "replica-0"
        return count

    def test_slow_host_is_used_when_it_is_the_less_busy_one(self):
        self.assertLess(self.count_first(3.0), self.count_first(1.0))
        self.assertEqual(self.count_first(3.0), 0)
