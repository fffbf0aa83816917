"""Checks of the promises, from what callers and servers saw."""

import collections
import dataclasses
import json

ANSWER_SECONDS = 5.0  # Longest time between a run and its caller's answer.
HOLD_SLACK_SECONDS = 0.02  # Journal lines are stamped after the fact.
DRAIN_SECONDS = 2.0
APPLY_SECONDS = 2.0
TOUCH_SECONDS = 3.0  # Bounds in time count this long after the last fault.
NOT_RUN_STATUSES = (408, 421, 429, 503)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Answer:
    """What a caller got.

    Attributes:
        id: Id of the request.
        sent: When it was sent, on the monotonic clock.
        ended: When it ended, on the same clock.
        router: Name of the router.
        status: Status; 0 without a whole answer.
        whole: Whether the body is the answer to this request.
        repeatable: Whether the contract lets it run twice.
        probe: Version of the contracts that made its route; 0 for others.
        reused: Whether it went over a connection that was open before.
        error: Why no whole answer came.
        reached: Whether a router took a byte of the request.
    """

    id: str
    sent: float
    ended: float
    router: str
    status: int
    whole: bool
    repeatable: bool
    probe: int = 0
    reused: bool = False
    error: str = ""
    reached: bool = True


@dataclasses.dataclass(kw_only=True)
class Hold:
    """A time in which a server holds a key."""

    server: str
    begin: float
    until: float
    fence: int


class Promises:
    """Takes in what was seen, and collects what broke a promise."""

    def __init__(self):
        self.broken: list[str] = []
        self.answers: list[Answer] = []
        self.runs: dict[str, list[tuple[str, float]]] = collections.defaultdict(
            list
        )
        self.holds: dict[int, list[Hold]] = collections.defaultdict(list)
        self.drained: dict[str, float] = {}
        self.changed: dict[int, float] = {}
        self.stops: list[tuple[str, float]] = []
        self.faults: list[tuple[float, float, str]] = []

    def calm(self, begin: float, end: float) -> bool:
        """Tells whether no fault counts in a span of time."""
        return not any(
            start <= end and begin <= stop + TOUCH_SECONDS
            for start, stop, _ in self.faults
        )

    def read(self, server: str, line: str) -> None:
        """Takes in a line of a server's journal."""
        item = json.loads(line)
        if item["kind"] == "run":
            self.note_run(server, item)
        else:
            for key in item["keys"]:
                self.note_hold(server, key, item)

    def note_run(self, server: str, item: dict) -> None:
        """Checks that no drained server begins to run a request."""
        self.runs[item["id"]].append((server, item["at"]))
        drained = self.drained.get(server)
        if drained is None or item["at"] < drained + DRAIN_SECONDS:
            return
        if self.calm(drained - TOUCH_SECONDS, item["at"]):
            late = item["at"] - drained
            self.broken.append(
                f"drain: {item['id']} ran on {server} {late:.2f} s after it"
            )

    def note_hold(self, server: str, key: int, item: dict) -> None:
        """Checks that no other server holds a key."""
        begin, until, fence = item["at"], item["until"], item["fence"]
        for hold in self.holds[key]:
            if hold.server == server and hold.until > begin:
                hold.until = begin  # What follows takes its place.
        for hold in self.holds[key]:
            overlaps = hold.until > begin + HOLD_SLACK_SECONDS
            if until > begin and hold.server != server and overlaps:
                self.broken.append(
                    f"owner: {server} takes {key} with {fence} at {begin:.2f} "
                    f"while {hold.server} holds it from {hold.begin:.2f} to "
                    f"{hold.until:.2f} with {hold.fence}"
                )
        self.holds[key].append(
            Hold(server=server, begin=begin, until=until, fence=fence)
        )

    def end_server(self, server: str, now: float) -> None:
        """Takes in that a server's process has ended."""
        for holds in self.holds.values():
            for hold in holds:
                if hold.server == server:
                    hold.until = min(hold.until, now)

    def take(self, answer: Answer) -> None:
        """Takes in what a caller got."""
        self.answers.append(answer)
        if answer.status == 200 and not answer.whole:
            self.broken.append(f"mixed: {answer.id} got another body")
        if answer.status == 404 and answer.probe:
            self.check_in_force(answer)
        elif answer.status == 404:
            self.broken.append(f"denied: {answer.id} by {answer.router}")

    def check_in_force(self, answer: Answer) -> None:
        """Checks that contracts are in force once their time has passed."""
        began = self.changed[answer.probe]
        late = answer.sent - began
        if late > APPLY_SECONDS and self.calm(began, answer.ended):
            self.broken.append(
                f"config: {answer.router} lacks version {answer.probe} "
                f"{late:.2f} s after it"
            )

    def finish(self) -> list[str]:
        """Checks what needs the whole record; returns all that is broken."""
        for answer in self.answers:
            ran = self.runs.get(answer.id, [])
            if len(ran) > 1 and not answer.repeatable:
                self.broken.append(f"twice: {answer.id} on {ran}")
            promised = answer.status in NOT_RUN_STATUSES
            if ran and promised and not answer.repeatable:
                self.broken.append(
                    f"not run: {answer.id} got {answer.status}, {ran}"
                )
            if ran and answer.status == 0:
                self.check_stop(answer)
        return self.broken

    def check_stop(self, answer: Answer) -> None:
        """Checks that a graceful stop cut off no request that had run."""
        for router, at in self.stops:
            if router != answer.router:
                continue
            inside = at - ANSWER_SECONDS < answer.sent < at + TOUCH_SECONDS
            if inside and self.calm(answer.sent, answer.ended):
                self.broken.append(
                    f"lost: {answer.id}, sent {answer.sent - at:+.2f} s and "
                    f"ended {answer.ended - at:+.2f} s after a stop of "
                    f"{router}, reused {answer.reused}: {answer.error}"
                )

    def served(self, since: float) -> float:
        """Returns the part of the requests since a time that were served.

        Those that found no router listening are the balancer's to steer.
        """
        later = [a for a in self.answers if a.sent >= since and a.reached]
        good = sum(a.status == 200 for a in later)
        return good / len(later) if later else 0.0
