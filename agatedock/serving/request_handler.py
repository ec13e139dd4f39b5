"""Handles one client request from routing to the final response.

The handler finds the route, chooses a replica, sends the request and forwards
the response. If an attempt fails, it retries on another replica as far as
idempotency, the route's limits and the retry budget allow.
"""

from __future__ import annotations

import asyncio
import contextlib

import aiohttp

from agatedock.decisions import placement
from agatedock.decisions import retries
from agatedock.domain import configuration
from agatedock.domain import replicas
from agatedock.domain import requests
from agatedock.serving import access_log
from agatedock.serving import admission_checks
from agatedock.serving import authorization
from agatedock.serving import crash_guard
from agatedock.serving import dialect
from agatedock.serving import downstream
from agatedock.serving import early_closes
from agatedock.serving import notices
from agatedock.serving import replica_chooser
from agatedock.serving import replica_client
from agatedock.serving import request_errors
from agatedock.serving import response_forwarder
from agatedock.serving import state
from agatedock.views import occupancy

# Retry-After when the request failed but another attempt may succeed.
DEFAULT_RETRY_AFTER_S = admission_checks.DEFAULT_RETRY_AFTER_S
# Timeout for a response head, and for a body that is not streamed, as a
# multiple of the target latency. After it, an idempotent request is retried on
# another replica; other requests have no such timeout.
HEAD_TIMEOUT_FACTOR = 2.5
HEAD_TIMEOUT_MIN_S = 0.8
# Most attempts of one stream that has begun, over all replicas.
STREAM_ATTEMPTS_MAX = 6


# Errors that say when a replica is expected to take a request.
_WAIT_CODES = frozenset(
    {
        request_errors.ErrorCode.REPLICAS_PAUSED,
        request_errors.ErrorCode.RATE_LIMITED,
    }
)


