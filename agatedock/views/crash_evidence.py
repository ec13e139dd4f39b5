"""What is known about replicas that crashed, by part of the prompts they read.

When a replica crashes, each request there whose answer had not begun may be the
cause, by any part of its prompt but the last, which no other request has. A
part is cleared by an answer that begins on it. A crash is disproved by later
data on a connection that was opened before it.
"""

from __future__ import annotations

import collections
from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses

from agatedock import hashing
from agatedock.domain import replicas
from agatedock.domain import requests

# Parts with evidence that are remembered; those with the fewest and oldest
# crashes are dropped first.
PARTS_MAX = 500
# Crashes that are remembered of each part, the latest ones.
CRASHES_PER_PART_MAX = 16
# Parts of one prompt that are considered, the first ones.
PARTS_PER_PROMPT_MAX = 64
# Evidence is dropped if there was no crash and no refusal for this long.
EXPIRY_S = 3600.0
# A part that was cleared is kept for this long, until all routers know.
CLEARED_EXPIRY_S = 10.0
# An answer that began this long before a crash also clears its parts.
CLEARED_BEFORE_S = 1.0
# Data that arrives later than this after the end of a connection disproves a
# crash. Earlier, data may be read that was received before.
DISPROVED_AFTER_S = 0.15
# Parts whose latest begin, and crashed runs, that are remembered.
BEGINS_MAX = 2000
RUNS_MAX = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class Crash:
    """The end of a run of a replica.

    Attributes:
      run_hash: Hash of the run.
      version_hash: Hash of the version of its software.
      at: When it ended, in seconds of this router's clock.
    """

    run_hash: int
    version_hash: int
    at: float


@dataclasses.dataclass(frozen=True, slots=True)
class PartEvidence:
    """What is known of one part, as routers tell each other.

    Attributes:
      part_hash: Hash of the part's id.
      crashes: Crashes of replicas that may have been caused by it.
      begun_at: When an answer on it last began, in seconds, by hash of the
        version of the replica's software.
      used_at: When a replica last crashed or a request was refused, in
        seconds.
    """

    part_hash: int
    crashes: tuple[Crash, ...]
    begun_at: Mapping[int, float]
    used_at: float


@dataclasses.dataclass(slots=True)
class _Record:
    """Evidence about one part: crashes by run, begins by version."""

    crashes: dict[int, Crash] = dataclasses.field(default_factory=dict)
    begun_at: dict[int, float] = dataclasses.field(default_factory=dict)
    used_at: float = 0.0


def hash_parts(request: requests.Request) -> tuple[int, ...]:
    """Returns the hashes of the parts that may crash a replica."""
    return tuple(
        hashing.hash_part(part.part_id)
        for part in request.prompt[:-1][:PARTS_PER_PROMPT_MAX]
    )


def hash_run(replica: replicas.Replica) -> int:
    """Returns the hash of a run of a replica."""
    lifetime = replica.lifetime
    return hashing.hash_name(
        f"{lifetime.replica_id} {lifetime.started_at_ms} {lifetime.address}"
    )


