"""Stand-in for the hosting platform's metadata store, with faults."""

from __future__ import annotations

import asyncio
import base64
from collections.abc import Callable
import dataclasses
import json

from aiohttp import web

from standins import runner

ERA_HEADER = "Store-Era"
# Longer than the timeout of any call.
NO_RESPONSE_S = 30.0
# Number of chunks in which a slow page is sent.
SLOW_PAGE_CHUNKS = 10


@dataclasses.dataclass
class Faults:
    """Faults applied to calls.

    Attributes:
      status: Every call fails with this HTTP status; 0 for none.
      silent: No call gets a response.
      delay_s: Every response is delayed by this time.
      page_s: Pages of listings are sent in chunks over this time.
    """

    status: int = 0
    silent: bool = False
    delay_s: float = 0.0
    page_s: float = 0.0


@dataclasses.dataclass(frozen=True)
class Copy:
    """What a store held at one time."""

    items: dict[str, tuple[bytes, int, int]]
    leases: set[int]
    revision: int


class Store:
    """Key-value store with revisions and leases, over HTTP.

    Attributes:
      items: Value, revision and lease id (0 for none) by key.
      leases: Ids of the live leases.
      calls: Method and path of each call.
      era: Text of the header that names the era, in all responses; empty for
        none.
      page_items: Items on one page of a listing.
      after_page: Called after each page but the last one was read.
    """

    def __init__(self) -> None:
        self.faults = Faults()
        self.items: dict[str, tuple[bytes, int, int]] = {}
        self.leases: set[int] = set()
        self.revision = 100
        self.calls: list[str] = []
        self.era = ""
        self.page_items = 1000
        self.after_page: Callable[[], None] | None = None
        self._runner: web.ServerRunner | None = None
        self.address = ""

    async def start(self) -> None:
        """Listens on a free port of the loopback address."""
        self._runner, self.address = await runner.listen(
            web.Server(self._handle)
        )

    async def stop(self) -> None:
        """Stops listening."""
        if self._runner is not None:
            await self._runner.cleanup()

    def put(self, key: str, value: bytes, lease: int = 0) -> int:
        """Writes a key directly; returns its revision."""
        self.revision += 1
        self.items[key] = (value, self.revision, lease)
        return self.revision

    def remove(self, key: str) -> None:
        """Removes a key directly."""
        self.revision += 1
        self.items.pop(key, None)

    def copy(self) -> Copy:
        """Returns a copy from which the store can be restored."""
        return Copy(dict(self.items), set(self.leases), self.revision)

    def restore(self, copy: Copy) -> None:
        """Goes back to a copy, and begins a new era."""
        self.items = dict(copy.items)
        self.leases = set(copy.leases)
        self.revision = copy.revision
        self.era = str(int(self.era or "1") + 1)

    async def _handle(self, raw: web.BaseRequest) -> web.StreamResponse:
        response = await self._respond(raw)
        if not response.prepared and ERA_HEADER not in response.headers:
            response.headers.update(self._make_era_headers())
        return response

    def _make_era_headers(self) -> dict[str, str]:
        return {ERA_HEADER: self.era} if self.era else {}

    async def _respond(self, raw: web.BaseRequest) -> web.StreamResponse:
        self.calls.append(f"{raw.method} {raw.path}")
        await asyncio.sleep(self.faults.delay_s)
        if self.faults.silent:
            await asyncio.sleep(NO_RESPONSE_S)
        if self.faults.status:
            return web.Response(status=self.faults.status)
        if raw.path == "/kv-range":
            page = self._list(raw.query["Prefix"], raw.query.get("After", ""))
            return await self._send_slowly(raw, page)
        if raw.path == "/kv-lease":
            return self._open_lease()
        if raw.path.startswith("/kv-keep/"):
            is_live = int(raw.path.rpartition("/")[2]) in self.leases
            return web.Response(status=200 if is_live else 404)
        if raw.path.startswith("/kv-lease-end/"):
            return self._end_lease(int(raw.path.rpartition("/")[2]))
        if raw.path == "/kv-txn":
            return self._write(json.loads(await raw.read()))
        return web.Response(status=400)

    async def _send_slowly(
        self, raw: web.BaseRequest, page_response: web.Response
    ) -> web.StreamResponse:
        if not self.faults.page_s:
            return page_response
        body = page_response.body
        assert isinstance(body, bytes)
        response = web.StreamResponse(
            headers={
                "Content-Length": str(len(body)),
                **self._make_era_headers(),
            }
        )
        await response.prepare(raw)
        size = len(body) // SLOW_PAGE_CHUNKS + 1
        for begin in range(0, len(body), size):
            await asyncio.sleep(self.faults.page_s / SLOW_PAGE_CHUNKS)
            await response.write(body[begin : begin + size])
        return response

    def _list(self, prefix: str, after: str) -> web.Response:
        entries = [
            {
                "Key": key,
                "Value": base64.b64encode(value).decode(),
                "Revision": revision,
                "Created": revision,
                "LeaseId": lease,
            }
            for key, (value, revision, lease) in sorted(self.items.items())
            if key.startswith(prefix) and key > after
        ]
        page = entries[: self.page_items]
        is_truncated = len(page) < len(entries)
        response = _make_json_response(
            {"Entries": page, "Truncated": is_truncated, "At": self.revision}
        )
        response.headers.update(self._make_era_headers())
        if is_truncated and self.after_page is not None:
            self.after_page()
        return response

    def _open_lease(self) -> web.Response:
        self.revision += 1
        self.leases.add(self.revision)
        return _make_json_response({"LeaseId": self.revision, "TtlMs": 1000})

    def _end_lease(self, lease: int) -> web.Response:
        if lease not in self.leases:
            return web.Response(status=404)
        self.leases.discard(lease)
        for key, item in list(self.items.items()):
            if item[2] == lease:
                self.remove(key)
        return web.Response(status=200)

    def _write(self, change: dict) -> web.Response:
        for entry in change["Write"]:
            if entry["LeaseId"] and entry["LeaseId"] not in self.leases:
                return web.Response(status=404)
            value = base64.b64decode(entry["Value"])
            self.put(entry["Key"], value, entry["LeaseId"])
        return _make_json_response({"Revision": self.revision})


def _make_json_response(document: dict) -> web.Response:
    return web.Response(
        text=json.dumps(document), content_type="application/json"
    )
