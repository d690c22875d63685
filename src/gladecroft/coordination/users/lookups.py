"""Reads a job's records from the state service when the picture does not tell."""

from __future__ import annotations

from collections.abc import Callable

from gladecroft.bookkeeping import records as rec
from gladecroft.coordination.node import Node
from gladecroft.coordination.users.desk import Desk, Waiting
from gladecroft.protocol import wire

READS_AT_ONCE = 16


class Lookups:
    """``found`` is told of each request that waited for a job's records, and whether the store has the job."""

    def __init__(self, node: Node, desk: Desk, found: Callable[[Waiting, bool], None]) -> None:
        self.node = node
        self.picture = node.picture
        self.desk = desk
        self._found = found
        self._reads: dict[str, list[Waiting]] = {}
        self._reading: set[str] = set()

    def __len__(self) -> int:
        return len(self._reads)

    def read(self, waiting: Waiting) -> None:
        self._reads.setdefault(waiting.asked.job, []).append(waiting)
        self.flush()

    def flush(self) -> None:
        for name in list(self._reads):
            if len(self._reading) >= READS_AT_ONCE:
                return
            if name in self._reading:
                continue
            if not self._start(name):
                return

    def _start(self, name: str) -> bool:
        """Read the job's record, then its final record: a job goes from the first to the second, never back."""
        node = self.node

        def finish(known: bool) -> None:
            self._reading.discard(name)
            for waiting in self._reads.pop(name, []):
                if self.desk.alive(waiting):
                    self._found(waiting, known)

        def retry() -> None:
            self._reading.discard(name)

        def live(status: int, body: bytes) -> None:
            if status == 200:
                item: wire.Item = wire.decode(wire.Item, body)
                self.picture.apply(item.key, item.value, item.version)
                finish(True)
            elif status == 404:
                self.picture.apply(rec.job_key(name), None, wire.decode(wire.Missing, body).revision)
                if not node.state("GET", wire.key_path(rec.final_key(name)), None, final, urgent=True):
                    retry()
            else:
                retry()

        def final(status: int, body: bytes) -> None:
            if status == 200:
                item: wire.Item = wire.decode(wire.Item, body)
                self.picture.note_final(name, wire.decode(rec.FinalRecord, bytes(item.value)))
                finish(True)
            elif status == 404:
                finish(False)
            else:
                retry()

        if not node.state("GET", wire.key_path(rec.job_key(name)), None, live):
            return False
        self._reading.add(name)
        return True
