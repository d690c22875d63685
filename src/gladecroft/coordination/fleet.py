"""The leader's dealings with the cloud: what to rent, what to return."""

from __future__ import annotations

import logging
from datetime import timedelta

import msgspec

from gladecroft.bookkeeping.picture import Job
from gladecroft.bookkeeping.records import MachineRecord, MachineUse, machine_key
from gladecroft.coordination.keeper import Keeper
from gladecroft.coordination.ledger import Ledger
from gladecroft.coordination.membership import Membership
from gladecroft.coordination.node import Node
from gladecroft.coordination.placers import MOVED, Placers
from gladecroft.protocol import wire
from gladecroft.protocol.wire import JobSpec, ListedMachine, MachineState, MachineType

log = logging.getLogger(__name__)

LIST_EVERY = timedelta(seconds=3)
PLAN_EVERY = timedelta(seconds=1)
TYPES_EVERY = timedelta(seconds=45)
REFUSED_FOR = timedelta(seconds=15)
PAGE = 500
#: Messages may be held up for minutes.
GONE_KEPT = timedelta(minutes=10)
RENT_MOST = 50
#: So many are booked of a kind that had run out, to see whether there are any again.
TRY_FIRST = 2
#: A kind is dear for a job if a core costs that many times as much as on the cheapest kind it allows.
DEAR = 1.6
#: The share of a class's patience within which its waiting work should be through.
DEAR_AFTER = 1.0
#: Machines are emptied only after nothing has waited or booted for this long, and if at most this share is used.
CALM = timedelta(seconds=4)
MOSTLY_FREE = 0.5
RETURN_MOST = 100
#: For so many machines, one booting and one machine's worth of waiting work are nothing out of the ordinary.
MACHINES_PER_FEW = 50
#: So many idle machines, and this share of the fleet, are kept for as long as the operators say; more of them only for
#: a moment.
IDLE_FEW = 5
IDLE_SHARE = 0.02
IDLE_AT_LEAST = timedelta(seconds=4)
#: How many of the least used machines are tried each time.
EMPTYING_TRIES = 6

Kind = tuple[str, str, bool]  # type, zone, spot


class Coming(msgspec.Struct, eq=False):
    """A machine that was rented and has not reported yet."""

    kind: Kind
    since: timedelta


class Booking(msgspec.Struct, eq=False):
    request: str
    kind: Kind
    count: int
    since: timedelta
    busy: bool = False
    #: Sent at least once: it may yet bring machines and is never called off unheard.
    sent: bool = False
    tries: int = 0


