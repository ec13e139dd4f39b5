"""Composition root: wires the parts of a router and runs them."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import logging
import random
import time

from aiohttp import web

from agatedock import chat
from agatedock import clients
from agatedock import clock
from agatedock import enginecall
from agatedock import errors
from agatedock import explain
from agatedock import follow
from agatedock import gate
from agatedock import gossip
from agatedock import handover
from agatedock import holdings
from agatedock import home
from agatedock import homes
from agatedock import loads
from agatedock import logs
from agatedock import members
from agatedock import metrics
from agatedock import news
from agatedock import pause
from agatedock import placer
from agatedock import plain
from agatedock import relay
from agatedock import reports
from agatedock import retry
from agatedock import rpcpeer
from agatedock import servers
from agatedock import settings
from agatedock import state
from agatedock import upstreams
from agatedock import view
from agatedock import wire

WORK_CHECK_S = 0.2
RESTART_PAUSE_S = 1.0
STOP_LINGER_S = 1.0

_log = logging.getLogger(__name__)


@dataclasses.dataclass(frozen=True)
class Ports:
    """Ports that a running router listens on."""

    caller: int
    peer: int
    rpc: int
    gossip: int


class Router:
    """One router process."""

    def __init__(self, config: settings.Settings):
        now = time.monotonic()
        self._config = config
        self._seed = random.SystemRandom().getrandbits(32)
        self._pause = pause.Watch(now)
        self._view = view.View()
        self._upstreams = upstreams.View()
        self._records = explain.Records()
        self._metrics = metrics.Metrics()
        self._kv = clients.open_key_value(config.platform)
        self._vms = clients.open_vm_list(config.platform)
        self._tasks: list[asyncio.Task[None]] = []
        self._runners: list[web.AppRunner] = []
        self.ports = Ports(0, 0, 0, 0)

    async def start(self) -> None:
        """Binds all ports, joins the fleet and starts all tasks.

        Raises:
          errors.UserError: A port cannot be bound.
        """
        now = time.monotonic()
        self._make_parts(now)
        await self._bind(now)
        self._gossip.take_own(self._table.own)
        await self._news.join()
        self._start_tasks()
        logs.event(_log, "router_started", **dataclasses.asdict(self.ports))

    def _make_parts(self, now: float) -> None:
        """Wires all parts; nothing runs yet."""
        self._client = clients.make_client()
        self._single_use_client = clients.make_single_use_client()
        self._make_table(now)
        self._make_holdings()
        self._make_talk()
        self._make_home()
        self._make_routes()

    def _make_table(self, now: float) -> None:
        config = self._config
        own = wire.MemberItem(
            name=config.name,
            incarnation=clock.read_wall_ms(),
            status=wire.Status.ALIVE,
            host=config.listen.host,
            gossip_port=0,
            peer_port=0,
            rpc_port=0,
            failure_domain=config.failure_domain,
        )
        self._table = members.Table(
            own,
            config.gossip.suspicion_ms / 1000,
            config.gossip.forget_dead_ms / 1000,
            now,
        )
        self._homes = homes.Map(self._table, self._upstreams)

    def _make_holdings(self) -> None:
        gates: dict[str, gate.Gate] = {}
        self._loads = loads.Loads(
            self._table, self._upstreams, self._homes, gates
        )
        self._holdings = holdings.Holdings(
            self._config.home,
            gates,
            self._table,
            self._view,
            self._upstreams,
            self._homes,
            self._loads,
        )
        self._hand_over = handover.HandOver(self._config.name, self._holdings)

    def _make_home(self) -> None:
        config = self._config
        self._home = home.Home(
            config.name,
            self._holdings,
            self._upstreams,
            self._homes,
            self._loads,
            enginecall.EngineClient(self._client, config.limits),
            self._records,
            self._pause.is_paused,
            self._news.note_leaving,
        )

    def _make_talk(self) -> None:
        config = self._config
        self._gossip = gossip.Gossip(
            self._table,
            config.gossip,
            self._holdings.describe_own,
            self._seed,
        )
        self._follower = follow.Follower(
            config.platform,
            self._view,
            self._kv,
            self._gossip,
            self._hand_over.refresh,
            self._seed,
        )
        self._news = news.News(
            self._vms,
            config.platform.vm_list_poll_ms,
            self._upstreams,
            self._gossip,
            self._follower,
            self._seed,
        )
        self._gossip.listener = self._news

    def _make_routes(self) -> None:
        config = self._config
        self._reader = reports.Reader(
            config.home,
            self._home,
            self._holdings,
            self._upstreams,
            self._client,
        )
        budget = retry.Budget()
        peers = relay.Peers(config.name, self._client, config.limits)
        engines = placer.Placer(
            self._view,
            self._home,
            self._homes,
            self._loads,
            peers,
            self._records,
            budget,
            self._seed,
        )
        chats = chat.ChatRoute(
            self._view,
            engines,
            self._records,
            budget,
            self._loads,
            config.limits.upstream_silence_ms / 1000,
            self._metrics,
            self._seed,
        )
        self._plains = plain.PlainRoute(
            config,
            self._view,
            self._upstreams,
            self._kv,
            self._records,
            budget,
            self._client,
            self._single_use_client,
            self._news.note_leaving,
            self._seed,
        )
        self._callers = servers.CallerServer(
            config.limits, self._view, chats, self._plains, self._metrics
        )
        self._peer_server = servers.PeerServer(
            self._home,
            self._view,
            self._records,
            self._metrics,
            self._follower.take,
            self.dump,
        )

    async def _bind(self, now: float) -> None:
        listen = self._config.listen
        caller = await self._serve(self._callers.make_app(), listen.caller_port)
        # A peer's request holds a caller's body and a little more.
        body_max = 2 * self._config.limits.body_max_bytes
        peer = await self._serve(
            self._peer_server.make_app(body_max), listen.peer_port
        )
        service = rpcpeer.Service(
            self._gossip, self._view, self._home, self._holdings
        )
        self._rpc, rpc = await rpcpeer.start_server(
            service, f"{listen.host}:{listen.rpc_port}"
        )
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(
            lambda: self._gossip, local_addr=(listen.host, listen.gossip_port)
        )
        self._datagrams = transport
        gossip_port = transport.get_extra_info("sockname")[1]
        self.ports = Ports(caller, peer, rpc, gossip_port)
        self._table.set_ports(gossip_port, peer, rpc, now)

    async def _serve(self, app: web.Application, port: int) -> int:
        runner = web.AppRunner(
            app,
            handler_cancellation=True,
            access_log=None,
            shutdown_timeout=self._config.limits.drain_timeout_ms / 1000,
        )
        await runner.setup()
        host = self._config.listen.host
        try:
            await web.TCPSite(runner, host, port).start()
        except OSError as error:
            raise errors.UserError(
                f"cannot bind {host}:{port}: {error.strerror}"
            ) from None
        self._runners.append(runner)
        return runner.addresses[0][1]

    def _start_tasks(self) -> None:
        for name, run in (
            ("gossip", self._gossip.run),
            ("config_watch", self._follower.run_watch),
            ("config_poll", self._follower.run_poll),
            ("vm_list", self._news.run_vm_list),
            ("load_reports", self._reader.run),
            ("shedding", self._home.run_shedding),
            ("homes", self._hand_over.run),
            ("sync", self._news.run_sync),
            ("pause", lambda: self._pause.run(self._take_pause)),
        ):
            self._tasks.append(asyncio.create_task(_supervise(name, run)))

    def _take_pause(self, pause_s: float, now: float) -> None:
        self._table.slow_down()
        if pause_s * 1000 > self._config.gossip.suspicion_ms:
            self._holdings.distrust(now)

    async def stop(self) -> None:
        """Leaves the fleet, finishes every request in flight, then ends."""
        self._callers.stopping = True
        self._table.set_own(wire.Status.LEAVING, time.monotonic())
        self._gossip.take_own(self._table.own)
        self._gossip.push_now(len(self._table.members))
        logs.event(_log, "router_stopping", requests=self._count_work())
        until = time.monotonic() + self._config.limits.drain_timeout_ms / 1000
        await asyncio.sleep(STOP_LINGER_S)
        left = await self._wait_for_work(until)
        for runner in self._runners:
            await runner.cleanup()
        await self._close()
        logs.event(_log, "router_stopped", requests_cut=left)

    async def _wait_for_work(self, until: float) -> int:
        """Waits for requests in flight; returns how many are left."""
        while time.monotonic() < until:
            if not self._count_work():
                return 0
            await asyncio.sleep(WORK_CHECK_S)
        return self._count_work()

    def _count_work(self) -> int:
        return (
            self._callers.count_work()
            + self._home.count_work()
            + self._plains.count_work()
        )

    async def _close(self) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._rpc.stop(0.1)
        self._datagrams.close()
        await self._client.close()
        await self._single_use_client.close()
        await self._kv.close()
        await self._vms.close()

    def dump(self) -> dict:
        """Returns the state of this process for operators."""
        return {
            "process": {
                "name": self._config.name,
                "failure_domain": self._config.failure_domain,
                "stopping": self._callers.stopping,
                "ports": dataclasses.asdict(self.ports),
            },
            "config": {
                "revision": self._view.revision,
                "digest": f"{self._view.digest:016x}",
                "alarms": [dataclasses.asdict(a) for a in self._view.alarms],
            },
            "control": {
                **dataclasses.asdict(self._gossip.traffic),
                "polls": self._reader.polls,
            },
            "work": {
                "requests": self._callers.count_work(),
                "streams": self._home.streams,
                "diversions": len(self._holdings.diversions),
                "prefixes": len(self._holdings.prefixes),
            },
            "members": state.describe_members(self._table, time.monotonic()),
            "upstreams": state.describe_upstreams(
                self._upstreams, self._homes, time.monotonic()
            ),
            "engines": state.describe_gates(self._holdings, time.monotonic()),
        }


async def _supervise(name: str, run: Callable[[], Awaitable[None]]) -> None:
    """Runs a task and starts it again if it fails."""
    while True:
        try:
            await run()
            return
        except Exception:
            _log.exception({"event": "task_failed", "task": name})
            await asyncio.sleep(RESTART_PAUSE_S)
