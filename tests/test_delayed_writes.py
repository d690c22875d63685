"""Each guard against delayed writes is necessary.

Randomized scenarios break a rule once a guard is removed or, where two guards cover the same delayed write,
once both are removed:

- The epoch condition alone prevents exits from being recorded after the epoch under which they were confirmed.
- The team claim (the team's record as a condition, and a new claim after an unknown outcome) alone prevents a home
  controller's own delayed placement from exceeding the limit.
- The wait for the watch alone prevents a new home controller from placing before it knows the placements of the former.
- When a controller restarts or a team's home changes, the epoch and the claim both reject the former home's delayed
  placement; either is enough.
- The job's record alone prevents a placement from being committed after the cancellation. No rule depends on it, since
  the owner starts no task of a job that it knows to be cancelled, and it receives the records in order. Without both, a
  cancelled job runs.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Mapping

import pytest

from gladecroft.bookkeeping import records as rec
from gladecroft.bookkeeping.cluster_state import ClusterState
from gladecroft.bookkeeping.job import Job
from gladecroft.bookkeeping.transaction import TransactionBuilder
from gladecroft.coordination.machines import manager
from gladecroft.coordination.machines.commands import reconcile
from gladecroft.coordination.machines.machine import Machine, TaskKey
from gladecroft.coordination.state_writer.writer import StateWriter
from gladecroft.lab.scenario import Scenario
from gladecroft.protocol.wire import Command, CommandOp

SEEDS = range(10)
#: Several of these seeds break the rule without the epoch condition.
DELAYED_EXIT_SEEDS = range(20, 30)


def broken(make_scenario: Callable[[int], str], seed: int) -> list[str]:
    """The rules that the scenario breaks."""
    return Scenario(make_scenario(seed), seed).run().oracle.violations


def breaks_nothing(make_scenario: Callable[[int], str], seeds: range = SEEDS) -> None:
    for seed in seeds:
        assert broken(make_scenario, seed) == [], (seed, make_scenario(seed))


def breaks(rule: str, make_scenario: Callable[[int], str], seeds: range = SEEDS) -> bool:
    return any(text.startswith(rule) for seed in seeds for text in broken(make_scenario, seed))


# Removal of guards -------------------------------------------------------------------------------------------


def without_epoch_condition(monkeypatch: pytest.MonkeyPatch) -> None:
    """No transaction is conditional on the epoch."""
    init = TransactionBuilder.__init__

    def init_without_epoch(self: TransactionBuilder, cluster_state: ClusterState, max_ops: int, max_bytes: int) -> None:
        init(self, cluster_state, max_ops, max_bytes)
        del self.conditions[rec.EPOCH]

    monkeypatch.setattr(TransactionBuilder, "__init__", init_without_epoch)


def _without_condition(monkeypatch: pytest.MonkeyPatch, key_of: Callable[[Job], str]) -> None:
    set_task = TransactionBuilder.set_task

    def unconditional(self: TransactionBuilder, job: Job, number: int, record: rec.TaskRecord) -> None:
        required = key_of(job) in self.conditions
        set_task(self, job, number, record)
        if not required:
            self.conditions.pop(key_of(job), None)

    monkeypatch.setattr(TransactionBuilder, "set_task", unconditional)


def without_job_record(monkeypatch: pytest.MonkeyPatch) -> None:
    """No change of tasks is conditional on the job's record."""
    _without_condition(monkeypatch, lambda job: rec.job_key(job.id))


def without_team_record(monkeypatch: pytest.MonkeyPatch) -> None:
    """No placement is conditional on the team's record."""
    _without_condition(monkeypatch, lambda job: rec.team_key(job.spec.team))


def without_new_claim(monkeypatch: pytest.MonkeyPatch) -> None:
    """A team is not claimed again after a placement with an unknown outcome."""
    holds_claim, compose = StateWriter.holds_claim, StateWriter._compose_claims

    def holds_claim_without_uncertainty(self: StateWriter, team: str) -> bool:
        self.uncertain_teams.clear()
        return holds_claim(self, team)

    def compose_without_uncertainty(self: StateWriter, txn: TransactionBuilder) -> None:
        self.uncertain_teams.clear()
        compose(self, txn)

    monkeypatch.setattr(StateWriter, "holds_claim", holds_claim_without_uncertainty)
    monkeypatch.setattr(StateWriter, "_compose_claims", compose_without_uncertainty)


