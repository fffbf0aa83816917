"""Runs scenarios against real processes behind fault proxies."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import json
import pathlib
import random
import signal

from standins import caller
from standins import fleet
from standins import proxy
from tests import language

KINDS = {kind.name: kind for kind in caller.MIX}
CONTRACT = pathlib.Path("examples/guild.toml")
SETUP_SECONDS = 40.0
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
        self.told: list[caller.Told] = []
        self.loads: dict[str, asyncio.Task] = {}
        self.sent: set[asyncio.Task] = set()
        self.names: dict[str, str] = {}
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
            print(self.fleet.story())
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

    async def settle(self) -> list[caller.Told]:
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

    def send(self, kind: caller.Kind, **options: str) -> None:
        """Sends one request to an entry that runs."""
        running = self.fleet.named("entry-")
        entry = options.pop("entry", "") or self.rng.choice(running)
        work = self.callers.send(kind, entry=entry, **options)
        self.sent.add(asyncio.create_task(work))


@verb
async def seed(run: Scenario, number: float) -> None:
    """Sets the seed of the load."""
    run.rng = random.Random(int(number))


@verb
async def pool(
    run: Scenario, name: str, count: float, *options: str | float
) -> None:
    """Adds a pool; each of its servers is a process of its own."""
    words = list(options)
    service = words[words.index("service") + 1] if "service" in words else 2
    run.pools.append(
        fleet.Pool(
            name=name,
            count=int(count),
            keyed="keyed" in words,
            checks_sender="unchecked" not in words,
            apart="apart" in words,
            service_ms=float(service),
        )
    )


@verb
async def proxied(run: Scenario, *prefixes: str) -> None:
    """Puts proxies on the links whose names start with a prefix."""
    run.proxied = prefixes


@verb
async def begin(run: Scenario, entries: float, placers: float) -> None:
    """Starts the fleet with the example contract in force."""
    run.fleet = fleet.Fleet(
        pools=run.pools,
        entries=int(entries),
        placers=int(placers),
        route=run.route,
        placer_flags=("--partitions", "32"),
    )
    await run.fleet.start()
    run.callers = caller.Caller(
        entries={n: run.fleet.real[n] for n in run.fleet.named("entry-")},
        rng=run.rng,
    )
    await apply(run, 2000)
    await run.fleet.wait_for(run.fleet.entries_ready, "ready", SETUP_SECONDS)
    await run.fleet.wait_for(run.fleet.placed, "placed", SETUP_SECONDS)
    await remember(run)


@verb
async def apply(run: Scenario, rate: float) -> None:
    """Applies the example contract with another rate of lookups."""
    response = await run.fleet.apply(contract(rate), run.version)
    if response.status == 200:
        run.version = json.loads(response.body)["version"]
        return
    raise ExpectationError(f"apply: {response.status} {response.body}")


@verb
async def refused(run: Scenario, code: float, rate: float) -> None:
    """Applies a contract that must be refused with a code."""
    response = await run.fleet.admin(
        "PUT", "/v1/contracts/guild", contract(rate).encode(), run.version
    )
    found = json.loads(response.body).get("code")
    if found != int(code):
        raise ExpectationError(f"refused: {found}, not {int(code)}")


@verb
async def race(run: Scenario, one: float, other: float) -> None:
    """Two operators apply at once; exactly one must win."""
    path = "/v1/contracts/guild"
    calls = [
        run.fleet.admin("PUT", path, contract(rate).encode(), run.version)
        for rate in (one, other)
    ]
    answers = await asyncio.gather(*calls)
    statuses = sorted(answer.status for answer in answers)
    if statuses != [200, 409]:
        raise ExpectationError(f"race: statuses {statuses}")
    lost = next(a for a in answers if a.status == 409)
    details = json.loads(lost.body)["details"]
    if not any("rate_per_second" in detail for detail in details):
        raise ExpectationError(f"race: the loser sees only {details}")
    run.version += 1


@verb
async def load(run: Scenario, kind: str, rate: float) -> None:
    """Starts a steady load."""
    work = run.offer(KINDS[kind], rate)
    run.loads[kind] = asyncio.create_task(work)


@verb
async def unload(run: Scenario, kind: str) -> None:
    """Ends a steady load."""
    run.loads.pop(kind).cancel()


@verb
async def burst(run: Scenario, kind: str, count: float) -> None:
    """Sends many requests at once."""
    for _ in range(int(count)):
        run.send(KINDS[kind])


@verb
async def resubmit(run: Scenario) -> None:
    """Sends each order without a plain answer again, elsewhere and twice."""
    for answer in await run.settle():
        kind = KINDS[answer.kind]
        if not kind.idempotent or answer.outcome == caller.COMPLETE:
            continue
        others = [n for n in run.fleet.named("entry-") if n != answer.entry]
        for entry in others[:2]:
            run.send(kind, entry=entry, nonce=answer.nonce)
    await run.settle()


@verb
async def pause(run: Scenario, seconds: float) -> None:
    """Lets the load run; nothing is expected of the time itself."""
    await asyncio.sleep(seconds)


@verb
async def let(run: Scenario, name: str, value: str) -> None:
    """Names a process for later statements."""
    run.names[name] = value


@verb
async def remember(run: Scenario) -> None:
    """Remembers the epoch, for `successor`."""
    status = await run.fleet.status()
    run.epoch = status["leader"]["epoch"] if status else run.epoch


@verb
async def same(run: Scenario, one: str, other: str) -> None:
    """Two names must stand for the same process."""
    if one != other:
        raise ExpectationError(f"{one!r} is not {other!r}")


@verb
async def restart(run: Scenario, name: str) -> None:
    """Replaces an ended node by a new process of the same name."""
    if name.startswith("placer-"):
        await run.fleet.start_placer(name)
        return
    await run.fleet.start_entry(name)
    address = run.fleet.real[name]
    run.callers.add(name, address)


@verb
async def cut(run: Scenario, link: str) -> None:
    """Resets a link and refuses new connections."""
    run.proxies.by_name[link].cut()


@verb
async def hole(run: Scenario, link: str) -> None:
    """Makes a link silent in both directions."""
    faults = run.proxies.by_name[link].faults
    faults.hole_forward = faults.hole_back = True


@verb
async def mute(run: Scenario, link: str) -> None:
    """Makes a link silent on the way back only."""
    run.proxies.by_name[link].faults.hole_back = True


@verb
async def silence(run: Scenario, link: str) -> None:
    """Makes a link's open connections silent while new ones work."""
    run.proxies.by_name[link].silence()


