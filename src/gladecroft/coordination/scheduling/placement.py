"""The two cooperating placers, after CoSpot (Iqbal et al., SoCC '22), as pure functions over slots.

The high-priority placer ranks machines and offers its top N; the low-priority side picks among the offers the one
that costs it the fewest evictions. Low-priority work is placed by the low-priority placer, which keeps away from
machines with high-priority work where it can.
"""

from __future__ import annotations

from bisect import insort
from collections.abc import Callable, Container, Iterable, Iterator
from typing import Any

import msgspec

TINY = 1e-6
#: A machine lists all its tasks in one report, which may take 64 KiB: with the longest names that is room for so many.
MOST_TASKS = 400


class TaskRequest(msgspec.Struct, gc=False, frozen=True):
    """What one task takes, and whom it may push away. ``home``: the controller that places it."""

    cpus: float
    gpus: float
    memory_gb: float
    image: str
    rank: int
    team: str
    guaranteed: bool
    home: str = ""
    #: Has more than its fair share in an overload: it takes what is free, and pushes nobody away.
    gentle: bool = False
    #: Teams' classes that have no more than their floor or share in an overload: their work is not pushed away.
    spared: Container[tuple[str, str]] = ()


class PlacedTask(msgspec.Struct, gc=False, eq=False):
    """A task that is placed on a machine. ``stopping``: it has been told to go."""

    job: str
    number: int
    cpus: float
    gpus: float
    memory_gb: float
    rank: int
    team: str
    guaranteed: bool
    placed: int
    stopping: bool = False
    job_class: str = ""
    #: How many tasks stop if this one is evicted: all of a gang's, else one.
    together: int = 1


class Candidate(msgspec.Struct, eq=False):
    """A machine as the placers see it. ``owner``: the controller in whose part it is; ``mine``: that is this one."""

    machine: str
    zone: str
    spot: bool
    mine: bool
    owner: str
    cpus: float
    gpus: float
    memory_gb: float
    images: set[str]
    residents: list[PlacedTask]
    free_cpus: float = 0.0
    free_gpus: float = 0.0
    free_memory: float = 0.0
    high_priority_cpus: float = 0.0
    coming_cpus: float = 0.0
    coming_gpus: float = 0.0
    coming_memory: float = 0.0
    #: What residents outside their guarantee hold: the most that evictions could bring.
    borrowed_cpus: float = 0.0
    #: The lowest priority among them: the highest rank, -1 if there are none.
    weakest: int = -1
    #: How many more tasks its reports can list.
    places: int = MOST_TASKS
    #: What policies make of the machine for the job at hand: it decides between machines that are otherwise equal.
    tie_breaker: float = 0.0

    def count(self, line: int) -> None:
        """Work out what is free, what stopping tasks will free, and the core use of high-priority work."""
        self.residents.sort(key=lambda task: task.placed)
        self.borrowed_cpus = 0.0
        self.weakest = -1
        self.free_cpus, self.free_gpus, self.free_memory = self.cpus, self.gpus, self.memory_gb
        self.high_priority_cpus = self.coming_cpus = self.coming_gpus = self.coming_memory = 0.0
        for task in self.residents:
            self.free_cpus -= task.cpus
            self.free_gpus -= task.gpus
            self.free_memory -= task.memory_gb
            if task.rank <= line:
                self.high_priority_cpus += task.cpus
            if task.stopping:
                self.coming_cpus += task.cpus
                self.coming_gpus += task.gpus
                self.coming_memory += task.memory_gb
            elif not task.guaranteed:
                self.borrowed_cpus += task.cpus
                self.weakest = max(self.weakest, task.rank)
        self._keep_places(MOST_TASKS - len(self.residents))

    def _keep_places(self, places: int) -> None:
        """Without this, tasks of no cores and no memory would all go to one machine."""
        self.places = places
        if places <= 0:
            self.free_cpus = min(self.free_cpus, -1.0)

    def fits(self, need: TaskRequest) -> bool:
        return (
            need.cpus <= self.free_cpus + TINY
            and need.gpus <= self.free_gpus + TINY
            and need.memory_gb <= self.free_memory + TINY
        )

    def will_fit(self, need: TaskRequest) -> bool:
        return (
            need.cpus <= self.free_cpus + self.coming_cpus + TINY
            and need.gpus <= self.free_gpus + self.coming_gpus + TINY
            and need.memory_gb <= self.free_memory + self.coming_memory + TINY
        )

    def has_victims(self, need: TaskRequest) -> bool:
        """Whether the need might push away anything here: False means surely not."""
        return not need.gentle and (self.weakest > need.rank or need.guaranteed and self.weakest >= 0)

    def add(self, task: PlacedTask) -> None:
        """Note a task that this round has placed."""
        self.residents.append(task)
        if not task.guaranteed:
            self.weakest = max(self.weakest, task.rank)

    def free_up(self, victim: PlacedTask) -> None:
        """Count on a victim's room, which it is about to leave."""
        victim.stopping = True
        self.coming_cpus += victim.cpus
        self.coming_gpus += victim.gpus
        self.coming_memory += victim.memory_gb

    def room(self) -> tuple[float, ...]:
        return (
            self.free_cpus, self.free_gpus, self.free_memory, self.high_priority_cpus,
            self.coming_cpus, self.coming_gpus, self.coming_memory,
        )  # fmt: skip

    def set_room(self, room: tuple[float, ...]) -> None:
        (
            self.free_cpus, self.free_gpus, self.free_memory, self.high_priority_cpus,
            self.coming_cpus, self.coming_gpus, self.coming_memory,
        ) = room  # fmt: skip

    def take(self, need: TaskRequest, line: int) -> None:
        self.free_cpus -= need.cpus
        self.free_gpus -= need.gpus
        self.free_memory -= need.memory_gb
        if need.rank <= line:
            self.high_priority_cpus += need.cpus
        self.images.add(need.image)
        self._keep_places(self.places - 1)


