"""Stand-in for backend servers: slots, shedding, drain, fenced grants.

One process serves one or more instances. Each keeps a record of what it ran
and of what it believed it owned. Faults are switched by
``PUT /oleander/faults``.
"""

import asyncio
import hashlib
import json
import time

import click

from oleanderhoist.http import messages
from oleanderhoist.http import server
from standins import base
from standins import ownership
from standins import record

LOAD_LAG_SECONDS = 0.5
COLD_FACTOR = 4.0
QUEUE_PER_SLOT = 4
TRUNCATED_BYTES = 8


class Backend:
    """One backend server."""

    def __init__(
        self,
        *,
        id: str,
        slots: int,
        service_ms: float,
        checks_sender: bool,
        keyed: bool,
        cold_seconds: float,
        records: str,
    ):
        self.recorder = record.Recorder(server=id, folder=records)
        self.id = id
        self.slots = asyncio.Semaphore(slots)
        self.slot_count = slots
        self.service_seconds = service_ms / 1000
        self.keyed = keyed
        self.warm_at = time.monotonic() + cold_seconds
        self.owned = ownership.Ownership(
            checks_sender=checks_sender, recorder=self.recorder
        )
        self.admitted = 0
        self.draining = False
        self.shown_load = 0
        self.shown_at = 0.0
        self.busy_seconds = 0.0
        self.cancellations = 0
        self.running: dict[str, asyncio.Task] = {}
        self.faults = {"hang": False, "truncate": 0, "delay_ms": 0, "mute": 0}

    async def handle(self, request: messages.Request) -> messages.Response:
        """Answers one request."""
        if request.path.startswith("/oleander/"):
            return await self.control(request)
        if request.path == "/health":
            return self.health()
        return await self.work(request)

    async def control(self, request: messages.Request) -> messages.Response:
        """Answers the system's orders and the tests' questions."""
        body = await request.read()
        value = json.loads(body) if body else {}
        action = request.path.removeprefix("/oleander/")
        if self.faults["hang"] and action != "faults":
            await asyncio.sleep(3600)
        if action == "assignment":
            return self.stamp(self.owned.assign(value))
        if action == "lease":
            return self.stamp(self.owned.renew(value))
        if action == "drain":
            self.draining = True
            self.recorder.draining()
            return base.plain(204)
        if action == "listed":
            self.recorder.draining()
            return base.plain(204)
        if action == "faults":
            self.faults.update(value)
            return messages.json_response(self.faults)
        if action == "busy":
            return messages.json_response(
                {
                    "busy_seconds": self.busy_seconds,
                    "cancelled": self.cancellations,
                }
            )
        if action.startswith("requests/") and request.method == "DELETE":
            return self.cancel(action.removeprefix("requests/"))
        return base.plain(404)

    def stamp(self, accepted: bool) -> messages.Response:
        """Tells whether an order was followed, and the present version."""
        return messages.json_response(
            {
                "epoch": self.owned.epoch,
                "version": self.owned.version,
                "draining": self.draining,
            },
            200 if accepted else 409,
        )

    def health(self) -> messages.Response:
        """Answers with a load that lags."""
        now = time.monotonic()
        if now - self.shown_at > LOAD_LAG_SECONDS:
            self.shown_load, self.shown_at = self.admitted, now
        return messages.json_response({"ok": True, "load": self.shown_load})

    def cancel(self, id: str) -> messages.Response:
        """Cancels a request that has not ended."""
        task = self.running.get(id)
        if task is not None:
            task.cancel()
        return base.plain(204 if task is not None else 404)

    async def work(self, request: messages.Request) -> messages.Response:
        """Runs one piece of work, or refuses it before it runs."""
        try:
            body = await request.read()
        except server.BodyError:
            return base.plain(400)
        self.recorder.received(request.path)
        if self.faults["hang"]:
            await asyncio.sleep(3600)
        if self.admitted >= self.slot_count * QUEUE_PER_SLOT:
            return refused(503, "shedding")
        id = request.header(b"oleander-request-id") or ""
        self.admitted += 1
        task = asyncio.current_task()
        self.running[id] = task
        try:
            async with self.slots:
                return await self.run(request, body)
        except asyncio.CancelledError:
            task.uncancel()
            self.cancellations += 1
            return refused(499, "cancelled")
        finally:
            self.admitted -= 1
            self.running.pop(id, None)

    async def run(
        self, request: messages.Request, body: bytes
    ) -> messages.Response:
        """Works in a slot; the effect happens at the end."""
        deadline = float(request.header(b"oleander-deadline") or "inf")
        if time.time() > deadline:
            return refused(504, "too late")
        if not self.entitled(request):
            return refused(421, "not the owner")
        cold = time.monotonic() < self.warm_at
        seconds = self.service_seconds * (COLD_FACTOR if cold else 1.0)
        await asyncio.sleep(seconds + self.faults["delay_ms"] / 1000)
        self.busy_seconds += seconds
        if not self.entitled(request):
            return refused(421, "no longer the owner")
        nonce = request.header(b"x-nonce") or ""
        partition = request.header(b"oleander-partition") or ""
        self.recorder.ran(nonce, request.path, partition)
        return await self.answer(request, nonce, body)

    def entitled(self, request: messages.Request) -> bool:
        """Tells whether the server may serve the request's key now."""
        if not self.keyed:
            return True
        partition = request.header(b"oleander-partition") or ""
        fence = int(request.header(b"oleander-fence") or 0)
        key = request.path.rpartition("/")[2]
        return self.owned.owns(partition, fence, key)

    async def answer(
        self, request: messages.Request, nonce: str, body: bytes
    ) -> messages.Response:
        """Returns the answer, faults included."""
        response = messages.json_response(
            {
                "server": self.id,
                "path": request.path,
                "nonce": nonce,
                "body_sha256": hashlib.sha256(body).hexdigest(),
            }
        )
        response.headers.append((b"x-nonce", nonce.encode()))
        load = str(self.admitted).encode()
        response.headers.append((b"oleander-load", load))
        if self.draining:
            response.headers.append((b"oleander-draining", b"1"))
        if self.faults["mute"] > 0:
            self.faults["mute"] -= 1
            await asyncio.sleep(3600)
        if self.faults["truncate"] > 0:
            self.faults["truncate"] -= 1
            response.headers.append(
                (b"content-length", b"%d" % len(response.body))
            )
            response.stream = cut(response.body)
        return response


