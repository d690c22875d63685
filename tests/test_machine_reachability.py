"""Machines that do not receive their owner's replies, stale reports, moves, large arrays, and randomized scenarios."""

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

FIRST_TOKEN = 1 << 24  # first fencing token of epoch 1


def exit_report(harness: CoreHarness, token: int, session: int, seq: int) -> bytes:
    """A report in which the placed attempt has exited."""
    harness.token, harness.report_number = token, seq - 1
    harness.tasks["wk-1/0"] = {"portion": "wk-1/0", "try": 1, "status": "exited", "cause": "halted"}
    return harness.report().replace(b'"shift":1', b'"shift":%d' % session)


def test_exit_in_a_stale_report_from_before_this_owner_is_ignored(monkeypatch: pytest.MonkeyPatch) -> None:
    def first_report(token: int) -> CoreHarness:
        harness = CoreHarness()
        harness.place_task(TaskState.ACTIVE)
        harness.step([IncomingRequest(1, RequestKind.REPORT, exit_report(harness, token, 1, 5))])
        return harness

    # The machine may be in its second session, in which a former owner has restarted the same attempt.
    assert not first_report(FIRST_TOKEN - 1).core.state_writer.exits
    assert first_report(FIRST_TOKEN).core.state_writer.exits
    # Without the check the report is accepted.
    monkeypatch.setattr(Machine, "acknowledges", lambda self, report, now, is_response: True)
    assert first_report(FIRST_TOKEN - 1).core.state_writer.exits


def test_successive_stale_reports_acknowledge_nothing() -> None:
    harness = CoreHarness()
    harness.place_task(TaskState.ACTIVE)
    for seq in (5, 6, 7):
        harness.step([IncomingRequest(seq, RequestKind.REPORT, exit_report(harness, FIRST_TOKEN - 1, 1, seq))])
    machine = harness.core.machine_manager.machines["m-1"]
    assert machine.acked_at is None and not harness.core.state_writer.exits
    assert "m-1" not in harness.core.scheduler.candidate_cache.candidates


def test_machine_is_suspect_after_a_lease_without_acknowledgement() -> None:
    harness = CoreHarness()
    lease_s = harness.core.context.machine_lease.total_seconds()

    def report(at_s: float, token: int) -> int:
        harness.now_s, harness.token = at_s - 0.6, token
        harness.request_id += 1
        return harness.step([IncomingRequest(harness.request_id, RequestKind.REPORT, harness.report())])[0].status

    machine = harness.core.machine_manager.ensure_machine("m-1")
    assert report(110, FIRST_TOKEN) == 200 and machine.acked_at is not None
    # The machine reports again as if it had received no reply: it does not acknowledge the token it was asked to.
    assert report(125, FIRST_TOKEN) == 200 and machine.ack_token is not None and not machine.suspect
    assert report(110 + lease_s + 12, FIRST_TOKEN) == 503 and machine.suspect
    # After the 503 the machine tried the next controller and was redirected at once, so it receives replies.
    assert report(110 + lease_s + 14, FIRST_TOKEN) == 200 and not machine.suspect
    # A machine that reports late but acknowledges the token has received the reply.
    assert report(200, FIRST_TOKEN) == 200 and machine.ack_token is not None
    assert report(230, machine.ack_token) == 200 and machine.ack_token is None


#: Commands of scenarios (explained in tests/scenarios/README), with random values in braces.
FAILURES = (
    "deaf busiest for={s}", "mute {n} for={s}", "copies share=0.4 late=50 for={s}", "crash {n} for={q}",
    "crash leader for={q}", "island {n} for={s}", "reboot busiest for={q}", "cut-machine busiest for={s}",
    "cut {n} workers for={s} mode=hold", "freeze {n} for={s}", "down {n} for={s}", "refuse {n} for={s}",
    "outage for={s}", "hang busiest for={s}", "die busiest", "late share=0.2 lose=0.1 for=6", "cancel {j}",
)  # fmt: skip


