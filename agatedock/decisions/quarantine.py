"""Decides whether a request would crash the replica that it is sent to.

Answers the load of requests with one prompt part on which any replica crashes
while it writes an answer. Each crash ends all other requests at the replica,
and a retry crashes a second one. The parts of all these requests are suspects,
and sound requests share most of them, so a count of crashes is not enough: a
part is quarantined if several runs of replicas crashed and no other part, which
the request does not have, explains these crashes as well. A part on which an
answer ended whole before is probably sound: it takes more crashes, and explains
none of those of a part without any whole answer.

A quarantined part is tried again when replicas run another version of their
software, and otherwise a few times at growing intervals, by one router.
"""

from __future__ import annotations

from collections.abc import Iterable
import dataclasses
import math
from typing import Protocol

from agatedock.views import crash_evidence
from agatedock.views import crash_reports

# Crashed runs of replicas from which on a part is quarantined.
CRASHES_MIN = 3
# The same for a retry of a request whose first replica crashed before it
# answered.
RETRY_CRASHES_MIN = 2
# Both, if an answer on the part ended whole before.
SOUND_CRASHES_MIN = 6
SOUND_RETRY_CRASHES_MIN = 4
# The same if replicas with another version crashed on it before.
OTHER_VERSION_CRASHES_MIN = 1
# A part with so many crashes is quarantined even if another one explains them.
EXPLAINED_CRASHES_LIMIT = 12
# Crashes that another part need not have to explain the rest, if answers on the
# part began before. A replica may also have crashed for another reason.
UNEXPLAINED_MAX = 1
# Crashes of a part that explains those of others.
EXPLAINING_MIN = 2
# Times after the last crash at which one request may try the part again. After
# the last of them only another version of the replicas is tried.
PROBE_DELAYS_S = (60.0, 300.0, 1800.0)
# A longer interval between crashes means that the later one was a probe.
PROBE_GAP_S = PROBE_DELAYS_S[0] / 2
# Retry-After if no further probe is due.
NO_PROBE_RETRY_AFTER_S = 3600.0


class Evidence(Protocol):
    """Crashes by prompt part."""

    def list_crashes(self, part_hash: int) -> list[crash_reports.Crash]:
        """Returns the crashes that a part may have caused."""

    def list_crashed_runs(
        self, part_hash: int, version_hash: int
    ) -> frozenset[int]:
        """Returns the runs of one version that a part may have crashed."""

    def has_answered(self, part_hash: int, version_hash: int) -> bool:
        """Returns whether an answer on a part is known to have begun."""

    def has_ended_whole(self, part_hash: int, version_hash: int) -> bool:
        """Returns whether an answer on a part is known to have ended whole."""

    def list_parts(self) -> list[int]:
        """Returns the parts with evidence."""


@dataclasses.dataclass(frozen=True, slots=True)
class Cause:
    """A part of a request that crashes replicas.

    Attributes:
      part_hash: Hash of the part's id.
      crashes: Runs of replicas that crashed.
      crashed_at: When the last of them crashed, in seconds.
      probe_at: When one request may try the part again; infinite for never.
    """

    part_hash: int
    crashes: int
    crashed_at: float
    probe_at: float

    def compute_retry_after_s(self, now: float) -> float:
        """Returns when a refused request may come back, in seconds."""
        if math.isinf(self.probe_at):
            return NO_PROBE_RETRY_AFTER_S
        return max(1.0, self.probe_at - now)


def find_cause(
    part_hashes: Iterable[int],
    version_hash: int,
    evidence: Evidence,
    *,
    is_retry: bool = False,
) -> Cause | None:
    """Returns a part of a request that is quarantined, None if there is none.

    Args:
      part_hashes: The parts of the request's prompt.
      version_hash: Version of the replica's software.
      evidence: Crashes by prompt part.
      is_retry: Whether a replica crashed at an earlier attempt before it
        answered.
    """
    own_parts = frozenset(part_hashes)
    for part_hash in own_parts:
        runs = evidence.list_crashed_runs(part_hash, version_hash)
        if not runs:
            continue
        crashes = evidence.list_crashes(part_hash)
        is_sound = evidence.has_ended_whole(part_hash, version_hash)
        crashes_min = _get_crashes_min(is_retry=is_retry, is_sound=is_sound)
        if not is_sound and len(crashes) - len(runs) >= CRASHES_MIN:
            crashes_min = OTHER_VERSION_CRASHES_MIN
        if len(runs) < crashes_min:
            continue
        suspects = [
            other_hash
            for other_hash in evidence.list_parts()
            if other_hash not in own_parts
            and (
                is_sound
                or not evidence.has_ended_whole(other_hash, version_hash)
            )
        ]
        unexplained_max = 0
        if not is_retry and evidence.has_answered(part_hash, version_hash):
            unexplained_max = UNEXPLAINED_MAX
        if len(runs) < EXPLAINED_CRASHES_LIMIT and _is_explained(
            runs, suspects, version_hash, unexplained_max, evidence
        ):
            continue
        crashed_at = max(crash.at for crash in crashes)
        return Cause(
            part_hash, len(runs), crashed_at, _compute_probe_at(crashes)
        )
    return None


def _get_crashes_min(*, is_retry: bool, is_sound: bool) -> int:
    """Returns from how many crashes on a part is quarantined."""
    if is_sound:
        return SOUND_RETRY_CRASHES_MIN if is_retry else SOUND_CRASHES_MIN
    return RETRY_CRASHES_MIN if is_retry else CRASHES_MIN


def _is_explained(
    runs: frozenset[int],
    suspects: Iterable[int],
    version_hash: int,
    unexplained_max: int,
    evidence: Evidence,
) -> bool:
    """Returns whether another part explains some crashes."""
    for part_hash in suspects:
        others = evidence.list_crashed_runs(part_hash, version_hash)
        unexplained = len(runs - others)
        if len(others) >= EXPLAINING_MIN and unexplained <= unexplained_max:
            return True
        # What a part of more crashes does not explain must itself suffice.
        if len(others) > len(runs) and unexplained < CRASHES_MIN:
            return True
    return False


def _compute_probe_at(crashes: list[crash_reports.Crash]) -> float:
    """Returns when the next probe is due; infinite after the last one."""
    times = sorted(crash.at for crash in crashes)
    probes = sum(
        later - earlier >= PROBE_GAP_S
        for earlier, later in zip(times, times[1:], strict=False)
    )
    if probes >= len(PROBE_DELAYS_S):
        return math.inf
    return times[-1] + PROBE_DELAYS_S[probes]


class Probes:
    """Requests that tried a quarantined part again, by part."""

    def __init__(self) -> None:
        self._sent_at: dict[int, float] = {}

    def is_due(self, cause: Cause, now: float) -> bool:
        """Returns whether a request may try a part now.

        Only the router that owns the part asks for this. A probe without any
        result is followed by the next one after the first delay.
        """
        sent_at = self._sent_at.get(cause.part_hash, -math.inf)
        return now >= max(cause.probe_at, sent_at + PROBE_DELAYS_S[0])

    def record(self, part_hash: int, now: float) -> None:
        """Records that a request tries a part."""
        self._sent_at[part_hash] = now
        if len(self._sent_at) > crash_evidence.PARTS_MAX:
            del self._sent_at[min(self._sent_at, key=self._sent_at.__getitem__)]
