"""Randomized soak: real router processes under injected faults.

`python -m test.soak SEED [SEED ...]` runs seeds and prints what was violated.
The checks use the responses that clients received and the requests that the
replica stand-ins recorded, never the routers' own counters.
"""

from __future__ import annotations

import asyncio
import collections
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import functools
import os
import pathlib
import random
import signal
import sys
import tempfile
import time

import aiohttp

from standins import faults
from standins import proxy
from standins import replica
from standins import store
from test import platform_helper
from test import soak_endless
from test import soak_notices
from test import soak_places
from test import soak_rate_limits

ROUTER_COUNT = 3
# Seeds from here on use a random number of routers in two failure domains, and
# half of their requests reuse connections.
FIRST_LARGE_SEED = 1000
LARGE_ROUTER_COUNTS = (3, 6, 10)
# Seeds from here on also play replicas that say in their responses that they
# drain, or ask for a pause.
FIRST_NOTICE_SEED = 3000
# Seeds from here to the next limit use as many routers as the machine bears.
FIRST_CROWDED_SEED = 4000
CROWDED_ROUTER_COUNTS = (16, 24, 32)
# Seeds from here on also have requests with a prompt part that crashes
# replicas.
FIRST_DEADLY_SEED = 5000
DEADLY_PART = "dead"
DEADLY_SHARE = 0.1
# Seeds from here on also have replicas that name a rate limit.
FIRST_RATE_LIMIT_SEED = 6000
# Seeds from here on also have a store that is restored from a copy.
FIRST_RESTORE_SEED = 7000
# Age of the copies, and how often one is made.
COPY_AGES_S = (1.0, 6.0)
COPY_INTERVAL_S = 0.25
HEARTBEAT_S = 1.2
# Time after which operator and replicas have written again.
WRITTEN_AGAIN_S = 2.0
ZONES = ("a", "b")
REPLICAS_PER_SERVICE = 3
FAULT_PHASE_S = 7.0
# No fault begins in the last part of the phase, so that all end within it.
LAST_FAULT_S = 2.0
# The same with replicas that drain, which takes longer.
NOTICE_FAULT_PHASE_S = 14.0
NOTICE_LAST_FAULT_S = 6.0
# The same with replicas that name a rate limit.
RATE_LIMIT_FAULT_PHASE_S = 22.0
RATE_LIMIT_LAST_FAULT_S = 10.0
# Load after the fault phase. RECOVERY_TIME_S of it is not checked, which leaves
# about a second of requests for the served share.
RECOVERY_PHASE_S = 5.0
# The hosting platform specifies that machines are connected again this long
# after the last fault.
RECOVERY_TIME_S = 3.0
# SIGHUP ends a process until its own code runs and ignores the signal, so none
# is sent while the interpreter starts.
INTERPRETER_START_S = 0.3
REQUESTS_PER_S = 60.0
GRACE_S = 3.0
REVOKE_S = 3.0
CLIENT_TIMEOUT_S = 2.5
# Bounds of the hosting platform.
CONFIG_APPLY_S = 2.0
CONTACT_S = 3.0
# Minimum share of complete 200 responses among requests sent after recovery.
SERVED_SHARE_MIN = 0.95
API_KEYS = ("key-1", "key-2")


@dataclasses.dataclass
class Call:
    """One request and its response, as the client saw them.

    Attributes:
      key: The API key sent.
      sent_at: Monotonic time in seconds.
      status: HTTP status; 0 if no response arrived.
      complete: Whether the body was read to its end.
      is_deadly: Whether its prompt has the part that crashes replicas.
    """

    request_id: str
    path: str
    key: str
    sent_at: float
    router: str = ""
    status: int = 0
    body: bytes = b""
    complete: bool = False
    is_deadly: bool = False
    elapsed_s: float = 0.0


@dataclasses.dataclass
class Node:
    """One router process, its settings file and its client address."""

    path: pathlib.Path
    frontend: str
    disturbances: soak_notices.Disturbances = dataclasses.field(
        default_factory=soak_notices.Disturbances
    )
    process: asyncio.subprocess.Process | None = None
    started_at: float = 0.0


