"""HTTP client for a VM list; status 304 means that it is unchanged."""

from __future__ import annotations

import logging

import aiohttp
import msgspec
import pydantic

from agatedock import body_buffers
from agatedock import connections
from agatedock import errors
from agatedock import external
from agatedock import logs

_CALL_TIMEOUT_S = 2.0
_LIST_MAX_BYTES = 16 * 1024 * 1024

_log = logging.getLogger(__name__)


def decode_vms(data: bytes) -> list[external.Vm]:
    """Returns the VMs of a list; leaves out entries that are not valid.

    Raises:
      errors.Unavailable: It is not a list.
    """
    try:
        items = msgspec.json.decode(data, type=list[msgspec.Raw])
    except errors.MALFORMED_DATA_ERRORS as error:
        raise errors.Unavailable(f"bad VM list: {error}") from error
    vms = []
    for item in items:
        try:
            vms.append(external.Vm.model_validate_json(bytes(item)))
        except pydantic.ValidationError as error:
            logs.event(
                _log, "entry_unreadable", logging.WARNING, error=str(error)
            )
    return vms


@external.vm_list_clients.register("http")
class HttpVmList:
    """Client for the VM list at a URL; uses ETags to save bandwidth."""

    def __init__(self, url: str):
        self._url = url
        self._etag = ""
        self._session: aiohttp.ClientSession | None = None

    async def read(self) -> list[external.Vm] | None:
        """Returns all VMs, or None if unchanged since the last read.

        Raises:
          errors.Unavailable: The call failed or its response is invalid.
        """
        if self._session is None:
            self._session = connections.make_session()
        timeout = aiohttp.ClientTimeout(total=_CALL_TIMEOUT_S)
        headers = {"If-None-Match": self._etag}
        try:
            async with self._session.get(
                self._url, headers=headers, timeout=timeout
            ) as response:
                if response.status == 304:
                    return None
                if response.status != 200:
                    raise errors.Unavailable(f"status {response.status}")
                vms = decode_vms(
                    await body_buffers.read(response.content, _LIST_MAX_BYTES)
                )
                self._etag = response.headers.get("ETag", "")
                return vms
        except (TimeoutError, aiohttp.ClientError) as error:
            raise errors.Unavailable(repr(error)) from error

    async def close(self) -> None:
        """Closes all connections."""
        if self._session is not None:
            await self._session.close()
