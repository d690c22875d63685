"""Requests that arrive a second time, late, after they were carried out and answered, break no rule."""

from __future__ import annotations

from collections import Counter
from typing import Any

import msgspec
import pytest

from gladecroft.coordination.machines.machine import Machine
from gladecroft.lab.scenario import Scenario
from gladecroft.lab.simulation import ReplyCallback
from gladecroft.lab.state_service import SimulatedStateService
from gladecroft.lab.worker import SimulatedWorker

#: Tasks fail on two machines and are placed on others; each direct command arrives a second time within 40 s.
FAILED_TASKS_PLACED_ELSEWHERE = """
nodes 3
set machine.consolidate=false
team t cpus=64 max=96
type g16 cpus=16 memory=64 boot=8
up g16 count=2
up g16 zone=b count=2
at 2 sick 1
at 2 sick 3
at 2 request-copies machines share=1 late=40 for=100
at 5 submit wk-1 team=t kind=service tasks=10 cpus=3 spread=yes
run 150
expect wk-1 running is 10
"""


def test_late_copy_of_a_start_command_does_not_restart_a_forgotten_attempt() -> None:
    for seed in range(1, 8):
        scenario = Scenario(FAILED_TASKS_PLACED_ELSEWHERE, seed).run()
        assert scenario.sim.late_copies.count > 0
        assert scenario.oracle.violations == [], seed
        assert scenario.unmet_expectations == [], seed


SETUP = """
nodes 3
set machine.consolidate=false
team t cpus=64 max={team_limit}
team u cpus=0 max=200
type g16 cpus=16 memory=64 boot=8 count=0 spot=0
up g16 count=2
up g16 zone=b count=2
at 2 request-copies machines share=1 late=30 for=60
"""

#: Ways in which attempts end before the copies of their start commands arrive: team limit, actions, expectations.
ENDS = {
    "done": (
        200,
        """at 5 submit wk-1 team=t tasks=16 cpus=2 run=4
        at 20 submit wk-2 team=t tasks=16 cpus=2 run=4""",
        """expect wk-1 done
        expect wk-2 done""",
    ),
    "failed and placed elsewhere": (
        200,
        """at 2 sick 1
        at 2 sick 3
        at 5 submit wk-1 team=t kind=service tasks=10 cpus=3 spread=yes""",
        "expect wk-1 running is 10",
    ),
    "moved off a machine with a notice": (
        200,
        """at 5 submit wk-1 team=t kind=service tasks=10 cpus=3 spread=yes
        at 16 notice busiest for=60""",
        "expect wk-1 running is 10",
    ),
    "evicted and moved to another machine": (
        200,
        """at 5 submit wk-1 team=u tasks=8 cpus=4 run=400 priority=best_effort
        at 6 submit wk-2 team=t tasks=8 cpus=4 run=8 priority=urgent
        at 9 submit wk-3 team=t kind=service tasks=2 cpus=16
        at 18 cancel wk-3""",
        """expect wk-2 done
        expect wk-1 running is 8
        expect wk-3 running is 0""",
    ),
    "evicted and placed again on the same machine": (
        200,
        """at 5 submit wk-1 team=u tasks=16 cpus=4 run=400 priority=best_effort
        at 14 submit wk-2 team=t kind=service tasks=4 cpus=8
        at 24 cancel wk-2""",
        "expect wk-2 aborted",
    ),
    "cancelled": (
        200,
        """at 5 submit wk-1 team=t kind=service tasks=10 cpus=3 spread=yes
        at 6 submit wk-2 team=t tasks=6 cpus=4 run=300
        at 14 cancel wk-1
        at 16 cancel wk-2""",
        """expect wk-1 aborted
        expect wk-1 running is 0
        expect wk-2 running is 0
        expect starts-after-cancel <= 0""",
    ),
    "done, its team at the limit": (
        16,
        """at 5 submit wk-1 team=t tasks=12 cpus=4 run=4
        at 6 submit wk-2 team=t kind=service tasks=4 cpus=1""",
        """expect wk-1 done
        expect wk-2 running is 4""",
    ),
}  # fmt: skip

#: What happens between the start command and its copy.
DISTURBANCES = {
    "nothing else": "",
    "controllers back within a second": """at 12 crash leader for=0.4
        at 18 crash all for=0.6
        at 25 crash follower for=0.2""",
    "the owner changes before and after": """at 9 cut n0 workers for=8
        at 15 crash n1 for=9
        at 27 cut n2 workers for=8""",
    "machines back in a new session within a second": """at 15 reboot busiest for=0.5
        at 22 reboot busiest for=0.5
        at 26 reboot busiest for=0.8""",
    "commands held up and machines that hang": """at 4 held 1 2 by=1.5 for=20
        at 15 hang busiest for=6
        at 20 held busiest by=1 for=10 answers=yes""",
    "an outage": "at 17 outage for=12",
}
#: Disturbances in which an attempt may start again in a new session of its machine.
WITH_NEW_SESSIONS = {"machines back in a new session within a second", "the owner changes before and after"}


def restarted_attempts(scenario: Scenario) -> list[tuple[tuple[str, int], str, int]]:
    """The attempts that started more than once on a machine."""
    starts = Counter((task, machine, attempt) for _, task, machine, attempt in scenario.oracle.starts)
    return [attempt for attempt, count in starts.items() if count > 1]