class Soak:
    """One run of one seed."""

    def __init__(self, seed: int, folder: pathlib.Path) -> None:
        self._random = random.Random(seed)
        # Separate from `_random`, so that the faults of a seed do not change.
        self._topology_random = random.Random(f"shape {seed}")
        self._seed = seed
        self._large = seed >= FIRST_LARGE_SEED
        self._has_notices = seed >= FIRST_NOTICE_SEED
        self._has_deadly_part = seed >= FIRST_DEADLY_SEED
        self._fault_phase_s = FAULT_PHASE_S
        self._last_fault_s = LAST_FAULT_S
        if self._has_notices:
            self._fault_phase_s = NOTICE_FAULT_PHASE_S
            self._last_fault_s = NOTICE_LAST_FAULT_S
        self._has_rate_limits = seed >= FIRST_RATE_LIMIT_SEED
        if self._has_rate_limits:
            self._fault_phase_s = RATE_LIMIT_FAULT_PHASE_S
            self._last_fault_s = RATE_LIMIT_LAST_FAULT_S
        self._has_restores = seed >= FIRST_RESTORE_SEED
        self._has_endless = seed >= soak_endless.FIRST_SEED
        self._copies: list[tuple[float, store.Copy]] = []
        self._restore_lock = asyncio.Lock()
        self._version = 0
        self._keys = API_KEYS
        self._added_routes = 0
        self._heartbeats = 0
        # When the store confirmed each added route.
        self._route_added_at: list[float] = []
        self._store_disturbances = soak_notices.Disturbances()
        self._store_link_disturbances = soak_notices.Disturbances()
        self._limited_times: list[soak_rate_limits.LimitedTime] = []
        self._sessions: dict[str, aiohttp.ClientSession] = {}
        self._folder = folder
        self._store = store.Store()
        self._endless = soak_endless.EndlessReplicas(self._store, self._random)
        self._has_places = seed >= soak_places.FIRST_SEED
        self._places = soak_places.Places(
            self._store, self._random, self._register
        )
        self._replicas: list[replica.Replica] = []
        self._proxies: list[proxy.Proxy] = []
        self._link_disturbances: dict[str, soak_notices.Disturbances] = {}
        self._nodes: list[Node] = []
        self._calls: list[Call] = []
        self._revoked_at = float("inf")
        self._recovered_at = float("inf")
        self._tasks: set[asyncio.Task[None]] = set()
        self.violations: list[str] = []

    async def run(self) -> list[str]:
        """Runs the seed; returns the violations found."""
        try:
            await self._start()
            await self._wait_until_served()
            background = [asyncio.create_task(self._copy_store())]
            if self._has_restores:
                heartbeats = asyncio.create_task(self._write_heartbeats())
                background.append(heartbeats)
            faults = asyncio.create_task(self._inject_faults())
            await self._send_load()
            await faults
            for task in background:
                task.cancel()
            await asyncio.gather(*self._tasks)
            self._check()
        finally:
            await self._stop()
        return self.violations

    # Start and stop.

    async def _start(self) -> None:
        await self._store.start()
        store_proxy = await self._add_proxy(self._store.address)
        self._store_link_disturbances = self._link_disturbances[
            store_proxy.address
        ]
        for number in range(2 * REPLICAS_PER_SERVICE):
            service = ("llm", "shop")[number % 2]
            item = replica.Replica(f"{service}-{number}", service)
            item.work_s = 0.02
            if self._has_places:
                item.zone = ZONES[number // 2 % len(ZONES)]
                item.on_restart = self._register
                self._places.replicas.append(item)
            await item.start()
            front = await self._add_proxy(item.address)
            item.address = front.address
            self._replicas.append(item)
            self._register(item)
            if self._has_deadly_part:
                item.faults.deadly_part = DEADLY_PART
                item.on_restart = self._register
            if self._has_endless:
                item.faults.deadly_after = self._topology_random.choice(
                    soak_endless.DEADLY_AFTER
                )
        if self._has_restores:
            self._store.era = "1"
        self._configure()
        for number in range(self._choose_router_count()):
            node = self._write_settings(number, store_proxy.address)
            self._nodes.append(node)
            await self._start_node(node)

    def _choose_router_count(self) -> int:
        if not self._large:
            return ROUTER_COUNT
        counts = LARGE_ROUTER_COUNTS
        if FIRST_CROWDED_SEED <= self._seed < FIRST_DEADLY_SEED:
            counts = CROWDED_ROUTER_COUNTS
        return self._topology_random.choice(counts)

    async def _add_proxy(self, address: str) -> proxy.Proxy:
        item = proxy.Proxy(address)
        await item.start()
        self._proxies.append(item)
        self._link_disturbances[item.address] = soak_notices.Disturbances()
        return item

    def _register(self, item: replica.Replica) -> None:
        self._store.put(f"servers/{item.name}", item.encode_entry())

    def _configure(self) -> None:
        """Writes the operator's configuration, with a new version."""
        self._version += 1
        routes = platform_helper.make_configuration()["Routes"]
        added = [
            platform_helper.make_route(f"/added{number}/", "safe", "shop")
            for number in range(self._added_routes)
        ]
        document = platform_helper.make_configuration(
            Version=self._version,
            Routes=[*routes, *added],
            Tenants=[{"Name": "office", "ApiKeys": list(self._keys)}],
        )
        if self._has_places:
            document["Services"] = [soak_places.SERVICE, {"Name": "shop"}]
        data = platform_helper.encode(document)
        self._store.put("op/config", data)

    def _write_settings(self, number: int, store_address: str) -> Node:
        path = self._folder / f"router-{number}.toml"
        frontend = f"127.0.0.1:{platform_helper.find_port()}"
        port = platform_helper.find_port()
        zone = ZONES[number % len(ZONES)] if self._large else ZONES[0]
        path.write_text(
            f"""
NodeName = "router-{number}"
Ip = "127.0.0.1"
Zone = "{zone}"
InternalPorts = [{port}, {port}]
Contracts = [{'"places"' if self._has_places else ""}]
[Zones]
a = "here"
b = "here"
[Listen]
Frontend = "{frontend}"
Ready = "127.0.0.1:{platform_helper.find_port()}"
[Bounds]
GraceS = {GRACE_S}
RevokeMs = {REVOKE_S * 1000}
RetryBudgetRatio = 0.2
RetryBudgetSlack = 50
BudgetWindowS = 10
[Platform]
Address = "{store_address}"
"""
        )
        return Node(path, frontend)

    async def _start_node(self, node: Node) -> None:
        node.started_at = time.monotonic()
        with (self._folder / f"{node.path.stem}.log").open("ab") as log:
            node.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "agatedock_platform",
                env={**os.environ, "AGATEDOCK_BOOT": str(node.path)},
                stdout=log,
                stderr=log,
            )

    async def _wait_until_served(self) -> None:
        async with asyncio.timeout(20):
            for node in self._nodes:
                while await self._send(node, "/lookup/0") != 200:
                    await asyncio.sleep(0.1)
        self._calls.clear()
        for item in self._replicas:
            item.received_requests.clear()

    async def _stop(self) -> None:
        for node in self._nodes:
            process = node.process
            if process is not None and process.returncode is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                await process.wait()
        for session in self._sessions.values():
            await session.close()
        for item in self._proxies:
            await item.stop()
        for item in self._replicas:
            await item.stop()
        await self._store.stop()

    # Load.

    async def _send_load(self) -> None:
        began_at = time.monotonic()
        number = 0
        duration_s = self._fault_phase_s + RECOVERY_PHASE_S
        while time.monotonic() - began_at < duration_s:
            node = self._random.choice(self._nodes)
            kind = self._random.choice(("chat", "draft", "order", "lookup"))
            if self._has_restores and kind == "lookup" and self._added_routes:
                kind = f"added{self._added_routes - 1}"
            number += 1
            task = asyncio.create_task(
                self._send_ignoring_status(node, f"/{kind}/{number}")
            )
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            await asyncio.sleep(self._random.expovariate(REQUESTS_PER_S))

    async def _send_ignoring_status(self, node: Node, path: str) -> None:
        await self._send(node, path)

    async def _send(self, node: Node, path: str) -> int:
        """Sends one request; returns its status."""
        key = self._random.choice(API_KEYS)
        call = Call(f"id{path}", path, key, time.monotonic(), node.path.stem)
        self._calls.append(call)
        headers = {
            "Host": platform_helper.HOST,
            "X-Agatedock-Attempt-Id": call.request_id,
            "X-Agatedock-Deadline-Ms": str(round(CLIENT_TIMEOUT_S * 1000)),
            "Authorization": f"Bearer {key}",
        }
        if path.startswith(("/chat", "/draft")):
            headers["X-Agatedock-Prompt-Prefix"] = self._make_prompt(call)
        is_read = path.startswith(("/lookup", "/added"))
        method = "GET" if is_read else "POST"
        session, is_reused = self._get_session(node)
        try:
            async with session.request(
                method, f"http://{node.frontend}{path}", headers=headers
            ) as reply:
                call.status = reply.status
                call.body = await reply.read()
                call.complete = True
        except (aiohttp.ClientError, TimeoutError, OSError):
            # A closed connection says nothing about whether the request ran;
            # the checks compare it with the replicas' records.
            call.complete = False
        if not is_reused:
            await session.close()
        call.elapsed_s = time.monotonic() - call.sent_at
        return call.status

    def _make_prompt(self, call: Call) -> str:
        parts = f"a:10,b{self._random.randrange(5)}:90"
        call.is_deadly = (
            self._has_deadly_part
            and self._topology_random.random() < DEADLY_SHARE
        )
        if call.is_deadly:
            parts += f",{DEADLY_PART}:50"
        return f"{parts},{call.path}:5"

    def _get_session(self, node: Node) -> tuple[aiohttp.ClientSession, bool]:
        """Returns a session, and whether it is reused for later requests.

        A reused session keeps its connections until the router closes them.
        """
        timeout = aiohttp.ClientTimeout(total=CLIENT_TIMEOUT_S + 2)
        if not self._large or self._topology_random.random() < 0.5:
            return aiohttp.ClientSession(timeout=timeout), False
        session = self._sessions.get(node.frontend)
        if session is None:
            session = aiohttp.ClientSession(timeout=timeout)
            # Only the router may retry a request.
            session._retry_connection = False  # noqa: SLF001
            self._sessions[node.frontend] = session
        return session, True

    # Faults.

    async def _inject_faults(self) -> None:
        """Injects overlapping faults until the fault phase ends."""
        ends_at = time.monotonic() + self._fault_phase_s
        running: set[asyncio.Task[None]] = set()
        while time.monotonic() < ends_at - self._last_fault_s:
            fault = self._random.choice(self._list_faults())
            running.add(asyncio.create_task(fault()))
            await asyncio.sleep(self._random.uniform(0.1, 0.8))
        await asyncio.gather(*running)
        await asyncio.sleep(max(0.0, ends_at - time.monotonic()))
        self._recovered_at = time.monotonic() + RECOVERY_TIME_S

    def _list_faults(self) -> tuple[Callable[[], Awaitable[None]], ...]:
        faults: tuple[Callable[[], Awaitable[None]], ...] = (
            self._fail_link,
            self._fail_replica,
            self._fail_store,
            self._pause_node,
            self._kill_node,
            self._terminate_node,
            self._reload_node,
            self._revoke_api_key,
        )
        if self._has_notices:
            faults += 2 * (self._drain_replica, self._pause_replica)
        if self._has_rate_limits:
            faults += 3 * (self._limit_replica,)
        if self._has_restores:
            faults += 2 * (self._restore_store,) + 4 * (self._add_route,)
        if self._has_endless:
            faults += 4 * (self._endless.join,)
        if self._has_places:
            faults += 4 * (self._places.evacuate, self._places.return_cold)
        return faults

    async def _fail_link(self) -> None:
        item = self._random.choice(self._proxies)
        item.mode = self._random.choice(list(proxy.Mode))
        began_at = time.monotonic()
        await asyncio.sleep(self._random.uniform(0.2, 1.5))
        item.mode = proxy.Mode.PASS
        self._link_disturbances[item.address].add(began_at, time.monotonic())

    async def _drain_replica(self) -> None:
        """Lets a replica say that it drains, until a new run starts.

        Its entry stays as it was, or is written again as ready.
        """
        item = self._random.choice(self._replicas)
        if item.faults.leaving:
            return
        item.faults.leaving = True
        await asyncio.sleep(self._random.uniform(0.5, 2.0))
        item.slots += self._random.choice((0, 1))
        self._register(item)
        await asyncio.sleep(self._random.uniform(2.0, 3.5))
        item.faults.leaving = False
        item.begin_run()
        self._register(item)

    async def _pause_replica(self) -> None:
        """Lets a replica ask for pauses for a moment."""
        item = self._random.choice(self._replicas)
        item.faults.retry_after = f"{self._random.uniform(0.8, 3.0):.2f}"
        await asyncio.sleep(self._random.uniform(0.05, 0.6))
        item.faults.retry_after = ""

    async def _limit_replica(self) -> None:
        """Lets a replica name a rate limit for a while, until a new run."""
        item = self._random.choice(self._replicas)
        if item.faults.rate_limit:
            return
        rate = round(self._random.uniform(0.5, 5.0), 1)
        item.faults.rate_limit = (str(rate),)
        begin = time.monotonic()
        await asyncio.sleep(self._random.uniform(5.0, 9.5))
        end = time.monotonic()
        item.faults.rate_limit = ()
        self._limited_times.append(
            soak_rate_limits.LimitedTime(item.name, rate, begin, end)
        )

    async def _fail_replica(self) -> None:
        item = self._random.choice(self._replicas)
        name, value = self._random.choice(
            (
                ("shed", True),
                ("error", 500),
                ("error", 503),
                ("reset", True),
                ("cut_after", 2),
                ("other_id", True),
                ("unframed", True),
            )
        )
        before = getattr(faults.Faults(), name)
        setattr(item.faults, name, value)
        await asyncio.sleep(self._random.uniform(0.2, 1.5))
        setattr(item.faults, name, before)

    async def _fail_store(self) -> None:
        faults = self._store.faults
        name, value = self._random.choice(
            (
                ("status", 503),
                ("status", 429),
                ("silent", True),
                ("delay_s", 0.3),
            )
        )
        began_at = time.monotonic()
        setattr(faults, name, value)
        await asyncio.sleep(self._random.uniform(0.2, 1.5))
        setattr(faults, name, getattr(store.Faults(), name))
        self._store_disturbances.add(began_at, time.monotonic())

    async def _copy_store(self) -> None:
        """Makes copies of the store until cancelled."""
        while True:
            now = time.monotonic()
            self._copies = [
                item for item in self._copies if now - item[0] < COPY_AGES_S[1]
            ]
            self._copies.append((now, self._store.copy()))
            await asyncio.sleep(COPY_INTERVAL_S)

    async def _write_heartbeats(self) -> None:
        """Lets replicas write their entries again until cancelled."""
        while True:
            await asyncio.sleep(HEARTBEAT_S / len(self._replicas))
            item = self._replicas[self._heartbeats % len(self._replicas)]
            self._heartbeats += 1
            if not self._restore_lock.locked():
                self._register(item)

    async def _restore_store(self) -> None:
        """Takes the store away and restores it from a copy.

        Some time later the operator and the replicas write again.
        """
        if self._restore_lock.locked():
            return
        async with self._restore_lock:
            began_at = time.monotonic()
            self._store.faults.status = 503
            await asyncio.sleep(self._random.uniform(0.1, 1.0))
            latest = time.monotonic() - self._random.uniform(*COPY_AGES_S)
            copy = min(self._copies, key=lambda item: abs(item[0] - latest))[1]
            self._store.restore(copy)
            self._store.faults.status = 0
            restored_at = time.monotonic()
            await asyncio.gather(
                self._write_again(self._configure),
                self._write_again(self._places.write_again),
                *(
                    self._write_again(functools.partial(self._register, item))
                    for item in self._replicas
                ),
            )
            self._store_disturbances.add(began_at, restored_at)

    async def _write_again(self, write: Callable[[], None]) -> None:
        await asyncio.sleep(self._random.uniform(0.1, WRITTEN_AGAIN_S))
        write()

    async def _add_route(self) -> None:
        if self._restore_lock.locked() or self._store.faults.status:
            return
        self._added_routes += 1
        self._configure()
        self._route_added_at.append(time.monotonic())

    def _choose_running_node(self) -> Node | None:
        running = [
            node
            for node in self._nodes
            if node.process is not None and node.process.returncode is None
        ]
        return self._random.choice(running) if running else None

    async def _pause_node(self) -> None:
        node = self._choose_running_node()
        if node is None or node.process is None:
            return
        process = node.process
        began_at = time.monotonic()
        process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(self._random.uniform(0.2, 1.5))
        if process.returncode is None:
            process.send_signal(signal.SIGCONT)
        node.disturbances.add(began_at, time.monotonic())

    async def _kill_node(self) -> None:
        await self._restart_node(signal.SIGKILL)

    async def _terminate_node(self) -> None:
        await self._restart_node(signal.SIGTERM)

    async def _restart_node(self, stop_signal: signal.Signals) -> None:
        node = self._choose_running_node()
        if node is None or node.process is None:
            return
        process = node.process
        began_at = time.monotonic()
        process.send_signal(stop_signal)
        try:
            await asyncio.wait_for(process.wait(), GRACE_S + 0.5)
        except TimeoutError:
            if process.returncode is None:
                process.kill()
                await process.wait()
        # Two concurrent faults may have stopped the same process.
        if node.process is process:
            node.process = None
            await self._start_node(node)
        node.disturbances.add(began_at, time.monotonic())

    async def _reload_node(self) -> None:
        node = self._choose_running_node()
        if node is None or node.process is None:
            return
        if time.monotonic() - node.started_at > INTERPRETER_START_S:
            node.process.send_signal(signal.SIGHUP)

    async def _revoke_api_key(self) -> None:
        if self._revoked_at == float("inf"):
            self._keys = API_KEYS[:1]
            self._configure()
            self._revoked_at = time.monotonic()

    # Checks.

    def _check(self) -> None:
        runs: collections.Counter[str] = collections.Counter()
        for item in self._replicas:
            for run in item.runs:
                runs[run.headers["X-Agatedock-Attempt-Id"]] += 1
        for call in self._calls:
            self._check_call(call, runs[call.request_id])
        for node in self._nodes:
            process = node.process
            if process is None or process.returncode is not None:
                self._add_violation(f"{node.path.stem} exited unexpectedly")
                continue
            peak_mb = soak_endless.measure_peak_mb(process.pid)
            if peak_mb > soak_endless.MEMORY_MAX_MB:
                self._add_violation(f"{node.path.stem} used {peak_mb:.0f} MB")
        self._check_notices()
        self._check_recovery()

    def _check_notices(self) -> None:
        calls = {call.request_id: call for call in self._calls}
        nodes = {node.path.stem: node for node in self._nodes}
        deadly: list[soak_notices.Arrival] = []
        for item in self._replicas:
            arrivals = [
                self._describe_arrival(item, record, calls, nodes)
                for record in item.received_requests
                if record.attempt_id in calls
            ]
            self.violations += soak_notices.find_violations(item.name, arrivals)
            self.violations += self._places.find_violations(
                item,
                arrivals,
                [self._store_disturbances, self._store_link_disturbances],
            )
            for limited in self._limited_times:
                if limited.replica_name == item.name:
                    self.violations += soak_rate_limits.find_excesses(
                        limited, arrivals
                    )
            deadly += [
                arrival
                for arrival in arrivals
                if calls[arrival.record.attempt_id].is_deadly
            ]
        crashes = [at for item in self._replicas for at in item.crashes]
        self.violations += soak_notices.find_late_crashes(deadly, crashes)

    def _describe_arrival(
        self,
        item: replica.Replica,
        record: replica.ReceivedRequest,
        calls: dict[str, Call],
        nodes: dict[str, Node],
    ) -> soak_notices.Arrival:
        call = calls[record.attempt_id]
        was_answered = record.finished and call.complete and call.status == 200
        return soak_notices.Arrival(
            record,
            call.router,
            call.sent_at,
            call.sent_at + call.elapsed_s if was_answered else None,
            nodes[call.router].disturbances,
            self._link_disturbances[item.address],
        )

    def _check_call(self, call: Call, runs: int) -> None:
        non_idempotent = call.path.startswith(("/order", "/draft"))
        if non_idempotent and runs > 1:
            self._add_violation(f"{call.path} ran {runs} times")
        if non_idempotent and call.status in (408, 421, 429, 503) and runs:
            self._add_violation(f"{call.path} was rejected but ran")
        if (
            call.status == 200
            and call.complete
            and not _has_expected_body(call)
        ):
            self._add_violation(f"{call.path} got {call.body!r}")
        if (
            call.elapsed_s > CLIENT_TIMEOUT_S + 1
            and not self._was_sent_before_recovery(call)
        ):
            self._add_violation(f"{call.path} took {call.elapsed_s:.1f} s")
        self._check_added_route(call)
        late = call.sent_at > self._revoked_at + REVOKE_S
        if late and call.key != API_KEYS[0] and runs:
            self._add_violation(f"{call.path} ran with a revoked key")

    def _check_added_route(self, call: Call) -> None:
        """Checks that a route is in force some time after it was confirmed."""
        if not call.path.startswith("/added") or call.status != 404:
            return
        number = int(call.path.split("/")[1].removeprefix("added"))
        nodes = {node.path.stem: node for node in self._nodes}
        begin = call.sent_at - CONTACT_S
        if (
            call.sent_at > self._route_added_at[number] + CONFIG_APPLY_S
            and not self._store_disturbances.overlap(begin, call.sent_at)
            and not self._store_link_disturbances.overlap(begin, call.sent_at)
            and not nodes[call.router].disturbances.overlap(begin, call.sent_at)
        ):
            self._add_violation(f"{call.path} is not in force")

    def _was_sent_before_recovery(self, call: Call) -> bool:
        """Returns whether a call may be late.

        Paused and killed routers delay requests, but none are paused or killed
        any more after recovery.
        """
        return call.sent_at < self._recovered_at

    def _check_recovery(self) -> None:
        recovered = [
            call
            for call in self._calls
            if call.sent_at > self._recovered_at
            and call.key == API_KEYS[0]
            and not call.is_deadly
        ]
        served = [
            call for call in recovered if call.status == 200 and call.complete
        ]
        if len(served) < SERVED_SHARE_MIN * len(recovered):
            self._add_violation(
                f"after the faults {len(served)} of {len(recovered)} served"
            )

    def _add_violation(self, what: str) -> None:
        self.violations.append(what)


def _has_expected_body(call: Call) -> bool:
    if call.path.startswith(("/chat", "/draft")):
        expected = b"".join(
            f"id: {number}\ndata: x\n\n".encode() for number in range(1, 6)
        )
        return call.body == expected
    return call.body.startswith(b"run by shop-")


def run_seed(seed: int) -> list[str]:
    """Runs one seed; returns the violations found.

    If there are any, the routers' logs are copied to out/soak-SEED.
    """
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder)
        violations = asyncio.run(Soak(seed, path).run())
        if violations:
            log_folder = pathlib.Path("out") / f"soak-{seed}"
            log_folder.mkdir(parents=True, exist_ok=True)
            for log in path.glob("*.log"):
                (log_folder / log.name).write_bytes(log.read_bytes())
        return violations


def main(seeds: list[str]) -> int:
    """Runs the given seeds; returns the exit code."""
    failed = 0
    for seed in seeds:
        violations = run_seed(int(seed))
        failed += bool(violations)
        print(f"seed {seed}: {violations[:5] or 'ok'}", flush=True)
    print(f"{len(seeds) - failed} passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
