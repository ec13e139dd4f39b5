"""Starts the fleet of a scenario and leaves it running for manual use."""

from __future__ import annotations

import argparse
import asyncio
import signal

from standins import fleet
from standins import scenarios


async def run(scenario: scenarios.Scenario) -> None:
    """Runs a scenario's fleet until SIGTERM or SIGINT."""
    async with fleet.Fleet(scenario.spec) as running:
        for router in running.routers.values():
            print(f"{router.name}: callers {router.url}, ", end="")
            print(f"peers and operators {router.peer_url}")
        print(f"key-value service: {running.kv.url}")
        print(f"export AGATEDOCK_KEY_VALUE={running.kv.url}")
        first_router = next(iter(running.routers.values()))
        print(f"export AGATEDOCK_ROUTER={first_router.peer_url}")
        print("interrupt to stop", flush=True)
        stop_requested = asyncio.Event()
        loop = asyncio.get_running_loop()
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, stop_requested.set)
        await stop_requested.wait()


def main() -> None:
    """Runs the program."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "user", nargs="?", default="kolanut", choices=scenarios.SCENARIOS
    )
    asyncio.run(run(scenarios.SCENARIOS[parser.parse_args().user]))


if __name__ == "__main__":
    main()
