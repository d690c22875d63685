"""The guards of a late write, told apart: drawn histories that break a rule once the guard is taken out, and where two
guards cover the same late write, only once both are.

What the histories have shown: *epoch* alone keeps an end from outliving its proof; *claim* (the team's record as a
condition, and a new claim after an unknown outcome) alone keeps a home's own late placement from passing the limit, and
the wait for the watch alone keeps a new home from placing before it knows what the old one placed. At a change of life
or home the epoch and the claim both refuse the old home's late placement: each does without the other. The job's record
alone keeps a placement from being committed after the cancellation; no rule hangs on that, for an owner starts nothing
of a job that it knows to be cancelled, and the records reach it in order. Without both it does.
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
#: Here several seeds find what they are to find.
SEEDS_OF_ENDS = range(20, 30)


def broken(history: Callable[[int], str], seed: int) -> list[str]:
    return Scenario(history(seed), seed).run().oracle.broken


def holds(history: Callable[[int], str], seeds: range = SEEDS) -> None:
    for seed in seeds:
        assert broken(history, seed) == [], (seed, history(seed))


def finds(rule: str, history: Callable[[int], str], seeds: range = SEEDS) -> bool:
    return any(text.startswith(rule) for seed in seeds for text in broken(history, seed))


# The guards, taken out ---------------------------------------------------------------------------------------


def without_epoch(monkeypatch: pytest.MonkeyPatch) -> None:
    """No change of tasks, teams or machines rests on the epoch."""
    init = TransactionBuilder.__init__

    def begun(self: TransactionBuilder, cluster_state: ClusterState, max_ops: int, max_bytes: int) -> None:
        init(self, cluster_state, max_ops, max_bytes)
        del self.conditions[rec.EPOCH]

    monkeypatch.setattr(TransactionBuilder, "__init__", begun)


def _without(monkeypatch: pytest.MonkeyPatch, key_of: Callable[[Job], str]) -> None:
    set_task = TransactionBuilder.set_task

    def unconditional(self: TransactionBuilder, job: Job, number: int, record: rec.TaskRecord) -> None:
        required = key_of(job) in self.conditions
        set_task(self, job, number, record)
        if not required:
            self.conditions.pop(key_of(job), None)

    monkeypatch.setattr(TransactionBuilder, "set_task", unconditional)


def without_job(monkeypatch: pytest.MonkeyPatch) -> None:
    """No change of tasks rests on the job's record."""
    _without(monkeypatch, lambda job: rec.job_key(job.id))


def without_team(monkeypatch: pytest.MonkeyPatch) -> None:
    """No placement rests on the team's record."""
    _without(monkeypatch, lambda job: rec.team_key(job.spec.team))


def without_unsure(monkeypatch: pytest.MonkeyPatch) -> None:
    """After a placement with an unknown outcome the team is not claimed anew."""
    claimed, compose = StateWriter.holds_claim, StateWriter._compose_claims

    def sure(self: StateWriter, team: str) -> bool:
        self.uncertain_teams.clear()
        return claimed(self, team)

    def compose_sure(self: StateWriter, txn: TransactionBuilder) -> None:
        self.uncertain_teams.clear()
        compose(self, txn)

    monkeypatch.setattr(StateWriter, "holds_claim", sure)
    monkeypatch.setattr(StateWriter, "_compose_claims", compose_sure)


def without_watch(monkeypatch: pytest.MonkeyPatch) -> None:
    """A claim counts as soon as it is committed, before the watch has brought what was placed until then."""

    def claimed(self: StateWriter, team: str) -> bool:
        own = rec.TeamRecord(self.context.name, self.membership.incarnation or 0)
        return self.cluster_state.team_records.get(team) == own and team not in self.uncertain_teams

    monkeypatch.setattr(StateWriter, "holds_claim", claimed)


