"""Tests machine reports combined with other failures.

Covers machines that boot fast, stale reports to a new leader, machines whose reports are lost, a continuous stream of
small jobs, and outages of all controllers or of a zone that last longer than a machine's lease.

``tests/scenarios/README`` describes the scenario commands. Those that are not self-explanatory:

- ``nodes``: number of controllers; ``refuse``: the state service does not serve a controller
- ``late-writes``: transactions are delayed, or, with ``at_once=yes``, executed while their responses are lost
- ``quick-boots``: new machines boot within 2 s
- ``copies``: reports are duplicated; with ``next=yes``, all controllers receive the duplicates when the leader changes
- ``cut-machine``: a machine is partitioned; ``deaf``: replies and commands to it are lost; ``mute-machine``: its
  reports are lost; ``hang``: it is suspended; ``die``: it fails permanently
- ``expect ghosts``: number of placements on machines that no longer exist
"""

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
from gladecroft.coordination.machines import command_sender
from gladecroft.coordination.machines.announcer import MachineAnnouncer
from gladecroft.coordination.machines.command_sender import CommandSender
from gladecroft.coordination.machines.machine import Machine, TaskKey
from gladecroft.coordination.machines.manager import MachineManager
from gladecroft.coordination.membership import Membership
from gladecroft.lab.growth import CostCounters, instrument_controller
from gladecroft.lab.scenario import Scenario
from gladecroft.lab.simulation import seconds
from gladecroft.lab.user import SimulatedUser
from gladecroft.protocol import peers, wire
from gladecroft.protocol.wire import Command, CommandOp, Report
from test_epochs import clock_at
from test_fencing import CoreHarness

BASE_TOKEN = 1 << 24  # the tokens of epoch 1 begin here


def run_scenario(text: str, seed: int) -> Scenario:
    """Runs a scenario; no check may fail, and accepted jobs must be done unless they are cancelled or services."""
    scenario = Scenario(text, seed).run()
    details = f"seed {seed}\n{text}"
    assert scenario.oracle.violations == [], details
    assert scenario.unmet_expectations == [], details
    for job_id, user in scenario.users.items():
        if (
            user.accepted
            and job_id not in scenario.oracle.cancel_requested
            and scenario.jobs[job_id]["shape"] != "service"
        ):
            assert scenario.oracle.reported_state[job_id] == "done", (job_id, details)
    return scenario


def failed_checks(text: str, seed: int) -> str:
    """Runs a scenario; returns the violated rules and unmet expectations in one text."""
    scenario = Scenario(text, seed).run()
    return "\n".join([*scenario.oracle.violations, *scenario.unmet_expectations])


# Machines that boot within 2 s get tasks while writes are delayed and the leader crashes ---------------------------


def fast_boots_scenario(seed: int) -> str:
    """Returns a scenario in which machines boot fast while writes are delayed and the leader crashes."""
    rng = random.Random(seed)
    lines = [
        f"nodes {rng.choice([2, 3, 3, 5])}", "set machine.idle=4", "team t cpus=60 max=300", "team u cpus=0 max=0",
        "type g16 cpus=16 memory=64 boot=8 count=20", "at 0.1 quick-boots for=120",
    ]  # fmt: skip
    begin = 8.0
    for number in range(4):
        at = begin + number * rng.uniform(8, 14)
        for index in range(rng.choice([1, 2, 4])):
            kind = rng.choice(["kind=group run=12", "run=4", "run=15", "run=25 checkpoint=5 save=1"])
            lines.append(
                f"at {at + rng.uniform(0, 1):.2f} submit wk-{number}{index} team={rng.choice('tu')}"
                f" tasks={rng.choice([1, 4, 12])} cpus={rng.choice([1, 4, 8])} memory=2 {kind}"
            )
        once = rng.choice(["", " at_once=yes"])
        lines.append(f"at {at:.2f} late-writes share={rng.choice([0.2, 0.5, 0.8])} for={rng.choice([3, 8])}{once}")
        if rng.random() < 0.5:
            lines.append(f"at {at:.2f} slow-state by={rng.choice([0.2, 0.6, 1.2])} for={rng.choice([3, 8])}")
        # The cloud's list of machines lags by 2 to 6 s and does not contain the new machines yet. The response to the
        # rental may be lost with the leader.
        lines.append(f"at {at + rng.uniform(0.3, 4):.2f} crash leader for={rng.choice([0.1, 0.8, 4])}")
    # Up to 20 machines per zone can be rented, but no machine may be rented twice for the same jobs, which need about
    # 60 cores.
    return "\n".join([*lines, "run 190", "expect ghosts is 0", "expect machines <= 6"])


