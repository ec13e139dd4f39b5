"""Simulates the messages between many routers in one process.

The event loop runs in virtual time: its clock jumps to the next timer.
"""

from __future__ import annotations

import asyncio
import collections
from collections.abc import Coroutine
import random
import selectors
from typing import Any

from agatedock import addresses
from agatedock.decisions import fleet_view
from agatedock.peers import endpoint
from agatedock.peers import gossip
from agatedock.peers import reservations
from agatedock.serving import placer
from agatedock.views import cold_replicas
from agatedock.views import directory
from agatedock.views import health
from agatedock.views import loads
from agatedock.views import prefixes
from agatedock.views import replica_limits
from agatedock.views import routers

# Network delay from one router to another.
DELAY_S = 0.004
# Time of the loop's clock at its start.
START_TIME_S = 100.0
HOST = "10.0.0.1"
FIRST_PORT = 1000
# Unix time of the simulation, in the year 2026.
UNIX_TIME_MS = 1_780_000_000_000


class _Selector(selectors.SelectSelector):
    """Selects without waiting, and advances the loop's clock instead."""

    loop: VirtualTimeLoop

    def select(self, timeout: float | None = None) -> list:
        """Returns the events that are ready now."""
        if timeout:
            self.loop.now += timeout
        return super().select(0)


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Event loop whose clock jumps to the next timer."""

    def __init__(self) -> None:
        selector = _Selector()
        selector.loop = self
        self.now = START_TIME_S
        super().__init__(selector)

    def time(self) -> float:
        """Returns the virtual time in seconds."""
        return self.now


def run(coroutine: Coroutine[Any, Any, None]) -> None:
    """Runs a coroutine to its end in virtual time."""
    loop = VirtualTimeLoop()
    try:
        loop.run_until_complete(coroutine)
    finally:
        for task in asyncio.all_tasks(loop):
            task.cancel()
        loop.run_until_complete(asyncio.sleep(0))
        loop.close()


class Network:
    """Delivers datagrams, and loses or duplicates some of them.

    Attributes:
      loss_rate: Share of datagrams that are lost.
      duplicate_rate: Share of datagrams that arrive twice.
      blocked_ports: Ports whose datagrams are lost, by direction: "from" and
        "to".
      bytes_sent: Bytes sent, headers of IP and UDP included, by port.
      datagrams_sent: Datagrams sent, by port.
      endpoints: Endpoints of the routers, by port.
    """

    def __init__(self, seed: int) -> None:
        self.loss_rate = 0.0
        self.duplicate_rate = 0.0
        self.blocked_ports: dict[str, set[int]] = {"from": set(), "to": set()}
        self.bytes_sent: collections.Counter[int] = collections.Counter()
        self.datagrams_sent: collections.Counter[int] = collections.Counter()
        self.endpoints: dict[int, endpoint.Endpoint] = {}
        self._random = random.Random(seed)

    def send(self, data: bytes, sender: int, receiver: int) -> None:
        """Delivers one datagram after the delay, unless it is lost."""
        self.bytes_sent[sender] += len(data) + endpoint.PACKET_HEADER_BYTES
        self.datagrams_sent[sender] += 1
        if (
            sender in self.blocked_ports["from"]
            or receiver in self.blocked_ports["to"]
        ):
            return
        if self._random.random() < self.loss_rate:
            return
        copies = 1 + (self._random.random() < self.duplicate_rate)
        for copy in range(copies):
            asyncio.get_running_loop().call_later(
                DELAY_S * (1 + copy), self._deliver, data, sender, receiver
            )

    def _deliver(self, data: bytes, sender: int, receiver: int) -> None:
        peer_endpoint = self.endpoints.get(receiver)
        if peer_endpoint is not None:
            peer_endpoint.datagram_received(data, (HOST, sender))


class _Transport:
    """Datagram transport of one router, which sends through the network."""

    def __init__(self, network: Network, port: int) -> None:
        self._network = network
        self._port = port

    def sendto(self, data: bytes, address: addresses.Address) -> None:
        """Sends a datagram."""
        self._network.send(data, self._port, address[1])


class Node:
    """The parts of one router that exchange loads with peers.

    Attributes:
      name: Name of the router.
      port: Port at which it receives datagrams.
      version: Version of the configuration that it reports.
      running: Its running requests by service.
      cold_replicas: Replicas that it knows to be cold.
    """

    def __init__(
        self, fleet: Fleet, name: str, port: int, started_at_ms: int
    ) -> None:
        self.name = name
        self.port = port
        self.version = 1
        self.running: collections.Counter[str] = collections.Counter()
        now = asyncio.get_running_loop().time
        self.peer_endpoint = endpoint.Endpoint(now)
        self.peer_endpoint._transport = _Transport(fleet.network, port)  # type: ignore[assignment]  # noqa: SLF001
        self.routers = routers.Routers()
        self.loads = loads.Loads()
        self.cold_replicas = cold_replicas.ColdReplicas()
        self.limits = replica_limits.ReplicaLimits(
            fleet.replica_directory.get_by_hash, self.cold_replicas
        )
        self.limits.router_name = name
        self.gossip = gossip.Gossip(
            gossip.Identity(name, "a", 100, started_at_ms),
            self.peer_endpoint,
            self.routers,
            get_listed_routers=lambda: fleet.router_addresses,
            get_version=lambda: self.version,
            get_running=lambda: self.running,
            now=now,
        )
        self.reservations = reservations.ReservationService(
            self.peer_endpoint,
            self.gossip,
            self.routers,
            self.loads,
            self.limits,
            now,
        )
        self.view = fleet_view.FleetView(
            loads=self.loads,
            health=health.ReplicaHealth(),
            prefixes=prefixes.PrefixIndex(),
            find_replica=fleet.replica_directory.get_by_hash,
            count_running=self.count_running,
            count_peers=self.routers.count,
            zone="a",
            limits=self.limits,
        )
        self.placer = placer.Placer(self.view, self.reservations)
        self.tasks: list[asyncio.Task[None]] = []

    def count_running(self, service: str) -> int:
        """Returns the running requests of all routers by the local view."""
        return self.running[service] + self.routers.sum_running(service)

    def start(self) -> None:
        """Starts the exchange of messages with peers."""
        self.tasks = [
            asyncio.create_task(self.gossip.run()),
            asyncio.create_task(self.reservations.run()),
        ]

    def kill(self) -> None:
        """Stops the router without notifying its peers."""
        for task in self.tasks:
            task.cancel()


class Fleet:
    """Routers of one listing.

    Attributes:
      replica_directory: The replicas, the same for all routers.
      network: Network between the routers.
      router_addresses: Addresses of the listed routers by name.
      nodes: The routers.
    """

    def __init__(
        self, size: int, replica_directory: directory.Directory, seed: int = 1
    ):
        self.replica_directory = replica_directory
        self.network = Network(seed)
        self.router_addresses: dict[str, str] = {}
        self.nodes: list[Node] = []
        for _ in range(size):
            self.add()

    def add(self) -> Node:
        """Starts one more router and adds it to the listing."""
        index = len(self.nodes)
        return self._start(f"edge-{index}", FIRST_PORT + index)

    def restart(self, node: Node) -> Node:
        """Kills a router and starts another one with its name and port."""
        node.kill()
        self.nodes.remove(node)
        return self._start(node.name, node.port)

    def _start(self, name: str, port: int) -> Node:
        elapsed_ms = round(asyncio.get_running_loop().time() * 1000)
        started_at_ms = UNIX_TIME_MS + elapsed_ms
        node = Node(self, name, port, started_at_ms)
        self.network.endpoints[port] = node.peer_endpoint
        self.router_addresses = {
            **self.router_addresses,
            name: f"{HOST}:{port}",
        }
        self.nodes.append(node)
        node.start()
        return node
