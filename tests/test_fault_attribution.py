"""Tests fault attribution with faulty jobs, faulty machines and combinations of them."""

from __future__ import annotations

import random
from datetime import timedelta

import msgspec

from gladecroft.bookkeeping import records as rec
from gladecroft.bookkeeping.records import TaskRecord, TaskState
from gladecroft.coordination.machines.fault_attribution import (
    RETRY_BACKOFF_MAX,
    allowed_extra_starts,
    diagnose_machine,
    is_faulty_job,
    retry_backoff,
)
from test_fencing import SPEC, CoreHarness


def test_randomized_mixtures_of_faulty_jobs_and_machines() -> None:
    """Tasks run on random machines. They complete if both the job and the machine are healthy."""
    for seed in range(200):
        rng = random.Random(seed)
        machines = [f"m-{number}" for number in range(12)]
        faulty_machines = set(rng.sample(machines, rng.randint(0, 2)))
        faulty_jobs = {f"b-{number}" for number in range(rng.randint(0, 5))}
        healthy_jobs = [f"s-{number}" for number in range(8)]
        failures: dict[str, dict[str, int]] = {name: {} for name in machines}
        failed_on: dict[str, set[str]] = {}
        completed: set[str] = set()
        marked: set[str] = set()
        for _ in range(400):
            job_id = rng.choice([*healthy_jobs, *sorted(faulty_jobs)])
            machine_id = rng.choice(machines)
            if machine_id in marked:
                continue
            if job_id in faulty_jobs or machine_id in faulty_machines:
                failures[machine_id][job_id] = failures[machine_id].get(job_id, 0) + 1
                failed_on.setdefault(job_id, set()).add(machine_id)
                if diagnose_machine(failures[machine_id], machine_id, completed, failed_on)[0]:
                    marked.add(machine_id)
            else:
                completed.add(job_id)
                failures[machine_id].clear()
        assert marked >= faulty_machines, (seed, "a faulty machine was not detected")
        wrongly_marked = marked - faulty_machines
        assert len(wrongly_marked) <= 1, (seed, wrongly_marked)


def test_jobs_that_fail_everywhere_do_not_make_a_machine_faulty() -> None:
    failures = {f"b-{number}": 3 for number in range(9)}
    failed_on = {job: {"m-1", "m-2"} for job in failures}
    assert diagnose_machine(failures, "m-1", (), failed_on) == (False, False)
    # The same jobs make it faulty if they have failed on no other machine.
    assert diagnose_machine(failures, "m-1", (), {}) == (True, False)
    assert diagnose_machine({"s-1": 2}, "m-1", ("s-1",), {"s-1": {"m-1", "m-2"}}) == (True, True)


def test_starts_of_faulty_job_are_limited_and_their_delay_is_bounded() -> None:
    harness = CoreHarness()
    spec = msgspec.structs.replace(SPEC, id="wk-2", tasks=6)
    # Keys in the state service: g/j/ job records, g/p/ chunks of tasks.
    harness.put_record("g/j/wk-2", rec.JobRecord(spec, 0))
    failed_tasks = [TaskRecord(TaskState.QUEUED, 1, "", 1, f"error m-{number}") for number in range(1, 4)]
    new_tasks = [TaskRecord()] * 3
    job = harness.core.context.cluster_state.jobs["wk-2"]
    harness.put_record("g/p/wk-2/0", rec.ChunkRecord([*failed_tasks[:2], *new_tasks, TaskRecord()]))
    assert not is_faulty_job(job)
    harness.put_record("g/p/wk-2/0", rec.ChunkRecord([*failed_tasks, *new_tasks]))
    assert is_faulty_job(job) and allowed_extra_starts(job, 1000.0) == 1
    # Once the running tasks have run long enough, as many more may start.
    running = TaskRecord(TaskState.ACTIVE, 1, "m-9", 0, "", 1000)
    harness.put_record("g/p/wk-2/0", rec.ChunkRecord([*failed_tasks, running, *new_tasks[:2]]))
    assert is_faulty_job(job) and (allowed_extra_starts(job, 1005.0), allowed_extra_starts(job, 1030.0)) == (0, 1)
    harness.put_record("g/p/wk-2/0", rec.ChunkRecord([*failed_tasks, TaskRecord(TaskState.DONE, 1), *new_tasks[:2]]))
    assert not is_faulty_job(job)
    delays = [retry_backoff(tries) for tries in range(40)]
    assert delays[0] < delays[1] < delays[2] and max(delays) == delays[-1] == RETRY_BACKOFF_MAX <= timedelta(seconds=64)
