"""The record of one prompt part that may crash replicas."""

from __future__ import annotations

import dataclasses

from agatedock.views import crash_reports

# A part that is sound at some time was not the cause of a crash this much
# later. This does not hold for answers that still go on.
CLEARED_BEFORE_S = {
    crash_reports.AnswerKind.BEGUN: 1.0,
    crash_reports.AnswerKind.LONG: 0.0,
    crash_reports.AnswerKind.WHOLE: 1.0,
}


@dataclasses.dataclass(slots=True)
class Record:
    """Evidence about one part: crashes by run, and answers to tell of.

    Attributes:
      is_told: Whether other routers know of any of its crashes.
    """

    crashes: dict[int, crash_reports.Crash] = dataclasses.field(
        default_factory=dict
    )
    answered_at: dict[crash_reports.AnswerKey, float] = dataclasses.field(
        default_factory=dict
    )
    used_at: float = 0.0
    is_told: bool = False

    def get_longest_s(self, version_hash: int) -> float:
        """Returns how long answers had lasted that ended with a crash."""
        return max(
            (
                crash.lasted_s
                for crash in self.crashes.values()
                if crash.version_hash == version_hash
            ),
            default=0.0,
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Rank:
    """How urgent the news of a part are.

    Attributes:
      is_suspect: Whether it has crashes and is not probably sound.
      crashes: Crashes that it may have caused.
      shortest_s: How long an answer on it had lasted at least.
    """

    is_suspect: bool
    crashes: int
    shortest_s: float

    def make_key(self) -> tuple[bool, int, float]:
        """Returns a key by which the most urgent news sort last."""
        return self.is_suspect, self.crashes, -self.shortest_s


def clears(
    key: crash_reports.AnswerKey, at: float, crash: crash_reports.Crash
) -> bool:
    """Returns whether an answer shows that its parts did not cause a crash."""
    if key.version_hash != crash.version_hash:
        return False
    if key.kind is crash_reports.AnswerKind.BEGUN and crash.lasted_s:
        return False
    return crash.at <= at + CLEARED_BEFORE_S[key.kind]
