"""Tests team limits and cancellations combined with lost responses, leader changes and unreachable machines.

Randomized scenarios cover four combinations of failures from the operators' documentation. Each scenario is also run
with a guard disabled, and must then violate a rule. Write conditions are disabled in the state service, other guards by
replacing their method.

``tests/scenarios/README`` describes the scenario commands. Those that are not self-explanatory:

- ``nodes``: number of controllers; ``siblings``: the other controllers
- ``island``: a controller is partitioned from the state service and its peers; ``down``: it loses power; ``refuse``:
  the state service does not serve it
- ``late-writes``: transactions are delayed, or, with ``at_once=yes``, executed while their responses are lost
- ``slow-watch``: watch responses are delayed; ``held``: commands to a machine are delayed
- ``close-looks``: users poll all controllers concurrently and repeat the submission
- ``cut-machine``: a machine is partitioned; ``deaf``: replies and commands to it are lost; ``mute-machine``: its
  reports are lost; ``hang``: it is suspended
"""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

import pytest

from gladecroft.bookkeeping import records as rec
from gladecroft.bookkeeping.job import Job
from gladecroft.coordination.events import RequestKind
from gladecroft.coordination.machines import command_sender
from gladecroft.coordination.machines.command_sender import CommandSender
from gladecroft.coordination.machines.machine import Machine
from gladecroft.coordination.machines.manager import MachineManager
from gladecroft.coordination.membership import Membership
from gladecroft.coordination.state_writer import StateWriter
from gladecroft.coordination.state_writer.exits import ExitTracker
from gladecroft.coordination.users.handler import UserRequestHandler
from gladecroft.coordination.users.lookups import Lookups
from gladecroft.coordination.users.pending import PendingRequest
from gladecroft.lab.scenario import Scenario
from gladecroft.lab.state_service import SimulatedStateService
from gladecroft.protocol.wire import Command, CommandOp

Json = dict[str, Any]
ScenarioBuilder = Callable[[int], str]

SEEDS = range(7)


def base_scenario(rng: random.Random) -> list[str]:
    """Returns the lines for a cluster with three teams whose jobs exceed their limits, and more capacity than these."""
    lines = [
        f"nodes {rng.choice([2, 3, 3, 5])}",
        "set machine.consolidate=false machine.idle=3600",
        "team t cpus=20 max=24", "team u cpus=12 max=16", "team v cpus=8 max=20",
        "type g16 cpus=16 memory=64 boot=8", "up g16 count=4", "up g16 zone=b count=4",
    ]  # fmt: skip
    for number in range(9):
        kind = rng.choice(["kind=service", "run=400", "run=400", "run=60", "run=25", "kind=group run=90"])
        lines.append(
            f"at {rng.uniform(1, 8):.1f} submit wk-{number} team={'tuv'[number % 3]} tasks={rng.choice([1, 2, 4])}"
            f" cpus={rng.choice([2, 4])} memory=2 {kind} image=i{number % 2}"
        )
    for number, team in enumerate("tuv"):
        # Jobs that stay queued until their team is below its limit.
        lines.append(f"at {rng.uniform(9, 12):.1f} submit wk-9{number} team={team} tasks=9 cpus=4 memory=2 run=20")
    return lines


def lost_commit_responses_scenario(seed: int) -> str:
    """Returns a scenario in which transactions are executed, their responses are lost, and users read the results."""
    rng = random.Random(seed)
    lines = base_scenario(rng)
    at = rng.uniform(2, 6)
    for _ in range(2):
        duration = rng.choice([8, 15])
        lines += [
            f"at {at:.1f} late-writes share={rng.choice([0.2, 0.4, 0.7])} for={duration} at_once=yes",
            f"at {at:.1f} close-looks for={duration} cancels={rng.choice([0, 0.5])}",
        ]
        if rng.random() < 0.8:
            lines.append(f"at {at:.1f} slow-watch by={rng.choice([0.5, 3, 4.5])} for={duration}")
        for _ in range(2):
            lines.append(f"at {max(9.0, at + rng.uniform(0, duration)):.1f} cancel wk-{rng.randrange(9)}")
        for _ in range(8):
            job_id = f"wk-{rng.randrange(100, 10_000)}"
            lines.append(
                f"at {at + rng.uniform(0, duration):.1f} submit {job_id} team={rng.choice('tuv')}"
                f" tasks={rng.choice([1, 3])} cpus=2 memory=1 run={rng.choice([5, 20])}"
            )
        fault = rng.choice(["crash leader for={}", "crash n1 for={}", "freeze leader for={}", ""])
        if fault:
            lines.append(f"at {at + rng.uniform(0, duration):.1f} " + fault.format(rng.choice([0.1, 0.5, 4])))
        at += duration + rng.uniform(1, 12)
    return "\n".join([*lines, f"run {at + 115:.0f}"])


