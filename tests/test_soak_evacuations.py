"""Short soak tests of evacuations, cold servers and full ones; checks."""

import asyncio
import unittest

from soak import callers
from soak import coldservers
from soak import evacuations
from soak import invariants
from soak import records
from soak import runner
from standins import proxy

EVACUATION_SEED = 401
COLD_SEED = 402
CAPS_SEED = 403
FEW_CONNECTIONS = 16

# Seeds that failed, and why:
# 7006 (all): all routers were restarted while a data centre was evacuated, and
# started right after it was taken back; none knew that its servers return
# (open).


def soak(
    seed: int,
    *fault_names: str,
    load: callers.Load = callers.SHORT_LOAD,
    routers: int = 3,
) -> runner.Result:
    """Runs the soak test with some kinds of faults for a short time."""
    return asyncio.run(
        runner.run(
            seed=seed,
            seconds=8,
            routers=routers,
            servers=6,
            mean_interval_seconds=3.0,
            fault_names=list(fault_names),
            load=load,
        )
    )


class EvacuationSoakTest(unittest.TestCase):
    """Real routers while data centres are evacuated and taken back."""

    def test_requests_reach_an_evacuated_data_center(self):
        result = soak(EVACUATION_SEED, "evacuate")
        self.assertEqual([], result.violations, result.log)
        self.assertIn("is taken back", "".join(result.log))


class ColdSoakTest(unittest.TestCase):
    """Real routers and servers that come back cold."""

    def test_cold_servers_get_more_than_they_stand(self):
        result = soak(COLD_SEED, "drain-server", "kill-server")
        self.assertEqual([], result.violations, result.log)
        self.assertGreater(len(result.log), 1)


class CapsSoakTest(unittest.TestCase):
    """Many real routers and servers that accept few connections."""

    def test_routers_open_more_connections_than_servers_accept(self):
        load = callers.Load(connections=FEW_CONNECTIONS)
        result = soak(CAPS_SEED, "change-contracts", load=load, routers=8)
        self.assertEqual([], result.violations, result.log)
        self.assertGreater(result.served_share, 0.9)


class ProxyTest(unittest.IsolatedAsyncioTestCase):
    """The address of a server whose process has ended."""

    async def test_nobody_listens_until_it_starts_again(self):
        proxies = proxy.Proxies()
        self.addAsyncCleanup(proxies.stop)
        address = await proxies.route("t1", "127.0.0.1:1")
        host, _, port = address.rpartition(":")
        proxies.by_name["t1"].close()
        with self.assertRaises(ConnectionRefusedError):
            await asyncio.open_connection(host, int(port))
        self.assertEqual(address, await proxies.route("t1", "127.0.0.1:1"))
        _, writer = await asyncio.open_connection(host, int(port))
        writer.close()


class CheckTest(unittest.TestCase):
    """Violations that the checks detect."""

    def setUp(self):
        self.checker = invariants.Checker()

    def arrive(self, id: str, at: float, server: str = "t1") -> None:
        """Records a request to r2 and its arrival."""
        self.checker.requests[id] = records.Request(router="r2", sent_at=at)
        item = {"id": id, "at": at, "born": 1}
        invariants.read_arrival(self.checker, server, item)

    def fail(self, kind: str, target: str, begin: float, end: float) -> None:
        """Records a fault."""
        self.checker.faults.append(
            records.Fault(kind=kind, target=target, begin=begin, end=end)
        )

    def evacuate(self, at: float, server: str = "t1") -> int:
        """Returns the violations by an arrival, if 10 s to 30 s are evacuated.

        Args:
            at: When it arrives.
            server: The server that it arrives at.
        """
        self.arrive("request", at, server)
        self.checker.evacuations.append(
            records.Evacuation(
                data_center="z1",
                servers=["t1"],
                acknowledged_at=10.0,
                ended_at=30.0,
            )
        )
        return len(self.checker.finish())

    def test_a_request_to_an_evacuated_data_center_is_seen(self):
        self.assertEqual(1, self.evacuate(15.1))

    def test_a_request_before_or_after_is_allowed(self):
        self.assertEqual(0, self.evacuate(14.9))
        self.assertEqual(0, self.evacuate(30.1))

    def test_a_request_to_another_data_center_is_allowed(self):
        self.assertEqual(0, self.evacuate(15.1, "t2"))

    def test_a_request_whose_key_is_not_owned_is_allowed(self):
        item = {"id": "request", "born": 1}
        invariants.read_not_owned(self.checker, "t1", item)
        self.assertEqual(0, self.evacuate(15.1))
        self.arrive("request", 15.2)
        self.assertEqual(1, len(evacuations.check(self.checker)))

    def test_a_request_of_a_router_out_of_touch_is_allowed(self):
        for target in ("r2", "store", "store-2"):
            self.setUp()
            self.fail("down", target, 9.0, 12.5)
            self.assertEqual(0, self.evacuate(15.1), target)

    def test_a_fault_elsewhere_or_long_ago_excuses_no_request(self):
        for target in ("r3", "store-3", "t1"):
            self.setUp()
            self.fail("down", target, 9.0, 12.5)
            self.assertEqual(1, self.evacuate(15.1), target)
        self.setUp()
        self.fail("down", "store", 9.0, 12.5)
        self.assertEqual(1, self.evacuate(25.0))

    def test_a_request_that_was_held_up_is_allowed(self):
        self.fail("pause", "t1", 14.0, 15.0)
        self.assertEqual(0, self.evacuate(15.1))

    def turn_cold(self, *arrivals: float) -> int:
        """Returns the violations by arrivals if a server is cold from 10 s."""
        self.checker.colds.append(records.Cold(server="t1", at=10.0))
        for number, at in enumerate(arrivals):
            self.arrive(f"request-{number}", at)
        return len(self.checker.finish())

    def test_too_many_requests_to_a_cold_server_are_seen(self):
        times = [10.1 + number * 0.05 for number in range(coldservers.MOST + 1)]
        self.assertEqual(1, self.turn_cold(*times))

    def test_as_many_requests_as_a_cold_server_stands_are_allowed(self):
        times = [10.1 + number * 0.05 for number in range(coldservers.MOST)]
        self.assertEqual(0, self.turn_cold(*times, 11.2))

    def test_requests_to_a_warm_server_are_allowed(self):
        times = [14.1 + number * 0.01 for number in range(100)]
        self.assertEqual(0, self.turn_cold(*times))

    def test_requests_that_do_not_run_for_their_key_do_not_count(self):
        item = {"id": "request-0", "born": 1}
        invariants.read_not_owned(self.checker, "t1", item)
        times = [10.1] * (coldservers.MOST + 1)
        self.assertEqual(0, self.turn_cold(*times))

    def reset(self, at: float) -> int:
        """Returns the violations by a connection that is one too many."""
        invariants.read_reset(self.checker, "t1", {"at": at})
        return len(self.checker.violations)

    def test_a_connection_too_many_is_seen_in_calm_only(self):
        self.fail("pause", "r2", 9.0, 10.0)
        self.assertEqual(0, self.reset(12.5))
        self.assertEqual(1, self.reset(13.5))


if __name__ == "__main__":
    unittest.main()
