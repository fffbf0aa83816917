"""Stand-in for backend servers with slots, shedding, draining and fencing.

One process serves one or more servers. Each records the requests that it
executed and the partitions that it considered its own. Faults are set by
``PUT /oleander/faults``.
"""

import asyncio
import hashlib
import json
import time

import click

from oleanderhoist.http import messages
from standins import base
from standins import ownership
from standins import record

LOAD_UPDATE_SECONDS = 0.5
COLD_SERVICE_FACTOR = 4.0
ADMITTED_PER_SLOT = 4
TRUNCATED_BODY_BYTES = 8
HANG_SECONDS = 3600


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
        self.ownership = ownership.Ownership(
            checks_sender=checks_sender, recorder=self.recorder
        )
        self.admitted = 0
        self.draining = False
        self.reported_load = 0
        self.reported_at = 0.0
        self.busy_seconds = 0.0
        self.cancellations = 0
        self.running: dict[str, asyncio.Task] = {}
        self.faults = {"hang": False, "truncate": 0, "delay_ms": 0, "mute": 0}

    async def handle(self, request: messages.Request) -> messages.Response:
        """Handles one request."""
        if request.path.startswith("/oleander/"):
            return await self.handle_control(request)
        if request.path == "/health":
            return self.health()
        return await self.handle_work(request)

    async def handle_control(
        self, request: messages.Request
    ) -> messages.Response:
        """Handles control requests of the system and of tests.

        Tests send ``listed`` when the inventory lists the server as leaving.
        """
        body = await request.read()
        value = json.loads(body) if body else {}
        action = request.path.removeprefix("/oleander/")
        if self.faults["hang"] and action != "faults":
            await asyncio.sleep(HANG_SECONDS)
        if action == "assignment":
            return self.ownership_response(self.ownership.assign(value))
        if action == "lease":
            return self.ownership_response(self.ownership.renew(value))
        if action == "drain":
            self.draining = True
            self.recorder.draining()
            return base.text_response(204)
        if action == "listed":
            self.recorder.draining()
            return base.text_response(204)
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
        return base.text_response(404)

    def ownership_response(self, accepted: bool) -> messages.Response:
        """Returns epoch and version, with status 409 after a rejection."""
        return messages.json_response(
            {
                "epoch": self.ownership.epoch,
                "version": self.ownership.version,
                "draining": self.draining,
            },
            200 if accepted else 409,
        )

    def health(self) -> messages.Response:
        """Returns the health and a load that may be outdated."""
        now = time.monotonic()
        if now - self.reported_at > LOAD_UPDATE_SECONDS:
            self.reported_load, self.reported_at = self.admitted, now
        return messages.json_response({"ok": True, "load": self.reported_load})

    def cancel(self, id: str) -> messages.Response:
        """Cancels a request that is still running."""
        task = self.running.get(id)
        if task is not None:
            task.cancel()
        return base.text_response(204 if task is not None else 404)

    async def handle_work(self, request: messages.Request) -> messages.Response:
        """Executes a request, or refuses it; the response has its id."""
        response = await self.admit(request)
        id = request.header(b"oleander-request-id") or ""
        response.headers.append((b"oleander-request-id", id.encode()))
        return response

    async def admit(self, request: messages.Request) -> messages.Response:
        """Executes a request, or refuses it before execution."""
        try:
            body = await request.read()
        except messages.BodyError:
            return base.text_response(400)
        self.recorder.received(request.path)
        if self.faults["hang"]:
            await asyncio.sleep(HANG_SECONDS)
        if self.admitted >= self.slot_count * ADMITTED_PER_SLOT:
            return refusal(503, "shedding")
        id = request.header(b"oleander-request-id") or ""
        self.admitted += 1
        task = asyncio.current_task()
        self.running[id] = task
        try:
            async with self.slots:
                return await self.execute(request, body)
        except asyncio.CancelledError:
            task.uncancel()
            self.cancellations += 1
            return refusal(499, "cancelled")
        finally:
            self.admitted -= 1
            self.running.pop(id, None)

    async def execute(
        self, request: messages.Request, body: bytes
    ) -> messages.Response:
        """Executes a request in a slot; it takes effect at the end."""
        deadline = float(request.header(b"oleander-deadline") or "inf")
        if time.time() > deadline:
            return refusal(504, "too late")
        if not self.may_execute(request):
            return refusal(421, "not the owner")
        cold = time.monotonic() < self.warm_at
        seconds = self.service_seconds * (COLD_SERVICE_FACTOR if cold else 1.0)
        await asyncio.sleep(seconds + self.faults["delay_ms"] / 1000)
        self.busy_seconds += seconds
        if not self.may_execute(request):
            return refusal(421, "no longer the owner")
        nonce = request.header(b"x-nonce") or ""
        partition = request.header(b"oleander-partition") or ""
        self.recorder.ran(nonce, request.path, partition)
        return await self.respond(request, nonce, body)

    def may_execute(self, request: messages.Request) -> bool:
        """Returns whether the server may execute a request, by its key."""
        if not self.keyed:
            return True
        partition = request.header(b"oleander-partition") or ""
        fence = int(request.header(b"oleander-fence") or 0)
        key = request.path.rpartition("/")[2]
        return self.ownership.owns(partition, fence, key)

    async def respond(
        self, request: messages.Request, nonce: str, body: bytes
    ) -> messages.Response:
        """Returns the response, after applying response faults."""
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
            await asyncio.sleep(HANG_SECONDS)
        if self.faults["truncate"] > 0:
            self.faults["truncate"] -= 1
            response.headers.append(
                (b"content-length", b"%d" % len(response.body))
            )
            response.stream = truncated_body(response.body)
        return response


async def truncated_body(body: bytes):
    """Yields the start of a body, then aborts the connection."""
    yield body[:TRUNCATED_BODY_BYTES]
    raise ConnectionAbortedError("truncated")


def refusal(status: int, text: str) -> messages.Response:
    """Returns a response that marks the request as not executed."""
    response = base.text_response(status, text)
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
        await base.serve([backend.handle for backend in backends], addresses)

    asyncio.run(run())


if __name__ == "__main__":
    main()
