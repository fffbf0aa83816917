"""Runs scenarios against real processes behind fault-injecting proxies."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import pathlib
import random
import signal
import time

from oleanderhoist.http import streams
from standins import caller
from standins import fleet
from standins import proxy
from tests import language

KINDS_BY_NAME = {kind.name: kind for kind in caller.MIX}
SETUP_SECONDS = 40.0
READINESS_LAG_SECONDS = 0.5
SIGNALS = {
    "freeze": signal.SIGSTOP,
    "thaw": signal.SIGCONT,
    "kill": signal.SIGKILL,
    "terminate": signal.SIGTERM,
}

VERBS: dict[str, Callable[..., Awaitable[None]]] = {}
CONDITIONS: dict[str, Callable[..., Awaitable[bool]]] = {}
TARGETS: dict[str, Callable[..., Awaitable[str]]] = {}


class ExpectationError(AssertionError):
    """An expectation of a scenario was not met."""


def verb(function: Callable) -> Callable:
    """Registers a verb; the function's name is its word in scenarios."""
    VERBS[function.__name__] = function
    return function


def condition(function: Callable) -> Callable:
    """Registers a condition; the function's name is its word in scenarios."""
    CONDITIONS[function.__name__] = function
    return function


def target(function: Callable) -> Callable:
    """Registers a call that returns a process name.

    The function's name is its word in scenarios.
    """
    TARGETS[function.__name__] = function
    return function


class Scenario:
    """State of one scenario run.

    Args:
        path: The scenario file.

    Attributes:
        answers: Answers kept for the checks at the end of the run.
        load_tasks: Tasks that send a steady load, by kind of work.
        request_tasks: Requests whose answers have not been kept yet.
        variables: Process names that the verb `let` has set.
        stop_requested_at: Monotonic time of SIGTERM, by process name.
        remembered_epoch: Epoch that the condition `successor` compares with.
        contract_version: Accepted version of the example contract.
    """

    def __init__(self, *, path: pathlib.Path):
        self.statements = language.parse(path)
        self.rng = random.Random(1)
        self.pools: list[fleet.Pool] = []
        self.proxies = proxy.Proxies()
        self.proxied_prefixes: tuple[str, ...] = ()
        self.fleet: fleet.Fleet | None = None
        self.callers: caller.Caller | None = None
        self.answers: list[caller.Result] = []
        self.load_tasks: dict[str, asyncio.Task] = {}
        self.request_tasks: set[asyncio.Task] = set()
        self.variables: dict[str, str] = {}
        self.stop_requested_at: dict[str, float] = {}
        self.remembered_epoch = 0
        self.contract_version = 0

    async def run(self) -> list[str]:
        """Runs all statements; returns the violations that were found."""
        try:
            for statement in self.statements:
                await self.execute(statement)
            await self.stop_loads()
            return self.fleet.check(self.answers)
        except ExpectationError:
            print(self.fleet.event_log())
            for answer in self.answers[-5:]:
                print(answer)
            raise
        finally:
            for task in [*self.load_tasks.values(), *self.request_tasks]:
                task.cancel()
            if self.fleet is not None:
                await self.fleet.stop()
            await self.proxies.stop()
            streams.close_opened()

    async def execute(self, statement: language.Statement) -> None:
        """Executes one statement.

        Raises:
            ExpectationError: An expectation was not met.
        """
        arguments = [await self.resolve(a) for a in statement.arguments]
        if statement.verb in SIGNALS:
            process = self.fleet.processes[arguments[0]]
            process.signal(SIGNALS[statement.verb])
            if statement.verb == "terminate":
                self.stop_requested_at[arguments[0]] = time.monotonic()
        elif statement.verb in ("wait", "expect"):
            await self.expect(statement)
        else:
            await VERBS[statement.verb](self, *arguments)

    async def resolve(self, argument: language.Argument) -> str | float:
        """Returns an argument's value, with calls and variables resolved."""
        if isinstance(argument, language.Call):
            if argument.name not in TARGETS:
                return ""  # A condition, which expect() evaluates.
            arguments = [await self.resolve(a) for a in argument.arguments]
            return await TARGETS[argument.name](self, *arguments)
        if argument in TARGETS:
            return await TARGETS[argument](self)
        return self.variables.get(argument, argument)

    async def expect(self, statement: language.Statement) -> None:
        """Waits until a condition holds.

        Raises:
            ExpectationError: It did not hold within the statement's limit.
        """
        expected = statement.arguments[0]
        call = expected if isinstance(expected, language.Call) else None
        name = call.name if call else expected
        arguments = (
            [await self.resolve(a) for a in call.arguments] if call else []
        )
        try:
            await self.fleet.wait_for(
                lambda: CONDITIONS[name](self, *arguments),
                name,
                statement.limit,
            )
        except TimeoutError as error:
            raise ExpectationError(
                f"line {statement.line}: {name} {arguments} not true within "
                f"{statement.limit} s"
            ) from error

    async def stop_loads(self) -> None:
        """Stops the loads and waits for all answers."""
        for task in self.load_tasks.values():
            task.cancel()
        self.answers += await self.gather_answers()

    async def route(self, name: str, target: str) -> str:
        """Returns the address of a link, behind a proxy if it is proxied."""
        if name.startswith(self.proxied_prefixes):
            return await self.proxies.route(name, target)
        return target

    async def gather_answers(self) -> list[caller.Result]:
        """Waits for the answers to all requests sent so far."""
        return list(await asyncio.gather(*self.request_tasks))

    async def send_steadily(self, kind: caller.Kind, rate: float) -> None:
        """Sends requests at a steady rate until cancelled."""
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        number = 0
        while True:
            await asyncio.sleep(
                max(0.0, started_at + number / rate - loop.time())
            )
            number += 1
            self.send(kind)

    def routable_entries(self) -> list[str]:
        """Returns the entries that a load balancer would choose from.

        A load balancer notices failed readiness only at its next check, so a
        stopping entry still receives requests for READINESS_LAG_SECONDS.
        """
        now = time.monotonic()
        return [
            name
            for name in self.fleet.named("entry-")
            if now - self.stop_requested_at.get(name, now)
            < READINESS_LAG_SECONDS
        ]

    def send(self, kind: caller.Kind, **options: str) -> None:
        """Starts one request to a given or a random routable entry."""
        entry = options.pop("entry", "") or self.rng.choice(
            self.routable_entries()
        )
        request = self.callers.send(kind, entry=entry, **options)
        self.request_tasks.add(asyncio.create_task(request))
