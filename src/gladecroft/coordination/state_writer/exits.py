"""Tracks exits: attempts that are confirmed ended, until the task records say so.

A team's records are written by its home controller only. An owner notifies the home of exits on its machines; if the
home cannot be reached, the owner writes them into its outbox record.
"""

from __future__ import annotations

from datetime import timedelta

import msgspec

from gladecroft.bookkeeping import records as rec
from gladecroft.bookkeeping.job import Job
from gladecroft.bookkeeping.transaction import TransactionBuilder
from gladecroft.coordination.context import ControllerContext
from gladecroft.coordination.events import IncomingRequest
from gladecroft.coordination.membership import Membership
from gladecroft.protocol import peers, wire

#: Minimum time between two writes of the outbox record, so that one value holds many entries.
OUTBOX_INTERVAL = timedelta(seconds=1)
#: How often homes are notified of exits, after how long they are notified again, and after how long an exit that the
#: home has not acknowledged goes into the outbox record.
NOTIFY_INTERVAL = timedelta(milliseconds=250)
RENOTIFY_INTERVAL = timedelta(seconds=2)
OUTBOX_FALLBACK_AFTER = timedelta(milliseconds=1500)
#: Prefix of the note of a task that was lost with its machine; the name of the machine follows.
LOST_NOTE_PREFIX = "lost "

#: A job's name, the task's number, the attempt.
AttemptKey = tuple[str, int, int]
#: A job's name and the number of its chunk.
ChunkKey = tuple[str, int]


class Outcome(msgspec.Struct, frozen=True):
    """How an attempt ended; ``failed`` tells whether it counts as a failure of the task."""

    done: bool
    note: str = ""
    failed: bool = False


class ExitBatch(msgspec.Struct):
    """The exits of one chunk that are recorded in one write.

    ``exits`` holds the number, attempt and outcome of each task, ``completed`` the number of completed ones,
    ``machines`` where the attempts ran, ``since`` when the first exit was recorded.
    """

    since: timedelta
    exits: list[tuple[int, int, Outcome]] = []
    completed: int = 0
    machines: set[str] = set()


