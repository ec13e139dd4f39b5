"""Faults of the stand-in for a replica."""

from __future__ import annotations

import dataclasses

EVENTS = "text/event-stream"


@dataclasses.dataclass(frozen=True)
class OddResponse:
    """A response that is written as it is.

    Attributes:
      has_length: Whether the head has its length; otherwise it ends with the
        connection.
    """

    status: int
    content_type: str
    body: bytes
    has_length: bool = False


# Answers to a request for the rest of a stream.
RESUMED_RESPONSES = {
    "error": OddResponse(500, "text/plain", b"internal error\n\n", True),
    "unavailable": OddResponse(503, "text/plain", b"busy\n\n", True),
    "text": OddResponse(200, "text/plain", b"error\n\nsorry\n\n", True),
    "no content": OddResponse(204, "", b""),
    "empty without length": OddResponse(200, EVENTS, b""),
    "text as events": OddResponse(200, EVENTS, b"internal error\n\n"),
    "head as events": OddResponse(
        200, EVENTS, b"HTTP/1.1 500 Error\nContent-Type: text/plain\n\n"
    ),
    "from the start": OddResponse(200, EVENTS, b"id: 1\ndata: x\n\n"),
    "end inside an event": OddResponse(200, EVENTS, b"id: 3\ndata: x"),
}


@dataclasses.dataclass
class Faults:
    """Faults applied to requests.

    Attributes:
      shed: Every request is rejected as not executed.
      error: Every request runs and fails with this status; 0 for none.
      reset: Every request runs and its connection is reset.
      hang: Every request runs and gets no response.
      cut_after: Streams are reset within the event after this many.
      trickle_after: Streams stall after this many events; other responses
        stall at the start of their body, as after 0 events. A stalled response
        sends single bytes, one at a time with pauses.
      other_id: Responses carry the attempt id of another request.
      unsealed: Responses lack the seal header, which shows that a replica
        made them.
      unframed: Bodies have no length and are reset before their end.
      leaving: All responses say that the replica is leaving.
      retry_after: Every request is rejected as not executed, with this value
        of Retry-After; empty for none.
      rate_limit: All responses name these rate limits, in requests per second.
      foreign_refusal: Every request runs, and is answered with a rejection that
        carries the attempt id of another request, with this status; 0 for none.
      repeat_refusal: A request that follows a rejected one on the same
        connection runs, and is answered with that rejection again.
      unframed_end: Bodies and streams have no length and end in order.
      cut_head: Every request runs, and its response ends in order after these
        bytes of its head; None for a whole response.
      resumed: How a stream that goes on after an event is answered; a key of
        RESUMED_RESPONSES, or empty to go on with it.
      deadly_part: Id of a prompt part on which the replica crashes when it
        begins to write an answer; empty for none.
      deadly_after: Events of such an answer that it writes before the crash.
    """

    shed: bool = False
    error: int = 0
    reset: bool = False
    hang: bool = False
    cut_after: int | None = None
    trickle_after: int | None = None
    other_id: bool = False
    unsealed: bool = False
    unframed: bool = False
    leaving: bool = False
    retry_after: str = ""
    rate_limit: tuple[str, ...] = ()
    foreign_refusal: int = 0
    repeat_refusal: bool = False
    unframed_end: bool = False
    cut_head: bytes | None = None
    resumed: str = ""
    deadly_part: str = ""
    deadly_after: int = 0
