"""Requests that are open when a placer stops; see `tests.test_stop_placer`."""

import asyncio
import dataclasses
import json
import pathlib
import time
import unittest

from oleanderhoist import clock
from oleanderhoist import codes
from oleanderhoist import contract
from oleanderhoist import settings
from oleanderhoist.clients import registration
from oleanderhoist.clients import table
from oleanderhoist.http import client
from oleanderhoist.http import exchanges
from oleanderhoist.http import messages
from oleanderhoist.http import server as http_server
from oleanderhoist.placer import contractregistry
from oleanderhoist.placer import core
from oleanderhoist.placer import election
from oleanderhoist.placer import leader
from oleanderhoist.policy import leadership
from oleanderhoist.policy import placement
from oleanderhoist.policy import topology
from standins import table as rowtable

HOST = "127.0.79.1"
TOKEN = "token"
SETTLE_SECONDS = 0.15  # For requests to reach the table.
SLOW_TABLE_MS = 500  # Just under the timeout of the table client.
QUEUED_CHANGES = 8
TIMEOUT_SECONDS = 10.0  # Longer than any stop.
# Two exchanges with a table that does not answer, for each of the lease and the
# placer's record, and a second for the last responses.
MAX_STOP_SECONDS = 3.0
ANY_PORT = client.Address(host=HOST, port=0)
PATH = "/v1/contracts/guild"
SOURCE = pathlib.Path("examples/guild.toml").read_bytes()
ELECTION_KEYS = (election.LEADER_KEY, registration.PLACERS_PREFIX)
SETTINGS = settings.PlacerSettings(
    id="p",
    data_center="dc",
    listen=ANY_PORT,
    peer_listen=ANY_PORT,
    peer_advertise="",
    health_listen=ANY_PORT,
    table=client.Address(host=HOST, port=1),
    max_skew=0.05,
    log_file="-",
    inventory=client.Address(host=HOST, port=1),
    admin_sha256=contract.credential_hash(TOKEN),
    partitions=8,
    placement="bounded-least-churn",
    advertise="",
)


class HeldTable:
    """A table in memory whose replies about some records are held.

    Attributes:
        records: Records by key.
        held: Prefixes of the keys whose replies never come.
        reached: Keys of the writes that reached the table.
    """

    def __init__(self):
        self.records: dict[str, table.Record] = {}
        self.held: tuple[str, ...] = ()
        self.reached: list[str] = []

    async def reply(self, key: str) -> None:
        """Waits for ever if replies about a record are held."""
        if key.startswith(self.held):
            await asyncio.Event().wait()

    async def get(self, key: str) -> table.Record | None:
        """Returns a record."""
        await self.reply(key)
        return self.records.get(key)

    async def scan(self, prefix: str) -> list[table.Record]:
        """Returns the records of a prefix."""
        await self.reply(prefix)
        return [r for k, r in self.records.items() if k.startswith(prefix)]

    async def put(
        self, key: str, value: dict, *, expected: int | None
    ) -> table.WriteOutcome:
        """Writes a record if it has the expected version."""
        self.reached.append(key)
        found = self.records.get(key)
        if (found.version if found else None) != expected:
            return table.Conflict()
        version = (expected or 0) + 1
        self.records[key] = table.Record(key=key, version=version, value=value)
        await self.reply(key)
        return table.Written(version=version)

    async def delete(self, key: str, *, expected: int) -> None:
        """Deletes a record."""
        await self.reply(key)
        self.records.pop(key, None)


