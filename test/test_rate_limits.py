"""Replicas that name a rate limit in their answers."""

from __future__ import annotations

import asyncio
import time
import unittest

import hypothesis
from hypothesis import strategies

from agatedock.decisions import placement
from agatedock.decisions import rate_limits
from agatedock.domain import configuration
from agatedock.native import native_dialect
from agatedock.peers import messages
from agatedock.peers import rate_limit_reports
from agatedock.views import directory
from agatedock.views import rate_buckets
from agatedock.views import replica_limits
from agatedock.views import reservation_table
from standins import replica as replica_standin
from test import helper
from test import platform_helper

helper.load_profile()

NOW = 1000.0
# The platform allows this multiple of the rate, and these requests, in each
# window that begins this long after the limit was first named.
WINDOW_S = 4.0
RATE_FACTOR = 1.5
EXTRA_REQUESTS = 5
CONTACT_S = 3.0


def count_allowed(rate: float) -> float:
    """Returns the requests that the platform allows in one window."""
    return RATE_FACTOR * rate * WINDOW_S + EXTRA_REQUESTS


def count_busiest(times: list[float]) -> int:
    """Returns the most requests in one window."""
    return max(
        (
            sum(begin <= at < begin + WINDOW_S for at in times)
            for begin in times
        ),
        default=0,
    )


class ParseTest(unittest.TestCase):
    """Values that a faulty replica may send."""

    def test_values_that_are_no_rates_are_not_read(self):
        for values, expected in (
            (("2.5",), 2.5),
            ((" 3 ",), 3.0),
            (("0",), 0.0),
            (("1" + "0" * 30,), rate_limits.RATE_MAX_PER_S),
            (("-1",), None),
            (("nan",), None),
            (("inf",), None),
            (("1e30",), None),
            (("many",), None),
            (("",), None),
            (("9" * 5000,), None),
            (("5", "2"), 2.0),
            (("5", "nan"), 5.0),
            ((), None),
        ):
            self.assertEqual(rate_limits.parse_rate(values), expected, values)


class BucketTest(unittest.TestCase):
    """What one owner grants."""

    @hypothesis.given(
        strategies.floats(0, 50),
        strategies.lists(
            strategies.tuples(
                strategies.floats(0, 1.5),
                strategies.integers(0, 4),
                strategies.booleans(),
            ),
            max_size=200,
        ),
    )
    def test_no_window_has_more_grants_than_allowed(self, rate, asked):
        bucket = rate_limits.Bucket(rate_limits.Observation(rate, NOW), NOW)
        now = NOW
        granted_at = []
        for gap_s, rank, is_placed in asked:
            now += gap_s
            if is_placed:
                bucket.charge(now)
            elif bucket.take(rank, 1.0, now).granted:
                granted_at.append(now)
        self.assertLessEqual(count_busiest(granted_at), count_allowed(rate))

    def test_rate_is_used_by_steady_callers(self):
        for rate in (0.5, 3.0, 40.0):
            bucket = rate_limits.Bucket(rate_limits.Observation(rate, NOW), NOW)
            granted = sum(
                bucket.take(0, 1.0, NOW + step / 100).granted
                for step in range(2000)
            )
            self.assertGreater(granted, 0.9 * rate * 20 - 1)

    def test_wait_is_when_a_request_of_the_rank_is_granted(self):
        for rank in range(4):
            bucket = rate_limits.Bucket(rate_limits.Observation(2.0, NOW), NOW)
            wait_s = bucket.take(rank, 1.0, NOW).wait_s
            self.assertGreater(wait_s, 0)
            self.assertFalse(bucket.take(rank, 1.0, NOW + wait_s / 2).granted)
            self.assertTrue(bucket.take(rank, 1.0, NOW + 1.01 * wait_s).granted)

    def test_higher_rank_gets_the_few_places(self):
        bucket = rate_limits.Bucket(rate_limits.Observation(3.0, NOW), NOW)
        granted = {0: 0, 2: 0}
        for step in range(1000):
            for rank in (2, 0):
                now = NOW + step / 50
                granted[rank] += bucket.take(rank, 1.0, now).granted
        self.assertGreater(granted[0], 5 * granted[2])

    def test_limit_of_zero_still_lets_its_end_be_heard(self):
        bucket = rate_limits.Bucket(rate_limits.Observation(0.0, NOW), NOW)
        granted = sum(
            bucket.take(0, 1.0, NOW + step / 10).granted for step in range(300)
        )
        self.assertGreaterEqual(granted, 4)
        self.assertLessEqual(granted, 30 * rate_limits.PROBE_RATE_PER_S + 1)

    def test_debt_of_unaware_routers_is_bounded(self):
        bucket = rate_limits.Bucket(rate_limits.Observation(2.0, NOW), NOW)
        for _ in range(1000):
            bucket.charge(NOW)
        self.assertLess(bucket.take(0, 1.0, NOW).wait_s, 3.0)

    def test_older_observation_changes_nothing(self):
        bucket = rate_limits.Bucket(rate_limits.Observation(2.0, NOW), NOW)
        bucket.learn(rate_limits.Observation(None, NOW - 1), NOW)
        self.assertFalse(bucket.take(0, 1.0, NOW).granted)
        bucket.learn(rate_limits.Observation(None, NOW + 1), NOW + 1)
        self.assertTrue(bucket.take(0, 1.0, NOW + 1).granted)


