"""The lane by which a controller changes tasks, teams and machines: one transaction at a time.

What is to be changed is noted as intents and worked into a transaction only when the one before it is settled, so
each rests on the newest records. A failed or unknown transaction is followed by reading its keys again.
"""

from __future__ import annotations

import logging
from collections import deque
from collections.abc import Callable
from datetime import timedelta

import msgspec

from gladecroft.bookkeeping import records as rec
from gladecroft.bookkeeping.picture import Change, Job
from gladecroft.bookkeeping.records import TaskRecord, TaskState
from gladecroft.coordination.membership import Membership
from gladecroft.coordination.messages import Asked
from gladecroft.coordination.node import Node
from gladecroft.protocol import peers, wire

log = logging.getLogger(__name__)

MAX_BYTES = 52_000
#: Transactions are begun at most this often; unless something has changed, much less often.
FLUSH_EVERY = timedelta(milliseconds=100)
LEFT_FOR_USERS = 2
WEIGH_EVERY = timedelta(seconds=2)
FLUSH_IDLE = timedelta(milliseconds=400)
#: While writes are short, ends of a job's tasks for which nobody waits are gathered this long, so that one write holds
#: many.
GATHER = timedelta(seconds=4)
GATHER_MOST = timedelta(seconds=12)
#: A limit holds work up once less than this part of it is left.
NEAR_LIMIT = 0.1
#: What siblings can't be told is written at most this often, many things in one value.
MAIL_EVERY = timedelta(seconds=1)
#: How often homes are told of ends, when they are told again, and after how long an owner whom the home does not answer
#: writes them into its mail.
TELL_EVERY = timedelta(milliseconds=250)
TELL_AGAIN = timedelta(seconds=2)
TELL_IN_VAIN = timedelta(milliseconds=1500)


#: A job's chunk, and what ended in it.
Group = tuple[str, int]


#: Begins the note of what was lost with its machine, whose name follows.
LOST = "lost "


class Outcome(msgspec.Struct, frozen=True):
    """How an attempt ended. ``failed``: it counts against the task."""

    done: bool
    note: str = ""
    failed: bool = False


End = tuple[int, int, Outcome]


