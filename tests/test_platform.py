"""The adapter: decoding, and real routers against the platform's stand-ins."""

import asyncio
import base64
import json
import pathlib
import re
import signal
import sys
import tempfile
import unittest

from oleanderhoist import ports
from oleanderhoist import settings
from oleanderhoist.http import client
from oleanderhoist.platform import contracts
from oleanderhoist.platform import directory
from oleanderhoist.platform import settings as platform_settings

START_SECONDS = 15.0
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
WIRE_NAMES = re.compile(
    r"traffic_split|[Ss]hard-[Kk]ey|rows-(tx|get|feed)|[Ii]nstance-[Ll]oad|"
    r"[Nn]ot-[Ee]xecuted|[Rr]esponse-[Ss]ignature|[Hh]andover-[Tt]oken|"
    r"[Ee]xpected-[Ii]nstance|[Dd]eadline-[Mm]s|expected_rev|route_type|"
    r"target_latency_ms|max_attempts|internal_ports|cold_remaining_ms"
)


def row(value: object, key: str = "config") -> ports.Row:
    """Returns a row with a JSON value."""
    text = value if isinstance(value, bytes) else json.dumps(value).encode()
    return ports.Row(key=key, value=text, revision=5)


def changed(**action: object) -> dict:
    """Returns the configuration with a changed first action."""
    copy = json.loads(json.dumps(CONFIG))
    copy["listeners"][0]["rules"][0]["action"].update(action)
    return copy


class DecodeTest(unittest.TestCase):
    """What the platform writes, and what is passed over."""

    def test_a_configuration_becomes_contracts(self):
        found = contracts.decode(row(CONFIG)).terms
        work = found.find("a.example", "/look/1")
        self.assertEqual(
            (7, True, 0.3), (found.version, work.repeatable, work.objective)
        )
        self.assertTrue(found.pools["tables"].keyed)
        orders = found.find("a.example", "/order/1")
        self.assertFalse(orders.repeatable)
        self.assertEqual({"desk"}, {orders.pick(n / 10) for n in range(10)})
        self.assertIsNone(found.find("a.example", "/else/"))

    def test_the_longest_prefix_counts(self):
        copy = changed()
        rules = copy["listeners"][0]["rules"]
        rules.append({**rules[1], "name": "x", "match": {"prefix": "/look/x/"}})
        found = contracts.decode(row(copy)).terms
        self.assertEqual("x", found.find("a.example", "/look/x/1").name)

    def test_an_objective_beyond_the_timeout_means_the_timeout(self):
        found = contracts.decode(row(changed(timeout_ms=100))).terms
        self.assertEqual(0.1, found.find("a.example", "/look/").objective)

    def test_configurations_that_cannot_be_honoured_name_the_field(self):
        cases = {
            "cut": (json.dumps(CONFIG).encode()[:80], "JSON"),
            "unknown": (changed(service="nowhere"), "nowhere"),
            "timeout": (changed(timeout_ms=None), "timeout_ms"),
            "negative": (changed(timeout_ms=-1), "timeout_ms"),
            "attempts": (changed(max_attempts=0), "max_attempts"),
        }
        bare = changed()
        bare["listeners"][0]["rules"][0]["match"] = {"prefix": "look"}
        cases["bare"] = (bare, "prefix")
        for name, (value, text) in cases.items():
            with self.subTest(case=name):
                with self.assertRaises(ports.TermsError) as caught:
                    contracts.decode(row(value))
                self.assertIn(text, str(caught.exception))

    def test_foreign_entries_name_no_server(self):
        good = {
            "service": "s",
            "address": "10.0.0.1:80",
            "zone": "z",
            "slots": 3,
            "state": "ready",
            "sequence": 4,
        }
        rows = [
            row(good, "good"),
            row({**good, "slots": "3"}, "type"),
            row({**good, "state": "asleep"}, "state"),
            row({**good, "address": "nowhere"}, "address"),
            row(b"\xff\x00", "bytes"),
            row({"service": "s"}, "missing"),
        ]
        listing = directory.decode(rows)
        self.assertEqual(["good"], list(listing.servers))
        self.assertEqual(5, len(listing.rejected))

    def test_settings_name_the_missing_field(self):
        with tempfile.NamedTemporaryFile("w", suffix=".json") as file:
            file.write('{"node": "n", "ip": "127.0.0.1", "zone": "z"}')
            file.flush()
            with self.assertRaises(settings.SettingsError) as caught:
                platform_settings.read(file.name)
        self.assertIn("listen", str(caught.exception))


class NamesTest(unittest.TestCase):
    """The platform's names stay in its adapter."""

    def test_no_wire_name_stands_outside_the_adapter(self):
        for path in pathlib.Path("oleanderhoist").rglob("*.py"):
            if path.parent.name == "platform":
                continue
            found = WIRE_NAMES.search(path.read_text())
            self.assertIsNone(found, f"{path}: {found}")


