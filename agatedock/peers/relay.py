"""Requests and sends deltas of the listing between routers over HTTP."""

from __future__ import annotations

import dataclasses
import math
import zlib

import aiohttp
from aiohttp import web
import msgspec

from agatedock import body_buffers
from agatedock import connections
from agatedock import errors
from agatedock.peers import snapshots

LISTING_PATH = "/listing"
# Larger responses are compressed: a configuration of 100 KB sent to each of 15
# peers would saturate a slow link.
COMPRESS_MIN_BYTES = 1000
COMPRESS_LEVEL = 1
# A query fails if the peer sends no data for this long.
IDLE_TIMEOUT_S = 0.5
# Longer than the idle timeout, as a full delta takes longer over a slow link.
TOTAL_TIMEOUT_S = 2.0

# Many times the listing and configuration of 3,000 replicas.
LISTING_MAX_BYTES = 16 * 1024 * 1024

# Digits of a 64-bit number.
NUMBER_DIGITS_MAX = 19

# With this parameter a request asks for the listing's age in a header, so that
# one encoded body can be sent several times.
AGE_PARAMETER = "age"
AGE_IN_HEADER = "header"
# Time since the listing was requested from the source, in seconds. It replaces
# the age in the body.
AGE_HEADER = "Listing-Age-S"

_OK = 200

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(snapshots.Delta)


@dataclasses.dataclass(frozen=True, slots=True)
class ListingRequest:
    """State of the requesting router, sent as the query of the URL.

    Attributes:
      position: Position of its listing.
      version: Version of its applied configuration.
    """

    position: snapshots.Position
    version: int


class ListingServer:
    """Answers requests of peers for the listing.

    Handles many peers that request the same changes of a large configuration:
    they are encoded and compressed once for each position.
    """

    def __init__(self, listing: snapshots.Listing) -> None:
        """Creates a server of a listing that its owner keeps up to date.

        Args:
          listing: This router's listing.
        """
        self._listing = listing
        # Bodies by request, all of the same state of the listing.
        self._bodies: dict[ListingRequest, _Body] = {}
        self._cached_state: tuple[float, int] | None = None

    def make_response(
        self,
        configuration: snapshots.Item | None,
        raw: web.BaseRequest,
        now: float,
        version: int = 0,
    ) -> web.Response:
        """Returns a response with the delta that the requesting peer lacks.

        Args:
          configuration: The configuration applied here, which may be newer
            than the listing; None if there is none.
          raw: The peer's HTTP request.
          now: Present time in seconds.
          version: Version of the configuration.
        """
        listing_request = _parse_request(raw)
        if raw.query.get(AGE_PARAMETER) != AGE_IN_HEADER:
            delta = self._make_delta(
                listing_request, configuration, version, now
            )
            body = _encode(delta)
            return web.Response(body=body.data, headers=body.headers)
        state = self._listing.read_at, version
        if state != self._cached_state:
            self._cached_state = state
            self._bodies.clear()
        if listing_request not in self._bodies:
            delta = self._make_delta(
                listing_request, configuration, version, now
            )
            self._bodies[listing_request] = _encode(delta)
        body = self._bodies[listing_request]
        age_s = now - self._listing.read_at
        return web.Response(
            body=body.data, headers={**body.headers, AGE_HEADER: repr(age_s)}
        )

    def _make_delta(
        self,
        listing_request: ListingRequest,
        configuration: snapshots.Item | None,
        version: int,
        now: float,
    ) -> snapshots.Delta:
        delta = self._listing.make_delta(listing_request.position, now)
        if configuration is not None and version > listing_request.version:
            delta = msgspec.structs.replace(delta, configuration=configuration)
        return delta


@dataclasses.dataclass(frozen=True, slots=True)
class _Body:
    """An encoded delta.

    Attributes:
      data: The encoding.
      headers: Headers that describe it.
    """

    data: bytes
    headers: dict[str, str]


def _encode(delta: snapshots.Delta) -> _Body:
    """Returns a delta's encoding, compressed unless it is short."""
    data = _encoder.encode(delta)
    if len(data) < COMPRESS_MIN_BYTES:
        return _Body(data, {})
    # The HTTP client of the requesting router decompresses it.
    return _Body(
        zlib.compress(data, COMPRESS_LEVEL), {"Content-Encoding": "deflate"}
    )


def _parse_request(raw: web.BaseRequest) -> ListingRequest:
    position = snapshots.Position(
        raw.query.get("source", ""), parse_number(raw.query.get("number", ""))
    )
    version = parse_number(raw.query.get("version", ""))
    return ListingRequest(position, version)


def parse_number(text: str) -> int:
    """Returns a number of a query, or 0 if it is missing or malformed.

    0 is the number of a router without a listing or configuration.
    """
    is_number = text.isascii() and text.isdigit()
    return int(text) if is_number and len(text) <= NUMBER_DIGITS_MAX else 0


def decode_delta(data: bytes) -> snapshots.Delta:
    """Returns the delta in a peer's response.

    Raises:
      errors.Unavailable: It is malformed.
    """
    try:
        return _decoder.decode(data)
    except errors.MALFORMED_DATA_ERRORS as error:
        raise errors.Unavailable(f"invalid listing: {error}") from error


class ListingClient:
    """HTTP client for the listings of peers."""

    def __init__(self) -> None:
        self._session = connections.make_session(
            timeout=aiohttp.ClientTimeout(
                total=TOTAL_TIMEOUT_S,
                sock_connect=IDLE_TIMEOUT_S,
                sock_read=IDLE_TIMEOUT_S,
            ),
        )

    async def close(self) -> None:
        """Closes the connections."""
        await self._session.close()

    async def fetch_delta(
        self, address: str, listing_request: ListingRequest
    ) -> snapshots.Delta:
        """Returns the changes in a peer's listing that this router lacks.

        Args:
          address: `HOST:PORT` of the peer.
          listing_request: State of this router.

        Raises:
          errors.Unavailable: The peer did not send a valid response in time.
        """
        query = {
            "source": listing_request.position.history_id,
            "number": str(listing_request.position.complete_to),
            "version": str(listing_request.version),
            AGE_PARAMETER: AGE_IN_HEADER,
        }
        url = f"http://{address}{LISTING_PATH}"
        try:
            async with self._session.get(url, params=query) as response:
                if response.status != _OK:
                    raise errors.Unavailable(
                        f"{address}: status {response.status}"
                    )
                body = await body_buffers.read(
                    response.content, LISTING_MAX_BYTES
                )
                delta = decode_delta(body)
                # Routers of earlier versions send the age in the body only.
                age_text = response.headers.get(AGE_HEADER)
        except (aiohttp.ClientError, OSError) as error:
            raise errors.Unavailable(f"{address}: {error!r}") from error
        if age_text is None:
            return delta
        return msgspec.structs.replace(delta, age_s=_parse_age_s(age_text))


def _parse_age_s(text: str) -> float:
    """Returns the age in a header.

    Raises:
      errors.Unavailable: It is not a number.
    """
    try:
        age_s = float(text)
    except ValueError as error:
        raise errors.Unavailable(f"invalid age {text!r}") from error
    if math.isnan(age_s):
        raise errors.Unavailable(f"invalid age {text!r}")
    return age_s
