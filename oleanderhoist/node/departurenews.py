"""Passes on between routers which servers have said that they leave.

The router that hears it tells the leader and the coordinator of the server's
slot queue. The leader passes it on to all members, and each of them keeps it
and names it in its member reports, so that a new leader learns of it and a
member that does not name it is told again.
"""

from oleanderhoist import clock
from oleanderhoist.node import datagrams
from oleanderhoist.node import state
from oleanderhoist.node import wire
from oleanderhoist.policy import cluster


class DepartureNews:
    """Sends and receives which servers have said that they leave.

    Args:
        datagrams: Datagrams to the other routers.
        state: Current snapshot, and the departures that this router knows.
        clock: Time source.
    """

    def __init__(
        self,
        *,
        datagrams: datagrams.DatagramEndpoint,
        state: state.State,
        clock: clock.Clock,
    ):
        self.datagrams = datagrams
        self.state = state
        self.clock = clock
        datagrams.handlers[wire.ServerLeaving] = self.on_server_leaving

    def on_server_leaving(self, peer: str, message: wire.ServerLeaving) -> None:
        """Records what a server said to another router."""
        self.state.learn_departures([to_incarnation(message)], peer)

    def named(self) -> list[tuple[str, int]]:
        """Returns the listed servers that leave, for a member report."""
        servers = self.state.snapshot.servers
        self.state.departures.prune(servers, self.clock.monotonic())
        return [
            (incarnation.id, incarnation.started_ms)
            for incarnation in self.state.snapshot.departed
        ]

    def compare(self, peer: str, named: list[tuple[str, int]] | None) -> None:
        """Learns what a member report names; tells the member what it lacks.

        Args:
            peer: Address of the member.
            named: Servers that leave, and the start times of their processes;
                None from an earlier build, which can't be told.
        """
        if named is None:
            return
        reported = {
            cluster.Incarnation(id=id, started_ms=started_ms)
            for id, started_ms in named
        }
        self.state.learn_departures(reported, peer)
        for incarnation in self.state.snapshot.departed - reported:
            self.datagrams.send(peer, to_message(incarnation))


def to_message(incarnation: cluster.Incarnation) -> wire.ServerLeaving:
    """Encodes a server that leaves."""
    return wire.ServerLeaving(
        server=incarnation.id, started_ms=incarnation.started_ms
    )


def to_incarnation(message: wire.ServerLeaving) -> cluster.Incarnation:
    """Decodes a server that leaves."""
    return cluster.Incarnation(id=message.server, started_ms=message.started_ms)
