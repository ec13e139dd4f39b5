"""What is known about replicas that crashed, by part of the prompts they read.

When a replica crashes, each request there may be the cause, by any part of its
prompt but the last, which no other request has. A part is cleared by an answer
on it that ends whole, or that has lasted clearly longer than those which ended
with a crash. An answer that begins clears it only of crashes before which none
had begun. A crash is disproved by later data on a connection that was opened
before it, or so soon after it that no replica could have restarted.
"""

from __future__ import annotations

import collections
from collections.abc import Iterable
import dataclasses

from agatedock import hashing
from agatedock.domain import replicas
from agatedock.views import crash_records
from agatedock.views import crash_reports

# Parts with evidence that are remembered; those with the fewest and oldest
# crashes are dropped first.
PARTS_MAX = 500
# Crashes that are remembered of each part, the latest ones.
CRASHES_PER_PART_MAX = 16
# Evidence is dropped if there was no crash and no refusal for this long.
EXPIRY_S = 3600.0
# A part that was cleared is kept for this long, until all routers know.
CLEARED_EXPIRY_S = 10.0
# An answer has lasted clearly longer than another one if it has lasted this
# many times as long, and this much longer.
LONGER_FACTOR = 2.0
LONGER_MARGIN_S = 0.25
# Crashes from which on other routers are told of a part that is probably sound.
# Most of its crashes have other causes, and the news have a byte budget.
SOUND_TOLD_CRASHES_MIN = 2
# Data that arrives later than this after the end of a connection disproves a
# crash. Earlier, data may be read that was received before.
DISPROVED_AFTER_S = 0.15
# Replicas take longer to listen again after a crash.
RESTART_MIN_S = 0.25
# Latest answers by part, version and kind, and crashed runs, that are
# remembered.
ANSWERS_MAX = 4000
RUNS_MAX = 1000


