"""A flood is cheap: what a controller does for work that waits and can't start does not grow with how much there is."""

from __future__ import annotations

import random
import sys
from collections import Counter
from types import FrameType
from typing import Any

import msgspec
import pytest

from gladecroft.bookkeeping import records as rec
from gladecroft.bookkeeping.job import Job
from gladecroft.bookkeeping.records import TaskRecord, TaskState
from gladecroft.bookkeeping.teams import Guarantees
from gladecroft.bookkeeping.transaction import TransactionBuilder
from gladecroft.coordination.fleet.packing import BinPool, PackingConstraints, RentalPlan
from gladecroft.coordination.scheduling.pending_queue import PendingQueue
from gladecroft.coordination.scheduling.scheduler import MANY_MOVED
from gladecroft.coordination.state_writer import Outcome
from gladecroft.lab.scenario import Scenario
from gladecroft.lab.simulation import START, seconds
from gladecroft.protocol.settings import Objective, Team
from gladecroft.protocol.wire import JobKind, MachineType
from test_epochs import clock_at
from test_fencing import SPEC, CoreHarness

FLEET = """
nodes 2
set machine.consolidate=false
state rps=300 write_rps=60 txn_ops=24
team t cpus=32 max=200
team u cpus=16 max=200
type g16 cpus=16 memory=64 count=0 spot=0
up g16 count=6
run 0.05
"""


def calls_in_a_flood(waiting: int, sizes: list[float]) -> Counter[str]:
    """Calls of all controllers' cores in ten seconds in which so many arrays wait for six machines, whose tasks end and
    make room for others."""
    scenario = Scenario(FLEET, 1).run()
    spec = msgspec.structs.replace(
        SPEC, kind=JobKind.ARRAY, tasks=20, types=None, zone=None, spot=False, spread=False, gpus=0.0, estimate_s=900.0
    )
    accepted = int((START + scenario.world.now).timestamp() * 1000)
    for number in range(waiting):
        size = sizes[number % len(sizes)]
        name = f"wk-{number}"
        estimate = 900.0 + number * 37 % 100  # else the smallest tasks would stand first, and tell of all
        each = msgspec.structs.replace(
            spec, id=name, team="tu"[number % 2], cpus=size, memory_gb=size, estimate_s=estimate
        )
        scenario.state.revision += 1
        # Accepted one after the other, so that their turns change at times of their own.
        value = msgspec.json.decode(msgspec.json.encode(rec.JobRecord(each, accepted - number % 100)))
        scenario.state.keys[rec.job_key(name)] = (value, scenario.state.revision, None)
        scenario.jobs[name] = {"portions": 20, "cores": size, "cards": 0.0, "memoryGb": size, "recipe": "i",
                               "imageGb": 1.0, "flavors": None, "district": None, "oneZone": False, "apart": False,
                               "leftovers": False, "owner": each.team, "shape": "batch", "runS": 8.0,
                               "snapshotS": 0.0, "stashS": 0.0, "broken": False}  # fmt: skip
        scenario.oracle.submit_sent(name)
    scenario.world.run_until(seconds(30))
    assert scenario.oracle.starts, "nothing runs"
    assert all(
        len(each.core.context.cluster_state.queued_jobs) >= waiting - 12 for each in scenario.controllers if each.core
    )
    calls: Counter[str] = Counter()

    def profile(frame: FrameType, event: str, arg: Any) -> None:
        if event == "call":
            calls[frame.f_code.co_qualname] += 1

    for controller in scenario.controllers:
        assert controller.core is not None
        step = controller.core.step

        def counted(now: Any, events: Any, step: Any = step) -> Any:
            sys.setprofile(profile)
            try:
                return step(now, events)
            finally:
                sys.setprofile(None)

        controller.core.step = counted  # type: ignore[assignment, method-assign]
    scenario.world.run_until(seconds(40))
    assert scenario.oracle.broken == []
    return calls


def test_a_controller_does_no_more_with_ten_thousand_waiting_arrays_than_with_a_hundred() -> None:
    few = calls_in_a_flood(100, [4.0])
    many = calls_in_a_flood(10_000, [4.0])
    assert many["Scheduler.place"] >= 20 and many["PendingQueue._set"] > 0
    assert many.total() <= 1.1 * few.total(), (many - few).most_common(8)
    # Sizes drawn all differently: those that are no smaller than what has found no room are passed over.
    drawn = random.Random(3)
    mixed = calls_in_a_flood(3_000, [round(drawn.uniform(3, 6), 2) for _ in range(500)])
    assert mixed["Scheduler._place_job"] <= 20 * mixed["Scheduler.place"]


