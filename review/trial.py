"""Runs routers as processes on stand-ins, for the scripts of a review.

The routers start with the `run` line of `deploy/system.toml`, from the folder
that its `build` line fills. The platform's store is the project's stand-in;
replicas and clients are small ones of this module. All of them listen on
loopback addresses.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import dataclasses
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib

from aiohttp import web

from standins import store

ROOT = pathlib.Path(__file__).resolve().parent.parent
DEPLOY_FILE = ROOT / "deploy" / "system.toml"

EXIT_HELD = 0
EXIT_BROKEN = 1
EXIT_NOT_RUN = 2
# A script ends itself before the limit of 120 s.
SCRIPT_TIMEOUT_S = 110.0
READY_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 12.0

HOST = "shop.example"
KEY = "n2ctnfzs989anu6wsjnb"
TENANT = "hule930"
ATTEMPT_ID_HEADER = "X-Agatedock-Attempt-Id"
SEAL_HEADER = "X-Agatedock-Response-Seal"
EXPECT_HEADER = "X-Agatedock-Expect-Replica"

BOUNDS = {
    "ContactMs": 3000,
    "AckMs": 4000,
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
    "RetryBudgetSlack": 58,
    "RecoveryS": 12,
}


# Ports of a router: for clients, readiness probes, peers and metrics. The last
# is in the `run` line of the deploy file.
FRONTEND_PORT = 8227
READY_PORT = 8220
PEER_PORT = 7340
METRICS_PORT = 9464
ADDRESS_TRIES = 50


class CannotRunError(Exception):
    """The case could not be played, so it says nothing about the rule."""


class Record:
    """Lines about what was sent, answered and run, with their time."""

    def __init__(self) -> None:
        self._began_at = time.monotonic()
        self.lines: list[str] = []

    def add(self, text: str) -> None:
        """Adds a line."""
        elapsed_s = time.monotonic() - self._began_at
        self.lines.append(f"{elapsed_s:8.3f} {text}")


def find_ip() -> str:
    """Returns a loopback address on which the ports of a router are free.

    Raises:
      CannotRunError: None was found.
    """
    for _ in range(ADDRESS_TRIES):
        ip = f"127.{random.randint(16, 250)}.{random.randint(1, 250)}.1"
        if all(_is_free(ip, port, kind) for port, kind in _SOCKETS):
            return ip
    raise CannotRunError("no free loopback address")


_SOCKETS = (
    (FRONTEND_PORT, socket.SOCK_STREAM),
    (READY_PORT, socket.SOCK_STREAM),
    (PEER_PORT, socket.SOCK_STREAM),
    (PEER_PORT, socket.SOCK_DGRAM),
    (METRICS_PORT, socket.SOCK_STREAM),
)


def _is_free(ip: str, port: int, kind: socket.SocketKind) -> bool:
    with socket.socket(type=kind) as probe:
        try:
            probe.bind((ip, port))
        except OSError:
            return False
    return True


def make_route(prefix: str, kind: str, service: str, **fields) -> dict:
    """Returns a route as the operator writes it."""
    return {
        "Name": "r-" + prefix.strip("/"),
        "Host": HOST,
        "Prefix": prefix,
        "RouteType": kind,
        "TimeoutMs": 1500,
        "TargetLatencyMs": 200,
        "Priority": 1,
        "Service": service,
        "MaxAttempts": 2,
        "Public": False,
        "Sticky": False,
        "Resumable": False,
        **fields,
    }


def make_configuration(routes: list[dict], **fields) -> dict:
    """Returns a configuration as the operator writes it."""
    services = sorted({route["Service"] for route in routes})
    return {
        "Version": 7,
        "Routes": routes,
        "Services": [
            {
                "Name": name,
                "HealthPath": "/healthz",
                "MaxConns": 110,
                "Protocol": "h1",
                "Tls": False,
            }
            for name in services
        ],
        "Limits": {
            "MaxHeaderBytes": 16384,
            "MaxBodyBytes": 4194304,
            "HeaderTimeoutMs": 3000,
            "IdleTimeoutMs": 15000,
        },
        "Tenants": [{"Name": TENANT, "ApiKeys": [KEY], "Priority": 1}],
        **fields,
    }


@dataclasses.dataclass
class Arrival:
    """One request as a replica received it.

    Attributes:
      at: Monotonic time in seconds.
      replica_id: The replica.
      attempt_id: Id of the client attempt.
      ran: Whether the replica began to work on it.
    """

    at: float
    replica_id: str
    attempt_id: str
    ran: bool


# Returns the response of a replica to a request that it runs.
Work = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]


class Replica:
    """Replica of a service; answers `run by ID` unless `work` is set."""

    def __init__(
        self, replica_id: str, service: str, record: Record, zone: str = "a"
    ) -> None:
        self.replica_id = replica_id
        self.service = service
        self.zone = zone
        self.born = time.time_ns() // 1_000_000
        self.sequence = 1
        self.state = "ready"
        self.leaving = False
        self.version = "v1"
        self.work: Work | None = None
        self.arrivals: list[Arrival] = []
        self.address = ""
        self._record = record
        self._runner: web.ServerRunner | None = None

    async def start(self) -> None:
        """Listens on a free port, or on that of its run before."""
        port = int(self.address.rpartition(":")[2] or 0)
        self._runner = web.ServerRunner(
            web.Server(self._handle, handler_cancellation=True),
            shutdown_timeout=0.1,
        )
        await self._runner.setup()
        await web.TCPSite(self._runner, "127.0.0.1", port).start()
        host, port = self._runner.addresses[0][:2]
        self.address = f"{host}:{port}"

    @property
    def is_up(self) -> bool:
        """Returns whether it runs."""
        return self._runner is not None

    async def stop(self) -> None:
        """Stops listening and closes all connections."""
        if self._runner is not None:
            await self._runner.cleanup()
            self._runner = None

    async def crash(self) -> None:
        """Ends its run; its entry stays."""
        await self.stop()

    async def start_again(self) -> None:
        """Starts a new run under the same id and address."""
        self.born = time.time_ns() // 1_000_000
        self.sequence = 0
        await self.start()

    def encode_entry(self) -> bytes:
        """Returns its entry in the store, with the next sequence number."""
        self.sequence += 1
        return json.dumps(
            {
                "Service": self.service,
                "Address": self.address,
                "Zone": self.zone,
                "Version": self.version,
                "Slots": 6,
                "State": self.state,
                "ColdRemainingMs": 0,
                "Sequence": self.sequence,
                "born": self.born,
            }
        ).encode()

    def make_headers(self, attempt_id: str) -> dict[str, str]:
        """Returns the headers of its answers."""
        headers = {
            ATTEMPT_ID_HEADER: attempt_id,
            SEAL_HEADER: f"seal-{self.replica_id}-{attempt_id}",
        }
        if self.leaving:
            headers["Server-Leaving"] = "1"
            headers["Connection"] = "close"
        return headers

    async def _handle(self, raw: web.BaseRequest) -> web.StreamResponse:
        if raw.path == "/healthz":
            return web.Response(
                status=503 if self.leaving else 200,
                headers={"X-Agatedock-Replica-Id": self.replica_id},
            )
        attempt_id = raw.headers.get(ATTEMPT_ID_HEADER, "")
        expected = raw.headers.get(EXPECT_HEADER, self.replica_id)
        ran = expected == self.replica_id
        self.arrivals.append(
            Arrival(time.monotonic(), self.replica_id, attempt_id, ran)
        )
        self._record.add(
            f"replica {self.replica_id}: {raw.method} {raw.path_qs} "
            f"{attempt_id} {'runs' if ran else 'misdirected'}"
        )
        if not ran:
            return web.Response(
                status=421, headers={ATTEMPT_ID_HEADER: attempt_id}
            )
        await raw.content.read()
        if self.work is not None:
            return await self.work(raw)
        return web.Response(
            text=f"run by {self.replica_id}",
            headers=self.make_headers(attempt_id),
        )


class Router:
    """One router process, on a loopback address of its own."""

    def __init__(
        self, name: str, ip: str, store_address: str, folder: pathlib.Path
    ) -> None:
        self.name = name
        self.ip = ip
        self.frontend = (ip, FRONTEND_PORT)
        self.ready = (ip, READY_PORT)
        self._folder = folder
        self._settings_path = folder / f"{name}.toml"
        self._log_path = folder / f"{name}.log"
        self._settings_path.write_text(self._format_settings(store_address))
        self.process: asyncio.subprocess.Process | None = None

    def _format_settings(self, store_address: str) -> str:
        bounds = "\n".join(
            f"{name} = {json.dumps(value)}" for name, value in BOUNDS.items()
        )
        return f"""\
