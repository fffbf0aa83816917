"""Answers of servers in trouble that must not reach a caller."""

import asyncio
import unittest

from oleanderhoist.http import client
from oleanderhoist.http import exchanges
from tests import scripted

TIMEOUT_SECONDS = 2.0
UPLOAD_BYTES = 20_000_000  # More than the buffers of both sockets.
SIGNED = b"Response-Signature: s\r\n"


class OddAnswerTest(unittest.IsolatedAsyncioTestCase):
    """What is no whole answer is none, however it begins."""

    async def error_of(
        self, data: bytes, *, body: bytes, reset: bool
    ) -> exchanges.ExchangeError:
        """Returns the error of a request whose server sends some bytes."""

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(data)
            await asyncio.sleep(scripted.PAUSE_SECONDS)
            if reset:
                scripted.reset_connection(writer)
            writer.close()

        listener = await asyncio.start_server(serve, "127.0.0.1", 0)
        self.addCleanup(listener.close)
        port = listener.sockets[0].getsockname()[1]
        server = client.Client(
            address=client.Address(host="127.0.0.1", port=port)
        )
        with self.assertRaises(exchanges.ExchangeError) as caught:
            await server.request(
                "POST", "/", timeout=TIMEOUT_SECONDS, body=body
            )
        return caught.exception

    # Guards against a part that is taken for a body without a length.
    async def test_an_early_answer_that_is_reset_is_not_complete(self):
        head = b"HTTP/1.1 200 OK\r\n%b\r\n" % SIGNED
        for body in (b"", b"x" * UPLOAD_BYTES):
            for part in (b"", b"part"):
                error = await self.error_of(head + part, body=body, reset=True)
                self.assertTrue(error.maybe_sent)

    async def test_a_number_that_is_no_status_is_no_answer(self):
        for status in (b"000", b"099", b"00", b"0000"):
            head = b"HTTP/1.1 %b Odd\r\n%b" % (status, SIGNED)
            data = head + b"Content-Length: 4\r\n\r\npart"
            error = await self.error_of(data, body=b"", reset=False)
            self.assertIn("not an answer", str(error))


if __name__ == "__main__":
    unittest.main()
