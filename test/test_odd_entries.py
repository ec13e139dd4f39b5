"""Entries, messages and headers that another writer left odd."""

from __future__ import annotations

import asyncio
import json
import unittest

import hypothesis
from hypothesis import strategies as st
import msgspec

from agatedock import addresses
from agatedock import errors
from agatedock.decisions import retries
from agatedock.native import catalog
from agatedock.native import client_requests
from agatedock.native import native_dialect
from agatedock.peers import messages
from agatedock.peers import relay
from agatedock.peers import snapshots
from agatedock.serving import replica_client
from agatedock.serving import request_errors
from agatedock_platform import entries
from agatedock_platform import platform_dialect
from agatedockplug import vmhttp
from test import helper
from test import platform_helper

helper.load_profile()

DEPTH = 200_000
NESTED = "[" * DEPTH + "]" * DEPTH
MSGPACK_NESTED = b"\x91" * DEPTH + b"\x90"
LONG_NUMBER = "9" * 5000
ODD_FIELDS = {
    "nested": f'"Extra": {NESTED}',
    "long port": f'"Address": "127.0.0.1:{LONG_NUMBER}"',
    "port out of range": '"Address": "127.0.0.1:99999"',
    "port 0": '"Address": "127.0.0.1:0"',
    "odd host": '"Address": "a/b c@:80"',
    "no host": '"Address": ":80"',
    "large born": f'"born": {10**30}',
    "large sequence": f'"Sequence": {10**30}',
    "very large sequence": f'"Sequence": {LONG_NUMBER}',
    "negative slots": '"Slots": -5',
    "long service": f'"Service": "{"s" * 5000}"',
    "slots of another type": '"Slots": "many"',
}


def make_entry(odd_field: str) -> bytes:
    """Returns a replica's entry with one odd field, given as JSON."""
    fields = {
        "Service": '"shop"',
        "Address": '"127.0.0.1:80"',
        "Zone": '"a"',
        "State": '"ready"',
        "Slots": "8",
        "Sequence": "1",
        "born": "1",
    }
    name = odd_field.partition(":")[0].strip('"')
    fields.pop(name, None)
    items = [f'"{key}": {value}' for key, value in fields.items()]
    return ("{" + ", ".join([*items, odd_field]) + "}").encode()


class EntryTest(unittest.TestCase):
    """Decoders of entries raise only their documented error."""

    def test_sound_entry_is_decoded(self):
        replica = entries.decode_replica("i-1", make_entry('"Slots": 4'))
        self.assertEqual(replica.slots, 4)

    def test_odd_entries_name_no_replica(self):
        for name, field in ODD_FIELDS.items():
            with self.subTest(name), self.assertRaises(errors.DecodeError):
                entries.decode_replica("i-1", make_entry(field))

    def test_odd_names_name_no_replica(self):
        for name in ("", "a b", "a\r\nX: y", "\x00", "x" * 500, "ä"):
            with self.subTest(name), self.assertRaises(errors.DecodeError):
                entries.decode_replica(name, make_entry('"Slots": 4'))

    @hypothesis.given(
        st.sampled_from(["Service", "Address", "Zone", "State", "born"]),
        st.recursive(
            st.none() | st.integers() | st.text(max_size=20) | st.floats(),
            lambda inner: st.lists(inner, max_size=3),
        ),
    )
    def test_any_value_is_decoded_or_rejected(self, key, value):
        field = f'"{key}": {json.dumps(value)}'
        try:
            replica = entries.decode_replica("i-1", make_entry(field))
        except errors.DecodeError:
            return
        self.assertIsNotNone(addresses.split(replica.address))
        msgspec.msgpack.encode([replica.started_at_ms, replica.sequence])

    def test_odd_configurations_are_rejected(self):
        document = platform_helper.make_configuration()
        text = json.dumps(document)[:-1]
        for field in (f'"Extra": {NESTED}', f'"Version": {LONG_NUMBER}'):
            with self.assertRaises(errors.DecodeError):
                entries.decode_configuration(f"{text}, {field}}}".encode())

    def test_odd_routers_are_rejected(self):
        decoder = entries.EntryDecoder()
        for value in (
            f"127.0.0.1:{LONG_NUMBER}",
            "127.0.0.1:99999",
            "a/b c@:80",
        ):
            item = snapshots.Item("agatedock/routers/x", value.encode(), 1, 1)
            with self.assertRaises(errors.DecodeError):
                decoder.decode_router(item)


