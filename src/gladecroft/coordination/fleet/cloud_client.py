"""Client of the cloud API: machine types, list of machines, rental requests, and returns of machines to the cloud."""

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

LIST_INTERVAL = timedelta(seconds=3)
TYPES_INTERVAL = timedelta(seconds=45)
UNAVAILABLE_FOR = timedelta(seconds=15)
LIST_PAGE_SIZE = 500
MAX_RENTAL_SIZE = 50
#: Number of machines that are requested first from a capacity pool that had run out, to check whether it has capacity
#: again.
PROBE_SIZE = 2
MAX_RETURN_SIZE = 100


class PendingMachine(msgspec.Struct, eq=False):
    """A machine that has been rented and has not sent a report yet."""

    pool: CapacityPool
    rented_at: timedelta


class Rental(msgspec.Struct, eq=False):
    """A rental request that has been neither fulfilled nor rejected yet."""

    id: str
    pool: CapacityPool
    count: int
    created_at: timedelta
    in_flight: bool = False
    #: Whether the request has been sent at least once. It may then still yield machines, so it is not dropped when its
    #: capacity pool runs out.
    sent: bool = False
    attempts: int = 0


class CloudClient:
    """Sends requests to the cloud and keeps the results; the callers decide which machines to rent and to return."""

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
        self.pending: dict[str, PendingMachine] = {}
        self.listed: dict[str, ListedMachine] = {}
        self.list_complete = False
        self.rentals: dict[str, Rental] = {}
        #: The time at which the cloud confirmed the return of each machine.
        self.returned: dict[str, timedelta] = {}
        #: How many machines may be requested in one round from each capacity pool that has recently run out.
        self.rental_caps: dict[CapacityPool, int] = {}
        self._next_rental = 0
        self._unavailable_until: dict[CapacityPool, timedelta] = {}
        self._returning: set[str] = set()
        self._types_requested_at = timedelta(days=-1)
        self._types_in_flight = False
        self._list_requested_at = timedelta(days=-1)
        self._list_in_flight = False
        self._partial_list: dict[str, ListedMachine] = {}

    def reset(self) -> None:
        """Discard the leader's state. A new leader finds the rented machines in the cloud's list."""
        self.pending.clear()
        self.listed.clear()
        self.list_complete = False
        self.rentals.clear()
        self._returning.clear()
        self._list_in_flight = False

    def unavailable(self) -> set[CapacityPool]:
        """Return the capacity pools that have recently run out, from which no machines are requested for now."""
        return {pool for pool, until in self._unavailable_until.items() if until > self.context.now}

    def max_list_delay(self) -> timedelta:
        """Return the age from which on a machine that still exists appears in every list that is received."""
        return timedelta(seconds=2 * self.context.cluster.cloud.list_lag_s) + 2 * LIST_INTERVAL

    # Types and list ------------------------------------------------------------------------------------------

    def refresh_types(self) -> None:
        """Request the machine types if a refresh is due; every controller needs them."""
        now = self.context.now
        if not self._types_in_flight and now - self._types_requested_at >= (
            TYPES_INTERVAL if self.candidate_cache.machine_types else timedelta(seconds=1)
        ):
            self._request_types()

    def refresh_list(self) -> None:
        """Request the list of machines if a refresh is due; only the leader needs it."""
        if not self._list_in_flight and self.context.now - self._list_requested_at >= LIST_INTERVAL:
            self._request_list(None)

    def _request_types(self) -> None:
        def on_types_response(status: int, body: bytes) -> None:
            self._types_in_flight = False
            if status == 200:
                types: list[MachineType] = wire.decode(wire.MachineTypes, body).types
                self.candidate_cache.set_types({machine_type.name: machine_type for machine_type in types})

        self._types_requested_at = self.context.now
        self._types_in_flight = self.context.call_cloud("GET", wire.TYPES_PATH, None, on_types_response)

    def _request_list(self, after: str | None) -> None:
        """Request the page of the list that follows the machine ``after`` (None: the first page)."""

        def on_page(status: int, body: bytes) -> None:
            self._list_in_flight = False
            if not self.membership.is_leader():
                return
            if status != 200:
                return
            page: wire.MachineList = wire.decode(wire.MachineList, body)
            for machine in page.machines:
                self._partial_list[machine.id] = machine
            if page.more and page.machines:
                self._request_list(page.machines[-1].id)
                return
            self.listed, self._partial_list = self._partial_list, {}
            self.list_complete = True

        if after is None:
            self._partial_list = {}
        self._list_requested_at = self.context.now
        self._list_in_flight = self.context.call_cloud(
            "GET", wire.list_machines_path(after, LIST_PAGE_SIZE), None, on_page
        )

    # Rentals -------------------------------------------------------------------------------------------------

    def rent(self, counts: dict[CapacityPool, int]) -> None:
        """Queue rental requests, which ``send_rentals`` sends as far as the request budget for the cloud allows."""
        for pool, count in counts.items():
            for start in range(0, count, MAX_RENTAL_SIZE):
                self._add_rental(pool, min(MAX_RENTAL_SIZE, count - start))

    def _add_rental(self, pool: CapacityPool, count: int) -> None:
        epoch = self.cluster_state.epoch
        assert epoch is not None
        self._next_rental += 1
        # The id consists of epoch, incarnation and counter, so no other controller or incarnation ever uses it.
        rental_id = f"r-{epoch.number}-{self.membership.incarnation}-{self._next_rental}"
        self.rentals[rental_id] = Rental(rental_id, pool, count, self.context.now)
        log.info("requesting %d machines of type %s in %s%s as %s", count, pool[0], pool[1],
                 " (spot)" if pool[2] else "", rental_id)  # fmt: skip

    def send_rentals(self) -> None:
        """Send the rental requests that are not in flight, as far as the request budget for the cloud allows."""
        for rental in list(self.rentals.values()):
            if not rental.in_flight:
                self._send_rental(rental)

    def _send_rental(self, rental: Rental) -> None:
        def on_rental_response(status: int, body: bytes) -> None:
            rental.in_flight = False
            if rental.id not in self.rentals:
                return
            if status == 200:
                del self.rentals[rental.id]
                machine_ids: list[str] = wire.decode(wire.MachineNames, body).machines
                for machine_id in machine_ids:
                    self.pending[machine_id] = PendingMachine(rental.pool, self.context.now)
                log.info("rental request %s yielded %d of %d machines of type %s in %s%s: %s", rental.id,
                         len(machine_ids), rental.count, rental.pool[0], rental.pool[1],
                         " (spot)" if rental.pool[2] else "", ",".join(machine_ids))  # fmt: skip
                if len(machine_ids) < rental.count:
                    self._mark_unavailable(rental.pool)
                elif rental.pool in self.rental_caps:
                    self.rental_caps[rental.pool] *= 2
                    if self.rental_caps[rental.pool] > MAX_RENTAL_SIZE:
                        del self.rental_caps[rental.pool]
            elif status in (400, 503) and b"capacity" in body or status == 400:
                del self.rentals[rental.id]
                log.info("rental request %s rejected by the cloud: pausing requests for %s", rental.id, rental.pool)
                self._mark_unavailable(rental.pool)
            else:
                rental.attempts += 1
                # Machines that an abandoned request still yields appear in the cloud's list and are then used.
                if rental.attempts > 5:
                    del self.rentals[rental.id]

        request = wire.RentalRequest(rental.id, rental.pool[0], rental.pool[1], rental.pool[2], rental.count)
        rental.in_flight = sent = self.context.call_cloud(
            "POST", wire.MACHINES_PATH, wire.encode(request), on_rental_response
        )
        rental.sent |= sent

    def _mark_unavailable(self, pool: CapacityPool) -> None:
        """Drop the unsent requests of a pool that has run out or was rejected; later, probe it with a few machines.

        Without this, a burst of work requested hundreds of unavailable machines repeatedly, and requests for other
        pools were delayed because these requests consumed the request budget for the cloud.
        """
        self._unavailable_until[pool] = self.context.now + UNAVAILABLE_FOR
        self.rental_caps[pool] = PROBE_SIZE
        for rental_id in [rental.id for rental in self.rentals.values() if rental.pool == pool and not rental.sent]:
            del self.rentals[rental_id]

    # Returns -------------------------------------------------------------------------------------------------

    def return_machines(self, machine_ids: list[str]) -> None:
        """Return machines to the cloud, up to ``MAX_RETURN_SIZE`` per call; the caller repeats the others.

        Once the cloud confirms it, all tasks on them are known to have ended.
        """
        machine_ids = [
            machine_id
            for machine_id in machine_ids
            if machine_id not in self._returning and machine_id not in self.returned
        ][:MAX_RETURN_SIZE]
        if not machine_ids:
            return

        def on_return_response(status: int, body: bytes) -> None:
            self._returning.difference_update(machine_ids)
            if status != 0:
                # A known outcome ends the suspension of placement. After an unknown one it lasts until a retry has a
                # known outcome, or for one machine lease in case this controller no longer leads and does not retry.
                self.cluster_state.suspend_placement(machine_ids, self.context.now)
            if status == 200:
                self.machine_manager.announcer.announce_returned(
                    [machine_id for machine_id in machine_ids if machine_id in self.cluster_state.reported_machines]
                )
                for machine_id in machine_ids:
                    self.returned[machine_id] = self.context.now
                    self.pending.pop(machine_id, None)
                    self.machine_manager.handle_returned(machine_id)
                log.info("returned to the cloud: %s", ",".join(machine_ids))

        if self.context.call_cloud(
            "POST", wire.RETURN_PATH, wire.encode(wire.MachineNames(machine_ids)), on_return_response
        ):
            self._returning.update(machine_ids)
            # No task may be placed on the machines while the request is in flight.
            self.cluster_state.suspend_placement(
                machine_ids, self.context.now + CLOUD_TIMEOUT + self.context.machine_lease
            )
