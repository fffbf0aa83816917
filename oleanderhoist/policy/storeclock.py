"""The store's clock as this process can bound it.

Times that several leaders must agree on are written in the store's clock. An
answer carries the store's time at some moment between its request and its
arrival, which bounds the present time from both sides.
"""

import dataclasses


@dataclasses.dataclass(kw_only=True)
class StoreClock:
    """Bounds of the store's time.

    Attributes:
        millis: The store's time in its newest answer.
        sent: When the request of that answer was sent, in seconds.
        received: When that answer arrived, in seconds.
    """

    millis: int = 0
    sent: float = 0.0
    received: float = 0.0

    def observe(self, millis: int, sent: float, received: float) -> None:
        """Takes in the store's time in an answer."""
        if millis >= self.millis:
            self.millis = millis
            self.sent = sent
            self.received = received

    def lower_bound(self, now: float) -> int:
        """Returns a time in milliseconds that has surely been reached."""
        return self.millis + int((now - self.received) * 1000)

    def upper_bound(self, at: float) -> int:
        """Returns a time in milliseconds that comes surely after `at`."""
        return self.millis + int((at - self.sent) * 1000) + 1

    def seconds_until(self, millis: int, now: float) -> float:
        """Returns the seconds until a time has surely been reached."""
        return max(0.0, (millis - self.lower_bound(now)) / 1000)
