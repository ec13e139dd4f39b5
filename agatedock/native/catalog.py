"""The key-value service and the VM list as one listing.

The configuration never goes back: a service that shows an older one, as a
restored backup does, is reported and not followed.
"""

from __future__ import annotations

import asyncio
import collections
import enum
import logging

import msgspec
import pydantic
import xxhash

from agatedock import addresses
from agatedock import errors
from agatedock import external
from agatedock import logs
from agatedock.domain import replicas
from agatedock.fleet import config_store
from agatedock.fleet import documents
from agatedock.native import native_configuration
from agatedock.native import settings
from agatedock.peers import listings
from agatedock.peers import snapshots

_log = logging.getLogger(__name__)

CONFIGURATION_KEY = "configuration"
_UPSTREAM_PREFIX = "upstream/"
_ROUTER_PREFIX = "router/"
_ALARM_PREFIX = "alarm/"
ALARMS_MAX = 20

_STATES = {
    external.VmState.LIVE: replicas.ReplicaState.READY,
    external.VmState.LEAVING: replicas.ReplicaState.DRAINING,
}


class UpdateOutcome(enum.StrEnum):
    """What became of a document that was offered."""

    APPLIED = "taken"
    SAME = "same"
    OLDER = "older"
    FORKED = "forked"


class Alarm(msgspec.Struct, frozen=True):
    """A sign that a source holds another history than this router."""

    source: str
    revision: int
    message: str


