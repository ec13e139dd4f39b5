"""Property-based tests of the native API and its stored records."""

from __future__ import annotations

import asyncio
import json
import unittest

import hypothesis
from hypothesis import strategies as st
from returns import result

from agatedock import errors
from agatedock import external
from agatedock import hashing
from agatedock.domain import requests
from agatedock.fleet import config_store
from agatedock.fleet import documents
from agatedock.fleet import yaml_loader
from agatedock.native import catalog
from agatedock.native import claims
from agatedock.native import client_requests
from agatedock.native import native_dialect
from agatedock.native import settings
from agatedock.peers import listings
from agatedock.peers import messages
from agatedock.peers import snapshots
from agatedock.serving import request_errors
from agatedock.serving import sse
from agatedock.views import configuration_view
from test import helper

helper.load_profile()

LIMITS = settings.load(None, ["name=r", "failure_domain=a"]).limits


class HashingTest(unittest.TestCase):
    """Rendezvous hashing moves only the keys of a removed engine."""

    @hypothesis.given(st.integers(2, 12), st.integers(0, 11))
    def test_only_keys_of_a_removed_engine_move(self, engines, removed_index):
        names = [f"e{i}" for i in range(engines)]
        removed = names[removed_index % engines]
        remaining = [name for name in names if name != removed]
        for key in range(100):
            before = hashing.sort_by_score(f"chat{key}", names)[0]
            after = hashing.sort_by_score(f"chat{key}", remaining)[0]
            if before != removed:
                self.assertEqual(before, after)


def make_request() -> requests.Request:
    """Returns a chat request."""
    return requests.Request(
        request_id="r1",
        method="POST",
        host="",
        target="/v1/chat/completions",
        headers=(),
        account_key="small",
        client_timeout_s=None,
        prompt=(requests.PromptPart("c", 10),),
        last_event_id=None,
        arrived_at=1.0,
    )


def make_stream(request_id: str, first: int, count: int) -> bytes:
    """Returns events `first` to `count - 1` as an engine sends them."""
    parts = []
    for index in range(first, count):
        choice = {"index": 0, "delta": {"content": f"t{index} "}}
        payload = json.dumps({"id": request_id, "choices": [choice]})
        parts.append(f"id: {index}\ndata: {payload}\n\n")
    return "".join(parts).encode() + native_dialect.DONE_EVENT


class StreamTest(unittest.TestCase):
    """Streams are forwarded completely, whatever their chunk boundaries."""

    @hypothesis.given(
        st.integers(1, 20), st.lists(st.integers(1, 90), max_size=40)
    )
    def test_forwarded_stream_is_independent_of_chunk_boundaries(
        self, count, sizes
    ):
        request = make_request()
        stream = make_stream(
            native_dialect.make_engine_request_id(request), 0, count
        )
        splitter = sse.SseSplitter(sequential_ids=True)
        forwarded, rest = b"", stream
        for size in [*sizes, len(stream)]:
            batch = splitter.feed(rest[:size])
            self.assertTrue(
                native_dialect.NativeDialect().matches_request(
                    request, batch.data
                )
            )
            forwarded += batch.data
            rest = rest[size:]
        self.assertEqual(forwarded, stream)
        self.assertTrue(splitter.at_event_boundary)
        self.assertEqual(
            native_dialect.extract_text(forwarded),
            "".join(f"t{i} " for i in range(count)),
        )

    @hypothesis.given(st.integers(0, 20), st.integers(0, 20))
    def test_out_of_order_events_are_rejected(self, last, first):
        splitter = sse.SseSplitter(str(last), sequential_ids=True)
        stream = make_stream("x", first, first + 1)
        if first == last + 1:
            splitter.feed(stream)
            return
        with self.assertRaises(sse.InvalidStreamError):
            splitter.feed(stream)

    @hypothesis.given(st.sampled_from(["", "other", "r1", "r1.", "r10"]))
    def test_events_of_other_requests_do_not_match(self, other):
        matches = native_dialect.NativeDialect().matches_request(
            make_request(), make_stream(other, 0, 2)
        )
        self.assertFalse(matches)

    def test_engine_request_ids_differ_between_accounts(self):
        one = make_request()
        two = requests.Request(
            **{
                name: getattr(one, name)
                for name in one.__slots__
                if name != "account_key"
            },
            account_key="large",
        )
        self.assertNotEqual(
            native_dialect.make_engine_request_id(one),
            native_dialect.make_engine_request_id(two),
        )


