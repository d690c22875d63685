"""The two placers on the ordinary path, as DESIGN states them."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from gladecroft.coordination.scheduling.placement import (
    Candidate,
    HighPriorityPlacer,
    LowPriorityPlacer,
    PlacedTask,
    TaskRequest,
    may_evict,
    victims_on,
)

LINE = 1


def make_request(
    cpus: float = 4, rank: int = 0, team: str = "t", guaranteed: bool = False, image: str = "i"
) -> TaskRequest:
    return TaskRequest(cpus, 0, 1, image, rank, team, guaranteed, "n0")


def make_task(
    number: int, cpus: float, rank: int, placed: int = 0, team: str = "u", guaranteed: bool = False
) -> PlacedTask:
    return PlacedTask("wk-1", number, cpus, 0, 1, rank, team, guaranteed, placed)


def make_candidate(
    name: str, *residents: PlacedTask, mine: bool = True, spot: bool = False, images: tuple[str, ...] = ()
) -> Candidate:
    made = Candidate(name, "a", spot, mine, "n0" if mine else "n1", 16, 0, 64, set(images), list(residents))
    made.count(LINE)
    return made


def test_machines_rank_by_core_use_of_high_priority_work_only() -> None:
    slots = [
        make_candidate("m-1"),
        make_candidate("m-2", make_task(0, 8, 0)),
        make_candidate("m-3", make_task(0, 4, 0), make_task(1, 8, 3)),
    ]
    assert [offer.slot.machine for offer in HighPriorityPlacer(4, True).offers(make_request(), slots)] == [
        "m-2",
        "m-3",
        "m-1",
    ]


def test_only_the_top_n_are_offered() -> None:
    slots = [make_candidate(f"m-{index}") for index in range(9)]
    assert len(HighPriorityPlacer(4, True).offers(make_request(), slots)) == 4
    assert len(HighPriorityPlacer(2, True).offers(make_request(), slots)) == 2


def test_spot_avoiding_filter_puts_machines_without_evictions_first() -> None:
    full = make_candidate("m-1", make_task(0, 12, 0), make_task(1, 4, 3))
    free = make_candidate("m-2")
    assert [offer.slot.machine for offer in HighPriorityPlacer(4, True).offers(make_request(), [full, free])] == ["m-2"]
    off = HighPriorityPlacer(4, False).offers(make_request(), [full, free])
    assert [offer.slot.machine for offer in off] == ["m-1", "m-2"]


def test_the_low_side_takes_the_offer_with_the_fewest_evictions() -> None:
    two = make_candidate("m-1", make_task(0, 10, 0), make_task(1, 3, 3), make_task(2, 3, 3))
    one = make_candidate("m-2", make_task(0, 8, 0), make_task(1, 8, 3))
    offer = LowPriorityPlacer().choose(make_request(), HighPriorityPlacer(4, True).offers(make_request(), [two, one]))
    assert offer is not None
    assert (offer.slot.machine, [victim.number for victim in offer.victims]) == ("m-2", [1])


def test_victims_are_oldest_placed_first() -> None:
    victims = victims_on(
        make_candidate("m-1", make_task(0, 8, 3, placed=20), make_task(1, 8, 3, placed=10)), make_request(8)
    )
    assert victims is not None and [victim.number for victim in victims] == [1]


def test_work_within_its_guarantee_is_never_evicted() -> None:
    assert not may_evict(make_request(rank=0, guaranteed=True), make_task(0, 4, 3, guaranteed=True))
    assert victims_on(make_candidate("m-1", make_task(0, 16, 3, guaranteed=True)), make_request()) is None


def test_equal_priority_is_evicted_only_for_another_teams_guarantee() -> None:
    assert not may_evict(make_request(rank=2), make_task(0, 4, 2))
    assert may_evict(make_request(rank=2, guaranteed=True), make_task(0, 4, 2))
    assert may_evict(make_request(rank=3, guaranteed=True), make_task(0, 4, 0))
    assert not may_evict(make_request(rank=2, guaranteed=True, team="u"), make_task(0, 4, 2, team="u"))


def test_higher_priority_evicts_borrowed_lower_priority() -> None:
    assert may_evict(make_request(rank=0), make_task(0, 4, 2))
    assert not may_evict(make_request(rank=2), make_task(0, 4, 0))


def test_stopping_work_is_not_evicted_again() -> None:
    leaving = make_task(0, 16, 3)
    leaving.stopping = True
    full = make_candidate("m-1", leaving)
    assert not may_evict(make_request(), leaving)
    assert not full.fits(make_request()) and full.will_fit(make_request())


def test_low_priority_work_prefers_machines_without_high_priority_work() -> None:
    offer = LowPriorityPlacer().place(
        make_request(rank=2), [make_candidate("m-1", make_task(0, 1, 0), images=("i",)), make_candidate("m-2")]
    )
    assert offer is not None and offer.slot.machine == "m-2"


def test_low_priority_work_then_prefers_cheap_machines_and_cached_images() -> None:
    slots = [make_candidate("m-1"), make_candidate("m-2", spot=True), make_candidate("m-3", spot=True, images=("i",))]
    offer = LowPriorityPlacer().place(make_request(rank=2), slots)
    assert offer is not None and offer.slot.machine == "m-3"


def test_low_priority_work_evicts_only_for_a_guarantee() -> None:
    full = make_candidate("m-1", make_task(0, 16, 2))
    assert LowPriorityPlacer().place(make_request(rank=2), [full]) is None
    offer = LowPriorityPlacer().place(make_request(rank=2, guaranteed=True), [full])
    assert offer is not None and len(offer.victims) == 1


def test_ones_own_part_comes_first() -> None:
    slots = [make_candidate("m-1", make_task(0, 8, 0), mine=False), make_candidate("m-2")]
    assert HighPriorityPlacer(1, True).offers(make_request(), slots)[0].slot.machine == "m-2"


def test_a_gang_counts_whole() -> None:
    member = make_task(1, 8, 3)
    member.together = 5
    gang, two = (
        make_candidate("m-1", make_task(0, 8, 0), member),
        make_candidate("m-2", make_task(2, 8, 3), make_task(3, 8, 3)),
    )
    offer = LowPriorityPlacer().choose(
        make_request(12), HighPriorityPlacer(4, True).offers(make_request(12), [gang, two])
    )
    assert offer is not None and offer.slot.machine == "m-2"
    offer = LowPriorityPlacer().choose(make_request(8), HighPriorityPlacer(4, True).offers(make_request(8), [gang]))
    assert offer is not None and offer.evictions() == 5


SELDOM = st.sampled_from([False, False, False, True])


@settings(max_examples=300)
@given(
    st.lists(
        st.tuples(st.integers(0, 3), st.sampled_from("tuv"), SELDOM, SELDOM, st.integers(3, 8)),
        min_size=2,
        max_size=3,
    ),
    st.lists(st.tuples(st.integers(0, 3), st.booleans()), max_size=2),
    st.tuples(st.integers(0, 3), st.booleans(), SELDOM, st.integers(2, 10)),
)
def test_where_nobody_can_be_pushed_away_nobody_is_looked_for(
    held: list[tuple[int, str, bool, bool, int]], added: list[tuple[int, bool]], wanted: tuple[int, bool, bool, int]
) -> None:
    """The short cut never hides what a look at all that is there would have found."""
    rank, guaranteed, gentle, cpus = wanted
    need = TaskRequest(cpus, 0.0, 1.0, "i", rank, "t", guaranteed, "n0", gentle)
    here = make_candidate("m-1", *(
        PlacedTask(f"wk-{index}", 0, cpus, 0.0, 1.0, rank, team, inside, index, stopping)
        for index, (rank, team, inside, stopping, cpus) in enumerate(held)
    ))  # fmt: skip
    for number, (rank, inside) in enumerate(added):
        here.add(PlacedTask(f"wk-9{number}", 0, 1.0, 0.0, 1.0, rank, "u", inside, 1 << 40))
    with pytest.MonkeyPatch.context() as patch:
        short = victims_on(here, need)
        patch.setattr(Candidate, "has_victims", lambda self, need: True)
        assert victims_on(here, need) == short
