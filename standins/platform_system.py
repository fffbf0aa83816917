"""Routers on stand-ins of the users' platform, as processes on loopback."""

import asyncio
from collections.abc import Callable
import json
import pathlib
import sys
import tempfile
import time

from oleanderhoist.http import client
from standins import proxy

START_SECONDS = 15.0
RETRY_SECONDS = 0.1
FRONT_PORT = 18641
CONFIG = {
    "version": "00000007",
    "limits": {
        "max_header_bytes": 16384,
        "max_body_bytes": 1_000_000,
        "header_timeout_ms": 3000,
        "idle_timeout_ms": 15000,
    },
    "listeners": [
        {
            "host": "a.example",
            "rules": [
                {
                    "name": "lookups",
                    "route_type": "safe",
                    "target_latency_ms": 300,
                    "priority": 0,
                    "match": {"prefix": "/look/"},
                    "action": {
                        "service": "tables",
                        "timeout_ms": 2000,
                        "max_attempts": 2,
                    },
                },
                {
                    "name": "orders",
                    "route_type": "unsafe",
                    "target_latency_ms": 300,
                    "priority": 1,
                    "match": {"prefix": "/order/"},
                    "action": {
                        "traffic_split": [
                            {"service": "desk", "weight": 1},
                            {"service": "spare", "weight": 0},
                        ],
                        "timeout_ms": 2000,
                        "max_attempts": 2,
                    },
                },
            ],
        }
    ],
    "clusters": [
        {"name": "tables", "sharded": True},
        {"name": "desk"},
        {"name": "spare"},
    ],
}


def pool_of(id: str) -> str:
    """Returns the pool of a server by the first letter of its id."""
    return {"t": "tables", "d": "desk"}[id[0]]


def probe_prefix(version: int) -> str:
    """Returns the prefix of the route that a version adds."""
    return f"/probe/{version}/"


def with_probe(version: int) -> dict:
    """Returns the configuration with a version and a route of its own."""
    copy = json.loads(json.dumps(CONFIG))
    copy["version"] = f"{version:08x}"
    rules = copy["listeners"][0]["rules"]
    match = {"prefix": probe_prefix(version)}
    rules.append({**rules[0], "name": f"probe-{version}", "match": match})
    return copy


