"""Tests of placement, admission, retry budget and replica directory.

The present time is an argument of all tested functions, so no test waits.
"""

from __future__ import annotations

import collections
import unittest

import hypothesis
from hypothesis import strategies

from agatedock import hashing
from agatedock.decisions import admission
from agatedock.decisions import placement
from agatedock.decisions import retries
from agatedock.domain import configuration
from agatedock.domain import replicas
from agatedock.domain import requests
from agatedock.views import directory
from agatedock.views import health
from test import helper

helper.load_profile()

NOW = 1000.0
LLM = configuration.Service("llm", configuration.LoadBound(2.0, 3.0))


def make_request(number: int, parts: tuple[str, ...]) -> requests.Request:
    """Returns a request with the given prompt parts."""
    prompt = tuple(requests.PromptPart(part, 100) for part in parts)
    return helper.make_prompted(f"request-{number}", prompt, NOW)


class Fleet:
    """Some replicas, and one router's view of them."""

    def __init__(self, count: int) -> None:
        self.replicas = [helper.make_replica(number) for number in range(count)]
        self.directory = directory.Directory()
        helper.apply_listing(self.directory, self.replicas, NOW, NOW)
        local_view = helper.LocalView(self.directory)
        self.loads = local_view.loads
        self.health = local_view.conditions
        self.prefixes = local_view.prefixes
        self.view = local_view.view

    def place(self, request: requests.Request, now: float = NOW):
        """Places a request, counts it and records the holder of its parts."""
        task = placement.Task(request, LLM, self.replicas)
        chosen = helper.place_by_local_view(task, self.view, now)
        self.loads.begin(chosen.replica.replica_id)
        for part in request.shared_parts:
            self.prefixes.add_holder(
                hashing.hash_name(part.part_id),
                hashing.hash_name(chosen.replica.replica_id),
                now,
            )
        return chosen


