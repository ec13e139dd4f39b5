"""What the serving path needs to know of an interface's headers."""

from __future__ import annotations

from collections.abc import Mapping
import dataclasses
import enum
from typing import Protocol

import multidict

from agatedock.decisions import placement
from agatedock.domain import requests


class ReplyKind(enum.StrEnum):
    """What the head of a replica's answer says."""

    GOOD = "good"
    # A failure that is the replica's answer and may be passed on.
    FAILED = "failed"
    # A failure whose status would promise "not run" although it may have run.
    AMBIGUOUS = "ambiguous"
    NOT_RUN = "not_run"
    MOVED = "moved"
    # Not an answer to this request, or not from a replica.
    INVALID = "invalid"


@dataclasses.dataclass(frozen=True, slots=True)
class Sending:
    """One send of a request to a replica.

    Attributes:
      account: Name of the client account; empty on public routes.
      rank: Urgency, 0 the most urgent.
      left_s: Time until the answer is of no use.
      last_event_id: Where the stream continues; None from its start.
    """

    request: requests.Request
    place: placement.Placement
    account: str
    rank: int
    left_s: float
    last_event_id: str | None


class Dialect(Protocol):
    """Names of headers on one interface."""

    def write_headers(self, sending: Sending) -> multidict.CIMultiDict[str]:
        """Returns the headers of a request to a replica."""

    def classify(
        self,
        request: requests.Request,
        status: int,
        headers: Mapping[str, str],
    ) -> ReplyKind:
        """Returns what the head of an answer says."""

    def list_reply_headers(
        self, headers: multidict.CIMultiDictProxy[str]
    ) -> list[tuple[str, str]]:
        """Returns the headers of an answer that go to the client."""
