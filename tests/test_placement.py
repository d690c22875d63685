"""Rules of the two placers, as stated in DESIGN."""

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
    select_victims,
)

MAX_HIGH_PRIORITY_RANK = 1


def make_request(
    cpus: float = 4, rank: int = 0, team: str = "t", uses_guarantee: bool = False, image: str = "i"
) -> TaskRequest:
    return TaskRequest(cpus, 0, 1, image, rank, team, uses_guarantee, "n0")


def make_task(
    number: int, cpus: float, rank: int, placed_s: int = 0, team: str = "u", within_guarantee: bool = False
) -> PlacedTask:
    return PlacedTask("wk-1", number, cpus, 0, 1, rank, team, within_guarantee, placed_s)


def make_candidate(
    name: str, *tasks: PlacedTask, owned: bool = True, spot: bool = False, images: tuple[str, ...] = ()
) -> Candidate:
    candidate = Candidate(name, "a", spot, owned, "n0" if owned else "n1", 16, 0, 64, set(images), list(tasks))
    candidate.recompute(MAX_HIGH_PRIORITY_RANK)
    return candidate


def test_machines_rank_by_core_use_of_high_priority_work_only() -> None:
    candidates = [
        make_candidate("m-1"),
        make_candidate("m-2", make_task(0, 8, 0)),
        make_candidate("m-3", make_task(0, 4, 0), make_task(1, 8, 3)),
    ]
    assert [
        offer.candidate.machine_id for offer in HighPriorityPlacer(4, True).rank_offers(make_request(), candidates)
    ] == [
        "m-2",
        "m-3",
        "m-1",
    ]


def test_only_the_top_n_are_offered() -> None:
    candidates = [make_candidate(f"m-{index}") for index in range(9)]
    assert len(HighPriorityPlacer(4, True).rank_offers(make_request(), candidates)) == 4
    assert len(HighPriorityPlacer(2, True).rank_offers(make_request(), candidates)) == 2


def test_spot_avoiding_filter_offers_no_evictions_if_a_machine_fits_without() -> None:
    full = make_candidate("m-1", make_task(0, 12, 0), make_task(1, 4, 3))
    free = make_candidate("m-2")
    assert [
        offer.candidate.machine_id for offer in HighPriorityPlacer(4, True).rank_offers(make_request(), [full, free])
    ] == ["m-2"]
    without_filter = HighPriorityPlacer(4, False).rank_offers(make_request(), [full, free])
    assert [offer.candidate.machine_id for offer in without_filter] == ["m-1", "m-2"]


def test_the_low_priority_placer_takes_the_offer_with_the_fewest_evictions() -> None:
    two = make_candidate("m-1", make_task(0, 10, 0), make_task(1, 3, 3), make_task(2, 3, 3))
    one = make_candidate("m-2", make_task(0, 8, 0), make_task(1, 8, 3))
    offer = LowPriorityPlacer().choose_offer(
        make_request(), HighPriorityPlacer(4, True).rank_offers(make_request(), [two, one])
    )
    assert offer is not None
    assert (offer.candidate.machine_id, [victim.task_number for victim in offer.victims]) == ("m-2", [1])


def test_victims_are_oldest_placed_first() -> None:
    victims = select_victims(
        make_candidate("m-1", make_task(0, 8, 3, placed_s=20), make_task(1, 8, 3, placed_s=10)), make_request(8)
    )
    assert victims is not None and [victim.task_number for victim in victims] == [1]


def test_work_within_its_guarantee_is_never_evicted() -> None:
    assert not may_evict(make_request(rank=0, uses_guarantee=True), make_task(0, 4, 3, within_guarantee=True))
    assert select_victims(make_candidate("m-1", make_task(0, 16, 3, within_guarantee=True)), make_request()) is None


def test_equal_or_higher_priority_is_evicted_only_for_another_teams_guarantee() -> None:
    assert not may_evict(make_request(rank=2), make_task(0, 4, 2))
    assert may_evict(make_request(rank=2, uses_guarantee=True), make_task(0, 4, 2))
    assert may_evict(make_request(rank=3, uses_guarantee=True), make_task(0, 4, 0))
    assert not may_evict(make_request(rank=2, uses_guarantee=True, team="u"), make_task(0, 4, 2, team="u"))


def test_higher_priority_evicts_borrowed_lower_priority() -> None:
    assert may_evict(make_request(rank=0), make_task(0, 4, 2))
    assert not may_evict(make_request(rank=2), make_task(0, 4, 0))


