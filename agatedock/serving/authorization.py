"""Finds the route and the client account of a request."""

from __future__ import annotations

import asyncio

from agatedock.domain import configuration
from agatedock.domain import requests
from agatedock.serving import access_log
from agatedock.serving import request_errors
from agatedock.serving import state

# Retry-After when there is no configuration or it is too old.
CONFIGURATION_RETRY_AFTER_S = 1.0
# How long a request waits for the first configuration after the router has
# started. The configuration usually arrives within 50 ms.
CONFIGURATION_WAIT_S = 0.6


async def wait_for_configuration(shared: state.SharedState) -> None:
    """Waits briefly for the first configuration after a start."""
    if shared.configured.is_set():
        return
    try:
        async with asyncio.timeout(CONFIGURATION_WAIT_S):
            await shared.configured.wait()
    except TimeoutError:
        # `authorize` rejects the request with a Retry-After.
        return


def authorize(
    shared: state.SharedState,
    request: requests.Request,
    log_entry: access_log.AccessLogEntry,
    now: float,
) -> tuple[configuration.Route, configuration.Account]:
    """Returns the route of a request and the client account.

    Args:
      shared: Contains the configuration.
      request: The client's request.
      log_entry: Gets the configuration, the route and the account.
      now: Present time in seconds.

    Raises:
      request_errors.RequestError: There is no configuration or no route, the
        configuration is too old, or the key is unknown.
    """
    view = shared.configuration_view
    config = view.current
    if config is None:
        raise request_errors.RequestError(
            request_errors.ErrorCode.NO_CONFIGURATION,
            retry_after_s=CONFIGURATION_RETRY_AFTER_S,
        )
    log_entry.revision = view.revision
    log_entry.proof_age_s = view.age_s(now)
    route = config.find_route(request)
    if route is None:
        _check_configuration_age(shared, now)
        raise request_errors.RequestError(request_errors.ErrorCode.NO_ROUTE)
    log_entry.route = route.name
    if not config.requires_account(route):
        return route, configuration.ANONYMOUS
    _check_configuration_age(shared, now)
    account = config.find_account(request.account_key)
    if account is None:
        raise request_errors.RequestError(request_errors.ErrorCode.UNKNOWN_KEY)
    log_entry.account = account.name
    return route, account


def _check_configuration_age(shared: state.SharedState, now: float) -> None:
    """Rejects a request if the configuration is too old.

    Raises:
      request_errors.RequestError: The configuration was last confirmed as
        newest longer ago than the limit, so a key may have been revoked.
    """
    age_s = shared.configuration_view.age_s(now)
    if age_s > shared.timeouts.configuration_max_age_s:
        raise request_errors.RequestError(
            request_errors.ErrorCode.STALE_CONFIGURATION,
            retry_after_s=CONFIGURATION_RETRY_AFTER_S,
        )