def randomized_scenario(seed: int) -> str:
    """A randomized scenario: eight jobs and up to nine failures, possibly overlapping, that end by 110 s."""
    rng = random.Random(seed)
    controllers = rng.choice([2, 3, 3, 5])
    lines = [
        f"nodes {controllers}", "team t cpus=40 max=300", "team u cpus=0 max=0",
        "type g16 cpus=16 memory=64 boot=8", "up g16 count=2", "up g16 zone=b count=2",
    ]  # fmt: skip
    # A service keeps running, so that the commands always find a busiest machine.
    lines.append("at 1 submit wk-9 team=t kind=service tasks=4 cpus=1 spread=yes")
    jobs = []
    for number in range(7):
        name = f"wk-{number}"
        jobs.append(name)
        kind = rng.choice(["kind=service", "run=8", "run=20", "run=20 checkpoint=5 save=1", "run=5 broken=yes"])
        spread = rng.choice(["", "spread=yes", "one_zone=yes"])
        lines.append(
            f"at {rng.uniform(1, 50):.1f} submit {name} team={rng.choice('tu')} tasks={rng.randint(1, 9)}"
            f" cpus={rng.choice([1, 2, 4])} memory=2 {kind} {spread}"
        )
    for _ in range(rng.randint(3, 9)):
        at_s = rng.uniform(5, 80)
        values = {
            "n": f"n{rng.randrange(controllers)}",
            "s": f"{rng.choice([2, 8, 15, 25, 30]):g}",
            "q": f"{rng.choice([0.1, 0.3, 1, 5]):g}",
            "j": rng.choice(jobs),
        }
        if at_s + float(values["s"]) > 110:
            values["s"] = f"{110 - at_s:.1f}"
        failure = rng.choice(FAILURES).format(**values)
        lines.append(f"at {max(at_s, 51.0) if failure.startswith('cancel') else at_s:.1f} {failure}")
    return "\n".join([*lines, "run 215"])


@pytest.mark.parametrize("seed", range(60))
def test_no_invariant_is_violated_in_randomized_scenarios(seed: int) -> None:
    scenario = Scenario(randomized_scenario(seed), seed).run()
    assert scenario.oracle.violations == [], randomized_scenario(seed)
    for name, user in scenario.users.items():
        spec: dict[str, Any] = scenario.jobs[name]
        if user.accepted and name not in scenario.oracle.cancel_requested and not spec["broken"]:
            assert any(start[1][0] == name for start in scenario.oracle.starts), (name, randomized_scenario(seed))


def test_writes_for_a_large_array_grow_with_its_chunks_not_its_tasks() -> None:
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

        def commit_and_count_writes(txn: Any, reply: Any, commit: Any = commit, count: Any = count) -> None:
            count[0] += sum("write" in op and op["write"].startswith(rec.CHUNKS) for op in txn.get("apply") or [])
            commit(txn, reply)

        scenario.state._commit = commit_and_count_writes  # type: ignore[method-assign]
        scenario._run_line(["run", "80"])
        assert scenario.oracle.violations == [] and scenario.oracle.reported_state["wk-1"] == "done"
        writes[tasks] = count[0]
    assert writes[100] <= 8 and writes[1000] <= 40


def test_tasks_that_request_no_resources_do_not_all_go_to_one_machine() -> None:
    text = """
set machine.idle=3600
team t cpus=0 max=0
type g16 cpus=16 memory=64 boot=10 count=30
up g16 count=3
at 5 submit wk-1 team=t tasks=1000 cpus=0 memory=0 run=10
run 16
"""
    scenario = Scenario(text, 1).run()
    task_counts = [len(worker.tasks) for worker in scenario.cloud.machines.values()]
    assert sum(task_counts) > 400 and max(task_counts) <= 400
    assert scenario.oracle.violations == []


def test_finished_tasks_are_skipped_in_the_search_for_queued_ones() -> None:
    harness = CoreHarness()
    size = harness.core.context.cluster_state.chunk_size
    spec = msgspec.structs.replace(harness.core.context.cluster_state.jobs["wk-1"].spec, id="wk-2", tasks=3 * size)
    harness.put_record("g/j/wk-2", rec.JobRecord(spec, 0))
    done, queued = TaskRecord(TaskState.DONE, 1), TaskRecord()
    harness.put_record("g/p/wk-2/0", rec.ChunkRecord([done] * size))
    harness.put_record("g/p/wk-2/1", rec.ChunkRecord([done] * (size - 1) + [queued]))
    job = harness.core.context.cluster_state.jobs["wk-2"]
    assert next(iter(job.queued_task_numbers())) == 2 * size - 1 and len(list(job.queued_task_numbers())) == size + 1
    harness.put_record("g/p/wk-2/0", rec.ChunkRecord([queued] + [done] * (size - 1)))
    assert next(iter(job.queued_task_numbers())) == 0


