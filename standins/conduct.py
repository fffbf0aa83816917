"""What a stand-in server does to requests, for a share of them by chance.

Each treatment is registered by name; `Conduct.shares` holds the share of the
requests that get it.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import random
import typing

from oleanderhoist.http import messages
from oleanderhoist.policy import registry
from standins import unruly

UNFOUNDED_STATUSES = (408, 429, 503)
MAX_READ_DELAY_SECONDS = 0.4  # Of the rest of a body after an early answer.
MAX_LATE_SECONDS = 1.8  # Within the time that a caller allows.
SILENT_SECONDS = 20.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Conduct:
    """How a server behaves for some time.

    Attributes:
        seed: Seed of its choices.
        leaving: Whether all its answers say that it leaves.
        retry_after: Value of the header in refusals, in seconds.
        copied_share: Share of answers of which a second copy comes late.
        shares: Share of requests that get a treatment, by its name.
        loads: Values of which its answers name one as its load, each; some
            with fields for the requests that run and wait.
    """

    seed: int = 0
    leaving: bool = False
    retry_after: str = ""
    copied_share: float = 0.0
    shares: dict[str, float] = dataclasses.field(default_factory=dict)
    loads: list[str] = dataclasses.field(default_factory=list)


class Host(typing.Protocol):
    """The server that a treatment belongs to."""

    rng: random.Random
    conduct: Conduct

    async def respond(self, request: messages.Request) -> unruly.Answer:
        """Reads, executes and answers a request, or refuses it."""

    def accept(self, request: messages.Request) -> unruly.Answer | None:
        """Begins to execute a request; returns a refusal if it may not."""

    def success(self, request: messages.Request) -> unruly.Answer:
        """Returns the answer to a request that was executed."""

    def refusal(self, request: messages.Request, status: int) -> unruly.Answer:
        """Returns an answer that says that a request was not executed."""

    async def read(self, request: messages.Request) -> None:
        """Reads a body and notes whether it is the caller's."""


Treatment = Callable[[Host, messages.Request], Awaitable[unruly.Answer]]
TREATMENTS: registry.Registry[Treatment] = registry.Registry(kind="treatment")


def draw(host: Host) -> Treatment:
    """Draws the treatment of a request."""
    point = host.rng.random()
    for name, share in sorted(host.conduct.shares.items()):
        if point < share:
            return TREATMENTS.get(name)
        point -= share
    return respond


async def respond(host: Host, request: messages.Request) -> unruly.Answer:
    """Reads, executes and answers a request as usual."""
    return await host.respond(request)


@TREATMENTS.register("refuse")
async def refuse(host: Host, request: messages.Request) -> unruly.Answer:
    """Refuses a request, with the time for which it wants no other."""
    await host.read(request)
    answer = host.refusal(request, 503)
    if host.conduct.retry_after:
        value = host.conduct.retry_after.encode()
        answer.headers.append((b"retry-after", value))
    return answer


@TREATMENTS.register("unfounded")
async def refuse_unfounded(
    host: Host, request: messages.Request
) -> unruly.Answer:
    """Answers with a refusal that says nothing of the execution."""
    await host.read(request)
    status = host.rng.choice(UNFOUNDED_STATUSES)
    if host.rng.random() < 0.5:
        refusal = host.accept(request)
        if refusal is not None:
            return refusal
    answer = host.refusal(request, status)
    answer.headers = [
        item for item in answer.headers if item[0] != b"not-executed"
    ]
    return answer


@TREATMENTS.register("early")
async def answer_early(host: Host, request: messages.Request) -> unruly.Answer:
    """Answers before the body is read, and reads it later."""
    answer = host.refusal(request, 503)
    if host.rng.random() < 0.5:
        answer = host.accept(request) or host.success(request)

    async def read_rest() -> None:
        await asyncio.sleep(host.rng.uniform(0.0, MAX_READ_DELAY_SECONDS))
        await host.read(request)

    answer.read_rest = read_rest
    return answer


@TREATMENTS.register("lost")
async def lose_answer(host: Host, request: messages.Request) -> unruly.Answer:
    """Executes a request and closes the connection or stays silent.

    Raises:
        ConnectionAbortedError: The connection is to be reset.
    """
    answer = await host.respond(request)
    if host.rng.random() < 0.5:
        await asyncio.sleep(SILENT_SECONDS)
    raise ConnectionAbortedError(f"lost an answer of {answer.status}")


@TREATMENTS.register("cut")
async def cut_answer(host: Host, request: messages.Request) -> unruly.Answer:
    """Executes a request and resets the connection within the answer."""
    answer = await host.respond(request)
    if host.rng.random() < 0.5:
        length = (b"content-length", b"%d" % len(answer.body))
        answer.headers.append(length)
    answer.stream = unruly.cut(answer.body)
    return answer


@TREATMENTS.register("late")
async def execute_late(host: Host, request: messages.Request) -> unruly.Answer:
    """Executes a request late, with its connection silent or closed before.

    Raises:
        ConnectionAbortedError: The connection is to be reset.
    """
    await host.read(request)
    delay_seconds = host.rng.uniform(0.0, MAX_LATE_SECONDS)
    if host.rng.random() < 0.5:
        asyncio.get_running_loop().call_later(
            delay_seconds, host.accept, request
        )
        raise ConnectionAbortedError("executed after the close")
    await asyncio.sleep(delay_seconds)
    return host.accept(request) or host.success(request)