class System:
    """Routers and stand-ins as real processes on loopback.

    Args:
        subnet: First three numbers of the routers' addresses.
        routers: Last numbers of the routers' addresses.
        servers: Number of servers, half of them owners of keys.
        proxied: Whether links to the store and to servers lead over proxies.
        journal: Called with each line that a server writes.
        interpreter: Options that routers' interpreters are started with.
    """

    def __init__(
        self,
        *,
        subnet: str = "127.0.0",
        routers: tuple[int, ...] = (2, 3),
        servers: int = 4,
        proxied: bool = False,
        journal: Callable[[str, str], None] | None = None,
        interpreter: tuple[str, ...] = (),
    ):
        self.subnet = subnet
        self.routers = routers
        self.server_count = servers
        self.proxied = proxied
        self.journal = journal
        self.interpreter = interpreter
        self.proxies = proxy.Proxies()
        self.readers: set[asyncio.Task] = set()
        self.processes: dict[str, asyncio.subprocess.Process] = {}
        self.folder = tempfile.TemporaryDirectory()
        self.store = ""
        self.servers: dict[str, str] = {}
        self.real: dict[str, str] = {}
        self.born: dict[str, int] = {}
        self.clients = client.Clients()

    async def spawn(self, name: str, *command: str, **env: str) -> str:
        """Starts a process; returns its first line."""
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            *command,
            stdout=asyncio.subprocess.PIPE,
            env={"PYTHONPATH": ".", "PATH": "/usr/bin:/bin", **env},
        )
        self.processes[name] = process
        async with asyncio.timeout(START_SECONDS):
            line = await process.stdout.readline()
        return line.decode()

    async def start(self) -> None:
        """Starts everything and waits until the routers are ready."""
        line = await self.spawn(
            "store", "standins.rowstore", "--listen", "127.0.0.1:0"
        )
        self.store = json.loads(line)[0]
        await self.seed("op", "config", CONFIG)
        for number in range(self.server_count):
            id = f"{'td'[number % 2]}{number // 2 + 1}"
            await self.start_server(id, pool_of(id), id[0] == "t")
        for number in self.routers:
            await self.start_router(number)
        await self.until_served()

    async def start_server(
        self, id: str, pool: str, keyed: bool, *, address: str = "127.0.0.1:0"
    ) -> None:
        """Starts a server and lists it."""
        command = ["standins.instance", "--listen", address, "--id", id]
        command += ["--keyed"] if keyed else []
        command += ["--journal"] if self.journal else []
        line = await self.spawn(id, *command)
        self.real[id] = json.loads(line)[0]
        self.servers[id] = await self.through(id, self.real[id])
        self.born[id] = time.time_ns() // 1_000_000
        if self.journal:
            reading = asyncio.create_task(self.read_journal(id))
            self.readers.add(reading)
        await self.list_server(id, pool)

    async def read_journal(self, id: str) -> None:
        """Hands on what a server writes, until it ends."""
        stream = self.processes[id].stdout
        while line := await stream.readline():
            self.journal(id, line.decode())

    async def through(self, name: str, address: str) -> str:
        """Returns the address at which routers reach a process."""
        if not self.proxied:
            return address
        return await self.proxies.route(name, address)

    async def list_server(
        self, id: str, pool: str, state: str = "ready"
    ) -> None:
        """Writes a server's entry."""
        entry = {
            "service": pool,
            "address": self.servers[id],
            "zone": "z",
            "slots": 3,
            "state": state,
            "sequence": 1,
            "born": self.born[id],
        }
        await self.seed("servers", id, entry)

    async def start_router(self, number: int) -> None:
        """Starts a router on a loopback address of its own."""
        ip = f"{self.subnet}.{number}"
        path = pathlib.Path(self.folder.name, f"{number}.json")
        file = {
            "node": f"r{number}",
            "ip": ip,
            "zone": "z",
            "listen": {"front": f"{ip}:{FRONT_PORT}", "ready": f"{ip}:18640"},
            "internal_ports": [17620, 17635],
            "provider": {
                "address": await self.through(f"store-{number}", self.store)
            },
        }
        await asyncio.to_thread(path.write_text, json.dumps(file))
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            *self.interpreter,
            "-m",
            "oleanderhoist.cli.router",
            "--settings",
            str(path),
            "--log-file",
            str(path.with_suffix(".log")),
            env={"PYTHONPATH": ".", "PATH": "/usr/bin:/bin"},
        )
        self.processes[f"r{number}"] = process

    def signal(self, name: str, number: int) -> bool:
        """Sends a signal to a process of this system that still runs."""
        process = self.processes[name]
        if process.returncode is not None:
            return False
        process.send_signal(number)
        return True

    async def seed(self, table: str, key: str, value: object) -> None:
        """Writes a row as the operator or a server."""
        await self.call(
            self.store,
            "PUT",
            "/seed",
            {"table": table, "key": key, "value": value},
        )

    async def call(
        self, address: str, method: str, path: str, body: object = None
    ) -> bytes:
        """Calls a stand-in, until it answers: it may be frozen for a while."""
        data = b"" if body is None else json.dumps(body).encode()
        async with asyncio.timeout(START_SECONDS):
            while True:
                try:
                    response = await self.clients.get(address).request(
                        method, path, timeout=3, body=data
                    )
                    return response.body
                except client.ExchangeError:
                    await asyncio.sleep(RETRY_SECONDS)

    async def send(
        self,
        id: str,
        *,
        router: int = 2,
        method: str = "GET",
        path: str = "/look/1",
        key: int = 100,
    ) -> int:
        """Sends a caller's request; returns the status."""
        response = await client.Client(
            address=client.Address(
                host=f"{self.subnet}.{router}", port=FRONT_PORT
            )
        ).request(
            method,
            path,
            timeout=4,
            headers=[
                (b"request-id", id.encode()),
                (b"deadline-ms", b"2000"),
                (b"shard-key", b"%d" % key),
            ],
            host=b"a.example",
        )
        return response.status

    async def until_served(self) -> None:
        """Waits until both routers serve keyed and other work."""
        async with asyncio.timeout(START_SECONDS):
            for router in self.routers:
                for path in ("/look/1", "/order/1"):
                    while not await self.served(router, path):
                        await asyncio.sleep(0.1)

    async def served(self, router: int, path: str) -> bool:
        """Tells whether a router serves some work."""
        try:
            return await self.send("up", router=router, path=path) == 200
        except client.ExchangeError:
            return False

    async def ran(self, *ids: str) -> list[str]:
        """Returns what servers ran."""
        found = []
        for id in ids:
            found += json.loads(
                await self.call(self.servers[id], "GET", "/ran")
            )
        return found

    async def stop(self) -> None:
        """Ends all processes that were started here."""
        for process in self.processes.values():
            if process.returncode is None:
                process.kill()
                await process.wait()
        for reading in self.readers:
            reading.cancel()
        await self.proxies.stop()
        self.folder.cleanup()
