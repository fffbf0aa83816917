"""Stand-in for faulty servers that send bytes without end.

Each shape of such bytes has an address of its own. What arrives there is
answered with the start of the shape, and then with its piece again and again
until the caller closes. With ``--grants``, only lease grants and releases are
answered so; by default they are accepted, and everything else gets the bytes.
"""

import asyncio
import contextlib
import json

import click

PIECE_BYTES = 4_000
LONG_BODY_BYTES = 3_000_000
OK = b"HTTP/1.1 200 OK\r\n"
SIGNED = OK + b"Response-Signature: s\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
FOREIGN = OK + b"Foreign: 1\r\nRequest-Id: another\r\n"
BLANKS = b" " * 40_000
LINE = b"x" * PIECE_BYTES
GRANTED = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nHandover-Token: t\r\n\r\n"


def shapes(status: bytes = OK) -> dict[str, tuple[bytes, bytes]]:
    """Returns the start and the piece of each shape, by its name.

    Args:
        status: First lines of the heads that are well formed.
    """
    chunked = status + CHUNKED
    return {
        "a head without a line": (b"", LINE),
        "a head without a blank line": (status, b"A: b\r\n" * 500),
        "informational heads": (b"", b"HTTP/1.1 103 Early Hints\r\n\r\n" * 100),
        "a switch of protocols": (b"HTTP/1.1 101 Switching\r\n\r\n", LINE),
        "blanks in a head": (status + b"A:" + BLANKS + b"\0\r\n\r\n", LINE),
        "blanks in a chunk's extension": (
            chunked + b"1;" + BLANKS + b"\n\r\n",
            b"",
        ),
        "blanks in a trailer": (
            chunked + b"0\r\nA:" + BLANKS + b"\0\r\n\r\n",
            b"",
        ),
        "a body of a huge length": (
            status + b"Content-Length: 9999999999\r\n\r\n",
            b"",
        ),
        "a body until the close": (status + b"\r\n", LINE),
        "chunks": (chunked, b"fa0\r\n" + LINE + b"\r\n"),
        "tiny chunks": (chunked, b"1\r\nx\r\n" * 1000),
        "an extension of a chunk": (chunked + b"1;", LINE),
        "trailers": (chunked + b"0\r\n", b"A: b\r\n" * 500),
        "an answer to another request": (
            FOREIGN + b"Content-Length: 99999999\r\n\r\n",
            LINE,
        ),
        "answers to other requests": (
            b"",
            FOREIGN + b"Content-Length: 0\r\n\r\n",
        ),
    }


def stalled_body() -> tuple[bytes, bytes]:
    """Returns a body within all bounds, of which the last byte never comes."""
    length = b"Content-Length: %d\r\n\r\n" % (LONG_BODY_BYTES + 1)
    return SIGNED + length + b"x" * LONG_BODY_BYTES, b""


class EndlessServer:
    """Answers with a shape.

    Args:
        start: Bytes that are sent first.
        piece: Bytes that are repeated then; silent if empty.
        grants: Whether grants get the shape, and not other requests.
    """

    def __init__(self, *, start: bytes, piece: bytes, grants: bool):
        self.start = start
        self.piece = piece
        self.grants = grants

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serves one connection."""
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while await self.respond(reader, writer):
                pass
        writer.close()

    async def respond(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """Answers one request; returns whether the connection goes on."""
        head = await reader.readuntil(b"\r\n\r\n")
        length = head.lower().partition(b"content-length: ")[2]
        await reader.readexactly(int((length or b"0").split()[0]))
        path = head.split(b" ", 2)[1]
        is_order = path in (b"/grant", b"/release")
        if is_order and not self.grants:
            writer.write(GRANTED)
            return True
        writer.write(self.start)
        await writer.drain()
        while self.piece:
            writer.write(self.piece)
            await writer.drain()
        await reader.read()
        return False


@click.command()
@click.option("--grants", is_flag=True, help="Answer grants with the shapes.")
@click.option("--stalled", is_flag=True, help="Only bodies that stall.")
def main(grants: bool, stalled: bool) -> None:
    """Runs one server for each shape; prints their addresses by shape."""
    answers = {"a body that stalls": stalled_body()}
    if not stalled:
        answers |= shapes(SIGNED)

    async def run() -> None:
        addresses = {}
        for name, (start, piece) in answers.items():
            server = EndlessServer(start=start, piece=piece, grants=grants)
            listener = await asyncio.start_server(server.serve, "127.0.0.1", 0)
            port = listener.sockets[0].getsockname()[1]
            addresses[name] = f"127.0.0.1:{port}"
        print(json.dumps(addresses), flush=True)
        await asyncio.Event().wait()

    asyncio.run(run())


if __name__ == "__main__":
    main()
