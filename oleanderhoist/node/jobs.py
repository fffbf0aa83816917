"""Requests being forwarded, and their failed attempts."""

import dataclasses
import random

from oleanderhoist import codes
from oleanderhoist import deadline
from oleanderhoist import outcomes
from oleanderhoist import ports
from oleanderhoist.http import messages
from oleanderhoist.policy import contractset
from oleanderhoist.policy import retry

MAX_OWNER_WAIT_SECONDS = 0.4
MIN_OWNER_WAIT_SECONDS = 0.1  # Most planned key moves take less.
OWNER_WAIT_FRACTION = 0.5  # Of the objective; the server needs the rest.


@dataclasses.dataclass(kw_only=True)
class Job:
    """A request being forwarded, and the state of its attempts.

    Attributes:
        request: The caller's HTTP request; its body has been read.
        head: The fields parsed from the request head.
        body: The whole body.
        work: Kind of work.
        pool: Pool chosen for it.
        arrived: When it arrived, in seconds on the monotonic clock.
        deadline: When its final response is due, on the same clock.
        objective: Latest time for a response of full value, on the same clock.
        age: Time from the caller's first attempt to this one, in seconds.
        sends: Number of times it was sent to a server.
        unsent_attempts: Attempts that ended before it was sent.
        returned_slots: Ids of servers whose slot was given back, since they
            leave or want no requests for a while.
        tried_servers: Ids of the servers that an exchange was started with.
        possible_runs: Number of exchanges, running or ended, in which a server
            may have run it.
        completed: Its outcome once a server has answered; None before.
        failure_response: The latest response in which a server reported a
            failure; None without one.
        hedge_timeout: Ends the wait before a hedged attempt; None if there is
            no such wait.
    """

    request: messages.Request
    head: ports.RequestHead
    body: messages.Buffer
    work: contractset.Work
    pool: str
    arrived: float
    deadline: float
    objective: float
    age: float = 0.0
    sends: int = 0
    unsent_attempts: int = 0
    returned_slots: set[str] = dataclasses.field(default_factory=set)
    tried_servers: set[str] = dataclasses.field(default_factory=set)
    possible_runs: int = 0
    completed: outcomes.Complete | None = None
    failure_response: messages.Response | None = None
    hedge_timeout: deadline.CatchUpTimeout | None = None

    @property
    def maybe_run(self) -> bool:
        """Whether a server may have run it, or may be running it now."""
        return self.possible_runs > 0


@dataclasses.dataclass(frozen=True, kw_only=True)
class FailedAttempt:
    """A failed attempt that may be retried.

    Attributes:
        failure: How it failed.
        code: Result code if it is not retried.
        detail: Description of the failure for the log.
        await_snapshot: Whether to wait for a newer snapshot before a retry.
        without_response: Whether an exchange had no response, not even in part.
    """

    failure: retry.Failure
    code: codes.Code
    detail: str = ""
    await_snapshot: bool = False
    without_response: bool = False


def owner_wait_end(job: Job) -> float:
    """Returns when a request stops waiting for an owner of its key.

    A planned move usually leaves a key without an owner for less than
    `MIN_OWNER_WAIT_SECONDS`, the loss of a server for seconds. Waiting is
    worthwhile only in the first case.
    """
    target_wait = OWNER_WAIT_FRACTION * (job.objective - job.arrived)
    wait = min(MAX_OWNER_WAIT_SECONDS, max(MIN_OWNER_WAIT_SECONDS, target_wait))
    return job.arrived + wait


def draw_pool(work: contractset.Work) -> str:
    """Chooses a pool for a request at random, by its traffic shares."""
    return work.pick(random.random())