def test_the_lineup_is_what_sorting_all_anew_would_give() -> None:
    """Whatever changes, and however time passes: places that are kept must not be stale."""
    for seed in range(12):
        drawn = random.Random(seed)
        rig = CoreHarness()
        core = rig.core
        cluster_state, ordering = core.context.cluster_state, core.scheduler.ordering
        core.context.cluster.objectives = [Objective("finished", 70.0, 0.8, "c"), Objective("wait", 30.0, 0.9, "c")]
        cluster_state.limits["u"] = Team("u", 6.0, 0.0, 0.0, 0.0)
        cluster_state.limits["t"] = Team("t", 9.0, 40.0, 0.0, 0.0)
        lineup = PendingQueue(cluster_state, ordering)
        rig.revision += 1
        cluster_state.apply(rec.job_key("wk-1"), None, rig.revision)
        at = 2000.0
        for number in range(120):
            at += drawn.uniform(0.0, 4.0)
            core.context.wall_time = clock_at(at).wall
            names = sorted(cluster_state.jobs)
            name = drawn.choice(names) if len(names) > drawn.randrange(40) else f"wk-{number}"
            job = cluster_state.jobs.get(name)
            if job is None:
                spec = msgspec.structs.replace(
                    SPEC, id=name, team=drawn.choice("tu"), kind=drawn.choice([JobKind.ARRAY, JobKind.SERVICE]),
                    gpus=0.0, tasks=drawn.randint(1, 4), cpus=drawn.choice([1.0, 2.0]), estimate_s=drawn.uniform(1, 60),
                    job_class=drawn.choice("cd"),
                )  # fmt: skip
                accepted = core.context.wall_time.timestamp() - drawn.uniform(0, 100)
                rig.put_record(rec.job_key(name), rec.JobRecord(spec, int(accepted * 1000)))
            elif drawn.random() < 0.2:
                rig.revision += 1
                cluster_state.apply(rec.job_key(name), None, rig.revision)
            else:
                states = [drawn.choice(list(TaskState)) for _ in range(job.spec.tasks)]
                rows = [TaskRecord(state, 1, "m-1" if state in (1, 2) else "") for state in states]
                rig.put_record(rec.chunk_key(name, 0), rec.ChunkRecord(rows))
            lineup.refresh(core.context.wall_time.timestamp())
            inside = cluster_state.guaranteed_jobs()
            anew = sorted(
                cluster_state.queued_jobs.values(),
                key=lambda job: (
                    (0, False, 0)
                    if ordering.overdue(job)
                    else (1, not ordering.is_pressing(job, inside), job.priority_rank),
                    *ordering.turn(job)[:2],
                    job.id,
                ),
            )
            assert [job.id for job, _ in lineup.round()] == [job.id for job in anew], (seed, number)
            assert inside == within(cluster_state.limits, list(cluster_state.jobs.values())), (seed, number)
            _check_sums(cluster_state)


def within(limits: dict[str, Team], jobs: list[Job]) -> set[str]:
    """The definition: jobs that fit along with all earlier unfinished ones of their team."""
    inside = set()
    for job in jobs:
        earlier = [
            other
            for other in jobs
            if other.spec.team == job.spec.team
            and not other.cancelled
            and (other.record.accepted_ms, other.id) <= (job.record.accepted_ms, job.id)
        ]
        if (
            not job.cancelled
            and sum(other.spec.cpus * other.spec.tasks for other in earlier) <= limits[job.spec.team].cpus
        ):
            inside.add(job.id)
    return inside


def _check_sums(cluster_state: Any) -> None:
    for team, waits in cluster_state.workload.teams.items():
        jobs = [job for job in cluster_state.jobs.values() if job.spec.team == team]
        queued = [job for job in jobs if job.queued_count]
        assert waits.queued_jobs == len(queued)
        assert abs(waits.queued_cpus - sum(job.queued_count * job.spec.cpus for job in queued)) < 1e-6
        assert waits.task_cpus == sorted(job.spec.cpus for job in queued)
        assert waits.service_jobs == sum(job.spec.kind is JobKind.SERVICE for job in queued)
        assert waits.changing_jobs == sum(
            bool(job.queued_count) or job.spec.kind is not JobKind.SERVICE for job in jobs
        )


def test_only_teams_whose_jobs_changed_are_worked_out_anew_and_only_up_to_the_first_that_does_not_fit() -> None:
    asked: list[str] = []

    class Jobs(dict[str, Job]):
        def __getitem__(self, name: str) -> Job:
            asked.append(name)
            return super().__getitem__(name)

    jobs = Jobs()
    guarantees = Guarantees({"t": Team("t", 8.0, 0.0, 0.0, 0.0), "u": Team("u", 8.0, 0.0, 0.0, 0.0)})
    for number in range(1000):
        spec = msgspec.structs.replace(SPEC, id=f"wk-{number}", team="tu"[number % 2], cpus=2.0, gpus=0.0, tasks=1)
        jobs[spec.id] = Job(rec.JobRecord(spec, number), 1, 10)
        guarantees.update(jobs[spec.id])
    assert len(guarantees.refresh(jobs)) == 8 and guarantees.teams_over == {"t", "u"}
    asked.clear()
    guarantees.remove(dict.__getitem__(jobs, "wk-0"))
    assert guarantees.refresh(jobs) == {"wk-0", "wk-8"}
    assert len(asked) == 5


