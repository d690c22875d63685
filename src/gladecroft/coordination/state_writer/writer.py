"""Writes a controller's changes of tasks, teams and machines to the state service, one transaction at a time.

Pending changes are composed into a transaction only after the previous one is settled, so that each is based on the
newest records. After a failed transaction, or one with unknown outcome, its keys are read again.
"""

from __future__ import annotations

import logging
from collections import deque
from collections.abc import Callable
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

#: Size limit of a transaction.
MAX_TXN_BYTES = 52_000
#: Minimum time between two transactions, and the longer one that applies while nothing has changed.
FLUSH_INTERVAL = timedelta(milliseconds=100)
IDLE_FLUSH_INTERVAL = timedelta(milliseconds=400)
#: Each queued job beyond the first ones delays the next placement round a little. Capacity that becomes free meanwhile
#: goes to few jobs at a time, so that one write covers many tasks. With ten rounds a second, 2 % fewer arrays completed
#: in time in two days of overload, because the write budget went into small placements.
UNDELAYED_JOBS = 20
DELAY_PER_JOB = timedelta(milliseconds=2)
#: Writes kept free in the budget for submissions.
RESERVED_USER_WRITES = 2
#: How often this controller's weight in the write budget is updated.
WEIGHT_INTERVAL = timedelta(seconds=2)
#: After this time a policy record is written ahead of placements instead of only when there is space left.
POLICY_MAX_WAIT = timedelta(seconds=3)


