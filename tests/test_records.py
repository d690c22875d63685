"""Size limits of records, indexes over them, and machines without a record or a known owner."""

from __future__ import annotations

import msgspec

from gladecroft.bookkeeping import records as rec
from gladecroft.bookkeeping.cluster_state import ClusterState
from gladecroft.bookkeeping.records import TaskRecord, TaskState
from gladecroft.bookkeeping.transaction import TransactionBuilder
from gladecroft.coordination.events import IncomingRequest, Reply, RequestKind
from gladecroft.protocol import wire
from gladecroft.protocol.peers import EndedAttempt, ReportedMachine, ReportingQuery
from gladecroft.protocol.settings import Team
from test_epochs import clock_at
from test_fencing import SPEC, CoreHarness

VALUE_KB = 4.0


def cluster_state_with_job(tasks: int) -> ClusterState:
    cluster_state = ClusterState([Team("t", 0.0, 0.0)], VALUE_KB)
    spec = msgspec.structs.replace(SPEC, kind=wire.JobKind.ARRAY, tasks=tasks)
    cluster_state.apply("g/j/wk-1", msgspec.json.encode(rec.JobRecord(spec, 0)), 1)
    return cluster_state


def test_full_chunk_of_stopping_tasks_drops_notes_to_fit() -> None:
    cluster_state = cluster_state_with_job(300)
    job = cluster_state.jobs["wk-1"]
    txn = TransactionBuilder(cluster_state, 8, 52_000)
    for number in range(job.chunk_size):
        machine = f"m-{number:06d}"
        assert txn.task_fits(job, number, machine)
        txn.set_task(
            job, number, TaskRecord(TaskState.STOPPING, 12, machine, 99, "evicted for wk-12345678", 1_790_000_000)
        )
    assert txn.finish()
    value = txn.writes[rec.chunk_key("wk-1", 0)] or b""
    assert len(value) <= VALUE_KB * 1024
    tasks = msgspec.json.decode(value, type=rec.ChunkRecord).tasks
    assert len(tasks) == job.chunk_size and all(task.machine and not task.note for task in tasks)


def test_tasks_stay_queued_if_long_machine_names_would_overflow_their_chunk() -> None:
    cluster_state = cluster_state_with_job(300)
    job = cluster_state.jobs["wk-1"]
    txn = TransactionBuilder(cluster_state, 8, 52_000)
    name = "machine-" + "x" * 80
    placed = 0
    while placed < job.chunk_size and txn.task_fits(job, placed, name):
        txn.set_task(job, placed, TaskRecord(TaskState.ACTIVE, 1, name, 0, "", 1_790_000_000))
        placed += 1
    assert 20 < placed < job.chunk_size
    assert txn.finish()
    assert len(txn.writes[rec.chunk_key("wk-1", 0)] or b"") <= VALUE_KB * 1024


def test_machines_that_do_not_fit_into_the_outbox_get_records() -> None:
    harness = CoreHarness()
    state_writer, cluster_state = harness.core.state_writer, harness.core.context.cluster_state
    cluster_state.max_value_bytes = 1024
    for number in range(40):
        cluster_state.add_reported_machine(
            f"m-1{number:05d}", rec.MachineRecord("g", "a", False, f"10.1.9.{number}:9000")
        )
    state_writer.exit_tracker.overdue_announcements = dict.fromkeys(cluster_state.reported_machines)
    txn = TransactionBuilder(cluster_state, 100, 52_000)
    state_writer.exit_tracker.compose_outbox(txn, state_writer.machine_writes)
    value = txn.writes[rec.outbox_key("n0")] or b""
    announced = {machine.name for machine in msgspec.json.decode(value, type=rec.OutboxRecord).reported_machines}
    assert len(value) <= 1024 and 5 < len(announced) < 40
    assert announced | set(state_writer.machine_writes) == set(cluster_state.reported_machines) and not announced & set(
        state_writer.machine_writes
    )


def test_exits_in_outbox_are_ignored_under_another_epoch() -> None:
    for epoch, accepted in ((1, True), (2, False)):
        harness = CoreHarness()
        harness.core.membership.assignment.team_homes["t"] = "n0"
        harness.place_task(TaskState.ACTIVE)
        ended = [EndedAttempt("wk-1", 0, 1, True)]
        reported_machines = [ReportedMachine("m-7", "g", "a", False, "10.1.0.7:9000")]
        harness.put_record("g/x/n1", rec.OutboxRecord(epoch, ended, reported_machines))
        harness.step([])
        assert (("wk-1", 0, 1) in harness.core.state_writer.exits) is accepted
        assert "m-7" in harness.core.context.cluster_state.machines


def test_delayed_report_does_not_restore_returned_machine_without_record() -> None:
    cluster_state = cluster_state_with_job(1)
    record = rec.MachineRecord("g", "a", False, "10.1.0.7:9000")
    cluster_state.add_reported_machine("m-7", record)
    cluster_state.remove_machine("m-7")
    cluster_state.add_reported_machine("m-7", record)
    assert "m-7" not in cluster_state.machines and cluster_state.was_returned("m-7")


