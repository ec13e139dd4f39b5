"""The last tenant leaves: a config takes all keys away."""

from __future__ import annotations

import asyncio
import pathlib
import time

from review import common

FOLDER = pathlib.Path(__file__).resolve().parent
CLIENT_TIMEOUT_MS = 4000
CALLS_BEFORE_S = 3.0
CALLS_AFTER_S = 12.0
PAUSE_S = 0.2
REVOKE_S = common.BOUNDS["RevokeMs"] / 1000
# Keys that clients send: the one that is taken away, one that no config ever
# held, and none.
KEYS = {"revoked": common.KEY, "never held": "key-unknown", "none": ""}


async def call(
    router: common.Router, record: common.Record, name: str
) -> tuple[str, float]:
    """Sends one order; returns its id and when it was sent."""
    attempt_id = common.make_attempt_id()
    client = common.Client(router.address, key=KEYS[name])
    sent_at = time.monotonic()
    try:
        await client.connect()
        answer = await client.call(
            "POST", "/order/1", attempt_id, CLIENT_TIMEOUT_MS, b"{}"
        )
    except (OSError, EOFError) as error:
        record.write(f"sent /order/1 {attempt_id}: no answer: {error!r}")
        return attempt_id, sent_at
    finally:
        client.close()
    record.write(
        f"sent /order/1 {attempt_id} with key: {name}; answered"
        f" {answer.status} {answer.body[:40]!r}"
    )
    return attempt_id, sent_at


async def play(site: common.Site, record: common.Record) -> int:
    """Plays the case; returns its exit code."""
    routes = [common.make_route("/order/", "unsafe", "shop")]
    replicas = [
        common.Replica(f"shop-{number}", "shop", common.answer_plainly)
        for number in (1, 2)
    ]
    configuration = common.make_configuration(routes)
    await site.start(configuration, replicas)
    (router,) = site.routers
    end_at = time.monotonic() + CALLS_BEFORE_S
    while time.monotonic() < end_at:
        await call(router, record, "revoked")
        await asyncio.sleep(PAUSE_S)
    tenants = [] if common.is_troubled() else configuration["Tenants"]
    site.write_configuration(
        {**configuration, "Version": 8, "Tenants": tenants}
    )
    confirmed_at = time.monotonic()
    record.write(f"the store confirmed version 8, with Tenants = {tenants}")
    sent = {name: {} for name in KEYS}
    while time.monotonic() < confirmed_at + CALLS_AFTER_S:
        for name, ids in sent.items():
            attempt_id, sent_at = await call(router, record, name)
            ids[attempt_id] = sent_at
        await asyncio.sleep(PAUSE_S)
    return judge(site, record, sent, confirmed_at)


def judge(
    site: common.Site,
    record: common.Record,
    sent: dict[str, dict[str, float]],
    confirmed_at: float,
) -> int:
    """Returns the exit code."""
    runs = set()
    for replica in site.replicas.values():
        for attempt_id in replica.runs:
            runs.add(attempt_id)
            record.write(f"run at {replica.name}: {attempt_id}")
    late = sum(
        attempt_id in runs and sent_at > confirmed_at + REVOKE_S
        for attempt_id, sent_at in sent["revoked"].items()
    )
    without_key = sum(
        attempt_id in runs
        for name in ("never held", "none")
        for attempt_id in sent[name]
    )
    record.write(
        f"run: {without_key} requests with a key that no config ever held or"
        " with none"
    )
    if not common.is_troubled():
        return common.BROKEN if without_key else common.HELD
    record.write(
        f"run: {late} requests with the revoked key, sent later than"
        f" {REVOKE_S:.0f} s after the confirmation"
    )
    return common.BROKEN if late or without_key else common.HELD


if __name__ == "__main__":
    common.run_case(FOLDER, play)
