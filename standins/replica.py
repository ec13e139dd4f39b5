"""Stand-in for a replica on the hosting platform, with faults."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Mapping
import contextlib
import dataclasses
import json
import socket
import struct
import time

from aiohttp import web
import multidict

from standins import faults as replica_faults
from standins import runner

ATTEMPT_ID_HEADER = "X-Agatedock-Attempt-Id"
SEAL_HEADER = "X-Agatedock-Response-Seal"
LEAVING_HEADER = "Server-Leaving"
RATE_LIMIT_HEADER = "Server-Limit"

# Number of bytes that a stalled response sends, and the pause between them.
TRICKLE_BYTES = 100
TRICKLE_INTERVAL_S = 0.3


@dataclasses.dataclass
class ReceivedRequest:
    """One request and what became of it at the replica.

    Attributes:
      born: Start of the run of the replica that received it.
      received_at: Monotonic time in seconds.
      told_leaving_at: When a response said that the replica is leaving; None if
        none did.
      rate_limit: Rate limit that the response named, in requests per second;
        None if it named none that can be read.
      paused_at: When it was rejected with Retry-After; None if it was not.
      pause_s: That Retry-After.
    """

    method: str
    target: str
    headers: Mapping[str, str]
    body: bytes
    born: int = 0
    ran: bool = False
    finished: bool = False
    cancelled: bool = False
    received_at: float = dataclasses.field(default_factory=time.monotonic)
    told_leaving_at: float | None = None
    rate_limit: float | None = None
    paused_at: float | None = None
    pause_s: float = 0.0

    @property
    def attempt_id(self) -> str:
        """Returns the attempt id of the request; empty without one."""
        return self.headers.get(ATTEMPT_ID_HEADER, "")


class Replica:
    """Responds with `run by NAME`, or with a stream of numbered events."""

    def __init__(self, name: str, service: str, zone: str = "a") -> None:
        self.name = name
        self.service = service
        self.zone = zone
        self.version = "v1"
        self.slots = 8
        # Monotonic time in seconds until which its entry says that it is cold.
        self.cold_until = 0.0
        self.faults = replica_faults.Faults()
        self.received_requests: list[ReceivedRequest] = []
        self.work_s = 0.0
        self.events = 5
        self.gap_s = 0.01
        self._runner: web.ServerRunner | None = None
        # `address` is the one in its entry, which may be that of a proxy.
        self.address = ""
        self.listen_address = ""
        self._sequence = 0
        # Unix time of the start of its present run in milliseconds.
        self.born = 0
        self.begin_run()
        # Called after each crash, when a new run has started.
        self.on_restart: Callable[[Replica], None] | None = None
        self.down_s = 1.5
        self.crashes: list[float] = []
        self._connections: set[asyncio.Transport] = set()
        # Attempt id of the last rejection on each connection.
        self._rejected_ids: dict[asyncio.BaseTransport, str] = {}
        self._restart_task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Listens on a free port of the loopback address."""
        self._runner, self.address = await runner.listen(
            web.Server(self._handle, handler_cancellation=True)
        )
        self.listen_address = self.address

    async def stop(self) -> None:
        """Stops listening and closes all connections."""
        if self._restart_task is not None:
            self._restart_task.cancel()
        if self._runner is not None:
            await self._runner.cleanup()
            self._runner = None

    def begin_run(self) -> None:
        """Starts a new run under the same name and address."""
        self.born = max(self.born + 1, time.time_ns() // 1_000_000)

    def crash(self) -> None:
        """Ends by a fault of its own, and starts a new run a while later."""
        self.crashes.append(time.monotonic())
        self.restart()

    def restart(self) -> None:
        """Resets all connections, and starts a new run a while later."""
        for transport in self._connections:
            _reset_transport(transport)
        self._connections.clear()
        self._restart_task = asyncio.create_task(self._restart())

    @property
    def is_down(self) -> bool:
        """Returns whether it has crashed and not started again."""
        return self._restart_task is not None and not self._restart_task.done()

    async def _restart(self) -> None:
        assert self._runner is not None
        for site in list(self._runner.sites):
            await site.stop()
        await asyncio.sleep(self.down_s)
        self.begin_run()
        host, _, port = self.listen_address.rpartition(":")
        await web.TCPSite(self._runner, host, int(port)).start()
        if self.on_restart is not None:
            self.on_restart(self)

    @property
    def runs(self) -> list[ReceivedRequest]:
        """Returns the requests that ran here."""
        return [item for item in self.received_requests if item.ran]

    def encode_entry(self, state: str = "ready") -> bytes:
        """Returns a store entry, with the next sequence number."""
        self._sequence += 1
        cold_s = max(0.0, self.cold_until - time.monotonic())
        return json.dumps(
            {
                "Service": self.service,
                "Address": self.address,
                "Zone": self.zone,
                "Version": self.version,
                "Slots": self.slots,
                "State": state,
                "ColdRemainingMs": round(1000 * cold_s),
                "Sequence": self._sequence,
                "born": self.born,
            }
        ).encode()

    async def _handle(self, raw: web.BaseRequest) -> web.StreamResponse:
        received = ReceivedRequest(
            raw.method,
            raw.raw_path,
            raw.headers,
            await raw.content.read(),
            self.born,
        )
        self.received_requests.append(received)
        if raw.transport is not None:
            self._connections.add(raw.transport)
        expected = raw.headers.get("X-Agatedock-Expect-Replica")
        if expected not in (None, self.name):
            return self._make_response(
                received,
                421,
                {
                    ATTEMPT_ID_HEADER: received.attempt_id,
                    "X-Agatedock-Not-Executed": "1",
                    "X-Agatedock-Replica-Id": self.name,
                },
            )
        if self.faults.shed or self.faults.retry_after:
            self._rejected_ids[raw.transport] = received.attempt_id
            return self._reject(received, received.attempt_id)
        received.ran = True
        if self.faults.foreign_refusal:
            return self._reject(received, "other", self.faults.foreign_refusal)
        if self.faults.repeat_refusal and raw.transport in self._rejected_ids:
            return self._reject(received, self._rejected_ids[raw.transport])
        try:
            return await self._run(raw, received)
        except asyncio.CancelledError:
            received.cancelled = True
            raise

    def _reject(
        self, received: ReceivedRequest, attempt_id: str, status: int = 503
    ) -> web.Response:
        """Returns a response that says "not executed"."""
        headers = {
            ATTEMPT_ID_HEADER: attempt_id,
            "X-Agatedock-Not-Executed": "1",
        }
        if self.faults.retry_after:
            headers["Retry-After"] = self.faults.retry_after
            received.paused_at = time.monotonic()
            with contextlib.suppress(ValueError):
                received.pause_s = float(self.faults.retry_after)
        return self._make_response(received, status, headers)

    def _make_response(
        self,
        received: ReceivedRequest,
        status: int,
        headers: dict[str, str],
        text: str = "",
    ) -> web.Response:
        all_headers = self._add_notices(received, headers)
        return web.Response(status=status, headers=all_headers, text=text)

    def _add_notices(
        self, received: ReceivedRequest, headers: dict[str, str]
    ) -> multidict.CIMultiDict[str]:
        """Returns the headers with what the replica says of itself."""
        all_headers = multidict.CIMultiDict(headers)
        if self.faults.leaving:
            all_headers[LEAVING_HEADER] = "1"
            received.told_leaving_at = time.monotonic()
        for value in self.faults.rate_limit:
            all_headers.add(RATE_LIMIT_HEADER, value)
            with contextlib.suppress(ValueError):
                received.rate_limit = float(value)
        return all_headers

    async def _run(
        self, raw: web.BaseRequest, received: ReceivedRequest
    ) -> web.StreamResponse:
        await asyncio.sleep(self.work_s)
        faults = self.faults
        if faults.hang:
            await asyncio.sleep(60)
        if faults.reset:
            _reset(raw)
            return web.Response()
        headers = {
            ATTEMPT_ID_HEADER: "other"
            if faults.other_id
            else raw.headers.get(ATTEMPT_ID_HEADER, "")
        }
        if not faults.unsealed:
            headers[SEAL_HEADER] = f"seal-{self.name}"
        if faults.error:
            return self._make_response(
                received, faults.error, headers, "failed"
            )
        if faults.unframed:
            return await self._respond_unframed(raw, headers)
        if faults.cut_head is not None:
            return await self._write_and_close(raw, faults.cut_head)
        odd = self._choose_odd_response(raw)
        if odd is not None:
            return await self._write_raw(raw, headers, odd)
        if "X-Agatedock-Prompt-Prefix" in raw.headers:
            return await self._stream(raw, received, headers)
        if faults.trickle_after is not None:
            response = web.StreamResponse(headers=headers)
            await response.prepare(raw)
            await _trickle(response)
        received.finished = True
        return self._make_response(
            received, 200, headers, f"run by {self.name}"
        )

    async def _stream(
        self,
        raw: web.BaseRequest,
        received: ReceivedRequest,
        headers: dict[str, str],
    ) -> web.StreamResponse:
        all_headers = self._add_notices(received, headers)
        response = web.StreamResponse(headers=all_headers)
        response.content_type = "text/event-stream"
        await response.prepare(raw)
        is_deadly = self._is_deadly(raw)
        first = int(raw.headers.get("Last-Event-Id", "0")) + 1
        for number in range(first, self.events + 1):
            if is_deadly and number - first >= self.faults.deadly_after:
                self.crash()
                return response
            if self.faults.cut_after == number - first:
                await response.write(b"id: 99\nda")
                _reset(raw)
                return response
            if self.faults.trickle_after == number - first:
                await _trickle(response)
            await response.write(f"id: {number}\ndata: x\n\n".encode())
            await asyncio.sleep(self.gap_s)
        await response.write_eof()
        received.finished = True
        return response

    def _is_deadly(self, raw: web.BaseRequest) -> bool:
        prompt = raw.headers.get("X-Agatedock-Prompt-Prefix", "")
        part_ids = [item.partition(":")[0] for item in prompt.split(",")]
        return self.faults.deadly_part in part_ids

    def _choose_odd_response(
        self, raw: web.BaseRequest
    ) -> replica_faults.OddResponse | None:
        """Returns the response that is written as it is; None for none."""
        if self.faults.resumed and "Last-Event-Id" in raw.headers:
            return replica_faults.RESUMED_RESPONSES[self.faults.resumed]
        if not self.faults.unframed_end:
            return None
        if "X-Agatedock-Prompt-Prefix" not in raw.headers:
            return replica_faults.OddResponse(
                200, "", f"run by {self.name}".encode()
            )
        events = b"".join(
            f"id: {number}\ndata: x\n\n".encode()
            for number in range(1, self.events + 1)
        )
        return replica_faults.OddResponse(200, replica_faults.EVENTS, events)

    async def _write_raw(
        self,
        raw: web.BaseRequest,
        headers: dict[str, str],
        odd: replica_faults.OddResponse,
    ) -> web.Response:
        """Writes a response, and closes the connection in order."""
        headers["Connection"] = "close"
        if odd.content_type:
            headers["Content-Type"] = odd.content_type
        if odd.has_length:
            headers["Content-Length"] = str(len(odd.body))
        lines = "".join(f"{key}: {value}\r\n" for key, value in headers.items())
        head = f"HTTP/1.1 {odd.status} Status\r\n{lines}\r\n"
        return await self._write_and_close(raw, head.encode() + odd.body)

    async def _write_and_close(
        self, raw: web.BaseRequest, data: bytes
    ) -> web.Response:
        assert raw.transport is not None
        raw.transport.write(data)
        await asyncio.sleep(0.05)
        raw.transport.close()
        return web.Response()

    async def _respond_unframed(
        self, raw: web.BaseRequest, headers: dict[str, str]
    ) -> web.StreamResponse:
        lines = "".join(f"{key}: {value}\r\n" for key, value in headers.items())
        raw.transport.write(
            f"HTTP/1.1 200 OK\r\n{lines}Connection: close\r\n\r\nhalf".encode()
        )
        await asyncio.sleep(0.05)
        _reset(raw)
        return web.Response()


async def _trickle(response: web.StreamResponse) -> None:
    for _ in range(TRICKLE_BYTES):
        await response.write(b"i")
        await asyncio.sleep(TRICKLE_INTERVAL_S)


def _reset(raw: web.BaseRequest) -> None:
    """Closes the connection with a TCP reset."""
    if raw.transport is not None:
        _reset_transport(raw.transport)


def _reset_transport(transport: asyncio.Transport) -> None:
    sock = transport.get_extra_info("socket")
    if sock is not None and sock.fileno() >= 0:
        linger = struct.pack("ii", 1, 0)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    transport.abort()
