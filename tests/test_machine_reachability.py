"""Whether a machine hears its owner, and what a copy of an old report may not prove."""

from __future__ import annotations

import random
from datetime import timedelta
from pathlib import Path
from typing import Any

import msgspec
import pytest

from gladecroft.bookkeeping import records as rec
from gladecroft.bookkeeping.records import TaskRecord, TaskState
from gladecroft.coordination.consent import PeerConsent
from gladecroft.coordination.events import IncomingRequest, RequestKind
from gladecroft.coordination.machines.machine import Machine
from gladecroft.coordination.machines.misrouted_reports import MisroutedReports
from gladecroft.coordination.membership import Membership
from gladecroft.lab.scenario import Scenario
from test_fencing import CoreHarness

BASE = 1 << 24  # the tokens of epoch 1 begin here


def ended(rig: CoreHarness, token: int, session: int, seq: int) -> bytes:
    """A report that calls the placed attempt ended."""
    rig.token, rig.report_number = token, seq - 1
    rig.tasks["wk-1/0"] = {"portion": "wk-1/0", "try": 1, "status": "exited", "cause": "halted"}
    return rig.report().replace(b'"shift":1', b'"shift":%d' % session)


def test_an_end_in_a_copy_from_before_this_owner_proves_nothing(monkeypatch: pytest.MonkeyPatch) -> None:
    def first_report(token: int) -> CoreHarness:
        rig = CoreHarness()
        rig.place_task(TaskState.ACTIVE)
        rig.step([IncomingRequest(1, RequestKind.REPORT, ended(rig, token, 1, 5))])
        return rig

    # The machine may be in its second session, in which a former owner has started the same attempt again.
    assert not first_report(BASE - 1).core.state_writer.exits
    assert first_report(BASE).core.state_writer.exits
    # The guard is what keeps it from counting.
    monkeypatch.setattr(Machine, "acknowledges", lambda self, report, now, answer: True)
    assert first_report(BASE - 1).core.state_writer.exits


def test_copies_that_come_one_after_the_other_show_nothing_either() -> None:
    rig = CoreHarness()
    rig.place_task(TaskState.ACTIVE)
    for seq in (5, 6, 7):
        rig.step([IncomingRequest(seq, RequestKind.REPORT, ended(rig, BASE - 1, 1, seq))])
    machine = rig.core.machine_manager.machines["m-1"]
    assert machine.acked_at is None and not rig.core.state_writer.exits
    assert "m-1" not in rig.core.scheduler.candidate_cache.candidates


def test_a_machine_is_deaf_once_it_shows_nothing_for_a_lease_and_hears_again_when_it_shows() -> None:
    rig = CoreHarness()
    lease = rig.core.context.machine_lease.total_seconds()

    def report(at: float, token: int) -> int:
        rig.now_s, rig.token = at - 0.6, token
        rig.request_id += 1
        return rig.step([IncomingRequest(rig.request_id, RequestKind.REPORT, rig.report())])[0].status

    machine = rig.core.machine_manager.ensure_machine("m-1")
    assert report(110, BASE) == 200 and machine.acked_at is not None
    # It comes back as one does that got no answer: asked to show, it does not.
    assert report(125, BASE) == 200 and machine.ack_token is not None and not machine.suspect
    assert report(110 + lease + 12, BASE) == 503 and machine.suspect
    # Refused, it comes at once to the next controller and back: so it hears.
    assert report(110 + lease + 14, BASE) == 200 and not machine.suspect
    # One that takes its time but shows the token has heard all along.
    assert report(200, BASE) == 200 and machine.ack_token is not None
    assert report(230, machine.ack_token) == 200 and machine.ack_token is None


DEEDS = (
    "deaf busiest for={s}", "mute {n} for={s}", "copies share=0.4 late=50 for={s}", "crash {n} for={q}",
    "crash leader for={q}", "island {n} for={s}", "reboot busiest for={q}", "cut-machine busiest for={s}",
    "cut {n} workers for={s} mode=hold", "freeze {n} for={s}", "down {n} for={s}", "refuse {n} for={s}",
    "outage for={s}", "hang busiest for={s}", "die busiest", "late share=0.2 lose=0.1 for=6", "cancel {j}",
)  # fmt: skip


