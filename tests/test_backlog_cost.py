"""The cost of a backlog: the computation for pending jobs that can't start does not grow with their number.

``tests/scenarios/README`` describes the commands of scenarios.
"""

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


def calls_under_backlog(queued_jobs: int, task_sizes: list[float]) -> Counter[str]:
    """Count the Python function calls in all controllers' steps during ten seconds with a backlog.

    The backlog of ``queued_jobs`` arrays competes for six machines on which tasks keep exiting and other tasks start.
    ``task_sizes`` are cores and GB of memory per task.
    """
    scenario = Scenario(FLEET, 1).run()
    spec = msgspec.structs.replace(
        SPEC, kind=JobKind.ARRAY, tasks=20, types=None, zone=None, spot=False, spread=False, gpus=0.0, estimate_s=900.0
    )
    accepted_ms = int((WALL_CLOCK_START + scenario.sim.now).timestamp() * 1000)
    for number in range(queued_jobs):
        task_size = task_sizes[number % len(task_sizes)]
        job_id = f"wk-{number}"
        # Different estimates; otherwise the arrays with the smallest tasks would come first and close their subqueue.
        estimate_s = 900.0 + number * 37 % 100
        each = msgspec.structs.replace(
            spec, id=job_id, team="tu"[number % 2], cpus=task_size, memory_gb=task_size, estimate_s=estimate_s
        )
        scenario.state.revision += 1
        # The arrays are accepted at slightly different times, so that their precedence changes at different times.
        value = msgspec.json.decode(msgspec.json.encode(rec.JobRecord(each, accepted_ms - number % 100)))
        scenario.state.entries[rec.job_key(job_id)] = (value, scenario.state.revision, None)
        # The job as submitted: tasks, cores, GPUs, memory, image and its size, machine types, zone, one_zone, spread,
        # spot, team, kind, run time, checkpoint interval and save time in seconds, and whether its tasks fail.
        scenario.jobs[job_id] = {"portions": 20, "cores": task_size, "cards": 0.0, "memoryGb": task_size, "recipe": "i",
                               "imageGb": 1.0, "flavors": None, "district": None, "oneZone": False, "apart": False,
                               "leftovers": False, "owner": each.team, "shape": "batch", "runS": 8.0,
                               "snapshotS": 0.0, "stashS": 0.0, "broken": False}  # fmt: skip
        scenario.oracle.submit_sent(job_id)
    scenario.sim.run_until(seconds(30))
    assert scenario.oracle.starts, "no task was started"
    assert all(
        len(each.core.context.cluster_state.queued_jobs) >= queued_jobs - 12
        for each in scenario.controllers
        if each.core
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


def test_a_round_costs_no_more_with_ten_thousand_queued_arrays_than_with_a_hundred() -> None:
    few = calls_under_backlog(100, [4.0])
    many = calls_under_backlog(10_000, [4.0])
    assert many["Scheduler.place"] >= 20 and many["PendingQueue._update"] > 0
    assert many.total() <= 1.1 * few.total(), (many - few).most_common(8)
    # With many different task sizes, jobs whose tasks are no smaller than ones that did not fit are skipped.
    rng = random.Random(3)
    mixed = calls_under_backlog(3_000, [round(rng.uniform(3, 6), 2) for _ in range(500)])
    assert mixed["Scheduler._place_job"] <= 20 * mixed["Scheduler.place"]


def test_the_incremental_queue_order_equals_a_full_sort() -> None:
    """Positions that the queue keeps between rounds must not be stale, whatever jobs change and however time passes."""
    for seed in range(12):
        rng = random.Random(seed)
        harness = CoreHarness()
        core = harness.core
        cluster_state, ordering = core.context.cluster_state, core.scheduler.ordering
        core.context.cluster.objectives = [Objective("finished", 70.0, 0.8, "c"), Objective("wait", 30.0, 0.9, "c")]
        cluster_state.team_settings["u"] = Team("u", 6.0, 0.0, 0.0, 0.0)
        cluster_state.team_settings["t"] = Team("t", 9.0, 40.0, 0.0, 0.0)
        pending = PendingQueue(cluster_state, ordering)
        harness.revision += 1
        cluster_state.apply(rec.job_key("wk-1"), None, harness.revision)
        at = 2000.0
        for number in range(120):
            at += rng.uniform(0.0, 4.0)
            core.context.wall_time = clock_at(at).wall
            job_ids = sorted(cluster_state.jobs)
            job_id = rng.choice(job_ids) if len(job_ids) > rng.randrange(40) else f"wk-{number}"
            job = cluster_state.jobs.get(job_id)
            if job is None:
                spec = msgspec.structs.replace(
                    SPEC, id=job_id, team=rng.choice("tu"), kind=rng.choice([JobKind.ARRAY, JobKind.SERVICE]), gpus=0.0,
                    tasks=rng.randint(1, 4), cpus=rng.choice([1.0, 2.0]), estimate_s=rng.uniform(1, 60),
                    job_class=rng.choice("cd"),
                )  # fmt: skip
                accepted_s = core.context.wall_time.timestamp() - rng.uniform(0, 100)
                harness.put_record(rec.job_key(job_id), rec.JobRecord(spec, int(accepted_s * 1000)))
            elif rng.random() < 0.2:
                harness.revision += 1
                cluster_state.apply(rec.job_key(job_id), None, harness.revision)
            else:
                states = [rng.choice(list(TaskState)) for _ in range(job.spec.tasks)]
                tasks = [TaskRecord(state, 1, "m-1" if state in (1, 2) else "") for state in states]
                harness.put_record(rec.chunk_key(job_id, 0), rec.ChunkRecord(tasks))
            pending.refresh(core.context.wall_time.timestamp())
            guaranteed_job_ids = cluster_state.guaranteed_job_ids()
            expected = sorted(
                cluster_state.queued_jobs.values(),
                key=lambda job: (
                    (0, False, 0)
                    if ordering.is_overdue(job)
                    else (1, not ordering.uses_guarantee(job, guaranteed_job_ids), job.priority_rank),
                    *ordering.precedence(job)[:2],
                    job.id,
                ),
            )
            assert [job.id for job, _ in pending.start_round()] == [job.id for job in expected], (seed, number)
            assert guaranteed_job_ids == jobs_within_guarantee(
                cluster_state.team_settings, list(cluster_state.jobs.values())
            ), (
                seed,
                number,
            )
            _check_demand(cluster_state)


def jobs_within_guarantee(team_settings: dict[str, Team], jobs: list[Job]) -> set[str]:
    """Return the ids of the jobs that fit into their team's guarantee along with all of its earlier unfinished jobs."""
    guaranteed_job_ids = set()
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
            and sum(other.spec.cpus * other.spec.tasks for other in earlier) <= team_settings[job.spec.team].cpus
        ):
            guaranteed_job_ids.add(job.id)
    return guaranteed_job_ids


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
        job_id = f"wk-7{number}"
        harness.put_record(rec.job_key(job_id), rec.JobRecord(msgspec.structs.replace(SPEC, id=job_id), number))
        harness.revision += 1
        cluster_state.apply(rec.job_key(job_id), None, harness.revision)
        if number % 100 == 0:
            scheduler.place(TransactionBuilder(cluster_state, 12, 50_000))
    assert len(cluster_state.dirty_jobs) <= MAX_UNPROCESSED_CHANGES + 100
    assert len(cluster_state.workload._counted) == len(cluster_state.jobs) == 1


