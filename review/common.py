"""Starts routers on stand-ins of the hosting platform, for the review's cases.

The routers are processes of their own, started with the `run` line of
deploy/system.toml. The store, the replicas and the clients are stand-ins in the
process of the case. All addresses are loopback addresses.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import json
import os
import pathlib
import random
import shlex
import signal
import sys
import tempfile
import time
import tomllib
import traceback

from standins import store as stores

ROOT = pathlib.Path(__file__).resolve().parent.parent
DEPLOY_FILE = ROOT / "deploy" / "system.toml"
HOST = "shop.example"
KEY = "key-1"
TENANT = "office"
ID_HEADER = "X-Agatedock-Attempt-Id"
SEAL_HEADER = "X-Agatedock-Response-Seal"
# Limit on the memory of a router, as in DEPLOY.md.
MEMORY_MB = 300
# Exit codes of a case.
HELD = 0
BROKEN = 1
NOT_RUN = 2
# A case ends after this time in any event.
CASE_TIMEOUT_S = 110.0
HEARTBEAT_S = 1.2
READY_TRIES = 200
_PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


def is_troubled() -> bool:
    """Returns whether the case brings about its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """Writes record.txt: what was sent, answered and run."""

    def __init__(self, folder: pathlib.Path) -> None:
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self._begin = time.monotonic()

    def write(self, text: str) -> None:
        """Writes one line with the seconds since the start."""
        if self._file.closed:
            # A connection ended only with the case.
            return
        elapsed_s = time.monotonic() - self._begin
        self._file.write(f"{elapsed_s:8.3f} {text}\n")
        self._file.flush()

    def close(self) -> None:
        """Closes the file."""
        self._file.close()


@dataclasses.dataclass
class Request:
    """A request as a replica received it."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes

    @property
    def attempt_id(self) -> str:
        """Returns the id of the client's attempt."""
        return self.headers.get(ID_HEADER.lower(), "")


@dataclasses.dataclass
class Answer:
    """An answer as a client received it."""

    status: int
    headers: dict[str, str]
    body: bytes

    @property
    def attempt_id(self) -> str:
        """Returns the id that the answer carries."""
        return self.headers.get(ID_HEADER.lower(), "")


async def read_head(
    reader: asyncio.StreamReader,
) -> tuple[str, dict[str, str]]:
    """Returns the first line and the headers, with lower-case names."""
    data = await reader.readuntil(b"\r\n\r\n")
    first, *lines = data.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, separator, value = line.partition(":")
        if separator:
            headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_body(
    reader: asyncio.StreamReader, headers: dict[str, str]
) -> bytes:
    """Returns the body of a message with a length or chunks."""
    if "chunked" not in headers.get("transfer-encoding", ""):
        return await reader.readexactly(int(headers.get("content-length", 0)))
    body = b""
    while True:
        line = await reader.readuntil(b"\r\n")
        size = int(line.split(b";")[0], 16)
        body += await reader.readexactly(size)
        await reader.readline()
        if not size:
            return body


