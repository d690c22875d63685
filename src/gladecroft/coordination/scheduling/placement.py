"""The two cooperating placers, after CoSpot (Iqbal et al., SoCC '22), as pure functions over candidate machines.

For a high-priority task the high-priority placer ranks the machines and offers the first N of them; the low-priority
placer chooses the offer with the fewest evictions. The low-priority placer places low-priority tasks on its own, and
avoids machines with high-priority tasks where it can. A task has high priority if its rank is at most
``max_high_priority_rank`` (the operators' setting ``priority.line``); rank 0 is the highest priority.

The home controller places a team's tasks; the owner of a machine is the controller to which the machine reports.
"""

from __future__ import annotations

from bisect import insort
from collections.abc import Callable, Container, Iterable, Iterator
from typing import Any

import msgspec

#: Tolerance of comparisons between sums of cores, GPUs or memory.
EPSILON = 1e-6
#: A machine lists all its tasks in one report of at most 64 KiB, which holds this many with the longest names.
MAX_TASKS_PER_MACHINE = 400


class TaskRequest(msgspec.Struct, gc=False, frozen=True):
    """The resources that one task needs, and the properties that decide which other tasks it may evict.

    ``rank`` is the rank of its priority, 0 being the highest; ``home`` is the team's home controller.
    ``uses_guarantee``: the task is placed on its team's guarantee.
    """

    cpus: float
    gpus: float
    memory_gb: float
    image: str
    rank: int
    team: str
    uses_guarantee: bool
    home: str = ""
    #: Whether the task may only use free capacity, since its team and class exceed their fair share in an overload.
    non_preempting: bool = False
    #: (team, class) pairs that use no more than their floor or share in an overload; their tasks must not be evicted.
    protected: Container[tuple[str, str]] = ()


class PlacedTask(msgspec.Struct, gc=False, eq=False):
    """A task on a machine.

    ``within_guarantee``: its job fits into its team's guarantee; otherwise its resources are borrowed.
    ``stopping``: it has been told to stop and still holds its resources.
    """

    job_id: str
    task_number: int
    cpus: float
    gpus: float
    memory_gb: float
    rank: int
    team: str
    within_guarantee: bool
    placed_s: int
    stopping: bool = False
    job_class: str = ""
    #: Number of tasks that stop if this one is evicted: all placed tasks of its gang; 1 for other jobs.
    gang_size: int = 1


