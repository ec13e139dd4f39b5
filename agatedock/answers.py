"""Check of a streamed answer: whole events, in order, of one request."""

from __future__ import annotations

import json

EVENT_END = b"\n\n"
DONE_EVENT = b"data: [DONE]"
# Sent by a home to the entry router, never to a caller.
PREEMPTED_EVENT = b"data: [PREEMPTED]"
EVENT_MAX_BYTES = 1 << 20


class BrokenAnswer(Exception):  # noqa: N818
    """The stream does not continue the answer of this request."""


class Preempted(Exception):  # noqa: N818
    """The engine gave the request's slot to more urgent work."""


class Checker:
    """Follows one answer through all the streams that carry parts of it.

    Attributes:
      events: Number of events passed to the caller so far.
      done: Whether the end mark has come.
    """

    def __init__(self, request_id: str):
        self.events = 0
        self.done = False
        self._marker = json.dumps(request_id).encode()
        self._rest = b""
        self._passed: list[bytes] = []

    def feed(self, chunk: bytes) -> bytes:
        """Returns the whole events that a chunk completes.

        Raises:
          BrokenAnswer: An event is of another request or out of order.
          Preempted: The rest of the answer has to be asked for again.
        """
        data = self._rest + chunk
        if data.endswith(PREEMPTED_EVENT + EVENT_END):
            # What came before the mark is lost and made again.
            raise Preempted
        end = data.rfind(EVENT_END)
        if end < 0:
            if len(data) > EVENT_MAX_BYTES:
                raise BrokenAnswer("event too large")
            self._rest = data
            return b""
        end += len(EVENT_END)
        whole, self._rest = data[:end], data[end:]
        for event in whole.split(EVENT_END)[:-1]:
            self._check(event)
        self._passed.append(whole)
        return whole

    def _check(self, event: bytes) -> None:
        if self.done:
            raise BrokenAnswer("data after the end mark")
        if event == DONE_EVENT:
            self.done = True
            return
        head, _, data = event.partition(b"\n")
        if head != b"id: %d" % self.events:
            raise BrokenAnswer(f"expected event {self.events}, got {head!r}")
        if self._marker not in data:
            raise BrokenAnswer("event of another request")
        self.events += 1

    def restart(self) -> None:
        """Drops a part of an event before the stream is opened again."""
        self._rest = b""

    def payloads(self) -> list[dict]:
        """Returns the JSON of all events passed so far."""
        joined = b"".join(self._passed)
        return [
            json.loads(event.partition(b"\ndata: ")[2])
            for event in joined.split(EVENT_END)
            if event and event != DONE_EVENT
        ]

    def text(self) -> str:
        """Returns the text passed so far."""
        return "".join(
            payload["choices"][0]["delta"].get("content", "")
            for payload in self.payloads()
        )