def cancellations_at_the_limit_scenario(seed: int) -> str:
    """Returns a scenario with all teams at their limits: jobs on unreachable machines are cancelled, leaders change."""
    rng = random.Random(seed)
    lines = base_scenario(rng)
    at = rng.uniform(16, 24)
    for _ in range(2):
        lines.append(f"at {at:.2f} cancel-now count={rng.choice([1, 2, 4])} hang={rng.choice([0, 5, 20, 30])}")
        for _ in range(rng.choice([1, 2])):
            cut = rng.choice(["cut-machine busiest mode=hold", "cut-machine busiest mode=lose", "deaf count=2",
                                "mute-machine count=2"])  # fmt: skip
            lines.append(f"at {at + rng.uniform(-1.5, 1.5):.2f} {cut} for={rng.choice([6, 25, 40])}")
        for _ in range(rng.choice([1, 2])):
            fault = rng.choice(["crash leader", "island leader", "freeze leader", "down leader"])
            lines.append(f"at {at + rng.uniform(-1, 9):.2f} {fault} for={rng.choice([0.2, 2, 12])}")
        at += rng.choice([5, 20, 45])
    return "\n".join([*lines, f"run {at + 145:.0f}"])


def cancellations_during_handover_scenario(seed: int) -> str:
    """Returns a scenario in which jobs are cancelled while ownership moves from one controller to another."""
    rng = random.Random(seed)
    lines = [*base_scenario(rng), "team w cpus=0 max=0"]
    at = rng.uniform(12, 20)
    for phase in range(3):
        controller = rng.choice(["leader", "leader", "n1"])
        fault = rng.choice(["crash {} for={}", "freeze {} for={}", "island {} for={}", "down {} for={}",
                             "cut {} workers for={}", "refuse {} for={}"])  # fmt: skip
        lines.append(f"at {at:.2f} " + fault.format(controller, rng.choice([0.1, 1, 5, 12, 50])))
        extra = rng.choice(
            [
                f"slow-watch by={rng.choice([0.5, 2])} for=10", f"held busiest by={rng.choice([1, 5])} for=12",
                "cut n1 siblings for=10", "crash n1 for=0.2", "deaf busiest for=12", "",
            ]
        )  # fmt: skip
        if extra:
            lines.append(f"at {at + rng.uniform(-1, 8):.2f} {extra}")
        # An owner is replaced about 6 s after its last contact.
        for _ in range(3):
            lines.append(f"at {at + rng.choice([rng.uniform(0, 2), rng.uniform(4, 10)]):.2f} cancel-now count=1")
        for number in range(4):
            # Some of these jobs are placed on machines whose owner can no longer start them, and cancelled before the
            # next owner starts them.
            submit_at = at + rng.uniform(-0.3, 5)
            lines.append(
                f"at {submit_at:.2f} submit wk-{phase}{number}7 team=w tasks={rng.choice([2, 6])} cpus=1 memory=1"
                f" run=200 priority=production"
            )
            lines.append(f"at {max(submit_at + 0.1, at + rng.uniform(0.5, 9)):.2f} cancel wk-{phase}{number}7")
        at += rng.choice([9, 14, 30])
    return "\n".join([*lines, f"run {at + 140:.0f}"])


def unreachable_machines_at_the_limit_scenario(seed: int) -> str:
    """Returns a scenario in which the leader fails while teams are at their limits and some machines unreachable.

    Jobs are cancelled at the same time.
    """
    rng = random.Random(seed)
    lines = base_scenario(rng)
    at = rng.uniform(16, 24)
    duration = rng.choice([8, 22, 40])
    for _ in range(rng.choice([1, 2, 3])):
        fault = rng.choice(["cut-machine busiest mode=hold", "cut-machine busiest mode=lose", "deaf count=3",
                             "deaf count=3 direct=yes", "mute-machine count=3", "hang busiest"])  # fmt: skip
        lines.append(f"at {at + rng.uniform(-4, 4):.2f} {fault} for={duration}")
    lines.append(f"at {at:.2f} {rng.choice(['crash', 'down', 'island'])} leader for={rng.choice([0.3, 4, 20, 40])}")
    if rng.random() < 0.5:
        lines.append(f"at {at + rng.uniform(3, 15):.2f} crash leader for={rng.choice([0.3, 4])}")
    for _ in range(4):
        lines.append(f"at {at + rng.uniform(-1, min(duration, 12)):.2f} cancel wk-{rng.randrange(9)}")
    return "\n".join([*lines, f"run {at + 145:.0f}"])


