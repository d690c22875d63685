"""News that meets other troubles: machines that are up at once, copies for a new leader, small jobs without end, mute
machines, and times in which all controllers, or a zone with one of them, are away for longer than a lease."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable
from datetime import timedelta
from pathlib import Path
from typing import Any

import msgspec
import pytest

from gladecroft.bookkeeping import records as rec
from gladecroft.bookkeeping.records import TaskState
from gladecroft.coordination.events import CallResult, IncomingRequest, OutgoingCall, RequestKind
from gladecroft.coordination.machines import manager as keeper_module
from gladecroft.coordination.machines.announcer import MachineAnnouncer
from gladecroft.coordination.machines.machine import Machine, TaskKey
from gladecroft.coordination.machines.manager import MachineManager
from gladecroft.coordination.membership import Membership
from gladecroft.lab.growth import Costs, watch_controller
from gladecroft.lab.scenario import Scenario
from gladecroft.lab.simulation import seconds
from gladecroft.lab.user import User
from gladecroft.protocol import peers, wire
from gladecroft.protocol.wire import Command, CommandOp, Report
from test_epochs import clock_at
from test_fencing import CoreHarness

BASE = 1 << 24  # the tokens of epoch 1 begin here


def played(text: str, seed: int) -> Scenario:
    """Nothing is broken, nothing is left behind, and what was accepted and not cancelled is done."""
    scenario = Scenario(text, seed).run()
    where = f"seed {seed}\n{text}"
    assert scenario.oracle.broken == [], where
    assert scenario.failures == [], where
    for name, user in scenario.users.items():
        if user.accepted and name not in scenario.oracle.cancel_wanted and scenario.jobs[name]["shape"] != "service":
            assert scenario.oracle.told[name] == "done", (name, where)
    return scenario


def found(text: str, seed: int) -> str:
    """What the oracle and the expectations say, in one text."""
    scenario = Scenario(text, seed).run()
    return "\n".join([*scenario.oracle.broken, *scenario.failures])


# New machines are up within two seconds and get work at once while writes lag, and the leader ends ----------------


def quick(seed: int) -> str:
    drawn = random.Random(seed)
    lines = [
        f"nodes {drawn.choice([2, 3, 3, 5])}", "set machine.idle=4", "team t cpus=60 max=300", "team u cpus=0 max=0",
        "type g16 cpus=16 memory=64 boot=8 count=20", "at 0.1 quick-boots for=120",
    ]  # fmt: skip
    begin = 8.0
    for number in range(4):
        at = begin + number * drawn.uniform(8, 14)
        for part in range(drawn.choice([1, 2, 4])):
            kind = drawn.choice(["kind=group run=12", "run=4", "run=15", "run=25 checkpoint=5 save=1"])
            lines.append(
                f"at {at + drawn.uniform(0, 1):.2f} submit wk-{number}{part} team={drawn.choice('tu')}"
                f" tasks={drawn.choice([1, 4, 12])} cpus={drawn.choice([1, 4, 8])} memory=2 {kind}"
            )
        once = drawn.choice(["", " at_once=yes"])
        lines.append(f"at {at:.2f} late-writes share={drawn.choice([0.2, 0.5, 0.8])} for={drawn.choice([3, 8])}{once}")
        if drawn.random() < 0.5:
            lines.append(f"at {at:.2f} slow-state by={drawn.choice([0.2, 0.6, 1.2])} for={drawn.choice([3, 8])}")
        # The list lags by 2 to 6 s: the machines are in none yet. The rental's answer may be lost with the leader.
        lines.append(f"at {at + drawn.uniform(0.3, 4):.2f} crash leader for={drawn.choice([0.1, 0.8, 4])}")
    # Twenty machines a zone may be rented, none of them twice for the same work: it is sixty cores here and there.
    return "\n".join([*lines, "run 190", "expect ghosts is 0", "expect machines <= 6"])


@pytest.mark.parametrize("first", range(0, 12, 4))
def test_machines_up_at_once_get_work_while_writes_lag_and_leaders_end(first: int) -> None:
    for seed in range(first, first + 4):
        played(quick(seed), seed)


QUICK = """
set machine.idle=60
team t cpus=0 max=0
type g16 cpus=16 memory=64 boot=8 count=20
at 9 quick-boots for=60
at 10 submit wk-1 team=t tasks=40 cpus=4 memory=2 run=60
at 10 late-writes share=0.5 for=6
at 12.6 crash leader for=3
run 160
expect wk-1 done by=130
expect rentals <= 12
expect ghosts is 0
"""


def test_new_machines_are_not_rented_again_by_the_next_leader(monkeypatch: pytest.MonkeyPatch) -> None:
    for seed in (1, 2, 3):
        played(QUICK, seed)

    # Known to their owners only, they are asked for once more.
    def first(heralds: MachineAnnouncer, machine: Machine, report: Report) -> None:
        heralds.cluster_state.add_reported_machine(
            machine.id, rec.MachineRecord(report.type, report.zone, report.spot, report.addr)
        )

    monkeypatch.setattr(MachineAnnouncer, "first", first)
    assert "rentals <= 12" in found(QUICK, 1)


# An old report reaches every controller just as a new leader begins -----------------------------------------------


def copies(seed: int) -> str:
    """Copies are kept for the next leader while machines end, hang, reboot and are cut off; leaders end again and
    again, and so do all controllers."""
    drawn = random.Random(seed)
    lines = [
        f"nodes {drawn.choice([2, 3, 3, 5])}", "set machine.consolidate=false", "team t cpus=60 max=100",
        "team u cpus=0 max=0", "type g16 cpus=16 memory=64 boot=8", "up g16 count=3", "up g16 zone=b count=3",
        f"at 1 copies share={drawn.choice([0.4, 0.8])} for=130 next=yes",
        "at 1 submit wk-9 team=u kind=service tasks=6 cpus=1 spread=yes",
    ]  # fmt: skip
    for number in range(6):
        kind = drawn.choice(["kind=group run=20", "run=8", "run=30", "run=30 checkpoint=5 save=1"])
        lines.append(
            f"at {drawn.uniform(1, 80):.1f} submit wk-{number} team={drawn.choice('tu')}"
            f" tasks={drawn.choice([1, 3, 12])} cpus={drawn.choice([1, 4])} memory=2 {kind}"
        )
    at = 12.0
    for _ in range(4):
        for _ in range(2):
            deed = drawn.choice(
                [
                    "cut-machine busiest for={s}", "cut-machine busiest mode=hold for={s}", "deaf busiest for={s}",
                    "hang busiest for={s}", "reboot busiest for=0.3", "reboot busiest for={s}", "die busiest", "",
                ]
            )  # fmt: skip
            if deed:
                lines.append(f"at {at + drawn.uniform(-6, 6):.2f} {deed.format(s=drawn.choice([4, 12, 22, 30]))}")
        who = drawn.choice(["leader", "leader", "leader", "all"])
        lines.append(f"at {at:.2f} crash {who} for={drawn.choice([0.1, 0.8, 4, 9])}")
        at += drawn.uniform(5, 30)
    return "\n".join([*lines, "run 215", "expect wk-9 running is 6", "expect ghosts is 0"])


@pytest.mark.parametrize("first", range(0, 12, 4))
def test_copies_for_a_new_leader_prove_nothing(first: int) -> None:
    for seed in range(first, first + 4):
        played(copies(seed), seed)


def send(rig: CoreHarness, token: int, seq: int) -> int:
    rig.request_id += 1
    rig.token, rig.report_number = token, seq - 1
    (reply,) = rig.step([IncomingRequest(rig.request_id, RequestKind.REPORT, rig.report())])
    return reply.status


def copy(rig: CoreHarness, token: int, seq: int) -> int:
    """A report of the machine, with the task that is placed there; the answer's status."""
    rig.tasks["wk-1/0"] = {"portion": "wk-1/0", "try": 1, "status": "running"}
    return send(rig, token, seq)


