"""The steward: the controller that sends orders to engines.

Several stewards run at a time. For each model, only the one that holds the
model's lease sends orders.
"""

from __future__ import annotations

import asyncio
import logging
import time

import aiohttp
import pydantic

from agatedock import body_buffers
from agatedock import errors
from agatedock import external
from agatedock import hashing
from agatedock import logs
from agatedock.fleet import config_store
from agatedock.fleet import documents
from agatedock.native import settings
from agatedock.orders import lease
from agatedock.orders import planning

# Stewards that try to acquire the lease of one model.
CANDIDATES_PER_MODEL = 2
MINUTE_S = 60.0
# Largest state of an engine that is read.
STATE_MAX_BYTES = 64 * 1024
# Digits of the largest fencing token that is read.
FENCE_DIGITS_MAX = 18
_CONFLICT = 409

_log = logging.getLogger(__name__)


class FenceRejected(Exception):  # noqa: N818
    """An engine rejected an order because it has seen a higher fence.

    Attributes:
      seen_fence: Highest fencing token that the engine has seen.
    """

    def __init__(self, seen_fence: int):
        self.seen_fence = seen_fence
        super().__init__(f"engine has seen fencing token {seen_fence}")


class Steward:
    """Runs one task per model that sends orders while it holds the lease.

    Attributes:
      leases: Leases that this process holds, by model.
    """

    def __init__(
        self,
        config: settings.Settings,
        kv: external.KeyValue,
        vms: external.VmList,
        client: aiohttp.ClientSession,
    ):
        self._name = config.name
        self._config = config.steward
        self._kv = kv
        self._vm_list = vms
        self._client = client
        self._known_vms: list[external.Vm] = []
        self._document = documents.Document()
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self.leases: dict[str, lease.HeldLease] = {}

    async def run(self) -> None:
        """Runs one task per configured model until cancelled."""
        try:
            while True:
                await self._read_platform()
                for model in self._document.models:
                    if model.name not in self._tasks:
                        task = asyncio.create_task(
                            self._manage_model(model.name)
                        )
                        self._tasks[model.name] = task
                await asyncio.sleep(self._config.poll_ms / 1000)
        finally:
            for task in self._tasks.values():
                task.cancel()

    def dump(self) -> dict:
        """Returns the state of this process for operators."""
        now = time.monotonic()
        return {
            "name": self._name,
            "revision": self._document.revision,
            "leases": [
                {
                    "scope": scope,
                    "fence": held_lease.record.fence,
                    "left_ms": int((held_lease.valid_until - now) * 1000),
                }
                for scope, held_lease in sorted(self.leases.items())
            ],
        }

    async def _read_platform(self) -> None:
        try:
            vms = await self._vm_list.read()
            if vms is not None:
                self._known_vms = vms
            stored = await config_store.read(self._kv)
        except (errors.Unavailable, pydantic.ValidationError) as error:
            logs.event(_log, "platform_unavailable", problem=str(error))
            return
        if stored.document.revision >= self._document.revision:
            self._document = stored.document

    def _is_candidate(self, model: str) -> bool:
        """Returns whether this process may try to acquire a model's lease.

        If all stewards polled all leases, these reads would exceed all other
        reads of the key-value service.
        """
        names = {
            vm.name
            for vm in self._known_vms
            if vm.role == external.VmRole.ROUTER
        }
        ranked = hashing.sort_by_score(f"steward {model}", names | {self._name})
        return self._name in ranked[:CANDIDATES_PER_MODEL]

    async def _manage_model(self, model: str) -> None:
        """Acquires a model's lease and sends orders while it is held."""
        model_lease = lease.Lease(
            self._kv, model, self._name, self._config.lease_ms / 1000
        )
        load_limiter = planning.LoadRateLimiter()
        while True:
            try:
                await self._maintain_lease(model, model_lease)
                if model in self.leases:
                    await self._send_due_orders(
                        model, model_lease, load_limiter
                    )
            except errors.Unavailable as error:
                logs.event(
                    _log, "steward_waits", scope=model, problem=str(error)
                )
            await asyncio.sleep(self._config.poll_ms / 1000)

    async def _maintain_lease(
        self, model: str, model_lease: lease.Lease
    ) -> None:
        now = time.monotonic()
        held_lease = self.leases.get(model)
        if held_lease is not None:
            renewed = None
            if held_lease.is_valid_for(now, 0.0):
                renewed = await model_lease.renew(held_lease, now)
            self._set_held_lease(model, renewed)
        elif self._is_candidate(model):
            acquired = await model_lease.acquire(now)
            if acquired is None:
                return
            # Orders of the previous holder may still be in flight.
            await asyncio.sleep(self._config.order_timeout_ms / 1000)
            self._set_held_lease(model, acquired)

    def _set_held_lease(
        self, model: str, held_lease: lease.HeldLease | None
    ) -> None:
        previous = self.leases.pop(model, None)
        if held_lease is not None:
            self.leases[model] = held_lease
        if (previous is None) != (held_lease is None):
            logs.event(
                _log,
                "lease_taken" if held_lease else "lease_lost",
                scope=model,
                fence=held_lease.record.fence if held_lease else 0,
            )

    async def _send_due_orders(
        self,
        name: str,
        model_lease: lease.Lease,
        load_limiter: planning.LoadRateLimiter,
    ) -> None:
        model = self._document.find_model(name)
        if model is None:
            return
        engines = {
            vm.name: vm
            for vm in self._known_vms
            if vm.service == name and vm.state == external.VmState.LIVE
        }
        states = await self._read_states(engines)
        # The configured rate is shared equally by all models.
        loads_per_min = self._document.defaults.weight_loads_per_min
        min_interval_s = (
            MINUTE_S / loads_per_min * max(1, len(self._document.models))
        )
        for order in planning.plan_orders(model, states):
            if order.reads_weights and not load_limiter.try_acquire(
                time.monotonic(), min_interval_s
            ):
                continue
            try:
                await self._send_order(
                    self.leases[name], engines[order.engine], order
                )
            except FenceRejected as rejection:
                held_lease = await model_lease.renew_with_higher_fence(
                    self.leases[name], rejection.seen_fence, time.monotonic()
                )
                self._set_held_lease(name, held_lease)
                return

    async def _read_states(
        self, engines: dict[str, external.Vm]
    ) -> dict[str, planning.EngineState]:
        results = await asyncio.gather(
            *(
                read_state(self._client, engine, self._timeout())
                for engine in engines.values()
            )
        )
        return {
            name: state
            for name, state in zip(engines, results, strict=True)
            if state is not None
        }

    def _timeout(self) -> aiohttp.ClientTimeout:
        return aiohttp.ClientTimeout(total=self._config.order_timeout_ms / 1000)

    async def _send_order(
        self,
        held_lease: lease.HeldLease,
        engine: external.Vm,
        order: planning.Order,
    ) -> None:
        """Sends one order if its timeout ends before the lease expires.

        Raises:
          FenceRejected: The engine has seen a higher fencing token.
        """
        body = {
            "fence": held_lease.record.fence,
            "action": order.action,
            "argument": order.argument,
        }
        timeout_s = self._config.order_timeout_ms / 1000
        # Checked just before sending, because engines without `checks_fence`
        # accept orders with an outdated fencing token.
        if not held_lease.is_valid_for(time.monotonic(), timeout_s):
            return
        url = f"http://{engine.host}:{engine.port}/orders"
        outcome = "sent"
        try:
            async with self._client.post(
                url, json=body, timeout=self._timeout()
            ) as response:
                if response.status == _CONFLICT:
                    raise FenceRejected(await _read_fence(response))
                outcome = f"status {response.status}"
        except (aiohttp.ClientError, TimeoutError, ValueError) as error:
            # The engine may have run the order; its next state shows it.
            outcome = repr(error)
        logs.event(
            _log,
            "order",
            upstream=order.engine,
            action=order.action,
            argument=order.argument,
            fence=held_lease.record.fence,
            outcome=outcome,
        )


async def read_state(
    client: aiohttp.ClientSession,
    engine: external.Vm,
    timeout: aiohttp.ClientTimeout,
) -> planning.EngineState | None:
    """Returns the state that an engine reports; None if it cannot be read."""
    url = f"http://{engine.host}:{engine.port}/state"
    try:
        async with client.get(url, timeout=timeout) as response:
            body = await body_buffers.read(response.content, STATE_MAX_BYTES)
            return planning.EngineState.model_validate_json(body)
    except (aiohttp.ClientError, TimeoutError, pydantic.ValidationError):
        return None


async def _read_fence(response: aiohttp.ClientResponse) -> int:
    """Returns the fencing token in a rejection.

    Raises:
      aiohttp.ClientError: The rejection is incomplete or too long.
      ValueError: It is not a number.
    """
    return int(await body_buffers.read(response.content, FENCE_DIGITS_MAX))
