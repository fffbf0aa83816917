"""Leases that an entry sends while a new snapshot arrives."""

import dataclasses
import unittest

from oleanderhoist import clock
from oleanderhoist import program
from oleanderhoist.entry import renewer
from oleanderhoist.entry import snapshots
from oleanderhoist.http import messages
from oleanderhoist.policy import topology

VERSION = 1
SERVER = topology.Server(
    id="s",
    pool="keyed",
    address="127.0.0.1:1",
    data_center="dc",
    slots=1,
    connections=1,
    checks_sender=False,
    keyed=True,
)
SNAPSHOT = snapshots.Snapshot(
    epoch=1,
    revision=1,
    servers={SERVER.id: SERVER},
    coordinators={SERVER.id: "own"},
    assignments={SERVER.id: topology.Assignment(version=VERSION)},
)
REVOKED = topology.Assignment(version=VERSION + 1)
NEXT_SNAPSHOT = dataclasses.replace(
    SNAPSHOT, revision=2, assignments={SERVER.id: REVOKED}
)


class RenewerTest(unittest.IsolatedAsyncioTestCase):
    """An entry that acknowledged a snapshot sends no earlier assignment."""

    def setUp(self):
        time_source = clock.Clock()
        self.store = snapshots.SnapshotStore(own_id="own", clock=time_source)
        self.store.snapshot = SNAPSHOT
        self.store.delegation = snapshots.Delegation(
            epoch=1, expires_at=time_source.wall() + 60.0
        )
        self.renewer = renewer.Renewer(
            snapshot_store=self.store,
            clock=time_source,
            lag=program.LoopLag(clock=time_source),
        )
        self.renewer.put = self.put
        self.sent: list[tuple[str, int]] = []

    async def put(
        self, server: topology.Server, path: str, body: dict
    ) -> messages.Response:
        """Rejects a lease, after a snapshot has revoked partitions."""
        self.sent.append((path, body["version"]))
        self.store.snapshot = NEXT_SNAPSHOT
        return messages.Response(status=409, headers=[], body=b"{}")

    async def test_an_assignment_that_was_revoked_meanwhile_is_not_sent(self):
        renewal = renewer.Renewal(acked=(1, VERSION))
        await self.renewer.renew(SERVER.id, renewal)
        self.assertEqual([("/oleander/lease", VERSION)], self.sent)


if __name__ == "__main__":
    unittest.main()
