"""Stand-in for a server of the users' platform that owns keys.

It accepts lease grants and releases with fences and rejects requests for keys
without a valid lease. ``GET /ran`` returns the ids of executed requests.
``PUT /faults`` sets the number of faults still to inject: ``shed`` (rejected
requests), ``unsigned`` (responses without a signature) and ``truncate``
(executed requests whose connection is aborted before the response). ``PUT
/limit`` sets the rate that it names in all answers to requests, or ends it;
``GET /arrivals`` returns when requests arrived, and whether it named a rate.
``PUT /headers`` sets the names and values of headers that are added to all
answers to requests. A request may say in its query how long it takes:
``?work_ms=1500``. ``PUT /capacity`` sets how many requests it runs and queues;
it never responds to any that it cannot queue, nor to what follows on their
connection. ``GET /dropped`` returns how many these were,
``GET /resets`` how many connections it had too many. ``PUT /conduct`` sets
a `conduct.Conduct`.

With ``--journal`` it writes JSON lines, with times of the monotonic clock: for
each arrival and execution of a request, for each one whose key it does not own,
for each body that is not the caller's, for each connection that it resets since
it has too many, for each notice in an answer (that it
leaves, or how long it wants no request), and for each lease change at the
sampled keys.
"""

import asyncio
from collections.abc import Callable
import functools
import json
import random
import time
import urllib.parse

import click

from oleanderhoist.http import messages
from oleanderhoist.policy import registry
from standins import base
from standins import bodies
from standins import conduct
from standins import leases
from standins import unruly

TOLD_SLOTS = 3
MAX_CONCURRENT = 1_000_000  # Unless a capacity is set.
SAMPLED_KEYS = range(0, 65_536, 2048)  # Keys whose leases are in the journal.

Control = Callable[["Instance", bytes], messages.Response]
CONTROLS: registry.Registry[Control] = registry.Registry(kind="control")


