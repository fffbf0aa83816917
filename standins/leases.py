"""Leases of a stand-in server, and how they run out across a freeze."""

import asyncio
import time

WAKE_UP_SECONDS = 0.05
FREEZE_THRESHOLD_SECONDS = 0.2
CATCH_UP_SECONDS = 0.3  # Time to handle what arrived during a freeze.


class FreezeDetector:
    """Tells when messages arrived that waited while the process was frozen."""

    def __init__(self):
        self.last_awake_at = time.monotonic()
        self.frozen_at = 0.0
        self.catching_up_until = 0.0

    def earliest_arrival(self) -> float:
        """Returns the earliest possible arrival time of the current message.

        Messages wait in socket buffers while the process is frozen.
        """
        now = time.monotonic()
        if now - self.last_awake_at > FREEZE_THRESHOLD_SECONDS:
            return self.last_awake_at
        return self.frozen_at if now < self.catching_up_until else now

    async def run(self) -> None:
        """Detects freezes of the process by the gaps between its wake-ups."""
        while True:
            now = time.monotonic()
            if now - self.last_awake_at > FREEZE_THRESHOLD_SECONDS:
                self.frozen_at = self.last_awake_at
                self.catching_up_until = now + CATCH_UP_SECONDS
            self.last_awake_at = now
            await asyncio.sleep(WAKE_UP_SECONDS)


class Leases:
    """Lease grants and releases of one server, in order of arrival."""

    def __init__(self):
        self.messages: list[dict] = []

    def grant(self, message: dict, arrived_at: float) -> float | None:
        """Accepts a lease unless an overlapping one has a higher fence.

        Returns:
            When the lease expires, or None if it was rejected.
        """
        for lease in self.messages:
            disjoint = (
                lease["to"] < message["from"] or message["to"] < lease["from"]
            )
            if not disjoint and lease["fence"] > message["fence"]:
                return None
        expires_at = arrived_at + message["hold_ms"] / 1000
        self.messages.append({**message, "until": expires_at})
        return expires_at

    def release(self, message: dict) -> None:
        """Releases a range of keys."""
        for key in ("from", "to"):
            message[key] = int(message[key])
        self.messages.append({**message, "until": 0.0})

    def owns(self, key: int) -> bool:
        """Returns whether the newest message about a key left a valid lease."""
        for lease in reversed(self.messages):
            if lease["from"] <= key <= lease["to"]:
                return lease["until"] > time.monotonic()
        return False
