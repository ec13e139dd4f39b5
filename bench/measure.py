"""Measures placement and admission: reuse, bound, ranks, shares, floods.

Prints a table and writes JSON. Each figure can be compared with a calm phase
of the same run, or with a run that uses a simple placement.
"""

from __future__ import annotations

import argparse
import asyncio
import bisect
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import json
import os
import pathlib
import time

import uvloop

from bench import load
from standins import fleet

MODEL = "santa-llm"
DOMAINS = ("ikeja", "lekki", "yaba", "apapa")
ROUTERS = 6
ENGINES = 6
BATCH_SIZE = 8
STEP_MS = 30
CACHE_TOKENS = 150_000
LOAD_BOUND = 1.5
LOAD_BOUND_SLACK = 3
# The engine stand-ins' steps take this much longer than STEP_MS.
STEP_OVERHEAD_MS = 1.4
# Requests a second that the engines can finish, given their batch size.
CAPACITY_PER_S = (
    ENGINES
    * BATCH_SIZE
    / ((load.ANSWER_TOKENS + 2) * (STEP_MS + STEP_OVERHEAD_MS) / 1000)
)
# Mixes above this rate are sent from separate processes, which need
# PROCESS_START_S to start.
SINGLE_PROCESS_MAX_PER_S = 100.0
PROCESS_START_S = 1.5
SETTLE_S = 2.0
BASELINES = ("round-robin", "plain-hash", "two-choices")


def make_spec(placement: str) -> fleet.FleetSpec:
    """Returns the Kolanut scenario's fleet, with a work for each rank."""
    defaults = {
        "placement": placement,
        "load_bound": LOAD_BOUND,
        "load_bound_slack": LOAD_BOUND_SLACK,
        "engine_slots": BATCH_SIZE,
    }
    domains = tuple(DOMAINS[i % len(DOMAINS)] for i in range(ROUTERS))
    return fleet.FleetSpec(
        document={
            "defaults": defaults,
            "models": [{"name": MODEL}],
            "works": {rank: rank for rank in load.RANKS},
        },
        routers=domains,
        engines={MODEL: domains[:ENGINES]},
        replicas={},
        engine_options=(
            "--batch",
            str(BATCH_SIZE),
            "--step-ms",
            str(STEP_MS),
            "--cache-tokens",
            str(CACHE_TOKENS),
        ),
        settings={"log": {"level": "warning"}},
    )


@dataclasses.dataclass
class Run:
    """A running fleet under load.

    Attributes:
      first_number: Start of the last separate sender's request numbers.
      windows: Start and end of each phase, without its first SETTLE_S.
      departed_at: When each engine left, monotonic time in seconds.
    """

    running: fleet.Fleet
    load: load.Load
    seconds: float
    first_number: int = 0
    windows: dict[str, tuple[float, float]] = dataclasses.field(
        default_factory=dict
    )
    departed_at: dict[str, float] = dataclasses.field(default_factory=dict)
    sender_tasks: list[asyncio.Task] = dataclasses.field(default_factory=list)

    async def run_phase(self, name: str, *mixes: load.Mix) -> None:
        """Sends mixes concurrently for one phase."""
        self.load.phase = name
        small = [m for m in mixes if m.per_s <= SINGLE_PROCESS_MAX_PER_S]
        large = [m for m in mixes if m.per_s > SINGLE_PROCESS_MAX_PER_S]
        for mix in large:
            self.first_number += 10_000_000
            work = self.load.run_in_processes(
                mix, self.seconds, self.first_number
            )
            self.sender_tasks.append(asyncio.create_task(work))
        if large:
            await asyncio.sleep(PROCESS_START_S)
        started = time.monotonic()
        await asyncio.gather(
            *(self.load.run(mix, self.seconds) for mix in small)
        )
        # Excludes responses to requests of the phase before.
        self.windows[name] = (started + SETTLE_S, time.monotonic())

    def compute_goodput(self, phase: str) -> float:
        """Returns tokens a second of complete responses that ended in it."""
        begin, end = self.windows[phase]
        tokens = sum(
            s.tokens
            for s in self.load.recorder.samples
            if begin <= s.ended_at < end
        )
        return tokens / (end - begin)

    async def finish(self) -> None:
        """Waits for all responses."""
        await asyncio.gather(*self.sender_tasks)
        await self.load.drain()


