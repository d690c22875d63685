"""Teams at their limits, writes whose answers are lost, and cancellations while work changes hands.

Drawn histories of four meetings of the operators' page. Each is played once more with a guard taken out, and then has
to be found: a condition is taken out where the state service judges it, what else by its method.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

import pytest

from gladecroft.bookkeeping import records as rec
from gladecroft.bookkeeping.job import Job
from gladecroft.coordination.events import RequestKind
from gladecroft.coordination.machines import manager
from gladecroft.coordination.machines.machine import Machine
from gladecroft.coordination.machines.manager import MachineManager
from gladecroft.coordination.membership import Membership
from gladecroft.coordination.state_writer import StateWriter
from gladecroft.coordination.state_writer.exits import ExitTracker
from gladecroft.coordination.users.handler import UserRequestHandler
from gladecroft.coordination.users.lookups import Lookups
from gladecroft.coordination.users.pending import PendingRequest
from gladecroft.lab.scenario import Scenario
from gladecroft.lab.state_service import StateService
from gladecroft.protocol.wire import Command, CommandOp

Json = dict[str, Any]
History = Callable[[int], str]

SEEDS = range(7)


def fleet(drawn: random.Random) -> list[str]:
    """A fleet with room for more than the teams may use, and three teams that have work for more than they may use."""
    lines = [
        f"nodes {drawn.choice([2, 3, 3, 5])}",
        "set machine.consolidate=false machine.idle=3600",
        "team t cpus=20 max=24", "team u cpus=12 max=16", "team v cpus=8 max=20",
        "type g16 cpus=16 memory=64 boot=8", "up g16 count=4", "up g16 zone=b count=4",
    ]  # fmt: skip
    for number in range(9):
        kind = drawn.choice(["kind=service", "run=400", "run=400", "run=60", "run=25", "kind=group run=90"])
        lines.append(
            f"at {drawn.uniform(1, 8):.1f} submit wk-{number} team={'tuv'[number % 3]} tasks={drawn.choice([1, 2, 4])}"
            f" cpus={drawn.choice([2, 4])} memory=2 {kind} image=i{number % 2}"
        )
    for number, team in enumerate("tuv"):
        # The work that waits for the room.
        lines.append(f"at {drawn.uniform(9, 12):.1f} submit wk-9{number} team={team} tasks=9 cpus=4 memory=2 run=20")
    return lines


def answers_lost(seed: int) -> str:
    """Transactions are carried out at once and only their answers are lost, while others read what they wrote."""
    drawn = random.Random(seed)
    lines = fleet(drawn)
    at = drawn.uniform(2, 6)
    for _ in range(2):
        span = drawn.choice([8, 15])
        lines += [
            f"at {at:.1f} late-writes share={drawn.choice([0.2, 0.4, 0.7])} for={span} at_once=yes",
            f"at {at:.1f} close-looks for={span} cancels={drawn.choice([0, 0.5])}",
        ]
        if drawn.random() < 0.8:
            lines.append(f"at {at:.1f} slow-watch by={drawn.choice([0.5, 3, 4.5])} for={span}")
        for _ in range(2):
            lines.append(f"at {max(9.0, at + drawn.uniform(0, span)):.1f} cancel wk-{drawn.randrange(9)}")
        for _ in range(8):
            name = f"wk-{drawn.randrange(100, 10_000)}"
            lines.append(
                f"at {at + drawn.uniform(0, span):.1f} submit {name} team={drawn.choice('tuv')}"
                f" tasks={drawn.choice([1, 3])} cpus=2 memory=1 run={drawn.choice([5, 20])}"
            )
        what = drawn.choice(["crash leader for={}", "crash n1 for={}", "freeze leader for={}", ""])
        if what:
            lines.append(f"at {at + drawn.uniform(0, span):.1f} " + what.format(drawn.choice([0.1, 0.5, 4])))
        at += span + drawn.uniform(1, 12)
    return "\n".join([*lines, f"run {at + 115:.0f}"])


def cancelled_at_the_limit(seed: int) -> str:
    """All teams are at their limits while jobs are cancelled whose machines are cut off or hang, and leaders change."""
    drawn = random.Random(seed)
    lines = fleet(drawn)
    at = drawn.uniform(16, 24)
    for _ in range(2):
        lines.append(f"at {at:.2f} cancel-now count={drawn.choice([1, 2, 4])} hang={drawn.choice([0, 5, 20, 30])}")
        for _ in range(drawn.choice([1, 2])):
            cut = drawn.choice(["cut-machine busiest mode=hold", "cut-machine busiest mode=lose", "deaf count=2",
                                "mute-machine count=2"])  # fmt: skip
            lines.append(f"at {at + drawn.uniform(-1.5, 1.5):.2f} {cut} for={drawn.choice([6, 25, 40])}")
        for _ in range(drawn.choice([1, 2])):
            what = drawn.choice(["crash leader", "island leader", "freeze leader", "down leader"])
            lines.append(f"at {at + drawn.uniform(-1, 9):.2f} {what} for={drawn.choice([0.2, 2, 12])}")
        at += drawn.choice([5, 20, 45])
    return "\n".join([*lines, f"run {at + 145:.0f}"])


def cancelled_in_other_hands(seed: int) -> str:
    """Jobs are cancelled in the seconds in which one controller's work changes hands, and perhaps back."""
    drawn = random.Random(seed)
    lines = [*fleet(drawn), "team w cpus=0 max=0"]
    at = drawn.uniform(12, 20)
    for turn in range(3):
        who = drawn.choice(["leader", "leader", "n1"])
        what = drawn.choice(["crash {} for={}", "freeze {} for={}", "island {} for={}", "down {} for={}",
                             "cut {} workers for={}", "refuse {} for={}"])  # fmt: skip
        lines.append(f"at {at:.2f} " + what.format(who, drawn.choice([0.1, 1, 5, 12, 50])))
        extra = drawn.choice(
            [
                f"slow-watch by={drawn.choice([0.5, 2])} for=10", f"held busiest by={drawn.choice([1, 5])} for=12",
                "cut n1 siblings for=10", "crash n1 for=0.2", "deaf busiest for=12", "",
            ]
        )  # fmt: skip
        if extra:
            lines.append(f"at {at + drawn.uniform(-1, 8):.2f} {extra}")
        # The owner is replaced some 6 s after it was last heard of.
        for _ in range(3):
            lines.append(f"at {at + drawn.choice([drawn.uniform(0, 2), drawn.uniform(4, 10)]):.2f} cancel-now count=1")
        for number in range(4):
            # What is placed just before, on machines whose owner can't start it any more, and called off until the
            # next one does.
            begin = at + drawn.uniform(-0.3, 5)
            lines.append(
                f"at {begin:.2f} submit wk-{turn}{number}7 team=w tasks={drawn.choice([2, 6])} cpus=1 memory=1 run=200"
                f" priority=production"
            )
            lines.append(f"at {max(begin + 0.1, at + drawn.uniform(0.5, 9)):.2f} cancel wk-{turn}{number}7")
        at += drawn.choice([9, 14, 30])
    return "\n".join([*lines, f"run {at + 140:.0f}"])


