"""HTTP client for a key-value service with entry versions and TTLs."""

from __future__ import annotations

import re
from typing import Any

import aiohttp

from agatedock import body_buffers
from agatedock import connections
from agatedock import errors
from agatedock import external

_CALL_TIMEOUT_S = 2.0
_BODY_MAX_BYTES = 16 * 1024 * 1024
_VERSION_PATTERN = re.compile(r"[0-9]{1,18}", re.ASCII)


@external.key_value_clients.register("http")
class HttpKeyValue:
    """Client for the key-value service at a base URL."""

    def __init__(self, url: str):
        self._url = url.rstrip("/")
        self._session: aiohttp.ClientSession | None = None

    async def get(self, key: str) -> external.Entry | None:
        """Returns the entry, or None if the key does not exist.

        Raises:
          errors.Unavailable: The call failed.
        """
        status, body, headers = await self._call("GET", f"/kv/{key}", {})
        if status == 404:
            return None
        if status != 200:
            raise errors.Unavailable(f"get {key}: status {status}")
        version = _parse_version(headers.get("X-Version", ""))
        return external.Entry(key, body, version)

    async def put(
        self, key: str, value: bytes, expected_version: int, ttl_ms: int = 0
    ) -> int:
        """Stores a value if the key is at the expected version.

        Args:
          key: The key.
          value: The new value.
          expected_version: Version to replace; 0 if the key must not exist.
          ttl_ms: Time until the entry expires; 0 for never.

        Returns:
          The new version.

        Raises:
          errors.Conflict: The key is at another version.
          errors.Unavailable: The call failed; the write may have taken effect.
        """
        params = {"expected": str(expected_version), "ttl_ms": str(ttl_ms)}
        status, body, _ = await self._call("PUT", f"/kv/{key}", params, value)
        if status == 409:
            raise errors.Conflict(key)
        if status != 200:
            raise errors.Unavailable(f"put {key}: status {status}")
        return _parse_version(body.decode("latin-1"))

    async def list_keys(self, prefix: str) -> list[str]:
        """Returns the keys with the given prefix in the service's order.

        Raises:
          errors.Unavailable: The call failed.
        """
        status, body, _ = await self._call("GET", "/kv", {"prefix": prefix})
        if status != 200:
            raise errors.Unavailable(f"list {prefix}: status {status}")
        return _decode_keys(body)

    async def close(self) -> None:
        """Closes all connections."""
        if self._session is not None:
            await self._session.close()

    async def _call(
        self,
        method: str,
        path: str,
        params: dict[str, str],
        data: bytes | None = None,
    ) -> tuple[int, bytes, Any]:
        if self._session is None:
            self._session = connections.make_session()
        timeout = aiohttp.ClientTimeout(total=_CALL_TIMEOUT_S)
        try:
            async with self._session.request(
                method,
                self._url + path,
                params=params,
                data=data,
                timeout=timeout,
            ) as response:
                body = await body_buffers.read(
                    response.content, _BODY_MAX_BYTES
                )
                return response.status, body, response.headers
        except (TimeoutError, aiohttp.ClientError) as error:
            raise errors.Unavailable(f"{method} {path}: {error!r}") from error


def _parse_version(text: str) -> int:
    """Returns the version of an entry.

    Raises:
      errors.Unavailable: It is not a number.
    """
    if _VERSION_PATTERN.fullmatch(text) is None:
        raise errors.Unavailable(f"invalid version {text!r}")
    return int(text)


def _decode_keys(body: bytes) -> list[str]:
    """Returns the keys of a list, one a line.

    Raises:
      errors.Unavailable: They are no text.
    """
    try:
        text = body.decode()
    except UnicodeDecodeError as error:
        raise errors.Unavailable(f"invalid keys: {error}") from error
    return text.split("\n") if text else []
