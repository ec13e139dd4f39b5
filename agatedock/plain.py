"""Requests to plain services, straight from the router they came to."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import dataclasses
import logging
import random
import time
from typing import Any

import aiohttp
from aiohttp import web
from returns import result

from agatedock import claims
from agatedock import clock
from agatedock import enginecall
from agatedock import errors
from agatedock import explain
from agatedock import fleet
from agatedock import health
from agatedock import intake
from agatedock import logs
from agatedock import platform
from agatedock import retry
from agatedock import settings
from agatedock import upstreams
from agatedock import view

TRIES_MAX = 3
RELEASE_TRIES = 150
CLAIM_RETRY_MS = 2000
NO_REPLICA_RETRY_MS = 1000
REPLAY_HEADER = "X-Idempotent-Replay"
_HOP_HEADERS = frozenset(
    {
        "connection",
        "content-length",
        "host",
        "keep-alive",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "expect",
        "accept-encoding",
        "x-request-id",
    }
)

_log = logging.getLogger(__name__)


@dataclasses.dataclass(frozen=True)
class Answer:
    """Whole answer of a replica."""

    status: int
    content_type: str
    body: bytes
    replica: str


@dataclasses.dataclass(frozen=True)
class Job:
    """A request to a plain service."""

    caller: intake.Caller
    service: fleet.Service
    method: str
    path: str
    query: str
    headers: dict[str, str]
    body: bytes

    @property
    def idempotent(self) -> bool:
        """Tells whether the request may be sent more than once."""
        return self.service.is_idempotent(self.method, self.path)


@dataclasses.dataclass
class _Replica:
    """What this router knows of a replica's load and health."""

    running: int = 0
    health: health.Health = dataclasses.field(default_factory=health.Health)


