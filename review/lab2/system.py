"""A small deployment: routers as processes, and stand-ins in this process."""

import asyncio
import json
import os
import pathlib
import shutil
import signal
import subprocess
import sys
import tempfile
import time

from review.lab2 import instance
from review.lab2 import store
from review.lab2 import web

ROOT = pathlib.Path(__file__).resolve().parents[2]
# As in the deploy file.
COMMAND = ["python3", "-S", "-m", "oleanderhoist.cli.router"]
HOST = "hulo84.example"
FRONT_PORT = 18741
READY_SECONDS = 20.0
EXIT_HELD = 0
EXIT_BROKEN = 1
EXIT_NOT_RUN = 2
BOUNDS = [
    "seed_lag_s=3",
    "reuse_after_s=2",
    "contact_ms=3000",
    "ack_ms=4000",
    "catch_up_s=4",
    "drain_ms=2000",
    "grace_s=6",
    "loss_slack_ms=200",
    "config_apply_ms=2000",
    "rollback_slack_ms=250",
    "outer_ms=5000",
    "retry_budget_ratio=0.2",
    "budget_window_s=10",
    "budget_extra_retries=149",
    "recover_s=15",
    "hold_max_ms=10000",
    "thaw_ms=300",
    "evacuate_ms=5000",
]
LIMITS = {
    "cpu_share": 0.602,
    "cpu_cores": 1,
    "memory_mb": 222,
    "max_fds": 2870,
    "link_mbps": 700.0,
    "disk_mb": 0,
}


class NotRunError(Exception):
    """The case could not run."""


def rule(
    name: str,
    prefix: str,
    service: str,
    *,
    kind: str = "safe",
    timeout_ms: int = 2000,
    attempts: int = 2,
) -> dict:
    """Returns a rule of the configuration."""
    return {
        "name": name,
        "route_type": kind,
        "target_latency_ms": min(500, timeout_ms),
        "priority": 0,
        "match": {"prefix": prefix},
        "action": {
            "service": service,
            "timeout_ms": timeout_ms,
            "max_attempts": attempts,
        },
    }


def config(version: int, rules: list[dict], clusters: list[dict]) -> dict:
    """Returns a configuration."""
    return {
        "version": f"{version:08x}",
        "limits": {
            "max_header_bytes": 16_384,
            "max_body_bytes": 67_108_864,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15_000,
        },
        "listeners": [{"host": HOST, "rules": rules}],
        "clusters": clusters,
    }


def cluster(name: str, *, sharded: bool = False) -> dict:
    """Returns a service of the configuration."""
    fields = {
        "name": name,
        "health_path": "/health",
        "max_conns": 303,
        "protocol": "h1",
        "tls": False,
    }
    return {**fields, "sharded": True, "warm_s": 0.0} if sharded else fields