def test_stopping_work_is_not_evicted_again() -> None:
    stopping_task = make_task(0, 16, 3)
    stopping_task.stopping = True
    full = make_candidate("m-1", stopping_task)
    assert not may_evict(make_request(), stopping_task)
    assert not full.fits(make_request()) and full.fits_after_release(make_request())


def test_low_priority_work_prefers_machines_without_high_priority_work() -> None:
    offer = LowPriorityPlacer().place(
        make_request(rank=2), [make_candidate("m-1", make_task(0, 1, 0), images=("i",)), make_candidate("m-2")]
    )
    assert offer is not None and offer.candidate.machine_id == "m-2"


def test_low_priority_work_then_prefers_spot_machines_and_cached_images() -> None:
    candidates = [
        make_candidate("m-1"),
        make_candidate("m-2", spot=True),
        make_candidate("m-3", spot=True, images=("i",)),
    ]
    offer = LowPriorityPlacer().place(make_request(rank=2), candidates)
    assert offer is not None and offer.candidate.machine_id == "m-3"


def test_low_priority_work_evicts_only_for_a_guarantee() -> None:
    full = make_candidate("m-1", make_task(0, 16, 2))
    assert LowPriorityPlacer().place(make_request(rank=2), [full]) is None
    offer = LowPriorityPlacer().place(make_request(rank=2, uses_guarantee=True), [full])
    assert offer is not None and len(offer.victims) == 1


def test_machines_of_the_home_controller_come_first() -> None:
    candidates = [make_candidate("m-1", make_task(0, 8, 0), owned=False), make_candidate("m-2")]
    assert HighPriorityPlacer(1, True).rank_offers(make_request(), candidates)[0].candidate.machine_id == "m-2"


def test_evicting_one_task_of_a_gang_counts_as_evicting_all() -> None:
    gang_task = make_task(1, 8, 3)
    gang_task.gang_size = 5
    gang, two = (
        make_candidate("m-1", make_task(0, 8, 0), gang_task),
        make_candidate("m-2", make_task(2, 8, 3), make_task(3, 8, 3)),
    )
    offer = LowPriorityPlacer().choose_offer(
        make_request(12), HighPriorityPlacer(4, True).rank_offers(make_request(12), [gang, two])
    )
    assert offer is not None and offer.candidate.machine_id == "m-2"
    offer = LowPriorityPlacer().choose_offer(
        make_request(8), HighPriorityPlacer(4, True).rank_offers(make_request(8), [gang])
    )
    assert offer is not None and offer.eviction_count() == 5


MOSTLY_FALSE = st.sampled_from([False, False, False, True])


@settings(max_examples=300)
@given(
    st.lists(
        st.tuples(st.integers(0, 3), st.sampled_from("tuv"), MOSTLY_FALSE, MOSTLY_FALSE, st.integers(3, 8)),
        min_size=2,
        max_size=3,
    ),
    st.lists(st.tuples(st.integers(0, 3), st.booleans()), max_size=2),
    st.tuples(st.integers(0, 3), st.booleans(), MOSTLY_FALSE, st.integers(2, 10)),
)
def test_the_shortcut_does_not_change_which_victims_are_selected(
    placed: list[tuple[int, str, bool, bool, int]],
    added: list[tuple[int, bool]],
    requested: tuple[int, bool, bool, int],
) -> None:
    """``may_have_victims`` only skips searches that would have found nothing."""
    rank, uses_guarantee, non_preempting, cpus = requested
    request = TaskRequest(cpus, 0.0, 1.0, "i", rank, "t", uses_guarantee, "n0", non_preempting)
    candidate = make_candidate("m-1", *(
        PlacedTask(f"wk-{index}", 0, cpus, 0.0, 1.0, rank, team, within_guarantee, index, stopping)
        for index, (rank, team, within_guarantee, stopping, cpus) in enumerate(placed)
    ))  # fmt: skip
    for number, (rank, within_guarantee) in enumerate(added):
        candidate.add_task(PlacedTask(f"wk-9{number}", 0, 1.0, 0.0, 1.0, rank, "u", within_guarantee, 1 << 40))
    with pytest.MonkeyPatch.context() as patch:
        with_shortcut = select_victims(candidate, request)
        patch.setattr(Candidate, "may_have_victims", lambda self, request: True)
        assert select_victims(candidate, request) == with_shortcut
