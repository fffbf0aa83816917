"""Takes one request to a server, and tells how it ended."""

import asyncio
import dataclasses
import itertools
import random
import time

import prometheus_client

from oleanderhoist import clock
from oleanderhoist import codes
from oleanderhoist import events
from oleanderhoist import log
from oleanderhoist import outcomes
from oleanderhoist import ports
from oleanderhoist.http import client
from oleanderhoist.http import messages
from oleanderhoist.node import budgets
from oleanderhoist.node import coordinator
from oleanderhoist.node import slotclient
from oleanderhoist.node import state
from oleanderhoist.policy import cluster
from oleanderhoist.policy import contractset
from oleanderhoist.policy import keys
from oleanderhoist.policy import retry
from oleanderhoist.policy import slotqueue

CONNECT_SECONDS = 0.25
UNREPEATABLE_IDLE_SECONDS = 1.0
MAX_MISSES = 3
MOVED_WAIT_SECONDS = 0.1
OWNER_WAIT_SECONDS = 0.4
SHORTEST_OWNER_WAIT_SECONDS = 0.1  # A planned move of keys takes about this.
OWNER_WAIT_FRACTION = 0.5  # Of the objective; the rest is for the server.
NO_OWNER_RETRY_SECONDS = 0.5
ANSWER_SLACK_SECONDS = 0.08
KEYED_PATIENCE = 2.0

SENT = prometheus_client.Counter(
    "oleander_sends", "Requests sent to servers by result", ["result"]
)
SERVER_SECONDS = prometheus_client.Histogram(
    "oleander_server_seconds", "Time from sending to a server's answer"
)


@dataclasses.dataclass(kw_only=True)
class Job:
    """A request on its way.

    Attributes:
        request: The caller's request head.
        call: What the head says.
        body: The whole body.
        work: Kind of work.
        pool: Pool that was drawn for it.
        arrived: When it arrived, on the monotonic clock.
        deadline: When it must have its final answer.
        objective: Until when an answer is worth most.
        sends: Times that it was sent to a server.
        misses: Tries that ended before it was sent.
        tried: Servers that it was sent to.
        maybe_run: Whether a server may have run it.
        failure: A server's own answer that told of a failure; None before.
    """

    request: messages.Request
    call: ports.RequestHead
    body: bytes
    work: contractset.Work
    pool: str
    arrived: float
    deadline: float
    objective: float
    sends: int = 0
    misses: int = 0
    tried: set[str] = dataclasses.field(default_factory=set)
    maybe_run: bool = False
    failure: messages.Response | None = None


@dataclasses.dataclass(frozen=True, kw_only=True)
class Failed:
    """A try that may be followed by another.

    Attributes:
        failure: How it ended.
        code: Result code if it was the last.
        detail: What happened.
        wait: Whether a newer snapshot should be awaited first.
    """

    failure: retry.Failure
    code: codes.Code
    detail: str = ""
    wait: bool = False


