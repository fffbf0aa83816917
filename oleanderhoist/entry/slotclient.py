"""Asks servers' homes for slots."""

import asyncio
import dataclasses
import itertools

import prometheus_client

from oleanderhoist import clock
from oleanderhoist import codes
from oleanderhoist import events
from oleanderhoist import log
from oleanderhoist.entry import snapshots
from oleanderhoist.peers import transport
from oleanderhoist.peers import wire
from oleanderhoist.policy import choice
from oleanderhoist.policy import slotaccess

HOME_SECONDS = 0.08
SUSPECT_SECONDS = 0.5

GRANTED = "granted"
QUEUED = "queued"
TURNED = "turned"
MOVED = "moved"
BUSY = "busy"

BYPASSED = prometheus_client.Counter(
    "oleander_permits_bypassed", "Requests sent without a home's permit"
)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Turned:
    """A home turned a request away before it was sent."""

    code: codes.Code


@dataclasses.dataclass(frozen=True, kw_only=True)
class Slot:
    """The right to send one request to a server now.

    Attributes:
        server: The server.
        request: Number under which it was asked for.
        home: Address of the home; empty when it was bypassed.
    """

    server: str
    request: int
    home: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Want:
    """What is asked of a home; times in seconds."""

    server: str
    rank: int
    worth: float
    expected: float