class PeerTest(unittest.TestCase):
    """Messages between routers."""

    def test_nested_datagram_is_rejected(self):
        for data in (MSGPACK_NESTED, b"\x93\x01\xa1x\x90" + MSGPACK_NESTED):
            with self.assertRaises(errors.DecodeError):
                messages.decode(data)
        self.decode_with_extra_element()

    def decode_with_extra_element(self) -> None:
        """Decodes a gossip message with one more, nested element."""
        sound = messages.encode(messages.GossipMessage("x", []))
        data = bytes([sound[0] + 1]) + sound[1:] + MSGPACK_NESTED
        with self.assertRaises(errors.DecodeError):
            messages.decode(data)

    def test_nested_listing_is_rejected(self):
        with self.assertRaises(errors.Unavailable):
            relay.decode_delta(MSGPACK_NESTED)
        delta = msgspec.msgpack.encode(
            snapshots.Listing().make_delta(snapshots.EMPTY_POSITION, 1.0)
        )
        data = bytes([delta[0] + 1]) + delta[1:] + MSGPACK_NESTED
        with self.assertRaises(errors.Unavailable):
            relay.decode_delta(data)

    def test_long_number_in_a_request_for_the_listing_counts_as_none(self):
        self.assertEqual(relay.parse_number(LONG_NUMBER), 0)
        self.assertEqual(relay.parse_number("17"), 17)


class NativeTest(unittest.TestCase):
    """The own interface: VM list, catalog, chat bodies and events."""

    VM = (
        '{"name": "a", "role": "upstream", "host": "h", "port": 80,'
        ' "failure_domain": "a", "service": "llm"}'
    )

    def test_odd_vm_is_left_out_of_the_list(self):
        for odd in (
            self.VM.replace("80", "99999"),
            self.VM.replace("80", "0"),
            self.VM.replace("80", LONG_NUMBER),
            self.VM.replace('"h"', '"a/b c@"'),
            '"garbage"',
        ):
            vms = vmhttp.decode_vms(f"[{self.VM}, {odd}]".encode())
            self.assertEqual([vm.name for vm in vms], ["a"])

    def test_vm_list_that_cannot_be_read_counts_as_unavailable(self):
        """The last list that was read stays in effect."""
        nested = self.VM.replace('"service"', f'"extra": {NESTED}, "service"')
        for data in (f"[{self.VM}, {nested}]", "{}", "["):
            with self.assertRaises(errors.Unavailable):
                vmhttp.decode_vms(data.encode())

    def test_odd_item_of_the_catalog_is_rejected(self):
        for odd in (
            self.VM.replace("80", "99999"),
            self.VM.replace('"service"', f'"extra": {NESTED}, "service"'),
        ):
            item = snapshots.Item("upstream/a", odd.encode(), 1, 1)
            with self.assertRaises(errors.DecodeError):
                catalog.decode_vm(item)

    def test_nested_chat_body_is_rejected(self):
        for body in (NESTED, f'{{"model": "m", "messages": {NESTED}}}'):
            with self.assertRaises(request_errors.RequestError):
                client_requests.parse_chat_request(body.encode())

    def test_nested_event_belongs_to_no_request(self):
        request = helper.make_prompted("r", (), 0.0)
        event = f"data: {NESTED}\n\n".encode()
        dialect = native_dialect.NativeDialect()
        self.assertFalse(dialect.matches_request(request, event))


class HeaderTest(unittest.TestCase):
    """Headers of clients on the hosting platform."""

    def test_odd_token_counts_are_ignored(self):
        for tokens in (LONG_NUMBER, "²", "-1", ""):
            self.assertEqual(
                platform_dialect.parse_prompt_parts(f"aa:{tokens}"), ()
            )


class SendTest(unittest.IsolatedAsyncioTestCase):
    """Addresses from which no URL can be made."""

    async def test_odd_address_counts_as_not_sent(self):
        client = replica_client.ReplicaClient()
        for address in ("127.0.0.1:99999", "a/b c@:80"):
            with self.assertRaises(replica_client.AttemptError) as caught:
                await client.send(
                    address,
                    "GET",
                    "/",
                    platform_helper.make_no_headers(),
                    b"",
                    new_connection=True,
                    head_timeout_s=1.0,
                )
            self.assertEqual(caught.exception.outcome, retries.Outcome.NOT_SENT)
        await client.close()


class ListingTest(platform_helper.RouterCase):
    """A router follows the listing beside odd entries."""

    async def test_listing_is_followed_beside_odd_entries(self):
        for number, field in enumerate(ODD_FIELDS.values()):
            self.store.put(f"servers/odd-{number}", make_entry(field))
        self.store.put("servers/a\r\nb", make_entry('"Slots": 4'))
        self.store.put("agatedock/routers/odd", b"127.0.0.1:99999")
        await asyncio.sleep(1.5)
        self.configure(Version=8, Tenants=[{"Name": "n", "ApiKeys": ["new"]}])
        await asyncio.sleep(1.5)
        status, _, _ = await self.call(
            platform_helper.LOOKUP, Authorization="Bearer new"
        )
        self.assertEqual(status, 200)

    async def test_no_request_meets_an_odd_entry(self):
        self.store.put("servers/odd", make_entry('"Address": "1.1.1.1:99999"'))
        await asyncio.sleep(1.5)
        for index in range(12):
            status, _, _ = await self.call(platform_helper.ORDER, f"r{index}")
            self.assertEqual(status, 200)