class UntrustedInputTest(unittest.TestCase):
    """Decoders of untrusted input raise only their documented errors."""

    @hypothesis.given(st.binary(max_size=200))
    def test_chat_bodies(self, data):
        try:
            client_requests.parse_chat_request(data)
        except request_errors.RequestError as request_error:
            self.assertEqual(
                request_error.code, request_errors.ErrorCode.BAD_REQUEST
            )

    @hypothesis.given(
        st.recursive(
            st.none() | st.booleans() | st.integers() | st.text(max_size=9),
            lambda inner: (
                st.lists(inner, max_size=4)
                | st.dictionaries(
                    st.sampled_from(
                        ["model", "messages", "role", "content", "max_tokens"]
                    ),
                    inner,
                    max_size=4,
                )
            ),
        )
    )
    def test_chat_bodies_of_json(self, data):
        try:
            client_requests.parse_chat_request(json.dumps(data).encode())
        except request_errors.RequestError as request_error:
            self.assertEqual(
                request_error.code, request_errors.ErrorCode.BAD_REQUEST
            )

    @hypothesis.given(st.binary(max_size=200))
    def test_events(self, data):
        splitter = sse.SseSplitter(sequential_ids=True)
        try:
            batch = splitter.feed(data)
        except sse.InvalidStreamError:
            return
        native_dialect.NativeDialect().matches_request(
            make_request(), batch.data
        )

    @hypothesis.given(st.binary(max_size=300))
    def test_datagrams(self, data):
        try:
            messages.decode(data)
        except errors.DecodeError:
            return

    @hypothesis.given(st.text(max_size=200))
    def test_configuration_files(self, text):
        try:
            data, lines = yaml_loader.load_text(text, "x")
            documents.check(data, lines, "x", 0)
        except errors.FindingsError as error:
            self.assertTrue(error.findings)


def make_document(revision: int, **changes: object) -> documents.Document:
    """Returns a configuration of the given revision."""
    return documents.Document(revision=revision, **changes)


class FakeVmList:
    """A VM list in memory."""

    def __init__(self) -> None:
        self.listed_vms: list[external.Vm] | None = []
        self.down = False

    async def read(self) -> list[external.Vm] | None:
        """Returns the VMs, or fails while the list is down."""
        if self.down:
            raise errors.Unavailable("script")
        return self.listed_vms


