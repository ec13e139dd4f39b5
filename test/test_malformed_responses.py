"""Responses that break the grammar of HTTP/1.1 are no answers."""

from __future__ import annotations

from collections.abc import Iterable

import aiohttp
import msgspec

from agatedock import connections
from agatedock import errors
from agatedock import external
from agatedock.orders import steward
from agatedock.peers import relay
from agatedock.peers import snapshots
from agatedock.ui import common
from agatedock_platform import store as store_client
from agatedockplug import kvhttp
from agatedockplug import vmhttp
from test import malformed_responses
from test import platform_helper

EVENTS = b"".join(b"id: %d\ndata: x\n\n" % number for number in range(1, 6))


def make_content(
    content_type: bytes, body: bytes
) -> malformed_responses.Content:
    """Returns what a replica answers the request `r1`."""
    lines = (
        b"X-Agatedock-Attempt-Id: r1\r\n"
        b"X-Agatedock-Response-Seal: seal\r\n"
        b"Content-Type: " + content_type
    )
    return malformed_responses.Content(lines, body)


PLAIN = make_content(b"text/plain", b"run by shop-1")
STREAM = make_content(b"text/event-stream", EVENTS)


class ReplicaTest(platform_helper.RouterCase):
    """What clients get if all replicas answer so."""

    bounds = {"slack": 100_000}

    async def call_complete(self, path: str, answer: bytes) -> int:
        """Returns the status that a client gets, or 0 for a broken stream."""
        for item in self.replicas.values():
            item.faults.cut_head = answer
        for replica_id in self.replicas:
            self.router.core.shared.health.record_result(
                replica_id, True, self.router.core.shared.now()
            )
        try:
            status, _, body = await self.call(path)
        except aiohttp.ClientPayloadError:
            return 0
        expected = STREAM if path in STREAM_PATHS else PLAIN
        if status == 200:
            self.assertEqual(body, expected.body, answer)
        return status

    async def assert_failed(self, path: str, answers: Iterable[bytes]) -> None:
        """Asserts that no client takes one of the answers for a success."""
        for answer in answers:
            with self.subTest(answer=answer):
                status = await self.call_complete(path, answer)
                self.assertIn(status, (0, 502))

    async def assert_passed_on(
        self, path: str, content: malformed_responses.Content
    ) -> None:
        for answer in malformed_responses.list_sound(content):
            with self.subTest(answer=answer):
                self.assertEqual(await self.call_complete(path, answer), 200)

    async def test_sound_answers_are_passed_on(self):
        await self.assert_passed_on(platform_helper.ORDER, PLAIN)
        await self.assert_passed_on(platform_helper.DRAFT, STREAM)

    async def test_plain_answers_to_requests_that_run_once(self):
        answers = list(malformed_responses.list_invalid(PLAIN))
        await self.assert_failed(platform_helper.ORDER, answers)
        self.assertEqual(len(self.list_runs()), len(answers))

    async def test_plain_answers_to_requests_that_are_repeated(self):
        answers = malformed_responses.list_invalid(PLAIN)
        await self.assert_failed(platform_helper.LOOKUP, answers)

    async def test_streams(self):
        answers = malformed_responses.list_invalid(STREAM)
        await self.assert_failed(platform_helper.DRAFT, answers)

    async def test_streams_that_are_resumed(self):
        answers = malformed_responses.list_invalid(STREAM)
        await self.assert_failed(platform_helper.CHAT, answers)

    async def test_invalid_answers_are_logged_and_counted(self):
        """Chunks that arrive behind a sound part of their answer as well."""
        counts = self.router.core.shared.early_closes.counts
        head = malformed_responses.join_head(
            malformed_responses.SOUND_STATUS_LINES[0],
            PLAIN.lines,
            b"Transfer-Encoding: chunked",
        )
        # More than is read at once.
        data = b"x" * 3 * connections.BLOCK_BYTES
        chunk = b"%x\r\n%s\r\n" % (len(data), data)
        for answer, reason in (
            (b"HTTP/1.1 000 OK\r\n\r\n", "invalid_head"),
            (head + chunk + b"oops\r\n", "invalid_chunks"),
        ):
            counts.clear()
            status = await self.call_complete(platform_helper.ORDER, answer)
            self.assertEqual(status, 502)
            self.assertEqual(dict(counts), {reason: 1})


STREAM_PATHS = (platform_helper.CHAT, platform_helper.DRAFT)