@verb
async def drop(run: Scenario, link: str, count: float) -> None:
    """Swallows replies after their requests were delivered."""
    run.proxies.by_name[link].faults.drop_replies = int(count)


@verb
async def truncate(run: Scenario, link: str, count: float) -> None:
    """Cuts replies short."""
    run.proxies.by_name[link].faults.truncate = int(count)


@verb
async def delay(run: Scenario, link: str, milliseconds: float) -> None:
    """Delays a link one way."""
    run.proxies.by_name[link].faults.delay = milliseconds / 1000


@verb
async def heal(run: Scenario, link: str) -> None:
    """Ends a link's faults."""
    run.proxies.by_name[link].heal()


@verb
async def outage(run: Scenario) -> None:
    """Takes the table service down for everyone."""
    body = json.dumps({"outage": True}).encode()
    await run.fleet.call("table", "PUT", "/faults", body)


@verb
async def restore(run: Scenario) -> None:
    """Brings the table service back."""
    body = json.dumps({"outage": False}).encode()
    await run.fleet.call("table", "PUT", "/faults", body)


@verb
async def drain(run: Scenario, server: str) -> None:
    """Lets a server announce that it leaves."""
    await run.fleet.call(server, "PUT", "/oleander/drain")


@verb
async def leave(run: Scenario, server: str) -> None:
    """Lets the platform's list say that a server leaves."""
    await run.fleet.call(server, "PUT", "/oleander/listed")
    run.fleet.servers[server]["leaving"] = True
    await run.fleet.list_servers()


