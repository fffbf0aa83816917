"""Grants that a server refuses, and tokens that a release returns."""

import unittest

from oleanderhoist import ports
from oleanderhoist.node import leasemanager
from oleanderhoist.policy import cluster
from oleanderhoist.policy import keys
from oleanderhoist.policy import leaderlease
from oleanderhoist.policy import leaseexpiries
from tests import virtual

RANGE = keys.Range(start=0, end=9)


class RefusingPlatform:
    """A platform and channel of a server that refuses the first grants.

    Attributes:
        refusals: Number of grants still to refuse.
        grants: All grants.
    """

    def __init__(self, *, refusals: int):
        self.refusals = refusals
        self.grants: list[ports.LeaseGrant] = []

    async def connect(self, *, allow_new: bool) -> int:
        """Connects."""
        return 1

    async def grant(self, lease_grant: ports.LeaseGrant) -> bool:
        """Accepts a grant, or has seen a higher fence."""
        self.grants.append(lease_grant)
        self.refusals -= 1
        return self.refusals < 0

    def lease_channel(self, server: cluster.Server) -> "RefusingPlatform":
        """Returns itself."""
        return self


class RefusedGrantTest(unittest.TestCase):
    """Renewals of the lease of one server."""

    def setUp(self):
        self.loop = virtual.Loop()

    def renew(
        self, platform: RefusingPlatform, times: int, token: str = ""
    ) -> list[bool]:
        """Returns whether each of some renewals succeeded."""
        now = self.loop.now
        manager = leasemanager.LeaseManager(
            server=cluster.Server(
                id="a", pool="p", address="x:1", data_center="a", slots=1
            ),
            platform=platform,
            fences=leasemanager.FencingTokens(epoch=1),
            leader_lease=leaderlease.LeaderLease(
                epoch=1, confirmed_at=now, began_at=now, max_lease_seconds=10.0
            ),
            clock=virtual.Clock(loop=self.loop),
            ranges=lambda: [RANGE],
            expiries=leaseexpiries.LeaseExpiries(initial=0.0),
        )
        if token:
            manager.handover_tokens[RANGE.start] = token

        async def play() -> list[bool]:
            return [await manager.renew() for _ in range(times)]

        return virtual.run(play(), self.loop)

    def test_a_refused_token_is_used_again(self):
        platform = RefusingPlatform(refusals=2)
        self.assertEqual([False, False, True], self.renew(platform, 3))
        fences = [one.fence for one in platform.grants]
        self.assertEqual(sorted(set(fences)), fences)

    def test_a_handover_token_is_lost_or_sent_twice(self):
        platform = RefusingPlatform(refusals=1)
        self.renew(platform, 3, token="t")
        handovers = [one.handover for one in platform.grants]
        self.assertEqual(["t", "t", ""], handovers)


if __name__ == "__main__":
    unittest.main()