NodeName = "{self.name}"
Role = "router"
MachineClass = "edge"
Serves = ["edge"]
Ip = "{self.ip}"
Zone = "a"
Region = "r"
InternalPorts = [{PEER_PORT}, {PEER_PORT + 15}]
Seeds = []
InitialBootstrap = true
HeartbeatMs = 1200
Contracts = ["base", "drain", "config", "cost", "retry", "recover", "stream", \
"tenants", "platform"]
[Zones]
a = "r"
[Listen]
Frontend = "{self.ip}:{FRONTEND_PORT}"
Ready = "{self.ip}:{READY_PORT}"
ControlPlane = "{self.ip}:8229"
[Limits]
CpuShare = 0.537
Cores = 2
MemoryMb = 300
MaxFds = 4100
LinkMbps = 1000.0
DiskMb = 0
[Bounds]
{bounds}
[Platform]
Address = "{store_address}"
form = "kv"
WritesPerS = 400
ReadsPerS = 2000
HistoryS = 20
ValueBytes = 1048576
MinTtlMs = 1000
"""

    async def start(self) -> None:
        """Starts the process with the command of the deploy file."""
        deploy = tomllib.loads(DEPLOY_FILE.read_text("utf-8"))
        program, *arguments = deploy["roles"]["router"]["run"].split()
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["AGATEDOCK_BOOT"] = str(self._settings_path)
        with self._log_path.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                program,
                *arguments,
                cwd=ROOT,
                env=environment,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def send_signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process."""
        assert self.process is not None
        self.process.send_signal(number)

    async def is_ready(self) -> bool:
        """Returns whether `/readyz` answers with 200."""
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(*self.ready)
        except (OSError, TimeoutError):
            return False
        try:
            writer.write(b"GET /readyz HTTP/1.1\r\nHost: ready\r\n\r\n")
            async with asyncio.timeout(1.0):
                line = await reader.readline()
        except (OSError, TimeoutError):
            return False
        finally:
            writer.close()
        return line.split()[1:2] == [b"200"]

    async def wait_ready(self) -> None:
        """Waits until the router is ready.

        Raises:
          CannotRunError: It does not become ready.
        """
        assert self.process is not None
        deadline = time.monotonic() + READY_TIMEOUT_S
        while not await self.is_ready():
            if self.process.returncode is not None:
                raise CannotRunError(f"{self.name} ended: {self.read_log()}")
            if time.monotonic() > deadline:
                raise CannotRunError(f"{self.name} does not become ready")
            await asyncio.sleep(0.1)

    async def kill(self) -> None:
        """Ends the process with SIGKILL."""
        if self.process is None or self.process.returncode is not None:
            return
        self.process.kill()
        await self.process.wait()

    def read_log(self) -> str:
        """Returns the last lines that the process wrote."""
        text = self._log_path.read_text("utf-8", "replace")
        return "\n".join(text.splitlines()[-200:])


