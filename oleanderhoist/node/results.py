"""Outcomes of requests and of attempts."""

import asyncio
from collections.abc import Callable

from oleanderhoist import codes
from oleanderhoist import outcomes
from oleanderhoist import ports
from oleanderhoist.http import exchanges
from oleanderhoist.http import messages
from oleanderhoist.node import jobs
from oleanderhoist.policy import cluster
from oleanderhoist.policy import leaderlease
from oleanderhoist.policy import retry
from oleanderhoist.policy import slotqueue
from oleanderhoist.policy import slotrequests


def final_outcome(
    job: jobs.Job, result: jobs.FailedAttempt, *, pause: float = 0.0
) -> outcomes.Outcome:
    """Returns the outcome after the last attempt has failed.

    Args:
        job: The request.
        result: The last attempt.
        pause: For how long no server wants the request, in seconds.
    """
    if job.maybe_run:
        return uncertain_outcome(job, result.code, result.detail)
    return outcomes.NotRun(
        code=result.code,
        detail=result.detail,
        retry_after=max(slotqueue.MIN_RETRY_SECONDS, pause),
    )


def uncertain_outcome(
    job: jobs.Job, code: codes.Code, detail: str
) -> outcomes.Complete | outcomes.Unknown:
    """Returns the outcome of a request that may have run.

    A server's own response is forwarded, even if it reports a failure.
    """
    if job.failure_response is not None:
        return outcomes.Complete(response=job.failure_response, server="")
    outcome_unknown = code.outcome is codes.ExecutionStatus.UNKNOWN
    if not outcome_unknown or job.work.repeatable:
        code = codes.LOST
    return outcomes.Unknown(code=code, detail=detail)


def is_own_answer(
    job: jobs.Job, result: outcomes.Outcome | jobs.FailedAttempt
) -> bool:
    """Returns whether an attempt got a response of its own to forward.

    Without one, it may have ended with an earlier attempt's failure.
    """
    return (
        isinstance(result, outcomes.Complete)
        and result.response is not job.failure_response
    )


def revised_outcome(
    job: jobs.Job, result: outcomes.Outcome | jobs.FailedAttempt
) -> outcomes.Outcome | jobs.FailedAttempt:
    """Returns an attempt's result in view of all attempts that have ended."""
    if not isinstance(result, outcomes.NotRun | outcomes.Unknown):
        return result
    if job.failure_response is not None:
        return uncertain_outcome(job, result.code, result.detail)
    if isinstance(result, outcomes.NotRun) and job.maybe_run:
        return uncertain_outcome(job, result.code, result.detail)
    return result


def stopped_outcome(
    job: jobs.Job,
) -> outcomes.Complete | outcomes.NotRun | outcomes.Unknown:
    """Returns the outcome of a request that a stop leaves no time for."""
    if job.completed is not None:
        return job.completed
    if job.failure_response is not None:
        return outcomes.Complete(response=job.failure_response, server="")
    if job.maybe_run:
        return outcomes.Unknown(code=codes.STOPPED)
    return outcomes.NotRun(
        code=codes.STOPPING, retry_after=slotqueue.MIN_RETRY_SECONDS
    )


def no_server_outcome(job: jobs.Job, now: float) -> outcomes.Outcome:
    """Returns the outcome when no server can be sent the request.

    Args:
        job: The request.
        now: Current time, in seconds.
    """
    if job.maybe_run:
        return uncertain_outcome(job, codes.LOST, "no server for a retry")
    # A key whose owner is lost has none until its lease has expired, half of
    # which is still to come on average.
    retry_after = min(
        leaderlease.LEASE_SECONDS / 2,
        slotqueue.RETRY_FRACTION * (job.deadline - now),
    )
    return outcomes.NotRun(
        code=codes.NO_OWNER,
        detail=f"pool {job.pool}",
        retry_after=max(slotqueue.MIN_RETRY_SECONDS, retry_after),
    )


def paused_outcome(job: jobs.Job, pause: float) -> outcomes.Outcome:
    """Returns the outcome while all servers want no requests for a while.

    Args:
        job: The request.
        pause: Until the first of them takes requests, in seconds.
    """
    detail = f"pool {job.pool}: no requests for {pause * 1000:.0f} ms"
    if job.maybe_run:
        return uncertain_outcome(job, codes.LOST, detail)
    return outcomes.NotRun(
        code=codes.SERVER_REFUSED,
        detail=detail,
        retry_after=max(slotqueue.MIN_RETRY_SECONDS, pause),
    )


def returned_slot(job: jobs.Job, server: str) -> jobs.FailedAttempt:
    """Returns the attempt whose server must not get the request any more.

    For each server one of them does not count among the unsent attempts.

    Args:
        job: The request.
        server: Id of the server.
    """
    if server not in job.returned_slots:
        job.returned_slots.add(server)
        job.unsent_attempts -= 1
    return jobs.FailedAttempt(
        failure=retry.Failure.NOT_SENT,
        code=codes.NO_SERVER,
        detail=f"server {server} must not get it any more",
    )


