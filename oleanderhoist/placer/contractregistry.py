"""Checks contracts, accepts them and keeps track of the active ones."""

import asyncio
import dataclasses
import datetime

from oleanderhoist import codes
from oleanderhoist import contract
from oleanderhoist import deadline
from oleanderhoist import events
from oleanderhoist import log
from oleanderhoist.clients import contractversions
from oleanderhoist.clients import table
from oleanderhoist.policy import capacity
from oleanderhoist.policy import topology

HEAD_KEY = "contract-head"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Accepted:
    """The contract version was accepted.

    Attributes:
        customer: Customer of the contract.
        version: Number of the accepted version.
        revision: Version of the head record that activates it.
    """

    customer: str
    version: int
    revision: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class Rejection:
    """The contract was rejected.

    Attributes:
        code: Numbered code of the reason.
        details: One line for each problem.
        current_version: The active version, on a conflict.
    """

    code: codes.Code
    details: list[str]
    current_version: int | None = None


@dataclasses.dataclass(frozen=True, kw_only=True)
class Prepared:
    """A contract that is stored and lacks only the write of the head.

    Attributes:
        proposed: The contract.
        version: Number of the stored version.
    """

    proposed: contract.Contract
    version: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class Deadlines:
    """Deadlines that a stop sets.

    Attributes:
        changes: When changes end whose write of the head has not begun.
        answers: When every request gets its answer.
    """

    changes: deadline.SharedDeadline = dataclasses.field(
        default_factory=deadline.SharedDeadline
    )
    answers: deadline.SharedDeadline = dataclasses.field(
        default_factory=lambda: deadline.SharedDeadline(catch_up=True)
    )


@dataclasses.dataclass(kw_only=True)
class Head:
    """The record that lists the active contract versions.

    Attributes:
        revision: Version of the record; 0 before the first write.
        versions: Active version by customer.
    """

    revision: int = 0
    versions: dict[str, int] = dataclasses.field(default_factory=dict)


