"""A small deployment: routers as processes, stand-ins in this process."""

import asyncio
import contextlib
import dataclasses
import json
import os
import pathlib
import random
import resource
import signal
import socket
import sys
import tempfile
import time

from oleanderhoist.policy import hashing
from review.lab import http
from review.lab import instance
from review.lab import store

ROOT = pathlib.Path(__file__).resolve().parents[2]
FRONT_PORT = 8641
READY_PORT = 8640
INTERNAL_PORTS = [7620, 7635]
METRICS_PORT = 9464  # Of deploy/system.toml.
START_SECONDS = 20.0
SERVICE_NAMES = 200
RESTART_SECONDS = 0.5  # The platform restarts an ended process so much later.
BOUNDS = {
    "seed_lag_s": 3,
    "reuse_after_s": 2,
    "contact_ms": 3000,
    "ack_ms": 4000,
    "catch_up_s": 4,
    "drain_ms": 2000,
    "grace_s": 6,
    "loss_slack_ms": 200,
    "config_apply_ms": 2000,
    "rollback_slack_ms": 250,
    "outer_ms": 5000,
    "retry_budget_ratio": 0.2,
    "budget_window_s": 10,
    "budget_extra_retries": 139,
    "recover_s": 15,
    "hold_max_ms": 10000,
    "thaw_ms": 300,
}
LIMITS = {
    "cpu_share": 0.602,
    "cpu_cores": 1,
    "memory_mb": 222,
    "max_fds": 2870,
    "link_mbps": 700.0,
    "disk_mb": 0,
}


class CannotRunError(Exception):
    """The case could not be run."""


@dataclasses.dataclass(kw_only=True)
class Answer:
    """How a request ended.

    Attributes:
        id: The request's id.
        status: Status of the answer; 0 without one.
        body: Its body.
        seconds: How long it took.
    """

    id: str
    status: int
    body: bytes
    seconds: float


def rule(
    name: str,
    prefix: str,
    kind: str,
    services: list[str],
    *,
    target_ms: int = 600,
    timeout_ms: int = 2000,
    priority: int = 0,
    max_attempts: int = 2,
) -> dict:
    """Returns a route of the configuration."""
    action: dict = {"timeout_ms": timeout_ms, "max_attempts": max_attempts}
    if len(services) == 1:
        action["service"] = services[0]
    else:
        action["traffic_split"] = [
            {"service": service, "weight": 1} for service in services
        ]
    return {
        "name": name,
        "route_type": kind,
        "target_latency_ms": target_ms,
        "priority": priority,
        "match": {"prefix": prefix},
        "action": action,
    }


def configuration(
    version: int, rules: list[dict], services: dict[str, bool]
) -> dict:
    """Returns a configuration.

    Args:
        version: Its version.
        rules: The routes of the one host.
        services: Whether each service is divided by key, by name.
    """
    clusters = []
    for name, keyed in services.items():
        cluster = {
            "name": name,
            "health_path": "/health",
            "max_conns": 121,
            "protocol": "h1",
            "tls": False,
        }
        if keyed:
            cluster.update(sharded=True, warm_s=5.0, grants="rpc")
        clusters.append(cluster)
    return {
        "version": f"{version:08x}",
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 67108864,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "listeners": [{"host": "a.example", "rules": rules}],
        "clusters": clusters,
    }


class Record:
    """Events of a run, in order, as lines of a file.

    Args:
        path: The file.
    """

    def __init__(self, *, path: pathlib.Path):
        self.path = path
        self.started_at = time.monotonic()
        self.events: list[dict] = []

    def __call__(self, kind: str, **fields: object) -> None:
        """Records an event."""
        at = round(time.monotonic() - self.started_at, 3)
        self.events.append({"at": at, "kind": kind, **fields})

    def find(self, kind: str, **fields: object) -> list[dict]:
        """Returns the events of a kind that have some fields."""
        return [
            event
            for event in self.events
            if event["kind"] == kind
            and all(event.get(name) == value for name, value in fields.items())
        ]

    def write(self) -> None:
        """Writes the file."""
        lines = [json.dumps(event) for event in self.events]
        self.path.write_text("\n".join(lines) + "\n")