class PlacementTest(unittest.TestCase):
    """Choice of a replica."""

    @hypothesis.given(
        count=strategies.integers(1, 9),
        chats=strategies.lists(strategies.integers(0, 5), max_size=150),
    )
    def test_load_bound_holds_for_any_mix_of_chats(self, count, chats):
        """No replica runs more than 2 x mean + 3, however skewed the chats."""
        fleet = Fleet(count)
        for number, chat in enumerate(chats):
            fleet.place(make_request(number, (f"chat-{chat}", "own")))
            running = [
                fleet.loads.count_total(item.replica_id)
                for item in fleet.replicas
            ]
            self.assertLessEqual(max(running), 2 * sum(running) / count + 3)

    def test_routers_choose_alike_without_coordination(self):
        for number in range(20):
            request = make_request(number, (f"part-{number}", "own"))
            ids = {Fleet(6).place(request).replica.replica_id for _ in range(3)}
            self.assertEqual(len(ids), 1)

    def test_requests_with_the_same_part_share_a_replica(self):
        fleet = Fleet(6)
        first = fleet.place(make_request(1, ("doc", "own-1")))
        second = fleet.place(make_request(2, ("doc", "own-2")))
        self.assertIs(first.replica, second.replica)
        self.assertIsNone(second.fetch_from)

    def test_unread_tokens_are_those_of_no_known_cache(self):
        """Also where only the last shared part is known to be cached."""
        fleet = Fleet(6)
        first = fleet.place(make_request(1, ("all", "doc", "own-1")))
        self.assertEqual(first.unread_tokens, 300)
        second = fleet.place(make_request(2, ("all", "doc", "own-2")))
        self.assertEqual(second.unread_tokens, 100)
        fleet.replicas.remove(first.replica)
        fetched = fleet.place(make_request(3, ("all", "doc", "own-3")))
        self.assertIs(fetched.fetch_from, first.replica)
        self.assertEqual(fetched.unread_tokens, 100)

    def test_new_replica_fetches_parts_from_their_holder(self):
        """After a scale-out the new replica fetches the parts it takes over.

        Otherwise it would process prompt parts again that another replica has
        in its cache.
        """
        fleet = Fleet(5)
        placements = {}
        for number in range(40):
            request = make_request(number, (f"doc-{number}", "own"))
            placements[number] = fleet.place(request)
            # No replica reaches its bound, so each part goes to its first one.
            fleet.loads.end(placements[number].replica.replica_id)
        fleet.replicas.append(helper.make_replica(5))
        helper.apply_listing(fleet.directory, fleet.replicas, NOW, NOW)
        moved = 0
        for number, before in placements.items():
            after = fleet.place(make_request(99, (f"doc-{number}", "own")))
            fleet.loads.end(after.replica.replica_id)
            if after.replica is before.replica:
                continue
            moved += 1
            self.assertEqual(after.replica.replica_id, "replica-5")
            self.assertIs(after.fetch_from, before.replica)
        self.assertGreater(moved, 0)

    def test_restarted_replica_is_no_fetch_source(self):
        fleet = Fleet(1)
        fleet.place(make_request(1, ("doc", "own")))
        fleet.prefixes.forget(hashing.hash_name("replica-0"))
        fleet.replicas.append(helper.make_replica(1))
        chosen = fleet.place(make_request(2, ("doc", "own")))
        self.assertIsNone(chosen.fetch_from)

    def test_retry_has_the_bound_of_the_first_attempt(self):
        """The bound uses the mean of the service, not of untried replicas.

        Otherwise retries would raise the bound and fill the last replicas.
        """
        fleet = Fleet(4)
        for number in range(16):
            fleet.loads.begin(f"replica-{number % 4}")
        request = make_request(99, ("doc", "own"))
        three = frozenset(f"replica-{number}" for number in range(3))
        cases = {
            "first": placement.Task(request, LLM, fleet.replicas),
            "tried": placement.Task(request, LLM, fleet.replicas, three),
            "allowed": placement.Task(
                request,
                LLM,
                fleet.replicas,
                allowed_ids=frozenset({"replica-3"}),
            ),
        }
        for case, task in cases.items():
            with self.subTest(case):
                preferences = placement.build_preference_list(
                    task, fleet.view, NOW
                )
                self.assertEqual(preferences.mean, 4.0)
                ids = {item.replica_id for item in preferences.replicas}
                if case != "first":
                    self.assertEqual(ids, {"replica-3"})

    def test_failing_replicas_do_not_raise_the_bound(self):
        fleet = Fleet(4)
        for number in range(16):
            fleet.loads.begin(f"replica-{number % 4}")
        for number in range(3):
            for _ in range(9):
                fleet.health.record_result(f"replica-{number}", False, NOW)
        task = placement.Task(
            make_request(99, ("doc", "own")), LLM, fleet.replicas
        )
        preferences = placement.build_preference_list(task, fleet.view, NOW)
        ids = [item.replica_id for item in preferences.replicas]
        self.assertEqual((ids, preferences.mean), (["replica-3"], 4.0))

    def test_stale_counts_cause_no_herding(self):
        """60 routers with the same stale counts spread a burst of requests."""
        fleet = Fleet(4)
        for number in range(3):
            fleet.loads.begin(f"replica-{number}")
        before = fleet.loads.get_own_counts()
        arrivals = collections.Counter()
        for number in range(60):
            chosen = fleet.place(make_request(number, ()))
            arrivals[chosen.replica.replica_id] += 1
            fleet.loads.end(chosen.replica.replica_id)
            self.assertEqual(fleet.loads.get_own_counts(), before)
        self.assertLessEqual(max(arrivals.values()), 40)

    def test_parts_spread_evenly(self):
        """Each of 60 replicas is first choice for about its share of parts.

        Each pair of first and second choice is about equally frequent, too.
        """
        names = tuple(f"i-{number:08x}" for number in range(60))
        firsts, pairs = collections.Counter(), collections.Counter()
        for number in range(12_000):
            first, second = hashing.select_indices(f"part-{number}", names, 2)
            firsts[first] += 1
            pairs[first, second] += 1
        self.assertEqual(len(firsts), 60)
        self.assertLess(max(firsts.values()), 1.35 * 200)
        self.assertGreater(min(firsts.values()), 0.7 * 200)
        self.assertLess(max(pairs.values()), 20)

    def test_removed_replica_moves_only_its_own_parts(self):
        names = tuple(f"i-{number}" for number in range(20))
        for number in range(200):
            first, second = hashing.select_indices(f"part-{number}", names, 2)
            left = names[:first] + names[first + 1 :]
            (after,) = hashing.select_indices(f"part-{number}", left, 1)
            self.assertEqual(left[after], names[second])

    def test_failing_replicas_are_skipped_while_others_are_left(self):
        fleet = Fleet(4)
        for number in range(4):
            name = f"replica-{number}"
            for _ in range(6 if number else 0):
                fleet.health.record_result(name, False, NOW)
        request = make_request(1, ("doc", "own"))
        self.assertEqual(fleet.place(request).replica.replica_id, "replica-0")
        for _ in range(12):
            fleet.health.record_result("replica-0", False, NOW)
        self.assertIsNotNone(fleet.place(request).replica)

    def test_unreachable_replica_is_suspended_for_a_while(self):
        fleet = Fleet(3)
        request = make_request(1, ("doc", "own"))
        first = fleet.place(request).replica
        fleet.health.record_unreachable(first.replica_id, NOW)
        self.assertIsNot(fleet.place(request, NOW + 0.1).replica, first)
        later = NOW + health.SUSPEND_MIN_S + 0.1
        self.assertIs(fleet.place(request, later).replica, first)

    def test_flapping_replica_is_suspended_longer_each_time(self):
        view = health.ReplicaHealth()
        now, pauses = NOW, []
        for _ in range(4):
            view.record_unreachable("replica-1", now)
            began_at = now
            while view.is_suspended("replica-1", now):
                now += 0.05
            pauses.append(now - began_at)
        self.assertEqual(pauses, sorted(pauses))
        self.assertGreater(pauses[-1], 4 * pauses[0])

    def test_suspended_replicas_are_used_if_all_are_suspended(self):
        fleet = Fleet(2)
        for item in fleet.replicas:
            fleet.health.record_unreachable(item.replica_id, NOW)
        self.assertIsNotNone(fleet.place(make_request(1, ())))

    def test_replica_that_fails_half_of_its_requests_is_avoided(self):
        """A replica with a higher failure rate than others is not chosen."""
        fleet = Fleet(3)
        for number in range(30):
            fleet.health.record_result("replica-0", number % 2 > 0, NOW)
        chosen = {
            fleet.place(make_request(number, ())).replica.replica_id
            for number in range(30)
        }
        self.assertNotIn("replica-0", chosen)


