"""Tests routers that get the store's listing from a peer."""

from __future__ import annotations

import asyncio
import dataclasses
import pathlib

from agatedock_platform import app
from agatedock_platform import entries
from test import platform_helper


class VersionAsSlotsDecoder(entries.EntryDecoder):
    """Decodes replicas with the configuration's version as their slots."""

    def __init__(self) -> None:
        super().__init__()
        self._version = 0

    def decode_configuration(self, item):
        document = super().decode_configuration(item)
        self._version = document.version
        return document

    def decode_replica(self, item):
        replica = super().decode_replica(item)
        return dataclasses.replace(replica, slots=self._version)


class TwoRoutersTest(platform_helper.RouterCase):
    """Two routers in one failure domain, one of which reads the store."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        config = platform_helper.make_settings(self.store.address)
        config = type(config)(
            **{
                **{
                    name: getattr(config, name)
                    for name in config.__struct_fields__
                },
                "node_name": "edge-2",
            }
        )
        self.other = app.RouterApp(pathlib.Path("/nowhere"), config)
        self.other_task = asyncio.create_task(self.other.run(asyncio.Event()))
        async with asyncio.timeout(10):
            while not (
                self.router.core.shared.routers.count()
                and self.other.core.shared.routers.count()
            ):
                await asyncio.sleep(0.05)

    async def asyncTearDown(self) -> None:
        await self.stop_router(self.other_task, self.other)
        await super().asyncTearDown()

    async def stop_router(self, task, router) -> None:
        """Cancels a router's task unless it has ended."""
        if task.done():
            return
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    def count_reads(self) -> int:
        """Returns how many reads of the listing the store received."""
        return self.store.calls.count("GET /kv-range")

    async def test_one_reads_and_both_apply(self):
        await asyncio.sleep(1.0)
        before = self.count_reads()
        self.configure(Version=8)
        revision = self.store.revision
        await asyncio.sleep(1.6)
        for router in (self.router, self.other):
            view = router.core.shared.configuration_view
            self.assertEqual(view.revision, revision)
            self.assertLess(view.age_s(router.core.shared.now()), 1.8)
        self.assertLessEqual(self.count_reads() - before, 3)

    async def test_new_configuration_changes_slots_of_replicas(self):
        """The native API configures slots, so replicas are decoded again.

        This also holds for a router that gets the listing from a peer.
        """
        routers = (self.router, self.other)
        for router in routers:
            updater = router.core.follower._updater  # noqa: SLF001
            updater._item_decoder = VersionAsSlotsDecoder()  # noqa: SLF001
        self.configure(Version=11)
        async with asyncio.timeout(6):
            for router in routers:
                while self.get_slots(router) != 11:
                    await asyncio.sleep(0.05)

    def get_slots(self, router: app.RouterApp) -> int:
        """Returns the slots of replica `llm-1` in a router's local view."""
        replica = router.core.shared.directory.get("llm-1")
        return replica.slots if replica is not None else 0

    async def test_confirmation_is_never_later_than_the_read(self):
        """When the store stops replying, both routers' configurations age."""
        await asyncio.sleep(1.0)
        self.store.faults.silent = True
        silent_at = self.router.core.shared.now()
        await asyncio.sleep(1.5)
        for router in (self.router, self.other):
            view = router.core.shared.configuration_view
            self.assertLessEqual(view.confirmed_at, silent_at)

    async def test_router_without_access_to_the_store(self):
        """Its configuration stays current, confirmed by a peer."""
        unused_port = platform_helper.find_port()
        for router in (self.router, self.other):
            store_client = router._store  # noqa: SLF001
            address = store_client._url  # noqa: SLF001
            store_client._url = f"http://127.0.0.1:{unused_port}"  # noqa: SLF001
            await asyncio.sleep(3.0)
            view = router.core.shared.configuration_view
            self.assertLess(view.age_s(router.core.shared.now()), 2.5)
            store_client._url = address  # noqa: SLF001

    async def test_death_of_the_store_reader(self):
        """The other router reads the store itself, within the limit of 2 s."""
        await self.stop_router(self.task, self.router)
        self.configure(Version=8)
        revision = self.store.revision
        await asyncio.sleep(1.9)
        view = self.other.core.shared.configuration_view
        self.assertEqual(view.revision, revision)


class StartTest(platform_helper.RouterCase):
    """A router whose first read of the store fails or is slow."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        await self.stop_first()

    async def stop_first(self) -> None:
        """Stops the router that the base class started."""
        self.task.cancel()
        await asyncio.gather(self.task, return_exceptions=True)

    async def test_request_waits_for_the_first_configuration(self):
        """It is served once the store replies, instead of being rejected."""
        self.store.faults.silent = True
        config = platform_helper.make_settings(self.store.address)
        router = app.RouterApp(pathlib.Path("/nowhere"), config)
        self.url = f"http://{config.listen.frontend}"
        task = asyncio.create_task(router.run(asyncio.Event()))
        await asyncio.sleep(0.1)
        request = asyncio.create_task(self.call(platform_helper.ORDER))
        await asyncio.sleep(0.05)
        self.store.faults.silent = False
        status, _, _ = await request
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        self.assertEqual(status, 200)

    async def test_slow_page_does_not_time_out(self):
        """Pages are slow when all routers of a large fleet read at once."""
        self.store.faults.page_s = 1.2
        before = self.store.calls.count("GET /kv-range")
        config = platform_helper.make_settings(self.store.address)
        router = app.RouterApp(pathlib.Path("/nowhere"), config)
        task = asyncio.create_task(router.run(asyncio.Event()))
        async with asyncio.timeout(10):
            await router.core.shared.configured.wait()
        reads = self.store.calls.count("GET /kv-range") - before
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        self.assertEqual(reads, 1)