class Candidate(msgspec.Struct, eq=False):
    """A machine as a candidate for placement: its resources, images and tasks.

    ``owner`` is the controller that owns the machine; ``owned`` says whether that is this controller.
    """

    machine_id: str
    zone: str
    spot: bool
    owned: bool
    owner: str
    cpus: float
    gpus: float
    memory_gb: float
    images: set[str]
    tasks: list[PlacedTask]
    free_cpus: float = 0.0
    free_gpus: float = 0.0
    free_memory_gb: float = 0.0
    #: Cores used by high-priority tasks.
    high_priority_cpus: float = 0.0
    #: Resources of stopping tasks, which become free when the tasks have exited.
    releasing_cpus: float = 0.0
    releasing_gpus: float = 0.0
    releasing_memory_gb: float = 0.0
    #: Cores of tasks outside their team's guarantee that are not stopping: the most that evictions could free.
    borrowed_cpus: float = 0.0
    #: Largest rank (lowest priority) of those tasks; -1 if there are none.
    max_borrowed_rank: int = -1
    #: How many more tasks the machine can list in its report.
    remaining_tasks: int = MAX_TASKS_PER_MACHINE
    #: The policies' score for the current job; between machines that are otherwise equal, the lowest score wins.
    policy_score: float = 0.0

    def recompute(self, max_high_priority_rank: int) -> None:
        """Recompute free, releasing and borrowed capacity and the cores of high-priority tasks from the tasks."""
        self.tasks.sort(key=lambda task: task.placed_s)
        self.borrowed_cpus = 0.0
        self.max_borrowed_rank = -1
        self.free_cpus, self.free_gpus, self.free_memory_gb = self.cpus, self.gpus, self.memory_gb
        self.high_priority_cpus = self.releasing_cpus = self.releasing_gpus = self.releasing_memory_gb = 0.0
        for task in self.tasks:
            self.free_cpus -= task.cpus
            self.free_gpus -= task.gpus
            self.free_memory_gb -= task.memory_gb
            if task.rank <= max_high_priority_rank:
                self.high_priority_cpus += task.cpus
            if task.stopping:
                self.releasing_cpus += task.cpus
                self.releasing_gpus += task.gpus
                self.releasing_memory_gb += task.memory_gb
            elif not task.within_guarantee:
                self.borrowed_cpus += task.cpus
                self.max_borrowed_rank = max(self.max_borrowed_rank, task.rank)
        self._set_remaining_tasks(MAX_TASKS_PER_MACHINE - len(self.tasks))

    def _set_remaining_tasks(self, remaining: int) -> None:
        """Set how many more tasks fit into a report; a machine at its limit has no free cores.

        Without the limit, tasks that request neither cores nor memory would all go to one machine.
        """
        self.remaining_tasks = remaining
        if remaining <= 0:
            self.free_cpus = min(self.free_cpus, -1.0)

    def fits(self, request: TaskRequest) -> bool:
        """Whether a request fits into the free capacity."""
        return (
            request.cpus <= self.free_cpus + EPSILON
            and request.gpus <= self.free_gpus + EPSILON
            and request.memory_gb <= self.free_memory_gb + EPSILON
        )

    def fits_after_release(self, request: TaskRequest) -> bool:
        """Whether a request fits into free and releasing capacity together."""
        return (
            request.cpus <= self.free_cpus + self.releasing_cpus + EPSILON
            and request.gpus <= self.free_gpus + self.releasing_gpus + EPSILON
            and request.memory_gb <= self.free_memory_gb + self.releasing_memory_gb + EPSILON
        )

    def may_have_victims(self, request: TaskRequest) -> bool:
        """Whether the request may be allowed to evict a task here. False is certain; True is only a possibility."""
        return not request.non_preempting and (
            self.max_borrowed_rank > request.rank or request.uses_guarantee and self.max_borrowed_rank >= 0
        )

    def add_task(self, task: PlacedTask) -> None:
        """Add a task that this round has placed; the free capacity is updated by ``allocate``."""
        self.tasks.append(task)
        if not task.within_guarantee:
            self.max_borrowed_rank = max(self.max_borrowed_rank, task.rank)

    def mark_stopping(self, victim: PlacedTask) -> None:
        """Mark a victim as stopping and count its resources as releasing."""
        victim.stopping = True
        self.releasing_cpus += victim.cpus
        self.releasing_gpus += victim.gpus
        self.releasing_memory_gb += victim.memory_gb

    def snapshot(self) -> tuple[float, ...]:
        """Return the capacities that a tentative placement changes, for ``restore``."""
        return (
            self.free_cpus, self.free_gpus, self.free_memory_gb, self.high_priority_cpus,
            self.releasing_cpus, self.releasing_gpus, self.releasing_memory_gb,
        )  # fmt: skip

    def restore(self, values: tuple[float, ...]) -> None:
        """Set the capacities back to a ``snapshot``."""
        (
            self.free_cpus, self.free_gpus, self.free_memory_gb, self.high_priority_cpus,
            self.releasing_cpus, self.releasing_gpus, self.releasing_memory_gb,
        ) = values  # fmt: skip

    def allocate(self, request: TaskRequest, max_high_priority_rank: int) -> None:
        """Deduct a request from the free capacity."""
        self.free_cpus -= request.cpus
        self.free_gpus -= request.gpus
        self.free_memory_gb -= request.memory_gb
        if request.rank <= max_high_priority_rank:
            self.high_priority_cpus += request.cpus
        self.images.add(request.image)
        self._set_remaining_tasks(self.remaining_tasks - 1)


