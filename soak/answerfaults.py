"""Faults by what servers say in their answers and when they answer.

Each draws its doses by the seed, for one server and one time span.
"""

import asyncio
import contextlib
import dataclasses
import signal
import time

from soak import injector
from standins import conduct
from standins import platform_system

ENTRY_STATES = ("draining", "removed", "ready")
HEARTBEAT_SECONDS = 0.5
LEAVING_SECONDS = (3.0, 7.0)  # Until the entry follows the answers.
MAX_SEED = 2**31
MIN_SHARE = 0.05
MAX_SHARE = 0.4
WHOLE_RETRY_AFTER = ("1", "2", "3")  # Seconds.
MIN_RETRY_AFTER_SECONDS = 0.7
MAX_RETRY_AFTER_SECONDS = 2.8
REFUSED_SHARE = (0.2, 1.0)
COMPANIONS = (
    "kill-router",
    "link-to-store",
    "pause-process",
    "reload-router",
    "stop-router",
    "store-fails",
    "store-freezes",
)
MAX_COMPANIONS = 2
ODD_LEAVING_SHARE = 0.3
SLOWDOWN_PERCENT = (20, 900)
MAX_BAD_LOADS = 3  # At once, beside a true one.
BAD_LOADS = (
    "",
    ",,,",
    "-1,-1,-1,-1",
    "1,2",
    "1000000,1000000,3,100",
    "3,0,0,100",
    "3,0,3,0",
    "nan,inf,1e999,nan",
    "9" * 5000,
    "\u00e9",
)


async def set_conduct(
    injection: injector.Injector, name: str, **fields: object
) -> None:
    """Sets how a server behaves; as usual without any fields."""
    seed = injection.rng.randrange(MAX_SEED)
    await injection.system.call(
        injection.system.real[name],
        "PUT",
        "/conduct",
        dataclasses.asdict(conduct.Conduct(seed=seed, **fields)),
    )


def draw_shares(
    injection: injector.Injector, *treatments: str
) -> dict[str, float]:
    """Draws the share of requests that get each treatment."""
    return {
        treatment: injection.rng.uniform(MIN_SHARE, MAX_SHARE) / len(treatments)
        for treatment in treatments
    }


def draw_retry_after(injection: injector.Injector) -> str:
    """Draws a Retry-After: whole seconds, or a fraction."""
    seconds = injection.rng.uniform(
        MIN_RETRY_AFTER_SECONDS, MAX_RETRY_AFTER_SECONDS
    )
    return injection.rng.choice([*WHOLE_RETRY_AFTER, f"{seconds:.3f}"])


def draw_oddities(injection: injector.Injector) -> dict[str, object]:
    """Draws doses of all treatments."""
    return {
        "retry_after": draw_retry_after(injection),
        "copied_share": injection.rng.uniform(MIN_SHARE, MAX_SHARE),
        "shares": draw_shares(injection, *conduct.TREATMENTS.names()),
    }


async def misbehave(
    injection: injector.Injector, kind: str, **fields: object
) -> None:
    """Makes a random server behave in some way for a random duration."""
    name = injection.pick_process("td")
    if name is None:
        return
    with injection.reserved(name):
        async with injection.span(kind, name):
            await set_conduct(injection, name, **fields)
            await asyncio.sleep(injection.duration())
            await set_conduct(injection, name)


@injector.FAULTS.register("leave-by-answers")
async def leave_by_answers(injection: injector.Injector) -> None:
    """Lets a server say that it leaves, and starts it again under its id.

    Its entry is rewritten as ready and may follow later. Other faults may come
    meanwhile. Planned maintenance, unless it answers oddly as well.
    """
    name = injection.pick_process("td")
    if name is None:
        return
    async with contextlib.AsyncExitStack() as stack:
        stack.enter_context(injection.reserved(name))
        oddities = {}
        if injection.rng.random() < ODD_LEAVING_SHARE:
            oddities = draw_oddities(injection)
            await stack.enter_async_context(injection.span("oddly", name))
        await set_conduct(injection, name, leaving=True, **oddities)
        injection.log.append(f"{time.monotonic():.2f} {name} says it leaves")
        companions = start_companions(injection)
        await keep_ready(injection, name)
        await follow(injection, name, injection.rng.choice(ENTRY_STATES))
        await injection.end_process(name, signal.SIGTERM)
        injection.checker.drained.pop(name, None)
        await injection.restart_server(name)
    await asyncio.gather(*companions)


def start_companions(injection: injector.Injector) -> list[asyncio.Task]:
    """Starts some other faults."""
    count = injection.rng.randint(0, MAX_COMPANIONS)
    return [
        asyncio.create_task(injector.FAULTS.get(companion)(injection))
        for companion in injection.rng.sample(COMPANIONS, count)
    ]


