"""Checks that responses are within the grammar of HTTP/1.1.

The HTTP library reads responses leniently: it takes any three digits for a
status, control characters in values, folded lines, line feeds without a
carriage return, and any transfer coding. A response with one of them comes from
a replica in trouble, or from another protocol, and is no answer.

Sources: RFC 9110, sections 5.5, 5.6 and 15; RFC 9112, sections 2 to 7.
"""

from __future__ import annotations

from collections.abc import Callable
import re

import aiohttp

# Longest line that frames a chunk, with its extensions.
CHUNK_LINE_MAX_BYTES = 4 * 1024
# All trailer fields together.
TRAILERS_MAX_BYTES = 32 * 1024

_TOKEN = rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]++"
_TEXT = rb"[\t \x21-\x7e\x80-\xff]*+"
_FIELD_LINE = _TOKEN + rb":" + _TEXT + rb"\r\n"
_QUOTED = (
    rb'"(?:[\t \x21\x23-\x5b\x5d-\x7e\x80-\xff]|\\[\t \x21-\x7e\x80-\xff])*+"'
)
_EXTENSION = (
    rb"[ \t]*;[ \t]*"
    + _TOKEN
    + rb"(?:[ \t]*=[ \t]*(?:"
    + _TOKEN
    + rb"|"
    + _QUOTED
    + rb"))?+"
)

_HEAD_PATTERN = re.compile(
    rb"HTTP/1\.([01]) ([1-5][0-9]{2}) " + _TEXT + rb"\r\n"
    rb"(?:" + _FIELD_LINE + rb")*+\r\n"
)
_FRAMING_PATTERN = re.compile(
    rb"\n(content-length|transfer-encoding):[ \t]*(.*?)[ \t]*\r", re.IGNORECASE
)
_LENGTH_PATTERN = re.compile(rb"[0-9]{1,18}")
_CHUNK_PATTERN = re.compile(rb"([0-9A-Fa-f]++)(?:" + _EXTENSION + rb")*+\r\n")
_FIELD_PATTERN = re.compile(_FIELD_LINE)

_LINE_END = b"\r\n"
_HEAD_END = b"\r\n\r\n"
_HTTP_1_0 = b"0"
_FIRST_FINAL_STATUS = 200
_SWITCHING_PROTOCOLS = 101
_NO_CONTENT = 204
# Responses with these statuses have no body, whatever their fields say.
_BODILESS_STATUSES = frozenset({_NO_CONTENT, 304})


class InvalidResponseError(aiohttp.ClientPayloadError):
    """Bytes of a response are not within the grammar."""


