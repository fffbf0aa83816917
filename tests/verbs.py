"""Verbs of the scenario language that change something."""

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
    """Adds a pool; each of its servers is a process of its own."""
    words = list(options)
    service = words[words.index("service") + 1] if "service" in words else 2
    run.pools.append(
        fleet.Pool(
            name=name,
            count=int(count),
            keyed="keyed" in words,
            checks_sender="unchecked" not in words,
            separate="apart" in words,
            service_ms=float(service),
        )
    )


@scenario.verb
async def proxied(run: scenario.Scenario, *prefixes: str) -> None:
    """Puts proxies on the links whose names start with a prefix."""
    run.proxied = prefixes


@scenario.verb
async def begin(run: scenario.Scenario, entries: float, placers: float) -> None:
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
    await run.fleet.wait_for(
        run.fleet.entries_ready, "ready", scenario.SETUP_SECONDS
    )
    await run.fleet.wait_for(run.fleet.placed, "placed", scenario.SETUP_SECONDS)
    await remember(run)


@scenario.verb
async def apply(run: scenario.Scenario, rate: float) -> None:
    """Applies the example contract with another rate of lookups."""
    response = await run.fleet.apply(contract(rate), run.version)
    if response.status == 200:
        run.version = json.loads(response.body)["version"]
        return
    raise scenario.ExpectationError(f"apply: {response.status} {response.body}")


@scenario.verb
async def refused(run: scenario.Scenario, code: float, rate: float) -> None:
    """Applies a contract that must be refused with a code."""
    response = await run.fleet.admin(
        "PUT", "/v1/contracts/guild", contract(rate).encode(), run.version
    )
    found = json.loads(response.body).get("code")
    if found != int(code):
        raise scenario.ExpectationError(f"refused: {found}, not {int(code)}")


@scenario.verb
async def race(run: scenario.Scenario, one: float, other: float) -> None:
    """Two operators apply at once; exactly one must win."""
    path = "/v1/contracts/guild"
    calls = [
        run.fleet.admin("PUT", path, contract(rate).encode(), run.version)
        for rate in (one, other)
    ]
    answers = await asyncio.gather(*calls)
    statuses = sorted(answer.status for answer in answers)
    if statuses != [200, 409]:
        raise scenario.ExpectationError(f"race: statuses {statuses}")
    lost = next(a for a in answers if a.status == 409)
    details = json.loads(lost.body)["details"]
    if not any("rate_per_second" in detail for detail in details):
        raise scenario.ExpectationError(f"race: the loser sees only {details}")
    run.version += 1


@scenario.verb
async def load(run: scenario.Scenario, kind: str, rate: float) -> None:
    """Starts a steady load."""
    work = run.offer(scenario.KINDS[kind], rate)
    run.loads[kind] = asyncio.create_task(work)


@scenario.verb
async def unload(run: scenario.Scenario, kind: str) -> None:
    """Ends a steady load."""
    run.loads.pop(kind).cancel()


@scenario.verb
async def burst(run: scenario.Scenario, kind: str, count: float) -> None:
    """Sends many requests at once."""
    for _ in range(int(count)):
        run.send(scenario.KINDS[kind])


@scenario.verb
async def resubmit(run: scenario.Scenario) -> None:
    """Sends each order without a plain answer again, elsewhere and twice."""
    for answer in await run.settle():
        kind = scenario.KINDS[answer.kind]
        if not kind.idempotent or answer.outcome == caller.COMPLETE:
            continue
        others = [n for n in run.fleet.named("entry-") if n != answer.entry]
        for entry in others[:2]:
            run.send(kind, entry=entry, nonce=answer.nonce)
    await run.settle()


@scenario.verb
async def pause(run: scenario.Scenario, seconds: float) -> None:
    """Lets the load run; nothing is expected of the time itself."""
    await asyncio.sleep(seconds)


@scenario.verb
async def let(run: scenario.Scenario, name: str, value: str) -> None:
    """Names a process for later statements."""
    run.names[name] = value


@scenario.verb
async def remember(run: scenario.Scenario) -> None:
    """Remembers the epoch, for `successor`."""
    status = await run.fleet.status()
    run.epoch = status["leader"]["epoch"] if status else run.epoch


@scenario.verb
async def same(run: scenario.Scenario, one: str, other: str) -> None:
    """Two names must stand for the same process."""
    if one != other:
        raise scenario.ExpectationError(f"{one!r} is not {other!r}")