class PlainRoute:
    """Serves requests to plain services."""

    def __init__(
        self,
        config: settings.Settings,
        in_force: view.View,
        known: upstreams.View,
        kv: platform.KeyValue,
        records: explain.Records,
        budget: retry.Budget,
        client: aiohttp.ClientSession,
        single_use_client: aiohttp.ClientSession,
        note_leaving: Callable[[str, bool], None],
        seed: int,
    ):
        self._limits = config.limits
        self._view = in_force
        self._upstreams = known
        self._kv = kv
        self._records = records
        self._budget = budget
        self._client = client
        self._single_use_client = single_use_client
        self._note_leaving = note_leaving
        self._random = random.Random(seed)
        self._replicas: dict[str, _Replica] = {}
        self._tasks: set[asyncio.Future[Any]] = set()

    async def serve(
        self, request: web.Request, caller: intake.Caller, data: bytes
    ) -> web.Response:
        """Answers one request to a plain service.

        Raises:
          errors.Refusal: It was not served or its outcome is unknown.
        """
        job = self._make_job(request, caller, data)
        if job.idempotent:
            return _respond(job, await self._repeat(job))
        if caller.idempotency_key:
            # The claim outlives a caller that leaves: what was sent must be
            # recorded, so the work is not cancelled with the connection.
            return await self._finish_anyway(self._run_keyed(job))
        return _respond(job, await self._finish_anyway(self._send_once(job)))

    def _make_job(
        self, request: web.Request, caller: intake.Caller, data: bytes
    ) -> Job:
        name = request.match_info["service"]
        service = self._view.document.find_service(name)
        if service is None:
            raise errors.Refusal(
                errors.Code.UNKNOWN_SERVICE, f"no service {name!r}"
            )
        headers = {
            key: value
            for key, value in request.headers.items()
            if key.lower() not in _HOP_HEADERS
        }
        headers[intake.REQUEST_HEADER] = caller.request_id
        return Job(
            caller=caller,
            service=service,
            method=request.method,
            path="/" + request.match_info["path"],
            query=request.query_string,
            headers=headers,
            body=data,
        )

    async def _finish_anyway(self, work):
        task = asyncio.ensure_future(work)
        self._keep(task)
        return await asyncio.shield(task)

    def _keep(self, task: asyncio.Future) -> None:
        self._tasks.add(task)
        task.add_done_callback(self._drop)

    def _drop(self, task: asyncio.Future) -> None:
        self._tasks.discard(task)
        if not task.cancelled():
            # Reads the error, so that none is reported as unseen when the
            # caller has left.
            task.exception()

    def count_work(self) -> int:
        """Returns requests that must finish before this process may stop."""
        return len(self._tasks)

    # Keyed requests.

    async def _run_keyed(self, job: Job) -> web.Response:
        """Sends a request under a claim, or answers from the claim."""
        key = claims.name(
            job.service.name, job.caller.account, job.caller.idempotency_key
        )
        ttl_ms = self._setting("claim_ttl_ms", job)
        wanted = claims.digest_request(
            job.method, f"{job.path}?{job.query}", job.body
        )
        limit_ms = self._limits.service_timeout_ms
        limit_ms += self._limits.connect_timeout_ms * TRIES_MAX
        fresh = claims.create(wanted, clock.read_wall_ms() + limit_ms)
        try:
            taken = await claims.take(self._kv, key, fresh, ttl_ms)
        except errors.Unavailable:
            self._keep(
                asyncio.ensure_future(
                    claims.release_lost(
                        self._kv, key, fresh, ttl_ms, RELEASE_TRIES
                    )
                )
            )
            raise errors.Refusal(
                errors.Code.CLAIMS_UNAVAILABLE,
                "the key cannot be claimed now; nothing was sent",
                retry_after_ms=CLAIM_RETRY_MS,
            ) from None
        match taken:
            case result.Success(held):
                return await self._send_claimed(job, held, ttl_ms)
            case result.Failure(first):
                return self._answer_from(job, first, wanted)
        raise AssertionError(taken)

    async def _send_claimed(
        self, job: Job, held: claims.Held, ttl_ms: int
    ) -> web.Response:
        try:
            answer = await self._send_once(job)
        except errors.Refusal as refusal:
            if refusal.not_run:
                released = claims.release(held)
                await claims.record(self._kv, held, released, ttl_ms)
            raise
        done = claims.complete(
            held, answer.status, answer.content_type, answer.body
        )
        if not await claims.record(self._kv, held, done, ttl_ms):
            logs.event(
                _log,
                "claim_not_recorded",
                logging.ERROR,
                request_id=job.caller.request_id,
                account=job.caller.account,
            )
        return _respond(job, answer)

    def _answer_from(
        self, job: Job, first: claims.Claim, wanted: str
    ) -> web.Response:
        """Answers a repeat from the claim of the first request."""
        if first.request_digest != wanted:
            raise errors.Refusal(
                errors.Code.KEY_REUSED,
                "the idempotency key belongs to another request",
            )
        if first.state == claims.State.SENDING:
            raise self._refuse_unsettled(first)
        body = first.answer()
        if body is None:
            raise errors.Refusal(
                errors.Code.OUTCOME_UNKNOWN,
                f"ran with status {first.status}; its answer was too large "
                "to keep",
                not_run=False,
            )
        self._note(job, "replay", "claim", "answered from the claim")
        return web.Response(
            status=first.status,
            body=body,
            headers={
                "Content-Type": first.content_type,
                intake.REQUEST_HEADER: job.caller.request_id,
                REPLAY_HEADER: "true",
            },
        )

    def _refuse_unsettled(self, first: claims.Claim) -> errors.Refusal:
        left_ms = first.settled_by_ms - clock.read_wall_ms()
        if left_ms > 0:
            return errors.Refusal(
                errors.Code.IN_PROGRESS,
                "the first request with this key is still running",
                not_run=False,
                retry_after_ms=min(left_ms, CLAIM_RETRY_MS),
            )
        return errors.Refusal(
            errors.Code.OUTCOME_UNKNOWN,
            "the first request with this key was sent; what became of it "
            "is unknown and it is not sent again",
            not_run=False,
        )

    # Sending.

    async def _repeat(self, job: Job) -> Answer:
        """Sends an idempotent request, again if need be and budgeted."""
        self._budget.earn(self._setting("retry_ratio", job))
        return await self._try_replicas(
            job, self._client, lambda refusal: self._budget.spend()
        )

    async def _send_once(self, job: Job) -> Answer:
        """Sends a non-idempotent request at most once.

        Another replica is tried only if no byte reached the first one.
        """
        return await self._try_replicas(
            job, self._single_use_client, lambda refusal: refusal.not_run
        )

    async def _try_replicas(
        self,
        job: Job,
        client: aiohttp.ClientSession,
        may_repeat: Callable[[errors.Refusal], bool],
    ) -> Answer:
        """Sends a request to one replica after the other until one answers.

        Raises:
          errors.Refusal: No replica is left, or the request may not be sent
            again; not run only if that holds for every replica tried.
        """
        tried: list[str] = []
        not_run = True
        while True:
            try:
                chosen = self._choose(job, tried)
            except errors.Refusal as refusal:
                refusal.not_run = not_run
                raise
            tried.append(chosen.name)
            try:
                return await self._try(job, chosen, client)
            except errors.Refusal as refusal:
                not_run = not_run and refusal.not_run
                refusal.not_run = not_run
                if len(tried) >= TRIES_MAX or not may_repeat(refusal):
                    raise
                self._note(job, "next", chosen.name, str(refusal))

    async def _try(
        self,
        job: Job,
        chosen: upstreams.Upstream,
        client: aiohttp.ClientSession,
    ) -> Answer:
        """Sends a request to one replica and learns from the outcome."""
        replica = self._state(chosen)
        replica.running += 1
        try:
            answer = await self._send(job, chosen, client)
        except errors.Refusal:
            replica.health.take_result(False, time.monotonic())
            raise
        finally:
            replica.running -= 1
        replica.health.take_result(True, time.monotonic())
        self._note(job, "send", chosen.name, f"status {answer.status}")
        return answer

    def _choose(self, job: Job, tried: list[str]) -> upstreams.Upstream:
        """Returns the less loaded of two replicas drawn at random."""
        now = time.monotonic()
        slots = self._setting("service_slots", job)
        live = [
            u
            for u in self._upstreams.list_live(job.service.name, now)
            if u.name not in tried
        ]
        # If every replica is ejected, trying beats refusing.
        healthy = [u for u in live if self._state(u).health.is_good(now)]
        room = [u for u in healthy or live if self._state(u).running < slots]
        if live and not room:
            raise errors.Refusal(
                errors.Code.OVERLOADED,
                "all replicas are full",
                retry_after_ms=NO_REPLICA_RETRY_MS,
            )
        if not room:
            raise errors.Refusal(
                errors.Code.NO_UPSTREAM,
                f"no replica of {job.service.name!r} is left to try",
                retry_after_ms=NO_REPLICA_RETRY_MS,
            )
        drawn = self._random.sample(room, min(2, len(room)))
        return min(drawn, key=lambda u: self._state(u).running)

    def _state(self, upstream: upstreams.Upstream) -> _Replica:
        return self._replicas.setdefault(upstream.name, _Replica())

    async def _send(
        self,
        job: Job,
        chosen: upstreams.Upstream,
        client: aiohttp.ClientSession,
    ) -> Answer:
        query = f"?{job.query}" if job.query else ""
        timeout = aiohttp.ClientTimeout(
            total=self._limits.service_timeout_ms / 1000,
            sock_connect=self._limits.connect_timeout_ms / 1000,
        )
        try:
            async with client.request(
                job.method,
                f"{chosen.url}{job.path}{query}",
                data=job.body,
                headers=job.headers,
                timeout=timeout,
                allow_redirects=False,
            ) as response:
                self._check_answer(job, chosen, response)
                return Answer(
                    response.status,
                    response.headers.get("Content-Type", "text/plain"),
                    await response.read(),
                    chosen.name,
                )
        except (
            aiohttp.ClientConnectorError,
            aiohttp.ConnectionTimeoutError,
        ) as error:
            raise errors.Refusal(
                errors.Code.NO_UPSTREAM,
                f"{chosen.name}: no connection: {error}",
                retry_after_ms=NO_REPLICA_RETRY_MS,
            ) from None
        except (aiohttp.ClientError, TimeoutError, ConnectionError) as error:
            raise errors.Refusal(
                errors.Code.OUTCOME_UNKNOWN,
                f"{chosen.name}: sent, but no whole answer came: {error!r}",
                not_run=False,
            ) from None

    def _check_answer(
        self,
        job: Job,
        chosen: upstreams.Upstream,
        response: aiohttp.ClientResponse,
    ) -> None:
        """Refuses answers to other requests and notes leaving replicas."""
        if (
            response.status == 503
            and enginecall.DRAINING_HEADER in response.headers
        ):
            self._note_leaving(chosen.name, True)
            raise errors.Refusal(
                errors.Code.NO_UPSTREAM,
                f"{chosen.name} is leaving and took nothing",
                retry_after_ms=NO_REPLICA_RETRY_MS,
            )
        echoed = response.headers.get(intake.REQUEST_HEADER)
        if echoed is not None and echoed != job.caller.request_id:
            raise errors.Refusal(
                errors.Code.OUTCOME_UNKNOWN,
                f"{chosen.name} answered another request",
                not_run=False,
            )

    def _setting(self, key: str, job: Job):
        return self._view.resolver.get(
            key, account=job.caller.account, service=job.service.name
        )

    def _note(self, job: Job, what: str, where: str, why: str) -> None:
        self._records.add(job.caller.request_id, what, where, why)


def _respond(job: Job, answer: Answer) -> web.Response:
    return web.Response(
        status=answer.status,
        body=answer.body,
        headers={
            "Content-Type": answer.content_type,
            intake.REQUEST_HEADER: job.caller.request_id,
            "X-Served-By": answer.replica,
        },
    )
