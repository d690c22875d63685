"""Stand-ins for the state service, the cloud, the workers and the users, written from PROTOCOL.

The rules are checked by the oracle (``oracle.py``), which the stand-ins tell what happens.
"""

from __future__ import annotations

from collections.abc import Callable
from datetime import timedelta
from typing import Any
from urllib.parse import parse_qs, urlsplit

import msgspec

from gladecroft.coordination.messages import Reply, Verb
from oracle import Oracle
from world import CloudLike, Controller, Replier, StateLike, WorkerLike, World, raw, seconds

Json = dict[str, Any]


class StateService(StateLike):
    def __init__(self, world: World, rps: float, write_rps: float) -> None:
        self.world = world
        self.revision = 1
        self.keys: dict[str, tuple[Any, int, int | None]] = {}
        self.log: list[tuple[str, Any, int]] = []
        self.leases: dict[int, tuple[timedelta, timedelta]] = {}
        self.next_lease = 1
        self.outage = False
        self.refused: set[str] = set()
        self.watches: list[tuple[str, int, Replier]] = []
        self.lose_answers = 0.0
        self.late = 0.0
        self.kept = 10_000
        self.first = 1
        self._rate = [rps, rps, 0.0]
        self._writes = [write_rps, write_rps, 0.0]
        self.refusals = 0
        self._expire()

    def _expire(self) -> None:
        if not self.outage:
            for lease, (_, ends) in list(self.leases.items()):
                if self.world.now >= ends:
                    self._end(lease)
        self.world.later(seconds(0.05), self._expire)

    def _end(self, lease: int) -> None:
        del self.leases[lease]
        gone = [key for key, entry in self.keys.items() if entry[2] == lease]
        if gone:
            self.revision += 1
            for key in gone:
                del self.keys[key]
                self.log.append((key, None, self.revision))
            self._wake()

    def set_outage(self, on: bool) -> None:
        self.outage = on
        if not on:
            for lease, (ttl, _) in self.leases.items():
                self.leases[lease] = (ttl, self.world.now + ttl)
            self._wake()

    def accept(self, node: str) -> None:
        self.refused.discard(node)
        self._wake()

    def be_late(self, late: float, lose: float) -> None:
        self.late, self.lose_answers = late, lose

    def _take(self, bucket: list[float], amount: float) -> bool:
        now = self.world.elapsed()
        bucket[1] = min(bucket[0], bucket[1] + bucket[0] * (now - bucket[2]))
        bucket[2] = now
        if bucket[1] < amount:
            self.refusals += 1
            return False
        bucket[1] -= amount
        return True

    def serve(self, node: str, method: str, path: str, body: bytes, reply: Replier) -> None:
        if self.outage or node in self.refused:
            reply(503, b"{}")
            return
        if not self._take(self._rate, 1):
            reply(429, b"{}")
            return
        random = self.world.random
        if random.random() < self.late:
            # The answer is lost and the request is executed later.
            self.world.later(seconds(random.uniform(0.5, 20)), lambda: self._do(method, path, body, lambda s, b: None))
            return
        answer: Replier = (lambda s, b: None) if random.random() < self.lose_answers else reply
        self.world.later(seconds(0.003), lambda: self._do(method, path, body, answer))

    def _do(self, method: str, path: str, body: bytes, reply: Replier) -> None:
        url = urlsplit(path)
        if self.outage:
            reply(503, b"{}")
        elif url.path == "/commit":
            self._commit(msgspec.json.decode(body), reply)
        elif url.path == "/grants":
            ttl = seconds(msgspec.json.decode(body)["ttlMs"] / 1000)
            lease, self.next_lease = self.next_lease, self.next_lease + 1
            self.leases[lease] = (ttl, self.world.now + ttl)
            reply(200, raw({"tenure": lease}))
        elif url.path.endswith("/renew"):
            lease = int(url.path.split("/")[2])
            if lease in self.leases:
                ttl = self.leases[lease][0]
                self.leases[lease] = (ttl, self.world.now + ttl)
                reply(200, b"{}")
            else:
                reply(404, b"{}")
        elif url.path == "/store":
            query = {name: values[0] for name, values in parse_qs(url.query).items()}
            names = sorted(key for key in self.keys if key.startswith(query["prefix"]) and key > query.get("after", ""))
            page = names[: int(query["page"])]
            pairs = [{"key": key, "data": self.keys[key][0], "stamp": self.keys[key][1]} for key in page]
            reply(200, raw({"pairs": pairs, "truncated": len(page) < len(names), "ledger": self.revision}))
        elif url.path.startswith("/store/"):
            key = url.path[len("/store/") :]
            if key in self.keys:
                value, stamp, lease_of = self.keys[key]
                reply(200, raw({"key": key, "data": value, "stamp": stamp, "tenure": lease_of}))
            else:
                reply(404, raw({"ledger": self.revision}))
        else:
            reply(400, b"{}")

    def _commit(self, txn: Json, reply: Replier) -> None:
        ops = txn.get("apply") or []
        if ops and not self._take(self._writes, len(ops)):
            reply(429, b"{}")
            return
        for op in ops:
            if "write" in op and op.get("tenure") is not None and op["tenure"] not in self.leases:
                reply(400, raw({"error": "no such lease"}))
                return
        failed = [
            condition["key"] for condition in txn["if"]
            if (self.keys[condition["key"]][1] if condition["key"] in self.keys else 0) != condition["stamp"]
        ]  # fmt: skip
        if failed:
            reply(409, raw({"failed": failed, "ledger": self.revision}))
            return
        if ops:
            self.revision += 1
            for op in ops:
                if "write" in op:
                    self.keys[op["write"]] = (op["data"], self.revision, op.get("tenure"))
                    self.log.append((op["write"], op["data"], self.revision))
                else:
                    self.keys.pop(op["drop"], None)
                    self.log.append((op["drop"], None, self.revision))
            while len(self.log) > self.kept:
                self.first = self.log.pop(0)[2] + 1
            self._wake()
        reply(200, raw({"ledger": self.revision}))

    def watch(self, node: str, after: int, wait: timedelta, reply: Replier) -> None:
        if after + 1 < self.first:
            reply(410, b"{}")
            return
        entry = (node, after, reply)
        self.watches.append(entry)

        def end() -> None:
            if entry in self.watches and not self.outage and node not in self.refused:
                self.watches.remove(entry)
                self._answer(entry)

        self.world.later(wait, end)
        self._wake()

    def _answer(self, entry: tuple[str, int, Replier]) -> None:
        events = [
            {"drop": key, "stamp": stamp} if value is None else {"write": key, "data": value, "stamp": stamp}
            for key, value, stamp in self.log
            if stamp > entry[1]
        ]
        entry[2](200, raw({"ledger": self.revision, "log": events}))

    def _wake(self) -> None:
        if self.outage:
            return
        for entry in list(self.watches):
            if entry[0] not in self.refused and self.log and self.log[-1][2] > entry[1]:
                self.watches.remove(entry)
                self._answer(entry)