class Offer(msgspec.Struct):
    """A machine for a task, and the tasks that must be evicted from it."""

    candidate: Candidate
    victims: list[PlacedTask]

    def eviction_count(self) -> int:
        """Return how many tasks would stop. All tasks of a victim's gang count, once per gang."""
        gangs = {victim.job_id: victim.gang_size for victim in self.victims if victim.gang_size > 1}
        return sum(gangs.values()) + sum(victim.gang_size == 1 for victim in self.victims)


def may_evict(request: TaskRequest, victim: PlacedTask) -> bool:
    """Whether a request may evict a task, by the preemption rules of PROTOCOL.

    A task within its team's guarantee is never evicted.
    """
    if victim.within_guarantee or victim.stopping or request.non_preempting:
        return False
    if request.protected and (victim.team, victim.job_class) in request.protected:
        return False
    return request.rank < victim.rank or (request.uses_guarantee and victim.team != request.team)


def select_victims(candidate: Candidate, request: TaskRequest) -> list[PlacedTask] | None:
    """Select the tasks to evict so that a request fits, earliest placed first; None if it can't be made to fit."""
    cpus = candidate.free_cpus + candidate.releasing_cpus
    if request.cpus > cpus + candidate.borrowed_cpus + EPSILON:
        return None
    if not candidate.may_have_victims(request) and not candidate.fits_after_release(request):
        return None  # saves the loop over the tasks, since this runs for each machine if a task fits nowhere
    gpus = candidate.free_gpus + candidate.releasing_gpus
    memory = candidate.free_memory_gb + candidate.releasing_memory_gb
    victims: list[PlacedTask] = []
    for task in candidate.tasks:  # sorted by time of placement
        if request.cpus <= cpus + EPSILON and request.gpus <= gpus + EPSILON and request.memory_gb <= memory + EPSILON:
            break
        # Most tasks are within their guarantee; checking that here saves a call for each.
        if not task.within_guarantee and not task.stopping and may_evict(request, task):
            victims.append(task)
            cpus += task.cpus
            gpus += task.gpus
            memory += task.memory_gb
    if request.cpus <= cpus + EPSILON and request.gpus <= gpus + EPSILON and request.memory_gb <= memory + EPSILON:
        return victims
    return None


def filter_fitting(request: TaskRequest, candidates: Iterable[Candidate]) -> list[Candidate]:
    """Return the candidates into whose free capacity a request fits.

    Runs over all machines for every pending job, so it compares inline instead of calling ``fits`` for each.
    """
    cpus, gpus, memory = request.cpus, request.gpus, request.memory_gb
    return [
        candidate
        for candidate in candidates
        if cpus <= candidate.free_cpus + EPSILON
        and gpus <= candidate.free_gpus + EPSILON
        and memory <= candidate.free_memory_gb + EPSILON
    ]


class HighPriorityPlacer:
    """Ranks machines by the cores that high-priority tasks use there, most first, and offers the first N.

    Machines that the home controller owns come before the others. With the Spot Avoiding Filter (``avoid_evictions``),
    machines that need evictions are offered only if the request fits on no other machine.
    """

    def __init__(self, max_offers: int, avoid_evictions: bool) -> None:
        self.max_offers = max_offers
        self.avoid_evictions = avoid_evictions

    @staticmethod
    def sort_key(request: TaskRequest, candidate: Candidate) -> tuple[Any, ...]:
        """Return the sort key of a candidate.

        Machines owned by the home controller come first, then those where high-priority tasks use the most cores.
        """
        return (
            candidate.owner != request.home,
            -candidate.high_priority_cpus,
            candidate.policy_score,
            candidate.machine_id,
        )

    def rank_offers(self, request: TaskRequest, candidates: list[Candidate]) -> list[Offer]:
        """Return the best N offers for a request."""
        fitting = filter_fitting(request, candidates)
        offers = [Offer(candidate, []) for candidate in fitting]
        if not offers or not self.avoid_evictions:
            fitting_machine_ids = {candidate.machine_id for candidate in fitting}
            for candidate in candidates:
                if candidate.machine_id not in fitting_machine_ids:
                    victims = select_victims(candidate, request)
                    if victims:
                        offers.append(Offer(candidate, victims))
        offers.sort(
            key=lambda offer: (self.avoid_evictions and bool(offer.victims), *self.sort_key(request, offer.candidate))
        )
        return offers[: self.max_offers]