def not_to_be_asked(seed: int) -> str:
    """A team is at its limit when the leader changes, some of its machines can't be asked, and one cancels."""
    drawn = random.Random(seed)
    lines = fleet(drawn)
    at = drawn.uniform(16, 24)
    spell = drawn.choice([8, 22, 40])
    for _ in range(drawn.choice([1, 2, 3])):
        what = drawn.choice(["cut-machine busiest mode=hold", "cut-machine busiest mode=lose", "deaf count=3",
                             "deaf count=3 direct=yes", "mute-machine count=3", "hang busiest"])  # fmt: skip
        lines.append(f"at {at + drawn.uniform(-4, 4):.2f} {what} for={spell}")
    lines.append(f"at {at:.2f} {drawn.choice(['crash', 'down', 'island'])} leader for={drawn.choice([0.3, 4, 20, 40])}")
    if drawn.random() < 0.5:
        lines.append(f"at {at + drawn.uniform(3, 15):.2f} crash leader for={drawn.choice([0.3, 4])}")
    for _ in range(4):
        lines.append(f"at {at + drawn.uniform(-1, min(spell, 12)):.2f} cancel wk-{drawn.randrange(9)}")
    return "\n".join([*lines, f"run {at + 145:.0f}"])


def watch_starts(monkeypatch: pytest.MonkeyPatch) -> list[str]:
    """Filled with each start that a controller orders though it knows that the job is cancelled."""
    known: list[str] = []
    commands = MachineManager._commands

    def watched(self: MachineManager, machine: Machine) -> list[Command]:
        found = commands(self, machine)
        for command in found:
            job = self.cluster_state.jobs.get(command.task.rpartition("/")[0])
            if command.op is CommandOp.START and job is not None and job.cancelled:
                known.append(f"{self.context.name} has {command.task} started on {machine.id}")
        return found

    monkeypatch.setattr(MachineManager, "_commands", watched)
    return known