def encode_response(
    status: int,
    headers: dict[str, str],
    body: bytes | None,
) -> bytes:
    """Returns a response; without a body only its head, without a length."""
    lines = [f"HTTP/1.1 {status} Status"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if body is not None:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode() + (body or b"")


# The end of a body in chunks.
LAST_CHUNK = b"0\r\n\r\n"


def encode_event(number: int) -> bytes:
    """Returns an event of a stream as one chunk."""
    event = f"id: {number}\ndata: x\n\n".encode()
    return b"%x\r\n%s\r\n" % (len(event), event)


Behaviour = Callable[
    ["Replica", Request, asyncio.StreamWriter], Awaitable[None]
]


class Replica:
    """A replica; `behaviour` writes its answers.

    Attributes:
      name: Its id.
      born: Start of its run in Unix milliseconds.
      runs: Ids of the requests that ran here.
    """

    def __init__(
        self,
        name: str,
        service: str,
        behaviour: Behaviour,
        slots: int = 8,
        version: str = "v1",
    ) -> None:
        self.name = name
        self.service = service
        self.slots = slots
        self.version = version
        self.state = "ready"
        self.born = time.time_ns() // 1_000_000
        self.runs: list[str] = []
        self.address = ""
        self._sequence = 0
        self._behaviour = behaviour
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    @property
    def is_up(self) -> bool:
        """Returns whether the replica listens."""
        return self._server is not None

    def begin_run(self) -> None:
        """Starts a new run under the same id."""
        self.born = max(self.born + 1, time.time_ns() // 1_000_000)
        self._sequence = 0

    async def start(self) -> None:
        """Listens; on the same address as before, if there is one."""
        host, _, port = (self.address or "127.0.0.1:0").rpartition(":")
        self._server = await asyncio.start_server(
            self._serve, host, int(port), limit=1 << 20
        )
        sockname = self._server.sockets[0].getsockname()
        self.address = f"{sockname[0]}:{sockname[1]}"

    def stop(self) -> None:
        """Resets all connections and stops listening."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            writer.transport.abort()

    def encode_entry(self) -> bytes:
        """Returns the entry for the store, with the next sequence number."""
        self._sequence += 1
        return json.dumps(
            {
                "Service": self.service,
                "Address": self.address,
                "Zone": "zone-a",
                "Version": self.version,
                "Slots": self.slots,
                "State": self.state,
                "ColdRemainingMs": 0,
                "Sequence": self._sequence,
                "born": self.born,
            }
        ).encode()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while True:
                first, headers = await read_head(reader)
                method, target, _ = first.split(" ", 2)
                body = await read_body(reader, headers)
                request = Request(method, target, headers, body)
                expected = headers.get("x-agatedock-expect-replica")
                if expected not in (None, self.name):
                    writer.write(
                        encode_response(
                            421,
                            {
                                ID_HEADER: request.attempt_id,
                                "X-Agatedock-Not-Executed": "1",
                            },
                            b"",
                        )
                    )
                    continue
                await self._behaviour(self, request, writer)
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()


def make_sealed_headers(
    replica: Replica, request: Request, **headers: str
) -> dict[str, str]:
    """Returns the headers of a response that a replica produced."""
    return {
        ID_HEADER: request.attempt_id,
        SEAL_HEADER: f"seal-{replica.name}",
        **{name.replace("_", "-"): value for name, value in headers.items()},
    }


async def answer_plainly(
    replica: Replica, request: Request, writer: asyncio.StreamWriter
) -> None:
    """Runs a request for 50 ms and answers with its target and id."""
    replica.runs.append(request.attempt_id)
    await asyncio.sleep(0.05)
    body = f"{request.target} {request.attempt_id}\n".encode()
    headers = make_sealed_headers(replica, request)
    writer.write(encode_response(200, headers, body))
    await writer.drain()


def make_route(prefix: str, kind: str, service: str, **fields: object) -> dict:
    """Returns a route as the operator writes it."""
    return {
        "Name": prefix.strip("/"),
        "Host": HOST,
        "Prefix": prefix,
        "RouteType": kind,
        "TimeoutMs": 4000,
        "TargetLatencyMs": 400,
        "Priority": 1,
        "Service": service,
        "MaxAttempts": 2,
        "Public": False,
        **fields,
    }


def make_configuration(
    routes: list[dict], version: int = 7, keys: tuple[str, ...] = (KEY,)
) -> dict:
    """Returns a config as the operator writes it."""
    services = sorted({route["Service"] for route in routes})
    return {
        "Version": version,
        "Routes": routes,
        "Services": [{"Name": name, "MaxConns": 110} for name in services],
        "Limits": {
            "MaxHeaderBytes": 16384,
            "MaxBodyBytes": 4194304,
            "HeaderTimeoutMs": 5000,
            "IdleTimeoutMs": 20000,
        },
        "Tenants": [{"Name": TENANT, "ApiKeys": list(keys), "Priority": 1}],
    }


# Bounds of the small installations in SYSTEM.md.
BOUNDS = {
    "SeedLagS": 3,
    "ReuseAfterS": 2,
    "ContactMs": 3000,
    "AckMs": 4000,
    "CatchUpS": 4,
    "DrainMs": 2000,
    "GraceS": 8,
    "LossSlackMs": 200,
    "ConfigApplyMs": 2000,
    "DowngradeMs": 250,
    "StretchMs": 5000,
    "StrictRevoke": True,
    "RevokeMs": 5000,
    "RetryBudgetRatio": 0.2,
    "BudgetWindowS": 10,
    "RetryBudgetSlack": 52,
    "RecoveryS": 12,
    "ForwardMs": 120,
    "ReuseWindowS": 10,
    "CapMultiplier": 2,
}


def _format_toml(value: object) -> str:
    return json.dumps(value)


def _encode_settings(fields: dict) -> str:
    """Returns settings as TOML: plain values first, then the tables."""
    lines = [
        f"{name} = {_format_toml(value)}"
        for name, value in fields.items()
        if not isinstance(value, dict)
    ]
    for name, value in fields.items():
        if isinstance(value, dict):
            lines.append(f"[{name}]")
            lines += [
                f"{key} = {_format_toml(item)}" for key, item in value.items()
            ]
    return "\n".join(lines) + "\n"


class Router:
    """One router process.

    Attributes:
      name: Name of its machine.
      address: Where it listens for clients.
      memory_peak_mb: Highest resident memory seen.
      was_over_memory: Whether it was killed as it exceeded MEMORY_MB.
    """

    def __init__(
        self, name: str, ip: str, folder: pathlib.Path, store_address: str
    ) -> None:
        self.name = name
        self.ip = ip
        port = random.randint(20_000, 30_000)
        self.address = (ip, port)
        self.ready_address = (ip, port + 1)
        self.memory_peak_mb = 0.0
        self.was_over_memory = False
        self.process: asyncio.subprocess.Process | None = None
        self._folder = folder
        self._settings_path = folder / f"{name}.toml"
        self._settings_path.write_text(
            _encode_settings(self._make_settings(store_address, port + 2))
        )

    def _make_settings(self, store_address: str, peer_port: int) -> dict:
        return {
            "NodeName": self.name,
            "Role": "router",
            "MachineClass": "edge",
            "Serves": ["edge"],
            "Ip": self.ip,
            "Zone": "zone-a",
            "Region": "region",
            "InternalPorts": [peer_port, peer_port + 15],
            "Seeds": [],
            "InitialBootstrap": True,
            "InTolerance": False,
            "Discovery": "platform",
            "Entry": "vip",
            "HeartbeatMs": 1200,
            "Zones": {"zone-a": "region"},
            "Listen": {
                "Frontend": f"{self.ip}:{self.address[1]}",
                "Ready": f"{self.ip}:{self.ready_address[1]}",
            },
            "Limits": {
                "CpuShare": 0.537,
                "Cores": 2,
                "MemoryMb": MEMORY_MB,
                "MaxFds": 4100,
                "LinkMbps": 1000.0,
                "DiskMb": 0,
            },
            "Bounds": BOUNDS,
            "Platform": {
                "Address": store_address,
                "form": "kv",
                "WritesPerS": 400,
                "ReadsPerS": 2000,
                "HistoryS": 20,
                "ValueBytes": 1048576,
                "MinTtlMs": 1000,
            },
        }

    async def start(self) -> None:
        """Starts the process with the command of the deploy file."""
        deploy = tomllib.loads(DEPLOY_FILE.read_text("utf-8"))
        (role,) = deploy["roles"].values()
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        environment["AGATEDOCK_BOOT"] = str(self._settings_path)
        log = (self._folder / f"{self.name}.log").open("ab")
        self.process = await asyncio.create_subprocess_exec(
            *shlex.split(role["run"]),
            cwd=ROOT,
            env=environment,
            stdout=log,
            stderr=log,
        )
        log.close()

    @property
    def is_running(self) -> bool:
        """Returns whether the process runs."""
        return self.process is not None and self.process.returncode is None

    def send_signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process."""
        if self.is_running:
            assert self.process is not None
            self.process.send_signal(number)

    async def kill(self) -> None:
        """Kills the process and waits for its end."""
        if self.process is not None:
            self.send_signal(signal.SIGKILL)
            await self.process.wait()

    def measure_memory_mb(self) -> float:
        """Returns the resident memory of the process."""
        assert self.process is not None
        path = pathlib.Path(f"/proc/{self.process.pid}/statm")
        try:
            pages = int(path.read_text().split()[1])
        except (OSError, IndexError):
            return 0.0
        return pages * _PAGE_BYTES / 1e6

    async def enforce_memory_limit(self) -> None:
        """Kills the process if it exceeds its memory, as the platform does."""
        while True:
            if self.is_running:
                memory_mb = self.measure_memory_mb()
                self.memory_peak_mb = max(self.memory_peak_mb, memory_mb)
                if memory_mb > MEMORY_MB:
                    self.was_over_memory = True
                    self.send_signal(signal.SIGKILL)
            await asyncio.sleep(0.02)

    async def is_ready(self) -> bool:
        """Asks the process whether it is ready."""
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(
                    *self.ready_address
                )
                writer.write(b"GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n")
                first, _ = await read_head(reader)
                writer.close()
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return False
        return first.split(" ")[1] == "200"

    async def _takes_clients(self) -> bool:
        """Returns whether the process takes connections of clients."""
        try:
            _, writer = await asyncio.open_connection(*self.address)
        except OSError:
            return False
        writer.close()
        return True

    async def wait_until_ready(self) -> None:
        """Waits until the process says that it is ready and takes clients.

        It may say that it is ready some milliseconds before it listens.

        Raises:
          TimeoutError: It takes too long.
        """
        for _ in range(READY_TRIES):
            if await self.is_ready() and await self._takes_clients():
                return
            await asyncio.sleep(0.1)
        raise TimeoutError(f"{self.name} is not ready")


class Site:
    """A small installation: a store, replicas and routers.

    Attributes:
      store: The platform's store.
      replicas: The replicas by name.
      routers: The routers.
      record: The record of the case.
    """

    def __init__(self, folder: pathlib.Path, record: Record) -> None:
        self._folder = folder
        self.record = record
        self.store = stores.Store()
        self.store.era = "1"
        self.replicas: dict[str, Replica] = {}
        self.routers: list[Router] = []
        self._tasks: list[asyncio.Task[None]] = []
        # Another network for each run, as the deploy file fixes a port.
        self._network = f"127.{random.randint(2, 250)}.{random.randint(2, 250)}"

    async def start(
        self,
        configuration: dict,
        replicas: list[Replica],
        router_count: int = 1,
        store_addresses: list[str] | None = None,
    ) -> None:
        """Starts everything and waits until all routers are ready."""
        if not self.store.address:
            await self.store.start()
        self.write_configuration(configuration)
        for replica in replicas:
            await replica.start()
            self.replicas[replica.name] = replica
            self.write_entry(replica)
        self._tasks.append(asyncio.create_task(self._send_heartbeats()))
        for number in range(router_count):
            address = (
                store_addresses[number]
                if store_addresses
                else self.store.address
            )
            await self.add_router(address)
        for router in self.routers:
            await router.wait_until_ready()
        self.record.write(f"{router_count} routers are ready")

    async def add_router(self, store_address: str) -> Router:
        """Starts one more router."""
        number = len(self.routers) + 1
        router = Router(
            f"edge-{number}",
            f"{self._network}.{number}",
            self._folder,
            store_address,
        )
        self.routers.append(router)
        await router.start()
        self._tasks.append(asyncio.create_task(router.enforce_memory_limit()))
        return router

    def write_configuration(self, configuration: dict) -> None:
        """Writes the config as the operator does."""
        self.store.put("op/config", json.dumps(configuration).encode())

    def write_entry(self, replica: Replica) -> None:
        """Writes the entry of a replica, as it does itself."""
        self.store.put(f"servers/{replica.name}", replica.encode_entry())

    def remove_entry(self, replica: Replica) -> None:
        """Removes the entry of a replica."""
        self.store.remove(f"servers/{replica.name}")

    async def _send_heartbeats(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            for replica in self.replicas.values():
                if replica.is_up and f"servers/{replica.name}" in (
                    self.store.items
                ):
                    self.write_entry(replica)

    def copy_logs(self) -> None:
        """Copies the logs of the routers to the folder in KEEP_LOGS, if set."""
        target = os.environ.get("KEEP_LOGS")
        if target:
            for path in self._folder.glob("*.log"):
                (pathlib.Path(target) / path.name).write_bytes(
                    path.read_bytes()
                )

    async def stop(self) -> None:
        """Ends all processes and stand-ins."""
        for task in self._tasks:
            task.cancel()
        for router in self.routers:
            await router.kill()
        for replica in self.replicas.values():
            replica.stop()
        await self.store.stop()


class Client:
    """A client that keeps one connection open for many requests."""

    def __init__(self, address: tuple[str, int], key: str = KEY) -> None:
        self._address = address
        self._key = key
        self.reader: asyncio.StreamReader
        self.writer: asyncio.StreamWriter | None = None

    async def connect(self) -> None:
        """Opens the connection."""
        self.reader, self.writer = await asyncio.open_connection(
            *self._address, limit=1 << 24
        )

    def send(
        self,
        method: str,
        target: str,
        attempt_id: str,
        timeout_ms: int,
        body: bytes = b"",
        **headers: str,
    ) -> None:
        """Sends a request."""
        lines = [
            f"{method} {target} HTTP/1.1",
            f"Host: {HOST}",
            f"{ID_HEADER}: {attempt_id}",
            f"X-Agatedock-Deadline-Ms: {timeout_ms}",
        ]
        if self._key:
            lines.append(f"Authorization: Bearer {self._key}")
        lines += [
            f"{name.replace('_', '-')}: {value}"
            for name, value in headers.items()
        ]
        if method != "GET":
            lines.append(f"Content-Length: {len(body)}")
        assert self.writer is not None
        self.writer.write("\r\n".join([*lines, "", ""]).encode() + body)

    async def receive(self) -> Answer:
        """Returns the next answer on the connection."""
        first, headers = await read_head(self.reader)
        body = await read_body(self.reader, headers)
        return Answer(int(first.split(" ")[1]), headers, body)

    async def call(
        self,
        method: str,
        target: str,
        attempt_id: str,
        timeout_ms: int,
        body: bytes = b"",
        **headers: str,
    ) -> Answer:
        """Sends a request and returns the next answer on the connection."""
        self.send(method, target, attempt_id, timeout_ms, body, **headers)
        return await self.receive()

    def close(self) -> None:
        """Closes the connection, if there is one."""
        if self.writer is not None:
            self.writer.close()


def make_attempt_id() -> str:
    """Returns a new id for an attempt of a client."""
    return random.randbytes(8).hex()


Case = Callable[[Site, Record], Awaitable[int]]


def run_case(folder: pathlib.Path, case: Case) -> None:
    """Runs a case and exits with its code."""
    try:
        code = asyncio.run(_run_case(folder, case))
    except Exception:  # noqa: BLE001
        # Python's own exit code would look like a broken rule.
        traceback.print_exc()
        code = NOT_RUN
    sys.exit(code)


async def _run_case(folder: pathlib.Path, case: Case) -> int:
    record = Record(folder)
    record.write(f"TROUBLE={'1' if is_troubled() else '0'}")
    code = NOT_RUN
    with tempfile.TemporaryDirectory() as name:
        site = Site(pathlib.Path(name), record)
        try:
            async with asyncio.timeout(CASE_TIMEOUT_S):
                code = await case(site, record)
        except Exception as error:  # noqa: BLE001
            # Any error of the case itself must not look like a broken rule.
            record.write(f"the case could not run: {error!r}")
        finally:
            await site.stop()
            site.copy_logs()
    verdict = {HELD: "held", BROKEN: "broken", NOT_RUN: "not run"}[code]
    record.write(f"the rule: {verdict}")
    record.close()
    return code
