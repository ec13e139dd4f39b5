"""Prompt parts that crash replicas, without a network."""

from __future__ import annotations

import dataclasses
import heapq
import itertools
import random
import unittest

from agatedock import hashing
from agatedock.decisions import quarantine
from agatedock.views import crash_evidence
from test import helper

NOW = 1000.0
VERSION = hashing.hash_name("")
ROOT, TOPIC, DEADLY, OTHER = 1, 2, 3, 4


def make_evidence(crashes: list[set[int]]) -> crash_evidence.CrashEvidence:
    """Returns evidence of crashes of different replicas.

    Args:
      crashes: For each crash, the parts of the requests that it ended.
    """
    evidence = crash_evidence.CrashEvidence()
    for number, parts in enumerate(crashes):
        replica = helper.make_replica(number)
        evidence.record_crash(parts, replica, NOW + 2 * number)
    return evidence


class CauseTest(unittest.TestCase):
    """Which requests are refused for which crashes."""

    def find(self, parts, evidence, **options) -> int | None:
        """Returns the part that a request is refused for, or None."""
        cause = quarantine.find_cause(parts, VERSION, evidence, **options)
        return cause and cause.part_hash

    def test_part_of_several_crashes_is_quarantined(self):
        evidence = make_evidence(3 * [{DEADLY}])
        self.assertEqual(self.find([DEADLY], evidence), DEADLY)
        self.assertIsNone(self.find([DEADLY], make_evidence(2 * [{DEADLY}])))

    def test_sound_request_that_shares_other_parts_is_not_refused(self):
        evidence = make_evidence(5 * [{ROOT, TOPIC, DEADLY}])
        self.assertIsNotNone(self.find([ROOT, TOPIC, DEADLY], evidence))
        self.assertIsNone(self.find([ROOT, TOPIC], evidence))
        self.assertIsNone(self.find([ROOT], evidence))

    def test_shared_part_is_not_refused_for_a_crash_of_its_own(self):
        """A replica crashed for another reason before."""
        crashes = [{ROOT}, *3 * [{ROOT, DEADLY}]]
        evidence = make_evidence(crashes)
        evidence.record_begin([ROOT], "", NOW - 10)
        self.assertIsNone(self.find([ROOT], evidence))
        self.assertIsNotNone(self.find([ROOT, DEADLY], evidence))

    def test_part_of_fewer_crashes_needs_enough_that_are_unexplained(self):
        """A sound part was in some crashes of the deadly one and in others."""
        crashes = [*3 * [{DEADLY}], *2 * [{DEADLY, TOPIC}], *2 * [{TOPIC}]]
        self.assertIsNone(self.find([ROOT, TOPIC], make_evidence(crashes)))
        evidence = make_evidence([*crashes, {TOPIC}])
        self.assertEqual(self.find([ROOT, TOPIC], evidence), TOPIC)
        self.assertEqual(self.find([ROOT, DEADLY], evidence), DEADLY)

    def test_begun_answer_clears_a_part(self):
        evidence = make_evidence(5 * [{ROOT, DEADLY}])
        evidence.record_begin([ROOT], "", NOW + 20)
        self.assertEqual(evidence.list_crashes(ROOT), [])
        self.assertEqual(self.find([ROOT, DEADLY], evidence), DEADLY)

    def test_repeated_resets_by_one_replica_count_once(self):
        evidence = crash_evidence.CrashEvidence()
        for step in range(10):
            replica = helper.make_replica(1)
            evidence.record_crash([DEADLY], replica, NOW + step)
        self.assertIsNone(self.find([DEADLY], evidence))

    def test_replica_that_sends_data_afterwards_has_not_crashed(self):
        evidence = make_evidence(3 * [{DEADLY}])
        run = crash_evidence.hash_run(helper.make_replica(0))
        evidence.record_activity(run, NOW - 1, NOW + 1)
        self.assertEqual(len(evidence.list_crashes(DEADLY)), 2)

    def test_replica_that_crashes_after_a_reset_has_crashed(self):
        evidence = crash_evidence.CrashEvidence()
        replica = helper.make_replica(1)
        run = crash_evidence.hash_run(replica)
        evidence.record_crash([DEADLY], replica, NOW)
        evidence.record_activity(run, NOW - 1, NOW + 1)
        self.assertEqual(evidence.list_crashes(DEADLY), [])
        evidence.record_crash([DEADLY], replica, NOW + 2)
        self.assertEqual(len(evidence.list_crashes(DEADLY)), 1)

    def test_later_run_does_not_disprove_a_crash(self):
        """It answers under the id and address of the one that is listed."""
        evidence = make_evidence(3 * [{DEADLY}])
        run = crash_evidence.hash_run(helper.make_replica(0))
        evidence.record_activity(run, NOW + 1, NOW + 1.5)
        self.assertEqual(len(evidence.list_crashes(DEADLY)), 3)

    def test_retry_is_refused_after_the_second_crash(self):
        evidence = make_evidence(2 * [{DEADLY}])
        self.assertEqual(self.find([DEADLY], evidence, is_retry=True), DEADLY)
        evidence = make_evidence([{DEADLY}])
        self.assertIsNone(self.find([DEADLY], evidence, is_retry=True))

    def test_parts_that_always_crash_together_are_refused_in_the_end(self):
        """A client cannot keep a part in use by a second one beside it."""
        evidence = make_evidence(
            quarantine.EXPLAINED_CRASHES_LIMIT * [{DEADLY, OTHER}]
        )
        self.assertEqual(self.find([DEADLY], evidence), DEADLY)

    def test_other_version_is_tried_and_one_crash_quarantines_it(self):
        evidence = make_evidence(3 * [{DEADLY}])
        newer = hashing.hash_name("v2")
        self.assertIsNone(quarantine.find_cause([DEADLY], newer, evidence))
        replica = helper.make_replica(9, version="v2")
        evidence.record_crash([DEADLY], replica, NOW + 100)
        self.assertIsNotNone(quarantine.find_cause([DEADLY], newer, evidence))

    def test_part_is_tried_three_times_at_growing_intervals(self):
        evidence = make_evidence(3 * [{DEADLY}])
        probes = quarantine.Probes()
        now = NOW + 4
        tried_at = []
        while now < NOW + 20_000:
            cause = quarantine.find_cause([DEADLY], VERSION, evidence)
            assert cause is not None
            if probes.is_due(cause, now):
                probes.record(DEADLY, now)
                tried_at.append(now)
                replica = helper.make_replica(100 + len(tried_at))
                evidence.record_crash([DEADLY], replica, now)
            now += 1.0
        self.assertEqual(len(tried_at), 3)
        first_s, second_s, third_s = (
            later - earlier
            for earlier, later in itertools.pairwise([NOW + 4, *tried_at])
        )
        self.assertLess(first_s, second_s)
        self.assertLess(second_s, third_s)

    def test_retry_after_is_the_time_until_the_next_probe(self):
        evidence = make_evidence(3 * [{DEADLY}])
        cause = quarantine.find_cause([DEADLY], VERSION, evidence)
        assert cause is not None
        self.assertAlmostEqual(
            cause.compute_retry_after_s(NOW + 14),
            quarantine.PROBE_DELAYS_S[0] - 10,
        )