class CatalogTest(unittest.TestCase):
    """The applied configuration never goes back to an older revision."""

    def setUp(self):
        self.kv = FaultyKeyValue([])
        self.vms = FakeVmList()
        self.catalog = catalog.Catalog(self.kv, self.vms, LIMITS, "one")
        self.view = configuration_view.ConfigurationView()

    def write(self, document: documents.Document) -> None:
        """Replaces the stored configuration, as restoring a backup would."""
        value = documents.encode(document)
        self.kv.replace(config_store.CURRENT_KEY, value)

    def read(self) -> list:
        """Fetches a snapshot and applies it; returns its items."""
        items = asyncio.run(self.catalog.fetch_snapshot(1.0)).items
        self.apply(items)
        return items

    def apply(self, items: list) -> None:
        """Applies the configurations of a listing, whatever its source."""
        for item in items:
            kind = self.catalog.classify(item.key)
            if kind is listings.ItemKind.CONFIGURATION:
                decoded = self.catalog.decode_configuration(item)
                self.view.update(decoded, item.revision, 1.0)

    @hypothesis.given(
        st.lists(st.tuples(st.booleans(), st.integers(1, 9)), max_size=30)
    )
    def test_applied_revision_never_decreases(self, steps):
        self.setUp()
        highest = 0
        for from_store, revision in steps:
            highest = max(highest, revision)
            if from_store:
                self.write(make_document(revision))
                self.read()
            else:
                peer = catalog.Catalog(self.kv, self.vms, LIMITS, "one")
                peer.update_configuration(make_document(revision), "operator")
                self.apply(peer.list_known_items())
            self.assertEqual(self.view.revision, highest)
            # A router that starts now must not get an older configuration.
            listed = [
                item.revision
                for item in self.catalog.list_known_items()
                if item.key == catalog.CONFIGURATION_KEY
            ]
            self.assertEqual(listed, [highest])

    def test_alarm_reaches_routers_that_do_not_read_the_store(self):
        self.write(make_document(3))
        self.read()
        self.write(make_document(2))
        self.read()
        other = catalog.Catalog(self.kv, self.vms, LIMITS, "one")
        for _ in range(2):
            for item in self.catalog.list_known_items():
                if other.classify(item.key) is listings.ItemKind.OTHER:
                    other.handle_other(item)
        self.assertEqual(list(other.alarms), list(self.catalog.alarms))
        self.assertEqual(len(other.alarms), 1)
        other.handle_other(snapshots.Item("alarm/1", b"{", 1, 0))
        self.assertEqual(len(other.alarms), 1)

    def test_older_stored_revision_raises_one_alarm(self):
        self.write(make_document(3))
        self.read()
        self.write(make_document(2))
        for _ in range(3):
            self.read()
        self.assertEqual(self.view.revision, 3)
        self.assertEqual(len(self.catalog.alarms), 1)

    def test_forked_revision_raises_an_alarm_and_is_not_applied(self):
        self.write(make_document(3, author="a"))
        self.read()
        self.write(make_document(3, author="b"))
        self.read()
        self.assertEqual(self.view.current.document.author, "a")
        self.assertEqual(len(self.catalog.alarms), 1)

    def test_unreadable_stored_configuration_is_ignored(self):
        self.write(make_document(3))
        self.read()
        self.kv.replace(config_store.CURRENT_KEY, b"\xff{")
        self.read()
        self.assertEqual(self.view.revision, 3)
        self.assertEqual(len(self.catalog.alarms), 1)

    def test_snapshot_needs_only_one_of_both_services(self):
        vm = external.Vm(
            name="e",
            role="upstream",
            service="llm",
            host="127.0.0.1",
            port=1,
            failure_domain="a",
        )
        self.write(make_document(3))
        self.vms.listed_vms = [vm]
        self.read()
        self.vms.down = True
        self.assertEqual(len(self.read()), 2)
        self.kv.down = True
        with self.assertRaises(errors.Unavailable):
            self.read()
        self.vms.down = False
        self.vms.listed_vms = None
        self.assertEqual(len(self.read()), 2)

    def test_leaving_vm_is_a_draining_replica(self):
        vm = external.Vm(
            name="e",
            role="upstream",
            service="llm",
            host="127.0.0.1",
            port=1,
            failure_domain="a",
            state="leaving",
        )
        self.vms.listed_vms = [vm]
        (item,) = self.read()
        replica = self.catalog.decode_replica(item)
        self.assertEqual(replica.state, "draining")
        self.assertEqual(replica.address, "127.0.0.1:1")


class FaultyKeyValue:
    """A key-value service in memory that injects a script of faults.

    Faults: `drop` (the call fails without effect), `lose` (a write takes
    effect but its response is lost), `slow` (other calls run first).
    """

    def __init__(self, fault_script: list[str]):
        self.fault_script = list(fault_script)
        self._values: dict[str, tuple[bytes, int]] = {}
        self._version = 0
        self.down = False

    def replace(self, key: str, value: bytes) -> None:
        """Stores a value without checking the version."""
        self._version += 1
        self._values[key] = (value, self._version)

    async def _next_fault(self) -> str:
        """Returns the next fault; a slow call yields to other tasks first."""
        fault = self.fault_script.pop(0) if self.fault_script else "ok"
        for _ in range(SLOW_CALL_YIELDS if fault == "slow" else 1):
            await asyncio.sleep(0)
        return "ok" if fault == "slow" else fault

    async def get(self, key: str) -> external.Entry | None:
        """Reads a key, or fails if down or the next fault is not `ok`."""
        if self.down or await self._next_fault() != "ok":
            raise errors.Unavailable("script")
        if key not in self._values:
            return None
        return external.Entry(key, *self._values[key])

    async def put(
        self, key: str, value: bytes, expected_version: int, ttl_ms: int = 0
    ) -> int:
        """Writes a key; with the fault `lose` it fails after the write."""
        fault = await self._next_fault()
        if fault == "drop":
            raise errors.Unavailable("script")
        current = self._values.get(key, (b"", 0))[1]
        if current != expected_version:
            raise errors.Conflict(key)
        self._version += 1
        self._values[key] = (value, self._version)
        if fault == "lose":
            raise errors.Unavailable("script")
        return self._version


