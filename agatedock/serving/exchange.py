"""The path of one request: route, place, send, pass the answer on."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
from typing import Protocol

import aiohttp
import multidict

from agatedock.decisions import admission
from agatedock.decisions import placement
from agatedock.decisions import retries
from agatedock.domain import configuration
from agatedock.domain import requests
from agatedock.serving import declines
from agatedock.serving import dialect
from agatedock.serving import events
from agatedock.serving import journal
from agatedock.serving import sender
from agatedock.serving import state

# Time to come back when only another attempt is lacking.
RETRY_SOON_S = 0.3
# How long a request waits for the first configuration of a router that has just
# started, which mostly comes within 50 ms.
START_WAIT_S = 0.6
# First answer later than this multiple of the target: another replica is asked
# if the request may run twice.
HEAD_TARGETS = 2.5
HEAD_MIN_S = 0.8
# A resumable stream without bytes for this long continues elsewhere.
STREAM_SILENCE_S = 1.6
# Largest answer of a plain route that is held until it is complete.
ANSWER_MAX_BYTES = 8 * 1024 * 1024


class Client(Protocol):
    """The client's side of one request."""

    async def read_body(self, limit_bytes: int, timeout_s: float) -> bytes:
        """Returns the whole body.

        Raises:
          declines.Declined: The body is too large or too late.
        """

    async def answer(
        self, status: int, headers: list[tuple[str, str]], body: bytes
    ) -> None:
        """Sends a whole answer."""

    async def begin(self, status: int, headers: list[tuple[str, str]]) -> None:
        """Sends the head of a stream."""

    async def write(self, data: bytes) -> None:
        """Sends a piece of a stream."""

    async def finish(self) -> None:
        """Ends a stream as complete."""

    def abort(self) -> None:
        """Closes the connection so that the stream looks incomplete."""


@dataclasses.dataclass
class _Failure:
    """The latest send that brought no usable answer.

    Attributes:
      reply: A replica's own failure, to be passed on if nothing better comes.
    """

    outcome: retries.Outcome
    reply: tuple[int, list[tuple[str, str]], bytes] | None = None


