"""Conditions of the scenario language, and calls that return process names.

A function's name is its word in the scenario files.
"""

import json

from standins import caller
from standins import record
from tests import scenario

LOOKUP_TIMEOUT_SECONDS = 2.0


@scenario.target
async def leader(run: scenario.Scenario) -> str:
    """Returns the leader."""
    return (await run.fleet.status())["leader"]["id"]


@scenario.target
async def owner(run: scenario.Scenario, key: str) -> str:
    """Returns the server that owns a phase table."""
    response = await run.fleet.admin("GET", f"/v1/keys/phase-tables/{key}")
    return json.loads(response.body)["owner"]


@scenario.target
async def home(run: scenario.Scenario, server: str) -> str:
    """Returns the entry that coordinates a server."""
    status = await run.fleet.status()
    return next(s["home"] for s in status["servers"] if s["id"] == server)


@scenario.condition
async def successor(run: scenario.Scenario) -> bool:
    """Checks whether a leader of a later epoch is active."""
    status = await run.fleet.status()
    return bool(status) and status["leader"]["epoch"] > run.remembered_epoch


@scenario.condition
async def leading(run: scenario.Scenario) -> bool:
    """Checks whether any leader is active."""
    return bool(await run.fleet.status())


@scenario.condition
async def holding(run: scenario.Scenario) -> bool:
    """Checks whether the leader extends its lease without the table."""
    status = await run.fleet.status()
    return bool(status) and status["leader"]["mode"] == "hold"


@scenario.condition
async def served(run: scenario.Scenario, *keys: str) -> bool:
    """Checks whether lookups of all keys are answered in full."""
    for key in keys:
        kind = caller.Kind(
            customer="guild",
            name="phase-tables",
            method="GET",
            path=f"/phase-tables/{key}",
        )
        entry = run.rng.choice(run.routable_entries())
        answer = await run.callers.send(
            kind, entry=entry, timeout=LOOKUP_TIMEOUT_SECONDS
        )
        run.answers.append(answer)
        if answer.outcome != caller.COMPLETE:
            return False
    return True


@scenario.condition
async def placed(run: scenario.Scenario) -> bool:
    """Checks whether every partition has an owner that is up."""
    return await run.fleet.placed()


@scenario.condition
async def ready(run: scenario.Scenario, name: str) -> bool:
    """Checks whether an entry or placer reports that it is ready."""
    return await run.fleet.is_ready(name)


@scenario.condition
async def withdrawn(run: scenario.Scenario, name: str) -> bool:
    """Checks whether an entry or placer reports that it is not ready."""
    return not await run.fleet.is_ready(name)


@scenario.condition
async def gone(run: scenario.Scenario, name: str) -> bool:
    """Checks whether a process has exited."""
    return run.fleet.processes[name].handle.returncode is not None


@scenario.condition
async def empty(run: scenario.Scenario, name: str) -> bool:
    """Checks whether a server owns no partition."""
    status = await run.fleet.status()
    rows = status.get("servers", [])
    return any(s["id"] == name and not s["partitions"] for s in rows)


@scenario.condition
async def everywhere(run: scenario.Scenario) -> bool:
    """Checks whether every live entry has applied the accepted contracts."""
    status = await run.fleet.status()
    if not status:
        return False
    revision = status["contracts"]["revision"]
    return all(e["contracts_revision"] == revision for e in status["entries"])


@scenario.condition
async def entries(run: scenario.Scenario, count: float) -> bool:
    """Checks whether the leader counts this number of live entries."""
    status = await run.fleet.status()
    return bool(status) and len(status["entries"]) == int(count)


@scenario.condition
async def cancelled(run: scenario.Scenario, pool: str) -> bool:
    """Checks whether all work that reached a pool's servers was cancelled.

    Work must have reached at least one of them.
    """
    records = record.read(run.fleet.folder.name)
    received_total = 0
    for server, item in run.fleet.servers.items():
        if item["pool"] != pool:
            continue
        lines = records[server]
        received = sum(line["kind"] == "received" for line in lines)
        response = await run.fleet.call(server, "GET", "/oleander/busy")
        if json.loads(response.body)["cancelled"] != received:
            return False
        received_total += received
    return received_total > 0
