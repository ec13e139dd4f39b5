"""Starts a fleet and its stand-ins as separate processes on loopback."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import json
import os
import pathlib
import re
import signal
import sys
import tempfile
from typing import Any

import aiohttp
import yaml

READY_TIMEOUT_S = 20.0
_STARTED_LINE = re.compile(r".*event=started.*\n")
_PORT = re.compile(r"(caller|peer)=(\d+)")
STOP_TIMEOUT_S = 20.0


@dataclasses.dataclass
class Process:
    """A started process and the ports it reported."""

    name: str
    child: asyncio.subprocess.Process
    ports: dict[str, int]

    @property
    def port(self) -> int:
        """Returns the port of a stand-in, or a router's port for clients."""
        return self.ports.get("port") or self.ports["caller"]

    @property
    def url(self) -> str:
        """Returns the base URL."""
        return f"http://127.0.0.1:{self.port}"

    @property
    def peer_url(self) -> str:
        """Returns a router's URL for peers and operators."""
        return f"http://127.0.0.1:{self.ports['peer']}"

    @property
    def is_running(self) -> bool:
        """Tells whether the process is running."""
        return self.child.returncode is None

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal to this process."""
        self.child.send_signal(number)

    async def wait(self) -> int:
        """Waits until the process exits; returns its exit code.

        Raises:
          TimeoutError: It did not exit within STOP_TIMEOUT_S.
        """
        return await asyncio.wait_for(self.child.wait(), STOP_TIMEOUT_S)

    async def kill(self) -> None:
        """Kills the process and waits until it has exited."""
        if self.child.returncode is None:
            self.child.kill()
        await self.child.wait()


@dataclasses.dataclass(frozen=True)
class FleetSpec:
    """Specification of a fleet to start.

    Attributes:
      document: The fleet configuration.
      routers: Failure domain of each router.
      engines: Failure domains of the engines of each model.
      replicas: Failure domains of the replicas of each plain service.
      engine_options: Command line options of every engine.
      settings: Sections that are merged into every router's settings.
    """

    document: dict[str, Any]
    routers: tuple[str, ...]
    engines: dict[str, tuple[str, ...]]
    replicas: dict[str, tuple[str, ...]]
    engine_options: tuple[str, ...] = ()
    settings: dict[str, Any] = dataclasses.field(default_factory=dict)


class Fleet:
    """Running routers, upstreams and platform stand-ins."""

    def __init__(self, spec: FleetSpec):
        self.spec = spec
        self.routers: dict[str, Process] = {}
        self.upstreams: dict[str, Process] = {}
        self.exit_codes: dict[str, int] = {}
        self.other_processes: list[Process] = []
        self._vm_entries: dict[str, dict[str, Any]] = {}
        self._folder = tempfile.TemporaryDirectory(prefix="agatedock-")
        self.folder = pathlib.Path(self._folder.name)

    async def __aenter__(self) -> Fleet:
        """Starts all processes and waits until the routers are ready."""
        self.http = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0)
        )
        try:
            await self._start_all()
        except BaseException:
            await self.__aexit__()
            raise
        return self

    async def __aexit__(self, *_: object) -> None:
        """Stops the routers, then all other processes."""
        await self.stop_routers()
        for process in self.other_processes:
            await process.kill()
        await self.http.close()
        self._folder.cleanup()

    async def stop_routers(self) -> None:
        """Stops all routers gracefully and records their exit codes.

        A router that does not exit in time is killed and recorded as -9.
        """
        for process in self.routers.values():
            if process.child.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    process.signal(signal.SIGCONT)
                    process.child.terminate()
        for name, process in self.routers.items():
            try:
                self.exit_codes[name] = await process.wait()
            except TimeoutError:
                await process.kill()
                self.exit_codes[name] = -9

    async def _start_all(self) -> None:
        self.kv = await self.start_standin("kv", "kv")
        self.vms = await self.start_standin("vmlist", "vms")
        await self._start_upstreams()
        await asyncio.gather(
            *(
                self.start_router(f"router-{index}", domain)
                for index, domain in enumerate(self.spec.routers)
            )
        )
        document = self.folder / "fleet.yaml"
        document.write_text(yaml.safe_dump(self.spec.document))
        code, output = await self.run_operator(
            "config", "edit", str(document), "--reason", "first configuration"
        )
        if code != 0:
            raise RuntimeError(
                f"writing the first configuration failed: {output}"
            )
        await self.wait_until_ready()

    async def _start_upstreams(self) -> None:
        starts = []
        for model, domains in self.spec.engines.items():
            for index, domain in enumerate(domains):
                name = f"{model}-{index}"
                starts.append(self.start_engine(name, model, domain))
        for service, domains in self.spec.replicas.items():
            for index, domain in enumerate(domains):
                name = f"{service}-{index}"
                starts.append(self.start_replica(name, service, domain))
        await asyncio.gather(*starts)

    async def start_engine(self, name: str, model: str, domain: str) -> None:
        """Starts an engine and registers it in the VM list."""
        process = await self.start_standin(
            "engine", name, *self.spec.engine_options
        )
        await self._register_upstream(process, model, domain)

    async def start_replica(self, name: str, service: str, domain: str) -> None:
        """Starts a replica of a plain service and registers it."""
        process = await self.start_standin("service", name)
        await self._register_upstream(process, service, domain)

    async def _register_upstream(
        self, process: Process, service: str, domain: str
    ) -> None:
        self.upstreams[process.name] = process
        await self.register_vm(
            {
                "name": process.name,
                "role": "upstream",
                "service": service,
                "host": "127.0.0.1",
                "port": process.port,
                "failure_domain": domain,
            }
        )

    async def start_standin(
        self, module: str, name: str, *options: str
    ) -> Process:
        """Starts a stand-in from its module name in this package."""
        return await self.start_module(f"standins.{module}", name, *options)

    async def start_module(
        self, module: str, name: str, *options: str
    ) -> Process:
        """Starts a module that prints its port once it listens."""
        process = await self._start_standin_process(
            name, "-m", module, "--name", name, *options
        )
        self.other_processes.append(process)
        return process

    async def start_router(self, name: str, domain: str) -> Process:
        """Starts a router and registers it in the VM list."""
        path = self._write_settings(name, domain)
        process = await self._start_daemon(name, "router", path)
        self.routers[name] = process
        await self.register_vm(
            {
                "name": name,
                "role": "router",
                "host": "127.0.0.1",
                "port": process.ports["peer"],
                "failure_domain": domain,
            }
        )
        return process

    def _write_settings(self, name: str, domain: str) -> pathlib.Path:
        """Writes the settings file of a router or steward."""
        settings: dict[str, Any] = {
            "name": name,
            "failure_domain": domain,
            "platform": {
                "key_value_url": self.kv.url,
                "vm_list_url": f"{self.vms.url}/vms",
            },
        }
        for section, values in self.spec.settings.items():
            settings.setdefault(section, {}).update(values)
        path = self.folder / f"{name}.yaml"
        path.write_text(yaml.safe_dump(settings))
        return path

    async def start_steward(self, name: str) -> Process:
        """Starts a steward, which sends orders to engines."""
        path = self._write_settings(name, "a")
        process = await self._start_daemon(f"{name}-steward", "steward", path)
        self.other_processes.append(process)
        return process

    def _get_log_path(self, name: str) -> pathlib.Path:
        folder = os.environ.get("AGATEDOCK_LOGS")
        return pathlib.Path(folder or self.folder) / f"{name}.log"

    async def _start_standin_process(
        self, name: str, *arguments: str
    ) -> Process:
        """Starts a stand-in and reads the port that it prints.

        Raises:
          RuntimeError: It exited or printed something else.
          TimeoutError: It printed nothing within READY_TIMEOUT_S.
        """
        log = self._get_log_path(name)
        with log.open("ab") as errors:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                *arguments,
                stdout=asyncio.subprocess.PIPE,
                stderr=errors,
            )
        assert process.stdout is not None
        line = await asyncio.wait_for(
            process.stdout.readline(), READY_TIMEOUT_S
        )
        if not line.startswith(b"ready "):
            raise RuntimeError(f"{name}: {log.read_text()[-2000:]}")
        return Process(name, process, json.loads(line[6:]))

    async def _start_daemon(
        self, name: str, program: str, settings: pathlib.Path
    ) -> Process:
        """Starts an agatedock program and reads its ports from its log.

        Raises:
          RuntimeError: It exited before its `started` event.
          TimeoutError: There was no such event within READY_TIMEOUT_S.
        """
        log = self._get_log_path(name)
        log_offset = log.stat().st_size if log.exists() else 0
        with log.open("ab") as output:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                f"agatedock.ui.{program}",
                "--settings",
                str(settings),
                stdout=output,
                stderr=output,
            )
        async with asyncio.timeout(READY_TIMEOUT_S):
            while True:
                text = log.read_text()[log_offset:]
                started = _STARTED_LINE.search(text)
                if started is not None:
                    ports = _PORT.findall(started[0])
                    return Process(
                        name, process, {key: int(port) for key, port in ports}
                    )
                if process.returncode is not None:
                    raise RuntimeError(f"{name}: {text[-2000:]}")
                await asyncio.sleep(0.02)

    async def register_vm(self, entry: dict[str, Any]) -> None:
        """Writes an entry of the VM list."""
        self._vm_entries[entry["name"]] = entry
        url = f"{self.vms.url}/vms/{entry['name']}"
        async with self.http.put(url, json=entry) as response:
            response.raise_for_status()

    async def mark_leaving(self, name: str) -> None:
        """Sets the state of a VM to leaving in the VM list."""
        await self.register_vm({**self._vm_entries[name], "state": "leaving"})

    async def set_faults(self, process: Process, **faults: object) -> None:
        """Sets fault switches of a stand-in."""
        async with self.http.post(
            f"{process.url}/faults", json=faults
        ) as response:
            response.raise_for_status()

    async def fetch_record(
        self, process: Process, path: str = "/record"
    ) -> Any:
        """Returns what a stand-in recorded, as JSON."""
        async with self.http.get(process.url + path) as response:
            return await response.json()

    async def dump(self, router: Process) -> dict[str, Any]:
        """Returns the state dump of a router."""
        async with self.http.get(f"{router.peer_url}/dump") as response:
            return await response.json()

    async def run_operator(self, *arguments: str) -> tuple[int, str]:
        """Runs the operators' program; returns its exit code and output."""
        router = next(
            p for p in self.routers.values() if p.child.returncode is None
        )
        environment = {
            **os.environ,
            "AGATEDOCK_ROUTER": router.peer_url,
            "AGATEDOCK_KEY_VALUE": self.kv.url,
        }
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "agatedock.ui.operator",
            *arguments,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
            env=environment,
        )
        output, _ = await process.communicate()
        assert process.returncode is not None
        return process.returncode, output.decode()

    async def wait_until_ready(self) -> None:
        """Waits until every router has a full view of the fleet.

        Each must list all running routers as alive and all upstreams, and
        have a configuration.
        """
        upstreams = sum(
            len(domains)
            for domains in (
                *self.spec.engines.values(),
                *self.spec.replicas.values(),
            )
        )
        routers = [r for r in self.routers.values() if r.is_running]
        async with asyncio.timeout(READY_TIMEOUT_S):
            while True:
                dumps = [await self.dump(router) for router in routers]
                if all(
                    len(_list_live_routers(dump)) == len(routers)
                    and len(dump["upstreams"]) >= upstreams
                    and dump["configuration"]["revision"] > 0
                    for dump in dumps
                ):
                    return
                await asyncio.sleep(0.1)


def _list_live_routers(dump: dict[str, Any]) -> list[str]:
    return [m["name"] for m in dump["members"] if m["status"] == "alive"]
