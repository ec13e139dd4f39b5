"""Rare typed calls between routers: sync, configuration, hand-over."""

from __future__ import annotations

import time

import grpc
import msgspec

from agatedock import errors
from agatedock import gossip
from agatedock import holdings
from agatedock import home
from agatedock import members
from agatedock import view
from agatedock import wire
from agatedock.rpc import peer_pb2
from agatedock.rpc import peer_pb2_grpc

CALL_TIMEOUT_S = 2.0
MESSAGE_MAX_BYTES = 4 << 20
DIVERSIONS_MAX = 20_000
_OPTIONS = [
    ("grpc.max_receive_message_length", MESSAGE_MAX_BYTES),
    ("grpc.max_send_message_length", MESSAGE_MAX_BYTES),
    ("grpc.enable_http_proxy", 0),
]

_item_decoder = msgspec.msgpack.Decoder(wire.Item)


class Service(peer_pb2_grpc.PeerServicer):
    """Server side of the calls."""

    def __init__(
        self,
        talk: gossip.Gossip,
        in_force: view.View,
        own_home: home.Home,
        held: holdings.Holdings,
    ):
        self._gossip = talk
        self._view = in_force
        self._home = own_home
        self._holdings = held

    async def Sync(self, request, context):  # noqa: N802
        """Returns all members if the caller's table differs."""
        del context
        now = time.monotonic()
        try:
            own = _item_decoder.decode(request.own)
        except msgspec.MsgspecError:
            return peer_pb2.SyncReply()
        self._gossip.take(own, now)
        table = self._gossip.table
        if table.digest() == request.digest:
            return peer_pb2.SyncReply()
        items = [wire.encode_item(m.item) for m in table.members.values()]
        items += [
            wire.encode_item(m.state)
            for m in table.members.values()
            if m.state is not None
        ]
        return peer_pb2.SyncReply(items=items)

    async def FetchConfig(self, request, context):  # noqa: N802
        """Returns the configuration in force."""
        del context
        deltas = self._view.deltas_since(request.since_revision)
        if deltas is not None and not request.whole:
            return peer_pb2.FetchReply(deltas=deltas)
        return peer_pb2.FetchReply(
            document=self._view.document.model_dump_json().encode()
        )

    async def HandOver(self, request, context):  # noqa: N802
        """Takes over an engine from its former home."""
        del context
        diversions = {d.chat: d.engine for d in request.diversions}
        taken = self._holdings.take_over(
            request.engine, request.running, diversions, time.monotonic()
        )
        if taken is not None:
            self._home.pump(taken)
        return peer_pb2.HandOverReply(accepted=taken is not None)


async def start_server(service: Service, address: str) -> tuple:
    """Starts the server.

    Args:
      service: What answers the calls.
      address: `host:port`; port 0 lets the operating system choose.

    Returns:
      The server and its port.

    Raises:
      errors.UserError: The address cannot be bound.
    """
    server = grpc.aio.server(options=_OPTIONS)
    peer_pb2_grpc.add_PeerServicer_to_server(service, server)
    try:
        port = server.add_insecure_port(address)
    except RuntimeError as error:
        raise errors.UserError(f"cannot bind {address}: {error}") from None
    await server.start()
    return server, port


async def sync(
    target: wire.MemberItem, own: wire.MemberItem, table: members.Table
) -> list[wire.Item]:
    """Returns members and states that a peer knows and this router lacks.

    Raises:
      errors.Unavailable: No answer came.
    """
    request = peer_pb2.SyncRequest(
        own=wire.encode_item(own), digest=table.digest()
    )
    reply = await _call(target, "Sync", request)
    return [_item_decoder.decode(data) for data in reply.items]


async def fetch_config(
    target: wire.MemberItem, since_revision: int, whole: bool
) -> tuple[list[bytes], bytes]:
    """Returns the deltas or else the whole document in force at a peer.

    Raises:
      errors.Unavailable: No answer came.
    """
    request = peer_pb2.FetchRequest(since_revision=since_revision, whole=whole)
    reply = await _call(target, "FetchConfig", request)
    return list(reply.deltas), reply.document


async def hand_over(
    target: wire.MemberItem,
    sender: str,
    engine: str,
    running: int,
    diversions: dict[str, str],
) -> bool:
    """Hands an engine over to its new home; tells whether that took it.

    Raises:
      errors.Unavailable: No answer came.
    """
    request = peer_pb2.HandOverRequest(
        sender=sender,
        engine=engine,
        running=running,
        diversions=[
            peer_pb2.Diversion(chat=chat, engine=to)
            for chat, to in diversions.items()
        ],
    )
    return (await _call(target, "HandOver", request)).accepted


async def _call(target: wire.MemberItem, method: str, request):
    address = f"{target.host}:{target.rpc_port}"
    async with grpc.aio.insecure_channel(address, options=_OPTIONS) as channel:
        stub = peer_pb2_grpc.PeerStub(channel)
        try:
            return await getattr(stub, method)(request, timeout=CALL_TIMEOUT_S)
        except grpc.aio.AioRpcError as error:
            raise errors.Unavailable(
                f"{method} {address}: {error.code().name}"
            ) from None
