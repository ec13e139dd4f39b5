"""Which orders bring a model's engines to what the configuration says."""

from __future__ import annotations

import dataclasses

import pydantic

from agatedock.fleet import documents


class EngineState(pydantic.BaseModel):
    """What an engine says of its model.

    Attributes:
      loading: True while it loads weights.
      fence: Highest fencing number it has seen.
    """

    version: str = ""
    adapters: tuple[str, ...] = ()
    role: str = ""
    loading: bool = False
    fence: int = 0


@dataclasses.dataclass(frozen=True)
class Order:
    """One order to one engine.

    Attributes:
      action: `load`, `add_adapter`, `drop_adapter` or `set_role`.
      reads_weights: Whether the weight store is read.
    """

    engine: str
    action: str
    argument: str
    reads_weights: bool


def plan_orders(
    model: documents.Model, engines: dict[str, EngineState]
) -> list[Order]:
    """Returns the orders that are due now, at most one for each engine.

    Only one engine of a model loads weights at a time, so that the others
    keep serving.
    """
    orders: list[Order] = []
    loading = any(state.loading for state in engines.values())
    for name, state in sorted(engines.items()):
        if state.loading:
            continue
        order = _find_next_order(model, name, state)
        if order is None or (order.reads_weights and loading):
            continue
        loading = loading or order.reads_weights
        orders.append(order)
    return orders


def _find_next_order(
    model: documents.Model, name: str, state: EngineState
) -> Order | None:
    if model.version and state.version != model.version:
        return Order(name, "load", model.version, True)
    for adapter in model.adapters:
        if adapter not in state.adapters:
            return Order(name, "add_adapter", adapter, True)
    for adapter in state.adapters:
        if adapter not in model.adapters:
            return Order(name, "drop_adapter", adapter, False)
    role = model.roles.get(name, model.role)
    if role and state.role != role:
        return Order(name, "set_role", role, False)
    return None


class LoadRateLimiter:
    """Rate at which one scope may read the weight store."""

    def __init__(self) -> None:
        self._next_load_at = 0.0

    def try_acquire(self, now: float, min_interval_s: float) -> bool:
        """Takes one load out of the rate; False if it is too early."""
        if now < self._next_load_at:
            return False
        self._next_load_at = now + min_interval_s
        return True
