"""The cloud as this controller deals with it: types, the list, bookings, returns. What to ask for others decide."""

from __future__ import annotations

import logging
from datetime import timedelta

import msgspec

from gladecroft.bookkeeping.records import CapacityPool
from gladecroft.coordination.context import CLOUD_TIMEOUT, ControllerContext
from gladecroft.coordination.machines import MachineManager
from gladecroft.coordination.membership import Membership
from gladecroft.coordination.scheduling.candidate_cache import CandidateCache
from gladecroft.protocol import wire
from gladecroft.protocol.wire import ListedMachine, MachineType

log = logging.getLogger(__name__)

LIST_EVERY = timedelta(seconds=3)
TYPES_EVERY = timedelta(seconds=45)
REFUSED_FOR = timedelta(seconds=15)
PAGE = 500
RENT_MOST = 50
#: So many are booked of a kind that had run out, to see whether there are any again.
TRY_FIRST = 2
RETURN_MOST = 100


class PendingMachine(msgspec.Struct, eq=False):
    """A machine that was rented and has not reported yet."""

    pool: CapacityPool
    since: timedelta


class Rental(msgspec.Struct, eq=False):
    request: str
    pool: CapacityPool
    count: int
    since: timedelta
    busy: bool = False
    #: Sent at least once: it may yet bring machines and is never called off unheard.
    sent: bool = False
    tries: int = 0


