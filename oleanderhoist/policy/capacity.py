"""Checks that the servers have the capacity that contracts promise."""

import dataclasses

from oleanderhoist import contract
from oleanderhoist.policy import topology


@dataclasses.dataclass(frozen=True, kw_only=True)
class Shortfall:
    """A pool whose contracts need more capacity than it has.

    Attributes:
        pool: Name of the pool.
        promised: Slots that the contracts' rates need.
        capacity: Slots that remain after the tolerated loss.
        servers: Number of servers in the pool.
        tolerated: Number of servers whose loss the contracts tolerate.
    """

    pool: str
    promised: float
    capacity: float
    servers: int
    tolerated: int

    def __str__(self) -> str:
        return (
            f"pool {self.pool!r}: the rates need {self.promised:.1f} slots, "
            f"but {self.servers} servers less {self.tolerated} lost give "
            f"{self.capacity:.0f}; shortfall "
            f"{self.promised - self.capacity:.1f} slots"
        )


def shortfalls(
    contracts: list[contract.Contract], servers: list[topology.Server]
) -> list[Shortfall]:
    """Returns a shortfall for each pool that cannot honour the contracts.

    Args:
        contracts: The contracts that would be active together.
        servers: All servers of the platform's configuration.
    """
    result = []
    pools = sorted({work.pool for c in contracts for work in c.work})
    for pool in pools:
        members = [s for s in servers if s.pool == pool]
        users = [c for c in contracts if any(w.pool == pool for w in c.work)]
        tolerated = max(c.tolerated_server_losses for c in users)
        by_size = sorted((s.slots for s in members), reverse=True)
        capacity = sum(by_size[tolerated:])
        promised = sum(
            work.rate_per_second * work.service_ms / 1000
            for c in users
            for work in c.work
            if work.pool == pool
        )
        if promised > capacity:
            result.append(
                Shortfall(
                    pool=pool,
                    promised=promised,
                    capacity=float(capacity),
                    servers=len(members),
                    tolerated=tolerated,
                )
            )
    return result