class ContractRegistry:
    """Checks and stores contracts on behalf of the leader.

    A change is accepted once the conditional write of the head record is known
    to have taken effect.

    Args:
        table: The table client.
        deadlines: Deadlines of a stop.
    """

    def __init__(self, *, table: table.TableClient, deadlines: Deadlines):
        self.table = table
        self.deadlines = deadlines
        self.head = Head()
        self.contracts: dict[tuple[str, int], contract.Contract] = {}
        self.lock = asyncio.Lock()
        self.head_unresolved = False

    async def load(self) -> None:
        """Reads the head and the active contracts.

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
        self.head_unresolved = False

    async def fetch(self, customer: str, version: int) -> contract.Contract:
        """Returns one immutable contract version, from memory if possible.

        Raises:
            TableError: The table did not answer or lacks the version.
        """
        if (customer, version) not in self.contracts:
            source = await contractversions.read(self.table, customer, version)
            if source is None:
                raise table.TableError(f"no contract {customer} {version}")
            self.contracts[(customer, version)] = contract.parse(source)
        return self.contracts[(customer, version)]

    def other_contracts(self, customer: str) -> list[contract.Contract]:
        """Returns the active contracts of all other customers."""
        return [
            self.contracts[(name, version)]
            for name, version in self.head.versions.items()
            if name != customer
        ]

    def check(
        self, source: str, servers: list[topology.Server]
    ) -> contract.Contract | Rejection:
        """Parses a contract and checks whether it can be accepted now."""
        try:
            proposed = contract.parse(source)
        except contract.ContractError as error:
            return Rejection(
                code=codes.CONTRACT_INVALID, details=error.problems
            )
        others = self.other_contracts(proposed.customer)
        if any(
            c.credential_sha256 == proposed.credential_sha256 for c in others
        ):
            return Rejection(
                code=codes.CONTRACT_CREDENTIAL_TAKEN,
                details=["credential_sha256: used by another customer"],
            )
        shortfalls = capacity.shortfalls([*others, proposed], servers)
        if shortfalls:
            return Rejection(
                code=codes.CONTRACT_UNHONOURABLE,
                details=[str(shortfall) for shortfall in shortfalls],
            )
        missing_keys = paths_without_key(proposed, servers)
        if missing_keys:
            return Rejection(code=codes.CONTRACT_INVALID, details=missing_keys)
        return proposed

    async def apply(
        self, source: str, base: int, servers: list[topology.Server]
    ) -> Accepted | Rejection:
        """Accepts or rejects a contract.

        Args:
            source: The contract as TOML.
            base: Version that the change is based on; 0 for a new customer.
            servers: All servers of the inventory.

        Raises:
            TableError: The table did not answer before the head was written.
        """
        try:
            async with self.deadlines.changes.limit():
                await self.lock.acquire()
        except deadline.PassedError:
            return self.log_rejection(stopping_rejection())
        try:
            return await self.apply_next(source, base, servers)
        finally:
            self.lock.release()

    async def apply_next(
        self, source: str, base: int, servers: list[topology.Server]
    ) -> Accepted | Rejection:
        """Accepts or rejects a contract while no other change is running.

        Raises:
            TableError: The table did not answer before the head was written.
        """
        try:
            async with self.deadlines.changes.limit():
                prepared = await self.prepare(source, base, servers)
        except deadline.PassedError:
            return self.log_rejection(stopping_rejection())
        if isinstance(prepared, Rejection):
            return self.log_rejection(prepared)
        self.head_unresolved = True  # Also if the write is cancelled.
        try:
            async with self.deadlines.answers.limit():
                return await self.write_head(
                    prepared.proposed, prepared.version
                )
        except deadline.PassedError:
            return self.log_rejection(unconfirmed_rejection())

    async def prepare(
        self, source: str, base: int, servers: list[topology.Server]
    ) -> Prepared | Rejection:
        """Checks a contract and stores it as a version not yet active.

        Raises:
            TableError: The table did not answer.
        """
        if self.head_unresolved:
            await self.load()
        checked = self.check(source, servers)
        if isinstance(checked, Rejection):
            return checked
        current = self.head.versions.get(checked.customer, 0)
        if current != base:
            return await self.describe_conflict(checked, base, current)
        version = await self.write_version(checked.customer, source, current)
        return Prepared(proposed=checked, version=version)

    def log_rejection(self, rejection: Rejection) -> Rejection:
        """Logs a rejection and returns it."""
        log.write(
            events.CONTRACT_REFUSED,
            code=rejection.code.number,
            details=rejection.details,
        )
        return rejection

    async def describe_conflict(
        self, proposed: contract.Contract, base: int, current: int
    ) -> Rejection:
        """Returns the rejection of a change whose base version is outdated.

        Its details list the fields that have changed since. After a conflict
        on the head record, `base` is the number before the one just written,
        which is not the caller's base if numbers were skipped.
        """
        details = [
            f"customer {proposed.customer!r}: you started from version {base}, "
            f"version {current} is in force"
        ]
        base_source = await contractversions.read(
            self.table, proposed.customer, base
        )
        if base_source is not None and current:
            active = await self.fetch(proposed.customer, current)
            details += differences(contract.parse(base_source), active)
        return Rejection(
            code=codes.CONTRACT_CONFLICT,
            details=details,
            current_version=current,
        )

    async def write_version(
        self, customer: str, source: str, current: int
    ) -> int:
        """Writes the immutable version record.

        Skips numbers that were used by a change that never reached the head.

        Returns:
            The version's number.

        Raises:
            TableError: It is not known whether the write took effect.
        """
        version = current + 1
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

    async def write_head(
        self, proposed: contract.Contract, version: int
    ) -> Accepted | Rejection:
        """Activates a stored version by adding it to the head record.

        Raises:
            TableError: The table did not answer after a conflict.
        """
        versions = {**self.head.versions, proposed.customer: version}
        outcome = await self.table.put(
            HEAD_KEY,
            {"versions": versions},
            expected=self.head.revision or None,
        )
        match outcome:
            case table.Written(version=revision):
                self.contracts[(proposed.customer, version)] = proposed
                self.head = Head(revision=revision, versions=versions)
                self.head_unresolved = False
                log.write(
                    events.CONTRACT_ACCEPTED,
                    customer=proposed.customer,
                    version=version,
                    revision=revision,
                )
                return Accepted(
                    customer=proposed.customer,
                    version=version,
                    revision=revision,
                )
            case table.Conflict():
                await self.load()
                current = self.head.versions.get(proposed.customer, 0)
                return self.log_rejection(
                    await self.describe_conflict(proposed, version - 1, current)
                )
        return self.log_rejection(unconfirmed_rejection())


def stopping_rejection() -> Rejection:
    """Returns the rejection of a change that a stop leaves no time for."""
    return Rejection(
        code=codes.PLACER_STOPPING,
        details=["the write of the head had not begun"],
    )


def unconfirmed_rejection() -> Rejection:
    """Returns the rejection of a change that may be in force."""
    return Rejection(
        code=codes.CONTRACT_UNCONFIRMED,
        details=["the table did not confirm the write of the head"],
    )


def paths_without_key(
    proposed: contract.Contract, servers: list[topology.Server]
) -> list[str]:
    """Returns one problem for each path that lacks the key of its pool."""
    keyed = {server.pool: server.keyed for server in servers}
    return [
        f"work.{index}.path: pool {work.pool!r} "
        "is divided by key, so the path needs '{key}'"
        for index, work in enumerate(proposed.work)
        if keyed.get(work.pool) and not work.keyed
    ]


def differences(
    before: contract.Contract, after: contract.Contract
) -> list[str]:
    """Returns one line for each field that differs."""
    old = flatten(before)
    new = flatten(after)
    return [
        f"{field}: {old.get(field, 'absent')} -> {new.get(field, 'absent')}"
        for field in sorted(old.keys() | new.keys())
        if old.get(field) != new.get(field)
    ]


def flatten(value: contract.Contract) -> dict[str, object]:
    """Returns a contract's fields by dotted name."""
    fields: dict[str, object] = {
        "credential_sha256": value.credential_sha256,
        "tolerated_server_losses": value.tolerated_server_losses,
    }
    for work in value.work:
        for name, field in work.model_dump().items():
            fields[f"work.{work.name}.{name}"] = field
    return fields