def test_attempt_is_confirmed_ended_on_a_machine_that_never_acknowledges_its_new_owner(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def ended_after_reports() -> bool:
        harness = CoreHarness()
        harness.place_task(TaskState.ACTIVE)
        for at in range(110, 260, 15):
            harness.now_s, harness.token = at - 0.6, FIRST_TOKEN - 1
            harness.request_id += 1
            harness.step([IncomingRequest(harness.request_id, RequestKind.REPORT, harness.report())])
            for _ in range(20):
                harness.step([])  # 0.6 s each
        return ("wk-1", 0, 1) in harness.core.state_writer.exits

    assert ended_after_reports()
    # Without the check the machine gets replies forever, so its lease never expires.
    monkeypatch.setattr(Machine, "ack_overdue", lambda self, now, lease: False)
    assert not ended_after_reports()


def test_without_a_probe_each_report_of_a_machine_that_does_not_acknowledge_causes_an_epoch(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    text = (Path(__file__).parent / "scenarios/deaf_from_the_start.txt").read_text(encoding="utf-8")
    assert Scenario(text, 1).run().unmet_expectations == []
    monkeypatch.setattr(MisroutedReports, "_probe", lambda self, name, addr: self._request_move(name))
    assert any(failure.startswith("epoch") for failure in Scenario(text, 1).run().unmet_expectations)


def test_move_request_outlasts_epochs_that_do_not_move_the_machine() -> None:
    harness = CoreHarness()
    membership = harness.core.membership

    def epoch(number: int, moved: dict[str, str]) -> None:
        harness.put_record(rec.EPOCH, rec.EpochRecord(number, "n1", {"n0": 7, "n1": 8}, moved))
        harness.step([])

    epoch(2, {"m-1": "n1", "m-2": "n1"})
    membership.request_move("m-1")
    epoch(3, {"m-1": "n1", "m-2": "n0"})  # requested by another controller
    assert list(membership._move_requests) == ["m-1"]
    epoch(4, {"m-1": "n0", "m-2": "n0"})
    assert not membership._move_requests
    epoch(5, {"m-1": "n1"})
    membership.request_move("m-1")
    harness.now_s += 10
    harness.step([])
    membership._prune_move_requests()
    assert not membership._move_requests


def test_active_time_is_interrupted_by_a_stall_but_not_by_a_new_epoch() -> None:
    harness = CoreHarness()
    membership = harness.core.membership
    for _ in range(15):
        harness.step([])  # 0.6 s each
    assert membership.active_for(timedelta(seconds=6))
    harness.put_record(rec.EPOCH, rec.EpochRecord(2, "n1", {"n0": 7, "n1": 8}, {"m-1": "n0"}))
    harness.core.context.cluster_state.revision -= 1  # the watch has not delivered it yet
    harness.step([])
    assert not membership.is_active()
    harness.core.context.cluster_state.revision += 1
    harness.now_s -= 0.5
    harness.step([])
    assert membership.active_for(timedelta(seconds=6))
    harness.now_s += 5  # the controller is stalled for 5 s
    harness.step([])
    assert not membership.active_for(timedelta(seconds=6))


def test_inactive_controller_redirects_machines_to_their_owners_at_once(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(PeerConsent, "may_reply_to_reports", lambda self: True)

    def run() -> tuple[list[int], int]:
        """Statuses of the replies to two reports of another owner's machine, and how often the reports were handled."""
        harness = CoreHarness()
        harness.put_record(rec.EPOCH, rec.EpochRecord(2, "n1", {"n0": 7, "n1": 8}, {"m-1": "n1"}))
        for _ in range(30):
            harness.step([])
        harness.core.membership.active_until = timedelta()
        handled = [0]
        reported = harness.core.machine_manager.misrouted._handle_report

        def counting(request: IncomingRequest) -> None:
            handled[0] += 1
            reported(request)

        harness.core.machine_manager.misrouted._handle_report = counting
        statuses = []
        for number in (5, 6):
            harness.request_id, harness.token, harness.report_number = number, FIRST_TOKEN - 1, number
            replies = harness.step([IncomingRequest(number, RequestKind.REPORT, harness.report())])
            for _ in range(10):
                replies += harness.step([])
            statuses += [reply.status for reply in replies]
        return statuses, handled[0]

    assert run() == ([421, 421], 0)
    # If a report is held although the machine can't be moved, it is handled again in every step and gets no reply. Only
    # the second report is held: the first one is redirected.
    monkeypatch.setattr(MisroutedReports, "handle_report", _as_if_active(MisroutedReports.handle_report))
    statuses, handled = run()
    assert statuses == [421] and handled >= 10


def _as_if_active(handle_report: Any) -> Any:
    """Make ``handle_report`` treat the controller as active, so that it keeps the report."""

    def handle_report_as_if_active(
        self: MisroutedReports, request: IncomingRequest, machine: str, owner: str | None, addr: str = ""
    ) -> None:
        with pytest.MonkeyPatch.context() as patch:
            patch.setattr(Membership, "is_active", lambda membership: True)
            patch.setattr(Membership, "active_for", lambda membership, duration: False)
            handle_report(self, request, machine, owner, addr)

    return handle_report_as_if_active