class Exchange:
    """One request of a client, from its head to its final answer.

    Attributes:
      entry: What the log will say of it.
    """

    def __init__(
        self, shared: state.Shared, request: requests.Request, client: Client
    ) -> None:
        self._shared = shared
        self._request = request
        self._client = client
        self.entry = journal.Entry(request.request_id)
        self._tried: set[str] = set()
        # Sends that a replica may have taken up; connections that failed do
        # not count.
        self._sends = 0
        self._may_have_run = False
        self._streaming = False
        self._last_event_id = request.last_event_id

    async def run(self) -> None:
        """Answers the request."""
        try:
            await self._wait_for_configuration()
            route, account = self._authorize()
            left_s = self._left_s(route)
            async with asyncio.timeout(max(0.0, left_s)):
                await self._serve(route, account)
        except declines.Declined as declined:
            await self._decline(declined)
        except TimeoutError:
            await self._decline(
                declines.Declined(
                    declines.Reason.TIMEOUT, retry_after_s=RETRY_SOON_S
                )
            )

    async def _wait_for_configuration(self) -> None:
        """Waits a moment in a router that has just started."""
        configured = self._shared.configured
        if configured.is_set():
            return
        try:
            async with asyncio.timeout(START_WAIT_S):
                await configured.wait()
        except TimeoutError:
            # It is refused below, with a time to come back.
            return

    async def refuse_stopping(self) -> None:
        """Refuses the request because the process is about to end."""
        await self._decline(
            declines.Declined(
                declines.Reason.STOPPING, retry_after_s=RETRY_SOON_S
            )
        )

    def _authorize(
        self,
    ) -> tuple[configuration.Route, configuration.Account | None]:
        view = self._shared.configurations
        document = view.current
        now = self._shared.now()
        if document is None:
            raise declines.Declined(
                declines.Reason.NO_CONFIGURATION, retry_after_s=1.0
            )
        self.entry.revision = view.revision
        self.entry.proof_age_s = view.age_s(now)
        route = document.find_route(self._request.host, self._request.path)
        if route is None:
            self._require_proof(now)
            raise declines.Declined(declines.Reason.NO_ROUTE)
        self.entry.route = route.name
        if document.accounts is None or route.public:
            return route, None
        self._require_proof(now)
        account = document.accounts.get(self._request.key)
        if account is None:
            raise declines.Declined(declines.Reason.UNKNOWN_KEY)
        self.entry.account = account.name
        return route, account

    def _require_proof(self, now: float) -> None:
        """Refuses if the configuration may have been replaced too long ago."""
        age_s = self._shared.configurations.age_s(now)
        if age_s > self._shared.terms.proof_max_s:
            raise declines.Declined(
                declines.Reason.STALE_CONFIGURATION, retry_after_s=1.0
            )

    def _left_s(self, route: configuration.Route) -> float:
        patience_s = self._request.patience_s
        limit_s = route.timeout_s
        if patience_s is not None:
            limit_s = min(limit_s, patience_s)
        return limit_s - (self._shared.now() - self._request.arrived_at)

    async def _serve(
        self,
        route: configuration.Route,
        account: configuration.Account | None,
    ) -> None:
        document = self._shared.configurations.current
        assert document is not None
        body = await self._client.read_body(
            document.limits.body_bytes, document.limits.idle_timeout_s
        )
        failure: _Failure | None = None
        while True:
            # The key may have been taken away while the body came in or a
            # replica failed.
            if account is not None:
                route, account = self._authorize()
            place = self._place(route, failure)
            failure = await self._send(route, account, place, body)
            if failure is None:
                return
            self.entry.failures.append(
                f"{place.replica.replica_id}:{failure.outcome}"
            )
            if not retries.may_repeat(route.is_idempotent, failure.outcome):
                break
            if not self._may_send_again(route, failure):
                break
        await self._give_up(failure)

    def _place(
        self, route: configuration.Route, failure: _Failure | None
    ) -> placement.Placement:
        """Returns where to send the request next.

        Raises:
          declines.Declined: There is no replica, or none has room in time.
        """
        now = self._shared.now()
        service = self._shared.choose_service(route, self._request)
        self.entry.service = service
        place = placement.choose(
            self._request,
            self._shared.directory.list_usable(service),
            frozenset(self._tried),
            self._shared.view,
            now,
        )
        if place is None:
            if failure is not None and failure.reply is not None:
                raise _PassOn(failure.reply)
            raise declines.Declined(
                declines.Reason.NO_REPLICA,
                retry_after_s=admission.NO_REPLICA_RETRY_S,
            )
        verdict = admission.decide(
            place.running,
            place.replica.slots,
            self._shared.durations.mean_s(service),
            route.target_s,
            self._left_s(route),
        )
        if not verdict.admitted:
            raise declines.Declined(
                declines.Reason.OVERLOADED,
                retry_after_s=verdict.retry_after_s,
            )
        return place

    def _may_send_again(
        self, route: configuration.Route, failure: _Failure
    ) -> bool:
        now = self._shared.now()
        if failure.outcome is retries.Outcome.NOT_SENT:
            return True
        if self._sends >= route.replicas_max:
            return False
        return self._shared.budget.spend(
            self.entry.service, self._shared.count_routers(), now
        )

    async def _give_up(self, failure: _Failure) -> None:
        if self._streaming:
            self.entry.outcome = "broken_off"
            self._client.abort()
            return
        if failure.reply is not None:
            raise _PassOn(failure.reply)
        reason = (
            declines.Reason.OUTCOME_UNKNOWN
            if self._may_have_run
            else declines.Reason.REPLICAS_FULL
        )
        raise declines.Declined(reason, retry_after_s=RETRY_SOON_S)

    async def _send(
        self,
        route: configuration.Route,
        account: configuration.Account | None,
        place: placement.Placement,
        body: bytes,
    ) -> _Failure | None:
        """Sends the request once; returns None if it was answered."""
        replica = place.replica
        shared = self._shared
        self._tried.add(replica.replica_id)
        self.entry.take_place(place)
        now = shared.now()
        headers = shared.dialect.write_headers(
            dialect.Sending(
                request=self._request,
                place=place,
                account=account.name if account else "",
                rank=_rank_of(route, account),
                left_s=self._left_s(route),
                last_event_id=self._last_event_id,
            )
        )
        if not self._sends:
            shared.budget.count_first(replica.service, now)
        shared.take_reading(self._request, replica, now)
        shared.loads.begin(replica.replica_id)
        try:
            return await self._ask(route, place, headers, body)
        finally:
            shared.loads.end(replica.replica_id)
            shared.durations.take(replica.service, shared.now() - now)

    async def _ask(
        self,
        route: configuration.Route,
        place: placement.Placement,
        headers: multidict.CIMultiDict[str],
        body: bytes,
    ) -> _Failure | None:
        replica_id = place.replica.replica_id
        conditions = self._shared.conditions
        may_have_run_before = self._may_have_run
        self._sends += 1
        # From here to a statement of the replica the request may run.
        self._may_have_run = True
        try:
            reply = await self._shared.sender.send(
                place.replica.address,
                self._request.method,
                self._request.target,
                headers,
                body,
                fresh=not route.is_idempotent,
                head_timeout_s=self._head_timeout_s(route),
            )
        except sender.SendError as error:
            self._note_broken(replica_id)
            if error.outcome is retries.Outcome.NOT_SENT:
                self._sends -= 1
                self._may_have_run = may_have_run_before
            return _Failure(error.outcome)
        # What was not read to its end must not be used again.
        with contextlib.closing(reply):
            kind = self._shared.dialect.classify(
                self._request, reply.status, reply.headers
            )
            now = self._shared.now()
            conditions.take_heard(replica_id, now)
            if kind in (dialect.ReplyKind.NOT_RUN, dialect.ReplyKind.MOVED):
                self._may_have_run = may_have_run_before
                return await self._take_not_run(replica_id, kind, reply)
            if kind is dialect.ReplyKind.INVALID:
                conditions.take_result(replica_id, False, now)
                return _Failure(retries.Outcome.BROKEN)
            streams = route.kind is configuration.RouteKind.STREAM
            if kind is dialect.ReplyKind.GOOD and streams:
                return await self._pass_stream(route, replica_id, reply)
            return await self._pass_whole(replica_id, kind, reply)

    def _head_timeout_s(self, route: configuration.Route) -> float | None:
        if not route.is_idempotent or self._sends >= route.replicas_max:
            return None
        return max(HEAD_MIN_S, HEAD_TARGETS * route.target_s)

    async def _take_not_run(
        self,
        replica_id: str,
        kind: dialect.ReplyKind,
        reply: aiohttp.ClientResponse,
    ) -> _Failure:
        if kind is dialect.ReplyKind.MOVED:
            # The address has a new holder; the listing will say so.
            self._note_broken(replica_id)
            return _Failure(retries.Outcome.MOVED)
        self._shared.conditions.take_result(
            replica_id, False, self._shared.now()
        )
        try:
            # Read to its end, the connection can be used again.
            await reply.read()
        except aiohttp.ClientError:
            reply.close()
        return _Failure(retries.Outcome.NOT_RUN)

    async def _pass_whole(
        self,
        replica_id: str,
        kind: dialect.ReplyKind,
        reply: aiohttp.ClientResponse,
    ) -> _Failure | None:
        """Reads a whole answer and passes it on if it is a success."""
        conditions = self._shared.conditions
        try:
            body = await _read_limited(reply)
        except (aiohttp.ClientError, OSError):
            self._note_broken(replica_id)
            return _Failure(retries.Outcome.BROKEN)
        good = kind is dialect.ReplyKind.GOOD
        conditions.take_result(replica_id, good, self._shared.now())
        headers = self._shared.dialect.list_reply_headers(reply.headers)
        if good:
            self.entry.outcome = "answered"
            self.entry.status = reply.status
            await self._client.answer(reply.status, headers, body)
            return None
        if kind is dialect.ReplyKind.AMBIGUOUS or self._streaming:
            return _Failure(retries.Outcome.FAILED)
        return _Failure(retries.Outcome.FAILED, (reply.status, headers, body))

    async def _pass_stream(
        self,
        route: configuration.Route,
        replica_id: str,
        reply: aiohttp.ClientResponse,
    ) -> _Failure | None:
        """Passes events on as they arrive; returns None at their end."""
        if not self._streaming:
            self._streaming = True
            self.entry.status = reply.status
            headers = self._shared.dialect.list_reply_headers(reply.headers)
            await self._client.begin(reply.status, headers)
        splitter = events.Splitter()
        silence_s = STREAM_SILENCE_S if route.resumable else None
        while True:
            try:
                async with asyncio.timeout(silence_s):
                    chunk = await reply.content.readany()
            except TimeoutError:
                self._note_broken(replica_id)
                return _Failure(retries.Outcome.SILENT)
            except (aiohttp.ClientError, OSError):
                self._note_broken(replica_id)
                return _Failure(retries.Outcome.BROKEN)
            if not chunk:
                break
            batch = splitter.feed(chunk)
            if batch.data:
                self.entry.take_event(self._shared.now())
                self._last_event_id = batch.last_id or self._last_event_id
                await self._client.write(batch.data)
        if not splitter.is_clean:
            self._note_broken(replica_id)
            return _Failure(retries.Outcome.BROKEN)
        self._shared.conditions.take_result(
            replica_id, True, self._shared.now()
        )
        self.entry.outcome = "answered"
        await self._client.finish()
        return None

    def _note_broken(self, replica_id: str) -> None:
        self._shared.conditions.take_unreachable(replica_id, self._shared.now())

    async def _decline(self, declined: declines.Declined) -> None:
        if self._streaming:
            self.entry.outcome = f"broken_off:{declined.reason}"
            self._client.abort()
            return
        if isinstance(declined, _PassOn):
            status, headers, body = declined.reply
            self.entry.outcome = "replica_failed"
            self.entry.status = status
            await self._client.answer(status, headers, body)
            return
        # An earlier send may have run although this refusal is about the next.
        declined.not_run = declined.not_run and not self._may_have_run
        self.entry.outcome = str(declined.reason)
        self.entry.status = declined.status
        headers = []
        if declined.not_run and declined.retry_after_s is not None:
            headers.append(("Retry-After", f"{declined.retry_after_s:.2f}"))
        await self._client.answer(
            declined.status, headers, f"{declined.reason}\n".encode()
        )


class _PassOn(declines.Declined):
    """A replica's own failure is the best answer there is."""

    def __init__(self, reply: tuple[int, list[tuple[str, str]], bytes]):
        super().__init__(declines.Reason.OUTCOME_UNKNOWN, not_run=False)
        self.reply = reply


async def _read_limited(reply: aiohttp.ClientResponse) -> bytes:
    pieces: list[bytes] = []
    size = 0
    async for piece in reply.content.iter_any():
        pieces.append(piece)
        size += len(piece)
        if size > ANSWER_MAX_BYTES:
            raise aiohttp.ClientPayloadError("answer too large")
    return b"".join(pieces)


def _rank_of(
    route: configuration.Route, account: configuration.Account | None
) -> int:
    if account is not None and account.rank is not None:
        return account.rank
    return route.rank