class Offer(msgspec.Struct):
    slot: Candidate
    victims: list[PlacedTask]

    def evictions(self) -> int:
        """How many tasks stop: a gang counts whole, and once."""
        gangs = {victim.job: victim.together for victim in self.victims if victim.together > 1}
        return sum(gangs.values()) + sum(victim.together == 1 for victim in self.victims)


def may_evict(need: TaskRequest, victim: PlacedTask) -> bool:
    """PROTOCOL's preemption rules; work within its team's guarantee is never evicted."""
    if victim.guaranteed or victim.stopping or need.gentle:
        return False
    if need.spared and (victim.team, victim.job_class) in need.spared:
        return False
    return need.rank < victim.rank or (need.guaranteed and victim.team != need.team)


def victims_on(slot: Candidate, need: TaskRequest) -> list[PlacedTask] | None:
    """The tasks to evict so that the need fits, oldest-placed first; None if it can't be made to fit."""
    cpus = slot.free_cpus + slot.coming_cpus
    if need.cpus > cpus + slot.borrowed_cpus + TINY:
        return None
    if not slot.has_victims(need) and not slot.will_fit(need):
        return None  # asked of every machine for each task that finds no room: so without a look at all that is there
    gpus = slot.free_gpus + slot.coming_gpus
    memory = slot.free_memory + slot.coming_memory
    chosen: list[PlacedTask] = []
    for task in slot.residents:  # oldest-placed first
        if need.cpus <= cpus + TINY and need.gpus <= gpus + TINY and need.memory_gb <= memory + TINY:
            break
        # Most are within their guarantee; said here before a call is spent on each.
        if not task.guaranteed and not task.stopping and may_evict(need, task):
            chosen.append(task)
            cpus += task.cpus
            gpus += task.gpus
            memory += task.memory_gb
    if need.cpus <= cpus + TINY and need.gpus <= gpus + TINY and need.memory_gb <= memory + TINY:
        return chosen
    return None


def fitting_in(need: TaskRequest, slots: Iterable[Candidate]) -> list[Candidate]:
    """The slots that hold the need now. Asked of every machine for every job that waits, so without a call for each."""
    cpus, gpus, memory = need.cpus, need.gpus, need.memory_gb
    return [
        slot
        for slot in slots
        if cpus <= slot.free_cpus + TINY and gpus <= slot.free_gpus + TINY and memory <= slot.free_memory + TINY
    ]