class ResponseChecker:
    """Checks one response, with the informational ones before it.

    Attributes:
      head_count: Heads that were complete so far.
      is_exceeded: Whether there were bytes behind the end of the response.
    """

    def __init__(self, has_body: bool = True) -> None:
        """Waits for the first head.

        Args:
          has_body: Whether the request's method allows a body.
        """
        self._has_body = has_body
        # Bytes of a head, or of a line, that is not complete.
        self._pending = b""
        # Bytes that are left of a body with a length, or of a chunk.
        self._remaining_bytes = 0
        self._trailers_bytes = 0
        # Checks bytes from a position on, and returns the position behind.
        self._check: Callable[[bytes, int], int] = self._check_head
        self.head_count = 0
        self.is_exceeded = False

    def feed(self, data: bytes) -> None:
        """Checks the next bytes.

        Raises:
          InvalidResponseError: They are not within the grammar.
        """
        if self._pending:
            data = self._pending + data
            self._pending = b""
        position = 0
        while position < len(data):
            position = self._check(data, position)

    def _check_head(self, data: bytes, position: int) -> int:
        end = data.find(_HEAD_END, position)
        if end < 0:
            self._pending = data[position:]
            return len(data)
        end += len(_HEAD_END)
        match = _HEAD_PATTERN.fullmatch(data, position, end)
        if match is None:
            raise InvalidResponseError("invalid head")
        self.head_count += 1
        status = int(match[2])
        if status == _SWITCHING_PROTOCOLS:
            raise InvalidResponseError("unasked switch of protocols")
        fields = _FRAMING_PATTERN.findall(match[0])
        if status < _FIRST_FINAL_STATUS:
            if fields:
                raise InvalidResponseError("framing of a head without a body")
            return end
        self._begin_body(match[1], status, fields)
        return end

    def _begin_body(
        self, minor: bytes, status: int, fields: list[tuple[bytes, bytes]]
    ) -> None:
        """Chooses how the body is checked.

        Args:
          minor: Minor version of the protocol, one digit.
          status: Status of the final response.
          fields: Names and values of the fields that frame the body.
        """
        if len(fields) > 1:
            raise InvalidResponseError("several fields frame the body")
        is_chunked = False
        length = None
        for name, value in fields:
            is_chunked = name.lower() == b"transfer-encoding"
            if is_chunked:
                _check_coding(minor, status, value)
            else:
                length = _parse_length(value)
        if not self._has_body or status in _BODILESS_STATUSES:
            self._check = self._check_end
        elif is_chunked:
            self._check = self._check_chunk_line
        elif length is None:
            self._check = self._skip_all
        else:
            self._remaining_bytes = length
            self._check = self._check_length

    def _skip_all(self, data: bytes, position: int) -> int:
        """Skips a body that ends with its connection."""
        del position
        return len(data)

    def _check_end(self, data: bytes, position: int) -> int:
        """Records bytes behind the end."""
        del position
        self.is_exceeded = True
        return len(data)

    def _check_length(self, data: bytes, position: int) -> int:
        position = self._skip_remaining(data, position)
        if not self._remaining_bytes:
            self._check = self._check_end
        return position

    def _skip_remaining(self, data: bytes, position: int) -> int:
        skipped_bytes = min(self._remaining_bytes, len(data) - position)
        self._remaining_bytes -= skipped_bytes
        return position + skipped_bytes

    def _check_chunk_line(self, data: bytes, position: int) -> int:
        end = self._find_line_end(data, position)
        if not end:
            return len(data)
        match = _CHUNK_PATTERN.fullmatch(data, position, end)
        if match is None:
            raise InvalidResponseError("invalid chunk")
        self._remaining_bytes = int(match[1], 16)
        self._check = (
            self._check_chunk_data
            if self._remaining_bytes
            else self._check_trailer
        )
        return end

    def _check_chunk_data(self, data: bytes, position: int) -> int:
        position = self._skip_remaining(data, position)
        if not self._remaining_bytes:
            self._check = self._check_chunk_end
        return position

    def _check_chunk_end(self, data: bytes, position: int) -> int:
        found = data[position : position + len(_LINE_END)]
        if not _LINE_END.startswith(found):
            raise InvalidResponseError("no end of a chunk")
        if found == _LINE_END:
            self._check = self._check_chunk_line
        else:
            self._pending = found
        return position + len(found)

    def _check_trailer(self, data: bytes, position: int) -> int:
        end = self._find_line_end(data, position)
        if not end:
            return len(data)
        if data[position:end] == _LINE_END:
            self._check = self._check_end
            return end
        if _FIELD_PATTERN.fullmatch(data, position, end) is None:
            raise InvalidResponseError("invalid trailer")
        self._trailers_bytes += end - position
        if self._trailers_bytes > TRAILERS_MAX_BYTES:
            raise InvalidResponseError("too many trailers")
        return end

    def _find_line_end(self, data: bytes, position: int) -> int:
        """Returns the position behind a line; keeps it if it is incomplete.

        Returns:
          The position, or 0 if the line goes on.
        """
        end = data.find(b"\n", position) + 1
        if end:
            return end
        self._pending = data[position:]
        if len(self._pending) > CHUNK_LINE_MAX_BYTES:
            raise InvalidResponseError("too long a line")
        return 0


def _check_coding(minor: bytes, status: int, value: bytes) -> None:
    """Checks a transfer coding; no request allows any but `chunked`."""
    if value.lower() != b"chunked" or minor == _HTTP_1_0:
        raise InvalidResponseError(f"transfer coding {value!r}")
    if status == _NO_CONTENT:
        raise InvalidResponseError("transfer coding of no content")


def _parse_length(value: bytes) -> int:
    if _LENGTH_PATTERN.fullmatch(value) is None:
        raise InvalidResponseError(f"length {value!r}")
    return int(value)
