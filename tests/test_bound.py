"""The bound on what any order could have had done in time, on logs written here."""

from __future__ import annotations

import pytest

from gladecroft.lab.bound import Array, most_in_time, read, room

LOG = """
2026-01-01 10:00:00,000 INFO gladecroft.coordination.users: job wk-1: accepted, 2 tasks of c for t
2026-01-01 10:00:00,000 INFO gladecroft.coordination.users: job wk-2: accepted, 1 tasks of c for t
   10.5 n0 2026-01-01 10:00:01,000 INFO gladecroft.coordination.ledger: wk-1/0#1 goes to m-1
2026-01-01 10:00:01,000 INFO gladecroft.coordination.ledger: wk-1/1#1 goes to m-2
2026-01-01 10:00:06,000 INFO gladecroft.coordination.ledger: wk-1/1#1 on m-2 ended: evicted for wk-9
2026-01-01 10:00:11,000 INFO gladecroft.coordination.ledger: wk-1/1#2 goes to m-3
2026-01-01 10:00:21,000 INFO gladecroft.coordination.ledger: wk-1 is over: done
nothing of ours
2026-01-01 10:00:21,000 INFO gladecroft.coordination.ledger: wk-2/0#1 goes to m-3
2026-01-01 10:00:31,000 INFO gladecroft.coordination.ledger: wk-2 is over: done
"""


def test_a_log_tells_when_arrays_were_accepted_and_over_and_what_room_they_held() -> None:
    arrays, spans = read(LOG.splitlines())
    # The last ends come with the final state: they are taken to be then.
    assert arrays["wk-1"] == Array(0.0, 2, "c", 21.0, 20.0 + 5.0 + 10.0)
    assert arrays["wk-2"] == Array(0.0, 1, "c", 31.0, 10.0)
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