def draw(seed: int) -> str:
    """A drawn history: some work, and up to nine troubles, alone and together, over by 110 s."""
    drawn = random.Random(seed)
    nodes = drawn.choice([2, 3, 3, 5])
    lines = [
        f"nodes {nodes}", "team t cpus=40 max=300", "team u cpus=0 max=0",
        "type g16 cpus=16 memory=64 boot=8", "up g16 count=2", "up g16 zone=b count=2",
    ]  # fmt: skip
    # Something always runs, so that there is a busiest machine.
    lines.append("at 1 submit wk-9 team=t kind=service tasks=4 cpus=1 spread=yes")
    jobs = []
    for number in range(7):
        name = f"wk-{number}"
        jobs.append(name)
        kind = drawn.choice(["kind=service", "run=8", "run=20", "run=20 checkpoint=5 save=1", "run=5 broken=yes"])
        spread = drawn.choice(["", "spread=yes", "one_zone=yes"])
        lines.append(
            f"at {drawn.uniform(1, 50):.1f} submit {name} team={drawn.choice('tu')} tasks={drawn.randint(1, 9)}"
            f" cpus={drawn.choice([1, 2, 4])} memory=2 {kind} {spread}"
        )
    for _ in range(drawn.randint(3, 9)):
        at = drawn.uniform(5, 80)
        words = {
            "n": f"n{drawn.randrange(nodes)}",
            "s": f"{drawn.choice([2, 8, 15, 25, 30]):g}",
            "q": f"{drawn.choice([0.1, 0.3, 1, 5]):g}",
            "j": drawn.choice(jobs),
        }
        if at + float(words["s"]) > 110:
            words["s"] = f"{110 - at:.1f}"
        deed = drawn.choice(DEEDS).format(**words)
        lines.append(f"at {max(at, 51.0) if deed.startswith('cancel') else at:.1f} {deed}")
    return "\n".join([*lines, "run 215"])


@pytest.mark.parametrize("seed", range(60))
def test_no_rule_breaks_in_drawn_histories(seed: int) -> None:
    scenario = Scenario(draw(seed), seed).run()
    assert scenario.oracle.broken == [], draw(seed)
    for name, user in scenario.users.items():
        spec: dict[str, Any] = scenario.jobs[name]
        if user.accepted and name not in scenario.oracle.cancel_wanted and not spec["broken"]:
            assert any(start[1][0] == name for start in scenario.oracle.starts), (name, draw(seed))


def test_a_large_array_costs_changes_by_its_chunks() -> None:
    writes: dict[int, int] = {}
    for tasks in (100, 1000):
        text = f"""
set machine.idle=3600
team t cpus=0 max=0
type g16 cpus=16 memory=64 boot=10 count=30
up g16 count=20
state rps=200 write_rps=50 txn_ops=24
at 20 submit wk-1 team=t tasks={tasks} cpus=0.25 memory=0.45 run=4 priority=best_effort
run 20
"""
        scenario = Scenario(text, 1).run()
        commit = scenario.state._commit
        count = [0]

        def counted(txn: Any, reply: Any, commit: Any = commit, count: Any = count) -> None:
            count[0] += sum("write" in op and op["write"].startswith(rec.CHUNKS) for op in txn.get("apply") or [])
            commit(txn, reply)

        scenario.state._commit = counted  # type: ignore[method-assign]
        scenario._act(["run", "80"])
        assert scenario.oracle.broken == [] and scenario.oracle.told["wk-1"] == "done"
        writes[tasks] = count[0]
    assert writes[100] <= 8 and writes[1000] <= 40


def test_tasks_that_take_nothing_do_not_all_go_to_one_machine() -> None:
    text = """
set machine.idle=3600
team t cpus=0 max=0
type g16 cpus=16 memory=64 boot=10 count=30
up g16 count=3
at 5 submit wk-1 team=t tasks=1000 cpus=0 memory=0 run=10
run 16
"""
    scenario = Scenario(text, 1).run()
    there = [len(worker.tasks) for worker in scenario.cloud.machines.values()]
    assert sum(there) > 400 and max(there) <= 400
    assert scenario.oracle.broken == []


def test_what_is_done_of_a_large_array_is_not_looked_through() -> None:
    rig = CoreHarness()
    size = rig.core.context.cluster_state.chunk_size
    spec = msgspec.structs.replace(rig.core.context.cluster_state.jobs["wk-1"].spec, id="wk-2", tasks=3 * size)
    rig.put_record("g/j/wk-2", rec.JobRecord(spec, 0))
    done, waits = TaskRecord(TaskState.DONE, 1), TaskRecord()
    rig.put_record("g/p/wk-2/0", rec.ChunkRecord([done] * size))
    rig.put_record("g/p/wk-2/1", rec.ChunkRecord([done] * (size - 1) + [waits]))
    job = rig.core.context.cluster_state.jobs["wk-2"]
    assert next(iter(job.queued_numbers())) == 2 * size - 1 and len(list(job.queued_numbers())) == size + 1
    rig.put_record("g/p/wk-2/0", rec.ChunkRecord([waits] + [done] * (size - 1)))
    assert next(iter(job.queued_numbers())) == 0