async def keep_ready(injection: injector.Injector, name: str) -> None:
    """Rewrites a server's entry as ready for some time."""
    end = time.monotonic() + injection.rng.uniform(*LEAVING_SECONDS)
    while time.monotonic() < end:
        pool = platform_system.pool_of(name)
        await injection.system.register_server(name, pool)
        await asyncio.sleep(HEARTBEAT_SECONDS)


async def follow(injection: injector.Injector, name: str, state: str) -> None:
    """Changes a leaving server's entry, and waits until it may end."""
    if state == "draining":
        pool = platform_system.pool_of(name)
        await injection.system.register_server(name, pool, state)
    elif state == "removed":
        await injection.system.unregister_server(name)
    injection.log.append(f"{time.monotonic():.2f} entry of {name}: {state}")
    if state != "ready":
        injection.checker.drained[name] = time.monotonic()
        await asyncio.sleep(injection.drain_seconds)


@injector.FAULTS.register("retry-after")
async def ask_to_wait(injection: injector.Injector) -> None:
    """Lets a server refuse requests and say for how long it wants none."""
    await misbehave(
        injection,
        "retry-after",
        retry_after=draw_retry_after(injection),
        shares={"refuse": injection.rng.uniform(*REFUSED_SHARE)},
    )


@injector.FAULTS.register("late-copies")
async def copy_late(injection: injector.Injector) -> None:
    """Lets second copies of answers come where the next answer is due."""
    await misbehave(
        injection,
        "late-copies",
        copied_share=injection.rng.uniform(MIN_SHARE, 1.0),
        shares=draw_shares(injection, "refuse"),
    )


@injector.FAULTS.register("unfounded-refusals")
async def refuse_unfounded(injection: injector.Injector) -> None:
    """Lets a server refuse without saying whether it executed a request."""
    await misbehave(
        injection,
        "unfounded-refusals",
        shares=draw_shares(injection, "unfounded"),
    )


@injector.FAULTS.register("early-answers")
async def answer_early(injection: injector.Injector) -> None:
    """Lets answers come before the body is read, on connections that last."""
    await misbehave(
        injection, "early-answers", shares=draw_shares(injection, "early")
    )


@injector.FAULTS.register("broken-answers")
async def break_answers(injection: injector.Injector) -> None:
    """Loses answers to executed requests, or cuts them short."""
    await misbehave(
        injection,
        "broken-answers",
        shares=draw_shares(injection, "lost", "cut"),
    )


@injector.FAULTS.register("late-orders")
async def execute_late(injection: injector.Injector) -> None:
    """Lets requests be executed late, some after their connection's close."""
    await misbehave(
        injection, "late-orders", shares=draw_shares(injection, "late")
    )


@injector.FAULTS.register("odd-answers")
async def answer_oddly(injection: injector.Injector) -> None:
    """Mixes all of these."""
    await misbehave(injection, "odd-answers", **draw_oddities(injection))


@injector.FAULTS.register("told-loads")
async def tell_loads(injection: injector.Injector) -> None:
    """Lets answers name loads, of which some are bad and some can't be true."""
    slowdown_percent = injection.rng.randint(*SLOWDOWN_PERCENT)
    loads = [f"{{running}},{{waiting}},{{slots}},{slowdown_percent}"]
    loads += injection.rng.sample(BAD_LOADS, MAX_BAD_LOADS)
    await misbehave(injection, "told-loads", loads=loads)


@injector.FAULTS.register("address-used-again")
async def use_addresses_again(injection: injector.Injector) -> None:
    """Kills two servers and starts each at the address of the other.

    Until the second one has started, the entries of both name one address.
    """
    async with contextlib.AsyncExitStack() as stack:
        names = []
        for _ in range(2):
            name = injection.pick_process("td")
            if name is None:
                return
            stack.enter_context(injection.reserved(name))
            names.append(name)
        for name in names:
            await stack.enter_async_context(injection.span("kill", name))
            await injection.end_process(name, signal.SIGKILL)
        injection.system.swap_links(*names)
        await asyncio.gather(*(restart_oddly(injection, n) for n in names))
        await asyncio.sleep(injection.duration())
        for name in names:
            await set_conduct(injection, name)


async def restart_oddly(injection: injector.Injector, name: str) -> None:
    """Restarts a server that sends late copies of its answers."""
    copied_share = injection.rng.uniform(MIN_SHARE, 1.0)
    await injection.restart_server(name)
    await set_conduct(injection, name, copied_share=copied_share)