class LocalShareTest(unittest.TestCase):
    """Routers whose owner does not reply."""

    def test_all_routers_together_stay_within_the_limit(self):
        for count in (1, 6, 60, 195):
            for rate in (0.5, 3.0, 20.0):
                shares = [
                    rate_limits.LocalShare((number + 0.5) / count, NOW)
                    for number in range(count)
                ]
                times = [
                    NOW + step / 20
                    for step in range(400)
                    for share in shares
                    if share.take(rate, count, NOW + step / 20)
                ]
                self.assertLessEqual(
                    count_busiest(times), rate * WINDOW_S + 2, (count, rate)
                )
                self.assertGreater(len(times), 0.2 * rate * 20 - 2)


class ReplicaLimitsTest(unittest.TestCase):
    """What one router knows of the limits of runs."""

    def setUp(self):
        self.known = {}
        self.view = replica_limits.ReplicaLimits(self.known.get)
        self.replica = helper.make_replica(1)

    def test_answer_without_limit_ends_it_only_if_asked_for_later(self):
        view, replica = self.view, self.replica
        self.assertTrue(view.record_answer(replica, 2.0, NOW - 1, NOW, 0))
        # The head of a stream, whose request was sent before.
        self.assertFalse(
            view.record_answer(replica, None, NOW - 0.1, NOW + 1, 0)
        )
        self.assertEqual(view.get_rate(replica, NOW), 2.0)
        self.assertTrue(
            view.record_answer(replica, None, NOW + 0.1, NOW + 0.2, 0)
        )
        self.assertIsNone(view.get_rate(replica, NOW))

    def test_later_run_under_the_same_id_and_address_has_no_limit(self):
        self.view.record_answer(self.replica, 2.0, NOW, NOW, 8_000)
        for started_ms, rate in ((7_000, 2.0), (9_000, None)):
            later = helper.make_replica(1, started_at_ms=started_ms)
            self.assertEqual(self.view.get_rate(later, NOW), rate)

    def test_peer_cannot_make_a_limit_binding_or_end_an_own_answer_early(self):
        replica_hash = 5
        self.known[replica_hash] = self.replica
        run_hash, _ = self.view.describe(replica_hash)
        heard = rate_limits.Observation(0.0, NOW)
        self.view.record_report(replica_hash, run_hash, heard)
        self.assertEqual(self.view.get_rate(self.replica, NOW), 0.0)
        self.assertFalse(self.view.is_binding(self.replica, NOW))
        self.view.record_denial(self.replica, 100.0, NOW)
        self.assertEqual(
            self.view.list_open([self.replica], NOW), [self.replica]
        )
        self.view.record_answer(self.replica, 2.0, NOW, NOW + 1, 0)
        ended = rate_limits.Observation(None, NOW + 0.5)
        self.view.record_report(replica_hash, run_hash, ended)
        self.assertTrue(self.view.is_binding(self.replica, NOW))

    def test_limit_of_long_ago_does_not_raise_the_bound_of_the_others(self):
        replica_directory = directory.Directory()
        known = [helper.make_replica(number) for number in range(4)]
        helper.apply_listing(replica_directory, known, NOW, NOW)
        local = helper.LocalView(replica_directory)
        for _ in range(8):
            local.loads.begin(known[3].replica_id)
        for replica in known[:3]:
            self.view.record_answer(replica, 2.0, NOW, NOW, 0)
        for later_s, mean in ((1.0, 8.0), (10.0, 2.0)):
            limited = self.view.list_recently_limited(known, NOW + later_s)
            task = placement.Task(
                helper.make_prompted("r", (), NOW),
                configuration.Service("llm", configuration.LoadBound(2, 3)),
                known,
                limited_ids=limited,
            )
            preferences = placement.build_preference_list(task, local.view, NOW)
            self.assertEqual(preferences.mean, mean)
            self.assertEqual(bool(limited), later_s < 2)

    def test_report_about_another_run_is_ignored(self):
        self.known[5] = self.replica
        observation = rate_limits.Observation(0.0, NOW)
        self.view.record_report(5, 12345, observation)
        self.assertIsNone(self.view.get_rate(self.replica, NOW))

    def test_memory_is_bounded(self):
        for number in range(2 * replica_limits.RUNS_MAX):
            self.view.record_answer(
                helper.make_replica(number), 1.0, NOW, NOW, 0
            )
        self.assertLessEqual(self.view.count(), replica_limits.RUNS_MAX)


