"""No accepted job is lost before it has finished.

Tests the rule of the oracle (the checker of the simulation) that reports violations as "forgotten", and that polls for
unknown jobs do not use up the request budget. Scenario words: "nodes" are controllers, "ask" polls for jobs that were
never submitted; times are in seconds.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pytest

from gladecroft.coordination.events import RequestKind
from gladecroft.coordination.users.handler import UserRequestHandler
from gladecroft.lab.oracle import Oracle
from gladecroft.lab.scenario import Scenario

RESTART_SCENARIO = """
team t cpus=40 max=64
type g16 cpus=16 memory=64 boot=5
at 1 submit wk-1 team=t tasks=4 cpus=4 run=10
at 2 submit wk-2 team=t kind=service tasks=2 cpus=1
at 10 crash n0 for=1
run {until}
"""


def test_the_oracle_detects_a_job_whose_polls_are_never_answered(monkeypatch: pytest.MonkeyPatch) -> None:
    original_route: Callable[..., Any] = UserRequestHandler._route

    def drop_polls(self: UserRequestHandler, entry: Any) -> None:
        if entry.request.job_id != "wk-2" or entry.request.kind is not RequestKind.POLL:
            original_route(self, entry)

    monkeypatch.setattr(UserRequestHandler, "_route", drop_polls)
    violations = Scenario(RESTART_SCENARIO.format(until=120), 1).run().oracle.violations
    assert [text.split(" at ")[0] for text in violations] == ["forgotten"] and "wk-2" in violations[0]
    monkeypatch.undo()
    assert Scenario(RESTART_SCENARIO.format(until=120), 1).run().oracle.violations == []


def test_missing_replies_count_only_after_the_last_failure_and_not_for_cancelled_jobs() -> None:
    now = [0.0]
    oracle = Oracle({}, {}, 40.0, lambda: now[0])
    for job_id in ("wk-1", "wk-2"):
        oracle.submit_sent(job_id)
        oracle.response_received(job_id, RequestKind.SUBMIT, 201, b'{"status":"queued"}')
        oracle.request_sent(job_id)
    oracle.cancel_sent("wk-2")
    oracle.extend_failures(100.0)
    for at, violation_count in ((99.0, 0), (174.0, 0), (176.0, 1)):
        now[0] = at
        oracle.check_time_limits()
        assert len(oracle.violations) == violation_count
    # A violation is reported only once, and a response restarts the time limit.
    oracle.response_received("wk-1", RequestKind.POLL, 200, b'{"status":"running"}')
    oracle.request_sent("wk-1")
    now[0] = 240.0
    oracle.check_time_limits()
    assert len(oracle.violations) == 1


def test_polls_for_unknown_jobs_share_requests_to_the_state_service() -> None:
    text = """
nodes 3
team t cpus=40 max=64
type g16 cpus=16 memory=64 boot=5
at 5 ask wk-9 times=300
run {until}
"""
    paths: list[str] = []
    scenario = Scenario(text.format(until=4), 1).run()
    serve = scenario.state.serve

    def served(node: str, method: str, path: str, body: bytes, reply: Any) -> None:
        paths.append(path)
        serve(node, method, path, body, reply)

    scenario.state.serve = served  # type: ignore[method-assign]
    scenario._run_line(["run", "35"])
    # 300 jobs are polled every 5 s. One read per job and poll took 3,600 reads in 30 s and blocked all other requests.
    assert sum(path.startswith("/store/g/j/") for path in paths) == 0
    assert len(paths) < 35 * 3 * 12
