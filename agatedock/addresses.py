"""Parses and formats `HOST:PORT` addresses."""

from __future__ import annotations

import re

Address = tuple[str, int]

PORT_MAX = 65535
# A name or IPv4 address, or an IPv6 address in brackets.
_ADDRESS_PATTERN = re.compile(
    r"([A-Za-z0-9][A-Za-z0-9._-]{0,252}|\[[0-9A-Fa-f:.]{2,45}\]):([0-9]{1,5})",
    re.ASCII,
)


def split(text: str) -> Address | None:
    """Returns host and port, or None if the text is not an address."""
    match = _ADDRESS_PATTERN.fullmatch(text)
    if match is None:
        return None
    host, port = match[1], int(match[2])
    return (host, port) if 1 <= port <= PORT_MAX else None


def join(address: Address) -> str:
    """Returns `HOST:PORT`."""
    return f"{address[0]}:{address[1]}"
