"""Responses that end in the middle of their head."""

from __future__ import annotations

from agatedock import errors
from agatedock.peers import relay
from agatedock.peers import snapshots
from agatedock_platform import store as store_client
from test import platform_helper

INFORMATIONAL = b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"


def make_head(request_id: str, content_type: str) -> bytes:
    """Returns the head of a complete response without its last line."""
    return (
        "HTTP/1.1 200 OK\r\n"
        f"X-Agatedock-Attempt-Id: {request_id}\r\n"
        "X-Agatedock-Response-Seal: seal\r\n"
        f"Content-Type: {content_type}\r\n"
        "Content-Length: 0\r\n"
    ).encode()


def list_cuts(head: bytes) -> list[bytes]:
    """Returns beginnings of a head, also after an informational response."""
    ends = [*range(0, len(head), 9), len(head) - 3, len(head) - 1, len(head)]
    cuts = [head[:end] for end in ends]
    return cuts + [INFORMATIONAL + cut for cut in cuts[1::4]] + [INFORMATIONAL]


class RouterTest(platform_helper.RouterCase):
    """What clients get if all replicas cut their heads short."""

    bounds = {"slack": 100_000}

    async def assert_no_success(self, path: str, content_type: str) -> None:
        """Asserts that no client gets a success, however the head is cut."""
        for cut in list_cuts(make_head("r1", content_type)):
            for item in self.replicas.values():
                item.faults.cut_head = cut
            status, _, _ = await self.call(path)
            self.assertEqual(status, 502, cut)

    async def test_cut_head_is_no_success_for_plain_requests(self):
        for path in (platform_helper.ORDER, platform_helper.LOOKUP):
            await self.assert_no_success(path, "text/plain")

    async def test_cut_head_is_no_success_for_streams(self):
        for path in (platform_helper.CHAT, platform_helper.DRAFT):
            await self.assert_no_success(path, "text/event-stream")

    async def test_request_that_may_not_be_repeated_runs_once(self):
        await self.assert_no_success(platform_helper.ORDER, "text/plain")
        count = len(list_cuts(make_head("r1", "text/plain")))
        self.assertEqual(len(self.list_runs()), count)

    async def test_cut_head_of_a_resumed_stream_does_not_end_it(self):
        whole = b"".join(
            f"id: {number}\ndata: x\n\n".encode() for number in range(1, 6)
        )
        await self.call(platform_helper.CHAT, "first")
        (first,) = [name for name in ("llm-1", "llm-2") if self.list_runs(name)]
        other = {"llm-1": "llm-2", "llm-2": "llm-1"}[first]
        self.replicas[first].faults.cut_after = 2
        for cut in list_cuts(make_head("r1", "text/event-stream"))[::3]:
            self.replicas[other].faults.cut_head = cut
            try:
                _, _, body = await self.call(platform_helper.CHAT)
            except Exception as error:  # noqa: BLE001
                self.assertIn("Payload", type(error).__name__)
                continue
            self.assertEqual(body, whole)


class ClientTest(platform_helper.AnswerCase):
    """The store and a peer that cut their heads short."""

    async def test_cut_head_is_no_listing(self):
        store = store_client.StoreClient(self.address)
        peer = relay.ListingClient()
        position = relay.ListingRequest(snapshots.EMPTY_POSITION, 0)
        try:
            for self.answer in list_cuts(make_head("r1", "application/json")):
                with self.assertRaises(errors.Unavailable):
                    await store.fetch_snapshot(1.0)
                with self.assertRaises(errors.Unavailable):
                    await peer.fetch_delta(self.address, position)
        finally:
            await store.close()
            await peer.close()