class Kind(msgspec.Struct):
    name: str
    cpus: float
    memory: float
    price: float
    spot_price: float
    boot_s: float


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
        self.world.later(span, worker.boot)
        return name

    def remove(self, name: str) -> None:
        worker = self.machines.pop(name, None)
        if worker is not None:
            worker.die()
            self.capacity[(worker.kind.name, worker.zone, worker.spot)] += 1


class Task(msgspec.Struct):
    attempt: int
    state: str
    cause: str | None = None
    saved: bool = False
    started: timedelta | None = None


class Worker(WorkerLike):
    """One machine. ``jobs`` is what users uploaded: the descriptions that workers fetch by themselves."""

    def __init__(
        self, world: World, name: str, kind: Kind, zone: str, spot: bool, controllers: list[Controller],
        oracle: Oracle, jobs: dict[str, Json], lease: timedelta, report: timedelta,
    ) -> None:  # fmt: skip
        self.world = world
        self.name = name
        self.addr = f"10.1.0.{int(name[2:])}:9000"
        self.kind = kind
        self.zone = zone
        self.spot = spot
        self.controllers = controllers
        self.oracle = oracle
        self.jobs = jobs
        self.lease = lease
        self.report_every = report
        self.up = self.failed = self.hung = self.dead = self.sick = False
        self.slow = 1.0
        self.session = 1
        self.seq = 0
        self.token = 0
        self.notice: timedelta | None = None
        self.tasks: dict[tuple[str, int], Task] = {}
        self.images: set[str] = set()
        self.at = world.random.randrange(len(controllers))
        self._flight = 0
        self._busy = False
        self._next = world.now
        self._last_sent = world.now
        self._dirty = False
        self._lease_from = world.now
        self._held: list[Callable[[], None]] = []

    # Life

    def boot(self) -> None:
        if self.dead:
            return
        self.up = True
        self._lease_from = self._next = self.world.now
        self._beat()

    def die(self, failed: bool = False) -> None:
        self.dead = self.dead or not failed
        self.failed = failed or self.failed
        self.up = False
        for key in list(self.tasks):
            self._drop(key)

    def hang(self, span: timedelta) -> None:
        self.hung = True

        def resume() -> None:
            self.hung = False
            held, self._held = self._held, []
            self._check_lease()
            for do in held:
                do()

        self.world.later(span, resume)

    def _drop(self, key: tuple[str, int]) -> None:
        self.tasks.pop(key, None)
        self.oracle.off(key, self.name)

    def _check_lease(self) -> None:
        if self.up and self.world.now - self._lease_from > self.lease:
            for key in list(self.tasks):
                self._drop(key)
            self.session += 1
            self._lease_from = self.world.now
            self._changed()

    def _changed(self) -> None:
        self._dirty = True

    def _beat(self) -> None:
        if not self.up:
            return
        self._check_lease()
        if not self.hung:
            now = self.world.now
            if (
                not self._busy
                and now >= self._next
                and now - self._last_sent >= seconds(0.5)
                or not self._busy
                and self._dirty
                and now - self._last_sent >= seconds(0.5)
            ):
                self._send()
        self.world.later(seconds(0.1), self._beat)

    def _report(self) -> Json:
        self.seq += 1
        return {
            "hearth": self.name, "endpoint": self.addr, "flavor": self.kind.name, "district": self.zone,
            "leftovers": self.spot, "shift": self.session, "tally": self.seq, "baton": self.token,
            "warningS": None if self.notice is None else max(0.0, (self.notice - self.world.now).total_seconds()),
            "portions": [
                {"portion": f"{job}/{number}", "try": task.attempt, "status": task.state, "cause": task.cause,
                 "saved": task.saved}
                for (job, number), task in self.tasks.items()
            ],
        }  # fmt: skip

    def _send(self) -> None:
        now = self.world.now
        self._busy, self._dirty = True, False
        self._last_sent = now
        self._next = now + self.report_every * self.world.random.uniform(0.75, 1.25)
        self._flight += 1
        flight, session = self._flight, self.session
        controller = self.controllers[self.at]
        body = raw(self._report())
        sent = now

        def give_up() -> None:
            if flight == self._flight and self._busy:
                self._elsewhere(None)

        def answer(status: int, reply: bytes) -> None:
            if not self.up:
                return
            if self.hung:
                self._held.append(lambda: answer(status, reply))
                return
            if flight != self._flight or not self._busy:
                return
            if status == 200:
                self._busy = False
                message = msgspec.json.decode(reply)
                if session == self.session and message.get("baton", -1) >= self.token:
                    self._see(message["baton"])
                    self._lease_from = max(self._lease_from, sent)
                    for order in message["orders"]:
                        self._obey(order)
            elif status == 421:
                self._elsewhere(msgspec.json.decode(reply).get("steward"))
            else:
                self._elsewhere(None)

        def arrive() -> None:
            if not controller.alive:
                self.world.send(controller.name, self.name, lambda: answer(-1, b""))
                return

            def reply(got: Reply) -> None:
                self.world.send(controller.name, self.name, lambda: answer(got.status, got.body))

            controller.ask(Verb.REPORT, body, "", reply)

        self.world.later(seconds(4), give_up)
        self.world.send(self.name, controller.name, arrive)

    def _elsewhere(self, steward: str | None) -> None:
        self._busy = False
        names = [controller.name for controller in self.controllers]
        if steward in names and names.index(steward) != self.at:
            self.at = names.index(steward)
            self._next = self.world.now
        else:
            self.at = (self.at + 1) % len(names)
            self._next = self.world.now + seconds(1)
            self._last_sent = max(self._last_sent, self.world.now + seconds(0.5))

    def _see(self, token: int) -> None:
        if token > self.token:
            self.token = token
            self._changed()

    def direct(self, node: str, method: str, path: str, body: bytes, reply: Replier) -> None:
        if self.hung:
            self._held.append(lambda: self.direct(node, method, path, body, reply))
            return
        if not self.up:
            return
        message = msgspec.json.decode(body)
        if message["baton"] < self.token or message["shift"] != self.session:
            reply(409, raw(self._report()))
            return
        self._see(message["baton"])
        for order in message["orders"]:
            self._obey(order)
        reply(200, raw(self._report()))

    # Tasks

    def _obey(self, order: Json) -> None:
        job, _, number_text = order["portion"].rpartition("/")
        key = (job, int(number_text))
        task = self.tasks.get(key)
        verb, attempt = order["verb"], order["try"]
        if verb == "start":
            if task is not None and task.attempt == attempt:
                return
            self._changed()
            if task is not None:
                if task.state == "exited":
                    self.tasks[key] = Task(attempt, "exited", "busy")
                return
            if job not in self.jobs or key[1] >= self.jobs[job]["portions"]:
                self.tasks[key] = Task(attempt, "exited", "no_such")
                return
            spec = self.jobs[job]
            used = sum(self.jobs[k[0]]["cores"] for k, t in self.tasks.items() if t.state != "exited")
            memory = sum(self.jobs[k[0]]["memoryGb"] for k, t in self.tasks.items() if t.state != "exited")
            if used + spec["cores"] > self.kind.cpus + 1e-9 or memory + spec["memoryGb"] > self.kind.memory + 1e-9:
                self.tasks[key] = Task(attempt, "exited", "full")
                return
            new = self.tasks[key] = Task(attempt, "fetching")
            span = 0.0 if spec["recipe"] in self.images else spec["imageGb"]
            self.world.later(seconds(span), lambda: self._run(key, new))
        elif task is None or task.attempt != attempt:
            return
        elif verb == "halt":
            if task.state == "exited":
                return
            spec = self.jobs[job]
            if task.state == "running" and spec["snapshotS"] > 0 and order.get("mercyS", 0) >= spec["stashS"]:
                task.state = "flushing"
                self._changed()
                self.world.later(seconds(spec["stashS"]), lambda: self._end(key, task, "halted", True))
            elif task.state != "flushing" or order.get("mercyS", 0) == 0:
                self._end(key, task, "halted", False)
        elif verb == "reap" and task.state == "exited":
            del self.tasks[key]
            self._changed()

    def _run(self, key: tuple[str, int], task: Task) -> None:
        if self.hung:
            self._held.append(lambda: self._run(key, task))
            return
        if self.tasks.get(key) is not task or task.state != "fetching":
            return
        spec = self.jobs[key[0]]
        self.images.add(spec["recipe"])
        task.state, task.started = "running", self.world.now
        self._changed()
        self.oracle.on(key, self.name, task.attempt, self.kind.name, self.zone, self.spot)
        if self.sick or spec.get("broken"):
            self.world.later(seconds(0.5), lambda: self._end(key, task, "error", False))
        elif spec["shape"] != "service":
            self.world.later(seconds(spec["runS"] * self.slow), lambda: self._end(key, task, "done", False))

    def _end(self, key: tuple[str, int], task: Task, cause: str, saved: bool) -> None:
        if self.hung:
            self._held.append(lambda: self._end(key, task, cause, saved))
            return
        if self.tasks.get(key) is not task or task.state == "exited":
            return
        if cause == "done" and task.state != "running":
            return
        task.state, task.cause, task.saved = "exited", cause, saved
        self.oracle.off(key, self.name)
        if cause == "done":
            self.oracle.completed(key)
        self._changed()