def unconditional(monkeypatch: pytest.MonkeyPatch, prefix: str) -> None:
    """The state service no longer looks at the conditions on such keys of transactions that change something."""
    commit = StateService._commit

    def careless(self: StateService, txn: Json, reply: Any) -> None:
        if txn.get("apply"):
            txn["if"] = [condition for condition in txn["if"] if not condition["key"].startswith(prefix)]
        commit(self, txn, reply)

    monkeypatch.setattr(StateService, "_commit", careless)


def careless_claims(monkeypatch: pytest.MonkeyPatch) -> None:
    """A home places though it can't know what it placed before, and nothing that it writes rests on that."""

    def claimed(self: StateWriter, team: str) -> bool:
        record = self.cluster_state.team_records.get(team)
        return record is not None and record.home == self.context.name

    monkeypatch.setattr(StateWriter, "holds_claim", claimed)
    monkeypatch.setattr(StateWriter, "_read_stale", lambda self: self._stale.clear())
    unconditional(monkeypatch, rec.CHUNKS)
    unconditional(monkeypatch, rec.TEAMS)


def careless_acceptance(monkeypatch: pytest.MonkeyPatch) -> None:
    """An acceptance is written over what another controller has written of the job."""
    unconditional(monkeypatch, rec.JOBS)


def careless_answers(monkeypatch: pytest.MonkeyPatch) -> None:
    """What the picture tells is told without asking whether it is so still."""

    def tell(self: UserRequestHandler) -> None:
        confirm, self._to_confirm = self._to_confirm, {}
        for waiting in [waiting for group in confirm.values() for waiting in group if self.pending.is_open(waiting)]:
            if not self._reply_from_cache(waiting):
                self._lookups.look_up(waiting)

    monkeypatch.setattr(UserRequestHandler, "_flush_confirm", tell)


def careless_denials(monkeypatch: pytest.MonkeyPatch) -> None:
    """A job that the picture lacks is called unknown without reading."""
    read = Lookups.look_up

    def deny(self: Lookups, waiting: PendingRequest) -> None:
        if waiting.request.kind is RequestKind.POLL:
            self._found(waiting, False)
        else:
            read(self, waiting)

    monkeypatch.setattr(Lookups, "look_up", deny)


def cancelled_is_over(monkeypatch: pytest.MonkeyPatch) -> None:
    """What is cancelled counts no more, though its tasks may still run."""
    monkeypatch.setattr(Job, "finished", property(lambda self: self.done_count == self.spec.tasks or self.cancelled))


def homes_untold(monkeypatch: pytest.MonkeyPatch) -> None:
    """Owners keep to themselves what has ended."""
    monkeypatch.setattr(ExitTracker, "notify_homes", lambda self: None)
    monkeypatch.setattr(ExitTracker, "compose_mail", lambda self, change, puts: None)


def silence_is_proof(monkeypatch: pytest.MonkeyPatch) -> None:
    """What is silent counts as gone, whoever may have prolonged its lease."""
    monkeypatch.setattr(
        MachineManager, "lease_expiry", lambda self, machine: machine.answered_at or machine.owner_since
    )


