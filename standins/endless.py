"""Stand-in for a replica in trouble: bytes without end after each request."""

from __future__ import annotations

import asyncio
import dataclasses
import json

SEND_BYTES = 65536


@dataclasses.dataclass
class Sent:
    """What was sent in reply to one request.

    Attributes:
      size_bytes: Bytes written, including those that wait in buffers.
      is_closed: Whether the caller closed the connection.
    """

    size_bytes: int = 0
    is_closed: bool = False


class EndlessReplica:
    """Sends a head, and then the same bytes until the caller closes.

    Attributes:
      head: Sent first; `ID` stands for the id of the request.
      filler: Sent again and again after that; nothing more if empty.
      interval_s: Pause between two sends.
      sent: What was sent, by request.
    """

    def __init__(self, name: str, service: str) -> None:
        self.name = name
        self.service = service
        self.head = b""
        self.filler = b"x" * SEND_BYTES
        self.interval_s = 0.0
        self.sent: list[Sent] = []
        self.address = ""
        self._server: asyncio.Server | None = None
        self._sequence = 0

    async def start(self) -> None:
        """Listens on a free port of the loopback address."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    async def stop(self) -> None:
        """Stops listening; connections end with their callers."""
        if self._server is not None:
            self._server.close()

    def encode_entry(self, state: str = "ready") -> bytes:
        """Returns a store entry, with the next sequence number."""
        self._sequence += 1
        return json.dumps(
            {
                "Service": self.service,
                "Address": self.address,
                "Zone": "a",
                "Version": "v1",
                "Slots": 64,
                "State": state,
                "ColdRemainingMs": 0,
                "Sequence": self._sequence,
                "born": 1,
            }
        ).encode()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                await self._send(_find_id(head), writer)
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _send(self, request_id: bytes, writer: asyncio.StreamWriter):
        sent = Sent()
        self.sent.append(sent)
        writer.write(self.head.replace(b"ID", request_id))
        try:
            while self.filler:
                writer.write(self.filler)
                sent.size_bytes += len(self.filler)
                await writer.drain()
                await asyncio.sleep(self.interval_s)
        except OSError:
            sent.is_closed = True
            raise


def _find_id(head: bytes) -> bytes:
    """Returns the id in a request's head; empty without one."""
    for line in head.split(b"\r\n"):
        name, _, value = line.partition(b":")
        if name.lower() == b"x-agatedock-attempt-id":
            return value.strip()
    return b""
