"""Each guard against delayed writes is necessary.

A delayed write is a transaction that the state service executes after newer ones. Randomized scenarios violate a rule
once a guard is removed or, where two guards cover the same delayed write, once both are removed:

- The epoch condition is the only guard that prevents exits from being recorded after the epoch in which they were
  confirmed.
- The team claim is the only guard that prevents a delayed placement of the team's home controller, which schedules the
  team's jobs, from exceeding the team's CPU limit (rule ``quota``). It consists of a condition on the team's record and
  of a new claim after an unknown outcome; both parts are needed.
- The wait for the watch is the only guard that prevents a new home controller from placing before it knows the
  placements of the former.
- When all controllers restart, the epoch condition and the claim each make a delayed placement of an earlier
  incarnation fail. When a team's home controller changes within an epoch, only the claim makes the former home
  controller's delayed placement fail.
- The condition on the job's record is the only guard that prevents a placement from being committed after the
  cancellation. Without it, no rule is violated, since the owner of the machine starts no task of a job that it knows to
  be cancelled, and it receives the records in order. Without both guards, a cancelled job runs.

``tests/scenarios/README`` describes the scenario commands. Those that are not self-explanatory:

- ``nodes``: number of controllers
- ``late-writes``: transactions are delayed; ``slow-state``: requests to the state service take longer;
  ``slow-watch``: watch responses are delayed
- ``cut-machine``: a machine is partitioned; ``deaf``: replies and commands to it are lost (``direct=yes``: only
  commands); ``held``: commands to it are delayed
"""

from __future__ import annotations

import random
from collections.abc import Callable, Mapping

import pytest

from gladecroft.bookkeeping import records as rec
from gladecroft.bookkeeping.cluster_state import ClusterState
from gladecroft.bookkeeping.job import Job
from gladecroft.bookkeeping.transaction import TransactionBuilder
from gladecroft.coordination.machines import command_sender
from gladecroft.coordination.machines.commands import reconcile
from gladecroft.coordination.machines.machine import Machine, TaskKey
from gladecroft.coordination.state_writer.writer import StateWriter
from gladecroft.lab.scenario import Scenario
from gladecroft.protocol.wire import Command, CommandOp

SEEDS = range(10)
#: With several of these seeds the rule ``ran_twice`` is violated if the epoch condition is removed.
DELAYED_EXIT_SEEDS = range(20, 30)


def find_violations(make_scenario: Callable[[int], str], seed: int) -> list[str]:
    """Returns the violated rules, each with a description of the violation."""
    return Scenario(make_scenario(seed), seed).run().oracle.violations


def assert_no_violations(make_scenario: Callable[[int], str], seeds: range = SEEDS) -> None:
    for seed in seeds:
        assert find_violations(make_scenario, seed) == [], (seed, make_scenario(seed))


def violates(rule: str, make_scenario: Callable[[int], str], seeds: range = SEEDS) -> bool:
    return any(violation.startswith(rule) for seed in seeds for violation in find_violations(make_scenario, seed))


# Removal of guards -------------------------------------------------------------------------------------------


def without_epoch_condition(monkeypatch: pytest.MonkeyPatch) -> None:
    """Removes the condition on the epoch from all transactions."""
    init = TransactionBuilder.__init__

    def init_without_epoch(self: TransactionBuilder, cluster_state: ClusterState, max_ops: int, max_bytes: int) -> None:
        init(self, cluster_state, max_ops, max_bytes)
        del self.conditions[rec.EPOCH]

    monkeypatch.setattr(TransactionBuilder, "__init__", init_without_epoch)


def _without_condition(monkeypatch: pytest.MonkeyPatch, key_of: Callable[[Job], str]) -> None:
    set_task = TransactionBuilder.set_task

    def unconditional(self: TransactionBuilder, job: Job, number: int, record: rec.TaskRecord) -> None:
        already_present = key_of(job) in self.conditions
        set_task(self, job, number, record)
        if not already_present:
            self.conditions.pop(key_of(job), None)

    monkeypatch.setattr(TransactionBuilder, "set_task", unconditional)


def without_job_condition(monkeypatch: pytest.MonkeyPatch) -> None:
    """Removes the condition on the job's record from changes of tasks."""
    _without_condition(monkeypatch, lambda job: rec.job_key(job.id))


def without_team_condition(monkeypatch: pytest.MonkeyPatch) -> None:
    """Removes the condition on the team's record from changes of tasks; only placements carry it."""
    _without_condition(monkeypatch, lambda job: rec.team_key(job.spec.team))


