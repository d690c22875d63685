"""A simulated cloud, as PROTOCOL describes it: limited capacity, boot times and an outdated list of machines.

Names on the wire: a hearth is a machine, a flavor a machine type, a district a zone, a booking the key of a
rental request (a repeated request returns the same machines), and leftovers stands for spot.
"""

from __future__ import annotations

from collections.abc import Callable
from datetime import timedelta
from typing import Any
from urllib.parse import urlsplit

import msgspec

from gladecroft.lab.simulation import CloudServer, ReplyCallback, Simulation, encode_json, seconds
from gladecroft.lab.worker import SimulatedMachineType, SimulatedWorker

Json = dict[str, Any]


class SimulatedCloud(CloudServer):
    """Rents out machines and takes them back when controllers return them.

    ``capacity`` counts the machines that can still be rented, by machine type, zone and whether they are spot machines.
    """

    def __init__(
        self,
        sim: Simulation,
        machine_types: dict[str, SimulatedMachineType],
        capacity: dict[tuple[str, str, bool], int],
    ) -> None:
        self.sim = sim
        self.machine_types = machine_types
        self.capacity = capacity
        self.rentals_by_key: dict[str, list[str]] = {}
        self.machines: dict[str, SimulatedWorker] = {}
        self.rented_at: dict[str, timedelta] = {}
        self.next_machine_number = 1
        self.outage = False
        #: Probability that a rented machine never boots.
        self.boot_failure_rate = 0.0
        #: Machines rented before this time boot within two seconds.
        self.fast_boot_until = sim.now
        self.new_worker: Callable[[str, SimulatedMachineType, str, bool], SimulatedWorker]
        self.rental_count = 0
        #: Approximate mean age of the list of machines in replies.
        self.list_lag = seconds(4)
        self.list_history: list[tuple[timedelta, list[Json]]] = []
        self._record_list()

    def _record_list(self) -> None:
        rows = [
            {
                "nameId": machine_id, "endpoint": worker.addr, "flavor": worker.machine_type.name,
                "district": worker.zone, "leftovers": worker.spot,
                "status": "failed" if worker.failed else "running" if worker.up else "starting",
                "ageS": (self.sim.now - self.rented_at[machine_id]).total_seconds(),
            }
            for machine_id, worker in sorted(self.machines.items())
        ]  # fmt: skip
        self.list_history.append((self.sim.now, rows))
        self.list_history = self.list_history[-40:]
        self.sim.call_later(seconds(0.5), self._record_list)

    def serve(self, node: str, method: str, path: str, body: bytes, reply: ReplyCallback) -> None:
        """Handle a request of a controller."""
        url = urlsplit(path)
        if self.outage:
            reply(503, encode_json({"error": "trouble"}))
        elif url.path == "/machine_types":
            rows = []
            for machine_type in self.machine_types.values():
                zones = sorted({zone for name, zone, _ in self.capacity if name == machine_type.name})
                rows.append({
                    "label": machine_type.name, "cores": machine_type.cpus, "cards": 0,
                    "memoryGb": machine_type.memory, "cacheGb": 50, "pullGbPerS": 1.0, "rate": machine_type.price,
                    "marketPrice": machine_type.spot_price, "bootS": machine_type.boot_s, "districts": zones,
                })  # fmt: skip
            reply(200, encode_json({"flavors": rows}))
        elif url.path == "/hosts/return":
            for machine_id in msgspec.json.decode(body)["hearths"]:
                self.remove(machine_id)
            reply(200, b"{}")
        elif method == "POST":
            self._handle_rent(msgspec.json.decode(body), reply)
        else:
            listed_at = self.sim.now - self.list_lag * self.sim.rng.uniform(0.5, 1.5)
            rows = next((rows for time, rows in reversed(self.list_history) if time <= listed_at), [])
            reply(200, encode_json({"hearths": rows, "truncated": False}))

    def _handle_rent(self, request: Json, reply: ReplyCallback) -> None:
        if request["booking"] not in self.rentals_by_key:
            key = (request["flavor"], request["district"], request["leftovers"])
            count = min(request["number"], self.capacity.get(key, 0))
            if count == 0:
                reply(503, encode_json({"error": "no capacity"}))
                return
            self.capacity[key] -= count
            self.rentals_by_key[request["booking"]] = [self.rent(*key) for _ in range(count)]
        reply(200, encode_json({"hearths": self.rentals_by_key[request["booking"]]}))

    def rent(self, machine_type: str, zone: str, spot: bool, boot: timedelta | None = None) -> str:
        """Start a machine and return its id. With ``boot`` the machine always boots, after exactly that time."""
        machine_id = f"m-{self.next_machine_number:06d}"
        self.next_machine_number += 1
        self.rental_count += 1
        worker = self.new_worker(machine_id, self.machine_types[machine_type], zone, spot)
        self.machines[machine_id] = worker
        self.rented_at[machine_id] = self.sim.now
        if boot is None and self.sim.rng.random() < self.boot_failure_rate:
            return machine_id
        boot_time = (
            seconds(self.machine_types[machine_type].boot_s * self.sim.rng.uniform(0.6, 1.5)) if boot is None else boot
        )
        if boot is None and self.sim.now < self.fast_boot_until:
            boot_time = seconds(self.sim.rng.uniform(0.2, 2.0))
        self.sim.call_later(boot_time, worker.boot)
        return machine_id

    def remove(self, machine_id: str) -> None:
        """Stop a machine and free its capacity. Unknown ids are ignored."""
        worker = self.machines.pop(machine_id, None)
        if worker is not None:
            worker.terminate()
            self.capacity[(worker.machine_type.name, worker.zone, worker.spot)] += 1
