"""Forwards a request to a server, retrying and hedging where allowed."""

import asyncio
import contextlib

import prometheus_client

from oleanderhoist import clock
from oleanderhoist import codes
from oleanderhoist import deadline
from oleanderhoist import events
from oleanderhoist import log
from oleanderhoist import outcomes
from oleanderhoist import ports
from oleanderhoist.http import client
from oleanderhoist.http import exchanges
from oleanderhoist.http import messages
from oleanderhoist.node import budgets
from oleanderhoist.node import candidates
from oleanderhoist.node import coordinator
from oleanderhoist.node import jobs
from oleanderhoist.node import results
from oleanderhoist.node import silencewatch
from oleanderhoist.node import slotclient
from oleanderhoist.node import slotgrants
from oleanderhoist.node import state
from oleanderhoist.policy import cluster
from oleanderhoist.policy import connectioncaps
from oleanderhoist.policy import retry
from oleanderhoist.policy import slotrequests

CONNECT_TIMEOUT_SECONDS = 0.25
# Longest idle time of a reused connection.
REPEATABLE_IDLE_SECONDS = 60.0
UNREPEATABLE_IDLE_SECONDS = 1.0
MAX_UNSENT_ATTEMPTS = 3
SNAPSHOT_WAIT_SECONDS = 0.1
RESPONSE_SLACK_SECONDS = 0.08
KEYED_HEDGE_FACTOR = 2.0

# Kinds of responses that are certainly the server's own.
SERVER_ANSWERS = (
    ports.AnswerKind.ANSWERED,
    ports.AnswerKind.FAILED,
    ports.AnswerKind.REFUSED,
)

MAX_REFUSAL_BYTES = 16_384
# Of a response that a retry can replace; a larger one is passed on as it comes.
MAX_WHOLE_BYTES = 1_048_576
# Of responses that are not passed on. A refusal keeps its connection.
BODY_LIMITS = {
    ports.AnswerKind.UNSIGNED: 0,
    ports.AnswerKind.UNFOUNDED: 0,
    ports.AnswerKind.REFUSED: MAX_REFUSAL_BYTES,
    ports.AnswerKind.NOT_OWNER: MAX_REFUSAL_BYTES,
}

SENDS = prometheus_client.Counter(
    "oleander_sends", "Requests sent to servers by result", ["result"]
)
SERVER_SECONDS = prometheus_client.Histogram(
    "oleander_server_seconds", "Time from sending to a server's answer"
)


