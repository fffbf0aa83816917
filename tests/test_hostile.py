"""Malformed requests and the operator's commands, against a running fleet."""

import asyncio
import io
import json
import pathlib
import unittest

from oleanderhoist import console
from oleanderhoist import exits
from oleanderhoist.cli import operator
from oleanderhoist.http import serverconnection
from standins import fleet

POOLS = [
    fleet.Pool(name="phase-tables", count=5, keyed=True),
    fleet.Pool(name="orders", count=5),
    fleet.Pool(name="proofs", count=5),
    fleet.Pool(name="archive", count=5),
]
GUILD = pathlib.Path("examples/guild.toml").read_text()
AUTH = b"Authorization: Bearer guild-credential\r\nHost: x\r\n"
GET = b"GET /phase-tables/k1 HTTP/1.1\r\n" + AUTH


async def exchange(address: str, data: bytes, timeout: float = 15.0) -> bytes:
    """Sends bytes and returns what was received."""
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        writer.write(data)
        return await asyncio.wait_for(reader.read(65_536), timeout)
    finally:
        writer.close()


class HostileTest(unittest.IsolatedAsyncioTestCase):
    """Each rejected request gets its result code; the entry keeps running."""

    async def asyncSetUp(self) -> None:
        self.fleet = fleet.Fleet(pools=POOLS, entries=1, placers=1)
        self.addAsyncCleanup(self.fleet.stop)
        await self.fleet.start()
        await self.fleet.apply(GUILD)
        await self.fleet.wait_for(self.fleet.entries_ready, "entries")
        await self.fleet.wait_for(self.fleet.placed, "placement")

    async def expect(self, code: int, data: bytes) -> None:
        """Sends bytes and checks the result code of the response."""
        response = await exchange(self.fleet.real["entry-1"], data)
        self.assertIn(b"oleander-code: %d\r\n" % code, response.lower(), data)

    async def test_framing_and_credentials(self):
        post = b"POST /orders HTTP/1.1\r\n" + AUTH
        cases = [
            (1000, GET + b"\r\n"),
            (2000, GET.replace(b"\r\n", b"\n") + b"\n"),
            (2000, post + b"Content-Length: 2\r\nContent-Length: 2\r\n\r\nab"),
            (
                2000,
                post
                + b"Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\nab",
            ),
            (2000, post + b"Content-Length: -1\r\n\r\n"),
            (2000, post + b"Transfer-Encoding: gzip\r\n\r\n"),
            (2000, b"\x16\x03\x01\r\n\r\n"),
            (2001, GET + b"X: " + b"a" * 70_000 + b"\r\n\r\n"),
            (2010, GET.replace(b"guild-", b"other-") + b"\r\n"),
            (2010, b"GET / HTTP/1.1\r\nHost: x\r\n\r\n"),
            (2011, GET.replace(b"GET", b"PUT") + b"\r\n"),
            (2011, GET.replace(b"/phase-tables/", b"/routes/") + b"\r\n"),
            (2012, post + b"Content-Length: 99999999\r\n\r\n"),
            (
                2013,
                post + b"Idempotency-Key: a b\r\nContent-Length: 0\r\n\r\n",
            ),
            (2015, post + b"Transfer-Encoding: chunked\r\n\r\nzz\r\n"),
        ]
        for code, data in cases:
            with self.subTest(code=code, data=data[:60]):
                await self.expect(code, data)
        await self.expect(1000, GET + b"\r\n")

    async def test_a_slow_head_is_cut(self):
        started_at = asyncio.get_running_loop().time()
        await self.expect(2002, GET)
        elapsed = asyncio.get_running_loop().time() - started_at
        self.assertGreaterEqual(elapsed, serverconnection.HEAD_SECONDS * 0.9)

    async def test_a_caller_cannot_speak_for_the_system(self):
        forged = b"Oleander-Fence: 99\r\nOleander-Partition: 0\r\n"
        await self.expect(1000, GET + forged + b"\r\n")

    def run_operator(self, *arguments: str) -> tuple[int, str, str]:
        """Runs the operator's program in this process."""
        env = console.Console(stdout=io.StringIO(), stderr=io.StringIO())
        options = ["--api", self.fleet.real["placer-1"], "--token"]
        status = operator.run([*options, *arguments], env)
        return status, env.stdout.getvalue(), env.stderr.getvalue()

    async def test_operator(self):
        token = fleet.ADMIN_TOKEN
        folder = pathlib.Path(self.fleet.folder.name)
        small = folder / "small.toml"
        small.write_text(GUILD.replace("2000.0", "1500.0"))
        large = folder / "large.toml"
        large.write_text(GUILD.replace("2000.0", "9000000.0"))
        ok = exits.ExitStatus.OK
        cases = [
            ((token, "status"), ok, "entry-1"),
            ((token, "--json", "status"), ok, '"epoch"'),
            ((token, "explain", "k1", "--pool", "phase-tables"), ok, "owner"),
            ((token, "contract", "check", str(small)), ok, "can be accepted"),
            ((token, "contract", "diff", str(small)), ok, "1500.0"),
            (
                (token, "contract", "apply", "--base", "7", str(small)),
                exits.ExitStatus.CONFLICT,
                "version 1 is in force",
            ),
            ((token, "contract", "apply", str(small)), ok, "version 2"),
            ((token, "contract", "history", "guild"), ok, "yes"),
            ((token, "contract", "show", "guild"), ok, "1500.0"),
            (
                (token, "contract", "apply", str(large)),
                exits.ExitStatus.REFUSED,
                "shortfall",
            ),
            (("wrong", "status"), exits.ExitStatus.USAGE, "ADMIN_TOKEN"),
            ((token, "codes"), ok, "3001"),
            ((token, "events"), ok, "leader.elected"),
        ]
        for arguments, status, text in cases:
            with self.subTest(arguments=arguments):
                result = await asyncio.to_thread(self.run_operator, *arguments)
                self.assertEqual(status, result[0], result)
                self.assertIn(text, result[1] + result[2])

    async def test_status_is_json(self):
        result = await asyncio.to_thread(
            self.run_operator, fleet.ADMIN_TOKEN, "--json", "status"
        )
        self.assertEqual("entry-1", json.loads(result[1])["entries"][0]["id"])