def test_what_is_on_a_machine_that_never_hears_its_new_owner_is_proven_gone(monkeypatch: pytest.MonkeyPatch) -> None:
    def reports() -> bool:
        rig = CoreHarness()
        rig.place_task(TaskState.ACTIVE)
        for at in range(110, 260, 15):
            rig.now_s, rig.token = at - 0.6, BASE - 1
            rig.request_id += 1
            rig.step([IncomingRequest(rig.request_id, RequestKind.REPORT, rig.report())])
            for _ in range(20):
                rig.step([])  # 0.6 s each
        return ("wk-1", 0, 1) in rig.core.state_writer.exits

    assert reports()
    # Answered for ever, its lease would never have ended.
    monkeypatch.setattr(Machine, "ack_overdue", lambda self, now, lease: False)
    assert not reports()


def test_without_asking_the_machine_each_visit_of_a_deaf_one_costs_an_epoch(monkeypatch: pytest.MonkeyPatch) -> None:
    text = (Path(__file__).parent / "scenarios/deaf_from_the_start.txt").read_text(encoding="utf-8")
    assert Scenario(text, 1).run().failures == []
    monkeypatch.setattr(MisroutedReports, "_probe", lambda self, name, addr: self._request_move(name))
    assert any(failure.startswith("epoch") for failure in Scenario(text, 1).run().failures)


def test_a_wish_for_a_machine_outlasts_epochs_that_leave_it_where_it_is() -> None:
    rig = CoreHarness()
    membership = rig.core.membership

    def epoch(number: int, moved: dict[str, str]) -> None:
        rig.put_record(rec.EPOCH, rec.EpochRecord(number, "n1", {"n0": 7, "n1": 8}, moved))
        rig.step([])

    epoch(2, {"m-1": "n1", "m-2": "n1"})
    membership.request_move("m-1")
    epoch(3, {"m-1": "n1", "m-2": "n0"})  # another's wish
    assert list(membership._move_requests) == ["m-1"]
    epoch(4, {"m-1": "n0", "m-2": "n0"})
    assert not membership._move_requests
    epoch(5, {"m-1": "n1"})
    membership.request_move("m-1")
    rig.now_s += 10
    rig.step([])
    membership._keep_wishes()
    assert not membership._move_requests


def test_a_new_epoch_is_no_break_in_office_but_standing_still_is() -> None:
    rig = CoreHarness()
    membership = rig.core.membership
    for _ in range(15):
        rig.step([])  # 0.6 s each
    assert membership.active_for(timedelta(seconds=6))
    rig.put_record(rec.EPOCH, rec.EpochRecord(2, "n1", {"n0": 7, "n1": 8}, {"m-1": "n0"}))
    rig.core.context.cluster_state.revision -= 1  # the watch has not brought it yet
    rig.step([])
    assert not membership.is_active()
    rig.core.context.cluster_state.revision += 1
    rig.now_s -= 0.5
    rig.step([])
    assert membership.active_for(timedelta(seconds=6))
    rig.now_s += 5  # it stood still
    rig.step([])
    assert not membership.active_for(timedelta(seconds=6))


def test_who_may_not_act_sends_others_machines_to_their_owners_at_once(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(PeerConsent, "may_answer_machines", lambda self: True)

    def played() -> tuple[list[int], int]:
        """The answers to two reports of another's machine in an outage, and how often reports are handled."""
        rig = CoreHarness()
        rig.put_record(rec.EPOCH, rec.EpochRecord(2, "n1", {"n0": 7, "n1": 8}, {"m-1": "n1"}))
        for _ in range(30):
            rig.step([])
        rig.core.membership.active_until = timedelta()
        handled = [0]
        reported = rig.core.machine_manager.misrouted._handle_report

        def counted(request: IncomingRequest) -> None:
            handled[0] += 1
            reported(request)

        rig.core.machine_manager.misrouted._handle_report = counted
        statuses = []
        for number in (5, 6):
            rig.request_id, rig.token, rig.report_number = number, BASE - 1, number
            replies = rig.step([IncomingRequest(number, RequestKind.REPORT, rig.report())])
            for _ in range(10):
                replies += rig.step([])
            statuses += [reply.status for reply in replies]
        return statuses, handled[0]

    assert played() == ([421, 421], 0)
    # Kept though nothing can be moved, a report is handled anew with every step, and not answered.
    monkeypatch.setattr(MisroutedReports, "handle_report", _kept_anyway(MisroutedReports.handle_report))
    statuses, handled = played()
    assert statuses == [421] and handled >= 10


def _kept_anyway(visited: Any) -> Any:
    """As if the controller might act, as far as keeping a report goes."""

    def kept(self: MisroutedReports, request: IncomingRequest, machine: str, owner: str | None, addr: str = "") -> None:
        with pytest.MonkeyPatch.context() as patch:
            patch.setattr(Membership, "is_active", lambda membership: True)
            patch.setattr(Membership, "active_for", lambda membership, span: False)
            visited(self, request, machine, owner, addr)

    return kept
