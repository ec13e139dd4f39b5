"""Measures the growth rates on which docs/CAPACITY.md is based.

Each section fits a line through its measured points and prints its value at
the fleet size expected in two years. All figures go into one JSON file.
"""

from __future__ import annotations

import argparse
import asyncio
from collections.abc import Callable
import dataclasses
import json
import pathlib
import statistics
import time
import tracemalloc

import numpy as np
import uvloop

from agatedock.decisions import fleet_view
from agatedock.decisions import placement
from agatedock.domain import configuration
from agatedock.domain import replicas
from agatedock.domain import requests
from agatedock.fleet import documents
from agatedock.native import native_configuration
from agatedock.native import settings
from agatedock.peers import messages
from agatedock.peers import snapshots
from agatedock.views import directory
from agatedock.views import health
from agatedock.views import loads
from agatedock.views import prefixes
from agatedock.views import replica_limits
from agatedock.views import routers
from bench import measure
from bench import peers
from standins import fleet

# Fleet size expected in two years.
ROUTERS = 360
REPLICAS = 3000
MODELS = 9
ACCOUNTS = 2800
PARTS = 20_000
NOW = 1000.0
IDLE_DURATION_S = 30.0


@dataclasses.dataclass
class Line:
    """Measured points, to be fitted by a straight line.

    Attributes:
      at: Size expected in two years, which may lie beyond the points.
    """

    name: str
    unit: str
    xs: list[float]
    ys: list[float]
    at: float

    def fit(self) -> dict[str, object]:
        """Returns slope, intercept, largest residual and the value at `at`."""
        slope, start = np.polyfit(self.xs, self.ys, 1)
        residuals = np.array(self.ys) - (slope * np.array(self.xs) + start)
        return {
            "name": self.name,
            "unit": self.unit,
            "points": list(zip(self.xs, self.ys, strict=True)),
            "slope": float(slope),
            "intercept": float(start),
            "residual": float(np.abs(residuals).max()),
            "at": self.at,
            "value": float(slope * self.at + start),
            "extrapolated": round(self.at / max(self.xs), 2),
        }


def time_ms(work: Callable[[], object], min_duration_s: float = 0.2) -> float:
    """Returns the median processor time of a call in milliseconds."""
    spent = []
    until = time.monotonic() + min_duration_s
    while time.monotonic() < until or len(spent) < 5:
        started = time.process_time()
        work()
        spent.append((time.process_time() - started) * 1000)
    return statistics.median(spent)


def measure_kib(make: Callable[[], object]) -> float:
    """Returns the memory that the object returned by `make` holds, in KiB."""
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    made_object = make()
    after = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del made_object
    return (after - before) / 1024


# State of one router.


def make_replicas(count: int) -> list[replicas.Replica]:
    """Returns replicas spread evenly over all models."""
    return [
        replicas.Replica(
            replica_id=f"engine-{index:05}",
            service=f"model-{index % MODELS}",
            address=f"10.0.{index // 250}.{index % 250}:8000",
            zone=f"zone-{index % 16}",
            slots=12,
            state=replicas.ReplicaState.READY,
            started_at_ms=0,
            sequence=0,
        )
        for index in range(count)
    ]


def make_view(count: int) -> tuple[directory.Directory, fleet_view.FleetView]:
    """Returns a directory of `count` replicas and a view for placement."""
    known = directory.Directory()
    known.apply_changes(make_replicas(count), [], NOW, NOW)
    view = fleet_view.FleetView(
        loads=loads.Loads(),
        health=health.ReplicaHealth(),
        prefixes=prefixes.PrefixIndex(),
        find_replica=known.get_by_hash,
        count_running=lambda service: 0,
        count_peers=lambda: 0,
        zone="zone-0",
        limits=replica_limits.ReplicaLimits(known.get_by_hash),
    )
    return known, view


def _make_place_call(count: int) -> Callable[[], object]:
    known, view = make_view(count)
    request = requests.Request(
        request_id="r",
        method="POST",
        host="",
        target="/",
        headers=(),
        account_key="a",
        client_timeout_s=None,
        prompt=(requests.PromptPart("chat", 100),),
        last_event_id=None,
        arrived_at=NOW,
    )
    service = configuration.Service(
        "model-0", configuration.LoadBound(1.5, 3.0)
    )
    task = placement.Task(request, service, known.list_usable("model-0"))
    return lambda: _place(task, view)


def _place(
    task: placement.Task, view: fleet_view.FleetView
) -> placement.Placement | None:
    options = placement.build_preference_list(task, view, NOW)
    if options is None:
        return None
    chosen = placement.choose_by_local_view(
        options.replicas, options.max_running, view
    )
    choice = placement.Choice(chosen, 0, placement.Basis.NO_REPLY)
    return placement.make_placement(options, choice, task, view, NOW)


