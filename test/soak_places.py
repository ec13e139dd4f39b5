"""Failure domains of the soak: evacuations, and replicas that are cold."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import random
import time

from standins import replica
from standins import store
from test import soak_notices

# Seeds from here on have evacuations and cold replicas.
FIRST_SEED = 11_000
COLD_S = 3.0
COLD_RATE = 4.0
SERVICE = {"Name": "llm", "ColdStartS": COLD_S, "ColdPerS": COLD_RATE}
# Bounds of the hosting platform: how many requests reach a cold replica within
# a second, and how long after an evacuation none does.
COLD_WINDOW_S = 1.0
COLD_REQUESTS_MAX = 1.5 * COLD_RATE + 5
EVACUATED_S = 5.0
CONTACT_S = 3.0


@dataclasses.dataclass(frozen=True)
class Interval:
    """A time in seconds, and the replicas that it is about."""

    names: frozenset[str]
    begin: float
    end: float


class Places:
    """Evacuates failure domains, and lets replicas come back cold."""

    def __init__(
        self,
        platform_store: store.Store,
        generator: random.Random,
        register: Callable[[replica.Replica], None],
    ) -> None:
        """Starts without faults.

        Args:
          platform_store: The store to which an operator writes.
          generator: Chooses domains and times.
          register: Writes the entry of a replica.
        """
        self._store = platform_store
        self._random = generator
        self._register = register
        self._lock = asyncio.Lock()
        # The evacuated domain; empty if there is none.
        self._evacuated = ""
        self.replicas: list[replica.Replica] = []
        self._evacuations: list[Interval] = []
        self._cold_times: list[Interval] = []

    def _choose_domain(self) -> list[replica.Replica]:
        zone = self._random.choice(self.replicas).zone
        return [item for item in self.replicas if item.zone == zone]

    async def evacuate(self) -> None:
        """Evacuates a domain for some seconds; its replicas are cold then."""
        if self._lock.locked():
            return
        async with self._lock:
            domain = self._choose_domain()
            self._evacuated = domain[0].zone
            self.write_again()
            began_at = time.monotonic()
            await asyncio.sleep(self._random.uniform(EVACUATED_S, 8.0))
            self._evacuations.append(
                Interval(_list_names(domain), began_at, time.monotonic())
            )
            self._make_cold(domain, time.monotonic())
            for item in domain:
                self._register(item)
            self._evacuated = ""
            self.write_again()

    def write_again(self) -> None:
        """Writes to the store which domain is evacuated."""
        for item in self.replicas:
            key = f"op/evacuate/{item.zone}"
            if item.zone == self._evacuated:
                self._store.put(key, b"{}")
            elif key in self._store.items:
                self._store.remove(key)

    async def return_cold(self) -> None:
        """Ends the replicas of a domain, which are cold when they return."""
        domain = self._choose_domain()
        if self._lock.locked() or any(item.is_down for item in domain):
            return
        for item in domain:
            item.restart()
        self._make_cold(domain, time.monotonic() + domain[0].down_s)

    def _make_cold(self, domain: list[replica.Replica], begin: float) -> None:
        for item in domain:
            item.cold_until = begin + COLD_S
        self._cold_times.append(
            Interval(_list_names(domain), begin, begin + COLD_S)
        )

    def find_violations(
        self,
        item: replica.Replica,
        arrivals: Iterable[soak_notices.Arrival],
        store_disturbances: Iterable[soak_notices.Disturbances],
    ) -> list[str]:
        """Returns the violations at one replica.

        Args:
          item: The replica.
          arrivals: All requests that reached it.
          store_disturbances: When the store or the way to it failed.
        """
        known = sorted(arrivals, key=lambda x: x.record.received_at)
        violations = []
        for evacuation in self._evacuations:
            if item.name in evacuation.names:
                violations += _find_late(
                    item.name, evacuation, known, list(store_disturbances)
                )
        if item.service == SERVICE["Name"]:
            for cold_time in self._cold_times:
                if item.name in cold_time.names:
                    violations += _find_excess(item.name, cold_time, known)
        return violations


def _list_names(domain: list[replica.Replica]) -> frozenset[str]:
    return frozenset(item.name for item in domain)


def _find_late(
    name: str,
    evacuation: Interval,
    arrivals: list[soak_notices.Arrival],
    store_disturbances: list[soak_notices.Disturbances],
) -> list[str]:
    violations = []
    for arrival in arrivals:
        at = arrival.record.received_at
        if not evacuation.begin + EVACUATED_S < at < evacuation.end:
            continue
        disturbances = [*store_disturbances, arrival.router_disturbances]
        if any(x.overlap(at - CONTACT_S, at) for x in disturbances):
            continue
        after_s = at - evacuation.begin
        violations.append(
            f"{arrival.record.attempt_id} reached {name} {after_s:.2f} s "
            f"after its evacuation, from {arrival.router}"
        )
    return violations


def _find_excess(
    name: str, cold_time: Interval, arrivals: list[soak_notices.Arrival]
) -> list[str]:
    times = [
        arrival.record.received_at
        for arrival in arrivals
        if cold_time.begin <= arrival.record.received_at < cold_time.end
    ]
    busiest = max(
        (sum(at <= x < at + COLD_WINDOW_S for x in times) for at in times),
        default=0,
    )
    if busiest <= COLD_REQUESTS_MAX:
        return []
    return [f"{busiest} requests in a second at {name}, which was cold"]
