"""Tests that the oracle detects a deliberate violation of each rule, so that passing scenarios are meaningful.

Of the rule ``forgotten``, only the rejected requests are tested, not the missing responses.

The names of the rules and the field names of ``JOB`` are explained in ``gladecroft.lab.oracle``.
"""

from typing import Any

import msgspec
import pytest

from gladecroft.coordination.events import RequestKind
from gladecroft.coordination.scheduling import Scheduler
from gladecroft.lab.oracle import Oracle
from gladecroft.lab.scenario import Scenario

JOB: dict[str, Any] = {
    "owner": "t", "cores": 4.0, "portions": 2, "flavors": ["g16"], "district": None, "oneZone": False, "apart": True,
    "leftovers": False,
}  # fmt: skip


class FakeClock:
    now = 0.0


def make_oracle(**changes: Any) -> tuple[Oracle, FakeClock]:
    clock = FakeClock()
    return Oracle({"wk-1": {**JOB, **changes}}, {"t": 8.0}, 43.0, lambda: clock.now), clock


def response_body(state: str) -> bytes:
    return msgspec.json.encode({"nameId": "wk-1", "status": state})


def violated_rules(oracle: Oracle) -> list[str]:
    return [text.split()[0] for text in oracle.violations]


def start_task(oracle: Oracle, task: int, machine: str, zone: str = "a", kind: str = "g16", spot: bool = False) -> None:
    oracle.task_started(("wk-1", task), machine, 1, kind, zone, spot)


def test_correct_behaviour_violates_no_rule() -> None:
    oracle, _ = make_oracle()
    oracle.submit_sent("wk-1")
    oracle.response_received("wk-1", RequestKind.SUBMIT, 201, response_body("queued"))
    start_task(oracle, 0, "m-1")
    start_task(oracle, 1, "m-2", zone="b")
    for task, machine in ((0, "m-1"), (1, "m-2")):
        oracle.task_stopped(("wk-1", task), machine)
        oracle.task_completed(("wk-1", task))
    oracle.response_received("wk-1", RequestKind.POLL, 200, response_body("done"))
    oracle.check_time_limits()
    assert oracle.violations == []


def test_ran_twice() -> None:
    oracle, _ = make_oracle()
    start_task(oracle, 0, "m-1")
    start_task(oracle, 0, "m-2", zone="b")
    assert "ran_twice" in violated_rules(oracle)


def test_quota() -> None:
    oracle, _ = make_oracle(cores=5.0)
    start_task(oracle, 0, "m-1")
    start_task(oracle, 1, "m-2", zone="b")
    assert violated_rules(oracle) == ["quota"]


@pytest.mark.parametrize(
    ("job", "place"),
    [
        ({}, {"kind": "g32"}),
        ({}, {"spot": True}),
        ({"district": "b"}, {"zone": "a"}),
    ],
)
def test_wrong_place(job: dict[str, Any], place: dict[str, Any]) -> None:
    oracle, _ = make_oracle(**job)
    start_task(oracle, 0, "m-1", **place)
    assert violated_rules(oracle) == ["wrong_place"]


def test_wrong_place_relative_to_other_tasks_of_the_job() -> None:
    oracle, _ = make_oracle()
    start_task(oracle, 0, "m-1")
    start_task(oracle, 1, "m-1")
    assert violated_rules(oracle) == ["wrong_place"]
    oracle, _ = make_oracle(apart=False, oneZone=True)
    start_task(oracle, 0, "m-1")
    start_task(oracle, 1, "m-2", zone="b")
    assert violated_rules(oracle) == ["wrong_place"]


def test_ran_cancelled() -> None:
    oracle, clock = make_oracle()
    oracle.submit_sent("wk-1")
    oracle.cancel_sent("wk-1")
    start_task(oracle, 0, "m-1")
    oracle.response_received("wk-1", RequestKind.CANCEL, 200, response_body("aborted"))
    clock.now = 43.0
    oracle.check_time_limits()
    assert oracle.violations == []
    clock.now = 44.0
    oracle.check_time_limits()
    start_task(oracle, 1, "m-2", zone="b")
    assert set(violated_rules(oracle)) == {"ran_cancelled"}


@pytest.mark.parametrize("status", [400, 404, 422])
def test_forgotten(status: int) -> None:
    oracle, _ = make_oracle()
    oracle.submit_sent("wk-1")
    oracle.response_received("wk-1", RequestKind.SUBMIT, 201, response_body("queued"))
    oracle.response_received("wk-1", RequestKind.POLL, status, b"{}")
    assert violated_rules(oracle) == ["forgotten"]


def test_invented() -> None:
    oracle, _ = make_oracle()
    oracle.response_received("wk-1", RequestKind.POLL, 200, response_body("queued"))
    assert violated_rules(oracle) == ["invented"]


def test_not_done() -> None:
    oracle, _ = make_oracle()
    oracle.submit_sent("wk-1")
    oracle.task_completed(("wk-1", 0))
    oracle.response_received("wk-1", RequestKind.POLL, 200, response_body("done"))
    assert violated_rules(oracle) == ["not_done"]


def test_went_back() -> None:
    oracle, _ = make_oracle(portions=1)
    oracle.submit_sent("wk-1")
    oracle.task_completed(("wk-1", 0))
    oracle.response_received("wk-1", RequestKind.POLL, 200, response_body("done"))
    oracle.response_received("wk-1", RequestKind.POLL, 200, response_body("running"))
    assert violated_rules(oracle) == ["went_back"]


