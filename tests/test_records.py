"""Every record fits the value that the state service takes, and is never cut off in silence."""

from __future__ import annotations

import msgspec

from gladecroft.bookkeeping import records as rec
from gladecroft.bookkeeping.cluster_state import ClusterState
from gladecroft.bookkeeping.records import TaskRecord, TaskState
from gladecroft.bookkeeping.transaction import TransactionBuilder
from gladecroft.coordination.events import IncomingRequest, Reply, RequestKind
from gladecroft.protocol import wire
from gladecroft.protocol.peers import EndedAttempt, ReportedMachine, ReportingMachines
from gladecroft.protocol.settings import Team
from test_epochs import clock_at
from test_fencing import SPEC, CoreHarness

KB = 4.0


def picture(tasks: int) -> ClusterState:
    made = ClusterState([Team("t", 0.0, 0.0)], KB)
    spec = msgspec.structs.replace(SPEC, kind=wire.JobKind.ARRAY, tasks=tasks)
    made.apply("g/j/wk-1", msgspec.json.encode(rec.JobRecord(spec, 0)), 1)
    return made


def test_a_full_chunk_of_stopping_tasks_drops_its_notes_and_fits() -> None:
    made = picture(300)
    job = made.jobs["wk-1"]
    txn = TransactionBuilder(made, 8, 52_000)
    for number in range(job.chunk_size):
        machine = f"m-{number:06d}"
        assert txn.task_fits(job, number, machine)
        txn.set_task(
            job, number, TaskRecord(TaskState.STOPPING, 12, machine, 99, "evicted for wk-12345678", 1_790_000_000)
        )
    assert txn.finish()
    value = txn.writes[rec.chunk_key("wk-1", 0)] or b""
    assert len(value) <= KB * 1024
    tasks = msgspec.json.decode(value, type=rec.ChunkRecord).tasks
    assert len(tasks) == job.chunk_size and all(task.machine and not task.note for task in tasks)


def test_tasks_on_machines_with_long_names_wait_rather_than_overflow_their_chunk() -> None:
    made = picture(300)
    job = made.jobs["wk-1"]
    txn = TransactionBuilder(made, 8, 52_000)
    name = "machine-" + "x" * 80
    placed = 0
    while placed < job.chunk_size and txn.task_fits(job, placed, name):
        txn.set_task(job, placed, TaskRecord(TaskState.ACTIVE, 1, name, 0, "", 1_790_000_000))
        placed += 1
    assert 20 < placed < job.chunk_size
    assert txn.finish()
    assert len(txn.writes[rec.chunk_key("wk-1", 0)] or b"") <= KB * 1024


def test_mail_holds_what_fits_and_the_rest_of_the_machines_get_records() -> None:
    rig = CoreHarness()
    state_writer, made = rig.core.state_writer, rig.core.context.cluster_state
    made.max_value_bytes = 1024
    for number in range(40):
        made.add_reported_machine(f"m-1{number:05d}", rec.MachineRecord("g", "a", False, f"10.1.9.{number}:9000"))
    state_writer.exit_tracker.unannounced_machines = dict.fromkeys(made.reported_machines)
    txn = TransactionBuilder(made, 100, 52_000)
    state_writer.exit_tracker.compose_mail(txn, state_writer.machine_writes)
    value = txn.writes[rec.outbox_key("n0")] or b""
    told = {heard.name for heard in msgspec.json.decode(value, type=rec.OutboxRecord).heard}
    assert len(value) <= 1024 and 5 < len(told) < 40
    assert told | set(state_writer.machine_writes) == set(made.reported_machines) and not told & set(
        state_writer.machine_writes
    )


def test_mail_is_read_under_its_epoch_only() -> None:
    for epoch, taken in ((1, True), (2, False)):
        rig = CoreHarness()
        rig.core.membership.assignment.team_homes["t"] = "n0"
        rig.place_task(TaskState.ACTIVE)
        ended = [EndedAttempt("wk-1", 0, 1, True)]
        heard = [ReportedMachine("m-7", "g", "a", False, "10.1.0.7:9000")]
        rig.put_record("g/x/n1", rec.OutboxRecord(epoch, ended, heard))
        rig.step([])
        assert (("wk-1", 0, 1) in rig.core.state_writer.exits) is taken
        assert "m-7" in rig.core.context.cluster_state.machines