class EvidenceTest(unittest.TestCase):
    """Limits of the evidence, and its exchange."""

    def test_memory_is_bounded_and_keeps_the_parts_of_most_crashes(self):
        evidence = make_evidence(3 * [{DEADLY}])
        for number in range(100):
            replica = helper.make_replica(number)
            parts = range(1000 * number, 1000 * number + 64)
            evidence.record_crash(parts, replica, NOW + 100)
        self.assertLessEqual(
            len(evidence.list_parts()), crash_evidence.PARTS_MAX
        )
        self.assertEqual(len(evidence.list_crashes(DEADLY)), 3)

    def test_crashes_per_part_are_bounded(self):
        evidence = make_evidence(50 * [{DEADLY}])
        self.assertEqual(
            len(evidence.list_crashes(DEADLY)),
            crash_evidence.CRASHES_PER_PART_MAX,
        )

    def test_evidence_expires_unless_requests_are_refused(self):
        evidence = make_evidence(3 * [{DEADLY, OTHER}])
        later = NOW + crash_evidence.EXPIRY_S
        evidence.record_use(DEADLY, later)
        evidence.drop_expired(later + 10)
        self.assertEqual(evidence.list_parts(), [DEADLY])

    def test_evidence_that_peers_tell_each_other_expires(self):
        tables = [make_evidence(3 * [{DEADLY}]) for _ in range(3)]
        now = NOW
        while now < NOW + 2 * crash_evidence.EXPIRY_S:
            now += 50
            for table, other in itertools.permutations(tables, 2):
                known = other.describe(DEADLY)
                table.merge([known] if known else [], now)
                table.drop_expired(now)
        self.assertEqual([table.list_parts() for table in tables], 3 * [[]])

    def test_refusal_at_one_router_keeps_the_evidence_of_all(self):
        first, second = (make_evidence(3 * [{DEADLY}]) for _ in range(2))
        later = NOW + crash_evidence.EXPIRY_S
        first.record_use(DEADLY, later)
        second.merge([first.describe(DEADLY)], later)
        second.drop_expired(later + 10)
        self.assertEqual(len(second.list_crashes(DEADLY)), 3)

    def test_peer_cannot_accuse_a_part_on_which_answers_began_since(self):
        evidence = crash_evidence.CrashEvidence()
        evidence.record_begin([ROOT], "", NOW)
        accusation = make_evidence(3 * [{ROOT}]).describe(ROOT)
        crashes = tuple(
            dataclasses.replace(crash, at=NOW - 5)
            for crash in accusation.crashes
        )
        evidence.merge([dataclasses.replace(accusation, crashes=crashes)], NOW)
        self.assertEqual(evidence.list_crashes(ROOT), [])
        # The peer is told that an answer began.
        self.assertIn(ROOT, evidence.changed_parts)

    def test_merging_is_the_same_in_any_order(self):
        first = make_evidence(3 * [{DEADLY, ROOT}])
        second = crash_evidence.CrashEvidence()
        second.record_crash([DEADLY], helper.make_replica(7), NOW + 30)
        second.record_crash([ROOT], helper.make_replica(7), NOW + 30)
        second.record_begin([ROOT], "", NOW + 31)
        news = [
            [known for part in (DEADLY, ROOT) if (known := item.describe(part))]
            for item in (first, second)
        ]
        for order in ((0, 1), (1, 0), (1, 0, 1)):
            merged = crash_evidence.CrashEvidence()
            for index in order:
                merged.merge(news[index], NOW + 40)
            self.assertEqual(len(merged.list_crashes(DEADLY)), 4, order)
            self.assertEqual(merged.list_crashes(ROOT), [], order)


