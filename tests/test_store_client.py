"""Calls to the platform's store, and what its answers mean."""

import base64
import json
import unittest

from oleanderhoist import clock
from oleanderhoist import ports
from oleanderhoist.http import client
from oleanderhoist.platform import store
from oleanderhoist.policy import storeclock
from oleanderhoist.policy import storeeras
from tests import recording

STORE_MS = 10**12
SLACK_SECONDS = 5.0


def page(
    *names: str, revision: int = 1, has_more: bool = False, **more: object
) -> dict:
    """Returns the body of a page of rows."""
    rows = [
        {
            "table": "t",
            "part": "",
            "key": name,
            "value": base64.b64encode(name.encode()).decode(),
            "revision": 1,
        }
        for name in names
    ]
    return {"rows": rows, "revision": revision, "has_more": has_more, **more}


class StoreClientTest(unittest.IsolatedAsyncioTestCase):
    """The client of a store that answers as a script says."""

    async def asyncSetUp(self) -> None:
        self.backend = recording.Backend()
        self.backend.respond = self.respond
        port = await self.backend.start(self)
        self.store_clock = storeclock.StoreClock()
        self.store = store.Store(
            address=client.Address(host="127.0.0.1", port=port),
            clock=clock.Clock(),
            store_clock=self.store_clock,
            store_eras=storeeras.StoreEras(),
        )
        self.addCleanup(self.store.client.close)
        self.answers: list[tuple[int, dict]] = []
        self.era: int | str = 0

    async def respond(self, request: recording.Received) -> bytes:
        """Returns the next answer."""
        status, body = self.answers.pop(0)
        data = json.dumps(body)
        head = f"HTTP/1.1 {status} X\r\nContent-Length: {len(data)}\r\n"
        if self.era:
            head += f"Store-Era: {self.era}\r\n"
        head += "\r\n"
        return (head + data).encode("latin-1")

    async def write(self) -> ports.Written | ports.Conflict:
        """Writes a row."""
        expected = {"k": storeeras.Revision(era=int(self.era), number=3)}
        return await self.store.write("t", {"k": b"new"}, expected)

    async def test_a_refused_write_counts_as_perhaps_done(self):
        for status, maybe_applied in ((429, False), (503, False), (500, True)):
            self.answers = [(status, {})]
            with self.assertRaises(ports.StoreError) as caught:
                await self.write()
            self.assertEqual(maybe_applied, caught.exception.maybe_applied)

    async def test_a_write_is_unconditional_or_its_conflict_unseen(self):
        self.answers = [(412, page("k")), (200, page(revision=9))]
        self.assertEqual(ports.Conflict(), await self.write())
        written = ports.Written(revision=storeeras.Revision(number=9))
        self.assertEqual(written, await self.write())
        call = json.loads(self.backend.received[0].body)
        expected = {"table": "t", "part": "", "key": "k", "revision": 3}
        self.assertEqual([expected], call["expected_rev"])
        value = base64.b64encode(b"new").decode()
        self.assertEqual([value], [put["value"] for put in call["puts"]])

    async def test_a_long_table_ends_with_its_first_page(self):
        self.answers = [
            (200, page("a", "b", revision=7, has_more=True)),
            (200, page("c", revision=8)),
        ]
        result = await self.store.rows("t")
        self.assertEqual(["a", "b", "c"], [row.key for row in result.rows])
        # A later wait must not miss a change between the two pages.
        self.assertEqual(storeeras.Revision(number=7), result.revision)
        first, second = self.backend.received
        self.assertNotIn(b"from=", first.line)
        self.assertIn(b"from=b%00", second.line)

    async def test_a_wait_misses_a_change_or_sees_one_that_is_none(self):
        for answer, changed in (
            ((200, page()), False),
            ((200, page("a")), True),
            ((410, {}), True),
        ):
            self.answers = [answer]
            self.assertEqual(
                changed,
                await self.store.wait_for_change(
                    "t", storeeras.Revision(number=5), 0.1
                ),
            )
            self.assertIn(b"after=5", self.backend.received[-1].line)

    async def test_a_feed_hides_changes_since_the_store_came_back(self):
        """Guards against waiting from a revision that is given out again."""
        self.answers = [(200, page(revision=9)), (200, page(revision=9))]
        seen = (await self.store.rows("t")).revision
        self.era = 1
        self.assertTrue(await self.store.wait_for_change("t", seen, 0.1))
        self.assertTrue(await self.store.wait_for_change("t", seen, 0.1))
        self.assertEqual([], self.answers)

    async def test_a_write_under_conditions_of_an_earlier_era_is_believed(self):
        """Guards against conditions that hold by chance after a return."""
        self.era = 4
        self.answers = [(200, page(revision=9))]
        with self.assertRaises(ports.StoreError) as caught:
            await self.store.write(
                "t", {"k": b"new"}, {"k": storeeras.Revision(number=3)}
            )
        self.assertTrue(caught.exception.maybe_applied)
        self.era = 5
        self.answers = [(200, page(revision=9))]
        await self.store.rows("t")
        self.era = 4
        self.assertEqual(ports.Conflict(), await self.write())
        self.assertEqual([], self.answers)

    async def test_an_answer_of_an_earlier_era_is_believed(self):
        """Guards against news from before the store came back."""
        self.answers = [(200, page("a")), (200, page("b"))]
        self.era = 3
        await self.store.rows("t")
        self.era = 2
        with self.assertRaises(ports.StoreError):
            await self.store.rows("t")

    async def test_an_era_that_cannot_be_read_ends_the_call(self):
        for era in ("x", "-1", "\u00b2", "9" * 40):
            self.era = era
            self.answers = [(200, page("a"))]
            result = await self.store.rows("t")
            self.assertEqual(0, result.revision.era)

    async def test_the_time_of_the_store_is_not_read(self):
        self.answers = [(200, page(now_ms=STORE_MS))]
        await self.store.rows("t")
        now = clock.Clock().boottime()
        upper_ms = self.store_clock.upper_bound(now)
        self.assertGreaterEqual(upper_ms, STORE_MS)
        self.assertLess(upper_ms, STORE_MS + SLACK_SECONDS * 1000)


if __name__ == "__main__":
    unittest.main()
