"""Every record fits the value that the state service takes, and is never cut off in silence."""

from __future__ import annotations

import msgspec

from gladecroft.bookkeeping import records as rec
from gladecroft.bookkeeping.cluster_state import Picture
from gladecroft.bookkeeping.records import TaskRecord, TaskState
from gladecroft.bookkeeping.transaction import Change
from gladecroft.coordination.events import Asked, Reply, Verb
from gladecroft.protocol import wire
from gladecroft.protocol.peers import EndedAttempt, HeardMachine, Names
from gladecroft.protocol.settings import Team
from test_epochs import clock
from test_fencing import SPEC, Rig

KB = 4.0


def picture(tasks: int) -> Picture:
    made = Picture([Team("t", 0.0, 0.0)], KB)
    spec = msgspec.structs.replace(SPEC, kind=wire.Kind.ARRAY, tasks=tasks)
    made.apply("g/j/wk-1", msgspec.json.encode(rec.JobRecord(spec, 0)), 1)
    return made


def test_a_full_chunk_of_stopping_tasks_drops_its_notes_and_fits() -> None:
    made = picture(300)
    job = made.jobs["wk-1"]
    change = Change(made, 8, 52_000)
    for number in range(job.size):
        machine = f"m-{number:06d}"
        assert change.holds(job, number, machine)
        change.set_task(
            job, number, TaskRecord(TaskState.STOPPING, 12, machine, 99, "evicted for wk-12345678", 1_790_000_000)
        )
    assert change.finish()
    value = change.puts[rec.chunk_key("wk-1", 0)] or b""
    assert len(value) <= KB * 1024
    tasks = msgspec.json.decode(value, type=rec.ChunkRecord).tasks
    assert len(tasks) == job.size and all(task.machine and not task.note for task in tasks)


def test_tasks_on_machines_with_long_names_wait_rather_than_overflow_their_chunk() -> None:
    made = picture(300)
    job = made.jobs["wk-1"]
    change = Change(made, 8, 52_000)
    name = "machine-" + "x" * 80
    placed = 0
    while placed < job.size and change.holds(job, placed, name):
        change.set_task(job, placed, TaskRecord(TaskState.ACTIVE, 1, name, 0, "", 1_790_000_000))
        placed += 1
    assert 20 < placed < job.size
    assert change.finish()
    assert len(change.puts[rec.chunk_key("wk-1", 0)] or b"") <= KB * 1024


def test_mail_holds_what_fits_and_the_rest_of_the_machines_get_records() -> None:
    rig = Rig()
    ledger, made = rig.core.ledger, rig.core.node.picture
    made.value_bytes = 1024
    for number in range(40):
        made.hear(f"m-1{number:05d}", rec.MachineRecord("g", "a", False, f"10.1.9.{number}:9000"))
    ledger.ends.untold_machines = dict.fromkeys(made.heard)
    change = Change(made, 100, 52_000)
    ledger.ends.compose_mail(change, ledger.machine_puts)
    value = change.puts[rec.mail_key("n0")] or b""
    told = {heard.name for heard in msgspec.json.decode(value, type=rec.MailRecord).heard}
    assert len(value) <= 1024 and 5 < len(told) < 40
    assert told | set(ledger.machine_puts) == set(made.heard) and not told & set(ledger.machine_puts)


def test_mail_is_read_under_its_epoch_only() -> None:
    for epoch, taken in ((1, True), (2, False)):
        rig = Rig()
        rig.core.membership.parts.homes["t"] = "n0"
        rig.place(TaskState.ACTIVE)
        ended = [EndedAttempt("wk-1", 0, 1, True)]
        heard = [HeardMachine("m-7", "g", "a", False, "10.1.0.7:9000")]
        rig.put("g/x/n1", rec.MailRecord(epoch, ended, heard))
        rig.step([])
        assert (("wk-1", 0, 1) in rig.core.ledger.exits) is taken
        assert "m-7" in rig.core.node.picture.machines