def without_new_claim(monkeypatch: pytest.MonkeyPatch) -> None:
    """Keeps home controllers from claiming a team again after a placement with an unknown outcome."""
    holds_claim, compose = StateWriter.holds_claim, StateWriter._compose_claims

    def holds_claim_without_unknown_outcomes(self: StateWriter, team: str) -> bool:
        self.teams_with_unknown_outcome.clear()
        return holds_claim(self, team)

    def compose_without_unknown_outcomes(self: StateWriter, txn: TransactionBuilder) -> None:
        self.teams_with_unknown_outcome.clear()
        compose(self, txn)

    monkeypatch.setattr(StateWriter, "holds_claim", holds_claim_without_unknown_outcomes)
    monkeypatch.setattr(StateWriter, "_compose_claims", compose_without_unknown_outcomes)


def without_wait_for_watch(monkeypatch: pytest.MonkeyPatch) -> None:
    """Lets a claim take effect once committed, before the watch has delivered the placements committed earlier."""

    def holds_claim(self: StateWriter, team: str) -> bool:
        own = rec.TeamRecord(self.context.name, self.membership.incarnation or 0)
        return self.cluster_state.team_records.get(team) == own and team not in self.teams_with_unknown_outcome

    monkeypatch.setattr(StateWriter, "holds_claim", holds_claim)


