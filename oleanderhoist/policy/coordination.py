"""Which member coordinates a slot queue.

The queue of a pool brings several datagrams for each of the pool's requests to
one member. One with little processor time would handle them late, and with
them whatever else it is told. There are few such queues, so members that have
much less than others need none. The queues of keyed servers are many and
small, and spread over all members.
"""

import dataclasses

from oleanderhoist.policy import hashing

# Members name it. While one of them has an earlier rule, all use that one, so
# that no queue has two coordinators.
RULE = 1
KEYED_PREFIX = "server/"
POOL_PREFIX = "pool/"
MIN_CORES_FRACTION = 0.5  # Of the largest member's, for the queues of pools.


@dataclasses.dataclass(frozen=True, kw_only=True)
class Basis:
    """What determines the coordinators of all queues.

    Attributes:
        cores: CPU cores of each member, by address.
        rule: Earliest rule of a member.
    """

    cores: dict[str, float]
    rule: int

    def coordinator_of(self, queue: str) -> str:
        """Returns the address of the member that coordinates a slot queue.

        It is empty without members.

        Args:
            queue: Name of the slot queue.
        """
        if not self.cores:
            return ""
        cores = self.cores
        if self.rule >= RULE and queue.startswith(POOL_PREFIX):
            cores = ablest(cores)
        return hashing.weighted_rendezvous(queue, cores)


def ablest(cores: dict[str, float]) -> dict[str, float]:
    """Returns the members that may coordinate the queues of pools.

    Args:
        cores: CPU cores of each member, by address; at least one.
    """
    required = MIN_CORES_FRACTION * max(cores.values())
    return {address: own for address, own in cores.items() if own >= required}
