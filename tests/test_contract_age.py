"""Contracts reach every router in time, whatever holds up one way to them."""

import asyncio
from collections.abc import Callable
import dataclasses
import math
import unittest

import msgspec

from oleanderhoist import clock
from oleanderhoist import ports
from oleanderhoist import program
from oleanderhoist.http import client
from oleanderhoist.node import follower
from oleanderhoist.node import freshness
from oleanderhoist.node import state
from oleanderhoist.node import wire
from oleanderhoist.platform import store
from oleanderhoist.policy import storeclock
from oleanderhoist.policy import storeeras
from tests import ownership_world
from tests import scripted
from tests import starvation
from tests import virtual

ROUTERS = 12
SETTLE_SECONDS = 6.0
CHANGE_DELAYS_SECONDS = [tenths / 10 for tenths in range(0, 30, 3)]
TIMER_LAG_SECONDS = 1.0
DEAF_SECONDS = 1.0  # How long feeds may skip changes.
FEED_WAIT_SECONDS = 0.1
# Half of the time within which changes must be applied: a lost answer and the
# read that replaces it then fit.
FEED_ANSWER_SECONDS = ownership_world.PROPAGATION_SECONDS / 2


class ContractAgeTest(unittest.TestCase):
    """Changed contracts are applied within the bound."""

    def setUp(self):
        self.world = ownership_world.World(seed=1, routers=ROUTERS)

    def change_contracts(self) -> None:
        """Changes the contracts once."""
        before = self.world.contracts_document
        self.world.contracts_document = ports.VersionedContracts(
            contracts=dataclasses.replace(
                before.contracts, version=before.contracts.version + 3
            ),
            revision=before.revision + 1,
        )

    def outdated_routers(self) -> list[str]:
        """Returns the routers without the newest contracts."""
        version = self.world.contracts_document.contracts.version
        return [
            address
            for address, one in self.world.followers.items()
            if one.state.contracts.version < version
        ]

    def leader_address(self) -> str:
        """Returns the address of the router that leads."""
        return next(
            address
            for address, one in self.world.followers.items()
            if one.leadership is not None
        )

    def outdated_after(self, *faults: str, delay: float) -> list[str]:
        """Returns which routers miss a change during faults of the leader.

        Args:
            *faults: Names of the world's sets of faulty routers.
            delay: Time between the faults and the change, in seconds.
        """

        async def scenario() -> list[str]:
            for address in self.world.addresses:
                self.world.start(address)
            await asyncio.sleep(SETTLE_SECONDS)
            leader = self.leader_address()
            for fault in faults:
                getattr(self.world, fault).add(leader)
            await asyncio.sleep(delay)
            self.change_contracts()
            await asyncio.sleep(DEAF_SECONDS)
            self.world.deaf_feeds.clear()
            await asyncio.sleep(
                ownership_world.PROPAGATION_SECONDS - DEAF_SECONDS
            )
            return self.outdated_routers()

        return virtual.run(scenario(), self.world.loop)

    def check_at_all_delays(self, fault: str) -> None:
        """Checks that no router misses a change during a fault."""
        for delay in CHANGE_DELAYS_SECONDS:
            self.setUp()
            outdated = self.outdated_after(fault, delay=delay)
            self.assertEqual([], outdated, delay)

    def test_a_feed_whose_answers_are_lost_delays_contracts(self):
        self.check_at_all_delays("lost_feeds")

    def test_a_feed_that_skips_a_change_hides_it(self):
        self.check_at_all_delays("deaf_feeds")

    def test_a_leader_that_cannot_read_contracts_looks_fresh(self):
        self.assertEqual(
            [],
            [
                address
                for address in self.outdated_after(
                    "lost_feeds", "lost_reads", delay=0.0
                )
                if address not in self.world.lost_reads
            ],
        )

    def outdated_without(
        self, hinder: Callable[[follower.Follower], None]
    ) -> list[str]:
        """Returns which routers miss a change that the leader can't give them.

        Args:
            hinder: Hinders a follower at the moment of the change.
        """

        async def scenario() -> list[str]:
            for address in self.world.addresses:
                self.world.start(address)
            await asyncio.sleep(SETTLE_SECONDS)
            leader = self.leader_address()
            for address, one in self.world.followers.items():
                if address != leader:
                    hinder(one)
            self.change_contracts()
            await asyncio.sleep(ownership_world.PROPAGATION_SECONDS)
            return self.outdated_routers()

        return virtual.run(scenario(), self.world.loop)

    def test_a_router_that_cannot_fetch_new_contracts_keeps_the_old_ones(self):
        def hinder(one: follower.Follower) -> None:
            one.datagrams.handlers.pop(wire.ContractsFragment)
            one.updates.start_contracts_fetch = lambda leader, revision: None

        self.assertEqual([], self.outdated_without(hinder))

    def test_a_router_with_late_timers_waits_longer_for_its_leader(self):
        def hinder(one: follower.Follower) -> None:
            one.lag.recent_max = lambda: TIMER_LAG_SECONDS
            self.world.blocked_links.update(
                (address, one.own_member.address)
                for address in self.world.addresses
            )

        self.assertEqual([], self.outdated_without(hinder))

    def test_contracts_that_a_router_rejects_are_read_again_and_again(self):
        def hinder(one: follower.Follower) -> None:
            revision = self.world.contracts_document.revision + 1
            one.state.reject_contracts(
                ports.TermsError("unknown field", revision=revision)
            )
            one.updates.start_contracts_fetch = lambda leader, revision: (
                fetched.append(one.own_member.address)
            )

        fetched: list[str] = []
        self.outdated_without(hinder)
        self.assertEqual([], fetched)


