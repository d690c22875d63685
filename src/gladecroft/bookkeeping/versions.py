"""Versions of keys, so that updates may arrive in any order.

The version of a key is the revision of its last change.
"""

from __future__ import annotations

from collections import OrderedDict

#: Maximum number of tombstones kept. A tombstone is a revision at which a key did not exist: that of its deletion, or
#: of a read that did not find it. It keeps older updates that arrive later from creating the key.
MAX_TOMBSTONES = 20_000


class KeyVersions:
    """The version of each existing key, and tombstones of keys that do not exist.

    A tombstone only orders updates. It does not tell whether the key ever existed.
    """

    def __init__(self) -> None:
        self._versions: dict[str, int] = {}
        self._tombstones: OrderedDict[str, int] = OrderedDict()

    def get(self, key: str) -> int:
        """The last known version of the key; 0 if it does not exist."""
        return self._versions.get(key, 0)

    def advance(self, key: str, version: int, exists: bool) -> bool:
        """Record an update of a key, or that it does not exist; False if that is not newer than what is known.

        If there are too many tombstones, the one added first is dropped; adding it again does not change its place.
        """
        if version <= self._versions.get(key, 0) or version <= self._tombstones.get(key, 0):
            return False
        if exists:
            self._versions[key] = version
        else:
            self._versions.pop(key, None)
            self._tombstones[key] = version
            if len(self._tombstones) > MAX_TOMBSTONES:
                self._tombstones.popitem(last=False)
        return True

    def forget(self, key: str) -> None:
        """Forget a key that never changes again, to save memory.

        No tombstone is added, so an update that arrives again is accepted again.
        """
        self._versions.pop(key, None)
