"""The cost of a request to a controller does not grow with the number of machines. Costs are counted, not timed."""

from __future__ import annotations

from gladecroft.lab.growth import measure_load, measure_restart


def test_cost_per_report_submission_and_poll_does_not_grow_with_the_number_of_machines() -> None:
    small, large = measure_load(20).rows_per_operation(), measure_load(60).rows_per_operation()
    assert large["starts"] > 2 * small["starts"] > 200
    for what in ("steps / report", "steps / submit", "steps / poll", "changes / start", "requests / start"):
        assert large[what] <= 1.25 * small[what], what
    # A scheduling round considers all pending work, so its cost per start grows, but by less than half as much as the
    # number of machines.
    assert large["other steps / start"] <= 2 * small["other steps / start"]


def test_restart_reads_only_unfinished_jobs_and_restarts_no_task() -> None:
    small, large = measure_restart(30), measure_restart(60)
    assert small["tasks begun anew"] == large["tasks begun anew"] == 0
    # The number of pages stays the same: a page holds hundreds of records, and finished jobs are not listed.
    assert large["pages"] == small["pages"] == 3
    assert large["other requests"] <= 2 * small["other requests"] <= 100
    assert large["bytes"] <= 2.2 * small["bytes"]
    # Only the membership and, if work is pending, the teams' claims are written.
    assert large["changes"] <= 12
