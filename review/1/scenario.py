"""A killed router's slot request is granted to a request of its successor."""

import asyncio
import pathlib
import signal
import sys

from review.lab import deployment
from review.lab import instance

SLOTS = 2
QUEUED = 3
HOLD_MS = 2500  # Work of the requests that hold the slots.
ORDER_MS = 2500


async def prepare(lab: deployment.Deployment) -> tuple[str, str]:
    """Starts the deployment; returns the services of reports and orders."""
    reports, orders = (
        lab.service_for("r2", "reports"),
        lab.service_for("r2", "orders"),
    )
    rules = [
        deployment.rule(
            "reports",
            "/report/",
            "safe",
            [reports],
            target_ms=4000,
            timeout_ms=6000,
            priority=2,
        ),
        deployment.rule(
            "orders",
            "/order/",
            "unsafe",
            [orders],
            target_ms=4000,
            timeout_ms=6000,
            priority=1,
        ),
    ]
    services = {reports: False, orders: False}
    await lab.store.server.start()
    config = deployment.configuration(7, rules, services)
    lab.store.put("op", "config", config)
    for service in services:
        await lab.add_instance(
            instance.Instance(id=f"i-{service}", service=service, slots=SLOTS)
        )
    for router in ("r2", "r1"):  # The first one leads; the other is killed.
        await lab.start_router(router)
        await lab.wait_ready(router)
    await asyncio.sleep(2.0)  # Until both routers are members.
    return reports, orders


def send(
    lab: deployment.Deployment, name: str, router: str, target: str, work: int
) -> asyncio.Task:
    """Sends a request in the background."""
    method = "POST" if target == "/order/" else "GET"
    return asyncio.create_task(
        lab.send(
            name,
            router,
            f"{target}x?work_ms={work}",
            method=method,
            deadline_ms=12_000,
            body=b"order" if method == "POST" else b"",
        )
    )


async def scenario(record: deployment.Record, disturb: bool) -> list[str]:
    """Kills a router whose reports wait; orders follow once it is back."""
    lab = deployment.Deployment(record=record)
    try:
        reports, orders = await prepare(lab)
        tasks = []
        for number in range(SLOTS):
            tasks.append(
                send(lab, f"hold-r{number}", "r2", "/report/", HOLD_MS)
            )
        await asyncio.sleep(0.1)
        for number in range(QUEUED):
            tasks.append(send(lab, f"report-{number}", "r1", "/report/", 50))
        await asyncio.sleep(0.3)
        if disturb:
            lab.signal("r1", signal.SIGKILL)
            await lab.restart_router("r1")
        await lab.wait_ready("r1")
        for number in range(SLOTS):
            tasks.append(
                send(lab, f"hold-o{number}", "r2", "/order/", ORDER_MS)
            )
        await asyncio.sleep(0.05)
        for number in range(QUEUED):
            tasks.append(send(lab, f"order-{number}", "r1", "/order/", 50))
        await asyncio.gather(*tasks)
        return misplaced(record, reports, orders)
    finally:
        await lab.stop()


def misplaced(
    record: deployment.Record, reports: str, orders: str
) -> list[str]:
    """Returns the requests that ran at a service without a route to it."""
    allowed = {"/report/": reports, "/order/": orders}
    breaches = []
    for run in record.find("run"):
        prefix = run["target"][: run["target"].index("/", 1) + 1]
        if run["service"] != allowed[prefix]:
            breaches.append(
                f"ROUTE: request {run['id']} to {prefix} ran at service "
                f"{run['service']}; its only route goes to {allowed[prefix]}"
            )
    return breaches


if __name__ == "__main__":
    folder = str(pathlib.Path(__file__).parent)
    sys.exit(deployment.run(scenario, folder))
