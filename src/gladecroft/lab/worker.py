"""A machine's agent as PROTOCOL describes it, in virtual time. The oracle is told of all that runs."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from datetime import timedelta
from typing import Any

import msgspec

from gladecroft.coordination.events import Reply, RequestKind
from gladecroft.lab.oracle import Oracle
from gladecroft.lab.simulation import Front, Replier, WorkerLike, World, raw, seconds

Json = dict[str, Any]


class Kind(msgspec.Struct):
    name: str
    cpus: float
    memory: float
    price: float
    spot_price: float
    boot_s: float


class Task(msgspec.Struct):
    attempt: int
    state: str
    cause: str | None = None
    saved: bool = False
    started: timedelta | None = None


class Worker(WorkerLike):
    """One machine. ``jobs`` is what users uploaded: the descriptions that workers fetch by themselves."""

    def __init__(
        self, world: World, name: str, kind: Kind, zone: str, spot: bool, controllers: Sequence[Front],
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
        #: What part of its reports comes a second time, and by how many seconds at the most.
        self.copies: tuple[float, float] = (0.0, 0.0)
        #: Told of each report that is sent; and until when it can open no connection to any controller.
        self.keep_copy: Callable[[bytes], None] | None = None
        self.mute_until = world.now

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

    def reboot(self, span: timedelta) -> None:
        """It loses power and is back after the span, under its name and address: in a new session, with nothing."""
        self.up = False
        for key in list(self.tasks):
            self._drop(key)
        self.images.clear()

        def back() -> None:
            if not self.dead:
                self.session += 1
                self.token = 0
                self._busy = False
                self.boot()

        self.world.later(span, back)

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

            controller.ask(RequestKind.REPORT, body, "", reply)

        self.world.later(seconds(4), give_up)
        if self.keep_copy is not None:
            self.keep_copy(body)
        if now < self.mute_until:
            return
        self.world.send(self.name, controller.name, arrive)
        if self.world.random.random() < self.copies[0]:
            # A copy of the report comes to some controller, long after: nobody waits for its answer.
            other = self.world.random.choice(list(self.controllers))
            late = seconds(self.world.random.uniform(1.0, self.copies[1]))
            self.world.later(
                late, lambda: other.ask(RequestKind.REPORT, body, "", lambda got: None) if other.alive else None
            )

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
        if method == "GET":
            reply(200, raw(self._report()))
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
