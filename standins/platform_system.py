"""Test system of routers and stand-ins for the users' platform on loopback."""

import asyncio
import collections
from collections.abc import Callable
import json
import os
import pathlib
import sys
import tempfile
import time

from oleanderhoist.http import client
from oleanderhoist.http import exchanges
from standins import coldstarts
from standins import proxy

START_TIMEOUT_SECONDS = 15.0
RETRY_INTERVAL_SECONDS = 0.1
CALL_TIMEOUT_SECONDS = 3
SEND_TIMEOUT_SECONDS = 4
REQUEST_DEADLINE_MS = 2000
SERVER_SLOTS = 3
FRONT_PORT = 18641
READINESS_ID = "up"  # Of the requests that wait for the start.
ORDER_PREFIX = "/order/"
UPLOAD_PREFIX = "/upload/"
MAX_JOURNAL_SECONDS = 5.0  # To read the last lines of an ended server.
FIRST_SUBNET_OCTET = 210  # Those below are the soak test's.
SUBNET_OCTET_COUNT = 40
THIRD_OCTET_COUNT = 250
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
                    "match": {"prefix": ORDER_PREFIX},
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


def process_subnet() -> str:
    """Returns a loopback subnet that concurrent processes do not share."""
    high, low = divmod(os.getpid(), SUBNET_OCTET_COUNT)
    return f"127.{FIRST_SUBNET_OCTET + low}.{high % THIRD_OCTET_COUNT}"


def pool_of(id: str) -> str:
    """Returns the pool of a server, by the first letter of its id."""
    return {"t": "tables", "d": "desk"}[id[0]]


def pool_for(path: str) -> str:
    """Returns the pool that executes requests at a path."""
    is_order = path.startswith((ORDER_PREFIX, UPLOAD_PREFIX))
    return "desk" if is_order else "tables"


def probe_prefix(version: int) -> str:
    """Returns the path prefix of the route that a version adds."""
    return f"/probe/{version}/"


def config_with_timeout(timeout_ms: int) -> dict:
    """Returns the configuration with a timeout and objective of all routes."""
    config = json.loads(json.dumps(CONFIG))
    for rule in config["listeners"][0]["rules"]:
        rule["action"]["timeout_ms"] = timeout_ms
        rule["target_latency_ms"] = timeout_ms
    return config


def config_with_probe(version: int, base: dict) -> dict:
    """Returns a configuration with another version and one more route."""
    config = json.loads(json.dumps(base))
    config["version"] = f"{version:08x}"
    rules = config["listeners"][0]["rules"]
    match = {"prefix": probe_prefix(version)}
    rules.append({**rules[0], "name": f"probe-{version}", "match": match})
    return config


def config_with_uploads(base: dict) -> dict:
    """Returns a configuration with one more route, for large bodies."""
    config = json.loads(json.dumps(base))
    rules = config["listeners"][0]["rules"]
    kind = {"name": "uploads", "route_type": "upload"}
    rules.append({**rules[1], **kind, "match": {"prefix": UPLOAD_PREFIX}})
    return config