class RunningPlacerTest(unittest.IsolatedAsyncioTestCase):
    """A test with a placer that leads, on a table in memory."""

    async def asyncSetUp(self) -> None:
        self.table = HeldTable()
        self.placer = core.Placer(settings=SETTINGS, clock=clock.Clock())
        self.placer.api.table = self.table
        self.placer.election.table = self.table
        self.placer.registration.table = self.table
        self.placer.transport.start()
        await self.placer.http_server.start()
        await self.placer.health.server.start()
        self.addCleanup(self.close_transport)
        self.lead()

    def close_transport(self) -> None:
        """Closes the transport, whose context can't be collected open."""
        if not self.placer.transport.router.closed:
            self.placer.transport.stop()

    def lead(self) -> None:
        """Makes the placer lead, with servers for every pool."""
        elected = self.placer.election
        elected.record = leadership.LeaderRecord(
            epoch=1,
            holder="p",
            peer_address="",
            api_address="",
            expires_at=time.time() + TIMEOUT_SECONDS,
            lent_until=0.0,
            roster={},
        )
        elected.leading = True
        elected.predecessors_expired = lambda: True
        self.leader = leader.Leader(
            election=elected,
            transport=self.placer.transport,
            table=self.table,
            inventory=self.placer.inventory,
            clock=self.placer.clock,
            lag=self.placer.lag,
            policy=placement.PLACEMENTS.get(SETTINGS.placement)(),
            partitions=SETTINGS.partitions,
            deadlines=self.placer.api.deadlines,
        )
        self.leader.publisher.cluster_state.servers = [
            server(pool, number)
            for pool in ("phase-tables", "orders", "proofs", "archive")
            for number in range(4)
        ]
        self.leader.loaded = True
        self.placer.leader = self.leader

    async def send(
        self, method: str, path: str, body: bytes = b""
    ) -> messages.Response | exchanges.ExchangeError:
        """Sends a request; returns the response, or how it failed."""
        address = client.Address(host=HOST, port=self.placer.http_server.port)
        headers = [(b"authorization", b"Bearer " + TOKEN.encode())]
        try:
            return await client.Client(address=address).request(
                method,
                path,
                timeout=TIMEOUT_SECONDS,
                headers=headers,
                body=body,
            )
        except exchanges.ExchangeError as error:
            return error

    async def apply(self) -> messages.Response | exchanges.ExchangeError:
        """Applies the example contract."""
        return await self.send("PUT", PATH, SOURCE)

    async def send_half_a_body(self) -> bytes:
        """Sends half a contract; returns what comes until the end."""
        reader, writer = await asyncio.open_connection(
            HOST, self.placer.http_server.port
        )
        self.addCleanup(writer.close)
        writer.write(
            b"PUT %s HTTP/1.1\r\nhost: h\r\ncontent-length: 99\r\n"
            b"authorization: Bearer %s\r\n\r\nhalf"
            % (PATH.encode(), TOKEN.encode())
        )
        return (await reader.read()).lower()

    async def stop_during(self, *requests) -> list:
        """Stops the placer while requests wait; returns their results."""
        tasks = []
        for request in requests:
            tasks.append(asyncio.create_task(request))
            await asyncio.sleep(SETTLE_SECONDS)
        began = time.monotonic()
        await self.placer.stop()
        self.stop_took = time.monotonic() - began
        return await asyncio.gather(*tasks)

    def assert_code(self, code: codes.Code, result: object) -> None:
        """Checks the result code and the status of a response."""
        self.assertIsInstance(result, messages.Response, str(result))
        number = messages.find(result.headers, b"oleander-code")
        self.assertEqual(
            (str(code.number), code.status), (number, result.status)
        )


def is_answer(result: object) -> bool:
    """Returns whether a result of `send` is a response."""
    return isinstance(result, messages.Response)


def server(pool: str, number: int) -> topology.Server:
    """Returns a server that is large enough for the example contract."""
    return topology.Server(
        id=f"{pool}-{number}",
        pool=pool,
        address=f"{HOST}:1",
        data_center="dc",
        slots=9,
        connections=9,
        checks_sender=True,
        keyed=pool == "phase-tables",
    )


class UnansweredTest(RunningPlacerTest):
    """A stop closes no connection whose request was read unanswered."""

    async def test_a_change_whose_head_was_not_written_is_not_run(self):
        self.table.held = ("contracts/",)
        (result,) = await self.stop_during(self.apply())
        self.assert_code(codes.PLACER_STOPPING, result)
        self.assertNotIn(contractregistry.HEAD_KEY, self.table.reached)

    async def test_a_change_whose_head_may_be_written_is_unknown(self):
        self.table.held = (contractregistry.HEAD_KEY,)
        (result,) = await self.stop_during(self.apply())
        self.assert_code(codes.CONTRACT_UNCONFIRMED, result)
        self.assertIn(contractregistry.HEAD_KEY, self.table.records)

    async def test_a_change_behind_another_is_not_run(self):
        self.table.held = (contractregistry.HEAD_KEY,)
        _, result = await self.stop_during(self.apply(), self.apply())
        self.assert_code(codes.PLACER_STOPPING, result)

    async def test_a_change_with_half_a_body_is_not_run(self):
        (data,) = await self.stop_during(self.send_half_a_body())
        self.assertIn(b"oleander-code: 5009", data)

    async def test_a_read_of_a_table_that_is_silent_is_not_run(self):
        self.table.held = (contractregistry.HEAD_KEY,)
        (result,) = await self.stop_during(self.send("GET", PATH))
        self.assert_code(codes.PLACER_STOPPING, result)

    async def test_changes_queued_at_a_slow_table_are_answered(self):
        slow = rowtable.Table()
        slow.faults["delay_ms"] = SLOW_TABLE_MS
        listening = http_server.Server(handler=slow.handle, host=HOST, port=0)
        await listening.start()
        self.addAsyncCleanup(listening.stop, 0.0)
        self.leader.contract_registry.table = table.TableClient(
            address=dataclasses.replace(ANY_PORT, port=listening.port)
        )
        changes = [self.apply() for _ in range(QUEUED_CHANGES)]
        results = await self.stop_during(*changes)
        self.assertEqual([], [r for r in results if not is_answer(r)])
        statuses = [result.status for result in results]
        written = contractregistry.HEAD_KEY in slow.records
        self.assertEqual(int(written), statuses.count(200), statuses)
        self.assertEqual(503, statuses[-1])

    async def check_accepted(self, confirm_after: float, stall: float) -> None:
        """Checks that a change is accepted whose head is written in a stop.

        Args:
            confirm_after: Time until the table confirms it, in seconds.
            stall: How long the event loop is blocked shortly before, in
                seconds.
        """
        confirm = asyncio.Event()

        async def reply(key: str) -> None:
            if key == contractregistry.HEAD_KEY:
                await confirm.wait()

        self.table.reply = reply
        loop = asyncio.get_running_loop()
        loop.call_later(confirm_after - SETTLE_SECONDS, time.sleep, stall)
        loop.call_later(confirm_after, confirm.set)
        (result,) = await self.stop_during(self.apply())
        self.assertIsInstance(result, messages.Response, str(result))
        self.assertEqual(200, result.status, result.body)
        self.assertEqual(1, json.loads(result.body)["version"])

    async def test_a_change_that_is_confirmed_in_time_is_accepted(self):
        await self.check_accepted(1.0, stall=0.0)

    async def test_a_change_that_is_confirmed_within_a_stall_is_accepted(self):
        await self.check_accepted(core.ANSWER_SECONDS, stall=1.0)


