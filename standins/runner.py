"""Shared by all stand-ins: fault switches, options and the server loop."""

from __future__ import annotations

import argparse
import asyncio
import json
import signal
from typing import Any

from aiohttp import web
import uvloop


class Faults(dict):
    """Fault switches by name, set over HTTP; a missing switch is off."""

    def get_number(self, name: str) -> int:
        """Returns the value of a switch, 0 if off."""
        return int(self.get(name, 0))

    def consume(self, name: str) -> bool:
        """Decrements a counted fault; returns whether it was above 0."""
        remaining = self.get_number(name)
        if remaining > 0:
            self[name] = remaining - 1
        return remaining > 0


def add_faults(app: web.Application, faults: Faults) -> None:
    """Adds the route that sets fault switches."""

    async def set_faults(request: web.Request) -> web.Response:
        faults.update(await request.json())
        return web.json_response(faults)

    app.router.add_post("/faults", set_faults)


def make_parser(text: str) -> argparse.ArgumentParser:
    """Returns a parser with the options common to all stand-ins."""
    parser = argparse.ArgumentParser(description=text)
    parser.add_argument("--name", default="standin")
    parser.add_argument("--host", default="127.0.0.1")
    parser.add_argument("--port", type=int, default=0)
    return parser


def run(app: web.Application, arguments: argparse.Namespace) -> None:
    """Serves until SIGTERM or SIGINT; prints the port once it listens."""
    uvloop.run(_run(app, arguments))


async def _run(app: web.Application, arguments: argparse.Namespace) -> None:
    runner = web.AppRunner(app, access_log=None, shutdown_timeout=1.0)
    await runner.setup()
    await web.TCPSite(runner, arguments.host, arguments.port).start()
    ready: dict[str, Any] = {"port": runner.addresses[0][1]}
    print(f"ready {json.dumps(ready)}", flush=True)
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop_requested.set)
    await stop_requested.wait()
    await runner.cleanup()


async def listen(server: web.Server) -> tuple[web.ServerRunner, str]:
    """Serves on a free port of the loopback address.

    Returns:
      The runner, whose `cleanup` stops the server, and its `IP:PORT`.
    """
    runner = web.ServerRunner(server, shutdown_timeout=0.1)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", 0).start()
    host, port = runner.addresses[0][:2]
    return runner, f"{host}:{port}"