class TableTest(unittest.TestCase):
    """Reports of other routers at the owner."""

    def test_memory_is_bounded_and_invalid_reports_are_ignored(self):
        table = reservation_table.ReservationTable()
        for number in range(1, 3 * rate_buckets.BUCKETS_MAX):
            table.handle_reservation(
                messages.Reservation(
                    1,
                    number,
                    2,
                    1,
                    run_hash=number,
                    rate_limit=messages.RateLimitReport(0, 0),
                ),
                NOW,
            )
        self.assertLessEqual(
            table._buckets.count(),  # noqa: SLF001
            rate_buckets.BUCKETS_MAX,
        )
        for rate_milli, age_ms in ((-1, 0), (10**30, 0), (2000, 10**30)):
            report = messages.RateLimitReport(rate_milli, age_ms)
            observation = rate_limit_reports.decode(report, NOW)
            if observation is not None:
                self.assertEqual(observation.rate, 2.0)


class NativeTest(unittest.TestCase):
    """The own interface has the same word in its own name."""

    def test_any_answer_may_name_a_rate_limit(self):
        dialect = native_dialect.NativeDialect()
        request = helper.make_prompted("r", (), NOW)
        headers = {native_dialect.RATE_LIMIT_HEADER: "2.5"}
        notice = dialect.parse_notice(request, 200, headers)
        self.assertEqual(notice.rate_limit, ("2.5",))