def make_mix(share: float, **changes: object) -> load.Mix:
    """Returns a mix at a fraction of the engines' capacity."""
    mix = load.Mix(
        per_s=share * CAPACITY_PER_S,
        chats=80,
        skew=0.0,
        ranks=load.RANK_SHARES,
        accounts=load.make_accounts(),
    )
    return dataclasses.replace(mix, **changes)


Case = Callable[[Run], Awaitable[None]]


async def run_steady(run: Run) -> None:
    """Chats with equal shares at 0.6 of capacity."""
    await run.run_phase("warm", make_mix(0.6))
    await run.run_phase("calm", make_mix(0.6))


async def run_skewed(run: Run) -> None:
    """A few chats have far more turns than the others."""
    await run.run_phase("warm", make_mix(0.6, skew=1.0))
    await run.run_phase("calm", make_mix(0.6, skew=1.0))


async def run_churn(run: Run) -> None:
    """Engines join and leave during the measured phase."""
    await run.run_phase("warm", make_mix(0.5))
    churn = asyncio.create_task(_replace_engines(run))
    await run.run_phase("calm", make_mix(0.5))
    await churn


async def _replace_engines(run: Run) -> None:
    for index in range(2):
        await asyncio.sleep(run.seconds / 3)
        name = f"{MODEL}-{index}"
        await run.running.mark_leaving(name)
        run.load.departed_engines.add(name)
        run.departed_at[name] = time.monotonic()
        await run.running.start_engine(
            f"{MODEL}-new-{index}", MODEL, DOMAINS[index]
        )


def _make_flood(rank: int) -> load.Mix:
    shares = tuple(1.0 if i == rank else 0.0 for i in range(3))
    return make_mix(10.0, ranks=shares, chats=4000)


async def run_flood_low(run: Run) -> None:
    """Adds requests of the lowest rank at ten times capacity."""
    await _flood(run, 2)


async def run_flood_high(run: Run) -> None:
    """Adds requests of the highest rank at ten times capacity."""
    await _flood(run, 0)


async def _flood(run: Run, rank: int) -> None:
    await run.run_phase("calm", make_mix(0.5))
    await run.run_phase("flood", make_mix(0.5), _make_flood(rank))
    await run.run_phase("after", make_mix(0.5))


async def run_greedy(run: Run) -> None:
    """Two accounts send four times capacity beside small accounts."""
    large_mix = make_mix(
        4.0,
        ranks=(0.0, 1.0, 0.0),
        accounts={"greedy-0": 0.5, "greedy-1": 0.5},
        chats=4000,
    )
    small_mix = make_mix(
        0.3,
        ranks=(0.0, 1.0, 0.0),
        accounts={f"small-{i}": 0.125 for i in range(8)},
    )
    await run.run_phase("calm", small_mix)
    await run.run_phase("flood", small_mix, large_mix)
    await run.run_phase("after", small_mix)


CASES: dict[str, Case] = {
    "steady": run_steady,
    "skewed": run_skewed,
    "churn": run_churn,
    "flood-low": run_flood_low,
    "flood-high": run_flood_high,
    "greedy": run_greedy,
}
CASES_WITH_BASELINES = ("steady", "skewed", "churn")


@dataclasses.dataclass(frozen=True)
class Usage:
    """Processor time and control traffic of a router since its start."""

    cpu_s: float
    control_bytes: int


def read_stat(pid: int) -> str:
    """Returns /proc/PID/stat of a process."""
    return pathlib.Path(f"/proc/{pid}/stat").read_text()