@verb
async def fault(run: Scenario, server: str, name: str, value: float) -> None:
    """Switches a stand-in server's fault."""
    body = json.dumps({name: int(value)}).encode()
    await run.fleet.call(server, "PUT", "/oleander/faults", body)


@verb
async def complete(run: Scenario, kind: str, least: float) -> None:
    """Waits for all answers and counts the complete ones."""
    told = await run.settle()
    found = sum(t.kind == kind and t.outcome == caller.COMPLETE for t in told)
    if found < least:
        raise ExpectationError(f"{kind}: {found} complete, not {least:.0f}")


@verb
async def only(run: Scenario, kind: str, *outcomes: str) -> None:
    """Waits for all answers; allows only these outcomes."""
    for answer in await run.settle():
        if answer.kind == kind and answer.outcome not in outcomes:
            raise ExpectationError(f"{kind}: {answer}")


@verb
async def forget(run: Scenario) -> None:
    """Waits for all answers and keeps them only for the checks."""
    sent = set(run.sent)
    run.told += await run.settle()
    run.sent -= sent


@target
async def leader(run: Scenario) -> str:
    """Names the leader."""
    return (await run.fleet.status())["leader"]["id"]


@target
async def owner(run: Scenario, key: str) -> str:
    """Names the server that owns a phase table."""
    response = await run.fleet.admin("GET", f"/v1/keys/phase-tables/{key}")
    return json.loads(response.body)["owner"]


@target
async def home(run: Scenario, server: str) -> str:
    """Names a server's home entry."""
    status = await run.fleet.status()
    return next(s["home"] for s in status["servers"] if s["id"] == server)


@condition
async def successor(run: Scenario) -> bool:
    """A leader of a later epoch leads."""
    status = await run.fleet.status()
    return bool(status) and status["leader"]["epoch"] > run.epoch


@condition
async def leading(run: Scenario) -> bool:
    """Some leader leads."""
    return bool(await run.fleet.status())


@condition
async def holding(run: Scenario) -> bool:
    """The leader holds without the table."""
    status = await run.fleet.status()
    return bool(status) and status["leader"]["mode"] == "hold"


@condition
async def served(run: Scenario, *keys: str) -> bool:
    """Lookups of all keys are answered whole."""
    for key in keys:
        kind = caller.Kind(
            customer="guild",
            name="phase-tables",
            method="GET",
            path=f"/phase-tables/{key}",
        )
        entry = run.rng.choice(run.fleet.named("entry-"))
        answer = await run.callers.send(kind, entry=entry, timeout=2.0)
        run.told.append(answer)
        if answer.outcome != caller.COMPLETE:
            return False
    return True


@condition
async def placed(run: Scenario) -> bool:
    """Every partition has an owner that is up."""
    return await run.fleet.placed()


@condition
async def ready(run: Scenario, name: str) -> bool:
    """A node says that it is ready."""
    return await run.fleet.is_ready(name)


@condition
async def withdrawn(run: Scenario, name: str) -> bool:
    """A node says that it is not ready."""
    return not await run.fleet.is_ready(name)


@condition
async def gone(run: Scenario, name: str) -> bool:
    """A process has ended."""
    return run.fleet.processes[name].handle.returncode is not None


@condition
async def empty(run: Scenario, name: str) -> bool:
    """A server owns no partition."""
    status = await run.fleet.status()
    rows = status.get("servers", [])
    return any(s["id"] == name and not s["partitions"] for s in rows)


@condition
async def everywhere(run: Scenario) -> bool:
    """Every live entry has the accepted contracts in force."""
    status = await run.fleet.status()
    if not status:
        return False
    wanted = status["contracts"]["revision"]
    return all(e["contracts_revision"] == wanted for e in status["entries"])


@condition
async def entries(run: Scenario, count: float) -> bool:
    """The leader counts so many entries as live."""
    status = await run.fleet.status()
    return bool(status) and len(status["entries"]) == int(count)


def contract(rate: float) -> str:
    """Returns the example contract with a rate of lookups."""
    source = CONTRACT.read_text()
    return source.replace(
        "rate_per_second = 2000.0", f"rate_per_second = {rate:.1f}"
    )