class LeaseTest(RunningPlacerTest):
    """A placer that stops during a call of its election holds no lease."""

    def lead(self) -> None:
        """Lets the placer stand for election as soon as it runs."""
        elected = self.placer.election
        elected.promises = leadership.Promises(started_at=0.0)

    def run_election(self) -> None:
        """Starts the election."""
        run = self.placer.election.run()
        self.placer.tasks.append(asyncio.create_task(run))

    async def stop_during_call(
        self, call: str, *requests, lost: bool = False
    ) -> None:
        """Stops the placer while it awaits the next answer of the table.

        Args:
            call: Name of the call.
            *requests: Requests that the placer answers while it stops.
            lost: Whether the answer is lost.
        """
        original = getattr(self.table, call)
        called = asyncio.Event()
        answered = asyncio.Event()

        async def answer_late(key: str, *args, **kwargs) -> object:
            result = await original(key, *args, **kwargs)
            if key not in ELECTION_KEYS or answered.is_set():
                return result
            called.set()
            await answered.wait()
            return table.Unresolved(token="") if lost else result

        setattr(self.table, call, answer_late)
        if not self.placer.tasks:
            self.run_election()
        async with asyncio.timeout(TIMEOUT_SECONDS):
            await called.wait()
        loop = asyncio.get_running_loop()
        loop.call_later(SETTLE_SECONDS * (1 + len(requests)), answered.set)
        await self.stop_during(*requests)

    def assert_released(self) -> None:
        """Checks that the placer does not lead and holds no lease."""
        self.assertFalse(self.placer.election.leading)
        expires_at = self.table.records[election.LEADER_KEY].value["expires_at"]
        self.assertLess(expires_at, time.time())

    async def wait_until_leading(self) -> None:
        """Starts the election and waits until the placer leads."""
        self.run_election()
        async with asyncio.timeout(TIMEOUT_SECONDS):
            while not self.placer.election.leading:
                await asyncio.sleep(0.01)

    async def test_no_lease_is_acquired_after_the_signal(self):
        self.table.held = (contractregistry.HEAD_KEY,)
        await self.stop_during_call("scan", self.send("GET", PATH))
        self.assertNotIn(election.LEADER_KEY, self.table.reached)

    async def test_a_lease_acquired_during_a_stop_is_released(self):
        await self.stop_during_call("put")
        self.assert_released()

    async def test_a_lease_whose_acquisition_had_no_answer_is_released(self):
        await self.stop_during_call("put", lost=True)
        self.assert_released()

    async def test_a_lease_renewed_during_a_stop_is_released(self):
        await self.wait_until_leading()
        await self.stop_during_call("put")
        self.assert_released()

    async def test_a_lease_whose_renewal_had_no_answer_is_released(self):
        await self.wait_until_leading()
        await self.stop_during_call("put", lost=True)
        self.assert_released()


class StopTimeTest(RunningPlacerTest):
    """A stop ends in time, whatever the table does."""

    async def test_a_table_that_refuses_connections_does_not_hold_a_stop(self):
        self.placer.election.table = table.TableClient(
            address=SETTINGS.table,
            timeout=core.ELECTION_TABLE_TIMEOUT_SECONDS,
        )
        self.placer.registration.table = self.placer.table
        await self.stop_during()
        self.assertLess(self.stop_took, MAX_STOP_SECONDS)

    async def test_a_frozen_table_does_not_hold_a_stop(self):
        frozen = await asyncio.start_server(read_for_ever, HOST, 0)
        self.addCleanup(frozen.close)
        address = dataclasses.replace(
            ANY_PORT, port=frozen.sockets[0].getsockname()[1]
        )
        self.placer.election.table = table.TableClient(
            address=address, timeout=core.ELECTION_TABLE_TIMEOUT_SECONDS
        )
        self.placer.registration.table = table.TableClient(address=address)
        self.table.held = (contractregistry.HEAD_KEY,)
        (result,) = await self.stop_during(self.apply())
        self.assert_code(codes.CONTRACT_UNCONFIRMED, result)
        self.assertLess(self.stop_took, MAX_STOP_SECONDS)


async def read_for_ever(reader, writer) -> None:
    """Reads until the peer closes, and answers nothing."""
    while await reader.read(65_536):
        pass
    writer.close()


if __name__ == "__main__":
    unittest.main()
