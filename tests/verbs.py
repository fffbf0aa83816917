"""Verbs of the scenario language.

A function's name is its word in the scenario files.
"""

import asyncio
import json
import pathlib
import random

from standins import caller
from standins import fleet
from tests import scenario

CONTRACT = pathlib.Path("examples/guild.toml")


@scenario.verb
async def seed(run: scenario.Scenario, number: float) -> None:
    """Sets the seed of the load."""
    run.rng = random.Random(int(number))


@scenario.verb
async def pool(
    run: scenario.Scenario, name: str, count: float, *options: str | float
) -> None:
    """Adds a pool.

    Options are the words `keyed`, `unchecked` (its servers don't check the
    sender of a lease grant), `apart` (one process per server) and `service`,
    followed by the service time in milliseconds.
    """
    words = list(options)
    service_ms = words[words.index("service") + 1] if "service" in words else 2
    run.pools.append(
        fleet.Pool(
            name=name,
            count=int(count),
            keyed="keyed" in words,
            checks_sender="unchecked" not in words,
            separate="apart" in words,
            service_ms=float(service_ms),
        )
    )


@scenario.verb
async def proxied(run: scenario.Scenario, *prefixes: str) -> None:
    """Puts proxies on the links whose names start with a prefix."""
    run.proxied_prefixes = prefixes


@scenario.verb
async def begin(run: scenario.Scenario, entries: float, placers: float) -> None:
    """Starts the fleet and applies the example contract."""
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
    await run.fleet.wait_for(
        run.fleet.entries_ready, "entries to be ready", scenario.SETUP_SECONDS
    )
    await run.fleet.wait_for(
        run.fleet.placed, "partitions to be placed", scenario.SETUP_SECONDS
    )
    await remember(run)


@scenario.verb
async def apply(run: scenario.Scenario, rate: float) -> None:
    """Applies the example contract with another lookup rate."""
    response = await run.fleet.apply(contract(rate), run.contract_version)
    if response.status == 200:
        run.contract_version = json.loads(response.body)["version"]
        return
    raise scenario.ExpectationError(f"apply: {response.status} {response.body}")


@scenario.verb
async def refused(run: scenario.Scenario, code: float, rate: float) -> None:
    """Applies a contract that must be rejected with the given code."""
    response = await run.fleet.admin(
        "PUT",
        "/v1/contracts/guild",
        contract(rate).encode(),
        run.contract_version,
    )
    actual = json.loads(response.body).get("code")
    if actual != int(code):
        raise scenario.ExpectationError(
            f"refused: code {actual}, expected {int(code)}"
        )


@scenario.verb
async def race(run: scenario.Scenario, one: float, other: float) -> None:
    """Applies two contracts at once; exactly one must be accepted.

    The rejected operator must be shown which field the other has changed.
    """
    path = "/v1/contracts/guild"
    calls = [
        run.fleet.admin(
            "PUT", path, contract(rate).encode(), run.contract_version
        )
        for rate in (one, other)
    ]
    answers = await asyncio.gather(*calls)
    statuses = sorted(answer.status for answer in answers)
    if statuses != [200, 409]:
        raise scenario.ExpectationError(f"race: statuses {statuses}")
    lost = next(a for a in answers if a.status == 409)
    details = json.loads(lost.body)["details"]
    if not any("rate_per_second" in detail for detail in details):
        raise scenario.ExpectationError(
            f"race: the rejected operator sees only {details}"
        )
    run.contract_version += 1


@scenario.verb
async def load(run: scenario.Scenario, kind: str, rate: float) -> None:
    """Starts a steady load."""
    sender = run.send_steadily(scenario.KINDS_BY_NAME[kind], rate)
    run.load_tasks[kind] = asyncio.create_task(sender)


@scenario.verb
async def unload(run: scenario.Scenario, kind: str) -> None:
    """Stops a steady load."""
    run.load_tasks.pop(kind).cancel()


@scenario.verb
async def burst(run: scenario.Scenario, kind: str, count: float) -> None:
    """Sends many requests at once."""
    for _ in range(int(count)):
        run.send(scenario.KINDS_BY_NAME[kind])


@scenario.verb
async def resubmit(run: scenario.Scenario) -> None:
    """Resends each incomplete idempotent request to two other entries."""
    for answer in await run.gather_answers():
        kind = scenario.KINDS_BY_NAME[answer.kind]
        if not kind.idempotent or answer.outcome == caller.COMPLETE:
            continue
        others = [n for n in run.fleet.named("entry-") if n != answer.entry]
        for entry in others[:2]:
            run.send(kind, entry=entry, nonce=answer.nonce)
    await run.gather_answers()


@scenario.verb
async def pause(run: scenario.Scenario, seconds: float) -> None:
    """Waits while the load runs."""
    await asyncio.sleep(seconds)


@scenario.verb
async def let(run: scenario.Scenario, name: str, value: str) -> None:
    """Assigns a process name to a variable for later statements."""
    run.variables[name] = value


@scenario.verb
async def remember(run: scenario.Scenario) -> None:
    """Stores the leader's epoch for the condition `successor`."""
    status = await run.fleet.status()
    run.remembered_epoch = (
        status["leader"]["epoch"] if status else run.remembered_epoch
    )


