"""Requests that are open when a router stops, against real processes."""

import asyncio
import collections
import copy
import signal
import time
import unittest

from oleanderhoist.http import client
from oleanderhoist.http import exchanges
from oleanderhoist.http import messages
from standins import platform_system

TIMEOUT_MS = 15_000  # Longer than any stop.
SETTLE_SECONDS = 0.4
GRACE_SECONDS = 6.0  # From the signal to the kill.
# By status: what has no slot is told so at half of that time, what is at a
# server in the last sixth.
EARLIEST_SECONDS = {503: 0.0, 502: GRACE_SECONDS * 5 / 6}
LATEST_SECONDS = {503: GRACE_SECONDS / 2 + 0.5, 502: GRACE_SECONDS}
CALL_INTERVAL_SECONDS = 0.4
ROW_SECONDS = 1.0  # For a new configuration to be applied.


def patient_config() -> dict:
    """Returns the configuration with timeouts that outlast a stop."""
    config = copy.deepcopy(platform_system.CONFIG)
    config["version"] = "00000008"
    for rule in config["listeners"][0]["rules"]:
        rule["action"]["timeout_ms"] = TIMEOUT_MS
        rule["target_latency_ms"] = TIMEOUT_MS
    return config


class StopTest(unittest.IsolatedAsyncioTestCase):
    """What callers get whose requests a stop doesn't leave time for."""

    async def asyncSetUp(self) -> None:
        self.ended_at: dict[str, float] = {}
        self.system = platform_system.System(routers=(2,), servers=2)
        self.addAsyncCleanup(self.system.stop)
        await self.system.start()
        await self.system.write_row("op", "config", patient_config())
        await asyncio.sleep(ROW_SECONDS)

    async def send(
        self, id: str
    ) -> messages.Response | exchanges.ExchangeError:
        """Sends an order; returns the response, or how it failed."""
        address = client.Address(
            host=f"{self.system.subnet}.2", port=platform_system.FRONT_PORT
        )
        try:
            return await client.Client(address=address).request(
                "POST",
                "/order/1",
                timeout=TIMEOUT_MS / 1000,
                headers=[
                    (b"request-id", id.encode()),
                    (b"deadline-ms", b"%d" % TIMEOUT_MS),
                ],
                body=b"order",
                host=b"a.example",
            )
        except exchanges.ExchangeError as error:
            return error
        finally:
            self.ended_at[id] = time.monotonic()

    async def stop_with_silent_server(self, count: int) -> list:
        """Stops the router while requests wait for a server that is silent.

        Returns:
            The results of the requests.
        """
        self.system.signal("d1", signal.SIGSTOP)
        tasks = [
            asyncio.create_task(self.send(f"o{number}"))
            for number in range(count)
        ]
        await asyncio.sleep(SETTLE_SECONDS)
        self.stopped_at = time.monotonic()
        self.system.signal("r2", signal.SIGTERM)
        results = await asyncio.gather(*tasks)
        await self.system.processes["r2"].wait()
        self.system.signal("d1", signal.SIGCONT)
        return results

    async def test_a_request_without_a_slot_is_not_closed_unanswered(self):
        slots = platform_system.SERVER_SLOTS
        results = await self.stop_with_silent_server(slots + 2)
        statuses = collections.Counter(
            getattr(result, "status", str(result)) for result in results
        )
        self.assertEqual({502: slots, 503: 2}, dict(statuses))
        waiting = [f"o{slots}", f"o{slots + 1}"]
        refused = [r for r in results if r.status == 503]
        for response in refused:
            self.assertTrue(messages.find(response.headers, b"retry-after"))
        for number, result in enumerate(results):
            took = self.ended_at[f"o{number}"] - self.stopped_at
            self.assertLess(took, LATEST_SECONDS[result.status])
            self.assertGreater(took, EARLIEST_SECONDS[result.status])
        ran = await self.system.ran("d1")
        self.assertFalse(set(waiting) & set(ran), ran)

    async def test_a_slow_store_does_not_keep_a_stop_from_answering(self):
        # The leader's resignation waits for the store.
        self.system.signal("store", signal.SIGSTOP)
        self.system.signal("r2", signal.SIGTERM)
        results = []
        for number in range(4):
            await asyncio.sleep(CALL_INTERVAL_SECONDS)
            results.append(await self.send(f"o{number}"))
        statuses = [getattr(result, "status", result) for result in results]
        self.assertEqual([200] * 4, statuses)
        async with asyncio.timeout(GRACE_SECONDS):
            await self.system.processes["r2"].wait()
        self.system.signal("store", signal.SIGCONT)


if __name__ == "__main__":
    unittest.main()
