"""Stand-in for a server that owns keys, as the users' platform speaks.

It grants and releases keys with fences, rejects what it does not hold, and
records what it ran, which ``GET /ran`` returns. ``PUT /faults`` switches
``shed`` (requests to reject), ``unsigned`` (answers without a signature) and
``truncate`` (answers that never come).

With ``--journal`` it writes a JSON line for each run and each change of what
it holds at some marked keys, with times of the machine's monotonic clock.
"""

import asyncio
import json
import time

import click

from oleanderhoist.http import messages
from standins import base

AWAKE_SECONDS = 0.05
FROZEN_SECONDS = 0.2
THAW_SECONDS = 0.3  # To handle what came while the process was frozen.
MARKS = range(0, 65_536, 2048)  # Keys at which the journal tells holds.


class Instance:
    """A server in memory."""

    def __init__(
        self, *, id: str, keyed: bool, work_ms: float, journal: bool = False
    ):
        self.journal = journal
        self.id = id
        self.keyed = keyed
        self.work_seconds = work_ms / 1000
        self.holds: list[dict] = []
        self.awake_at = time.monotonic()
        self.frozen_at = 0.0
        self.thawing_until = 0.0
        self.ran: list[str] = []
        self.faults = {"shed": 0, "unsigned": 0, "truncate": 0}

    async def handle(self, request: messages.Request) -> messages.Response:
        """Answers one request or order."""
        body = await request.read()
        expected = request.header(b"expected-instance")
        if expected not in (None, self.id):
            return base.plain(421, "another server")
        if request.path == "/ran":
            return messages.json_response(self.ran)
        if request.path == "/faults":
            self.faults.update(json.loads(body))
            return messages.json_response(self.faults)
        if request.path == "/grant":
            return self.grant(json.loads(body))
        if request.path == "/release":
            return self.release(json.loads(body))
        return await self.serve(request, body)

    def note(self, **fields: object) -> None:
        """Writes a line of the journal."""
        if self.journal:
            line = json.dumps({"at": time.monotonic(), **fields})
            print(line, flush=True)

    def note_hold(self, order: dict, until: float) -> None:
        """Writes what an order means for the marked keys."""
        marks = [m for m in MARKS if order["from"] <= m <= order["to"]]
        if marks:
            self.note(
                kind="hold", keys=marks, until=until, fence=order["fence"]
            )

    def grant(self, order: dict) -> messages.Response:
        """Takes keys, unless a higher fence was seen."""
        for hold in self.holds:
            apart = hold["to"] < order["from"] or order["to"] < hold["from"]
            if not apart and hold["fence"] > order["fence"]:
                return base.plain(409, "higher fence")
        until = self.arrival() + order["hold_ms"] / 1000
        self.holds.append({**order, "until": until})
        self.note_hold(order, until)
        return base.plain(200, "")

    def arrival(self) -> float:
        """Returns the earliest time at which what is handled now arrived.

        While the process was frozen, orders lay in its sockets' buffers.
        """
        now = time.monotonic()
        if now - self.awake_at > FROZEN_SECONDS:
            return self.awake_at
        return self.frozen_at if now < self.thawing_until else now

    async def stay_awake(self) -> None:
        """Notes regularly that the process runs."""
        while True:
            now = time.monotonic()
            if now - self.awake_at > FROZEN_SECONDS:
                self.frozen_at = self.awake_at
                self.thawing_until = now + THAW_SECONDS
            self.awake_at = now
            await asyncio.sleep(AWAKE_SECONDS)

    def release(self, order: dict) -> messages.Response:
        """Gives keys back."""
        for key in ("from", "to"):
            order[key] = int(order[key])
        self.holds.append({**order, "until": 0.0})
        self.note_hold(order, time.monotonic())
        return messages.Response(headers=[(b"handover-token", b"abc")])

    def holds_key(self, key: int) -> bool:
        """Tells whether a key is held now, by the newest order about it."""
        for hold in reversed(self.holds):
            if hold["from"] <= key <= hold["to"]:
                return hold["until"] > time.monotonic()
        return False

    def takes(self, fault: str) -> bool:
        """Tells whether a fault happens now, and counts it."""
        if self.faults[fault] <= 0:
            return False
        self.faults[fault] -= 1
        return True

    async def serve(
        self, request: messages.Request, body: bytes
    ) -> messages.Response:
        """Runs a request."""
        id = (request.header(b"request-id") or "").encode()
        key = request.header(b"shard-key")
        refused = [(b"not-executed", b"1")]
        if self.takes("shed"):
            return messages.Response(status=503, headers=refused)
        if self.keyed and not self.holds_key(int(key or -1)):
            return messages.Response(status=421, headers=refused)
        self.ran.append(id.decode())
        self.note(kind="run", id=id.decode(), path=request.path)
        await asyncio.sleep(self.work_seconds)
        headers = [(b"request-id", id)]
        if not self.takes("unsigned"):
            headers.append((b"response-signature", b"signed"))
        if self.takes("truncate"):
            raise ConnectionAbortedError("truncated")
        return messages.Response(
            headers=headers, body=b"done " + id + b" " + body[:16]
        )


@click.command()
@click.option("--listen", required=True, help="HOST:PORT")
@click.option("--id", required=True, help="Id in the directory.")
@click.option("--keyed", is_flag=True, help="Whether it owns keys.")
@click.option("--work-ms", default=5.0, help="Time of a request.")
@click.option("--journal", is_flag=True, help="Write what happens.")
def main(
    listen: str, id: str, keyed: bool, work_ms: float, journal: bool
) -> None:
    """Runs the stand-in."""
    instance = Instance(id=id, keyed=keyed, work_ms=work_ms, journal=journal)

    async def run() -> None:
        awake = asyncio.create_task(instance.stay_awake())
        await base.serve([instance.handle], [listen])
        awake.cancel()

    asyncio.run(run())


if __name__ == "__main__":
    main()