def prolonged() -> float:
    """When the task of a dead machine is proven gone, of which copies come every 3 s for ever."""
    rig = CoreHarness()
    rig.place_task(TaskState.ACTIVE)
    for seq in range(5, 65):
        copy(rig, BASE - 1, seq)
        for _ in range(4):
            rig.step([])
        if ("wk-1", 0, 1) in rig.core.state_writer.exits:
            return rig.now_s - 100
    return 1e9


def test_copies_prolong_by_a_lease_at_the_most_and_count_as_no_answer(monkeypatch: pytest.MonkeyPatch) -> None:
    lease = CoreHarness().core.context.machine_lease.total_seconds()
    assert prolonged() < 2 * lease + 10
    monkeypatch.setattr(Machine, "ack_overdue", lambda self, now, lease: False)
    assert prolonged() > 150


def test_a_copy_keeps_no_true_report_out_and_holds_no_proof_up(monkeypatch: pytest.MonkeyPatch) -> None:
    def proven() -> bool:
        rig = CoreHarness()
        rig.place_task(TaskState.ACTIVE)
        machine = rig.core.machine_manager.ensure_machine("m-1")
        # Older than the task's start: the answer, which goes to nobody, would start it.
        rig.tasks.clear()
        assert send(rig, BASE - 1, 5) == 200 and machine.acked_at is None and machine.starting
        assert (
            not rig.core.machine_manager.announcer._untold.get("n1")
            and "m-1" not in rig.core.scheduler.candidate_cache.candidates
        )
        assert not rig.core.membership._move_requests and not rig.core.state_writer.exits
        rig.place_task(TaskState.STOPPING)
        assert send(rig, BASE, 9) == 200 and machine.acked_at is not None
        return ("wk-1", 0, 1) in rig.core.state_writer.exits

    assert proven()
    # A copy whose answer starts something would keep all later reports from proving anything, if it were not cleared.
    take = MachineManager._take

    def holding(machine_manager: MachineManager, machine: Machine, report: Report, answer: bool = False) -> bool:
        return take(machine_manager, machine, report, True)

    monkeypatch.setattr(MachineManager, "_take", holding)
    assert not proven()