class HighPriorityPlacer:
    """Ranks machines by the core use of high-priority work, busiest first, and offers the top N.

    With the Spot Avoiding Filter machines that need no eviction rank first. Its own part comes before the others'.
    """

    def __init__(self, top: int, avoid_evictions: bool) -> None:
        self.top = top
        self.avoid_evictions = avoid_evictions

    @staticmethod
    def sort_key(need: TaskRequest, slot: Candidate) -> tuple[Any, ...]:
        """Its own part first, then by the core use of high-priority work, busiest first."""
        return slot.owner != need.home, -slot.high_priority_cpus, slot.tie_breaker, slot.machine

    def offers(self, need: TaskRequest, slots: list[Candidate]) -> list[Offer]:
        fitting = fitting_in(need, slots)
        offers = [Offer(slot, []) for slot in fitting]
        if not offers or not self.avoid_evictions:
            there = {slot.machine for slot in fitting}
            for slot in slots:
                if slot.machine not in there:
                    victims = victims_on(slot, need)
                    if victims:
                        offers.append(Offer(slot, victims))
        offers.sort(key=lambda offer: (self.avoid_evictions and bool(offer.victims), *self.sort_key(need, offer.slot)))
        return offers[: self.top]


class LowPriorityPlacer:
    """Answers the high-priority placer's offers, and places low-priority work itself."""

    def choose(self, need: TaskRequest, offers: list[Offer]) -> Offer | None:
        """The offer with the fewest evictions; among equals a cheap machine, so that dear ones empty and can be
        returned, then a cached image, then the high placer's order."""
        if not offers:
            return None
        return min(
            offers, key=lambda offer: (offer.evictions(), not offer.slot.spot, need.image not in offer.slot.images)
        )

    @staticmethod
    def sort_key(need: TaskRequest, slot: Candidate) -> tuple[Any, ...]:
        """Machines without high-priority work first, among them cheap ones, then one's own part, cached images and
        full machines."""
        return (
            slot.high_priority_cpus > TINY,
            not slot.spot,
            slot.owner != need.home,
            need.image not in slot.images,
            slot.free_cpus,
            slot.tie_breaker,
            slot.machine,
        )

    def place(self, need: TaskRequest, slots: list[Candidate]) -> Offer | None:
        """A machine without high-priority work if there is one; among those cheap ones, so that dear ones empty and
        can be returned, then cached images and full machines."""
        fitting = fitting_in(need, slots)
        if fitting:
            return Offer(min(fitting, key=lambda slot: self.sort_key(need, slot)), [])
        return self.push(need, slots)

    def push(self, need: TaskRequest, slots: Iterable[Candidate]) -> Offer | None:
        """The machine with the fewest evictions; work of low priority pushes others away only for a guarantee."""
        if not need.guaranteed:
            return None
        best: Offer | None = None
        fewest = 0
        for slot in slots:
            if need.cpus > slot.free_cpus + slot.coming_cpus + slot.borrowed_cpus + TINY:
                continue
            victims = victims_on(slot, need)
            if victims:
                offer = Offer(slot, victims)
                count = offer.evictions()
                if best is None or count < fewest:
                    best, fewest = offer, count
                    if count == 1:
                        break  # fewer there are not
        return best


class Ranking:
    """The machines that hold a need without eviction, best first.

    The tasks of a job are alike, so their machines are ranked once for all of them; a machine that has taken one is
    put where it then belongs.
    """

    def __init__(
        self, need: TaskRequest, slots: Iterable[Candidate], rank: Callable[[TaskRequest, Candidate], tuple[Any, ...]]
    ) -> None:
        self._need = need
        self._rank = rank
        # Ranks end in the machine's name, so no two are alike and slots are never compared.
        self._order = sorted((rank(need, slot), slot) for slot in fitting_in(need, slots))

    def __bool__(self) -> bool:
        return bool(self._order)

    def __iter__(self) -> Iterator[Candidate]:
        return (slot for _, slot in self._order)

    def take(self, slot: Candidate, line: int) -> None:
        """Set the need's room aside on a slot."""
        index = next(index for index, entry in enumerate(self._order) if entry[1] is slot)
        del self._order[index]
        slot.take(self._need, line)
        if slot.fits(self._need):
            insort(self._order, (self._rank(self._need, slot), slot))

    def drop(self, unwanted: Callable[[Candidate], bool]) -> None:
        self._order = [entry for entry in self._order if not unwanted(entry[1])]
