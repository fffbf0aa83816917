"""How much memory the bodies of answers may take together.

A server may send a body without end, or stop before its last bytes. Bodies that
are small beside the others go on when memory is short, so that the requests of
other callers are answered.
"""

import dataclasses


@dataclasses.dataclass(kw_only=True)
class AnswerMemory:
    """Memory that the bodies of answers of one process take.

    Attributes:
        limit_bytes: Total above which only small bodies grow; the total stays
            below twice as much.
        used_bytes: Total of all bodies that are read or written.
        bodies: Number of these bodies.
    """

    limit_bytes: int
    used_bytes: int = 0
    bodies: int = 0

    def may_grow(self, body_bytes: int) -> bool:
        """Returns whether a body may take more memory.

        Args:
            body_bytes: What it takes now, in bytes.
        """
        share = self.limit_bytes / max(1, self.bodies)
        return self.used_bytes <= self.limit_bytes or body_bytes <= share

    def begin(self) -> None:
        """Records a new body."""
        self.bodies += 1

    def grow(self, added_bytes: int) -> None:
        """Records that a body has become longer."""
        self.used_bytes += added_bytes

    def end(self, body_bytes: int) -> None:
        """Records that a body is no longer kept."""
        self.bodies -= 1
        self.used_bytes -= body_bytes