class Fleet:
    def __init__(self, node: Node, membership: Membership, keeper: Keeper, ledger: Ledger, placers: Placers) -> None:
        self.node = node
        self.picture = node.picture
        self.membership = membership
        self.keeper = keeper
        self.ledger = ledger
        self.placers = placers
        self.coming: dict[str, Coming] = {}
        self.listed: dict[str, ListedMachine] = {}
        self.list_complete = False
        self._bookings: dict[str, Booking] = {}
        self._next_booking = 0
        self._refused: dict[Kind, timedelta] = {}
        #: How many to book at a time of kinds that have lately run out.
        self._at_most: dict[Kind, int] = {}
        self._idle_since: dict[str, timedelta] = {}
        self._known_since: dict[str, timedelta] = {}
        self._silent_since: dict[str, timedelta] = {}
        self._gone_since: dict[str, timedelta] = {}
        self._unknown_since: dict[str, timedelta] = {}
        self._returned: dict[str, timedelta] = {}
        self._returning: set[str] = set()
        self._types_at = timedelta(days=-1)
        self._types_busy = False
        self._list_at = timedelta(days=-1)
        self._list_busy = False
        self._list_page: dict[str, ListedMachine] = {}
        self._plan_at = timedelta(days=-1)
        self._dear_cpus = 0.0
        self._spare = 0.0
        self._calm_since = timedelta()
        self._in_zone: dict[str, int] = {}

    def epoch_changed(self) -> None:
        if not self.membership.member() or self.picture.epoch is None or self.picture.epoch.leader != self.node.name:
            self.coming.clear()
            self.listed.clear()
            self.list_complete = False
            self._bookings.clear()
            self._idle_since.clear()
            self._known_since.clear()
            self._silent_since.clear()
            self._unknown_since.clear()
            self._returning.clear()
            self._list_busy = False

    def tick(self) -> None:
        now = self.node.now
        if not self._types_busy and now - self._types_at >= (
            TYPES_EVERY if self.placers.types else timedelta(seconds=1)
        ):
            self._ask_types()
        if not self.membership.leads() or not self.placers.types:
            return
        if not self._list_busy and now - self._list_at >= LIST_EVERY:
            self._ask_list(None)
        if self.list_complete and now - self._plan_at >= PLAN_EVERY:
            self._plan_at = now
            self._watch_over()
            if not self._may_be_told_more():
                self._plan()
        self._send_bookings()

    # Types and list ------------------------------------------------------------------------------------------

    def _ask_types(self) -> None:
        def then(status: int, body: bytes) -> None:
            self._types_busy = False
            if status == 200:
                types: list[MachineType] = wire.decode(wire.MachineTypes, body).types
                self.placers.floor.set_types({kind.name: kind for kind in types})

        self._types_at = self.node.now
        self._types_busy = self.node.cloud("GET", wire.TYPES_PATH, None, then)

    def _ask_list(self, after: str | None) -> None:
        def then(status: int, body: bytes) -> None:
            self._list_busy = False
            if not self.membership.leads():
                return
            if status != 200:
                return
            page: wire.MachineList = wire.decode(wire.MachineList, body)
            for machine in page.machines:
                self._list_page[machine.id] = machine
            if page.more and page.machines:
                self._ask_list(page.machines[-1].id)
                return
            self.listed, self._list_page = self._list_page, {}
            self.list_complete = True

        if after is None:
            self._list_page = {}
        self._list_at = self.node.now
        self._list_busy = self.node.cloud("GET", wire.list_path(after, PAGE), None, then)

    # Renting -------------------------------------------------------------------------------------------------

    def _rent(self, kind: Kind, count: int) -> None:
        epoch = self.picture.epoch
        assert epoch is not None
        self._next_booking += 1
        # The epoch's number and this incarnation's counter make a name that nobody else ever uses.
        request = f"r-{epoch.number}-{self.membership.incarnation}-{self._next_booking}"
        self._bookings[request] = Booking(request, kind, count, self.node.now)
        log.info("renting %d %s in %s%s as %s", count, kind[0], kind[1], " (spot)" if kind[2] else "", request)

    def _send_bookings(self) -> None:
        for booking in list(self._bookings.values()):
            if not booking.busy:
                self._book(booking)

    def _book(self, booking: Booking) -> None:
        def then(status: int, body: bytes) -> None:
            booking.busy = False
            if booking.request not in self._bookings:
                return
            if status == 200:
                del self._bookings[booking.request]
                names: list[str] = wire.decode(wire.MachineNames, body).machines
                for name in names:
                    self.coming[name] = Coming(booking.kind, self.node.now)
                log.info("%s brought %d of %d %s in %s%s: %s", booking.request, len(names), booking.count,
                         booking.kind[0], booking.kind[1], " (spot)" if booking.kind[2] else "",
                         ",".join(names))  # fmt: skip
                if len(names) < booking.count:
                    self._no_capacity(booking.kind)
                elif booking.kind in self._at_most:
                    self._at_most[booking.kind] *= 2
                    if self._at_most[booking.kind] > RENT_MOST:
                        del self._at_most[booking.kind]
            elif status in (400, 503) and b"capacity" in body or status == 400:
                del self._bookings[booking.request]
                log.info("%s refused: no capacity for %s", booking.request, booking.kind)
                self._no_capacity(booking.kind)
            else:
                booking.tries += 1
                # What an abandoned booking still brings shows up in the list and is used as it comes.
                if booking.tries > 5:
                    del self._bookings[booking.request]

        rent = wire.Rent(booking.request, booking.kind[0], booking.kind[1], booking.kind[2], booking.count)
        booking.busy = sent = self.node.cloud("POST", wire.MACHINES_PATH, wire.encode(rent), then)
        booking.sent |= sent

    def _no_capacity(self, kind: Kind) -> None:
        """A kind has run out. What else is booked of it is called off, and after a while a few are tried first.

        Without that a wave of work asked for hundreds of machines that there were not, again and again, and other
        kinds' bookings waited behind these for the cloud's budget.
        """
        self._refused[kind] = self.node.now + REFUSED_FOR
        self._at_most[kind] = TRY_FIRST
        for request in [each.request for each in self._bookings.values() if each.kind == kind and not each.sent]:
            del self._bookings[request]

    # Planning ------------------------------------------------------------------------------------------------

    def _watch_over(self) -> None:
        """Compare the list with what reports: late boots, failed and silent machines, strays."""
        now = self.node.now
        doomed: list[str] = []
        self._returned = {
            name: at
            for name, at in self._returned.items()
            if name in self.picture.machines or now - at < timedelta(seconds=120)
        }
        for name, machine in self.listed.items():
            if name in self._returned:
                continue
            kind = self.placers.types.get(machine.type)
            boot = timedelta(seconds=kind.boot_s if kind else 60.0)
            if machine.state is MachineState.FAILED:
                doomed.append(name)
            elif name not in self.picture.machines:
                if name not in self.coming:
                    age = timedelta(seconds=machine.age_s)
                    self.coming[name] = Coming((machine.type, machine.zone, machine.spot), now - age)
                if name in self.picture.on_machine:
                    # It works, but nobody has told of it since this controller was started: so that it gets an owner,
                    # who finds out whether it still lives.
                    if machine.addr:
                        record = MachineRecord(machine.type, machine.zone, machine.spot, machine.addr)
                        self.keeper.tell_of(name, record)
                    continue
                if not self.membership.settled(self.node.lease):
                    continue  # nobody has had the time to tell of it
                if now - self.coming[name].since > 3.5 * boot + timedelta(seconds=10):
                    log.info("%s has not come up: returning it", name)
                    doomed.append(name)
        for name in list(self.coming):
            if (
                name in self.picture.machines
                or name not in self.listed
                and now - self.coming[name].since > timedelta(seconds=30 + 4 * self.node.cluster.cloud.list_lag_s)
            ):
                del self.coming[name]
        self._known_since = {name: self._known_since.get(name, now) for name in self.picture.machines}
        self._silent_since = {
            name: since
            for name, since in self._silent_since.items()
            if name in self.picture.machines and self.picture.machines[name].use is MachineUse.SILENT
        }
        for name, record in self.picture.heard.items():
            # Heard of, but not by its present owner, who would call it silent.
            if name not in self.listed and now - self._known_since[name] > 2 * self._list_age():
                self.ledger.put_machine(name, msgspec.structs.replace(record, use=MachineUse.SILENT))
        doomed += self._lost_from_sight()
        silent = self._silent_parts()
        for name in list(self.picture.aside):
            record = self.picture.machines[name]
            drained = (
                record.use in (MachineUse.BAD, MachineUse.LEAVING, MachineUse.EMPTYING)
                and name not in self.picture.on_machine
            )
            if drained or (record.use is MachineUse.SILENT and self._presumed_dead(name, silent)):
                doomed.append(name)
            elif record.use is MachineUse.RETURNING and name not in self._returned:
                # Somebody may have placed on it just before its record changed: then it stays.
                if self.picture.residents(name):
                    self.ledger.put_machine(name, msgspec.structs.replace(record, use=MachineUse.UP))
                elif (
                    name not in self.picture.on_machine
                    and self.picture.version(machine_key(name)) <= self.picture.revision
                ):
                    doomed.append(name)
        self._return(doomed)
        gone = [name for name, use in self.picture.aside.items() if use is MachineUse.GONE or name in self._returned]
        self._gone_since = {name: self._gone_since.get(name, now) for name in gone}
        for name, since in self._gone_since.items():
            if now - since > GONE_KEPT and name not in self.picture.on_machine:
                self.ledger.put_machine(name, None)

    def _lost_from_sight(self) -> list[str]:
        """Machines on which the records place work, but of which neither a controller nor the list tells for long.

        Nobody owns them. Returned, their work is proven gone.
        """
        unknown = [name for name in self.picture.on_machine if name not in self.picture.machines]
        self._unknown_since = {name: self._unknown_since.get(name, self.node.now) for name in unknown}
        long = max(2 * self._list_age(), self.node.lease)
        return [
            name
            for name, since in self._unknown_since.items()
            if name not in self.listed and self.node.now - since > long
        ]

    def _silent_parts(self) -> dict[str, tuple[int, int]]:
        """For each owner with silent machines, how many of its machines are silent, and how many it has."""
        parts: dict[str, tuple[int, int]] = {}
        if MachineUse.SILENT not in self.picture.aside.values():
            return parts
        for name, record in self.picture.machines.items():
            if record.use in (MachineUse.UP, MachineUse.SILENT):
                owner = self.membership.owner(name) or ""
                silent, held = parts.get(owner, (0, 0))
                parts[owner] = (silent + (record.use is MachineUse.SILENT), held + 1)
        return parts

    def _presumed_dead(self, name: str, parts: dict[str, tuple[int, int]]) -> bool:
        """Whether to return a silent machine: the answer proves what silence alone proves only much later.

        The list tells of machines that were taken; for others a short while must do. If a large part of an owner's
        machines is silent, the fault is rather with the owner's network, and they are left alone.
        """
        now = self.node.now
        since = self._silent_since.setdefault(name, now)
        if name not in self.listed and now - self._known_since[name] > self._list_age():
            return True
        silent, held = parts.get(self.membership.owner(name) or "", (0, 0))
        if silent * 3 <= held:
            return now - since > self.node.report * 4 / 3
        return now - since > self.node.lease

    def _list_age(self) -> timedelta:
        """A machine known for longer than this is in every list that comes in, unless it is gone."""
        return timedelta(seconds=2 * self.node.cluster.cloud.list_lag_s) + 2 * LIST_EVERY

    def _return(self, names: list[str]) -> None:
        names = [name for name in names if name not in self._returning and name not in self._returned][:RETURN_MOST]
        if not names:
            return

        def then(status: int, body: bytes) -> None:
            self._returning.difference_update(names)
            if status != 0:
                # If it is not known whether they are gone, nothing is placed there until another try has told.
                self.picture.doubted.difference_update(names)
                self.picture.stale.update(names)
            if status == 200:
                self.keeper.tell_gone([name for name in names if name in self.picture.heard])
                for name in names:
                    self._returned[name] = self.node.now
                    self.coming.pop(name, None)
                    self.keeper.returned(name)
                log.info("returned %s", ",".join(names))

        if self.node.cloud("POST", wire.RETURN_PATH, wire.encode(wire.MachineNames(names)), then):
            self._returning.update(names)
            # Nothing is to be placed there meanwhile.
            self.picture.doubted.update(names)
            self.picture.stale.update(names)

    def _places_all(self) -> bool:
        """Whether nobody else places anything, and nothing is being placed right now: then a machine on which there is
        nothing can be returned with no word to anybody before."""
        return not self.ledger.busy and all(
            self.membership.home(team) == self.node.name and self.ledger.claimed(team) for team in self.picture.limits
        )

    def _may_be_told_more(self) -> bool:
        """Whether machines run of which nobody has had the time to tell since this controller leads.

        A leader that had just been started again, with all others, once rented hundreds of machines for work that was
        running.
        """
        if self.membership.settled(2.5 * self.node.report):
            return False
        return any(
            machine.state is MachineState.RUNNING and name not in self.picture.machines and name not in self._returned
            for name, machine in self.listed.items()
        )

    def _plan(self) -> None:
        now = self.node.now
        guaranteed = self.picture.guaranteed()
        bins = self._bins()
        for booking in self._bookings.values():
            kind = self.placers.types.get(booking.kind[0])
            if kind is not None:
                bins += [_Bin(booking.kind, kind.cpus, kind.gpus, kind.memory_gb) for _ in range(booking.count)]
        want: dict[Kind, int] = {}
        waiting = list(self.picture.queued.values())
        self._dear_cpus = self._dear_room(bins)
        self.placers.floor.refresh(guaranteed)
        self._spare = self.placers.spare_cpus()
        self._count_zones()
        # Only bins that can still hold something are looked through, by kind; the list shrinks as they fill.
        smallest = min((job.spec.cpus for job in waiting), default=0.0)
        room = _Room(bins, smallest)
        pressing = self.placers.pressing(guaranteed)
        for job in self.placers.order(waiting, pressing):
            self._fill(job, room, want, job.rank <= self.placers.line or job.id in pressing)
        for wanted, count in want.items():
            for start in range(0, count, RENT_MOST):
                self._rent(wanted, min(RENT_MOST, count - start))
        # Machines that waiting work is about to take are not idle.
        self._give_back(now, {bin.machine for bin in bins if bin.machine and bin.taken})
        self._consolidate(now, bool(want) or not self._few(waiting), bool(waiting))
        for name in [name for name in self._idle_since if name not in self.picture.machines]:
            del self._idle_since[name]

    def _count_zones(self) -> None:
        """How many machines each zone has or is to have."""
        self._in_zone = {}
        for record in self.picture.machines.values():
            if record.use not in (MachineUse.GONE, MachineUse.RETURNING):
                self._in_zone[record.zone] = self._in_zone.get(record.zone, 0) + 1
        for coming in self.coming.values():
            self._in_zone[coming.kind[1]] = self._in_zone.get(coming.kind[1], 0) + 1

    def _few(self, waiting: list[Job]) -> bool:
        """Whether no more waits and boots than what a fleet of this size always has. In a small one: nothing."""
        few = len(self.picture.machines) // MACHINES_PER_FEW
        if len(self.coming) > few or len(self._bookings) > few:
            return False
        per_machine = max((kind.cpus for kind in self.placers.types.values()), default=0.0)
        return sum(job.queued_count * job.spec.cpus for job in waiting) <= few * per_machine

    def _consolidate(self, now: timedelta, short: bool, waiting: bool) -> None:
        """Empty a little-used machine whose services fit elsewhere; if work waits, take such machines back into use.

        In a large fleet something always waits for a moment and some machine always boots: there a few don't matter.
        """
        emptying = [name for name, use in self.picture.aside.items() if use is MachineUse.EMPTYING]
        if short:
            self._calm_since = now
            for name in emptying if waiting else ():
                # Services on the move wait for a moment too: only what finds no room brings the machine back.
                if any(self._stuck(job) for job in self.picture.queued.values()):
                    self.ledger.put_machine(
                        name, msgspec.structs.replace(self.picture.machines[name], use=MachineUse.UP)
                    )
            return
        if not self.node.operator.machine_consolidate or now - self._calm_since < CALM:
            return
        if len(emptying) > len(self.picture.machines) // 12:
            return
        candidates: list[tuple[float, str, list[Job]]] = []
        for name in self.picture.on_machine:
            known = self.picture.machines.get(name)
            kind = None if known is None else self.placers.types.get(known.type)
            if known is None or kind is None or known.use is not MachineUse.UP:
                continue
            residents = [self.picture.jobs[job] for job, _ in self.picture.on_machine[name]]
            services = sum(job.spec.kind is wire.Kind.SERVICE for job in residents)
            if services and self.picture.used_on(name)[0] > MOSTLY_FREE * kind.cpus:
                continue
            candidates.append((self._price(known) / (1 + services), name, residents))
        candidates.sort(key=lambda candidate: candidate[:2], reverse=True)
        for _, name, residents in candidates[:EMPTYING_TRIES]:
            record = self.picture.machines[name]
            if self._fits_elsewhere(name, record.zone, residents):
                log.info("%s is little used: emptying it", name)
                self.ledger.put_machine(name, msgspec.structs.replace(record, use=MachineUse.EMPTYING))
                return

    def _price(self, record: MachineRecord) -> float:
        kind = self.placers.types[record.type]
        return kind.spot_price if record.spot else kind.price

    def _stuck(self, job: Job) -> bool:
        """Work that waits, and not just because it is being moved."""
        return job.queued_count > 0 and not any(
            task.note.startswith(MOVED) for chunk in job.chunks.values() for task in chunk
        )

    def _fits_elsewhere(self, name: str, zone: str, residents: list[Job]) -> bool:
        """Whether the machine's work fits into the others, with room to spare for what comes."""
        bins = [bin for bin in self._bins() if bin.machine and bin.machine != name]
        services = [job for job in residents if job.spec.kind is wire.Kind.SERVICE]
        held = sum(job.spec.cpus for job in residents)
        reserve = self.node.operator.machine_reserve * self._used_cpus()
        if sum(max(0.0, bin.cpus) for bin in bins) - held < 2 * reserve:
            return False
        if services and sum(max(0.0, bin.cpus) for bin in bins if not bin.kind[2]) - held < reserve:
            return False
        for job in services:
            zones, cap = self.placers.zone_room(job)
            zones[zone] = zones.get(zone, 0) - 1
            for bin in bins:
                if self.placers.allowed(job.spec, *bin.kind) and bin.holds(job) > 0 and zones.get(bin.kind[1], 0) < cap:
                    bin.take(job, 1)
                    break
            else:
                return False
        return True

    def _used_cpus(self) -> float:
        return sum(self.picture.used_on(name)[0] for name in self.picture.machines)

    def _dear_room(self, bins: list[_Bin]) -> float:
        """How many cores may be rented dear for work that cheap machines could do.

        That is what is missing to get through the work at hand within the time the aims allow, not what it would
        take to start everything at once: by the time a machine is up, much of the running work is over.
        """
        needed = 0.0
        for job in self.picture.jobs.values():
            spec = job.spec
            if spec.kind is wire.Kind.ARRAY and spec.spot:
                tasks = min(job.queued_count, self._limit_room(job)) + job.occupied / 2
                needed += tasks * spec.cpus * spec.estimate_s / (DEAR_AFTER * self.placers.patience(job))
        room = 0.0
        for bin in bins:
            kind = self.placers.types[bin.kind[0]]
            if not bin.machine:
                room += kind.cpus
                continue
            held = sum(
                self.picture.jobs[name].spec.cpus
                for name, _ in self.picture.on_machine.get(bin.machine, {})
                if self.picture.jobs[name].spec.kind is wire.Kind.SERVICE
            )
            room += kind.cpus - held
        return needed - room

    def _bins(self) -> list[_Bin]:
        """What is up or coming, with its free room."""
        bins: list[_Bin] = []
        for name, record in self.picture.machines.items():
            kind = self.placers.types.get(record.type)
            if kind is None or record.use is not MachineUse.UP:
                continue
            cpus, gpus, memory = self.picture.used_on(name)
            bins.append(
                _Bin(
                    (record.type, record.zone, record.spot),
                    kind.cpus - cpus,
                    kind.gpus - gpus,
                    kind.memory_gb - memory,
                    name,
                    any(
                        self.picture.jobs[job].rank <= self.placers.line for (job, _), _ in self.picture.residents(name)
                    ),
                )
            )
        for coming in self.coming.values():
            kind = self.placers.types.get(coming.kind[0])
            # A boot that takes much too long is not counted on.
            if kind is not None and self.node.now - coming.since < timedelta(seconds=2 * kind.boot_s + 5):
                bins.append(_Bin(coming.kind, kind.cpus, kind.gpus, kind.memory_gb))
        return bins

    def _fill(self, job: Job, room: _Room, want: dict[Kind, int], everywhere: bool) -> None:
        """Put a job's waiting tasks into bins, opening new ones by the cheapest kinds."""
        spec = job.spec
        left = min(job.queued_count, self._limit_room(job))
        zones, cap = self.placers.zone_room(job) if spec.spread or spec.one_zone else ({}, spec.tasks)
        if spec.one_zone and zones:
            left_zone: str | None = next(iter(zones))
        else:
            left_zone = None
        if left <= 0:
            return
        for kind_of, bins in room.kinds.items():
            if left_zone is not None and kind_of[1] != left_zone:
                continue
            if not self.placers.allowed(spec, *kind_of):
                continue
            used_up = False
            for bin in bins:
                count = min(left, bin.holds(job), cap - zones.get(kind_of[1], 0))
                if bin.high and not everywhere and spec.cpus > 0:
                    # The placers keep a reserve there, so it is no room for this job here either.
                    count = min(count, int(max(0.0, self._spare) / spec.cpus))
                    self._spare -= max(0, count) * spec.cpus
                if count > 0:
                    bin.take(job, count)
                    used_up |= bin.cpus + 1e-6 < room.smallest
                    zones[kind_of[1]] = zones.get(kind_of[1], 0) + count
                    left -= count
                    if left <= 0:
                        break
            if used_up:
                room.trim(kind_of)
            if left <= 0:
                return
        while left > 0:
            kind = self._cheapest(job, zones, cap, left_zone, want)
            if kind is None:
                return
            machine = self.placers.types[kind[0]]
            bin = _Bin(kind, machine.cpus, machine.gpus, machine.memory_gb)
            count = min(left, bin.holds(job), cap - zones.get(kind[1], 0))
            if count <= 0:
                return
            bin.take(job, count)
            room.add(bin)
            self._in_zone[kind[1]] = self._in_zone.get(kind[1], 0) + 1
            want[kind] = want.get(kind, 0) + 1
            zones[kind[1]] = zones.get(kind[1], 0) + count
            left -= count

    def _limit_room(self, job: Job) -> int:
        limit = self.picture.limits[job.spec.team]
        used = self.picture.used_by_team(job.spec.team)
        if job.spec.cpus <= 0 or not limit.cpus_max:
            return job.queued_count
        return max(0, int((limit.cpus_max - used[0] + 1e-6) / job.spec.cpus))

    def _cheapest(
        self, job: Job, zones: dict[str, int], cap: int, only: str | None, want: dict[Kind, int]
    ) -> Kind | None:
        spec = job.spec
        options: list[tuple[float, MachineType, str, bool]] = []
        cheapest = min(
            (
                self._core_price(kind, spot, spec)
                for kind in self.placers.types.values()
                for zone in kind.zones
                for spot in (True, False)
                if self.placers.allowed(spec, kind.name, zone, spot)
            ),
            default=0.0,
        )
        for kind in self.placers.types.values():
            for zone in kind.zones:
                if zones.get(zone, 0) >= cap or (only is not None and zone != only):
                    continue
                for spot in (True, False):
                    if not self.placers.allowed(spec, kind.name, zone, spot):
                        continue
                    if self._refused.get((kind.name, zone, spot), timedelta(days=-1)) > self.node.now:
                        continue
                    at_most = self._at_most.get((kind.name, zone, spot))
                    if at_most is not None and want.get((kind.name, zone, spot), 0) >= at_most:
                        continue
                    price = self._core_price(kind, spot, spec)
                    if price > DEAR * cheapest and self._dear_cpus <= 0:
                        continue
                    options.append((price, kind, zone, spot))
        if not options:
            return None
        price, machine, zone, spot = min(
            options, key=lambda option: (round(option[0], 4), self._in_zone.get(option[2], 0), option[2])
        )
        if price > DEAR * cheapest:
            self._dear_cpus -= machine.cpus
        return machine.name, zone, spot

    @staticmethod
    def _core_price(kind: MachineType, spot: bool, spec: JobSpec) -> float:
        """The price of a core that such tasks can use: what stays empty beside them on the machine is paid for too."""
        count = min(
            (
                int((there + 1e-6) / need)
                for need, there in (
                    (spec.cpus, kind.cpus), (spec.gpus, kind.gpus), (spec.memory_gb, kind.memory_gb)
                )
                if need > 0
            ),
            default=0,
        )  # fmt: skip
        usable = count * spec.cpus if count and spec.cpus > 0 else kind.cpus
        return (kind.spot_price if spot else kind.price) / max(usable, 1e-9)

    def _give_back(self, now: timedelta, needed: set[str]) -> None:
        idle_for = timedelta(seconds=self.node.operator.machine_idle)
        idle: list[tuple[float, str, timedelta]] = []
        used = free = 0.0
        for name, record in self.picture.machines.items():
            kind = self.placers.types.get(record.type)
            if kind is None or record.use is not MachineUse.UP:
                continue
            cpus = self.picture.used_on(name)[0]
            used += cpus
            free += kind.cpus - cpus
            if self.picture.residents(name) or name in needed:
                self._idle_since.pop(name, None)
                continue
            since = self._idle_since.setdefault(name, now)
            idle.append((-(kind.spot_price if record.spot else kind.price), name, now - since))
        # One machine may soon be wanted again. Of many, all but a few go at once: what a large fleet needs next moves
        # less than what a small one does.
        spare = IDLE_FEW + int(IDLE_SHARE * len(self.picture.machines))
        left = len(idle)
        many = left > spare
        reserve = self.node.operator.machine_reserve * used
        alone, at_once = self._places_all(), list[str]()
        for _, name, span in sorted(idle):
            if span < idle_for and not (many and span >= IDLE_AT_LEAST):
                continue
            record = self.picture.machines[name]
            kind = self.placers.types[record.type]
            if free - kind.cpus < reserve:
                continue
            free -= kind.cpus
            left -= 1
            many = left > spare
            log.info("%s is idle: giving it back", name)
            if alone and name in self.picture.heard:
                at_once.append(name)
            else:
                # Its record changes first, so that nobody places on it any more; then it is returned.
                self.ledger.put_machine(name, msgspec.structs.replace(record, use=MachineUse.RETURNING))
        if at_once:
            self._return(at_once)


