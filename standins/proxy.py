"""Loopback TCP proxy that injects network faults."""

from __future__ import annotations

import asyncio
import enum
import socket
import struct

_CHUNK_BYTES = 65536


class Mode(enum.StrEnum):
    """How the proxy treats the bytes of all connections."""

    PASS = "pass"
    DELAY = "delay"
    # No bytes are forwarded; connections stay open.
    SILENT = "silent"
    # Requests are forwarded, responses are not.
    ONE_WAY = "one_way"
    # Connections are reset when the next bytes arrive.
    RESET = "reset"


class Proxy:
    """Forwards connections to one address."""

    def __init__(self, target: str) -> None:
        self._target = target
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self.mode = Mode.PASS
        self.delay_s = 0.2
        self.address = ""

    async def start(self) -> None:
        """Listens on a free port of the loopback address."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    async def stop(self) -> None:
        """Stops listening and closes all connections."""
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        host, _, port = self._target.rpartition(":")
        pipes: list[asyncio.Task[None]] = []
        try:
            upstream_reader, upstream_writer = await asyncio.open_connection(
                host, int(port)
            )
            pipes = [
                asyncio.create_task(self._copy(reader, upstream_writer, False)),
                asyncio.create_task(self._copy(upstream_reader, writer, True)),
            ]
            # When either direction ends, both are closed, as in a crash.
            await asyncio.wait(pipes, return_when=asyncio.FIRST_COMPLETED)
            upstream_writer.close()
        except OSError:
            _reset(writer)
        except asyncio.CancelledError:
            # The proxy is stopping; asyncio would log the cancellation as an
            # error.
            return
        finally:
            self._tasks.discard(task)
            for pipe in pipes:
                pipe.cancel()
            writer.close()

    async def _copy(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        is_response: bool,
    ) -> None:
        while True:
            try:
                data = await reader.read(_CHUNK_BYTES)
            except OSError:
                _reset(writer)
                return
            if not data:
                return
            mode = self.mode
            if mode is Mode.DELAY:
                await asyncio.sleep(self.delay_s)
            if mode is Mode.RESET:
                _reset(writer)
                return
            if mode is Mode.SILENT or (mode is Mode.ONE_WAY and is_response):
                # Bytes held back are never forwarded later, so they are lost
                # when the connection is closed.
                await asyncio.sleep(3600)
            writer.write(data)


def _reset(writer: asyncio.StreamWriter) -> None:
    sock = writer.get_extra_info("socket")
    if sock is not None and sock.fileno() >= 0:
        linger = struct.pack("ii", 1, 0)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()
