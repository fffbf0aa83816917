"""What a backend server believes it owns, and until when."""

import time

from standins import record


class Ownership:
    """Assignment and lease of one server.

    Args:
        checks_sender: Whether orders of an earlier epoch or version are
            refused. Otherwise every order is followed until its deadline.
        recorder: The server's record.
    """

    def __init__(self, *, checks_sender: bool, recorder: record.Recorder):
        self.checks_sender = checks_sender
        self.recorder = recorder
        self.epoch = 0
        self.version = 0
        self.fences: dict[str, int] = {}
        self.excluded: frozenset[str] = frozenset()
        self.until = 0.0

    def assign(self, order: dict) -> bool:
        """Follows an assignment.

        Returns:
            False when it is refused as outdated.
        """
        stamp = (order["epoch"], order["version"])
        if self.checks_sender and stamp < (self.epoch, self.version):
            return False
        if order["deadline"] <= time.time():
            return True
        same = order["version"] == self.version
        latest = self.until if same else 0.0
        self.epoch, self.version = stamp
        self.excluded = frozenset(order["excluded"])
        self.fences = dict(order["fences"])
        self.until = max(latest, order["deadline"])
        self.recorder.assigned(self.fences, order["excluded"], self.until)
        return True

    def renew(self, order: dict) -> bool:
        """Follows a renewal.

        Returns:
            False when it states another version than the server's.
        """
        if self.checks_sender and order["epoch"] < self.epoch:
            return False
        if order["version"] != self.version:
            return False
        self.epoch = max(self.epoch, order["epoch"])
        if order["deadline"] > max(self.until, time.time()):
            self.until = order["deadline"]
            self.recorder.renewed(self.until)
        return True

    def owns(self, partition: str, fence: int, key: str) -> bool:
        """Tells whether the server owns a partition at this moment."""
        if time.time() >= self.until:
            return False
        if not partition.startswith("key:") and key in self.excluded:
            return False
        return self.fences.get(partition) == fence