class Deployment:
    """A store, replicas and routers of one small deployment."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.store = store.Store()
        self.replicas: dict[str, Replica] = {}
        self.routers: list[Router] = []
        self._folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))

    async def __aenter__(self) -> Deployment:
        await self.store.start()
        return self

    async def __aexit__(self, *unused: object) -> None:
        for router in self.routers:
            with contextlib.suppress(ProcessLookupError):
                await router.kill()
        for replica in self.replicas.values():
            await replica.stop()
        await self.store.stop()
        shutil.rmtree(self._folder, ignore_errors=True)

    def configure(self, document: dict) -> None:
        """Writes the operator's configuration."""
        self.store.put("op/config", json.dumps(document).encode())
        self.record.add(f"operator: config version {document['Version']}")

    async def add_replica(self, replica_id: str, service: str) -> Replica:
        """Starts a replica and writes its entry."""
        replica = Replica(replica_id, service, self.record)
        await replica.start()
        self.replicas[replica_id] = replica
        self.register(replica)
        return replica

    def register(self, replica: Replica) -> None:
        """Writes the entry of a replica, as at each of its pings."""
        self.store.put(f"servers/{replica.replica_id}", replica.encode_entry())

    async def add_router(self, name: str = "edge-a-1") -> Router:
        """Starts a router and waits until it is ready."""
        router = Router(name, find_ip(), self.store.address, self._folder)
        self.routers.append(router)
        await router.start()
        await router.wait_ready()
        self.record.add(f"router {name} is ready")
        return router


@dataclasses.dataclass
class Answer:
    """An answer as a client read it; status 0 if there was none."""

    status: int
    headers: dict[str, str]
    body: bytes
    whole: bool