def parse_cpu_s(stat: str) -> float:
    """Returns user and system time in seconds from /proc/PID/stat."""
    fields = stat.rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


async def read_usage(running: fleet.Fleet) -> dict[str, Usage]:
    """Returns the usage of each router by name."""
    usage = {}
    for name, process in running.routers.items():
        stat = read_stat(process.child.pid)
        control = (await running.dump(process))["control"]
        usage[name] = Usage(
            parse_cpu_s(stat),
            control["peer_bytes_sent"],
        )
    return usage


@dataclasses.dataclass(frozen=True)
class Loads:
    """Load of each engine over time, by the engines' own records."""

    times: dict[str, list[float]]
    values: dict[str, list[int]]
    departed_at: dict[str, float]

    def compute_mean(self, at: float) -> float:
        """Returns the mean load at a time over engines that have not left."""
        loads_found = []
        for name, times in self.times.items():
            index = bisect.bisect_right(times, at) - 1
            if index >= 0 and at < self.departed_at.get(name, at + 1):
                loads_found.append(self.values[name][index])
        return sum(loads_found) / len(loads_found)


async def read_records(running: fleet.Fleet) -> list[dict]:
    """Returns the records of all running upstreams."""
    return [
        await running.fetch_record(process)
        for process in running.upstreams.values()
        if process.is_running
    ]


def measure_bound(
    records: list[dict], departed_at: dict[str, float]
) -> dict[str, float]:
    """Compares the load at each placement with the load bound.

    Returns:
      The largest load over the mean, and the share of placements above the
      bound, each with the mean load at the time of the placement.
    """
    loads = Loads(
        {r["name"]: [at for at, _ in r["loads"]] for r in records},
        {r["name"]: [n for _, n in r["loads"]] for r in records},
        departed_at,
    )
    above, worst, placements = 0, 0.0, 0
    for record in records:
        for run in record["runs"]:
            mean = loads.compute_mean(run["at"])
            limit = LOAD_BOUND * mean + LOAD_BOUND_SLACK
            placements += 1
            above += run["load"] > limit
            if mean >= LOAD_BOUND_SLACK:
                worst = max(worst, run["load"] / mean)
    return {
        "peak_over_mean": round(worst, 2),
        "above_bound": round(above / max(1, placements), 4),
    }


def count_false_rejections(
    samples: list[load.Sample], records: list[dict]
) -> int:
    """Returns the number of `not_run` errors whose request did run."""
    ran = {
        run["request_id"].rpartition(".")[0]
        for record in records
        for run in record["runs"]
    }
    return sum(s.not_run and s.request_id in ran for s in samples)


def summarize(
    run: Run,
    records: list[dict],
    before: dict[str, Usage],
    after: dict[str, Usage],
    elapsed_s: float,
) -> dict:
    """Returns all figures of a run."""
    samples = run.load.recorder.samples
    figures: dict = {
        "codes": load.count_codes(samples),
        "false_refusals": count_false_rejections(samples, records),
        **measure_bound(records, run.departed_at),
    }
    spent = [after[n].cpu_s - before[n].cpu_s for n in after]
    control = [after[n].control_bytes - before[n].control_bytes for n in after]
    figures["router_cpu"] = round(max(spent) / elapsed_s, 3)
    figures["control_bytes_per_s"] = round(max(control) / elapsed_s)
    figures["phases"] = {
        phase: summarize_phase(run, phase)
        for phase in dict.fromkeys(s.phase for s in samples)
    }
    return figures


def summarize_phase(run: Run, phase: str) -> dict:
    """Returns the figures of one phase."""
    recorder = run.load.recorder
    samples = recorder.select(phase)
    figures: dict = {
        "reuse": round(load.compute_reuse(samples), 3),
        "tokens_per_s": round(run.compute_goodput(phase)),
        "ranks": {},
        "small": summarize_samples(
            [s for s in samples if s.account.startswith("small")]
        ),
    }
    for rank, name in enumerate(load.RANKS):
        chosen = [s for s in samples if s.rank == rank]
        if chosen:
            figures["ranks"][name] = summarize_samples(chosen)
    return figures


