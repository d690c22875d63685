"""Each check of the oracle fails on a planted violation; without this a passing scenario would prove nothing."""

from typing import Any

import msgspec
import pytest

from gladecroft.coordination.messages import Verb
from gladecroft.lab.oracle import Oracle

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
    oracle.answered("wk-1", Verb.SUBMIT, 201, answer("queued"))
    start(oracle, 0, "m-1")
    start(oracle, 1, "m-2", zone="b")
    for task, machine in ((0, "m-1"), (1, "m-2")):
        oracle.off(("wk-1", task), machine)
        oracle.completed(("wk-1", task))
    oracle.answered("wk-1", Verb.POLL, 200, answer("done"))
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
    oracle.answered("wk-1", Verb.CANCEL, 200, answer("aborted"))
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
    oracle.answered("wk-1", Verb.SUBMIT, 201, answer("queued"))
    oracle.answered("wk-1", Verb.POLL, status, b"{}")
    assert rules(oracle) == ["forgotten"]


def test_invented() -> None:
    oracle, _ = make()
    oracle.answered("wk-1", Verb.POLL, 200, answer("queued"))
    assert rules(oracle) == ["invented"]


def test_not_done() -> None:
    oracle, _ = make()
    oracle.submit_sent("wk-1")
    oracle.completed(("wk-1", 0))
    oracle.answered("wk-1", Verb.POLL, 200, answer("done"))
    assert rules(oracle) == ["not_done"]


def test_went_back() -> None:
    oracle, _ = make(portions=1)
    oracle.submit_sent("wk-1")
    oracle.completed(("wk-1", 0))
    oracle.answered("wk-1", Verb.POLL, 200, answer("done"))
    oracle.answered("wk-1", Verb.POLL, 200, answer("running"))
    assert rules(oracle) == ["went_back"]


def test_called_cancelled_though_its_user_did_not_cancel() -> None:
    oracle, _ = make(portions=1)
    oracle.submit_sent("wk-1")
    oracle.answered("wk-1", Verb.POLL, 200, answer("aborted"))
    assert rules(oracle) == ["went_back"]
