"""The administration API, served by every placer."""

from collections.abc import Awaitable
from collections.abc import Callable
import hmac
import re
import typing

from oleanderhoist import codes
from oleanderhoist import contract
from oleanderhoist import deadline
from oleanderhoist.clients import contractversions
from oleanderhoist.clients import table
from oleanderhoist.http import messages
from oleanderhoist.placer import contractregistry
from oleanderhoist.placer import election
from oleanderhoist.placer import leader
from oleanderhoist.policy import topology

RETRY_AFTER_SECONDS = 1

Route = Callable[..., Awaitable[messages.Response]]

ROUTES: list[tuple[str, re.Pattern, bool, str]] = []


def route(method: str, pattern: str, *, needs_leader: bool):
    """Registers a route.

    Args:
        method: HTTP method.
        pattern: Regular expression of the whole path; its named groups become
            arguments of the handler.
        needs_leader: Whether only the leader serves the route.
    """

    def register(function: Route) -> Route:
        ROUTES.append(
            (
                method,
                re.compile(pattern + "$"),
                needs_leader,
                function.__name__,
            )
        )
        return function

    return register


class AdminApi:
    """Serves the administration API to operators.

    Args:
        election: Leader election of this placer.
        table: The table client.
        admin_sha256: SHA-256 of the operators' token, in hex.
        current_leader: Returns the running leader of this placer, or
            None.

    Attributes:
        deadlines: Deadlines of a stop.
    """

    def __init__(
        self,
        *,
        election: election.Election,
        table: table.TableClient,
        admin_sha256: str,
        current_leader: Callable[[], leader.Leader | None],
    ):
        self.election = election
        self.table = table
        self.admin_sha256 = admin_sha256
        self.current_leader = current_leader
        self.deadlines = contractregistry.Deadlines()

    async def handle(self, request: messages.Request) -> messages.Response:
        """Handles one request; converts errors to problem documents."""
        try:
            return await self.dispatch(request)
        except deadline.PassedError:
            return messages.problem(
                codes.PLACER_STOPPING,
                retry_after=RETRY_AFTER_SECONDS,
                close=True,
            )
        except table.TableError as error:
            return messages.problem(
                codes.TABLE_UNAVAILABLE,
                detail=str(error),
                retry_after=RETRY_AFTER_SECONDS,
            )
        except messages.BodyError as error:
            return messages.problem(
                codes.BODY_NOT_RECEIVED, detail=str(error), close=True
            )

    async def dispatch(self, request: messages.Request) -> messages.Response:
        """Checks the credential and calls the handler of the route."""
        if not self.is_authorized(request):
            return messages.problem(codes.ADMIN_DENIED, close=True)
        if (request.length or 0) > contract.MAX_SOURCE_BYTES:
            return messages.problem(codes.BODY_TOO_LARGE, close=True)
        for method, pattern, needs_leader, name in ROUTES:
            match = pattern.match(request.path)
            if method != request.method or match is None:
                continue
            running_leader = self.current_leader()
            if needs_leader and (
                running_leader is None or not running_leader.loaded
            ):
                return self.redirect(request)
            function = getattr(self, name)
            if method == "PUT":  # It knows whether it may have changed a thing.
                return await function(request, **match.groupdict())
            async with self.deadlines.answers.limit():
                return await function(request, **match.groupdict())
        return messages.problem(codes.NOT_FOUND)

    def is_authorized(self, request: messages.Request) -> bool:
        """Returns whether a request carries the operators' token."""
        authorization = request.header(b"authorization") or ""
        token = authorization.removeprefix("Bearer ").strip()
        return hmac.compare_digest(
            contract.credential_hash(token), self.admin_sha256
        )

    def redirect(self, request: messages.Request) -> messages.Response:
        """Redirects a request to the leader."""
        record = self.election.record
        own = self.election.api_address
        if record is None or record.api_address == own:
            return messages.problem(
                codes.NO_LEADER, retry_after=RETRY_AFTER_SECONDS
            )
        location = f"http://{record.api_address}{request.target}"
        return messages.Response(
            status=307, headers=[(b"location", location.encode())], close=True
        )

    @route("PUT", r"/v1/contracts/(?P<customer>[a-z0-9-]+)", needs_leader=True)
    async def put_contract(
        self, request: messages.Request, customer: str
    ) -> messages.Response:
        """Applies a contract; If-Match names the version it is based on."""
        async with self.deadlines.changes.limit():
            source = await read_source(request)
        base = (request.header(b"if-match") or '"0"').strip('"')
        if not base.isdigit():
            return invalid_request("If-Match: write the version you start from")
        try:
            proposed = contract.parse(source)
        except contract.ContractError as error:
            return rejection_response(
                contractregistry.Rejection(
                    code=codes.CONTRACT_INVALID, details=error.problems
                )
            )
        if proposed.customer != customer:
            return invalid_request(f"customer: the path names {customer!r}")
        running_leader = self.current_leader()
        if (
            not self.election.predecessors_expired()
            or self.election.extension is not None
        ):
            return messages.problem(
                codes.NO_LEADER,
                detail="an earlier leader may still be acting",
                retry_after=RETRY_AFTER_SECONDS,
            )
        outcome = await running_leader.apply(source, int(base))
        if isinstance(outcome, contractregistry.Rejection):
            return rejection_response(outcome)
        return messages.json_response(
            {
                "customer": outcome.customer,
                "version": outcome.version,
                "revision": outcome.revision,
            }
        )

    @route("POST", r"/v1/check", needs_leader=True)
    async def check_contract(
        self, request: messages.Request
    ) -> messages.Response:
        """Checks a contract without applying it."""
        running_leader = self.current_leader()
        checked = running_leader.contract_registry.check(
            await read_source(request),
            running_leader.publisher.cluster_state.servers,
        )
        if isinstance(checked, contractregistry.Rejection):
            return rejection_response(checked)
        return messages.json_response({"customer": checked.customer})

    @route("GET", r"/v1/contracts", needs_leader=False)
    async def list_contracts(
        self, request: messages.Request
    ) -> messages.Response:
        """Lists the active contract versions."""
        head = await self.table.get(contractregistry.HEAD_KEY)
        versions = head.value["versions"] if head else {}
        return messages.json_response({"versions": versions})

    @route("GET", r"/v1/contracts/(?P<customer>[a-z0-9-]+)", needs_leader=False)
    async def get_contract(
        self, request: messages.Request, customer: str
    ) -> messages.Response:
        """Returns a customer's active contract."""
        head = await self.table.get(contractregistry.HEAD_KEY)
        version = head.value["versions"].get(customer) if head else None
        if version is None:
            return messages.problem(codes.NOT_FOUND)
        return await self.get_version(request, customer, str(version))

    @route(
        "GET",
        r"/v1/contracts/(?P<customer>[a-z0-9-]+)/(?P<version>\d+)",
        needs_leader=False,
    )
    async def get_version(
        self, request: messages.Request, customer: str, version: str
    ) -> messages.Response:
        """Returns one version of a contract."""
        source = await contractversions.read(self.table, customer, int(version))
        if source is None:
            return messages.problem(codes.NOT_FOUND)
        return messages.json_response(
            {"customer": customer, "version": int(version), "source": source}
        )

    @route(
        "GET",
        r"/v1/contracts/(?P<customer>[a-z0-9-]+)/history",
        needs_leader=False,
    )
    async def history(
        self, request: messages.Request, customer: str
    ) -> messages.Response:
        """Lists all stored versions of a contract."""
        head = await self.table.get(contractregistry.HEAD_KEY)
        current = head.value["versions"].get(customer) if head else None
        prefix = f"{contractversions.CONTRACTS_PREFIX}{customer}/"
        found = await self.table.scan(prefix)
        rows = [
            {
                "version": int(record.key.removeprefix(prefix)),
                "written_at": record.value["written_at"],
            }
            for record in found
        ]
        for row in rows:
            row["in_force"] = row["version"] == current
        rows.sort(key=lambda row: row["version"])
        return messages.json_response({"customer": customer, "history": rows})

    @route(
        "GET", r"/v1/keys/(?P<pool>[a-z0-9-]+)/(?P<key>.+)", needs_leader=True
    )
    async def explain_key(
        self, request: messages.Request, pool: str, key: str
    ) -> messages.Response:
        """Returns the owner and the coordinator of a key, and the reason."""
        running_leader = self.current_leader()
        stored = running_leader.map_store.stored.get(pool)
        if stored is None:
            return messages.problem(
                codes.NOT_FOUND, detail=f"no key space {pool!r}"
            )
        name, ownership = stored.partition_map.locate(key)
        report = running_leader.publisher.reports.get(ownership.owner)
        usable = running_leader.reconciler.usable_servers(pool)
        return messages.json_response(
            {
                "key": key,
                "pool": pool,
                "partition": name,
                "owner": ownership.owner or None,
                "fence": ownership.fence,
                "home": running_leader.publisher.coordinators.get(
                    ownership.owner
                ),
                "assignment_version": (
                    stored.partition_map.assignment_versions.get(
                        ownership.owner
                    )
                ),
                "owner_state": report.state if report else "unknown",
                "why": explain_owner(ownership, usable),
            }
        )

    @route("GET", r"/v1/status", needs_leader=True)
    async def status(self, request: messages.Request) -> messages.Response:
        """Returns the state of the system as the leader sees it."""
        return messages.json_response(
            status_report(self.election, self.current_leader())
        )


