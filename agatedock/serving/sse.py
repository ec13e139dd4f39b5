"""Splits a stream of server-sent events into batches of complete events."""

from __future__ import annotations

import dataclasses
import re

_EVENT_END = b"\n\n"
_LINE_ENDS = b"\r\n"
_ID_FIELD = re.compile(rb"^id:(.*)$", re.MULTILINE)
# Longest event that is buffered; a stream without event ends would fill memory.
EVENT_MAX_BYTES = 1 << 20
# Digits of an id that is compared as a number.
_ID_DIGITS_MAX = 18


class InvalidStreamError(Exception):  # noqa: N818
    """An event is out of sequence, too long or of another request."""


@dataclasses.dataclass(frozen=True, slots=True)
class Batch:
    """Events that were completed by one chunk.

    Attributes:
      data: Bytes of the events; empty if no event is complete yet.
      last_id: Id of the last event that has one; None if none has.
    """

    data: bytes
    last_id: str | None


class SseSplitter:
    """Splits a stream into complete events; buffers a partial one.

    Sequential ids are checked: none may be missing or repeated. Increasing ids
    are checked as far as they are numbers: none may be repeated.
    """

    def __init__(
        self,
        last_id: str | None = None,
        sequential_ids: bool = False,
        increasing_ids: bool = False,
    ):
        """Initializes the splitter.

        Args:
          last_id: Id of the event after which the stream is resumed; None at
            the start of a stream.
          sequential_ids: Whether ids must count up by one, from 0.
          increasing_ids: Whether each id must be above the one before.
        """
        self._partial_event = bytearray()
        self._next_id: int | None = None
        if sequential_ids:
            self._next_id = int(last_id) + 1 if last_id else 0
        self._increasing_ids = increasing_ids
        self._last_number = _parse_number(last_id or "")

    @property
    def partial_bytes(self) -> int:
        """Returns the size of the event that is not complete yet."""
        return len(self._partial_event)

    @property
    def at_event_boundary(self) -> bool:
        """Returns whether no partial event is buffered."""
        return not self._partial_event.strip(_LINE_ENDS)

    def take_empty_lines(self) -> bytes:
        """Returns the empty lines after the last event; they are complete."""
        empty_lines = bytes(self._partial_event)
        self._partial_event.clear()
        return empty_lines

    def feed(self, chunk: bytes) -> Batch:
        """Returns the events that this chunk completes.

        Empty lines are no event: they are held until one follows them.

        Raises:
          InvalidStreamError: An event is out of sequence or longer than
            EVENT_MAX_BYTES.
        """
        # The end of an event may have begun in an earlier chunk.
        searched_from = max(0, len(self._partial_event) + 1 - len(_EVENT_END))
        self._partial_event += chunk
        end = self._partial_event.rfind(_EVENT_END, searched_from)
        if end >= 0 and not self._partial_event[:end].strip(_LINE_ENDS):
            end = -1
        if end < 0:
            if len(self._partial_event) > EVENT_MAX_BYTES:
                raise InvalidStreamError(
                    f"event exceeds {EVENT_MAX_BYTES} bytes"
                )
            return Batch(b"", None)
        end += len(_EVENT_END)
        events = bytes(self._partial_event[:end])
        del self._partial_event[:end]
        ids = [
            value.strip().decode("latin-1")
            for value in _ID_FIELD.findall(events)
        ]
        self._check_ids(ids)
        return Batch(events, ids[-1] if ids else None)

    def _check_ids(self, ids: list[str]) -> None:
        if self._increasing_ids:
            self._check_increasing(ids)
        if self._next_id is None:
            return
        for event_id in ids:
            if event_id != str(self._next_id):
                raise InvalidStreamError(
                    f"event id {event_id}, expected {self._next_id}"
                )
            self._next_id += 1

    def _check_increasing(self, ids: list[str]) -> None:
        for event_id in ids:
            number = _parse_number(event_id)
            if (
                number is not None
                and self._last_number is not None
                and number <= self._last_number
            ):
                raise InvalidStreamError(
                    f"event id {number} after {self._last_number}"
                )
            self._last_number = number


def _parse_number(event_id: str) -> int | None:
    """Returns the number of an event; None if its id is not a number."""
    is_number = event_id.isascii() and event_id.isdigit()
    return (
        int(event_id) if is_number and len(event_id) <= _ID_DIGITS_MAX else None
    )