ROUTERS = 6
REPLICAS = 6
REQUESTS_PER_S = 45.0
DURATION_S = 40.0
DEADLY_FROM_S = 4.0
DOWN_S = 3.0
EXCHANGE_S = 0.5
CONTACT_S = 3.0
ATTEMPTS_MAX = 2


@dataclasses.dataclass
class Work:
    """One request in the simulation."""

    parts: tuple[int, ...]
    attempts: int = 0
    replica: int = -1
    run: int = 0
    router: int = 0
    begun: bool = False


class Simulation:
    """Requests at routers and replicas, with crashes and retries."""

    def __init__(self, seed: int, deadly_share: float, crashes_per_s: float):
        self._random = random.Random(seed)
        self._deadly_share = deadly_share
        self._crashes_per_s = crashes_per_s
        self._events: list = []
        self._order = itertools.count()
        self._evidence = [
            crash_evidence.CrashEvidence() for _ in range(ROUTERS)
        ]
        self._runs = [0] * REPLICAS
        self._up_at = [0.0] * REPLICAS
        self._running: list[list[Work]] = [[] for _ in range(REPLICAS)]
        self.deadly_crashes: list[float] = []
        self.deadly_sent: list[float] = []
        self.refused = 0
        self.sound = 0

    def run(self) -> None:
        """Plays the whole duration."""
        self._add(0.0, self._arrive)
        self._add(EXCHANGE_S, self._exchange)
        if self._crashes_per_s:
            self._add(1.0, self._crash_any)
        while self._events:
            now, _, action, arguments = heapq.heappop(self._events)
            if now > DURATION_S:
                return
            action(now, *arguments)

    def _add(self, at: float, action, *arguments) -> None:
        heapq.heappush(self._events, (at, next(self._order), action, arguments))

    def _arrive(self, now: float) -> None:
        self._add(now + self._random.expovariate(REQUESTS_PER_S), self._arrive)
        root = 10 + self._random.randrange(3)
        topic = 100 + self._random.randrange(60)
        parts: tuple[int, ...] = (root, topic)
        if now > DEADLY_FROM_S and self._random.random() < self._deadly_share:
            parts = (10, 100, DEADLY)
        work = Work(parts, router=self._random.randrange(ROUTERS))
        self.sound += DEADLY not in parts
        self._send(now, work, is_retry=False)

    def _send(self, now: float, work: Work, is_retry: bool) -> None:
        evidence = self._evidence[work.router]
        cause = quarantine.find_cause(
            work.parts, VERSION, evidence, is_retry=is_retry
        )
        if cause is not None:
            self.refused += DEADLY not in work.parts
            return
        up = [n for n in range(REPLICAS) if self._up_at[n] <= now]
        if not up:
            return
        work.attempts += 1
        work.replica = self._random.choice(up)
        work.run = self._runs[work.replica]
        self._running[work.replica].append(work)
        if DEADLY in work.parts:
            self.deadly_sent.append(now)
        self._add(now + self._random.expovariate(5), self._begin, work)

    def _begin(self, now: float, work: Work) -> None:
        if self._runs[work.replica] != work.run:
            return
        if DEADLY in work.parts:
            self.deadly_crashes.append(now)
            self._crash(now, work.replica)
            return
        work.begun = True
        self._evidence[work.router].record_begin(work.parts, "", now)

    def _crash_any(self, now: float) -> None:
        delay_s = self._random.expovariate(self._crashes_per_s)
        self._add(now + delay_s, self._crash_any)
        self._crash(now, self._random.randrange(REPLICAS))

    def _crash(self, now: float, number: int) -> None:
        ended, self._running[number] = self._running[number], []
        replica = helper.make_replica(
            number, started_at_ms=1 + self._runs[number]
        )
        self._runs[number] += 1
        self._up_at[number] = now + DOWN_S
        for work in ended:
            if work.begun:
                continue
            self._evidence[work.router].record_crash(work.parts, replica, now)
            if work.attempts < ATTEMPTS_MAX:
                self._send(now, work, is_retry=True)

    def _exchange(self, now: float) -> None:
        self._add(now + EXCHANGE_S, self._exchange)
        news = [
            [
                known
                for part in item.list_parts()
                if (known := item.describe(part))
            ]
            for item in self._evidence
        ]
        for item, others in itertools.product(self._evidence, news):
            item.merge(others, now)