@pytest.mark.parametrize("first", range(0, 12, 4))
def test_fast_booting_machines_get_work_while_writes_lag_and_leaders_crash(first: int) -> None:
    for seed in range(first, first + 4):
        run_scenario(fast_boots_scenario(seed), seed)


FAST_BOOTS = """
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
        run_scenario(FAST_BOOTS, seed)

    # If only the owners know of new machines, the next leader rents machines for the same jobs again.
    def record_locally(announcer: MachineAnnouncer, machine: Machine, report: Report) -> None:
        announcer.cluster_state.add_reported_machine(
            machine.id, rec.MachineRecord(report.type, report.zone, report.spot, report.addr)
        )

    monkeypatch.setattr(MachineAnnouncer, "announce", record_locally)
    assert "rentals <= 12" in failed_checks(FAST_BOOTS, 1)


# Stale reports reach every controller when a new leader starts ----------------------------------------------------


def stale_reports_scenario(seed: int) -> str:
    """Returns a scenario in which all controllers receive old reports again when the leader changes, and machines fail.

    Machines die, hang, reboot and are partitioned. Leaders, or all controllers together, crash repeatedly.
    """
    rng = random.Random(seed)
    lines = [
        f"nodes {rng.choice([2, 3, 3, 5])}", "set machine.consolidate=false", "team t cpus=60 max=100",
        "team u cpus=0 max=0", "type g16 cpus=16 memory=64 boot=8", "up g16 count=3", "up g16 zone=b count=3",
        f"at 1 copies share={rng.choice([0.4, 0.8])} for=130 next=yes",
        "at 1 submit wk-9 team=u kind=service tasks=6 cpus=1 spread=yes",
    ]  # fmt: skip
    for number in range(6):
        kind = rng.choice(["kind=group run=20", "run=8", "run=30", "run=30 checkpoint=5 save=1"])
        lines.append(
            f"at {rng.uniform(1, 80):.1f} submit wk-{number} team={rng.choice('tu')}"
            f" tasks={rng.choice([1, 3, 12])} cpus={rng.choice([1, 4])} memory=2 {kind}"
        )
    at = 12.0
    for _ in range(4):
        for _ in range(2):
            fault = rng.choice(
                [
                    "cut-machine busiest for={s}", "cut-machine busiest mode=hold for={s}", "deaf busiest for={s}",
                    "hang busiest for={s}", "reboot busiest for=0.3", "reboot busiest for={s}", "die busiest", "",
                ]
            )  # fmt: skip
            if fault:
                lines.append(f"at {at + rng.uniform(-6, 6):.2f} {fault.format(s=rng.choice([4, 12, 22, 30]))}")
        controller = rng.choice(["leader", "leader", "leader", "all"])
        lines.append(f"at {at:.2f} crash {controller} for={rng.choice([0.1, 0.8, 4, 9])}")
        at += rng.uniform(5, 30)
    return "\n".join([*lines, "run 215", "expect wk-9 running is 6", "expect ghosts is 0"])


@pytest.mark.parametrize("first", range(0, 12, 4))
def test_stale_reports_to_a_new_leader_prove_nothing(first: int) -> None:
    for seed in range(first, first + 4):
        run_scenario(stale_reports_scenario(seed), seed)


def send_report(harness: CoreHarness, token: int, seq: int) -> int:
    """Sends a report of the machine; returns the status of the reply."""
    harness.request_id += 1
    harness.token, harness.report_number = token, seq - 1
    (reply,) = harness.step([IncomingRequest(harness.request_id, RequestKind.REPORT, harness.report())])
    return reply.status


def send_task_report(harness: CoreHarness, token: int, seq: int) -> int:
    """Sends a report that lists the placed task as running; returns the status of the reply."""
    harness.tasks["wk-1/0"] = {"portion": "wk-1/0", "try": 1, "status": "running"}
    return send_report(harness, token, seq)


def exit_time_with_stale_reports_s() -> float:
    """Returns when the task of a dead machine is confirmed ended if a stale report arrives every 3 s."""
    harness = CoreHarness()
    harness.place_task(TaskState.ACTIVE)
    for seq in range(5, 65):
        send_task_report(harness, BASE_TOKEN - 1, seq)
        for _ in range(4):
            harness.step([])
        if ("wk-1", 0, 1) in harness.core.state_writer.exits:
            return harness.now_s - 100
    return 1e9


def test_stale_reports_delay_an_exit_by_at_most_one_lease(monkeypatch: pytest.MonkeyPatch) -> None:
    lease = CoreHarness().core.context.machine_lease.total_seconds()
    assert exit_time_with_stale_reports_s() < 2 * lease + 10
    monkeypatch.setattr(Machine, "ack_overdue", lambda self, now, lease: False)
    assert exit_time_with_stale_reports_s() > 150


def test_stale_report_does_not_block_later_reports(monkeypatch: pytest.MonkeyPatch) -> None:
    def confirmed() -> bool:
        harness = CoreHarness()
        harness.place_task(TaskState.ACTIVE)
        machine = harness.core.machine_manager.ensure_machine("m-1")
        # The stale report is older than the start of the task. The reply to it contains a START but is not received.
        harness.tasks.clear()
        assert send_report(harness, BASE_TOKEN - 1, 5) == 200 and machine.acked_at is None and machine.start_pending
        assert (
            not harness.core.machine_manager.announcer._unacknowledged.get("n1")
            and "m-1" not in harness.core.scheduler.candidate_cache.candidates
        )
        assert not harness.core.membership._move_requests and not harness.core.state_writer.exits
        harness.place_task(TaskState.STOPPING)
        assert send_report(harness, BASE_TOKEN, 9) == 200 and machine.acked_at is not None
        return ("wk-1", 0, 1) in harness.core.state_writer.exits

    assert confirmed()
    # If the pending start were not cleared, no later report would be trusted.
    accept_report = MachineManager._accept_report

    def keep_start_pending(
        machine_manager: MachineManager, machine: Machine, report: Report, is_response: bool = False
    ) -> bool:
        return accept_report(machine_manager, machine, report, True)

    monkeypatch.setattr(MachineManager, "_accept_report", keep_start_pending)
    assert not confirmed()


def test_stale_report_after_the_newest_report_changes_nothing(monkeypatch: pytest.MonkeyPatch) -> None:
    def changed_fields() -> set[str]:
        harness = CoreHarness()
        harness.place_task(TaskState.ACTIVE)
        assert send_task_report(harness, BASE_TOKEN, 9) == 200
        machine = harness.core.machine_manager.ensure_machine("m-1")
        harness.step([])
        before = msgspec.structs.asdict(machine)
        status = send_task_report(harness, BASE_TOKEN - 1, 8)
        after = msgspec.structs.asdict(machine)
        return {name for name in before if before[name] != after[name]} | ({"answered"} if status == 200 else set())

    assert changed_fields() == set()
    accept_report = MachineManager._accept_report

    def accept_any(
        machine_manager: MachineManager, machine: Machine, report: Report, is_response: bool = False
    ) -> bool:
        machine.report = None
        return accept_report(machine_manager, machine, report, is_response)

    monkeypatch.setattr(MachineManager, "_accept_report", accept_any)
    assert {"answered", "last_reply_at", "last_report_at"} <= changed_fields()


def test_stale_reports_of_a_dead_machine_cost_no_epoch() -> None:
    """Two stale reports, 4 s apart, arrive from a machine whose reports its owner does not receive.

    The second looks as if the machine had reported to its owner in between and got no reply. The machine is probed,
    does not respond, and therefore is not moved.
    """
    harness = CoreHarness()
    harness.put_record(rec.EPOCH, rec.EpochRecord(2, "n1", {"n0": 7, "n1": 8}, {"m-1": "n1"}))
    for _ in range(30):
        harness.step([])

    def step(events: list[Any]) -> None:
        harness.now_s += 0.1
        for effect in harness.core.step(clock_at(harness.now_s), events):
            if isinstance(effect, OutgoingCall) and effect.path == peers.REPORTING_QUERY_PATH:
                step([CallResult(effect.call_id, 200, wire.encode(peers.ReportingQuery([])))])

    for seq in (5, 6):
        harness.request_id, harness.token, harness.report_number = seq, BASE_TOKEN - 1, seq
        step([IncomingRequest(seq, RequestKind.REPORT, harness.report())])
        for _ in range(40):
            step([])
        assert harness.core.membership._move_requests == {}, seq


# Machines that reach no controller but receive direct commands ----------------------------------------------------


def lost_reports_scenario(seed: int) -> str:
    """Returns a scenario in which reports of machines are lost, controllers crash and the cloud is unavailable."""
    rng = random.Random(seed)
    lines = [
        f"nodes {rng.choice([2, 3, 3, 5])}", f"set machine.consolidate={rng.choice(['true', 'false'])}",
        f"team t cpus=60 max={rng.choice([70, 100])}", "team u cpus=0 max=0",
        "type g16 cpus=16 memory=64 boot=8", "up g16 count=3", "up g16 zone=b count=3",
        "at 1 submit wk-9 team=u kind=service tasks=6 cpus=1 spread=yes",
    ]  # fmt: skip
    job_ids = [f"wk-{number}" for number in range(7)]
    for job_id in job_ids:
        kind = rng.choice(["kind=service", "kind=group run=20", "run=3", "run=30", "run=30 checkpoint=5 save=1"])
        lines.append(
            f"at {rng.uniform(1, 60):.1f} submit {job_id} team={rng.choice('tu')}"
            f" tasks={rng.choice([1, 3, 12])} cpus={rng.choice([1, 2, 4])} memory=2 {kind}"
        )
    for _ in range(3):
        at = rng.uniform(12, 60)
        lines.append(f"at {at:.1f} mute-machine count={rng.choice([1, 2, 6])} for={rng.choice([10, 25, 45])}")
        lines.append(f"at {max(61.0, at + rng.uniform(0, 10)):.1f} cancel {rng.choice(job_ids)}")
        fault = rng.choice(
            ["crash leader for={q}", "cloud-outage for=60", "crash all for={q}", "refuse leader for=9", ""]
        )
        if fault:
            lines.append(f"at {at + rng.uniform(0, 20):.1f} {fault.format(q=rng.choice([0.1, 1, 8]))}")
    return "\n".join([*lines, "run 215", "expect wk-9 running is 6", "expect ghosts is 0"])


@pytest.mark.parametrize("first", range(0, 12, 4))
def test_machines_with_lost_reports_break_no_rule(first: int) -> None:
    for seed in range(first, first + 4):
        run_scenario(lost_reports_scenario(seed), seed)


#: Jobs arrive steadily, so that the responses to direct commands keep the machines from being considered silent until
#: their leases end.
LOST_REPORTS = "\n".join(
    [
        "set machine.consolidate=false machine.idle=3600", "team t cpus=0 max=0",
        "type g16 cpus=16 memory=64 boot=8 count=20", "up g16 count=2", "at 20 mute-machine count=2 for=60",
        *(f"at {19 + n * 0.25:.2f} submit wk-{n} team=t cpus=0.05 memory=0.1 run=50" for n in range(96)),
        "run 220",
    ]
)  # fmt: skip


def test_no_direct_start_in_a_new_session_of_a_machine_whose_reports_are_lost(monkeypatch: pytest.MonkeyPatch) -> None:
    run_scenario(LOST_REPORTS, 2)
    push = CommandSender.push

    def in_any_session(sender: CommandSender, machine: Machine) -> None:
        if machine.report is not None:
            machine.last_reply_session = machine.report.session
        push(sender, machine)

    monkeypatch.setattr(CommandSender, "push", in_any_session)
    assert "ran_twice" in failed_checks(LOST_REPORTS, 2)


@pytest.mark.parametrize(
    "build_scenario,seed",
    [(fast_boots_scenario, 0), (stale_reports_scenario, 1), (lost_reports_scenario, 1)],
    ids=["quick", "copies", "mute"],
)
def test_scenarios_detect_exits_confirmed_before_the_lease_ends(
    build_scenario: Callable[[int], str], seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    def early_expiry(machine_manager: MachineManager, machine: Machine) -> timedelta:
        return (machine.last_reply_at or machine.owner_since) + timedelta(seconds=1)

    monkeypatch.setattr(MachineManager, "lease_expiry", early_expiry)
    assert "ran_twice" in failed_checks(build_scenario(seed), seed)


# A continuous stream of small jobs --------------------------------------------------------------------------------

#: A cluster for a stream of four jobs per second with one task each, for a quarter of which users request a
#: cancellation.
SMALL_JOBS_SETUP = """
set machine.idle=3600
team t cpus=0 max=0
team u cpus=40 max=300
type g16 cpus=16 memory=64 boot=10 count=30
up g16 count=3
up g16 zone=b count=3
state rps=200 write_rps=50 txn_ops=24
"""
SUBMIT_INTERVAL_S, SUBMIT_FROM_S, SUBMIT_UNTIL_S = 0.25, 5.0, 125.0
#: Writes per job: its record, its placement, its final record, the deletes of its record and chunk; one more for a
#: cancellation.
MAX_WRITES_PER_JOB = 5.3
MAX_CANCEL_DELAY_S, MAX_START_DELAY_S = 0.5, 4.0


def small_jobs_scenario(seed: int) -> str:
    """Returns a scenario in which small jobs arrive at a constant rate and users cancel every fourth, some too late."""
    rng = random.Random(seed)
    lines = [SMALL_JOBS_SETUP]
    number = 0
    submit_at = SUBMIT_FROM_S
    while submit_at < SUBMIT_UNTIL_S:
        job_id = f"wk-{number}"
        run_s = rng.choice([2, 4, 8])
        lines.append(f"at {submit_at:.2f} submit {job_id} team={rng.choice('tu')} cpus=1 memory=2 run={run_s}")
        if number % 4 == 0:
            lines.append(f"at {submit_at + rng.uniform(0.05, run_s + 1):.2f} cancel {job_id}")
        number, submit_at = number + 1, submit_at + SUBMIT_INTERVAL_S
    return "\n".join(lines)


def test_cost_of_small_jobs_does_not_grow_with_finished_jobs(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Users stop polling after the final state; otherwise the polls would increase with the number of finished jobs.
    poll, cancel = SimulatedUser.poll, SimulatedUser.cancel
    monkeypatch.setattr(SimulatedUser, "poll", lambda user: None if user.id in user.oracle.final_state else poll(user))
    cancel_requested_at: dict[str, float] = {}

    def record_cancel(user: SimulatedUser) -> None:
        cancel_requested_at.setdefault(user.id, user.sim.elapsed())
        cancel(user)

    monkeypatch.setattr(SimulatedUser, "cancel", record_cancel)
    scenario = Scenario(small_jobs_scenario(1), 1).run()
    writes: Counter[str] = Counter()
    commit = scenario.state._commit

    def count_writes(txn: Any, reply: Any) -> None:
        def count_and_reply(status: int, body: bytes) -> None:
            for op in txn.get("apply") or [] if status == 200 else []:
                key = op.get("write") or op["drop"]
                writes[key[:4] + ("" if "write" in op else " dropped")] += 1
            reply(status, body)

        commit(txn, count_and_reply)

    scenario.state._commit = count_writes  # type: ignore[method-assign]
    costs = CostCounters()
    scenario.sim.run_until(seconds(3))
    for controller in scenario.controllers:
        instrument_controller(controller, costs)
    step_counts: list[int] = []
    for begin in (25.0, 95.0):
        scenario.sim.run_until(seconds(begin))
        costs.enabled, before = True, sum(costs.steps.values())
        scenario.sim.run_until(seconds(begin + 20))
        costs.enabled = False
        step_counts.append(sum(costs.steps.values()) - before)
    scenario.sim.run_until(seconds(SUBMIT_UNTIL_S + 30))
    oracle = scenario.oracle
    assert oracle.violations == []
    job_count = len(scenario.users)
    assert job_count == 480 and len(cancel_requested_at) == 120
    job_writes = {key: count for key, count in writes.items() if key.startswith(("g/j/", "g/p/", "g/f/"))}
    assert sum(job_writes.values()) <= MAX_WRITES_PER_JOB * job_count, job_writes
    # Cancellations that precede the end of their job are confirmed, and all other jobs are started, within their
    # limits.
    start_delays: list[float] = []
    reply_delays: list[float] = []
    for job_id in scenario.users:
        start_times = [start[0] for start in oracle.starts if start[1][0] == job_id]
        if job_id in oracle.cancel_confirmed_at:
            reply_delays.append(oracle.cancel_confirmed_at[job_id] - cancel_requested_at[job_id])
            assert len(start_times) <= 1, job_id
        else:
            assert oracle.reported_state[job_id] == "done" and len(start_times) == 1, job_id
            start_delays.append(start_times[0] - oracle.accepted_at[job_id])
    assert len(reply_delays) > 80
    assert max(reply_delays) < MAX_CANCEL_DELAY_S and max(start_delays) < MAX_START_DELAY_S, (
        max(reply_delays),
        max(start_delays),
    )
    assert step_counts[1] <= 1.05 * step_counts[0], step_counts
    # Four jobs per second take less than half of 50 writes per second, so no request is throttled.
    assert scenario.state.throttled_count == 0


# Outages of all controllers, or of a zone with one of them, for longer than a lease -------------------------------

SCENARIO_DIR = Path(__file__).parent / "scenarios"


def test_acting_without_a_lease_runs_tasks_twice_in_a_cut_off_zone(monkeypatch: pytest.MonkeyPatch) -> None:
    # The guard is disabled here; test_scenarios runs the scenarios with the guard.
    monkeypatch.setattr(Membership, "_may_act_now", Membership.caught_up)
    assert "ran_twice" in failed_checks((SCENARIO_DIR / "zone_cut.txt").read_text(encoding="utf-8"), 1)


def test_without_starts_in_later_sessions_tasks_that_ended_in_an_outage_are_left_waiting(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    reconcile = command_sender.reconcile

    def start_only_in_first_session(machine: Machine, *args: Any) -> tuple[list[Command], list[TaskKey]]:
        commands, absent = reconcile(machine, *args)
        first_session = machine.report is None or machine.report.session == 1
        return [command for command in commands if first_session or command.op is not CommandOp.START], absent

    monkeypatch.setattr(command_sender, "reconcile", start_only_in_first_session)
    assert "left_waiting" in failed_checks((SCENARIO_DIR / "all_away.txt").read_text(encoding="utf-8"), 1)