def _apply_change(
    known: directory.Directory, replica: replicas.Replica
) -> None:
    """Applies one changed entry and lists replicas as a request would."""
    known.apply_changes([replica], [], NOW, NOW)
    known.list_usable(replica.service)


def measure_replicas() -> list[Line]:
    """Measures memory and processor time by number of replicas."""
    sizes = [60, 300, 1000, 3000]
    memory, listing, place_times = [], [], []
    for size in sizes:
        memory.append(measure_kib(lambda s=size: make_view(s)[0]))
        made = make_replicas(size)
        known = directory.Directory()
        known.apply_changes(made, [], NOW, NOW)
        listing.append(time_ms(lambda k=known, m=made: _apply_change(k, m[0])))
        place_times.append(time_ms(_make_place_call(size)))
    xs = [float(size) for size in sizes]
    return [
        Line("replicas, memory", "KiB", xs, memory, REPLICAS),
        Line("take a listing", "ms", xs, listing, REPLICAS),
        Line("place one chat", "ms", xs, place_times, REPLICAS),
    ]


def _make_prefix_index(count: int) -> prefixes.PrefixIndex:
    view = prefixes.PrefixIndex()
    for number in range(count):
        view.add_holder(number, number % 50, NOW)
    return view


def _make_router_table(count: int) -> routers.Routers:
    view = routers.Routers()
    for number in range(count):
        row = messages.RouterStatus(
            number, 1, f"zone-{number % 16}", 100, 1, {1: 50, 2: 50}
        )
        view.merge(row, NOW)
    return view


def measure_peers_state() -> list[Line]:
    """Measures memory by number of routers and of cached prompt parts."""
    parts = [1000, 5000, 20_000]
    sizes = [6, 60, 360]
    return [
        Line(
            "remembered parts, memory",
            "KiB",
            [float(size) for size in parts],
            [
                measure_kib(lambda s=size: _make_prefix_index(s))
                for size in parts
            ],
            PARTS,
        ),
        Line(
            "rows of routers, memory",
            "KiB",
            [float(size) for size in sizes],
            [
                measure_kib(lambda s=size: _make_router_table(s))
                for size in sizes
            ],
            ROUTERS,
        ),
    ]


def make_document(size: int, revision: int) -> documents.Document:
    """Returns a fleet configuration with an override for each account."""
    return documents.Document(
        revision=revision,
        models=tuple(documents.Model(name=f"model-{i}") for i in range(MODELS)),
        accounts=tuple(f"account-{i}" for i in range(size)),
        exceptions=tuple(
            documents.Override(
                id=f"x{i}",
                match=documents.Match(account=f"account-{i}"),
                set={"account_weight": float(revision)},
                reason="a reason of usual length, for newcomers",
                author="operators",
            )
            for i in range(size)
        ),
    )


def measure_configuration() -> list[Line]:
    """Measures a configuration by number of accounts with overrides."""
    limits = settings.load(None, ["name=r", "failure_domain=a"]).limits
    sizes = [10, 300, 1000, 2800]
    stored_sizes, decode_times, lookup_times, memory = [], [], [], []
    for size in sizes:
        data = documents.encode(make_document(size, 2))
        stored_sizes.append(len(data) / 1024)

        def decode(data=data) -> native_configuration.NativeConfiguration:
            return native_configuration.NativeConfiguration(
                documents.decode(data), limits
            )

        decode_times.append(time_ms(decode))
        decoded = decode()
        lookup_times.append(
            1000 * time_ms(lambda t=decoded: t.find_account("account-7"))
        )
        memory.append(measure_kib(decode))
    xs = [float(size) for size in sizes]
    return [
        Line("configuration, stored", "KiB", xs, stored_sizes, ACCOUNTS),
        Line("take a configuration", "ms", xs, decode_times, ACCOUNTS),
        Line("find an account", "us", xs, lookup_times, ACCOUNTS),
        Line("configuration, memory", "KiB", xs, memory, ACCOUNTS),
    ]