class System:
    """Routers and stand-ins as separate processes on loopback.

    Args:
        subnet: First three octets of the routers' addresses; None for those of
            this process.
        routers: Last octet of each router's address.
        servers: Number of servers, half of them with keys.
        proxied: Whether routers reach the store and servers through proxies.
        journal: Called with the id of a server and a line of its journal.
        interpreter: Options of the Python interpreter of routers.
        config: First configuration.
        slots: Slots of each server.
        limits: Limits of the routers' VMs, as their settings name them.
        bounds: Bounds of the platform, as the routers' settings name them.
        zones: Data centres of routers and servers, by turns.
        cold_seconds: For how long servers can be cold.
        max_connections: Connections that a server accepts; 0 for any number.
        folder: Folder for settings and logs that is kept; None for a temporary
            one.

    Attributes:
        processes: Processes by name.
        store: Address of the row store.
        servers: Addresses by server id at which routers reach them.
        real: Listening addresses by server id, behind any proxies.
        born: Start times by server id, in milliseconds since the epoch.
        sequences: Number of writes of each server's row in its life.
        links: Names of servers' proxies where they aren't their own ids.
        cold_starts: Which servers are cold.
        states: States that the servers' entries name.
        entry_locks: Locks of the servers' entries, so that no write that is
            late overtakes another.
    """

    def __init__(
        self,
        *,
        subnet: str | None = None,
        routers: tuple[int, ...] = (2, 3),
        servers: int = 4,
        proxied: bool = False,
        journal: Callable[[str, str], None] | None = None,
        interpreter: tuple[str, ...] = (),
        config: dict = CONFIG,
        slots: int = SERVER_SLOTS,
        limits: dict | None = None,
        bounds: tuple[str, ...] = (),
        zones: tuple[str, ...] = ("z",),
        cold_seconds: float = 0.0,
        max_connections: int = 0,
        folder: pathlib.Path | None = None,
    ):
        self.subnet = subnet or process_subnet()
        self.routers = routers
        self.server_count = servers
        self.proxied = proxied
        self.journal = journal
        self.interpreter = interpreter
        self.proxies = proxy.Proxies()
        self.journal_readers: set[asyncio.Task] = set()
        self.processes: dict[str, asyncio.subprocess.Process] = {}
        self.config = config
        self.slots = slots
        self.limits = limits or {}
        self.bounds = list(bounds)
        self.zones = zones
        self.cold_starts = coldstarts.ColdStarts(
            seconds=cold_seconds, write=self.rewrite_entry
        )
        self.max_connections = max_connections
        self.states: dict[str, str] = {}
        self.entry_locks: collections.defaultdict[str, asyncio.Lock] = (
            collections.defaultdict(asyncio.Lock)
        )
        self.temporary = tempfile.TemporaryDirectory()
        self.folder = folder or pathlib.Path(self.temporary.name)
        self.folder.mkdir(parents=True, exist_ok=True)
        self.store = ""
        self.servers: dict[str, str] = {}
        self.real: dict[str, str] = {}
        self.born: dict[str, int] = {}
        self.sequences: collections.Counter = collections.Counter()
        self.links: dict[str, str] = {}
        self.clients = client.Clients()

    async def spawn(self, name: str, *command: str, **env: str) -> str:
        """Starts a process and returns its first line of output."""
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            *command,
            stdout=asyncio.subprocess.PIPE,
            env={"PYTHONPATH": ".", "PATH": "/usr/bin:/bin", **env},
        )
        self.processes[name] = process
        async with asyncio.timeout(START_TIMEOUT_SECONDS):
            line = await process.stdout.readline()
        return line.decode()

    async def start(self) -> None:
        """Starts everything and waits until the routers are ready."""
        line = await self.spawn(
            "store", "standins.rowstore", "--listen", "127.0.0.1:0"
        )
        self.store = json.loads(line)[0]
        await self.write_row("op", "config", self.config)
        for number in range(self.server_count):
            id = f"{'td'[number % 2]}{number // 2 + 1}"
            await self.start_server(id, pool_of(id), id[0] == "t")
        for number in self.routers:
            await self.start_router(number)
        await self.wait_until_served()

    async def start_server(
        self,
        id: str,
        pool: str,
        keyed: bool,
        *,
        address: str = "127.0.0.1:0",
        cold: bool = False,
    ) -> None:
        """Starts a server, cold or not, and registers it in the store."""
        self.states.pop(id, None)
        born = time.time_ns() // 1_000_000
        command = ["standins.instance", "--listen", address, "--id", id]
        command += ["--born", str(born)]
        command += ["--max-connections", str(self.max_connections)]
        command += ["--keyed"] if keyed else []
        command += ["--journal"] if self.journal else []
        line = await self.spawn(id, *command)
        self.real[id] = json.loads(line)[0]
        link = self.links.get(id, id)
        self.servers[id] = await self.reachable_address(link, self.real[id])
        if cold:
            self.cold_starts.begin(id)
        self.born[id] = born
        self.sequences[id] = 0
        if self.journal:
            reader = asyncio.create_task(self.read_journal(id))
            self.journal_readers.add(reader)
        await self.register_server(id, pool)

    async def read_journal(self, id: str) -> None:
        """Passes on the journal of a server until its process ends."""
        stream = self.processes[id].stdout
        while line := await stream.readline():
            self.journal(id, line.decode())

    async def reachable_address(self, name: str, address: str) -> str:
        """Returns the address at which routers reach a process."""
        if not self.proxied:
            return address
        return await self.proxies.route(name, address)

    def close_link(self, id: str) -> None:
        """Refuses connections to a server whose process has ended."""
        link = self.proxies.by_name.get(self.links.get(id, id))
        if link is not None:
            link.close()

    def swap_links(self, one: str, other: str) -> None:
        """Makes two servers start at the address of the other."""
        swapped = self.links.get(other, other), self.links.get(one, one)
        self.links[one], self.links[other] = swapped

    def server_behind(self, link: str) -> str:
        """Returns the id of the server that a proxy belongs to."""
        ids = {name: id for id, name in self.links.items()}
        return ids.get(link, link)

    async def register_server(
        self, id: str, pool: str, state: str = "ready", *, cold_ms: int = 0
    ) -> None:
        """Writes the row of a server to the store."""
        async with self.entry_locks[id]:
            self.states[id] = state
            await self.write_entry(id, pool, cold_ms)

    async def rewrite_entry(self, id: str) -> None:
        """Writes the row of a server again, if it is there."""
        async with self.entry_locks[id]:
            if id in self.states and self.processes[id].returncode is None:
                await self.write_entry(id, pool_of(id), 0)

    async def write_entry(self, id: str, pool: str, cold_ms: int) -> None:
        """Writes the row of a server whose state is known."""
        self.sequences[id] += 1
        entry = {
            "service": pool,
            "address": self.servers[id],
            "zone": self.zone_of(id),
            "slots": self.slots,
            "state": self.states[id],
            "cold_remaining_ms": cold_ms or self.cold_starts.remaining_ms(id),
            "sequence": self.sequences[id],
            "born": self.born[id],
        }
        await self.write_row("servers", id, entry)

    async def unregister_server(self, id: str) -> None:
        """Deletes the row of a server from the store."""
        async with self.entry_locks[id]:
            self.states.pop(id, None)
            await self.write_row("servers", id, None)

    async def start_router(self, number: int) -> None:
        """Starts a router on its own loopback address."""
        ip = f"{self.subnet}.{number}"
        path = self.folder / f"{number}.json"
        settings = {
            "node": f"r{number}",
            "ip": ip,
            "zone": self.zone_of(f"r{number}"),
            "listen": {"front": f"{ip}:{FRONT_PORT}", "ready": f"{ip}:18640"},
            "internal_ports": [17620, 17635],
            "limits": self.limits,
            "bounds": self.bounds,
            "provider": {
                "address": await self.reachable_address(
                    f"store-{number}", self.store
                )
            },
        }
        await asyncio.to_thread(path.write_text, json.dumps(settings))
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

    def signal(self, name: str, signal_number: int) -> bool:
        """Sends a signal; returns whether the process was still running."""
        process = self.processes[name]
        if process.returncode is not None:
            return False
        process.send_signal(signal_number)
        return True

    def zone_of(self, name: str) -> str:
        """Returns the data centre of a router or server."""
        return self.zones[int(name[1:]) % len(self.zones)]

    def servers_in(self, zone: str) -> list[str]:
        """Returns the ids of the servers of a data centre."""
        return [id for id in self.servers if self.zone_of(id) == zone]

    async def evacuate(self, zone: str, *, evacuated: bool = True) -> None:
        """Evacuates a data centre as its operator, or takes that back."""
        value = {} if evacuated else None
        await self.write_row("op", f"evacuate/{zone}", value)

    async def copy_store(self) -> None:
        """Makes a copy of the store, from which it can come back."""
        await self.call(self.store, "PUT", "/copy")

    async def restore_store(self, away_seconds: float) -> None:
        """Takes the store away; it comes back from the copy."""
        await self.call(self.store, "PUT", "/faults", {"down": True})
        await asyncio.sleep(away_seconds)
        await self.call(self.store, "PUT", "/restore")
        await self.call(self.store, "PUT", "/faults", {"down": False})

    async def write_row(self, table: str, key: str, value: object) -> None:
        """Writes a row to the store; deletes it if the value is None."""
        await self.call(
            self.store,
            "PUT",
            "/seed",
            {"table": table, "key": key, "value": value},
        )

    async def call(
        self, address: str, method: str, path: str, body: object = None
    ) -> bytes:
        """Calls a stand-in, with retries since it may be frozen.

        Raises:
            TimeoutError: It did not respond within START_TIMEOUT_SECONDS.
        """
        data = b"" if body is None else json.dumps(body).encode()
        async with asyncio.timeout(START_TIMEOUT_SECONDS):
            while True:
                try:
                    response = await self.clients.get(address, "").request(
                        method, path, timeout=CALL_TIMEOUT_SECONDS, body=data
                    )
                    return response.body
                except exchanges.ExchangeError:
                    await asyncio.sleep(RETRY_INTERVAL_SECONDS)

    async def send(
        self,
        id: str,
        *,
        router: int = 2,
        method: str = "GET",
        path: str = "/look/1",
        key: int = 100,
    ) -> int:
        """Sends a request as a caller and returns the status."""
        response = await client.Client(
            address=client.Address(
                host=f"{self.subnet}.{router}", port=FRONT_PORT
            )
        ).request(
            method,
            path,
            timeout=SEND_TIMEOUT_SECONDS,
            headers=[
                (b"request-id", id.encode()),
                (b"deadline-ms", b"%d" % REQUEST_DEADLINE_MS),
                (b"shard-key", b"%d" % key),
            ],
            host=b"a.example",
        )
        return response.status

    async def wait_until_served(self) -> None:
        """Waits until each router serves keyed and unkeyed work."""
        async with asyncio.timeout(START_TIMEOUT_SECONDS):
            for router in self.routers:
                for path in ("/look/1", "/order/1"):
                    while not await self.is_served(router, path):
                        await asyncio.sleep(RETRY_INTERVAL_SECONDS)

    async def is_served(self, router: int, path: str) -> bool:
        """Returns whether a router serves requests at a path."""
        try:
            return (
                await self.send(READINESS_ID, router=router, path=path) == 200
            )
        except exchanges.ExchangeError:
            return False

    async def ran(self, *ids: str) -> list[str]:
        """Returns the ids of the requests that servers executed."""
        request_ids = []
        for id in ids:
            request_ids += json.loads(
                await self.call(self.servers[id], "GET", "/ran")
            )
        return request_ids

    async def stop(self) -> None:
        """Kills all processes of this system."""
        self.cold_starts.stop()
        for process in self.processes.values():
            if process.returncode is None:
                process.kill()
                await process.wait()
        if self.journal_readers:
            await asyncio.wait(
                self.journal_readers, timeout=MAX_JOURNAL_SECONDS
            )
        for reader in self.journal_readers:
            reader.cancel()
        await self.proxies.stop()
        self.temporary.cleanup()