@scenario.verb
async def restart(run: scenario.Scenario, name: str) -> None:
    """Replaces an ended node by a new process of the same name."""
    if name.startswith("placer-"):
        await run.fleet.start_placer(name)
        return
    run.told_to_stop.pop(name, None)
    await run.fleet.start_entry(name)
    address = run.fleet.real[name]
    run.callers.add(name, address)


@scenario.verb
async def cut(run: scenario.Scenario, link: str) -> None:
    """Resets a link and refuses new connections."""
    run.proxies.by_name[link].disconnect()


@scenario.verb
async def hole(run: scenario.Scenario, link: str) -> None:
    """Makes a link silent in both directions."""
    faults = run.proxies.by_name[link].faults
    faults.blackhole_forward = faults.blackhole_back = True


@scenario.verb
async def mute(run: scenario.Scenario, link: str) -> None:
    """Makes a link silent on the way back only."""
    run.proxies.by_name[link].faults.blackhole_back = True


@scenario.verb
async def silence(run: scenario.Scenario, link: str) -> None:
    """Makes a link's open connections silent while new ones work."""
    run.proxies.by_name[link].blackhole_connections()


@scenario.verb
async def drop(run: scenario.Scenario, link: str, count: float) -> None:
    """Swallows replies after their requests were delivered."""
    run.proxies.by_name[link].faults.drop_replies = int(count)


@scenario.verb
async def truncate(run: scenario.Scenario, link: str, count: float) -> None:
    """Cuts replies short."""
    run.proxies.by_name[link].faults.truncate = int(count)


@scenario.verb
async def delay(run: scenario.Scenario, link: str, milliseconds: float) -> None:
    """Delays a link one way."""
    run.proxies.by_name[link].faults.delay_seconds = milliseconds / 1000


@scenario.verb
async def heal(run: scenario.Scenario, link: str) -> None:
    """Ends a link's faults."""
    run.proxies.by_name[link].heal()


@scenario.verb
async def outage(run: scenario.Scenario) -> None:
    """Takes the table service down for everyone."""
    body = json.dumps({"outage": True}).encode()
    await run.fleet.call("table", "PUT", "/faults", body)


@scenario.verb
async def lose(run: scenario.Scenario, prefix: str, count: float) -> None:
    """Lets table writes take effect but lose their replies."""
    body = {"drop_replies": int(count), "drop_prefix": prefix}
    await run.fleet.call("table", "PUT", "/faults", json.dumps(body).encode())


@scenario.verb
async def restore(run: scenario.Scenario) -> None:
    """Brings the table service back."""
    body = json.dumps({"outage": False}).encode()
    await run.fleet.call("table", "PUT", "/faults", body)


@scenario.verb
async def drain(run: scenario.Scenario, server: str) -> None:
    """Lets a server announce that it leaves."""
    await run.fleet.call(server, "PUT", "/oleander/drain")


@scenario.verb
async def leave(run: scenario.Scenario, server: str) -> None:
    """Lets the platform's list say that a server leaves."""
    await run.fleet.call(server, "PUT", "/oleander/listed")
    run.fleet.servers[server]["leaving"] = True
    await run.fleet.publish_servers()


@scenario.verb
async def fault(
    run: scenario.Scenario, server: str, name: str, value: float
) -> None:
    """Switches a stand-in server's fault."""
    body = json.dumps({name: int(value)}).encode()
    await run.fleet.call(server, "PUT", "/oleander/faults", body)


@scenario.verb
async def complete(run: scenario.Scenario, kind: str, least: float) -> None:
    """Waits for all answers and counts the complete ones."""
    told = await run.settle()
    found = sum(t.kind == kind and t.outcome == caller.COMPLETE for t in told)
    if found < least:
        raise scenario.ExpectationError(
            f"{kind}: {found} complete, not {least:.0f}"
        )


@scenario.verb
async def only(run: scenario.Scenario, kind: str, *outcomes: str) -> None:
    """Waits for all answers; allows only these outcomes."""
    for answer in await run.settle():
        if answer.kind == kind and answer.outcome not in outcomes:
            raise scenario.ExpectationError(f"{kind}: {answer}")


@scenario.verb
async def forget(run: scenario.Scenario) -> None:
    """Waits for all answers and keeps them only for the checks."""
    sent = set(run.sent)
    run.told += await run.settle()
    run.sent -= sent


def contract(rate: float) -> str:
    """Returns the example contract with a rate of lookups."""
    source = CONTRACT.read_text()
    return source.replace(
        "rate_per_second = 2000.0", f"rate_per_second = {rate:.1f}"
    )