def measure_listings() -> list[Line]:
    """Measures listings for routers without a store connection of their own.

    Sizes of a full listing and of one change, and the time to build a delta,
    by number of replicas.
    """
    sizes = [60, 300, 1000, 3000]
    full_sizes, delta_sizes, delta_times = [], [], []
    for size in sizes:
        items = [
            snapshots.Item(f"upstream/{i:05}", b"x" * 180, 1, 1)
            for i in range(size)
        ]
        listing = snapshots.Listing()
        listing.load_snapshot(snapshots.Snapshot("store", 1, 1, items), NOW)
        before = listing.make_delta(snapshots.EMPTY_POSITION, NOW)
        items[0] = snapshots.Item(items[0].key, b"y" * 180, 2, 2)
        listing.load_snapshot(snapshots.Snapshot("store", 2, 2, items), NOW + 1)
        position = snapshots.Position("store", before.complete_to)
        delta_times.append(
            time_ms(lambda k=listing, p=position: k.make_delta(p, NOW + 1))
        )
        full_sizes.append(sum(len(i.value) + len(i.key) for i in before.items))
        after = listing.make_delta(position, NOW + 1)
        delta_sizes.append(sum(len(i.value) + len(i.key) for i in after.items))
    xs = [float(size) for size in sizes]
    return [
        Line("whole listing", "B", xs, full_sizes, REPLICAS),
        Line("one change of it", "B", xs, delta_sizes, REPLICAS),
        Line("answer a follower", "ms", xs, delta_times, REPLICAS),
    ]


# Traffic between routers.


def measure_gossip(seed: int, sizes: list[int], seconds: float) -> list[Line]:
    """Measures gossip between light routers by their number."""
    reports = []
    for size in sizes:
        report = peers.run(size, seed, seconds)
        reports.append(report)
        print(
            f"  {size:3} routers: sent {report.sent_bytes_per_s:.0f} B/s, "
            f"cpu {report.cpu_share:.2%}, news {report.age_s:.2f} s old, "
            f"revision known after {report.revision_delay_s:.2f} s, "
            f"death after {report.loss_detection_s:.1f} s, "
            f"return after {report.rejoin_s:.1f} s"
        )
    xs = [float(size) for size in sizes]
    rows: list[tuple[str, str, list[float]]] = [
        ("news sent", "B/s", [r.sent_bytes_per_s for r in reports]),
        (
            "news, processor time",
            "% of a core",
            [100 * r.cpu_share for r in reports],
        ),
        ("age of news", "s", [r.age_s for r in reports]),
        (
            "revision known to all",
            "s",
            [r.revision_delay_s for r in reports],
        ),
        ("death known to all", "s", [r.loss_detection_s for r in reports]),
    ]
    return [Line(name, unit, xs, ys, ROUTERS) for name, unit, ys in rows]


# Complete processes.


async def measure_hop(streams: int = 40) -> dict[str, object]:
    """Compares a router's processor time for a token with a bare relay's."""
    spec = measure.make_spec("prefix")
    spec = dataclasses.replace(
        spec,
        document={**spec.document, "defaults": {"engine_slots": 64}},
        routers=spec.routers[:1],
        engines={measure.MODEL: spec.routers[:1]},
        engine_options=("--batch", "64", "--step-ms", "20"),
    )
    async with fleet.Fleet(spec) as running:
        engine = running.upstreams[f"{measure.MODEL}-0"]
        bare = await running.start_module(
            "bench.bare", "bare", "--target", engine.url
        )
        router = running.routers["router-0"]
        rows: dict[str, dict[str, float]] = {}
        for name, process in (("bare", bare), ("router", router)) * 2:
            before = _read_cpu_s(process)
            first, tokens = await _stream_many(running, process.url, streams)
            spent_us = (_read_cpu_s(process) - before) / tokens * 1e6
            row = {"first_ms": round(first, 1), "us": round(spent_us, 1)}
            rows[name] = row
    ratio = round(rows["router"]["us"] / rows["bare"]["us"], 2)
    figures: dict[str, object] = {"rows": rows, "router_over_bare": ratio}
    print(f"  {figures}")
    return figures


def _read_cpu_s(process: fleet.Process) -> float:
    return measure.parse_cpu_s(measure.read_stat(process.child.pid))


async def _stream_many(
    running: fleet.Fleet, url: str, streams: int
) -> tuple[float, int]:
    """Streams long responses concurrently.

    Returns:
      Median time to the first chunk in milliseconds, and the number of events.
    """
    body = {
        "model": measure.MODEL,
        "messages": [{"role": "user", "content": "x"}],
        "max_tokens": 400,
        "answer_tokens": 400,
        "stream": True,
    }

    async def stream(index: int) -> tuple[float, int]:
        started = time.monotonic()
        first, events = 0.0, 0
        headers = {
            "X-Client-Account": "a",
            "X-Request-Id": f"{index}-{started}",
            "X-Chat-Id": f"{index}",
        }
        async with running.http.post(
            f"{url}/v1/chat/completions", json=body, headers=headers
        ) as response:
            while chunk := await response.content.readany():
                first = first or time.monotonic() - started
                events += chunk.count(b"\n\n")
        return first * 1000, events

    results = await asyncio.gather(*(stream(i) for i in range(streams)))
    firsts = [first for first, _ in results]
    return statistics.median(firsts), sum(n for _, n in results)


