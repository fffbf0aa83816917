"""Asks the home of a lane for a slot of a server."""

import asyncio
import dataclasses

import prometheus_client

from oleanderhoist import clock
from oleanderhoist import events
from oleanderhoist import log
from oleanderhoist.node import coordinator
from oleanderhoist.node import datagrams
from oleanderhoist.node import state
from oleanderhoist.node import wire
from oleanderhoist.policy import slotqueue

REPLY_SECONDS = 0.06
REPLY_TRIES = 2  # One datagram in a hundred or so is lost without a fault.
SHUN_SECONDS = 1.0
WAIT_SLACK_SECONDS = 0.15
MAX_TOLD_SECONDS = 60.0  # A wait without end is told as this.

BYPASSED = prometheus_client.Counter(
    "oleander_permits_bypassed", "Requests sent without asking a home"
)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Permit:
    """The right to send one request to a server.

    Attributes:
        id: Id of the ask.
        lane: Lane of the slot.
        home: Process that granted it; empty for a choice without a home.
        server: Id of the server.
    """

    id: int
    lane: str
    home: str
    server: str


@dataclasses.dataclass(kw_only=True)
class Pending:
    """An ask without a verdict.

    Attributes:
        future: Gets the verdict.
        queued: Expected waiting time once the home has queued the ask.
    """

    future: asyncio.Future
    queued: float | None = None