def test_a_controller_that_places_nothing_does_not_keep_the_names_of_all_jobs_that_ever_were() -> None:
    rig = CoreHarness()
    core = rig.core
    core.membership.assignment.team_homes["t"] = "n1"
    cluster_state, scheduler = core.context.cluster_state, core.scheduler
    for number in range(2 * MANY_MOVED):
        name = f"wk-7{number}"
        rig.put_record(rec.job_key(name), rec.JobRecord(msgspec.structs.replace(SPEC, id=name), number))
        rig.revision += 1
        cluster_state.apply(rec.job_key(name), None, rig.revision)
        if number % 100 == 0:
            scheduler.place(TransactionBuilder(cluster_state, 12, 50_000))
    assert len(cluster_state.dirty_jobs) <= MANY_MOVED + 100
    assert len(cluster_state.workload._counted) == len(cluster_state.jobs) == 1


def test_a_job_without_room_uses_up_nothing_of_its_teams_limit_in_the_fleets_plan() -> None:
    """Else what stands behind a large job of its team is not planned for, and nothing is rented for it."""
    kind = MachineType("g", 16, 64, 1, 1, 30, ["a"], 0)
    cluster_state = CoreHarness().core.context.cluster_state
    spec = msgspec.structs.replace(SPEC, types=None, zone=None, spot=False, spread=False, gpus=0.0, kind=JobKind.ARRAY)

    def job(name: str, tasks: int, cpus: float, memory: float) -> Job:
        each = msgspec.structs.replace(spec, id=name, tasks=tasks, cpus=cpus, memory_gb=memory)
        return Job(rec.JobRecord(each, 0), 1, cluster_state.chunk_size)

    terms = PackingConstraints(
        {"g": kind}, lambda spec, name, zone, spot: spec.memory_gb <= 64, lambda job: ({}, 99), lambda team: 100.0
    )
    plan = RentalPlan(terms, BinPool([], 1.0), 0.0, 0.0, {})
    assert not plan.place(job("wk-1", 20, 4.0, 900.0), True)  # no machine is as large
    assert plan.place(job("wk-2", 10, 4.0, 1.0), True)
    assert plan.to_rent == {("g", "a", False): 3} or plan.to_rent == {("g", "a", True): 3}
    # The limit leaves 60 cores to all of the team's jobs together, not to each.
    assert plan.place(job("wk-3", 40, 4.0, 1.0), True)
    assert sum(plan.to_rent.values()) == 7
    assert not plan.place(job("wk-4", 1, 4.0, 1.0), True)


def test_ends_that_wait_are_looked_at_only_when_something_changed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    rig = CoreHarness()
    cluster_state, exit_tracker = rig.core.context.cluster_state, rig.core.state_writer.exit_tracker
    size = cluster_state.chunk_size
    for name in ("wk-2", "wk-3"):
        spec = msgspec.structs.replace(SPEC, id=name, tasks=size)
        rig.put_record(f"g/j/{name}", rec.JobRecord(spec, 0))
        rig.put_record(f"g/p/{name}/0", rec.ChunkRecord([TaskRecord(TaskState.ACTIVE, 1, "m-1")] * size))
        for number in range(size):
            exit_tracker.record_exit(name, number, 1, Outcome(True))
    monkeypatch.setattr(exit_tracker, "is_recorded_by_home", lambda job: False)
    looked: Counter[str] = Counter()
    task = Job.task

    def counted(job: Job, number: int) -> TaskRecord:
        looked[job.id] += 1
        return task(job, number)

    monkeypatch.setattr(Job, "task", counted)
    first = exit_tracker.batches()
    assert {group: len(gathered.exits) for group, gathered in first.items()} == {("wk-2", 0): size, ("wk-3", 0): size}
    looked.clear()
    assert exit_tracker.batches().keys() == first.keys() and not looked
    # One more end, then a change of the records: only that job is looked at, and what the records tell is settled.
    rig.put_record(
        "g/p/wk-2/0",
        rec.ChunkRecord([TaskRecord(TaskState.DONE, 1)] * (size - 1) + [TaskRecord(TaskState.ACTIVE, 1, "m-1")]),
    )
    assert {group: len(gathered.exits) for group, gathered in exit_tracker.batches().items()} == {
        ("wk-2", 0): 1,
        ("wk-3", 0): size,
    }
    assert looked["wk-2"] >= size and not looked["wk-3"]
    assert len(exit_tracker.exits) == len(exit_tracker.recorded_at) == size + 1
    # A job that is no more takes its ends along.
    cluster_state.apply("g/j/wk-3", None, rig.revision + 1)
    assert set(exit_tracker.batches()) == {("wk-2", 0)} and len(exit_tracker.exits) == 1