def right_without_end(monkeypatch: pytest.MonkeyPatch) -> None:
    """A controller acts for as long as it knows of no epoch without it."""

    def entitled(self: Membership) -> bool:
        epoch = self.cluster_state.epoch
        return self.incarnation is not None and epoch is not None and (
            epoch.members.get(self.context.name) == self.incarnation
        )  # fmt: skip

    monkeypatch.setattr(Membership, "is_active", entitled)


class Uncancelled:
    """A job of which the cancellation is not seen."""

    cancelled = False

    def __init__(self, job: Job) -> None:
        self.spec = job.spec


def cancellation_unseen(monkeypatch: pytest.MonkeyPatch) -> None:
    """Machines are told what the records place there, whether its job is cancelled or not."""
    difference = manager.reconcile

    def blind(machine: Machine, wanted: Any, jobs: dict[str, Job], gone: Any) -> Any:
        seen: Any = {name: Uncancelled(jobs[name]) for name, _ in wanted if name in jobs}
        return difference(machine, wanted, seen, gone)

    monkeypatch.setattr(manager, "reconcile", blind)


def play(history: History, seed: int) -> list[str]:
    return Scenario(history(seed), seed).run().oracle.broken


@pytest.mark.parametrize("seed", SEEDS)
def test_a_write_counts_once_though_its_answer_is_lost(seed: int) -> None:
    assert play(answers_lost, seed) == [], answers_lost(seed)


@pytest.mark.parametrize("seed", SEEDS)
def test_room_of_what_is_cancelled_comes_back_once_it_is_gone(seed: int) -> None:
    assert play(cancelled_at_the_limit, seed) == [], cancelled_at_the_limit(seed)


@pytest.mark.parametrize("seed", SEEDS)
def test_what_is_cancelled_ends_in_whosever_hands(monkeypatch: pytest.MonkeyPatch, seed: int) -> None:
    known = watch_starts(monkeypatch)
    assert play(cancelled_in_other_hands, seed) == [], cancelled_in_other_hands(seed)
    assert known == [], cancelled_in_other_hands(seed)


@pytest.mark.parametrize("seed", SEEDS)
def test_a_limit_holds_though_machines_cannot_be_asked(seed: int) -> None:
    assert play(not_to_be_asked, seed) == [], not_to_be_asked(seed)


@pytest.mark.parametrize(
    ("history", "seed", "guard", "rule"),
    [
        (answers_lost, 2, careless_claims, "ran_twice"),
        (answers_lost, 7, careless_claims, "quota"),
        (answers_lost, 1, careless_acceptance, "went_back"),
        (answers_lost, 0, careless_answers, "went_back"),
        (answers_lost, 0, careless_denials, "forgotten"),
        (cancelled_at_the_limit, 2, cancelled_is_over, "quota"),
        (cancelled_at_the_limit, 0, homes_untold, "left_waiting"),
        (cancelled_in_other_hands, 0, cancellation_unseen, "ran_cancelled"),
        (cancelled_in_other_hands, 5, right_without_end, "ran_twice"),
        (cancelled_in_other_hands, 10, right_without_end, "ran_cancelled"),
        (not_to_be_asked, 1, cancelled_is_over, "quota"),
        (not_to_be_asked, 0, silence_is_proof, "quota"),
    ],
)
def test_without_a_guard_the_histories_find_it(
    monkeypatch: pytest.MonkeyPatch, history: History, seed: int, guard: Callable[[pytest.MonkeyPatch], None], rule: str
) -> None:
    # The order of sets differs from one process to the next, and with it a few histories: if not the seed at which the
    # guard's lack was seen, one of those after it shows it.
    guard(monkeypatch)
    assert any(broken.startswith(rule) for each in range(seed, seed + 15) for broken in play(history, each))


def test_a_start_of_what_is_known_as_cancelled_is_seen(monkeypatch: pytest.MonkeyPatch) -> None:
    known = watch_starts(monkeypatch)
    cancellation_unseen(monkeypatch)
    assert any(play(cancelled_in_other_hands, seed) and known for seed in range(5))
