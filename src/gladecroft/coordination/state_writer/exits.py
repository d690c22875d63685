"""Tracks exits: attempts that are confirmed ended, until the task records show it.

The *home controller* of a team schedules the team's jobs and is the only one that writes their task records. The
*owner* of a machine receives the machine's reports, and so learns of exits. It notifies the home controllers of the
exits on its machines. Exits whose home controller does not respond go into the owner's *outbox*, a record in the state
service that all controllers receive.
"""

from __future__ import annotations

import logging
from datetime import timedelta

import msgspec

from gladecroft.bookkeeping import records as rec
from gladecroft.bookkeeping.job import Job
from gladecroft.bookkeeping.transaction import TransactionBuilder
from gladecroft.coordination.context import ControllerContext
from gladecroft.coordination.events import IncomingRequest
from gladecroft.coordination.membership import Membership
from gladecroft.protocol import peers, wire

log = logging.getLogger(__name__)

#: Minimum time between two writes of the outbox record, so that one value holds many entries.
OUTBOX_INTERVAL = timedelta(seconds=1)
#: How often messages about exits and new machines are sent to peers, after how long an exit is sent again, and after
#: how long an exit that the home controller has not acknowledged goes into the outbox record.
PEER_MESSAGE_INTERVAL = timedelta(milliseconds=250)
RENOTIFY_INTERVAL = timedelta(seconds=2)
OUTBOX_FALLBACK_AFTER = timedelta(milliseconds=1500)
#: Prefix of the note of a task that was lost with its machine; the id of the machine follows.
LOST_NOTE_PREFIX = "lost "

#: A job's id, the task's number, the attempt.
AttemptKey = tuple[str, int, int]
#: A job's id and the index of the chunk.
ChunkKey = tuple[str, int]


class Outcome(msgspec.Struct, frozen=True):
    """How an attempt ended; ``failed`` tells whether it counts as a failure of the task."""

    done: bool
    note: str = ""
    failed: bool = False


class ExitBatch(msgspec.Struct):
    """The exits of one chunk that are recorded in one write.

    ``exits`` holds the number, attempt and outcome of each task, ``completed`` the number of tasks that completed,
    ``machines`` the machines on which the attempts ran, ``since`` the time when this controller learned of the first
    exit.
    """

    since: timedelta
    exits: list[tuple[int, int, Outcome]] = []
    completed: int = 0
    machines: set[str] = set()


