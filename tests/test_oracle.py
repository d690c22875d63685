"""Each check of the oracle fails on a planted violation; without this a passing scenario would prove nothing."""

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


class Time:
    now = 0.0


def make(**changes: Any) -> tuple[Oracle, Time]:
    time = Time()
    return Oracle({"wk-1": {**JOB, **changes}}, {"t": 8.0}, 43.0, lambda: time.now), time


def answer(state: str) -> bytes:
    return msgspec.json.encode({"nameId": "wk-1", "status": state})


def rules(oracle: Oracle) -> list[str]:
    return [text.split()[0] for text in oracle.broken]


def start(oracle: Oracle, task: int, machine: str, zone: str = "a", kind: str = "g16", spot: bool = False) -> None:
    oracle.on(("wk-1", task), machine, 1, kind, zone, spot)


def test_right_behaviour_breaks_nothing() -> None:
    oracle, _ = make()
    oracle.submit_sent("wk-1")
    oracle.answered("wk-1", RequestKind.SUBMIT, 201, answer("queued"))
    start(oracle, 0, "m-1")
    start(oracle, 1, "m-2", zone="b")
    for task, machine in ((0, "m-1"), (1, "m-2")):
        oracle.off(("wk-1", task), machine)
        oracle.completed(("wk-1", task))
    oracle.answered("wk-1", RequestKind.POLL, 200, answer("done"))
    oracle.sweep()
    assert oracle.broken == []


def test_ran_twice() -> None:
    oracle, _ = make()
    start(oracle, 0, "m-1")
    start(oracle, 0, "m-2", zone="b")
    assert "ran_twice" in rules(oracle)


def test_quota() -> None:
    oracle, _ = make(cores=5.0)
    start(oracle, 0, "m-1")
    start(oracle, 1, "m-2", zone="b")
    assert rules(oracle) == ["quota"]


@pytest.mark.parametrize(
    ("job", "place"),
    [
        ({}, {"kind": "g32"}),
        ({}, {"spot": True}),
        ({"district": "b"}, {"zone": "a"}),
    ],
)
def test_wrong_place(job: dict[str, Any], place: dict[str, Any]) -> None:
    oracle, _ = make(**job)
    start(oracle, 0, "m-1", **place)
    assert rules(oracle) == ["wrong_place"]


def test_wrong_place_among_the_jobs_other_tasks() -> None:
    oracle, _ = make()
    start(oracle, 0, "m-1")
    start(oracle, 1, "m-1")
    assert rules(oracle) == ["wrong_place"]
    oracle, _ = make(apart=False, oneZone=True)
    start(oracle, 0, "m-1")
    start(oracle, 1, "m-2", zone="b")
    assert rules(oracle) == ["wrong_place"]


def test_ran_cancelled() -> None:
    oracle, time = make()
    oracle.submit_sent("wk-1")
    oracle.cancel_asked("wk-1")
    start(oracle, 0, "m-1")
    oracle.answered("wk-1", RequestKind.CANCEL, 200, answer("aborted"))
    time.now = 43.0
    oracle.sweep()
    assert oracle.broken == []
    time.now = 44.0
    oracle.sweep()
    start(oracle, 1, "m-2", zone="b")
    assert set(rules(oracle)) == {"ran_cancelled"}


@pytest.mark.parametrize("status", [400, 404, 422])
def test_forgotten(status: int) -> None:
    oracle, _ = make()
    oracle.submit_sent("wk-1")
    oracle.answered("wk-1", RequestKind.SUBMIT, 201, answer("queued"))
    oracle.answered("wk-1", RequestKind.POLL, status, b"{}")
    assert rules(oracle) == ["forgotten"]


def test_invented() -> None:
    oracle, _ = make()
    oracle.answered("wk-1", RequestKind.POLL, 200, answer("queued"))
    assert rules(oracle) == ["invented"]


def test_not_done() -> None:
    oracle, _ = make()
    oracle.submit_sent("wk-1")
    oracle.completed(("wk-1", 0))
    oracle.answered("wk-1", RequestKind.POLL, 200, answer("done"))
    assert rules(oracle) == ["not_done"]


def test_went_back() -> None:
    oracle, _ = make(portions=1)
    oracle.submit_sent("wk-1")
    oracle.completed(("wk-1", 0))
    oracle.answered("wk-1", RequestKind.POLL, 200, answer("done"))
    oracle.answered("wk-1", RequestKind.POLL, 200, answer("running"))
    assert rules(oracle) == ["went_back"]


