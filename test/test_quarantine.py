"""Prompt parts that crash replicas, without a network."""

from __future__ import annotations

import dataclasses
import itertools
import unittest

from agatedock import hashing
from agatedock.decisions import quarantine
from agatedock.views import crash_evidence
from agatedock.views import crash_reports
from test import crash_simulation
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

    def test_begun_answer_does_not_clear_a_crash_within_an_answer(self):
        evidence = crash_evidence.CrashEvidence()
        for number in range(3):
            replica = helper.make_replica(number)
            evidence.record_begin([DEADLY], "", NOW + number)
            evidence.record_crash([DEADLY], replica, NOW + number + 0.3, 0.3)
        self.assertEqual(self.find([DEADLY], evidence), DEADLY)

    def test_whole_answer_clears_a_part(self):
        evidence = crash_evidence.CrashEvidence()
        for number in range(3):
            replica = helper.make_replica(number)
            evidence.record_crash([TOPIC], replica, NOW + number, 0.3)
        evidence.record_whole([TOPIC], "", NOW + 4)
        self.assertEqual(evidence.list_crashes(TOPIC), [])

    def test_answer_that_lasted_clearly_longer_clears_a_part(self):
        evidence = crash_evidence.CrashEvidence()
        for number in range(3):
            replica = helper.make_replica(number)
            evidence.record_crash([TOPIC], replica, NOW + number, 0.3)
        evidence.record_progress([TOPIC], "", 0.5, NOW + 4)
        self.assertEqual(len(evidence.list_crashes(TOPIC)), 3)
        evidence.record_progress([TOPIC], "", 1.0, NOW + 4)
        self.assertEqual(evidence.list_crashes(TOPIC), [])

    def test_part_with_whole_answers_before_takes_more_crashes(self):
        evidence = crash_evidence.CrashEvidence()
        evidence.record_whole([TOPIC], "", NOW - 100)
        crashes = []
        while self.find([TOPIC], evidence) is None:
            replica = helper.make_replica(len(crashes))
            crashes.append(NOW + 5 * len(crashes))
            evidence.record_crash([TOPIC], replica, crashes[-1])
        self.assertEqual(len(crashes), quarantine.SOUND_CRASHES_MIN)

    def test_part_with_whole_answers_does_not_explain_the_crashes_of_another(
        self,
    ):
        """A sound stream was resumed at each replica that crashed."""
        evidence = crash_evidence.CrashEvidence()
        evidence.record_whole([TOPIC], "", NOW - 100)
        for number in range(3):
            replica = helper.make_replica(number)
            evidence.record_crash([TOPIC, DEADLY], replica, NOW + number, 0.1)
        self.assertEqual(self.find([DEADLY], evidence), DEADLY)
        self.assertIsNone(self.find([TOPIC], evidence))

    def test_peers_learn_that_a_part_had_whole_answers(self):
        told = crash_evidence.CrashEvidence()
        told.record_whole([TOPIC], "", NOW - 100)
        told.record_crash([TOPIC], helper.make_replica(0), NOW)
        evidence = make_evidence([set(), *3 * [{TOPIC}]])
        self.assertEqual(self.find([TOPIC], evidence), TOPIC)
        evidence.merge([told.describe(TOPIC)], NOW + 9)
        self.assertIsNone(self.find([TOPIC], evidence))

    def test_replica_that_accepts_a_connection_at_once_has_not_crashed(self):
        """All connections were reset, and none from before is left."""
        evidence = make_evidence([{DEADLY}])
        run = crash_reports.hash_run(helper.make_replica(0))
        evidence.record_activity(run, NOW + 0.01, NOW + 0.6)
        self.assertEqual(evidence.list_crashes(DEADLY), [])

    def test_repeated_resets_by_one_replica_count_once(self):
        evidence = crash_evidence.CrashEvidence()
        for step in range(10):
            replica = helper.make_replica(1)
            evidence.record_crash([DEADLY], replica, NOW + step)
        self.assertIsNone(self.find([DEADLY], evidence))

    def test_replica_that_sends_data_afterwards_has_not_crashed(self):
        evidence = make_evidence(3 * [{DEADLY}])
        run = crash_reports.hash_run(helper.make_replica(0))
        evidence.record_activity(run, NOW - 1, NOW + 1)
        self.assertEqual(len(evidence.list_crashes(DEADLY)), 2)

    def test_replica_that_crashes_after_a_reset_has_crashed(self):
        evidence = crash_evidence.CrashEvidence()
        replica = helper.make_replica(1)
        run = crash_reports.hash_run(replica)
        evidence.record_crash([DEADLY], replica, NOW)
        evidence.record_activity(run, NOW - 1, NOW + 1)
        self.assertEqual(evidence.list_crashes(DEADLY), [])
        evidence.record_crash([DEADLY], replica, NOW + 2)
        self.assertEqual(len(evidence.list_crashes(DEADLY)), 1)

    def test_later_run_does_not_disprove_a_crash(self):
        """It answers under the id and address of the one that is listed."""
        evidence = make_evidence(3 * [{DEADLY}])
        run = crash_reports.hash_run(helper.make_replica(0))
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


class LoadTest(unittest.TestCase):
    """The load that the quarantine answers, and crashes without a cause."""

    def play(
        self, seed: int, load: crash_simulation.Load
    ) -> crash_simulation.Simulation:
        """Returns a simulation that has been played."""
        play = crash_simulation.Simulation(seed, load)
        play.run()
        return play

    def test_deadly_part_is_stopped_and_sound_requests_are_served(self):
        for seed, share in itertools.product(range(15), (0.01, 0.05, 0.2)):
            with self.subTest(seed=seed, share=share):
                play = self.play(seed, crash_simulation.Load(share))
                self.assertLessEqual(play.count_late(), 3)
                self.assertLess(play.refused, 0.01 * play.sound)

    def test_deadly_part_is_stopped_that_crashes_within_an_answer(self):
        for seed, share, deadly_s in itertools.product(
            range(3), (0.01, 0.05, 0.2), (0.01, 0.3, 1.0)
        ):
            with self.subTest(seed=seed, share=share, deadly_s=deadly_s):
                load = crash_simulation.Load(share, deadly_s=deadly_s)
                play = self.play(seed, load)
                self.assertLessEqual(play.count_late(), 3)
                self.assertLess(play.refused, 0.01 * play.sound)

    def test_deadly_part_is_stopped_among_other_crashes(self):
        for seed, deadly_s in itertools.product(range(15), (0.0, 0.5)):
            with self.subTest(seed=seed, deadly_s=deadly_s):
                load = crash_simulation.Load(0.05, 0.4, deadly_s)
                play = self.play(seed, load)
                self.assertLessEqual(play.count_late(), 3)
                self.assertLess(play.refused, 0.02 * play.sound)

    def test_crashes_without_a_cause_refuse_hardly_any_request(self):
        for seed, rate in itertools.product(range(10), (0.2, 0.6)):
            with self.subTest(seed=seed, rate=rate):
                play = self.play(seed, crash_simulation.Load(0.0, rate))
                self.assertLess(play.refused, 0.005 * play.sound)
