"""Every accepted job runs or stays known: the oracle's rule, and that it finds what breaks it."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pytest

from gladecroft.coordination.events import RequestKind
from gladecroft.coordination.users.handler import UserRequestHandler
from gladecroft.lab.oracle import Oracle
from gladecroft.lab.scenario import Scenario

QUIET = """
team t cpus=40 max=64
type g16 cpus=16 memory=64 boot=5
at 1 submit wk-1 team=t tasks=4 cpus=4 run=10
at 2 submit wk-2 team=t kind=service tasks=2 cpus=1
at 10 crash n0 for=1
run {until}
"""


def test_the_oracle_finds_a_job_about_which_no_question_is_answered(monkeypatch: pytest.MonkeyPatch) -> None:
    answer: Callable[..., Any] = UserRequestHandler._route

    def forgets(self: UserRequestHandler, waiting: Any) -> None:
        if waiting.request.job != "wk-2" or waiting.request.kind is not RequestKind.POLL:
            answer(self, waiting)

    monkeypatch.setattr(UserRequestHandler, "_route", forgets)
    broken = Scenario(QUIET.format(until=120), 1).run().oracle.broken
    assert [text.split(" at ")[0] for text in broken] == ["forgotten"] and "wk-2" in broken[0]
    monkeypatch.undo()
    assert Scenario(QUIET.format(until=120), 1).run().oracle.broken == []


def test_only_silence_after_the_last_trouble_counts_and_cancelled_jobs_may_be_forgotten() -> None:
    now = [0.0]
    oracle = Oracle({}, {}, 40.0, lambda: now[0])
    for job in ("wk-1", "wk-2"):
        oracle.submit_sent(job)
        oracle.answered(job, RequestKind.SUBMIT, 201, b'{"status":"queued"}')
        oracle.asks(job)
    oracle.cancel_asked("wk-2")
    oracle.trouble(100.0)
    for at, broken in ((99.0, 0), (174.0, 0), (176.0, 1)):
        now[0] = at
        oracle.sweep()
        assert len(oracle.broken) == broken
    # Said once; and an answer begins the time anew.
    oracle.answered("wk-1", RequestKind.POLL, 200, b'{"status":"running"}')
    oracle.asks("wk-1")
    now[0] = 240.0
    oracle.sweep()
    assert len(oracle.broken) == 1


def test_questions_for_jobs_that_nobody_submitted_cost_a_request_for_many() -> None:
    text = """
nodes 3
team t cpus=40 max=64
type g16 cpus=16 memory=64 boot=5
at 5 ask wk-9 times=300
run {until}
"""
    asked: list[str] = []
    scenario = Scenario(text.format(until=4), 1).run()
    serve = scenario.state.serve

    def served(node: str, method: str, path: str, body: bytes, reply: Any) -> None:
        asked.append(path)
        serve(node, method, path, body, reply)

    scenario.state.serve = served  # type: ignore[method-assign]
    scenario._act(["run", "35"])
    # 300 are asked for every 5 s: one by one these were 3,600 reads in half a minute, and all else stood still.
    assert sum(path.startswith("/store/g/j/") for path in asked) == 0
    assert len(asked) < 35 * 3 * 12
