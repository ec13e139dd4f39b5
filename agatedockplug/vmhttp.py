"""HTTP client for a VM list; status 304 means that it is unchanged."""

from __future__ import annotations

import aiohttp
import pydantic

from agatedock import errors
from agatedock import external

_CALL_TIMEOUT_S = 2.0
_VMS_ADAPTER = pydantic.TypeAdapter(list[external.Vm])


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
            self._session = aiohttp.ClientSession()
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
                vms = _VMS_ADAPTER.validate_json(await response.read())
                self._etag = response.headers.get("ETag", "")
                return vms
        except (TimeoutError, aiohttp.ClientError) as error:
            raise errors.Unavailable(repr(error)) from error
        except pydantic.ValidationError as error:
            raise errors.Unavailable(f"bad VM list: {error}") from error

    async def close(self) -> None:
        """Closes all connections."""
        if self._session is not None:
            await self._session.close()