def test_job_reported_cancelled_without_a_cancellation() -> None:
    oracle, _ = make_oracle(portions=1)
    oracle.submit_sent("wk-1")
    oracle.response_received("wk-1", RequestKind.POLL, 200, response_body("aborted"))
    assert violated_rules(oracle) == ["went_back"]


def test_response_may_report_an_older_state_only_if_its_request_was_sent_before() -> None:
    oracle, clock = make_oracle()
    oracle.submit_sent("wk-1")
    clock.now = 5.0
    oracle.response_received("wk-1", RequestKind.SUBMIT, 201, response_body("queued"), sent_at=4.0)
    clock.now = 5.2
    oracle.response_received("wk-1", RequestKind.POLL, 404, b"{}", sent_at=4.9)
    assert oracle.violations == []
    oracle.response_received("wk-1", RequestKind.POLL, 404, b"{}", sent_at=5.1)
    assert violated_rules(oracle) == ["forgotten"]
    oracle.cancel_sent("wk-1")
    clock.now = 6.0
    oracle.response_received("wk-1", RequestKind.CANCEL, 200, response_body("aborted"), sent_at=5.5)
    clock.now = 6.5
    oracle.response_received("wk-1", RequestKind.POLL, 200, response_body("running"), sent_at=5.9)
    assert violated_rules(oracle) == ["forgotten"] and oracle.reported_state["wk-1"] == "aborted"
    oracle.response_received("wk-1", RequestKind.POLL, 200, response_body("running"), sent_at=6.1)
    assert violated_rules(oracle) == ["forgotten", "went_back"]


def test_final_state_never_changes_even_in_responses_to_earlier_requests() -> None:
    oracle, clock = make_oracle(portions=1)
    oracle.submit_sent("wk-1")
    oracle.cancel_sent("wk-1")
    oracle.task_completed(("wk-1", 0))
    clock.now = 6.0
    oracle.response_received("wk-1", RequestKind.CANCEL, 200, response_body("aborted"), sent_at=5.5)
    oracle.response_received("wk-1", RequestKind.POLL, 200, response_body("done"), sent_at=5.4)
    assert violated_rules(oracle) == ["went_back"]


def test_starts_after_confirmed_cancellation_are_counted_and_violate_a_rule_only_after_the_time_limit() -> None:
    oracle, clock = make_oracle(apart=False)
    oracle.submit_sent("wk-1")
    oracle.cancel_sent("wk-1")
    start_task(oracle, 0, "m-1")
    oracle.response_received("wk-1", RequestKind.CANCEL, 200, response_body("aborted"))
    clock.now = 10.0
    start_task(oracle, 1, "m-1")
    assert len(oracle.starts_after_cancel) == 1 and oracle.violations == []
    clock.now = 44.0
    oracle.check_time_limits()
    assert set(violated_rules(oracle)) == {"ran_cancelled"}


def test_invalid_job_must_not_be_accepted() -> None:
    oracle, _ = make_oracle()
    oracle.invalid_job_ids.add("wk-7")
    oracle.response_received("wk-7", RequestKind.SUBMIT, 422, b"{}")
    assert oracle.violations == []
    oracle.response_received("wk-7", RequestKind.SUBMIT, 201, response_body("queued"))
    assert violated_rules(oracle) == ["took_impossible"]


def test_job_left_queued_despite_free_capacity_is_reported_once_all_failures_are_over() -> None:
    oracle, clock = make_oracle()
    oracle.submit_sent("wk-1")
    oracle.response_received("wk-1", RequestKind.SUBMIT, 201, response_body("queued"))
    oracle.find_placeable_jobs = lambda: {"wk-1"}
    oracle.extend_failures(30.0)

    def check_until(end: int) -> list[str]:
        while clock.now < end:
            clock.now += 1
            oracle.check_time_limits()
        return violated_rules(oracle)

    assert check_until(120) == []
    assert check_until(130) == ["left_waiting"]
    # The time limit starts again after an interruption of free capacity.
    oracle.find_placeable_jobs = set
    check_until(140)
    oracle.find_placeable_jobs = lambda: {"wk-1"}
    assert check_until(220) == ["left_waiting"]


CAPACITY_SCENARIO = """
set machine.idle=3600
team t cpus=8 max=12
team u cpus=0 max=0
type g16 cpus=16 memory=64 boot=5 count=2 zones=a
up g16 count=2
at 5 submit wk-1 team=t tasks=4 cpus=4 memory=2 kind=service
at 5 submit wk-2 team=u tasks=2 cpus=12 memory=2 kind=service
at 5 submit wk-3 team=u tasks=1 cpus=16 memory=2 kind=service
run 200
"""


def test_job_left_queued_is_a_violation_unless_a_team_limit_or_lack_of_capacity_explains_it(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # The last task of wk-1 is queued because of its team's limit, wk-3 because it needs an empty machine.
    assert Scenario(CAPACITY_SCENARIO, 1).run().oracle.violations == []
    # The scheduler places no task of team u, although wk-2 fits on two machines.
    place_job = Scheduler._place_job

    def place_all_but_team_u(self: Scheduler, txn: Any, job: Any, *args: Any) -> int:
        return 0 if job.spec.team == "u" else place_job(self, txn, job, *args)

    monkeypatch.setattr(Scheduler, "_place_job", place_all_but_team_u)
    violations = Scenario(CAPACITY_SCENARIO, 1).run().oracle.violations
    assert violations and {text.split()[0] for text in violations} == {"left_waiting"}
    assert any("wk-2" in text for text in violations) and not any("wk-1" in text for text in violations)