def test_machines_known_by_reports_are_forgotten_when_all_records_are_read_again() -> None:
    # Guards against tasks that wait for a machine that was returned, and its record deleted, during a gap of the watch.
    cluster_state = cluster_state_with_job(1)
    cluster_state.add_reported_machine("m-7", rec.MachineRecord("g", "a", False, "10.1.0.7:9000"))
    cluster_state.reset()
    assert not cluster_state.machines and not cluster_state.reported_machines


def test_machine_in_unknown_zone_has_no_owner() -> None:
    harness = CoreHarness()
    membership = harness.core.membership
    assert membership.owner("m-99") is None
    assert membership.owner("m-99", "a") is not None
    assert membership.owner("m-1") == "n0"
    # Without an owner, no controller may declare the tasks that are recorded on the machine lost.
    harness.put_record("g/p/wk-1/0", rec.ChunkRecord([TaskRecord(TaskState.ACTIVE, 1, "m-99")]))
    for _ in range(200):
        harness.step([])
    assert not harness.core.state_writer.exits


def test_resources_of_unrecorded_exits_count_as_free() -> None:
    harness = CoreHarness()
    cluster_state = harness.core.context.cluster_state
    harness.place_task(TaskState.ACTIVE)
    assert cluster_state.used_on("m-1")[0] == SPEC.cpus
    cluster_state.set_unrecorded_exit(("wk-1", 0), 1)
    assert cluster_state.used_on("m-1")[0] == 0.0 and cluster_state.tasks_on("m-1") == []
    assert cluster_state.used_by_team("t")[0] == SPEC.cpus  # team limits are checked against recorded usage
    cluster_state.set_unrecorded_exit(("wk-1", 0), None)
    assert cluster_state.used_on("m-1")[0] == SPEC.cpus


def test_task_on_unknown_machine_counts_in_every_zone() -> None:
    harness = CoreHarness()
    spec = msgspec.structs.replace(
        SPEC,
        id="wk-2",
        kind=wire.JobKind.SERVICE,
        tasks=4,
        spread=True,
        one_zone=False,
        types=None,
        zone=None,
        cpus=1.0,
        gpus=0.0,
    )
    harness.put_record("g/j/wk-2", rec.JobRecord(spec, 0))
    queued = TaskRecord(TaskState.QUEUED)
    on_unknown_machine = TaskRecord(TaskState.ACTIVE, 1, "m-99")
    harness.put_record("g/p/wk-2/0", rec.ChunkRecord([on_unknown_machine, on_unknown_machine, queued, queued]))
    job, scheduler = harness.core.context.cluster_state.jobs["wk-2"], harness.core.scheduler
    assert scheduler.zone_counts_and_cap(job) == ({}, 0)
    # No task is placed, although no zone is known to have reached its maximum.
    scheduler.candidate_cache.set_types({"g": wire.MachineType("g", 16.0, 64.0, 1.0, 0.4, 30.0, ["a", "b"])})
    harness.core.membership.assignment.team_homes["t"] = "n0"
    harness.put_record(rec.team_key("t"), rec.TeamRecord("n0", 7))
    harness.token = 1 << 24  # the machine has received this owner's token
    harness.step([IncomingRequest(90, RequestKind.REPORT, harness.report())])

    def placed() -> list[str]:
        txn = TransactionBuilder(harness.core.context.cluster_state, 12, 52_000)
        scheduler.place(txn)
        return [note for note in txn.log_messages if note.startswith("wk-2/")]

    assert placed() == []
    harness.core.context.cluster_state.add_reported_machine(
        "m-99", rec.MachineRecord("g", "b", False, "10.1.0.99:9000")
    )
    assert scheduler.zone_counts_and_cap(job) == ({"b": 2}, 2)
    assert {note.split()[-1] for note in placed()} == {"m-1"}


def test_owner_replies_which_machines_report_only_after_settling() -> None:
    harness = CoreHarness()

    def query_reporting(at_s: float) -> tuple[int, bytes]:
        harness.request_id += 1
        body = msgspec.json.encode(ReportingQuery(["m-1", "m-8"]))
        effects = harness.core.step(
            clock_at(at_s), [IncomingRequest(harness.request_id, RequestKind.QUERY_REPORTING, body)]
        )
        reply = next(
            effect for effect in effects if isinstance(effect, Reply) and effect.request_id == harness.request_id
        )
        return reply.status, reply.body

    assert harness.core.membership.is_active()
    assert query_reporting(101)[0] == 503
    harness.token = 1 << 24  # the machine has received this owner's token
    for at in range(102, 110):
        harness.core.step(clock_at(at), [])
    harness.core.step(clock_at(110), [IncomingRequest(90, RequestKind.REPORT, harness.report())])
    assert query_reporting(110.5) == (200, b'{"machines":["m-1"]}')
    for at in range(111, 130):
        harness.core.step(clock_at(at), [])
    assert query_reporting(130) == (200, b'{"machines":[]}')
