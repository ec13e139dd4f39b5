"""Follows the fleet configuration: key-value service, peers, operators."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import logging
import random

import pydantic

from agatedock import errors
from agatedock import fleet
from agatedock import gossip
from agatedock import hashing
from agatedock import logs
from agatedock import platform
from agatedock import rpcpeer
from agatedock import settings
from agatedock import store
from agatedock import view

RETRY_PAUSE_S = 1.0
PUSH_PEERS = 4

_log = logging.getLogger(__name__)


class Follower:
    """Brings newer revisions into force and tells the peers."""

    def __init__(
        self,
        config: settings.Platform,
        in_force: view.View,
        kv: platform.KeyValue,
        talk: gossip.Gossip,
        on_change: Callable[[], None],
        seed: int,
    ):
        self._config = config
        self._view = in_force
        self._kv = kv
        self._gossip = talk
        self._on_change = on_change
        self._random = random.Random(seed)
        self._fetching: set[str] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    def take(self, document: fleet.Document, source: str) -> view.Offer:
        """Puts a document in force if it is newer, and spreads the news."""
        outcome = self._view.offer(document, source)
        if outcome == view.Offer.TAKEN:
            self._announce()
        return outcome

    def _announce(self) -> None:
        self._gossip.revision = self._view.revision
        self._gossip.digest = self._view.digest
        self._gossip.push_now(PUSH_PEERS)
        self._on_change()

    def hear_revision(self, sender: str, revision: int, digest: int) -> None:
        """Takes the revision in force at a peer; fetches a newer one."""
        if revision == self._view.revision and revision > 0:
            if digest != self._view.digest:
                self._view.raise_alarm(sender, revision, "revision forked")
            return
        self.hear_newer(sender, revision)

    def hear_newer(self, sender: str, revision: int) -> None:
        """Fetches a peer's configuration if its revision is newer."""
        if revision <= self._view.revision or sender in self._fetching:
            return
        self._fetching.add(sender)
        task = asyncio.create_task(self._fetch(sender))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _fetch(self, sender: str) -> None:
        """Fetches the configuration in force at a peer."""
        try:
            member = self._gossip.table.members.get(sender)
            if member is None:
                return
            for whole in (False, True):
                deltas, document = await rpcpeer.fetch_config(
                    member.item, self._view.revision, whole
                )
                if self._take_fetched(deltas, document, sender):
                    return
        except (errors.Unavailable, pydantic.ValidationError) as error:
            logs.event(
                _log, "config_fetch_failed", peer=sender, problem=str(error)
            )
        finally:
            self._fetching.discard(sender)

    def _take_fetched(
        self, deltas: list[bytes], document: bytes, sender: str
    ) -> bool:
        """Tells whether what a peer sent could be used."""
        before = self._view.revision
        if document:
            self._view.offer(fleet.decode(document), sender)
            fits = True
        else:
            # Deltas may not fit between routers of different versions.
            fits = self._view.offer_deltas(deltas, sender)
        if self._view.revision > before:
            self._announce()
        return fits

    async def run_watch(self) -> None:
        """Watches the service while this router is one of the watchers."""
        version = 0
        while True:
            if not self._is_watcher():
                await asyncio.sleep(RETRY_PAUSE_S)
                continue
            try:
                entry = await self._kv.watch(
                    store.CURRENT_KEY, version, self._config.watch_wait_ms
                )
                if entry is not None:
                    version = entry.version
                    self._take_stored(entry)
            except errors.Unavailable:
                await asyncio.sleep(
                    RETRY_PAUSE_S * self._random.uniform(0.5, 1.5)
                )

    def _is_watcher(self) -> bool:
        """Tells whether this router is among those that watch."""
        names = [m.name for m in self._gossip.table.list_up()]
        chosen = hashing.rank("watch", names)[: self._config.watchers]
        return self._gossip.table.own.name in chosen

    async def run_poll(self) -> None:
        """Reads the service itself now and then, against lost watches."""
        while True:
            try:
                entry = await self._kv.get(store.CURRENT_KEY)
                if entry is not None:
                    self._take_stored(entry)
                pause_s = self._config.config_poll_ms / 1000
            except errors.Unavailable:
                pause_s = RETRY_PAUSE_S * 5
            await asyncio.sleep(pause_s * self._random.uniform(0.7, 1.3))

    def _take_stored(self, entry: platform.Entry) -> None:
        try:
            document = fleet.decode(entry.value)
        except pydantic.ValidationError as error:
            self._view.raise_alarm("key-value service", 0, str(error))
            return
        if self.take(document, "key-value service") == view.Offer.OLDER:
            # A read may also be overtaken by a newer document from a peer.
            # Only a service that stays behind has lost an accepted one.
            self._check_regressed_later(document.revision)

    def _check_regressed_later(self, revision: int) -> None:
        task = asyncio.create_task(self._check_regressed(revision))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _check_regressed(self, revision: int) -> None:
        await asyncio.sleep(RETRY_PAUSE_S)
        try:
            stored = await store.read(self._kv)
        except (errors.Unavailable, pydantic.ValidationError):
            return
        if stored.document.revision == revision < self._view.revision:
            self._view.raise_alarm(
                "key-value service", revision, "service shows an older state"
            )
