"""Passes listings of the store from the routers that read it to the others."""

from __future__ import annotations

import dataclasses
import zlib

import aiohttp
from aiohttp import web
import msgspec

from agatedock import errors
from agatedock.peers import snapshots

LISTING_PATH = "/listing"
# A configuration of 100 KB for each of 15 peers would fill a slow link.
COMPRESS_MIN_BYTES = 1000
COMPRESS_LEVEL = 1
# A peer of which nothing comes for this long is passed over.
IDLE_TIMEOUT_S = 0.5
# A whole listing over a slow link takes longer than that.
TOTAL_TIMEOUT_S = 2.0

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(snapshots.Delta)


@dataclasses.dataclass(frozen=True, slots=True)
class ListingRequest:
    """What the asking router has.

    Attributes:
      position: Of its listing.
      revision: Of its configuration.
    """

    position: snapshots.Position
    revision: int


def make_response(
    listing: snapshots.Listing,
    configuration: snapshots.Item | None,
    raw: web.BaseRequest,
    now: float,
) -> web.Response:
    """Returns what the asking peer lacks.

    Args:
      listing: This router's.
      configuration: The one in force here, which may be newer than the listing.
      raw: The question.
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
    # The client's library undoes it.
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
    """Returns a number of the query; 0, as of one that has nothing, if none."""
    text = raw.query.get(name, "")
    return int(text) if text.isascii() and text.isdigit() else 0


class ListingClient:
    """Asks peers for the listing that they have."""

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
        """Returns what a peer has and this router lacks.

        Raises:
          errors.Unavailable: No usable answer came.
        """
        query = {
            "source": listing_request.position.history_id,
            "number": str(listing_request.position.complete_to),
            "revision": str(listing_request.revision),
        }
        url = f"http://{address}{LISTING_PATH}"
        try:
            async with self._session.get(url, params=query) as reply:
                body = await reply.read()
                return _decoder.decode(body)
        except (aiohttp.ClientError, OSError, msgspec.MsgspecError) as error:
            raise errors.Unavailable(f"{address}: {error!r}") from error