class ExitTracker:
    """The exits known to this controller ahead of the records."""

    def __init__(self, context: ControllerContext, membership: Membership) -> None:
        self.context = context
        self.cluster_state = context.cluster_state
        self.membership = membership
        self.exits: dict[AttemptKey, Outcome] = {}
        self.recorded_at: dict[AttemptKey, timedelta] = {}
        #: The same exits by job and chunk, the batches built from them, and the chunks whose exits or records changed.
        #: Thousands of exits wait while the write budget is low. Checking all of them in each round took a seventh of
        #: the controller's processor time, and rebuilt all batches of a job for each exit.
        self._exits_by_job: dict[str, dict[int, dict[AttemptKey, Outcome]]] = {}
        self._batches: dict[ChunkKey, ExitBatch] = {}
        self._dirty_chunks: set[ChunkKey] = set()
        #: Machines that the cloud has confirmed as returned at the request of this controller; nothing runs there.
        self.returned_machines: dict[str, None] = {}
        #: Machines whose announcement is overdue at some peer; they are announced through the outbox record.
        self.unannounced_machines: dict[str, None] = {}
        #: When the home of each exit was last notified of it, and the exits that the home has acknowledged.
        self._notified_at: dict[AttemptKey, timedelta] = {}
        self._acknowledged: set[AttemptKey] = set()
        self._last_notified_at = timedelta(days=-1)
        self._outbox_versions: dict[str, tuple[int, int]] = {}
        self._outbox_written_at = timedelta(days=-1)

    def record_exit(self, job: str, number: int, attempt: int, outcome: Outcome) -> None:
        """Records that an attempt is confirmed ended."""
        key = (job, number, attempt)
        if key not in self.exits:
            self.exits[key] = outcome
            self.recorded_at[key] = self.context.now
            index = number // self.cluster_state.chunk_size
            self._exits_by_job.setdefault(job, {}).setdefault(index, {})[key] = outcome
            self._batches.pop((job, index), None)
            self._dirty_chunks.add((job, index))
            self.cluster_state.set_unrecorded_exit((job, number), attempt)
            if outcome.note.startswith(LOST_NOTE_PREFIX):
                # The record of the machine may be updated only later; a task placed there meanwhile would be lost.
                self.cluster_state.suspend_placement(
                    [outcome.note.removeprefix(LOST_NOTE_PREFIX)], self.context.now + self.context.machine_lease
                )

    def discard(self, key: tuple[str, int, int]) -> None:
        """Drops an exit that the records show by now, or that no longer holds."""
        del self.exits[key]
        del self.recorded_at[key]
        index = key[1] // self.cluster_state.chunk_size
        job_exits = self._exits_by_job[key[0]]
        del job_exits[index][key]
        if not job_exits[index]:
            del job_exits[index]
        if not job_exits:
            del self._exits_by_job[key[0]]
        self._batches.pop((key[0], index), None)
        self.cluster_state.set_unrecorded_exit(key[:2], None)
        self._notified_at.pop(key, None)
        self._acknowledged.discard(key)

    def _exits_of(self, job: str) -> list[tuple[AttemptKey, Outcome]]:
        """Returns all exits of a job that are known ahead of the records."""
        return [item for exits in self._exits_by_job.get(job, {}).values() for item in exits.items()]

    def batches(self) -> dict[ChunkKey, ExitBatch]:
        """Returns the exits that this controller is to record, by chunk, oldest first; drops those already recorded."""
        dirty = self._dirty_chunks | self.cluster_state.changed_chunks
        self._dirty_chunks.clear()
        self.cluster_state.changed_chunks.clear()
        for name, index in dirty:
            chunks = self._exits_by_job.get(name, {})
            job = self.cluster_state.jobs.get(name)
            # If the job no longer exists, all of its exits are dropped.
            for chunk in list(chunks) if job is None else [index]:
                for key in list(chunks.get(chunk, ())):
                    task = None if job is None else job.task(key[1])
                    if task is None or not task.machine or task.attempt != key[2]:
                        self.discard(key)
        batches = {
            (name, index): self._batch(job, index)
            for name, chunks in self._exits_by_job.items()
            if (job := self.cluster_state.jobs.get(name)) is not None and not self.is_recorded_by_home(job)
            for index in chunks
        }
        return dict(sorted(batches.items(), key=lambda item: item[1].since))

    def _batch(self, job: Job, index: int) -> ExitBatch:
        batch = self._batches.get((job.id, index))
        if batch is None:
            exits = self._exits_by_job[job.id][index]
            batch = self._batches[job.id, index] = ExitBatch(self.recorded_at[next(iter(exits))])
            for key, outcome in exits.items():
                _, number, attempt = key
                batch.exits.append((number, attempt, outcome))
                batch.completed += outcome.done
                batch.machines.add(job.task(number).machine)
        return batch

    def epoch_changed(self, continuous: bool) -> None:
        """Drops exits on machines that another controller owns or may have owned: it may have restarted the attempt.

        This includes exits reported by other owners, which are valid only in the epoch in which they were reported.
        """
        self._notified_at.clear()
        self._acknowledged.clear()
        for name, number, attempt in list(self.exits):
            job = self.cluster_state.jobs.get(name)
            machine = "" if job is None else job.task(number).machine
            still_owned = continuous and self.membership.owner(machine) == self.context.name
            if machine not in self.returned_machines and not still_owned:
                self.discard((name, number, attempt))

    def notify_homes(self) -> None:
        """Notifies the homes of other jobs of exits on the machines of this controller.

        Only a home writes the records of its teams. When each owner wrote the exits on its machines, most commits of a
        large cluster failed because another controller had just changed the same team or job.
        """
        context, epoch = self.context, self.cluster_state.epoch
        if context.now - self._last_notified_at < NOTIFY_INTERVAL or epoch is None or not self.membership.is_active():
            return
        self._last_notified_at = context.now
        self._read_outboxes(epoch.number)
        batches: dict[str, list[peers.EndedAttempt]] = {}
        for name in self._exits_by_job:
            job = self.cluster_state.jobs.get(name)
            home = None if job is None else self.membership.job_home(job.spec)
            if home is None or home == context.name:
                continue
            batch = batches.setdefault(home, [])
            for key, outcome in self._exits_of(name):
                if len(batch) >= peers.MAX_ENDED_PER_MESSAGE:
                    break
                last = self._notified_at.get(key)
                if last is None or context.now - last >= RENOTIFY_INTERVAL:
                    batch.append(peers.EndedAttempt(*key, outcome.done, outcome.note, outcome.failed))
                    self._notified_at[key] = context.now
        for home, batch in batches.items():
            if batch:
                self._notify_home(home, epoch.number, batch)

    def _notify_home(self, home: str, epoch: int, batch: list[peers.EndedAttempt]) -> None:
        keys = [(ended.job, ended.number, ended.attempt) for ended in batch]

        def then(status: int, body: bytes) -> None:
            current_epoch = self.cluster_state.epoch
            if current_epoch is None or current_epoch.number != epoch:
                return
            if status == 200:
                self._acknowledged.update(key for key in keys if key in self.exits)
            else:
                self._acknowledged.difference_update(keys)

        self.context.call_peer(home, peers.ENDED_ATTEMPTS_PATH, wire.encode(peers.EndedAttempts(epoch, batch)), then)

    def handle_ended(self, request: IncomingRequest) -> None:
        """Handles a peer's notification of exits on its machines.

        An exit is valid as long as the machine has no new owner. So it is accepted only under the epoch that the
        message names, and the commit based on it is conditional on that epoch.
        """
        message = self.context.decode_request(request, peers.EndedAttempts)
        if message is None:
            return
        epoch = self.cluster_state.epoch
        if epoch is None or epoch.number != message.epoch or not self.membership.is_active():
            self.context.reply_error(request.request_id, 503, "another epoch", 1)
            return
        self._record_ended(message.attempts)
        self.context.reply(request.request_id, 200, b"{}")

    def _record_ended(self, attempts: list[peers.EndedAttempt]) -> None:
        for ended in attempts:
            job = self.cluster_state.jobs.get(ended.job)
            if job is not None and 0 <= ended.number < job.spec.tasks:
                outcome = Outcome(ended.done, ended.note, ended.failed)
                self.record_exit(ended.job, ended.number, ended.attempt, outcome)

    def _read_outboxes(self, epoch: int) -> None:
        """Reads the outbox records of peers; exits in them count like notifications."""
        for peer, outbox in self.cluster_state.outboxes.items():
            version = self.cluster_state.version(rec.outbox_key(peer))
            if peer == self.context.name or self._outbox_versions.get(peer) == (version, epoch):
                continue
            self._outbox_versions[peer] = (version, epoch)
            if outbox.epoch == epoch:
                self._record_ended(
                    [
                        ended
                        for ended in outbox.ended
                        if ended.job in self.cluster_state.jobs
                        and self.membership.job_home(self.cluster_state.jobs[ended.job].spec) == self.context.name
                    ]
                )
            for machine in outbox.heard:
                self.cluster_state.add_reported_machine(
                    machine.name, rec.MachineRecord(machine.type, machine.zone, machine.spot, machine.addr)
                )

    def compose_outbox(self, txn: TransactionBuilder, machine_writes: dict[str, rec.MachineRecord | None]) -> None:
        """Adds this controller's outbox record: overdue exits and announcements, as many as fit into one value."""
        context, epoch = self.context, self.cluster_state.epoch
        if epoch is None or context.now - self._outbox_written_at < OUTBOX_INTERVAL or not txn.has_room(1, 0):
            return
        size = 100
        ended: list[peers.EndedAttempt] = []
        reported: list[peers.ReportedMachine] = []
        remote_exits = [
            (key, outcome)
            for name in self._exits_by_job
            if (job := self.cluster_state.jobs.get(name)) is not None and self.is_recorded_by_home(job)
            for key, outcome in self._exits_of(name)
        ]
        for key, outcome in remote_exits:
            if key in self._acknowledged or context.now - self.recorded_at[key] < OUTBOX_FALLBACK_AFTER:
                continue
            entry = peers.EndedAttempt(*key, outcome.done, outcome.note, outcome.failed)
            size += len(msgspec.json.encode(entry)) + 1
            if size > self.cluster_state.max_value_bytes:
                break
            ended.append(entry)
        for name in self.unannounced_machines:
            record = self.cluster_state.reported_machines.get(name)
            if record is not None:
                machine = peers.ReportedMachine(name, record.type, record.zone, record.spot, record.addr)
                size += len(msgspec.json.encode(machine)) + 1
                if size > self.cluster_state.max_value_bytes:
                    # No space left in the outbox record: the machine gets a record of its own.
                    machine_writes.setdefault(name, record)
                else:
                    reported.append(machine)
        before = self.cluster_state.outboxes.get(context.name)
        if before is not None and (before.epoch == epoch.number or not ended):
            if set(ended) <= set(before.ended) and set(reported) <= set(before.heard):
                return
        elif not ended and not reported:
            return
        txn.put(rec.outbox_key(context.name), rec.OutboxRecord(epoch.number, ended, reported))
        self._outbox_written_at = context.now

    def is_recorded_by_home(self, job: Job) -> bool:
        """Whether another controller is a job's home and records its exits.

        A home that cannot be notified learns of them through the outbox record. When owners recorded such exits
        themselves, each cost a write from the small budget shares of controllers that place nothing.
        """
        return self.membership.job_home(job.spec) != self.context.name
