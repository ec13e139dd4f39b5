"""Combines the key-value service and the VM list into one listing.

The applied configuration never goes back to an older revision. If the
key-value service returns an older one, as after a restore from a backup, the
catalog raises an alarm and ignores it.
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
    """Result of `Catalog.update_configuration`."""

    APPLIED = "taken"
    SAME = "same"
    OLDER = "older"
    FORKED = "forked"


class Alarm(msgspec.Struct, frozen=True):
    """A stored configuration that was ignored.

    It is unreadable, older than the newest known one, or of the same revision
    with other content.

    Attributes:
      source: Where the configuration was read from.
      revision: Its revision; 0 if it could not be decoded.
      message: What is wrong with it.
    """

    source: str
    revision: int
    message: str


class Catalog(listings.ListingSource, listings.ItemDecoder):
    """Fetches, decodes and stores the items of the listing.

    Attributes:
      alarms: The latest ALARMS_MAX alarms, the oldest first.
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
        """Creates an empty catalog.

        Args:
          kv: The key-value service that stores the configuration.
          vms: The list of upstreams and routers.
          limits: Size limits and timeouts of this router's settings.
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

    # Methods of listings.ListingSource.

    async def fetch_snapshot(self, timeout_s: float) -> snapshots.Snapshot:
        """Returns configuration, upstreams, routers and alarms.

        If one of the two services does not respond, its last known items are
        returned.

        Args:
          timeout_s: Timeout of the call to each service.

        Raises:
          errors.Unavailable: Neither service responded.
        """
        reached = await asyncio.gather(
            self._read_configuration(timeout_s), self._read_vms(timeout_s)
        )
        if not any(reached):
            raise errors.Unavailable(
                "neither the key-value service nor the VM list responded"
            )
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
        """Replaces the newest known configuration if the given one is newer.

        Args:
          document: The given configuration.
          source: Where it comes from, for the log.

        Returns:
          APPLIED if it is newer; SAME, OLDER or FORKED (the same revision with
          other content) if it was ignored.
        """
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
        """Returns the newest known configuration, None before the first."""
        return self._newest_item

    def _raise_alarm(self, source: str, revision: int, message: str) -> None:
        """Raises an alarm unless the same alarm was raised already."""
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
        """Returns the known items without calling the services.

        Alarms are included because only few routers read the services
        themselves; the others get the alarms from the listing.
        """
        configuration_items = (
            [] if self._newest_item is None else [self._newest_item]
        )
        alarm_items = [_encode_alarm(alarm) for alarm in self.alarms]
        return configuration_items + self._vm_items + alarm_items

    # Methods of listings.ItemDecoder.

    def decode_configuration(
        self, item: snapshots.Item
    ) -> native_configuration.NativeConfiguration:
        """Returns the fleet configuration of an item; records it if newer.

        Raises:
          errors.DecodeError: The item cannot be decoded.
        """
        try:
            document = documents.decode(item.value)
        except pydantic.ValidationError as error:
            raise errors.DecodeError(str(error)) from error
        # This revision may have reached this router by a peer first.
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
          errors.DecodeError: The item cannot be decoded.
        """
        vm = decode_vm(item)
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
        """Returns the `HOST:PORT` of a router's peer port.

        Raises:
          errors.DecodeError: The item cannot be decoded.
        """
        vm = decode_vm(item)
        return addresses.join((vm.host, vm.port))

    def handle_other(self, item: snapshots.Item) -> None:
        """Records an alarm that another router raised."""
        if not item.key.startswith(_ALARM_PREFIX):
            return
        try:
            alarm = msgspec.json.decode(item.value, type=Alarm)
        except errors.MALFORMED_DATA_ERRORS as error:
            logs.event(
                _log, "alarm_unreadable", logging.WARNING, error=str(error)
            )
            return
        self._add_alarm(alarm)

    def is_equivalent(
        self, known: snapshots.Item, item: snapshots.Item
    ) -> bool:
        """Returns whether an item has the content of an earlier one of its key.

        Revisions of VM items and alarms are hashes of their content.
        """
        return snapshots.has_same_value(known, item)


def _encode_vm(vm: external.Vm) -> snapshots.Item:
    """Returns an item whose revision is a hash of its content."""
    value = vm.model_dump_json().encode()
    key = f"{vm.role}/{vm.name}"
    return _make_item(key, value, xxhash.xxh32_intdigest(value))


def _encode_alarm(alarm: Alarm) -> snapshots.Item:
    value = msgspec.json.encode(alarm)
    alarm_hash = xxhash.xxh32_intdigest(value)
    return _make_item(f"{_ALARM_PREFIX}{alarm_hash}", value, alarm_hash)


def _make_item(key: str, value: bytes, revision: int) -> snapshots.Item:
    """Returns an item; make_snapshot sets its change number."""
    return snapshots.Item(key, value, revision, change_number=0)


def decode_vm(item: snapshots.Item) -> external.Vm:
    """Returns the VM of an item.

    Raises:
      errors.DecodeError: The item cannot be decoded.
    """
    try:
        return external.Vm.model_validate_json(item.value)
    except pydantic.ValidationError as error:
        raise errors.DecodeError(f"{item.key}: {error}") from error
