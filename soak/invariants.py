"""Checks of the system's invariants against callers' answers and journals."""

from collections.abc import Callable
import json

from oleanderhoist.policy import registry
from soak import coldservers
from soak import evacuations
from soak import notices
from soak import records
from standins import platform_system

MAX_ANSWER_SECONDS = 5.0  # From an execution to its caller's answer.
STOP_EFFECT_SECONDS = 7.0  # Of a graceful stop: its longest time and 1 s more.
LATE_WORK_SECONDS = 5.0  # Of a stop; work that lasts longer may be broken off.
LATE_SENT_SECONDS = 3.0  # Of a stop; for requests sent later that is no reason.
LOSS_SLACK_SECONDS = 0.2  # A close crosses requests that were sent just before.
RELOAD_EFFECT_SECONDS = 2.0
RESPONSE_SECONDS = 0.5  # From the end of the work to the caller's answer.
LEASE_SLACK_SECONDS = 0.02  # Journal lines are timestamped after the event.
LIMIT_NOTICE_SECONDS = 3.0  # From a limit's begin until it must be kept.
LIMIT_WINDOW_SECONDS = 4.0
LIMIT_RATIO = 1.5
LIMIT_EXTRA = 5
DRAIN_GRACE_SECONDS = 2.0
MAX_APPLY_SECONDS = 2.0
NOT_RUN_STATUSES = (408, 421, 429, 503)

Reader = Callable[["Checker", str, dict], None]
READERS: registry.Registry[Reader] = registry.Registry(kind="journal line")