def record_starts_of_cancelled_jobs(monkeypatch: pytest.MonkeyPatch) -> list[str]:
    """Returns a list that collects each START command of a controller that knows the job to be cancelled."""
    starts: list[str] = []
    next_commands = CommandSender.next_commands

    def recording(self: CommandSender, machine: Machine) -> list[Command]:
        issued = next_commands(self, machine)
        for command in issued:
            job = self.cluster_state.jobs.get(command.task.rpartition("/")[0])
            if command.op is CommandOp.START and job is not None and job.cancelled:
                starts.append(f"{self.context.name} starts {command.task} on machine {machine.id}")
        return issued

    monkeypatch.setattr(CommandSender, "next_commands", recording)
    return starts


def drop_conditions(monkeypatch: pytest.MonkeyPatch, prefix: str) -> None:
    """Makes the state service ignore the conditions on keys with a prefix in transactions that write."""
    commit = SimulatedStateService._commit

    def without_conditions(self: SimulatedStateService, txn: Json, reply: Any) -> None:
        if txn.get("apply"):
            txn["if"] = [condition for condition in txn["if"] if not condition["key"].startswith(prefix)]
        commit(self, txn, reply)

    monkeypatch.setattr(SimulatedStateService, "_commit", without_conditions)


def disable_claims(monkeypatch: pytest.MonkeyPatch) -> None:
    """Lets a home controller place tasks without knowing its earlier placements.

    The state service ignores the conditions on chunks and on team records.
    """

    def holds_claim(self: StateWriter, team: str) -> bool:
        record = self.cluster_state.team_records.get(team)
        return record is not None and record.home == self.context.name

    monkeypatch.setattr(StateWriter, "holds_claim", holds_claim)
    monkeypatch.setattr(StateWriter, "_read_stale", lambda self: self._stale_keys.clear())
    drop_conditions(monkeypatch, rec.CHUNKS)
    drop_conditions(monkeypatch, rec.TEAMS)


def disable_acceptance_condition(monkeypatch: pytest.MonkeyPatch) -> None:
    """Lets every write overwrite a job's record, so that a job can be accepted again by another controller."""
    drop_conditions(monkeypatch, rec.JOBS)


def disable_confirmation(monkeypatch: pytest.MonkeyPatch) -> None:
    """Makes controllers reply from the cluster state without confirming that it is current."""

    def reply_unconfirmed(self: UserRequestHandler) -> None:
        unconfirmed, self._to_confirm = self._to_confirm, {}
        for request in [
            request for group in unconfirmed.values() for request in group if self.pending.is_open(request)
        ]:
            if not self._reply_from_cache(request):
                self._lookups.look_up(request)

    monkeypatch.setattr(UserRequestHandler, "_flush_confirm", reply_unconfirmed)


def disable_lookup(monkeypatch: pytest.MonkeyPatch) -> None:
    """Makes controllers reply that a job is unknown if their cluster state lacks it, without a read."""
    look_up = Lookups.look_up

    def deny_at_once(self: Lookups, request: PendingRequest) -> None:
        if request.request.kind is RequestKind.POLL:
            self._on_lookup_done(request, False)
        else:
            look_up(self, request)

    monkeypatch.setattr(Lookups, "look_up", deny_at_once)


def count_cancelled_as_finished(monkeypatch: pytest.MonkeyPatch) -> None:
    """Counts cancelled jobs as finished although their tasks may still run."""
    monkeypatch.setattr(Job, "finished", property(lambda self: self.done_count == self.spec.tasks or self.cancelled))


def disable_home_notification(monkeypatch: pytest.MonkeyPatch) -> None:
    """Keeps owners from notifying home controllers of exits, also through the outbox record."""
    monkeypatch.setattr(ExitTracker, "notify_home_controllers", lambda self: None)
    monkeypatch.setattr(ExitTracker, "compose_outbox", lambda self, txn, machine_writes: None)


def ignore_leases(monkeypatch: pytest.MonkeyPatch) -> None:
    """Makes owners confirm exits on a silent machine without waiting until its lease has ended."""
    monkeypatch.setattr(
        MachineManager, "lease_expiry", lambda self, machine: machine.last_reply_at or machine.owner_since
    )


