"""Faults that are injected from outside, drawn from a seed.

Each is registered with a weight; it runs as a task of its own, so that
faults come in series and overlap.
"""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import pathlib
import random
import re
import signal
import time

from oleanderhoist.policy import registry
from soak import promises
from standins import platform_system
from standins import proxy

SHORTEST_SECONDS = 0.2
LONGEST_SECONDS = 5.0
RESTART_SECONDS = 0.3
LOOK_SECONDS = 0.02
STOP_SECONDS = 7.0  # A graceful stop that lasts longer is broken.
SERVER_STOP_SECONDS = 2.5  # A server works on after it says that it leaves.

Fault = Callable[["Injector"], Awaitable[None]]
FAULTS: registry.Registry[Fault] = registry.Registry(kind="fault")


class Injector:
    """Injects faults into a system.

    Args:
        system: The system.
        found: Told of each fault, to excuse bounds in time.
        seed: Seed of all draws.
    """

    def __init__(
        self,
        *,
        system: platform_system.System,
        found: promises.Promises,
        seed: int,
    ):
        self.system = system
        self.found = found
        self.rng = random.Random(seed)
        self.log: list[str] = []
        self.version = 7
        self.restarting: set[str] = set()

    def length(self) -> float:
        """Draws how long a fault lasts, in seconds."""
        return self.rng.uniform(SHORTEST_SECONDS, LONGEST_SECONDS)

    @contextlib.asynccontextmanager
    async def span(self, name: str) -> AsyncIterator[None]:
        """Notes a fault for the time that it lasts."""
        begin = time.monotonic()
        index = len(self.found.faults)
        self.found.faults.append((begin, float("inf"), name))
        self.log.append(f"{begin:.2f} {name}")
        try:
            yield
        finally:
            end = time.monotonic()
            self.found.faults[index] = (begin, end, name)
            self.log.append(f"{end:.2f} end of {name}")

    def draw(self, prefixes: str) -> str | None:
        """Draws a process that runs and is not being restarted."""
        names = [
            name
            for name, process in self.system.processes.items()
            if name[0] in prefixes
            and name != "store"
            and process.returncode is None
            and name not in self.restarting
        ]
        return self.rng.choice(sorted(names)) if names else None

    def link(self, prefix: str) -> tuple[str, proxy.Proxy]:
        """Draws a link to the store or to a server."""
        links = self.system.proxies.by_name
        names = [n for n in links if n.startswith("store-") == bool(prefix)]
        name = self.rng.choice(sorted(names))
        return name, links[name]

    async def restart_router(self, name: str) -> None:
        """Starts a router that has ended."""
        await asyncio.sleep(RESTART_SECONDS)
        await self.system.start_router(int(name[1:]))
        await until_reloadable(self.system.processes[name])

    async def restart_server(self, name: str) -> None:
        """Starts a server that has ended; it has forgotten everything."""
        await asyncio.sleep(self.rng.uniform(RESTART_SECONDS, 2.0))
        await self.system.start_server(
            name, platform_system.pool_of(name), name[0] == "t"
        )

    async def end(self, name: str, number: int) -> None:
        """Ends a process and waits for its end."""
        self.system.signal(name, number)
        await self.system.processes[name].wait()
        self.found.end_server(name, time.monotonic())

    async def run(self, seconds: float, pause: float, names: list[str]) -> None:
        """Injects faults until the time is over, then waits for them."""
        end = time.monotonic() + seconds
        running: set[asyncio.Task] = set()
        while time.monotonic() < end:
            fault = FAULTS.get(self.rng.choice(names))
            running.add(asyncio.create_task(fault(self)))
            await asyncio.sleep(self.rng.expovariate(1 / pause))
        for task in running:
            await task


async def until_reloadable(process: asyncio.subprocess.Process) -> None:
    """Waits until a started process survives a reload signal.

    An interpreter that has not yet run a line of the program is ended by it,
    and the users' platform would start it again.
    """
    while process.returncode is None:
        status = await asyncio.to_thread(
            pathlib.Path(f"/proc/{process.pid}/status").read_text
        )
        masks = re.findall(r"^Sig(?:Ign|Cgt):\s+([0-9a-f]+)", status, re.M)
        if any(int(mask, 16) >> (signal.SIGHUP - 1) & 1 for mask in masks):
            return
        await asyncio.sleep(LOOK_SECONDS)


@FAULTS.register("kill-router")
async def kill_router(injector: Injector) -> None:
    """Kills a router and starts it again."""
    await kill(injector, "r", injector.restart_router)


@FAULTS.register("kill-server")
async def kill_server(injector: Injector) -> None:
    """Kills a server; it comes back with nothing."""
    await kill(injector, "td", injector.restart_server)


