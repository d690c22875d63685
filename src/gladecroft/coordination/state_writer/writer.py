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
from gladecroft.bookkeeping.transaction import TransactionBuilder
from gladecroft.coordination.context import ControllerContext
from gladecroft.coordination.membership import Membership
from gladecroft.coordination.state_writer.completion import CompletionComposer
from gladecroft.coordination.state_writer.exits import ExitTracker
from gladecroft.protocol import wire

log = logging.getLogger(__name__)

MAX_BYTES = 52_000
#: Transactions are begun at most this often; unless something has changed, much less often.
FLUSH_EVERY = timedelta(milliseconds=100)
FLUSH_IDLE = timedelta(milliseconds=400)
#: The more jobs wait, beyond a few, the longer from one round of placing to the next: room that becomes free meanwhile
#: goes to few jobs at a time, so that one change holds many tasks. (With ten rounds a second, once they were cheap, two
#: arrays in a hundred fewer were done in time on two days of overload: changes ran out on pieces.)
FEW_JOBS = 20
PAUSE_PER_JOB = timedelta(milliseconds=2)
LEFT_FOR_USERS = 2
WEIGH_EVERY = timedelta(seconds=2)
#: How long a policy's record waits for a change that nobody else wants.
POLICY_PATIENCE = timedelta(seconds=3)


class PolicyWrite(msgspec.Struct, eq=False):
    """A policy's record as it is to be (None: not at all); ``done`` is called once it is committed."""

    value: bytes | None
    since: timedelta
    on_committed: Callable[[], None]


