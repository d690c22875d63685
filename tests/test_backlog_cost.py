"""The cost of a backlog: a controller's work for pending jobs that can't start does not grow with their number."""

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
from gladecroft.coordination.fleet.packing import BinIndex, PackingConstraints, RentalPlan
from gladecroft.coordination.scheduling.pending_queue import PendingQueue
from gladecroft.coordination.scheduling.scheduler import MAX_UNPROCESSED_CHANGES
from gladecroft.coordination.state_writer import Outcome
from gladecroft.lab.scenario import Scenario
from gladecroft.lab.simulation import WALL_CLOCK_START, seconds
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


def calls_under_backlog(queued: int, sizes: list[float]) -> Counter[str]:
    """Count the function calls of all controllers' cores in ten seconds with a backlog of ``queued`` arrays.

    The backlog waits for six machines on which tasks keep exiting and others start.
    """
    scenario = Scenario(FLEET, 1).run()
    spec = msgspec.structs.replace(
        SPEC, kind=JobKind.ARRAY, tasks=20, types=None, zone=None, spot=False, spread=False, gpus=0.0, estimate_s=900.0
    )
    accepted = int((WALL_CLOCK_START + scenario.sim.now).timestamp() * 1000)
    for number in range(queued):
        size = sizes[number % len(sizes)]
        name = f"wk-{number}"
        # Different estimates; otherwise the arrays with the smallest tasks would come first and close their subqueue.
        estimate = 900.0 + number * 37 % 100
        each = msgspec.structs.replace(
            spec, id=name, team="tu"[number % 2], cpus=size, memory_gb=size, estimate_s=estimate
        )
        scenario.state.revision += 1
        # Accepted one after the other, so that their precedence changes at different times.
        value = msgspec.json.decode(msgspec.json.encode(rec.JobRecord(each, accepted - number % 100)))
        scenario.state.entries[rec.job_key(name)] = (value, scenario.state.revision, None)
        scenario.jobs[name] = {"portions": 20, "cores": size, "cards": 0.0, "memoryGb": size, "recipe": "i",
                               "imageGb": 1.0, "flavors": None, "district": None, "oneZone": False, "apart": False,
                               "leftovers": False, "owner": each.team, "shape": "batch", "runS": 8.0,
                               "snapshotS": 0.0, "stashS": 0.0, "broken": False}  # fmt: skip
        scenario.oracle.submit_sent(name)
    scenario.sim.run_until(seconds(30))
    assert scenario.oracle.starts, "no task was started"
    assert all(
        len(each.core.context.cluster_state.queued_jobs) >= queued - 12 for each in scenario.controllers if each.core
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
    scenario.sim.run_until(seconds(40))
    assert scenario.oracle.violations == []
    return calls


def test_a_round_costs_no_more_with_ten_thousand_waiting_arrays_than_with_a_hundred() -> None:
    few = calls_under_backlog(100, [4.0])
    many = calls_under_backlog(10_000, [4.0])
    assert many["Scheduler.place"] >= 20 and many["PendingQueue._update"] > 0
    assert many.total() <= 1.1 * few.total(), (many - few).most_common(8)
    # With many different task sizes, jobs no smaller than one that did not fit are skipped.
    rng = random.Random(3)
    mixed = calls_under_backlog(3_000, [round(rng.uniform(3, 6), 2) for _ in range(500)])
    assert mixed["Scheduler._place_job"] <= 20 * mixed["Scheduler.place"]


def test_the_incremental_queue_order_equals_a_full_sort() -> None:
    """Positions kept between rounds must not be stale, whatever changes and however time passes."""
    for seed in range(12):
        rng = random.Random(seed)
        harness = CoreHarness()
        core = harness.core
        cluster_state, ordering = core.context.cluster_state, core.scheduler.ordering
        core.context.cluster.objectives = [Objective("finished", 70.0, 0.8, "c"), Objective("wait", 30.0, 0.9, "c")]
        cluster_state.limits["u"] = Team("u", 6.0, 0.0, 0.0, 0.0)
        cluster_state.limits["t"] = Team("t", 9.0, 40.0, 0.0, 0.0)
        pending = PendingQueue(cluster_state, ordering)
        harness.revision += 1
        cluster_state.apply(rec.job_key("wk-1"), None, harness.revision)
        at = 2000.0
        for number in range(120):
            at += rng.uniform(0.0, 4.0)
            core.context.wall_time = clock_at(at).wall
            names = sorted(cluster_state.jobs)
            name = rng.choice(names) if len(names) > rng.randrange(40) else f"wk-{number}"
            job = cluster_state.jobs.get(name)
            if job is None:
                spec = msgspec.structs.replace(
                    SPEC, id=name, team=rng.choice("tu"), kind=rng.choice([JobKind.ARRAY, JobKind.SERVICE]), gpus=0.0,
                    tasks=rng.randint(1, 4), cpus=rng.choice([1.0, 2.0]), estimate_s=rng.uniform(1, 60),
                    job_class=rng.choice("cd"),
                )  # fmt: skip
                accepted = core.context.wall_time.timestamp() - rng.uniform(0, 100)
                harness.put_record(rec.job_key(name), rec.JobRecord(spec, int(accepted * 1000)))
            elif rng.random() < 0.2:
                harness.revision += 1
                cluster_state.apply(rec.job_key(name), None, harness.revision)
            else:
                states = [rng.choice(list(TaskState)) for _ in range(job.spec.tasks)]
                rows = [TaskRecord(state, 1, "m-1" if state in (1, 2) else "") for state in states]
                harness.put_record(rec.chunk_key(name, 0), rec.ChunkRecord(rows))
            pending.refresh(core.context.wall_time.timestamp())
            guaranteed = cluster_state.guaranteed_jobs()
            expected = sorted(
                cluster_state.queued_jobs.values(),
                key=lambda job: (
                    (0, False, 0)
                    if ordering.is_overdue(job)
                    else (1, not ordering.uses_guarantee(job, guaranteed), job.priority_rank),
                    *ordering.precedence(job)[:2],
                    job.id,
                ),
            )
            assert [job.id for job, _ in pending.start_round()] == [job.id for job in expected], (seed, number)
            assert guaranteed == jobs_within_guarantee(cluster_state.limits, list(cluster_state.jobs.values())), (
                seed,
                number,
            )
            _check_demand(cluster_state)


def jobs_within_guarantee(limits: dict[str, Team], jobs: list[Job]) -> set[str]:
    """Return the jobs that fit into their team's guarantee along with all of its earlier unfinished jobs."""
    guaranteed = set()
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
            guaranteed.add(job.id)
    return guaranteed


def _check_demand(cluster_state: Any) -> None:
    for team, demand in cluster_state.workload.teams.items():
        jobs = [job for job in cluster_state.jobs.values() if job.spec.team == team]
        queued = [job for job in jobs if job.queued_count]
        assert demand.queued_jobs == len(queued)
        assert abs(demand.queued_cpus - sum(job.queued_count * job.spec.cpus for job in queued)) < 1e-6
        assert demand.task_cpus == sorted(job.spec.cpus for job in queued)
        assert demand.service_jobs == sum(job.spec.kind is JobKind.SERVICE for job in queued)
        assert demand.changing_jobs == sum(
            bool(job.queued_count) or job.spec.kind is not JobKind.SERVICE for job in jobs
        )


def test_guarantees_are_recomputed_only_for_changed_teams_and_up_to_the_first_job_that_does_not_fit() -> None:
    lookups: list[str] = []

    class Jobs(dict[str, Job]):
        def __getitem__(self, name: str) -> Job:
            lookups.append(name)
            return super().__getitem__(name)

    jobs = Jobs()
    guarantees = Guarantees({"t": Team("t", 8.0, 0.0, 0.0, 0.0), "u": Team("u", 8.0, 0.0, 0.0, 0.0)})
    for number in range(1000):
        spec = msgspec.structs.replace(SPEC, id=f"wk-{number}", team="tu"[number % 2], cpus=2.0, gpus=0.0, tasks=1)
        jobs[spec.id] = Job(rec.JobRecord(spec, number), 1, 10)
        guarantees.update(jobs[spec.id])
    assert len(guarantees.refresh(jobs)) == 8 and guarantees.teams_over == {"t", "u"}
    lookups.clear()
    guarantees.remove(dict.__getitem__(jobs, "wk-0"))
    assert guarantees.refresh(jobs) == {"wk-0", "wk-8"}
    assert len(lookups) == 5


def test_a_controller_that_places_nothing_does_not_keep_the_ids_of_past_jobs() -> None:
    harness = CoreHarness()
    core = harness.core
    core.membership.assignment.team_homes["t"] = "n1"
    cluster_state, scheduler = core.context.cluster_state, core.scheduler
    for number in range(2 * MAX_UNPROCESSED_CHANGES):
        name = f"wk-7{number}"
        harness.put_record(rec.job_key(name), rec.JobRecord(msgspec.structs.replace(SPEC, id=name), number))
        harness.revision += 1
        cluster_state.apply(rec.job_key(name), None, harness.revision)
        if number % 100 == 0:
            scheduler.place(TransactionBuilder(cluster_state, 12, 50_000))
    assert len(cluster_state.dirty_jobs) <= MAX_UNPROCESSED_CHANGES + 100
    assert len(cluster_state.workload._counted) == len(cluster_state.jobs) == 1


def test_a_job_that_fits_no_machine_uses_up_none_of_its_teams_limit_in_the_fleet_plan() -> None:
    """Otherwise no machines are rented for jobs behind a large job of the same team."""
    machine_type = MachineType("g", 16, 64, 1, 1, 30, ["a"], 0)
    cluster_state = CoreHarness().core.context.cluster_state
    spec = msgspec.structs.replace(SPEC, types=None, zone=None, spot=False, spread=False, gpus=0.0, kind=JobKind.ARRAY)

    def job(name: str, tasks: int, cpus: float, memory: float) -> Job:
        each = msgspec.structs.replace(spec, id=name, tasks=tasks, cpus=cpus, memory_gb=memory)
        return Job(rec.JobRecord(each, 0), 1, cluster_state.chunk_size)

    constraints = PackingConstraints(
        {"g": machine_type},
        lambda spec, name, zone, spot: spec.memory_gb <= 64,
        lambda job: ({}, 99),
        lambda team: 100.0,
    )
    plan = RentalPlan(constraints, BinIndex([], 1.0), 0.0, 0.0, {})
    assert not plan.place(job("wk-1", 20, 4.0, 900.0), True)  # no machine type has that much memory
    assert plan.place(job("wk-2", 10, 4.0, 1.0), True)
    assert plan.to_rent == {("g", "a", False): 3} or plan.to_rent == {("g", "a", True): 3}
    # The limit leaves 60 cores to the team's jobs together, not to each of them.
    assert plan.place(job("wk-3", 40, 4.0, 1.0), True)
    assert sum(plan.to_rent.values()) == 7
    assert not plan.place(job("wk-4", 1, 4.0, 1.0), True)


def test_batches_of_exits_are_rebuilt_only_after_a_change(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    harness = CoreHarness()
    cluster_state, exit_tracker = harness.core.context.cluster_state, harness.core.state_writer.exit_tracker
    size = cluster_state.chunk_size
    for name in ("wk-2", "wk-3"):
        spec = msgspec.structs.replace(SPEC, id=name, tasks=size)
        harness.put_record(f"g/j/{name}", rec.JobRecord(spec, 0))
        harness.put_record(f"g/p/{name}/0", rec.ChunkRecord([TaskRecord(TaskState.ACTIVE, 1, "m-1")] * size))
        for number in range(size):
            exit_tracker.record_exit(name, number, 1, Outcome(True))
    monkeypatch.setattr(exit_tracker, "is_recorded_by_home", lambda job: False)
    lookups: Counter[str] = Counter()
    task = Job.task

    def counting(job: Job, number: int) -> TaskRecord:
        lookups[job.id] += 1
        return task(job, number)

    monkeypatch.setattr(Job, "task", counting)
    first = exit_tracker.batches()
    assert {group: len(batch.exits) for group, batch in first.items()} == {("wk-2", 0): size, ("wk-3", 0): size}
    lookups.clear()
    assert exit_tracker.batches().keys() == first.keys() and not lookups
    # The records change for one job: only that job's batch is rebuilt, and exits that its records confirm are dropped.
    harness.put_record(
        "g/p/wk-2/0",
        rec.ChunkRecord([TaskRecord(TaskState.DONE, 1)] * (size - 1) + [TaskRecord(TaskState.ACTIVE, 1, "m-1")]),
    )
    assert {group: len(batch.exits) for group, batch in exit_tracker.batches().items()} == {
        ("wk-2", 0): 1,
        ("wk-3", 0): size,
    }
    assert lookups["wk-2"] >= size and not lookups["wk-3"]
    assert len(exit_tracker.exits) == len(exit_tracker.recorded_at) == size + 1
    # The exits of a removed job are dropped.
    cluster_state.apply("g/j/wk-3", None, harness.revision + 1)
    assert set(exit_tracker.batches()) == {("wk-2", 0)} and len(exit_tracker.exits) == 1
