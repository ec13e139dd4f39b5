"""Runs a router on stand-ins of the hosting platform, in one process."""

from __future__ import annotations

import asyncio
import itertools
import json
import os
import pathlib
import socket
import unittest

import aiohttp
import multidict
import yarl

from agatedock_platform import app
from agatedock_platform import settings
from standins import replica
from standins import store

KEY = "key-1"
CHAT = "/chat/1"
DRAFT = "/draft/1"
ORDER = "/order/1"
LOOKUP = "/lookup/1"
HOST = "shop.example"
# Below the range that Linux uses for the ports of outgoing connections. Two
# test runs on one machine start at different ports.
PORTS = range(12_000, 32_000)
_ports = itertools.cycle([*PORTS[os.getpid() * 97 % len(PORTS) :], *PORTS])


def find_port() -> int:
    """Returns a port that is free for TCP and UDP, from PORTS."""
    while True:
        port = next(_ports)
        with (
            socket.socket() as tcp,
            socket.socket(type=socket.SOCK_DGRAM) as udp,
        ):
            try:
                tcp.bind(("127.0.0.1", port))
                udp.bind(("127.0.0.1", port))
            except OSError:
                continue
            return port


def make_route(prefix: str, kind: str, service: str, **overrides) -> dict:
    """Returns a route as the operator writes it."""
    return {
        "Name": prefix.strip("/"),
        "Host": HOST,
        "Prefix": prefix,
        "RouteType": kind,
        "TimeoutMs": 3000,
        "TargetLatencyMs": 400,
        "Priority": 1,
        "Service": service,
        "MaxAttempts": 2,
        "Public": False,
        **overrides,
    }


def make_configuration(**overrides) -> dict:
    """Returns a configuration as the operator writes it."""
    return {
        "Version": 7,
        "Routes": [
            make_route("/chat/", "streaming", "llm", Resumable=True),
            make_route("/draft/", "streaming", "llm", MaxAttempts=1),
            make_route("/order/", "unsafe", "shop"),
            make_route("/lookup/", "safe", "shop"),
        ],
        "Services": [
            {"Name": "llm", "MaxConns": 100},
            {"Name": "shop", "MaxConns": 100},
        ],
        "Limits": {
            "MaxHeaderBytes": 4096,
            "MaxBodyBytes": 10_000,
            "HeaderTimeoutMs": 1000,
            "IdleTimeoutMs": 5000,
        },
        "Tenants": [{"Name": "office", "ApiKeys": [KEY], "Priority": 3}],
        **overrides,
    }


def make_no_headers() -> multidict.CIMultiDict[str]:
    """Returns the headers of a request that has none."""
    return multidict.CIMultiDict()


def encode(document: dict) -> bytes:
    """Returns a document as the operator writes it."""
    return json.dumps(document).encode()


def make_settings(store_address: str, **bounds) -> settings.Settings:
    """Returns settings with free ports."""
    return settings.Settings(
        node_name="edge-1",
        ip="127.0.0.1",
        zone="a",
        internal_ports=(find_port(), 0),
        listen=settings.Listen(
            frontend=f"127.0.0.1:{find_port()}",
            ready=f"127.0.0.1:{find_port()}",
        ),
        bounds=settings.Bounds(
            grace_s=bounds.get("grace_s", 5.0),
            revoke_ms=bounds.get("revoke_ms", 5000),
            retry_budget_ratio=0.2,
            retry_budget_slack=bounds.get("slack", 100),
            budget_window_s=10,
        ),
        platform=settings.StoreSettings(address=store_address),
    )


class RouterCase(unittest.IsolatedAsyncioTestCase):
    """Starts a store, two replicas of each service and one router."""

    bounds: dict = {}

    async def asyncSetUp(self) -> None:
        self.store = store.Store()
        await self.store.start()
        self.replicas = {}
        for name, service in (
            ("llm-1", "llm"),
            ("llm-2", "llm"),
            ("shop-1", "shop"),
            ("shop-2", "shop"),
        ):
            self.replicas[name] = replica.Replica(name, service)
            await self.replicas[name].start()
            self.register(name)
        self.configure()
        config = make_settings(self.store.address, **self.bounds)
        self.config = config
        self.router = app.RouterApp(pathlib.Path("/nowhere"), config)
        self.stop = asyncio.Event()
        self.task = asyncio.create_task(self.router.run(self.stop))
        self.url = f"http://{config.listen.frontend}"
        self.session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0)
        )
        await self.wait_ready()

    async def asyncTearDown(self) -> None:
        await self.session.close()
        if not self.task.done():
            self.task.cancel()
            await asyncio.gather(self.task, return_exceptions=True)
        for item in self.replicas.values():
            await item.stop()
        await self.store.stop()

    def register(self, name: str, state: str = "ready") -> None:
        """Writes a replica's entry to the store."""
        entry = self.replicas[name].encode_entry(state)
        self.store.put(f"servers/{name}", entry)

    def configure(self, **overrides) -> None:
        """Writes the operator's configuration to the store."""
        document = make_configuration(**overrides)
        self.store.put("op/config", encode(document))

    async def is_ready(self) -> bool:
        """Sends a readiness probe as the platform does."""
        url = f"http://{self.config.listen.ready}/readyz"
        try:
            async with self.session.get(url) as response:
                return response.status == 200
        except aiohttp.ClientError:
            return False

    async def wait_ready(self, ready: bool = True) -> None:
        """Waits until the readiness probe returns `ready`, at most 10 s."""
        async with asyncio.timeout(10):
            while await self.is_ready() is not ready:
                await asyncio.sleep(0.02)

    def make_headers(self, request_id: str, **overrides) -> dict[str, str]:
        """Returns the headers of a client's request."""
        return {
            "Host": HOST,
            "X-Agatedock-Attempt-Id": request_id,
            "X-Agatedock-Deadline-Ms": "3000",
            "Authorization": f"Bearer {KEY}",
            **overrides,
        }

    async def call(
        self, path: str, request_id: str = "r1", body: bytes = b"", **overrides
    ) -> tuple[int, dict[str, str], bytes]:
        """Sends one request; returns status, headers and body."""
        headers = self.make_headers(request_id, **overrides)
        if path in (CHAT, DRAFT):
            headers["X-Agatedock-Prompt-Prefix"] = "aa:10,bb:100,cc:5"
        method = "GET" if path == LOOKUP else "POST"
        async with self.session.request(
            method,
            yarl.URL(self.url + path, encoded=True),
            headers=headers,
            data=body or None,
        ) as response:
            return (
                response.status,
                dict(response.headers),
                await response.read(),
            )

    def list_runs(self, *names: str) -> list[replica.ReceivedRequest]:
        """Returns the requests run by the named replicas, or by all."""
        return [
            run
            for name in names or self.replicas
            for run in self.replicas[name].runs
        ]


class AnswerCase(unittest.IsolatedAsyncioTestCase):
    """A server that answers each request with the same bytes."""

    async def asyncSetUp(self) -> None:
        self.answer = b""
        self.server = await asyncio.start_server(
            self._respond, "127.0.0.1", find_port()
        )
        host, port = self.server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    async def asyncTearDown(self) -> None:
        self.server.close()
        await self.server.wait_closed()

    async def _respond(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(self.answer)
            await writer.drain()
            # What is not read yet would reset the connection.
            async with asyncio.timeout(0.01):
                await reader.read()
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()
