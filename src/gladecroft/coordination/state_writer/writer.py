"""Writes a controller's changes of tasks, teams, machines and policies to the state service, one transaction at a time.

Pending changes are composed into a transaction only after the outcome of the previous one is known, so that each is
based on the newest records. After a conflict the changed keys are read again; after an unknown outcome, or a rejection
as malformed, all keys that it writes.

The *home controller* of a team schedules the team's jobs and is the only one that writes their task records; it
*claims* the team with a record that names it. The *owner* of a machine is the controller that receives the machine's
reports.
"""

from __future__ import annotations

import logging
from collections import deque
from collections.abc import Callable, Iterable
from datetime import timedelta

import msgspec

from gladecroft.bookkeeping import records as rec
from gladecroft.bookkeeping.transaction import TransactionBuilder
from gladecroft.coordination.context import ControllerContext
from gladecroft.coordination.membership import Membership
from gladecroft.coordination.state_writer.completion import CompletionComposer
from gladecroft.coordination.state_writer.exits import ExitTracker
from gladecroft.protocol import wire

log = logging.getLogger(__name__)

#: Maximum size of the writes and conditions of a transaction in bytes, as estimated by the transaction builder; leaves
#: space below the 64 KiB limit on the body of a request.
MAX_TXN_BYTES = 52_000
#: Minimum time between two transactions, and the longer one that applies while nothing has changed.
FLUSH_INTERVAL = timedelta(milliseconds=100)
IDLE_FLUSH_INTERVAL = timedelta(milliseconds=400)
#: Each queued job beyond ``UNDELAYED_JOBS`` delays the next transaction, and with it the scheduling round, by
#: ``DELAY_PER_JOB``, up to ``IDLE_FLUSH_INTERVAL``, unless the last transaction was full. Capacity that becomes free
#: meanwhile accumulates, so that one write places several tasks of a job. With ten rounds per second in two days of
#: overload, 2 % fewer array jobs completed in time, because the write budget was spent on small placements.
UNDELAYED_JOBS = 20
DELAY_PER_JOB = timedelta(milliseconds=2)
#: Maximum number of stale keys that are being read at a time.
MAX_READS_IN_FLIGHT = 8
#: Writes kept free for users' requests, if the burst of the budget is at least three times as large.
RESERVED_USER_WRITES = 2
#: Writes that are enough for the next transaction while production jobs are queued.
MIN_PRODUCTION_WRITES = 4
#: How often this controller's share of the write budget is updated.
WRITE_SHARE_INTERVAL = timedelta(seconds=2)
#: A policy record that has been pending for this long is written ahead of placements; before, only into space that they
#: leave.
POLICY_MAX_WAIT = timedelta(seconds=3)


class PolicyWrite(msgspec.Struct, eq=False):
    """A pending write of a policy record; a ``value`` of None deletes it.

    ``on_committed`` is called once the write is committed.
    """

    value: bytes | None
    enqueued_at: timedelta
    on_committed: Callable[[], None]


