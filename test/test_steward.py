"""Orders to engines: leases, fencing tokens, planning and rate limit."""

from __future__ import annotations

import asyncio
import itertools
import signal
import unittest

import hypothesis
from hypothesis import strategies as st

from agatedock import errors
from agatedock import external
from agatedock.fleet import documents
from agatedock.orders import lease
from agatedock.orders import planning
from standins import fleet
from test import helper

helper.load_profile()

TTL_S = 10.0


class InMemoryKeyValue:
    """A key-value service in memory whose clock the test sets.

    Attributes:
      now: Time in seconds.
      fault: "ok"; "drop" to fail before a call takes effect; or "lose" to
        fail after a write took effect.
    """

    def __init__(self) -> None:
        self.now = 0.0
        self.fault = "ok"
        self._values: dict[str, tuple[bytes, int, float]] = {}
        self._version = 0

    async def get(self, key: str) -> external.Entry | None:
        """Returns the entry of a key that has not expired."""
        if self.fault == "drop":
            raise errors.Unavailable("script")
        value = self._values.get(key)
        if value is None or self.now >= value[2]:
            return None
        return external.Entry(key, value[0], value[1])

    async def put(
        self, key: str, value: bytes, expected_version: int, ttl_ms: int = 0
    ) -> int:
        """Writes a key by compare-and-swap."""
        if self.fault == "drop":
            raise errors.Unavailable("script")
        current = self._values.get(key)
        exists = current is not None and self.now < current[2]
        if (current[1] if exists else 0) != expected_version:
            raise errors.Conflict(key)
        self._version += 1
        expires_at = self.now + ttl_ms / 1000 if ttl_ms else float("inf")
        self._values[key] = (value, self._version, expires_at)
        if self.fault == "lose":
            raise errors.Unavailable("script")
        return self._version


class LeaseTest(unittest.TestCase):
    """At most one process holds a valid lease at any time."""

    @hypothesis.given(
        st.lists(
            st.tuples(
                st.integers(0, 2),
                st.floats(0.0, 6.0),
                st.sampled_from(["ok", "ok", "lose", "drop"]),
                st.floats(0.0, 3.0),
            ),
            max_size=40,
        )
    )
    def test_lease_terms_never_overlap_and_fences_only_grow(self, steps):
        kv = InMemoryKeyValue()
        leases = [lease.Lease(kv, "m", f"s{i}", TTL_S) for i in range(3)]
        held_leases: dict[int, lease.HeldLease] = {}
        fences: list[int] = []

        async def step(index: int, started: float) -> lease.HeldLease | None:
            held_lease = held_leases.get(index)
            if held_lease is not None and held_lease.is_valid_for(kv.now, 0.0):
                return await leases[index].renew(held_lease, started)
            return await leases[index].acquire(started)

        for index, pause_s, fault, stall_s in steps:
            kv.now += pause_s
            started = kv.now
            # The process may be paused between reading its clock and writing.
            kv.now += stall_s
            kv.fault = fault
            try:
                result = asyncio.run(step(index, started))
            except errors.Unavailable:
                continue
            held_leases.pop(index, None)
            if result is not None:
                held_leases[index] = result
                if not fences or result.record.fence != fences[-1]:
                    fences.append(result.record.fence)
            valid_leases = [
                held_lease
                for held_lease in held_leases.values()
                if held_lease.is_valid_for(kv.now, 0.0)
            ]
            self.assertLessEqual(len(valid_leases), 1)
        self.assertEqual(fences, sorted(set(fences)))