class LowPriorityPlacer:
    """Chooses among the high-priority placer's offers, and places low-priority tasks."""

    def choose_offer(self, request: TaskRequest, offers: list[Offer]) -> Offer | None:
        """Choose the offer with the fewest evictions, then a spot machine, a cached image, then the first offer.

        Spot machines are preferred so that on-demand machines become empty and can be returned to the cloud.
        """
        if not offers:
            return None
        return min(
            offers,
            key=lambda offer: (
                offer.eviction_count(),
                not offer.candidate.spot,
                request.image not in offer.candidate.images,
            ),
        )

    @staticmethod
    def sort_key(request: TaskRequest, candidate: Candidate) -> tuple[Any, ...]:
        """Return the sort key of a candidate.

        Machines without high-priority tasks come first, then spot machines, machines owned by the home controller,
        those with a cached image and those with the least free cores.
        """
        return (
            candidate.high_priority_cpus > EPSILON,
            not candidate.spot,
            candidate.owner != request.home,
            request.image not in candidate.images,
            candidate.free_cpus,
            candidate.policy_score,
            candidate.machine_id,
        )

    def place(self, request: TaskRequest, candidates: list[Candidate]) -> Offer | None:
        """Choose the best machine on which a low-priority task fits, else one where it may evict others."""
        fitting = filter_fitting(request, candidates)
        if fitting:
            return Offer(min(fitting, key=lambda candidate: self.sort_key(request, candidate)), [])
        return self.preempt(request, candidates)

    def preempt(self, request: TaskRequest, candidates: Iterable[Candidate]) -> Offer | None:
        """Choose the machine with the fewest evictions; a low-priority task may evict only on its team's guarantee."""
        if not request.uses_guarantee:
            return None
        best: Offer | None = None
        fewest = 0
        for candidate in candidates:
            if request.cpus > candidate.free_cpus + candidate.releasing_cpus + candidate.borrowed_cpus + EPSILON:
                continue
            victims = select_victims(candidate, request)
            if victims:
                offer = Offer(candidate, victims)
                count = offer.eviction_count()
                if best is None or count < fewest:
                    best, fewest = offer, count
                    if count == 1:
                        break  # one eviction is the minimum
        return best


class Ranking:
    """The machines on which a request fits without eviction, best first.

    All tasks of a job have the same request, so machines are ranked once per job. A machine on which a task is
    allocated moves to its new position.
    """

    def __init__(
        self,
        request: TaskRequest,
        candidates: Iterable[Candidate],
        sort_key: Callable[[TaskRequest, Candidate], tuple[Any, ...]],
    ) -> None:
        self._request = request
        self._sort_key = sort_key
        # Sort keys end in the machine id, so they are unique and candidates are never compared.
        self._order = sorted(
            (sort_key(request, candidate), candidate) for candidate in filter_fitting(request, candidates)
        )

    def __bool__(self) -> bool:
        return bool(self._order)

    def __iter__(self) -> Iterator[Candidate]:
        return (candidate for _, candidate in self._order)

    def allocate(self, candidate: Candidate, max_high_priority_rank: int) -> None:
        """Allocate the request on a candidate."""
        index = next(index for index, entry in enumerate(self._order) if entry[1] is candidate)
        del self._order[index]
        candidate.allocate(self._request, max_high_priority_rank)
        if candidate.fits(self._request):
            insort(self._order, (self._sort_key(self._request, candidate), candidate))

    def remove(self, is_unwanted: Callable[[Candidate], bool]) -> None:
        """Remove the candidates for which ``is_unwanted`` holds."""
        self._order = [entry for entry in self._order if not is_unwanted(entry[1])]