async def kill(
    injector: Injector, prefixes: str, restart: Callable[[str], Awaitable[None]]
) -> None:
    """Kills a drawn process and starts it again."""
    name = injector.draw(prefixes)
    if name is None:
        return
    injector.restarting.add(name)
    async with injector.span(f"kill {name}"):
        await injector.end(name, signal.SIGKILL)
        await restart(name)
    injector.restarting.discard(name)


@FAULTS.register("stop-router")
async def stop_router(injector: Injector) -> None:
    """Stops a router gracefully and starts it again; planned work."""
    name = injector.draw("r")
    if name is None:
        return
    injector.restarting.add(name)
    began = time.monotonic()
    injector.found.stops.append((name, began))
    injector.log.append(f"{began:.2f} stop {name}")
    await injector.end(name, signal.SIGTERM)
    took = time.monotonic() - began
    if took > STOP_SECONDS:
        injector.found.broken.append(f"stop: {name} took {took:.1f} s")
    await injector.restart_router(name)
    injector.restarting.discard(name)


@FAULTS.register("pause-process")
async def pause_process(injector: Injector) -> None:
    """Freezes a router or a server for a while."""
    name = injector.draw("rtd")
    if name is None:
        return
    async with injector.span(f"pause {name}"):
        injector.system.signal(name, signal.SIGSTOP)
        await asyncio.sleep(injector.length())
        injector.system.signal(name, signal.SIGCONT)


@FAULTS.register("reload-router")
async def reload_router(injector: Injector) -> None:
    """Tells a router to read its settings again; planned work."""
    name = injector.draw("r")
    if name is not None:
        injector.log.append(f"{time.monotonic():.2f} reload {name}")
        injector.system.signal(name, signal.SIGHUP)


@FAULTS.register("drain-server")
async def drain_server(injector: Injector) -> None:
    """Lets a server leave as announced, and come back; planned work."""
    name = injector.draw("td")
    if name is None:
        return
    injector.restarting.add(name)
    pool = platform_system.pool_of(name)
    await injector.system.list_server(name, pool, "draining")
    injector.found.drained[name] = time.monotonic()
    injector.log.append(f"{time.monotonic():.2f} drain {name}")
    await asyncio.sleep(SERVER_STOP_SECONDS)
    await injector.system.seed("servers", name, None)
    await injector.end(name, signal.SIGTERM)
    injector.found.drained.pop(name)
    await injector.restart_server(name)
    injector.restarting.discard(name)


@FAULTS.register("change-contracts")
async def change_contracts(injector: Injector) -> None:
    """Adds a route; versions rise unevenly; planned work."""
    injector.version += injector.rng.randint(1, 5)
    version = injector.version
    await injector.system.seed(
        "op", "config", platform_system.with_probe(version)
    )
    injector.found.changed[version] = time.monotonic()
    injector.log.append(f"{time.monotonic():.2f} contracts {version}")


@FAULTS.register("store-fails")
async def store_fails(injector: Injector) -> None:
    """Makes the store refuse, lose answers or drop its history."""
    fault = injector.rng.choice(
        [{"down": True}, {"lose": 5}, {"compacted": True}]
    )
    async with injector.span(f"store {fault}"):
        await injector.system.call(
            injector.system.store, "PUT", "/faults", fault
        )
        await asyncio.sleep(injector.length())
        await injector.system.call(
            injector.system.store,
            "PUT",
            "/faults",
            {"down": False, "lose": 0, "compacted": False},
        )


@FAULTS.register("store-freezes")
async def store_freezes(injector: Injector) -> None:
    """Freezes the store's process."""
    async with injector.span("pause store"):
        injector.system.signal("store", signal.SIGSTOP)
        await asyncio.sleep(injector.length())
        injector.system.signal("store", signal.SIGCONT)


@FAULTS.register("link-to-store")
async def link_to_store(injector: Injector) -> None:
    """Harms one router's link to the store."""
    await harm(injector, "store-")


@FAULTS.register("link-to-server")
async def link_to_server(injector: Injector) -> None:
    """Harms the link to one server."""
    await harm(injector, "")


async def harm(injector: Injector, prefix: str) -> None:
    """Delays, resets, cuts one way or silences a link."""
    name, link = injector.link(prefix)
    kind = injector.rng.choice(["delay", "reset", "one-way", "back", "silent"])
    async with injector.span(f"{kind} {name}"):
        match kind:
            case "delay":
                link.faults.delay = injector.rng.uniform(0.05, 0.8)
            case "reset":
                link.cut()
            case "one-way":
                link.faults.hole_forward = True
            case "back":
                link.faults.hole_back = True
            case "silent":
                link.silence()
        await asyncio.sleep(injector.length())
        link.heal()
