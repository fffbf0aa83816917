"""Contracts: checks, acceptance and what is in force."""

import asyncio
import dataclasses
import datetime

from oleanderhoist import codes
from oleanderhoist import contract
from oleanderhoist import events
from oleanderhoist import log
from oleanderhoist.clients import contractversions
from oleanderhoist.clients import table
from oleanderhoist.policy import capacity
from oleanderhoist.policy import topology

HEAD_KEY = "contract-head"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Accepted:
    """The contract version is accepted."""

    customer: str
    version: int
    revision: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class Rejection:
    """The contract was refused.

    Attributes:
        code: The numbered reason.
        details: One line for each problem.
        present: Version in force, on a conflict.
    """

    code: codes.Code
    details: list[str]
    present: int | None = None


@dataclasses.dataclass(kw_only=True)
class Head:
    """The record that names the versions in force.

    Attributes:
        revision: Version of the record; 0 before the first write.
        versions: Contract version by customer.
    """

    revision: int = 0
    versions: dict[str, int] = dataclasses.field(default_factory=dict)


class ContractRegistry:
    """The leader's side of contracts.

    A change is accepted at the moment the conditional write of the head
    record is known to have taken effect.
    """

    def __init__(self, *, table: table.TableClient):
        self.table = table
        self.head = Head()
        self.known: dict[tuple[str, int], contract.Contract] = {}
        self.lock = asyncio.Lock()
        self.uncertain = False

    async def load(self) -> None:
        """Reads the head and the contracts in force.

        Raises:
            TableError: The table did not answer.
        """
        record = await self.table.get(HEAD_KEY)
        if record is not None:
            self.head = Head(
                revision=record.version, versions=record.value["versions"]
            )
        for customer, version in self.head.versions.items():
            await self.fetch(customer, version)
        self.uncertain = False

    async def fetch(self, customer: str, version: int) -> contract.Contract:
        """Returns one immutable contract version."""
        if (customer, version) not in self.known:
            source = await contractversions.read(self.table, customer, version)
            if source is None:
                raise table.TableError(f"no contract {customer} {version}")
            self.known[(customer, version)] = contract.parse(source)
        return self.known[(customer, version)]

    def others(self, customer: str) -> list[contract.Contract]:
        """Returns the contracts in force of all other customers."""
        return [
            self.known[(name, version)]
            for name, version in self.head.versions.items()
            if name != customer
        ]

    def check(
        self, source: str, servers: list[topology.Server]
    ) -> contract.Contract | Rejection:
        """Checks whether a contract could be accepted now."""
        try:
            wanted = contract.parse(source)
        except contract.ContractError as error:
            return Rejection(
                code=codes.CONTRACT_INVALID, details=error.problems
            )
        others = self.others(wanted.customer)
        if any(c.credential_sha256 == wanted.credential_sha256 for c in others):
            return Rejection(
                code=codes.CONTRACT_CREDENTIAL_TAKEN,
                details=["credential_sha256: used by another customer"],
            )
        short = capacity.shortfalls([*others, wanted], servers)
        if short:
            return Rejection(
                code=codes.CONTRACT_UNHONOURABLE,
                details=[str(shortfall) for shortfall in short],
            )
        unkeyed = pools_without_keys(wanted, servers)
        if unkeyed:
            return Rejection(code=codes.CONTRACT_INVALID, details=unkeyed)
        return wanted

    async def apply(
        self, source: str, base: int, servers: list[topology.Server]
    ) -> Accepted | Rejection:
        """Accepts a contract or refuses it.

        Args:
            source: The contract as TOML.
            base: Version the operator started from; 0 for a new customer.
            servers: All servers of the platform's configuration.

        Raises:
            TableError: The table did not answer before the head was written.
        """
        async with self.lock:
            if self.uncertain:
                await self.load()
            checked = self.check(source, servers)
            if isinstance(checked, Rejection):
                return self.refuse(checked)
            present = self.head.versions.get(checked.customer, 0)
            if present != base:
                return self.refuse(await self.conflict(checked, base, present))
            version = await self.store(checked.customer, source, present)
            return await self.advance(checked, version)

    def refuse(self, refused: Rejection) -> Rejection:
        """Logs a refusal."""
        log.write(
            events.CONTRACT_REFUSED,
            code=refused.code.number,
            details=refused.details,
        )
        return refused

    async def conflict(
        self, wanted: contract.Contract, base: int, present: int
    ) -> Rejection:
        """Returns the refusal that shows what changed meanwhile."""
        details = [
            f"customer {wanted.customer!r}: you started from version {base}, "
            f"version {present} is in force"
        ]
        before = await contractversions.read(self.table, wanted.customer, base)
        if before is not None and present:
            after = await self.fetch(wanted.customer, present)
            details += differences(contract.parse(before), after)
        return Rejection(
            code=codes.CONTRACT_CONFLICT, details=details, present=present
        )

    async def store(self, customer: str, source: str, present: int) -> int:
        """Writes the immutable version record.

        Numbers left by an apply that never reached the head are passed over.

        Returns:
            The version's number.
        """
        version = present + 1
        now = datetime.datetime.now(datetime.UTC).isoformat()
        while True:
            outcome = await self.table.put(
                f"{contractversions.CONTRACTS_PREFIX}{customer}/{version}",
                {"source": source, "written_at": now},
                expected=None,
            )
            match outcome:
                case table.Written():
                    return version
                case table.Conflict():
                    version += 1
                case table.Unresolved():
                    raise table.TableError("the contract record is unresolved")

    async def advance(
        self, wanted: contract.Contract, version: int
    ) -> Accepted | Rejection:
        """Moves the head to a stored version."""
        versions = {**self.head.versions, wanted.customer: version}
        outcome = await self.table.put(
            HEAD_KEY,
            {"versions": versions},
            expected=self.head.revision or None,
        )
        match outcome:
            case table.Written(version=revision):
                self.known[(wanted.customer, version)] = wanted
                self.head = Head(revision=revision, versions=versions)
                log.write(
                    events.CONTRACT_ACCEPTED,
                    customer=wanted.customer,
                    version=version,
                    revision=revision,
                )
                return Accepted(
                    customer=wanted.customer,
                    version=version,
                    revision=revision,
                )
            case table.Conflict():
                await self.load()
                present = self.head.versions.get(wanted.customer, 0)
                return self.refuse(
                    await self.conflict(wanted, version - 1, present)
                )
        self.uncertain = True
        return self.refuse(
            Rejection(
                code=codes.CONTRACT_UNCONFIRMED,
                details=["the table did not confirm the write of the head"],
            )
        )


def pools_without_keys(
    wanted: contract.Contract, servers: list[topology.Server]
) -> list[str]:
    """Names the kinds of work whose path and pool disagree about keys."""
    keyed = {server.pool: server.keyed for server in servers}
    return [
        f"work.{index}.path: pool {work.pool!r} "
        "is divided by key, so the path needs '{key}'"
        for index, work in enumerate(wanted.work)
        if keyed.get(work.pool) and not work.keyed
    ]


def differences(
    before: contract.Contract, after: contract.Contract
) -> list[str]:
    """Returns one line for each field that differs."""
    left = flatten(before)
    right = flatten(after)
    return [
        f"{field}: {left.get(field, 'absent')} -> {right.get(field, 'absent')}"
        for field in sorted(left.keys() | right.keys())
        if left.get(field) != right.get(field)
    ]


def flatten(value: contract.Contract) -> dict[str, object]:
    """Returns a contract's fields under dotted names."""
    fields: dict[str, object] = {
        "credential_sha256": value.credential_sha256,
        "tolerated_server_losses": value.tolerated_server_losses,
    }
    for work in value.work:
        for name, field in work.model_dump().items():
            fields[f"work.{work.name}.{name}"] = field
    return fields