def test_a_copy_after_the_true_report_changes_nothing(monkeypatch: pytest.MonkeyPatch) -> None:
    def changed() -> set[str]:
        rig = CoreHarness()
        rig.place_task(TaskState.ACTIVE)
        assert copy(rig, BASE, 9) == 200
        machine = rig.core.machine_manager.ensure_machine("m-1")
        rig.step([])
        before = msgspec.structs.asdict(machine)
        status = copy(rig, BASE - 1, 8)
        after = msgspec.structs.asdict(machine)
        return {name for name in before if before[name] != after[name]} | ({"answered"} if status == 200 else set())

    assert changed() == set()
    take = MachineManager._take

    def forgetful(machine_manager: MachineManager, machine: Machine, report: Report, answer: bool = False) -> bool:
        machine.report = None
        return take(machine_manager, machine, report, answer)

    monkeypatch.setattr(MachineManager, "_take", forgetful)
    assert {"answered", "answered_at", "heard_at"} <= changed()


def test_copies_of_a_dead_machines_reports_cost_no_epoch() -> None:
    """Two copies, 4 s apart, of a machine that its owner does not hear: it is asked itself whether it hears, and does
    not answer. The second looks like one that was sent to its owner in vain."""
    rig = CoreHarness()
    rig.put_record(rec.EPOCH, rec.EpochRecord(2, "n1", {"n0": 7, "n1": 8}, {"m-1": "n1"}))
    for _ in range(30):
        rig.step([])

    def step(events: list[Any]) -> None:
        rig.now_s += 0.1
        for effect in rig.core.step(clock_at(rig.now_s), events):
            if isinstance(effect, OutgoingCall) and effect.path == peers.REPORTING_MACHINES_PATH:
                step([CallResult(effect.call_id, 200, wire.encode(peers.ReportingMachines([])))])

    for seq in (5, 6):
        rig.request_id, rig.token, rig.report_number = seq, BASE - 1, seq
        step([IncomingRequest(seq, RequestKind.REPORT, rig.report())])
        for _ in range(40):
            step([])
        assert rig.core.membership._move_requests == {}, seq


# Workers reach no controller while direct commands reach them -----------------------------------------------------


