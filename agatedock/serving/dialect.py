"""What the serving path needs to know of an interface."""

from __future__ import annotations

from collections.abc import Mapping
import dataclasses
import enum
from typing import Protocol

import multidict

from agatedock.decisions import placement
from agatedock.domain import requests
from agatedock.serving import request_errors


class ResponseKind(enum.StrEnum):
    """What the head of a replica's answer says."""

    SUCCESS = "good"
    # A failure that is the replica's answer and may be passed on.
    FAILED = "failed"
    # A failure whose status would promise "not run" although it may have run.
    AMBIGUOUS = "ambiguous"
    NOT_RUN = "not_run"
    # Not run, and the replica takes no more requests.
    DRAINING = "leaving"
    MISDIRECTED = "moved"
    # Not an answer to this request, or not from a replica.
    INVALID = "invalid"


@dataclasses.dataclass(frozen=True, slots=True)
class Attempt:
    """One send of a request to a replica.

    Attributes:
      account: Name of the client account; empty on public routes.
      rank: Urgency, 0 the most urgent.
      remaining_s: Time until the answer is of no use.
      last_event_id: Where the stream continues; None from its start.
      number: Counts the sends of this request, from 1.
      body: As the client sent it.
      delivered_events: Events of the stream that the client already has, if the
        dialect asks for them.
    """

    request: requests.Request
    placement: placement.Placement
    account: str
    rank: int
    remaining_s: float
    last_event_id: str | None
    number: int
    body: bytes
    delivered_events: bytes = b""


@dataclasses.dataclass(frozen=True, slots=True)
class CancelRequest:
    """A request that ends the work on another one."""

    method: str
    target: str
    headers: multidict.CIMultiDict[str]


@dataclasses.dataclass(frozen=True, slots=True)
class Response:
    """A whole answer."""

    status: int
    headers: list[tuple[str, str]]
    body: bytes


class Dialect(Protocol):
    """Names and forms of one interface.

    Attributes:
      needs_delivered_events: Whether a continued stream needs the events passed
        so far.
      has_sequential_event_ids: Whether ids of events count up by one, from 0.
      end_marker: With what a complete stream ends; empty if its end is enough.
    """

    needs_delivered_events: bool
    has_sequential_event_ids: bool
    end_marker: bytes

    def build_request_headers(
        self, attempt: Attempt
    ) -> multidict.CIMultiDict[str]:
        """Returns the headers of a request to a replica."""

    def build_request_body(self, attempt: Attempt) -> bytes:
        """Returns the body of a request to a replica."""

    def classify_response(
        self,
        request: requests.Request,
        status: int,
        headers: Mapping[str, str],
    ) -> ResponseKind:
        """Returns what the head of an answer says."""

    def matches_request(self, request: requests.Request, data: bytes) -> bool:
        """Tells whether all of some events belong to a request."""

    def build_cancel_request(self, attempt: Attempt) -> CancelRequest | None:
        """Returns what ends the work of a send whose client has left.

        None if replicas see it by the connection's end.
        """

    def build_response_headers(
        self,
        request: requests.Request,
        replica_id: str,
        headers: multidict.CIMultiDictProxy[str],
    ) -> list[tuple[str, str]]:
        """Returns the headers of an answer that go to the client."""

    def build_error_response(
        self,
        request: requests.Request,
        request_error: request_errors.RequestError,
    ) -> Response:
        """Returns the answer to a request that was not served."""