class RequestHandler:
    """Serves one client request.

    Attributes:
      log_entry: Access log entry, filled in while the request is served.
      request_error: Why the request failed; None if it has not failed.
    """

    def __init__(
        self,
        shared: state.SharedState,
        request: requests.Request,
        downstream_client: downstream.Downstream,
    ) -> None:
        self._shared = shared
        self._request = request
        self._client = downstream_client
        self.log_entry = access_log.AccessLogEntry(
            request.request_id,
            parts=tuple(part.part_id for part in request.prompt),
        )
        self.request_error: request_errors.RequestError | None = None
        self._guard = crash_guard.CrashGuard(shared, request, self.log_entry)
        self._forwarder = response_forwarder.ResponseForwarder(
            shared, request, downstream_client, self.log_entry, self._guard
        )
        self._chooser = replica_chooser.ReplicaChooser(
            shared, request, self._guard
        )
        # Number of attempts that may have reached a replica. Failed connection
        # attempts are not counted.
        self._attempt_count = 0
        self._may_have_run = False
        # Whether the last attempt's response head has arrived.
        self._head_received = False
        self._sent_at = float("-inf")
        self._timeout: asyncio.Timeout | None = None

    async def handle(self) -> None:
        """Serves the request and sends its final response to the client."""
        try:
            await authorization.wait_for_configuration(self._shared)
            route, account = self._authorize()
            remaining_s = min(
                self._get_remaining_s(route),
                self._shared.drain.get_answer_time_s(self._shared.now()),
            )
            await self._serve_within(max(0.0, remaining_s), route, account)
        except request_errors.RequestError as request_error:
            await self.send_error(request_error)
        except TimeoutError:
            code = request_errors.ErrorCode.TIMEOUT
            if self._shared.drain.is_answer_due(self._shared.now()):
                code = request_errors.ErrorCode.STOPPING
            await self.send_error(
                request_errors.RequestError(
                    code, retry_after_s=DEFAULT_RETRY_AFTER_S
                )
            )
        finally:
            self._forwarder.close()

    async def _serve_within(
        self,
        remaining_s: float,
        route: configuration.Route,
        account: configuration.Account,
    ) -> None:
        """Serves the request.

        Raises:
          TimeoutError: It took longer, or longer than `limit_time` allowed.
        """
        async with asyncio.timeout(remaining_s) as timeout:
            self._timeout = timeout
            try:
                await self._serve(route, account)
            finally:
                self._timeout = None

    def limit_time(self, answer_time_s: float) -> None:
        """Ends the request by then, as the router is about to shut down.

        Args:
          answer_time_s: Seconds from now.
        """
        if self._timeout is None or self._timeout.expired():
            return
        at = asyncio.get_running_loop().time() + answer_time_s
        current = self._timeout.when()
        if current is None or at < current:
            self._timeout.reschedule(at)

    async def reject_stopping(self) -> None:
        """Rejects the request because the router is about to shut down."""
        await self.send_error(
            request_errors.RequestError(
                request_errors.ErrorCode.STOPPING,
                retry_after_s=DEFAULT_RETRY_AFTER_S,
            )
        )

    async def send_error(
        self, request_error: request_errors.RequestError
    ) -> None:
        """Sends an error response, or aborts a stream that has begun."""
        # An earlier attempt may have run, even if the last one did not.
        request_error.not_run = request_error.not_run and not self._may_have_run
        self.request_error = request_error
        self.log_entry.details = request_error.details
        if self._forwarder.streaming:
            self.log_entry.outcome = f"broken_off:{request_error.code}"
            await self._client.abort_stream(request_error)
            return
        if isinstance(request_error, _ReplicaResponseError):
            self.log_entry.outcome = "replica_failed"
            response = request_error.response
        else:
            self.log_entry.outcome = str(request_error.code)
            response = self._shared.dialect.build_error_response(
                self._request, request_error
            )
        self.log_entry.status = response.status
        await self._client.send_response(
            response.status, response.headers, response.body
        )

    @property
    def _configuration(self) -> configuration.Configuration:
        """Returns the applied configuration; only valid after `_authorize`."""
        config = self._shared.configuration_view.current
        assert config is not None
        return config

    def _authorize(
        self,
    ) -> tuple[configuration.Route, configuration.Account]:
        """Returns the route of the request and the client account.

        Raises:
          request_errors.RequestError: The request is not allowed, or that is
            not known.
        """
        return authorization.authorize(
            self._shared, self._request, self.log_entry, self._shared.now()
        )

    def _get_remaining_s(self, route: configuration.Route) -> float:
        """Returns the seconds until the client or the route times out."""
        client_timeout_s = self._request.client_timeout_s
        timeout_s = route.timeout_s
        if client_timeout_s is not None:
            timeout_s = min(timeout_s, client_timeout_s)
        return timeout_s - (self._shared.now() - self._request.arrived_at)

    async def _serve(
        self, route: configuration.Route, account: configuration.Account
    ) -> None:
        """Makes attempts until one succeeds or no retry is allowed."""
        limits = self._configuration.limits
        body = await self._client.read_body(
            limits.body_bytes, limits.idle_timeout_s
        )
        failure: response_forwarder.AttemptFailure | None = None
        while True:
            # The key may have been revoked while the body was read or an
            # earlier attempt ran.
            if account is not configuration.ANONYMOUS:
                route, account = self._authorize()
            flow, chosen = await self._place(route, account, failure)
            failure = await self._make_attempt(route, flow, chosen, body)
            if failure is None:
                return
            if failure.connection_lost:
                self._guard.record_lost_connection(
                    self._attempt_count, self._shared.now()
                )
            self.log_entry.failures.append(
                f"{chosen.replica.replica_id}:{failure.outcome}"
            )
            if not retries.may_retry(route.is_idempotent, failure.outcome):
                break
            if not self._spend_retry(route, failure):
                break
        self._raise_final_error(failure)

    async def _place(
        self,
        route: configuration.Route,
        account: configuration.Account,
        failure: response_forwarder.AttemptFailure | None,
    ) -> tuple[occupancy.Flow, placement.Placement]:
        """Chooses a replica and reserves the request there.

        The reservation is held until it is released.

        Returns:
          The flow (service, rank, account) and the placement.

        Raises:
          request_errors.RequestError: No replica is available, or admission
            control rejects the request.
        """
        shared = self._shared
        now = shared.now()
        service = shared.choose_service(route, self._request)
        self.log_entry.service = service
        rank = route.rank if account.rank is None else account.rank
        flow = occupancy.Flow(service, rank, account.name, account.weight)
        shared.occupancy.record_demand(flow, now)
        if not self._forwarder.streaming:
            admission_checks.check_drain(shared, route, service, now)
        service_config = self._configuration.services.get(service)
        chosen = None
        if service_config is not None:
            # A stream that has begun goes before new requests.
            chosen = await self._chooser.choose(
                route,
                service_config,
                account,
                0 if self._forwarder.streaming else rank,
            )
        if chosen is None:
            if failure is not None and failure.response is not None:
                raise _ReplicaResponseError(failure.response)
            raise self._chooser.make_error(service, shared.now())
        # A stream that has begun goes before new requests, so it is resumed
        # without admission control.
        if not self._forwarder.streaming:
            try:
                admission_checks.check_admission(
                    shared,
                    flow,
                    chosen,
                    admission_checks.Limits(
                        route.target_latency_s,
                        self._get_remaining_s(route),
                        bool(self._request.prompt),
                        self._configuration.floors,
                    ),
                    shared.now(),
                )
            except request_errors.RequestError:
                shared.reservations.release(chosen.replica.replica_id)
                raise
        return flow, chosen

    def _spend_retry(
        self,
        route: configuration.Route,
        failure: response_forwarder.AttemptFailure,
    ) -> bool:
        """Takes a retry from the budget; returns whether the limits allow it.

        A failed connection to a replica that had not received the request
        before neither counts as an attempt nor uses the budget.
        """
        now = self._shared.now()
        reached_before = self.log_entry.replica in self._chooser.reached_ids
        if failure.outcome is retries.Outcome.NOT_SENT and not reached_before:
            return True
        attempts_max = route.replicas_max
        if self._forwarder.streaming:
            attempts_max = STREAM_ATTEMPTS_MAX
        if self._attempt_count >= attempts_max:
            return False
        return self._shared.budget.try_spend(
            self.log_entry.service, self._shared.count_routers(), now
        )

    def _raise_final_error(
        self, failure: response_forwarder.AttemptFailure
    ) -> None:
        """Raises the error that ends the request after its last attempt.

        Raises:
          request_errors.RequestError: Always.
        """
        if self._forwarder.streaming:
            raise request_errors.RequestError(
                request_errors.ErrorCode.INTERRUPTED,
                f"the answer broke off: {', '.join(self.log_entry.failures)}",
                not_run=False,
            )
        if failure.response is not None:
            raise _ReplicaResponseError(failure.response)
        service = self.log_entry.service
        placement_error = self._chooser.make_error(service, self._shared.now())
        if not self._may_have_run and placement_error.code in _WAIT_CODES:
            raise placement_error
        reason = (
            request_errors.ErrorCode.OUTCOME_UNKNOWN
            if self._may_have_run
            else request_errors.ErrorCode.REPLICAS_FULL
        )
        raise request_errors.RequestError(
            reason,
            ", ".join(self.log_entry.failures),
            retry_after_s=DEFAULT_RETRY_AFTER_S,
        )

    async def _make_attempt(
        self,
        route: configuration.Route,
        flow: occupancy.Flow,
        chosen: placement.Placement,
        body: bytes,
    ) -> response_forwarder.AttemptFailure | None:
        """Makes one attempt and updates the counts around it.

        Returns:
          None if the client has the response, else the failure.
        """
        replica = chosen.replica
        shared = self._shared
        self._chooser.tried_ids.add(replica.replica_id)
        self.log_entry.record_placement(chosen)
        now = shared.now()
        attempt = dialect.Attempt(
            request=self._request,
            placement=chosen,
            account=flow.account,
            rank=flow.rank,
            remaining_s=self._get_remaining_s(route),
            last_event_id=self._forwarder.last_event_id,
            number=self._attempt_count + 1,
            body=body,
            delivered_events=self._forwarder.delivered_events,
        )
        if not self._attempt_count:
            shared.budget.record_first_attempt(replica.service, now)
        shared.record_cached_parts(self._request, replica, now)
        shared.occupancy.begin(flow)
        try:
            with shared.silences.watch(
                replica, route, lambda: self._head_received
            ):
                return await self._send_to_replica(route, attempt)
        except asyncio.CancelledError:
            # The client disconnected, or the request timed out.
            shared.replica_client.cancel(
                replica.address,
                shared.dialect.build_cancel_request(attempt),
                head_received=self._head_received,
            )
            raise
        finally:
            shared.reservations.release(replica.replica_id)
            shared.occupancy.end(flow)
            shared.durations.record(replica.service, shared.now() - now)

    async def _send_to_replica(
        self, route: configuration.Route, attempt: dialect.Attempt
    ) -> response_forwarder.AttemptFailure | None:
        """Sends one attempt to its replica and forwards the response."""
        shared = self._shared
        replica = attempt.placement.replica
        may_have_run_before = self._may_have_run
        newly_reached = replica.replica_id not in self._chooser.reached_ids
        # On a connection that was used for an earlier attempt, its response
        # could be taken for that of this one.
        new_connection = not route.is_idempotent or not newly_reached
        self._chooser.reached_ids.add(replica.replica_id)
        self._attempt_count += 1
        self._head_received = False
        self._sent_at = shared.now()
        self._guard.begin_attempt(
            replica, is_resumed=attempt.last_event_id is not None
        )
        # The request may run from here on, unless the replica says otherwise.
        self._may_have_run = True
        try:
            response = await shared.replica_client.send(
                replica.address,
                self._request.method,
                self._request.target,
                shared.dialect.build_request_headers(attempt),
                shared.dialect.build_request_body(attempt),
                new_connection=new_connection,
                head_timeout_s=self._get_response_timeout_s(route),
            )
        except replica_client.AttemptError as error:
            self._record_unreachable(replica.replica_id)
            if error.outcome is retries.Outcome.NOT_SENT:
                shared.record_refused(replica, shared.now())
                self._may_have_run = may_have_run_before
                if newly_reached:
                    self._attempt_count -= 1
                    self._chooser.reached_ids.discard(replica.replica_id)
            if error.close_reason is not None:
                shared.early_closes.record(
                    self._request.request_id,
                    replica.replica_id,
                    error.size_bytes,
                    error.close_reason,
                )
            return response_forwarder.AttemptFailure(
                error.outcome,
                connection_lost=error.outcome is retries.Outcome.BROKEN
                and error.close_reason is None,
            )
        self._head_received = True
        # Closing keeps a partly read connection from being reused.
        with contextlib.closing(response):
            failure = await self._handle_response(route, replica, response)
        if failure is not None and (
            failure.outcome in retries.CERTAINLY_NOT_RUN
        ):
            self._may_have_run = may_have_run_before
        return failure

    async def _handle_response(
        self,
        route: configuration.Route,
        replica: replicas.Replica,
        response: aiohttp.ClientResponse,
    ) -> response_forwarder.AttemptFailure | None:
        """Forwards a response unless it is a rejection or invalid."""
        shared = self._shared
        kind = shared.dialect.classify_response(
            self._request, response.status, response.headers
        )
        now = shared.now()
        shared.health.record_activity(replica.replica_id, now)
        if kind in _KINDS_OF_THE_REPLICA:
            connected_at = shared.replica_client.get_connected_at(response)
            self._guard.record_head(connected_at, now)
        notice = notices.heed_notice(shared, self._request, replica, response)
        if kind in _KINDS_OF_THE_REPLICA:
            self.log_entry.record_rate_limit(notice.rate_limit)
            notices.heed_rate_limit(
                shared, self._request, replica, notice, self._sent_at
            )
        if kind is dialect.ResponseKind.MISDIRECTED:
            # Another replica now has the address; the next listing shows it.
            self._record_unreachable(replica.replica_id)
            return response_forwarder.AttemptFailure(
                retries.Outcome.MISDIRECTED
            )
        if kind is dialect.ResponseKind.NOT_RUN:
            if notice.retry_after is None and not notice.rate_limit:
                shared.health.record_result(replica.replica_id, False, now)
            self._end_rejection(replica.replica_id, response)
            return response_forwarder.AttemptFailure(retries.Outcome.NOT_RUN)
        if kind is dialect.ResponseKind.INVALID:
            shared.replica_client.discard_connection(response)
            shared.health.record_result(replica.replica_id, False, now)
            return response_forwarder.AttemptFailure(retries.Outcome.BROKEN)
        return await self._forwarder.forward_response(
            route,
            replica.replica_id,
            kind,
            response,
            self._get_response_timeout_s(route),
        )

    def _get_response_timeout_s(
        self, route: configuration.Route
    ) -> float | None:
        """Returns the timeout of a response head, and of a complete body.

        It is None if the request cannot be retried.
        """
        if not route.is_idempotent or self._attempt_count >= route.replicas_max:
            return None
        return max(
            HEAD_TIMEOUT_MIN_S, HEAD_TIMEOUT_FACTOR * route.target_latency_s
        )

    def _end_rejection(
        self, replica_id: str, response: aiohttp.ClientResponse
    ) -> None:
        """Closes the connection of a rejection that is not complete yet.

        The head says all that the router needs. A connection is worth less
        than the time and memory that the rest of the body may take.
        """
        if response.content.is_eof():
            return
        self._shared.early_closes.record(
            self._request.request_id,
            replica_id,
            response.content.total_bytes,
            early_closes.Reason.REJECTION_BODY,
        )
        response.close()

    def _record_unreachable(self, replica_id: str) -> None:
        self._shared.health.record_unreachable(replica_id, self._shared.now())


# Responses that come from the replica that the request was sent to.
_KINDS_OF_THE_REPLICA = frozenset(dialect.ResponseKind) - {
    dialect.ResponseKind.MISDIRECTED,
    dialect.ResponseKind.INVALID,
}


class _ReplicaResponseError(request_errors.RequestError):
    """A replica's error response, sent to the client as it is."""

    def __init__(self, response: dialect.Response):
        super().__init__(
            request_errors.ErrorCode.OUTCOME_UNKNOWN, not_run=False
        )
        self.response = response