class Deployment:
    """Routers on loopback addresses of their own, a store and instances.

    Args:
        record: Records what happens.
        routers: Number of routers.
        bounds: Bounds that differ from `BOUNDS`.
        limits: Limits of the routers' machines that differ.
    """

    def __init__(
        self,
        *,
        record: Record,
        routers: int = 2,
        bounds: dict[str, int] | None = None,
        limits: dict[str, float] | None = None,
    ):
        self.record = record
        self.bootstrap = True
        self.bounds = bounds or {}
        self.limits = {**LIMITS, **(limits or {})}
        self.store = store.Store()
        self.instances: dict[str, instance.Instance] = {}
        self.folder = tempfile.TemporaryDirectory()
        self.processes: dict[str, asyncio.subprocess.Process] = {}
        subnet = free_subnet(routers)
        self.ips = {
            f"r{number}": f"{subnet}.{number}"
            for number in range(1, routers + 1)
        }

    def peer_address(self, router: str) -> str:
        """Returns the address at which other routers know a router."""
        return f"{self.ips[router]}:{INTERNAL_PORTS[0]}"

    def service_for(self, router: str, prefix: str) -> str:
        """Returns a service name whose slot queue a router coordinates."""
        cores = float(self.limits["cpu_share"])
        members = {self.peer_address(router): cores for router in self.ips}
        for number in range(SERVICE_NAMES):
            name = f"{prefix}{number}"
            home = hashing.weighted_rendezvous(f"pool/{name}", members)
            if home == self.peer_address(router):
                return name
        raise CannotRunError("no name for a service")

    def front(self, router: str) -> str:
        """Returns a router's address for clients."""
        return f"{self.ips[router]}:{FRONT_PORT}"

    async def add_instance(self, one: instance.Instance) -> None:
        """Starts an instance and registers it."""
        one.record = self.record
        await one.server.start()
        self.instances[one.id] = one
        self.store.put("servers", one.id, one.entry())

    def settings(self, router: str) -> dict:
        """Returns the settings of a router, as DEPLOY.md gives them."""
        ip = self.ips[router]
        return {
            "node": router,
            "role": "router",
            "machine_class": "edge",
            "serves": ["edge"],
            "ip": ip,
            "zone": "z1",
            "region": "region",
            "zones": {"z1": "region"},
            "listen": {
                "front": f"{ip}:{FRONT_PORT}",
                "ready": f"{ip}:{READY_PORT}",
            },
            "internal_ports": INTERNAL_PORTS,
            "seeds": [],
            "bootstrap": self.bootstrap,
            "counts_as_loss": False,
            "limits": self.limits,
            "data_dir": None,
            "discovery": "platform",
            "entry": "vip",
            "heartbeat_ms": 1500,
            "contracts": [
                "base",
                "drain",
                "config",
                "cost",
                "retry",
                "recover",
                "own",
                "platform",
            ],
            "tolerate": {"machines": 1, "zones": 0, "regions": 0},
            "bounds": [
                f"{name}={value}"
                for name, value in {**BOUNDS, **self.bounds}.items()
            ],
            "grants": "rpc",
            "provider": {
                "address": self.store.server.address,
                "form": "table",
                "writes_per_s": 400,
                "reads_per_s": 2000,
                "tx_ms": 3.0,
                "part_writes_s": 300,
                "row_bytes": 65536,
                "across": True,
                "history_s": 20,
                "blob_bytes": 8388608,
                "blob_ms": 25.0,
                "blob_mb_s": 80.0,
            },
        }

    async def start_router(self, router: str) -> None:
        """Starts a router with the command of the deploy file."""
        path = pathlib.Path(self.folder.name) / f"{router}.json"
        path.write_text(json.dumps(self.settings(router)))
        log_path = os.environ.get("ROUTER_LOGS")
        output = asyncio.subprocess.DEVNULL
        if log_path:
            output = (pathlib.Path(log_path) / f"{router}.log").open("ab")
        self.processes[router] = await asyncio.create_subprocess_exec(
            sys.executable,
            "-S",
            "-m",
            "oleanderhoist.cli.router",
            cwd=ROOT,
            stdout=output,
            stderr=output,
            preexec_fn=self.limit_descriptors,
            env={
                "PATH": os.environ.get("PATH", ""),
                "HOME": self.folder.name,
                "PYTHONPATH": str(ROOT / "target" / "deps"),
                "OLEANDERHOIST_SETTINGS": str(path),
            },
        )
        self.record("router-started", router=router)

    def limit_descriptors(self) -> None:
        """Limits the descriptors of a router, as its platform does."""
        most = int(self.limits["max_fds"])
        resource.setrlimit(resource.RLIMIT_NOFILE, (most, most))

    def signal(self, router: str, number: signal.Signals) -> None:
        """Sends a signal to a router."""
        self.record("signal", router=router, signal=number.name)
        self.processes[router].send_signal(number)

    async def restart_router(self, router: str) -> None:
        """Starts a router again after it has ended, as the platform does."""
        await self.processes[router].wait()
        self.bootstrap = False
        await asyncio.sleep(RESTART_SECONDS)
        await self.start_router(router)

    async def is_ready(self, router: str) -> bool:
        """Returns whether a router reports itself ready."""
        try:
            answer = await http.call(
                f"{self.ips[router]}:{READY_PORT}",
                "GET",
                "/readiness",
                timeout=0.5,
            )
        except (OSError, TimeoutError, http.ClosedError):
            return False
        return answer.status == 200

    async def wait_ready(self, router: str) -> None:
        """Waits until a router reports itself ready.

        Raises:
            CannotRunError: It does not.
        """
        await wait_for(lambda: self.is_ready(router), f"{router} ready")
        self.record("router-ready", router=router)

    async def wait_served(self, router: str, target: str, key: int) -> None:
        """Waits until a router answers a request with success."""
        number = 0

        async def served() -> bool:
            nonlocal number
            number += 1
            answer = await self.send(
                f"warm-{router}-{number}{random.random()}",
                router,
                target,
                key=key,
            )
            return answer.status == 200

        await wait_for(served, f"{target} through {router}")

    async def send(
        self,
        id: str,
        router: str,
        target: str,
        *,
        method: str = "GET",
        deadline_ms: int = 4000,
        key: int | None = None,
        body: bytes = b"",
    ) -> Answer:
        """Sends a request on a new connection, as a client."""
        headers = {
            "host": "a.example",
            "request-id": id,
            "deadline-ms": str(deadline_ms),
        }
        if key is not None:
            headers["shard-key"] = str(key)
        self.record("sent", id=id, router=router, target=target)
        began = time.monotonic()
        status, answer_body = 0, b""
        with contextlib.suppress(OSError, TimeoutError, http.ClosedError):
            answer = await http.call(
                self.front(router),
                method,
                target,
                headers=headers,
                body=body,
                timeout=deadline_ms / 1000,
            )
            status, answer_body = answer.status, answer.body
        seconds = round(time.monotonic() - began, 3)
        self.record(
            "answered",
            id=id,
            status=status,
            seconds=seconds,
            body=answer_body[:80].decode("latin-1"),
        )
        return Answer(id=id, status=status, body=answer_body, seconds=seconds)

    async def stop(self) -> None:
        """Ends all processes and stand-ins."""
        for process in self.processes.values():
            if process.returncode is None:
                process.kill()
                await process.wait()
        for one in self.instances.values():
            one.server.stop()
        self.store.server.stop()
        self.folder.cleanup()


