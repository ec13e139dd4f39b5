"""Plans the orders that bring a model's engines to the configured state.

Engines load weights and adapters from a weight store that they share, so the
rate of these loads is limited.
"""

from __future__ import annotations

import dataclasses

import pydantic

from agatedock.fleet import documents


class EngineState(pydantic.BaseModel):
    """State that an engine reports.

    Attributes:
      version: Loaded version of the model.
      adapters: Names of the loaded adapters.
      role: Role of the engine; empty if it has none.
      loading: Whether the engine is loading weights.
      fence: Highest fencing token that the engine has seen.
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
      engine: Name of the engine.
      action: `load`, `add_adapter`, `drop_adapter` or `set_role`.
      argument: Version, adapter or role that the action applies to.
      reads_weights: Whether the engine reads from the weight store.
    """

    engine: str
    action: str
    argument: str
    reads_weights: bool


def plan_orders(
    model: documents.Model, engines: dict[str, EngineState]
) -> list[Order]:
    """Returns the orders to send now, at most one per engine.

    Only one engine of a model loads weights at a time, so that the others
    keep serving.

    Args:
      model: The configured state.
      engines: Reported states by engine name.
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
    """Limits how often the engines of one model read the weight store."""

    def __init__(self) -> None:
        self._next_load_at = 0.0

    def try_acquire(self, now: float, min_interval_s: float) -> bool:
        """Returns whether a load may start now, and counts it if so.

        Args:
          now: Monotonic time in seconds.
          min_interval_s: Minimum time between two loads.
        """
        if now < self._next_load_at:
            return False
        self._next_load_at = now + min_interval_s
        return True
