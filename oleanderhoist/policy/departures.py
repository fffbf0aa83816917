"""Servers that have said that they leave.

A server that leaves says so in its answers. Its entry in the directory may
still say that it is ready, and is written again with each of its heartbeats;
so the entry does not end a departure. Only another process under the same id
starts without one.
"""

from collections.abc import Mapping
import dataclasses

from oleanderhoist.policy import cluster

# An entry that expired while the store was away may come back.
UNLISTED_SECONDS = 60.0
MAX_DEPARTURES = 500  # As a member report names those of listed servers.


class Departures:
    """The incarnations of servers that have said that they leave.

    Attributes:
        unlisted_since: The incarnations in the order in which they were added,
            and since when they have not been listed, in seconds; None if they
            are listed or this is not known yet.
    """

    def __init__(self):
        self.unlisted_since: dict[cluster.Incarnation, float | None] = {}

    def add(self, incarnation: cluster.Incarnation) -> bool:
        """Adds an incarnation; returns whether it was not known."""
        if incarnation in self.unlisted_since:
            return False
        if len(self.unlisted_since) >= MAX_DEPARTURES:
            del self.unlisted_since[self.least_needed()]
        self.unlisted_since[incarnation] = None
        return True

    def least_needed(self) -> cluster.Incarnation:
        """Returns the one that is unlisted for longest, or else the oldest."""
        unlisted = {
            incarnation: since
            for incarnation, since in self.unlisted_since.items()
            if since is not None
        }
        if unlisted:
            return min(unlisted, key=unlisted.__getitem__)
        return next(iter(self.unlisted_since))

    def prune(self, servers: Mapping[str, cluster.Server], now: float) -> None:
        """Drops the incarnations that have not been listed for long.

        Args:
            servers: The listed servers by id.
            now: Current time, in seconds.
        """
        listed = self.listed(servers)
        for incarnation, since in list(self.unlisted_since.items()):
            if incarnation in listed:
                self.unlisted_since[incarnation] = None
            elif since is None:
                self.unlisted_since[incarnation] = now
            elif now - since > UNLISTED_SECONDS:
                del self.unlisted_since[incarnation]

    def listed(
        self, servers: Mapping[str, cluster.Server]
    ) -> frozenset[cluster.Incarnation]:
        """Returns the incarnations that are among the listed servers."""
        return frozenset(
            incarnation
            for incarnation in self.unlisted_since
            if incarnation.id in servers
            and servers[incarnation.id].incarnation == incarnation
        )

    def mark(
        self, servers: Mapping[str, cluster.Server]
    ) -> dict[str, cluster.Server]:
        """Returns servers in which those that have said so are leaving."""
        marked = dict(servers)
        for incarnation in self.listed(servers):
            marked[incarnation.id] = dataclasses.replace(
                servers[incarnation.id], leaving=True
            )
        return marked

    def overlay(self, snapshot: cluster.Snapshot) -> cluster.Snapshot:
        """Returns a snapshot that does not use servers that have said so.

        What was published, and the version that names it, stay as they are.
        """
        departed = self.listed(snapshot.servers)
        if departed == snapshot.departed:
            return snapshot
        return dataclasses.replace(snapshot, departed=departed)
