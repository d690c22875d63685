"""Versions of keys, so that updates may arrive in any order.

The version of a key is the revision of its last change.
"""

from __future__ import annotations

from collections import OrderedDict

#: Maximum number of tombstones kept. A tombstone is the revision of a key's deletion. It keeps older updates that
#: arrive later from restoring the key.
MAX_TOMBSTONES = 20_000


class KeyVersions:
    """The version of each existing key, and tombstones of deleted ones."""

    def __init__(self) -> None:
        self._versions: dict[str, int] = {}
        self._tombstones: OrderedDict[str, int] = OrderedDict()

    def get(self, key: str) -> int:
        """The last known version of the key; 0 if it does not exist."""
        return self._versions.get(key, 0)

    def advance(self, key: str, version: int, exists: bool) -> bool:
        """Record an update of a key, or its deletion; False if it is not newer than the known version or tombstone."""
        if version <= self._versions.get(key, 0) or version <= self._tombstones.get(key, 0):
            return False
        if exists:
            self._versions[key] = version
        else:
            self._versions.pop(key, None)
            self.add_tombstone(key, version)
        return True

    def forget(self, key: str) -> None:
        """Forget a key that never changes again, to save memory.

        No tombstone is added, so an update that arrives again is accepted again.
        """
        self._versions.pop(key, None)

    def add_tombstone(self, key: str, version: int) -> None:
        """Add a tombstone without changing the key's version; called directly for keys that never had a record.

        If there are too many, the one added first is dropped; adding it again does not change its place.
        """
        self._tombstones[key] = version
        if len(self._tombstones) > MAX_TOMBSTONES:
            self._tombstones.popitem(last=False)

    def has_tombstone(self, key: str) -> bool:
        """Whether the key has a tombstone, even if it has been created again since. Only the newest ones are kept."""
        return key in self._tombstones
