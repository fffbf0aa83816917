"""Which data centres are evacuated, by what a router was told and when."""

import dataclasses
import types
import unittest
from unittest import mock

import msgspec

from oleanderhoist import log
from oleanderhoist import ports
from oleanderhoist.http import client
from oleanderhoist.node import candidates
from oleanderhoist.node import evacuationnews
from oleanderhoist.node import state
from oleanderhoist.node import wire
from oleanderhoist.platform import adapter
from oleanderhoist.platform import contracts
from oleanderhoist.platform import store
from oleanderhoist.policy import cluster
from oleanderhoist.policy import evacuations
from oleanderhoist.policy import keys
from oleanderhoist.policy import storeeras
from tests import ownership_world
from tests import test_forwarder

SECONDS = 5.0
HALF_SECONDS = SECONDS / 2
BATCH_SECONDS = 0.2
ROW_REVISION = storeeras.Revision(number=3)
TABLE_REVISION = storeeras.Revision(number=8)


def server(id: str, *, pool: str, data_center: str) -> cluster.Server:
    """Returns a listed server."""
    return cluster.Server(
        id=id,
        pool=pool,
        address=f"{id}:1",
        data_center=data_center,
        slots=1,
    )


SNAPSHOT = cluster.Snapshot(
    epoch=1,
    version=2,
    servers={
        id: server(id, pool=pool, data_center=data_center)
        for id, pool, data_center in (
            ("ka", "keyed", "a"),
            ("kb", "keyed", "b"),
            ("ua", "unkeyed", "a"),
            ("ub", "unkeyed", "b"),
        )
    },
    maps={"keyed": keys.divide_by_weight([("ka", 1.0), ("kb", 1.0)])},
)


class EvacuationsTest(unittest.TestCase):
    """The later read wins; keyed owners are used for a while."""

    def setUp(self):
        self.known = evacuations.Evacuations(seconds=SECONDS)

    def adopt(
        self,
        *names: str,
        revision: int,
        era: int = 1,
        now: float = 0.0,
        unseen: float = 0.3,
    ) -> evacuations.Change | None:
        """Adopts a read."""
        return self.known.adopt(
            names,
            storeeras.Revision(era=era, number=revision),
            now=now,
            unseen_seconds=unseen,
        )

    def usable(self, now: float) -> list[str]:
        """Returns the servers that may get requests."""
        self.known.advance(now)
        seen = self.known.overlay(SNAPSHOT)
        return [id for id in seen.servers if seen.usable_server(id)]

    def test_the_later_read_wins_whatever_the_order(self):
        self.adopt("a", revision=4)
        self.assertIsNone(self.adopt(revision=3))
        self.assertIsNone(self.adopt("b", revision=4))
        self.assertEqual({"a": 0.0}, self.known.known_since)
        change = self.adopt("b", revision=5, now=7.0)
        self.assertEqual(
            evacuations.Change(begun=frozenset("b"), ended=frozenset("a")),
            change,
        )
        self.assertEqual({"b": 7.0}, self.known.known_since)
        self.assertIsNone(self.adopt("b", revision=6, now=8.0))
        self.assertEqual({"b": 7.0}, self.known.known_since)

    def test_an_evacuation_waits_for_revisions_that_were_lost(self):
        """Guards against a number from before the store came back."""
        self.adopt(revision=900)
        self.adopt("a", revision=40, era=2, now=1.0)
        self.assertEqual({"a": 1.0}, self.known.known_since)
        self.assertIsNone(self.adopt(revision=950, now=2.0))

    def test_an_evacuation_that_the_copy_lacks_has_ended(self):
        """Guards against requests there until the row is written again."""
        self.adopt("a", revision=900)
        self.assertIsNone(self.adopt(revision=40, era=2, now=10.0))
        self.assertIsNone(self.adopt(revision=41, era=2, now=12.3))
        self.assertEqual({"a": 0.0}, self.known.known_since)
        change = self.adopt(revision=42, era=2, now=12.4)
        self.assertEqual(frozenset("a"), change.ended)

    def test_the_first_read_of_a_process_is_no_return_of_the_store(self):
        self.adopt("a", revision=5, era=9)
        self.adopt(revision=6, era=9, now=1.0)
        self.assertEqual({}, self.known.known_since)

    def test_owners_of_keys_are_used_for_half_of_the_time(self):
        self.adopt("a", revision=1)
        self.assertEqual(["ka", "kb", "ub"], self.usable(HALF_SECONDS - 0.01))
        self.assertEqual(["kb", "ub"], self.usable(HALF_SECONDS))

    def test_owners_are_used_less_if_the_row_may_be_old(self):
        self.adopt("a", revision=1, unseen=4.0)
        rest = SECONDS - 4.0 - evacuations.SENDING_SECONDS
        self.assertIn("ka", self.usable(rest - 0.01))
        self.assertNotIn("ka", self.usable(rest))
        self.adopt("a", "b", revision=2, unseen=float("inf"))
        self.assertNotIn("kb", self.usable(0.0))

    def test_what_was_published_stays_and_all_are_used_again(self):
        self.adopt("a", revision=1)
        overlaid = self.known.overlay(SNAPSHOT)
        self.assertEqual(SNAPSHOT.servers, overlaid.servers)
        self.assertEqual(SNAPSHOT.name, overlaid.name)
        self.assertIs(overlaid, self.known.overlay(overlaid))
        self.adopt(revision=2, now=1.0)
        self.assertEqual(SNAPSHOT, self.known.overlay(overlaid))

    def test_ends_are_kept_for_a_minute(self):
        self.adopt("a", revision=1)
        self.adopt(revision=2, now=10.0)
        self.known.advance(69.0)
        self.assertEqual({"a": 10.0}, self.known.ended_at)
        self.known.advance(70.0)
        self.assertEqual({}, self.known.ended_at)

    def test_keys_move_in_batches_in_a_third_of_the_time(self):
        self.adopt("a", revision=1)
        sizes = []
        ranges = 40
        while ranges:
            size = self.known.batch_size(
                "a",
                ranges,
                now=len(sizes) * BATCH_SECONDS,
                interval=BATCH_SECONDS,
            )
            sizes.append(size)
            ranges -= size
        self.assertLessEqual(max(sizes), 8)
        self.assertLessEqual(len(sizes) * BATCH_SECONDS, SECONDS / 3)


