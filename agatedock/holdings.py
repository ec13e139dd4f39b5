"""The engines that a router is the home of, and what it knows of them."""

from __future__ import annotations

import logging

import cachetools

from agatedock import calls
from agatedock import gate
from agatedock import hashing
from agatedock import homes
from agatedock import loads
from agatedock import logs
from agatedock import members
from agatedock import settings
from agatedock import upstreams
from agatedock import view
from agatedock import wire

_log = logging.getLogger(__name__)


class Holdings:
    """Gates of the engines held, remembered diversions and prefixes.

    Attributes:
      gates: Admission state by engine.
      diversions: Engine that each diverted chat went to last.
      prefixes: Tokens that an engine is expected to hold of a chat.
    """

    def __init__(
        self,
        config: settings.Home,
        gates: dict[str, gate.Gate],
        table: members.Table,
        in_force: view.View,
        known: upstreams.View,
        home_map: homes.Map,
        known_loads: loads.Loads,
    ):
        self.gates = gates
        self.diversions: cachetools.TTLCache[str, str] = cachetools.TTLCache(
            config.diversions_max, config.diversion_ttl_ms / 1000
        )
        self.prefixes: cachetools.LRUCache[tuple[str, str], int] = (
            cachetools.LRUCache(config.diversions_max)
        )
        self._quiet_s = config.quiet_ms / 1000
        self._table = table
        self._view = in_force
        self._upstreams = known
        self._homes = home_map
        self._loads = known_loads
        self._version = 0
        self._refreshed = ((-1, -1), -1)

    # Taking and giving up engines.

    def refresh(self, now: float) -> list[tuple[str, members.Member]]:
        """Opens and drops gates after a change of members or upstreams.

        Returns:
          Engines that another router is now the home of, with that router.
        """
        seen = (self._homes.version(), self._view.revision)
        if seen == self._refreshed:
            return []
        self._refreshed = seen
        models = {model.name for model in self._view.document.models}
        lost = []
        for engine in set(self.gates) - set(self._upstreams.upstreams):
            self.close(engine)
        for engine, known in self._upstreams.upstreams.items():
            if known.listed.service not in models:
                continue
            owner = self._homes.find(engine)
            if owner is None:
                continue
            if owner.name == self._table.own.name:
                self._open(engine, now)
            elif engine in self.gates:
                lost.append((engine, owner))
        return lost

    def _open(self, engine: str, now: float) -> None:
        if engine in self.gates:
            return
        shares = tuple(r.floor_share for r in self._view.document.ranks)
        opened = gate.Gate(engine, shares)
        opened.open_from = now + self._quiet_s
        self.gates[engine] = opened
        logs.event(_log, "home_taken", engine=engine)

    def close(self, engine: str) -> gate.Gate | None:
        """Gives an engine up; its queued requests look for the new home."""
        closed = self.gates.pop(engine, None)
        if closed is None:
            return None
        for waiting in closed.queue.drain():
            waiting.resolve(calls.Outcome.NOT_HOME)
        logs.event(_log, "home_given_up", engine=engine)
        return closed

    def take_over(
        self, engine: str, running: int, diversions: dict[str, str], now: float
    ) -> gate.Gate | None:
        """Takes in what the former home of an engine hands over.

        Returns:
          The engine's gate, or None if this router is not its home.
        """
        self.diversions.update(diversions)
        if engine not in self.gates:
            self.refresh(now)
        taken = self.gates.get(engine)
        if taken is not None:
            # The former home has stopped admitting; there is no need to wait.
            taken.foreign = max(taken.foreign, running)
            taken.open_from = min(taken.open_from, now)
        return taken

    def distrust(self, now: float) -> None:
        """Closes all engines for a while after a pause of this process."""
        for held in self.gates.values():
            held.open_from = now + self._quiet_s

    def list_diversions(self, engine: str, most: int) -> dict[str, str]:
        """Returns remembered diversions to hand over with an engine."""
        known = self._upstreams.upstreams.get(engine)
        if known is None:
            return {}
        peers = [
            u.name
            for u in self._upstreams.upstreams.values()
            if u.listed.service == known.listed.service
        ]
        chosen: dict[str, str] = {}
        for chat, target in list(self.diversions.items()):
            if len(chosen) >= most:
                break
            if hashing.choose(chat, peers) == engine:
                chosen[chat] = target
        return chosen

    # What decisions need.

    def limits(self, model: str, now: float) -> gate.Limits:
        """Returns the limits of a model's engines now."""
        read = self._view.resolver.get
        bound = gate.compute_bound(
            read("load_bound", model=model),
            self._loads.find_mean(model, now),
            read("load_bound_floor", model=model),
        )
        return gate.Limits(bound, read("engine_slots", model=model))

    def is_settled(self, now: float) -> bool:
        """Tells whether routers have agreed on members for long enough."""
        suspects = any(
            m.status == wire.Status.SUSPECT
            for m in self._table.members.values()
        )
        return not suspects and now - self._table.changed_at > self._quiet_s

    def recall_diversion(self, call: calls.ChatCall, now: float) -> str | None:
        """Returns the engine that a chat went to last, if it still may."""
        if call.diverted or not call.may_divert:
            return None
        target = self.diversions.get(call.chat)
        if target is None or target == call.engine:
            return None
        if target in call.excluded:
            return None
        if self._upstreams.find_live(target, now) is None:
            return None
        # Stored anew, so that chats that keep returning are remembered.
        self.diversions[call.chat] = target
        return target

    def find_older(self, call: calls.ChatCall, now: float) -> str | None:
        """Returns the engine that served a returning chat before this one.

        Rendezvous hashing moves a chat to a new engine from the chat's next
        choice, which still holds the prefix; the new engine gets new chats.
        """
        own = self._upstreams.upstreams.get(call.engine)
        unknown = (call.engine, call.chat) not in self.prefixes
        moved = call.diverted or not call.may_divert
        if own is None or moved or not call.returning or not unknown:
            return None
        live = self._loads.list_names(
            call.model, (*call.excluded, call.engine), now
        )
        name = hashing.choose(call.chat, live)
        if name is None:
            return None
        older = self._upstreams.upstreams[name]
        return name if older.joined_at < own.joined_at else None

    def describe_own(self) -> wire.StateItem:
        """Returns what this router says of itself to its peers."""
        self._version += 1
        return wire.StateItem(
            name=self._table.own.name,
            incarnation=self._table.own.incarnation,
            version=self._version,
            revision=self._view.revision,
            loads=self._loads.describe_own(),
        )

    def take_cache_event(self, engine: str, chat: str, tokens: int) -> None:
        """Takes in how much of a chat an engine holds; 0 if evicted."""
        if tokens:
            self.prefixes[(engine, chat)] = tokens
        else:
            self.prefixes.pop((engine, chat), None)

    def count_queued(self) -> int:
        """Returns the requests queued for all engines."""
        return sum(len(held.queue) for held in self.gates.values())