class Ledger:
    def __init__(self, node: Node, membership: Membership) -> None:
        self.node = node
        self.picture = node.picture
        self.membership = membership
        self.exits: dict[tuple[str, int, int], Outcome] = {}
        self._exit_since: dict[tuple[str, int, int], timedelta] = {}
        #: When the home of an attempt's job was last told of its end, and which ends it has taken in.
        self._told: dict[tuple[str, int, int], timedelta] = {}
        self._with_home: set[tuple[str, int, int]] = set()
        self._told_at = timedelta(days=-1)
        #: Machines that the cloud has taken back by this controller's request: their attempts are gone for good.
        self.gone: dict[str, None] = {}
        self.machine_puts: dict[str, rec.MachineRecord | None] = {}
        #: Teams for which a placement is under way of which nobody knows whether it was executed.
        self.unsure: set[str] = set()
        #: Composers add what they want to a change; they run after exits, in order.
        self.composers: list[Callable[[Change], None]] = []
        self.busy = False
        self._stale: deque[str] = deque()
        self._reading = 0
        self._flushed_at = timedelta(days=-1)
        self._seen: tuple[int, int, int] = (-1, 0, 0)
        self._weighed_at = timedelta(days=-1)
        self._was_full = False
        #: Machines of which some sibling could long not be told.
        self.untold_machines: dict[str, None] = {}
        self._mail_read: dict[str, tuple[int, int]] = {}
        self._mailed_at = timedelta(days=-1)

    def exit(self, job: str, number: int, attempt: int, outcome: Outcome) -> None:
        """Note that an attempt is proven gone."""
        key = (job, number, attempt)
        if key not in self.exits:
            self.exits[key] = outcome
            self._exit_since[key] = self.node.now
            self.picture.end((job, number), attempt)
            if outcome.note.startswith(LOST):
                # The machine's record may say so only later. Placed there meanwhile, a task would be lost at once.
                self.picture.doubted.add(outcome.note.removeprefix(LOST))

    def _settle(self, key: tuple[str, int, int]) -> None:
        del self.exits[key]
        del self._exit_since[key]
        self.picture.end(key[:2], None)
        self._told.pop(key, None)
        self._with_home.discard(key)

    def epoch_changed(self, continuous: bool) -> None:
        """Drop proofs about machines that are, or were meanwhile, another's: it may have started the attempt again.

        So go those that other owners told of: they hold under the epoch in which they were told.
        """
        self._told.clear()
        self._with_home.clear()
        for name, number, attempt in list(self.exits):
            job = self.picture.jobs.get(name)
            machine = "" if job is None else job.task(number).machine
            ours = continuous and self.membership.owner(machine) == self.node.name
            if machine not in self.gone and not ours:
                self._settle((name, number, attempt))
        self.picture.stale.update(self.machine_puts)
        self.machine_puts.clear()

    # Between owners and homes -------------------------------------------------------------------------------

    def tell(self) -> None:
        """Tell the homes of other jobs which of their attempts are proven gone here.

        A home alone writes its teams' records. When each owner wrote the ends on its own machines, most commits of a
        large fleet failed because another controller had just changed the same team or job.
        """
        node, epoch = self.node, self.picture.epoch
        if node.now - self._told_at < TELL_EVERY or epoch is None or not self.membership.entitled():
            return
        self._told_at = node.now
        self._read_mail(epoch.number)
        batches: dict[str, list[peers.EndedAttempt]] = {}
        for key, outcome in self.exits.items():
            job = self.picture.jobs.get(key[0])
            home = None if job is None else self.membership.job_home(job.spec)
            last = self._told.get(key)
            if home is None or home == node.name or last is not None and node.now - last < TELL_AGAIN:
                continue
            batch = batches.setdefault(home, [])
            if len(batch) < peers.MOST_ENDED:
                batch.append(peers.EndedAttempt(*key, outcome.done, outcome.note, outcome.failed))
                self._told[key] = node.now
        for home, batch in batches.items():
            self._tell(home, epoch.number, batch)

    def _tell(self, home: str, epoch: int, batch: list[peers.EndedAttempt]) -> None:
        keys = [(ended.job, ended.number, ended.attempt) for ended in batch]

        def then(status: int, body: bytes) -> None:
            now_epoch = self.picture.epoch
            if now_epoch is None or now_epoch.number != epoch:
                return
            if status == 200:
                self._with_home.update(key for key in keys if key in self.exits)
            else:
                self._with_home.difference_update(keys)

        self.node.peer(home, peers.ENDED_PATH, wire.encode(peers.Ended(epoch, batch)), then)

    def told(self, asked: Asked) -> None:
        """A sibling tells of ends on its machines. What it proves holds as long as nobody else has come to own them:
        so it counts under the epoch named, and the commit that rests on it is conditional on that epoch."""
        try:
            message: peers.Ended = wire.decode(peers.Ended, asked.body)
        except msgspec.DecodeError as error:
            self.node.refuse(asked.number, 400, str(error))
            return
        epoch = self.picture.epoch
        if epoch is None or epoch.number != message.epoch or not self.membership.entitled():
            self.node.refuse(asked.number, 503, "another epoch", 1)
            return
        self._take_ended(message.attempts)
        self.node.reply(asked.number, 200, b"{}")

    def _take_ended(self, attempts: list[peers.EndedAttempt]) -> None:
        for ended in attempts:
            job = self.picture.jobs.get(ended.job)
            if job is not None and 0 <= ended.number < job.spec.tasks:
                outcome = Outcome(ended.done, ended.note, ended.failed)
                self.exit(ended.job, ended.number, ended.attempt, outcome)

    def _read_mail(self, epoch: int) -> None:
        """Take in what siblings have written who can't reach everybody. Ends count as if they had been told."""
        for sibling, mail in self.picture.mail.items():
            version = self.picture.version(rec.mail_key(sibling))
            if sibling == self.node.name or self._mail_read.get(sibling) == (version, epoch):
                continue
            self._mail_read[sibling] = (version, epoch)
            if mail.epoch == epoch:
                self._take_ended(
                    [
                        ended
                        for ended in mail.ended
                        if ended.job in self.picture.jobs
                        and self.membership.job_home(self.picture.jobs[ended.job].spec) == self.node.name
                    ]
                )
            for heard in mail.heard:
                self.picture.hear(heard.name, rec.MachineRecord(heard.type, heard.zone, heard.spot, heard.addr))

    def _compose_mail(self, change: Change) -> None:
        """Write what siblings have long not been told, as much as fits a value."""
        node, epoch = self.node, self.picture.epoch
        if epoch is None or node.now - self._mailed_at < MAIL_EVERY or not change.room(1, 0):
            return
        size = 100
        ended: list[peers.EndedAttempt] = []
        heard: list[peers.HeardMachine] = []
        for key, outcome in self.exits.items():
            if key in self._with_home or node.now - self._exit_since[key] < TELL_IN_VAIN:
                continue
            job = self.picture.jobs.get(key[0])
            if job is None or not self._left_to_home(key, job):
                continue
            each = peers.EndedAttempt(*key, outcome.done, outcome.note, outcome.failed)
            size += len(msgspec.json.encode(each)) + 1
            if size > self.picture.value_bytes:
                break
            ended.append(each)
        for name in self.untold_machines:
            record = self.picture.heard.get(name)
            if record is not None:
                known = peers.HeardMachine(name, record.type, record.zone, record.spot, record.addr)
                size += len(msgspec.json.encode(known)) + 1
                if size > self.picture.value_bytes:
                    # No room in the mail: a record of its own tells of it.
                    self.machine_puts.setdefault(name, record)
                else:
                    heard.append(known)
        before = self.picture.mail.get(node.name)
        if before is not None and (before.epoch == epoch.number or not ended):
            if set(ended) <= set(before.ended) and set(heard) <= set(before.heard):
                return
        elif not ended and not heard:
            return
        change.put(rec.mail_key(node.name), rec.MailRecord(epoch.number, ended, heard))
        self._mailed_at = node.now

    def _left_to_home(self, key: tuple[str, int, int], job: Job) -> bool:
        """Whether an end is the home's to note. If the home can't be told it learns of it by mail: when owners wrote
        such ends themselves, each cost a change, out of the small shares of those who place nothing."""
        return self.membership.job_home(job.spec) != self.node.name

    # Machines -----------------------------------------------------------------------------------------------

    def put_machine(self, machine: str, record: rec.MachineRecord | None) -> None:
        if record is None or self.picture.machines.get(machine) != record:
            self.machine_puts[machine] = record
            self.picture.stale.add(machine)
        elif self.machine_puts.get(machine, record) != record:
            # What was to be written is no longer so: a machine called silent has been heard again.
            del self.machine_puts[machine]
            self.picture.stale.add(machine)

    def machine(self, machine: str) -> rec.MachineRecord | None:
        """The machine's record as it will be once what is noted is committed."""
        if machine in self.machine_puts:
            return self.machine_puts[machine]
        return self.picture.machines.get(machine)

    def flush(self) -> None:
        node = self.node
        self._read_stale()
        if self.busy or self._reading or self._stale or not self.membership.entitled() or node.state_down():
            return
        self._weigh()
        seen = (self.picture.changes, len(self.exits), len(self.machine_puts))
        if node.now - self._flushed_at < (FLUSH_EVERY if seen != self._seen else FLUSH_IDLE):
            return
        # A little is left for submissions, which are not to wait for the next writes.
        left = LEFT_FOR_USERS if node.writes.burst >= 3 * LEFT_FOR_USERS else 0
        budget = int(node.writes.look(node.now)) - left
        ops = node.cluster.state.txn_ops
        urgent = self._urgent()
        node.ledger_wants = bool(self.picture.queued or self.exits or self.machine_puts)
        # While there is more to write than the budget allows, few large transactions get more done than many small
        # ones; else what is urgent goes at once.
        if budget < min(4 if urgent and not self._was_full else ops // 2, int(node.writes.burst) - left):
            return
        if node.users_want and not node.ledgers_turn:
            return
        node.ledger_wants = False
        self._flushed_at, self._seen = node.now, seen
        change = Change(self.picture, min(ops, budget), MAX_BYTES)
        node.lend()
        self._compose_claims(change)
        ends = self._ends()
        self._compose_exits(change, ends, change.max_ops // 2 if urgent else 0)
        # Machines come in hundreds after a burst of renting; work that can already run is not to wait for them all.
        self._compose_machines(change, change.max_ops // 2 if self.picture.queued else 0)
        self._compose_finals(change)
        self._compose_mail(change)
        for composer in self.composers:
            composer(change)
        self._compose_done(change, ends)
        self._was_full = not change.room(1, 0)
        self._compose_orphans(change)
        if change.finish():
            self._commit(change)

    def _weigh(self) -> None:
        """Tell the budget, now and then, how much of all unfinished work has its home here."""
        if self.node.now - self._weighed_at < WEIGH_EVERY or not self.picture.jobs:
            return
        self._weighed_at = self.node.now
        mine = total = 0
        for job in self.picture.jobs.values():
            # What waits or will end soon is written about; a service that runs is not.
            weight = 1 if job.queued_count or job.spec.kind is not wire.Kind.SERVICE else 0
            total += weight
            mine += weight * (self.membership.job_home(job.spec) == self.node.name)
        if total:
            self.node.weigh(mine / total)

    def _urgent(self) -> bool:
        """Whether work of the highest priority waits here."""
        me = self.node.name
        return any(not job.rank and self.membership.job_home(job.spec) == me for job in self.picture.queued.values())

    def _ends(self) -> dict[Group, list[End]]:
        """The ends to be noted here, by chunk, the most pressing chunks first."""
        groups: dict[Group, list[End]] = {}
        since: dict[Group, timedelta] = {}
        for key, outcome in list(self.exits.items()):
            name, number, attempt = key
            job = self.picture.jobs.get(name)
            task = None if job is None else job.task(number)
            if job is None or task is None or not task.machine or task.attempt != attempt:
                self._settle(key)
                continue
            if self._left_to_home(key, job):
                continue
            group = (name, number // job.size)
            groups.setdefault(group, []).append((number, attempt, outcome))
            since.setdefault(group, self._exit_since[key])
        return {group: groups[group] for group in sorted(groups, key=lambda group: since[group])}

    def _compose_exits(self, change: Change, ends: dict[Group, list[End]], reserve: int) -> None:
        """Work ends into the transaction for which somebody waits, as many of a chunk's as are known in one write.

        After a stand-still many ends are to be noted: work that must start at once is not to wait for all of them,
        so some operations are held in reserve for it.
        """
        by_job: dict[str, int] = {}
        for (name, _), ended in ends.items():
            job = self.picture.jobs[name]
            counts = len(ended) if job.cancelled else sum(outcome.done for _, _, outcome in ended)
            by_job[name] = by_job.get(name, 0) + counts
        ending: set[str] = set()
        for name, count in by_job.items():
            job = self.picture.jobs[name]
            if job.done + count >= job.spec.tasks or job.cancelled and count >= job.occupied:
                ending.add(name)
                self._compose_end(change, job, ends)
        bound = self._bound_teams()
        for group, ended in ends.items():
            job = self.picture.jobs[group[0]]
            if job.id not in change.over and (
                job.id in ending
                or job.spec.team in bound
                or any(
                    not outcome.done or job.task(number).machine in self.picture.aside for number, _, outcome in ended
                )
            ):
                self._compose_group(change, group, ended, reserve)

    def _compose_end(self, change: Change, job: Job, ends: dict[Group, list[End]]) -> None:
        """With these ends the job is over: its final state is written at once, with no write of its chunks before."""
        if self.membership.job_home(job.spec) != self.node.name or not change.room(2, 0, len(job.chunks)):
            return
        done = job.done + sum(
            outcome.done for (name, _), ended in ends.items() if name == job.id for _, _, outcome in ended
        )
        for index, version in job.versions.items():
            change.require(rec.chunk_key(job.id, index), version)
        self._compose_final(change, job, done)
        self._drop_chunks(change, job)

    def _drop_chunks(self, change: Change, job: Job) -> None:
        """Drop the chunks of a job that is over. What does not fit, or has time while writes are short, is dropped
        later as an orphan."""
        short = self.node.writes.level < 0.75 * self.node.writes.burst
        for index in job.chunks:
            if short or not change.room(1, 0):
                return
            change.drop_chunk(job, index)

    def _bound_teams(self) -> set[str]:
        """Teams whose waiting work is held up by their limit: what ends of theirs is noted soon.

        Not those that have room under their limit for what a round or two may place: in an overload they wait for
        machines, not for the limit. When all their ends were noted at once these took three of four changes, three
        tasks to a write, and room stood empty for want of changes to place on it.
        """
        waiting: dict[str, float] = {}
        biggest: dict[str, float] = {}
        for job in self.picture.queued.values():
            team = job.spec.team
            waiting[team] = waiting.get(team, 0.0) + job.queued_count * job.spec.cpus
            biggest[team] = max(biggest.get(team, 0.0), job.spec.cpus)
        bound: set[str] = set()
        for team, cpus in waiting.items():
            limit = self.picture.limits[team]
            left = limit.most_cpus - self.picture.used_by_team(team)[0]
            if limit.gpus_max or left < min(cpus, max(NEAR_LIMIT * limit.most_cpus, biggest[team])):
                bound.add(team)
        return bound

    def _compose_done(self, change: Change, ends: dict[Group, list[End]]) -> None:
        """Note completed tasks for which nobody waits: their room counts as free already. While writes are short they
        are gathered, and come after all else, unless their chunk is written anyway."""
        node = self.node
        short = node.writes.level < 0.75 * node.writes.burst
        spare = node.writes.level - len(change.puts) >= 0.5 * node.writes.burst
        for group, ended in ends.items():
            job = self.picture.jobs[group[0]]
            if job.id in change.over:
                continue
            age = node.now - self._exit_since[(job.id, *ended[0][:2])]
            due = not short or age >= (GATHER if spare else GATHER_MOST)
            if due or change.has_chunk(job, ended[0][0]):
                self._compose_group(change, group, ended, 0)

    def _compose_group(self, change: Change, group: Group, ended: list[End], reserve: int) -> None:
        job = self.picture.jobs[group[0]]
        chunks = 0 if change.has_chunk(job, ended[0][0]) else 1
        if chunks and not change.room(chunks + reserve, 0):
            return
        for number, attempt, outcome in ended:
            task = change.task(job, number)
            if task.attempt != attempt or not task.machine:
                continue
            if outcome.done:
                after = TaskRecord(TaskState.DONE, attempt, "", task.failures)
            else:
                failures = task.failures + 1 if outcome.failed else task.failures
                after = TaskRecord(TaskState.QUEUED, attempt, "", min(failures, 999), outcome.note[:24])
            change.set_task(job, number, after)
            change.notes.append(f"{job.id}/{number}#{attempt} on {task.machine} ended: {outcome.note or 'done'}")

    # Teams --------------------------------------------------------------------------------------------------

    def claimed(self, team: str) -> bool:
        """Whether this controller alone may place the team's tasks now, and knows of all that was placed before.

        Its claim has made every commit fail that rested on an earlier one, and the watch has brought all that came
        before the claim. So what the team uses can be told from the picture, with no write for each placement.
        """
        record = self.picture.teams.get(team)
        return (
            record is not None
            and record.home == self.node.name
            and record.incarnation == self.membership.incarnation
            and team not in self.unsure
            and self.picture.version(rec.team_key(team)) <= self.picture.revision
        )

    def _compose_claims(self, change: Change) -> None:
        """Claim the teams of which jobs wait here. A claim outlasts epochs in which only machines move."""
        if self.membership.incarnation is None:
            return
        record = rec.TeamRecord(self.node.name, self.membership.incarnation)
        for team in {job.spec.team: None for job in self.picture.queued.values()}:
            if self.membership.home(team) != self.node.name:
                continue
            if (self.picture.teams.get(team) != record or team in self.unsure) and change.room(1, 0):
                change.put(rec.team_key(team), record)
                change.claims.add(team)

    def _compose_machines(self, change: Change, reserve: int) -> None:
        # What takes a machine out of use comes first.
        for machine, record in sorted(
            self.machine_puts.items(), key=lambda put: put[1] is None or put[1].use is rec.MachineUse.UP
        ):
            if not change.room(1 + reserve, 0):
                return
            if record is None:
                if machine in self.picture.machines:
                    change.drop(rec.machine_key(machine))
                else:
                    del self.machine_puts[machine]
                    self.picture.stale.add(machine)
            elif self.picture.machines.get(machine) == record and machine not in self.picture.heard:
                del self.machine_puts[machine]
                self.picture.stale.add(machine)
            else:
                change.put(rec.machine_key(machine), record)
                change.notes.append(f"{machine} is {record.use.name.lower()}")

    def _compose_finals(self, change: Change) -> None:
        me = self.node.name
        # A finished job's user waits for this; a cancelled one's does not.
        for job in sorted(self.picture.over.values(), key=lambda job: job.cancelled):
            if self.membership.job_home(job.spec) != me:
                continue
            if any(change.has_chunk(job, index * job.size) for index in job.chunks):
                continue
            if job.id in change.over:
                continue
            if not change.room(2, 0):
                return
            self._compose_final(change, job, job.done)
            self._drop_chunks(change, job)

    def _compose_final(self, change: Change, job: Job, count: int) -> None:
        change.over.add(job.id)
        change.require(rec.job_key(job.id), job.version)
        done = not job.cancelled
        change.puts[rec.final_key(job.id)] = msgspec.json.encode(
            rec.FinalRecord(done, count, "" if done else "cancelled by its user")
        )
        change.require(rec.final_key(job.id), 0)
        change.puts[rec.job_key(job.id)] = None
        change.notes.append(f"{job.id} is over: {'done' if done else 'cancelled'}")

    def _compose_orphans(self, change: Change) -> None:
        if not self.membership.leads() or self.node.writes.level < 0.75 * self.node.writes.burst:
            return
        for key, version in self.picture.orphans():
            if not change.room(1, 0):
                return
            change.require(key, version)
            change.puts[key] = None

    def _commit(self, change: Change) -> None:
        node = self.node
        ops: list[wire.Put | wire.Delete] = [
            wire.Delete(key) if value is None else wire.Put(key, msgspec.Raw(value))
            for key, value in change.puts.items()
        ]
        conditions = [wire.Condition(key, version) for key, version in change.conditions.items()]

        def then(status: int, body: bytes) -> None:
            self.busy = False
            for key, value in change.puts.items():
                # Refused ones count as well.
                what = rec.CALLED.get(key[: len(rec.JOBS)], key) + ("" if value is not None else " dropped")
                node.spend(what if status == 200 else f"refused ({status})")
            if status == 200:
                revision = wire.decode(wire.TxnReply, body).revision
                self.unsure -= change.claims
                for key, value in change.puts.items():
                    self.picture.apply(key, value, revision)
                if log.isEnabledFor(logging.INFO):
                    for note in change.notes:
                        log.info("%s", note)
            elif status == 409:
                failed: list[str] = wire.decode(wire.TxnReply, body).failed
                log.debug("commit refused: %s changed", ",".join(failed))
                self._stale.extend(key for key in failed if key not in self._stale)
            elif status == 0:
                # Unknown outcome, and it may yet be executed: read the keys; conditions guard what follows. What it
                # would place might come on top of what is placed next: a new claim makes it fail, or shows it.
                self.unsure |= change.placing
                log.info("commit with unknown outcome: reading %d keys back", len(change.puts))
                self._stale.extend(key for key in change.puts if key not in self._stale)
            elif status == 400:
                log.error("the state service calls a commit malformed: %s", body[:200])
                self._stale.extend(key for key in change.puts if key not in self._stale)
            self._read_stale()

        if node.state("POST", wire.COMMIT_PATH, wire.encode(wire.Txn(conditions, list(ops))), then, writes=len(ops)):
            self.busy = True
            node.ledgers_turn = False

    def _read_stale(self) -> None:
        while self._stale and self._reading < 8:
            key = self._stale[0]
            if not self._read(key):
                return
            self._stale.popleft()

    def _read(self, key: str) -> bool:
        def then(status: int, body: bytes) -> None:
            self._reading -= 1
            if status == 200:
                item: wire.Item = wire.decode(wire.Item, body)
                self.picture.apply(key, item.value, item.version)
            elif status == 404:
                self.picture.apply(key, None, wire.decode(wire.Missing, body).revision)
            else:
                self._stale.append(key)

        if not self.node.state("GET", wire.key_path(key), None, then):
            return False
        self._reading += 1
        return True