class StateTest(unittest.TestCase):
    """A router sees each snapshot through the evacuations that it knows."""

    def setUp(self):
        self.state = state.State(evacuation_seconds=SECONDS)
        self.state.contracts = ownership_world.CONTRACTS
        self.state.adopt_snapshot(SNAPSHOT, "test")
        self.now = 100.0
        clock = types.SimpleNamespace(
            monotonic=lambda: self.now, boottime=lambda: self.now
        )
        self.news = evacuationnews.EvacuationNews(state=self.state, clock=clock)

    def read(self, *names: str, revision: int = 1, **unusable: str) -> list:
        """Learns of a read of the store; returns the logged lines."""
        result = ports.ContractsRead(
            versioned=None,
            error=None,
            seen_revision=storeeras.Revision(number=revision),
            evacuated=frozenset(names),
            unusable=unusable,
        )
        with mock.patch.object(log, "write_limited") as write:
            self.news.read(result)
        return [
            (event.number, fields.get("row", fields.get("data_center")))
            for (event,), fields in write.call_args_list
        ]

    def test_the_next_snapshot_uses_them_no_more(self):
        heard = []
        self.state.snapshot_listeners.append(heard.append)
        self.read("a")
        self.state.adopt_snapshot(SNAPSHOT, "test")
        for snapshot in heard:
            self.assertEqual(
                ["ub"], [one.id for one in snapshot.usable["unkeyed"]]
            )
        self.assertEqual(2, len(heard))

    def test_a_slot_of_such_a_server_is_not_asked_for_twice(self):
        self.read("a")
        job = test_forwarder.job(arrived=0.0, objective=1.0)
        job.pool = "unkeyed"
        self.assertEqual(set(), candidates.excluded(self.state, job, 0.0))
        job.returned_slots.add("ua")
        self.assertEqual({"ua"}, candidates.excluded(self.state, job, 0.0))

    def test_nothing_waits_for_an_owner_when_all_are_evacuated(self):
        job = test_forwarder.job(arrived=0.0, objective=1.0)
        job.pool = ownership_world.POOL
        unowned = {ownership_world.POOL: keys.unowned_map()}
        self.state.adopt_snapshot(
            dataclasses.replace(SNAPSHOT, maps=unowned), "test"
        )
        self.assertGreater(candidates.wait_end(self.state, job, 0.0), 0.0)
        self.read("a", "b")
        self.assertEqual(0.0, candidates.wait_end(self.state, job, 0.0))

    def test_a_leader_of_a_build_without_eras_hides_a_read(self):
        """Guards against evacuations that an old leader holds for the newest.

        It compares revisions of before the store came back with later ones.
        """
        self.read("a")
        self.state.evacuations.adopt(
            ["a"],
            storeeras.Revision(era=1, number=2),
            now=self.now,
            unseen_seconds=0.0,
        )
        heartbeat = wire.Heartbeat(
            epoch=1,
            version=1,
            contracts_revision=9,
            age_ms=0,
            record=9,
            evacuated=[],
            evacuated_revision=900,
        )
        self.news.hear("l", heartbeat)
        self.assertEqual({"a"}, self.state.snapshot.evacuated)
        later = msgspec.structs.replace(heartbeat, evacuated_era=2)
        self.now += evacuations.REWRITE_SECONDS
        self.news.hear("l", later)
        self.now += evacuations.REWRITE_SECONDS
        self.news.hear(
            "l", msgspec.structs.replace(later, evacuated_revision=901)
        )
        self.assertEqual(frozenset(), self.state.snapshot.evacuated)

    def test_a_leader_of_an_earlier_build_changes_nothing(self):
        self.read("a")
        self.news.hear(
            "l",
            wire.Heartbeat(
                epoch=1, version=1, contracts_revision=9, age_ms=0, record=9
            ),
        )
        self.assertEqual({"a"}, self.state.snapshot.evacuated)

    def test_each_line_is_logged_once_and_names_the_row(self):
        self.assertEqual(
            [(406, "x"), (405, "a"), (405, "nowhere"), (406, "nowhere")],
            self.read("a", "nowhere", x="broken"),
        )
        self.assertEqual([], self.read("a", "nowhere", revision=2, x="broken"))

    def test_junk_does_not_displace_a_data_centre(self):
        many = [f"0{number}" for number in range(500)]
        self.read("a", *many)
        self.assertIn("a", self.state.snapshot.evacuated)
        self.assertEqual(
            evacuationnews.MAX_DATA_CENTERS, len(self.state.snapshot.evacuated)
        )