async def measure_idle(seconds: float) -> list[dict[str, object]]:
    """Measures idle fleets: store calls, traffic, processor time, memory."""
    rows = []
    for size, engines in ((3, 3), (3, 24), (6, 6)):
        spec = measure.make_spec("prefix")
        spec = dataclasses.replace(
            spec,
            routers=spec.routers[:size],
            engines={measure.MODEL: spec.routers[:1] * engines},
        )
        async with fleet.Fleet(spec) as running:
            before = await _read_idle(running)
            await asyncio.sleep(seconds)
            after = await _read_idle(running)
        row: dict[str, object] = {"routers": size, "engines": engines}
        for key, value in after.items():
            per_s = (value - before[key]) / seconds
            row[key] = value if key == "resident_mib" else round(per_s, 4)
        rows.append(row)
        print(f"  {row}")
    return rows


async def _read_idle(running: fleet.Fleet) -> dict[str, float]:
    """Returns counts since the start.

    Store calls are those of all routers; each other figure is the maximum of
    any router.
    """
    calls = (await running.fetch_record(running.kv))["calls"]
    used: dict[str, float] = {f"kv_{key}": n for key, n in calls.items()}
    for router in running.routers.values():
        control = (await running.dump(router))["control"]
        figures = {
            "cpu_s": _read_cpu_s(router),
            "sent_bytes": control["peer_bytes_sent"],
            "resident_mib": round(_read_resident_mib(router), 1),
        }
        for key, value in figures.items():
            used[key] = max(used.get(key, 0), value)
    return used


def _read_resident_mib(process: fleet.Process) -> float:
    status = pathlib.Path(f"/proc/{process.child.pid}/status").read_text()
    line = next(x for x in status.splitlines() if x.startswith("VmRSS:"))
    return int(line.split()[1]) / 1024


def print_lines(lines: list[Line]) -> list[dict[str, object]]:
    """Prints the fits of lines and returns them."""
    fits = [line.fit() for line in lines]
    for fit in fits:
        print(
            f"  {fit['name']:24} {fit['slope']:.4g} {fit['unit']} each, "
            f"start {fit['intercept']:.4g}, residual {fit['residual']:.3g}; "
            f"at {fit['at']:.0f}: {fit['value']:.4g} {fit['unit']} "
            f"({fit['extrapolated']} times the largest point)"
        )
    return fits


def run_state(arguments: argparse.Namespace) -> dict[str, object]:
    """Measures memory and processor time of one router's state."""
    del arguments
    fits: list[dict] = []
    for work in (
        measure_replicas,
        measure_peers_state,
        measure_configuration,
        measure_listings,
    ):
        fits += print_lines(work())
    return {"lines": fits}


def run_gossip(arguments: argparse.Namespace) -> dict[str, object]:
    """Measures gossip by number of routers."""
    fits: list[dict] = []
    for seed in arguments.seeds:
        print(f"seed {seed}:")
        lines = measure_gossip(seed, arguments.sizes, arguments.seconds)
        fits += print_lines(lines)
    return {"lines": fits}


def run_hop(arguments: argparse.Namespace) -> dict[str, object]:
    """Compares a router with a bare relay, once for each seed."""
    return {
        f"hop_{seed}": uvloop.run(measure_hop()) for seed in arguments.seeds
    }


def run_idle(arguments: argparse.Namespace) -> dict[str, object]:
    """Measures idle fleets."""
    del arguments
    return {"idle": uvloop.run(measure_idle(IDLE_DURATION_S))}


SECTIONS = {
    "state": run_state,
    "news": run_gossip,
    "hop": run_hop,
    "idle": run_idle,
}


def main() -> None:
    """Runs the chosen sections."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("sections", nargs="*", help=", ".join(SECTIONS))
    parser.add_argument("--seeds", type=int, nargs="+", default=[1, 2])
    parser.add_argument(
        "--sizes", type=int, nargs="+", default=[3, 12, 24, 48, 96]
    )
    parser.add_argument("--seconds", type=float, default=8.0)
    parser.add_argument("--out", type=pathlib.Path, default=pathlib.Path("out"))
    arguments = parser.parse_args()
    arguments.out.mkdir(parents=True, exist_ok=True)
    data: dict[str, object] = {"lines": []}
    for section in arguments.sections or SECTIONS:
        print(f"{section}:")
        figures = SECTIONS[section](arguments)
        data["lines"] += figures.pop("lines", [])
        data.update(figures)
    (arguments.out / "slopes.json").write_text(json.dumps(data, indent=1))


if __name__ == "__main__":
    main()