def write_json(path: pathlib.Path, value: object) -> None:
    """Writes a JSON file."""
    path.write_text(json.dumps(value))


class System:
    """Routers and stand-ins as real processes on loopback."""

    def __init__(self):
        self.processes: dict[str, asyncio.subprocess.Process] = {}
        self.folder = tempfile.TemporaryDirectory()
        self.store = ""
        self.servers: dict[str, str] = {}
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
        for id, pool, keyed in (
            ("t1", "tables", True),
            ("t2", "tables", True),
            ("d1", "desk", False),
            ("d2", "desk", False),
        ):
            await self.start_server(id, pool, keyed)
        for number in (2, 3):
            await self.start_router(number)
        await self.until_served()

    async def start_server(self, id: str, pool: str, keyed: bool) -> None:
        """Starts a server and lists it."""
        command = ["standins.instance", "--listen", "127.0.0.1:0", "--id", id]
        line = await self.spawn(id, *command, *(["--keyed"] if keyed else []))
        self.servers[id] = json.loads(line)[0]
        await self.list_server(id, pool)

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
        }
        await self.seed("servers", id, entry)

    async def start_router(self, number: int) -> None:
        """Starts a router on a loopback address of its own."""
        ip = f"127.0.0.{number}"
        path = pathlib.Path(self.folder.name, f"{number}.json")
        file = {
            "node": f"r{number}",
            "ip": ip,
            "zone": "z",
            "listen": {"front": f"{ip}:18641", "ready": f"{ip}:18640"},
            "internal_ports": [17620, 17635],
            "provider": {"address": self.store},
        }
        write_json(path, file)
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "oleanderhoist.cli.router",
            "--settings",
            str(path),
            "--log-file",
            str(path.with_suffix(".log")),
            env={"PYTHONPATH": ".", "PATH": "/usr/bin:/bin"},
        )
        self.processes[f"r{number}"] = process

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
        """Calls a stand-in."""
        data = b"" if body is None else json.dumps(body).encode()
        response = await self.clients.get(address).request(
            method, path, timeout=3, body=data
        )
        return response.body

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
            address=client.Address(host=f"127.0.0.{router}", port=18641)
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
            for router in (2, 3):
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
        self.folder.cleanup()


class RouterTest(unittest.IsolatedAsyncioTestCase):
    """Real routers, one store, four servers."""

    async def asyncSetUp(self) -> None:
        self.system = System()
        self.addAsyncCleanup(self.system.stop)
        await self.system.start()

    async def test_requests_keep_their_promises(self):
        system = self.system
        for number in range(40):
            key = number * 1600
            self.assertEqual(200, await system.send(f"k{number}", key=key))
        await system.call(system.servers["d1"], "PUT", "/faults", {"shed": 1})
        await system.call(
            system.servers["d2"], "PUT", "/faults", {"truncate": 1}
        )
        statuses = [
            await system.send(
                f"o{number}", router=3, method="POST", path="/order/1"
            )
            for number in range(12)
        ]
        self.assertLessEqual(statuses.count(502), 1)
        self.assertGreaterEqual(statuses.count(200), 11)
        ran = await system.ran("d1", "d2")
        orders = [id for id in ran if id.startswith("o")]
        self.assertEqual(sorted(set(orders)), sorted(orders))
        self.assertEqual(404, await system.send("no", path="/nowhere/"))

    async def test_a_lost_leader_and_a_leaving_server_are_survived(self):
        system = self.system
        leader = await self.leader()
        process = system.processes[f"r{leader}"]
        process.send_signal(signal.SIGKILL)
        await process.wait()
        other = 5 - leader
        await asyncio.sleep(3.0)
        await system.list_server("t1", "tables", "draining")
        await asyncio.sleep(1.5)
        before = len(await system.ran("t1"))
        for number in range(20):
            status = await system.send(
                f"l{number}", router=other, key=number * 3000
            )
            self.assertEqual(200, status)
        self.assertEqual(before, len(await system.ran("t1")))

    async def leader(self) -> int:
        """Returns the number of the router that leads."""
        body = await self.system.call(
            self.system.store, "GET", "/rows-get?table=oleander"
        )
        for item in json.loads(body)["rows"]:
            if item["key"] == "leader":
                record = json.loads(base64.b64decode(item["value"]))
                return int(record["address"].split(":")[0].rsplit(".", 1)[1])
        raise AssertionError("no leader")

    async def test_a_graceful_stop_ends_in_time(self):
        process = self.system.processes["r3"]
        process.send_signal(signal.SIGTERM)
        async with asyncio.timeout(7):
            self.assertEqual(0, await process.wait())


if __name__ == "__main__":
    unittest.main()