class CrashEvidence:
    """Crashes by prompt part, merged from all routers.

    Attributes:
      changed_parts: Hashes of the parts with news of this router for others;
        whoever tells them removes the hashes.
      learned_parts: The same for news that another router told.
    """

    def __init__(self) -> None:
        self._records: dict[int, crash_records.Record] = {}
        self._answered_at: collections.OrderedDict[
            tuple[int, crash_reports.AnswerKey], float
        ] = collections.OrderedDict()
        # When runs crashed, and when data showed that they had not.
        self._crashed_at: collections.OrderedDict[int, float] = (
            collections.OrderedDict()
        )
        self._alive_at: collections.OrderedDict[int, float] = (
            collections.OrderedDict()
        )
        self.changed_parts: set[int] = set()
        self.learned_parts: set[int] = set()
        # Parts on which this router knows an answer that another one lacks.
        self._answers_to_tell: set[int] = set()

    def record_activity(
        self, run_hash: int, connected_at: float, now: float
    ) -> None:
        """Records that a replica sent data.

        Args:
          run_hash: Hash of the run that the request was sent to. A later run
            may answer for it, but only on a connection that was opened later.
          connected_at: When the connection was opened, in seconds.
          now: Present time in seconds.
        """
        crashed_at = self._crashed_at.get(run_hash)
        if (
            crashed_at is not None
            and connected_at < crashed_at + RESTART_MIN_S
            and now > crashed_at + DISPROVED_AFTER_S
        ):
            _remember(self._alive_at, run_hash, now, RUNS_MAX)

    def _is_disproved(self, crash: crash_reports.Crash) -> bool:
        alive_at = self._alive_at.get(crash.run_hash, float("-inf"))
        return alive_at > crash.at + DISPROVED_AFTER_S

    def record_begin(
        self, part_hashes: Iterable[int], version: str, now: float
    ) -> None:
        """Records that an answer began.

        Args:
          part_hashes: The parts of the request's prompt.
          version: Version of the replica's software.
          now: Present time in seconds.
        """
        self._record_answer(
            part_hashes, version, crash_reports.AnswerKind.BEGUN, now
        )

    def record_whole(
        self, part_hashes: Iterable[int], version: str, now: float
    ) -> None:
        """Records that an answer ended whole.

        Args:
          part_hashes: The parts of the request's prompt.
          version: Version of the replica's software.
          now: Present time in seconds.
        """
        self._record_answer(
            part_hashes, version, crash_reports.AnswerKind.WHOLE, now
        )

    def record_progress(
        self,
        part_hashes: Iterable[int],
        version: str,
        lasted_s: float,
        now: float,
    ) -> None:
        """Records that more data of an answer arrived.

        Args:
          part_hashes: The parts of the request's prompt.
          version: Version of the replica's software.
          lasted_s: Time since the first data of the answer.
          now: Present time in seconds.
        """
        if not self._records:
            return
        version_hash = hashing.hash_name(version)
        key = crash_reports.AnswerKey(
            version_hash, crash_reports.AnswerKind.LONG
        )
        for part_hash in part_hashes:
            record = self._records.get(part_hash)
            if record is None or not record.crashes:
                continue
            longest_s = record.get_longest_s(version_hash)
            if lasted_s > LONGER_FACTOR * longest_s + LONGER_MARGIN_S:
                self._merge_answer(part_hash, key, now)

    def _record_answer(
        self,
        part_hashes: Iterable[int],
        version: str,
        kind: crash_reports.AnswerKind,
        now: float,
    ) -> None:
        key = crash_reports.AnswerKey(hashing.hash_name(version), kind)
        for part_hash in part_hashes:
            self._merge_answer(part_hash, key, now)

    def _merge_answer(
        self, part_hash: int, key: crash_reports.AnswerKey, at: float
    ) -> None:
        known_at = self._answered_at.get((part_hash, key), float("-inf"))
        if at > known_at:
            _remember(self._answered_at, (part_hash, key), at, ANSWERS_MAX)
        if part_hash in self._records:
            self._clear(part_hash, key, at)

    def record_crash(
        self,
        part_hashes: Iterable[int],
        replica: replicas.Replica,
        now: float,
        lasted_s: float = 0.0,
    ) -> None:
        """Records that a request's connection ended before its answer did.

        Args:
          part_hashes: The parts of the request's prompt.
          replica: The replica that it was sent to.
          now: Present time in seconds.
          lasted_s: Time since the first data of the answer; 0 if it had not
            begun.
        """
        crash = crash_reports.Crash(
            crash_reports.hash_run(replica),
            hashing.hash_name(replica.version),
            now,
            lasted_s,
        )
        for part_hash in part_hashes:
            self._add_crash(part_hash, crash)
            self.record_use(part_hash, now)
        self._limit_records()

    def record_use(self, part_hash: int, at: float) -> None:
        """Records when evidence about a part was last added or needed."""
        record = self._records.get(part_hash)
        if record is not None:
            record.used_at = max(record.used_at, at)

    def merge(
        self, news: Iterable[crash_reports.PartEvidence], now: float
    ) -> None:
        """Merges evidence from another router, unless it has expired."""
        own_news, self.changed_parts = self.changed_parts, set()
        self._merge_all(news, now)
        self.learned_parts |= self.changed_parts - self._answers_to_tell
        self.changed_parts = own_news | self._answers_to_tell
        self._answers_to_tell = set()
        self._limit_records()

    def _merge_all(
        self, news: Iterable[crash_reports.PartEvidence], now: float
    ) -> None:
        for evidence in news:
            if now - evidence.used_at > EXPIRY_S:
                continue
            for crash in evidence.crashes:
                self._add_crash(evidence.part_hash, crash)
            self._mark_told(evidence.part_hash)
            for key, at in evidence.answered_at.items():
                self._merge_answer(evidence.part_hash, key, at)
            self.record_use(evidence.part_hash, evidence.used_at)

    def _add_crash(self, part_hash: int, crash: crash_reports.Crash) -> None:
        if self._is_disproved(crash):
            return
        record = self._records.get(part_hash)
        known = None if record is None else record.crashes.get(crash.run_hash)
        if known is not None and not self._is_disproved(known):
            # Others may have noticed the same crash earlier, or on an answer
            # that had begun.
            merged = dataclasses.replace(
                known,
                at=min(known.at, crash.at),
                lasted_s=max(known.lasted_s, crash.lasted_s),
            )
            if merged == known:
                return
            crash = merged
        if self._is_cleared(part_hash, crash):
            return
        if record is None:
            record = self._records[part_hash] = crash_records.Record()
        record.crashes[crash.run_hash] = crash
        _remember(self._crashed_at, crash.run_hash, crash.at, RUNS_MAX)
        while len(record.crashes) > CRASHES_PER_PART_MAX:
            oldest = min(record.crashes.values(), key=lambda item: item.at)
            del record.crashes[oldest.run_hash]
        is_news = known is None or known.lasted_s < crash.lasted_s
        if is_news and self._is_worth_telling(part_hash, record):
            record.is_told = True
            self.changed_parts.add(part_hash)

    def _is_worth_telling(
        self, part_hash: int, record: crash_records.Record
    ) -> bool:
        """Returns whether other routers should know of a part's crashes."""
        return len(
            record.crashes
        ) >= SOUND_TOLD_CRASHES_MIN or not self._is_sound(part_hash, record)

    def _is_sound(self, part_hash: int, record: crash_records.Record) -> bool:
        """Returns whether an answer ended whole at any version that crashed."""
        return any(
            self.has_ended_whole(part_hash, crash.version_hash)
            for crash in record.crashes.values()
        )

    def _mark_told(self, part_hash: int) -> None:
        record = self._records.get(part_hash)
        if record is not None:
            record.is_told = True

    def rank(self, part_hash: int) -> crash_records.Rank:
        """Returns how urgent the news of a part are."""
        record = self._records.get(part_hash)
        crashes = self.list_crashes(part_hash)
        if record is None or not crashes:
            return crash_records.Rank(
                is_suspect=False, crashes=0, shortest_s=0.0
            )
        return crash_records.Rank(
            is_suspect=not self._is_sound(part_hash, record),
            crashes=len(crashes),
            shortest_s=min(crash.lasted_s for crash in crashes),
        )

    def _is_cleared(self, part_hash: int, crash: crash_reports.Crash) -> bool:
        """Returns whether an answer on a part shows that it is not the cause.

        The router that told of the crash is told of an answer since then.
        """
        for kind in crash_reports.AnswerKind:
            key = crash_reports.AnswerKey(crash.version_hash, kind)
            at = self._answered_at.get((part_hash, key), float("-inf"))
            if crash_records.clears(key, at, crash):
                if at >= crash.at:
                    self._announce_answer(part_hash, key, at)
                return True
        return False

    def _announce_answer(
        self, part_hash: int, key: crash_reports.AnswerKey, at: float
    ) -> None:
        """Lets other routers know of an answer on a part."""
        record = self._records.setdefault(part_hash, crash_records.Record())
        record.used_at = max(record.used_at, at)
        if record.answered_at.get(key, float("-inf")) < at:
            record.answered_at[key] = at
            self._answers_to_tell.add(part_hash)
            self.changed_parts.add(part_hash)

    def _clear(
        self, part_hash: int, key: crash_reports.AnswerKey, at: float
    ) -> None:
        """Removes the crashes of a part that an answer disproves."""
        record = self._records[part_hash]
        cleared = [
            crash.run_hash
            for crash in record.crashes.values()
            if crash_records.clears(key, at, crash)
        ]
        for run_hash in cleared:
            del record.crashes[run_hash]
        if cleared and record.is_told:
            record.answered_at[key] = at
            self.changed_parts.add(part_hash)

    def has_answered(self, part_hash: int, version_hash: int) -> bool:
        """Returns whether an answer on a part is known to have begun."""
        return any(
            (part_hash, crash_reports.AnswerKey(version_hash, kind))
            in self._answered_at
            for kind in crash_reports.AnswerKind
        )

    def has_ended_whole(self, part_hash: int, version_hash: int) -> bool:
        """Returns whether an answer on a part is known to have ended whole."""
        key = crash_reports.AnswerKey(
            version_hash, crash_reports.AnswerKind.WHOLE
        )
        return (part_hash, key) in self._answered_at

    def list_crashed_runs(
        self, part_hash: int, version_hash: int
    ) -> frozenset[int]:
        """Returns the hashes of the runs that a part may have crashed."""
        return frozenset(
            crash.run_hash
            for crash in self.list_crashes(part_hash)
            if crash.version_hash == version_hash
        )

    def list_crashes(self, part_hash: int) -> list[crash_reports.Crash]:
        """Returns the crashes of a part that are not disproved."""
        record = self._records.get(part_hash)
        if record is None:
            return []
        return [
            crash
            for crash in record.crashes.values()
            if not self._is_disproved(crash)
        ]

    def list_parts(self) -> list[int]:
        """Returns the hashes of all parts with evidence."""
        return list(self._records)

    def describe(self, part_hash: int) -> crash_reports.PartEvidence | None:
        """Returns what other routers are told of a part; None if nothing.

        That an answer ended whole before the crashes tells them that the part
        is probably sound.
        """
        record = self._records.get(part_hash)
        if record is None:
            return None
        crashes = tuple(self.list_crashes(part_hash))
        answered_at = dict(record.answered_at)
        for version_hash in {crash.version_hash for crash in crashes}:
            key = crash_reports.AnswerKey(
                version_hash, crash_reports.AnswerKind.WHOLE
            )
            at = self._answered_at.get((part_hash, key))
            if at is not None:
                answered_at[key] = at
        return crash_reports.PartEvidence(
            part_hash, crashes, answered_at, record.used_at
        )

    def drop_expired(self, now: float) -> None:
        """Removes evidence that was not used, and parts that were cleared."""
        for part_hash, record in list(self._records.items()):
            limit_s = EXPIRY_S if record.crashes else CLEARED_EXPIRY_S
            if now - record.used_at > limit_s:
                del self._records[part_hash]

    def _limit_records(self) -> None:
        if len(self._records) <= PARTS_MAX:
            return
        ranked = sorted(
            self._records.items(),
            key=lambda item: (len(item[1].crashes), item[1].used_at),
        )
        for part_hash, _ in ranked[: len(ranked) - PARTS_MAX]:
            del self._records[part_hash]


def _remember(
    times: collections.OrderedDict, key: object, now: float, limit: int
) -> None:
    """Sets the time of a key; drops the key that was set longest ago."""
    times[key] = now
    times.move_to_end(key)
    if len(times) > limit:
        times.popitem(last=False)