class RowsTest(unittest.IsolatedAsyncioTestCase):
    """The operator's rows, as the adapter reads them."""

    async def read(self, **rows: bytes) -> ports.ContractsRead:
        """Reads some rows, by the rest of their key."""
        platform = adapter.RowStorePlatform(
            settings=types.SimpleNamespace(
                store=client.Address(host="127.0.0.1", port=1)
            )
        )
        found = [
            ports.Row(
                key=f"evacuate/{name}", value=value, revision=ROW_REVISION
            )
            for name, value in rows.items()
        ]
        other = ports.Row(key="evacuation", value=b"{}", revision=ROW_REVISION)

        async def read_rows(table: str) -> store.TableRows:
            self.assertEqual(contracts.TABLE, table)
            return store.TableRows(
                rows=[*found, other], revision=TABLE_REVISION
            )

        platform.store.rows = read_rows
        return await platform.read_contracts()

    async def test_a_row_evacuates_whatever_its_value_says(self):
        result = await self.read(
            a=b"{}", b=b'{"more": 1}', c=b"\xff{", d=b"", e=b"[" * 9000
        )
        self.assertEqual(frozenset("abcde"), result.evacuated)
        self.assertEqual(TABLE_REVISION, result.seen_revision)
        self.assertEqual(
            {"evacuate/c", "evacuate/d", "evacuate/e"}, set(result.unusable)
        )

    async def test_a_row_without_a_name_is_unusable(self):
        result = await self.read(**{"": b"{}", " ": b"{}"})
        self.assertEqual(frozenset(), result.evacuated)
        self.assertEqual({"evacuate/", "evacuate/ "}, set(result.unusable))


if __name__ == "__main__":
    unittest.main()
