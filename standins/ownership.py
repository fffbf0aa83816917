"""Partitions that a backend server owns, and when its lease expires."""

import time

from standins import record


class Ownership:
    """Assignment and lease of one server.

    Args:
        checks_sender: Whether the server rejects assignments and renewals of
            an earlier epoch or version. Otherwise it follows each one until
            its deadline.
        recorder: Recorder of the server.
    """

    def __init__(self, *, checks_sender: bool, recorder: record.Recorder):
        self.checks_sender = checks_sender
        self.recorder = recorder
        self.epoch = 0
        self.version = 0
        self.fences: dict[str, int] = {}
        self.excluded: frozenset[str] = frozenset()
        self.expires_at = 0.0

    def assign(self, message: dict) -> bool:
        """Applies an assignment; accepts but ignores one that has expired.

        Returns:
            False if the assignment is rejected as outdated.
        """
        revision = (message["epoch"], message["version"])
        if self.checks_sender and revision < (self.epoch, self.version):
            return False
        if message["deadline"] <= time.time():
            return True
        same_version = message["version"] == self.version
        current_expiry = self.expires_at if same_version else 0.0
        self.epoch, self.version = revision
        self.excluded = frozenset(message["excluded"])
        self.fences = dict(message["fences"])
        self.expires_at = max(current_expiry, message["deadline"])
        self.recorder.assigned(
            self.fences, message["excluded"], self.expires_at
        )
        return True

    def renew(self, message: dict) -> bool:
        """Applies a lease renewal.

        Returns:
            False if its epoch is outdated or its version is not the server's.
        """
        if self.checks_sender and message["epoch"] < self.epoch:
            return False
        if message["version"] != self.version:
            return False
        self.epoch = max(self.epoch, message["epoch"])
        if message["deadline"] > max(self.expires_at, time.time()):
            self.expires_at = message["deadline"]
            self.recorder.renewed(self.expires_at)
        return True

    def owns(self, partition: str, fence: int, key: str) -> bool:
        """Returns whether the server currently owns a key of a partition.

        An excluded key has a partition of its own, named ``key:`` and the key.
        """
        if time.time() >= self.expires_at:
            return False
        if not partition.startswith("key:") and key in self.excluded:
            return False
        return self.fences.get(partition) == fence
