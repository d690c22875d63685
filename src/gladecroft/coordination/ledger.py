"""The lane by which a controller changes tasks, teams and machines: one transaction at a time.

What is to be changed is noted as intents and worked into a transaction only when the one before it is settled, so
each rests on the newest records. A failed or unknown transaction is followed by reading its keys again.
"""

from __future__ import annotations

import logging
from collections import deque
from collections.abc import Callable

import msgspec

from gladecroft.bookkeeping import records as rec
from gladecroft.bookkeeping.picture import Change
from gladecroft.bookkeeping.records import TaskRecord, TaskState
from gladecroft.coordination.membership import Membership
from gladecroft.coordination.node import Node
from gladecroft.protocol import wire

log = logging.getLogger(__name__)

MAX_BYTES = 52_000


class Outcome(msgspec.Struct, frozen=True):
    """How an attempt ended. ``failed``: it counts against the task."""

    done: bool
    note: str = ""
    failed: bool = False


class Ledger:
    def __init__(self, node: Node, membership: Membership) -> None:
        self.node = node
        self.picture = node.picture
        self.membership = membership
        self.exits: dict[tuple[str, int, int], Outcome] = {}
        #: Machines that the cloud has taken back by this controller's request: their attempts are gone for good.
        self.gone: dict[str, None] = {}
        self.machine_puts: dict[str, rec.MachineRecord | None] = {}
        #: Composers add what they want to a change; they run after exits, in order.
        self.composers: list[Callable[[Change], None]] = []
        self.busy = False
        self._stale: deque[str] = deque()
        self._reading = 0

    def exit(self, job: str, number: int, attempt: int, outcome: Outcome) -> None:
        """Note that an attempt is proven gone."""
        self.exits.setdefault((job, number, attempt), outcome)

    def epoch_changed(self, continuous: bool) -> None:
        """Drop proofs about machines that are, or were meanwhile, another's: it may have started the attempt again."""
        for name, number, attempt in list(self.exits):
            job = self.picture.jobs.get(name)
            machine = "" if job is None else job.task(number).machine
            ours = continuous and self.membership.owner(machine) == self.node.name
            if machine not in self.gone and not ours:
                del self.exits[(name, number, attempt)]
        self.machine_puts.clear()

    def put_machine(self, machine: str, record: rec.MachineRecord | None) -> None:
        if record is None or self.picture.machines.get(machine) != record:
            self.machine_puts[machine] = record

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
        budget = int(node.writes.look(node.now))
        if budget < min(4, node.cluster.state.txn_ops):
            return
        change = Change(self.picture, min(node.cluster.state.txn_ops, budget), MAX_BYTES)
        node.lend()
        self._compose_exits(change)
        self._compose_machines(change)
        self._compose_finals(change)
        self._compose_orphans(change)
        for composer in self.composers:
            composer(change)
        if change.finish():
            self._commit(change)

    def _compose_exits(self, change: Change) -> None:
        # After a stand-still many ends are to be noted: work that must start at once is not to wait for all of them.
        me = self.node.name
        urgent = any(
            job.queued_count and not job.rank and self.membership.job_home(job.spec) == me
            for job in self.picture.jobs.values()
        )
        reserve = change.max_ops // 2 if urgent else 0
        for (name, number, attempt), outcome in list(self.exits.items()):
            job = self.picture.jobs.get(name)
            task = None if job is None else change.task(job, number)
            if job is None or task is None or not task.machine or task.attempt != attempt:
                del self.exits[(name, number, attempt)]
                continue
            chunks = 0 if change.has_chunk(job, number) else 1
            if not change.room(chunks + reserve, 0 if change.has_team(job.spec.team) else 1):
                continue
            if outcome.done:
                after = TaskRecord(TaskState.DONE, attempt, "", task.failures)
            else:
                failures = task.failures + 1 if outcome.failed else task.failures
                after = TaskRecord(TaskState.QUEUED, attempt, "", min(failures, 999), outcome.note[:24])
            change.set_task(job, number, after)
            change.notes.append(f"{name}/{number}#{attempt} on {task.machine} ended: {outcome.note or 'done'}")

    def _compose_machines(self, change: Change) -> None:
        for machine, record in list(self.machine_puts.items()):
            if not change.room(1, 0):
                return
            if record is None:
                if machine in self.picture.machines:
                    change.drop(rec.machine_key(machine))
                else:
                    del self.machine_puts[machine]
            elif self.picture.machines.get(machine) == record:
                del self.machine_puts[machine]
            else:
                change.put(rec.machine_key(machine), record)
                change.notes.append(f"{machine} is {record.use.name.lower()}")

    def _compose_finals(self, change: Change) -> None:
        me = self.node.name
        for job in list(self.picture.jobs.values()):
            if not job.over or self.membership.job_home(job.spec) != me:
                continue
            if any(change.has_chunk(job, index * job.size) for index in job.chunks):
                continue
            if not change.room(2, 0):
                return
            change.require(rec.job_key(job.id), job.version)
            done = not job.cancelled
            change.puts[rec.final_key(job.id)] = msgspec.json.encode(
                rec.FinalRecord(done, job.done, "" if done else "cancelled by its user")
            )
            change.require(rec.final_key(job.id), 0)
            change.puts[rec.job_key(job.id)] = None
            for index in job.chunks:
                # What does not fit is left behind and dropped later as an orphan.
                if not change.room(1, 0):
                    break
                change.require(rec.chunk_key(job.id, index), job.versions[index])
                change.puts[rec.chunk_key(job.id, index)] = None
            change.notes.append(f"{job.id} is over: {'done' if done else 'cancelled'}")

    def _compose_orphans(self, change: Change) -> None:
        if not self.membership.leads():
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
            if status == 200:
                revision = wire.decode(wire.TxnReply, body).revision
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
                # Unknown outcome, and it may yet be executed: read the keys; conditions guard what follows.
                log.info("commit with unknown outcome: reading %d keys back", len(change.puts))
                self._stale.extend(key for key in change.puts if key not in self._stale)
            elif status == 400:
                log.error("the state service calls a commit malformed: %s", body[:200])
                self._stale.extend(key for key in change.puts if key not in self._stale)
            self._read_stale()

        if node.state("POST", wire.COMMIT_PATH, wire.encode(wire.Txn(conditions, list(ops))), then, writes=len(ops)):
            self.busy = True

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