class CrashEvidence:
    """Crashes by prompt part, merged from all routers.

    Attributes:
      changed_parts: Hashes of the parts with news for other routers; whoever
        tells them removes the hashes.
    """

    def __init__(self) -> None:
        self._records: dict[int, _Record] = {}
        self._begun_at: collections.OrderedDict[tuple[int, int], float] = (
            collections.OrderedDict()
        )
        # When runs crashed, and when data showed that they had not.
        self._crashed_at: collections.OrderedDict[int, float] = (
            collections.OrderedDict()
        )
        self._alive_at: collections.OrderedDict[int, float] = (
            collections.OrderedDict()
        )
        self.changed_parts: set[int] = set()

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
            and connected_at < crashed_at
            and now > crashed_at + DISPROVED_AFTER_S
        ):
            _remember(self._alive_at, run_hash, now, RUNS_MAX)

    def _is_disproved(self, crash: Crash) -> bool:
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
        version_hash = hashing.hash_name(version)
        for part_hash in part_hashes:
            key = part_hash, version_hash
            _remember(self._begun_at, key, now, BEGINS_MAX)
            if part_hash in self._records:
                self._clear(part_hash, version_hash, now)

    def record_crash(
        self,
        part_hashes: Iterable[int],
        replica: replicas.Replica,
        now: float,
    ) -> None:
        """Records that a request's connection ended before its answer began.

        Args:
          part_hashes: The parts of the request's prompt.
          replica: The replica that it was sent to.
          now: Present time in seconds.
        """
        version_hash = hashing.hash_name(replica.version)
        crash = Crash(hash_run(replica), version_hash, now)
        for part_hash in part_hashes:
            self._add_crash(part_hash, crash)
            self.record_use(part_hash, now)
        self._limit_records()

    def record_use(self, part_hash: int, at: float) -> None:
        """Records when evidence about a part was last added or needed."""
        record = self._records.get(part_hash)
        if record is not None:
            record.used_at = max(record.used_at, at)

    def merge(self, news: Iterable[PartEvidence], now: float) -> None:
        """Merges evidence from another router, unless it has expired."""
        for evidence in news:
            if now - evidence.used_at > EXPIRY_S:
                continue
            for crash in evidence.crashes:
                self._add_crash(evidence.part_hash, crash)
            for version_hash, at in evidence.begun_at.items():
                self._merge_begin(evidence.part_hash, version_hash, at)
            self.record_use(evidence.part_hash, evidence.used_at)
        self._limit_records()

    def _merge_begin(
        self, part_hash: int, version_hash: int, at: float
    ) -> None:
        key = part_hash, version_hash
        if at > self._begun_at.get(key, float("-inf")):
            _remember(self._begun_at, key, at, BEGINS_MAX)
        if part_hash in self._records:
            self._clear(part_hash, version_hash, at)

    def _add_crash(self, part_hash: int, crash: Crash) -> None:
        if self._is_disproved(crash):
            return
        record = self._records.get(part_hash)
        known = None if record is None else record.crashes.get(crash.run_hash)
        # Another router may have noticed the same crash earlier.
        if (
            known is not None
            and known.at <= crash.at
            and not self._is_disproved(known)
        ):
            return
        key = part_hash, crash.version_hash
        begun_at = self._begun_at.get(key, float("-inf"))
        if crash.at <= begun_at + CLEARED_BEFORE_S:
            if begun_at >= crash.at:
                # The router that told of the crash does not know of the begin.
                self._announce_begin(part_hash, crash.version_hash, begun_at)
            return
        if record is None:
            record = self._records[part_hash] = _Record()
        record.crashes[crash.run_hash] = crash
        _remember(self._crashed_at, crash.run_hash, crash.at, RUNS_MAX)
        while len(record.crashes) > CRASHES_PER_PART_MAX:
            oldest = min(record.crashes.values(), key=lambda item: item.at)
            del record.crashes[oldest.run_hash]
        if known is None:
            self.changed_parts.add(part_hash)

    def _announce_begin(
        self, part_hash: int, version_hash: int, begun_at: float
    ) -> None:
        """Lets other routers know that an answer on a part began."""
        record = self._records.setdefault(part_hash, _Record())
        record.used_at = max(record.used_at, begun_at)
        if record.begun_at.get(version_hash, float("-inf")) < begun_at:
            record.begun_at[version_hash] = begun_at
            self.changed_parts.add(part_hash)

    def _clear(self, part_hash: int, version_hash: int, at: float) -> None:
        """Removes the crashes of a part that an answer disproves."""
        record = self._records[part_hash]
        cleared = [
            crash.run_hash
            for crash in record.crashes.values()
            if crash.version_hash == version_hash
            and crash.at <= at + CLEARED_BEFORE_S
        ]
        for run_hash in cleared:
            del record.crashes[run_hash]
        if cleared:
            record.begun_at[version_hash] = at
            self.changed_parts.add(part_hash)

    def has_begun(self, part_hash: int, version_hash: int) -> bool:
        """Returns whether an answer on a part is known to have begun."""
        return (part_hash, version_hash) in self._begun_at

    def list_crashed_runs(
        self, part_hash: int, version_hash: int
    ) -> frozenset[int]:
        """Returns the hashes of the runs that a part may have crashed."""
        return frozenset(
            crash.run_hash
            for crash in self.list_crashes(part_hash)
            if crash.version_hash == version_hash
        )

    def list_crashes(self, part_hash: int) -> list[Crash]:
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

    def describe(self, part_hash: int) -> PartEvidence | None:
        """Returns what other routers are told of a part; None if nothing."""
        record = self._records.get(part_hash)
        if record is None:
            return None
        return PartEvidence(
            part_hash,
            tuple(self.list_crashes(part_hash)),
            dict(record.begun_at),
            record.used_at,
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