def without_look(monkeypatch: pytest.MonkeyPatch) -> None:
    """An owner heeds a cancellation only for what was placed before it. (Told by the version of chunks of one task.)"""

    def late(job: Job | None, number: int) -> bool:
        if job is None or not job.cancelled or job.chunk_length(number // job.chunk_size) != 1:
            return False
        return job.versions.get(number // job.chunk_size, 0) > job.version

    def heedless(
        machine: Machine,
        wanted: Mapping[TaskKey, rec.TaskRecord],
        jobs: Mapping[str, Job],
        gone: Callable[[TaskKey, int], bool],
    ) -> tuple[list[Command], list[TaskKey]]:
        commands, absent = reconcile(machine, wanted, jobs, gone)
        keys = [key for key in wanted if late(jobs.get(key[0]), key[1])]
        names = {f"{job}/{number}" for job, number in keys}
        commands = [command for command in commands if command.task not in names]
        commands += [
            Command(CommandOp.START, f"{key[0]}/{key[1]}", wanted[key].attempt)
            for key in keys
            if key not in machine.observed
        ]
        return commands, [key for key in absent if key not in keys]

    monkeypatch.setattr(manager, "reconcile", heedless)


# The epoch ---------------------------------------------------------------------------------------------------


def lost_ends(seed: int) -> str:
    """Machines are cut off until their leases are over. The ends of their tasks are written late; before that the
    controllers that know of them end, and who follows starts the same attempts again. Direct commands fail."""
    drawn = random.Random(seed)
    nodes = drawn.choice([1, 2, 3])
    lines = [
        f"nodes {nodes}", "set machine.consolidate=false machine.idle=3600", "team t cpus=200 max=400",
        "type g16 cpus=16 memory=64 boot=8", "up g16 count=5",
    ]  # fmt: skip
    for number in range(8):
        lines.append(
            f"at {drawn.uniform(1, 4):.1f} submit wk-{number} team=t tasks=1 cpus=4 memory=2 kind=service"
            " checkpoint=5 save=2"
        )
    cut = drawn.uniform(20, 23)
    at = cut + drawn.uniform(17, 20)
    for machine in (1, 2, 4, 5):
        lines.append(f"at {cut:.2f} cut-machine {machine} for={at - cut + drawn.uniform(-1, 0.5):.1f}")
    lines += [
        f"at {cut:.2f} cloud-outage for={at - cut:.2f}",
        f"at {cut + 14:.2f} late-writes share=1 for={at - cut - 14:.2f}",
        f"at {at:.2f} crash {drawn.choice(['leader', 'all'])} for={drawn.choice([0.1, 0.3, 0.8])}",
        f"at {at - 1:.2f} {drawn.choice(['deaf 1 2 4 5 direct=yes', 'held 1 2 4 5 by=8'])} for=20",
    ]
    return "\n".join([*lines, "run 90"])


def test_no_end_outlives_the_epoch_of_its_proof() -> None:
    holds(lost_ends, SEEDS_OF_ENDS)


def test_without_the_epoch_an_end_outlives_its_proof(monkeypatch: pytest.MonkeyPatch) -> None:
    without_epoch(monkeypatch)
    assert finds("ran_twice", lost_ends, SEEDS_OF_ENDS)


# The job's record --------------------------------------------------------------------------------------------


def called_off(seed: int) -> str:
    """Of jobs with one task more than four chunks hold some placement is late, the last or an earlier one; the job is
    cancelled right behind it, and is not over soon, for the machine with most of it is cut off."""
    drawn = random.Random(seed)
    lines = [
        f"nodes {drawn.choice([1, 2, 2])}", "set machine.consolidate=false machine.idle=3600",
        "state value_kb=1 txn_ops=4", "team t cpus=0 max=0", "team u cpus=0 max=0",
        "type g88 cpus=88 memory=200 boot=8 count=3", "up g88 count=3",
    ]  # fmt: skip
    begin = 8 + drawn.uniform(0, 1)
    for number in range(3):
        at = begin + 20 * number
        late = at + drawn.uniform(0.1, 0.5)
        lines += [
            f"at {at:.2f} submit wk-{number} team={'tu'[number % 2]} tasks={4 * rec.chunk_size(1) + 1} cpus=1"
            " memory=1 run=400",
            f"at {late:.2f} late-writes share=1 for=0.4",
            f"at {late + 0.35:.2f} cut-machine busiest for=13",
            f"at {late + drawn.uniform(0.45, 0.8):.2f} cancel wk-{number}",
        ]
    return "\n".join([*lines, "run 110"])


def placed_after_cancellation(scenario: Scenario) -> list[str]:
    """The chunks that hold more placed attempts than before, by a commit after the job's cancellation."""
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


def test_no_placement_is_committed_after_the_cancellation() -> None:
    for seed in SEEDS:
        scenario = Scenario(called_off(seed), seed).run()
        assert scenario.oracle.broken == [], (seed, called_off(seed))
        assert placed_after_cancellation(scenario) == [], (seed, called_off(seed))


def test_without_the_jobs_record_placements_are_committed_after_the_cancellation_and_no_rule_breaks(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    without_job(monkeypatch)
    found = []
    for seed in SEEDS:
        scenario = Scenario(called_off(seed), seed).run()
        assert scenario.oracle.broken == [], (seed, called_off(seed))
        found += placed_after_cancellation(scenario)
    assert found


def test_without_an_owners_look_at_the_cancellation_no_rule_breaks(monkeypatch: pytest.MonkeyPatch) -> None:
    without_look(monkeypatch)
    holds(called_off)


def test_without_both_what_is_cancelled_runs(monkeypatch: pytest.MonkeyPatch) -> None:
    without_job(monkeypatch)
    without_look(monkeypatch)
    assert finds("ran_cancelled", called_off)


# The claim ---------------------------------------------------------------------------------------------------


def fleet(drawn: random.Random) -> list[str]:
    """Teams without a guarantee, so that priority alone says who comes first, and room for more than their limits."""
    return [
        f"nodes {drawn.choice([2, 3])}", "set machine.consolidate=false machine.idle=3600",
        *(f"team {team} cpus=0 max=8" for team in "tuv"), "type g16 cpus=16 memory=64 boot=8", "up g16 count=6",
    ]  # fmt: skip


def overtaken(seed: int) -> str:
    """A placement is late, and before it is tried again a job that comes first takes the room under the limit."""
    drawn = random.Random(seed)
    lines = fleet(drawn)
    for wave in range(4):
        team = drawn.choice("tuv")
        at = 6 + 15 * wave + drawn.uniform(0, 2)
        late = at + drawn.uniform(0.01, 0.15)
        first = drawn.choice(["urgent", "normal"])
        lines += [
            f"at {at:.2f} submit wk-{2 * wave} team={team} cpus={drawn.choice([5, 8])} priority=best_effort run=6",
            f"at {late:.2f} late-writes share={drawn.choice([0.7, 1])} for={drawn.uniform(0.3, 0.6):.2f}",
            f"at {at + drawn.uniform(0.5, 1.2):.2f} submit wk-{2 * wave + 1} team={team} cpus={drawn.choice([5, 8])}"
            f" priority={first} run=8",
        ]
    return "\n".join([*lines, "run 75"])


def test_a_late_placement_does_not_come_on_top_of_the_limit() -> None:
    holds(overtaken)


@pytest.mark.parametrize("take_out", [without_team, without_unsure])
def test_without_a_new_claim_a_late_placement_comes_on_top_of_the_limit(
    monkeypatch: pytest.MonkeyPatch, take_out: Callable[[pytest.MonkeyPatch], None]
) -> None:
    take_out(monkeypatch)
    assert finds("quota", overtaken)


def new_lives(seed: int) -> str:
    """The same for all teams at once, and before the placements are carried out all controllers end and come back."""
    drawn = random.Random(seed)
    lines = fleet(drawn)
    for wave in range(2):
        at = 6 + 20 * wave + drawn.uniform(0, 2)
        late, span = at + drawn.uniform(0.01, 0.1), drawn.uniform(0.3, 0.5)
        for number, team in enumerate("tuv"):
            then = late + span + drawn.uniform(0.01, 0.4)
            lines += [
                f"at {at:.2f} submit wk-{2 * wave}{number} team={team} cpus={drawn.choice([5, 8])}"
                " priority=best_effort run=6",
                f"at {then:.2f} submit wk-{2 * wave + 1}{number} team={team} cpus={drawn.choice([5, 8])}"
                f" priority={drawn.choice(['urgent', 'normal'])} run=12",
            ]
        lines += [
            f"at {late:.2f} late-writes share=1 for={span:.2f}",
            f"at {late + span + 0.5:.2f} crash all for={drawn.choice([0.1, 0.3])}",
        ]
    return "\n".join([*lines, "run 55"])


def test_a_placement_of_an_earlier_life_does_not_come_on_top_of_the_limit() -> None:
    holds(new_lives)


@pytest.mark.parametrize("take_out", [without_team, without_epoch])
def test_epoch_and_claim_each_refuse_a_placement_of_an_earlier_life(
    monkeypatch: pytest.MonkeyPatch, take_out: Callable[[pytest.MonkeyPatch], None]
) -> None:
    take_out(monkeypatch)
    holds(new_lives)


def test_without_epoch_and_claim_a_placement_of_an_earlier_life_comes_on_top_of_the_limit(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    without_team(monkeypatch)
    without_epoch(monkeypatch)
    assert finds("quota", new_lives)


def homes(seed: int) -> str:
    """Gangs come and go, and with each its team's home, in one and the same epoch, while watches are slow."""
    drawn = random.Random(seed)
    lines = fleet(drawn)
    for wave in range(3):
        for number, team in enumerate("tuv"):
            at = 5 + 13 * wave + drawn.uniform(0, 3)
            for half, what in enumerate(("kind=group tasks=2 cpus=4", "tasks=1 cpus=8")):
                name = f"wk-{6 * wave + 2 * number + half}"
                lines.append(f"at {at + drawn.uniform(0, 1.2):.2f} submit {name} team={team} {what} run=4")
    lines += [
        f"at 4 slow-watch by={drawn.choice([0.8, 1.5, 2.5])} for=41",
        f"at 4 slow-state by={drawn.choice([0.05, 0.3, 0.6])} for=41",
    ]
    return "\n".join([*lines, "run 65"])


def test_a_new_home_keeps_to_the_limit() -> None:
    holds(homes)


def test_without_the_wait_for_the_watch_a_new_home_passes_the_limit(monkeypatch: pytest.MonkeyPatch) -> None:
    without_watch(monkeypatch)
    assert finds("quota", homes)


def test_without_the_teams_record_a_former_home_passes_the_limit(monkeypatch: pytest.MonkeyPatch) -> None:
    # Seldom: about five seeds of a hundred, and which ones changes with the order of sets. It places in the moment
    # between the new home's claim and its own news of that.
    seeds = range(100, 200)
    holds(homes, seeds[:10])
    with monkeypatch.context() as patch:
        without_team(patch)
        found = next((seed for seed in seeds if any(text.startswith("quota") for text in broken(homes, seed))), None)
    assert found is not None
    holds(homes, range(found, found + 1))