class _Room:
    """The bins that can still hold something, by kind."""

    def __init__(self, bins: list[_Bin], smallest: float) -> None:
        self.smallest = smallest
        self.kinds: dict[Kind, list[_Bin]] = {}
        for bin in bins:
            self.add(bin)

    def add(self, bin: _Bin) -> None:
        if bin.cpus + 1e-6 >= self.smallest:
            self.kinds.setdefault(bin.kind, []).append(bin)

    def trim(self, kind: Kind) -> None:
        self.kinds[kind] = [bin for bin in self.kinds[kind] if bin.cpus + 1e-6 >= self.smallest]


class _Bin:
    """Room on a machine; without a name on one that is yet to come."""

    __slots__ = ("kind", "cpus", "gpus", "memory", "machine", "high", "taken")

    def __init__(
        self, kind: Kind, cpus: float, gpus: float, memory: float, machine: str = "", high: bool = False
    ) -> None:
        self.kind, self.cpus, self.gpus, self.memory = kind, cpus, gpus, memory
        self.machine = machine
        #: Whether high-priority work is there.
        self.high = high
        self.taken = False

    def holds(self, job: Job) -> int:
        room = job.spec.tasks
        for need, free in ((job.spec.cpus, self.cpus), (job.spec.gpus, self.gpus), (job.spec.memory_gb, self.memory)):
            if need > 0:
                room = min(room, int((free + 1e-6) / need))
        return max(0, room)

    def take(self, job: Job, count: int) -> None:
        self.taken = True
        self.cpus -= job.spec.cpus * count
        self.gpus -= job.spec.gpus * count
        self.memory -= job.spec.memory_gb * count
