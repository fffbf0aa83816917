"""Runs scenarios against real processes behind fault proxies."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import pathlib
import random
import signal
import time

from standins import caller
from standins import fleet
from standins import proxy
from tests import language

KINDS = {kind.name: kind for kind in caller.MIX}
SETUP_SECONDS = 40.0
BALANCER_SECONDS = 0.5
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
    """An expectation of a scenario did not come true."""


def verb(function: Callable) -> Callable:
    """Registers a statement's verb under the function's name."""
    VERBS[function.__name__] = function
    return function


def condition(function: Callable) -> Callable:
    """Registers a condition under the function's name."""
    CONDITIONS[function.__name__] = function
    return function


def target(function: Callable) -> Callable:
    """Registers a call that names a process."""
    TARGETS[function.__name__] = function
    return function


class Scenario:
    """State of one run.

    Args:
        path: The scenario file.
    """

    def __init__(self, *, path: pathlib.Path):
        self.statements = language.parse(path)
        self.rng = random.Random(1)
        self.pools: list[fleet.Pool] = []
        self.proxies = proxy.Proxies()
        self.proxied: tuple[str, ...] = ()
        self.fleet: fleet.Fleet | None = None
        self.callers: caller.Caller | None = None
        self.told: list[caller.Result] = []
        self.loads: dict[str, asyncio.Task] = {}
        self.sent: set[asyncio.Task] = set()
        self.names: dict[str, str] = {}
        self.told_to_stop: dict[str, float] = {}
        self.epoch = 0
        self.version = 0

    async def run(self) -> list[str]:
        """Runs all statements; returns what the checks found wrong."""
        try:
            for statement in self.statements:
                await self.perform(statement)
            await self.finish()
            return self.fleet.check(self.told)
        except ExpectationError:
            print(self.fleet.event_log())
            for answer in self.told[-5:]:
                print(answer)
            raise
        finally:
            for task in [*self.loads.values(), *self.sent]:
                task.cancel()
            if self.fleet is not None:
                await self.fleet.stop()
            await self.proxies.stop()

    async def perform(self, statement: language.Statement) -> None:
        """Performs one statement.

        Raises:
            ExpectationError: An expectation did not come true.
        """
        arguments = [await self.value(a) for a in statement.arguments]
        if statement.verb in SIGNALS:
            process = self.fleet.processes[arguments[0]]
            process.signal(SIGNALS[statement.verb])
            if statement.verb == "terminate":
                self.told_to_stop[arguments[0]] = time.monotonic()
        elif statement.verb in ("wait", "expect"):
            await self.expect(statement)
        else:
            await VERBS[statement.verb](self, *arguments)

    async def value(self, argument: language.Argument) -> str | float:
        """Returns what an argument stands for."""
        if isinstance(argument, language.Call):
            if argument.name not in TARGETS:
                return ""
            inner = [await self.value(a) for a in argument.arguments]
            return await TARGETS[argument.name](self, *inner)
        if argument in TARGETS:
            return await TARGETS[argument](self)
        return self.names.get(argument, argument)

    async def expect(self, statement: language.Statement) -> None:
        """Waits for a condition within the statement's limit."""
        asked = statement.arguments[0]
        call = asked if isinstance(asked, language.Call) else None
        name = call.name if call else asked
        inner = [await self.value(a) for a in call.arguments] if call else []
        try:
            await self.fleet.wait_for(
                lambda: CONDITIONS[name](self, *inner), name, statement.limit
            )
        except TimeoutError as error:
            raise ExpectationError(
                f"line {statement.line}: {name} {inner} not true within "
                f"{statement.limit} s"
            ) from error

    async def finish(self) -> None:
        """Ends the loads and waits for every answer."""
        for task in self.loads.values():
            task.cancel()
        self.told += await self.settle()

    async def route(self, name: str, target: str) -> str:
        """Puts a proxy on the links that the scenario names."""
        if name.startswith(self.proxied):
            return await self.proxies.route(name, target)
        return target

    async def settle(self) -> list[caller.Result]:
        """Waits for every answer to what has been sent so far."""
        return list(await asyncio.gather(*self.sent))

    async def offer(self, kind: caller.Kind, rate: float) -> None:
        """Sends requests at a steady rate until cancelled."""
        loop = asyncio.get_running_loop()
        began = loop.time()
        number = 0
        while True:
            await asyncio.sleep(max(0.0, began + number / rate - loop.time()))
            number += 1
            self.send(kind)

    def balanced(self) -> list[str]:
        """Returns the entries that a balancer would send to.

        It learns of a failing readiness after a while.
        """
        now = time.monotonic()
        return [
            name
            for name in self.fleet.named("entry-")
            if now - self.told_to_stop.get(name, now) < BALANCER_SECONDS
        ]

    def send(self, kind: caller.Kind, **options: str) -> None:
        """Sends one request to an entry that runs."""
        entry = options.pop("entry", "") or self.rng.choice(self.balanced())
        work = self.callers.send(kind, entry=entry, **options)
        self.sent.add(asyncio.create_task(work))
