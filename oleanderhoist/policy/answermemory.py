"""How much memory the bodies of answers may take together.

A server may send a body without end, or stop before its last bytes. When memory
is short, the largest unfinished body is given up, so that the answers to other
callers, which are mostly small, are read.
"""

from collections.abc import Callable
import dataclasses

# Of the limit; bodies below it are never given up.
SMALL_BODY_FRACTION = 1 / 256


@dataclasses.dataclass(kw_only=True, eq=False)
class Body:
    """The body of one answer while it is read or written.

    Attributes:
        give_up: Ends the reading of an unfinished one; None for one that is
            complete and being written.
        size_bytes: Memory that it takes now, in bytes.
    """

    give_up: Callable[[], None] | None = None
    size_bytes: int = 0


class AnswerMemory:
    """Memory that the bodies of answers of one process take.

    Args:
        limit_bytes: Total above which unfinished bodies are given up, in bytes.

    Attributes:
        used_bytes: Total of all bodies, in bytes.
        bodies: The bodies, without those that were given up.
    """

    def __init__(self, *, limit_bytes: int):
        self.limit_bytes = limit_bytes
        self.used_bytes = 0
        self.bodies: set[Body] = set()

    def add(self, body: Body) -> None:
        """Records a body of some size."""
        self.bodies.add(body)
        self.used_bytes += body.size_bytes

    def grow(self, body: Body, added_bytes: int) -> bool:
        """Records that a body has become longer; gives up one if needed.

        Returns:
            Whether this one goes on.
        """
        if body in self.bodies:
            body.size_bytes += added_bytes
            self.used_bytes += added_bytes
        if self.used_bytes > self.limit_bytes:
            self.give_up_largest()
        return body in self.bodies

    def give_up_largest(self) -> None:
        """Gives up the largest unfinished body that is not small."""
        small_bytes = self.limit_bytes * SMALL_BODY_FRACTION
        candidates = [
            body
            for body in self.bodies
            if body.give_up is not None and body.size_bytes > small_bytes
        ]
        if candidates:
            largest = max(candidates, key=lambda body: body.size_bytes)
            self.remove(largest)
            largest.give_up()

    def remove(self, body: Body) -> None:
        """Records that a body is no longer kept."""
        if body in self.bodies:
            self.bodies.remove(body)
            self.used_bytes -= body.size_bytes