class Catalog(listings.ListingSource, listings.ItemDecoder):
    """Reads, decodes and keeps what the listing is made of.

    Attributes:
      alarms: The latest ones.
    """

    configuration_key = CONFIGURATION_KEY
    replica_prefix = _UPSTREAM_PREFIX
    router_prefix = _ROUTER_PREFIX

    def __init__(
        self,
        kv: external.KeyValue,
        vms: external.VmList,
        limits: settings.Limits,
        history_id: str,
    ) -> None:
        """Builds a catalog that knows nothing yet.

        Args:
          kv: Holds the configuration.
          vms: Lists upstreams and routers.
          limits: Of what the configuration may ask for.
          history_id: Identifies the change numbers of this process's
            listings; another process counts changes from 1 again.
        """
        self._kv = kv
        self._vms = vms
        self._limits = limits
        self._change_counter = snapshots.ChangeCounter(history_id)
        self._vm_items: list[snapshots.Item] = []
        self._newest_item: snapshots.Item | None = None
        self._newest_decoded: (
            native_configuration.NativeConfiguration | None
        ) = None
        self._unreachable_services: set[str] = set()
        self.alarms: collections.deque[Alarm] = collections.deque(
            maxlen=ALARMS_MAX
        )

    # Source.

    async def fetch_snapshot(self, timeout_s: float) -> snapshots.Snapshot:
        """Returns the configuration, the upstreams and the routers.

        What one of the services does not tell stays as it was.

        Raises:
          errors.Unavailable: Neither service answered.
        """
        reached = await asyncio.gather(
            self._read_configuration(timeout_s), self._read_vms(timeout_s)
        )
        if not any(reached):
            raise errors.Unavailable("key-value service and VM list")
        return self._change_counter.make_snapshot(self.list_known_items())

    async def _read_configuration(self, timeout_s: float) -> bool:
        try:
            async with asyncio.timeout(timeout_s):
                entry = await self._kv.get(config_store.CURRENT_KEY)
        except (errors.Unavailable, TimeoutError) as error:
            self._record_reachability("key_value", False, str(error))
            return False
        self._record_reachability("key_value", True, "")
        if entry is not None:
            self._apply_stored_configuration(entry.value)
        return True

    async def _read_vms(self, timeout_s: float) -> bool:
        try:
            async with asyncio.timeout(timeout_s):
                vms = await self._vms.read()
        except (errors.Unavailable, TimeoutError) as error:
            self._record_reachability("vm_list", False, str(error))
            return False
        self._record_reachability("vm_list", True, "")
        if vms is not None:
            self._vm_items = [_encode_vm(vm) for vm in vms]
        return True

    def _record_reachability(
        self, service: str, reached: bool, cause: str
    ) -> None:
        if reached == (service not in self._unreachable_services):
            return
        if reached:
            self._unreachable_services.discard(service)
        else:
            self._unreachable_services.add(service)
        name = f"{service}_regained" if reached else f"{service}_lost"
        logs.event(_log, name, logging.WARNING, cause=cause)

    def _apply_stored_configuration(self, value: bytes) -> None:
        source = "key-value service"
        try:
            document = documents.decode(value)
        except pydantic.ValidationError as error:
            self._raise_alarm(source, 0, str(error))
            return
        match self.update_configuration(document, source):
            case UpdateOutcome.OLDER:
                message = "service shows an older state"
                self._raise_alarm(source, document.revision, message)
            case UpdateOutcome.FORKED:
                self._raise_alarm(source, document.revision, "revision forked")

    def update_configuration(
        self, document: documents.Document, source: str
    ) -> UpdateOutcome:
        """Learns a document; only a newer one replaces the one in force."""
        newest = self._newest_item
        value = documents.encode(document)
        if newest is None or document.revision > newest.revision:
            self._newest_item = _make_item(
                CONFIGURATION_KEY, value, document.revision
            )
            logs.event(
                _log,
                "configuration_heard",
                revision=document.revision,
                source=source,
                author=document.author,
            )
            return UpdateOutcome.APPLIED
        if document.revision < newest.revision:
            return UpdateOutcome.OLDER
        return (
            UpdateOutcome.SAME
            if value == newest.value
            else UpdateOutcome.FORKED
        )

    @property
    def newest_configuration(self) -> snapshots.Item | None:
        """Returns the newest configuration that was offered."""
        return self._newest_item

    def _raise_alarm(self, source: str, revision: int, message: str) -> None:
        """Notes that a source must not be followed, once for each sign."""
        self._add_alarm(Alarm(source, revision, message))

    def _add_alarm(self, alarm: Alarm) -> None:
        if alarm in self.alarms:
            return
        self.alarms.append(alarm)
        logs.event(
            _log,
            "config_alarm",
            logging.ERROR,
            source=alarm.source,
            revision=alarm.revision,
            in_force=self._newest_item.revision if self._newest_item else 0,
            problem=alarm.message,
        )

    def list_known_items(self) -> list[snapshots.Item]:
        """Returns the listing as it is known, without reading anything.

        Alarms are part of it, as few routers see the services themselves.
        """
        configuration_items = (
            [] if self._newest_item is None else [self._newest_item]
        )
        alarm_items = [_encode_alarm(alarm) for alarm in self.alarms]
        return configuration_items + self._vm_items + alarm_items

    # Catalog.

    def decode_configuration(
        self, item: snapshots.Item
    ) -> native_configuration.NativeConfiguration:
        """Returns a revision of the fleet configuration.

        Raises:
          errors.DecodeError: It cannot be read.
        """
        try:
            document = documents.decode(item.value)
        except pydantic.ValidationError as error:
            raise errors.DecodeError(str(error)) from error
        # A peer may be the first to tell it.
        self.update_configuration(document, "listing")
        decoded = native_configuration.NativeConfiguration(
            document, self._limits
        )
        if (
            self._newest_decoded is None
            or decoded.version > self._newest_decoded.version
        ):
            self._newest_decoded = decoded
        return decoded

    def decode_replica(self, item: snapshots.Item) -> replicas.Replica:
        """Returns an engine or a replica of a plain service.

        Raises:
          errors.DecodeError: It cannot be read.
        """
        vm = _decode_vm(item)
        newest = self._newest_decoded
        return replicas.Replica(
            replica_id=vm.name,
            service=vm.service,
            address=addresses.join((vm.host, vm.port)),
            zone=vm.failure_domain,
            slots=newest.get_slots(vm.service) if newest else 0,
            state=_STATES[vm.state],
            started_at_ms=0,
            sequence=0,
        )

    def decode_router(self, item: snapshots.Item) -> str:
        """Returns the `HOST:PORT` at which a router answers its peers.

        Raises:
          errors.DecodeError: It cannot be read.
        """
        vm = _decode_vm(item)
        return addresses.join((vm.host, vm.port))

    def handle_other(self, item: snapshots.Item) -> None:
        """Learns an alarm that another router raised."""
        if not item.key.startswith(_ALARM_PREFIX):
            return
        try:
            alarm = msgspec.json.decode(item.value, type=Alarm)
        except msgspec.MsgspecError as error:
            logs.event(
                _log, "alarm_unreadable", logging.WARNING, error=str(error)
            )
            return
        self._add_alarm(alarm)

    def is_equivalent(
        self, known: snapshots.Item, item: snapshots.Item
    ) -> bool:
        """Tells whether an item says no more than an earlier one of its key."""
        return snapshots.has_same_revision(known, item)


def _encode_vm(vm: external.Vm) -> snapshots.Item:
    """Returns an item whose revision changes with its content."""
    value = vm.model_dump_json().encode()
    key = f"{vm.role}/{vm.name}"
    return _make_item(key, value, xxhash.xxh32_intdigest(value))


def _encode_alarm(alarm: Alarm) -> snapshots.Item:
    value = msgspec.json.encode(alarm)
    alarm_hash = xxhash.xxh32_intdigest(value)
    return _make_item(f"{_ALARM_PREFIX}{alarm_hash}", value, alarm_hash)


def _make_item(key: str, value: bytes, revision: int) -> snapshots.Item:
    """Returns an item that gets its number when it is listed."""
    return snapshots.Item(key, value, revision, change_number=0)


def _decode_vm(item: snapshots.Item) -> external.Vm:
    try:
        return external.Vm.model_validate_json(item.value)
    except pydantic.ValidationError as error:
        raise errors.DecodeError(f"{item.key}: {error}") from error
