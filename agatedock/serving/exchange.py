"""The path of one request: route, place, send, pass the answer on."""

from __future__ import annotations

import asyncio
import contextlib

import aiohttp

from agatedock.decisions import admission
from agatedock.decisions import placement
from agatedock.decisions import retries
from agatedock.decisions import shares
from agatedock.domain import configuration
from agatedock.domain import requests
from agatedock.serving import client as clients
from agatedock.serving import declines
from agatedock.serving import delivery
from agatedock.serving import dialect
from agatedock.serving import journal
from agatedock.serving import placing
from agatedock.serving import sender
from agatedock.serving import state
from agatedock.views import occupancy

# Time to come back when only another attempt is lacking.
RETRY_SOON_S = 0.3
# Time to come back when the configuration is lacking or too old.
RETRY_CONFIGURATION_S = 1.0
# How long a request waits for the first configuration of a router that has just
# started, which mostly comes within 50 ms.
START_WAIT_S = 0.6
# First answer later than this multiple of the target: another replica is asked
# if the request may run twice.
HEAD_TARGETS = 2.5
HEAD_MIN_S = 0.8
# Sends of one stream, all replicas together, before it is given up.
STREAM_SENDS_MAX = 6


class Exchange:
    """One request of a client, from its head to its final answer.

    Attributes:
      entry: What the log will say of it.
      declined: Why it was not served; None while or if it was.
    """

    def __init__(
        self,
        shared: state.Shared,
        request: requests.Request,
        client: clients.Client,
    ) -> None:
        self._shared = shared
        self._request = request
        self._client = client
        self.entry = journal.Entry(request.request_id)
        self.declined: declines.Declined | None = None
        self._delivery = delivery.Delivery(shared, request, client, self.entry)
        self._tried: set[str] = set()
        # Replicas that may have taken the request up, and sends to them;
        # connections that failed do not count.
        self._reached: set[str] = set()
        self._sends = 0
        self._may_have_run = False
        # The head of the last send's answer has come.
        self._answered = False

    async def run(self) -> None:
        """Answers the request."""
        try:
            await self._wait_for_configuration()
            route, account = self._authorize()
            left_s = self._left_s(route)
            async with asyncio.timeout(max(0.0, left_s)):
                await self._serve(route, account)
        except declines.Declined as declined:
            await self.decline(declined)
        except TimeoutError:
            await self.decline(
                declines.Declined(
                    declines.Reason.TIMEOUT, retry_after_s=RETRY_SOON_S
                )
            )

    async def refuse_stopping(self) -> None:
        """Refuses the request because the process is about to end."""
        await self.decline(
            declines.Declined(
                declines.Reason.STOPPING, retry_after_s=RETRY_SOON_S
            )
        )

    async def decline(self, declined: declines.Declined) -> None:
        """Answers that the request was not served."""
        # An earlier send may have run although this refusal is about the next.
        declined.not_run = declined.not_run and not self._may_have_run
        self.declined = declined
        if self._delivery.streaming:
            self.entry.outcome = f"broken_off:{declined.reason}"
            await self._client.break_off(declined)
            return
        if isinstance(declined, _PassOn):
            self.entry.outcome = "replica_failed"
            reply = declined.reply
        else:
            self.entry.outcome = str(declined.reason)
            reply = self._shared.dialect.describe(self._request, declined)
        self.entry.status = reply.status
        await self._client.answer(reply.status, reply.headers, reply.body)

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

    @property
    def _document(self) -> configuration.Configuration:
        """Returns the configuration in force, once the request has a route."""
        document = self._shared.configurations.current
        assert document is not None
        return document

    def _authorize(
        self,
    ) -> tuple[configuration.Route, configuration.Account]:
        """Returns the route of the request and who sends it.

        Raises:
          declines.Declined: There is no route, or the key is unknown.
        """
        view = self._shared.configurations
        document = view.current
        now = self._shared.now()
        if document is None:
            raise declines.Declined(
                declines.Reason.NO_CONFIGURATION,
                retry_after_s=RETRY_CONFIGURATION_S,
            )
        self.entry.revision = view.revision
        self.entry.proof_age_s = view.age_s(now)
        route = document.find_route(self._request)
        if route is None:
            self._require_proof(now)
            raise declines.Declined(declines.Reason.NO_ROUTE)
        self.entry.route = route.name
        if not document.requires_account(route):
            return route, configuration.ANONYMOUS
        self._require_proof(now)
        account = document.find_account(self._request.account_key)
        if account is None:
            raise declines.Declined(declines.Reason.UNKNOWN_KEY)
        self.entry.account = account.name
        return route, account

    def _require_proof(self, now: float) -> None:
        """Refuses if the configuration may have been replaced too long ago."""
        age_s = self._shared.configurations.age_s(now)
        if age_s > self._shared.terms.proof_max_s:
            raise declines.Declined(
                declines.Reason.STALE_CONFIGURATION,
                retry_after_s=RETRY_CONFIGURATION_S,
            )

    def _left_s(self, route: configuration.Route) -> float:
        patience_s = self._request.client_timeout_s
        limit_s = route.timeout_s
        if patience_s is not None:
            limit_s = min(limit_s, patience_s)
        return limit_s - (self._shared.now() - self._request.arrived_at)

    async def _serve(
        self, route: configuration.Route, account: configuration.Account
    ) -> None:
        limits = self._document.limits
        body = await self._client.read_body(
            limits.body_bytes, limits.idle_timeout_s
        )
        failure: delivery.Failure | None = None
        while True:
            # The key may have been taken away while the body came in or a
            # replica failed.
            if account is not configuration.ANONYMOUS:
                route, account = self._authorize()
            flow, place = await self._place(route, account, failure)
            failure = await self._send(route, flow, place, body)
            if failure is None:
                return
            self.entry.failures.append(
                f"{place.replica.replica_id}:{failure.outcome}"
            )
            if not retries.may_retry(route.is_idempotent, failure.outcome):
                break
            if not self._may_send_again(route, failure):
                break
        self._give_up(failure)

    async def _place(
        self,
        route: configuration.Route,
        account: configuration.Account,
        failure: delivery.Failure | None,
    ) -> tuple[occupancy.Flow, placement.Placement]:
        """Returns on whose behalf the request runs, and where it goes next.

        It is counted there until it is released.

        Raises:
          declines.Declined: There is no replica, or none has room in time.
        """
        shared = self._shared
        now = shared.now()
        service = shared.choose_service(route, self._request)
        self.entry.service = service
        rank = route.rank if account.rank is None else account.rank
        flow = occupancy.Flow(service, rank, account.name, account.weight)
        shared.occupancy.record_demand(flow, now)
        place = await self._choose_replica(route, service, now)
        if place is None:
            if failure is not None and failure.reply is not None:
                raise _PassOn(failure.reply)
            raise declines.Declined(
                declines.Reason.NO_UPSTREAM,
                f"no replica of {service} is left to try",
                retry_after_s=admission.NO_REPLICA_RETRY_AFTER_S,
            )
        # An answer that has begun goes on before others begin.
        if not self._delivery.streaming:
            try:
                self._require_room(route, flow, place, shared.now())
            except declines.Declined:
                shared.counts.release(place.replica.replica_id)
                raise
        return flow, place

    async def _choose_replica(
        self, route: configuration.Route, service: str, now: float
    ) -> placement.Placement | None:
        shared = self._shared
        described = self._document.services.get(service)
        if described is None:
            return None
        usable = shared.directory.list_usable(service)
        tried = frozenset(self._tried)
        # A replica that failed a request, or whose connection broke, may well
        # serve it at the second time.
        again = frozenset(
            item.replica_id
            for item in usable
            if item.replica_id in self._reached
        )
        reached_all = len(self._reached) >= route.replicas_max
        untried = any(item.replica_id not in tried for item in usable)
        if route.is_idempotent and again and (reached_all or not untried):
            tried = frozenset()
        else:
            again = frozenset()
        task = placement.Task(self._request, described, usable, tried, again)
        placer = placing.Placer(shared.view, shared.counts)
        return await placer.place(task, now)

    def _require_room(
        self,
        route: configuration.Route,
        flow: occupancy.Flow,
        place: placement.Placement,
        now: float,
    ) -> None:
        """Refuses a request that would wait too long or displace others."""
        if not admission.is_full(place.running, place.replica.slots):
            return
        shared = self._shared
        # Replicas take prompts by rank, all other requests in their order.
        ahead = 1.0
        if self._request.prompt:
            ahead = shared.occupancy.fraction_ahead(flow.service, flow.rank)
        queue = admission.QueueState(
            running=place.running,
            slots=place.replica.slots,
            # Until one was served, as long as an answer in time may take.
            duration_s=shared.durations.mean_s(flow.service)
            or route.target_latency_s,
            target_latency_s=route.target_latency_s,
            remaining_s=self._left_s(route),
            fraction_ahead=ahead,
            exceeds_share=shares.exceeds_share(
                shared.occupancy,
                flow,
                self._document.floors,
                shared.find_capacity(flow.service),
                now,
            ),
        )
        decision = admission.decide(queue)
        if not decision.admitted:
            reason = declines.Reason.OVERLOADED
            if queue.exceeds_share:
                reason = declines.Reason.OVER_SHARE
            raise declines.Declined(
                reason,
                f"{place.running} requests at {place.replica.replica_id}, "
                f"which runs {place.replica.slots}",
                retry_after_s=decision.retry_after_s,
            )

    def _may_send_again(
        self, route: configuration.Route, failure: delivery.Failure
    ) -> bool:
        now = self._shared.now()
        sent_before = self.entry.replica in self._reached
        if failure.outcome is retries.Outcome.NOT_SENT and not sent_before:
            return True
        sends_max = route.replicas_max
        if self._delivery.streaming:
            sends_max = STREAM_SENDS_MAX
        if self._sends >= sends_max:
            return False
        return self._shared.budget.try_spend(
            self.entry.service, self._shared.count_routers(), now
        )

    def _give_up(self, failure: delivery.Failure) -> None:
        """Ends the request after its last send.

        Raises:
          declines.Declined: Always.
        """
        if self._delivery.streaming:
            raise declines.Declined(
                declines.Reason.INTERRUPTED,
                f"the answer broke off: {', '.join(self.entry.failures)}",
                not_run=False,
            )
        if failure.reply is not None:
            raise _PassOn(failure.reply)
        reason = (
            declines.Reason.OUTCOME_UNKNOWN
            if self._may_have_run
            else declines.Reason.REPLICAS_FULL
        )
        raise declines.Declined(
            reason,
            ", ".join(self.entry.failures),
            retry_after_s=RETRY_SOON_S,
        )

    async def _send(
        self,
        route: configuration.Route,
        flow: occupancy.Flow,
        place: placement.Placement,
        body: bytes,
    ) -> delivery.Failure | None:
        """Sends the request once; returns None if it was answered."""
        replica = place.replica
        shared = self._shared
        self._tried.add(replica.replica_id)
        self.entry.take_place(place)
        now = shared.now()
        sending = dialect.Sending(
            request=self._request,
            place=place,
            account=flow.account,
            rank=flow.rank,
            left_s=self._left_s(route),
            last_event_id=self._delivery.last_event_id,
            number=self._sends + 1,
            body=body,
            passed=self._delivery.passed,
        )
        if not self._sends:
            shared.budget.record_first_attempt(replica.service, now)
        shared.take_reading(self._request, replica, now)
        shared.occupancy.begin(flow)
        try:
            return await self._ask(route, sending)
        except asyncio.CancelledError:
            # The client has left, or its time is up.
            shared.sender.cancel(
                replica.address,
                shared.dialect.write_cancel(sending),
                answered=self._answered,
            )
            raise
        finally:
            shared.counts.release(replica.replica_id)
            shared.occupancy.end(flow)
            shared.durations.record(replica.service, shared.now() - now)

    async def _ask(
        self, route: configuration.Route, sending: dialect.Sending
    ) -> delivery.Failure | None:
        shared = self._shared
        replica = sending.place.replica
        may_have_run_before = self._may_have_run
        newly_reached = replica.replica_id not in self._reached
        self._reached.add(replica.replica_id)
        self._sends += 1
        self._answered = False
        # From here to a statement of the replica the request may run.
        self._may_have_run = True
        try:
            reply = await shared.sender.send(
                replica.address,
                self._request.method,
                self._request.target,
                shared.dialect.write_headers(sending),
                shared.dialect.write_body(sending),
                fresh=not route.is_idempotent,
                head_timeout_s=self._answer_timeout_s(route),
            )
        except sender.SendError as error:
            self._note_broken(replica.replica_id)
            if error.outcome is retries.Outcome.NOT_SENT:
                self._may_have_run = may_have_run_before
                if newly_reached:
                    self._sends -= 1
                    self._reached.discard(replica.replica_id)
            return delivery.Failure(error.outcome)
        self._answered = True
        # What was not read to its end must not be used again.
        with contextlib.closing(reply):
            kind = shared.dialect.classify(
                self._request, reply.status, reply.headers
            )
            now = shared.now()
            shared.conditions.record_activity(replica.replica_id, now)
            if kind in _NOT_RUN_KINDS:
                self._may_have_run = may_have_run_before
                return await self._take_not_run(replica.replica_id, kind, reply)
            if kind is dialect.ReplyKind.INVALID:
                shared.conditions.record_result(replica.replica_id, False, now)
                return delivery.Failure(retries.Outcome.BROKEN)
            return await self._delivery.pass_on(
                route,
                replica.replica_id,
                kind,
                reply,
                self._answer_timeout_s(route),
            )

    def _answer_timeout_s(self, route: configuration.Route) -> float | None:
        """Returns the time for the head, and for the body, of an answer.

        There is none if the request cannot be sent again.
        """
        if not route.is_idempotent or self._sends >= route.replicas_max:
            return None
        return max(HEAD_MIN_S, HEAD_TARGETS * route.target_latency_s)

    async def _take_not_run(
        self,
        replica_id: str,
        kind: dialect.ReplyKind,
        reply: aiohttp.ClientResponse,
    ) -> delivery.Failure:
        if kind is dialect.ReplyKind.MOVED:
            # The address has a new holder; the listing will say so.
            self._note_broken(replica_id)
            return delivery.Failure(retries.Outcome.MISDIRECTED)
        if kind is dialect.ReplyKind.LEAVING:
            self._shared.directory.mark_draining(replica_id)
        self._shared.conditions.record_result(
            replica_id, False, self._shared.now()
        )
        try:
            # Read to its end, the connection can be used again.
            await reply.read()
        except aiohttp.ClientError:
            reply.close()
        return delivery.Failure(retries.Outcome.NOT_RUN)

    def _note_broken(self, replica_id: str) -> None:
        self._shared.conditions.record_unreachable(
            replica_id, self._shared.now()
        )


_NOT_RUN_KINDS = frozenset(
    {
        dialect.ReplyKind.NOT_RUN,
        dialect.ReplyKind.LEAVING,
        dialect.ReplyKind.MOVED,
    }
)


class _PassOn(declines.Declined):
    """A replica's own failure is the best answer there is."""

    def __init__(self, reply: dialect.Reply):
        super().__init__(declines.Reason.OUTCOME_UNKNOWN, not_run=False)
        self.reply = reply
