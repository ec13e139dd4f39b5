"""Splits an event stream so that only whole events are passed on."""

from __future__ import annotations

import dataclasses

_EVENT_END = b"\n\n"
_ID_FIELD = b"id:"
# Longest event that is waited for; a stream without ends would fill memory.
EVENT_MAX_BYTES = 1 << 20


class InvalidStreamError(Exception):  # noqa: N818
    """An event does not follow the one before it."""


@dataclasses.dataclass(frozen=True, slots=True)
class Batch:
    """Whole events that arrived together.

    Attributes:
      data: Their bytes; empty if no event is complete yet.
      last_id: Id of the last event that has one, else None.
    """

    data: bytes
    last_id: str | None


class SseSplitter:
    """Keeps the beginning of an event until its end arrives.

    Raises InvalidStreamError where ids count up by one and one does not.
    """

    def __init__(
        self, last_id: str | None = None, sequential_ids: bool = False
    ):
        """Starts after an event.

        Args:
          last_id: Its id; None at the start of a stream.
          sequential_ids: Whether ids count up by one, from 0.
        """
        self._partial_event = b""
        self._next_id: int | None = None
        if sequential_ids:
            self._next_id = int(last_id) + 1 if last_id else 0

    @property
    def at_event_boundary(self) -> bool:
        """Tells whether the stream stands between two events."""
        return not self._partial_event

    def feed(self, chunk: bytes) -> Batch:
        """Returns the events that are complete with this chunk.

        Raises:
          InvalidStreamError: An event is out of order, or far too long.
        """
        data = self._partial_event + chunk
        end = data.rfind(_EVENT_END)
        if end < 0:
            if len(data) > EVENT_MAX_BYTES:
                raise InvalidStreamError("no end of an event")
            self._partial_event = data
            return Batch(b"", None)
        end += len(_EVENT_END)
        events, self._partial_event = data[:end], data[end:]
        ids = [
            line[len(_ID_FIELD) :].strip().decode("latin-1")
            for line in events.split(b"\n")
            if line.startswith(_ID_FIELD)
        ]
        self._check_ids(ids)
        return Batch(events, ids[-1] if ids else None)

    def _check_ids(self, ids: list[str]) -> None:
        if self._next_id is None:
            return
        for event_id in ids:
            if event_id != str(self._next_id):
                raise InvalidStreamError(
                    f"event {event_id}, not {self._next_id}"
                )
            self._next_id += 1