class AdmissionTest(unittest.TestCase):
    """Admission control."""

    @hypothesis.given(
        running=strategies.integers(0, 200),
        slots=strategies.integers(0, 64),
        duration_s=strategies.floats(0.001, 10),
        target_latency_s=strategies.floats(0.05, 3),
        remaining_s=strategies.floats(0.0, 20),
        fraction_ahead=strategies.floats(0.0, 1.0),
        exceeds_share=strategies.booleans(),
    )
    def test_invariants_of_decisions(
        self,
        running,
        slots,
        duration_s,
        target_latency_s,
        remaining_s,
        fraction_ahead,
        exceeds_share,
    ):
        decision = admission.decide(
            admission.QueueState(
                running,
                slots,
                duration_s,
                target_latency_s,
                remaining_s,
                fraction_ahead,
                exceeds_share,
            )
        )
        if slots == 0 or running < slots:
            self.assertTrue(decision.admitted)
        if not decision.admitted:
            self.assertGreaterEqual(
                decision.retry_after_s, admission.RETRY_AFTER_MIN_S
            )
            self.assertLessEqual(
                decision.retry_after_s, admission.RETRY_AFTER_MAX_S
            )
        if decision.admitted and decision.wait_s > 0:
            self.assertLessEqual(
                decision.wait_s + duration_s, remaining_s + 1e-9
            )
        if exceeds_share and 0 < slots <= running:
            self.assertFalse(decision.admitted)

    def test_rejected_clients_retry_when_a_slot_is_free(self):
        """Retry-After is long enough after a burst of three times the slots.

        The requests take 1 s each, on one replica.
        """
        decision = admission.decide(admission.QueueState(24, 8, 1.0, 0.5, 10))
        self.assertFalse(decision.admitted)
        free_after_s = (24 - 8 + 1) * 1.0 / 8
        self.assertGreaterEqual(decision.retry_after_s + 0.5, free_after_s)


