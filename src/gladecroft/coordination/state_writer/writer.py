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
from gladecroft.bookkeeping.transaction import Change
from gladecroft.coordination.context import Node
from gladecroft.coordination.membership import Membership
from gladecroft.coordination.state_writer.completion import Closing
from gladecroft.coordination.state_writer.exits import Ends
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


class PolicyPut(msgspec.Struct, eq=False):
    """A policy's record as it is to be (None: not at all); ``done`` is called once it is committed."""

    value: bytes | None
    since: timedelta
    done: Callable[[], None]


class Ledger:
    def __init__(self, node: Node, membership: Membership) -> None:
        self.node = node
        self.picture = node.picture
        self.membership = membership
        self.ends = Ends(node, membership)
        self.exits = self.ends.exits
        self.exit = self.ends.exit
        self.closing = Closing(node, membership, self.ends)
        self.machine_puts: dict[str, rec.MachineRecord | None] = {}
        #: What policies' records are to be: last in line for the changes, unless they have waited for long.
        self.policy_puts: dict[str, PolicyPut] = {}
        #: Teams for which a placement is under way of which nobody knows whether it was executed.
        self.unsure: set[str] = set()
        #: Composers add what they want to a change; they run after exits, in order.
        self.composers: list[Callable[[Change], None]] = []
        #: How many jobs waited in the last round of placing.
        self.waiting = 0
        self.busy = False
        self._stale: deque[str] = deque()
        self._reading = 0
        self._flushed_at = timedelta(days=-1)
        self._seen: tuple[int, int, int] = (-1, 0, 0)
        self._weighed_at = timedelta(days=-1)
        self._was_full = False

    def epoch_changed(self, continuous: bool) -> None:
        """What was noted under the old epoch is dropped: proofs that may not hold, and machines to be written about."""
        self.ends.epoch_changed(continuous)
        self.picture.stale.update(self.machine_puts)
        self.machine_puts.clear()

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

    # Transactions -------------------------------------------------------------------------------------------

    def flush(self) -> None:
        node = self.node
        self._read_stale()
        if self.busy or self._reading or self._stale or not self.membership.entitled() or node.state_down():
            return
        self._weigh()
        seen = (self.picture.changes, len(self.exits), len(self.machine_puts))
        if node.now - self._flushed_at < (self._pause() if seen != self._seen else FLUSH_IDLE):
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
        ends = self.ends.by_chunk()
        self.closing.exits(change, ends, change.max_ops // 2 if urgent else 0)
        # Machines come in hundreds after a burst of renting; work that can already run is not to wait for them all.
        self._compose_machines(change, change.max_ops // 2 if self.picture.queued else 0)
        self.closing.finals(change)
        self.ends.compose_mail(change, self.machine_puts)
        self._compose_policies(change, POLICY_PATIENCE, 1)
        for composer in self.composers:
            composer(change)
        self.closing.done(change, ends)
        self._was_full = not change.room(1, 0)
        self.closing.orphans(change)
        self._compose_policies(change, timedelta(), len(self.policy_puts))
        if change.finish():
            self._commit(change)

    def _pause(self) -> timedelta:
        """How long after one transaction the next is begun if there is news."""
        if self._was_full:
            return FLUSH_EVERY  # there is more to write than one holds
        return min(FLUSH_IDLE, FLUSH_EVERY + max(0, self.waiting - FEW_JOBS) * PAUSE_PER_JOB)

    def _weigh(self) -> None:
        """Tell the budget, now and then, how much of all unfinished work has its home here."""
        if self.node.now - self._weighed_at < WEIGH_EVERY or not self.picture.jobs:
            return
        self._weighed_at = self.node.now
        mine = total = 0
        # What waits or will end soon is written about; a service that runs is not.
        for team, waits in self.picture.waiting.teams.items():
            total += waits.weight
            mine += waits.weight * (self.membership.home(team) == self.node.name)
        if total:
            self.node.weigh(mine / total)

    def _urgent(self) -> bool:
        """Whether work of the highest priority waits here."""
        me = self.node.name
        return any(
            waits.urgent and self.membership.home(team) == me for team, waits in self.picture.waiting.teams.items()
        )

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
        for team, waits in self.picture.waiting.teams.items():
            if not waits.jobs or self.membership.home(team) != self.node.name:
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

    # The lane -----------------------------------------------------------------------------------------------

    def _compose_policies(self, change: Change, age: timedelta, most: int) -> None:
        """Work policies' records in that have waited for at least so long. In an overload transactions are always full:
        one record a transaction then goes before placing, never before what keeps running work safe."""
        for key, put in self.policy_puts.items():
            if most <= 0 or not change.room(1, 0):
                return
            if key not in change.puts and self.node.now - put.since >= age:
                change.require(key)
                change.puts[key] = put.value
                most -= 1

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
                    put = self.policy_puts.get(key)
                    if put is not None and put.value == value:
                        del self.policy_puts[key]
                        put.done()
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
