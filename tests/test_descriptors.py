"""Connections to servers that have ended take no descriptors."""

import asyncio
import dataclasses
import unittest

from oleanderhoist.http import client
from oleanderhoist.http import exchanges
from oleanderhoist.node import forwarder
from oleanderhoist.node import state
from oleanderhoist.platform import protocol
from oleanderhoist.policy import cluster
from tests import ownership_world
from tests import scripted
from tests import virtual

TIMEOUT_SECONDS = 2.0
NOTICE_SECONDS = 0.1
ADDRESSES = 40
CHUNKS = 4 * exchanges.EVENTS_PER_TURN  # The end arrives before the last one.
START_SECONDS = 5.0
MOVE_SECONDS = 12.0  # Until the leases of a lost server have expired.


async def answer(peer: scripted.Peer, writer: asyncio.StreamWriter) -> None:
    """Answers and keeps the connection."""
    writer.write(scripted.answer())


async def answer_with_the_end(
    peer: scripted.Peer, writer: asyncio.StreamWriter
) -> None:
    """Answers in many chunks and closes the connection at once."""
    head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    writer.write(head + b"1\r\nx\r\n" * CHUNKS + b"0\r\n\r\n")
    writer.close()


async def answer_and_close(
    peer: scripted.Peer, writer: asyncio.StreamWriter
) -> None:
    """Answers, and closes the connection while it is idle."""
    writer.write(scripted.answer())
    await writer.drain()
    await asyncio.sleep(scripted.PAUSE_SECONDS)
    writer.close()


class IdleConnectionTest(unittest.IsolatedAsyncioTestCase):
    """Idle connections are closed when they are of no more use."""

    async def open_one(self, script: scripted.Script) -> client.Client:
        """Returns the client of a peer that has answered once."""
        self.peer = scripted.Peer(script)
        await self.peer.start(self)
        self.clients = client.Clients()
        peer_client = self.clients.get(self.peer.address, "s")
        self.addCleanup(peer_client.drop_idle)
        await peer_client.request("GET", "/", timeout=TIMEOUT_SECONDS)
        return peer_client

    # Guards against descriptors that are used up by servers that have ended.
    async def test_a_connection_that_its_peer_closes_is_closed(self):
        peer_client = await self.open_one(answer_and_close)
        (connection,) = peer_client.idle
        await asyncio.sleep(NOTICE_SECONDS)
        self.assertIsNone(connection.writer.transport._sock)

    async def test_a_connection_that_ends_with_its_answer_is_closed(self):
        peer_client = await self.open_one(answer_with_the_end)
        self.assertFalse(peer_client.idle)

    async def test_a_connection_of_a_forgotten_peer_is_closed(self):
        peer_client = await self.open_one(answer)
        (connection,) = peer_client.idle
        self.clients.retain({(self.peer.address, "s")})
        self.assertFalse(connection.writer.is_closing())
        self.clients.retain({(self.peer.address, "another")})
        self.assertTrue(connection.writer.is_closing())
        self.assertEqual({}, self.clients.by_peer)

    async def test_a_running_exchange_of_a_forgotten_peer_ends_well(self):
        running, done = asyncio.Event(), asyncio.Event()

        async def script(peer, writer):
            running.set()
            await done.wait()
            writer.write(scripted.answer())

        self.peer = scripted.Peer(script)
        await self.peer.start(self)
        self.clients = client.Clients()
        peer_client = self.clients.get(self.peer.address, "s")
        task = asyncio.create_task(
            peer_client.request("GET", "/", timeout=TIMEOUT_SECONDS)
        )
        await running.wait()
        self.clients.retain(())
        done.set()
        self.assertEqual(b"done", (await task).body)
        self.assertFalse(peer_client.idle)


class ListedServersTest(unittest.TestCase):
    """Only servers that are listed keep connections."""

    def test_a_router_forgets_servers_that_have_left(self):
        router_state = state.State()
        router = forwarder.Forwarder(
            platform=protocol,
            slot_client=None,
            state=router_state,
            clock=None,
            budget=None,
            data_center="a",
        )
        for number in range(ADDRESSES):
            server = cluster.Server(
                id=f"s{number}",
                pool="p",
                address=f"10.0.0.{number}:1",
                data_center="a",
                slots=1,
            )
            snapshot = dataclasses.replace(
                router_state.snapshot, servers={server.id: server}
            )
            router_state.adopt_snapshot(snapshot, "test")
            router.clients.get(server.address, server.id)
            self.assertEqual(1, len(router.clients.by_peer))

    def test_a_leader_forgets_servers_that_own_nothing_any_more(self):
        world = ownership_world.World(seed=5)

        async def scenario() -> None:
            for address in world.addresses:
                world.start(address)
            await asyncio.sleep(START_SECONDS)
            world.listed_servers.pop("s0")
            world.backends["s0"].up = False
            await asyncio.sleep(MOVE_SECONDS)
            leaders = [f.leadership for f in world.followers.values()]
            (leader,) = [one for one in leaders if one is not None]
            (pool_rebalancer,) = leader.rebalancers.values()
            self.assertNotIn("s0", pool_rebalancer.recorded_owners())
            self.assertNotIn("s0", pool_rebalancer.lease_managers)
            self.assertNotIn("s0", pool_rebalancer.expiries)
            self.assertIn("s1", pool_rebalancer.lease_managers)

        virtual.run(scenario(), world.loop)


if __name__ == "__main__":
    unittest.main()