class RetriesTest(unittest.TestCase):
    """Retries of one fleet."""

    def test_which_outcomes_may_be_retried(self):
        for outcome in retries.Outcome:
            self.assertTrue(retries.may_retry(True, outcome))
            self.assertEqual(
                retries.may_retry(False, outcome),
                outcome in retries.CERTAINLY_NOT_RUN,
            )

    @hypothesis.given(
        routers=strategies.integers(1, 12),
        steps=strategies.lists(
            strategies.tuples(
                strategies.integers(0, 11), strategies.booleans()
            ),
            max_size=400,
        ),
    )
    def test_fleet_stays_within_the_retry_budget(self, routers, steps):
        """Retries stay within the limits, whichever routers requests enter by.

        The limits are checked in the last window of each sequence of requests.
        """
        limits = retries.BudgetLimits(ratio=0.2, slack=52, window_s=10)
        budgets = [retries.Budget(limits) for _ in range(routers)]
        attempts: list[tuple[float, bool]] = []
        now = NOW
        for entry, fails in steps:
            now += 0.05
            budget = budgets[entry % routers]
            budget.record_first_attempt("s", now)
            attempts.append((now, False))
            if fails and budget.try_spend("s", routers, now):
                attempts.append((now, True))
        recent = [is_retry for at, is_retry in attempts if now - at <= 10]
        first_attempts = recent.count(False)
        self.assertLessEqual(recent.count(True), 0.2 * first_attempts + 52)


class DirectoryTest(unittest.TestCase):
    """Replica listings that are late, missing or out of order."""

    def test_older_entry_never_replaces_a_newer_one(self):
        view = directory.Directory()
        draining = replicas.ReplicaState.DRAINING
        helper.apply_listing(
            view, [helper.make_replica(1, sequence=5, state=draining)], NOW, NOW
        )
        helper.apply_listing(
            view, [helper.make_replica(1, sequence=4)], NOW + 1, NOW + 1
        )
        self.assertEqual(view.list_usable("llm"), [])
        helper.apply_listing(
            view,
            [helper.make_replica(1, started_at_ms=2, sequence=1)],
            NOW + 2,
            NOW + 2,
        )
        self.assertEqual(len(view.list_usable("llm")), 1)

    def test_removed_entry_ends_its_replica_while_the_store_is_reachable(self):
        view = directory.Directory()
        helper.apply_listing(
            view, [helper.make_replica(1), helper.make_replica(2)], NOW, NOW
        )
        gone = helper.apply_listing(
            view, [helper.make_replica(1)], NOW + 1, NOW + 1
        )
        self.assertEqual([item.replica_id for item in gone], ["replica-2"])

    def test_entries_that_expired_in_an_outage_are_kept_for_a_while(self):
        view = directory.Directory()
        helper.apply_listing(
            view, [helper.make_replica(1), helper.make_replica(2)], NOW, NOW
        )
        helper.apply_listing(view, [], NOW + 6, NOW + 6)
        self.assertEqual(len(view.list_usable("llm")), 2)
        helper.apply_listing(view, [helper.make_replica(1)], NOW + 7, NOW + 7)
        self.assertEqual(len(view.list_usable("llm")), 2)
        helper.apply_listing(
            view, [helper.make_replica(1)], NOW + 8.5, NOW + 8.5
        )
        self.assertEqual(len(view.list_usable("llm")), 1)

    def test_draining_replica_is_unused_until_its_entry_changes(self):
        """A listing that lags behind does not bring it back."""
        view = directory.Directory()
        helper.apply_listing(view, [helper.make_replica(1)], NOW, NOW)
        view.mark_draining(helper.make_replica(1), NOW, 0)
        for step in range(1, 5):
            helper.apply_listing(
                view, [helper.make_replica(1)], NOW + step, NOW + step
            )
            self.assertEqual(view.list_usable("llm"), [])
        draining = helper.make_replica(1, state=replicas.ReplicaState.DRAINING)
        helper.apply_listing(view, [draining], NOW + 6, NOW + 6)
        helper.apply_listing(view, [helper.make_replica(1)], NOW + 7, NOW + 7)
        self.assertEqual(len(view.list_usable("llm")), 1)

    def test_restart_under_the_same_id_is_reported(self):
        view = directory.Directory()
        helper.apply_listing(view, [helper.make_replica(1)], NOW, NOW)
        ended = helper.apply_listing(
            view, [helper.make_replica(1, started_at_ms=2)], NOW + 1, NOW + 1
        )
        self.assertEqual(len(ended), 1)
        self.assertEqual(len(view.list_usable("llm")), 1)
