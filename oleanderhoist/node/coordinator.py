"""Lanes that this process decides for."""

import asyncio
from collections.abc import Callable
import dataclasses

import prometheus_client

from oleanderhoist import clock
from oleanderhoist import events
from oleanderhoist import log
from oleanderhoist.node import state
from oleanderhoist.policy import cluster
from oleanderhoist.policy import slotqueue

TICK_SECONDS = 0.02
KEYED_PREFIX = "server/"
POOL_PREFIX = "pool/"

VERDICTS = prometheus_client.Counter(
    "oleander_lane_verdicts", "Asks by verdict", ["verdict"]
)

Reply = Callable[[slotqueue.Verdict], None]


def lane_of(pool: str, server: cluster.Server | None) -> str:
    """Returns the name of the lane for a pool or a keyed server."""
    if server is None:
        return POOL_PREFIX + pool
    return KEYED_PREFIX + server.id


@dataclasses.dataclass(kw_only=True)
class Hosted:
    """A lane and whom to tell its verdicts."""

    lane: slotqueue.Lane
    replies: dict[tuple[str, int], Reply] = dataclasses.field(
        default_factory=dict
    )


class Homes:
    """Runs the lanes whose home is this process."""

    def __init__(self, *, state: state.State, clock: clock.Clock):
        self.state = state
        self.clock = clock
        self.hosted: dict[str, Hosted] = {}
        self.wake = asyncio.Event()
        state.listeners.append(self.update)

    def members_of(self, name: str) -> list[cluster.Server]:
        """Returns the usable servers of a lane."""
        picture = self.state.picture
        if name.startswith(KEYED_PREFIX):
            server = picture.servers.get(name.removeprefix(KEYED_PREFIX))
            return [server] if server and not server.leaving else []
        return list(picture.usable.get(name.removeprefix(POOL_PREFIX), ()))

    def get(self, name: str) -> Hosted:
        """Returns a lane, made at its first use."""
        hosted = self.hosted.get(name)
        if hosted is None:
            hosted = Hosted(lane=slotqueue.Lane())
            self.hosted[name] = hosted
            self.refresh(name, hosted)
        return hosted

    def update(self, picture: cluster.Picture) -> None:
        """Takes in which servers may be used now."""
        for name, hosted in list(self.hosted.items()):
            self.refresh(name, hosted)
            if not hosted.lane.servers:
                self.empty(hosted)
                if name.startswith(KEYED_PREFIX):
                    del self.hosted[name]

    def refresh(self, name: str, hosted: Hosted) -> None:
        """Gives a lane its present servers."""
        hosted.lane.update(
            [
                slotqueue.Server(
                    id=server.id,
                    data_center=server.data_center,
                    slots=server.slots,
                    service=hosted.lane.service,
                )
                for server in self.members_of(name)
            ]
        )

    def empty(self, hosted: Hosted) -> None:
        """Refuses all tickets of a lane without servers."""
        for ticket in hosted.lane.drain():
            self.tell(hosted, slotqueue.Refused(ticket=ticket, retry=0.1))

    def ask(self, name: str, ticket: slotqueue.Ticket, reply: Reply) -> float:
        """Takes a ticket; `reply` is called with the verdict.

        Returns:
            Expected waiting time in seconds; 0 when the verdict was given.
        """
        hosted = self.get(name)
        now = self.clock.monotonic()
        hosted.replies[(ticket.asker, ticket.id)] = reply
        verdict = hosted.lane.ask(ticket, now)
        if verdict is not None:
            self.tell(hosted, verdict)
            return 0.0
        self.wake.set()
        return hosted.lane.wait(ticket.rank, now)

    def tell(self, hosted: Hosted, verdict: slotqueue.Verdict) -> None:
        """Tells a verdict to whoever asked."""
        ticket = verdict.ticket
        VERDICTS.labels(type(verdict).__name__).inc()
        reply = hosted.replies.pop((ticket.asker, ticket.id), None)
        if reply is not None:
            reply(verdict)

    def done(
        self,
        name: str,
        asker: str,
        id: int,
        server: str,
        *,
        seconds: float | None,
        failed: bool,
    ) -> None:
        """Frees a slot and gives it to the next ticket."""
        hosted = self.hosted.get(name)
        if hosted is None:
            return
        now = self.clock.monotonic()
        known = hosted.lane.servers.get(server)
        before = known.blocked if known else 0.0
        hosted.lane.done(
            asker, id, server, seconds=seconds, failed=failed, now=now
        )
        if known and known.blocked > before:
            log.write(
                events.SERVER_BLOCKED,
                server=server,
                failures=round(known.failures, 2),
                service_ms=round(known.service * 1000),
            )
        self.advance(hosted, now)

    def cancel(self, name: str, asker: str, id: int) -> None:
        """Forgets a ticket, and frees its slot if it has one by now."""
        hosted = self.hosted.get(name)
        if hosted is None:
            return
        hosted.replies.pop((asker, id), None)
        hosted.lane.cancel(asker, id)
        self.advance(hosted, self.clock.monotonic())

    def forget_grant(self, name: str, asker: str, id: int) -> None:
        """Undoes what is known of an ask that its asker repeats.

        Only one of the two replies is used, so that the ask keeps one slot.
        """
        hosted = self.hosted.get(name)
        if hosted is not None:
            hosted.replies.pop((asker, id), None)
            hosted.lane.cancel(asker, id)

    def advance(self, hosted: Hosted, now: float) -> None:
        """Gives free slots to waiting tickets."""
        for verdict in hosted.lane.next(now):
            self.tell(hosted, verdict)

    def waiting(self) -> bool:
        """Tells whether any ticket waits."""
        return any(hosted.replies for hosted in self.hosted.values())

    async def run(self) -> None:
        """Advances lanes in which tickets wait, until cancelled."""
        while True:
            await self.wake.wait()
            while self.waiting():
                await asyncio.sleep(TICK_SECONDS)
                now = self.clock.monotonic()
                for hosted in list(self.hosted.values()):
                    self.advance(hosted, now)
            self.wake.clear()

    def speeds(self) -> dict[str, float]:
        """Returns the service time of hosted owners of keys, in ms."""
        return {
            server.id: round(server.service * 1000, 1)
            for name, hosted in self.hosted.items()
            if name.startswith(KEYED_PREFIX)
            for server in hosted.lane.servers.values()
            if server.used
        }
