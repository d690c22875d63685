"""The attempts that are proven gone, from the proof until the records say so, and how homes learn of them."""

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

#: What siblings can't be told is written at most this often, many things in one value.
MAIL_EVERY = timedelta(seconds=1)
#: How often homes are told of ends, when they are told again, and after how long an owner whom the home does not answer
#: writes them into its mail.
TELL_EVERY = timedelta(milliseconds=250)
TELL_AGAIN = timedelta(seconds=2)
TELL_IN_VAIN = timedelta(milliseconds=1500)
#: Begins the note of what was lost with its machine, whose name follows.
LOST_NOTE_PREFIX = "lost "

#: A job's name, the task's number, the attempt.
AttemptKey = tuple[str, int, int]
#: A job's name and the number of its chunk.
ChunkKey = tuple[str, int]


class Outcome(msgspec.Struct, frozen=True):
    """How an attempt ended. ``failed``: it counts against the task."""

    done: bool
    note: str = ""
    failed: bool = False


class ExitBatch(msgspec.Struct):
    """The ends in one chunk that are to be noted together: each task's number, its attempt, how it ended."""

    since: timedelta
    exits: list[tuple[int, int, Outcome]] = []
    completed: int = 0
    machines: set[str] = set()


class ExitTracker:
    def __init__(self, context: ControllerContext, membership: Membership) -> None:
        self.context = context
        self.cluster_state = context.cluster_state
        self.membership = membership
        self.exits: dict[AttemptKey, Outcome] = {}
        self.recorded_at: dict[AttemptKey, timedelta] = {}
        #: The same ends by job and chunk, what of that has been gathered, and the chunks that have new ones. While
        #: changes are short thousands wait; all looked at in each round, they took a seventh of the core's time, and of
        #: a job with many chunks all were gathered anew for each end.
        self._of_job: dict[str, dict[int, dict[AttemptKey, Outcome]]] = {}
        self._gathered: dict[ChunkKey, ExitBatch] = {}
        self._news: set[ChunkKey] = set()
        #: Machines that the cloud has taken back by this controller's request: their attempts are gone for good.
        self.gone: dict[str, None] = {}
        #: Machines of which some sibling could long not be told.
        self.unannounced_machines: dict[str, None] = {}
        #: When the home of an attempt's job was last told of its end, and which ends it has taken in.
        self._told: dict[AttemptKey, timedelta] = {}
        self._with_home: set[AttemptKey] = set()
        self._told_at = timedelta(days=-1)
        self._mail_read: dict[str, tuple[int, int]] = {}
        self._mailed_at = timedelta(days=-1)

    def record_exit(self, job: str, number: int, attempt: int, outcome: Outcome) -> None:
        """Note that an attempt is proven gone."""
        key = (job, number, attempt)
        if key not in self.exits:
            self.exits[key] = outcome
            self.recorded_at[key] = self.context.now
            index = number // self.cluster_state.chunk_size
            self._of_job.setdefault(job, {}).setdefault(index, {})[key] = outcome
            self._gathered.pop((job, index), None)
            self._news.add((job, index))
            self.cluster_state.set_unrecorded_exit((job, number), attempt)
            if outcome.note.startswith(LOST_NOTE_PREFIX):
                # The machine's record may say so only later. Placed there meanwhile, a task would be lost at once.
                self.cluster_state.suspend_placement(
                    [outcome.note.removeprefix(LOST_NOTE_PREFIX)], self.context.now + self.context.machine_lease
                )

    def settle(self, key: tuple[str, int, int]) -> None:
        del self.exits[key]
        del self.recorded_at[key]
        index = key[1] // self.cluster_state.chunk_size
        of_job = self._of_job[key[0]]
        del of_job[index][key]
        if not of_job[index]:
            del of_job[index]
        if not of_job:
            del self._of_job[key[0]]
        self._gathered.pop((key[0], index), None)
        self.cluster_state.set_unrecorded_exit(key[:2], None)
        self._told.pop(key, None)
        self._with_home.discard(key)

    def _known_of(self, job: str) -> list[tuple[AttemptKey, Outcome]]:
        """All ends of a job that are known ahead of the records."""
        return [end for chunk in self._of_job.get(job, {}).values() for end in chunk.items()]

    def batches(self) -> dict[ChunkKey, ExitBatch]:
        """The ends to be noted here, by job and chunk, the most pressing first; what the records tell is settled."""
        news = self._news | self.cluster_state.changed_chunks
        self._news.clear()
        self.cluster_state.changed_chunks.clear()
        for name, index in news:
            chunks = self._of_job.get(name, {})
            job = self.cluster_state.jobs.get(name)
            # Of a job that is no more, all.
            for each in list(chunks) if job is None else [index]:
                for key in list(chunks.get(each, ())):
                    task = None if job is None else job.task(key[1])
                    if task is None or not task.machine or task.attempt != key[2]:
                        self.settle(key)
        groups = {
            (name, index): self._gather(job, index)
            for name, chunks in self._of_job.items()
            if (job := self.cluster_state.jobs.get(name)) is not None and not self.is_recorded_by_home(job)
            for index in chunks
        }
        return dict(sorted(groups.items(), key=lambda group: group[1].since))

    def _gather(self, job: Job, index: int) -> ExitBatch:
        gathered = self._gathered.get((job.id, index))
        if gathered is None:
            ends = self._of_job[job.id][index]
            gathered = self._gathered[job.id, index] = ExitBatch(self.recorded_at[next(iter(ends))])
            for key, outcome in ends.items():
                _, number, attempt = key
                gathered.exits.append((number, attempt, outcome))
                gathered.completed += outcome.done
                gathered.machines.add(job.task(number).machine)
        return gathered

    def epoch_changed(self, continuous: bool) -> None:
        """Drop proofs about machines that are, or were meanwhile, another's: it may have started the attempt again.

        So go those that other owners told of: they hold under the epoch in which they were told.
        """
        self._told.clear()
        self._with_home.clear()
        for name, number, attempt in list(self.exits):
            job = self.cluster_state.jobs.get(name)
            machine = "" if job is None else job.task(number).machine
            ours = continuous and self.membership.owner(machine) == self.context.name
            if machine not in self.gone and not ours:
                self.settle((name, number, attempt))

    def notify_homes(self) -> None:
        """Tell the homes of other jobs which of their attempts are proven gone here.

        A home alone writes its teams' records. When each owner wrote the ends on its own machines, most commits of a
        large fleet failed because another controller had just changed the same team or job.
        """
        context, epoch = self.context, self.cluster_state.epoch
        if context.now - self._told_at < TELL_EVERY or epoch is None or not self.membership.is_active():
            return
        self._told_at = context.now
        self._read_mail(epoch.number)
        batches: dict[str, list[peers.EndedAttempt]] = {}
        for name in self._of_job:
            job = self.cluster_state.jobs.get(name)
            home = None if job is None else self.membership.job_home(job.spec)
            if home is None or home == context.name:
                continue
            batch = batches.setdefault(home, [])
            for key, outcome in self._known_of(name):
                if len(batch) >= peers.MAX_ENDED_PER_MESSAGE:
                    break
                last = self._told.get(key)
                if last is None or context.now - last >= TELL_AGAIN:
                    batch.append(peers.EndedAttempt(*key, outcome.done, outcome.note, outcome.failed))
                    self._told[key] = context.now
        for home, batch in batches.items():
            if batch:
                self._tell(home, epoch.number, batch)

    def _tell(self, home: str, epoch: int, batch: list[peers.EndedAttempt]) -> None:
        keys = [(ended.job, ended.number, ended.attempt) for ended in batch]

        def then(status: int, body: bytes) -> None:
            now_epoch = self.cluster_state.epoch
            if now_epoch is None or now_epoch.number != epoch:
                return
            if status == 200:
                self._with_home.update(key for key in keys if key in self.exits)
            else:
                self._with_home.difference_update(keys)

        self.context.call_peer(home, peers.ENDED_ATTEMPTS_PATH, wire.encode(peers.EndedAttempts(epoch, batch)), then)

    def handle_ended(self, request: IncomingRequest) -> None:
        """A sibling tells of ends on its machines. What it proves holds as long as nobody else has come to own them:
        so it counts under the epoch named, and the commit that rests on it is conditional on that epoch."""
        message = self.context.decode_request(request, peers.EndedAttempts)
        if message is None:
            return
        epoch = self.cluster_state.epoch
        if epoch is None or epoch.number != message.epoch or not self.membership.is_active():
            self.context.reply_error(request.request_id, 503, "another epoch", 1)
            return
        self._take_ended(message.attempts)
        self.context.reply(request.request_id, 200, b"{}")

    def _take_ended(self, attempts: list[peers.EndedAttempt]) -> None:
        for ended in attempts:
            job = self.cluster_state.jobs.get(ended.job)
            if job is not None and 0 <= ended.number < job.spec.tasks:
                outcome = Outcome(ended.done, ended.note, ended.failed)
                self.record_exit(ended.job, ended.number, ended.attempt, outcome)

    def _read_mail(self, epoch: int) -> None:
        """Take in what siblings have written who can't reach everybody. Ends count as if they had been told."""
        for sibling, mail in self.cluster_state.outboxes.items():
            version = self.cluster_state.version(rec.outbox_key(sibling))
            if sibling == self.context.name or self._mail_read.get(sibling) == (version, epoch):
                continue
            self._mail_read[sibling] = (version, epoch)
            if mail.epoch == epoch:
                self._take_ended(
                    [
                        ended
                        for ended in mail.ended
                        if ended.job in self.cluster_state.jobs
                        and self.membership.job_home(self.cluster_state.jobs[ended.job].spec) == self.context.name
                    ]
                )
            for heard in mail.heard:
                self.cluster_state.add_reported_machine(
                    heard.name, rec.MachineRecord(heard.type, heard.zone, heard.spot, heard.addr)
                )

    def compose_mail(self, txn: TransactionBuilder, puts: dict[str, rec.MachineRecord | None]) -> None:
        """Write what siblings have long not been told, as much as fits a value."""
        context, epoch = self.context, self.cluster_state.epoch
        if epoch is None or context.now - self._mailed_at < MAIL_EVERY or not txn.has_room(1, 0):
            return
        size = 100
        ended: list[peers.EndedAttempt] = []
        heard: list[peers.ReportedMachine] = []
        others = [
            (key, outcome)
            for name in self._of_job
            if (job := self.cluster_state.jobs.get(name)) is not None and self.is_recorded_by_home(job)
            for key, outcome in self._known_of(name)
        ]
        for key, outcome in others:
            if key in self._with_home or context.now - self.recorded_at[key] < TELL_IN_VAIN:
                continue
            each = peers.EndedAttempt(*key, outcome.done, outcome.note, outcome.failed)
            size += len(msgspec.json.encode(each)) + 1
            if size > self.cluster_state.max_value_bytes:
                break
            ended.append(each)
        for name in self.unannounced_machines:
            record = self.cluster_state.reported_machines.get(name)
            if record is not None:
                known = peers.ReportedMachine(name, record.type, record.zone, record.spot, record.addr)
                size += len(msgspec.json.encode(known)) + 1
                if size > self.cluster_state.max_value_bytes:
                    # No room in the mail: a record of its own tells of it.
                    puts.setdefault(name, record)
                else:
                    heard.append(known)
        before = self.cluster_state.outboxes.get(context.name)
        if before is not None and (before.epoch == epoch.number or not ended):
            if set(ended) <= set(before.ended) and set(heard) <= set(before.heard):
                return
        elif not ended and not heard:
            return
        txn.put(rec.outbox_key(context.name), rec.OutboxRecord(epoch.number, ended, heard))
        self._mailed_at = context.now

    def is_recorded_by_home(self, job: Job) -> bool:
        """Whether a job's ends are its home's to note. If the home can't be told it learns of it by mail: when owners
        wrote such ends themselves, each cost a change, out of the small shares of those who place nothing."""
        return self.membership.job_home(job.spec) != self.context.name