def without_wait_for_watch(monkeypatch: pytest.MonkeyPatch) -> None:
    """A claim takes effect once committed, before the watch has delivered the placements made until then."""

    def holds_claim(self: StateWriter, team: str) -> bool:
        own = rec.TeamRecord(self.context.name, self.membership.incarnation or 0)
        return self.cluster_state.team_records.get(team) == own and team not in self.uncertain_teams

    monkeypatch.setattr(StateWriter, "holds_claim", holds_claim)


def without_owner_check(monkeypatch: pytest.MonkeyPatch) -> None:
    """An owner ignores a cancellation for tasks placed after it, as seen by the version of chunks of one task."""

    def placed_late(job: Job | None, number: int) -> bool:
        if job is None or not job.cancelled or job.chunk_length(number // job.chunk_size) != 1:
            return False
        return job.versions.get(number // job.chunk_size, 0) > job.version

    def ignore_cancellation(
        machine: Machine,
        desired: Mapping[TaskKey, rec.TaskRecord],
        jobs: Mapping[str, Job],
        is_ended: Callable[[TaskKey, int], bool],
    ) -> tuple[list[Command], list[TaskKey]]:
        commands, absent = reconcile(machine, desired, jobs, is_ended)
        keys = [key for key in desired if placed_late(jobs.get(key[0]), key[1])]
        names = {f"{job}/{number}" for job, number in keys}
        commands = [command for command in commands if command.task not in names]
        commands += [
            Command(CommandOp.START, f"{key[0]}/{key[1]}", desired[key].attempt)
            for key in keys
            if key not in machine.observed
        ]
        return commands, [key for key in absent if key not in keys]

    monkeypatch.setattr(manager, "reconcile", ignore_cancellation)


# The epoch ---------------------------------------------------------------------------------------------------


def delayed_exit_records(seed: int) -> str:
    """Machines are partitioned until their leases expire, and the records of their tasks' exits are delayed.

    Before these are committed, the controllers that know of them crash, and their successors start the same attempts
    again. Direct commands fail.
    """
    rng = random.Random(seed)
    nodes = rng.choice([1, 2, 3])
    lines = [
        f"nodes {nodes}", "set machine.consolidate=false machine.idle=3600", "team t cpus=200 max=400",
        "type g16 cpus=16 memory=64 boot=8", "up g16 count=5",
    ]  # fmt: skip
    for number in range(8):
        lines.append(
            f"at {rng.uniform(1, 4):.1f} submit wk-{number} team=t tasks=1 cpus=4 memory=2 kind=service"
            " checkpoint=5 save=2"
        )
    cut = rng.uniform(20, 23)
    at = cut + rng.uniform(17, 20)
    for machine in (1, 2, 4, 5):
        lines.append(f"at {cut:.2f} cut-machine {machine} for={at - cut + rng.uniform(-1, 0.5):.1f}")
    lines += [
        f"at {cut:.2f} cloud-outage for={at - cut:.2f}",
        f"at {cut + 14:.2f} late-writes share=1 for={at - cut - 14:.2f}",
        f"at {at:.2f} crash {rng.choice(['leader', 'all'])} for={rng.choice([0.1, 0.3, 0.8])}",
        f"at {at - 1:.2f} {rng.choice(['deaf 1 2 4 5 direct=yes', 'held 1 2 4 5 by=8'])} for=20",
    ]
    return "\n".join([*lines, "run 90"])


def test_exit_is_not_recorded_after_its_epoch() -> None:
    breaks_nothing(delayed_exit_records, DELAYED_EXIT_SEEDS)


def test_without_epoch_condition_exit_is_recorded_late(monkeypatch: pytest.MonkeyPatch) -> None:
    without_epoch_condition(monkeypatch)
    assert breaks("ran_twice", delayed_exit_records, DELAYED_EXIT_SEEDS)


# The job's record --------------------------------------------------------------------------------------------


def cancelled_jobs(seed: int) -> str:
    """Jobs are cancelled right after a delayed placement.

    They have one task more than fits into four chunks. The machine with most of their tasks is partitioned, so that
    they don't finish soon.
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
        late = at + rng.uniform(0.1, 0.5)
        lines += [
            f"at {at:.2f} submit wk-{number} team={'tu'[number % 2]} tasks={4 * rec.tasks_per_chunk(1) + 1} cpus=1"
            " memory=1 run=400",
            f"at {late:.2f} late-writes share=1 for=0.4",
            f"at {late + 0.35:.2f} cut-machine busiest for=13",
            f"at {late + rng.uniform(0.45, 0.8):.2f} cancel wk-{number}",
        ]
    return "\n".join([*lines, "run 110"])


def placed_after_cancellation(scenario: Scenario) -> list[str]:
    """Chunks to which a commit after the job's cancellation added placed attempts."""
    cancelled: set[str] = set()
    placed: dict[str, set[tuple[int, int]]] = {}
    found = []
    for key, value, version in scenario.state.log:
        kind, name = key[:4], key[4:]
        if kind == rec.JOBS and value is not None and value.get("cancelled"):
            cancelled.add(name)
        elif kind == rec.CHUNKS and value is not None:
            tasks = enumerate(value["tasks"])
            there = {(number, task[1]) for number, task in tasks if task[0] == rec.TaskState.ACTIVE}
            if name.rpartition("/")[0] in cancelled and there - placed.get(name, set()):
                found.append(f"{name} at {version}")
            placed[name] = there
    return found


def test_no_placement_is_committed_after_cancellation() -> None:
    for seed in SEEDS:
        scenario = Scenario(cancelled_jobs(seed), seed).run()
        assert scenario.oracle.violations == [], (seed, cancelled_jobs(seed))
        assert placed_after_cancellation(scenario) == [], (seed, cancelled_jobs(seed))


def test_without_job_record_placements_follow_cancellation_but_no_rule_breaks(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    without_job_record(monkeypatch)
    found = []
    for seed in SEEDS:
        scenario = Scenario(cancelled_jobs(seed), seed).run()
        assert scenario.oracle.violations == [], (seed, cancelled_jobs(seed))
        found += placed_after_cancellation(scenario)
    assert found


def test_no_rule_breaks_if_owner_ignores_cancellation(monkeypatch: pytest.MonkeyPatch) -> None:
    without_owner_check(monkeypatch)
    breaks_nothing(cancelled_jobs)


def test_without_job_record_and_owner_check_cancelled_task_runs(monkeypatch: pytest.MonkeyPatch) -> None:
    without_job_record(monkeypatch)
    without_owner_check(monkeypatch)
    assert breaks("ran_cancelled", cancelled_jobs)


# The team claim ----------------------------------------------------------------------------------------------


def base_settings(rng: random.Random) -> list[str]:
    """Teams without a guarantee, so that only priority orders jobs, and capacity for more than their limits."""
    return [
        f"nodes {rng.choice([2, 3])}", "set machine.consolidate=false machine.idle=3600",
        *(f"team {team} cpus=0 max=8" for team in "tuv"), "type g16 cpus=16 memory=64 boot=8", "up g16 count=6",
    ]  # fmt: skip


def overtaken_placements(seed: int) -> str:
    """A placement is delayed, and before it is retried a job of higher priority uses up the team's limit."""
    rng = random.Random(seed)
    lines = base_settings(rng)
    for wave in range(4):
        team = rng.choice("tuv")
        at = 6 + 15 * wave + rng.uniform(0, 2)
        late = at + rng.uniform(0.01, 0.15)
        first = rng.choice(["urgent", "normal"])
        lines += [
            f"at {at:.2f} submit wk-{2 * wave} team={team} cpus={rng.choice([5, 8])} priority=best_effort run=6",
            f"at {late:.2f} late-writes share={rng.choice([0.7, 1])} for={rng.uniform(0.3, 0.6):.2f}",
            f"at {at + rng.uniform(0.5, 1.2):.2f} submit wk-{2 * wave + 1} team={team} cpus={rng.choice([5, 8])}"
            f" priority={first} run=8",
        ]
    return "\n".join([*lines, "run 75"])


def test_delayed_placement_does_not_exceed_limit() -> None:
    breaks_nothing(overtaken_placements)


@pytest.mark.parametrize("take_out", [without_team_record, without_new_claim])
def test_without_new_claim_delayed_placement_exceeds_limit(
    monkeypatch: pytest.MonkeyPatch, take_out: Callable[[pytest.MonkeyPatch], None]
) -> None:
    take_out(monkeypatch)
    assert breaks("quota", overtaken_placements)


def restarts(seed: int) -> str:
    """Like ``overtaken_placements`` for all teams at once; all controllers restart before the placements commit."""
    rng = random.Random(seed)
    lines = base_settings(rng)
    for wave in range(2):
        at = 6 + 20 * wave + rng.uniform(0, 2)
        late, span = at + rng.uniform(0.01, 0.1), rng.uniform(0.3, 0.5)
        for number, team in enumerate("tuv"):
            then = late + span + rng.uniform(0.01, 0.4)
            lines += [
                f"at {at:.2f} submit wk-{2 * wave}{number} team={team} cpus={rng.choice([5, 8])}"
                " priority=best_effort run=6",
                f"at {then:.2f} submit wk-{2 * wave + 1}{number} team={team} cpus={rng.choice([5, 8])}"
                f" priority={rng.choice(['urgent', 'normal'])} run=12",
            ]
        lines += [
            f"at {late:.2f} late-writes share=1 for={span:.2f}",
            f"at {late + span + 0.5:.2f} crash all for={rng.choice([0.1, 0.3])}",
        ]
    return "\n".join([*lines, "run 55"])


def test_delayed_placement_of_earlier_incarnation_does_not_exceed_limit() -> None:
    breaks_nothing(restarts)


@pytest.mark.parametrize("take_out", [without_team_record, without_epoch_condition])
def test_epoch_or_claim_alone_rejects_placement_of_earlier_incarnation(
    monkeypatch: pytest.MonkeyPatch, take_out: Callable[[pytest.MonkeyPatch], None]
) -> None:
    take_out(monkeypatch)
    breaks_nothing(restarts)


def test_without_epoch_and_claim_placement_of_earlier_incarnation_exceeds_limit(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    without_team_record(monkeypatch)
    without_epoch_condition(monkeypatch)
    assert breaks("quota", restarts)


def home_changes(seed: int) -> str:
    """Teams change their home controller within one epoch as gangs come and go, while watches are slow."""
    rng = random.Random(seed)
    lines = base_settings(rng)
    for wave in range(3):
        for number, team in enumerate("tuv"):
            at = 5 + 13 * wave + rng.uniform(0, 3)
            for half, shape in enumerate(("kind=group tasks=2 cpus=4", "tasks=1 cpus=8")):
                name = f"wk-{6 * wave + 2 * number + half}"
                lines.append(f"at {at + rng.uniform(0, 1.2):.2f} submit {name} team={team} {shape} run=4")
    lines += [
        f"at 4 slow-watch by={rng.choice([0.8, 1.5, 2.5])} for=41",
        f"at 4 slow-state by={rng.choice([0.05, 0.3, 0.6])} for=41",
    ]
    return "\n".join([*lines, "run 65"])


def test_new_home_controller_keeps_limit() -> None:
    breaks_nothing(home_changes)


def test_without_wait_for_watch_new_home_controller_exceeds_limit(monkeypatch: pytest.MonkeyPatch) -> None:
    without_wait_for_watch(monkeypatch)
    assert breaks("quota", home_changes)


def test_without_team_record_former_home_controller_exceeds_limit(monkeypatch: pytest.MonkeyPatch) -> None:
    # About five seeds of a hundred show it, and which ones depends on the iteration order of sets: the former home
    # controller has to place between the new one's claim and its own receipt of that claim.
    seeds = range(100, 200)
    breaks_nothing(home_changes, seeds[:10])
    with monkeypatch.context() as patch:
        without_team_record(patch)
        found = next(
            (seed for seed in seeds if any(text.startswith("quota") for text in broken(home_changes, seed))), None
        )
    assert found is not None
    breaks_nothing(home_changes, range(found, found + 1))
