"""Clients read large answers slowly; some answers have no length."""

import asyncio
from collections.abc import AsyncIterator
import hashlib
import pathlib
import random
import socket

from review.lab2 import instance
from review.lab2 import system
from review.lab2 import web

DOWNLOAD = "/puje670/"
SERVICE = "xano55b"
# Of the smallest machine, and of the download route, of the site.
LIMITS = {**system.LIMITS, "memory_mb": 429, "link_mbps": 100.0}
TIMEOUT_MS = 7152
BODY_BYTES = 540_000
SLOTS = 6
INSTANCES = 59
CLIENTS = 340
ROUNDS = 4
FAULTY_SHARE = 0.5  # Of the instances.
UNFRAMED_SHARE = 0.05  # Of their answers.
PART_BYTES = 16_384
PART_SECONDS = 0.2  # 82 KB a second: a whole body takes less than 7 s.
SEGMENT_BYTES = 1460
END_SECONDS = 12.0


class Archive(instance.Instance):
    """An instance with large answers, a share of them without a length.

    Those end with their connection, as pages of the system allow.
    """

    unframed_share = 0.0
    rng = random.Random(1)

    def success(self, request: web.Request) -> web.Response:
        """Returns the answer to a request that was run."""
        response = super().success(request)
        response.body = body_of(request.headers)
        if self.rng.random() < self.unframed_share:
            self.record(f"{self.id} gives no length to {response.headers}")
            response.chunks = self.send_parts(response.body)
            response.body = b""
        return response

    async def send_parts(self, body: bytes) -> AsyncIterator[bytes]:
        """Yields a body in parts."""
        for start in range(0, len(body), PART_BYTES):
            yield body[start : start + PART_BYTES]


def body_of(headers: dict[str, str]) -> bytes:
    """Returns the body of the answer to a request."""
    seed = hashlib.sha256(headers["request-id"].encode()).hexdigest().encode()
    return (seed * (BODY_BYTES // len(seed) + 1))[:BODY_BYTES]


class SlowReader(asyncio.StreamReader):
    """Reads with pauses between the parts."""

    async def readexactly(self, n: int) -> bytes:
        """Returns exactly so many bytes."""
        data = b""
        while len(data) < n:
            part = await super().readexactly(min(n - len(data), PART_BYTES))
            data += part
            if len(part) == PART_BYTES:
                await asyncio.sleep(PART_SECONDS)
        return data


async def connect(address: str) -> tuple[SlowReader, asyncio.StreamWriter]:
    """Opens a connection with segments and a window as on a network."""
    host, _, port = address.rpartition(":")
    one = socket.socket()
    one.setblocking(False)
    one.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, PART_BYTES)
    one.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES)
    loop = asyncio.get_running_loop()
    await loop.sock_connect(one, (host, int(port)))
    reader = SlowReader(limit=PART_BYTES)
    protocol = asyncio.StreamReaderProtocol(reader)
    transport, _ = await loop.create_connection(lambda: protocol, sock=one)
    return reader, asyncio.StreamWriter(transport, protocol, reader, loop)


async def download(deployment: system.System, number: int) -> str:
    """Downloads one body; returns what is wrong with a complete answer."""
    id = f"{number:016x}"
    headers = {
        "host": system.HOST,
        "request-id": id,
        "deadline-ms": str(TIMEOUT_MS),
    }
    name = deployment.names[number % len(deployment.names)]
    reader, writer = await connect(deployment.front(name))
    result, wrong = "", ""
    try:
        async with asyncio.timeout(END_SECONDS):
            writer.write(
                web.encode_request("GET", f"{DOWNLOAD}{number}", headers)
            )
            head = await web.read_head(reader)
            if head is None:
                raise web.IncompleteError("no response")
            status = int(head[0].split(" ")[1])
            body = await web.read_body(reader, head[1], until_end=True)
        result = f"{status}, complete, {len(body)} bytes"
        if status == 200 and body != body_of(headers):
            signature = head[1].get("response-signature")
            wrong = f"{id} got {result} of {BODY_BYTES}, signature {signature}"
    except (web.IncompleteError, TimeoutError) as error:
        result = f"not complete: {error}"
    finally:
        writer.transport.abort()
    deployment.record(f"client {id} at {name}: {result}")
    return wrong


async def play(deployment: system.System) -> list[str]:
    """Plays the case; returns the breaches of the rule."""
    rules = [
        system.rule(
            "r-archive",
            DOWNLOAD,
            SERVICE,
            kind="download",
            timeout_ms=TIMEOUT_MS,
        )
    ]
    rules[0]["target_latency_ms"] = 1829
    clusters = [system.cluster(SERVICE)]
    await deployment.start_store(system.config(0x0C, rules, clusters))
    for number in range(INSTANCES):
        await deployment.start_instance(
            f"i-a{number}", SERVICE, kind=Archive, slots=SLOTS
        )
    for name in deployment.names:
        deployment.start_router(name, bootstrap=True)
    await deployment.wait_until_served([f"{DOWNLOAD}1"])
    await asyncio.sleep(3.0)
    if deployment.is_troubled:
        faulty = list(deployment.instances.values())
        for one in faulty[: int(len(faulty) * FAULTY_SHARE)]:
            one.unframed_share = UNFRAMED_SHARE
    results = []
    for number in range(ROUNDS):
        first = number * CLIENTS + 1
        results += await asyncio.gather(
            *(
                download(deployment, number)
                for number in range(first, first + CLIENTS)
            )
        )
    return [wrong for wrong in results if wrong]


if __name__ == "__main__":
    system.run(
        play, str(pathlib.Path(__file__).parent), routers=1, limits=LIMITS
    )
