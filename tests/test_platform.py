"""The platform adapter: decoding, and routers on stand-ins of the platform."""

import asyncio
import base64
import importlib.util
import json
import pathlib
import re
import signal
import tempfile
import tomllib
import unittest

import msgspec

from oleanderhoist import ports
from oleanderhoist import settings
from oleanderhoist.platform import contracts
from oleanderhoist.platform import directory
from oleanderhoist.platform import settings as platform_settings
from oleanderhoist.policy import storeeras
from standins import platform_system

WIRE_NAMES = re.compile(
    r"traffic_split|[Ss]hard-[Kk]ey|rows-(tx|get|feed)|[Ii]nstance-[Ll]oad|"
    r"[Nn]ot-[Ee]xecuted|[Rr]esponse-[Ss]ignature|[Hh]andover-[Tt]oken|"
    r"[Ee]xpected-[Ii]nstance|[Dd]eadline-[Mm]s|expected_rev|route_type|"
    r"[Ss]erver-[Ll]eaving|[Ss]erver-[Ll]imit|target_latency_ms|max_attempts|internal_ports|cold_remaining_ms"
)


def row(value: object, key: str = "config") -> ports.Row:
    """Returns a row with a JSON value."""
    encoded = value if isinstance(value, bytes) else json.dumps(value).encode()
    revision = storeeras.Revision(number=5)
    return ports.Row(key=key, value=encoded, revision=revision)


def config_with(**action: object) -> dict:
    """Returns the configuration with changes to its first action."""
    config = json.loads(json.dumps(platform_system.CONFIG))
    config["listeners"][0]["rules"][0]["action"].update(action)
    return config


class DecodeTest(unittest.TestCase):
    """Documents of the platform are decoded or rejected."""

    def test_a_configuration_becomes_contracts(self):
        contract_set = contracts.decode(row(platform_system.CONFIG)).contracts
        work = contract_set.find("a.example", "/look/1")
        self.assertEqual(
            (7, True, 0.3),
            (contract_set.version, work.repeatable, work.objective),
        )
        self.assertTrue(contract_set.pools["tables"].keyed)
        orders = contract_set.find("a.example", "/order/1")
        self.assertFalse(orders.repeatable)
        self.assertEqual({"desk"}, {orders.pick(n / 10) for n in range(10)})
        self.assertIsNone(contract_set.find("a.example", "/else/"))

    def test_only_safe_routes_and_downloads_may_be_repeated(self):
        for route_type in ("safe", "download", "unsafe", "upload"):
            config = config_with()
            rule = config["listeners"][0]["rules"][0]
            rule.update(route_type=route_type, priority=3)
            contract_set = contracts.decode(row(config)).contracts
            work = contract_set.find("a.example", "/look/")
            self.assertEqual(
                route_type in ("safe", "download"), work.repeatable
            )
            self.assertEqual((3, 2), (work.rank, work.attempts))

    def test_a_route_of_an_unknown_type_takes_down_no_route(self):
        config = config_with()
        first, second = config["listeners"][0]["rules"][:2]
        first["route_type"] = "x" * 1000
        versioned = contracts.decode(row(config))
        work = versioned.contracts.find("a.example", "/look/")
        self.assertFalse(work.repeatable)
        self.assertIsNotNone(
            versioned.contracts.find("a.example", second["match"]["prefix"])
        )
        (text,) = versioned.unknown
        self.assertIn(first["name"], text)
        self.assertLess(len(text), 200)

    def test_a_split_follows_its_weights(self):
        split = [
            {"service": "desk", "weight": 3},
            {"service": "spare", "weight": 1},
        ]
        config = config_with(service=None, traffic_split=split)
        contract_set = contracts.decode(row(config)).contracts
        work = contract_set.find("a.example", "/look/")
        picked = [work.pick(n / 100) for n in range(100)]
        self.assertEqual(75, picked.count("desk"))
        self.assertEqual(25, picked.count("spare"))

    def test_the_longest_prefix_counts(self):
        config = config_with()
        rules = config["listeners"][0]["rules"]
        rules.append({**rules[1], "name": "x", "match": {"prefix": "/look/x/"}})
        contract_set = contracts.decode(row(config)).contracts
        self.assertEqual("x", contract_set.find("a.example", "/look/x/1").name)

    def test_an_objective_beyond_the_timeout_means_the_timeout(self):
        contract_set = contracts.decode(
            row(config_with(timeout_ms=100))
        ).contracts
        self.assertEqual(
            0.1, contract_set.find("a.example", "/look/").objective
        )

    def test_configurations_that_cannot_be_honoured_name_the_field(self):
        cases = {
            "cut": (json.dumps(platform_system.CONFIG).encode()[:80], "JSON"),
            "unknown": (config_with(service="nowhere"), "nowhere"),
            "timeout": (config_with(timeout_ms=None), "timeout_ms"),
            "negative": (config_with(timeout_ms=-1), "timeout_ms"),
            "attempts": (config_with(max_attempts=0), "max_attempts"),
        }
        bare_prefix = config_with()
        bare_prefix["listeners"][0]["rules"][0]["match"] = {"prefix": "look"}
        cases["prefix"] = (bare_prefix, "prefix")
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

    def test_bounds_are_read_and_unknown_fields_ignored(self):
        document = {
            "node": "n",
            "ip": "127.0.0.1",
            "zone": "z",
            "listen": {"front": "127.0.0.1:1", "ready": "127.0.0.1:2"},
            "internal_ports": [3, 9],
            "provider": {"address": "127.0.0.1:4", "unknown": 1},
            "unknown": [],
            "bounds": [
                "drain_ms=1500",
                "config_apply_ms=2500",
                "grace_s=7",
                "hold_max_ms=9000",
                "retry_budget_ratio=0.3",
                "budget_extra_retries=55",
                "unknown=true",
            ],
        }
        with tempfile.NamedTemporaryFile("w", suffix=".json") as file:
            json.dump(document, file)
            file.flush()
            checked = platform_settings.read(file.name)
        self.assertEqual(1.5, checked.propagation_seconds)
        self.assertEqual(7, checked.stop_seconds)
        self.assertEqual(9, checked.max_lease_seconds)
        self.assertEqual((0.3, 55), (checked.retry_ratio, checked.retry_extra))
        self.assertEqual(3, checked.peer_port)

    def test_a_vm_with_few_descriptors_does_not_start(self):
        """Guards against settings that are refused for a small number."""
        limits = platform_settings.MachineLimits
        self.assertEqual(100, msgspec.convert({"max_fds": 100}, limits).max_fds)
        callers = {
            fds: platform_settings.caller_connections(fds)
            for fds in (100, 300, 1535, 2870)
        }
        self.assertEqual({100: 16, 300: 50, 1535: 667, 2870: 1335}, callers)

    def test_the_deploy_file_names_the_program_and_its_metrics(self):
        deploy = tomllib.loads(pathlib.Path("deploy/system.toml").read_text())
        (role,) = deploy["roles"].values()
        module = role["run"].split(" -m ")[1]
        self.assertIsNotNone(importlib.util.find_spec(module))
        port, _, path = role["metrics"].partition("/")
        self.assertEqual(str(platform_settings.METRICS_PORT), port)
        self.assertEqual("metrics", path)