class StateWriter:
    """Collects pending changes, composes them into transactions and commits them."""

    def __init__(self, context: ControllerContext, membership: Membership) -> None:
        self.context = context
        self.cluster_state = context.cluster_state
        self.membership = membership
        self.exit_tracker = ExitTracker(context, membership)
        self.exits = self.exit_tracker.exits
        self.record_exit = self.exit_tracker.record_exit
        self.completion = CompletionComposer(context, membership, self.exit_tracker)
        #: Pending machine records, by machine id; None deletes a record.
        self.machine_writes: dict[str, rec.MachineRecord | None] = {}
        #: Pending policy records, by key; see ``POLICY_MAX_WAIT``.
        self.policy_writes: dict[str, PolicyWrite] = {}
        #: Teams with a placement whose commit has an unknown outcome.
        self.teams_with_unknown_outcome: set[str] = set()
        #: Functions that add placements and evictions to a transaction. They run in order, after all other changes but
        #: deferred completions, orphan deletions and the remaining policy records.
        self.composers: list[Callable[[TransactionBuilder], None]] = []
        #: Number of pending jobs in the last scheduling round; 0 if this controller had no task to place.
        self.queued_job_count = 0
        self.commit_pending = False
        #: Keys to read again, since the cluster state may not have their newest values.
        self._stale_keys: deque[str] = deque()
        self._reads_pending = 0
        #: When the last transaction was composed, and the numbers of changes, exits and machine writes at that time.
        self._flushed_at = timedelta(days=-1)
        self._flushed_counts: tuple[int, int, int] = (-1, 0, 0)
        self._write_share_updated_at = timedelta(days=-1)
        #: Whether the last transaction had no space left before orphan deletions.
        self._last_txn_full = False

    def epoch_changed(self, continuous: bool) -> None:
        """Drops exits that this controller may no longer record in the new epoch, and all pending machine records.

        ``continuous`` is false if epochs were missed or this controller was not a member meanwhile.
        """
        self.exit_tracker.epoch_changed(continuous)
        self.cluster_state.dirty_for_placement.update(self.machine_writes)
        self.machine_writes.clear()

    # Machines -----------------------------------------------------------------------------------------------

    def put_machine(self, machine_id: str, record: rec.MachineRecord | None) -> None:
        """Schedules the write of a machine record; None deletes it."""
        if record is None or self.cluster_state.machines.get(machine_id) != record:
            self.machine_writes[machine_id] = record
            self.cluster_state.dirty_for_placement.add(machine_id)
        elif self.machine_writes.get(machine_id, record) != record:
            # The pending write is obsolete: for instance, a machine to be recorded as silent has reported again.
            del self.machine_writes[machine_id]
            self.cluster_state.dirty_for_placement.add(machine_id)

    def machine_record(self, machine_id: str) -> rec.MachineRecord | None:
        """Returns a machine's record as it will be once pending writes are committed."""
        if machine_id in self.machine_writes:
            return self.machine_writes[machine_id]
        return self.cluster_state.machines.get(machine_id)

    # Transactions -------------------------------------------------------------------------------------------

    def flush(self) -> None:
        """Composes and commits the next transaction if it is due, none is in flight and the write budget allows it."""
        context = self.context
        self._read_stale()
        if not self._may_commit():
            return
        self._update_write_share()
        counts = (self.cluster_state.change_count, len(self.exits), len(self.machine_writes))
        min_interval = self._flush_delay() if counts != self._flushed_counts else IDLE_FLUSH_INTERVAL
        if context.now - self._flushed_at < min_interval:
            return
        production_queued = self._has_queued_production_jobs()
        context.writer_waiting_for_budget = bool(self.cluster_state.queued_jobs or self.exits or self.machine_writes)
        budget = int(context.state_writes.available(context.now)) - self._reserved_user_writes()
        if budget < self._min_budget(production_queued):
            return
        if context.users_waiting_for_budget and not context.writer_has_turn:
            return
        context.writer_waiting_for_budget = False
        self._flushed_at, self._flushed_counts = context.now, counts
        txn = TransactionBuilder(self.cluster_state, min(context.cluster.state.txn_ops, budget), MAX_TXN_BYTES)
        context.update_write_rate()
        self._compose(txn, production_queued)
        if txn.finish():
            self._commit(txn)

    def _may_commit(self) -> bool:
        """Returns whether the outcome of the previous transaction is known and this controller may write."""
        return not (
            self.commit_pending
            or self._reads_pending
            or self._stale_keys
            or not self.membership.is_active()
            or self.context.state_down()
        )

    def _reserved_user_writes(self) -> int:
        """Returns how many writes are kept free for users' requests, which must not wait for the budget to refill."""
        return RESERVED_USER_WRITES if self.context.state_writes.burst >= 3 * RESERVED_USER_WRITES else 0

    def _min_budget(self, production_queued: bool) -> int:
        """Returns the write budget that has to be available before the next transaction is composed.

        While there is more to write than the budget allows, few large transactions achieve more than many small ones.
        Otherwise a few writes are enough while production jobs are queued, so that they are placed without delay.
        """
        context = self.context
        writes = context.cluster.state.txn_ops // 2
        if production_queued and not self._last_txn_full:
            writes = MIN_PRODUCTION_WRITES
        return min(writes, int(context.state_writes.burst) - self._reserved_user_writes())

    def _compose(self, txn: TransactionBuilder, production_queued: bool) -> None:
        """Adds the pending changes to the transaction, the most urgent first."""
        self._compose_claims(txn)
        batches = self.exit_tracker.batches()
        self.completion.compose_awaited_exits(txn, batches, txn.max_ops // 2 if production_queued else 0)
        # Hundreds of machines may come up together after a burst of rentals. Tasks that can already be placed must not
        # wait until the records of all new machines are written.
        self._compose_machines(txn, txn.max_ops // 2 if self.cluster_state.queued_jobs else 0)
        self.completion.compose_final_records(txn)
        self.exit_tracker.compose_outbox(txn, self.machine_writes)
        self._compose_policies(txn, POLICY_MAX_WAIT, 1)
        for composer in self.composers:
            composer(txn)
        self.completion.compose_deferred_completions(txn, batches)
        self._last_txn_full = not txn.has_room(1, 0)
        self.completion.compose_orphan_deletes(txn)
        self._compose_policies(txn, timedelta(), len(self.policy_writes))

    def _flush_delay(self) -> timedelta:
        """Returns the minimum time between two transactions while there are changes to write."""
        if self._last_txn_full:
            return FLUSH_INTERVAL  # there is more to write than fitted into the last transaction
        return min(IDLE_FLUSH_INTERVAL, FLUSH_INTERVAL + max(0, self.queued_job_count - UNDELAYED_JOBS) * DELAY_PER_JOB)

    def _update_write_share(self) -> None:
        """Periodically sets this controller's share of the write budget from the jobs of which it is the home."""
        if self.context.now - self._write_share_updated_at < WRITE_SHARE_INTERVAL or not self.cluster_state.jobs:
            return
        self._write_share_updated_at = self.context.now
        own = total = 0
        # Only queued jobs, and running ones that end by themselves, cause writes; running services do not.
        for team, demand in self.cluster_state.workload.teams.items():
            total += demand.changing_jobs
            own += demand.changing_jobs * (self.membership.home(team) == self.context.name)
        if total:
            self.context.set_write_share(own / total)

    def _has_queued_production_jobs(self) -> bool:
        """Whether production jobs, those of the highest priority, are queued at this home controller."""
        own_name = self.context.name
        return any(
            demand.queued_production_jobs and self.membership.home(team) == own_name
            for team, demand in self.cluster_state.workload.teams.items()
        )

    # Teams --------------------------------------------------------------------------------------------------

    def holds_claim(self, team: str) -> bool:
        """Whether this controller alone may place tasks of a team and knows of all earlier placements.

        Its claim makes every commit fail that is based on an earlier claim, and the watch has delivered all changes
        before the claim. The cluster state therefore shows the team's whole usage, and the limit can be checked without
        a usage record that each placement would have to update.
        """
        record = self.cluster_state.team_records.get(team)
        return (
            record is not None
            and record.home == self.context.name
            and record.incarnation == self.membership.incarnation
            and team not in self.teams_with_unknown_outcome
            and self.cluster_state.version(rec.team_key(team)) <= self.cluster_state.revision
        )

    def _compose_claims(self, txn: TransactionBuilder) -> None:
        """Claims the teams with queued jobs of which this controller is the home controller.

        A claim stays valid in a new epoch that only assigns machines to other owners.
        """
        if self.membership.incarnation is None:
            return
        record = rec.TeamRecord(self.context.name, self.membership.incarnation)
        for team, demand in self.cluster_state.workload.teams.items():
            if not demand.queued_jobs or self.membership.home(team) != self.context.name:
                continue
            if (
                self.cluster_state.team_records.get(team) != record or team in self.teams_with_unknown_outcome
            ) and txn.has_room(1, 0):
                txn.put(rec.team_key(team), record)
                txn.claimed_teams.add(team)

    def _compose_machines(self, txn: TransactionBuilder, reserve: int) -> None:
        # Records of machines that are not up come first, since they exclude machines from placement.
        for machine_id, record in sorted(
            self.machine_writes.items(),
            key=lambda item: item[1] is None or item[1].lifecycle is rec.MachineLifecycle.UP,
        ):
            if not txn.has_room(1 + reserve, 0):
                return
            if record is None:
                if machine_id in self.cluster_state.machines:
                    txn.delete(rec.machine_key(machine_id))
                else:
                    del self.machine_writes[machine_id]
                    self.cluster_state.dirty_for_placement.add(machine_id)
            elif (
                self.cluster_state.machines.get(machine_id) == record
                and machine_id not in self.cluster_state.reported_machines
            ):
                del self.machine_writes[machine_id]
                self.cluster_state.dirty_for_placement.add(machine_id)
            else:
                txn.put(rec.machine_key(machine_id), record)
                txn.log_messages.append(f"{machine_id} is {record.lifecycle.name.lower()}")

    # Commits ------------------------------------------------------------------------------------------------

    def _compose_policies(self, txn: TransactionBuilder, min_age: timedelta, max_records: int) -> None:
        """Adds up to ``max_records`` policy records that have been pending for at least ``min_age``.

        In an overload all transactions are full. One record per transaction then goes before the placements, but never
        before the changes that running tasks depend on: claims, exits, machine records and the outbox record.
        """
        for key, write in self.policy_writes.items():
            if max_records <= 0 or not txn.has_room(1, 0):
                return
            if key not in txn.writes and self.context.now - write.enqueued_at >= min_age:
                txn.require(key)
                txn.writes[key] = write.value
                max_records -= 1

    def _commit(self, txn: TransactionBuilder) -> None:
        context = self.context
        ops: list[wire.Put | wire.Delete] = [
            wire.Delete(key) if value is None else wire.Put(key, msgspec.Raw(value))
            for key, value in txn.writes.items()
        ]
        conditions = [wire.Condition(key, version) for key, version in txn.conditions.items()]

        def on_commit_result(status: int, body: bytes) -> None:
            self.commit_pending = False
            self._handle_commit_result(txn, status, body)
            self._read_stale()

        if context.call_state(
            "POST", wire.COMMIT_PATH, wire.encode(wire.Txn(conditions, list(ops))), on_commit_result, writes=len(ops)
        ):
            self.commit_pending = True
            context.writer_has_turn = False

    def _handle_commit_result(self, txn: TransactionBuilder, status: int, body: bytes) -> None:
        """Applies a committed transaction, or marks the keys to read again."""
        for key, value in txn.writes.items():
            # Writes of a failed commit use up the budget as well.
            label = rec.RECORD_NAMES.get(key[: len(rec.JOBS)], key) + ("" if value is not None else " dropped")
            self.context.count_writes(label if status == 200 else f"refused ({status})")
        if status == 200:
            self._apply_committed(txn, wire.decode(wire.TxnReply, body).revision)
        elif status == 409:
            failed: list[str] = wire.decode(wire.TxnReply, body).failed
            log.debug("commit conflict: %s changed", ",".join(failed))
            self._mark_stale(failed)
        elif status == 0:
            # The outcome is unknown, and the commit may still be executed later. Its keys are read again, and the
            # next transactions have conditions on them. Its placements together with those of a later commit could
            # exceed the team's limit. This controller therefore renews its claim before it places again: the old
            # commit then fails, unless it was executed earlier and the watch delivers its placements.
            self.teams_with_unknown_outcome |= txn.placed_teams
            log.info("outcome of commit unknown: reading %d keys again: %s", len(txn.writes), ",".join(txn.writes))
            self._mark_stale(txn.writes)
        elif status == 400:
            log.error("the state service rejected a commit as malformed: %s", body[:200])
            self._mark_stale(txn.writes)

    def _apply_committed(self, txn: TransactionBuilder, revision: int) -> None:
        self.teams_with_unknown_outcome -= txn.claimed_teams
        for key, value in txn.writes.items():
            self.cluster_state.apply(key, value, revision)
            write = self.policy_writes.get(key)
            if write is not None and write.value == value:
                del self.policy_writes[key]
                write.on_committed()
        if log.isEnabledFor(logging.INFO):
            for message in txn.log_messages:
                log.info("%s", message)

    def _mark_stale(self, keys: Iterable[str]) -> None:
        """Queues keys to be read again."""
        self._stale_keys.extend(key for key in keys if key not in self._stale_keys)

    def _read_stale(self) -> None:
        """Reads stale keys again, at most ``MAX_READS_IN_FLIGHT`` at a time."""
        while self._stale_keys and self._reads_pending < MAX_READS_IN_FLIGHT:
            key = self._stale_keys[0]
            if not self._read(key):
                return
            self._stale_keys.popleft()

    def _read(self, key: str) -> bool:
        def on_read_result(status: int, body: bytes) -> None:
            self._reads_pending -= 1
            if not self.context.apply_read(key, status, body):
                self._stale_keys.append(key)

        if not self.context.call_state("GET", wire.key_path(key), None, on_read_result):
            return False
        self._reads_pending += 1
        return True