class Checker(records.Record):
    """Collects violations of the invariants.

    Attributes:
        violations: Descriptions of violated invariants.
    """

    def __init__(self):
        super().__init__()
        self.violations: list[str] = []

    def read_journal(self, server: str, line: str) -> None:
        """Records one line of a server's journal."""
        item = json.loads(line)
        READERS.get(item["kind"])(self, server, item)

    def record_execution(self, server: str, item: dict) -> None:
        """Records an execution; checks that the server is not drained."""
        self.executions[item["id"]].append(
            records.Execution(server=life(server, item), at=item["at"])
        )
        drained = self.drained.get(server)
        if drained is None or item["at"] < drained + DRAIN_GRACE_SECONDS:
            return
        if self.is_fault_free(
            drained - records.FAULT_EFFECT_SECONDS, item["at"]
        ):
            late = item["at"] - drained
            self.violations.append(
                f"drain: {item['id']} was executed on {server} {late:.2f} s "
                f"after the drain began"
            )

    def record_lease(self, server: str, key: int, item: dict) -> None:
        """Records a lease; checks that no other server has one of the key."""
        begin, until, fence = item["at"], item["until"], item["fence"]
        for lease in self.leases[key]:
            if lease.server == server and lease.until > begin:
                lease.until = begin  # The new lease replaces it.
        for lease in self.leases[key]:
            overlaps = lease.until > begin + LEASE_SLACK_SECONDS
            if until > begin and lease.server != server and overlaps:
                self.violations.append(
                    f"owner: {server} got {key} with fence {fence} at "
                    f"{begin:.2f} while {lease.server} holds it from "
                    f"{lease.begin:.2f} to {lease.until:.2f} with fence "
                    f"{lease.fence}"
                )
        self.leases[key].append(
            records.Lease(server=server, begin=begin, until=until, fence=fence)
        )

    def end_server(self, server: str, now: float) -> None:
        """Records that the process of a server has ended."""
        for key_leases in self.leases.values():
            for lease in key_leases:
                if lease.server == server:
                    lease.until = min(lease.until, now)

    def record_answer(self, answer: records.Answer) -> None:
        """Records an answer and checks its status and body."""
        self.answers.append(answer)
        self.requests[answer.id] = records.Request(
            router=answer.router, sent_at=answer.sent_at
        )
        if answer.status == 200 and not answer.body_matches:
            self.violations.append(
                f"mixed: {answer.id} got the body of another request"
            )
        if answer.status == 404 and answer.probe_version:
            self.check_applied(answer)
        elif answer.status == 404:
            self.violations.append(
                f"denied: {answer.id} got 404 from {answer.router}"
            )

    def check_applied(self, answer: records.Answer) -> None:
        """Checks that a change of the contracts was applied in time."""
        began = self.contract_changes[answer.probe_version]
        late = answer.sent_at - began
        if late > MAX_APPLY_SECONDS and self.is_fault_free(
            began, answer.ended_at
        ):
            self.violations.append(
                f"config: {answer.router} lacks version {answer.probe_version} "
                f"{late:.2f} s after the change"
            )

    def finish(self) -> list[str]:
        """Runs the checks that need the complete record.

        Returns:
            All violations.
        """
        for answer in self.answers:
            executed = self.executions.get(answer.id, [])
            if len(executed) > 1 and not answer.repeatable:
                self.violations.append(f"twice: {answer.id} on {executed}")
            says_not_run = answer.status in NOT_RUN_STATUSES
            if executed and says_not_run and not answer.repeatable:
                self.violations.append(
                    f"not run: {answer.id} got {answer.status}, {executed}"
                )
            self.check_signer(answer)
            self.check_lost(answer)
        self.check_asked()
        for limit in self.limits:
            self.check_limit(limit)
        self.violations += notices.check_leaving(self)
        self.violations += notices.check_retry_after(self)
        self.violations += evacuations.check(self)
        self.violations += coldservers.check(self)
        return self.violations

    def check_signer(self, answer: records.Answer) -> None:
        """Checks that the server that signed a success executed the request."""
        executions = self.executions.get(answer.id, [])
        signers = {str(execution.server) for execution in executions}
        if answer.status == 200 and answer.signature not in signers:
            self.violations.append(
                f"mixed: {answer.id} got a success signed "
                f"{answer.signature!r}, {executions}"
            )

    def check_asked(self) -> None:
        """Checks that callers had sent all requests that were executed."""
        for id, executions in self.executions.items():
            if id not in self.requests and id != platform_system.READINESS_ID:
                self.violations.append(f"unasked: {id!r}, {executions}")

    def check_limit(self, limit: records.Limit) -> None:
        """Checks that a server got no more than it takes, once it said so."""
        begin = limit.begin + LIMIT_NOTICE_SECONDS
        times = sorted(
            execution.at
            for executed in self.executions.values()
            for execution in executed
            if execution.server.id == limit.server
            and begin <= execution.at < limit.end
        )
        allowed = LIMIT_RATIO * limit.rate * LIMIT_WINDOW_SECONDS + LIMIT_EXTRA
        for start in times:
            end = start + LIMIT_WINDOW_SECONDS
            count = sum(start <= at < end for at in times)
            if count > allowed and self.is_fault_free(limit.begin, end):
                self.violations.append(
                    f"limit: {limit.server} got {count} requests from "
                    f"{start - limit.begin:.2f} s after it named "
                    f"{limit.rate} a second"
                )
                return

    def check_lost(self, answer: records.Answer) -> None:
        """Checks that planned work cost no request that a router had read.

        A request is lost if its connection ended without a complete answer, or
        if a stopping router answered while a server was at work on it. Faults
        of the store excuse that only for a request with a key.
        """
        closed = answer.status == 0 and self.was_read(answer)
        at_work = answer.ended_at < self.work_end(answer)
        broken_off = answer.status not in (0, 200) and at_work
        if not (closed or broken_off) or self.ran_out_of_time(answer):
            return
        if not self.is_fault_free(
            answer.sent_at, answer.ended_at, beside_store=not answer.keyed
        ):
            return
        planned = [("stop", at) for at in self.stops_near(answer)]
        if closed:
            planned += [("reload", at) for at in self.reloads_near(answer)]
        for kind, at in planned[:1]:
            self.violations.append(
                f"lost: {answer.id}, sent {answer.sent_at - at:+.2f} s and "
                f"ended {answer.ended_at - at:+.2f} s after a {kind} of "
                f"{answer.router}, status {answer.status}, reused "
                f"{answer.reused}, work {answer.work_seconds:.2f} s, ran "
                f"{self.executions.get(answer.id, [])}: {answer.error}"
            )

    def was_read(self, answer: records.Answer) -> bool:
        """Returns whether a router read the request before it closed."""
        waited = answer.ended_at - answer.sent_at
        return answer.id in self.executions or (
            answer.reached_router and waited > LOSS_SLACK_SECONDS
        )

    def work_end(self, answer: records.Answer) -> float:
        """Returns when the last server ended its work; 0 if none had begun."""
        begins = [
            execution.at
            for execution in self.executions.get(answer.id, [])
            if execution.at < answer.ended_at
        ]
        return max(begins) + answer.work_seconds if begins else 0.0

    def ran_out_of_time(self, answer: records.Answer) -> bool:
        """Returns whether the work left no time for an answer by the deadline.

        A request that no server got may wait until its deadline.
        """
        work_end = self.work_end(answer) or answer.deadline
        return (
            answer.ended_at >= answer.deadline
            and work_end > answer.deadline - RESPONSE_SECONDS
        )

    def stops_near(self, answer: records.Answer) -> list[float]:
        """Returns the stops of the router that the request must survive."""
        near = []
        for router, at in self.stops:
            if router != answer.router:
                continue
            if self.outlasts_stop(answer, at):
                return []
            sent, ended = answer.sent_at - at, answer.ended_at - at
            executed = answer.id in self.executions and answer.status == 0
            before = executed and -MAX_ANSWER_SECONDS < sent < 0
            during = sent < STOP_EFFECT_SECONDS and ended > 0
            if before or during:
                near.append(at)
        return near

    def outlasts_stop(self, answer: records.Answer, at: float) -> bool:
        """Returns whether a server's work was too long for a stop."""
        late = at + LATE_WORK_SECONDS
        return (
            answer.sent_at <= at + LATE_SENT_SECONDS
            and answer.ended_at >= late
            and self.work_end(answer) >= late
        )

    def reloads_near(self, answer: records.Answer) -> list[float]:
        """Returns the reloads of the router that the request must survive."""
        return [
            at
            for router, at in self.reloads
            if router == answer.router
            and answer.sent_at < at + RELOAD_EFFECT_SECONDS
            and answer.ended_at > at
        ]

    def served_share(self, since: float) -> float:
        """Returns the share of requests since a time that were served.

        Requests that no router accepted don't count; load balancers route
        around them.
        """
        recent = [
            answer
            for answer in self.answers
            if answer.sent_at >= since and answer.reached_router
        ]
        served = sum(answer.status == 200 for answer in recent)
        return served / len(recent) if recent else 0.0