def mute(seed: int) -> str:
    drawn = random.Random(seed)
    lines = [
        f"nodes {drawn.choice([2, 3, 3, 5])}", f"set machine.consolidate={drawn.choice(['true', 'false'])}",
        f"team t cpus=60 max={drawn.choice([70, 100])}", "team u cpus=0 max=0",
        "type g16 cpus=16 memory=64 boot=8", "up g16 count=3", "up g16 zone=b count=3",
        "at 1 submit wk-9 team=u kind=service tasks=6 cpus=1 spread=yes",
    ]  # fmt: skip
    jobs = [f"wk-{number}" for number in range(7)]
    for name in jobs:
        kind = drawn.choice(["kind=service", "kind=group run=20", "run=3", "run=30", "run=30 checkpoint=5 save=1"])
        lines.append(
            f"at {drawn.uniform(1, 60):.1f} submit {name} team={drawn.choice('tu')}"
            f" tasks={drawn.choice([1, 3, 12])} cpus={drawn.choice([1, 2, 4])} memory=2 {kind}"
        )
    for _ in range(3):
        at = drawn.uniform(12, 60)
        lines.append(f"at {at:.1f} mute-machine count={drawn.choice([1, 2, 6])} for={drawn.choice([10, 25, 45])}")
        lines.append(f"at {max(61.0, at + drawn.uniform(0, 10)):.1f} cancel {drawn.choice(jobs)}")
        deed = drawn.choice(
            ["crash leader for={q}", "cloud-outage for=60", "crash all for={q}", "refuse leader for=9", ""]
        )
        if deed:
            lines.append(f"at {at + drawn.uniform(0, 20):.1f} {deed.format(q=drawn.choice([0.1, 1, 8]))}")
    return "\n".join([*lines, "run 215", "expect wk-9 running is 6", "expect ghosts is 0"])


@pytest.mark.parametrize("first", range(0, 12, 4))
def test_mute_machines_break_nothing(first: int) -> None:
    for seed in range(first, first + 4):
        played(mute(seed), seed)


#: Work comes all the time, so that direct commands keep the machines known as heard until their leases end.
MUTE = "\n".join(
    [
        "set machine.consolidate=false machine.idle=3600", "team t cpus=0 max=0",
        "type g16 cpus=16 memory=64 boot=8 count=20", "up g16 count=2", "at 20 mute-machine count=2 for=60",
        *(f"at {19 + n * 0.25:.2f} submit wk-{n} team=t cpus=0.05 memory=0.1 run=50" for n in range(96)),
        "run 220",
    ]
)  # fmt: skip


def test_nothing_is_started_in_a_mute_machines_new_session(monkeypatch: pytest.MonkeyPatch) -> None:
    played(MUTE, 2)
    direct = MachineManager._direct

    def in_any_session(machine_manager: MachineManager, machine: Machine) -> None:
        if machine.report is not None:
            machine.answered_session = machine.report.session
        direct(machine_manager, machine)

    monkeypatch.setattr(MachineManager, "_direct", in_any_session)
    assert "ran_twice" in found(MUTE, 2)


