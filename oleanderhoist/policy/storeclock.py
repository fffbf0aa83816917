"""Bounds of the current time on the store's clock.

Times that several leaders must agree on are stored as times of the store's
clock. A response contains the store's time at some moment between the sending
of the request and the arrival of the response. This bounds the store's current
time from both sides.
"""

import dataclasses
import math


@dataclasses.dataclass(kw_only=True)
class StoreClock:
    """Bounds of the store's time.

    Attributes:
        millis: The store's time in its latest response, in milliseconds.
        sent_at: When the request of that response was sent, in seconds.
        received_at: When that response arrived, in seconds.
        era: Era of the store at that response.
    """

    millis: int = 0
    sent_at: float = 0.0
    received_at: float = 0.0
    era: int = 0

    def observe(
        self, millis: int, sent_at: float, received_at: float, *, era: int = 0
    ) -> None:
        """Records the store's time in a response.

        A store that came back from a copy may have gone back in time, too.
        """
        if era > self.era or millis >= self.millis:
            self.era = era
            self.millis = millis
            self.sent_at = sent_at
            self.received_at = received_at

    @property
    def is_known(self) -> bool:
        """Whether a response has named the store's time."""
        return self.millis > 0

    @property
    def uncertainty(self) -> float:
        """Distance of the bounds, in seconds."""
        return self.received_at - self.sent_at

    def lower_bound(self, at: float) -> int:
        """Returns a lower bound of the store's time at `at`, in ms."""
        return self.millis + math.floor((at - self.received_at) * 1000)

    def upper_bound(self, at: float) -> int:
        """Returns an upper bound of the store's time at `at`, in ms."""
        return self.millis + int((at - self.sent_at) * 1000) + 1

    def earliest(self, millis: int) -> float:
        """Returns a lower bound of when a time was reached, in seconds."""
        return self.sent_at + (millis - self.millis) / 1000

    def seconds_until(self, millis: int, now: float) -> float:
        """Returns the seconds until a time has definitely been reached."""
        return max(0.0, (millis - self.lower_bound(now)) / 1000)
