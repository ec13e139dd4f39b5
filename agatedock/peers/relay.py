"""Requests and sends deltas of the listing between routers over HTTP."""

from __future__ import annotations

import dataclasses
import zlib

import aiohttp
from aiohttp import web
import msgspec

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

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(snapshots.Delta)


@dataclasses.dataclass(frozen=True, slots=True)
class ListingRequest:
    """State of the requesting router, sent as the query of the URL.

    Attributes:
      position: Position of its listing.
      revision: Revision of its applied configuration.
    """

    position: snapshots.Position
    revision: int


def make_response(
    listing: snapshots.Listing,
    configuration: snapshots.Item | None,
    raw: web.BaseRequest,
    now: float,
) -> web.Response:
    """Returns a response with the delta that the requesting peer lacks.

    Args:
      listing: This router's listing.
      configuration: The configuration applied here, which may be newer than
        the listing; None if there is none.
      raw: The peer's HTTP request.
      now: Present time in seconds.
    """
    listing_request = _parse_request(raw)
    delta = listing.make_delta(listing_request.position, now)
    if (
        configuration is not None
        and configuration.revision > listing_request.revision
    ):
        delta = msgspec.structs.replace(delta, configuration=configuration)
    body = _encoder.encode(delta)
    if len(body) < COMPRESS_MIN_BYTES:
        return web.Response(body=body)
    # The HTTP client of the requesting router decompresses it.
    return web.Response(
        body=zlib.compress(body, COMPRESS_LEVEL),
        headers={"Content-Encoding": "deflate"},
    )


def _parse_request(raw: web.BaseRequest) -> ListingRequest:
    position = snapshots.Position(
        raw.query.get("source", ""), _parse_number(raw, "number")
    )
    return ListingRequest(position, _parse_number(raw, "revision"))


def _parse_number(raw: web.BaseRequest, name: str) -> int:
    """Returns a number of the query, or 0 if it is missing or malformed.

    0 is the number of a router without a listing or configuration.
    """
    text = raw.query.get(name, "")
    return int(text) if text.isascii() and text.isdigit() else 0


class ListingClient:
    """HTTP client for the listings of peers."""

    def __init__(self) -> None:
        self._session = aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(
                total=TOTAL_TIMEOUT_S,
                sock_connect=IDLE_TIMEOUT_S,
                sock_read=IDLE_TIMEOUT_S,
            ),
            cookie_jar=aiohttp.DummyCookieJar(),
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
            "revision": str(listing_request.revision),
        }
        url = f"http://{address}{LISTING_PATH}"
        try:
            async with self._session.get(url, params=query) as response:
                body = await response.read()
                return _decoder.decode(body)
        except (aiohttp.ClientError, OSError, msgspec.MsgspecError) as error:
            raise errors.Unavailable(f"{address}: {error!r}") from error
