"""Regions whose replicas may serve a route or a client account."""

from __future__ import annotations

import asyncio
import contextlib
import unittest

import aiohttp

from agatedock import hashing
from agatedock.decisions import fetching
from agatedock.domain import configuration
from agatedock.domain import requests
from agatedock.peers import snapshots
from agatedock.views import directory
from agatedock_platform import entries
from test import helper
from test import platform_helper

NOW = 100.0


class DecodingTest(unittest.TestCase):
    """What the operator writes."""

    def decode(self, **fields) -> frozenset[str] | None:
        route = platform_helper.make_route(
            "/order/", "unsafe", "shop", **fields
        )
        document = platform_helper.make_configuration(Routes=[route])
        decoded = entries.decode_configuration(platform_helper.encode(document))
        found = decoded.find_named_route("order")
        assert found is not None
        return found.regions

    def test_lists(self):
        self.assertIsNone(self.decode())
        self.assertEqual(self.decode(AllowedRegions=["x", "y"]), {"x", "y"})
        # No region is allowed any more once the last one was taken away.
        self.assertEqual(self.decode(AllowedRegions=[]), frozenset())
        self.assertEqual(self.decode(AllowedRegions=None), frozenset())

    def test_homes_of_route_and_account_both_bind(self):
        for route, account, homes in (
            (None, None, None),
            ({"x"}, None, {"x"}),
            (None, {"y"}, {"y"}),
            ({"x", "y"}, {"y", "z"}, {"y"}),
            ({"x"}, {"y"}, set()),
        ):
            with self.subTest(route=route, account=account):
                found = configuration.list_homes(
                    _make_route(route), _make_account(account)
                )
                self.assertEqual(found, homes)

    def test_region_follows_from_the_domain(self):
        decoder = entries.EntryDecoder({"a": "x"})
        for zone, region in (("a", "x"), ("unknown", "")):
            entry = {
                "Service": "shop",
                "Address": "127.0.0.1:80",
                "Zone": zone,
                "State": "ready",
                "Sequence": 1,
            }
            item = snapshots.Item(
                "servers/i", platform_helper.encode(entry), 1, 1
            )
            self.assertEqual(decoder.decode_replica(item).region, region)


def _make_route(regions: set[str] | None) -> configuration.Route:
    return configuration.Route(
        name="r",
        kind=configuration.RouteKind.SAFE,
        backends=(),
        timeout_s=1.0,
        target_latency_s=1.0,
        rank=0,
        replicas_max=1,
        public=False,
        resumable=False,
        regions=None if regions is None else frozenset(regions),
    )


def _make_account(regions: set[str] | None) -> configuration.Account:
    return configuration.Account(
        "a", regions=None if regions is None else frozenset(regions)
    )


class FetchTest(unittest.TestCase):
    """Cached parts stay in the homes, too."""

    def test_source_outside_the_homes_is_not_used(self):
        view = directory.Directory()
        known = [
            helper.make_replica(number, region="xy"[number])
            for number in range(2)
        ]
        helper.apply_listing(view, known, NOW, NOW)
        local = helper.LocalView(view)
        prompt = (requests.PromptPart("p", 5000), requests.PromptPart("o", 9))
        request = helper.make_prompted("r", prompt, NOW)
        holder = hashing.hash_name("replica-1")
        local.prefixes.add_holder(hashing.hash_name("p"), holder, NOW)
        for homes, source in (
            (None, known[1]),
            (frozenset("xy"), known[1]),
            (frozenset("x"), None),
        ):
            found = fetching.find_source(
                request, known[0], homes, local.view, NOW
            )
            self.assertEqual(found, source)


class RouterTest(platform_helper.RouterCase):
    """A router before replicas in two regions."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        decoder = self.router.core.follower._item_decoder  # noqa: SLF001
        decoder.regions.update({"a": "x", "b": "y"})
        for name in ("llm-2", "shop-2"):
            self.replicas[name].zone = "b"
        for name in self.replicas:
            self.replicas[name].begin_run()
            self.register(name)

    async def allow(self, regions: list[str], account: list[str]) -> None:
        """Sets the homes of all routes and of the account."""
        document = platform_helper.make_configuration()
        for route in document["Routes"]:
            route["AllowedRegions"] = regions
        tenant = {**document["Tenants"][0], "AllowedRegions": account}
        self.configure(Version=9, Routes=document["Routes"], Tenants=[tenant])
        await asyncio.sleep(2.0)

    async def test_only_replicas_at_home_are_used(self):
        await self.allow(["x", "y"], ["x"])
        for number in range(10):
            for path in (platform_helper.CHAT, platform_helper.ORDER):
                status, _, _ = await self.call(path, f"{path}-{number}")
                self.assertEqual(status, 200)
        self.assertEqual(self.list_runs("llm-2", "shop-2"), [])

    async def test_retry_and_resumption_stay_at_home(self):
        await self.allow(["x"], ["x", "y"])
        self.replicas["llm-1"].faults.cut_after = 2
        self.replicas["shop-1"].faults.error = 500
        for path in (platform_helper.CHAT, platform_helper.LOOKUP):
            with contextlib.suppress(aiohttp.ClientError):
                await self.call(path, f"{path}-1")
        self.assertEqual(self.list_runs("llm-2", "shop-2"), [])

    async def test_request_without_a_replica_at_home_is_refused_at_once(self):
        await self.allow(["x"], ["y"])
        status, headers, _ = await self.call(platform_helper.ORDER, "r")
        self.assertEqual(status, 503)
        self.assertGreater(float(headers["Retry-After"]), 0)
        self.assertEqual(self.list_runs(), [])
