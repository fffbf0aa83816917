"""The stand-in server's odd answers, as bytes on its connections."""

import asyncio
import json
import unittest

from standins import conduct
from standins import instance
from standins import unruly

LONG_BODY_BYTES = 60_000


class ConductTest(unittest.IsolatedAsyncioTestCase):
    """What a caller sees on one connection."""

    async def asyncSetUp(self) -> None:
        self.instance = instance.Instance(id="d1", keyed=False, work_ms=1.0)
        server = unruly.Server(
            handler=self.instance.handle, host="127.0.0.1", port=0
        )
        await server.start()
        self.server = server
        self.addAsyncCleanup(server.stop, 0.1)
        self.reader, self.writer = await asyncio.open_connection(
            "127.0.0.1", server.port
        )
        self.addCleanup(self.writer.close)

    def behave(self, **fields: object) -> None:
        """Sets the conduct of the server."""
        settings = json.dumps(fields).encode()
        instance.set_conduct(self.instance, settings)

    def send(self, id: str, body: bytes = b"", size_bytes: int = 0) -> None:
        """Sends a request, whole or with the begin of its body."""
        length = size_bytes or len(body)
        head = f"POST /order/1 HTTP/1.1\r\nHost: a\r\nRequest-Id: {id}\r\n"
        self.writer.write(f"{head}Content-Length: {length}\r\n\r\n".encode())
        self.writer.write(body)

    async def receive(self) -> tuple[int, dict[str, str], bytes]:
        """Returns the status, headers and body of the next answer."""
        async with asyncio.timeout(5.0):
            text = (await self.reader.readuntil(b"\r\n\r\n")).decode()
            first, *lines = text.strip().split("\r\n")
            headers = dict(line.lower().split(": ", 1) for line in lines)
            length = int(headers["content-length"])
            body = await self.reader.readexactly(length)
        return int(first.split()[1]), headers, body

    async def test_all_answers_say_that_it_leaves(self):
        self.behave(leaving=True, shares={"refuse": 0.5}, seed=1)
        for number in range(10):
            self.send(f"a{number}")
            _, headers, _ = await self.receive()
            self.assertEqual("1", headers["server-leaving"])

    async def test_answers_name_loads(self):
        self.behave(loads=["{running},{waiting},{slots},250", "bad"], seed=1)
        told = set()
        for number in range(20):
            self.send(f"a{number}")
            _, headers, _ = await self.receive()
            told.add(headers["instance-load"])
        self.assertEqual({"0,0,3,250", "bad"}, told)

    async def test_a_connection_too_many_is_reset_and_counted(self):
        self.server.max_connections = 1
        self.server.on_reset = self.instance.note_reset
        self.send("a")
        await self.receive()
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", self.server.port
        )
        self.addCleanup(writer.close)
        with self.assertRaises(ConnectionResetError):
            await reader.read()
        self.assertEqual(1, self.instance.resets)

    async def test_a_refusal_says_how_long_to_wait(self):
        self.behave(retry_after="1.250", shares={"refuse": 1.0})
        self.send("a")
        status, headers, _ = await self.receive()
        self.assertEqual((503, "1.250"), (status, headers["retry-after"]))
        self.assertIn("not-executed", headers)
        self.assertEqual([], self.instance.ran)

    async def test_a_refusal_that_its_caller_closed_before_names_nothing(self):
        self.behave(retry_after="2", shares={"early": 1.0}, seed=1)
        self.send("a", b"a " * 5, LONG_BODY_BYTES)
        await self.receive()
        self.behave(retry_after="2", shares={"refuse": 1.0})
        self.writer.write(b"a " * (LONG_BODY_BYTES // 2 - 5))
        self.send("b")
        self.writer.close()
        await asyncio.sleep(conduct.MAX_READ_DELAY_SECONDS + 0.2)
        self.assertEqual(2, len(self.instance.arrivals))
        self.assertFalse(self.instance.named_retry_after)

    async def test_a_second_copy_comes_where_the_next_answer_is_due(self):
        self.behave(copied_share=1.0)
        ids = []
        for id in ("a", "b"):
            self.send(id)
            _, headers, _ = await self.receive()
            ids.append(headers["request-id"])
        _, headers, _ = await self.receive()
        self.assertEqual(["a", "a", "b"], [*ids, headers["request-id"]])

    async def test_an_early_answer_keeps_the_connection(self):
        self.behave(shares={"early": 1.0})
        body = b"a " * (LONG_BODY_BYTES // 2)
        self.send("a", body[:10], len(body))
        await self.receive()
        self.writer.write(body[10:])
        self.behave()
        self.send("b", b"b b ")
        status, headers, _ = await self.receive()
        self.assertEqual((200, "b"), (status, headers["request-id"]))

    async def test_an_unfounded_refusal_says_nothing_of_the_execution(self):
        self.behave(shares={"unfounded": 1.0}, seed=1)
        for number in range(10):
            self.send(f"a{number}")
            status, headers, _ = await self.receive()
            self.assertIn(status, conduct.UNFOUNDED_STATUSES)
            self.assertNotIn("not-executed", headers)
        self.assertGreater(len(self.instance.ran), 0)
        self.assertLess(len(self.instance.ran), 10)

    async def test_a_cut_answer_is_not_whole(self):
        self.behave(shares={"cut": 1.0})
        self.send("a")
        with self.assertRaises(ConnectionResetError):
            while await self.reader.read(LONG_BODY_BYTES):
                pass
        self.assertEqual(["a"], self.instance.ran)

    async def test_a_late_order_runs_after_its_connection_may_be_closed(self):
        self.behave(shares={"late": 1.0})
        self.send("a")
        await asyncio.sleep(conduct.MAX_LATE_SECONDS + 0.2)
        self.assertEqual(["a"], self.instance.ran)


if __name__ == "__main__":
    unittest.main()
