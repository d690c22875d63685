"""Tests that the cost of a request does not grow with the number of machines, and the cost of a restart.

Costs are counts of calls, requests, changes and bytes, not times.
"""

from __future__ import annotations

from gladecroft.lab.growth import measure_load, measure_restart


def test_cost_per_report_submission_and_poll_does_not_grow_with_the_number_of_machines() -> None:
    small, large = measure_load(20).table_rows(), measure_load(60).table_rows()
    assert large["starts"] > 2 * small["starts"] > 200
    for row in ("steps / report", "steps / submit", "steps / poll", "changes / start", "requests / start"):
        assert large[row] <= 1.25 * small[row], row
    # A scheduling round considers all queued tasks, so the other steps per start grow, but by a factor of at most two
    # for three times as many machines.
    assert large["other steps / start"] <= 2 * small["other steps / start"]


def test_restart_reads_only_unfinished_jobs_and_restarts_no_task() -> None:
    small, large = measure_restart(30), measure_restart(60)
    assert small["tasks begun anew"] == large["tasks begun anew"] == 0
    # The number of pages stays the same: a page holds hundreds of records, and finished jobs are not listed.
    assert large["pages"] == small["pages"] == 3
    assert large["other requests"] <= 2 * small["other requests"] <= 100
    assert large["bytes"] <= 2.2 * small["bytes"]
    # Only the membership and, if tasks are queued, the teams' claims are written.
    assert large["changes"] <= 12