def test_a_job_that_fits_no_machine_uses_up_none_of_its_teams_limit_in_the_rental_plan() -> None:
    """If it did, no machines would be rented for jobs that follow a large job of the same team."""
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
    # The remaining 60 cores of the team's limit are shared by its jobs; each job does not get 60.
    assert plan.place(job("wk-3", 40, 4.0, 1.0), True)
    assert sum(plan.to_rent.values()) == 7
    assert not plan.place(job("wk-4", 1, 4.0, 1.0), True)


def test_batches_of_exits_are_rebuilt_only_after_a_change(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    harness = CoreHarness()
    cluster_state, exit_tracker = harness.core.context.cluster_state, harness.core.state_writer.exit_tracker
    chunk_size = cluster_state.chunk_size
    for job_id in ("wk-2", "wk-3"):
        spec = msgspec.structs.replace(SPEC, id=job_id, tasks=chunk_size)
        harness.put_record(f"g/j/{job_id}", rec.JobRecord(spec, 0))
        harness.put_record(f"g/p/{job_id}/0", rec.ChunkRecord([TaskRecord(TaskState.ACTIVE, 1, "m-1")] * chunk_size))
        for number in range(chunk_size):
            exit_tracker.record_exit(job_id, number, 1, Outcome(True))
    monkeypatch.setattr(exit_tracker, "is_recorded_by_peer", lambda job: False)
    lookups: Counter[str] = Counter()
    task = Job.task

    def counting(job: Job, number: int) -> TaskRecord:
        lookups[job.id] += 1
        return task(job, number)

    monkeypatch.setattr(Job, "task", counting)
    first = exit_tracker.batches()
    assert {chunk: len(batch.exits) for chunk, batch in first.items()} == {
        ("wk-2", 0): chunk_size,
        ("wk-3", 0): chunk_size,
    }
    lookups.clear()
    assert exit_tracker.batches().keys() == first.keys() and not lookups
    # The records of one job change: only that job's batch is rebuilt, and exits that are in the records are removed.
    harness.put_record(
        "g/p/wk-2/0",
        rec.ChunkRecord([TaskRecord(TaskState.DONE, 1)] * (chunk_size - 1) + [TaskRecord(TaskState.ACTIVE, 1, "m-1")]),
    )
    assert {group: len(batch.exits) for group, batch in exit_tracker.batches().items()} == {
        ("wk-2", 0): 1,
        ("wk-3", 0): chunk_size,
    }
    assert lookups["wk-2"] >= chunk_size and not lookups["wk-3"]
    assert len(exit_tracker.exits) == len(exit_tracker.recorded_at) == chunk_size + 1
    # The exits of a removed job are removed as well.
    cluster_state.apply("g/j/wk-3", None, harness.revision + 1)
    assert set(exit_tracker.batches()) == {("wk-2", 0)} and len(exit_tracker.exits) == 1