FAULT_SCRIPTS = st.lists(
    st.sampled_from(["ok", "ok", "slow", "drop", "lose"]), max_size=14
)
SLOW_CALL_YIELDS = 6


class ClaimsTest(unittest.TestCase):
    """A claim has at most one owner, whatever calls or responses are lost."""

    @hypothesis.given(FAULT_SCRIPTS, st.integers(2, 5))
    def test_concurrent_claims_have_one_owner(self, fault_script, count):
        async def race() -> list:
            kv = FaultyKeyValue(fault_script)
            new_claims = [
                claims.make_claim("digest", 10**15) for _ in range(count)
            ]
            return await asyncio.gather(
                *(claims.acquire(kv, "k", claim, 0) for claim in new_claims),
                return_exceptions=True,
            )

        outcomes = asyncio.run(race())
        owners = [o for o in outcomes if isinstance(o, result.Success)]
        self.assertLessEqual(len(owners), 1)

    @hypothesis.given(FAULT_SCRIPTS)
    def test_key_is_reusable_after_not_run_but_not_after_done(
        self, fault_script
    ):
        async def acquire_three_times() -> tuple[bool, bool]:
            kv = FaultyKeyValue([])
            held = (
                await claims.acquire(kv, "k", claims.make_claim("d", 0), 0)
            ).unwrap()
            await claims.save(kv, held, claims.mark_not_run(held), 0)
            second_result = await claims.acquire(
                kv, "k", claims.make_claim("d", 0), 0
            )
            second = second_result.unwrap()
            done = claims.mark_done(second, 200, "text/plain", b"x")
            kv.fault_script = [
                fault for fault in fault_script if fault != "drop"
            ][:2]
            await claims.save(kv, second, done, 0)
            kv.fault_script = []
            third_result = await claims.acquire(
                kv, "k", claims.make_claim("d", 0), 0
            )
            return isinstance(second_result, result.Success), isinstance(
                third_result, result.Failure
            )

        self.assertEqual(asyncio.run(acquire_three_times()), (True, True))


class ConfigurationStoreTest(unittest.TestCase):
    """Accepted edits are in the history; rejected ones take no effect."""

    @hypothesis.given(FAULT_SCRIPTS, st.integers(2, 4))
    def test_racing_edits_report_their_true_outcome(self, fault_script, count):
        async def edit(kv: FaultyKeyValue, name: str):
            try:
                base = await config_store.read(kv)
            except errors.Unavailable:
                return None
            return await config_store.commit(
                kv, make_document(0, author=name), base, 0, 7
            )

        async def race() -> tuple[list, list[documents.Document]]:
            kv = FaultyKeyValue(fault_script)
            outcomes = await asyncio.gather(
                *(edit(kv, f"operator-{i}") for i in range(count))
            )
            kv.fault_script = []
            committed = [(await config_store.read(kv)).document]
            for revision in range(committed[0].revision - 1, 0, -1):
                key = f"{config_store.HISTORY_PREFIX}{revision:010d}"
                entry = await kv.get(key)
                committed.append(documents.decode(entry.value))
            return outcomes, committed

        outcomes, committed = asyncio.run(race())
        authors = {document.author for document in committed}
        for index, outcome in enumerate(outcomes):
            name = f"operator-{index}"
            if isinstance(outcome, result.Success):
                self.assertIn(name, authors)
            elif isinstance(outcome, result.Failure):
                cause = outcome.failure().cause
                if cause != config_store.RejectionCause.UNKNOWN:
                    self.assertNotIn(name, authors)
