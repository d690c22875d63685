"""Whose fault it is that tasks fail: jobs with a mistake and sick machines, alone and together."""

from __future__ import annotations

import random
from datetime import timedelta

import msgspec

from gladecroft.bookkeeping import records as rec
from gladecroft.bookkeeping.records import TaskRecord, TaskState
from gladecroft.coordination.machines.fault_attribution import (
    TRY_MOST,
    allowed_extra_starts,
    is_faulty_job,
    machine_accused,
    retry_backoff,
)
from test_fencing import SPEC, CoreHarness


def test_drawn_mixtures_of_broken_jobs_and_sick_machines() -> None:
    """Tasks go to machines at random; jobs that are sound complete on machines that are."""
    for seed in range(200):
        drawn = random.Random(seed)
        machines = [f"m-{number}" for number in range(12)]
        sick = set(drawn.sample(machines, drawn.randint(0, 2)))
        broken = {f"b-{number}" for number in range(drawn.randint(0, 5))}
        sound_jobs = [f"s-{number}" for number in range(8)]
        errors: dict[str, dict[str, int]] = {name: {} for name in machines}
        failed_on: dict[str, set[str]] = {}
        done: set[str] = set()
        out: set[str] = set()
        for _ in range(400):
            job = drawn.choice([*sound_jobs, *sorted(broken)])
            machine = drawn.choice(machines)
            if machine in out:
                continue
            if job in broken or machine in sick:
                errors[machine][job] = errors[machine].get(job, 0) + 1
                failed_on.setdefault(job, set()).add(machine)
                if machine_accused(errors[machine], machine, done, failed_on)[0]:
                    out.add(machine)
            else:
                done.add(job)
                errors[machine].clear()
        assert out >= sick, (seed, "a sick machine is not found")
        wrongly = out - sick
        assert len(wrongly) <= 1, (seed, wrongly)


def test_many_broken_jobs_that_fail_everywhere_accuse_no_machine() -> None:
    errors = {f"b-{number}": 3 for number in range(9)}
    failed_on = {job: {"m-1", "m-2"} for job in errors}
    assert machine_accused(errors, "m-1", (), failed_on) == (False, False)
    # Counted by the machine alone, three were enough.
    assert machine_accused(errors, "m-1", (), {}) == (True, False)
    assert machine_accused({"s-1": 2}, "m-1", ("s-1",), {"s-1": {"m-1", "m-2"}}) == (True, True)


def test_a_job_that_fails_on_every_machine_is_tried_one_task_at_a_time_and_never_given_up() -> None:
    rig = CoreHarness()
    spec = msgspec.structs.replace(SPEC, id="wk-2", tasks=6)
    rig.put_record("g/j/wk-2", rec.JobRecord(spec, 0))
    failed = [TaskRecord(TaskState.QUEUED, 1, "", 1, f"error m-{number}") for number in range(1, 4)]
    fresh = [TaskRecord()] * 3
    job = rig.core.context.cluster_state.jobs["wk-2"]
    rig.put_record("g/p/wk-2/0", rec.ChunkRecord([*failed[:2], *fresh, TaskRecord()]))
    assert not is_faulty_job(job)
    rig.put_record("g/p/wk-2/0", rec.ChunkRecord([*failed, *fresh]))
    assert is_faulty_job(job) and allowed_extra_starts(job, 1000.0) == 1
    # One that runs well speaks for the job: as many more may start.
    running = TaskRecord(TaskState.ACTIVE, 1, "m-9", 0, "", 1000)
    rig.put_record("g/p/wk-2/0", rec.ChunkRecord([*failed, running, *fresh[:2]]))
    assert is_faulty_job(job) and (allowed_extra_starts(job, 1005.0), allowed_extra_starts(job, 1030.0)) == (0, 1)
    rig.put_record("g/p/wk-2/0", rec.ChunkRecord([*failed, TaskRecord(TaskState.DONE, 1), *fresh[:2]]))
    assert not is_faulty_job(job)
    waits = [retry_backoff(tries) for tries in range(40)]
    assert waits[0] < waits[1] < waits[2] and max(waits) == waits[-1] == TRY_MOST <= timedelta(seconds=64)