class User:
    """Submits one job, retries, polls it to its end, and cancels it if told to."""

    def __init__(self, world: World, controllers: list[Controller], oracle: Oracle, spec: Json) -> None:
        self.world = world
        self.controllers = controllers
        self.oracle = oracle
        self.spec = spec
        self.id: str = spec["nameId"]
        self.accepted = False
        self.answers: list[tuple[float, str, int, str]] = []
        self.last_reason = ""
        self.cancelling = False

    def _ask(self, verb: Verb, body: bytes, limit: float, then: Callable[[Reply | None], None]) -> None:
        live = [controller for controller in self.controllers if controller.alive]
        if not live:
            self.world.later(seconds(0.5), lambda: then(None))
            return
        controller = self.world.random.choice(live)
        state = {"open": True}

        def answer(reply: Reply | None) -> None:
            if state["open"]:
                state["open"] = False
                if reply is not None:
                    text = reply.body.decode()
                    self.answers.append((self.world.elapsed(), verb.value, reply.status, text))
                    self.oracle.answered(self.id, verb, reply.status, reply.body)
                then(reply)

        self.world.later(seconds(limit), lambda: answer(None))
        asked = controller.name

        def arrive() -> None:
            controller.ask(verb, body, self.id, lambda got: self.world.send(asked, "user", lambda: answer(got)))

        self.world.send("user", asked, arrive)

    def submit(self, until: float | None = None) -> None:
        until = self.world.elapsed() + 60 if until is None else until

        def then(reply: Reply | None) -> None:
            if reply is not None and reply.status in (200, 201):
                self.accepted = True
                self.world.later(seconds(self.world.random.uniform(1, 5)), self.poll)
            elif reply is not None and reply.status in (400, 422):
                return
            elif self.world.elapsed() < until:
                wait = max(1, (reply.retry_after or 1) if reply is not None else 1)
                self.world.later(seconds(wait), lambda: self.submit(until))

        self._ask(Verb.SUBMIT, raw({k: v for k, v in self.spec.items() if k not in ("runS", "broken")}), 5, then)

    def poll(self) -> None:
        def then(reply: Reply | None) -> None:
            if reply is not None and reply.status == 200:
                message = msgspec.json.decode(reply.body)
                self.last_reason = message.get("reason", self.last_reason)
            self.world.later(seconds(self.world.random.uniform(4, 6)), self.poll)

        self._ask(Verb.POLL, b"", 2, then)

    def cancel(self) -> None:
        self.oracle.cancel_asked(self.id)

        def then(reply: Reply | None) -> None:
            if reply is None or reply.status not in (200, 404):
                self.world.later(seconds(1), self.cancel)

        self._ask(Verb.CANCEL, b"", 5, then)
