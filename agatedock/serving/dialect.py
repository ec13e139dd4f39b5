"""What the serving path needs to know about an API.

A dialect holds the header names and body formats of one API: the native one or
that of the hosting platform.
"""

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
    """How the head of a replica's response is classified."""

    SUCCESS = "good"
    # An error response of the replica that may be forwarded to the client.
    FAILED = "failed"
    # An error whose status would tell the client "not run" although the request
    # may have run.
    AMBIGUOUS = "ambiguous"
    NOT_RUN = "not_run"
    # Not run, because another replica now has the address.
    MISDIRECTED = "moved"
    # Not a response to this request, or not from a replica.
    INVALID = "invalid"


@dataclasses.dataclass(frozen=True, slots=True)
class Notice:
    """What a replica says of itself in the head of any response.

    Attributes:
      draining: Whether it accepts no new requests any more.
      retry_after: Value of Retry-After if it rejected the request and wants no
        other from this router for that long; None if it said nothing.
      rate_limit: Values with which it names its rate limit, in requests per
        second from all routers together; usually one or none.
      cold_ms: Value with which it says how much longer it is cold, in
        milliseconds; None if it said nothing.
      load: Value with which it reports its load; None if it reported none.
    """

    draining: bool = False
    retry_after: str | None = None
    rate_limit: tuple[str, ...] = ()
    cold_ms: str | None = None
    load: str | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Attempt:
    """One attempt to run a request on a replica.

    Attributes:
      request: The client's request.
      placement: The chosen replica, and why it was chosen.
      account: Name of the client account; empty on public routes.
      rank: Priority class, 0 is the highest.
      remaining_s: Time until the client or the route times out.
      last_event_id: Id of the event after which a stream is resumed; None if
        it starts from its beginning.
      number: Number of this attempt of the request, from 1.
      body: Request body as the client sent it.
      delivered_events: Events of the stream that the client already has; empty
        unless the dialect needs them.
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
    """A request that makes a replica cancel another request."""

    method: str
    target: str
    headers: multidict.CIMultiDict[str]


@dataclasses.dataclass(frozen=True, slots=True)
class Response:
    """A complete HTTP response."""

    status: int
    headers: list[tuple[str, str]]
    body: bytes


def list_values(headers: Mapping[str, str], name: str) -> tuple[str, ...]:
    """Returns all values of a header, which may be repeated."""
    if isinstance(headers, multidict.MultiMapping):
        return tuple(headers.getall(name, ()))
    value = headers.get(name)
    return () if value is None else (value,)


class Dialect(Protocol):
    """Header names and body formats of one API.

    Attributes:
      needs_delivered_events: Whether a resumed stream needs the events that
        were delivered so far.
      has_sequential_event_ids: Whether event ids count up by one, from 0.
      has_increasing_event_ids: Whether each event id is above the one before.
      end_marker: Bytes at the end of a complete stream; empty if the end of the
        body marks completion.
    """

    needs_delivered_events: bool
    has_sequential_event_ids: bool
    has_increasing_event_ids: bool
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
        """Returns how the head of a response is classified."""

    def parse_notice(
        self,
        request: requests.Request,
        status: int,
        headers: Mapping[str, str],
    ) -> Notice:
        """Returns what the replica says of itself in a response head."""

    def matches_request(self, request: requests.Request, data: bytes) -> bool:
        """Returns whether all events in the data belong to a request."""

    def build_cancel_request(self, attempt: Attempt) -> CancelRequest | None:
        """Returns the request that cancels an attempt.

        It is None if replicas cancel when the connection is closed.
        """

    def build_response_headers(
        self,
        request: requests.Request,
        replica_id: str,
        headers: multidict.CIMultiDictProxy[str],
    ) -> list[tuple[str, str]]:
        """Returns the response headers that the client gets."""

    def build_error_response(
        self,
        request: requests.Request,
        request_error: request_errors.RequestError,
    ) -> Response:
        """Returns the response to a request that was not served."""
