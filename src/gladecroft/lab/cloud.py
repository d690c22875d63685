"""The cloud as PROTOCOL describes it, in virtual time: machines that boot, run out, fail and are taken."""

from __future__ import annotations

from collections.abc import Callable
from datetime import timedelta
from typing import Any
from urllib.parse import urlsplit

import msgspec

from gladecroft.lab.simulation import CloudLike, Replier, World, raw, seconds
from gladecroft.lab.worker import Kind, Worker

Json = dict[str, Any]


class Cloud(CloudLike):
    def __init__(self, world: World, kinds: dict[str, Kind], capacity: dict[tuple[str, str, bool], int]) -> None:
        self.world = world
        self.kinds = kinds
        self.capacity = capacity
        self.bookings: dict[str, list[str]] = {}
        self.machines: dict[str, Worker] = {}
        self.rented: dict[str, timedelta] = {}
        self.next = 1
        self.outage = False
        self.never_boot = 0.0
        #: Until when machines are up within two seconds.
        self.quick_until = world.now
        self.new_worker: Callable[[str, Kind, str, bool], Worker]
        self.rentals = 0
        self.lag = seconds(4)
        self.history: list[tuple[timedelta, list[Json]]] = []
        self._snapshot()

    def _snapshot(self) -> None:
        rows = [
            {
                "nameId": name, "endpoint": worker.addr, "flavor": worker.kind.name, "district": worker.zone,
                "leftovers": worker.spot,
                "status": "failed" if worker.failed else "running" if worker.up else "starting",
                "ageS": (self.world.now - self.rented[name]).total_seconds(),
            }
            for name, worker in sorted(self.machines.items())
        ]  # fmt: skip
        self.history.append((self.world.now, rows))
        self.history = self.history[-40:]
        self.world.later(seconds(0.5), self._snapshot)

    def serve(self, node: str, method: str, path: str, body: bytes, reply: Replier) -> None:
        url = urlsplit(path)
        if self.outage:
            reply(503, raw({"error": "trouble"}))
        elif url.path == "/machine_types":
            rows = []
            for kind in self.kinds.values():
                zones = sorted({zone for name, zone, _ in self.capacity if name == kind.name})
                rows.append({
                    "label": kind.name, "cores": kind.cpus, "cards": 0, "memoryGb": kind.memory, "cacheGb": 50,
                    "pullGbPerS": 1.0, "rate": kind.price, "marketPrice": kind.spot_price, "bootS": kind.boot_s,
                    "districts": zones,
                })  # fmt: skip
            reply(200, raw({"flavors": rows}))
        elif url.path == "/hosts/return":
            for name in msgspec.json.decode(body)["hearths"]:
                self.remove(name)
            reply(200, b"{}")
        elif method == "POST":
            self._rent(msgspec.json.decode(body), reply)
        else:
            past = self.world.now - self.lag * self.world.random.uniform(0.5, 1.5)
            rows = next((rows for at, rows in reversed(self.history) if at <= past), [])
            reply(200, raw({"hearths": rows, "truncated": False}))

    def _rent(self, want: Json, reply: Replier) -> None:
        if want["booking"] not in self.bookings:
            key = (want["flavor"], want["district"], want["leftovers"])
            count = min(want["number"], self.capacity.get(key, 0))
            if count == 0:
                reply(503, raw({"error": "no capacity"}))
                return
            self.capacity[key] -= count
            self.bookings[want["booking"]] = [self.rent(*key) for _ in range(count)]
        reply(200, raw({"hearths": self.bookings[want["booking"]]}))

    def rent(self, kind: str, zone: str, spot: bool, boot: timedelta | None = None) -> str:
        name = f"m-{self.next:06d}"
        self.next += 1
        self.rentals += 1
        worker = self.new_worker(name, self.kinds[kind], zone, spot)
        self.machines[name] = worker
        self.rented[name] = self.world.now
        if boot is None and self.world.random.random() < self.never_boot:
            return name
        span = seconds(self.kinds[kind].boot_s * self.world.random.uniform(0.6, 1.5)) if boot is None else boot
        if boot is None and self.world.now < self.quick_until:
            span = seconds(self.world.random.uniform(0.2, 2.0))
        self.world.later(span, worker.boot)
        return name

    def remove(self, name: str) -> None:
        worker = self.machines.pop(name, None)
        if worker is not None:
            worker.die()
            self.capacity[(worker.kind.name, worker.zone, worker.spot)] += 1