class ReaderTest(platform_helper.AnswerCase):
    """Everything else that reads answers takes none of them."""

    async def check(self, read, content: malformed_responses.Content) -> None:
        """Asserts that sound answers are read and others are not."""
        for self.answer in malformed_responses.list_sound(content):
            with self.subTest(sound=self.answer):
                await read()
        for self.answer in malformed_responses.list_invalid(content):
            with (
                self.subTest(invalid=self.answer),
                self.assertRaises(errors.Unavailable),
            ):
                await read()

    async def test_store(self):
        store = store_client.StoreClient(self.address)
        self.addAsyncCleanup(store.close)
        content = malformed_responses.Content(
            b"Store-Era: 1", b'{"Entries": [], "At": 7, "Truncated": false}'
        )
        await self.check(lambda: store.fetch_snapshot(1.0), content)

    async def test_writes_to_the_store(self):
        async def write() -> None:
            # On a connection of its own: the last one is just being closed.
            store = store_client.StoreClient(self.address)
            try:
                await store.write("a", b"b", 7)
            finally:
                await store.close()

        content = malformed_responses.Content(b"Store-Era: 1", b'{"Ok": true}')
        await self.check(write, content)

    async def test_peers(self):
        peer = relay.ListingClient()
        self.addAsyncCleanup(peer.close)
        position = relay.ListingRequest(snapshots.EMPTY_POSITION, 0)
        listing = snapshots.Listing()
        delta = listing.make_delta(snapshots.EMPTY_POSITION, 0.0)
        content = malformed_responses.Content(
            relay.AGE_HEADER.encode() + b": 0.5", msgspec.msgpack.encode(delta)
        )
        await self.check(
            lambda: peer.fetch_delta(self.address, position), content
        )

    async def test_key_value_service(self):
        client = kvhttp.HttpKeyValue(f"http://{self.address}")
        self.addAsyncCleanup(client.close)
        content = malformed_responses.Content(b"X-Version: 7", b"7")
        await self.check(lambda: client.get("a"), content)
        await self.check(lambda: client.put("a", b"b", 6), content)
        await self.check(lambda: client.list_keys("a"), content)

    async def test_vm_list(self):
        client = vmhttp.HttpVmList(f"http://{self.address}/vms")
        self.addAsyncCleanup(client.close)
        content = malformed_responses.Content(b'ETag: "7"', b"[]")
        await self.check(client.read, content)

    async def test_states_of_engines(self):
        session = connections.make_session()
        self.addAsyncCleanup(session.close)
        host, _, port = self.address.rpartition(":")
        vm = external.Vm(
            name="engine-1",
            role=external.VmRole.UPSTREAM,
            host=host,
            port=int(port),
            failure_domain="a",
        )

        async def read() -> None:
            timeout = aiohttp.ClientTimeout(total=5)
            state = await steward.read_state(session, vm, timeout)
            if state is None:
                raise errors.Unavailable("no state")

        content = malformed_responses.Content(b"X-Even: 1", b'{"version": "v"}')
        await self.check(read, content)

    async def test_operators(self):
        content = malformed_responses.Content(
            b"Content-Type: application/json", b'{"revision": 7}'
        )
        await self.check(
            lambda: common.fetch_url(f"http://{self.address}/config"), content
        )


class ValueTest(platform_helper.AnswerCase):
    """Answers within the grammar that do not say what they should."""

    def set_answer(self, body: bytes, status: bytes = b"200 OK", **fields):
        """Sets the answer; field names have `_` in place of `-`."""
        lines = [
            f"{name.replace('_', '-')}: {value}".encode()
            for name, value in fields.items()
        ]
        length = b"Content-Length: %d" % len(body)
        head = malformed_responses.join_head(
            b"HTTP/1.1 " + status, *lines, length
        )
        self.answer = head + body

    async def test_versions_that_are_no_numbers(self):
        client = kvhttp.HttpKeyValue(f"http://{self.address}")
        self.addAsyncCleanup(client.close)
        for value in ("", "x", "-1", "+1", "1.0", "1 2", "\u0661", "9" * 30):
            with self.subTest(value=value):
                self.set_answer(b"data", X_Version=value)
                with self.assertRaises(errors.Unavailable):
                    await client.get("a")
                self.set_answer(value.encode())
                with self.assertRaises(errors.Unavailable):
                    await client.put("a", b"b", 6)
        self.set_answer(b"data")
        with self.assertRaises(errors.Unavailable):
            await client.get("a")

    async def test_keys_that_are_no_text(self):
        client = kvhttp.HttpKeyValue(f"http://{self.address}")
        self.addAsyncCleanup(client.close)
        self.set_answer(b"a\n\xff\xfe")
        with self.assertRaises(errors.Unavailable):
            await client.list_keys("a")

    async def test_error_of_a_peer_is_no_listing(self):
        peer = relay.ListingClient()
        self.addAsyncCleanup(peer.close)
        position = relay.ListingRequest(snapshots.EMPTY_POSITION, 0)
        delta = snapshots.Listing().make_delta(snapshots.EMPTY_POSITION, 0.0)
        body = msgspec.msgpack.encode(delta)
        for status in (b"500 Error", b"404 Not Found", b"201 Created"):
            with self.subTest(status=status):
                self.set_answer(body, status)
                with self.assertRaises(errors.Unavailable):
                    await peer.fetch_delta(self.address, position)

    async def test_dump_that_is_no_json(self):
        self.set_answer(b"{", Content_Type="application/json")
        with self.assertRaises(errors.Unavailable):
            await common.fetch_url(f"http://{self.address}/dump")