class StateWriter:
    def __init__(self, context: ControllerContext, membership: Membership) -> None:
        self.context = context
        self.cluster_state = context.cluster_state
        self.membership = membership
        self.exit_tracker = ExitTracker(context, membership)
        self.exits = self.exit_tracker.exits
        self.record_exit = self.exit_tracker.record_exit
        self.closing = CompletionComposer(context, membership, self.exit_tracker)
        self.machine_writes: dict[str, rec.MachineRecord | None] = {}
        #: What policies' records are to be: last in line for the changes, unless they have waited for long.
        self.policy_writes: dict[str, PolicyWrite] = {}
        #: Teams for which a placement is under way of which nobody knows whether it was executed.
        self.uncertain_teams: set[str] = set()
        #: Composers add what they want to a change; they run after exits, in order.
        self.composers: list[Callable[[TransactionBuilder], None]] = []
        #: How many jobs waited in the last round of placing.
        self.waiting_jobs = 0
        self.commit_pending = False
        self._stale: deque[str] = deque()
        self._reading = 0
        self._flushed_at = timedelta(days=-1)
        self._seen: tuple[int, int, int] = (-1, 0, 0)
        self._weighed_at = timedelta(days=-1)
        self._was_full = False

    def epoch_changed(self, continuous: bool) -> None:
        """What was noted under the old epoch is dropped: proofs that may not hold, and machines to be written about."""
        self.exit_tracker.epoch_changed(continuous)
        self.cluster_state.dirty_for_placement.update(self.machine_writes)
        self.machine_writes.clear()

    # Machines -----------------------------------------------------------------------------------------------

    def put_machine(self, machine: str, record: rec.MachineRecord | None) -> None:
        if record is None or self.cluster_state.machines.get(machine) != record:
            self.machine_writes[machine] = record
            self.cluster_state.dirty_for_placement.add(machine)
        elif self.machine_writes.get(machine, record) != record:
            # What was to be written is no longer so: a machine called silent has been heard again.
            del self.machine_writes[machine]
            self.cluster_state.dirty_for_placement.add(machine)

    def machine(self, machine: str) -> rec.MachineRecord | None:
        """The machine's record as it will be once what is noted is committed."""
        if machine in self.machine_writes:
            return self.machine_writes[machine]
        return self.cluster_state.machines.get(machine)

    # Transactions -------------------------------------------------------------------------------------------

    def flush(self) -> None:
        context = self.context
        self._read_stale()
        if (
            self.commit_pending
            or self._reading
            or self._stale
            or not self.membership.is_active()
            or context.state_down()
        ):
            return
        self._weigh()
        seen = (self.cluster_state.change_count, len(self.exits), len(self.machine_writes))
        if context.now - self._flushed_at < (self._flush_delay() if seen != self._seen else FLUSH_IDLE):
            return
        # A little is left for submissions, which are not to wait for the next writes.
        left = LEFT_FOR_USERS if context.state_writes.burst >= 3 * LEFT_FOR_USERS else 0
        budget = int(context.state_writes.available(context.now)) - left
        ops = context.cluster.state.txn_ops
        urgent = self._urgent()
        context.state_writer_needs_writes = bool(self.cluster_state.queued_jobs or self.exits or self.machine_writes)
        # While there is more to write than the budget allows, few large transactions get more done than many small
        # ones; else what is urgent goes at once.
        if budget < min(4 if urgent and not self._was_full else ops // 2, int(context.state_writes.burst) - left):
            return
        if context.users_need_writes and not context.state_writer_first:
            return
        context.state_writer_needs_writes = False
        self._flushed_at, self._seen = context.now, seen
        txn = TransactionBuilder(self.cluster_state, min(ops, budget), MAX_BYTES)
        context.update_write_rate()
        self._compose_claims(txn)
        ends = self.exit_tracker.batches()
        self.closing.exits(txn, ends, txn.max_ops // 2 if urgent else 0)
        # Machines come in hundreds after a burst of renting; work that can already run is not to wait for them all.
        self._compose_machines(txn, txn.max_ops // 2 if self.cluster_state.queued_jobs else 0)
        self.closing.finals(txn)
        self.exit_tracker.compose_mail(txn, self.machine_writes)
        self._compose_policies(txn, POLICY_PATIENCE, 1)
        for composer in self.composers:
            composer(txn)
        self.closing.done(txn, ends)
        self._was_full = not txn.has_room(1, 0)
        self.closing.orphans(txn)
        self._compose_policies(txn, timedelta(), len(self.policy_writes))
        if txn.finish():
            self._commit(txn)

    def _flush_delay(self) -> timedelta:
        """How long after one transaction the next is begun if there is news."""
        if self._was_full:
            return FLUSH_EVERY  # there is more to write than one holds
        return min(FLUSH_IDLE, FLUSH_EVERY + max(0, self.waiting_jobs - FEW_JOBS) * PAUSE_PER_JOB)

    def _weigh(self) -> None:
        """Tell the budget, now and then, how much of all unfinished work has its home here."""
        if self.context.now - self._weighed_at < WEIGH_EVERY or not self.cluster_state.jobs:
            return
        self._weighed_at = self.context.now
        mine = total = 0
        # What waits or will end soon is written about; a service that runs is not.
        for team, waits in self.cluster_state.workload.teams.items():
            total += waits.changing_jobs
            mine += waits.changing_jobs * (self.membership.home(team) == self.context.name)
        if total:
            self.context.set_write_share(mine / total)

    def _urgent(self) -> bool:
        """Whether work of the highest priority waits here."""
        me = self.context.name
        return any(
            waits.production_jobs and self.membership.home(team) == me
            for team, waits in self.cluster_state.workload.teams.items()
        )

    # Teams --------------------------------------------------------------------------------------------------

    def holds_claim(self, team: str) -> bool:
        """Whether this controller alone may place the team's tasks now, and knows of all that was placed before.

        Its claim has made every commit fail that rested on an earlier one, and the watch has brought all that came
        before the claim. So what the team uses can be told from the picture, with no write for each placement.
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
        """Claim the teams of which jobs wait here. A claim outlasts epochs in which only machines move."""
        if self.membership.incarnation is None:
            return
        record = rec.TeamRecord(self.context.name, self.membership.incarnation)
        for team, waits in self.cluster_state.workload.teams.items():
            if not waits.queued_jobs or self.membership.home(team) != self.context.name:
                continue
            if (self.cluster_state.team_records.get(team) != record or team in self.uncertain_teams) and txn.has_room(
                1, 0
            ):
                txn.put(rec.team_key(team), record)
                txn.claimed_teams.add(team)

    def _compose_machines(self, txn: TransactionBuilder, reserve: int) -> None:
        # What takes a machine out of use comes first.
        for machine, record in sorted(
            self.machine_writes.items(), key=lambda put: put[1] is None or put[1].use is rec.MachineUse.UP
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

    # The lane -----------------------------------------------------------------------------------------------

    def _compose_policies(self, txn: TransactionBuilder, age: timedelta, most: int) -> None:
        """Work policies' records in that have waited for at least so long. In an overload transactions are always full:
        one record a transaction then goes before placing, never before what keeps running work safe."""
        for key, put in self.policy_writes.items():
            if most <= 0 or not txn.has_room(1, 0):
                return
            if key not in txn.writes and self.context.now - put.since >= age:
                txn.require(key)
                txn.writes[key] = put.value
                most -= 1

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
                # Refused ones count as well.
                what = rec.RECORD_NAMES.get(key[: len(rec.JOBS)], key) + ("" if value is not None else " dropped")
                context.count_writes(what if status == 200 else f"refused ({status})")
            if status == 200:
                revision = wire.decode(wire.TxnReply, body).revision
                self.uncertain_teams -= txn.claimed_teams
                for key, value in txn.writes.items():
                    self.cluster_state.apply(key, value, revision)
                    put = self.policy_writes.get(key)
                    if put is not None and put.value == value:
                        del self.policy_writes[key]
                        put.on_committed()
                if log.isEnabledFor(logging.INFO):
                    for note in txn.log_messages:
                        log.info("%s", note)
            elif status == 409:
                failed: list[str] = wire.decode(wire.TxnReply, body).failed
                log.debug("commit refused: %s changed", ",".join(failed))
                self._stale.extend(key for key in failed if key not in self._stale)
            elif status == 0:
                # Unknown outcome, and it may yet be executed: read the keys; conditions guard what follows. What it
                # would place might come on top of what is placed next: a new claim makes it fail, or shows it.
                self.uncertain_teams |= txn.placed_teams
                log.info("commit with unknown outcome: reading %d keys back", len(txn.writes))
                self._stale.extend(key for key in txn.writes if key not in self._stale)
            elif status == 400:
                log.error("the state service calls a commit malformed: %s", body[:200])
                self._stale.extend(key for key in txn.writes if key not in self._stale)
            self._read_stale()

        if context.call_state(
            "POST", wire.COMMIT_PATH, wire.encode(wire.Txn(conditions, list(ops))), then, writes=len(ops)
        ):
            self.commit_pending = True
            context.state_writer_first = False

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
                item: wire.KeyValue = wire.decode(wire.KeyValue, body)
                self.cluster_state.apply(key, item.value, item.version)
            elif status == 404:
                self.cluster_state.apply(key, None, wire.decode(wire.KeyNotFound, body).revision)
            else:
                self._stale.append(key)

        if not self.context.call_state("GET", wire.key_path(key), None, then):
            return False
        self._reading += 1
        return True
