"""Tests the upper bounds on what any scheduling order could have reached, with constructed logs."""

from __future__ import annotations

import json
from pathlib import Path

import numpy as np
import pytest
from click.testing import CliRunner

from gladecroft.lab.bound import SLOT_S, LoggedJob, capacity_per_slot, max_share_in_time, read_log
from gladecroft.lab.fair import DaySummary, best_shares, main

LOG = """
2026-01-01 10:00:00,000 INFO gladecroft.coordination.users: job wk-1: accepted, 2 tasks of c for t
2026-01-01 10:00:00,000 INFO gladecroft.coordination.users: job wk-2: accepted, 1 tasks of c for t
   10.5 n0 2026-01-01 10:00:01,000 INFO gladecroft.coordination.state_writer: wk-1/0#1 goes to m-1
2026-01-01 10:00:01,000 INFO gladecroft.coordination.state_writer: wk-1/1#1 goes to m-2
2026-01-01 10:00:06,000 INFO gladecroft.coordination.state_writer: wk-1/1#1 on m-2 ended: evicted for wk-9
2026-01-01 10:00:11,000 INFO gladecroft.coordination.state_writer: wk-1/1#2 goes to m-3
2026-01-01 10:00:21,000 INFO gladecroft.coordination.state_writer: wk-1 is over: done
a line of another program
2026-01-01 10:00:21,000 INFO gladecroft.coordination.state_writer: wk-2/0#1 goes to m-3
2026-01-01 10:00:31,000 INFO gladecroft.coordination.state_writer: wk-2 is over: done
"""


def test_log_yields_acceptance_and_finish_times_and_held_capacity() -> None:
    jobs, spans = read_log(LOG.splitlines())
    # The exits of a job's last tasks have no log lines of their own; the time of the final state is used instead.
    assert jobs["wk-1"] == LoggedJob(0.0, 2, "c", 21.0, 20.0 + 5.0 + 10.0, "t")
    assert jobs["wk-2"] == LoggedJob(0.0, 1, "c", 31.0, 10.0, "t")
    capacity = capacity_per_slot([span for job_spans in spans.values() for span in job_spans], 31.0)
    assert capacity.sum() == pytest.approx(45.0) and capacity[0] == pytest.approx(8.0)


def test_max_share_in_time_for_given_capacity_and_deadline() -> None:
    # Capacity for one task for 100 s; one array needs 90 s, nine need 10 s each.
    jobs = [LoggedJob(0.0, 1, "c", None, 90.0), *(LoggedJob(0.0, 1, "c", None, 10.0) for _ in range(9))]
    capacity = capacity_per_slot([(0.0, 100.0)], 100.0)
    assert max_share_in_time(jobs, capacity, 100.0) == pytest.approx(0.9, abs=0.01)
    assert max_share_in_time(jobs, capacity, 50.0) == pytest.approx(0.5, abs=0.01)
    # A task cannot run on two machines at once, so one of 90 s never finishes within 50 s, whatever the capacity.
    assert max_share_in_time(jobs, 100 * capacity, 50.0) == pytest.approx(0.9, abs=0.01)
    assert max_share_in_time(jobs, 100 * capacity, 100.0) == pytest.approx(1.0, abs=0.01)


def make_day(jobs: list[tuple[str, str, int, float, float]], cores_available: float) -> DaySummary:
    """Return a day of 200 s; all jobs (class, team, tasks, cores, seconds) are accepted at its start."""
    logged = {
        f"wk-{number}": LoggedJob(
            0.0, tasks, job_class, work=cores * tasks * task_s, team=team, cores=cores, estimate_s=task_s
        )
        for number, (job_class, team, tasks, cores, task_s) in enumerate(jobs)
    }
    return DaySummary(logged, dict.fromkeys(logged, 0.0), np.full(40, cores_available * SLOT_S), 200.0)


def test_minimum_share_is_bounded_by_capacity_and_changes() -> None:
    # 10 cores for 200 s, and a task that starts at the last moment counts: 2,100 core-seconds for a demand of 4,000.
    day = make_day([("x", "a", 10, 1.0, 10.0)] * 20 + [("y", "b", 10, 1.0, 10.0)] * 20, 10.0)
    min_share, shares = best_shares(day, 1000.0)
    assert min_share == pytest.approx(0.525, abs=0.01)
    assert shares["class x"] == pytest.approx(shares["class y"], abs=0.02)
    # 40 jobs need at least two changes each, and the limit allows 40 changes in 200 s.
    assert best_shares(day, 0.2)[0] == pytest.approx(0.5, abs=0.01)
    assert best_shares(make_day([("x", "a", 10, 1.0, 10.0)], 10.0), 50.0)[0] == pytest.approx(1.0)
    # If capacity was added late, the bound is lower than with the maximum capacity from the start.
    day.capacity[:20] = 0.0
    assert best_shares(day, 1000.0)[0] == pytest.approx(0.275, abs=0.01)
    assert best_shares(day.at_max_capacity(), 1000.0)[0] == pytest.approx(0.525, abs=0.01)


def test_log_without_cores_is_rejected_and_log_with_cores_yields_shares(tmp_path: Path) -> None:
    log = tmp_path / "day.log"
    log.write_text(LOG, encoding="utf-8")
    result = CliRunner().invoke(main, [str(log)])
    assert result.exit_code == 2 and "no accepted job with its cores" in result.output
    log.write_text(LOG.replace(" for t", " for t with 2 cores for 10 s each"), encoding="utf-8")
    result = CliRunner().invoke(main, [str(log), "--skip-last", "0", "--json"])
    assert result.exit_code == 0
    assert json.loads(result.output)["reached"] == {"class c": 1.0, "team t": 1.0}
