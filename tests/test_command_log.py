"""The logs tell the history of a task on its machines, and the status view counts commands."""

from __future__ import annotations

import logging
import re

import pytest

from gladecroft.coordination.events import CallResult
from gladecroft.coordination.machines.machine import Machine
from gladecroft.lab.scenario import Scenario
from test_fencing import CoreHarness
from test_late_copies import FAILED_TASKS_PLACED_ELSEWHERE

COMMAND_LOG = "gladecroft.coordination.machines.command_log"


def command_lines(caplog: pytest.LogCaptureFixture) -> list[str]:
    return [record.getMessage() for record in caplog.records if record.name == COMMAND_LOG]


def test_debug_log_tells_why_each_command_was_sent_and_under_which_token(caplog: pytest.LogCaptureFixture) -> None:
    caplog.set_level(logging.DEBUG)
    harness = CoreHarness()
    for action in ("report", "report", "place", "deliver", "finish", "report", "commit", "report", "report"):
        harness.perform(action)
    base = harness.core.membership.base_token()
    start, forget = command_lines(caplog)
    fields = r"machine=m-1 session=1 token={} way={} right=lease report=\d+ revision=\d+"
    assert re.fullmatch("command start: attempt=wk-1/0#1 " + fields.format(base, "direct"), start)
    assert re.fullmatch("command forget: attempt=wk-1/0#1 " + fields.format(base + 1, "reply"), forget)
    assert any(record.getMessage().startswith("exit confirmed: attempt=wk-1/0#1") for record in caplog.records)
    counts = harness.core.view()["commands"]
    assert counts == {"start": 1, "stop": 0, "forget": 1, "refused": 0, "token_raised": 1, "without_record": 0}


def test_refused_commands_are_counted_and_logged_at_info(caplog: pytest.LogCaptureFixture) -> None:
    caplog.set_level(logging.INFO)
    harness = CoreHarness()
    for action in ("report", "report", "place"):
        harness.perform(action)
    call = harness.command
    assert call is not None
    harness.token += 1
    harness.step([CallResult(call.call_id, 409, harness.report())])
    (line,) = command_lines(caplog)
    assert line.startswith("commands refused: machine=m-1 session=1 token=")
    assert harness.core.view()["commands"]["refused"] == 1


def test_attempts_that_run_without_a_record_are_logged_at_info(
    caplog: pytest.LogCaptureFixture, monkeypatch: pytest.MonkeyPatch
) -> None:
    caplog.set_level(logging.INFO)
    assert Scenario(FAILED_TASKS_PLACED_ELSEWHERE, 3).run().oracle.violations == []
    assert command_lines(caplog) == []
    monkeypatch.setattr(Machine, "token_for", lambda self, commands: self.token)
    assert Scenario(FAILED_TASKS_PLACED_ELSEWHERE, 3).run().oracle.violations != []
    lines = command_lines(caplog)
    assert lines and all(line.startswith("attempt without a record is stopped: attempt=wk-1/") for line in lines)