class Permits:
    """Keeps the requests that wait for a home's answer.

    Args:
        own: Id of this entry.
        views: The adopted views.
        link: Link to peers.
        clock: Time source.
        policy: Registered name of the permit policy.
    """

    def __init__(
        self,
        *,
        own: str,
        views: snapshots.Views,
        link: transport.Link,
        clock: clock.Clock,
        policy: str,
    ):
        self.own = own
        self.policy = slotaccess.PERMITS.get(policy)()
        self.busy_until: dict[str, float] = {}
        self.views = views
        self.link = link
        self.clock = clock
        self.numbers = itertools.count(1)
        self.waiting: dict[int, asyncio.Queue[wire.Permit]] = {}
        self.loads: dict[str, choice.Load] = {}
        self.suspects: dict[str, float] = {}

    def load(self, server: str, slots: int) -> choice.Load:
        """Returns what is known of a server's load."""
        if server not in self.loads:
            self.loads[server] = choice.Load()
        self.loads[server].slots = slots
        return self.loads[server]

    def home(self, server: str) -> str:
        """Returns the address of a server's home; empty without one."""
        picture = self.views.picture
        entry = picture.entries.get(picture.homes.get(server, ""))
        return entry.address if entry else ""

    async def acquire(self, want: Want, deadline: float) -> Slot | Turned:
        """Asks for a slot until it is granted or turned away.

        A home that stays silent is passed by: slots serve efficiency, not
        safety.

        Args:
            want: What is asked for.
            deadline: Monotonic seconds.
        """
        number = next(self.numbers)
        if not self.policy.asks():
            return Slot(server=want.server, request=number, home="")
        busy_until = self.busy_until.get(want.server, 0.0)
        now = self.clock.monotonic()
        doubtful = self.views.is_doubtful()
        if not doubtful and self.policy.early(want.rank, busy_until, now):
            return self.start(number, want, deadline - now)
        self.waiting[number] = asyncio.Queue()
        try:
            while True:
                answer = await self.ask(number, want, deadline)
                if answer is not None:
                    return answer
        finally:
            del self.waiting[number]

    async def ask(
        self, number: int, want: Want, deadline: float
    ) -> Slot | Turned | None:
        """Asks the present home once; None when the home has changed."""
        home = self.home(want.server)
        now = self.clock.monotonic()
        suspected = self.suspects.get(home, 0.0) > now
        if not home or suspected:
            return self.bypass(number, want, "suspected" if home else "none")
        left = deadline - now
        if left <= 0:
            return Turned(code=codes.TOO_LATE)
        message = self.question(number, want, left, started=False)
        if not self.link.send(home, message):
            self.suspects[home] = now + SUSPECT_SECONDS
            return self.bypass(number, want, "unsent")
        return await self.follow(number, want, home, deadline)

    def question(
        self, number: int, want: Want, left: float, *, started: bool
    ) -> wire.Acquire:
        """Returns the message that asks for a slot or tells of one taken."""
        return wire.Acquire(
            entry=self.own,
            request=number,
            server=want.server,
            rank=want.rank,
            worth=want.worth,
            left_ms=left * 1000,
            expected_ms=want.expected * 1000,
            started=started,
        )

    def start(self, number: int, want: Want, left: float) -> Slot:
        """Takes a slot and lets the home know."""
        home = self.home(want.server)
        if home:
            message = self.question(number, want, left, started=True)
            self.link.send(home, message)
        return Slot(server=want.server, request=number, home=home)

    async def follow(
        self, number: int, want: Want, home: str, deadline: float
    ) -> Slot | Turned | None:
        """Waits for the home's answers to one question."""
        wait = HOME_SECONDS
        queue = self.waiting[number]
        try:
            while True:
                answer = await self.next(queue, wait, home, want.server)
                if answer is None:
                    if self.home(want.server) != home:
                        return None
                    self.suspects[home] = (
                        self.clock.monotonic() + SUSPECT_SECONDS
                    )
                    return self.bypass(number, want, "silent")
                self.note(answer)
                if answer.state == GRANTED:
                    return Slot(server=want.server, request=number, home=home)
                if answer.state == TURNED:
                    return Turned(code=codes.REGISTRY[answer.code])
                if answer.state == MOVED:
                    await self.views.wait_for_change(HOME_SECONDS)
                    return None
                wait = max(0.0, deadline - self.clock.monotonic()) + 0.05
        except asyncio.CancelledError:
            self.give_back(want.server, number, home, None)
            raise

    async def next(
        self,
        queue: asyncio.Queue[wire.Permit],
        wait: float,
        home: str,
        server: str,
    ) -> wire.Permit | None:
        """Returns the next answer, or None on silence or a new home."""
        end = self.clock.monotonic() + wait
        while True:
            left = min(HOME_SECONDS, end - self.clock.monotonic())
            if left <= 0 or self.home(server) != home:
                return None
            try:
                return await asyncio.wait_for(queue.get(), left)
            except TimeoutError:
                continue

    def bypass(self, number: int, want: Want, reason: str) -> Slot | Turned:
        """Goes without a permit, unless the view itself is in doubt.

        An entry that hears neither the leader nor the home may have missed
        that the server is leaving.
        """
        if self.views.is_doubtful():
            return Turned(code=codes.NOT_READY)
        BYPASSED.inc()
        log.write(events.PERMIT_BYPASSED, server=want.server, reason=reason)
        return Slot(server=want.server, request=number, home="")

    def note(self, answer: wire.Permit) -> None:
        """Takes in a home's word on a server's load."""
        load = self.loads.get(answer.server)
        if answer.state in (BUSY, QUEUED, TURNED):
            busy_until = self.clock.monotonic() + slotaccess.BUSY_SECONDS
            self.busy_until[answer.server] = busy_until
        if load is not None:
            load.depth = answer.depth
            load.heard_at = self.clock.monotonic()

    def receive(self, message: wire.Permit) -> None:
        """Hands an answer to the request that waits, or gives it back."""
        if message.state == BUSY:
            self.note(message)
            return
        queue = self.waiting.get(message.request)
        if queue is not None:
            queue.put_nowait(message)
        elif message.state == GRANTED:
            home = self.home(message.server)
            self.give_back(message.server, message.request, home, None)

    def release(self, slot: Slot, took: float | None) -> None:
        """Gives a slot back; `took` is seconds at the server, if known."""
        self.give_back(slot.server, slot.request, slot.home, took)

    def give_back(
        self, server: str, number: int, home: str, took: float | None
    ) -> None:
        """Tells a home that a slot is free."""
        if not home:
            return
        message = wire.Release(
            entry=self.own,
            request=number,
            server=server,
            took_ms=-1.0 if took is None else took * 1000,
        )
        self.link.send(home, message)