def act_without_lease(monkeypatch: pytest.MonkeyPatch) -> None:
    """Lets a controller act without a member lease until it learns of an epoch of which it is not a member."""

    def is_active(self: Membership) -> bool:
        epoch = self.cluster_state.epoch
        return self.incarnation is not None and epoch is not None and (
            epoch.members.get(self.context.name) == self.incarnation
        )  # fmt: skip

    monkeypatch.setattr(Membership, "is_active", is_active)


class UncancelledJob:
    """Stands in for a job and hides its cancellation."""

    cancelled = False

    def __init__(self, job: Job) -> None:
        self.spec = job.spec


def hide_cancellation(monkeypatch: pytest.MonkeyPatch) -> None:
    """Derives the commands for machines as if no job were cancelled."""
    reconcile = command_sender.reconcile

    def without_cancellation(machine: Machine, desired: Any, jobs: dict[str, Job], ended: Any) -> Any:
        uncancelled: Any = {name: UncancelledJob(jobs[name]) for name, _ in desired if name in jobs}
        return reconcile(machine, desired, uncancelled, ended)

    monkeypatch.setattr(command_sender, "reconcile", without_cancellation)


def find_violations(build_scenario: ScenarioBuilder, seed: int) -> list[str]:
    return Scenario(build_scenario(seed), seed).run().oracle.violations


@pytest.mark.parametrize("seed", SEEDS)
def test_commit_counts_once_if_its_response_is_lost(seed: int) -> None:
    assert find_violations(lost_commit_responses_scenario, seed) == [], lost_commit_responses_scenario(seed)


@pytest.mark.parametrize("seed", SEEDS)
def test_capacity_of_cancelled_tasks_is_freed_after_their_exit(seed: int) -> None:
    assert find_violations(cancellations_at_the_limit_scenario, seed) == [], cancellations_at_the_limit_scenario(seed)


@pytest.mark.parametrize("seed", SEEDS)
def test_cancelled_jobs_end_while_ownership_changes(monkeypatch: pytest.MonkeyPatch, seed: int) -> None:
    starts = record_starts_of_cancelled_jobs(monkeypatch)
    assert find_violations(cancellations_during_handover_scenario, seed) == [], cancellations_during_handover_scenario(
        seed
    )
    assert starts == [], cancellations_during_handover_scenario(seed)


@pytest.mark.parametrize("seed", SEEDS)
def test_limit_holds_while_machines_are_unreachable(seed: int) -> None:
    assert find_violations(unreachable_machines_at_the_limit_scenario, seed) == [], (
        unreachable_machines_at_the_limit_scenario(seed)
    )


@pytest.mark.parametrize(
    ("build_scenario", "seed", "disable_guard", "rule"),
    [
        (lost_commit_responses_scenario, 2, disable_claims, "ran_twice"),
        (lost_commit_responses_scenario, 7, disable_claims, "quota"),
        (lost_commit_responses_scenario, 1, disable_acceptance_condition, "went_back"),
        (lost_commit_responses_scenario, 0, disable_confirmation, "went_back"),
        (lost_commit_responses_scenario, 0, disable_lookup, "forgotten"),
        (cancellations_at_the_limit_scenario, 2, count_cancelled_as_finished, "quota"),
        (cancellations_at_the_limit_scenario, 0, disable_home_notification, "left_waiting"),
        (cancellations_during_handover_scenario, 0, hide_cancellation, "ran_cancelled"),
        (cancellations_during_handover_scenario, 5, act_without_lease, "ran_twice"),
        (cancellations_during_handover_scenario, 10, act_without_lease, "ran_cancelled"),
        (unreachable_machines_at_the_limit_scenario, 1, count_cancelled_as_finished, "quota"),
        (unreachable_machines_at_the_limit_scenario, 0, ignore_leases, "quota"),
    ],
)
def test_scenarios_detect_a_disabled_guard(
    monkeypatch: pytest.MonkeyPatch,
    build_scenario: ScenarioBuilder,
    seed: int,
    disable_guard: Callable[[pytest.MonkeyPatch], None],
    rule: str,
) -> None:
    # The iteration order of sets differs between processes and affects some scenarios. If no rule is violated with the
    # given seed, one is with a following seed.
    disable_guard(monkeypatch)
    assert any(
        violation.startswith(rule)
        for each_seed in range(seed, seed + 15)
        for violation in find_violations(build_scenario, each_seed)
    )


def test_start_of_a_job_known_as_cancelled_is_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    starts = record_starts_of_cancelled_jobs(monkeypatch)
    hide_cancellation(monkeypatch)
    assert any(find_violations(cancellations_during_handover_scenario, seed) and starts for seed in range(5))