class Client:
    """One connection of a client, which sends one request at a time."""

    def __init__(self, record: Record, receive_bytes: int = 0) -> None:
        """Creates a client that is not connected.

        Args:
          record: Gets a line for each request and answer.
          receive_bytes: Size of the socket's receive buffer; 0 for the default.
        """
        self._record = record
        self._receive_bytes = receive_bytes
        self.reader: asyncio.StreamReader
        self.writer: asyncio.StreamWriter

    async def connect(self, address: tuple[str, int]) -> None:
        """Connects to a router."""
        connection = socket.socket()
        if self._receive_bytes:
            connection.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, self._receive_bytes
            )
        connection.setblocking(False)
        await asyncio.get_running_loop().sock_connect(connection, address)
        self.reader, self.writer = await asyncio.open_connection(
            sock=connection, limit=64 * 1024
        )

    async def send(
        self,
        path: str,
        attempt_id: str,
        *,
        method: str = "GET",
        deadline_ms: int = 15000,
        body: bytes = b"",
        key: str = KEY,
        headers: tuple[str, ...] = (),
    ) -> None:
        """Sends a request."""
        lines = [
            f"{method} {path} HTTP/1.1",
            f"Host: {HOST}",
            f"{ATTEMPT_ID_HEADER}: {attempt_id}",
            f"X-Agatedock-Deadline-Ms: {deadline_ms}",
            f"Authorization: Bearer {key}",
            *headers,
        ]
        if body or method != "GET":
            lines.append(f"Content-Length: {len(body)}")
        self._record.add(f"client sends {method} {path} {attempt_id}")
        self.writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        await self.writer.drain()

    async def read_head(self) -> tuple[int, dict[str, str]]:
        """Returns status and headers of the next answer; status 0 if none."""
        try:
            head = await self.reader.readuntil(b"\r\n\r\n")
        except (asyncio.IncompleteReadError, OSError):
            return 0, {}
        status_line, *lines = head.decode("latin-1").split("\r\n")
        headers = {}
        for line in lines:
            name, _, value = line.partition(":")
            if name:
                headers[name.lower()] = value.strip()
        return int(status_line.split()[1]), headers

    async def read_answer(self) -> Answer:
        """Returns the next answer, whose length has to be stated."""
        status, headers = await self.read_head()
        body = b""
        whole = False
        if status:
            try:
                body, whole = await self._read_body(headers)
            except (asyncio.IncompleteReadError, OSError):
                whole = False
        self._record.add(
            f"client reads status {status}, id "
            f"{headers.get(ATTEMPT_ID_HEADER.lower(), '-')}, {len(body)} bytes"
            f"{'' if whole else ', not whole'}: {body[:40]!r}"
        )
        return Answer(status, headers, body, whole)

    async def _read_body(self, headers: dict[str, str]) -> tuple[bytes, bool]:
        if headers.get("transfer-encoding", "").lower() == "chunked":
            return await self._read_chunks(), True
        length = int(headers.get("content-length", "0"))
        return await self.reader.readexactly(length), True

    async def _read_chunks(self) -> bytes:
        body = b""
        while True:
            line = await self.reader.readuntil(b"\n")
            size = int(line.split(b";")[0], 16)
            chunk = await self.reader.readexactly(size + 2)
            if not size:
                return body
            body += chunk[:-2]

    def close(self) -> None:
        """Closes the connection."""
        self.writer.close()


async def ask(
    record: Record, router: Router, path: str, attempt_id: str, **options
) -> Answer:
    """Sends one request on a connection of its own; returns its answer."""
    client = Client(record)
    await client.connect(router.frontend)
    try:
        await client.send(path, attempt_id, **options)
        return await client.read_answer()
    finally:
        client.close()


# Plays a case; returns what broke the rule, empty if it held.
Case = Callable[[Deployment, bool], Awaitable[list[str]]]


def run(case: Case, script: str) -> int:
    """Plays a case and writes its record; returns the exit code.

    Args:
      case: Gets the deployment, and whether the disruption is played.
      script: Path of the script, whose folder gets `record.txt`.
    """
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record()
    record.add(f"disruption: {'yes' if has_trouble else 'no'}")
    try:
        violations = asyncio.run(_play(case, record, has_trouble))
    except Exception as error:  # noqa: BLE001
        record.add(f"could not run: {error!r}")
        code = EXIT_NOT_RUN
    else:
        for text in violations:
            record.add(f"BROKEN: {text}")
        if not violations:
            record.add("the rule held")
        code = EXIT_BROKEN if violations else EXIT_HELD
    path = pathlib.Path(script).resolve().parent / "record.txt"
    path.write_text("\n".join(record.lines) + "\n", "utf-8")
    print(record.lines[-1], file=sys.stderr)
    return code


async def _play(case: Case, record: Record, has_trouble: bool) -> list[str]:
    async with asyncio.timeout(SCRIPT_TIMEOUT_S):
        async with Deployment(record) as deployment:
            return await case(deployment, has_trouble)