class NamesTest(unittest.TestCase):
    """The platform's wire names stay within the adapter."""

    def test_no_wire_name_stands_outside_the_adapter(self):
        for path in pathlib.Path("oleanderhoist").rglob("*.py"):
            if path.parent.name == "platform":
                continue
            match = WIRE_NAMES.search(path.read_text())
            self.assertIsNone(match, f"{path}: {match}")


class RouterTest(unittest.IsolatedAsyncioTestCase):
    """Router processes with one store and four servers."""

    async def asyncSetUp(self) -> None:
        self.system = platform_system.System()
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
        follower = 5 - leader  # The routers are 2 and 3.
        await asyncio.sleep(3.0)
        await system.register_server("t1", "tables", "draining")
        await asyncio.sleep(1.5)
        ran_before = len(await system.ran("t1"))
        for number in range(20):
            status = await system.send(
                f"l{number}", router=follower, key=number * 3000
            )
            self.assertEqual(200, status)
        self.assertEqual(ran_before, len(await system.ran("t1")))

    async def leader(self) -> int:
        """Returns the number of the leading router."""
        body = await self.system.call(
            self.system.store, "GET", "/rows-get?table=oleander"
        )
        for item in json.loads(body)["rows"]:
            if item["key"] == "leader":
                record = json.loads(base64.b64decode(item["value"]))
                return int(record["address"].split(":")[0].rsplit(".", 1)[1])
        raise AssertionError("the store has no leader row")

    async def test_a_graceful_stop_ends_in_time(self):
        process = self.system.processes["r3"]
        process.send_signal(signal.SIGTERM)
        async with asyncio.timeout(7):
            self.assertEqual(0, await process.wait())


if __name__ == "__main__":
    unittest.main()