class Instance:
    """A backend server that keeps its leases in memory.

    Args:
        id: Id in the list of servers.
        keyed: Whether it owns keys.
        work_ms: Time to execute a request, in milliseconds.
        journal: Whether it writes a journal.
        born: Start of this life, in milliseconds since the epoch.
    """

    def __init__(
        self,
        *,
        id: str,
        keyed: bool,
        work_ms: float,
        journal: bool = False,
        born: int = 0,
    ):
        self.journal = journal
        self.id = id
        self.born = born
        self.keyed = keyed
        self.work_seconds = work_ms / 1000
        self.leases = leases.Leases()
        self.freezes = leases.FreezeDetector()
        self.ran: list[str] = []
        self.limit: float | None = None
        self.arrivals: list[tuple[float, bool]] = []
        self.headers: messages.Headers = []
        self.slots = asyncio.Semaphore(MAX_CONCURRENT)
        self.max_accepted = MAX_CONCURRENT
        self.accepted = 0
        self.dropped = 0
        self.resets = 0
        self.faults = {"shed": 0, "unsigned": 0, "truncate": 0}
        self.conduct = conduct.Conduct()
        self.rng = random.Random()
        self.named_retry_after = False

    async def handle(self, request: messages.Request) -> messages.Response:
        """Handles one request, lease grant, lease release or control call."""
        if request.path in CONTROLS.entries:
            control = CONTROLS.get(request.path)
            return control(self, await request.read())
        response = await self.answer(request)
        if self.conduct.copied_share > self.rng.random():
            names_request = messages.find(response.headers, b"request-id")
            response.repeated = bool(names_request and not response.stream)
        if self.conduct.leaving:
            response.headers.append((b"server-leaving", b"1"))
        response.on_sent = functools.partial(
            self.write_notices, request, response
        )
        return response

    async def answer(self, request: messages.Request) -> unruly.Answer:
        """Returns the response to a request, lease grant or lease release."""
        expected = request.header(b"expected-instance")
        if expected not in (None, self.id):
            await request.read()
            headers = [(b"request-id", request_id(request))]
            return unruly.Answer(
                status=421, headers=headers, body=b"another server"
            )
        if request.path == "/grant":
            return self.grant(json.loads(await request.read()))
        if request.path == "/release":
            return self.release(json.loads(await request.read()))
        self.arrivals.append((time.monotonic(), self.limit is not None))
        self.write_request("arrival", request)
        treat = conduct.draw(self)
        response = await treat(self, request)
        if self.limit is not None:
            response.headers.append((b"server-limit", b"%.2f" % self.limit))
        response.headers += self.headers
        if self.conduct.loads:
            response.headers.append((b"instance-load", self.told_load()))
        return response

    def write_journal(self, **fields: object) -> None:
        """Writes a line of the journal if it is enabled."""
        if self.journal:
            line = json.dumps(
                {"at": time.monotonic(), "born": self.born, **fields}
            )
            print(line, flush=True)

    def write_request(
        self, kind: str, request: messages.Request, **fields: object
    ) -> None:
        """Writes a line on a request to the journal."""
        id = request_id(request).decode()
        self.write_journal(kind=kind, id=id, path=request.path, **fields)

    def write_notices(
        self, request: messages.Request, response: messages.Response
    ) -> None:
        """Writes to the journal what a response says of this server."""
        leaving = messages.find(response.headers, b"server-leaving")
        retry_after = messages.find(response.headers, b"retry-after")
        if retry_after is not None:
            self.named_retry_after = True
        if retry_after is not None or leaving is not None:
            self.write_request(
                "notice",
                request,
                leaving=leaving is not None,
                retry_after=float(retry_after or 0.0),
            )

    def write_lease(self, message: dict, expires_at: float) -> None:
        """Writes the lease of the sampled keys in a range to the journal."""
        sampled = [
            key
            for key in SAMPLED_KEYS
            if message["from"] <= key <= message["to"]
        ]
        if sampled:
            self.write_journal(
                kind="hold",
                keys=sampled,
                until=expires_at,
                fence=message["fence"],
            )

    def note_reset(self) -> None:
        """Counts a connection that is reset since there are too many."""
        self.resets += 1
        self.write_journal(kind="reset")

    def grant(self, message: dict) -> unruly.Answer:
        """Accepts a lease unless an overlapping one has a higher fence."""
        expires_at = self.leases.grant(message, self.freezes.earliest_arrival())
        if expires_at is None:
            return unruly.Answer(status=409, body=b"higher fence")
        self.write_lease(message, expires_at)
        return unruly.Answer()

    def release(self, message: dict) -> unruly.Answer:
        """Releases a range of keys."""
        self.leases.release(message)
        self.write_lease(message, time.monotonic())
        return unruly.Answer(headers=[(b"handover-token", b"abc")])

    def told_load(self) -> bytes:
        """Returns the load that an answer names."""
        waiting = max(0, self.accepted - TOLD_SLOTS)
        text = self.rng.choice(self.conduct.loads)
        return text.format(
            running=self.accepted - waiting, waiting=waiting, slots=TOLD_SLOTS
        ).encode()

    def inject(self, fault: str) -> bool:
        """Returns whether to inject a fault now, and counts it."""
        if self.faults[fault] <= 0:
            return False
        self.faults[fault] -= 1
        return True

    async def read(self, request: messages.Request) -> None:
        """Reads a body and notes in the journal if it is not the caller's."""
        body = await request.read()
        if not bodies.is_whole(body, request_id(request).decode()):
            self.write_request("foreign body", request, bytes=len(body))

    async def respond(self, request: messages.Request) -> unruly.Answer:
        """Executes a request in a slot; never returns if the queue is full."""
        await self.read(request)
        if self.accepted >= self.max_accepted:
            self.dropped += 1
            await asyncio.Event().wait()
        self.accepted += 1
        try:
            async with self.slots:
                return await self.execute(request)
        finally:
            self.accepted -= 1

    async def execute(self, request: messages.Request) -> unruly.Answer:
        """Executes a request, or refuses it before execution.

        Raises:
            ConnectionAbortedError: The connection is to be reset.
        """
        if self.inject("shed"):
            return self.refusal(request, 503)
        refusal = self.accept(request)
        if refusal is not None:
            return refusal
        work_ms = query_value(request, "work_ms", self.work_seconds * 1000)
        await asyncio.sleep(work_ms / 1000)
        if self.inject("truncate"):
            raise ConnectionAbortedError("truncated")
        return self.success(request)

    def accept(self, request: messages.Request) -> unruly.Answer | None:
        """Begins to execute a request; returns a refusal if it may not."""
        key = request.header(b"shard-key")
        if self.keyed and not self.leases.owns(int(key or -1)):
            self.write_request("not owned", request)
            return self.refusal(request, 421)
        self.ran.append(request_id(request).decode())
        self.write_request("run", request)
        return None

    def success(self, request: messages.Request) -> unruly.Answer:
        """Returns the answer to a request that was executed."""
        id = request_id(request)
        headers = [(b"request-id", id)]
        if not self.inject("unsigned"):
            signature = f"{self.id}.{self.born}".encode()
            headers.append((b"response-signature", signature))
        size = int(query_value(request, "body_bytes", 0))
        body = bodies.answer(id.decode()).ljust(size, b"x")
        return unruly.Answer(headers=headers, body=body)

    def refusal(self, request: messages.Request, status: int) -> unruly.Answer:
        """Returns an answer that says that a request was not executed."""
        headers = [
            (b"request-id", request_id(request)),
            (b"not-executed", b"1"),
        ]
        return unruly.Answer(status=status, headers=headers)


