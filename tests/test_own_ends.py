"""An end that this process has made is not taken for that of the peer."""

import asyncio
import unittest

from oleanderhoist.http import client
from oleanderhoist.http import exchanges
from oleanderhoist.http import messages
from oleanderhoist.http import server
from oleanderhoist.http import streams
from tests import scripted

PART = b"x" * 300_000
TIMEOUT_SECONDS = 5.0
LENGTHS = (
    b"",
    b"Content-Length: 900000\r\n",
    b"Transfer-Encoding: chunked\r\n",
)


def head(framing: bytes) -> bytes:
    """Returns the head of a response."""
    return b"HTTP/1.1 200 OK\r\n" + framing + b"\r\n"


def framed(framing: bytes) -> bytes:
    """Returns a part of a body as its framing has it."""
    if b"chunked" in framing:
        return b"%x\r\n%b\r\n" % (len(PART), PART)
    return PART


class OwnEndTest(unittest.IsolatedAsyncioTestCase):
    """Bodies that are cut short by this process fail."""

    async def peer(self, data: bytes) -> client.Client:
        """Returns the client of a peer that sends bytes and stays silent."""
        peer = scripted.Peer(scripted.write_and_stay(data))
        await peer.start(self)
        caller = client.Client(address=client.Address.parse(peer.address))
        self.addCleanup(caller.close)
        return caller

    async def stream(self, framing: bytes) -> messages.Response:
        """Returns a response whose body is passed on as it arrives."""
        caller = await self.peer(head(framing) + framed(framing))
        return await caller.request(
            "GET",
            "/",
            timeout=TIMEOUT_SECONDS,
            stream_limit=exchanges.stream_large,
        )

    async def read_until_given_up(self, response: messages.Response) -> bytes:
        """Reads a stream that is given up for memory after the first chunk."""
        data = await anext(aiter(response.stream))
        exchanges.MEMORY.give_up_largest()
        async for chunk in response.stream:
            data += chunk
        return data

    async def test_a_stream_that_is_given_up_looks_complete(self):
        """Guards against a part of a body without a length as a whole one."""
        for framing in LENGTHS:
            response = await self.stream(framing)
            with self.assertRaises(ConnectionAbortedError, msg=framing):
                await self.read_until_given_up(response)

    async def test_a_caller_gets_the_last_chunk_of_a_stream_that_is_given_up(
        self,
    ):
        """Guards against a truncated answer with a complete framing."""
        response = await self.stream(b"")

        async def handle(request: messages.Request) -> messages.Response:
            return response

        front = server.Server(host="127.0.0.1", port=0, handler=handle)
        await front.start()
        self.addAsyncCleanup(front.stop, 0.0)
        reader, writer = await asyncio.open_connection("127.0.0.1", front.port)
        self.addCleanup(writer.close)
        writer.write(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
        received = await reader.readuntil(b"\r\n\r\n")
        self.assertIn(b"chunked", received)
        received = await reader.read(1)
        exchanges.MEMORY.give_up_largest()
        with self.assertRaises(ConnectionResetError):
            while chunk := await reader.read(65_536):
                received = received[-8:] + chunk
        self.assertFalse(received.endswith(b"0\r\n\r\n"))

    async def read_whole(self, framing: bytes, end: object) -> None:
        """Reads a body that must be whole, and ends its connection meanwhile.

        Raises:
            exchanges.ExchangeError: It isn't whole.
        """
        caller = await self.peer(head(framing) + framed(framing))
        reading = asyncio.create_task(
            caller.request("GET", "/", timeout=TIMEOUT_SECONDS)
        )
        while not any(
            body.size_bytes >= len(PART) for body in exchanges.MEMORY.bodies
        ):
            await asyncio.sleep(0)
        end()
        await reading

    async def test_a_held_body_that_is_given_up_looks_complete(self):
        for framing in LENGTHS:
            with self.assertRaisesRegex(exchanges.ExchangeError, "no memory"):
                await self.read_whole(framing, exchanges.MEMORY.give_up_largest)

    async def test_a_held_body_looks_complete_at_the_end_of_the_program(self):
        """Guards against answers of the store or a server that are cut."""
        for framing in LENGTHS:
            with self.assertRaises(exchanges.ExchangeError):
                await self.read_whole(framing, streams.close_opened)

    async def test_an_upload_that_is_cut_here_looks_complete(self):
        """Guards against a part of a caller's body, whatever its framing."""
        results = []
        got_part = asyncio.Event()

        async def handle(request: messages.Request) -> messages.Response:
            try:
                async for _ in request.body:
                    got_part.set()
                results.append("complete")
            except messages.BodyError:
                results.append("cut")
            return messages.Response()

        for framing in LENGTHS[1:]:
            front = server.Server(host="127.0.0.1", port=0, handler=handle)
            await front.start()
            _, writer = await asyncio.open_connection("127.0.0.1", front.port)
            writer.write(b"POST / HTTP/1.1\r\nHost: a\r\n" + framing + b"\r\n")
            writer.write(framed(framing)[:5_000])
            await got_part.wait()
            await front.stop(0.0)
            await asyncio.sleep(scripted.PAUSE_SECONDS)
            writer.close()
        self.assertEqual(["cut", "cut"], results)

    async def test_the_end_of_the_peer_is_an_error(self):
        """Guards against failing bodies that the peer has ended."""
        data = head(b"") + PART
        peer = scripted.Peer(scripted.write_and_end(data, reset=False))
        await peer.start(self)
        caller = client.Client(address=client.Address.parse(peer.address))
        response = await caller.request("GET", "/", timeout=TIMEOUT_SECONDS)
        self.assertEqual(PART, response.body)


if __name__ == "__main__":
    unittest.main()