def life(server: str, item: dict) -> records.Life:
    """Returns the server that wrote a line of a journal."""
    return records.Life(id=server, born=item.get("born", 0))


@READERS.register("run")
def read_execution(checker: Checker, server: str, item: dict) -> None:
    """Reads the execution of a request; checks that its route allows it."""
    checker.record_execution(server, item)
    if platform_system.pool_for(item["path"]) != platform_system.pool_of(
        server
    ):
        checker.violations.append(
            f"route: {item['id']} to {item['path']} was executed on {server}"
        )


@READERS.register("hold")
def read_lease(checker: Checker, server: str, item: dict) -> None:
    """Reads a change of the leases of some keys."""
    for key in item["keys"]:
        checker.record_lease(server, key, item)


@READERS.register("notice")
def read_notice(checker: Checker, server: str, item: dict) -> None:
    """Reads what a server said of itself in an answer."""
    checker.notices.append(
        records.Notice(
            id=item["id"],
            server=life(server, item),
            at=item["at"],
            leaving=item["leaving"],
            retry_after=item["retry_after"],
        )
    )


@READERS.register("arrival")
def read_arrival(checker: Checker, server: str, item: dict) -> None:
    """Reads the arrival of a request."""
    checker.arrivals.append(
        records.Arrival(id=item["id"], server=life(server, item), at=item["at"])
    )


@READERS.register("not owned")
def read_not_owned(checker: Checker, server: str, item: dict) -> None:
    """Reads that a request's key was not the server's."""
    checker.not_owned[item["id"], life(server, item)] += 1


@READERS.register("reset")
def read_reset(checker: Checker, server: str, item: dict) -> None:
    """Reads that a connection was too many; checks that it was not in calm."""
    if checker.is_fault_free(item["at"], item["at"]):
        checker.violations.append(
            f"caps: {server} reset a connection too many at {item['at']:.2f}"
        )


@READERS.register("foreign body")
def read_foreign_body(checker: Checker, server: str, item: dict) -> None:
    """Reads that a body was not the caller's."""
    checker.violations.append(
        f"unasked: {item['id']} reached {server} with other bytes in its body "
        f"of {item['bytes']}"
    )