class Permits:
    """Gets and returns slots for this process's requests."""

    def __init__(
        self,
        *,
        peers: datagrams.Peers,
        homes: coordinator.Homes,
        state: state.State,
        clock: clock.Clock,
    ):
        self.peers = peers
        self.homes = homes
        self.state = state
        self.clock = clock
        self.pending: dict[int, Pending] = {}
        self.shunned: dict[str, float] = {}
        peers.handlers[wire.Ask] = self.on_ask
        peers.handlers[wire.Waiting] = self.on_waiting
        peers.handlers[wire.Slot] = self.on_slot
        peers.handlers[wire.Refusal] = self.on_refusal
        peers.handlers[wire.Done] = self.on_done
        peers.handlers[wire.Cancel] = self.on_cancel

    async def ask(
        self, lane: str, ticket: slotqueue.Ticket
    ) -> Permit | slotqueue.Refused:
        """Gets a slot, or a refusal.

        A home that does not reply is passed over for a while; the slot is
        then chosen here, without knowledge of other processes' requests.
        """
        home = self.state.picture.home(lane)
        now = self.clock.monotonic()
        if not home or self.shunned.get(home, 0.0) > now:
            return self.bypass(lane, ticket)
        pending = Pending(future=asyncio.get_running_loop().create_future())
        self.pending[ticket.id] = pending
        try:
            self.send(home, lane, ticket)
            return await self.verdict(home, lane, ticket, pending)
        except asyncio.CancelledError:
            self.cancel(home, lane, ticket.id)
            raise
        finally:
            self.pending.pop(ticket.id, None)

    def send(
        self,
        home: str,
        lane: str,
        ticket: slotqueue.Ticket,
        *,
        again: bool = False,
    ) -> None:
        """Sends an ask to the home, or takes it here."""
        if home == self.peers.address:
            self.homes.ask(lane, ticket, self.settle)
            return
        now = self.clock.monotonic()
        self.peers.send(
            home,
            wire.Ask(
                lane=lane,
                id=ticket.id,
                rank=ticket.rank,
                left_ms=round((ticket.deadline - now) * 1000),
                objective_ms=round((ticket.objective - now) * 1000),
                data_center=ticket.data_center,
                body_bytes=ticket.body_bytes,
                excluded=list(ticket.excluded),
                again=again,
            ),
        )

    async def reach(
        self, home: str, lane: str, ticket: slotqueue.Ticket, pending: Pending
    ) -> None:
        """Waits for any reply of a home, and asks it once more."""
        for number in range(REPLY_TRIES):
            if number:
                self.send(home, lane, ticket, again=True)
            await asyncio.wait([pending.future], timeout=REPLY_SECONDS)
            if pending.future.done() or pending.queued is not None:
                return

    async def verdict(
        self, home: str, lane: str, ticket: slotqueue.Ticket, pending: Pending
    ) -> Permit | slotqueue.Refused:
        """Waits for the verdict of an ask."""
        future = pending.future
        local = home == self.peers.address
        if not local:
            await self.reach(home, lane, ticket, pending)
        left = ticket.deadline - self.clock.monotonic()
        if not future.done() and (local or pending.queued is not None):
            queued = pending.queued or 0.0
            limit = left if local else 2 * queued + WAIT_SLACK_SECONDS
            await asyncio.wait([future], timeout=min(left, limit))
        if not future.done():
            self.cancel(home, lane, ticket.id)
            if not local:
                self.shun(home, lane)
            return self.bypass(lane, ticket)
        verdict = future.result()
        if isinstance(verdict, slotqueue.Refused):
            return verdict
        return Permit(id=ticket.id, lane=lane, home=home, server=verdict.server)

    def shun(self, home: str, lane: str) -> None:
        """Passes over a home that did not reply."""
        until = self.clock.monotonic() + SHUN_SECONDS
        if self.shunned.get(home, 0.0) < self.clock.monotonic():
            log.write(events.HOME_SILENT, home=home, lane=lane)
        self.shunned[home] = until

    def bypass(
        self, lane: str, ticket: slotqueue.Ticket
    ) -> Permit | slotqueue.Refused:
        """Chooses a server here."""
        BYPASSED.inc()
        verdict: slotqueue.Verdict | None = None

        def keep(given: slotqueue.Verdict) -> None:
            nonlocal verdict
            verdict = given

        self.homes.ask(lane, ticket, keep)
        if isinstance(verdict, slotqueue.Granted):
            return Permit(
                id=ticket.id,
                lane=lane,
                home=self.peers.address,
                server=verdict.server,
            )
        self.homes.cancel(lane, ticket.asker, ticket.id)
        if isinstance(verdict, slotqueue.Refused):
            return verdict
        return slotqueue.Refused(ticket=ticket, retry=WAIT_SLACK_SECONDS)

    def done(
        self, permit: Permit, *, seconds: float | None, failed: bool
    ) -> None:
        """Gives a slot back.

        Args:
            permit: The slot's permit.
            seconds: Time that the server took, when that tells its speed.
            failed: Whether the server failed the request.
        """
        if permit.home == self.peers.address:
            self.homes.done(
                permit.lane,
                permit.home,
                permit.id,
                permit.server,
                seconds=seconds,
                failed=failed,
            )
            return
        took = -1.0 if seconds is None else round(seconds * 1000, 1)
        self.peers.send(
            permit.home,
            wire.Done(
                lane=permit.lane,
                id=permit.id,
                server=permit.server,
                took_ms=took,
                failed=failed,
            ),
        )

    def cancel(self, home: str, lane: str, id: int) -> None:
        """Withdraws an ask."""
        if home == self.peers.address:
            self.homes.cancel(lane, home, id)
        else:
            self.peers.send(home, wire.Cancel(lane=lane, id=id))

    def settle(self, verdict: slotqueue.Verdict) -> None:
        """Takes the verdict of an ask that still waits for one."""
        pending = self.pending.get(verdict.ticket.id)
        if pending is not None and not pending.future.done():
            pending.future.set_result(verdict)

    def on_ask(self, peer: str, message: wire.Ask) -> None:
        """Takes another process's ask."""
        now = self.clock.monotonic()
        ticket = slotqueue.Ticket(
            id=message.id,
            asker=peer,
            rank=message.rank,
            deadline=now + message.left_ms / 1000,
            objective=now + message.objective_ms / 1000,
            data_center=message.data_center,
            body_bytes=message.body_bytes,
            excluded=frozenset(message.excluded),
        )
        if message.again:
            self.homes.forget_grant(message.lane, peer, message.id)
        wait = self.homes.ask(
            message.lane, ticket, lambda verdict: self.reply(peer, verdict)
        )
        if wait:
            self.peers.send(
                peer,
                wire.Waiting(
                    id=message.id,
                    wait_ms=round(min(wait, MAX_TOLD_SECONDS) * 1000),
                ),
            )

    def reply(self, peer: str, verdict: slotqueue.Verdict) -> None:
        """Sends a verdict to the process that asked."""
        id = verdict.ticket.id
        if isinstance(verdict, slotqueue.Granted):
            self.peers.send(peer, wire.Slot(id=id, server=verdict.server))
        else:
            refusal = wire.Refusal(
                id=id,
                retry_ms=round(verdict.retry * 1000),
                wait_ms=round(min(verdict.wait, MAX_TOLD_SECONDS) * 1000),
            )
            self.peers.send(peer, refusal)

    def on_waiting(self, peer: str, message: wire.Waiting) -> None:
        """Notes that an ask is queued."""
        pending = self.pending.get(message.id)
        if pending is not None:
            pending.queued = message.wait_ms / 1000

    def on_slot(self, peer: str, message: wire.Slot) -> None:
        """Takes a granted slot."""
        self.settle(
            slotqueue.Granted(ticket=named(message.id), server=message.server)
        )

    def on_refusal(self, peer: str, message: wire.Refusal) -> None:
        """Takes a refusal."""
        self.settle(
            slotqueue.Refused(
                ticket=named(message.id),
                retry=message.retry_ms / 1000,
                wait=message.wait_ms / 1000,
            )
        )

    def on_done(self, peer: str, message: wire.Done) -> None:
        """Takes a slot back."""
        took = message.took_ms / 1000 if message.took_ms >= 0 else None
        self.homes.done(
            message.lane,
            peer,
            message.id,
            message.server,
            seconds=took,
            failed=message.failed,
        )

    def on_cancel(self, peer: str, message: wire.Cancel) -> None:
        """Forgets an ask, and frees its slot if it has one by now."""
        self.homes.cancel(message.lane, peer, message.id)


def named(id: int) -> slotqueue.Ticket:
    """Returns a ticket that only names an ask of this process."""
    return slotqueue.Ticket(
        id=id, asker="", rank=0, deadline=0.0, objective=0.0
    )