class PlanTest(unittest.TestCase):
    """Planning and rate limiting of orders."""

    def _make_states(self, **changes: object) -> dict:
        return {
            f"e{i}": planning.EngineState.model_validate(changes)
            for i in range(3)
        }

    def test_one_engine_of_a_model_loads_at_a_time(self):
        model = documents.Model(name="m", version="v2")
        states = self._make_states(version="v1")
        self.assertEqual(
            [o.engine for o in planning.plan_orders(model, states)], ["e0"]
        )
        states["e0"].loading = True
        self.assertEqual(planning.plan_orders(model, states), [])

    def test_orders_that_read_no_weights_go_to_all_engines(self):
        model = documents.Model(
            name="m", role="decode", roles={"e1": "prefill"}
        )
        orders = planning.plan_orders(model, self._make_states())
        self.assertEqual(
            [(o.engine, o.argument) for o in orders],
            [("e0", "decode"), ("e1", "prefill"), ("e2", "decode")],
        )

    def test_no_orders_if_engines_match_the_configuration(self):
        model = documents.Model(name="m", version="v1", adapters=("a",))
        states = self._make_states(version="v1", adapters=("a",))
        self.assertEqual(planning.plan_orders(model, states), [])

    @hypothesis.given(st.lists(st.floats(0.0, 5.0), max_size=50))
    def test_loads_are_rate_limited(self, pauses):
        limiter, now, acquired_at = planning.LoadRateLimiter(), 100.0, []
        for pause_s in pauses:
            now += pause_s
            if limiter.try_acquire(now, 4.0):
                acquired_at.append(now)
        # The difference of two times would be rounded once more.
        for earlier, later in itertools.pairwise(acquired_at):
            self.assertGreaterEqual(later, earlier + 4.0)


class StewardTest(unittest.IsolatedAsyncioTestCase):
    """Two steward processes and the engines that they send orders to."""

    async def test_paused_lease_holder_is_replaced_with_a_higher_fence(self):
        settings = {
            "steward": {
                "lease_ms": 2000,
                "poll_ms": 300,
                "order_timeout_ms": 300,
            }
        }
        document = {
            "defaults": {"weight_loads_per_min": 120},
            "models": [{"name": "llm", "version": "v1", "adapters": ["x"]}],
        }
        spec = helper.make_plan(
            routers=2, engines=3, settings=settings, document=document
        )
        async with fleet.Fleet(spec) as running:
            stewards = [
                await running.start_steward(f"router-{i}") for i in range(2)
            ]
            await self._wait_for_version(running, "v1")
            holder = await self._find_holder(running, stewards)
            holder.signal(signal.SIGSTOP)
            document["models"][0]["version"] = "v2"
            path = running.folder / "next.yaml"
            path.write_text(fleet.yaml.safe_dump(document))
            code, output = await running.run_operator(
                "config", "edit", str(path), "--reason", "new version"
            )
            self.assertEqual(code, 0, output)
            await self._wait_for_version(running, "v2")
            holder.signal(signal.SIGCONT)
            await asyncio.sleep(1.0)
            for name in ("llm-0", "llm-1", "llm-2"):
                record = await running.fetch_record(running.upstreams[name])
                fences = [order["fence"] for order in record["orders"]]
                self.assertEqual(fences, sorted(fences))
                self.assertGreater(len(set(fences)), 1)
                loads = [
                    o["argument"]
                    for o in record["orders"]
                    if o["action"] == "load"
                ]
                self.assertEqual(loads, ["v1", "v2"])

    async def _wait_for_version(
        self, running: fleet.Fleet, version: str
    ) -> None:
        async with asyncio.timeout(20):
            while True:
                states = [
                    await running.fetch_record(
                        running.upstreams[f"llm-{i}"], "/state"
                    )
                    for i in range(3)
                ]
                if all(
                    s["version"] == version and s["adapters"] == ["x"]
                    for s in states
                ):
                    return
                await asyncio.sleep(0.1)

    async def _find_holder(
        self, running: fleet.Fleet, stewards: list[fleet.Process]
    ) -> fleet.Process:
        url = f"{running.kv.url}/kv/agatedock/lease/llm"
        async with running.http.get(url) as response:
            name = (await response.json(content_type=None))["holder"]
        return next(s for s in stewards if s.name.startswith(name))