class LoadTest(unittest.TestCase):
    """The load that the quarantine answers, and crashes without a cause."""

    def test_deadly_part_is_stopped_and_sound_requests_are_served(self):
        for seed, share in itertools.product(range(15), (0.01, 0.05, 0.2)):
            with self.subTest(seed=seed, share=share):
                play = Simulation(seed, share, crashes_per_s=0.0)
                play.run()
                late = self.count_late(play)
                self.assertLessEqual(late, 3)
                self.assertLess(play.refused, 0.01 * play.sound)

    def test_deadly_part_is_stopped_among_other_crashes(self):
        for seed in range(15):
            with self.subTest(seed=seed):
                play = Simulation(seed, 0.05, crashes_per_s=0.4)
                play.run()
                self.assertLessEqual(self.count_late(play), 3)
                self.assertLess(play.refused, 0.02 * play.sound)

    def test_crashes_without_a_cause_refuse_hardly_any_request(self):
        for seed, rate in itertools.product(range(10), (0.2, 0.6)):
            with self.subTest(seed=seed, rate=rate):
                play = Simulation(seed, 0.0, crashes_per_s=rate)
                play.run()
                self.assertLess(play.refused, 0.005 * play.sound)

    def count_late(self, play: Simulation) -> int:
        """Returns the deadly requests sent after the fifth crash."""
        if len(play.deadly_crashes) < 5:
            return 0
        limit = play.deadly_crashes[4] + CONTACT_S
        return sum(at > limit for at in play.deadly_sent)
