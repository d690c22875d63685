"""Troubles of the operators' page that take more than a switch: deeds of scenarios (``tests/scenarios/README``)."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from gladecroft.coordination.events import RequestKind
from gladecroft.lab.cloud import Cloud
from gladecroft.lab.oracle import Oracle
from gladecroft.lab.simulation import Controller, World, seconds
from gladecroft.lab.state_service import StateService
from gladecroft.lab.user import User
from gladecroft.lab.worker import Worker

Json = dict[str, Any]

#: Within so many seconds fall cancellations that come together; at most so many of their machines hang.
TOGETHER_S = 0.2
HANG_MOST = 8
#: A running job has long to go if it has more than this before it.
LONG_S = 10.0
#: How soon after an answer the close looks come, and how often users do what is odd.
CLOSE_MS = (0.0, 2.0, 8.0)
ODD_EVERY_S = 0.7
NEXT_LOOK_S = 0.05
#: Such jobs can't run, or lack a field: what is changed, or taken away.
IMPOSSIBLE: tuple[Json, ...] = (
    {"cores": 1e6}, {"memoryGb": 1e6}, {"flavors": ["none"]}, {"owner": "nobody"}, {"cards": 64.0},
    {"owner": None}, {"cores": None}, {"portions": None}, {"shape": None}, {"portions": 0}, {"cores": -1.0},
    {"urgency": "soon"}, {"portions": 2.5}, {"cores": "4"}, {"portions": 100_001},
)  # fmt: skip


class Troubles:
    def __init__(
        self, world: World, state: StateService, cloud: Cloud, controllers: list[Controller], oracle: Oracle,
        users: dict[str, User],
    ) -> None:  # fmt: skip
        self.world = world
        self.state = state
        self.cloud = cloud
        self.controllers = controllers
        self.oracle = oracle
        self.users = users
        self._kept: list[bytes] = []
        self._odd = 0
        self._leader = ""

    # Copies for the next leader ------------------------------------------------------------------------------

    def copies_for_next(self, share: float, until: float) -> None:
        """Copies of reports are kept until another leader acts, and then come to every controller."""
        self._leader = self._who_leads()
        for worker in self.cloud.machines.values():
            worker.keep_copy = lambda body: self._kept.append(body) if self.world.random.random() < share else None
        self._watch_leader(until)

    def _who_leads(self) -> str:
        return str(self.state.keys["g/epoch"][0]["leader"]) if "g/epoch" in self.state.keys else ""

    def _watch_leader(self, until: float) -> None:
        leader = self._who_leads()
        if leader != self._leader:
            self._leader = leader
            kept, self._kept = self._kept, []
            for body in kept:
                for controller in self.controllers:
                    late = seconds(self.world.random.uniform(0.0, 0.5))
                    self.world.later(late, lambda to=controller, body=body: self._deliver(to, body))  # type: ignore[misc]
        if self.world.elapsed() < until:
            self.world.later(seconds(NEXT_LOOK_S), lambda: self._watch_leader(until))
        else:
            for worker in self.cloud.machines.values():
                worker.keep_copy = None
            self._kept.clear()

    @staticmethod
    def _deliver(to: Controller, body: bytes) -> None:
        if to.alive:
            to.ask(RequestKind.REPORT, body, "", lambda got: None)

    # Cancellations -------------------------------------------------------------------------------------------

    def cancel_now(self, count: int, hang: float) -> None:
        """Users call off that many jobs that run and have long to go, within a fifth of a second; machines hang."""
        running = sorted(job for job, user in self.users.items() if self._long_to_go(job, user))
        chosen = self.world.random.sample(running, min(count, len(running)))
        machines: dict[str, Worker] = {}
        for job in chosen:
            self.world.later(seconds(self.world.random.uniform(0, TOGETHER_S)), self.users[job].cancel)
            for worker in self.cloud.machines.values():
                if any(key[0] == job for key in worker.tasks):
                    machines[worker.name] = worker
        for worker in list(machines.values())[:HANG_MOST] if hang else ():
            worker.hang(seconds(hang))

    def _long_to_go(self, job: str, user: User) -> bool:
        if user.cancelling or job in self.oracle.cancel_wanted or job not in self.oracle.accepted:
            return False
        if not any(key[0] == job and places for key, places in self.oracle.where.items()):
            return False
        return bool(user.spec["shape"] == "service" or user.spec["runS"] > LONG_S)

    def cancel_at_end(self, share: float, until: float) -> None:
        """So many of the jobs that end are called off at the moment of the end."""

        def ended(job: str) -> None:
            user = self.users.get(job)
            if user is not None and self.world.elapsed() < until and self.world.random.random() < share:
                self.world.later(seconds(self.world.random.uniform(0, 0.01)), user.cancel)

        self.oracle.on_done.append(ended)

    # Questions -----------------------------------------------------------------------------------------------

    def close_looks(self, until: float, cancels: float) -> None:
        """After each word that a job is accepted, done or cancelled its user asks at all controllers within
        milliseconds, repeats the submission, and some cancel at once."""
        seen: set[tuple[str, str]] = set()

        def answered(job: str, verb: RequestKind, state: str) -> None:
            user = self.users.get(job)
            word = state if state in ("done", "aborted") else "accepted"
            if user is None or self.world.elapsed() >= until or (job, word) in seen:
                return
            seen.add((job, word))
            for controller in self.controllers:
                for late in CLOSE_MS:
                    verb = RequestKind.SUBMIT if self.world.random.random() < 0.2 else RequestKind.POLL
                    ask = self._look(user, verb, controller)
                    self.world.later(seconds(late * self.world.random.uniform(0.2, 1.0) / 1000), ask)
            if word == "accepted" and self.world.random.random() < cancels:
                self.world.later(seconds(self.world.random.uniform(0, 0.01)), user.cancel)

        self.oracle.on_answer.append(answered)

    @staticmethod
    def _look(user: User, verb: RequestKind, to: Controller) -> Callable[[], None]:
        return lambda: user.look(verb, to) if to.alive else None

    def odd_requests(self, until: float) -> None:
        """Users repeat submissions of unfinished jobs, cancel what is done, send what can't run or lacks a field."""
        if self.world.elapsed() >= until:
            return
        random = self.world.random
        live = [controller for controller in self.controllers if controller.alive]
        accepted = sorted(job for job in self.oracle.accepted if job in self.users)
        if live and accepted:
            user = self.users[random.choice(accepted)]
            final = self.oracle.final.get(user.id)
            # Called done, a job stays done, whoever wants to cancel it.
            user.look(
                RequestKind.CANCEL if final is not None and final[0] == "done" else RequestKind.SUBMIT,
                random.choice(live),
            )
        if live:
            self._odd += 1
            name = f"wk-{900_000 + self._odd}"
            like = self.users[random.choice(sorted(self.users))].spec if self.users else {}
            change = random.choice(IMPOSSIBLE)
            spec = {**like, "nameId": name, **change}
            spec = {key: value for key, value in spec.items() if value is not None or key not in change}
            self.oracle.impossible.add(name)
            user = User(self.world, self.controllers, self.oracle, spec)
            user.look(RequestKind.SUBMIT, random.choice(live))
        self.world.later(seconds(random.uniform(0.5, 1.5) * ODD_EVERY_S), lambda: self.odd_requests(until))