@scenario.verb
async def same(run: scenario.Scenario, one: str, other: str) -> None:
    """Checks that two names refer to the same process."""
    if one != other:
        raise scenario.ExpectationError(f"{one!r} is not {other!r}")


@scenario.verb
async def restart(run: scenario.Scenario, name: str) -> None:
    """Replaces an exited entry or placer with a new process of its name."""
    if name.startswith("placer-"):
        await run.fleet.start_placer(name)
        return
    run.stop_requested_at.pop(name, None)
    await run.fleet.start_entry(name)
    address = run.fleet.real[name]
    run.callers.add(name, address)


@scenario.verb
async def cut(run: scenario.Scenario, link: str) -> None:
    """Resets a link's connections and refuses new ones."""
    run.proxies.by_name[link].disconnect()


@scenario.verb
async def hole(run: scenario.Scenario, link: str) -> None:
    """Discards a link's bytes in both directions."""
    faults = run.proxies.by_name[link].faults
    faults.blackhole_forward = faults.blackhole_back = True


@scenario.verb
async def mute(run: scenario.Scenario, link: str) -> None:
    """Discards a link's replies; requests still pass."""
    run.proxies.by_name[link].faults.blackhole_back = True


@scenario.verb
async def silence(run: scenario.Scenario, link: str) -> None:
    """Discards the bytes of a link's open connections; new ones work."""
    run.proxies.by_name[link].blackhole_connections()


@scenario.verb
async def drop(run: scenario.Scenario, link: str, count: float) -> None:
    """Drops replies after their requests were delivered."""
    run.proxies.by_name[link].faults.drop_replies = int(count)


@scenario.verb
async def truncate(run: scenario.Scenario, link: str, count: float) -> None:
    """Truncates replies."""
    run.proxies.by_name[link].faults.truncate = int(count)


@scenario.verb
async def delay(run: scenario.Scenario, link: str, milliseconds: float) -> None:
    """Delays a link by a one-way latency."""
    run.proxies.by_name[link].faults.delay_seconds = milliseconds / 1000


@scenario.verb
async def heal(run: scenario.Scenario, link: str) -> None:
    """Clears a link's faults."""
    run.proxies.by_name[link].heal()


@scenario.verb
async def outage(run: scenario.Scenario) -> None:
    """Makes the table unavailable to all processes."""
    body = json.dumps({"outage": True}).encode()
    await run.fleet.call("table", "PUT", "/faults", body)


@scenario.verb
async def lose(run: scenario.Scenario, prefix: str, count: float) -> None:
    """Drops the replies of table writes that have taken effect."""
    body = {"drop_replies": int(count), "drop_prefix": prefix}
    await run.fleet.call("table", "PUT", "/faults", json.dumps(body).encode())


@scenario.verb
async def restore(run: scenario.Scenario) -> None:
    """Makes the table available again."""
    body = json.dumps({"outage": False}).encode()
    await run.fleet.call("table", "PUT", "/faults", body)


@scenario.verb
async def drain(run: scenario.Scenario, server: str) -> None:
    """Makes a server announce that it is leaving."""
    await run.fleet.call(server, "PUT", "/oleander/drain")


@scenario.verb
async def leave(run: scenario.Scenario, server: str) -> None:
    """Marks a server as leaving in the platform's list."""
    await run.fleet.call(server, "PUT", "/oleander/listed")
    run.fleet.servers[server]["leaving"] = True
    await run.fleet.publish_servers()


@scenario.verb
async def fault(
    run: scenario.Scenario, server: str, name: str, value: float
) -> None:
    """Sets a fault of a stand-in server."""
    body = json.dumps({name: int(value)}).encode()
    await run.fleet.call(server, "PUT", "/oleander/faults", body)


@scenario.verb
async def complete(run: scenario.Scenario, kind: str, least: float) -> None:
    """Waits for all answers and checks how many are complete."""
    answers = await run.gather_answers()
    actual = sum(
        a.kind == kind and a.outcome == caller.COMPLETE for a in answers
    )
    if actual < least:
        raise scenario.ExpectationError(
            f"{kind}: {actual} complete, expected at least {least:.0f}"
        )


@scenario.verb
async def only(run: scenario.Scenario, kind: str, *outcomes: str) -> None:
    """Waits for all answers and checks that they have these outcomes only."""
    for answer in await run.gather_answers():
        if answer.kind == kind and answer.outcome not in outcomes:
            raise scenario.ExpectationError(f"{kind}: {answer}")


@scenario.verb
async def forget(run: scenario.Scenario) -> None:
    """Waits for all answers and hides them from later statements.

    The checks at the end of the run still see them.
    """
    sent = set(run.request_tasks)
    run.answers += await run.gather_answers()
    run.request_tasks -= sent


def contract(rate: float) -> str:
    """Returns the example contract with the given lookup rate."""
    source = CONTRACT.read_text()
    return source.replace(
        "rate_per_second = 2000.0", f"rate_per_second = {rate:.1f}"
    )
