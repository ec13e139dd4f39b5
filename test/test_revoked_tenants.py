"""Configurations that take the last API keys away."""

from __future__ import annotations

import asyncio
import pathlib
import unittest

from agatedock_platform import app
from agatedock_platform import entries
from test import platform_helper

# Longer than the router takes to apply a configuration.
APPLIED_S = 2.0
TENANTS = platform_helper.make_configuration()["Tenants"]
# Each takes all keys away.
WITHOUT_KEYS = ([], None, [{"Name": "office", "ApiKeys": []}])


class DecodeTest(unittest.TestCase):
    """Which routes need a key."""

    def decode(self, document: dict):
        return entries.decode_configuration(platform_helper.encode(document))

    def test_empty_list_of_tenants_needs_a_key_on_all_routes(self):
        for tenants in WITHOUT_KEYS:
            with self.subTest(tenants):
                document = platform_helper.make_configuration(Tenants=tenants)
                config = self.decode(document)
                route = config.routes[platform_helper.HOST]["/order/"]
                self.assertTrue(config.requires_account(route))
                for key in ("", platform_helper.KEY):
                    self.assertIsNone(config.find_account(key))

    def test_configuration_without_tenants_needs_no_key(self):
        document = platform_helper.make_configuration()
        del document["Tenants"]
        config = self.decode(document)
        route = config.routes[platform_helper.HOST]["/order/"]
        self.assertFalse(config.requires_account(route))


class RouterTest(platform_helper.RouterCase):
    """What runs with a key that was taken away, with another, and without."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.version = 7
        self.count = 0

    async def apply(self, tenants: list | None) -> None:
        """Writes a configuration and waits until it is applied."""
        self.version += 1
        self.configure(Version=self.version, Tenants=tenants)
        await asyncio.sleep(APPLIED_S)

    async def call_with(self, key: str | None) -> int:
        """Returns the status of an order with a key."""
        self.count += 1
        overrides = {"Authorization": f"Bearer {key or ''}"}
        status, _, _ = await self.call(
            platform_helper.ORDER, f"r{self.count}", **overrides
        )
        return status

    async def assert_closed(self) -> None:
        runs = len(self.list_runs())
        for key in (platform_helper.KEY, "never-held", None):
            self.assertEqual(await self.call_with(key), 401, key)
        self.assertEqual(len(self.list_runs()), runs)

    async def test_withdrawal_of_the_last_tenant_does_not_open_routes(self):
        self.assertEqual(await self.call_with(platform_helper.KEY), 200)
        for tenants in WITHOUT_KEYS:
            with self.subTest(tenants):
                await self.apply(tenants)
                await self.assert_closed()
                await self.apply(TENANTS)
                status = await self.call_with(platform_helper.KEY)
                self.assertEqual(status, 200)
                self.assertEqual(await self.call_with("never-held"), 401)

    async def test_public_routes_need_no_key_without_tenants(self):
        routes = [
            platform_helper.make_route("/order/", "unsafe", "shop", Public=True)
        ]
        self.configure(Version=9, Tenants=[], Routes=routes)
        await asyncio.sleep(APPLIED_S)
        self.assertEqual(await self.call_with(None), 200)

    async def test_router_that_starts_without_tenants_is_closed(self):
        await self.apply([])
        config = platform_helper.make_settings(self.store.address)
        second = app.RouterApp(pathlib.Path("/nowhere"), config)
        stop = asyncio.Event()
        task = asyncio.create_task(second.run(stop))
        self.url = f"http://{config.listen.frontend}"
        self.config = config
        try:
            await self.wait_ready()
            await self.assert_closed()
            # It hears of later versions from the first router or the store.
            await self.apply(TENANTS)
            status = await self.call_with(platform_helper.KEY)
            self.assertEqual(status, 200)
            await self.apply([])
            await self.assert_closed()
        finally:
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
