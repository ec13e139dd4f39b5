"""Which router is the home of an engine."""

from __future__ import annotations

from agatedock import hashing
from agatedock import members
from agatedock import upstreams


class Map:
    """Homes of all engines, worked out again when members change.

    The home of an engine is chosen by rendezvous hashing among the routers
    that are up. Routers in the engine's failure domain go first, so that a
    lost domain takes engines and homes together and relaying stays local.
    """

    def __init__(self, table: members.Table, known: upstreams.View):
        self._table = table
        self._upstreams = known
        self._homes: dict[str, members.Member | None] = {}
        self._names: dict[str, list[str]] = {}
        self._version = (-1, -1)

    def version(self) -> tuple[int, int]:
        """Returns what changes whenever a home may have changed."""
        return self._table.version, self._upstreams.version

    def find(self, engine: str) -> members.Member | None:
        """Returns the home of an engine, None without engine or router."""
        known = self._upstreams.upstreams.get(engine)
        if known is None:
            return None
        version = self.version()
        if self._version != version:
            self._renew()
            self._version = version
        if engine not in self._homes:
            self._homes[engine] = self._choose(
                engine, known.listed.failure_domain
            )
        return self._homes[engine]

    def _renew(self) -> None:
        """Groups the routers that are up by failure domain."""
        self._homes.clear()
        self._names = {"": []}
        for member in self._table.list_up():
            domain = member.item.failure_domain
            self._names.setdefault(domain, []).append(member.name)
            self._names[""].append(member.name)

    def _choose(
        self, engine: str, failure_domain: str
    ) -> members.Member | None:
        names = self._names.get(failure_domain) or self._names[""]
        name = hashing.choose(engine, names)
        return self._table.members[name] if name is not None else None