class ExitTracker:
    """The exits that this controller knows of and the records do not show yet."""

    def __init__(self, context: ControllerContext, membership: Membership) -> None:
        self.context = context
        self.cluster_state = context.cluster_state
        self.membership = membership
        self.exits: dict[AttemptKey, Outcome] = {}
        self.recorded_at: dict[AttemptKey, timedelta] = {}
        #: The same exits by job and chunk, the batches built from them, and the chunks whose exits changed.
        #: While the write budget is low, thousands of exits are pending. When all of them were checked in each round,
        #: this took a seventh of the controller's processor time, and each exit rebuilt all batches of its job.
        self._exits_by_job: dict[str, dict[int, dict[AttemptKey, Outcome]]] = {}
        self._batches: dict[ChunkKey, ExitBatch] = {}
        self._dirty_chunks: set[ChunkKey] = set()
        #: Machines that this controller has returned to the cloud, as confirmed by the cloud; no task runs on them.
        self.returned_machines: dict[str, None] = {}
        #: Machines that some peer has not acknowledged for too long; they are announced through the outbox record.
        self.overdue_announcements: dict[str, None] = {}
        #: When the home controller was last notified of each exit, and the exits that it has acknowledged.
        self._notified_at: dict[AttemptKey, timedelta] = {}
        self._acknowledged: set[AttemptKey] = set()
        self._last_notified_at = timedelta(days=-1)
        #: By peer, the version of its outbox record that was last read, and the epoch at that time.
        self._outbox_versions: dict[str, tuple[int, int]] = {}
        self._outbox_written_at = timedelta(days=-1)

    def record_exit(self, job_id: str, task_number: int, attempt: int, outcome: Outcome) -> None:
        """Records that an attempt is confirmed ended."""
        key = (job_id, task_number, attempt)
        if key not in self.exits:
            log.debug(
                "exit confirmed: attempt=%s/%d#%d outcome=%s", job_id, task_number, attempt, outcome.note or "done"
            )
            self.exits[key] = outcome
            self.recorded_at[key] = self.context.now
            index = task_number // self.cluster_state.chunk_size
            self._exits_by_job.setdefault(job_id, {}).setdefault(index, {})[key] = outcome
            self._batches.pop((job_id, index), None)
            self._dirty_chunks.add((job_id, index))
            self.cluster_state.set_unrecorded_exit((job_id, task_number), attempt)
            if outcome.note.startswith(LOST_NOTE_PREFIX):
                # The machine's record may be updated only later; a task placed on the machine until then would be lost.
                self.cluster_state.suspend_placement(
                    [outcome.note.removeprefix(LOST_NOTE_PREFIX)], self.context.now + self.context.machine_lease
                )

    def discard(self, key: tuple[str, int, int]) -> None:
        """Drops an exit that the records show by now, or that this controller may no longer record."""
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

    def _exits_of(self, job_id: str) -> list[tuple[AttemptKey, Outcome]]:
        """Returns all exits of a job that the records do not show yet."""
        return [item for exits in self._exits_by_job.get(job_id, {}).values() for item in exits.items()]

    def batches(self) -> dict[ChunkKey, ExitBatch]:
        """Returns the exits that this controller has to record, by chunk, oldest first; drops those in the records."""
        dirty = self._dirty_chunks | self.cluster_state.changed_chunks
        self._dirty_chunks.clear()
        self.cluster_state.changed_chunks.clear()
        for job_id, index in dirty:
            chunks = self._exits_by_job.get(job_id, {})
            job = self.cluster_state.jobs.get(job_id)
            # If the job no longer exists, all of its exits are dropped.
            for chunk in list(chunks) if job is None else [index]:
                for key in list(chunks.get(chunk, ())):
                    task = None if job is None else job.task(key[1])
                    if task is None or not task.machine or task.attempt != key[2]:
                        self.discard(key)
        batches = {
            (job_id, index): self._batch(job, index)
            for job_id, chunks in self._exits_by_job.items()
            if (job := self.cluster_state.jobs.get(job_id)) is not None and not self.is_recorded_by_peer(job)
            for index in chunks
        }
        return dict(sorted(batches.items(), key=lambda item: item[1].since))

    def _batch(self, job: Job, index: int) -> ExitBatch:
        batch = self._batches.get((job.id, index))
        if batch is None:
            exits = self._exits_by_job[job.id][index]
            batch = self._batches[job.id, index] = ExitBatch(self.recorded_at[next(iter(exits))])
            for key, outcome in exits.items():
                _, task_number, attempt = key
                batch.exits.append((task_number, attempt, outcome))
                batch.completed += outcome.done
                batch.machines.add(job.task(task_number).machine)
        return batch

    def epoch_changed(self, continuous: bool) -> None:
        """Drops exits on machines that another controller owns or may have owned: it may have restarted the attempt.

        ``continuous`` is false if epochs were missed or this controller was not a member meanwhile. Exits received from
        other owners are dropped too: they are valid only in the epoch in which they were sent.
        """
        self._notified_at.clear()
        self._acknowledged.clear()
        for job_id, task_number, attempt in list(self.exits):
            job = self.cluster_state.jobs.get(job_id)
            machine_id = "" if job is None else job.task(task_number).machine
            still_owned = continuous and self.membership.owner(machine_id) == self.context.name
            if machine_id not in self.returned_machines and not still_owned:
                self.discard((job_id, task_number, attempt))

    def notify_home_controllers(self) -> None:
        """Notifies other home controllers of the exits on this controller's machines.

        Owners do not write the exits themselves. When they did, most commits in a large cluster failed because another
        controller had just changed the same team or job.
        """
        context, epoch = self.context, self.cluster_state.epoch
        if (
            context.now - self._last_notified_at < PEER_MESSAGE_INTERVAL
            or epoch is None
            or not self.membership.is_active()
        ):
            return
        self._last_notified_at = context.now
        self._read_outboxes(epoch.number)
        batches: dict[str, list[peers.EndedAttempt]] = {}
        for job_id in self._exits_by_job:
            job = self.cluster_state.jobs.get(job_id)
            home = None if job is None else self.membership.job_home(job.spec)
            if home is None or home == context.name:
                continue
            batch = batches.setdefault(home, [])
            for key, outcome in self._exits_of(job_id):
                if len(batch) >= peers.MAX_ENDED_PER_MESSAGE:
                    break
                last = self._notified_at.get(key)
                if last is None or context.now - last >= RENOTIFY_INTERVAL:
                    batch.append(peers.EndedAttempt(*key, outcome.done, outcome.note, outcome.failed))
                    self._notified_at[key] = context.now
        for home, batch in batches.items():
            if batch:
                self._notify_home_controller(home, epoch.number, batch)

    def _notify_home_controller(self, home: str, epoch: int, batch: list[peers.EndedAttempt]) -> None:
        keys = [(ended.job_id, ended.task_number, ended.attempt) for ended in batch]

        def on_response(status: int, body: bytes) -> None:
            current_epoch = self.cluster_state.epoch
            if current_epoch is None or current_epoch.number != epoch:
                return
            if status == 200:
                self._acknowledged.update(key for key in keys if key in self.exits)
            else:
                self._acknowledged.difference_update(keys)

        self.context.call_peer(
            home, peers.ENDED_ATTEMPTS_PATH, wire.encode(peers.EndedAttempts(epoch, batch)), on_response
        )

    def handle_ended(self, request: IncomingRequest) -> None:
        """Handles a peer's notification of exits on its machines.

        An exit is valid as long as the machine has no new owner. It is therefore accepted only in the epoch that the
        message names, and the commit that records it is conditional on that epoch.
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
            job = self.cluster_state.jobs.get(ended.job_id)
            if job is not None and 0 <= ended.task_number < job.spec.tasks:
                outcome = Outcome(ended.done, ended.note, ended.failed)
                self.record_exit(ended.job_id, ended.task_number, ended.attempt, outcome)

    def _read_outboxes(self, epoch: int) -> None:
        """Reads the outbox records of peers; the entries count as if they had arrived in a message."""
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
                        if ended.job_id in self.cluster_state.jobs
                        and self.membership.job_home(self.cluster_state.jobs[ended.job_id].spec) == self.context.name
                    ]
                )
            for machine in outbox.reported_machines:
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
            for job_id in self._exits_by_job
            if (job := self.cluster_state.jobs.get(job_id)) is not None and self.is_recorded_by_peer(job)
            for key, outcome in self._exits_of(job_id)
        ]
        for key, outcome in remote_exits:
            if key in self._acknowledged or context.now - self.recorded_at[key] < OUTBOX_FALLBACK_AFTER:
                continue
            entry = peers.EndedAttempt(*key, outcome.done, outcome.note, outcome.failed)
            size += len(msgspec.json.encode(entry)) + 1
            if size > self.cluster_state.max_value_bytes:
                break
            ended.append(entry)
        for machine_id in self.overdue_announcements:
            record = self.cluster_state.reported_machines.get(machine_id)
            if record is not None:
                machine = peers.ReportedMachine(machine_id, record.type, record.zone, record.spot, record.addr)
                size += len(msgspec.json.encode(machine)) + 1
                if size > self.cluster_state.max_value_bytes:
                    # No space left in the outbox record: the machine gets a record of its own.
                    machine_writes.setdefault(machine_id, record)
                else:
                    reported.append(machine)
        previous = self.cluster_state.outboxes.get(context.name)
        if previous is not None and (previous.epoch == epoch.number or not ended):
            if set(ended) <= set(previous.ended) and set(reported) <= set(previous.reported_machines):
                return
        elif not ended and not reported:
            return
        txn.put(rec.outbox_key(context.name), rec.OutboxRecord(epoch.number, ended, reported))
        self._outbox_written_at = context.now

    def is_recorded_by_peer(self, job: Job) -> bool:
        """Whether another controller is the job's home controller and therefore records its exits.

        A home controller that cannot be notified learns of the exits through the outbox record. When owners recorded
        such exits themselves, each took a write from the small budget share of a controller that is home to few jobs.
        """
        return self.membership.job_home(job.spec) != self.context.name
