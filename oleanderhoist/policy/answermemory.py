"""How much memory the answers and waiting requests of one process may take.

The load is one of many slow readers: callers take large answers slowly, or send
requests ahead and read no answer, and a server may send a body without end, or
stop before its last bytes. Large answers are kept whole only while there is
memory for them, and are else passed on as they arrive. When memory is short,
the largest unfinished body is given up, so that the answers to other callers,
which are mostly small, are read.
"""

from collections.abc import Callable
import dataclasses

# Of the limit; bodies below it are never given up.
SMALL_BODY_FRACTION = 1 / 256
MAX_SMALL_BODY_BYTES = 65_536
# Of the limit; while more is used, only small bodies are kept whole.
KEEP_WHOLE_FRACTION = 0.5


@dataclasses.dataclass(kw_only=True, eq=False)
class Body:
    """The body of one answer, or what is held for a caller.

    Attributes:
        give_up: Ends the reading of an unfinished one; None for one that is
            complete and being written.
        measure: Returns the memory that it takes, if its size may have become
            less since it was recorded; None if the size is exact.
        spared: Whether it is never given up while it is small.
        size_bytes: Memory that it takes now, in bytes.
    """

    give_up: Callable[[], None] | None = None
    measure: Callable[[], int] | None = None
    spared: bool = True
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
        self.resize(body, body.size_bytes + added_bytes)
        if self.used_bytes > self.limit_bytes:
            self.give_up_largest()
        return body in self.bodies

    def resize(self, body: Body, size_bytes: int) -> None:
        """Records the size of a body, unless it was given up."""
        if body in self.bodies:
            self.used_bytes += size_bytes - body.size_bytes
            body.size_bytes = size_bytes

    def may_keep_whole(self, body: Body) -> bool:
        """Returns whether an unfinished body may be read to its end first."""
        return (
            self.is_small(body)
            or self.used_bytes <= self.limit_bytes * KEEP_WHOLE_FRACTION
        )

    def is_small(self, body: Body) -> bool:
        """Returns whether a body is never given up."""
        small_bytes = self.limit_bytes * SMALL_BODY_FRACTION
        return body.size_bytes <= min(small_bytes, MAX_SMALL_BODY_BYTES)

    def give_up_largest(self) -> None:
        """Gives up the largest unfinished body that is not spared.

        Those that turn out to be smaller than recorded are passed over.
        """
        candidates = [
            body
            for body in self.bodies
            if body.give_up is not None
            and not (body.spared and self.is_small(body))
        ]
        candidates.sort(key=lambda body: body.size_bytes, reverse=True)
        for body in candidates:
            if not self.has_shrunk(body):
                self.remove(body)
                body.give_up()
                return
            if self.used_bytes <= self.limit_bytes:
                return

    def has_shrunk(self, body: Body) -> bool:
        """Measures a body; returns whether it is smaller than recorded."""
        if body.measure is None:
            return False
        recorded_bytes = body.size_bytes
        self.resize(body, body.measure())
        return body.size_bytes < recorded_bytes

    def remove(self, body: Body) -> None:
        """Records that a body is no longer kept."""
        if body in self.bodies:
            self.bodies.remove(body)
            self.used_bytes -= body.size_bytes