def refused_outcome(
    job: jobs.Job, queue: str, coordinator: str, verdict: slotrequests.Refused
) -> outcomes.Outcome:
    """Returns the outcome of a refused slot request."""
    if job.maybe_run:
        return uncertain_outcome(job, codes.LOST, "no slot for a retry")
    return outcomes.NotRun(
        code=codes.OVERLOADED,
        detail=f"slot queue {queue} at {coordinator}: "
        f"expected wait {verdict.expected_wait * 1000:.0f} ms",
        retry_after=verdict.retry_after,
    )


def has_response(
    result: outcomes.Outcome | jobs.FailedAttempt | None,
) -> bool:
    """Returns whether a server responded, if only in part, to an attempt."""
    if isinstance(result, jobs.FailedAttempt):
        return result.code is not codes.TIMED_OUT
    return result is not None


def is_unanswered(
    result: outcomes.Outcome | jobs.FailedAttempt | None, *, silent: bool
) -> bool:
    """Returns whether nothing at a server's address answered an attempt.

    A connection that is reset soon was reset by the server, and a deadline may
    end an attempt before the server could answer.

    Args:
        result: How the attempt ended.
        silent: Whether it took longer than the server's work usually does.
    """
    if not isinstance(result, jobs.FailedAttempt):
        return False
    return result.without_response and (
        silent or result.failure is retry.Failure.NOT_SENT
    )


def describe(server: cluster.Server, text: str, kept_connection: bool) -> str:
    """Describes how an attempt ended, for the log.

    Args:
        server: The server.
        text: What happened.
        kept_connection: Whether the connection had carried an earlier exchange.
    """
    suffix = ", on a kept connection" if kept_connection else ""
    return f"server {server.id}: {text}{suffix}"


def classify_error(
    job: jobs.Job,
    server: cluster.Server,
    error: exchanges.ExchangeError,
) -> jobs.FailedAttempt:
    """Classifies an exchange without a complete response."""
    detail = describe(server, str(error), error.kept_connection)
    if not error.maybe_sent:
        job.sends -= 1
        job.possible_runs -= 1
        return jobs.FailedAttempt(
            failure=retry.Failure.NOT_SENT,
            code=codes.NO_SERVER,
            detail=detail,
            await_snapshot=job.head.key is not None,
            without_response=error.unreachable,
        )
    code = codes.LOST
    if error.timed_out:
        code = codes.TIMED_OUT
    elif error.response_started:
        code = codes.BAD_ANSWER
    return jobs.FailedAttempt(
        failure=retry.Failure.OUTCOME_UNKNOWN,
        code=code,
        detail=detail,
        without_response=not error.response_started,
    )


def classify_response(
    job: jobs.Job,
    server: cluster.Server,
    response: messages.Response,
    kind: ports.AnswerKind,
) -> outcomes.Outcome | jobs.FailedAttempt:
    """Classifies a complete response of a given kind."""
    if kind is ports.AnswerKind.ANSWERED:
        job.completed = outcomes.Complete(response=response, server=server.id)
        return job.completed
    text = f"{kind.value} {response.status}"
    detail = describe(server, text, response.kept_connection)
    if kind in (ports.AnswerKind.REFUSED, ports.AnswerKind.NOT_OWNER):
        job.possible_runs -= 1
        return jobs.FailedAttempt(
            failure=retry.Failure.REFUSED,
            code=codes.SERVER_REFUSED,
            detail=detail,
            await_snapshot=kind is ports.AnswerKind.NOT_OWNER,
        )
    if kind in (ports.AnswerKind.UNSIGNED, ports.AnswerKind.UNFOUNDED):
        return jobs.FailedAttempt(
            failure=retry.Failure.OUTCOME_UNKNOWN,
            code=codes.BAD_ANSWER,
            detail=detail,
        )
    job.failure_response = response
    return jobs.FailedAttempt(
        failure=retry.Failure.OUTCOME_UNKNOWN,
        code=codes.LOST,
        detail=detail,
    )


def when_sent(
    result: outcomes.Outcome | jobs.FailedAttempt | None,
    callback: Callable[[], None],
) -> None:
    """Calls back once the server has sent the whole response, or at once.

    A response that is passed on as it arrives stays at its server until its
    caller has read it.
    """
    if isinstance(result, outcomes.Complete) and result.response.stream:
        result.response.stream.end_callbacks.append(callback)
    else:
        callback()


def abandon_others(
    kept: outcomes.Outcome | jobs.FailedAttempt | None,
    attempts: set[asyncio.Task],
) -> None:
    """Lets go of the responses of all attempts but the one that is kept."""
    for task in attempts:
        if not task.done() or task.cancelled() or task.exception():
            continue
        result = task.result()
        if (
            isinstance(result, outcomes.Complete)
            and result is not kept
            and result.response.stream
        ):
            result.response.stream.abandon()


async def first_answer(
    job: jobs.Job, first: asyncio.Task, attempts: set[asyncio.Task]
) -> outcomes.Outcome | jobs.FailedAttempt:
    """Returns the first response of a server, else what the attempts add up to.

    Args:
        job: The request.
        first: The earlier attempt, whose failure may be retried.
        attempts: Both attempts.
    """
    running = set(attempts)
    while running:
        done, running = await asyncio.wait(
            running, return_when=asyncio.FIRST_COMPLETED
        )
        for task in done:
            if is_own_answer(job, task.result()):
                return task.result()
    return revised_outcome(job, first.result())