async def read_source(request: messages.Request) -> str:
    """Reads a request body as text.

    Raises:
        BodyError: The body exceeds the largest contract size.
    """
    body = bytearray()
    async for chunk in request.body:
        body.extend(chunk)
        if len(body) > contract.MAX_SOURCE_BYTES:
            raise messages.BodyError("longer than the longest contract")
    return body.decode("utf-8", "replace")


def explain_owner(ownership: topology.Ownership, usable: list[str]) -> str:
    """Explains who owns a partition."""
    if not ownership.owner:
        return "no owner: revoked and not yet released, or no usable server"
    if ownership.owner in usable:
        return "the owner is usable, and an owner that stands is kept"
    return "the owner is lost or leaving; the partition is about to move"


def status_report(
    election: election.Election, running_leader: leader.Leader
) -> dict[str, typing.Any]:
    """Returns the system's state for operators."""
    cluster_state = running_leader.publisher.cluster_state
    entries = []
    for id, member in sorted(
        running_leader.publisher.membership.members.items()
    ):
        status = member.status
        entries.append(
            {
                "id": id,
                "data_center": member.entry.data_center,
                "address": member.entry.address,
                "view": status.revision if status else None,
                "contracts_revision": (
                    status.contracts_revision if status else None
                ),
                "confirmed": status.confirmed if status else False,
                "loop_lag_ms": status.lag_ms if status else None,
            }
        )
    return {
        "leader": {
            "id": election.own_id,
            "epoch": election.epoch,
            "mode": "hold" if election.extension else "table",
            "moves_allowed": election.predecessors_expired(),
            "revision": running_leader.publisher.revision,
        },
        "contracts": {
            "revision": cluster_state.contracts_revision,
            "versions": cluster_state.contracts,
        },
        "entries": entries,
        "servers": [
            server_row(running_leader, server)
            for server in cluster_state.servers
        ],
    }


def server_row(
    running_leader: leader.Leader, server: topology.Server
) -> dict[str, typing.Any]:
    """Returns one server's state for operators."""
    report = running_leader.publisher.reports.get(server.id)
    partition_map = running_leader.publisher.cluster_state.partition_maps.get(
        server.pool
    )
    owned_partitions = (
        len(partition_map.assignment(server.id).fences) if partition_map else 0
    )
    listed_state = server.state.value
    return {
        "id": server.id,
        "pool": server.pool,
        "data_center": server.data_center,
        "state": listed_state
        if listed_state != "up" or not report
        else report.state,
        "partitions": owned_partitions,
        "home": running_leader.publisher.coordinators.get(server.id),
    }


def invalid_request(detail: str) -> messages.Response:
    """Returns the response to a malformed request."""
    return messages.problem(
        codes.CONTRACT_INVALID, detail=detail, details=[detail]
    )


def rejection_response(
    rejection: contractregistry.Rejection,
) -> messages.Response:
    """Returns the problem document of a rejected contract."""
    return messages.problem(
        rejection.code,
        detail="; ".join(rejection.details),
        details=rejection.details,
        present=rejection.current_version,
    )