def test_called_cancelled_though_its_user_did_not_cancel() -> None:
    oracle, _ = make(portions=1)
    oracle.submit_sent("wk-1")
    oracle.answered("wk-1", RequestKind.POLL, 200, answer("aborted"))
    assert rules(oracle) == ["went_back"]


def test_an_answer_may_be_older_only_if_its_question_was_sent_before() -> None:
    oracle, time = make()
    oracle.submit_sent("wk-1")
    time.now = 5.0
    oracle.answered("wk-1", RequestKind.SUBMIT, 201, answer("queued"), sent=4.0)
    time.now = 5.2
    oracle.answered("wk-1", RequestKind.POLL, 404, b"{}", sent=4.9)
    assert oracle.broken == []
    oracle.answered("wk-1", RequestKind.POLL, 404, b"{}", sent=5.1)
    assert rules(oracle) == ["forgotten"]
    oracle.cancel_asked("wk-1")
    time.now = 6.0
    oracle.answered("wk-1", RequestKind.CANCEL, 200, answer("aborted"), sent=5.5)
    time.now = 6.5
    oracle.answered("wk-1", RequestKind.POLL, 200, answer("running"), sent=5.9)
    assert rules(oracle) == ["forgotten"] and oracle.told["wk-1"] == "aborted"
    oracle.answered("wk-1", RequestKind.POLL, 200, answer("running"), sent=6.1)
    assert rules(oracle) == ["forgotten", "went_back"]


def test_a_job_has_one_final_state_whenever_it_was_asked_for() -> None:
    oracle, time = make(portions=1)
    oracle.submit_sent("wk-1")
    oracle.cancel_asked("wk-1")
    oracle.completed(("wk-1", 0))
    time.now = 6.0
    oracle.answered("wk-1", RequestKind.CANCEL, 200, answer("aborted"), sent=5.5)
    oracle.answered("wk-1", RequestKind.POLL, 200, answer("done"), sent=5.4)
    assert rules(oracle) == ["went_back"]


def test_starts_after_a_confirmed_cancellation_are_counted_and_break_a_rule_only_late() -> None:
    oracle, time = make(apart=False)
    oracle.submit_sent("wk-1")
    oracle.cancel_asked("wk-1")
    start(oracle, 0, "m-1")
    oracle.answered("wk-1", RequestKind.CANCEL, 200, answer("aborted"))
    time.now = 10.0
    start(oracle, 1, "m-1")
    assert len(oracle.starts_after_cancel) == 1 and oracle.broken == []
    time.now = 44.0
    oracle.sweep()
    assert set(rules(oracle)) == {"ran_cancelled"}


def test_what_is_impossible_may_not_be_accepted() -> None:
    oracle, _ = make()
    oracle.impossible.add("wk-7")
    oracle.answered("wk-7", RequestKind.SUBMIT, 422, b"{}")
    assert oracle.broken == []
    oracle.answered("wk-7", RequestKind.SUBMIT, 201, answer("queued"))
    assert rules(oracle) == ["took_impossible"]


def test_work_that_waits_where_there_is_room_is_found_once_all_troubles_are_over() -> None:
    oracle, time = make()
    oracle.submit_sent("wk-1")
    oracle.answered("wk-1", RequestKind.SUBMIT, 201, answer("queued"))
    oracle.waiting_with_room = lambda: {"wk-1"}
    oracle.trouble(30.0)

    def sweep(until: int) -> list[str]:
        while time.now < until:
            time.now += 1
            oracle.sweep()
        return rules(oracle)

    assert sweep(120) == []
    assert sweep(130) == ["left_waiting"]
    # A moment without room, and the time begins anew.
    oracle.waiting_with_room = set
    sweep(140)
    oracle.waiting_with_room = lambda: {"wk-1"}
    assert sweep(220) == ["left_waiting"]


ROOM = """
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


def test_neither_a_limit_nor_want_of_room_is_held_against_the_scheduler_but_holding_back_is(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # wk-1 waits for its team's limit with its last task, wk-3 for a machine that is empty.
    assert Scenario(ROOM, 1).run().oracle.broken == []
    # Nothing of team u is placed: two machines have room for wk-2.
    place = Scheduler._place_job

    def held_back(self: Scheduler, change: Any, job: Any, *more: Any) -> int:
        return 0 if job.spec.team == "u" else place(self, change, job, *more)

    monkeypatch.setattr(Scheduler, "_place_job", held_back)
    broken = Scenario(ROOM, 1).run().oracle.broken
    assert broken and {text.split()[0] for text in broken} == {"left_waiting"}
    assert any("wk-2" in text for text in broken) and not any("wk-1" in text for text in broken)