class CloudClient:
    def __init__(
        self,
        context: ControllerContext,
        membership: Membership,
        machine_manager: MachineManager,
        candidate_cache: CandidateCache,
    ) -> None:
        self.context = context
        self.cluster_state = context.cluster_state
        self.membership = membership
        self.machine_manager = machine_manager
        self.candidate_cache = candidate_cache
        self.coming: dict[str, PendingMachine] = {}
        self.listed: dict[str, ListedMachine] = {}
        self.list_complete = False
        self.bookings: dict[str, Rental] = {}
        #: Machines that the cloud has taken back, and when.
        self.returned: dict[str, timedelta] = {}
        #: How many to book at a time of kinds that have lately run out.
        self.at_most: dict[CapacityPool, int] = {}
        self._next_booking = 0
        self._refused: dict[CapacityPool, timedelta] = {}
        self._returning: set[str] = set()
        self._types_at = timedelta(days=-1)
        self._types_busy = False
        self._list_at = timedelta(days=-1)
        self._list_busy = False
        self._list_page: dict[str, ListedMachine] = {}

    def forget(self) -> None:
        """Another leads: what was asked for is the new leader's to see, in the list."""
        self.coming.clear()
        self.listed.clear()
        self.list_complete = False
        self.bookings.clear()
        self._returning.clear()
        self._list_busy = False

    def closed(self) -> set[CapacityPool]:
        """The sorts of machine that there were none of lately, and that are not asked for yet."""
        return {sort for sort, until in self._refused.items() if until > self.context.now}

    def list_age(self) -> timedelta:
        """A machine known for longer than this is in every list that comes in, unless it is gone."""
        return timedelta(seconds=2 * self.context.cluster.cloud.list_lag_s) + 2 * LIST_EVERY

    # Types and list ------------------------------------------------------------------------------------------

    def look(self) -> None:
        """Ask for the machine types now and then; leaders ask for the list too (``look_through``)."""
        now = self.context.now
        if not self._types_busy and now - self._types_at >= (
            TYPES_EVERY if self.candidate_cache.types else timedelta(seconds=1)
        ):
            self._ask_types()

    def look_through(self) -> None:
        if not self._list_busy and self.context.now - self._list_at >= LIST_EVERY:
            self._ask_list(None)

    def _ask_types(self) -> None:
        def then(status: int, body: bytes) -> None:
            self._types_busy = False
            if status == 200:
                types: list[MachineType] = wire.decode(wire.MachineTypes, body).types
                self.candidate_cache.set_types({kind.name: kind for kind in types})

        self._types_at = self.context.now
        self._types_busy = self.context.call_cloud("GET", wire.TYPES_PATH, None, then)

    def _ask_list(self, after: str | None) -> None:
        def then(status: int, body: bytes) -> None:
            self._list_busy = False
            if not self.membership.is_leader():
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
        self._list_at = self.context.now
        self._list_busy = self.context.call_cloud("GET", wire.list_machines_path(after, PAGE), None, then)

    # Renting -------------------------------------------------------------------------------------------------

    def rent(self, want: dict[CapacityPool, int]) -> None:
        """Book machines; the bookings are sent as the cloud's budget allows (``send_bookings``)."""
        for sort, count in want.items():
            for start in range(0, count, RENT_MOST):
                self._rent(sort, min(RENT_MOST, count - start))

    def _rent(self, pool: CapacityPool, count: int) -> None:
        epoch = self.cluster_state.epoch
        assert epoch is not None
        self._next_booking += 1
        # The epoch's number and this incarnation's counter make a name that nobody else ever uses.
        request = f"r-{epoch.number}-{self.membership.incarnation}-{self._next_booking}"
        self.bookings[request] = Rental(request, pool, count, self.context.now)
        log.info("renting %d %s in %s%s as %s", count, pool[0], pool[1], " (spot)" if pool[2] else "", request)

    def send_bookings(self) -> None:
        for booking in list(self.bookings.values()):
            if not booking.busy:
                self._book(booking)

    def _book(self, booking: Rental) -> None:
        def then(status: int, body: bytes) -> None:
            booking.busy = False
            if booking.request not in self.bookings:
                return
            if status == 200:
                del self.bookings[booking.request]
                names: list[str] = wire.decode(wire.MachineNames, body).machines
                for name in names:
                    self.coming[name] = PendingMachine(booking.pool, self.context.now)
                log.info("%s brought %d of %d %s in %s%s: %s", booking.request, len(names), booking.count,
                         booking.pool[0], booking.pool[1], " (spot)" if booking.pool[2] else "",
                         ",".join(names))  # fmt: skip
                if len(names) < booking.count:
                    self._no_capacity(booking.pool)
                elif booking.pool in self.at_most:
                    self.at_most[booking.pool] *= 2
                    if self.at_most[booking.pool] > RENT_MOST:
                        del self.at_most[booking.pool]
            elif status in (400, 503) and b"capacity" in body or status == 400:
                del self.bookings[booking.request]
                log.info("%s refused: no capacity for %s", booking.request, booking.pool)
                self._no_capacity(booking.pool)
            else:
                booking.tries += 1
                # What an abandoned booking still brings shows up in the list and is used as it comes.
                if booking.tries > 5:
                    del self.bookings[booking.request]

        rent = wire.RentalRequest(booking.request, booking.pool[0], booking.pool[1], booking.pool[2], booking.count)
        booking.busy = sent = self.context.call_cloud("POST", wire.MACHINES_PATH, wire.encode(rent), then)
        booking.sent |= sent

    def _no_capacity(self, pool: CapacityPool) -> None:
        """A kind has run out. What else is booked of it is called off, and after a while a few are tried first.

        Without that a wave of work asked for hundreds of machines that there were not, again and again, and other
        kinds' bookings waited behind these for the cloud's budget.
        """
        self._refused[pool] = self.context.now + REFUSED_FOR
        self.at_most[pool] = TRY_FIRST
        for request in [each.request for each in self.bookings.values() if each.pool == pool and not each.sent]:
            del self.bookings[request]

    # Returning -----------------------------------------------------------------------------------------------

    def give_back(self, names: list[str]) -> None:
        """Return machines. Once the cloud has answered they are gone, with all that was on them."""
        names = [name for name in names if name not in self._returning and name not in self.returned][:RETURN_MOST]
        if not names:
            return

        def then(status: int, body: bytes) -> None:
            self._returning.difference_update(names)
            if status != 0:
                # If it is not known whether they are gone, nothing is placed there until another try has told, or for a
                # lease: who leads no more tries no more.
                self.cluster_state.suspend_placement(names, self.context.now)
            if status == 200:
                self.machine_manager.announcer.announce_returned(
                    [name for name in names if name in self.cluster_state.reported_machines]
                )
                for name in names:
                    self.returned[name] = self.context.now
                    self.coming.pop(name, None)
                    self.machine_manager.handle_returned(name)
                log.info("returned %s", ",".join(names))

        if self.context.call_cloud("POST", wire.RETURN_PATH, wire.encode(wire.MachineNames(names)), then):
            self._returning.update(names)
            # Nothing is to be placed there meanwhile.
            self.cluster_state.suspend_placement(names, self.context.now + CLOUD_TIMEOUT + self.context.machine_lease)
