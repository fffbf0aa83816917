"""Whether contracts can be honoured by the servers there are."""

import dataclasses

from oleanderhoist import contract
from oleanderhoist.policy import topology


@dataclasses.dataclass(frozen=True, kw_only=True)
class Shortfall:
    """A pool that is promised more than it can give.

    Attributes:
        pool: The pool.
        promised: Slots that the contracts' rates need.
        capacity: Slots left after the agreed loss.
        servers: Servers in the pool.
        tolerated: Servers whose loss the contracts agreed to tolerate.
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
    """Returns every pool that cannot honour the contracts.

    Args:
        contracts: The contracts that would be in force together.
        servers: All servers of the platform's configuration.
    """
    found = []
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
            found.append(
                Shortfall(
                    pool=pool,
                    promised=promised,
                    capacity=float(capacity),
                    servers=len(members),
                    tolerated=tolerated,
                )
            )
    return found
