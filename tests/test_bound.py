"""The bound on what any order could have had done in time, on logs written here."""

from __future__ import annotations

import json
from pathlib import Path

import numpy as np
import pytest
from click.testing import CliRunner

from gladecroft.lab.bound import SLOT, Array, most_in_time, read, room
from gladecroft.lab.fair import Day, best_shares, main

LOG = """
2026-01-01 10:00:00,000 INFO gladecroft.coordination.users: job wk-1: accepted, 2 tasks of c for t
2026-01-01 10:00:00,000 INFO gladecroft.coordination.users: job wk-2: accepted, 1 tasks of c for t
   10.5 n0 2026-01-01 10:00:01,000 INFO gladecroft.coordination.state_writer: wk-1/0#1 goes to m-1
2026-01-01 10:00:01,000 INFO gladecroft.coordination.state_writer: wk-1/1#1 goes to m-2
2026-01-01 10:00:06,000 INFO gladecroft.coordination.state_writer: wk-1/1#1 on m-2 ended: evicted for wk-9
2026-01-01 10:00:11,000 INFO gladecroft.coordination.state_writer: wk-1/1#2 goes to m-3
2026-01-01 10:00:21,000 INFO gladecroft.coordination.state_writer: wk-1 is over: done
nothing of ours
2026-01-01 10:00:21,000 INFO gladecroft.coordination.state_writer: wk-2/0#1 goes to m-3
2026-01-01 10:00:31,000 INFO gladecroft.coordination.state_writer: wk-2 is over: done
"""


def test_a_log_tells_when_arrays_were_accepted_and_over_and_what_room_they_held() -> None:
    arrays, spans = read(LOG.splitlines())
    # The last ends come with the final state: they are taken to be then.
    assert arrays["wk-1"] == Array(0.0, 2, "c", 21.0, 20.0 + 5.0 + 10.0, "t")
    assert arrays["wk-2"] == Array(0.0, 1, "c", 31.0, 10.0, "t")
    held = room([span for each in spans.values() for span in each], 31.0)
    assert held.sum() == pytest.approx(45.0) and held[0] == pytest.approx(8.0)


def test_small_ones_first_is_found_where_it_is_the_best_order() -> None:
    # Room for one task for 100 s; one array needs 90 of them, nine need 10 each.
    arrays = [Array(0.0, 1, "c", None, 90.0), *(Array(0.0, 1, "c", None, 10.0) for _ in range(9))]
    held = room([(0.0, 100.0)], 100.0)
    assert most_in_time(arrays, held, 100.0) == pytest.approx(0.9, abs=0.01)
    assert most_in_time(arrays, held, 50.0) == pytest.approx(0.5, abs=0.01)
    # A task can't be split among machines, so one of 90 s is never done in 50, however much room there is.
    assert most_in_time(arrays, 100 * held, 50.0) == pytest.approx(0.9, abs=0.01)
    assert most_in_time(arrays, 100 * held, 100.0) == pytest.approx(1.0, abs=0.01)


def fair_day(jobs: list[tuple[str, str, int, float, float]], room_cores: float) -> Day:
    """Jobs (class, team, tasks, cores, seconds), all accepted at the start of 200 s."""
    arrays = {
        f"wk-{number}": Array(0.0, tasks, job_class, work=cores * tasks * each, team=team, cores=cores, estimate=each)
        for number, (job_class, team, tasks, cores, each) in enumerate(jobs)
    }
    return Day(arrays, dict.fromkeys(arrays, 0.0), np.full(40, room_cores * SLOT), 200.0)


def test_the_best_least_share_is_what_room_and_changes_allow() -> None:
    # Room for 200 s of 10 cores, and a task begun at the last moment counts: 2,100 core-seconds for 4,000.
    day = fair_day([("x", "a", 10, 1.0, 10.0)] * 20 + [("y", "b", 10, 1.0, 10.0)] * 20, 10.0)
    least, best = best_shares(day, 1000.0)
    assert least == pytest.approx(0.525, abs=0.01)
    assert best["class x"] == pytest.approx(best["class y"], abs=0.02)
    # Twice forty changes at the least, and forty in 200 s.
    assert best_shares(day, 0.2)[0] == pytest.approx(0.5, abs=0.01)
    assert best_shares(fair_day([("x", "a", 10, 1.0, 10.0)], 10.0), 50.0)[0] == pytest.approx(1.0)
    # Where the room came late, there was less of it than the most that ever was.
    day.room[:20] = 0.0
    assert best_shares(day, 1000.0)[0] == pytest.approx(0.275, abs=0.01)
    assert best_shares(day.most_room_always(), 1000.0)[0] == pytest.approx(0.525, abs=0.01)


def test_a_log_without_cores_is_refused(tmp_path: Path) -> None:
    log = tmp_path / "day.log"
    log.write_text(LOG, encoding="utf-8")
    result = CliRunner().invoke(main, [str(log)])
    assert result.exit_code == 2 and "no accepted job with its cores" in result.output
    log.write_text(LOG.replace(" for t", " for t with 2 cores for 10 s each"), encoding="utf-8")
    result = CliRunner().invoke(main, [str(log), "--skip-last", "0", "--json"])
    assert result.exit_code == 0
    assert json.loads(result.output)["reached"] == {"class c": 1.0, "team t": 1.0}
