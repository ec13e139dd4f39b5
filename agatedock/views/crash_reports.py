"""What routers tell each other of prompt parts that may crash replicas."""

from __future__ import annotations

from collections.abc import Mapping
import dataclasses
import enum

from agatedock import hashing
from agatedock.domain import replicas
from agatedock.domain import requests

# Parts of one prompt that are considered, the first ones.
PARTS_PER_PROMPT_MAX = 64


class AnswerKind(enum.IntEnum):
    """What an answer on a part shows of crashes that the part may explain."""

    # It began: replicas do not crash on the part before that.
    BEGUN = 0
    # It lasted clearly longer than all answers that ended with a crash.
    LONG = 1
    # It ended whole.
    WHOLE = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Crash:
    """The end of a run of a replica.

    Attributes:
      run_hash: Hash of the run.
      version_hash: Hash of the version of its software.
      at: When it ended, in seconds of this router's clock.
      lasted_s: How long an answer on the part had lasted there, from its first
        data; 0 if none had begun.
    """

    run_hash: int
    version_hash: int
    at: float
    lasted_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerKey:
    """Answers that show the same of a part.

    Attributes:
      version_hash: Hash of the version of the replica's software.
      kind: What they show.
    """

    version_hash: int
    kind: AnswerKind


@dataclasses.dataclass(frozen=True, slots=True)
class PartEvidence:
    """What is known of one part, as routers tell each other.

    Attributes:
      part_hash: Hash of the part's id.
      crashes: Crashes of replicas that may have been caused by it.
      answered_at: When there was last an answer on it, in seconds.
      used_at: When a replica last crashed or a request was refused, in
        seconds.
    """

    part_hash: int
    crashes: tuple[Crash, ...]
    answered_at: Mapping[AnswerKey, float]
    used_at: float


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
