"""A router process before stand-ins, and clients that send too much."""

from __future__ import annotations

import asyncio
import contextlib
import os
import pathlib
import sys
import tempfile
import unittest

import aiohttp

from standins import replica
from standins import store
from test import platform_helper

# Settings of the process: memory that it may use, and descriptors.
MEMORY_MB = 100
DESCRIPTORS_MAX = 256
HEAD_MAX_BYTES = 16 * 1024
BODY_MAX_BYTES = 4 * 1024 * 1024
HEAD_TIMEOUT_MS = 20_000
IDLE_TIMEOUT_MS = 60_000
# Connections of a crowd, and what each of them sends at most.
CROWD = 60
SENT_MAX_BYTES = BODY_MAX_BYTES - 1
WRITE_BYTES = 64 * 1024
# A connection that takes nothing for this long is left open as it is.
STALL_S = 1.0
# How often the memory of the process is read while a crowd sends.
WATCH_S = 0.05
# Limit of a test that hangs; nothing is said about the time that a router
# takes.
HANG_S = 60.0


class Crowd:
    """Clients that send too much, each on a connection that stays open."""

    def __init__(self) -> None:
        self._writers: list[asyncio.StreamWriter] = []

    async def send(
        self,
        address: str,
        head: bytes,
        unit: bytes,
        size: int,
        sent_max_bytes: int,
    ) -> None:
        """Lets clients send.

        Args:
          address: `IP:PORT` to connect to.
          head: Bytes that each of them sends first.
          unit: Bytes that follow again and again; empty if nothing follows.
          size: Number of clients.
          sent_max_bytes: Bytes that each of them sends behind the head.
        """
        block = unit * (WRITE_BYTES // max(1, len(unit)) or 1)
        async with asyncio.timeout(HANG_S):
            await asyncio.gather(
                *(
                    self._send_one(address, head, block, sent_max_bytes)
                    for _ in range(size)
                )
            )

    async def _send_one(
        self, address: str, head: bytes, block: bytes, sent_max_bytes: int
    ) -> None:
        host, _, port = address.rpartition(":")
        with contextlib.suppress(OSError, TimeoutError):
            _, writer = await asyncio.open_connection(host, int(port))
            self._writers.append(writer)
            writer.write(head)
            sent_bytes = 0
            while block and sent_bytes < sent_max_bytes:
                data = block[: sent_max_bytes - sent_bytes]
                writer.write(data)
                sent_bytes += len(data)
                async with asyncio.timeout(STALL_S):
                    await writer.drain()

    def close(self) -> None:
        """Closes all connections."""
        for writer in self._writers:
            writer.transport.abort()
        self._writers.clear()


class CrowdCase(unittest.IsolatedAsyncioTestCase):
    """Starts a store, replicas, and one router as a process of its own.

    Attributes:
      memory_mb: Memory that the process may use, with what it has received
        and not read.
      descriptors_max: Descriptors that it may open.
      head_timeout_ms: Time that a head may take.
      slots: Requests that each replica runs at once.
      frontend: `IP:PORT` for clients.
      probes: `IP:PORT` for readiness probes.
      metrics: `IP:PORT` for metrics and the dump.
      peers: `IP:PORT` for listings of other routers.
    """

    memory_mb = MEMORY_MB
    descriptors_max = DESCRIPTORS_MAX
    head_timeout_ms = HEAD_TIMEOUT_MS
    slots = 8

    async def asyncSetUp(self) -> None:
        self.store = store.Store()
        await self.store.start()
        self.replicas = [
            replica.Replica(f"{service}-1", service)
            for service in ("llm", "shop")
        ]
        for item in self.replicas:
            item.slots = self.slots
            await item.start()
            self.store.put(f"servers/{item.name}", item.encode_entry())
        limits = {
            "MaxHeaderBytes": HEAD_MAX_BYTES,
            "MaxBodyBytes": BODY_MAX_BYTES,
            "HeaderTimeoutMs": self.head_timeout_ms,
            "IdleTimeoutMs": IDLE_TIMEOUT_MS,
        }
        document = platform_helper.make_configuration(Limits=limits)
        for route in document["Routes"]:
            route["TimeoutMs"] = 1000 * HANG_S
        self.store.put("op/config", platform_helper.encode(document))
        self.frontend, self.probes, self.metrics, self.peers = (
            f"127.0.0.1:{platform_helper.find_port()}" for _ in range(4)
        )
        self._folder = tempfile.TemporaryDirectory()
        self.addCleanup(self._folder.cleanup)
        self._crowd = Crowd()
        self._largest_mb = 0.0
        await self._start_router()

    async def _start_router(self) -> None:
        folder = pathlib.Path(self._folder.name)
        path = folder / "settings.toml"
        peer_port = self.peers.rpartition(":")[2]
        metrics_port = self.metrics.rpartition(":")[2]
        path.write_text(
            f"""
NodeName = "router-1"
Ip = "127.0.0.1"
Zone = "a"
InternalPorts = [{peer_port}, {peer_port}]
[Listen]
Frontend = "{self.frontend}"
Ready = "{self.probes}"
[Limits]
MemoryMb = {self.memory_mb}
MaxFds = {self.descriptors_max}
[Bounds]
GraceS = 5
RevokeMs = 60000
RetryBudgetRatio = 0.2
RetryBudgetSlack = 50
BudgetWindowS = 10
[Platform]
Address = "{self.store.address}"
"""
        )
        with (folder / "log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "agatedock_platform",
                "--metrics-port",
                metrics_port,
                env={**os.environ, "AGATEDOCK_BOOT": str(path)},
                stdout=log,
                stderr=log,
            )
        async with asyncio.timeout(HANG_S):
            while await self.send_ordinary() != 200:
                await asyncio.sleep(0.1)
        # With a connection to a replica and one to the store.
        self._resting_descriptors = self.count_descriptors() + 2

    async def asyncTearDown(self) -> None:
        self.close_crowd()
        if self.process.returncode is None:
            self.process.kill()
        await self.process.wait()
        for item in self.replicas:
            await item.stop()
        await self.store.stop()

    async def send_ordinary(self, body: bytes = b"two bags") -> int:
        """Sends one request inside the limits; returns its status, or 0."""
        headers = {
            "Host": platform_helper.HOST,
            "X-Agatedock-Attempt-Id": "ordinary",
            "X-Agatedock-Deadline-Ms": str(round(1000 * HANG_S)),
            "Authorization": f"Bearer {platform_helper.KEY}",
        }
        url = f"http://{self.frontend}{platform_helper.ORDER}"
        timeout = aiohttp.ClientTimeout(total=HANG_S)
        try:
            async with (
                aiohttp.ClientSession(timeout=timeout) as session,
                session.post(url, data=body, headers=headers) as response,
            ):
                await response.read()
                return response.status
        except aiohttp.ClientConnectionError:
            return 0

    async def send_crowd(
        self,
        head: bytes,
        unit: bytes,
        size: int = CROWD,
        address: str = "",
        sent_max_bytes: int = SENT_MAX_BYTES,
    ) -> None:
        """Lets a crowd send, by default to the address for clients."""
        watch = asyncio.create_task(self._watch_memory())
        try:
            await self._crowd.send(
                address or self.frontend, head, unit, size, sent_max_bytes
            )
        finally:
            watch.cancel()

    async def _watch_memory(self) -> None:
        """Records the most memory used at one moment, with what is unread."""
        while self.process.returncode is None:
            held_mb = read_held_mb(self.process.pid)
            self._largest_mb = max(self._largest_mb, held_mb)
            await asyncio.sleep(WATCH_S)

    def close_crowd(self) -> None:
        """Closes all connections of the crowd."""
        self._crowd.close()

    async def check_process(self) -> None:
        """Asserts that the process lives within its memory and descriptors.

        An ordinary request is answered beside the crowd, and one with the
        largest body once it has gone.
        """
        self.assertIsNone(self.process.returncode)
        await self._check_served(b"two bags")
        self.assertLessEqual(self.read_peak_mb(), self.memory_mb)
        held_mb = read_held_mb(self.process.pid)
        largest_mb = max(self._largest_mb, held_mb)
        self.assertLessEqual(largest_mb, self.memory_mb)
        self.assertLessEqual(self.count_descriptors(), self.descriptors_max)
        await self._end_crowd()
        await self._check_served(b"x" * BODY_MAX_BYTES)
        self.assertIsNone(self.process.returncode)
        self.assertLessEqual(self.read_peak_mb(), self.memory_mb)

    async def _check_served(self, body: bytes) -> None:
        status = await self.send_ordinary(body)
        self.assertEqual(status, 200, self._read_last_line())

    def _read_last_line(self) -> list[str]:
        """Returns the log line of the last ordinary request."""
        log = pathlib.Path(self._folder.name, "log").read_text()
        return [line for line in log.splitlines() if "id=ordinary" in line][-1:]

    async def _end_crowd(self) -> None:
        """Closes the crowd, and waits until the process has closed it too."""
        self.close_crowd()
        async with asyncio.timeout(HANG_S):
            while self.count_descriptors() > self._resting_descriptors:
                await asyncio.sleep(0.1)

    def read_peak_mb(self) -> float:
        """Returns the most memory that the process has used."""
        return read_peak_mb(self.process.pid)

    def count_descriptors(self) -> int:
        """Returns the open descriptors of the process."""
        return len(os.listdir(f"/proc/{self.process.pid}/fd"))


def read_peak_mb(pid: int) -> float:
    """Returns the most memory that a process has used."""
    return _read_status_mb(pid, "VmHWM:")


def read_held_mb(pid: int) -> float:
    """Returns the memory of a process, with what it received and not read."""
    return _read_status_mb(pid, "VmRSS:") + read_unread_bytes(pid) / 2**20


def _read_status_mb(pid: int, name: str) -> float:
    status = pathlib.Path(f"/proc/{pid}/status").read_text()
    (line,) = [x for x in status.splitlines() if x.startswith(name)]
    return int(line.split()[1]) / 1024


def read_unread_bytes(pid: int) -> int:
    """Returns the bytes that a process has received over TCP and not read."""
    sockets = set()
    for link in pathlib.Path(f"/proc/{pid}/fd").iterdir():
        with contextlib.suppress(OSError):
            sockets.add(os.readlink(link))
    unread_bytes = 0
    for line in pathlib.Path("/proc/net/tcp").read_text().splitlines()[1:]:
        # Columns as in proc(5); both queues in hexadecimal digits.
        columns = line.split()
        if f"socket:[{columns[9]}]" in sockets and columns[3] != "0A":
            unread_bytes += int(columns[4].partition(":")[2], 16)
    return unread_bytes