async def cut(body: bytes):
    """Yields a part of a body and breaks."""
    yield body[:TRUNCATED_BYTES]
    raise ConnectionAbortedError("truncated")


def refused(status: int, text: str) -> messages.Response:
    """Returns an answer that says the request did not run."""
    response = base.plain(status, text)
    response.headers.append((b"oleander-refused", b"1"))
    return response


@click.command()
@click.option("--id", "ids", multiple=True, required=True)
@click.option("--listen", multiple=True)
@click.option("--slots", default=3)
@click.option("--service-ms", default=1.0)
@click.option("--checks-sender/--no-checks-sender", default=True)
@click.option("--keyed/--no-keyed", default=False)
@click.option("--cold-seconds", default=0.0)
@click.option("--records", default="")
def main(
    ids: tuple[str, ...],
    listen: tuple[str, ...],
    slots: int,
    service_ms: float,
    checks_sender: bool,
    keyed: bool,
    cold_seconds: float,
    records: str,
) -> None:
    """Runs one or more backend servers."""
    addresses = list(listen) or ["127.0.0.1:0"] * len(ids)

    async def run() -> None:
        backends = [
            Backend(
                id=id,
                slots=slots,
                service_ms=service_ms,
                checks_sender=checks_sender,
                keyed=keyed,
                cold_seconds=cold_seconds,
                records=records,
            )
            for id in ids
        ]
        await base.serve([b.handle for b in backends], addresses)

    asyncio.run(run())


if __name__ == "__main__":
    main()