class Forwarder:
    """Finds a server, sends, and tries again where that is right.

    Args:
        platform: Translates to and from servers.
        slot_client: Gives slots.
        state: What is known.
        clock: Time source.
        budgets: Retry budgets by pool.
        data_center: Where this process runs.
    """

    def __init__(
        self,
        *,
        platform: ports.Platform,
        slot_client: slotclient.SlotClient,
        state: state.State,
        clock: clock.Clock,
        budget: budgets.Budgets,
        data_center: str,
    ):
        self.platform = platform
        self.slot_client = slot_client
        self.state = state
        self.clock = clock
        self.budget = budget
        self.data_center = data_center
        self.clients = client.Clients(connect_seconds=CONNECT_SECONDS)
        self.ids = itertools.count(1)
        self.stopping = False
        self.seen_keys: dict[str, list[int]] = {}

    async def serve(self, job: Job) -> outcomes.Outcome:
        """Returns how a request ended."""
        self.budget.earn(job.pool)
        while True:
            if job.work.repeatable and job.sends + 1 < job.work.attempts:
                result = await self.hedged(job)
            else:
                result = await self.attempt(job)
            if not isinstance(result, Failed):
                return result
            if not self.again(job, result):
                return self.give_up(job, result)
            if result.wait:
                await self.state.wait_for_snapshot(MOVED_WAIT_SECONDS)
            log.write_limited(
                events.REQUEST_RETRIED,
                request=job.call.id,
                pool=job.pool,
                failure=result.failure.value,
                detail=result.detail,
                sends=job.sends,
            )

    async def hedged(self, job: Job) -> outcomes.Outcome | Failed:
        """Tries once, and once more beside it when no answer comes.

        The first try goes on, so an answer that is merely slow is delivered.
        """
        tries = {asyncio.create_task(self.attempt(job))}
        first = next(iter(tries))
        try:
            await asyncio.wait(tries, timeout=self.patience(job))
            if first.done() or not self.may_hedge(job):
                return await first
            log.write_limited(
                events.REQUEST_HEDGED, request=job.call.id, pool=job.pool
            )
            tries.add(asyncio.create_task(self.attempt(job)))
            return await best(first, tries)
        finally:
            for task in tries:
                task.cancel()

    def patience(self, job: Job) -> float:
        """Returns how long an answer may take before a second try, in seconds.

        Where only one server can run a request, a second try adds to what
        makes that server slow, so it comes later.
        """
        remaining = job.deadline - self.clock.monotonic()
        factor = KEYED_PATIENCE if job.call.key is not None else 1.0
        return max(factor * job.work.objective, remaining / 2)

    def may_hedge(self, job: Job) -> bool:
        """Tells whether a second try beside the first is right."""
        if self.stopping or not 0 < job.sends < job.work.attempts:
            return False
        return self.budget.spend(job.pool)

    def again(self, job: Job, result: Failed) -> bool:
        """Tells whether another try is right."""
        if job.sends >= job.work.attempts:
            return False
        remaining = job.deadline - self.clock.monotonic()
        allowed = retry.allowed(
            failure=result.failure,
            repeatable=job.work.repeatable,
            tries=job.sends,
            remaining=remaining,
        )
        if not allowed:
            return False
        if result.failure is retry.Failure.NOT_SENT:
            job.misses += 1
            return job.misses <= MAX_MISSES
        return self.budget.spend(job.pool)

    def give_up(self, job: Job, result: Failed) -> outcomes.Outcome:
        """Returns the final outcome after a failed last try."""
        if job.maybe_run:
            return self.lost(job, result.code, result.detail)
        return outcomes.NotRun(
            code=result.code,
            detail=result.detail,
            retry_after=slotqueue.MIN_RETRY_SECONDS,
        )

    def lost(
        self, job: Job, code: codes.Code, detail: str
    ) -> outcomes.Complete | outcomes.Unknown:
        """Returns the outcome of a request that may have run.

        A server's own answer is passed on, even if it tells of a failure.
        """
        if job.failure is not None:
            return outcomes.Complete(response=job.failure, server="")
        known = code.outcome is codes.ExecutionStatus.UNKNOWN
        if not known or job.work.repeatable:
            code = codes.LOST
        return outcomes.Unknown(code=code, detail=detail)

    async def attempt(self, job: Job) -> outcomes.Outcome | Failed:
        """Gets a slot and sends once."""
        target = await self.find(job)
        if target is None:
            return self.no_server(job)
        queue, owner = target
        request = slotqueue.SlotRequest(
            id=next(self.ids),
            requester=self.slot_client.datagrams.address,
            rank=job.work.rank,
            deadline=job.deadline,
            objective=job.objective,
            data_center=self.data_center,
            body_bytes=len(job.body),
            excluded=frozenset(job.tried),
        )
        verdict = await self.slot_client.acquire(queue, request)
        if isinstance(verdict, slotqueue.Refused):
            return self.refused(job, queue, verdict)
        server = self.state.snapshot.servers.get(verdict.server)
        if server is None or server.leaving:
            self.slot_client.release(verdict, seconds=None, failed=False)
            return Failed(
                failure=retry.Failure.NOT_SENT,
                code=codes.NO_SERVER,
                detail=f"server {verdict.server} left meanwhile",
            )
        return await self.send(job, server, verdict)

    async def find(self, job: Job) -> tuple[str, cluster.Server | None] | None:
        """Returns the slot queue and, with keys, the owner, or None."""
        pool = (
            self.state.contracts.pools.get(job.pool)
            if self.state.contracts
            else None
        )
        if pool is None or not pool.keyed:
            if not self.state.snapshot.usable.get(job.pool):
                return None
            return coordinator.queue_name(job.pool, None), None
        key = job.call.key
        if key is None or not 0 <= key < keys.KEY_COUNT:
            key = hash(job.call.id) % keys.KEY_COUNT
        self.seen_keys.setdefault(job.pool, []).append(key)
        until = owner_wait_end(job)
        while True:
            owner = self.state.snapshot.owner(job.pool, key)
            if owner is not None and not owner.leaving:
                return coordinator.queue_name(job.pool, owner), owner
            remaining = min(until, job.deadline) - self.clock.monotonic()
            if remaining <= 0 or not await self.state.wait_for_snapshot(
                remaining
            ):
                return None

    def no_server(self, job: Job) -> outcomes.NotRun | Failed:
        """Returns the outcome when nobody can be sent the request."""
        if job.maybe_run:
            return Failed(
                failure=retry.Failure.OUTCOME_UNKNOWN, code=codes.LOST
            )
        return outcomes.NotRun(
            code=codes.NO_OWNER,
            detail=f"pool {job.pool}",
            retry_after=NO_OWNER_RETRY_SECONDS,
        )

    def refused(
        self, job: Job, queue: str, verdict: slotqueue.Refused
    ) -> outcomes.Outcome:
        """Returns the outcome of a refused ask."""
        coordinator = self.state.snapshot.coordinator(queue)
        if job.maybe_run:
            return self.lost(job, codes.LOST, "no slot to repeat")
        return outcomes.NotRun(
            code=codes.OVERLOADED,
            detail=f"lane {queue} at {coordinator}: "
            f"wait {verdict.expected_wait * 1000:.0f} ms",
            retry_after=verdict.retry_after,
        )

    async def send(
        self, job: Job, server: cluster.Server, grant: slotclient.SlotGrant
    ) -> outcomes.Outcome | Failed:
        """Sends a request to a server and gives its slot back."""
        began = time.monotonic()
        result: outcomes.Outcome | Failed | None = None
        try:
            result = await self.exchange(job, server)
            return result
        finally:
            took = time.monotonic() - began
            answered = isinstance(result, outcomes.Complete)
            failed = isinstance(result, Failed)
            self.slot_client.release(
                grant, seconds=took if answered else None, failed=failed
            )
            name = "gone"
            if answered:
                name = "answered"
                SERVER_SECONDS.observe(took)
            elif isinstance(result, Failed):
                name = result.failure.value
            SENT.labels(name).inc()
            log.write_limited(
                events.REQUEST_SENT,
                request=job.call.id,
                work=job.work.name,
                server=server.id,
                lane=grant.queue,
                home=grant.coordinator,
                picture=self.state.snapshot.version,
                took_ms=round(took * 1000, 1),
                result=name,
                detail=result.detail if isinstance(result, Failed) else "",
            )

    async def exchange(
        self, job: Job, server: cluster.Server
    ) -> outcomes.Outcome | Failed:
        """Performs one exchange and judges the answer."""
        remaining = job.deadline - self.clock.monotonic()
        if remaining <= 0:
            return Failed(failure=retry.Failure.NOT_SENT, code=codes.TOO_LATE)
        job.sends += 1
        job.tried.add(server.id)
        idle = 60.0 if job.work.repeatable else UNREPEATABLE_IDLE_SECONDS
        try:
            response = await self.clients.get(server.address).request(
                job.request.method,
                job.request.target,
                timeout=remaining + ANSWER_SLACK_SECONDS,
                headers=self.platform.server_headers(
                    job.request, server, remaining
                ),
                body=job.body,
                idle_seconds=idle,
                host=(job.request.header(b"host") or "-").encode("latin-1"),
                accept=lambda found: self.platform.matches_request(
                    job.call.id, found
                ),
            )
        except client.ExchangeError as error:
            return self.broken(job, server, error)
        return self.judge(job, server, response)

    def broken(
        self, job: Job, server: cluster.Server, error: client.ExchangeError
    ) -> Failed:
        """Judges an exchange without a whole answer."""
        detail = f"server {server.id}: {error}"
        if not error.maybe_sent:
            job.sends -= 1
            return Failed(
                failure=retry.Failure.NOT_SENT,
                code=codes.NO_SERVER,
                detail=detail,
                wait=job.call.key is not None,
            )
        job.maybe_run = True
        code = codes.LOST
        if error.timed_out:
            code = codes.TIMED_OUT
        elif error.response_started:
            code = codes.BAD_ANSWER
        return Failed(
            failure=retry.Failure.OUTCOME_UNKNOWN, code=code, detail=detail
        )

    def judge(
        self, job: Job, server: cluster.Server, response: messages.Response
    ) -> outcomes.Outcome | Failed:
        """Judges a whole answer."""
        said = self.platform.classify(response)
        if said is ports.AnswerKind.ANSWERED:
            return outcomes.Complete(response=response, server=server.id)
        detail = f"server {server.id}: {said.value} {response.status}"
        if said in (ports.AnswerKind.REFUSED, ports.AnswerKind.NOT_OWNER):
            return Failed(
                failure=retry.Failure.REFUSED,
                code=codes.SERVER_REFUSED,
                detail=detail,
                wait=said is ports.AnswerKind.NOT_OWNER,
            )
        job.maybe_run = True
        if said is ports.AnswerKind.UNSIGNED:
            return Failed(
                failure=retry.Failure.OUTCOME_UNKNOWN,
                code=codes.BAD_ANSWER,
                detail=detail,
            )
        job.failure = response
        return Failed(
            failure=retry.Failure.OUTCOME_UNKNOWN,
            code=codes.LOST,
            detail=detail,
        )


async def best(
    first: asyncio.Task, tries: set[asyncio.Task]
) -> outcomes.Outcome | Failed:
    """Returns the first answer among tries, or how the first try ended."""
    waiting = set(tries)
    while waiting:
        done, waiting = await asyncio.wait(
            waiting, return_when=asyncio.FIRST_COMPLETED
        )
        for task in done:
            if isinstance(task.result(), outcomes.Complete):
                return task.result()
    return first.result()


def owner_wait_end(job: Job) -> float:
    """Returns until when a request waits for its key to have an owner.

    Load pattern: keys move between servers within a tenth of a second, while
    those of a lost server have no owner for seconds. Waiting pays for the
    former only.
    """
    part = OWNER_WAIT_FRACTION * (job.objective - job.arrived)
    wait = min(OWNER_WAIT_SECONDS, max(SHORTEST_OWNER_WAIT_SECONDS, part))
    return job.arrived + wait


def draw(work: contractset.Work) -> str:
    """Draws the pool that serves a request."""
    return work.pick(random.random())