def query_value(request: messages.Request, name: str, default: float) -> float:
    """Returns a number from the query of a request."""
    query = urllib.parse.parse_qs(request.target.partition("?")[2])
    return float(query.get(name, [default])[0])


def request_id(request: messages.Request) -> bytes:
    """Returns the id of a request, empty without one."""
    return (request.header(b"request-id") or "").encode()


@CONTROLS.register("/ran")
def get_ran(instance: Instance, body: bytes) -> messages.Response:
    """Returns the ids of executed requests."""
    return messages.json_response(instance.ran)


@CONTROLS.register("/faults")
def set_faults(instance: Instance, body: bytes) -> messages.Response:
    """Sets the number of faults still to inject."""
    instance.faults.update(json.loads(body))
    return messages.json_response(instance.faults)


@CONTROLS.register("/limit")
def set_limit(instance: Instance, body: bytes) -> messages.Response:
    """Sets the rate that all answers name, or ends it."""
    instance.limit = json.loads(body) if body else None
    return messages.json_response(instance.limit)


@CONTROLS.register("/capacity")
def set_capacity(instance: Instance, body: bytes) -> messages.Response:
    """Sets how many requests run and wait."""
    capacity = json.loads(body)
    instance.slots = asyncio.Semaphore(capacity["slots"])
    instance.max_accepted = capacity["slots"] + capacity["queue"]
    return messages.json_response(capacity)


@CONTROLS.register("/headers")
def set_headers(instance: Instance, body: bytes) -> messages.Response:
    """Sets headers that are added to all answers to requests."""
    instance.headers = [
        (name.encode(), value.encode()) for name, value in json.loads(body)
    ]
    return messages.json_response(len(instance.headers))


@CONTROLS.register("/conduct")
def set_conduct(instance: Instance, body: bytes) -> messages.Response:
    """Sets how the server behaves."""
    instance.conduct = conduct.Conduct(**json.loads(body))
    instance.rng = random.Random(instance.conduct.seed)
    return messages.json_response(json.loads(body))


@CONTROLS.register("/dropped")
def get_dropped(instance: Instance, body: bytes) -> messages.Response:
    """Returns how many requests were never answered."""
    return messages.json_response(instance.dropped)


@CONTROLS.register("/resets")
def get_resets(instance: Instance, body: bytes) -> messages.Response:
    """Returns how many connections were too many."""
    return messages.json_response(instance.resets)


@CONTROLS.register("/arrivals")
def get_arrivals(instance: Instance, body: bytes) -> messages.Response:
    """Returns when requests arrived, and whether a rate was named."""
    return messages.json_response(instance.arrivals)


@click.command()
@click.option("--listen", required=True, help="HOST:PORT")
@click.option("--id", required=True, help="Id in the list of servers.")
@click.option("--keyed", is_flag=True, help="Whether it owns keys.")
@click.option(
    "--work-ms", default=5.0, help="Time to execute a request, in milliseconds."
)
@click.option(
    "--born", default=0, help="Start, in milliseconds since the epoch."
)
@click.option("--max-connections", default=0, help="0 to accept any number.")
@click.option("--journal", is_flag=True, help="Write a journal to stdout.")
def main(
    listen: str,
    id: str,
    keyed: bool,
    work_ms: float,
    born: int,
    max_connections: int,
    journal: bool,
) -> None:
    """Runs the server."""
    instance = Instance(
        id=id, keyed=keyed, work_ms=work_ms, journal=journal, born=born
    )

    def make_server(**fields: object) -> unruly.Server:
        server = unruly.Server(**fields)
        server.max_connections = max_connections or server.max_connections
        server.on_reset = instance.note_reset
        return server

    async def run() -> None:
        detector = asyncio.create_task(instance.freezes.run())
        await base.serve([instance.handle], [listen], server_type=make_server)
        detector.cancel()

    asyncio.run(run())


if __name__ == "__main__":
    main()
