"""Splits an event stream so that only whole events are passed on."""

from __future__ import annotations

import dataclasses

_END = b"\n\n"
_ID = b"id:"


@dataclasses.dataclass(frozen=True, slots=True)
class Batch:
    """Whole events that arrived together.

    Attributes:
      data: Their bytes; empty if no event is complete yet.
      last_id: Id of the last event that has one, else None.
    """

    data: bytes
    last_id: str | None


class Splitter:
    """Keeps the beginning of an event until its end arrives."""

    def __init__(self) -> None:
        self._rest = b""

    @property
    def is_clean(self) -> bool:
        """Tells whether the stream stands between two events."""
        return not self._rest

    def feed(self, chunk: bytes) -> Batch:
        """Returns the events that are complete with this chunk."""
        data = self._rest + chunk
        end = data.rfind(_END)
        if end < 0:
            self._rest = data
            return Batch(b"", None)
        end += len(_END)
        whole, self._rest = data[:end], data[end:]
        ids = [
            line[len(_ID) :].strip().decode("latin-1")
            for line in whole.split(b"\n")
            if line.startswith(_ID)
        ]
        return Batch(whole, ids[-1] if ids else None)