async def wait_for(condition: object, what: str) -> None:
    """Waits until an asynchronous condition is true.

    Raises:
        CannotRunError: It was not true in time.
    """
    end = time.monotonic() + START_SECONDS
    while not await condition():
        if time.monotonic() > end:
            raise CannotRunError(f"waited in vain for {what}")
        await asyncio.sleep(0.02)


def free_subnet(routers: int) -> str:
    """Returns a loopback subnet on which the routers' ports are free."""
    for _ in range(50):
        subnet = f"127.{random.randint(20, 200)}.{random.randint(1, 250)}"
        if all(ports_free(f"{subnet}.{n}") for n in range(1, routers + 1)):
            return subnet
    raise CannotRunError("no free loopback addresses")


def ports_free(ip: str) -> bool:
    """Returns whether a router's ports are free on an address."""
    for port in (FRONT_PORT, READY_PORT, METRICS_PORT):
        with socket.socket() as probe:
            try:
                probe.bind((ip, port))
            except OSError:
                return False
    return True


def run(scenario: object, folder: str) -> int:
    """Runs a scenario and returns the exit status of its script.

    Args:
        scenario: Called with a record and whether to disturb; returns the
            breaches of the rule that were seen.
        folder: The case's folder, for record.txt.
    """
    record = Record(path=pathlib.Path(folder) / "record.txt")
    disturb = os.environ.get("TROUBLE", "1") != "0"
    try:
        breaches = asyncio.run(scenario(record, disturb))
    except (CannotRunError, OSError, TimeoutError) as error:
        record("cannot-run", reason=f"{type(error).__name__}: {error}")
        record.write()
        print(f"cannot run: {error}")
        return 2
    for breach in breaches:
        record("breach", text=breach)
        print(breach)
    record("result", disturbed=disturb, breaches=len(breaches))
    record.write()
    print(f"disturbed: {disturb}; breaches: {len(breaches)}")
    return 1 if breaches else 0
