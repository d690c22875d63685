"""Of which revision each key is, so that changes may come in any order."""

from __future__ import annotations

from collections import OrderedDict

#: Revisions of deleted keys that are kept, so that an older change can't bring a key back.
TOMBSTONES = 20_000


class KeyVersions:
    def __init__(self) -> None:
        self._live: dict[str, int] = {}
        self._dead: OrderedDict[str, int] = OrderedDict()

    def of(self, key: str) -> int:
        """The revision of the key's last change as far as known; 0 if the key does not exist."""
        return self._live.get(key, 0)

    def take(self, key: str, version: int, exists: bool) -> bool:
        """Note a change; False if a later one of the key is known."""
        if version <= self._live.get(key, 0) or version <= self._dead.get(key, 0):
            return False
        if exists:
            self._live[key] = version
        else:
            self._live.pop(key, None)
            self.bury(key, version)
        return True

    def forget(self, key: str) -> None:
        """The key never changes any more: no need to know its revision."""
        self._live.pop(key, None)

    def bury(self, key: str, version: int) -> None:
        self._dead[key] = version
        if len(self._dead) > TOMBSTONES:
            self._dead.popitem(last=False)

    def buried(self, key: str) -> bool:
        """Whether the key was deleted, as far as is remembered."""
        return key in self._dead