def test_a_machine_without_a_record_that_was_returned_is_not_heard_of_again() -> None:
    made = picture(1)
    record = rec.MachineRecord("g", "a", False, "10.1.0.7:9000")
    made.hear("m-7", record)
    made.forget_machine("m-7")
    made.hear("m-7", record)
    assert "m-7" not in made.machines and made.buried("m-7")


def test_nobody_owns_a_machine_whose_zone_is_not_known() -> None:
    rig = Rig()
    membership = rig.core.membership
    assert membership.owner("m-99") is None
    assert membership.owner("m-99", "a") is not None
    assert membership.owner("m-1") == "n0"
    # What the records place there is nobody's to call lost.
    rig.put("g/p/wk-1/0", rec.ChunkRecord([TaskRecord(TaskState.ACTIVE, 1, "m-99")]))
    for _ in range(200):
        rig.step([])
    assert not rig.core.ledger.exits


def test_room_of_what_has_ended_counts_as_free_before_the_records_say_so() -> None:
    rig = Rig()
    made = rig.core.node.picture
    rig.place(TaskState.ACTIVE)
    assert made.used_on("m-1")[0] == SPEC.cpus
    made.end(("wk-1", 0), 1)
    assert made.used_on("m-1")[0] == 0.0 and made.residents("m-1") == []
    assert made.used_by_team("t")[0] == SPEC.cpus  # the limit goes by the records
    made.end(("wk-1", 0), None)
    assert made.used_on("m-1")[0] == SPEC.cpus


def test_a_task_on_an_unknown_machine_counts_in_every_zone() -> None:
    rig = Rig()
    spec = msgspec.structs.replace(
        SPEC,
        id="wk-2",
        kind=wire.Kind.SERVICE,
        tasks=4,
        spread=True,
        one_zone=False,
        types=None,
        zone=None,
        cpus=1.0,
        gpus=0.0,
    )
    rig.put("g/j/wk-2", rec.JobRecord(spec, 0))
    waiting = TaskRecord(TaskState.QUEUED)
    there = TaskRecord(TaskState.ACTIVE, 1, "m-99")
    rig.put("g/p/wk-2/0", rec.ChunkRecord([there, there, waiting, waiting]))
    job, placers = rig.core.node.picture.jobs["wk-2"], rig.core.placers
    assert placers.zone_room(job) == ({}, 0)
    # Nor is anything placed then, though no zone is known to be full.
    placers.floor.set_types({"g": wire.MachineType("g", 16.0, 64.0, 1.0, 0.4, 30.0, ["a", "b"])})
    rig.core.membership.parts.homes["t"] = "n0"
    rig.put(rec.team_key("t"), rec.TeamRecord("n0", 7))
    rig.token = 1 << 24  # the machine has heard this owner
    rig.step([Asked(90, Verb.REPORT, rig.report())])

    def placed() -> list[str]:
        change = Change(rig.core.node.picture, 12, 52_000)
        placers.place(change)
        return [note for note in change.notes if note.startswith("wk-2/")]

    assert placed() == []
    rig.core.node.picture.hear("m-99", rec.MachineRecord("g", "b", False, "10.1.0.99:9000"))
    assert placers.zone_room(job) == ({"b": 2}, 2)
    assert {note.split()[-1] for note in placed()} == {"m-1"}


def test_an_owner_not_long_in_office_does_not_say_that_it_does_not_hear_a_machine() -> None:
    rig = Rig()

    def ask(at: float) -> tuple[int, bytes]:
        rig.number += 1
        body = msgspec.json.encode(Names(["m-1", "m-8"]))
        effects = rig.core.step(clock(at), [Asked(rig.number, Verb.HEARS, body)])
        reply = next(effect for effect in effects if isinstance(effect, Reply) and effect.number == rig.number)
        return reply.status, reply.body

    assert rig.core.membership.entitled()
    assert ask(101)[0] == 503
    rig.token = 1 << 24  # it has heard this owner
    for at in range(102, 110):
        rig.core.step(clock(at), [])
    rig.core.step(clock(110), [Asked(90, Verb.REPORT, rig.report())])
    assert ask(110.5) == (200, b'{"machines":["m-1"]}')
    for at in range(111, 130):
        rig.core.step(clock(at), [])
    assert ask(130) == (200, b'{"machines":[]}')