def summarize_samples(samples: list[load.Sample]) -> dict:
    """Returns completion shares and latencies of samples.

    `kept` is the share of requests with a complete response.
    """
    complete = [s for s in samples if s.complete]
    gaps = [gap for s in complete for gap in s.gaps_s]
    return {
        "offered": len(samples),
        "kept": round(len(complete) / max(1, len(samples)), 3),
        "kept_tokens": sum(s.tokens for s in complete),
        "first_ms": load.summarize_ms([s.first_token_s for s in complete]),
        "gap_ms": load.summarize_ms(gaps),
    }


async def measure(case: str, placement: str, seed: int, seconds: float) -> dict:
    """Runs one case with one placement and returns its figures."""
    async with fleet.Fleet(make_spec(placement)) as running:
        urls = [router.url for router in running.routers.values()]
        run = Run(running, load.Load(running.http, urls, MODEL, seed), seconds)
        before = await read_usage(running)
        started = time.monotonic()
        await CASES[case](run)
        elapsed_s = time.monotonic() - started
        after = await read_usage(running)
        await run.finish()
        records = await read_records(running)
        figures = summarize(run, records, before, after, elapsed_s)
    return {
        "case": case,
        "placement": placement,
        "seed": seed,
        "seconds": seconds,
        **figures,
    }


def print_row(row: dict) -> None:
    """Prints the figures of a run as a table."""
    print(
        f"{row['case']} / {row['placement']} / seed {row['seed']}: "
        f"peak/mean {row['peak_over_mean']}, "
        f"above bound {row['above_bound']:.2%}, "
        f"cpu {row['router_cpu']:.1%}, "
        f"control {row['control_bytes_per_s']} B/s, "
        f"refusals found run {row['false_refusals']}, {row['codes']}"
    )
    for phase, figures in row["phases"].items():
        print(
            f"  {phase:6} reuse {figures['reuse']:.3f} "
            f"tokens/s {figures['tokens_per_s']} "
            f"of {CAPACITY_PER_S * load.ANSWER_TOKENS:.0f}"
        )
        rows = {**figures["ranks"], "(small)": figures["small"]}
        for name, service in rows.items():
            first, gap = service["first_ms"], service["gap_ms"]
            print(
                f"    {name:8} kept {service['kept']:.3f} of "
                f"{service['offered']:5}  first {first['p50']:7} "
                f"{first['p95']:7} {first['p99']:7}  gap {gap['p95']:6}"
            )


async def run_all(arguments: argparse.Namespace) -> None:
    """Runs the chosen cases and writes their figures."""
    rows = []
    for seed in arguments.seeds:
        for case in arguments.cases or CASES:
            placements = ["prefix"]
            if case in CASES_WITH_BASELINES and not arguments.only:
                placements += BASELINES
            for placement in placements:
                row = await measure(case, placement, seed, arguments.seconds)
                rows.append(row)
                print_row(row)
    arguments.out.parent.mkdir(parents=True, exist_ok=True)
    arguments.out.write_text(json.dumps(rows, indent=1))


def main() -> None:
    """Runs the program."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("cases", nargs="*", help=", ".join(CASES))
    parser.add_argument("--seeds", type=int, nargs="+", default=[1, 2])
    parser.add_argument("--seconds", type=float, default=12.0)
    parser.add_argument(
        "--only", action="store_true", help="leave out the baselines"
    )
    parser.add_argument(
        "--out", type=pathlib.Path, default=pathlib.Path("out/measure.json")
    )
    uvloop.run(run_all(parser.parse_args()))


if __name__ == "__main__":
    main()
