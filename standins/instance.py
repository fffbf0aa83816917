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
connection. ``GET /dropped`` returns how many these were.

With ``--journal`` it writes a JSON line for each executed request and for each
lease change at the sampled keys, with times of the monotonic clock.
"""

import asyncio
import json
import time
import urllib.parse

import click

from oleanderhoist.http import messages
from standins import base

WAKE_UP_SECONDS = 0.05
FREEZE_THRESHOLD_SECONDS = 0.2
CATCH_UP_SECONDS = 0.3  # Time to handle what arrived during a freeze.
MAX_CONCURRENT = 1_000_000  # Unless a capacity is set.
SAMPLED_KEYS = range(0, 65_536, 2048)  # Keys whose leases are in the journal.


class Instance:
    """A backend server that keeps its leases in memory."""

    def __init__(
        self, *, id: str, keyed: bool, work_ms: float, journal: bool = False
    ):
        self.journal = journal
        self.id = id
        self.keyed = keyed
        self.work_seconds = work_ms / 1000
        self.leases: list[dict] = []
        self.last_awake_at = time.monotonic()
        self.frozen_at = 0.0
        self.catching_up_until = 0.0
        self.ran: list[str] = []
        self.limit: float | None = None
        self.arrivals: list[tuple[float, bool]] = []
        self.headers: messages.Headers = []
        self.slots = asyncio.Semaphore(MAX_CONCURRENT)
        self.max_accepted = MAX_CONCURRENT
        self.accepted = 0
        self.dropped = 0
        self.faults = {"shed": 0, "unsigned": 0, "truncate": 0}

    async def handle(self, request: messages.Request) -> messages.Response:
        """Handles one request, lease grant or lease release."""
        body = await request.read()
        expected = request.header(b"expected-instance")
        if expected not in (None, self.id):
            response = base.text_response(421, "another server")
            id = (request.header(b"request-id") or "").encode()
            response.headers.append((b"request-id", id))
            return response
        if request.path == "/ran":
            return messages.json_response(self.ran)
        if request.path == "/faults":
            self.faults.update(json.loads(body))
            return messages.json_response(self.faults)
        if request.path == "/limit":
            self.limit = json.loads(body) if body else None
            return messages.json_response(self.limit)
        if request.path == "/headers":
            self.headers = [
                (name.encode(), value.encode())
                for name, value in json.loads(body)
            ]
            return messages.json_response(len(self.headers))
        if request.path == "/capacity":
            capacity = json.loads(body)
            self.slots = asyncio.Semaphore(capacity["slots"])
            self.max_accepted = capacity["slots"] + capacity["queue"]
            return messages.json_response(capacity)
        if request.path == "/dropped":
            return messages.json_response(self.dropped)
        if request.path == "/arrivals":
            return messages.json_response(self.arrivals)
        if request.path == "/grant":
            return self.grant(json.loads(body))
        if request.path == "/release":
            return self.release(json.loads(body))
        self.arrivals.append((time.monotonic(), self.limit is not None))
        response = await self.queue(request, body)
        if self.limit is not None:
            response.headers.append((b"server-limit", b"%.2f" % self.limit))
        response.headers += self.headers
        return response

    def write_journal(self, **fields: object) -> None:
        """Writes a line of the journal if it is enabled."""
        if self.journal:
            line = json.dumps({"at": time.monotonic(), **fields})
            print(line, flush=True)

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

    def grant(self, message: dict) -> messages.Response:
        """Accepts a lease unless an overlapping one has a higher fence."""
        for lease in self.leases:
            disjoint = (
                lease["to"] < message["from"] or message["to"] < lease["from"]
            )
            if not disjoint and lease["fence"] > message["fence"]:
                return base.text_response(409, "higher fence")
        expires_at = self.earliest_arrival() + message["hold_ms"] / 1000
        self.leases.append({**message, "until": expires_at})
        self.write_lease(message, expires_at)
        return base.text_response(200, "")

    def earliest_arrival(self) -> float:
        """Returns the earliest possible arrival time of the current message.

        Messages wait in socket buffers while the process is frozen.
        """
        now = time.monotonic()
        if now - self.last_awake_at > FREEZE_THRESHOLD_SECONDS:
            return self.last_awake_at
        return self.frozen_at if now < self.catching_up_until else now

    async def detect_freezes(self) -> None:
        """Detects freezes of the process by the gaps between its wake-ups."""
        while True:
            now = time.monotonic()
            if now - self.last_awake_at > FREEZE_THRESHOLD_SECONDS:
                self.frozen_at = self.last_awake_at
                self.catching_up_until = now + CATCH_UP_SECONDS
            self.last_awake_at = now
            await asyncio.sleep(WAKE_UP_SECONDS)

    def release(self, message: dict) -> messages.Response:
        """Releases a range of keys."""
        for key in ("from", "to"):
            message[key] = int(message[key])
        self.leases.append({**message, "until": 0.0})
        self.write_lease(message, time.monotonic())
        return messages.Response(headers=[(b"handover-token", b"abc")])

    def owns_key(self, key: int) -> bool:
        """Returns whether the newest message about a key left a valid lease."""
        for lease in reversed(self.leases):
            if lease["from"] <= key <= lease["to"]:
                return lease["until"] > time.monotonic()
        return False

    def inject(self, fault: str) -> bool:
        """Returns whether to inject a fault now, and counts it."""
        if self.faults[fault] <= 0:
            return False
        self.faults[fault] -= 1
        return True

    async def queue(
        self, request: messages.Request, body: bytes
    ) -> messages.Response:
        """Executes a request in a slot; never returns if the queue is full."""
        if self.accepted >= self.max_accepted:
            self.dropped += 1
            await asyncio.Event().wait()
        self.accepted += 1
        try:
            async with self.slots:
                return await self.execute(request, body)
        finally:
            self.accepted -= 1

    async def execute(
        self, request: messages.Request, body: bytes
    ) -> messages.Response:
        """Executes a request, or refuses it before execution."""
        id = (request.header(b"request-id") or "").encode()
        key = request.header(b"shard-key")
        not_executed = [(b"request-id", id), (b"not-executed", b"1")]
        if self.inject("shed"):
            return messages.Response(status=503, headers=not_executed)
        if self.keyed and not self.owns_key(int(key or -1)):
            return messages.Response(status=421, headers=not_executed)
        self.ran.append(id.decode())
        self.write_journal(kind="run", id=id.decode(), path=request.path)
        query = urllib.parse.parse_qs(request.target.partition("?")[2])
        work_ms = query.get("work_ms", [self.work_seconds * 1000])[0]
        await asyncio.sleep(float(work_ms) / 1000)
        headers = [(b"request-id", id)]
        if not self.inject("unsigned"):
            headers.append((b"response-signature", b"signed"))
        if self.inject("truncate"):
            raise ConnectionAbortedError("truncated")
        return messages.Response(
            headers=headers, body=b"done " + id + b" " + body[:16]
        )


@click.command()
@click.option("--listen", required=True, help="HOST:PORT")
@click.option("--id", required=True, help="Id in the list of servers.")
@click.option("--keyed", is_flag=True, help="Whether it owns keys.")
@click.option(
    "--work-ms", default=5.0, help="Time to execute a request, in milliseconds."
)
@click.option(
    "--journal",
    is_flag=True,
    help="Write executed requests and leases to stdout.",
)
def main(
    listen: str, id: str, keyed: bool, work_ms: float, journal: bool
) -> None:
    """Runs the server."""
    instance = Instance(id=id, keyed=keyed, work_ms=work_ms, journal=journal)

    async def run() -> None:
        detector = asyncio.create_task(instance.detect_freezes())
        await base.serve([instance.handle], [listen])
        detector.cancel()

    asyncio.run(run())


if __name__ == "__main__":
    main()