class PolicyWrite(msgspec.Struct, eq=False):
    """A pending write of a policy record; a ``value`` of None deletes it.

    ``on_committed`` is called once the write is committed.
    """

    value: bytes | None
    since: timedelta
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
        self.machine_writes: dict[str, rec.MachineRecord | None] = {}
        #: Pending policy records, by key. They come last in a transaction unless they have waited for long.
        self.policy_writes: dict[str, PolicyWrite] = {}
        #: Teams with a placement whose commit has an unknown outcome.
        self.uncertain_teams: set[str] = set()
        #: Functions that add further changes to a transaction; they run in order, after exits.
        self.composers: list[Callable[[TransactionBuilder], None]] = []
        #: Number of jobs that were queued in the last placement round.
        self.waiting_jobs = 0
        self.commit_pending = False
        self._stale_keys: deque[str] = deque()
        self._reads_pending = 0
        self._flushed_at = timedelta(days=-1)
        self._flushed_counts: tuple[int, int, int] = (-1, 0, 0)
        self._weight_updated_at = timedelta(days=-1)
        self._was_full = False

    def epoch_changed(self, continuous: bool) -> None:
        """Drops what was collected under the old epoch: exits that may no longer hold, and pending machine records."""
        self.exit_tracker.epoch_changed(continuous)
        self.cluster_state.dirty_for_placement.update(self.machine_writes)
        self.machine_writes.clear()

    # Machines -----------------------------------------------------------------------------------------------

    def put_machine(self, machine: str, record: rec.MachineRecord | None) -> None:
        """Schedules the write of a machine record; None deletes it."""
        if record is None or self.cluster_state.machines.get(machine) != record:
            self.machine_writes[machine] = record
            self.cluster_state.dirty_for_placement.add(machine)
        elif self.machine_writes.get(machine, record) != record:
            # The pending write is obsolete, for instance because a silent machine has reported again.
            del self.machine_writes[machine]
            self.cluster_state.dirty_for_placement.add(machine)

    def machine_record(self, machine: str) -> rec.MachineRecord | None:
        """Returns a machine's record as it will be once pending writes are committed."""
        if machine in self.machine_writes:
            return self.machine_writes[machine]
        return self.cluster_state.machines.get(machine)

    # Transactions -------------------------------------------------------------------------------------------

    def flush(self) -> None:
        """Composes and commits the next transaction if none is in flight, one is due and the write budget allows it."""
        context = self.context
        self._read_stale()
        if (
            self.commit_pending
            or self._reads_pending
            or self._stale_keys
            or not self.membership.is_active()
            or context.state_down()
        ):
            return
        self._update_weight()
        counts = (self.cluster_state.change_count, len(self.exits), len(self.machine_writes))
        if context.now - self._flushed_at < (
            self._flush_delay() if counts != self._flushed_counts else IDLE_FLUSH_INTERVAL
        ):
            return
        # Some writes are kept free for submissions, which must not wait for the budget to refill.
        reserved = RESERVED_USER_WRITES if context.state_writes.burst >= 3 * RESERVED_USER_WRITES else 0
        budget = int(context.state_writes.available(context.now)) - reserved
        ops = context.cluster.state.txn_ops
        urgent = self._has_urgent_work()
        context.state_writer_needs_writes = bool(self.cluster_state.queued_jobs or self.exits or self.machine_writes)
        # While there is more to write than the budget allows, few large transactions achieve more than many small ones.
        # Otherwise urgent work is written at once.
        if budget < min(4 if urgent and not self._was_full else ops // 2, int(context.state_writes.burst) - reserved):
            return
        if context.users_need_writes and not context.state_writer_first:
            return
        context.state_writer_needs_writes = False
        self._flushed_at, self._flushed_counts = context.now, counts
        txn = TransactionBuilder(self.cluster_state, min(ops, budget), MAX_TXN_BYTES)
        context.update_write_rate()
        self._compose_claims(txn)
        batches = self.exit_tracker.batches()
        self.completion.compose_exits(txn, batches, txn.max_ops // 2 if urgent else 0)
        # Hundreds of machines may come up at once after a burst of rentals; tasks that can already run must not wait
        # for all of their records.
        self._compose_machines(txn, txn.max_ops // 2 if self.cluster_state.queued_jobs else 0)
        self.completion.compose_final_records(txn)
        self.exit_tracker.compose_outbox(txn, self.machine_writes)
        self._compose_policies(txn, POLICY_MAX_WAIT, 1)
        for composer in self.composers:
            composer(txn)
        self.completion.compose_completed(txn, batches)
        self._was_full = not txn.has_room(1, 0)
        self.completion.compose_orphan_deletes(txn)
        self._compose_policies(txn, timedelta(), len(self.policy_writes))
        if txn.finish():
            self._commit(txn)

    def _flush_delay(self) -> timedelta:
        """Returns the minimum time between two transactions while there are changes to write."""
        if self._was_full:
            return FLUSH_INTERVAL  # there is more to write than fits into one transaction
        return min(IDLE_FLUSH_INTERVAL, FLUSH_INTERVAL + max(0, self.waiting_jobs - UNDELAYED_JOBS) * DELAY_PER_JOB)

    def _update_weight(self) -> None:
        """Periodically reports to the budget the share of unfinished work whose home is this controller."""
        if self.context.now - self._weight_updated_at < WEIGHT_INTERVAL or not self.cluster_state.jobs:
            return
        self._weight_updated_at = self.context.now
        own = total = 0
        # Only work that is queued or ends soon causes writes; running services do not count.
        for team, demand in self.cluster_state.workload.teams.items():
            total += demand.changing_jobs
            own += demand.changing_jobs * (self.membership.home(team) == self.context.name)
        if total:
            self.context.set_write_share(own / total)

    def _has_urgent_work(self) -> bool:
        """Whether work of the highest priority is queued at this controller."""
        own_name = self.context.name
        return any(
            demand.production_jobs and self.membership.home(team) == own_name
            for team, demand in self.cluster_state.workload.teams.items()
        )

    # Teams --------------------------------------------------------------------------------------------------

    def holds_claim(self, team: str) -> bool:
        """Whether this controller alone may place tasks of a team and knows of all earlier placements.

        Its claim makes every commit fail that is based on an earlier claim, and the watch has delivered all changes
        before the claim. So the team's usage is known from the cluster state, without a write for each placement.
        """
        record = self.cluster_state.team_records.get(team)
        return (
            record is not None
            and record.home == self.context.name
            and record.incarnation == self.membership.incarnation
            and team not in self.uncertain_teams
            and self.cluster_state.version(rec.team_key(team)) <= self.cluster_state.revision
        )

    def _compose_claims(self, txn: TransactionBuilder) -> None:
        """Claims the teams with jobs queued here. A claim survives epochs in which only machines move."""
        if self.membership.incarnation is None:
            return
        record = rec.TeamRecord(self.context.name, self.membership.incarnation)
        for team, demand in self.cluster_state.workload.teams.items():
            if not demand.queued_jobs or self.membership.home(team) != self.context.name:
                continue
            if (self.cluster_state.team_records.get(team) != record or team in self.uncertain_teams) and txn.has_room(
                1, 0
            ):
                txn.put(rec.team_key(team), record)
                txn.claimed_teams.add(team)

    def _compose_machines(self, txn: TransactionBuilder, reserve: int) -> None:
        # Records that exclude a machine from placement come first.
        for machine, record in sorted(
            self.machine_writes.items(), key=lambda item: item[1] is None or item[1].use is rec.MachineUse.UP
        ):
            if not txn.has_room(1 + reserve, 0):
                return
            if record is None:
                if machine in self.cluster_state.machines:
                    txn.delete(rec.machine_key(machine))
                else:
                    del self.machine_writes[machine]
                    self.cluster_state.dirty_for_placement.add(machine)
            elif (
                self.cluster_state.machines.get(machine) == record
                and machine not in self.cluster_state.reported_machines
            ):
                del self.machine_writes[machine]
                self.cluster_state.dirty_for_placement.add(machine)
            else:
                txn.put(rec.machine_key(machine), record)
                txn.log_messages.append(f"{machine} is {record.use.name.lower()}")

    # Commits ------------------------------------------------------------------------------------------------

    def _compose_policies(self, txn: TransactionBuilder, age: timedelta, limit: int) -> None:
        """Adds up to ``limit`` policy records that have waited for at least ``age``.

        In an overload transactions are always full. One record per transaction then goes before placements, but never
        before the changes that protect running work.
        """
        for key, write in self.policy_writes.items():
            if limit <= 0 or not txn.has_room(1, 0):
                return
            if key not in txn.writes and self.context.now - write.since >= age:
                txn.require(key)
                txn.writes[key] = write.value
                limit -= 1

    def _commit(self, txn: TransactionBuilder) -> None:
        context = self.context
        ops: list[wire.Put | wire.Delete] = [
            wire.Delete(key) if value is None else wire.Put(key, msgspec.Raw(value))
            for key, value in txn.writes.items()
        ]
        conditions = [wire.Condition(key, version) for key, version in txn.conditions.items()]

        def then(status: int, body: bytes) -> None:
            self.commit_pending = False
            for key, value in txn.writes.items():
                # Refused writes use up the budget as well.
                label = rec.RECORD_NAMES.get(key[: len(rec.JOBS)], key) + ("" if value is not None else " dropped")
                context.count_writes(label if status == 200 else f"refused ({status})")
            if status == 200:
                revision = wire.decode(wire.TxnReply, body).revision
                self.uncertain_teams -= txn.claimed_teams
                for key, value in txn.writes.items():
                    self.cluster_state.apply(key, value, revision)
                    write = self.policy_writes.get(key)
                    if write is not None and write.value == value:
                        del self.policy_writes[key]
                        write.on_committed()
                if log.isEnabledFor(logging.INFO):
                    for message in txn.log_messages:
                        log.info("%s", message)
            elif status == 409:
                failed: list[str] = wire.decode(wire.TxnReply, body).failed
                log.debug("commit refused: %s changed", ",".join(failed))
                self._stale_keys.extend(key for key in failed if key not in self._stale_keys)
            elif status == 0:
                # The outcome is unknown, and the commit may still be executed later. The keys are read again, and
                # conditions guard what follows. Its placements could come on top of the next ones: a new claim makes
                # the commit fail or its effect visible.
                self.uncertain_teams |= txn.placed_teams
                log.info("commit with unknown outcome: reading %d keys again", len(txn.writes))
                self._stale_keys.extend(key for key in txn.writes if key not in self._stale_keys)
            elif status == 400:
                log.error("the state service rejected a commit as malformed: %s", body[:200])
                self._stale_keys.extend(key for key in txn.writes if key not in self._stale_keys)
            self._read_stale()

        if context.call_state(
            "POST", wire.COMMIT_PATH, wire.encode(wire.Txn(conditions, list(ops))), then, writes=len(ops)
        ):
            self.commit_pending = True
            context.state_writer_first = False

    def _read_stale(self) -> None:
        """Reads stale keys again, eight at a time."""
        while self._stale_keys and self._reads_pending < 8:
            key = self._stale_keys[0]
            if not self._read(key):
                return
            self._stale_keys.popleft()

    def _read(self, key: str) -> bool:
        def then(status: int, body: bytes) -> None:
            self._reads_pending -= 1
            if status == 200:
                item: wire.KeyValue = wire.decode(wire.KeyValue, body)
                self.cluster_state.apply(key, item.value, item.version)
            elif status == 404:
                self.cluster_state.apply(key, None, wire.decode(wire.KeyNotFound, body).revision)
            else:
                self._stale_keys.append(key)

        if not self.context.call_state("GET", wire.key_path(key), None, then):
            return False
        self._reads_pending += 1
        return True
