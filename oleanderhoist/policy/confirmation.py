"""When a router last knew that what it believes is current.

What a router got from its leader or from the store stays the same while both
are silent. It is therefore believed together with the time up to which it was
known to be the newest. That time is on the clock that counts suspended time: a
router that stood still did not hear of changes meanwhile.
"""

import dataclasses
import math


@dataclasses.dataclass(kw_only=True)
class Confirmation:
    """The latest confirmation of one piece of state.

    Attributes:
        at: When the state was last known to be current, in seconds.
    """

    at: float = -math.inf

    def confirm(self, at: float) -> None:
        """Records that the state was current at a time, in seconds."""
        self.at = max(self.at, at)

    def age(self, now: float) -> float:
        """Returns the time since the confirmation, in seconds.

        It is infinite before the first confirmation.
        """
        return now - self.at

    def age_ms(self, now: float) -> int | None:
        """Returns the age in milliseconds for logs; None if unknown."""
        age = self.age(now)
        return None if math.isinf(age) else round(age * 1000)