@pytest.mark.parametrize("disturbance", DISTURBANCES)
@pytest.mark.parametrize("end", ENDS)
def test_late_copies_of_commands_do_not_restart_attempts_that_have_ended(end: str, disturbance: str) -> None:
    team_limit, actions, expectations = ENDS[end]
    text = "\n".join([SETUP.format(team_limit=team_limit), actions, DISTURBANCES[disturbance], "run 150", expectations])
    for seed in range(1, 3):
        scenario = Scenario(text, seed).run()
        assert scenario.sim.late_copies.count > 0
        assert scenario.oracle.violations == [], seed
        assert scenario.unmet_expectations == [], seed
        if disturbance not in WITH_NEW_SESSIONS:
            assert restarted_attempts(scenario) == [], seed


#: Thousands of short tasks on few machines.
SHORT_TASKS = """
nodes 3
set machine.consolidate=false
team t cpus=64 max=0
type g16 cpus=16 memory=64 boot=8 count=0 spot=0
up g16 count=2
up g16 zone=b count=2
at 2 submit wk-9 team=t kind=service tasks=4 cpus=1
at 3 submit wk-1 team=t tasks=1500 cpus=0.25 memory=0.5 run=1
at 4 submit wk-2 team=t tasks=60 cpus=1 run=2
run 120
expect wk-1 done
expect wk-2 done
"""
MAX_REPORT_BYTES = 64 * 1024


class Cost(msgspec.Struct):
    """What a scenario cost: reports, the largest of them in bytes, requests to the state service and its revision."""

    reports: int = 0
    largest_report: int = 0
    state_requests: int = 0
    revision: int = 0
    done_at: dict[str, float] = {}


def cost_of_short_tasks(monkeypatch: pytest.MonkeyPatch) -> Cost:
    cost = Cost()
    serve, build_report = SimulatedStateService.serve, SimulatedWorker._build_report

    def counting_serve(self: SimulatedStateService, *request: Any) -> None:
        cost.state_requests += 1
        serve(self, *request)

    def counting_report(self: SimulatedWorker) -> Any:
        report = build_report(self)
        cost.reports += 1
        cost.largest_report = max(cost.largest_report, len(msgspec.json.encode(report)))
        return report

    with monkeypatch.context() as patch:
        patch.setattr(SimulatedStateService, "serve", counting_serve)
        patch.setattr(SimulatedWorker, "_build_report", counting_report)
        scenario = Scenario(SHORT_TASKS, 1).run()
    assert scenario.oracle.violations == [] and scenario.unmet_expectations == []
    cost.revision, cost.done_at = scenario.state.revision, scenario.oracle.done_at
    return cost


def test_raised_tokens_cost_no_requests_and_delay_nothing(monkeypatch: pytest.MonkeyPatch) -> None:
    cost = cost_of_short_tasks(monkeypatch)
    assert cost.largest_report < MAX_REPORT_BYTES
    monkeypatch.setattr(Machine, "token_for", lambda self, commands: self.token)
    assert cost == cost_of_short_tasks(monkeypatch)


#: Machines are rented and returned, jobs are done and cancelled, controllers and machines fail.
EVERY_KIND_OF_REQUEST = """
nodes 3
set machine.idle=8
team t cpus=40 max=80
team u cpus=20 max=60
type g16 cpus=16 memory=64 boot=6
up g16 count=2
at 1 request-copies {targets} share=1 late=40 for=90
at 2 submit wk-1 team=t kind=service tasks=6 cpus=2 spread=yes
at 3 submit wk-2 team=u tasks=12 cpus=4 run=6
at 20 submit wk-3 team=t tasks=8 cpus=8 run=400
at 24 die busiest
at 30 cancel wk-3
at 34 crash leader for=0.3
at 44 submit wk-4 team=u tasks=6 cpus=8 run=5
at 50 refuse follower for=9
at 60 submit wk-5 team=t kind=service tasks=2 cpus=4
at 66 cancel wk-5
at 72 crash all for=0.6
run 200
expect wk-1 running is 6
expect wk-2 done
expect wk-3 aborted
expect wk-4 done
expect wk-5 aborted
expect starts-after-cancel <= 0
expect ghosts <= 0
"""


def watch_transactions(patch: pytest.MonkeyPatch) -> tuple[list[bytes], list[bytes]]:
    """Return the transactions that arrive again after they took effect, and those of them that take effect again."""
    executed: set[bytes] = set()
    repeated: list[bytes] = []
    executed_again: list[bytes] = []
    commit = SimulatedStateService._commit

    def watching_commit(self: SimulatedStateService, txn: Any, reply: ReplyCallback) -> None:
        body = msgspec.json.encode(txn)

        def watching_reply(status: int, response: bytes) -> None:
            if body in executed:
                repeated.append(body)
            if status == 200 and txn.get("apply"):
                if body in executed:
                    executed_again.append(body)
                executed.add(body)
            reply(status, response)

        commit(self, txn, watching_reply)

    patch.setattr(SimulatedStateService, "_commit", watching_commit)
    return repeated, executed_again


@pytest.mark.parametrize("targets", ["state", "cloud", "peers", "users", "machines state cloud peers users"])
def test_late_copies_of_requests_take_no_second_effect(targets: str, monkeypatch: pytest.MonkeyPatch) -> None:
    for seed in range(1, 4):
        with monkeypatch.context() as patch:
            repeated, executed_again = watch_transactions(patch)
            scenario = Scenario(EVERY_KIND_OF_REQUEST.format(targets=targets), seed).run()
        assert scenario.sim.late_copies.count > 0
        assert bool(repeated) == ("state" in targets) and executed_again == [], seed
        assert scenario.oracle.violations == [] and scenario.unmet_expectations == [], seed
