"""An accepted job that is not over, with its tasks, as the records tell."""

from __future__ import annotations

from collections.abc import Iterator

from gladecroft.bookkeeping import records as rec
from gladecroft.bookkeeping.records import TaskState
from gladecroft.protocol.wire import PRIORITY_RANK, JobSpec

#: A job's name and the task's number.
TaskKey = tuple[str, int]

#: What a task is whose chunk has no record yet.
EMPTY = rec.TaskRecord()


class Job:
    """An accepted job that is not over, with its tasks."""

    __slots__ = (
        "id", "spec", "record", "version", "chunks", "versions", "counts", "ever_placed_count", "priority_rank",
        "chunk_size", "_notes", "_failed_on", "_through",
    )  # fmt: skip

    def __init__(self, record: rec.JobRecord, version: int, size: int) -> None:
        self.id = record.spec.id
        self.spec: JobSpec = record.spec
        self.record = record
        self.version = version
        self.chunk_size = size
        self.chunks: dict[int, list[rec.TaskRecord]] = {}
        self.versions: dict[int, int] = {}
        self.counts = [record.spec.tasks, 0, 0, 0]
        #: Tasks that have been placed at least once.
        self.ever_placed_count = 0
        self.priority_rank = PRIORITY_RANK[record.spec.priority]
        #: Chunks in which no task waits: a round need not look through what is done of a large array.
        self._through: set[int] = set()
        self._notes: list[str] | None = []
        self._failed_on: frozenset[str] | None = frozenset()

    @property
    def cancelled(self) -> bool:
        return self.record.cancelled

    @property
    def placed_count(self) -> int:
        return self.counts[TaskState.ACTIVE] + self.counts[TaskState.STOPPING]

    @property
    def done_count(self) -> int:
        return self.counts[TaskState.DONE]

    @property
    def queued_count(self) -> int:
        return 0 if self.cancelled else self.counts[TaskState.QUEUED]

    @property
    def finished(self) -> bool:
        """Nothing of it can run any more: all done, or cancelled with every attempt gone."""
        return self.done_count == self.spec.tasks or (self.cancelled and self.placed_count == 0)

    def chunk_count(self) -> int:
        return -(-self.spec.tasks // self.chunk_size)

    def chunk_length(self, index: int) -> int:
        return min(self.chunk_size, self.spec.tasks - index * self.chunk_size)

    def task(self, number: int) -> rec.TaskRecord:
        chunk = self.chunks.get(number // self.chunk_size)
        return EMPTY if chunk is None else chunk[number % self.chunk_size]

    def changed(self, index: int, waiting: bool) -> None:
        """Some tasks of a chunk have; ``waiting``: some of them wait."""
        (self._through.discard if waiting else self._through.add)(index)
        self._notes = self._failed_on = None

    def queued_notes(self) -> list[str]:
        """Why waiting tasks last stopped, the most frequent first; worked out once a change, not once a poll."""
        if self._notes is None:
            notes: dict[str, int] = {}
            for chunk in self.chunks.values():
                for task in chunk:
                    if task.note and task.state is TaskState.QUEUED:
                        notes[task.note] = notes.get(task.note, 0) + 1
            self._notes = [f"{note} ({count})" for note, count in sorted(notes.items(), key=lambda item: -item[1])[:3]]
        return self._notes

    def failed_machines(self) -> frozenset[str]:
        """The machines on which waiting tasks last failed; worked out once a change."""
        if self._failed_on is None:
            self._failed_on = frozenset(
                task.note.removeprefix(rec.FAILED_NOTE_PREFIX)
                for chunk in self.chunks.values()
                for task in chunk
                if task.failures and task.state is TaskState.QUEUED and task.note.startswith(rec.FAILED_NOTE_PREFIX)
            )
        return self._failed_on

    def queued_numbers(self) -> Iterator[int]:
        for index in range(self.chunk_count()):
            if index in self._through:
                continue
            chunk = self.chunks.get(index)
            base = index * self.chunk_size
            if chunk is None:
                yield from range(base, base + self.chunk_length(index))
            else:
                for offset, task in enumerate(chunk):
                    if task.state == TaskState.QUEUED:
                        yield base + offset

    def placed_tasks(self) -> Iterator[tuple[int, rec.TaskRecord]]:
        for index, chunk in self.chunks.items():
            for offset, task in enumerate(chunk):
                if task.state in (TaskState.ACTIVE, TaskState.STOPPING):
                    yield index * self.chunk_size + offset, task
