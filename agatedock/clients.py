"""Clients of the platform and of upstreams, as settings name them."""

from __future__ import annotations

import aiohttp

from agatedock import platform
from agatedock import settings

# Zero lets connections be as many as there are requests; slots limit those.
CONNECTIONS_MAX = 0


def open_key_value(config: settings.Platform) -> platform.KeyValue:
    """Returns the client of the key-value service that settings name."""
    return platform.key_values.get(config.key_value)(config.key_value_url)


def open_vm_list(config: settings.Platform) -> platform.VmList:
    """Returns the client of the VM list that settings name."""
    return platform.vm_lists.get(config.vm_list)(config.vm_list_url)


def make_client() -> aiohttp.ClientSession:
    """Returns a client that keeps connections for further requests."""
    return aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=CONNECTIONS_MAX),
        auto_decompress=False,
    )


def make_single_use_client() -> aiohttp.ClientSession:
    """Returns a client that sends each request once, on its own connection.

    A fresh connection keeps a stale one from making an outcome unknown.
    """
    session = aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(force_close=True, limit=CONNECTIONS_MAX),
        auto_decompress=False,
    )
    # aiohttp sends PUT and DELETE again if the connection closes before an
    # answer; it offers no public switch for that.
    session._retry_connection = False  # noqa: SLF001
    return session