class Forwarder:
    """Selects a server, sends the request and retries where allowed.

    Args:
        platform: Builds requests to servers and interprets their responses.
        slot_client: Acquires and releases slots.
        state: Current snapshot and contracts.
        clock: Time source.
        budget: Retry budgets by pool.
        data_center: Data centre of this router.

    Attributes:
        slots_due: Until when requests may wait for a slot; set by a stop.
        answers_due: Until when servers' responses are awaited; set by a stop.
        stopping: Whether the router stops.
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
        self.clients = client.Clients(connect_seconds=CONNECT_TIMEOUT_SECONDS)
        self.stopping = False
        self.slots_due = deadline.SharedDeadline()
        self.answers_due = deadline.SharedDeadline(catch_up=True)
        self.seen_keys: dict[str, list[int]] = {}
        state.snapshot_listeners.append(self.close_unlisted)

    def close_unlisted(self, snapshot: cluster.Snapshot) -> None:
        """Closes the connections to servers that are no longer listed."""
        listed = {(one.address, one.id) for one in snapshot.servers.values()}
        self.clients.retain(listed)

    def stop(self, *, slots_due: float, answers_due: float) -> None:
        """Ends the waits of all requests before the router ends.

        Args:
            slots_due: Until when requests may wait for a slot, in seconds on
                the event loop's clock.
            answers_due: Until when servers' responses are awaited, on the same
                clock.
        """
        self.stopping = True
        self.slots_due.set(slots_due)
        self.answers_due.set(answers_due)

    async def serve(self, job: jobs.Job) -> outcomes.Outcome:
        """Forwards a request and returns its outcome."""
        try:
            async with self.answers_due.limit():
                return await self.make_attempts(job)
        except deadline.PassedError:
            return results.stopped_outcome(job)

    async def make_attempts(self, job: jobs.Job) -> outcomes.Outcome:
        """Makes attempts until one is final."""
        self.budget.earn(job.pool)
        while True:
            if job.work.repeatable and job.sends + 1 < job.work.attempts:
                result = await self.attempt_hedged(job)
            else:
                result = await self.attempt(job)
            if not isinstance(result, jobs.FailedAttempt):
                return result
            if not self.should_retry(job, result):
                return results.final_outcome(
                    job, result, pause=self.remaining_pause(job)
                )
            if result.await_snapshot:
                await self.state.wait_for_snapshot(SNAPSHOT_WAIT_SECONDS)
            log.write_limited(
                events.REQUEST_RETRIED,
                request=job.head.id,
                pool=job.pool,
                failure=result.failure.value,
                detail=result.detail,
                sends=job.sends,
            )

    async def attempt_hedged(
        self, job: jobs.Job
    ) -> outcomes.Outcome | jobs.FailedAttempt:
        """Makes one attempt, and a hedged one when the response is slow.

        The first attempt continues, so a slow response is still delivered.
        """
        attempts = {asyncio.create_task(self.attempt(job))}
        first = next(iter(attempts))
        result: outcomes.Outcome | jobs.FailedAttempt | None = None
        try:
            hedge_at = asyncio.get_running_loop().time() + self.hedge_delay(job)
            job.hedge_timeout = deadline.CatchUpTimeout(hedge_at)
            with contextlib.suppress(TimeoutError):
                async with job.hedge_timeout:
                    await asyncio.wait(attempts)
            job.hedge_timeout = None
            if first.done() or not self.may_hedge(job):
                result = await first
                return result
            log.write_limited(
                events.REQUEST_HEDGED, request=job.head.id, pool=job.pool
            )
            attempts.add(asyncio.create_task(self.attempt(job)))
            result = await results.first_answer(job, first, attempts)
            return result
        finally:
            job.hedge_timeout = None
            for task in attempts:
                task.cancel()
            results.abandon_others(result, attempts)

    def hedge_delay(self, job: jobs.Job) -> float:
        """Returns how long to wait before a hedged request, in seconds.

        With a key, only one server can run the request, and the hedged request
        adds to the load that makes that server slow; so it is sent later.
        """
        remaining = job.deadline - self.clock.monotonic()
        factor = KEYED_HEDGE_FACTOR if job.head.key is not None else 1.0
        return max(factor * job.work.objective, remaining / 2)

    def may_hedge(self, job: jobs.Job) -> bool:
        """Returns whether to hedge; charges the retry budget if so."""
        if self.stopping or not 0 < job.sends < job.work.attempts:
            return False
        return self.budget.spend(job.pool)

    def should_retry(self, job: jobs.Job, result: jobs.FailedAttempt) -> bool:
        """Returns whether to retry; charges the retry budget if needed."""
        if job.sends >= job.work.attempts:
            return False
        remaining = job.deadline - self.clock.monotonic()
        allowed = retry.allowed(
            failure=result.failure,
            repeatable=job.work.repeatable,
            attempts=job.sends,
            remaining=remaining,
        )
        if not allowed:
            return False
        if result.failure is retry.Failure.NOT_SENT:
            job.unsent_attempts += 1
            return job.unsent_attempts <= MAX_UNSENT_ATTEMPTS
        return self.budget.spend(job.pool)

    async def attempt(
        self, job: jobs.Job
    ) -> outcomes.Outcome | jobs.FailedAttempt:
        """Makes one attempt: acquires a slot and sends the request."""
        try:
            async with self.slots_due.limit():
                grant = await self.acquire_slot(job)
        except deadline.PassedError:
            return results.stopped_outcome(job)
        if not isinstance(grant, slotgrants.SlotGrant):
            return grant
        server = self.state.snapshot.usable_server(grant.server)
        if server is None or self.state.pauses.remaining(
            server, self.clock.monotonic()
        ):
            return self.return_slot(job, grant)
        if not coordinator.is_in_queue(grant.queue, job.pool, server):
            self.slot_client.release(grant, seconds=None, failed=False)
            return jobs.FailedAttempt(
                failure=retry.Failure.NOT_SENT,
                code=codes.NO_SERVER,
                detail=f"server {grant.server} is not of pool {job.pool}",
            )
        return await self.send(job, server, grant)

    def return_slot(
        self, job: jobs.Job, grant: slotgrants.SlotGrant
    ) -> jobs.FailedAttempt:
        """Gives back the slot of a server that must not get the request.

        The coordinator may not know yet that the server leaves.
        """
        self.slot_client.release(grant, seconds=None, failed=False)
        server = self.state.snapshot.servers.get(grant.server)
        if server is not None and self.state.snapshot.has_departed(server):
            self.slot_client.notices.tell_departure(
                grant.coordinator, server.incarnation
            )
        return results.returned_slot(job, grant.server)

    async def acquire_slot(
        self, job: jobs.Job
    ) -> slotgrants.SlotGrant | outcomes.Outcome | jobs.FailedAttempt:
        """Acquires a slot, or returns the outcome without one."""
        target = await self.find_queue(job)
        if target is None:
            return self.no_server_outcome(job)
        queue, owner = target
        request = slotrequests.SlotRequest(
            id=self.slot_client.ids.next(),
            requester=self.slot_client.datagrams.address,
            rank=job.work.rank,
            deadline=self.answers_due.limit_time(job.deadline),
            objective=self.answers_due.limit_time(job.objective),
            data_center=self.data_center,
            body_bytes=len(job.body),
            excluded=candidates.excluded(
                self.state, job, self.clock.monotonic()
            ),
            request_id=job.head.id,
            kind=job.work.name,
            age=job.age,
        )
        verdict = await self.slot_client.acquire(queue, request)
        if isinstance(verdict, slotrequests.Refused):
            if owner and not self.state.snapshot.usable_server(owner.id):
                return results.returned_slot(job, owner.id)
            return results.refused_outcome(
                job, queue, self.state.snapshot.coordinator(queue), verdict
            )
        return verdict

    def no_server_outcome(self, job: jobs.Job) -> outcomes.Outcome:
        """Returns the outcome of a request that no server may get now."""
        pause = self.remaining_pause(job)
        if pause:
            return results.paused_outcome(job, pause)
        return results.no_server_outcome(job, self.clock.monotonic())

    def remaining_pause(self, job: jobs.Job) -> float:
        """Returns how long no server wants a request, in seconds."""
        found = candidates.find(self.state, job)
        return self.state.pauses.least_remaining(found, self.clock.monotonic())

    async def find_queue(
        self, job: jobs.Job
    ) -> tuple[str, cluster.Server | None] | None:
        """Returns the slot queue and, for a keyed pool, the key's owner.

        None if no server can be sent the request, also after a short wait for
        the key's next owner, or for the end of the servers' pauses.
        """
        is_keyed = candidates.is_keyed(self.state, job)
        if is_keyed:
            key = candidates.key_of(job)
            self.seen_keys.setdefault(job.pool, []).append(key)
        while True:
            found = candidates.find(self.state, job)
            now = self.clock.monotonic()
            if found and not self.state.pauses.least_remaining(found, now):
                owner = found[0] if is_keyed else None
                return coordinator.queue_name(job.pool, owner), owner
            wait = candidates.wait_end(self.state, job, now) - now
            if wait <= 0:
                return None
            await self.state.wait_for_snapshot(wait)

    async def send(
        self, job: jobs.Job, server: cluster.Server, grant: slotgrants.SlotGrant
    ) -> outcomes.Outcome | jobs.FailedAttempt:
        """Sends a request to a server and releases its slot."""
        started_at = self.clock.monotonic()
        result: outcomes.Outcome | jobs.FailedAttempt | None = None
        watch = silencewatch.SilenceWatch(
            job=job,
            grant=grant,
            slot_client=self.slot_client,
            clock=self.clock,
        )
        try:
            result = await self.exchange(job, server, grant.queue)
            return result
        finally:
            elapsed = self.clock.monotonic() - started_at
            answered = isinstance(result, outcomes.Complete)
            failed = isinstance(result, jobs.FailedAttempt) or (
                result is None and self.is_overdue(job)
            )
            silent = watch.end()
            # A full server stays silent; it is not down.
            if silent and not results.has_response(result):
                failed = False

            def release() -> None:
                held = self.clock.monotonic() - started_at
                self.slot_client.release(
                    grant,
                    seconds=held if answered else None,
                    failed=failed,
                    unanswered=results.is_unanswered(result, silent=silent),
                )

            results.when_sent(result, release)
            result_label = "gone"
            if answered:
                result_label = "answered"
                SERVER_SECONDS.observe(elapsed)
            elif isinstance(result, jobs.FailedAttempt):
                result_label = result.failure.value
            SENDS.labels(result_label).inc()
            log.write_limited(
                events.REQUEST_SENT,
                request=job.head.id,
                work=job.work.name,
                server=server.id,
                lane=grant.queue,
                home=grant.coordinator,
                picture=self.state.snapshot.version,
                took_ms=round(elapsed * 1000, 1),
                result=result_label,
                detail=result.detail
                if isinstance(result, jobs.FailedAttempt)
                else "",
            )

    def is_overdue(self, job: jobs.Job) -> bool:
        """Returns whether a request's time is up, or nearly so.

        Its caller measures the same time and leaves a little sooner.
        """
        remaining = job.deadline - self.clock.monotonic()
        return remaining <= RESPONSE_SLACK_SECONDS

    def body_limit(self, response: messages.Response) -> int:
        """Returns the largest body of a server's response, in bytes."""
        kind = self.platform.classify(response)
        return BODY_LIMITS.get(kind, exchanges.MAX_BODY_BYTES)

    def client_of(self, server: cluster.Server) -> client.Client:
        """Returns the client of a server, which keeps its share idle."""
        server_client = self.clients.get(server.address, server.id)
        contracts = self.state.contracts
        pool = contracts.pools.get(server.pool) if contracts else None
        if pool is not None:
            server_client.max_idle = connectioncaps.max_idle(
                accepted=pool.connections,
                slots=server.slots,
                routers=len(self.state.snapshot.members),
            )
        return server_client

    def stream_limit(self, response: messages.Response) -> int | None:
        """Returns the largest body of a response that is read whole."""
        kind = self.platform.classify(response)
        return MAX_WHOLE_BYTES if kind is ports.AnswerKind.ANSWERED else None

    async def exchange(
        self, job: jobs.Job, server: cluster.Server, queue: str
    ) -> outcomes.Outcome | jobs.FailedAttempt:
        """Performs one exchange and classifies the response."""
        sent_at = self.clock.monotonic()
        remaining = job.deadline - sent_at
        if remaining <= 0:
            return jobs.FailedAttempt(
                failure=retry.Failure.NOT_SENT, code=codes.TOO_LATE
            )
        job.sends += 1
        job.possible_runs += 1
        # On a kept connection, a late copy of the first refusal has this id.
        fresh = not job.work.repeatable and server.id in job.tried_servers
        job.tried_servers.add(server.id)
        idle_seconds = (
            REPEATABLE_IDLE_SECONDS
            if job.work.repeatable
            else UNREPEATABLE_IDLE_SECONDS
        )
        try:
            server_client = self.client_of(server)
            response = await server_client.request(
                job.request.method,
                job.request.target,
                timeout=remaining + RESPONSE_SLACK_SECONDS,
                headers=self.platform.server_headers(
                    job.request, server, remaining
                ),
                body=job.body,
                idle_seconds=idle_seconds,
                host=(job.request.header(b"host") or "-").encode("latin-1"),
                accept=lambda headers: self.platform.match_request(
                    job.head.id, headers
                ),
                fresh=fresh,
                body_limit=self.body_limit,
                stream_limit=self.stream_limit,
            )
        except exchanges.ExchangeError as error:
            return results.classify_error(job, server, error)
        kind = self.platform.classify(response)
        notice = self.platform.server_notice(response)
        if kind in SERVER_ANSWERS:
            self.slot_client.notices.record(queue, server, notice, sent_at)
        return results.classify_response(job, server, response, kind)
