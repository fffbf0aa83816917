"""What servers say of themselves in their answers, told to other routers.

A limit that a server names holds for all routers together, so the coordinator
of its slot queue paces the requests. It is told of every answer that names a
limit, so a datagram may be lost and the coordinator may restart. Each router
remembers the limits that it heard, for a new coordinator and for requests that
do not reach one.

A server that leaves gets no more requests from the router that it told. The
coordinator and the leader are told at once, all others by the leader. A pause
that a server asks for binds the router that it told, and no other is told.
"""

import dataclasses

import prometheus_client

from oleanderhoist import clock
from oleanderhoist import events
from oleanderhoist import log
from oleanderhoist import ports
from oleanderhoist.node import coordinator
from oleanderhoist.node import datagrams
from oleanderhoist.node import departurenews
from oleanderhoist.node import state
from oleanderhoist.node import wire
from oleanderhoist.policy import cluster
from oleanderhoist.policy import serverlimit

ANSWER = "answer"  # Source of what a server said to this router itself.

LIMITED = prometheus_client.Gauge(
    "oleander_limited_servers", "Servers that limit their rate, as heard here"
)

PAUSES = prometheus_client.Counter(
    "oleander_server_pauses",
    "Answers in which a server asked this router for no requests for a while",
)


@dataclasses.dataclass(kw_only=True)
class HeardLimit:
    """A limit that a server named to this router.

    Attributes:
        server: The server, as listed when it named the limit.
        queue: Slot queue of the server.
        limit: Requests per second that it takes from all routers together.
        heard_at: When it last named a limit, in seconds.
        told: Address of the coordinator that was told of it last.
    """

    server: cluster.Server
    queue: str
    limit: float
    heard_at: float
    told: str = ""


class ServerNotices:
    """Records what servers say to this router, and tells other routers.

    Args:
        datagrams: Datagrams to the other routers.
        coordinator: The slot queues that this router coordinates.
        state: Current snapshot.
        clock: Time source.

    Attributes:
        limits: The limits that were heard, by id of the server.
    """

    def __init__(
        self,
        *,
        datagrams: datagrams.DatagramEndpoint,
        coordinator: coordinator.Coordinator,
        state: state.State,
        clock: clock.Clock,
    ):
        self.datagrams = datagrams
        self.coordinator = coordinator
        self.state = state
        self.clock = clock
        self.limits: dict[str, HeardLimit] = {}
        state.snapshot_listeners.append(self.update)

    def record(
        self,
        queue: str,
        server: cluster.Server,
        notice: ports.ServerNotice,
        sent_at: float,
    ) -> None:
        """Records what an answer says.

        Args:
            queue: Slot queue of the server.
            server: The server that answered.
            notice: What it said.
            sent_at: When the request was sent, in seconds.
        """
        for text in notice.unreadable.values():
            log.write_limited(
                events.NOTICE_UNREADABLE, server=server.id, header=text
            )
        if notice.limit is not None:
            self.record_limit(queue, server, notice.limit)
        elif ports.NoticeField.LIMIT not in notice.unreadable:
            self.end_limit(queue, server, sent_at)
        if notice.leaving:
            self.record_departure(queue, server)
        if notice.pause:
            self.record_pause(server, notice.pause)

    def end_limit(
        self, queue: str, server: cluster.Server, sent_at: float
    ) -> None:
        """Ends a limit that an answer doesn't name any more.

        An answer to an earlier request may have been overtaken.
        """
        known = self.limits.get(server.id)
        if known is not None and sent_at >= known.heard_at:
            del self.limits[server.id]
            self.log_limit(server, None)
            self.send(queue, server, None)

    def record_limit(
        self, queue: str, server: cluster.Server, limit: float
    ) -> None:
        """Records a limit that an answer names."""
        known = self.limits.get(server.id)
        heard = HeardLimit(
            server=server,
            queue=queue,
            limit=limit,
            heard_at=self.clock.monotonic(),
        )
        self.limits[server.id] = heard
        if known is None or known.limit != limit:
            self.log_limit(server, limit)
        self.tell(heard)

    def record_pause(self, server: cluster.Server, seconds: float) -> None:
        """Stops using a server for the time that it names."""
        now = self.clock.monotonic()
        self.state.pauses.add(server.incarnation, seconds, now)
        PAUSES.inc()
        log.write_limited(
            events.SERVER_PAUSED, server=server.id, seconds=seconds
        )

    def record_departure(self, queue: str, server: cluster.Server) -> None:
        """Stops using a server that says that it leaves; tells others once."""
        if server.incarnation not in self.state.departures.unlisted_since:
            self.state.learn_departures([server.incarnation], ANSWER)
            coordinator_address = self.state.snapshot.coordinator(queue)
            self.tell_departure(coordinator_address, server.incarnation)

    def tell_departure(
        self, coordinator_address: str, incarnation: cluster.Incarnation
    ) -> None:
        """Tells a coordinator and the leader that a server leaves."""
        addresses = {coordinator_address, self.state.snapshot.leader}
        message = departurenews.to_message(incarnation)
        for address in addresses - {self.datagrams.address, ""}:
            self.datagrams.send(address, message)

    def log_limit(self, server: cluster.Server, limit: float | None) -> None:
        """Logs and counts limits after one has begun, changed or ended."""
        LIMITED.set(len(self.limits))
        log.write_limited(
            events.SERVER_LIMITED, server=server.id, per_second=limit
        )

    def tell(self, heard: HeardLimit) -> None:
        """Tells the coordinator of a server's slot queue of its limit."""
        heard.told = self.send(heard.queue, heard.server, heard.limit)

    def send(
        self, queue: str, server: cluster.Server, limit: float | None
    ) -> str:
        """Sends a limit, or its end, to the coordinator of a slot queue.

        Returns:
            The address of the coordinator; empty without one.
        """
        address = self.state.snapshot.coordinator(queue)
        if address == self.datagrams.address:
            self.coordinator.limit(queue, server.id, server.started_ms, limit)
        elif address:
            message = wire.ServerLimit(
                queue=queue,
                server=server.id,
                started_ms=server.started_ms,
                per_second=limit,
            )
            self.datagrams.send(address, message)
        return address

    def apply_shares(self, queue: str) -> None:
        """Limits the servers of a queue to this router's share of their rate.

        For requests that don't reach the queue's coordinator.
        """
        self.drop_ended()
        routers = len(self.state.snapshot.members)
        for heard in self.limits.values():
            if heard.queue == queue:
                self.coordinator.limit(
                    queue,
                    heard.server.id,
                    heard.server.started_ms,
                    heard.limit,
                    routers=routers,
                )

    def update(self, snapshot: cluster.Snapshot) -> None:
        """Drops limits that have ended; tells new coordinators of the rest."""
        self.drop_ended()
        for heard in self.limits.values():
            if snapshot.coordinator(heard.queue) != heard.told:
                self.tell(heard)

    def drop_ended(self) -> None:
        """Drops the limits of servers that are gone or were silent for long."""
        now = self.clock.monotonic()
        servers = self.state.snapshot.servers
        self.limits = {
            id: heard
            for id, heard in self.limits.items()
            if now - heard.heard_at <= serverlimit.LAPSE_SECONDS
            and id in servers
            and servers[id].started_ms == heard.server.started_ms
        }
        LIMITED.set(len(self.limits))
