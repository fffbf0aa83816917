"""Stand-in for an instance of a service, as PROTOCOL.md describes it."""

import asyncio
from collections.abc import Callable
import dataclasses
import json
import time
import urllib.parse

from review.lab import http

KEEP_ALIVE_SECONDS = 10


@dataclasses.dataclass(kw_only=True)
class Hold:
    """A grant or a release of a range of keys, the newest one counts.

    Attributes:
        start: First key.
        end: Last key.
        fence: Fencing token.
        until: When the hold ends, on the monotonic clock.
    """

    start: int
    end: int
    fence: int
    until: float


class Instance:
    """An instance that runs requests in slots and queues a few more.

    Args:
        id: Its id in the store.
        service: Its service.
        slots: Requests that it runs at a time.
        queue: Requests that may wait for a slot.
        keyed: Whether it owns keys.
        work_ms: Work of a request that names none, in milliseconds.
        record: Called with each event.

    A request may name its work in its query: ``?work_ms=1500``.
    """

    def __init__(
        self,
        *,
        id: str,
        service: str,
        slots: int = 4,
        queue: int = 16,
        keyed: bool = False,
        work_ms: float = 20.0,
        record: object = None,
    ):
        self.id = id
        self.service = service
        self.slots = slots
        self.queue = queue
        self.keyed = keyed
        self.work_ms = work_ms
        self.record = record
        self.server = http.Server(handler=self.handle)
        self.free = asyncio.Semaphore(slots)
        self.present = 0
        self.running: dict[str, int | None] = {}
        self.holds: list[Hold] = []
        self.born = time.time_ns() // 1_000_000
        self.sequence = 0
        self.state = "ready"
        self.is_late: Callable[[dict], bool] = lambda call: False
        self.late_seconds = 0.0
        self.late_copies = 0  # Of refusals that are still to be sent.

    def entry(self) -> dict:
        """Returns what it registers in the store."""
        self.sequence += 1
        return {
            "service": self.service,
            "address": self.server.address,
            "zone": "z1",
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "cold_remaining_ms": 0,
            "sequence": self.sequence,
            "born": self.born,
        }

    async def handle(self, request: http.Message) -> http.Message:
        """Answers a request, a health check, a grant or a release."""
        target = request.first[1]
        path = target.partition("?")[0]
        expected = request.headers.get("expected-instance", self.id)
        if expected != self.id:
            return self.refuse(request, 421)
        if path == "/health":
            return http.response(200, headers={"instance-id": self.id})
        if path in ("/grant", "/release"):
            return await self.obey(path, request.json())
        return await self.take(request)

    async def obey(self, path: str, call: dict) -> http.Message:
        """Carries out an order, now or late and without an answer."""
        apply = self.grant if path == "/grant" else self.stop_work
        self.note("order", path=path, late=self.is_late(call), **call)
        if self.is_late(call):
            until = time.monotonic() + call.get("hold_ms", 0) / 1000
            asyncio.get_running_loop().call_later(
                self.late_seconds, apply, {**call, "until": until}
            )
            await asyncio.Event().wait()
        answer = apply(call)
        if path == "/release":
            await self.work_ended(call["from"], call["to"])
        return answer

    def base_headers(self, request: http.Message) -> dict[str, str]:
        """Returns the headers of every answer to a request."""
        return {
            "request-id": request.headers.get("request-id", ""),
            "keep-alive": f"timeout={KEEP_ALIVE_SECONDS}",
        }

    def refuse(self, request: http.Message, status: int) -> http.Message:
        """Answers a request that does not run."""
        headers = {
            **self.base_headers(request),
            "not-executed": "1",
            "instance-id": self.id,
        }
        answer = http.response(status, headers=headers)
        self.note("refused", id=headers["request-id"], status=status)
        if self.late_copies:
            self.late_copies -= 1
            answer.late_copy = True
        return answer

    async def take(self, request: http.Message) -> http.Message:
        """Queues a request and runs it in a slot."""
        key = request.headers.get("shard-key")
        if self.keyed and not self.holds_key(int(key or -1)):
            return self.refuse(request, 421)
        if self.present >= self.slots + self.queue:
            return self.refuse(request, 503)
        self.present += 1
        try:
            async with self.free:
                return await self.run(request, key)
        finally:
            self.present -= 1

    async def run(self, request: http.Message, key: str | None) -> http.Message:
        """Runs a request; stops at its deadline, or as its caller leaves."""
        id = request.headers.get("request-id", "")
        self.note("run", id=id, target=request.first[1])
        target = request.first[1]
        query = urllib.parse.parse_qs(target.partition("?")[2])
        work = float(query.get("work_ms", [self.work_ms])[0])
        deadline = float(request.headers.get("deadline-ms", 60_000))
        self.running[id] = None if key is None else int(key)
        try:
            await asyncio.sleep(min(work, deadline) / 1000)
        except asyncio.CancelledError:
            self.note("left", id=id)
            raise
        finally:
            self.running.pop(id, None)
        if work > deadline:
            return http.response(504, headers=self.base_headers(request))
        self.note("done", id=id)
        headers = {
            **self.base_headers(request),
            "response-signature": f"{self.service}.{id}",
        }
        body = json.dumps({"service": self.service, "id": id}).encode()
        return http.response(200, body, headers)

    def note(self, kind: str, **fields: object) -> None:
        """Records an event."""
        if self.record is not None:
            self.record(kind, instance=self.id, service=self.service, **fields)

    def grant(self, call: dict) -> http.Message:
        """Grants keys, unless one of them has seen a higher fence.

        The time of a grant that is carried out late counts from its arrival.
        """
        start, end, fence = call["from"], call["to"], call["fence"]
        for hold in self.holds:
            if hold.start <= end and start <= hold.end and hold.fence > fence:
                self.note("grant-refused", first=start, last=end, fence=fence)
                return http.response(409)
        until = call.get("until", time.monotonic() + call["hold_ms"] / 1000)
        self.holds.append(Hold(start=start, end=end, fence=fence, until=until))
        remaining_ms = round((until - time.monotonic()) * 1000)
        self.note(
            "hold", first=start, last=end, fence=fence, hold_ms=remaining_ms
        )
        return http.response(200)

    def stop_work(self, call: dict) -> http.Message:
        """Takes keys back; a release is never refused."""
        start, end, fence = call["from"], call["to"], call["fence"]
        self.holds.append(Hold(start=start, end=end, fence=fence, until=0.0))
        self.note("hold", first=start, last=end, fence=fence, hold_ms=0)
        return http.response(
            200, headers={"handover-token": f"{self.id}-{fence}"}
        )

    async def work_ended(self, start: int, end: int) -> None:
        """Waits until no request on some keys runs."""
        while any(
            key is not None and start <= key <= end
            for key in self.running.values()
        ):
            await asyncio.sleep(0.005)

    def holds_key(self, key: int) -> bool:
        """Returns whether the newest call about a key left it held."""
        for hold in reversed(self.holds):
            if hold.start <= key <= hold.end:
                return hold.until > time.monotonic()
        return False
