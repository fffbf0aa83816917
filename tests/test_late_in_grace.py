"""Requests that come at any time of a stop, in calm."""

import asyncio
import copy
import json
import signal
import time
import unittest

from standins import platform_system

GRACE_SECONDS = 6.0  # From the signal to the kill.
WORK_MS = 2500  # Longer than what is left late in the grace.
TIMEOUT_MS = 9_000
SEND_SECONDS = [tenths / 10 for tenths in range(1, 58, 4)]
CONNECT_SECONDS = 0.5
ROW_SECONDS = 1.0  # For a new configuration to be applied.
STATUSES = ("200", "502", "503")


def patient_config() -> dict:
    """Returns the configuration with timeouts that outlast a stop."""
    config = copy.deepcopy(platform_system.CONFIG)
    config["version"] = "00000008"
    for rule in config["listeners"][0]["rules"]:
        rule["action"]["timeout_ms"] = TIMEOUT_MS
        rule["target_latency_ms"] = TIMEOUT_MS
    return config


class LateInGraceTest(unittest.IsolatedAsyncioTestCase):
    """Each order that reached a server is answered before the router ends."""

    async def asyncSetUp(self) -> None:
        self.system = platform_system.System(
            routers=(2, 3), servers=2, slots=len(SEND_SECONDS)
        )
        self.addAsyncCleanup(self.system.stop)
        await self.system.start()
        await self.system.write_row("op", "config", patient_config())
        await asyncio.sleep(ROW_SECONDS)

    async def open(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Opens a connection to the router that stops, and uses it once.

        Such a connection is kept open until its last request.
        """
        reader, writer = await asyncio.open_connection(
            f"{self.system.subnet}.2", platform_system.FRONT_PORT
        )
        self.addCleanup(writer.close)
        return reader, writer

    async def order(
        self,
        id: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        work_ms: int,
    ) -> str:
        """Sends an order; returns its status, empty without an answer."""
        writer.write(
            f"POST /order/1?work_ms={work_ms} HTTP/1.1\r\nHost: a.example\r\n"
            f"Request-Id: {id}\r\nDeadline-Ms: {TIMEOUT_MS}\r\n"
            "Content-Length: 5\r\n\r\norder".encode()
        )
        try:
            head = await reader.readuntil(b"\r\n\r\n")
            length = head.lower().partition(b"content-length: ")[2]
            await reader.readexactly(int((length or b"0").split()[0]))
        except (asyncio.IncompleteReadError, OSError):
            return ""
        return head.split()[1].decode()

    async def test_a_request_late_in_the_grace_is_cut_unanswered(self):
        connections = [await self.open() for _ in SEND_SECONDS]
        for number, connection in enumerate(connections):
            status = await self.order(f"first-{number}", *connection, 1)
            self.assertEqual("200", status)
        began = time.monotonic()
        self.system.signal("r2", signal.SIGTERM)

        async def send_late(number: int) -> str:
            await asyncio.sleep(SEND_SECONDS[number])
            return await self.order(
                f"late-{number}", *connections[number], WORK_MS
            )

        results = await asyncio.gather(
            *(send_late(number) for number in range(len(connections)))
        )
        await self.system.processes["r2"].wait()
        self.assertLess(time.monotonic() - began, GRACE_SECONDS)
        ran = json.loads(
            await self.system.call(self.system.real["d1"], "GET", "/ran")
        )
        unanswered = [n for n, status in enumerate(results) if not status]
        self.assertEqual([], [n for n in unanswered if f"late-{n}" in ran])
        self.assertLessEqual({s for s in results if s}, set(STATUSES))
        refused = [n for n, status in enumerate(results) if status == "503"]
        self.assertEqual([], [n for n in refused if f"late-{n}" in ran])


if __name__ == "__main__":
    unittest.main()
