"""Jobs without a final record and their tasks, as read from the records."""

from __future__ import annotations

from collections.abc import Iterator

from gladecroft.bookkeeping import records as rec
from gladecroft.bookkeeping.records import TaskState
from gladecroft.protocol.wire import PRIORITY_RANK, JobSpec

#: A job's id and the number of a task.
TaskKey = tuple[str, int]

#: The record of a task whose chunk has not been written yet.
NEW_TASK = rec.TaskRecord()


class Job:
    """An accepted job until its final record is known, with its tasks in chunks of ``chunk_size``."""

    __slots__ = (
        "id", "spec", "record", "version", "chunks", "chunk_versions", "counts", "ever_placed_count", "priority_rank",
        "chunk_size", "_queued_notes", "_failed_machines", "_chunks_without_queued",
    )  # fmt: skip

    def __init__(self, record: rec.JobRecord, version: int, chunk_size: int) -> None:
        self.id = record.spec.id
        self.spec: JobSpec = record.spec
        self.record = record
        self.version = version
        self.chunk_size = chunk_size
        self.chunks: dict[int, list[rec.TaskRecord]] = {}
        self.chunk_versions: dict[int, int] = {}
        #: Number of tasks in each ``TaskState``.
        self.counts = [record.spec.tasks, 0, 0, 0]
        #: Number of tasks that have been placed at least once.
        self.ever_placed_count = 0
        self.priority_rank = PRIORITY_RANK[record.spec.priority]
        #: Chunks without queued tasks. ``queued_task_numbers`` skips them, to avoid scanning the tasks of an array that
        #: are done.
        self._chunks_without_queued: set[int] = set()
        self._queued_notes: list[str] | None = []
        self._failed_machines: frozenset[str] | None = frozenset()

    @property
    def cancelled(self) -> bool:
        return self.record.cancelled

    @property
    def placed_count(self) -> int:
        """The number of tasks with an attempt on a machine."""
        return self.counts[TaskState.ACTIVE] + self.counts[TaskState.STOPPING]

    @property
    def done_count(self) -> int:
        return self.counts[TaskState.DONE]

    @property
    def queued_count(self) -> int:
        return 0 if self.cancelled else self.counts[TaskState.QUEUED]

    @property
    def finished(self) -> bool:
        """Whether all tasks are done, or the job is cancelled and none of its attempts is left."""
        return self.done_count == self.spec.tasks or (self.cancelled and self.placed_count == 0)

    def chunk_count(self) -> int:
        return -(-self.spec.tasks // self.chunk_size)

    def chunk_length(self, index: int) -> int:
        return min(self.chunk_size, self.spec.tasks - index * self.chunk_size)

    def task(self, task_number: int) -> rec.TaskRecord:
        chunk = self.chunks.get(task_number // self.chunk_size)
        return NEW_TASK if chunk is None else chunk[task_number % self.chunk_size]

    def mark_chunk_changed(self, index: int, has_queued: bool) -> None:
        """Update derived data after a chunk changed; ``has_queued``: some of its tasks are queued."""
        (self._chunks_without_queued.discard if has_queued else self._chunks_without_queued.add)(index)
        self._queued_notes = self._failed_machines = None

    def queued_notes(self) -> list[str]:
        """The most frequent reasons, at most three, why attempts of queued tasks stopped, with counts.

        Cached until a chunk changes, since users poll it.
        """
        if self._queued_notes is None:
            notes: dict[str, int] = {}
            for chunk in self.chunks.values():
                for task in chunk:
                    if task.note and task.state is TaskState.QUEUED:
                        notes[task.note] = notes.get(task.note, 0) + 1
            self._queued_notes = [
                f"{note} ({count})" for note, count in sorted(notes.items(), key=lambda item: -item[1])[:3]
            ]
        return self._queued_notes

    def failed_machines(self) -> frozenset[str]:
        """The machines on which the latest attempts of queued tasks failed. Cached until a chunk changes."""
        if self._failed_machines is None:
            self._failed_machines = frozenset(
                task.note.removeprefix(rec.FAILED_NOTE_PREFIX)
                for chunk in self.chunks.values()
                for task in chunk
                if task.failures and task.state is TaskState.QUEUED and task.note.startswith(rec.FAILED_NOTE_PREFIX)
            )
        return self._failed_machines

    def queued_task_numbers(self) -> Iterator[int]:
        """The numbers of the queued tasks, in order."""
        for index in range(self.chunk_count()):
            if index in self._chunks_without_queued:
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
        """The numbers and records of the tasks with an attempt on a machine."""
        for index, chunk in self.chunks.items():
            for offset, task in enumerate(chunk):
                if task.state in (TaskState.ACTIVE, TaskState.STOPPING):
                    yield index * self.chunk_size + offset, task