class System:
    """Routers, a store and instances on loopback addresses.

    Args:
        folder: Folder of the case, for its record.
        routers: Number of routers.
        limits: Limits of the routers' machines.

    Attributes:
        is_troubled: Whether the disruption takes place.
    """

    def __init__(
        self,
        *,
        folder: pathlib.Path,
        routers: int = 3,
        limits: dict | None = None,
    ):
        self.folder = folder
        self.limits = limits or LIMITS
        self.is_troubled = os.environ.get("TROUBLE", "1") != "0"
        high, low = divmod(os.getpid(), 200)
        self.subnet = f"127.{60 + high % 100}.{low + 20}"
        self.names = [f"r{number}" for number in range(2, 2 + routers)]
        self.temporary = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.processes: dict[str, subprocess.Popen] = {}
        self.rows = store.Store()
        self.instances: dict[str, instance.Instance] = {}
        self.started_at = time.monotonic()
        self.lines: list[str] = []
        self.request_count = 0

    def record(self, text: str) -> None:
        """Writes a line of the record, with the time since the start."""
        elapsed = time.monotonic() - self.started_at
        self.lines.append(f"{elapsed:8.3f} {text}\n")

    def ip(self, name: str) -> str:
        """Returns the address of a router."""
        return f"{self.subnet}.{name.removeprefix('r')}"

    def front(self, name: str) -> str:
        """Returns the address of a router for clients."""
        return f"{self.ip(name)}:{FRONT_PORT}"

    async def start_store(self, configuration: dict) -> None:
        """Starts the store with the first configuration."""
        await self.rows.server.start(f"{self.subnet}.250:0")
        self.rows.put("op", "config", configuration)

    async def start_instance(
        self,
        id: str,
        service: str,
        *,
        kind: type[instance.Instance] = instance.Instance,
        **fields: object,
    ) -> instance.Instance:
        """Starts an instance of some kind."""
        one = kind(
            id=id,
            service=service,
            rows=self.rows,
            record=self.record,
            **fields,
        )
        self.instances[id] = one
        await one.start(f"{self.subnet}.240:0")
        return one

    def start_router(self, name: str, *, bootstrap: bool = False) -> None:
        """Starts a router with the command of the deploy file."""
        ip = self.ip(name)
        path = self.temporary / f"{name}.json"
        path.write_text(
            json.dumps(
                {
                    "node": f"edge-puget-{name}",
                    "role": "router",
                    "machine_class": "edge",
                    "serves": ["edge"],
                    "ip": ip,
                    "zone": "puget",
                    "region": "cascadia",
                    "zones": {"puget": "cascadia", "willamette": "cascadia"},
                    "listen": {
                        "front": f"{ip}:{FRONT_PORT}",
                        "ready": f"{ip}:{FRONT_PORT - 1}",
                    },
                    "internal_ports": [17_720, 17_735],
                    "seeds": [],
                    "bootstrap": bootstrap,
                    "limits": self.limits,
                    "heartbeat_ms": 870,
                    "bounds": BOUNDS,
                    "provider": {
                        "address": self.rows.server.address,
                        "form": "table",
                        "writes_per_s": 400,
                        "reads_per_s": 2000,
                        "row_bytes": 65_536,
                    },
                }
            )
        )
        log = (self.temporary / f"{name}.log").open("ab")
        self.processes[name] = subprocess.Popen(
            COMMAND,
            cwd=ROOT,
            stdout=log,
            stderr=log,
            env={
                "PATH": os.environ.get("PATH", "/usr/bin:/bin"),
                "PYTHONPATH": str(ROOT / "target" / "deps"),
                "OLEANDERHOIST_SETTINGS": str(path),
            },
        )
        log.close()
        self.record(f"router {name} starts")

    def log_of(self, name: str) -> str:
        """Returns what a router has logged."""
        return (self.temporary / f"{name}.log").read_text(errors="replace")

    def leader(self) -> str:
        """Returns the router that the store's record names as leader.

        Only to choose which router the platform stops; nothing is judged by it.
        """
        for (table, key), (value, _) in self.rows.rows.items():
            if table != "op" and key == "leader":
                text = json.dumps(value)
                decoded = json.loads(__import__("base64").b64decode(value))
                for name in self.names:
                    if decoded.get("address", "").startswith(
                        f"{self.ip(name)}:"
                    ):
                        return name
                self.record(f"no leader in {text}")
        return ""

    async def send(
        self,
        router: str,
        path: str,
        *,
        key: int | None = None,
        method: str = "GET",
        seconds: float = 4.0,
        deadline_ms: int = 2000,
    ) -> tuple[int, str]:
        """Sends a request as a client; returns status and request id.

        The status is 0 without a complete response.
        """
        self.request_count += 1
        id = f"{self.request_count:016x}"
        headers = {
            "host": HOST,
            "request-id": id,
            "deadline-ms": str(deadline_ms),
        }
        if key is not None:
            headers["shard-key"] = str(key)
        status, text = 0, ""
        try:
            response = await web.call(
                self.front(router),
                method,
                path,
                headers=headers,
                seconds=seconds,
            )
            status = response.status
            text = response.headers.get("response-signature", "")
        except web.IncompleteError as error:
            text = str(error)
        shown = "" if key is None else f" key {key}"
        self.record(f"client {id} {path}{shown} at {router}: {status} {text}")
        return status, id

    async def wait_until_served(
        self, paths: list[str], *, key: int | None = None
    ) -> None:
        """Waits until each router serves each of some paths.

        Raises:
            NotRunError: It took too long.
        """
        end = time.monotonic() + READY_SECONDS
        for name in self.names:
            for path in paths:
                while (await self.send(name, path, key=key))[0] != 200:
                    if time.monotonic() > end:
                        raise NotRunError(f"{name} never served {path}")
                    await asyncio.sleep(0.2)

    async def stop_router(self, name: str) -> None:
        """Stops a router as the platform does: SIGTERM, then a kill."""
        process = self.processes[name]
        self.record(f"router {name} gets SIGTERM")
        process.send_signal(signal.SIGTERM)
        for _ in range(60):
            if process.poll() is not None:
                return
            await asyncio.sleep(0.1)
        process.kill()

    async def end(self) -> None:
        """Ends everything that was started and writes the record."""
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
                process.wait()
        for one in self.instances.values():
            await one.stop()
        await self.rows.server.stop()
        (self.folder / "record.txt").write_text("".join(self.lines))
        kept = os.environ.get("KEEP_LOGS")
        if kept:
            shutil.copytree(self.temporary, kept, dirs_exist_ok=True)
        shutil.rmtree(self.temporary, ignore_errors=True)


def run(case: object, folder: str, **fields: object) -> None:
    """Runs a case and exits with its result.

    Args:
        case: Coroutine function that takes the system and returns the breaches
            of the rule that it saw.
        folder: Folder of the case.
        **fields: Further arguments of the system.
    """

    async def main() -> int:
        system = System(folder=pathlib.Path(folder), **fields)
        try:
            breaches = await case(system)
            for breach in breaches:
                system.record(f"BROKEN {breach}")
                print(f"broken: {breach}")
            if not breaches:
                system.record("HELD")
                print("held")
            return EXIT_BROKEN if breaches else EXIT_HELD
        except NotRunError as error:
            system.record(f"NOT RUN {error}")
            print(f"not run: {error}", file=sys.stderr)
            return EXIT_NOT_RUN
        finally:
            await system.end()

    try:
        status = asyncio.run(main())
    except OSError as error:
        print(f"not run: {error}", file=sys.stderr)
        status = EXIT_NOT_RUN
    sys.exit(status)