class FeedTest(unittest.IsolatedAsyncioTestCase):
    """Waiting for a change ends although no answer comes."""

    async def test_a_lost_feed_answer_holds_the_call_beyond_the_bound(self):
        ended = asyncio.Event()

        async def stay_silent(
            peer: scripted.Peer, writer: asyncio.StreamWriter
        ) -> None:
            await ended.wait()

        peer = scripted.Peer(stay_silent)
        await peer.start(self)
        caller = store.Store(
            address=client.Address.parse(peer.address),
            clock=clock.Clock(),
            store_clock=storeclock.StoreClock(),
            store_eras=storeeras.StoreEras(),
        )
        self.addCleanup(caller.client.drop_idle)
        stopwatch = starvation.Stopwatch()
        with self.assertRaises(ports.StoreError):
            await caller.wait_for_change(
                "t", storeeras.Revision(), FEED_WAIT_SECONDS
            )
        self.assertLess(
            stopwatch.elapsed(), FEED_WAIT_SECONDS + FEED_ANSWER_SECONDS
        )
        ended.set()
        await asyncio.sleep(scripted.PAUSE_SECONDS)


class RejectedContractsTest(unittest.TestCase):
    """A revision counts as applied only with its contracts."""

    def test_a_rejected_revision_hides_its_contracts(self):
        router_state = state.State()
        document = ports.VersionedContracts(
            contracts=ownership_world.CONTRACTS, revision=1
        )
        router_state.adopt_contracts(document, "store")
        router_state.reject_contracts(ports.TermsError("cut", revision=2))
        announced = router_state.versioned_contracts()
        self.assertEqual(1, announced.revision)


class EarlierBuildTest(unittest.TestCase):
    """Routers of the build that compares contracts by their revision."""

    def test_it_misses_a_version_that_came_after_a_drill(self):
        """Guards against a number that falls with the store's revisions."""
        router_state = state.State()
        numbers = []
        for version, revision in ((1, 300), (2, 120), (3, 121)):
            contracts = dataclasses.replace(
                ownership_world.CONTRACTS, version=version
            )
            document = ports.VersionedContracts(
                contracts=contracts, revision=revision
            )
            router_state.adopt_contracts(document, "store")
            numbers.append(router_state.contracts_revision)
        self.assertEqual([300, 301, 302], numbers)

    def test_its_heartbeat_vouches_for_contracts(self):
        """Guards against a leader that announces a number of before a drill."""
        one = freshness.Freshness(
            state=state.State(),
            clock=clock.Clock(),
            store_clock=storeclock.StoreClock(),
            lag=program.LoopLag(clock=clock.Clock()),
            own_address="a:1",
            propagation_seconds=ownership_world.PROPAGATION_SECONDS,
        )
        heartbeat = wire.Heartbeat(
            epoch=1, version=1, contracts_revision=0, age_ms=0, record=1
        )
        one.hear(heartbeat)
        self.assertEqual(-math.inf, one.state.contracts_confirmation.at)
        one.hear(msgspec.structs.replace(heartbeat, contracts_version=-1))
        self.assertLess(-math.inf, one.state.contracts_confirmation.at)


class OlderContractsTest(unittest.TestCase):
    """A router does not go back to an older version."""

    def test_an_older_version_replaces_a_newer_one(self):
        router_state = state.State()
        for version, revision in ((4, 8), (3, 9), (4, 10)):
            contracts = dataclasses.replace(
                ownership_world.CONTRACTS, version=version
            )
            document = ports.VersionedContracts(
                contracts=contracts, revision=revision
            )
            router_state.adopt_contracts(document, "store")
            self.assertEqual(4, router_state.contracts.version)


if __name__ == "__main__":
    unittest.main()