@pytest.mark.parametrize("draw,seed", [(quick, 0), (copies, 1), (mute, 1)], ids=["quick", "copies", "mute"])
def test_without_waiting_for_the_lease_the_drawn_histories_find_it(
    draw: Callable[[int], str], seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    def soon(machine_manager: MachineManager, machine: Machine) -> timedelta:
        return (machine.answered_at or machine.owner_since) + timedelta(seconds=1)

    monkeypatch.setattr(MachineManager, "lease_expiry", soon)
    assert "ran_twice" in found(draw(seed), seed)


# Small jobs without end -------------------------------------------------------------------------------------------

#: Four one-task jobs a second; a quarter of them is cancelled, waiting or running.
SMALL = """
set machine.idle=3600
team t cpus=0 max=0
team u cpus=40 max=300
type g16 cpus=16 memory=64 boot=10 count=30
up g16 count=3
up g16 zone=b count=3
state rps=200 write_rps=50 txn_ops=24
"""
EVERY_S, FROM_S, UNTIL_S = 0.25, 5.0, 125.0
#: Changes in the state service for one job from acceptance to final record: its record, its place, its final record in
#: place of the other, and its chunk dropped; one more for a cancellation.
CHANGES_A_JOB = 5.3
TOLD_S, BEGINS_S = 0.5, 4.0


def small(seed: int) -> str:
    drawn = random.Random(seed)
    lines = [SMALL]
    number = 0
    at = FROM_S
    while at < UNTIL_S:
        name = f"wk-{number}"
        run = drawn.choice([2, 4, 8])
        lines.append(f"at {at:.2f} submit {name} team={drawn.choice('tu')} cpus=1 memory=2 run={run}")
        if number % 4 == 0:
            lines.append(f"at {at + drawn.uniform(0.05, run + 1):.2f} cancel {name}")
        number, at = number + 1, at + EVERY_S
    return "\n".join(lines)


def test_small_jobs_without_end_cost_few_changes_and_no_more_as_finished_ones_grow(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Who has been told the end asks no more: else the questions, not the jobs, grow with all that is finished.
    poll, cancel = User.poll, User.cancel
    monkeypatch.setattr(User, "poll", lambda user: None if user.id in user.oracle.final else poll(user))
    asked_at: dict[str, float] = {}

    def cancelling(user: User) -> None:
        asked_at.setdefault(user.id, user.world.elapsed())
        cancel(user)

    monkeypatch.setattr(User, "cancel", cancelling)
    scenario = Scenario(small(1), 1).run()
    changes: Counter[str] = Counter()
    commit = scenario.state._commit

    def counted(txn: Any, reply: Any) -> None:
        def then(status: int, body: bytes) -> None:
            for op in txn.get("apply") or [] if status == 200 else []:
                key = op.get("write") or op["drop"]
                changes[key[:4] + ("" if "write" in op else " dropped")] += 1
            reply(status, body)

        commit(txn, then)

    scenario.state._commit = counted  # type: ignore[method-assign]
    costs = Costs()
    scenario.world.run_until(seconds(3))
    for controller in scenario.controllers:
        watch_controller(controller, costs)
    steps: list[int] = []
    for begin in (25.0, 95.0):
        scenario.world.run_until(seconds(begin))
        costs.on, before = True, sum(costs.steps.values())
        scenario.world.run_until(seconds(begin + 20))
        costs.on = False
        steps.append(sum(costs.steps.values()) - before)
    scenario.world.run_until(seconds(UNTIL_S + 30))
    oracle = scenario.oracle
    assert oracle.broken == []
    jobs = len(scenario.users)
    assert jobs == 480 and len(asked_at) == 120
    of_jobs = {key: count for key, count in changes.items() if key.startswith(("g/j/", "g/p/", "g/f/"))}
    assert sum(of_jobs.values()) <= CHANGES_A_JOB * jobs, of_jobs
    # Everything is told its end: a cancellation at once, and what goes on starts at once, the first as the last.
    waits: list[float] = []
    told: list[float] = []
    for name in scenario.users:
        started = [start[0] for start in oracle.starts if start[1][0] == name]
        if name in oracle.cancelled_at:
            told.append(oracle.cancelled_at[name] - asked_at[name])
            assert len(started) <= 1, name
        else:
            assert oracle.told[name] == "done" and len(started) == 1, name
            waits.append(started[0] - oracle.accepted[name])
    assert len(told) > 80
    assert max(told) < TOLD_S and max(waits) < BEGINS_S, (max(told), max(waits))
    assert steps[1] <= 1.05 * steps[0], steps
    # Four jobs a second take less than half of 50 changes a second; nothing is refused.
    assert scenario.state.refusals == 0


# All controllers, or a zone with one of them, are away for longer than a lease ------------------------------------

HERE = Path(__file__).parent / "scenarios"


def test_without_the_right_to_act_a_cut_zone_runs_twice(monkeypatch: pytest.MonkeyPatch) -> None:
    # Unguarded; the scenarios themselves are played by test_scenarios.
    monkeypatch.setattr(Membership, "_has_authority", Membership.caught_up)
    assert "ran_twice" in found((HERE / "zone_cut.txt").read_text(encoding="utf-8"), 1)


def test_what_ended_while_all_were_away_is_started_anew_by_its_absence(monkeypatch: pytest.MonkeyPatch) -> None:
    told = keeper_module.reconcile

    def only_in_the_first(machine: Machine, *args: Any) -> tuple[list[Command], list[TaskKey]]:
        commands, absent = told(machine, *args)
        first = machine.report is None or machine.report.session == 1
        return [command for command in commands if first or command.op is not CommandOp.START], absent

    monkeypatch.setattr(keeper_module, "reconcile", only_in_the_first)
    assert "left_waiting" in found((HERE / "all_away.txt").read_text(encoding="utf-8"), 1)
