"""What is asked of a controller costs the same in a fleet of twice the size. Counted, no clock."""

from __future__ import annotations

from gladecroft.lab.growth import measure, measure_restart


def test_reports_submissions_and_polls_cost_the_same_and_changes_no_more_in_a_larger_fleet() -> None:
    small, large = measure(20).table(), measure(60).table()
    assert large["starts"] > 2 * small["starts"] > 200
    for what in ("steps / report", "steps / submit", "steps / poll", "changes / start", "requests / start"):
        assert large[what] <= 1.25 * small[what], what
    # A round looks at all work that waits, so its part for each start grows; by less than half as much as the fleet.
    assert large["other steps / start"] <= 2 * small["other steps / start"]


def test_a_start_reads_what_is_unfinished_and_loses_nothing() -> None:
    small, large = measure_restart(30), measure_restart(60)
    assert small["tasks begun anew"] == large["tasks begun anew"] == 0
    # The same requests: a page holds hundreds of records, and jobs that are over are not listed.
    assert large["pages"] == small["pages"] == 3
    assert large["other requests"] <= 2 * small["other requests"] <= 100
    assert large["bytes"] <= 2.2 * small["bytes"]
    # Nothing is written but who lives, and the teams' claims if something waits.
    assert large["changes"] <= 12