def without_owner_check(monkeypatch: pytest.MonkeyPatch) -> None:
    """Makes owners ignore a cancellation for tasks placed after it.

    Only chunks with one task are considered: their version tells when the task was placed.
    """

    def is_placed_after_cancellation(job: Job | None, number: int) -> bool:
        if job is None or not job.cancelled or job.chunk_length(number // job.chunk_size) != 1:
            return False
        return job.chunk_versions.get(number // job.chunk_size, 0) > job.version

    def ignore_cancellation(
        machine: Machine,
        desired: Mapping[TaskKey, rec.TaskRecord],
        jobs: Mapping[str, Job],
        is_ended: Callable[[TaskKey, int], bool],
    ) -> tuple[list[Command], list[TaskKey]]:
        commands, absent = reconcile(machine, desired, jobs, is_ended)
        keys = [key for key in desired if is_placed_after_cancellation(jobs.get(key[0]), key[1])]
        task_names = {f"{job}/{number}" for job, number in keys}
        commands = [command for command in commands if command.task not in task_names]
        commands += [
            Command(CommandOp.START, f"{key[0]}/{key[1]}", desired[key].attempt)
            for key in keys
            if key not in machine.observed
        ]
        return commands, [key for key in absent if key not in keys]

    monkeypatch.setattr(command_sender, "reconcile", ignore_cancellation)


# The epoch ---------------------------------------------------------------------------------------------------


def delayed_exit_records_scenario(seed: int) -> str:
    """Returns a scenario in which machines are partitioned until their leases end, and exits are recorded late.

    Before the delayed writes with the exits are executed, the controllers that know of the exits crash, and their
    successors could start the same attempts again. Commands outside replies to reports are lost, or all commands are
    delayed by 8 s.
    """
    rng = random.Random(seed)
    controllers = rng.choice([1, 2, 3])
    lines = [
        f"nodes {controllers}", "set machine.consolidate=false machine.idle=3600", "team t cpus=200 max=400",
        "type g16 cpus=16 memory=64 boot=8", "up g16 count=5",
    ]  # fmt: skip
    for number in range(8):
        lines.append(
            f"at {rng.uniform(1, 4):.1f} submit wk-{number} team=t tasks=1 cpus=4 memory=2 kind=service"
            " checkpoint=5 save=2"
        )
    cut = rng.uniform(20, 23)
    crash_at = cut + rng.uniform(17, 20)
    for machine in (1, 2, 4, 5):
        lines.append(f"at {cut:.2f} cut-machine {machine} for={crash_at - cut + rng.uniform(-1, 0.5):.1f}")
    lines += [
        f"at {cut:.2f} cloud-outage for={crash_at - cut:.2f}",
        f"at {cut + 14:.2f} late-writes share=1 for={crash_at - cut - 14:.2f}",
        f"at {crash_at:.2f} crash {rng.choice(['leader', 'all'])} for={rng.choice([0.1, 0.3, 0.8])}",
        f"at {crash_at - 1:.2f} {rng.choice(['deaf 1 2 4 5 direct=yes', 'held 1 2 4 5 by=8'])} for=20",
    ]
    return "\n".join([*lines, "run 90"])


def test_exit_is_not_recorded_after_its_epoch() -> None:
    assert_no_violations(delayed_exit_records_scenario, DELAYED_EXIT_SEEDS)


def test_without_epoch_condition_exit_is_recorded_late(monkeypatch: pytest.MonkeyPatch) -> None:
    without_epoch_condition(monkeypatch)
    assert violates("ran_twice", delayed_exit_records_scenario, DELAYED_EXIT_SEEDS)


# The job's record --------------------------------------------------------------------------------------------


def cancelled_jobs_scenario(seed: int) -> str:
    """Returns a scenario in which jobs are cancelled right after a delayed placement.

    Each job has one task more than fits into four chunks. The machine with most of the tasks is partitioned, so that
    the cancelled jobs do not get their final records soon.
    """
    rng = random.Random(seed)
    lines = [
        f"nodes {rng.choice([1, 2, 2])}", "set machine.consolidate=false machine.idle=3600",
        "state value_kb=1 txn_ops=4", "team t cpus=0 max=0", "team u cpus=0 max=0",
        "type g88 cpus=88 memory=200 boot=8 count=3", "up g88 count=3",
    ]  # fmt: skip
    begin = 8 + rng.uniform(0, 1)
    for number in range(3):
        at = begin + 20 * number
        window_start = at + rng.uniform(0.1, 0.5)
        lines += [
            f"at {at:.2f} submit wk-{number} team={'tu'[number % 2]} tasks={4 * rec.tasks_per_chunk(1) + 1} cpus=1"
            " memory=1 run=400",
            f"at {window_start:.2f} late-writes share=1 for=0.4",
            f"at {window_start + 0.35:.2f} cut-machine busiest for=13",
            f"at {window_start + rng.uniform(0.45, 0.8):.2f} cancel wk-{number}",
        ]
    return "\n".join([*lines, "run 110"])


def placed_after_cancellation(scenario: Scenario) -> list[str]:
    """Returns the chunks to which a commit after the job's cancellation added placed attempts."""
    cancelled: set[str] = set()
    placed: dict[str, set[tuple[int, int]]] = {}
    placements_after_cancellation = []
    for key, value, version in scenario.state.log:
        kind, name = key[:4], key[4:]  # the prefixes of stored keys have four characters
        if kind == rec.JOBS and value is not None and value.get("cancelled"):
            cancelled.add(name)
        elif kind == rec.CHUNKS and value is not None:
            tasks = enumerate(value["tasks"])
            active = {(number, task[1]) for number, task in tasks if task[0] == rec.TaskState.ACTIVE}
            if name.rpartition("/")[0] in cancelled and active - placed.get(name, set()):
                placements_after_cancellation.append(f"{name} at {version}")
            placed[name] = active
    return placements_after_cancellation


def test_no_placement_is_committed_after_cancellation() -> None:
    for seed in SEEDS:
        scenario = Scenario(cancelled_jobs_scenario(seed), seed).run()
        assert scenario.oracle.violations == [], (seed, cancelled_jobs_scenario(seed))
        assert placed_after_cancellation(scenario) == [], (seed, cancelled_jobs_scenario(seed))


def test_without_job_condition_placements_follow_cancellation_but_no_rule_breaks(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    without_job_condition(monkeypatch)
    placements_after_cancellation = []
    for seed in SEEDS:
        scenario = Scenario(cancelled_jobs_scenario(seed), seed).run()
        assert scenario.oracle.violations == [], (seed, cancelled_jobs_scenario(seed))
        placements_after_cancellation += placed_after_cancellation(scenario)
    assert placements_after_cancellation


def test_no_rule_breaks_if_owner_ignores_cancellation(monkeypatch: pytest.MonkeyPatch) -> None:
    without_owner_check(monkeypatch)
    assert_no_violations(cancelled_jobs_scenario)


def test_without_job_condition_and_owner_check_cancelled_task_runs(monkeypatch: pytest.MonkeyPatch) -> None:
    without_job_condition(monkeypatch)
    without_owner_check(monkeypatch)
    assert violates("ran_cancelled", cancelled_jobs_scenario)


# The team claim ----------------------------------------------------------------------------------------------


def base_lines(rng: random.Random) -> list[str]:
    """Returns the first lines of a scenario.

    The teams have no guarantee and low limits, so that only priority orders their jobs.
    """
    return [
        f"nodes {rng.choice([2, 3])}", "set machine.consolidate=false machine.idle=3600",
        *(f"team {team} cpus=0 max=8" for team in "tuv"), "type g16 cpus=16 memory=64 boot=8", "up g16 count=6",
    ]  # fmt: skip


def overtaken_placements_scenario(seed: int) -> str:
    """Returns a scenario in which a placement is delayed, and a job of higher priority uses up the limit meanwhile."""
    rng = random.Random(seed)
    lines = base_lines(rng)
    for repetition in range(4):
        team = rng.choice("tuv")
        at = 6 + 15 * repetition + rng.uniform(0, 2)
        window_start = at + rng.uniform(0.01, 0.15)
        priority = rng.choice(["urgent", "normal"])
        lines += [
            f"at {at:.2f} submit wk-{2 * repetition} team={team} cpus={rng.choice([5, 8])} priority=best_effort run=6",
            f"at {window_start:.2f} late-writes share={rng.choice([0.7, 1])} for={rng.uniform(0.3, 0.6):.2f}",
            f"at {at + rng.uniform(0.5, 1.2):.2f} submit wk-{2 * repetition + 1} team={team} cpus={rng.choice([5, 8])}"
            f" priority={priority} run=8",
        ]
    return "\n".join([*lines, "run 75"])


def test_delayed_placement_does_not_exceed_limit() -> None:
    assert_no_violations(overtaken_placements_scenario)


@pytest.mark.parametrize("remove_guard", [without_team_condition, without_new_claim])
def test_without_either_part_of_claim_delayed_placement_exceeds_limit(
    monkeypatch: pytest.MonkeyPatch, remove_guard: Callable[[pytest.MonkeyPatch], None]
) -> None:
    remove_guard(monkeypatch)
    assert violates("quota", overtaken_placements_scenario)


def restarts_scenario(seed: int) -> str:
    """Returns a scenario like ``overtaken_placements_scenario`` for all teams, with a restart of all controllers.

    The controllers restart before the delayed placements are executed.
    """
    rng = random.Random(seed)
    lines = base_lines(rng)
    for repetition in range(2):
        at = 6 + 20 * repetition + rng.uniform(0, 2)
        window_start, window_s = at + rng.uniform(0.01, 0.1), rng.uniform(0.3, 0.5)
        for number, team in enumerate("tuv"):
            submit_at = window_start + window_s + rng.uniform(0.01, 0.4)
            lines += [
                f"at {at:.2f} submit wk-{2 * repetition}{number} team={team} cpus={rng.choice([5, 8])}"
                " priority=best_effort run=6",
                f"at {submit_at:.2f} submit wk-{2 * repetition + 1}{number} team={team} cpus={rng.choice([5, 8])}"
                f" priority={rng.choice(['urgent', 'normal'])} run=12",
            ]
        lines += [
            f"at {window_start:.2f} late-writes share=1 for={window_s:.2f}",
            f"at {window_start + window_s + 0.5:.2f} crash all for={rng.choice([0.1, 0.3])}",
        ]
    return "\n".join([*lines, "run 55"])


def test_delayed_placement_of_earlier_incarnation_does_not_exceed_limit() -> None:
    assert_no_violations(restarts_scenario)


@pytest.mark.parametrize("remove_guard", [without_team_condition, without_epoch_condition])
def test_epoch_or_claim_alone_rejects_placement_of_earlier_incarnation(
    monkeypatch: pytest.MonkeyPatch, remove_guard: Callable[[pytest.MonkeyPatch], None]
) -> None:
    remove_guard(monkeypatch)
    assert_no_violations(restarts_scenario)


def test_without_epoch_and_claim_placement_of_earlier_incarnation_exceeds_limit(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    without_team_condition(monkeypatch)
    without_epoch_condition(monkeypatch)
    assert violates("quota", restarts_scenario)


def home_changes_scenario(seed: int) -> str:
    """Returns a scenario in which watches are slow and teams change their home controller within an epoch.

    The leader is the home controller of a team as long as the team has gangs.
    """
    rng = random.Random(seed)
    lines = base_lines(rng)
    for repetition in range(3):
        for number, team in enumerate("tuv"):
            at = 5 + 13 * repetition + rng.uniform(0, 3)
            for index, shape in enumerate(("kind=group tasks=2 cpus=4", "tasks=1 cpus=8")):
                job_id = f"wk-{6 * repetition + 2 * number + index}"
                lines.append(f"at {at + rng.uniform(0, 1.2):.2f} submit {job_id} team={team} {shape} run=4")
    lines += [
        f"at 4 slow-watch by={rng.choice([0.8, 1.5, 2.5])} for=41",
        f"at 4 slow-state by={rng.choice([0.05, 0.3, 0.6])} for=41",
    ]
    return "\n".join([*lines, "run 65"])


def test_new_home_controller_keeps_limit() -> None:
    assert_no_violations(home_changes_scenario)


def test_without_wait_for_watch_new_home_controller_exceeds_limit(monkeypatch: pytest.MonkeyPatch) -> None:
    without_wait_for_watch(monkeypatch)
    assert violates("quota", home_changes_scenario)


def test_without_team_condition_former_home_controller_exceeds_limit(monkeypatch: pytest.MonkeyPatch) -> None:
    # The limit is exceeded with about five seeds of a hundred; with which ones depends on the iteration order of sets.
    # The former home controller has to place between the new one's claim and its own receipt of that claim.
    seeds = range(100, 200)
    assert_no_violations(home_changes_scenario, seeds[:10])
    with monkeypatch.context() as patch:
        without_team_condition(patch)
        violating_seed = next(
            (
                seed
                for seed in seeds
                if any(text.startswith("quota") for text in find_violations(home_changes_scenario, seed))
            ),
            None,
        )
    assert violating_seed is not None
    assert_no_violations(home_changes_scenario, range(violating_seed, violating_seed + 1))
