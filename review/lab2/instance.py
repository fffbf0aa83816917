"""Stand-in for an instance that may hold keys."""

import array
import asyncio
from collections.abc import Callable
import dataclasses
import json
import time

from review.lab2 import store
from review.lab2 import web

KEY_COUNT = 65_536
HEARTBEAT_SECONDS = 0.87


@dataclasses.dataclass(frozen=True, kw_only=True)
class HoldChange:
    """A grant that was taken, or a release.

    Attributes:
        at: When, in seconds on the monotonic clock.
        start: First key.
        end: Last key.
        fence: Its fencing token.
        until: When the hold runs out; `at` for a release.
    """

    at: float
    start: int
    end: int
    fence: int
    until: float


class Instance:
    """One instance of a service.

    Args:
        id: Its id.
        service: Its service.
        rows: The store in which it registers itself.
        record: Writes a line of the record.
        sharded: Whether it runs only requests for keys that it holds.
        work_seconds: How long a request takes.
        slots: Requests that it runs at a time.
        queue: Further requests that wait; it rejects others.
        zone: Its zone.

    Attributes:
        changes: All grants that it took, and all releases.
        ran: Time, request id and key of what it ran.
        targets: Request id and target of what it ran.
    """

    def __init__(
        self,
        *,
        id: str,
        service: str,
        rows: store.Store,
        record: Callable[[str], None],
        sharded: bool = False,
        work_seconds: float = 0.02,
        slots: int = 3,
        queue: int = 12,
        zone: str = "puget",
    ):
        self.id = id
        self.service = service
        self.rows = rows
        self.record = record
        self.sharded = sharded
        self.work_seconds = work_seconds
        self.slot_count = slots
        self.queue = queue
        self.zone = zone
        self.slots = asyncio.Semaphore(slots)
        self.accepted = 0
        self.state = "ready"
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.fences = array.array("q", bytes(8 * KEY_COUNT))
        self.until = array.array("d", bytes(8 * KEY_COUNT))
        self.working: dict[int, int] = {}
        self.work_ended = asyncio.Event()
        self.changes: list[HoldChange] = []
        self.ran: list[tuple[float, str, int]] = []
        self.targets: list[tuple[str, str]] = []
        self.grant_delay_seconds = 0.0
        self.server = web.Server(handler=self.handle)
        self.shown_address = ""
        self.task: asyncio.Task | None = None

    async def start(self, address: str) -> None:
        """Listens and registers itself."""
        await self.server.start(address)
        self.shown_address = self.shown_address or self.server.address
        self.task = asyncio.create_task(self.write_heartbeats())

    async def write_heartbeats(self) -> None:
        """Writes its entry at regular intervals."""
        while True:
            self.write_entry()
            await asyncio.sleep(HEARTBEAT_SECONDS)

    def write_entry(self) -> bool:
        """Writes its entry; returns whether the store took it."""
        self.sequence += 1
        return self.rows.put("servers", self.id, self.entry())

    def entry(self) -> dict:
        """Returns its entry."""
        return {
            "service": self.service,
            "address": self.shown_address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slot_count,
            "state": self.state,
            "cold_remaining_ms": 0,
            "sequence": self.sequence,
            "born": self.born,
        }

    async def stop(self) -> None:
        """Ends at once."""
        if self.task is not None:
            self.task.cancel()
        await self.server.stop()

    async def handle(self, request: web.Request) -> web.Response:
        """Handles a grant, a release, a health check or a request."""
        response = await self.respond(request)
        response.headers.setdefault("instance-id", self.id)
        if self.state == "draining":
            response.headers["server-leaving"] = "1"
        return response

    async def respond(self, request: web.Request) -> web.Response:
        """Returns the response to a call."""
        expected = request.headers.get("expected-instance", self.id)
        if expected != self.id:
            return self.rejection(request, 421)
        if request.path == "/grant":
            return await self.grant(json.loads(request.body))
        if request.path == "/release":
            return await self.release(json.loads(request.body))
        if request.path == "/health":
            return web.Response(status=200 if self.state == "ready" else 503)
        return await self.serve(request)

    async def grant(self, message: dict) -> web.Response:
        """Takes keys, unless a higher token was seen on one of them."""
        first, last = message["from"], message["to"]
        now = time.monotonic()
        if max(self.fences[first : last + 1]) > message["fence"]:
            return web.Response(status=409)
        until = now + message["hold_ms"] / 1000
        count = last - first + 1
        self.fences[first : last + 1] = array.array(
            "q", [message["fence"]] * count
        )
        self.until[first : last + 1] = array.array("d", [until] * count)
        self.note(first, last, message["fence"], now, until)
        if self.grant_delay_seconds:
            await asyncio.sleep(self.grant_delay_seconds)
        return web.Response()

    def note(
        self, first: int, last: int, fence: int, now: float, until: float
    ) -> None:
        """Records a grant or a release."""
        self.changes.append(
            HoldChange(at=now, start=first, end=last, fence=fence, until=until)
        )
        hold_ms = round((until - now) * 1000)
        self.record(
            f"{self.id} holds {first}..{last} fence {fence} for {hold_ms} ms"
            if hold_ms
            else f"{self.id} releases {first}..{last} fence {fence}"
        )

    async def release(self, message: dict) -> web.Response:
        """Stops new work on keys; answers once the running work has ended."""
        first, last = message["from"], message["to"]
        now = time.monotonic()
        for key in range(first, last + 1):
            if self.fences[key] <= message["fence"]:
                self.until[key] = min(self.until[key], now)
        self.note(first, last, message["fence"], now, now)
        while any(first <= key <= last for key in self.working):
            self.work_ended.clear()
            await self.work_ended.wait()
        return web.Response(headers={"handover-token": "5c0e7a21d94b36f8"})

    def rejection(self, request: web.Request, status: int) -> web.Response:
        """Returns an answer that says that a request was not run."""
        return web.Response(
            status=status,
            headers={
                "not-executed": "1",
                "request-id": request.headers.get("request-id", ""),
            },
        )

    async def serve(self, request: web.Request) -> web.Response:
        """Runs a request, or rejects it."""
        key = int(request.headers.get("shard-key", "-1"))
        if self.sharded and not self.holds(key):
            return self.rejection(request, 421)
        if self.accepted >= self.slot_count + self.queue:
            return self.rejection(request, 503)
        self.accepted += 1
        try:
            async with self.slots:
                return await self.run(request, key)
        finally:
            self.accepted -= 1

    def holds(self, key: int) -> bool:
        """Returns whether it holds a key now."""
        return 0 <= key < KEY_COUNT and self.until[key] > time.monotonic()

    async def run(self, request: web.Request, key: int) -> web.Response:
        """Runs a request in a slot."""
        if self.sharded and not self.holds(key):
            return self.rejection(request, 421)
        id = request.headers.get("request-id", "")
        self.ran.append((time.monotonic(), id, key))
        self.targets.append((id, request.target))
        self.record(f"{self.id} runs {id} {request.target} key {key}")
        self.working[key] = self.working.get(key, 0) + 1
        try:
            await asyncio.sleep(self.work_seconds)
        finally:
            self.working[key] -= 1
            if not self.working[key]:
                del self.working[key]
            self.work_ended.set()
        return self.success(request)

    def success(self, request: web.Request) -> web.Response:
        """Returns the answer to a request that was run."""
        id = request.headers.get("request-id", "")
        return web.Response(
            headers={
                "request-id": id,
                "response-signature": f"{self.id}.{self.born}.{id}",
                "instance-load": f"{self.accepted},0,{self.slot_count}",
            },
            body=f"{self.service} {id}".encode(),
        )