def test_a_machine_without_a_record_that_was_returned_is_not_heard_of_again() -> None:
    made = picture(1)
    record = rec.MachineRecord("g", "a", False, "10.1.0.7:9000")
    made.add_reported_machine("m-7", record)
    made.remove_machine("m-7")
    made.add_reported_machine("m-7", record)
    assert "m-7" not in made.machines and made.was_returned("m-7")


def test_nobody_owns_a_machine_whose_zone_is_not_known() -> None:
    rig = CoreHarness()
    membership = rig.core.membership
    assert membership.owner("m-99") is None
    assert membership.owner("m-99", "a") is not None
    assert membership.owner("m-1") == "n0"
    # What the records place there is nobody's to call lost.
    rig.put_record("g/p/wk-1/0", rec.ChunkRecord([TaskRecord(TaskState.ACTIVE, 1, "m-99")]))
    for _ in range(200):
        rig.step([])
    assert not rig.core.state_writer.exits


def test_room_of_what_has_ended_counts_as_free_before_the_records_say_so() -> None:
    rig = CoreHarness()
    made = rig.core.context.cluster_state
    rig.place_task(TaskState.ACTIVE)
    assert made.used_on("m-1")[0] == SPEC.cpus
    made.set_unrecorded_exit(("wk-1", 0), 1)
    assert made.used_on("m-1")[0] == 0.0 and made.tasks_on("m-1") == []
    assert made.used_by_team("t")[0] == SPEC.cpus  # the limit goes by the records
    made.set_unrecorded_exit(("wk-1", 0), None)
    assert made.used_on("m-1")[0] == SPEC.cpus


def test_a_task_on_an_unknown_machine_counts_in_every_zone() -> None:
    rig = CoreHarness()
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
    rig.put_record("g/j/wk-2", rec.JobRecord(spec, 0))
    waiting = TaskRecord(TaskState.QUEUED)
    there = TaskRecord(TaskState.ACTIVE, 1, "m-99")
    rig.put_record("g/p/wk-2/0", rec.ChunkRecord([there, there, waiting, waiting]))
    job, scheduler = rig.core.context.cluster_state.jobs["wk-2"], rig.core.scheduler
    assert scheduler.zone_counts_and_cap(job) == ({}, 0)
    # Nor is anything placed then, though no zone is known to be full.
    scheduler.candidate_cache.set_types({"g": wire.MachineType("g", 16.0, 64.0, 1.0, 0.4, 30.0, ["a", "b"])})
    rig.core.membership.assignment.team_homes["t"] = "n0"
    rig.put_record(rec.team_key("t"), rec.TeamRecord("n0", 7))
    rig.token = 1 << 24  # the machine has heard this owner
    rig.step([IncomingRequest(90, RequestKind.REPORT, rig.report())])

    def placed() -> list[str]:
        txn = TransactionBuilder(rig.core.context.cluster_state, 12, 52_000)
        scheduler.place(txn)
        return [note for note in txn.log_messages if note.startswith("wk-2/")]

    assert placed() == []
    rig.core.context.cluster_state.add_reported_machine("m-99", rec.MachineRecord("g", "b", False, "10.1.0.99:9000"))
    assert scheduler.zone_counts_and_cap(job) == ({"b": 2}, 2)
    assert {note.split()[-1] for note in placed()} == {"m-1"}


def test_an_owner_not_long_in_office_does_not_say_that_it_does_not_hear_a_machine() -> None:
    rig = CoreHarness()

    def ask(at: float) -> tuple[int, bytes]:
        rig.request_id += 1
        body = msgspec.json.encode(ReportingMachines(["m-1", "m-8"]))
        effects = rig.core.step(clock_at(at), [IncomingRequest(rig.request_id, RequestKind.QUERY_REPORTING, body)])
        reply = next(effect for effect in effects if isinstance(effect, Reply) and effect.request_id == rig.request_id)
        return reply.status, reply.body

    assert rig.core.membership.is_active()
    assert ask(101)[0] == 503
    rig.token = 1 << 24  # it has heard this owner
    for at in range(102, 110):
        rig.core.step(clock_at(at), [])
    rig.core.step(clock_at(110), [IncomingRequest(90, RequestKind.REPORT, rig.report())])
    assert ask(110.5) == (200, b'{"machines":["m-1"]}')
    for at in range(111, 130):
        rig.core.step(clock_at(at), [])
    assert ask(130) == (200, b'{"machines":[]}')