class RouterTest(platform_helper.RouterCase):
    """What reaches replicas that name a rate limit."""

    def limit(self, *names: str, rate: str = "2") -> None:
        """Lets replicas name a rate limit in all answers; empty for none."""
        for name in names:
            self.replicas[name].faults.rate_limit = (rate,) if rate else ()

    async def send_load(
        self, path: str, duration_s: float, gap_s: float = 0.02
    ) -> list[tuple[int, dict[str, str], float]]:
        """Sends requests at a steady pace.

        Returns:
          Status, headers and duration in seconds of each response.
        """
        ends_at = time.monotonic() + duration_s
        tasks = []
        while time.monotonic() < ends_at:
            request_id = f"{path}{len(tasks)}"
            tasks.append(asyncio.create_task(self._time_call(path, request_id)))
            await asyncio.sleep(gap_s)
        return await asyncio.gather(*tasks)

    async def _time_call(
        self, path: str, request_id: str
    ) -> tuple[int, dict[str, str], float]:
        began_at = time.monotonic()
        status, headers, _ = await self.call(path, request_id)
        return status, headers, time.monotonic() - began_at

    def assert_limited(self, name: str, rate: float) -> None:
        """Asserts that no window had more than the platform allows."""
        received = self.replicas[name].received_requests
        first = next(
            item.received_at for item in received if item.rate_limit is not None
        )
        times = [
            item.received_at
            for item in received
            if item.received_at > first + CONTACT_S
        ]
        self.assertLessEqual(count_busiest(times), count_allowed(rate))
        self.assertGreater(len(times), 0)

    async def test_limited_replica_gets_its_rate_and_others_serve(self):
        for path, names in (
            (platform_helper.ORDER, ("shop-1",)),
            (platform_helper.CHAT, ("llm-1", "llm-2")),
        ):
            with self.subTest(path):
                await self.call(path, "first")
                name = names[0]
                for other in names[1:]:
                    if self.list_runs(other):
                        name = other
                self.limit(name)
                outcomes = await self.send_load(path, CONTACT_S + WINDOW_S + 1)
                self.assertEqual({item[0] for item in outcomes}, {200})
                self.assert_limited(name, 2.0)

    async def test_callers_are_refused_at_once_if_all_replicas_are_limited(
        self,
    ):
        self.limit("shop-1", "shop-2", rate="0.5")
        with self.assertLogs("agatedock.serving.reporter", "WARNING") as logs:
            outcomes = await self.send_load(
                platform_helper.ORDER, CONTACT_S + WINDOW_S + 1
            )
        for name in ("shop-1", "shop-2"):
            self.assert_limited(name, 0.5)
        refused = [item for item in outcomes if item[0] == 503]
        self.assertGreater(len(refused), 100)
        for _, headers, took_s in refused:
            self.assertGreater(float(headers["Retry-After"]), 0)
            # The target latency of the route, for which it may wait.
            self.assertLess(took_s, 0.4 + 0.3)
        self.assertIn("rate_limited", logs.output[-1])
        self.assertIn("named a rate limit", logs.output[-1])
        runs = {run.attempt_id for run in self.list_runs("shop-1", "shop-2")}
        served = sum(item[0] == 200 for item in outcomes)
        self.assertEqual(len(runs), served)

    async def test_limit_ends_with_the_first_answer_that_names_none(self):
        self.limit("shop-1", "shop-2")
        await self.send_load(platform_helper.LOOKUP, 1.5)
        self.limit("shop-1", "shop-2", rate="")
        await self.send_load(platform_helper.LOOKUP, 1.5)
        outcomes = await self.send_load(platform_helper.LOOKUP, 1.0)
        self.assertEqual({item[0] for item in outcomes}, {200})

    async def test_end_of_a_limit_of_zero_is_heard(self):
        self.limit("shop-1", "shop-2", rate="0")
        await self.send_load(platform_helper.LOOKUP, 1.0)
        self.limit("shop-1", "shop-2", rate="")
        statuses = []
        for _ in range(8):
            outcomes = await self.send_load(platform_helper.LOOKUP, 1.0, 0.1)
            statuses.append({item[0] for item in outcomes})
        self.assertEqual(statuses[-1], {200})

    async def test_new_run_under_the_same_id_has_no_limit(self):
        self.limit("shop-1", "shop-2", rate="0.1")
        await self.send_load(platform_helper.LOOKUP, 1.0)
        self.limit("shop-1", "shop-2", rate="")
        for name in ("shop-1", "shop-2"):
            self.replicas[name].begin_run()
            self.register(name)
        await asyncio.sleep(1.5)
        outcomes = await self.send_load(platform_helper.LOOKUP, 0.5)
        self.assertEqual({item[0] for item in outcomes}, {200})

    async def test_unreadable_limit_is_logged_and_changes_nothing(self):
        for value in ("nan", "-1", "many", "1e30"):
            self.limit("shop-1", "shop-2", rate=value)
            with self.assertLogs("agatedock.serving.notices", "WARNING"):
                outcomes = await self.send_load(platform_helper.LOOKUP, 0.5)
            self.assertEqual({item[0] for item in outcomes}, {200})

    async def test_limit_does_not_look_like_a_failing_replica(self):
        self.limit("shop-1")
        self.replicas["shop-1"].faults.shed = True
        await self.send_load(platform_helper.LOOKUP, 1.0)
        shared = self.router.core.shared
        rate = shared.health.failure_rate("shop-1", shared.now())
        self.assertEqual(rate, 0)

    async def test_answer_of_another_request_names_no_limit(self):
        self.limit("shop-1", "shop-2", rate="0")
        for name in ("shop-1", "shop-2"):
            self.replicas[name].faults.other_id = True
        await self.send_load(platform_helper.LOOKUP, 0.5)
        self.assertEqual(self.router.core.shared.replica_limits.count(), 0)

    async def test_rate_limit_is_not_passed_to_the_client(self):
        for item in self.replicas.values():
            item.faults.rate_limit = ("2.5",)
        for path in (platform_helper.CHAT, platform_helper.LOOKUP):
            status, headers, _ = await self.call(path)
            self.assertEqual(status, 200)
            self.assertNotIn(replica_standin.RATE_LIMIT_HEADER, headers)
